//! Capacity of a stand-in backend server, which grows linearly from cold to warm. It is hidden
//! from the agents, which have to find the limit by themselves.

use std::io::Write;
use std::time::Duration;
use std::time::Instant;

/// Relative growth of the step time when the server is at its capacity.
const FULL_LOAD_GROWTH: f64 = 0.6;

/// Capacity curve of a stand-in backend server.
#[derive(Debug, Clone, Copy)]
pub struct CapacitySettings {
    /// Concurrency that the server tolerates when cold.
    pub cold: f64,
    /// Concurrency that the server tolerates when warm.
    pub full: f64,
    /// Time from cold to warm.
    pub warm_time: Duration,
    /// Time of a generation step, or of a booking, with a single request.
    pub base: Duration,
}

/// Line that a stand-in writes when it receives more requests than its capacity.
pub const OVERRUN_LINE: &str = "overrun";

/// Writes [`OVERRUN_LINE`] to standard output, for the drill to count.
pub fn report_overrun() {
    let _ = writeln!(std::io::stdout(), "{OVERRUN_LINE}");
}

/// Current capacity of a stand-in server.
#[derive(Debug, Clone)]
pub struct CapacityModel {
    settings: CapacitySettings,
    cold_since: Instant,
}

impl CapacityModel {
    /// Returns the model of a server that starts cold now.
    pub fn new(settings: CapacitySettings) -> CapacityModel {
        CapacityModel { settings, cold_since: Instant::now() }
    }

    /// Makes the server cold again.
    pub fn reset_to_cold(&mut self) {
        self.cold_since = Instant::now();
    }

    /// Returns the concurrency that the server tolerates now.
    pub fn capacity(&self) -> f64 {
        let warmth =
            self.cold_since.elapsed().as_secs_f64() / self.settings.warm_time.as_secs_f64();
        let range = self.settings.full - self.settings.cold;
        self.settings.cold + range * warmth.clamp(0.0, 1.0)
    }

    /// Returns the time of a step with `batch` concurrent requests.
    pub fn step_time(&self, batch: usize) -> Duration {
        let load = batch as f64 / self.capacity();
        self.settings.base.mul_f64(1.0 + FULL_LOAD_GROWTH * load * load)
    }
}
