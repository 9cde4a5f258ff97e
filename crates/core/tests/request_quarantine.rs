//! Requests under which servers end: whose ends count, and how long.

use std::time::Duration;

use bolero::check;
use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::ids::RequestDigest;
use cuminpick::ids::digest_request;
use cuminpick::quarantine::CRASH_RETENTION;
use cuminpick::quarantine::CrashQuarantine;
use cuminpick::quarantine::CrashReport;
use cuminpick::quarantine::QUARANTINE_CRASHES;
use cuminpick::quarantine::QUARANTINE_TIME;
use cuminpick::quarantine::QuarantineChange;
use cuminpick::quarantine::QuarantineStatus;

const SECOND: Duration = Duration::from_secs(1);

fn end(digest: RequestDigest, server: usize, noticed_at: Duration) -> CrashReport {
    let incarnation = ServerIncarnation { server: format!("server-{server}"), started_ms: 1 };
    CrashReport { digest, incarnation, noticed_at }
}

fn held(ledger: &CrashQuarantine, now: Duration, digest: RequestDigest) -> bool {
    matches!(ledger.status(now, digest), QuarantineStatus::Quarantined(_))
}

/// Ends that different gateways noticed add up; one end told twice counts once.
#[test]
fn ends_add_up() {
    let mut ledger = CrashQuarantine::default();
    assert_eq!(ledger.record_crash(SECOND, end(1, 0, SECOND), true), QuarantineChange::CrashAdded);
    assert_eq!(ledger.record_crash(SECOND, end(1, 0, SECOND), false), QuarantineChange::Unchanged);
    assert_eq!(ledger.record_crash(SECOND, end(1, 1, SECOND), false), QuarantineChange::CrashAdded);
    assert!(!held(&ledger, SECOND, 1));
    assert_eq!(
        ledger.record_crash(SECOND, end(1, 2, SECOND), false),
        QuarantineChange::Quarantined
    );
    assert!(held(&ledger, SECOND, 1));
    assert_eq!(ledger.status(SECOND, 2), QuarantineStatus::Allowed(0));
}

/// Two crashing requests on the same servers at once are both found.
#[test]
fn two_at_once() {
    let mut ledger = CrashQuarantine::default();
    for server in 0..QUARANTINE_CRASHES {
        for digest in [1, 2] {
            ledger.record_crash(SECOND, end(digest, server, SECOND), true);
        }
    }
    assert!(held(&ledger, SECOND, 1) && held(&ledger, SECOND, 2));
}

/// An answer clears a request, also of ends that are told later: a busy caller's
/// short request that was at every server of a lost zone is innocent.
#[test]
fn answer_clears() {
    let mut ledger = CrashQuarantine::default();
    for server in 0..4 {
        ledger.record_crash(SECOND, end(1, server, SECOND), true);
    }
    assert!(held(&ledger, SECOND, 1));
    assert_eq!(ledger.record_answer(2 * SECOND, 1), 4);
    assert!(!held(&ledger, 2 * SECOND, 1));
    assert_eq!(
        ledger.record_crash(3 * SECOND, end(1, 5, 3 * SECOND), false),
        QuarantineChange::AlreadyAnswered
    );
    assert_eq!(ledger.suspect_count(), 0);
    ledger.record_answer(SECOND, 7);
    for server in 0..QUARANTINE_CRASHES {
        assert_eq!(
            ledger.record_crash(9 * SECOND, end(7, server, 9 * SECOND), true),
            QuarantineChange::AlreadyAnswered
        );
    }
}

/// A request that was answered long ago can still be found.
#[test]
fn answer_wears_off() {
    let mut ledger = CrashQuarantine::default();
    ledger.record_answer(SECOND, 1);
    ledger.record_answer(200 * SECOND, 2);
    ledger.record_answer(400 * SECOND, 3);
    let now = 401 * SECOND;
    for server in 0..QUARANTINE_CRASHES {
        ledger.record_crash(now, end(1, server, now), true);
    }
    assert!(held(&ledger, now, 1));
}

/// After the hold one further end holds the request again.
#[test]
fn hold_ends() {
    let mut ledger = CrashQuarantine::default();
    for server in 0..QUARANTINE_CRASHES {
        ledger.record_crash(SECOND, end(1, server, SECOND), true);
    }
    let later = SECOND + QUARANTINE_TIME;
    assert!(held(&ledger, later - SECOND, 1));
    assert_eq!(ledger.status(later, 1), QuarantineStatus::Allowed(QUARANTINE_CRASHES));
    assert_eq!(ledger.record_crash(later, end(1, 9, later), true), QuarantineChange::Quarantined);
    assert!(held(&ledger, later, 1));
    ledger.sweep(later + CRASH_RETENTION);
    assert_eq!(ledger.suspect_count(), 0);
}

/// A flood of requests with one end each pushes out none that is held back.
#[test]
fn flood_bounded() {
    let mut ledger = CrashQuarantine::default();
    for server in 0..QUARANTINE_CRASHES {
        ledger.record_crash(SECOND, end(1, server, SECOND), true);
    }
    for digest in 2..20_000 {
        ledger.record_crash(2 * SECOND, end(digest, 0, 2 * SECOND), true);
        ledger.record_answer(2 * SECOND, digest + 100_000);
    }
    assert!(held(&ledger, 2 * SECOND, 1));
    assert!(ledger.suspect_count() <= 1_024);
    assert!(ledger.evicted_count() > 18_000);
    assert!(ledger.local_crashes(256).len() <= 256);
    assert!(
        ledger.local_crashes(256).iter().filter(|end| end.digest == 1).count()
            == QUARANTINE_CRASHES
    );
}

/// Whatever the order in which ends and answers are told, gateways that heard all
/// of them agree.
#[test]
fn order_irrelevant() {
    check!().with_type::<Vec<(u8, u8, bool)>>().for_each(|events| {
        let apply = |events: &mut dyn Iterator<Item = &(u8, u8, bool)>| {
            let mut ledger = CrashQuarantine::default();
            for (digest, server, answer) in events {
                let digest = u64::from(digest % 3);
                match answer {
                    true => {
                        ledger.record_answer(SECOND, digest);
                    }
                    false => {
                        let crash = end(digest, usize::from(server % 5), SECOND);
                        ledger.record_crash(SECOND, crash, false);
                    }
                }
            }
            (0..3).map(|digest| held(&ledger, SECOND, digest)).collect::<Vec<bool>>()
        };
        assert_eq!(apply(&mut events.iter()), apply(&mut events.iter().rev()));
    });
}

#[test]
fn digests_apart() {
    let digest = |path: &str, organisation: Option<&str>, body: &[u8]| {
        digest_request("POST", path, organisation, body)
    };
    let base = digest("/a/b", Some("org"), b"x");
    assert_eq!(base, digest("/a/b", Some("org"), b"x"));
    let others = [
        digest("/a/b", Some("other"), b"x"),
        digest("/a/b", None, b"x"),
        digest("/a/b", Some("org"), b"y"),
        digest("/a/bx", Some("org"), b""),
        digest("/a/b?q", Some("org"), b"x"),
        digest_request("GET", "/a/b", Some("org"), b"x"),
        digest("/a/b", Some("orgx"), b""),
    ];
    for other in others {
        assert_ne!(base, other);
    }
}

/// A gateway that was told of one answer and then of nothing for an hour holds the
/// request back like any other.
#[test]
fn idle_answer_wears_off() {
    let mut ledger = CrashQuarantine::default();
    ledger.record_answer(SECOND, 1);
    let begin = Duration::from_secs(3_600);
    for server in 0..6 {
        let at = begin + SECOND * server as u32;
        ledger.record_crash(at, end(1, server, at), false);
    }
    assert!(held(&ledger, begin + SECOND * 6, 1));
}

/// A request that is answered and then begins to end servers is held back after
/// ends in three bursts; one answer in between, and it is innocent again.
#[test]
fn answer_outweighed() {
    let mut ledger = CrashQuarantine::default();
    ledger.record_answer(SECOND, 1);
    let at = |second: u32| Duration::from_secs(10) + SECOND * second;
    let note = |ledger: &mut CrashQuarantine, server: usize, at: Duration| {
        ledger.record_crash(at, end(1, server, at), true)
    };
    // A lost zone: many servers within a second.
    for server in 0..20 {
        let at = at(0) + Duration::from_millis(40) * server as u32;
        assert_eq!(note(&mut ledger, server, at), QuarantineChange::AlreadyAnswered);
    }
    assert_eq!(note(&mut ledger, 30, at(2)), QuarantineChange::AlreadyAnswered);
    ledger.record_answer(at(3), 1);
    assert_eq!(note(&mut ledger, 31, at(4)), QuarantineChange::AlreadyAnswered);
    assert_eq!(note(&mut ledger, 32, at(6)), QuarantineChange::AlreadyAnswered);
    assert_eq!(
        note(&mut ledger, 32, at(8)),
        QuarantineChange::AlreadyAnswered,
        "the same end again"
    );
    assert!(!held(&ledger, at(8), 1));
    assert_eq!(note(&mut ledger, 33, at(9)), QuarantineChange::Quarantined);
    assert!(held(&ledger, at(9), 1));
}
