//! Holds requests back from a service whose servers turn all of them away.
//!
//! A group of ranks that has lost one turns every request away until it is formed
//! again. Each request that tries uses up its attempts, so only one at a time
//! probes while the others wait.

use std::time::Duration;

/// Requests in a row that are turned away before the others wait; fewer may be
/// the fault of one server.
const TRIPPING_REFUSALS: u32 = 3;
/// Pause between two probes; a group forms within some hundred milliseconds.
const PROBE_PAUSE: Duration = Duration::from_millis(120);

/// Whether requests may be sent to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CircuitBreaker {
    refusals: u32,
    next_probe: Duration,
}

/// What may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerState {
    /// Anything.
    Closed,
    /// One request.
    HalfOpen,
    /// Nothing.
    Open,
}

impl CircuitBreaker {
    /// Notes that a request was turned away. True when the breaker opens by it.
    pub fn record_refusal(&mut self, now: Duration) -> bool {
        self.refusals += 1;
        self.next_probe = now + PROBE_PAUSE;
        self.refusals == TRIPPING_REFUSALS
    }

    /// Notes that a request is being served. True when the breaker closes by it.
    pub fn record_success(&mut self) -> bool {
        let open = self.refusals >= TRIPPING_REFUSALS;
        self.refusals = 0;
        open
    }

    /// Notes that a probe goes out; the next one follows after a pause.
    pub fn record_probe(&mut self, now: Duration) {
        self.next_probe = now + PROBE_PAUSE;
    }

    /// Returns what may be sent now.
    pub fn state(&self, now: Duration) -> BreakerState {
        if self.refusals < TRIPPING_REFUSALS {
            BreakerState::Closed
        } else if now >= self.next_probe {
            BreakerState::HalfOpen
        } else {
            BreakerState::Open
        }
    }
}
