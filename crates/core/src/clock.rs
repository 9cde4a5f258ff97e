//! Elapsed and wall time behind a trait, and a hybrid logical clock for ordering events.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Low bits of a hybrid timestamp, which count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// Source of time. Decisions receive its values as arguments and never read it themselves.
pub trait Clock: Send + Sync {
    /// Returns the time since the process started; never decreases.
    fn elapsed(&self) -> Duration;
    /// Returns the wall time, which may jump.
    fn wall(&self) -> SystemTime;
}

/// Clock of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Starts a clock with an elapsed time of zero.
    pub fn start() -> SystemClock {
        SystemClock { start: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Hybrid logical timestamp: milliseconds since the Unix epoch above a counter of 16 bits.
pub type HybridStamp = u64;

/// Hybrid logical clock: follows wall time, but stays ahead of every timestamp seen.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: HybridStamp,
}

impl HybridClock {
    /// Returns the timestamp of a local event at wall time `wall`.
    pub fn tick(&mut self, wall: SystemTime) -> HybridStamp {
        self.last = wall_stamp(wall).max(self.last + 1);
        self.last
    }

    /// Advances past the timestamp of a received message; returns that of its receipt.
    pub fn merge(&mut self, wall: SystemTime, seen: HybridStamp) -> HybridStamp {
        self.last = self.last.max(seen);
        self.tick(wall)
    }
}

/// Returns the wall time of a timestamp, in milliseconds since the Unix epoch.
pub fn stamp_millis(stamp: HybridStamp) -> u64 {
    stamp >> COUNTER_BITS
}

fn wall_stamp(wall: SystemTime) -> HybridStamp {
    let millis = wall.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    (millis as u64) << COUNTER_BITS
}
