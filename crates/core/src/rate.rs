//! Measures how many requests of a service leave its queue per second, and estimates from
//! it how long a queued request will wait.

use std::time::Duration;

/// Minimum length of a measuring window.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Rate at which requests are placed (sent to a server or admitted), over the last complete
/// window.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlacementRate {
    window_start: Duration,
    count: u32,
    per_second: f64,
}

impl PlacementRate {
    /// Records a placed request.
    pub fn record_placement(&mut self, now: Duration) {
        self.advance(now);
        self.count += 1;
    }

    /// Closes the current window if it is complete, and starts the next one.
    pub fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < RATE_WINDOW {
            return;
        }
        self.per_second = f64::from(self.count) / elapsed.as_secs_f64();
        self.count = 0;
        self.window_start = now;
    }

    /// Returns the expected wait of a request that has `ahead` others before it in the
    /// queue; `None` if none was placed in the last window.
    pub fn expected_wait(&self, ahead: usize) -> Option<Duration> {
        if self.per_second <= 0.0 {
            return None;
        }
        Some(Duration::from_secs_f64(ahead as f64 / self.per_second))
    }
}
