//! Admission limit of one backend server, learned from its own behaviour.
//!
//! The limit starts at a cold floor. It rises while the pace that is to be
//! expected at the raised limit stays near the pace of an idle server, falls
//! when the pace drops, and returns to the floor at once when the server
//! restarts or its pace collapses. Pace is the time between tokens or, for
//! plain services, the time of an answer. The idle pace is the best one seen;
//! it is corrected upwards only while little is in flight, because a loaded
//! server would make its own slowness the norm.

use std::time::Duration;

/// Span over which pace is averaged.
const PACE_WINDOW: Duration = Duration::from_millis(250);
/// Time between two rises of the limit.
const RISE_INTERVAL: Duration = Duration::from_millis(500);
/// Rise at a time, as a share of the limit; at least one.
const RISE_SHARE: f64 = 0.1;
/// Pace expected after a rise, relative to the best, up to which the limit rises.
const RISE_BELOW: f64 = 1.28;
/// Pace, relative to the best, above which the limit falls.
const FALL_ABOVE: f64 = 1.4;
/// Factor of one fall.
const FALL_FACTOR: f64 = 0.85;
/// Part of the difference by which the best pace is corrected upwards.
const BEST_CORRECTION: f64 = 0.1;
/// A pace this many times the recent one, kept for two steps, is a collapse.
const COLLAPSE_RATIO: f64 = 3.0;
/// Pace below which a ratio says nothing but noise.
const PACE_NOISE: Duration = Duration::from_millis(4);
/// Limit of a server whose pace has never been seen.
const UNKNOWN_LIMIT: u32 = 1;
/// Share of the limit that must be in use over a window for a rise: from little
/// use the pace at the limit cannot be told.
const USED_SHARE: f64 = 0.8;
/// Silence of a server with work in flight after which it counts as stalled.
const STALL_AFTER: Duration = Duration::from_secs(2);

/// Bounds of an [`AdmissionLimit`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSettings {
    /// Concurrency admitted to a server of which nothing is known.
    pub floor: u32,
    /// Highest concurrency ever admitted.
    pub ceiling: u32,
    /// Pace above which the limit falls whatever the best pace was.
    pub latency_target: Duration,
}

impl Default for LimitSettings {
    fn default() -> LimitSettings {
        LimitSettings { floor: 2, ceiling: 256, latency_target: Duration::from_millis(50) }
    }
}

/// Counts what a backend server holds and decides what more it gets.
#[derive(Debug, Clone)]
pub struct AdmissionLimit {
    settings: LimitSettings,
    limit: f64,
    in_flight: u32,
    last_ratio: f64,
    best: Option<Duration>,
    recent: Option<Duration>,
    window_start: Duration,
    window_sum: Duration,
    window_count: u32,
    window_load: u64,
    last_rise: Duration,
    last_sign: Duration,
    slow_since: Option<Duration>,
}

impl AdmissionLimit {
    /// Starts at the floor.
    pub fn new(settings: LimitSettings) -> AdmissionLimit {
        AdmissionLimit {
            settings,
            limit: f64::from(settings.floor),
            in_flight: 0,
            last_ratio: 1.0,
            best: None,
            recent: None,
            window_start: Duration::ZERO,
            window_sum: Duration::ZERO,
            window_count: 0,
            window_load: 0,
            last_rise: Duration::ZERO,
            last_sign: Duration::ZERO,
            slow_since: None,
        }
    }

    /// Admits one request if the limit allows it.
    pub fn try_admit(&mut self, now: Duration) -> bool {
        if self.in_flight >= self.limit() || self.stalled(now) {
            return false;
        }
        if self.in_flight == 0 {
            self.last_sign = now;
        }
        self.in_flight += 1;
        assert!(self.in_flight <= self.settings.ceiling, "admitted above the ceiling");
        true
    }

    /// Notes the end of an admitted request.
    pub fn finish(&mut self, now: Duration, succeeded: bool) {
        assert!(self.in_flight > 0, "finished more requests than were admitted");
        self.in_flight -= 1;
        if succeeded {
            self.last_sign = now;
        } else {
            self.fall();
        }
    }

    /// Notes the time between two tokens, or the time of a plain answer.
    pub fn observe(&mut self, now: Duration, pace: Duration) {
        self.last_sign = now;
        if self.collapsed(now, pace) {
            self.reset(now);
            return;
        }
        self.window_sum += pace;
        self.window_count += 1;
        self.window_load += u64::from(self.in_flight);
        if now >= self.window_start + PACE_WINDOW {
            self.close_window(now);
        }
    }

    /// Returns to the floor: the server restarted or turned cold.
    ///
    /// The best pace is kept, for work in flight would set a worse one.
    pub fn reset(&mut self, now: Duration) {
        self.limit = f64::from(self.settings.floor);
        self.recent = None;
        self.slow_since = None;
        self.last_rise = now;
        self.open_window(now);
    }

    /// Changes the pace that must be kept.
    pub fn set_latency_target(&mut self, target: Duration) {
        self.settings.latency_target = target;
    }

    /// Returns the concurrency that is admitted now: one until a pace is known.
    pub fn limit(&self) -> u32 {
        if self.best.is_none() { UNKNOWN_LIMIT } else { self.limit as u32 }
    }

    /// Returns the number of admitted requests that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether work is in flight and nothing has been heard of it for long.
    pub fn stalled(&self, now: Duration) -> bool {
        self.in_flight > 0 && self.last_sign + STALL_AFTER < now
    }

    /// Whether the pace has collapsed. One late step shows in every stream at
    /// once, so a second one has to follow it.
    fn collapsed(&mut self, now: Duration, pace: Duration) -> bool {
        let Some(recent) = self.recent else {
            return false;
        };
        if pace <= recent.max(PACE_NOISE).mul_f64(COLLAPSE_RATIO) {
            self.slow_since = None;
            return false;
        }
        let since = *self.slow_since.get_or_insert(now);
        now >= since + pace / 2
    }

    fn close_window(&mut self, now: Duration) {
        let mean = (self.window_sum / self.window_count).max(PACE_NOISE);
        let load = self.window_load as f64 / f64::from(self.window_count);
        let best = self.corrected_best(mean, load);
        self.best = Some(best);
        self.recent = Some(mean);
        let ratio = mean.as_secs_f64() / best.as_secs_f64();
        if ratio > FALL_ABOVE || mean > self.settings.latency_target {
            self.fall();
        } else {
            self.rise(now, ratio.max(self.last_ratio), load);
        }
        self.last_ratio = ratio;
        self.open_window(now);
    }

    fn corrected_best(&self, mean: Duration, load: f64) -> Duration {
        let Some(best) = self.best.filter(|best| *best < mean) else {
            return mean;
        };
        if load > f64::from(self.settings.floor) {
            return best;
        }
        best + (mean - best).mul_f64(BEST_CORRECTION)
    }

    /// Raises the limit if it is used and the expected pace allows it.
    ///
    /// The part of the pace above the best is taken to grow with the square of
    /// what is in flight.
    fn rise(&mut self, now: Duration, ratio: f64, load: f64) {
        let used = load >= self.limit.floor() * USED_SHARE;
        if !used || now < self.last_rise + RISE_INTERVAL {
            return;
        }
        let step = (self.limit * RISE_SHARE).max(1.0);
        let raised = (self.limit + step).min(f64::from(self.settings.ceiling));
        let growth = raised / load.max(1.0);
        if 1.0 + (ratio - 1.0) * growth * growth > RISE_BELOW {
            return;
        }
        self.limit = raised;
        self.last_rise = now;
    }

    fn fall(&mut self) {
        self.limit = (self.limit * FALL_FACTOR).max(f64::from(self.settings.floor));
    }

    fn open_window(&mut self, now: Duration) {
        self.window_start = now;
        self.window_sum = Duration::ZERO;
        self.window_count = 0;
        self.window_load = 0;
    }
}
