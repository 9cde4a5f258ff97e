//! Checks that the frames of an answer belong together and are whole.

use crate::ids::AttemptNumber;
use crate::ids::RequestId;

/// What to do with a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameDecision {
    /// Next frame of the answer.
    Deliver,
    /// Frame of another request, of another attempt, or one seen before.
    Drop,
    /// Frames before this one are missing; the attempt has failed.
    Gap,
}

/// Follows one answer over all attempts of its request.
#[derive(Debug, Clone)]
pub struct AnswerTracker {
    request: RequestId,
    attempt: AttemptNumber,
    next: u64,
    delivered: u64,
}

impl AnswerTracker {
    /// Starts before the first attempt.
    pub fn new(request: RequestId) -> AnswerTracker {
        AnswerTracker { request, attempt: 0, next: 0, delivered: 0 }
    }

    /// Starts an attempt; frames of earlier ones are dropped from now on.
    pub fn begin_attempt(&mut self, attempt: AttemptNumber) {
        assert!(attempt > self.attempt, "attempts of a request must count up");
        self.attempt = attempt;
        self.next = 0;
    }

    /// Judges a frame by its request, attempt and place within the attempt.
    pub fn check_frame(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        sequence: u64,
    ) -> FrameDecision {
        if request != self.request || attempt != self.attempt || sequence < self.next {
            return FrameDecision::Drop;
        }
        if sequence > self.next {
            return FrameDecision::Gap;
        }
        self.next += 1;
        FrameDecision::Deliver
    }

    /// Notes that an event of the stream went to the caller.
    pub fn record_delivered(&mut self) {
        self.delivered += 1;
    }

    /// Events of the stream that the caller has, over all attempts.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Current attempt.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }
}
