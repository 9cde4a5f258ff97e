//! Pattern: the VM of one rank freezes; its requests wait while the others' go on.

use std::time::Duration;

use cuminpick::silence::SilenceDetector;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn silent_among_others() {
    let mut watch = SilenceDetector::default();
    watch.record_event(millis(100), "a");
    assert!(!watch.is_silent(millis(700), "a", millis(50), true));
    assert!(watch.is_silent(millis(800), "a", millis(50), true));
}

/// A whole group that stalls is not one silent rank.
#[test]
fn stalled_together() {
    let mut watch = SilenceDetector::default();
    watch.record_event(millis(100), "a");
    assert!(!watch.is_silent(millis(5_000), "a", millis(50), false));
}

/// A request that was just sent to a server that was idle is given time.
#[test]
fn idle_before() {
    let mut watch = SilenceDetector::default();
    watch.record_event(millis(100), "a");
    assert!(!watch.is_silent(millis(9_600), "a", millis(9_000), true));
    assert!(watch.is_silent(millis(9_700), "a", millis(9_000), true));
    watch.remove("a");
    assert!(!watch.is_silent(millis(9_600), "b", millis(9_000), true));
}
