//! Decides when a stream without a first event is given up at its server and sent to another.
//!
//! A server that answers other requests is not silent, so a single answer that it loses shows
//! only in its stream's wait. The wait is compared with the time to the first event of recent
//! streams of the same unit. Waits of streams that were given up are not recorded: where answers
//! are lost, they would raise the wait that counts as usual.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::ServiceName;

/// Buckets of a histogram for each doubling of the time.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Number of buckets of a histogram; the last one begins at 62 s.
const BUCKETS: usize = 128;
/// Upper bound of the first bucket.
const FIRST_BOUND: Duration = Duration::from_millis(1);
/// Time in which the weight of a first event halves. A unit with four streams per second, a third
/// of a gateway's, still reaches [`MIN_RECENT_EVENTS`].
const HALF_LIFE: Duration = Duration::from_secs(15);
/// Shortest time between two decays of a histogram, which touch all of its buckets.
const DECAY_INTERVAL: Duration = Duration::from_millis(250);
/// Weight below which a unit's histogram is dropped.
const FORGOTTEN_WEIGHT: f64 = 0.01;
/// Recent first events below which no stream is given up: with fewer, the highest percent is less
/// than half an event.
const MIN_RECENT_EVENTS: f64 = 50.0;
/// Share of the recent first events that took less time than a stream waits when it is late, or is
/// sent again to be on time. At 0.95 one stream in five was sent again while the load rose.
const LATE_QUANTILE: f64 = 0.99;
/// Multiple of that time after which a stream is given up: the time and half of it as a margin.
const LATE_MULTIPLE: f64 = 1.5;
/// Shortest wait after which a stream counts as late. Where first events take some milliseconds,
/// delays of scheduling on a shared core are longer than the margin.
const MIN_LATE_WAIT: Duration = Duration::from_millis(100);
/// Share of the recent first events that must fit into the rest of a stream's target: with less
/// time left, sending it again rarely makes it on time.
const ON_TIME_QUANTILE: f64 = 0.25;
/// Time to close an attempt and to connect to another server, a few delays between zones.
const RESEND_TIME: Duration = Duration::from_millis(10);
/// Time over which streams that were sent and given up are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(2);
/// Length of the parts of [`COUNT_WINDOW`].
const COUNT_BUCKET: Duration = Duration::from_millis(100);
/// Share of the streams sent within [`COUNT_WINDOW`] that may be given up.
const MAX_GIVEN_UP_SHARE: f64 = 0.1;
/// Streams that may be given up within [`COUNT_WINDOW`] in addition to the share.
const GIVEN_UP_SLACK: f64 = 2.0;

/// Decaying histogram of times on a logarithmic scale; a bucket is 9 % wide.
#[derive(Debug, Clone)]
struct TimeHistogram {
    weights: [f32; BUCKETS],
    decayed_at: Duration,
}

impl TimeHistogram {
    fn new(now: Duration) -> TimeHistogram {
        TimeHistogram { weights: [0.0; BUCKETS], decayed_at: now }
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at);
        if elapsed >= DECAY_INTERVAL {
            let factor = 0.5_f32.powf(elapsed.as_secs_f32() / HALF_LIFE.as_secs_f32());
            self.weights.iter_mut().for_each(|weight| *weight *= factor);
            self.decayed_at = now;
        }
    }

    fn record(&mut self, took: Duration) {
        self.weights[bucket_index(took)] += 1.0;
    }

    fn total(&self) -> f64 {
        self.weights.iter().map(|weight| f64::from(*weight)).sum()
    }

    /// Returns the time within which `share` of the first events came, interpolated in its bucket.
    fn quantile(&self, share: f64) -> Duration {
        let mut rest = self.total() * share;
        for (index, weight) in self.weights.iter().enumerate() {
            let weight = f64::from(*weight);
            if weight > 0.0 && rest <= weight {
                let (lower, upper) = (lower_bound(index), lower_bound(index + 1));
                return lower + (upper - lower).mul_f64((rest / weight).clamp(0.0, 1.0));
            }
            rest -= weight;
        }
        lower_bound(BUCKETS)
    }
}

fn bucket_index(took: Duration) -> usize {
    let ratio = took.as_secs_f64() / FIRST_BOUND.as_secs_f64();
    if ratio <= 1.0 {
        return 0;
    }
    ((ratio.log2() * BUCKETS_PER_DOUBLING) as usize + 1).min(BUCKETS - 1)
}

fn lower_bound(index: usize) -> Duration {
    if index == 0 {
        return Duration::ZERO;
    }
    FIRST_BOUND.mul_f64(((index - 1) as f64 / BUCKETS_PER_DOUBLING).exp2())
}

/// Streams that were sent and given up in a part of the window.
#[derive(Debug, Clone, Copy)]
struct CountBucket {
    start: Duration,
    sent: u32,
    given_up: u32,
}

/// A stream that waits for its first event at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamWait {
    /// Time since the request was sent to the server.
    pub waited: Duration,
    /// Time until the target for its first event; `None` if it has no target any more.
    pub target_left: Option<Duration>,
}

/// Rule by which a stream is given up at its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpRule {
    /// It has waited for clearly longer than nearly all recent streams.
    Late,
    /// It can be on time only if it is sent to another server now.
    LastChance,
}

impl GiveUpRule {
    /// Returns the name of the rule in logs.
    pub fn name(self) -> &'static str {
        match self {
            GiveUpRule::Late => "late",
            GiveUpRule::LastChance => "last-chance",
        }
    }
}

/// What to do with a stream that waits for its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    /// Too few first events are known to judge the wait.
    Unknown,
    /// It goes on waiting; a rule may apply after this time.
    Wait(Duration),
    /// It is to be sent to another server.
    GiveUp(GiveUpRule),
}

/// Recent times to the first event as they appear in logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsualWait {
    /// Time within which half of the first events came.
    pub median: Duration,
    /// Wait from which a stream is late.
    pub late_after: Duration,
}

/// Times to the first event of this gateway's streams, and the number of streams given up.
#[derive(Debug, Clone, Default)]
pub struct FirstEventTimes {
    units: FastMap<String, TimeHistogram>,
    services: FastMap<ServiceName, TimeHistogram>,
    counts: VecDeque<CountBucket>,
}

impl FirstEventTimes {
    /// Records that a stream was sent to a server.
    pub fn record_sent(&mut self, now: Duration) {
        self.count_bucket(now).sent += 1;
    }

    /// Records the time from the sending of a stream to its first event.
    pub fn record_first_event(&mut self, now: Duration, service: &str, unit: &str, took: Duration) {
        record_time(&mut self.units, now, unit, took);
        record_time(&mut self.services, now, service, took);
    }

    /// Decides whether a stream at a unit of a service goes on waiting. While the unit has few
    /// recent first events, those of the whole service count.
    pub fn decide(
        &mut self,
        now: Duration,
        service: &str,
        unit: &str,
        wait: StreamWait,
    ) -> WaitDecision {
        let Some(times) = self.known_times(now, service, unit) else {
            return WaitDecision::Unknown;
        };
        let late_after = late_after(times);
        if wait.waited >= late_after {
            return WaitDecision::GiveUp(GiveUpRule::Late);
        }
        let until_late = late_after - wait.waited;
        let Some(target_left) = wait.target_left else {
            return WaitDecision::Wait(until_late);
        };
        let earliest = times.quantile(LATE_QUANTILE).saturating_sub(wait.waited);
        let last_chance = target_left.saturating_sub(times.quantile(0.5) + RESEND_TIME);
        let due = earliest.max(last_chance);
        if due + times.quantile(ON_TIME_QUANTILE) > target_left {
            return WaitDecision::Wait(until_late);
        }
        match due.is_zero() {
            true => WaitDecision::GiveUp(GiveUpRule::LastChance),
            false => WaitDecision::Wait(until_late.min(due)),
        }
    }

    /// Returns whether another stream may be given up, by the number of those given up lately.
    pub fn may_give_up(&mut self, now: Duration) -> bool {
        self.count_bucket(now);
        let (sent, given_up) = self.counts.iter().fold((0, 0), |(sent, given_up), bucket| {
            (sent + bucket.sent, given_up + bucket.given_up)
        });
        f64::from(given_up + 1) <= f64::from(sent) * MAX_GIVEN_UP_SHARE + GIVEN_UP_SLACK
    }

    /// Records that a stream was given up.
    pub fn record_given_up(&mut self, now: Duration) {
        self.count_bucket(now).given_up += 1;
    }

    /// Returns what counts as usual for a unit; `None` if too few first events are known.
    pub fn usual_wait(&mut self, now: Duration, service: &str, unit: &str) -> Option<UsualWait> {
        let times = self.known_times(now, service, unit)?;
        Some(UsualWait { median: times.quantile(0.5), late_after: late_after(times) })
    }

    fn known_times(&mut self, now: Duration, service: &str, unit: &str) -> Option<&TimeHistogram> {
        let by_unit = self.units.get_mut(unit).map(|times| {
            times.decay(now);
            &*times
        });
        let is_known = |times: &&TimeHistogram| times.total() >= MIN_RECENT_EVENTS;
        if let Some(times) = by_unit.filter(is_known) {
            return Some(times);
        }
        let by_service = self.services.get_mut(service)?;
        by_service.decay(now);
        Some(&*by_service).filter(is_known)
    }

    /// Returns the counts for `now`, and drops those that have left the window.
    fn count_bucket(&mut self, now: Duration) -> &mut CountBucket {
        while self.counts.front().is_some_and(|bucket| bucket.start + COUNT_WINDOW <= now) {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|bucket| bucket.start + COUNT_BUCKET <= now) {
            self.counts.push_back(CountBucket { start: now, sent: 0, given_up: 0 });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}

fn late_after(times: &TimeHistogram) -> Duration {
    times.quantile(LATE_QUANTILE).mul_f64(LATE_MULTIPLE).max(MIN_LATE_WAIT)
}

fn record_time(
    histograms: &mut FastMap<String, TimeHistogram>,
    now: Duration,
    name: &str,
    took: Duration,
) {
    if let Some(times) = histograms.get_mut(name) {
        times.decay(now);
        times.record(took);
        return;
    }
    histograms.retain(|_, times| {
        times.decay(now);
        times.total() >= FORGOTTEN_WEIGHT
    });
    let mut times = TimeHistogram::new(now);
    times.record(took);
    histograms.insert(name.to_string(), times);
}
