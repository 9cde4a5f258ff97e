//! Rate at which requests of a service are placed, and the wait that follows.

use std::time::Duration;

/// Span over which the rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Placements a second over the last full span.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlacementRate {
    window_start: Duration,
    count: u32,
    per_second: f64,
}

impl PlacementRate {
    /// Counts a placement.
    pub fn record_placement(&mut self, now: Duration) {
        self.advance(now);
        self.count += 1;
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.window_start);
        if passed < RATE_WINDOW {
            return;
        }
        self.per_second = f64::from(self.count) / passed.as_secs_f64();
        self.count = 0;
        self.window_start = now;
    }

    /// Returns the time until a request with `ahead` others before it is placed;
    /// `None` while nothing was placed.
    pub fn expected_wait(&self, ahead: usize) -> Option<Duration> {
        if self.per_second <= 0.0 {
            return None;
        }
        Some(Duration::from_secs_f64(ahead as f64 / self.per_second))
    }
}
