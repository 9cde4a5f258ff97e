//! Circuit breaker: whether requests may be sent to a service whose servers refuse all
//! of them.
//!
//! A group that has lost a rank refuses every request until it is formed again. Each
//! refused request has used one of its attempts, so while the breaker is open only one
//! request at a time is sent as a probe, and the others wait.

use std::time::Duration;

/// Consecutive refusals after which the breaker opens; fewer may be due to a single
/// server.
const REFUSALS_TO_OPEN: u32 = 3;
/// Interval between two probes; a group forms within a few hundred milliseconds.
const PROBE_INTERVAL: Duration = Duration::from_millis(120);

/// Circuit breaker of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CircuitBreaker {
    consecutive_refusals: u32,
    next_probe_at: Duration,
}

/// What may be sent to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerState {
    /// All requests.
    Closed,
    /// One request, as a probe.
    HalfOpen,
    /// No request until the next probe is due.
    Open,
}

impl CircuitBreaker {
    /// Records that a server refused a request; returns whether this opens the breaker.
    pub fn record_refusal(&mut self, now: Duration) -> bool {
        self.consecutive_refusals += 1;
        self.next_probe_at = now + PROBE_INTERVAL;
        self.consecutive_refusals == REFUSALS_TO_OPEN
    }

    /// Opens the breaker: the service is known to be out. The first probe is due at once.
    pub fn trip(&mut self, now: Duration) {
        self.consecutive_refusals = self.consecutive_refusals.max(REFUSALS_TO_OPEN);
        self.next_probe_at = now;
    }

    /// Records that a server serves a request; returns whether this closes the breaker.
    pub fn record_success(&mut self) -> bool {
        let was_open = self.consecutive_refusals >= REFUSALS_TO_OPEN;
        self.consecutive_refusals = 0;
        was_open
    }

    /// Records that a probe is sent; the next one is due an interval later.
    pub fn record_probe(&mut self, now: Duration) {
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    /// Returns what may be sent now.
    pub fn state(&self, now: Duration) -> BreakerState {
        if self.consecutive_refusals < REFUSALS_TO_OPEN {
            BreakerState::Closed
        } else if now >= self.next_probe_at {
            BreakerState::HalfOpen
        } else {
            BreakerState::Open
        }
    }
}
