//! Clocks: elapsed and wall time behind an interface, and the hybrid clock.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Bits of a hybrid timestamp that count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// Source of time; decisions receive its values and never read it themselves.
pub trait Clock: Send + Sync {
    /// Time since the process started; never goes back.
    fn elapsed(&self) -> Duration;
    /// Wall time, which may jump.
    fn wall(&self) -> SystemTime;
}

/// Clock of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Starts a clock whose elapsed time is zero now.
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

/// Hybrid logical timestamp: wall milliseconds above a counter of 16 bits.
pub type HybridStamp = u64;

/// Hybrid logical clock: follows wall time, and never falls behind a stamp seen.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: HybridStamp,
}

impl HybridClock {
    /// Returns the stamp of a local event at wall time `wall`.
    pub fn tick(&mut self, wall: SystemTime) -> HybridStamp {
        self.last = wall_stamp(wall).max(self.last + 1);
        self.last
    }

    /// Takes in a stamp that came with a message and returns the receive event's.
    pub fn merge(&mut self, wall: SystemTime, seen: HybridStamp) -> HybridStamp {
        self.last = self.last.max(seen);
        self.tick(wall)
    }
}

/// Returns the wall part of a stamp, in milliseconds since the Unix epoch.
pub fn stamp_millis(stamp: HybridStamp) -> u64 {
    stamp >> COUNTER_BITS
}

fn wall_stamp(wall: SystemTime) -> HybridStamp {
    let millis = wall.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    (millis as u64) << COUNTER_BITS
}
