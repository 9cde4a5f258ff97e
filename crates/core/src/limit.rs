//! Adapts the concurrency limit of one backend server to its measured latency.
//!
//! Latency is the time between two tokens or, for services that do not stream, the time
//! of a whole answer. The limit starts at a floor for cold servers. It rises while the
//! latency predicted at the raised limit stays near that of an idle server, falls when
//! the latency grows, and returns to the floor at once when the server restarts or slows
//! down abruptly.
//!
//! The latency of an idle server is taken to be the lowest one seen. It is corrected
//! upwards only while few requests are in flight: under load, the server's slowness would
//! otherwise become its own baseline.

use std::time::Duration;

/// Length of the window over which latency is averaged.
const LATENCY_WINDOW: Duration = Duration::from_millis(250);
/// Minimum time between two rises of the limit.
const RISE_INTERVAL: Duration = Duration::from_millis(500);
/// Fraction of the limit by which it rises, at least by one.
const RISE_FRACTION: f64 = 0.1;
/// Highest predicted latency, relative to the baseline, at which the limit still rises.
const MAX_RISE_RATIO: f64 = 1.28;
/// Latency, relative to the baseline, above which the limit falls.
const FALL_RATIO: f64 = 1.4;
/// Factor by which the limit falls.
const FALL_FACTOR: f64 = 0.85;
/// Fraction of the difference by which a window corrects the baseline upwards.
const BASELINE_CORRECTION: f64 = 0.1;
/// Ratio to the recent latency that counts as an abrupt slowdown if it lasts for two steps.
const SLOWDOWN_RATIO: f64 = 3.0;
/// Latency below which ratios are mostly noise.
const LATENCY_NOISE: Duration = Duration::from_millis(4);
/// Limit of a server whose latency has never been measured.
const UNMEASURED_LIMIT: u32 = 1;
/// Fraction of the limit that must be in use over a window for a rise: a lower load does
/// not show the latency at the limit.
const MIN_USED_FRACTION: f64 = 0.8;
/// Time without any progress after which a server with requests in flight is stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Bounds and latency target of an [`AdmissionLimit`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSettings {
    /// Lowest limit once a latency is known, and the limit after a restart, in concurrent
    /// requests.
    pub floor: u32,
    /// Highest limit, in concurrent requests.
    pub ceiling: u32,
    /// Latency above which the limit falls whatever the baseline is.
    pub latency_target: Duration,
}

impl Default for LimitSettings {
    fn default() -> LimitSettings {
        LimitSettings { floor: 2, ceiling: 256, latency_target: Duration::from_millis(50) }
    }
}

/// Counts the requests in flight at a backend server and decides whether to admit more.
#[derive(Debug, Clone)]
pub struct AdmissionLimit {
    settings: LimitSettings,
    limit: f64,
    in_flight: u32,
    /// Mean latency of the last window, relative to the baseline.
    last_ratio: f64,
    /// Latency taken to be that of the idle server.
    baseline: Option<Duration>,
    /// Mean latency of the last window since the last reset.
    recent_latency: Option<Duration>,
    window_start: Duration,
    window_sum: Duration,
    window_count: u32,
    /// Sum, over the samples, of the requests in flight.
    window_load: u64,
    last_rise: Duration,
    /// Time of the last sample, success or admission to an idle server.
    last_progress: Duration,
    slow_since: Option<Duration>,
}

impl AdmissionLimit {
    /// Creates a limit that starts at the floor.
    pub fn new(settings: LimitSettings) -> AdmissionLimit {
        AdmissionLimit {
            settings,
            limit: f64::from(settings.floor),
            in_flight: 0,
            last_ratio: 1.0,
            baseline: None,
            recent_latency: None,
            window_start: Duration::ZERO,
            window_sum: Duration::ZERO,
            window_count: 0,
            window_load: 0,
            last_rise: Duration::ZERO,
            last_progress: Duration::ZERO,
            slow_since: None,
        }
    }

    /// Admits one request, if the limit allows it and the server is not stalled.
    ///
    /// Each admitted request has to be reported to [`finish`](AdmissionLimit::finish).
    pub fn try_admit(&mut self, now: Duration) -> bool {
        if self.in_flight >= self.limit() || self.stalled(now) {
            return false;
        }
        if self.in_flight == 0 {
            self.last_progress = now;
        }
        self.in_flight += 1;
        assert!(self.in_flight <= self.settings.ceiling, "admitted above the ceiling");
        true
    }

    /// Records the end of an admitted request; a failed one lowers the limit.
    pub fn finish(&mut self, now: Duration, succeeded: bool) {
        assert!(self.in_flight > 0, "finished more requests than were admitted");
        self.in_flight -= 1;
        if succeeded {
            self.last_progress = now;
        } else {
            self.lower_limit();
        }
    }

    /// Records the latency between two tokens, or of a whole answer that is not streamed.
    pub fn observe(&mut self, now: Duration, latency: Duration) {
        self.last_progress = now;
        if self.slowed_down(now, latency) {
            self.reset(now);
            return;
        }
        self.window_sum += latency;
        self.window_count += 1;
        self.window_load += u64::from(self.in_flight);
        if now >= self.window_start + LATENCY_WINDOW {
            self.close_window(now);
        }
    }

    /// Returns the limit to the floor, because the server restarted or became cold.
    ///
    /// The baseline is kept: measured with requests in flight, a new one would be too high.
    pub fn reset(&mut self, now: Duration) {
        self.limit = f64::from(self.settings.floor);
        self.recent_latency = None;
        self.slow_since = None;
        self.last_rise = now;
        self.open_window(now);
    }

    /// Sets the latency above which the limit falls.
    pub fn set_latency_target(&mut self, target: Duration) {
        self.settings.latency_target = target;
    }

    /// Returns the current limit: one until a latency is known.
    pub fn limit(&self) -> u32 {
        if self.baseline.is_none() { UNMEASURED_LIMIT } else { self.limit as u32 }
    }

    /// Returns the number of admitted requests that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether requests are in flight and none has progressed for two seconds.
    pub fn stalled(&self, now: Duration) -> bool {
        self.in_flight > 0 && self.last_progress + STALL_TIMEOUT < now
    }

    /// Returns whether the server has slowed down abruptly.
    ///
    /// A single late step delays every stream at once, so the latency has to stay high
    /// until a second step.
    fn slowed_down(&mut self, now: Duration, latency: Duration) -> bool {
        let Some(recent_latency) = self.recent_latency else {
            return false;
        };
        if latency <= recent_latency.max(LATENCY_NOISE).mul_f64(SLOWDOWN_RATIO) {
            self.slow_since = None;
            return false;
        }
        let since = *self.slow_since.get_or_insert(now);
        now >= since + latency / 2
    }

    fn close_window(&mut self, now: Duration) {
        let mean = (self.window_sum / self.window_count).max(LATENCY_NOISE);
        let load = self.window_load as f64 / f64::from(self.window_count);
        let baseline = self.corrected_baseline(mean, load);
        self.baseline = Some(baseline);
        self.recent_latency = Some(mean);
        let ratio = mean.as_secs_f64() / baseline.as_secs_f64();
        if ratio > FALL_RATIO || mean > self.settings.latency_target {
            self.lower_limit();
        } else {
            self.raise_limit(now, ratio.max(self.last_ratio), load);
        }
        self.last_ratio = ratio;
        self.open_window(now);
    }

    /// Returns the baseline after a window with this mean latency and mean load.
    fn corrected_baseline(&self, mean: Duration, load: f64) -> Duration {
        let Some(baseline) = self.baseline.filter(|baseline| *baseline < mean) else {
            return mean;
        };
        if load > f64::from(self.settings.floor) {
            return baseline;
        }
        baseline + (mean - baseline).mul_f64(BASELINE_CORRECTION)
    }

    /// Raises the limit if it is in use and the predicted latency allows it.
    ///
    /// The latency above the baseline is assumed to grow with the square of the number of
    /// requests in flight.
    fn raise_limit(&mut self, now: Duration, ratio: f64, load: f64) {
        let used = load >= self.limit.floor() * MIN_USED_FRACTION;
        if !used || now < self.last_rise + RISE_INTERVAL {
            return;
        }
        let step = (self.limit * RISE_FRACTION).max(1.0);
        let raised = (self.limit + step).min(f64::from(self.settings.ceiling));
        let growth = raised / load.max(1.0);
        if 1.0 + (ratio - 1.0) * growth * growth > MAX_RISE_RATIO {
            return;
        }
        self.limit = raised;
        self.last_rise = now;
    }

    fn lower_limit(&mut self) {
        self.limit = (self.limit * FALL_FACTOR).max(f64::from(self.settings.floor));
    }

    fn open_window(&mut self, now: Duration) {
        self.window_start = now;
        self.window_sum = Duration::ZERO;
        self.window_count = 0;
        self.window_load = 0;
    }
}
