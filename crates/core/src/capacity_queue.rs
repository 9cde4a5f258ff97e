//! Orders the requests of a service that wait while none of its servers takes one: they are full,
//! or state limits that leave no room.
//!
//! One request at a time, the first in turn, looks for a server: the most urgent one, of equal
//! priority one that can still be answered on time, and in turn between organisations. A request
//! that would not get a server before it expires is rejected at once, by the time that turns took
//! lately.

use std::time::Duration;

use crate::ids::RequestId;
use crate::queue::FairQueue;
use crate::queue::WaitingRequest;

/// Most requests that may wait at one gateway.
const QUEUE_CAPACITY: usize = 256;
/// Highest priority value that is told apart; platforms use values up to 9.
const MAX_PRIORITY: u8 = 63;
/// Weight of the latest turn in the moving average of their durations.
const TURN_WEIGHT: f64 = 0.25;

/// A request that asks for its turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnRequest {
    /// Identity of the request.
    pub request: RequestId,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Organisation of the caller; empty if there is none.
    pub organisation: String,
    /// Whether the request can no longer be answered on time.
    pub is_overdue: bool,
    /// When the request gives up.
    pub expires_at: Duration,
}

/// Requests of one service that wait for a server at this gateway.
#[derive(Debug, Clone)]
pub struct CapacityQueue {
    queue: FairQueue,
    /// Since when the first request waits for a server.
    turn_since: Duration,
    /// Moving average of the time between two requests that get a server.
    mean_turn: Duration,
}

impl Default for CapacityQueue {
    fn default() -> CapacityQueue {
        CapacityQueue {
            queue: FairQueue::new(QUEUE_CAPACITY),
            turn_since: Duration::ZERO,
            mean_turn: Duration::ZERO,
        }
    }
}

impl CapacityQueue {
    /// Returns whether requests wait, so that a further one has to join them.
    pub fn is_contended(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Adds a request. If it would not get a server in time, returns the expected wait instead.
    pub fn join(&mut self, now: Duration, turn_request: &TurnRequest) -> Result<(), Duration> {
        let TurnRequest { request, organisation, expires_at, .. } = turn_request;
        let priority = queue_priority(turn_request);
        let wait = if self.is_contended() {
            let elapsed = now.saturating_sub(self.turn_since);
            let ahead = self.queue.ahead_of(priority, organisation);
            self.mean_turn.saturating_sub(elapsed) + self.mean_turn.saturating_mul(ahead as u32)
        } else {
            self.turn_since = now;
            Duration::ZERO
        };
        let waiting = WaitingRequest { request: *request, expires_at: *expires_at };
        if now + wait > *expires_at || !self.queue.push(priority, organisation, waiting) {
            return Err(wait);
        }
        Ok(())
    }

    /// Returns whether it is a request's turn to look for a server.
    pub fn is_in_turn(&self, request: RequestId) -> bool {
        self.queue.first() == Some(request)
    }

    /// Takes a request out that got a server, or gave up.
    pub fn leave(&mut self, now: Duration, request: RequestId, served: bool) {
        if !served || !self.is_in_turn(request) {
            self.queue.remove(request);
        } else {
            self.queue.pop();
        }
        if served {
            let turn = now.saturating_sub(self.turn_since);
            let earlier = self.mean_turn.mul_f64(1.0 - TURN_WEIGHT);
            self.mean_turn = earlier + turn.mul_f64(TURN_WEIGHT);
            self.turn_since = now;
        }
    }
}

/// Returns the priority of a request in the queue, which serves higher values first.
fn queue_priority(turn_request: &TurnRequest) -> u8 {
    let priority = turn_request.priority.min(MAX_PRIORITY);
    u8::MAX - 2 * priority - u8::from(turn_request.is_overdue)
}
