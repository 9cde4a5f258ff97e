//! How a server crash is told from a cut connection, a paused server and a planned exit.

use std::net::SocketAddr;
use std::time::Duration;

use cuminpick::crash_detection::AttemptContent;
use cuminpick::crash_detection::AttemptKey;
use cuminpick::crash_detection::AttemptOutcome;
use cuminpick::crash_detection::CrashDetector;
use cuminpick::crash_detection::CrashStatus;
use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::ids::PartDigest;
use cuminpick::ids::RequestDigest;

const SECOND: Duration = Duration::from_secs(1);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn incarnation(server: &str, started_ms: u64) -> ServerIncarnation {
    ServerIncarnation { server: server.to_string(), started_ms }
}

fn begin(
    detector: &mut CrashDetector,
    address: SocketAddr,
    incarnation: &ServerIncarnation,
    digest: RequestDigest,
) -> AttemptKey {
    begin_with_parts(detector, Duration::ZERO, address, incarnation, digest, &[])
}

fn begin_with_parts(
    detector: &mut CrashDetector,
    now: Duration,
    address: SocketAddr,
    incarnation: &ServerIncarnation,
    digest: RequestDigest,
    parts: &[PartDigest],
) -> AttemptKey {
    let content = AttemptContent { digest, parts: parts.into() };
    detector.begin_attempt(now, address, incarnation, content)
}

/// A refused connection confirms the crash: the request whose connection broke and those
/// whose connections have not broken yet are suspected.
#[test]
fn refused_connection() {
    let mut detector = CrashDetector::default();
    let first = incarnation("a", 10);
    let keys = [1, 2, 3].map(|digest| begin(&mut detector, address(1), &first, digest));
    assert!(
        detector
            .finish_attempt(SECOND, address(1), &first, keys[0], AttemptOutcome::Lost)
            .is_none()
    );
    assert!(
        detector
            .finish_attempt(SECOND, address(1), &first, keys[2], AttemptOutcome::Answered)
            .is_none()
    );
    assert_eq!(detector.status(address(1), &first), CrashStatus::Suspected);
    assert_eq!(detector.record_refused_connection(SECOND, address(1), &first).requests, vec![1, 2]);
    assert_eq!(detector.status(address(1), &first), CrashStatus::Crashed);
    assert!(
        detector
            .finish_attempt(SECOND, address(1), &first, keys[1], AttemptOutcome::Lost)
            .is_some()
    );
}

/// A connection was cut, but the server answers other requests: it has not crashed.
#[test]
fn cut_connection() {
    let mut detector = CrashDetector::default();
    let first = incarnation("a", 10);
    let keys = [1, 2].map(|digest| begin(&mut detector, address(1), &first, digest));
    detector.finish_attempt(SECOND, address(1), &first, keys[0], AttemptOutcome::Lost);
    assert_eq!((detector.unconfirmed_crashes(1), detector.unconfirmed_crashes(2)), (1, 0));
    detector.finish_attempt(2 * SECOND, address(1), &first, keys[1], AttemptOutcome::Answered);
    assert_eq!(detector.status(address(1), &first), CrashStatus::Alive);
    assert_eq!(detector.unconfirmed_crashes(1), 0);
    assert!(detector.record_refused_connection(3 * SECOND, address(1), &first).is_empty());
}

/// A server that was paused registers again with its old start time: it has not crashed.
#[test]
fn paused_server() {
    let mut detector = CrashDetector::default();
    let first = incarnation("a", 10);
    let key1 = begin(&mut detector, address(1), &first, 1);
    detector.finish_attempt(SECOND, address(1), &first, key1, AttemptOutcome::Lost);
    assert!(detector.record_registration(4 * SECOND, address(1), &first).is_empty());
}

/// An unreachable server has crashed when a later incarnation registers at its address,
/// with the same identity or another.
#[test]
fn restarted_server() {
    for next in [incarnation("a", 20), incarnation("b", 20)] {
        let mut detector = CrashDetector::default();
        let first = incarnation("a", 10);
        let key1 = begin(&mut detector, address(1), &first, 1);
        begin(&mut detector, address(2), &incarnation("c", 10), 2);
        detector.finish_attempt(SECOND, address(1), &first, key1, AttemptOutcome::Lost);
        let crashed = detector.record_registration(4 * SECOND, address(1), &next);
        let [(earlier, suspects)] = crashed.as_slice() else { panic!("{crashed:?}") };
        assert_eq!((earlier, suspects.requests.as_slice()), (&first, [1].as_slice()));
        assert!(detector.record_registration(5 * SECOND, address(1), &next).is_empty());
    }
}

/// No request is suspected when a server leaves as planned.
#[test]
fn leaving_server() {
    let mut detector = CrashDetector::default();
    let first = incarnation("a", 10);
    let key1 = begin(&mut detector, address(1), &first, 1);
    assert!(
        detector
            .finish_attempt(SECOND, address(1), &first, key1, AttemptOutcome::LostWhileLeaving)
            .is_none()
    );
    assert!(detector.record_refused_connection(SECOND, address(1), &first).is_empty());
}

/// Guards against attributing a crash to requests that timed out seconds before it: if
/// the server has answered since, they did not crash it. An answer that was in flight
/// when a connection broke does not prove that.
#[test]
fn answered_since() {
    let mut detector = CrashDetector::default();
    let first = incarnation("a", 10);
    let keys = [1, 2, 3, 4].map(|digest| begin(&mut detector, address(1), &first, digest));
    detector.finish_attempt(SECOND, address(1), &first, keys[0], AttemptOutcome::Lost);
    detector.finish_attempt(2 * SECOND, address(1), &first, keys[1], AttemptOutcome::Answered);
    detector.finish_attempt(3 * SECOND, address(1), &first, keys[2], AttemptOutcome::Lost);
    let shortly_after = 3 * SECOND + Duration::from_millis(5);
    detector.finish_attempt(shortly_after, address(1), &first, keys[3], AttemptOutcome::Answered);
    assert_eq!(
        detector.record_refused_connection(4 * SECOND, address(1), &first).requests,
        vec![3]
    );
}

/// A leaving server stops listening while it still serves its open requests: these are
/// not suspected, nor are they when another server takes over the address.
#[test]
fn closed_listener() {
    let mut detector = CrashDetector::default();
    let first = incarnation("a", 10);
    let key1 = begin(&mut detector, address(1), &first, 1);
    detector.mark_leaving("a");
    assert!(detector.record_refused_connection(SECOND, address(1), &first).is_empty());
    assert!(detector.record_registration(2 * SECOND, address(1), &incarnation("b", 20)).is_empty());
    assert!(
        detector
            .finish_attempt(3 * SECOND, address(1), &first, key1, AttemptOutcome::LostWhileLeaving)
            .is_none()
    );
}

/// An attempt that was lost long before a crash is not suspected.
#[test]
fn old_loss() {
    let mut detector = CrashDetector::default();
    let first = incarnation("a", 10);
    let key1 = begin(&mut detector, address(1), &first, 1);
    detector.finish_attempt(SECOND, address(1), &first, key1, AttemptOutcome::Lost);
    detector.sweep(60 * SECOND);
    assert!(detector.is_empty());
    begin(&mut detector, address(1), &first, 2);
    assert_eq!(
        detector.record_refused_connection(61 * SECOND, address(1), &first).requests,
        vec![2]
    );
}

/// Parts of the prompt are suspected only while their request has not begun to be answered,
/// with the time at which the latest request with the part was sent.
#[test]
fn unanswered_parts() {
    let mut detector = CrashDetector::default();
    let first = incarnation("a", 10);
    let mut begin_at = |seconds: u32, digest, parts: &[PartDigest]| {
        begin_with_parts(&mut detector, seconds * SECOND, address(1), &first, digest, parts)
    };
    let answered = begin_at(1, 1, &[10, 11]);
    let lost = begin_at(2, 2, &[11, 12]);
    begin_at(3, 3, &[12]);
    detector.begin_answer(address(1), &first, answered);
    detector.finish_attempt(4 * SECOND, address(1), &first, lost, AttemptOutcome::Lost);
    let suspects = detector.record_refused_connection(4 * SECOND, address(1), &first);
    assert_eq!(suspects.requests, vec![1, 2, 3]);
    let parts: Vec<_> = suspects.parts.iter().map(|part| (part.part, part.sent_at)).collect();
    assert_eq!(parts, vec![(11, 2 * SECOND), (12, 3 * SECOND)]);
}

/// A part is held by few if at most one in three of the other servers with requests has it;
/// with fewer than three such servers that is unknown. Servers whose requests have no parts,
/// such as those of another service, do not count.
#[test]
fn few_holders() {
    let mut detector = CrashDetector::default();
    let servers =
        [1, 2, 3, 4, 5, 6].map(|port| (address(port), incarnation(&port.to_string(), 10)));
    let mut hold = |index: usize, parts: &[PartDigest]| {
        let (address, incarnation) = &servers[index];
        begin_with_parts(&mut detector, SECOND, *address, incarnation, index as u64, parts);
        [10, 11].map(|part| detector.is_held_by_few(part, &servers[0].1))
    };
    assert_eq!(hold(0, &[10, 11]), [false, false]);
    assert_eq!(hold(4, &[]), [false, false]);
    assert_eq!(hold(5, &[]), [false, false]);
    assert_eq!(hold(1, &[11]), [false, false]);
    assert_eq!(hold(2, &[10]), [false, false]);
    assert_eq!(hold(3, &[11]), [true, false]);
}
