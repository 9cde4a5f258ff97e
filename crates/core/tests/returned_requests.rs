//! Pattern: callers that were refused come back with what is left of their time.

use std::time::Duration;

use cuminpick::deadlines::DeadlineTracker;
use cuminpick::deadlines::StreamLengths;

const WHOLE: Duration = Duration::from_secs(8);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn returns_recognised() {
    let mut book = DeadlineTracker::default();
    assert_eq!(book.observe(seconds(0), "draft", WHOLE), Duration::ZERO);
    assert_eq!(book.observe(seconds(1), "draft", seconds(5)), seconds(3));
    assert_eq!(book.observe(seconds(1), "draft", WHOLE), Duration::ZERO);
}

/// Callers' times differ somewhat from request to request.
#[test]
fn new_requests_differ() {
    let mut book = DeadlineTracker::default();
    for step in 0..100_u32 {
        let left = WHOLE - Duration::from_millis(u64::from(step * 37 % 1_500));
        assert_eq!(book.observe(seconds(1), "draft", left), Duration::ZERO, "{left:?}");
    }
}

#[test]
fn classes_apart() {
    let mut book = DeadlineTracker::default();
    book.observe(seconds(0), "draft", WHOLE);
    assert_eq!(book.observe(seconds(0), "look", Duration::from_millis(600)), Duration::ZERO);
}

/// One caller with more time than the others does not make them late for good.
#[test]
fn patient_caller_forgotten() {
    let mut book = DeadlineTracker::default();
    book.observe(seconds(0), "draft", seconds(60));
    assert_eq!(book.observe(seconds(1), "draft", WHOLE), seconds(52));
    for second in 2..30 {
        book.observe(seconds(second), "draft", WHOLE);
    }
    assert_eq!(book.observe(seconds(30), "draft", WHOLE), Duration::ZERO);
}

#[test]
fn quiet_spell() {
    let mut book = DeadlineTracker::default();
    book.observe(seconds(0), "draft", WHOLE);
    assert_eq!(book.observe(seconds(100), "draft", seconds(3)), Duration::ZERO);
}

#[test]
fn quiet_classes_forgotten() {
    let mut book = DeadlineTracker::default();
    book.observe(seconds(0), "draft", WHOLE);
    book.observe(seconds(25), "look", WHOLE);
    book.remove_idle(seconds(26));
    assert_eq!(book.len(), 1);
}

/// One that comes back with less time than its stream takes only uses up room.
#[test]
fn too_late_to_end() {
    let mut lengths = StreamLengths::default();
    let pause = Duration::from_millis(100);
    assert_eq!(lengths.required_time("draft", pause), Duration::ZERO);
    for _ in 0..50 {
        lengths.record("draft", 24);
    }
    let needed = lengths.required_time("draft", pause);
    assert!(needed > Duration::from_millis(1_800) && needed <= Duration::from_millis(2_400));
    lengths.retain(|class| class != "draft");
    assert_eq!(lengths.required_time("draft", pause), Duration::ZERO);
}
