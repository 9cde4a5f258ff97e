//! Estimates how long ago the caller of a request first sent it, and how long the streams
//! of a class take.
//!
//! Callers of a class give their requests about the same time. A request that has much
//! less time left than others of its class is therefore a retry after a refusal, and its
//! target latency counts from the first attempt.

use std::time::Duration;

use crate::ids::ClassName;
use crate::ids::FastMap;
use crate::ids::ServiceName;

/// Window over which the longest time left of a class is taken; the window before it counts
/// as well. It spans many requests of a class, and a caller that allows more time than
/// others is forgotten once both windows have passed.
const LOOKBACK_WINDOW: Duration = Duration::from_secs(10);

/// Share of the longest time left below which a request counts as a retry. The times of
/// new requests differ by less, and a retrying caller has waited a third of its time.
const RETRY_SHARE: f64 = 0.75;

#[derive(Debug, Clone, Copy, Default)]
struct ClassTimes {
    window_start: Duration,
    longest: Duration,
    previous_longest: Duration,
}

/// Longest time left of recent requests, by class.
#[derive(Debug, Clone, Default)]
pub struct DeadlineTracker {
    classes: FastMap<ClassName, ClassTimes>,
}

impl DeadlineTracker {
    /// Records the time that a request has left, and returns how long ago its caller first
    /// sent it; zero for a new request.
    pub fn observe(&mut self, now: Duration, class: &str, time_left: Duration) -> Duration {
        let times = match self.classes.get_mut(class) {
            Some(times) => times,
            None => self.classes.entry(class.to_string()).or_default(),
        };
        if now >= times.window_start + LOOKBACK_WINDOW {
            let recent = now < times.window_start + 2 * LOOKBACK_WINDOW;
            times.previous_longest = if recent { times.longest } else { Duration::ZERO };
            times.longest = Duration::ZERO;
            times.window_start = now;
        }
        times.longest = times.longest.max(time_left);
        let longest = times.longest.max(times.previous_longest);
        if time_left < longest.mul_f64(RETRY_SHARE) { longest - time_left } else { Duration::ZERO }
    }

    /// Removes classes whose latest window began at least two windows ago: these had no
    /// request after its end, so their times no longer count.
    pub fn remove_idle(&mut self, now: Duration) {
        self.classes.retain(|_, times| now < times.window_start + 2 * LOOKBACK_WINDOW);
    }

    /// Returns the number of classes whose times are kept.
    pub fn len(&self) -> usize {
        self.classes.len()
    }

    /// Returns whether the times of no class are kept.
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }
}

/// Weight of a new stream in the moving average of stream lengths.
const LENGTH_WEIGHT: f64 = 1.0 / 16.0;

/// Moving average of the number of events in a stream, by class and by service.
#[derive(Debug, Clone, Default)]
pub struct StreamLengths {
    classes: FastMap<ClassName, f64>,
    services: FastMap<ServiceName, f64>,
}

impl StreamLengths {
    /// Records the number of events of a stream that was completed.
    pub fn record(&mut self, class: &str, events: u32) {
        update_mean(&mut self.classes, class, events);
    }

    /// Records the number of events of a stream that `service` completed.
    pub fn record_service(&mut self, service: &str, events: u32) {
        update_mean(&mut self.services, service, events);
    }

    /// Returns the mean number of events of the streams of a service; `None` until one was
    /// completed.
    pub fn service_mean(&self, service: &str) -> Option<f64> {
        self.services.get(service).copied()
    }

    /// Returns the time that a stream of `class` needs at `event_gap` between events; zero
    /// until a stream of the class was completed.
    pub fn required_time(&self, class: &str, event_gap: Duration) -> Duration {
        let events = self.classes.get(class).copied().unwrap_or(0.0);
        event_gap.mul_f64(events)
    }

    /// Keeps only the classes for which `known` returns true.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.classes.retain(|class, _| known(class));
    }
}

/// Records the number of events of a stream in the moving average of its class or service.
fn update_mean(means: &mut FastMap<String, f64>, name: &str, events: u32) {
    let events = f64::from(events);
    match means.get_mut(name) {
        Some(mean) => *mean += LENGTH_WEIGHT * (events - *mean),
        None => {
            means.insert(name.to_string(), events);
        }
    }
}
