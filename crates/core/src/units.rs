//! State of one unit of capacity: whether it serves, and how many streams it can take.
//!
//! A unit is lost while its circuit breaker is open. Besides refusals, the breaker opens when a
//! server of the unit crashes, its leader reports that the group is broken, or its events stop. A
//! lost unit gets single probes only; it is back when a probe succeeds or its leader reports that
//! the group has formed again.

use std::time::Duration;

use crate::admission::EventGapMeter;
use crate::admission::GroupLoad;
use crate::admission::OnTimeDemand;
use crate::admission::overdue_capacity;
use crate::admission::stream_limit;
use crate::breaker::BreakerState;
use crate::breaker::CircuitBreaker;
use crate::crash_detection::ServerIncarnation;
use crate::ids::FastMap;
use crate::ids::mix_bits;
use crate::outage::OutageEstimate;
use crate::outage::OutageOutlook;
use crate::routing::EngineModel;

/// Usual event gaps without any event after which a unit counts as stalled; passes that read long
/// prompts take up to three times as long as others.
const STALL_GAPS: u32 = 5;
/// Shortest time without any event after which a unit counts as stalled.
const MIN_STALL_TIME: Duration = Duration::from_millis(250);
/// The same while the event gap has not been measured; passes of the initial expert map are slower.
const UNMEASURED_STALL_TIME: Duration = Duration::from_millis(500);
/// Time after a return within which gateways that use the unit have measured its event gap.
const START_TIME: Duration = Duration::from_secs(2);
/// Age up to which a measured event gap tells what a unit can take; a few streams.
const RECENT_GAP_AGE: Duration = Duration::from_secs(5);
/// Time after which a probe without an event goes on at another unit.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a report that a group is broken counts, unless it is repeated.
const BROKEN_REPORT_AGE: Duration = Duration::from_secs(3);
/// Event gap, relative to the usual one, from which the passes of a unit count as slowed.
const SLOWED_FACTOR: f64 = 1.15;
/// Interval between two probes of a lost unit while others serve, per gateway: all gateways
/// together send about 17 probes per second.
const PROBE_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(60);
/// Shortest interval between two probes.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(120);
/// Interval between two probes while a rank is known to be lost.
const LOST_RANK_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which a crash is remembered; gateways repeat crashes for a minute.
const CRASH_MEMORY: Duration = Duration::from_secs(90);

/// Why a unit counts as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// One of its servers crashed.
    Crash,
    /// Its leader reports that the group is broken.
    Broken,
    /// Its events stopped.
    Stall,
    /// Its servers refuse streams.
    Refusals,
}

impl LossCause {
    /// Returns the name of the cause in logs.
    pub fn name(self) -> &'static str {
        match self {
            LossCause::Crash => "server-crashed",
            LossCause::Broken => "leader-reports-broken",
            LossCause::Stall => "events-stopped",
            LossCause::Refusals => "streams-refused",
        }
    }
}

/// Loss of a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnitLoss {
    /// When it became known.
    pub since: Duration,
    /// Evidence by which it became known.
    pub cause: LossCause,
}

/// State of a unit of capacity.
#[derive(Debug, Clone, Default)]
pub struct UnitState {
    /// Circuit breaker; the unit is lost while it is not closed.
    pub breaker: CircuitBreaker,
    /// What is known of the current and earlier outages.
    pub outage: OutageEstimate,
    /// Time between the events of streams.
    pub event_gap: EventGapMeter,
    /// When the unit last came back from an outage.
    pub returned_at: Option<Duration>,
    loss: Option<UnitLoss>,
    /// Whether the unit has served a stream of this gateway.
    has_served: bool,
    /// Until when a report that the group is broken counts.
    broken_until: Option<Duration>,
    last_event_at: Option<Duration>,
    /// Streams of this gateway that wait for their next event, and since when there are any.
    awaited_streams: u32,
    awaited_since: Duration,
    last_probe_at: Option<Duration>,
    crashes: FastMap<ServerIncarnation, Duration>,
}

impl UnitState {
    /// Returns whether the unit gets no streams but probes.
    pub fn is_lost(&self, now: Duration) -> bool {
        self.breaker.state(now) != BreakerState::Closed
    }

    /// Returns since when and why the unit is lost; `None` if it is not.
    pub fn loss(&self) -> Option<UnitLoss> {
        self.loss
    }

    fn lose(&mut self, now: Duration, cause: LossCause) -> bool {
        if let Some(loss) = &mut self.loss {
            // A crash or a report says more than missing events or refusals.
            if matches!(loss.cause, LossCause::Stall | LossCause::Refusals) {
                loss.cause = cause;
            }
            return false;
        }
        self.breaker.trip(now);
        self.loss = Some(UnitLoss { since: now, cause });
        self.last_probe_at = None;
        true
    }

    /// Records the crash of a server that was noticed at `noticed_at`; returns whether the unit is
    /// lost by it. Each incarnation counts once, and not if the unit has returned since.
    pub fn record_crash(
        &mut self,
        now: Duration,
        incarnation: &ServerIncarnation,
        noticed_at: Duration,
    ) -> bool {
        self.crashes.retain(|_, known_at| now < *known_at + CRASH_MEMORY);
        if self.crashes.insert(incarnation.clone(), now).is_some() {
            return false;
        }
        // Evidence that arrives late concerns the outage that has ended.
        let is_late = self.returned_at.is_some_and(|at| noticed_at < at);
        if is_late {
            return false;
        }
        self.outage.record_lost_server(now);
        self.lose(now, LossCause::Crash)
    }

    /// Records the leader's report that the group is broken; returns whether the unit is lost by
    /// it.
    pub fn record_broken(&mut self, now: Duration) -> bool {
        self.broken_until = Some(now + BROKEN_REPORT_AGE);
        self.lose(now, LossCause::Broken)
    }

    /// Records the leader's report that the group is open. `formed` states whether it has formed
    /// under a new epoch; only then the unit is back. Returns whether it was lost.
    pub fn record_open(&mut self, now: Duration, formed: bool) -> bool {
        self.broken_until = None;
        if !formed {
            return false;
        }
        let was_lost = self.recover(now);
        // Passes of the initial expert map take longer than those before.
        self.event_gap = EventGapMeter::default();
        self.last_event_at = None;
        self.awaited_since = now;
        self.returned_at = Some(now);
        was_lost
    }

    /// Records that a server refused a stream; returns whether the unit is lost by it.
    pub fn record_refusal(&mut self, now: Duration) -> bool {
        let opened = self.breaker.record_refusal(now);
        if opened && self.loss.is_none() {
            self.loss = Some(UnitLoss { since: now, cause: LossCause::Refusals });
            self.last_probe_at = Some(now);
        }
        opened
    }

    /// Records that a server serves a stream that was sent at `sent_at`; returns whether the unit
    /// is back by it. One that was sent before the loss shows nothing.
    pub fn record_success(&mut self, now: Duration, sent_at: Duration) -> bool {
        if self.loss.is_some_and(|loss| sent_at < loss.since) {
            return false;
        }
        let was_lost = self.recover(now);
        if was_lost {
            self.event_gap = EventGapMeter::default();
            self.awaited_since = now;
            self.returned_at = Some(now);
        }
        was_lost
    }

    /// Records that a service without further units serves a stream; returns whether it is back
    /// from an outage by it.
    pub fn record_service(&mut self, now: Duration) -> bool {
        let was_lost = self.recover(now);
        if was_lost {
            self.returned_at = Some(now);
        }
        was_lost
    }

    /// Returns whether the unit has served a stream of this gateway, or has formed. Before that
    /// servers may refuse connections since their VMs are still starting.
    pub fn has_served(&self) -> bool {
        self.has_served
    }

    fn recover(&mut self, now: Duration) -> bool {
        let was_lost = self.breaker.record_success();
        self.has_served = true;
        self.outage.record_service(now, was_lost);
        self.loss = None;
        self.broken_until = None;
        self.last_probe_at = None;
        was_lost
    }

    /// Records that a stream begins to wait for its next event.
    pub fn await_event(&mut self, now: Duration) {
        if self.awaited_streams == 0 {
            self.awaited_since = now;
        }
        self.awaited_streams += 1;
    }

    /// Records that a stream no longer waits for its next event.
    pub fn stop_awaiting(&mut self) {
        self.awaited_streams = self.awaited_streams.saturating_sub(1);
    }

    /// Records that data of a stream arrived.
    pub fn record_data(&mut self, now: Duration) {
        self.last_event_at = Some(now);
    }

    /// Returns when data last arrived from the unit.
    pub fn last_data_at(&self) -> Option<Duration> {
        self.last_event_at
    }

    /// Records the gap before an event; returns whether the unit is back by it. It is if its events
    /// had only stopped for a while, or its servers had refused streams: those of a broken group
    /// send no events, but full ones do. A gap that spans a loss or a return is not one between passes.
    pub fn record_gap(&mut self, now: Duration, gap: Duration) -> bool {
        let began = now.saturating_sub(gap);
        let is_spanning = |at: Duration| began < at;
        if let Some(loss) = self.loss {
            let resumed = matches!(loss.cause, LossCause::Stall | LossCause::Refusals)
                && self.broken_until.is_none()
                && !is_spanning(loss.since);
            if resumed {
                self.recover(now);
                self.event_gap.record(now, gap);
            }
            return resumed;
        }
        if !self.returned_at.is_some_and(is_spanning) {
            self.event_gap.record(now, gap);
        }
        false
    }

    /// Returns whether the unit has stalled: streams wait for events, and none has sent one for
    /// several passes. `watched_since` is the time since which this process has run without
    /// interruption, and `other_data_at` that of the last data from elsewhere: without it this
    /// gateway may be the one that is cut off.
    pub fn has_stalled(
        &self,
        now: Duration,
        watched_since: Duration,
        other_data_at: Duration,
    ) -> bool {
        if self.awaited_streams == 0 {
            return false;
        }
        let last_event = self.last_event_at.unwrap_or_default();
        let silent_since = last_event.max(self.awaited_since).max(watched_since);
        let limit = match self.event_gap.last_mean() {
            Some(usual_gap) => (usual_gap * STALL_GAPS).max(MIN_STALL_TIME),
            None => UNMEASURED_STALL_TIME,
        };
        now >= silent_since + limit && other_data_at >= silent_since + limit / 2
    }

    /// Records that the events of the unit have stopped; returns whether it is lost by it.
    pub fn record_stall(&mut self, now: Duration) -> bool {
        self.lose(now, LossCause::Stall)
    }

    /// Returns whether a probe may be sent to the lost unit while others serve; `gateways` is the
    /// number of gateways. None is sent while the leader reports that the group is broken.
    pub fn is_probe_due(&self, now: Duration, gateways: usize) -> bool {
        let Some(loss) = self.loss else {
            return false;
        };
        if self.broken_until.is_some_and(|until| now < until) {
            return false;
        }
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        let regular = MIN_PROBE_INTERVAL.max(PROBE_INTERVAL_PER_GATEWAY.saturating_mul(gateways));
        let interval = match self.outage.outlook(now) {
            OutageOutlook::Forming(formed_at) if now < formed_at => return false,
            OutageOutlook::Forming(_) | OutageOutlook::Unknown => regular,
            OutageOutlook::RankLost => regular.max(LOST_RANK_PROBE_INTERVAL),
        };
        now >= self.last_probe_at.unwrap_or(loss.since) + interval
    }

    /// Returns the time between events, if it was measured within the last seconds. A slow unit gets
    /// few streams, and is not to be taken for an unknown one between two of them.
    pub fn recent_gap(&self, now: Duration) -> Option<Duration> {
        self.event_gap.last_mean().filter(|_| self.event_gap.is_active(now, RECENT_GAP_AGE))
    }

    /// Returns whether the passes of the unit take clearly longer than over the last second, as they
    /// do when demand shifts to other experts.
    pub fn is_slowed(&self, now: Duration) -> bool {
        let gaps = self.event_gap.mean(now).zip(self.event_gap.usual());
        gaps.is_some_and(|(gap, usual)| gap > usual.mul_f64(SLOWED_FACTOR))
    }

    /// Returns whether the unit has returned lately and its event gap has not been measured since.
    /// Later the streams of other gateways show what it can run.
    pub fn is_starting(&self, now: Duration) -> bool {
        self.recent_gap(now).is_none() && self.returned_at.is_some_and(|at| now < at + START_TIME)
    }

    /// Returns when the last probe was sent to the lost unit.
    pub fn last_probe_at(&self) -> Option<Duration> {
        self.last_probe_at
    }

    /// Records that a probe is sent.
    pub fn record_probe(&mut self, now: Duration) {
        self.last_probe_at = Some(now);
        self.breaker.record_probe(now);
    }

    /// Returns whether a stream that was sent at `sent_at` should go on at another unit: it was sent
    /// before the loss, or is a probe that is still without an event.
    pub fn should_leave(&self, now: Duration, sent_at: Duration) -> bool {
        self.loss.is_some_and(|loss| sent_at < loss.since || now >= sent_at + PROBE_TIMEOUT)
    }
}

/// Load of a unit and the streams that it can take.
#[derive(Debug, Clone, PartialEq)]
pub struct UnitCapacity {
    /// Streams of any kind that the unit can take; `u32::MAX` if its limit is not known.
    pub total: u32,
    /// Streams that can no longer begin on time.
    pub overdue: u32,
    /// Ranks that accept requests.
    pub ranks: usize,
}

/// Returns what one unit of several can take. While the unit starts, its limit is the smallest one.
/// At other times without a measured event gap only streams that are late are limited, as in a
/// service of one unit: this gateway alone may have had no streams there.
/// `demand` is its part of the streams that can begin on time.
pub fn unit_capacity(
    model: &EngineModel,
    load: &GroupLoad,
    target: Duration,
    is_starting: bool,
    demand: Option<OnTimeDemand>,
) -> UnitCapacity {
    let is_limited = is_starting || load.event_gap.is_some();
    let limit = stream_limit(model, load, target).filter(|_| is_limited);
    let total = limit.map_or(u32::MAX, |limit| limit.saturating_sub(load.streams));
    let overdue = overdue_capacity(model, load, target, demand);
    UnitCapacity { total, overdue, ranks: load.ranks }
}

/// Chooses one of several units: of two that are drawn at random, in proportion to their free
/// places, the one with more free places per rank. The random draw keeps gateways, whose counts are
/// one update interval old, from all choosing the same unit; the second one keeps units of equal
/// speed equally loaded, as passes of the fuller one would take longer. If there are no free
/// places, units count by their ranks. Returns `None` if none has ranks.
pub fn choose_unit(capacities: &[UnitCapacity], random: u64) -> Option<usize> {
    let is_bounded = capacities.iter().all(|unit| unit.total < u32::MAX);
    let has_places = capacities.iter().any(|unit| unit.ranks > 0 && unit.total > 0);
    let weight = |unit: &UnitCapacity| match (is_bounded && has_places, unit.ranks) {
        (_, 0) => 0,
        (true, _) => u64::from(unit.total),
        (false, ranks) => ranks as u64,
    };
    let sum: u64 = capacities.iter().map(weight).sum();
    if sum == 0 {
        return None;
    }
    let draw = |random: u64| {
        let mut drawn = random % sum;
        capacities.iter().position(|unit| {
            let weight = weight(unit);
            let is_drawn = drawn < weight;
            drawn = drawn.saturating_sub(weight);
            is_drawn
        })
    };
    let (first, second) = (draw(random)?, draw(mix_bits(random))?);
    let per_rank =
        |index: usize| weight(&capacities[index]) as f64 / capacities[index].ranks as f64;
    Some(if per_rank(second) > per_rank(first) { second } else { first })
}
