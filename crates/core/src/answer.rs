//! Checks that the status of an answer is one, that the frames of an answer belong to the current attempt
//! and that none is missing.

use crate::ids::AttemptNumber;
use crate::ids::RequestId;

/// Returns whether a status ends an exchange. Any other is no answer in the protocol, or an interim one,
/// and tells nothing of the request.
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

/// What to do with a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameDecision {
    /// The next frame of the answer: passed on to the caller.
    Deliver,
    /// A frame of another request or attempt, or a duplicate: ignored.
    Drop,
    /// Frames before this one are missing: the attempt has failed.
    Gap,
}

/// Tracks the answer to one request over all its attempts.
#[derive(Debug, Clone)]
pub struct AnswerTracker {
    request: RequestId,
    attempt: AttemptNumber,
    next_sequence: u64,
    delivered: u64,
}

impl AnswerTracker {
    /// Creates a tracker before the first attempt, which has number 1 or higher.
    pub fn new(request: RequestId) -> AnswerTracker {
        AnswerTracker { request, attempt: 0, next_sequence: 0, delivered: 0 }
    }

    /// Starts an attempt; frames of earlier attempts are dropped from now on.
    ///
    /// # Panics
    ///
    /// Panics if `attempt` is not higher than the number of the attempt before it.
    pub fn begin_attempt(&mut self, attempt: AttemptNumber) {
        assert!(attempt > self.attempt, "attempt numbers of a request must increase");
        self.attempt = attempt;
        self.next_sequence = 0;
    }

    /// Decides on a frame by its request, attempt and sequence number within the attempt.
    pub fn check_frame(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        sequence: u64,
    ) -> FrameDecision {
        if request != self.request || attempt != self.attempt || sequence < self.next_sequence {
            return FrameDecision::Drop;
        }
        if sequence > self.next_sequence {
            return FrameDecision::Gap;
        }
        self.next_sequence += 1;
        FrameDecision::Deliver
    }

    /// Counts an event of the stream that was passed to the caller.
    pub fn record_delivered(&mut self) {
        self.delivered += 1;
    }

    /// Returns the number of events that were passed to the caller, over all attempts.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns the number of the current attempt; 0 before the first.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }
}
