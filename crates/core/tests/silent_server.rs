//! Guards against requests that wait for a rank whose VM is frozen, while the other ranks
//! of the group go on.

use std::time::Duration;

use cuminpick::silence::SilenceDetector;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn silent_among_others() {
    let mut detector = SilenceDetector::default();
    detector.record_event(millis(100), "a");
    assert!(!detector.is_silent(millis(700), "a", millis(50), true));
    assert!(detector.is_silent(millis(800), "a", millis(50), true));
}

/// No rank counts as silent while its whole group stalls.
#[test]
fn stalled_group() {
    let mut detector = SilenceDetector::default();
    detector.record_event(millis(100), "a");
    assert!(!detector.is_silent(millis(5_000), "a", millis(50), false));
}

/// A server that was idle gets the whole timeout from when a request is sent.
#[test]
fn idle_server() {
    let mut detector = SilenceDetector::default();
    detector.record_event(millis(100), "a");
    assert!(!detector.is_silent(millis(9_600), "a", millis(9_000), true));
    assert!(detector.is_silent(millis(9_700), "a", millis(9_000), true));
    detector.remove("a");
    assert!(!detector.is_silent(millis(9_600), "b", millis(9_000), true));
}
