//! Estimates how long a queued request will wait, from the rate at which requests leave the
//! queue ([`PlacementRate`]) or at which running streams leave their service ([`LeaveRate`]).

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

/// Time over which the highest rate of a service counts. A pass that stalls makes the event
/// gap long, and the rate low, for the few passes until the average follows.
const LEAVE_WINDOW: Duration = Duration::from_secs(1);
/// Time for which a service must have run streams before its rate is used; its first event
/// gaps include the reading of many prompts at once.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Streams of a service, as far as a gateway needs them to estimate how many leave.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningStreams {
    /// Streams that run, over all gateways.
    pub total: u32,
    /// Streams that this gateway runs.
    pub own: u32,
    /// Gateways that send streams to the service.
    pub gateways: usize,
    /// Mean number of events of a stream.
    pub mean_events: f64,
    /// Average gap between events.
    pub event_gap: Duration,
}

impl RunningStreams {
    /// Returns how many streams leave the service per second for which this gateway may send
    /// others: its share of those that leave. The share is even, or that of the running streams
    /// if the gateway has more of these. `None` if no streams run.
    pub fn leave_rate(&self) -> Option<f64> {
        let duration = self.event_gap.as_secs_f64() * self.mean_events;
        if self.total == 0 || duration <= 0.0 {
            return None;
        }
        let even_share = f64::from(self.total) / self.gateways.max(1) as f64;
        Some(even_share.max(f64::from(self.own)) / duration)
    }
}

/// Rate at which streams leave a service, of which a gateway fills its part.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaveRate {
    known_since: Option<Duration>,
    window_start: Duration,
    highest: f64,
    previous_highest: f64,
}

impl LeaveRate {
    /// Records the rate now, in streams per second; `None` while it is not known.
    pub fn record(&mut self, now: Duration, per_second: Option<f64>) {
        let Some(per_second) = per_second.filter(|per_second| *per_second > 0.0) else {
            *self = LeaveRate::default();
            return;
        };
        if self.known_since.is_none() {
            *self = LeaveRate { known_since: Some(now), window_start: now, ..*self };
        }
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= LEAVE_WINDOW / 2 {
            self.previous_highest = if elapsed < LEAVE_WINDOW { self.highest } else { 0.0 };
            self.highest = 0.0;
            self.window_start = now;
        }
        self.highest = self.highest.max(per_second);
    }

    /// Returns the highest rate of the last second, in streams per second; `None` if the
    /// service has not run streams for long enough.
    pub fn per_second(&self, now: Duration) -> Option<f64> {
        let is_settled = self.known_since.is_some_and(|since| now >= since + SETTLING_TIME);
        is_settled.then(|| self.highest.max(self.previous_highest))
    }

    /// Returns the expected wait of a stream that has `ahead` others before it; `None` if the
    /// rate is not known.
    pub fn expected_wait(&self, now: Duration, ahead: usize) -> Option<Duration> {
        let per_second = self.per_second(now)?;
        Some(Duration::from_secs_f64(ahead as f64 / per_second))
    }
}

/// Time over which the arrivals of a gateway are averaged: a few dozen streams, and short enough
/// to follow a wave of demand.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(4);
/// Time for which arrivals are counted before their rate is used.
const MIN_ARRIVAL_TIME: Duration = Duration::from_secs(1);

/// Rate at which streams arrive, as an average that decays with their age.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArrivalRate {
    started_at: Option<Duration>,
    updated_at: Duration,
    count: f64,
}

impl ArrivalRate {
    /// Records streams that have arrived since the last record.
    pub fn record(&mut self, now: Duration, arrivals: usize) {
        if self.started_at.is_none() {
            *self = ArrivalRate { started_at: Some(now), updated_at: now, count: 0.0 };
        }
        self.count = self.decayed_count(now) + arrivals as f64;
        self.updated_at = now;
    }

    /// Returns the streams that arrive per second; `None` until they were counted for a second.
    pub fn per_second(&self, now: Duration) -> Option<f64> {
        let elapsed = now.saturating_sub(self.started_at?);
        if elapsed < MIN_ARRIVAL_TIME {
            return None;
        }
        let counted_time = ARRIVAL_WINDOW.as_secs_f64() * (1.0 - decay(elapsed));
        Some(self.decayed_count(now) / counted_time)
    }

    fn decayed_count(&self, now: Duration) -> f64 {
        self.count * decay(now.saturating_sub(self.updated_at))
    }
}

/// Returns the weight of arrivals of the given age.
fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64()).exp()
}
