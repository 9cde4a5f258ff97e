//! Which crashes speak against the end of an answer whose length is not stated.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::crash_detection::AttemptContent;
use cuminpick::crash_detection::AttemptKey;
use cuminpick::crash_detection::AttemptOutcome;
use cuminpick::crash_detection::CrashDetector;
use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::quarantine::CrashQuarantine;
use cuminpick::quarantine::CrashReport;

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn address() -> SocketAddr {
    "10.0.0.1:8000".parse().unwrap()
}

fn incarnation(started_ms: u64) -> ServerIncarnation {
    ServerIncarnation { server: "i-1".to_string(), started_ms }
}

fn send(detector: &mut CrashDetector, seconds: f64, started_ms: u64) -> AttemptKey {
    let content = AttemptContent { digest: 7, parts: Rc::from([]) };
    detector.begin_attempt(at(seconds), address(), &incarnation(started_ms), content)
}

/// Guards against streams of a server that count as broken because of its earlier crash: some
/// servers return under the same incarnation.
#[test]
fn returned_server() {
    let mut detector = CrashDetector::default();
    let lost = send(&mut detector, 1.0, 5);
    detector.record_refused_connection(at(2.0), address(), &incarnation(5));
    assert!(detector.crashed_since_sent(address(), &incarnation(5), lost));
    detector.finish_attempt(at(2.0), address(), &incarnation(5), lost, AttemptOutcome::Lost);
    let later = send(&mut detector, 3.0, 5);
    assert!(!detector.crashed_since_sent(address(), &incarnation(5), later));
}

/// Guards against the end of a stream that counts although its server has registered again.
#[test]
fn restarted_server() {
    let mut detector = CrashDetector::default();
    let earlier = send(&mut detector, 1.0, 5);
    assert!(!detector.crashed_since_sent(address(), &incarnation(5), earlier));
    detector.record_registration(at(2.0), address(), &incarnation(6));
    assert!(detector.crashed_since_sent(address(), &incarnation(5), earlier));
    let later = send(&mut detector, 3.0, 6);
    assert!(!detector.crashed_since_sent(address(), &incarnation(6), later));
}

/// Guards against the end of a stream that counts although another gateway reported the crash.
#[test]
fn reported_crash() {
    let mut quarantine = CrashQuarantine::default();
    let report = CrashReport { digest: 7, incarnation: incarnation(5), noticed_at: at(2.0) };
    quarantine.record_crash(at(2.0), report, false);
    assert!(quarantine.has_crashed_since(&incarnation(5), at(1.0)));
    assert!(!quarantine.has_crashed_since(&incarnation(5), at(3.0)));
    assert!(!quarantine.has_crashed_since(&incarnation(6), at(1.0)));
}
