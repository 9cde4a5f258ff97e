//! What a stand-in backend server bears: a hidden curve from cold to warm.

use std::io::Write;
use std::time::Duration;
use std::time::Instant;

/// Growth of the step time at the edge of what the server bears.
const EDGE_GROWTH: f64 = 0.6;

/// Curve of a stand-in backend server.
#[derive(Debug, Clone, Copy)]
pub struct BearingSettings {
    /// Concurrency that it bears when cold.
    pub cold: f64,
    /// Concurrency that it bears when warm.
    pub full: f64,
    /// Time from cold to warm.
    pub warm_time: Duration,
    /// Step time, or time of a plain answer, of a single request.
    pub base: Duration,
}

/// Line that a stand-in writes when it gets more than it bears.
pub const OVERRUN_LINE: &str = "overrun";

/// Writes [`OVERRUN_LINE`] to standard output, for the drill to count.
pub fn note_overrun() {
    let _ = writeln!(std::io::stdout(), "{OVERRUN_LINE}");
}

/// What the server bears now.
#[derive(Debug, Clone)]
pub struct BearingModel {
    settings: BearingSettings,
    cold_since: Instant,
}

impl BearingModel {
    /// Starts cold.
    pub fn new(settings: BearingSettings) -> BearingModel {
        BearingModel { settings, cold_since: Instant::now() }
    }

    /// Turns cold.
    pub fn chill(&mut self) {
        self.cold_since = Instant::now();
    }

    /// Concurrency that the server bears now.
    pub fn bears(&self) -> f64 {
        let warmth =
            self.cold_since.elapsed().as_secs_f64() / self.settings.warm_time.as_secs_f64();
        let spread = self.settings.full - self.settings.cold;
        self.settings.cold + spread * warmth.clamp(0.0, 1.0)
    }

    /// Time of a step with `batch` requests.
    pub fn step_time(&self, batch: usize) -> Duration {
        let load = batch as f64 / self.bears();
        self.settings.base.mul_f64(1.0 + EDGE_GROWTH * load * load)
    }
}
