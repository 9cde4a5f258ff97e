//! Guards against refused requests that are retried with the rest of their time and then
//! count as new ones.

use std::time::Duration;

use cuminpick::deadlines::DeadlineTracker;
use cuminpick::deadlines::StreamLengths;

const FULL_TIME: Duration = Duration::from_secs(8);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn retries_recognised() {
    let mut tracker = DeadlineTracker::default();
    assert_eq!(tracker.observe(seconds(0), "draft", FULL_TIME), Duration::ZERO);
    assert_eq!(tracker.observe(seconds(1), "draft", seconds(5)), seconds(3));
    assert_eq!(tracker.observe(seconds(1), "draft", FULL_TIME), Duration::ZERO);
}

/// The time that callers allow varies from request to request.
#[test]
fn new_requests_differ() {
    let mut tracker = DeadlineTracker::default();
    for step in 0..100_u32 {
        let time_left = FULL_TIME - Duration::from_millis(u64::from(step * 37 % 1_500));
        assert_eq!(
            tracker.observe(seconds(1), "draft", time_left),
            Duration::ZERO,
            "{time_left:?}"
        );
    }
}

#[test]
fn classes_apart() {
    let mut tracker = DeadlineTracker::default();
    tracker.observe(seconds(0), "draft", FULL_TIME);
    assert_eq!(tracker.observe(seconds(0), "look", Duration::from_millis(600)), Duration::ZERO);
}

/// Guards against one request with a long deadline that makes all later requests of its
/// class count as retries for good.
#[test]
fn long_deadline_forgotten() {
    let mut tracker = DeadlineTracker::default();
    tracker.observe(seconds(0), "draft", seconds(60));
    assert_eq!(tracker.observe(seconds(1), "draft", FULL_TIME), seconds(52));
    for second in 2..30 {
        tracker.observe(seconds(second), "draft", FULL_TIME);
    }
    assert_eq!(tracker.observe(seconds(30), "draft", FULL_TIME), Duration::ZERO);
}

#[test]
fn old_deadline_ignored() {
    let mut tracker = DeadlineTracker::default();
    tracker.observe(seconds(0), "draft", FULL_TIME);
    assert_eq!(tracker.observe(seconds(100), "draft", seconds(3)), Duration::ZERO);
}

#[test]
fn idle_classes_removed() {
    let mut tracker = DeadlineTracker::default();
    tracker.observe(seconds(0), "draft", FULL_TIME);
    tracker.observe(seconds(25), "look", FULL_TIME);
    tracker.remove_idle(seconds(26));
    assert_eq!(tracker.len(), 1);
}

/// Guards against retries that have less time left than their stream takes and only use up
/// capacity.
#[test]
fn required_stream_time() {
    let mut lengths = StreamLengths::default();
    let event_gap = Duration::from_millis(100);
    assert_eq!(lengths.required_time("draft", event_gap), Duration::ZERO);
    for _ in 0..50 {
        lengths.record("draft", 24);
    }
    let needed = lengths.required_time("draft", event_gap);
    assert!(needed > Duration::from_millis(1_800) && needed <= Duration::from_millis(2_400));
    lengths.retain(|class| class != "draft");
    assert_eq!(lengths.required_time("draft", event_gap), Duration::ZERO);
}
