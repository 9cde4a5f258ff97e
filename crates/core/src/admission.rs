//! Admission of streams: how many streams a group of ranks may run so that the gap
//! between events stays within the target, and which waiting stream is admitted next.
//!
//! All ranks run a pass together and each stream gets one event from it, so the gap
//! between events is the time of a pass. It grows with the number of running streams, and
//! beyond a point faster than streams end: the group then stays overloaded although no
//! more streams arrive than it could serve. Streams that would push a pass over the
//! target therefore wait; those that can still begin on time are admitted first.

use std::collections::VecDeque;
use std::time::Duration;

use crate::demand_meter::DemandMeter;
use crate::demand_meter::OwnDemand;
use crate::demand_shares::DemandAllotment;
use crate::expected_wait::find_unservable;
use crate::ids::FastMap;
use crate::ids::RequestId;
use crate::outage::OutageOutlook;
use crate::queue::FairQueue;
use crate::queue::WaitingRequest;
use crate::rate::ArrivalRate;
use crate::rate::LeaveRate;
use crate::rate::RunningStreams;
use crate::routing::EngineModel;
use crate::updates::update_interval;

/// Share of the longest accepted event gap that a pass may take by the cost model; the
/// rest is for reading prompts and for shifts in expert demand.
pub(crate) const PASS_TIME_SHARE: f64 = 0.85;
/// Fewest streams per rank that are admitted at any measured event gap, so that a stall
/// does not close the gate, and the limit until a gap has been measured.
const MIN_STREAMS_PER_RANK: f64 = 3.0;
/// Age after which a measured event gap no longer predicts the next pass.
const MAX_GAP_AGE: Duration = Duration::from_secs(1);
/// Share of the longest accepted event gap up to which overdue streams are admitted; the
/// passes of a group that is half full of them still leave time for prompts.
const OVERDUE_TARGET_SHARE: f64 = 0.65;
/// Share of the places that overdue streams always leave to those that are on time.
const ON_TIME_RESERVE: f64 = 0.1;
/// Share of the places that streams which are on time have to leave unused for overdue streams to
/// use all but the reserve. In simulated returns, overdue streams that get them with less than
/// that push a fifth of the others over their time.
const RELEASING_SPARE_SHARE: f64 = 0.1;
/// Factor by which the places that streams on time need are overestimated: just after a return the
/// measured event gap is behind the number of streams by a few percent.
const NEED_MARGIN: f64 = 1.05;
/// Update intervals after which all gateways have reported the streams they admitted.
const SHARE_INTERVALS: u32 = 2;
/// Most streams that may wait at one gateway; more than can end within a deadline.
const QUEUE_CAPACITY: usize = 512;
/// Weight of a new event gap in the moving average; each pass gives one gap for each of
/// a few dozen streams.
const GAP_WEIGHT: f64 = 1.0 / 32.0;

/// Time over which the usual gap is averaged; a shift of demand makes single passes long, until the
/// expert map follows.
const USUAL_GAP_TIME: Duration = Duration::from_secs(1);

/// Moving average of the gap between events of a service's streams.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventGapMeter {
    mean: Option<Duration>,
    /// Average over about [`USUAL_GAP_TIME`].
    usual: Option<Duration>,
    recorded_at: Duration,
}

impl EventGapMeter {
    /// Records a gap between two events of a stream.
    pub fn record(&mut self, now: Duration, gap: Duration) {
        let recent = self.mean.filter(|_| now < self.recorded_at + MAX_GAP_AGE);
        let mean =
            recent.map_or(gap, |mean| mean.mul_f64(1.0 - GAP_WEIGHT) + gap.mul_f64(GAP_WEIGHT));
        let elapsed = now.saturating_sub(self.recorded_at);
        let weight = (elapsed.as_secs_f64() / USUAL_GAP_TIME.as_secs_f64()).min(1.0);
        let usual =
            self.usual.map_or(gap, |usual| usual.mul_f64(1.0 - weight) + gap.mul_f64(weight));
        self.mean = Some(mean);
        self.usual = Some(usual);
        self.recorded_at = now;
    }

    /// Returns the average gap over about a second, however old it is; `None` if there was none.
    pub fn usual(&self) -> Option<Duration> {
        self.usual
    }

    /// Returns whether an event arrived within the last `span`.
    pub fn is_active(&self, now: Duration, span: Duration) -> bool {
        self.mean.is_some() && now < self.recorded_at + span
    }

    /// Returns the average gap, however old it is; `None` if there was none.
    pub fn last_mean(&self) -> Option<Duration> {
        self.mean
    }

    /// Returns the average gap; `None` if no event arrived recently.
    pub fn mean(&self, now: Duration) -> Option<Duration> {
        self.mean.filter(|_| now < self.recorded_at + MAX_GAP_AGE)
    }
}

/// Load of a group of ranks, as known to a gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupLoad {
    /// Ranks that accept requests.
    pub ranks: usize,
    /// Streams that the ranks run concurrently; further ones would queue at the ranks.
    pub slots: u32,
    /// Running streams, over all gateways.
    pub streams: u32,
    /// Average gap between events, if known.
    pub event_gap: Option<Duration>,
}

/// Returns how many running streams keep a pass within `target`; `None` when the model or
/// the group gives no limit. The limit is at most the number of slots, since streams that
/// queue at the ranks can no longer be reordered.
///
/// The measured event gap divided by the pass time of evenly loaded ranks in the cost
/// model gives the imbalance of the ranks, from which the limit follows. Without a
/// measurement the limit is the smallest one.
pub fn stream_limit(model: &EngineModel, load: &GroupLoad, target: Duration) -> Option<u32> {
    let step_time = model.step_time.as_secs_f64();
    let time_per_request = model.time_per_request.as_secs_f64();
    let ranks = load.ranks as f64;
    if ranks <= 0.0 || time_per_request <= 0.0 || step_time <= 0.0 {
        return None;
    }
    let per_rank = f64::from(load.streams) / ranks;
    let steps = f64::from(model.steps_per_pass);
    let measured = load.event_gap.map(|gap| {
        let imbalance = gap.as_secs_f64() / model.pass_seconds(per_rank, 1.0);
        let max_step_time = target.as_secs_f64() * PASS_TIME_SHARE / (steps * imbalance);
        (max_step_time - step_time) / time_per_request
    });
    let max_per_rank = measured.unwrap_or_default().max(MIN_STREAMS_PER_RANK);
    Some(((max_per_rank * ranks) as u32).min(load.slots))
}

/// Demand of streams that can begin on time, over all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OnTimeDemand {
    /// Streams that arrive per second.
    pub arrivals_per_second: f64,
    /// Mean number of events of a stream.
    pub mean_events: f64,
}

impl OnTimeDemand {
    /// Returns a part of the demand, 0 to 1.
    pub fn part(self, part: f64) -> OnTimeDemand {
        OnTimeDemand { arrivals_per_second: self.arrivals_per_second * part, ..self }
    }
}

/// Returns how many more streams that can no longer begin on time a group may run, so
/// that streams that begin on time keep their event gaps meanwhile.
///
/// If those that begin on time leave places unused, the bound rises up to a reserve for them:
/// places then do not stay empty while overdue streams wait until they have to be refused.
/// Otherwise each overdue stream would take the place of one that could begin on time.
pub fn overdue_capacity(
    model: &EngineModel,
    load: &GroupLoad,
    target: Duration,
    demand: Option<OnTimeDemand>,
) -> u32 {
    let limits = (
        stream_limit(model, load, target.mul_f64(OVERDUE_TARGET_SHARE)),
        stream_limit(model, load, target),
    );
    let (Some(overdue_limit), Some(limit)) = limits else {
        return u32::MAX;
    };
    let highest = (f64::from(limit) * (1.0 - ON_TIME_RESERVE)).max(f64::from(overdue_limit));
    let spare = demand.map_or(0.0, |demand| spare_share(model, load, limit, demand));
    let released = (spare / RELEASING_SPARE_SHARE).min(1.0);
    let rise = (highest - f64::from(overdue_limit)) * released;
    (overdue_limit + rise as u32).saturating_sub(load.streams)
}

/// Returns the share of `limit` streams that those which begin on time do not need; 0 if it is
/// not known.
fn spare_share(model: &EngineModel, load: &GroupLoad, limit: u32, demand: OnTimeDemand) -> f64 {
    let Some(event_gap) = load.event_gap else {
        return 0.0;
    };
    let pass_seconds =
        |streams: u32| model.pass_seconds(f64::from(streams) / load.ranks as f64, 1.0);
    let gap_at_limit = event_gap.as_secs_f64() * pass_seconds(limit) / pass_seconds(load.streams);
    let needed = demand.arrivals_per_second * demand.mean_events * gap_at_limit;
    (1.0 - NEED_MARGIN * needed / f64::from(limit.max(1))).max(0.0)
}

/// Share of a group's capacity that one gateway may use until it learns which streams the
/// other gateways admitted.
#[derive(Debug, Clone, Copy, Default)]
pub struct CapacityShare {
    interval_start: Option<Duration>,
    remaining: u32,
}

impl CapacityShare {
    /// Returns how many streams one of `gateways` gateways may admit now, if all of them
    /// together may admit `capacity`.
    pub fn allowance(&mut self, now: Duration, capacity: u32, gateways: usize) -> u32 {
        let interval = update_interval(gateways) * SHARE_INTERVALS;
        if self.interval_start.is_none_or(|interval_start| interval_start + interval <= now) {
            self.interval_start = Some(now);
            self.remaining = capacity.div_ceil(gateways.max(1) as u32);
        }
        self.remaining.min(capacity)
    }

    /// Records that a stream was admitted.
    pub fn record_admission(&mut self) {
        self.remaining = self.remaining.saturating_sub(1);
    }
}

/// A stream that waits for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateRequest {
    /// Identity of the request.
    pub request: RequestId,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Organisation of the caller; empty if there is none.
    pub organisation: String,
    /// Latest start at which the first event is still on time.
    pub on_time_until: Duration,
    /// Latest start at which the stream can still complete.
    pub latest_start: Duration,
}

/// Capacity of a service for waiting streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateCapacity {
    /// The service runs and can take this many more streams.
    Streams {
        /// Streams of any kind.
        total: u32,
        /// Streams that can no longer begin on time; they count towards `total` too.
        overdue: u32,
    },
    /// The servers refuse all streams.
    Outage {
        /// Streams that may be sent as probes.
        probes: u32,
        /// When streams can be served again.
        outlook: OutageOutlook,
        /// Time after which a refused stream should return.
        retry_after: Duration,
    },
}

/// Decision of the gate on a waiting stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateDecision {
    /// It may be sent.
    Admit(RequestId),
    /// It cannot be served; the caller should retry after this time.
    Refuse(RequestId, Duration),
}

/// Why a stream was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// Its latest start has passed.
    Expired,
    /// Its expected wait passes its latest start.
    ExpectedWait,
    /// The service is known not to be back before its latest start.
    Outage,
}

/// What a stream was refused for, as it appears in logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RefusalCause {
    /// Why it was refused.
    pub reason: RefusalReason,
    /// Expected wait of the stream, if the rate is known.
    pub expected_wait: Option<Duration>,
    /// Streams per second that leave the service for this gateway, if known.
    pub rate: Option<f64>,
    /// Free places of the service.
    pub free: u32,
}

impl RefusalReason {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::Expired => "expired",
            RefusalReason::ExpectedWait => "expected-wait",
            RefusalReason::Outage => "outage",
        }
    }
}

/// Queue of the streams of one service that wait for admission.
#[derive(Debug, Clone)]
pub struct StreamGate {
    on_time: FairQueue,
    overdue: FairQueue,
    waiting_streams: Vec<GateRequest>,
    rate: LeaveRate,
    /// Streams that leave the service now, as last stated by [`StreamGate::record_running`].
    running: Option<RunningStreams>,
    /// Time of the last decisions.
    decided_at: Duration,
    /// Latest starts on time of the streams that were added since the last decisions.
    added: Vec<Duration>,
    /// Rate at which streams arrive that can begin on time.
    arrivals: ArrivalRate,
    /// When the callers of refused streams are expected to return.
    returns: VecDeque<Duration>,
    /// Causes of the refusals that were not asked for yet.
    refusal_causes: FastMap<RequestId, RefusalCause>,
    demand: DemandMeter,
    /// On-time streams that were admitted since the last overdue one, by priority.
    on_time_runs: FastMap<u8, u32>,
    /// Time after which a stream that is refused during the current outage should return.
    outage_retry_after: Option<Duration>,
    /// Time until which callers that were refused during an outage may still retry.
    recovering_until: Duration,
}

impl Default for StreamGate {
    fn default() -> StreamGate {
        StreamGate {
            on_time: FairQueue::new(QUEUE_CAPACITY),
            overdue: FairQueue::new(QUEUE_CAPACITY),
            waiting_streams: Vec::new(),
            rate: LeaveRate::default(),
            running: None,
            decided_at: Duration::ZERO,
            added: Vec::new(),
            arrivals: ArrivalRate::default(),
            returns: VecDeque::new(),
            refusal_causes: FastMap::default(),
            demand: DemandMeter::default(),
            on_time_runs: FastMap::default(),
            outage_retry_after: None,
            recovering_until: Duration::ZERO,
        }
    }
}

impl StreamGate {
    /// Returns the number of waiting streams.
    pub fn waiting(&self) -> usize {
        self.waiting_streams.len()
    }

    /// Adds a stream to the queue; the next [`StreamGate::process_queue`] decides on it.
    /// Returns false when the queue is full.
    pub fn enqueue(&mut self, stream: GateRequest) -> bool {
        let waiting = WaitingRequest { request: stream.request, expires_at: stream.on_time_until };
        let accepted =
            self.on_time.push(queue_priority(stream.priority), &stream.organisation, waiting);
        self.demand.record_arrival(&stream, accepted);
        if accepted {
            self.added.push(stream.on_time_until);
            self.waiting_streams.push(stream);
        } else {
            self.demand.record_refusal();
        }
        accepted
    }

    /// Records the streams that the service runs, from which the rate at which they leave
    /// follows; `None` while that is not known. Without a record nothing is refused for its wait.
    pub fn record_running(&mut self, running: Option<RunningStreams>) {
        self.running = running;
    }

    /// Returns how many streams arrive at this gateway per second that can begin on time; `None`
    /// until that is known.
    pub fn on_time_arrivals(&self, now: Duration) -> Option<f64> {
        self.arrivals.per_second(now)
    }

    /// Returns why a stream was refused, once.
    pub fn take_refusal_cause(&mut self, request: RequestId) -> Option<RefusalCause> {
        self.refusal_causes.remove(&request)
    }

    /// Returns the time after which the caller of a refused stream should retry: when there
    /// is a free place for it after those that wait or are expected to return.
    pub fn retry_after(&self) -> Duration {
        if let Some(retry_after) = self.outage_retry_after {
            return retry_after;
        }
        let ahead = self.on_time.len() + self.overdue.len() + self.returns.len();
        let wait = self.rate.expected_wait(self.decided_at, ahead);
        wait.unwrap_or(MIN_RETRY_AFTER).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the time after which the caller of a stream that is refused now should retry, and
    /// expects its return then.
    pub fn expect_return(&mut self, now: Duration, request: RequestId) -> Duration {
        let mut retry_after = self.retry_after();
        if self.outage_retry_after.is_none() {
            retry_after += RETRY_SPREAD.mul_f64(request_share(request));
        }
        if self.returns.len() >= QUEUE_CAPACITY {
            self.returns.pop_front();
        }
        self.returns.push_back(now + retry_after);
        retry_after
    }

    /// Refuses a stream that no longer waits.
    fn refuse(&mut self, now: Duration, request: RequestId, cause: RefusalCause) -> GateDecision {
        self.refusal_causes.insert(request, cause);
        GateDecision::Refuse(request, self.expect_return(now, request))
    }

    /// Removes a stream whose caller has left.
    pub fn remove(&mut self, request: RequestId) {
        if !self.on_time.remove(request) {
            self.overdue.remove(request);
        }
        self.remove_waiting(request);
        self.refusal_causes.remove(&request);
    }

    /// Returns the demand for the service at this gateway. `name_bytes` is the length of the
    /// names of gateway and service together.
    pub fn own_demand(&mut self, now: Duration, gateways: usize, name_bytes: usize) -> OwnDemand {
        self.demand.demand(now, &self.waiting_streams, gateways, name_bytes)
    }

    /// Admits streams up to the capacity, and refuses those that cannot complete in time.
    ///
    /// During an outage streams wait until their latest start, unless the service is known
    /// not to be back by then: the rate of admissions so far does not say when it is. For a
    /// few seconds after an outage, when
    /// many streams are overdue, overdue streams only get the capacity that is given for
    /// them.
    pub fn process_queue(&mut self, now: Duration, capacity: GateCapacity) -> Vec<GateDecision> {
        self.process_allotted(now, capacity, &mut DemandAllotment::unlimited(now))
    }

    /// Admits and refuses streams like [`StreamGate::process_queue`], and admits within
    /// `allotment` only while the demand exceeds the capacity.
    pub fn process_allotted(
        &mut self,
        now: Duration,
        capacity: GateCapacity,
        allotment: &mut DemandAllotment,
    ) -> Vec<GateDecision> {
        self.demand.advance(now);
        let was_out = self.outage_retry_after.is_some();
        let (capacity, mut overdue, outlook) = match capacity {
            GateCapacity::Streams { total, overdue } => {
                self.outage_retry_after = None;
                (total, overdue, None)
            }
            GateCapacity::Outage { probes, outlook, retry_after } => {
                self.outage_retry_after = Some(retry_after);
                (probes, probes, Some(outlook))
            }
        };
        if outlook.is_some() != was_out {
            self.rate = LeaveRate::default();
            self.recovering_until = now + RECOVERY_PERIOD;
        }
        if now >= self.recovering_until {
            overdue = capacity;
        }
        self.update_rates(now, outlook.is_some());
        let mut decisions = Vec::new();
        for request in self.on_time.take_expired(now) {
            self.move_to_overdue(request);
        }
        for request in self.overdue.take_expired(now) {
            self.remove_waiting(request);
            let cause = self.refusal_cause(now, RefusalReason::Expired, None, capacity);
            decisions.push(self.refuse(now, request, cause));
        }
        let admitted = self.admit_streams(capacity, overdue, allotment);
        let free = capacity.saturating_sub(admitted.len() as u32);
        for request in admitted {
            self.remove_waiting(request);
            decisions.push(GateDecision::Admit(request));
        }
        decisions.extend(match outlook {
            Some(outlook) => self.refuse_until_return(now, outlook),
            None => self.refuse_unservable(now, free),
        });
        if decisions.iter().any(|decision| matches!(decision, GateDecision::Refuse(..))) {
            self.demand.record_refusal();
        }
        decisions
    }

    /// Brings the rates, and the returns of refused callers, up to date.
    fn update_rates(&mut self, now: Duration, is_out: bool) {
        self.decided_at = now;
        let on_time = self.added.drain(..).filter(|on_time_until| *on_time_until > now).count();
        self.arrivals.record(now, on_time);
        let running = self.running.filter(|_| !is_out);
        self.rate.record(now, running.and_then(|running| running.leave_rate()));
        self.returns.retain(|return_at| *return_at > now);
    }

    /// Takes the streams to be admitted out of the queues: at most `capacity`, of which at most
    /// `overdue` are overdue.
    fn admit_streams(
        &mut self,
        capacity: u32,
        mut overdue: u32,
        allotment: &mut DemandAllotment,
    ) -> Vec<RequestId> {
        let mut admitted = Vec::new();
        for _ in 0..capacity {
            let next = if allotment.is_limiting() {
                self.take_allotted(&mut overdue, allotment)
            } else {
                self.take_next(&mut overdue)
            };
            let Some(request) = next else {
                break;
            };
            admitted.push(request);
        }
        admitted
    }

    /// Takes the next stream while all demand fits into the capacity.
    fn take_next(&mut self, overdue: &mut u32) -> Option<RequestId> {
        if let Some((request, _)) = self.on_time.pop() {
            return Some(request);
        }
        *overdue = overdue.checked_sub(1)?;
        self.overdue.pop().map(|(request, _)| request)
    }

    /// Takes the next stream that has a place in `allotment`: the most urgent one, and of a
    /// priority one that can begin on time, unless it is the turn of an overdue one.
    fn take_allotted(
        &mut self,
        overdue: &mut u32,
        allotment: &mut DemandAllotment,
    ) -> Option<RequestId> {
        let mut priorities: Vec<u8> =
            self.on_time.priorities().chain(self.overdue.priorities()).collect();
        priorities.sort_unstable_by(|left, right| right.cmp(left));
        priorities.dedup();
        priorities.into_iter().find_map(|level| {
            let priority = queue_priority(level);
            let permits = |name: &str| allotment.has_place(priority, name);
            let run = self.on_time_runs.entry(priority).or_default();
            let is_overdue_turn = *run >= MAX_ON_TIME_RUN;
            let mut next = None;
            if is_overdue_turn && *overdue > 0 {
                next = self.overdue.pop_permitted(level, permits).map(|taken| (taken, true));
            }
            if next.is_none() {
                next = self.on_time.pop_permitted(level, permits).map(|taken| (taken, false));
            }
            if next.is_none() && !is_overdue_turn && *overdue > 0 {
                next = self.overdue.pop_permitted(level, permits).map(|taken| (taken, true));
            }
            let ((request, organisation), is_overdue) = next?;
            if is_overdue {
                *overdue -= 1;
                *run = 0;
            } else {
                *run = (*run + 1).min(MAX_ON_TIME_RUN);
            }
            allotment.record_admission(priority, &organisation);
            Some(request)
        })
    }

    fn move_to_overdue(&mut self, request: RequestId) {
        let Some(stream) = self.waiting_streams.iter().find(|stream| stream.request == request)
        else {
            return;
        };
        let waiting = WaitingRequest { request, expires_at: stream.latest_start };
        self.overdue.push(queue_priority(stream.priority), &stream.organisation, waiting);
    }

    /// Refuses the streams that the service cannot serve before their latest start.
    fn refuse_until_return(&mut self, now: Duration, outlook: OutageOutlook) -> Vec<GateDecision> {
        let is_hopeless = |stream: &GateRequest| match outlook {
            OutageOutlook::Forming(formed_at) => stream.latest_start < formed_at,
            OutageOutlook::RankLost => true,
            OutageOutlook::Unknown => false,
        };
        let hopeless: Vec<RequestId> = self
            .waiting_streams
            .iter()
            .filter(|stream| is_hopeless(stream))
            .map(|stream| stream.request)
            .collect();
        let cause = self.refusal_cause(now, RefusalReason::Outage, None, 0);
        hopeless.iter().for_each(|request| self.remove(*request));
        hopeless.into_iter().map(|request| self.refuse(now, request, cause)).collect()
    }

    /// Refuses the streams whose expected wait passes their latest start, although `free` places
    /// go to the first ones.
    fn refuse_unservable(&mut self, now: Duration, free: u32) -> Vec<GateDecision> {
        let Some(rate) = self.rate.per_second(now) else {
            return Vec::new();
        };
        if self.waiting() <= free as usize {
            return Vec::new();
        }
        let unservable = find_unservable(&self.waiting_streams, now, rate, free);
        // All are removed first: the first one to return comes after those that still wait.
        unservable.iter().for_each(|(request, _)| self.remove(*request));
        let refuse = |(request, ahead)| {
            let cause = self.refusal_cause(now, RefusalReason::ExpectedWait, Some(ahead), free);
            self.refuse(now, request, cause)
        };
        unservable.into_iter().map(refuse).collect()
    }

    fn refusal_cause(
        &self,
        now: Duration,
        reason: RefusalReason,
        ahead: Option<usize>,
        free: u32,
    ) -> RefusalCause {
        let expected_wait = ahead.and_then(|ahead| self.rate.expected_wait(now, ahead));
        RefusalCause { reason, expected_wait, rate: self.rate.per_second(now), free }
    }

    fn remove_waiting(&mut self, request: RequestId) {
        self.demand.record_departure(request);
        self.waiting_streams.retain(|stream| stream.request != request);
    }
}

/// Returns a share, 0 to 1, by which the return of a request's caller is delayed. The numbers of
/// requests are random.
fn request_share(request: RequestId) -> f64 {
    (request % SPREAD_STEPS) as f64 / SPREAD_STEPS as f64
}

/// Shortest time after which a refused stream may be retried; a few passes.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Longest time after which a refused stream should be retried: the deadline of a caller. A
/// later return would be useless, and the estimate is least certain then.
const MAX_RETRY_AFTER: Duration = RECOVERY_PERIOD;
/// Time over which the callers of refused streams are spread that return for free places.
const RETRY_SPREAD: Duration = Duration::from_millis(500);
/// Number of delays over which they are spread.
const SPREAD_STEPS: u64 = 1_024;

/// Time after an outage within which callers that waited or were refused during it retry;
/// the deadline of a caller.
const RECOVERY_PERIOD: Duration = Duration::from_secs(8);

/// Most admissions of on-time streams of a priority in a row while overdue ones wait and capacity
/// is scarce, so that newcomers do not pass a caller that was refused and came back without end.
const MAX_ON_TIME_RUN: u32 = 3;

/// Returns the priority of a request in the queue, which serves higher values first.
fn queue_priority(priority: u8) -> u8 {
    u8::MAX - priority
}
