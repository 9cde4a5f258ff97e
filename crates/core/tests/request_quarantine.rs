//! Which requests are quarantined after server crashes, and for how long.

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

fn crash(digest: RequestDigest, server: usize, noticed_at: Duration) -> CrashReport {
    let incarnation = ServerIncarnation { server: format!("server-{server}"), started_ms: 1 };
    CrashReport { digest, incarnation, noticed_at }
}

fn is_quarantined(quarantine: &CrashQuarantine, now: Duration, digest: RequestDigest) -> bool {
    matches!(quarantine.status(now, digest), QuarantineStatus::Quarantined(_))
}

/// Crashes that different gateways noticed add up; a crash that is reported twice counts
/// once.
#[test]
fn crashes_add_up() {
    let mut quarantine = CrashQuarantine::default();
    assert_eq!(
        quarantine.record_crash(SECOND, crash(1, 0, SECOND), true),
        QuarantineChange::CrashAdded
    );
    assert_eq!(
        quarantine.record_crash(SECOND, crash(1, 0, SECOND), false),
        QuarantineChange::Unchanged
    );
    assert_eq!(
        quarantine.record_crash(SECOND, crash(1, 1, SECOND), false),
        QuarantineChange::CrashAdded
    );
    assert!(!is_quarantined(&quarantine, SECOND, 1));
    assert_eq!(
        quarantine.record_crash(SECOND, crash(1, 2, SECOND), false),
        QuarantineChange::Quarantined
    );
    assert!(is_quarantined(&quarantine, SECOND, 1));
    assert_eq!(quarantine.status(SECOND, 2), QuarantineStatus::Allowed(0));
}

/// Two requests that crash the same servers at the same time are both quarantined.
#[test]
fn simultaneous_suspects() {
    let mut quarantine = CrashQuarantine::default();
    for server in 0..QUARANTINE_CRASHES {
        for digest in [1, 2] {
            quarantine.record_crash(SECOND, crash(digest, server, SECOND), true);
        }
    }
    assert!(is_quarantined(&quarantine, SECOND, 1) && is_quarantined(&quarantine, SECOND, 2));
}

/// An answer clears a request, also of crashes that are reported later: a frequent short
/// request that was at every server of a lost zone did not crash them.
#[test]
fn answer_clears() {
    let mut quarantine = CrashQuarantine::default();
    for server in 0..4 {
        quarantine.record_crash(SECOND, crash(1, server, SECOND), true);
    }
    assert!(is_quarantined(&quarantine, SECOND, 1));
    assert_eq!(quarantine.record_answer(2 * SECOND, 1), 4);
    assert!(!is_quarantined(&quarantine, 2 * SECOND, 1));
    assert_eq!(
        quarantine.record_crash(3 * SECOND, crash(1, 5, 3 * SECOND), false),
        QuarantineChange::AlreadyAnswered
    );
    assert_eq!(quarantine.suspect_count(), 0);
    quarantine.record_answer(SECOND, 7);
    for server in 0..QUARANTINE_CRASHES {
        assert_eq!(
            quarantine.record_crash(9 * SECOND, crash(7, server, 9 * SECOND), true),
            QuarantineChange::AlreadyAnswered
        );
    }
}

/// An old answer no longer clears a request.
#[test]
fn answer_expires() {
    let mut quarantine = CrashQuarantine::default();
    quarantine.record_answer(SECOND, 1);
    quarantine.record_answer(200 * SECOND, 2);
    quarantine.record_answer(400 * SECOND, 3);
    let now = 401 * SECOND;
    for server in 0..QUARANTINE_CRASHES {
        quarantine.record_crash(now, crash(1, server, now), true);
    }
    assert!(is_quarantined(&quarantine, now, 1));
}

/// Once the quarantine is over, one more crash quarantines the request again.
#[test]
fn quarantine_expires() {
    let mut quarantine = CrashQuarantine::default();
    for server in 0..QUARANTINE_CRASHES {
        quarantine.record_crash(SECOND, crash(1, server, SECOND), true);
    }
    let later = SECOND + QUARANTINE_TIME;
    assert!(is_quarantined(&quarantine, later - SECOND, 1));
    assert_eq!(quarantine.status(later, 1), QuarantineStatus::Allowed(QUARANTINE_CRASHES));
    assert_eq!(
        quarantine.record_crash(later, crash(1, 9, later), true),
        QuarantineChange::Quarantined
    );
    assert!(is_quarantined(&quarantine, later, 1));
    quarantine.sweep(later + CRASH_RETENTION);
    assert_eq!(quarantine.suspect_count(), 0);
}

/// Many requests with one crash each evict none that is quarantined.
#[test]
fn suspects_bounded() {
    let mut quarantine = CrashQuarantine::default();
    for server in 0..QUARANTINE_CRASHES {
        quarantine.record_crash(SECOND, crash(1, server, SECOND), true);
    }
    for digest in 2..20_000 {
        quarantine.record_crash(2 * SECOND, crash(digest, 0, 2 * SECOND), true);
        quarantine.record_answer(2 * SECOND, digest + 100_000);
    }
    assert!(is_quarantined(&quarantine, 2 * SECOND, 1));
    assert!(quarantine.suspect_count() <= 1_024);
    assert!(quarantine.evicted_count() > 18_000);
    assert!(quarantine.local_crashes(256).len() <= 256);
    assert!(
        quarantine.local_crashes(256).iter().filter(|crash| crash.digest == 1).count()
            == QUARANTINE_CRASHES
    );
}

/// Gateways that received the same crashes and answers agree, whatever their order.
#[test]
fn order_independent() {
    check!().with_type::<Vec<(u8, u8, bool)>>().for_each(|events| {
        let apply = |events: &mut dyn Iterator<Item = &(u8, u8, bool)>| {
            let mut quarantine = CrashQuarantine::default();
            for (digest, server, answer) in events {
                let digest = u64::from(digest % 3);
                match answer {
                    true => {
                        quarantine.record_answer(SECOND, digest);
                    }
                    false => {
                        let report = crash(digest, usize::from(server % 5), SECOND);
                        quarantine.record_crash(SECOND, report, false);
                    }
                }
            }
            (0..3).map(|digest| is_quarantined(&quarantine, SECOND, digest)).collect::<Vec<bool>>()
        };
        assert_eq!(apply(&mut events.iter()), apply(&mut events.iter().rev()));
    });
}

#[test]
fn digests_differ() {
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

/// An answer also expires at a gateway that receives nothing else for an hour.
#[test]
fn idle_answer_expires() {
    let mut quarantine = CrashQuarantine::default();
    quarantine.record_answer(SECOND, 1);
    let start = Duration::from_secs(3_600);
    for server in 0..6 {
        let at = start + SECOND * server as u32;
        quarantine.record_crash(at, crash(1, server, at), false);
    }
    assert!(is_quarantined(&quarantine, start + SECOND * 6, 1));
}

/// A request that was answered and then starts to crash servers is quarantined after
/// three bursts of crashes without another answer; an answer in between clears it.
#[test]
fn answer_outweighed() {
    let mut quarantine = CrashQuarantine::default();
    quarantine.record_answer(SECOND, 1);
    let at = |second: u32| Duration::from_secs(10) + SECOND * second;
    let record = |quarantine: &mut CrashQuarantine, server: usize, at: Duration| {
        quarantine.record_crash(at, crash(1, server, at), true)
    };
    // A zone is lost: many servers crash within a second.
    for server in 0..20 {
        let at = at(0) + Duration::from_millis(40) * server as u32;
        assert_eq!(record(&mut quarantine, server, at), QuarantineChange::AlreadyAnswered);
    }
    assert_eq!(record(&mut quarantine, 30, at(2)), QuarantineChange::AlreadyAnswered);
    quarantine.record_answer(at(3), 1);
    assert_eq!(record(&mut quarantine, 31, at(4)), QuarantineChange::AlreadyAnswered);
    assert_eq!(record(&mut quarantine, 32, at(6)), QuarantineChange::AlreadyAnswered);
    assert_eq!(
        record(&mut quarantine, 32, at(8)),
        QuarantineChange::AlreadyAnswered,
        "the same crash again"
    );
    assert!(!is_quarantined(&quarantine, at(8), 1));
    assert_eq!(record(&mut quarantine, 33, at(9)), QuarantineChange::Quarantined);
    assert!(is_quarantined(&quarantine, at(9), 1));
}
