//! Tells requests that came back after a refusal from new ones, and how long
//! streams take.
//!
//! Callers of a class give their requests about the same time. One that has far
//! less left than the others was on its way before: its target time began then.

use std::time::Duration;

use crate::ids::ClassName;
use crate::ids::FastMap;

/// Span over which the longest time of a class is looked for; a class has many
/// requests in it, and a caller with more time than others is forgotten after it.
const LOOK_BACK: Duration = Duration::from_secs(10);

/// Part of the longest time below which a request has been sent before; callers'
/// own times differ by less, and one that comes back has waited a third of them.
const RETURNED_SHARE: f64 = 0.75;

#[derive(Debug, Clone, Copy, Default)]
struct ClassTimes {
    begun: Duration,
    longest: Duration,
    longest_before: Duration,
}

/// Longest times that requests of each class had left.
#[derive(Debug, Clone, Default)]
pub struct DeadlineTracker {
    classes: FastMap<ClassName, ClassTimes>,
}

impl DeadlineTracker {
    /// Takes in the time that a request has left and returns how long ago its
    /// caller first sent it; zero for one that is new.
    pub fn observe(&mut self, now: Duration, class: &str, left: Duration) -> Duration {
        let times = match self.classes.get_mut(class) {
            Some(times) => times,
            None => self.classes.entry(class.to_string()).or_default(),
        };
        if now >= times.begun + LOOK_BACK {
            let recent = now < times.begun + 2 * LOOK_BACK;
            times.longest_before = if recent { times.longest } else { Duration::ZERO };
            times.longest = Duration::ZERO;
            times.begun = now;
        }
        times.longest = times.longest.max(left);
        let longest = times.longest.max(times.longest_before);
        if left < longest.mul_f64(RETURNED_SHARE) { longest - left } else { Duration::ZERO }
    }

    /// Forgets classes without recent requests.
    pub fn remove_idle(&mut self, now: Duration) {
        self.classes.retain(|_, times| now < times.begun + 2 * LOOK_BACK);
    }

    /// Number of classes that are remembered.
    pub fn len(&self) -> usize {
        self.classes.len()
    }

    /// Whether no class is remembered.
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }
}

/// Weight of a new stream in the smoothed number of events.
const LENGTH_WEIGHT: f64 = 1.0 / 16.0;
/// Part of the usual time of a stream that has to be left for it to be worth a
/// start; some streams are shorter than usual.
const LEAST_SHARE: f64 = 0.8;

/// Smoothed number of events of each class's streams.
#[derive(Debug, Clone, Default)]
pub struct StreamLengths {
    classes: FastMap<ClassName, f64>,
}

impl StreamLengths {
    /// Takes in the events of a stream that came to its end.
    pub fn record(&mut self, class: &str, events: u32) {
        let events = f64::from(events);
        match self.classes.get_mut(class) {
            Some(mean) => *mean += LENGTH_WEIGHT * (events - *mean),
            None => {
                self.classes.insert(class.to_string(), events);
            }
        }
    }

    /// Returns the time that a stream needs at `pause` between its events; zero
    /// while none of its class has ended.
    pub fn required_time(&self, class: &str, pause: Duration) -> Duration {
        let events = self.classes.get(class).copied().unwrap_or(0.0);
        pause.mul_f64(events * LEAST_SHARE)
    }

    /// Forgets classes that `known` does not know.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.classes.retain(|class, _| known(class));
    }
}
