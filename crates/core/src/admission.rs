//! Admission of streams: how many streams a group of ranks may run so that the gap
//! between events stays within the target, and which waiting stream is admitted next.
//!
//! All ranks run a pass together and each stream gets one event from it, so the gap
//! between events is the time of a pass. It grows with the number of running streams, and
//! beyond a point faster than streams end: the group then stays overloaded although no
//! more streams arrive than it could serve. Streams that would push a pass over the
//! target therefore wait; those that can still begin on time are admitted first.

use std::time::Duration;

use crate::demand_meter::DemandMeter;
use crate::demand_meter::OwnDemand;
use crate::demand_shares::DemandAllotment;
use crate::ids::FastMap;
use crate::ids::RequestId;
use crate::outage::OutageOutlook;
use crate::queue::FairQueue;
use crate::queue::WaitingRequest;
use crate::rate::PlacementRate;
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
/// Update intervals after which all gateways have reported the streams they admitted.
const SHARE_INTERVALS: u32 = 2;
/// Most streams that may wait at one gateway; more than can end within a deadline.
const QUEUE_CAPACITY: usize = 512;
/// Weight of a new event gap in the moving average; each pass gives one gap for each of
/// a few dozen streams.
const GAP_WEIGHT: f64 = 1.0 / 32.0;

/// Moving average of the gap between events of a service's streams.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventGapMeter {
    mean: Option<Duration>,
    recorded_at: Duration,
}

impl EventGapMeter {
    /// Records a gap between two events of a stream.
    pub fn record(&mut self, now: Duration, gap: Duration) {
        let recent = self.mean.filter(|_| now < self.recorded_at + MAX_GAP_AGE);
        let mean =
            recent.map_or(gap, |mean| mean.mul_f64(1.0 - GAP_WEIGHT) + gap.mul_f64(GAP_WEIGHT));
        self.mean = Some(mean);
        self.recorded_at = now;
    }

    /// Returns whether an event arrived within the last `span`.
    pub fn is_active(&self, now: Duration, span: Duration) -> bool {
        self.mean.is_some() && now < self.recorded_at + span
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

/// Returns how many more streams that can no longer begin on time a group may run, so
/// that streams that begin on time keep their event gaps meanwhile.
pub fn overdue_capacity(model: &EngineModel, load: &GroupLoad, target: Duration) -> u32 {
    let limit = stream_limit(model, load, target.mul_f64(OVERDUE_TARGET_SHARE));
    limit.map_or(u32::MAX, |limit| limit.saturating_sub(load.streams))
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

/// Queue of the streams of one service that wait for admission.
#[derive(Debug, Clone)]
pub struct StreamGate {
    on_time: FairQueue,
    overdue: FairQueue,
    waiting_streams: Vec<GateRequest>,
    rate: PlacementRate,
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
            rate: PlacementRate::default(),
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
            self.waiting_streams.push(stream);
        } else {
            self.demand.record_refusal();
        }
        accepted
    }

    /// Returns the time after which the caller of a refused stream should retry.
    pub fn retry_after(&self) -> Duration {
        if let Some(retry_after) = self.outage_retry_after {
            return retry_after;
        }
        let waiting = self.on_time.len() + self.overdue.len();
        self.rate.expected_wait(waiting).unwrap_or(MIN_RETRY_AFTER).max(MIN_RETRY_AFTER)
    }

    /// Removes a stream whose caller has left.
    pub fn remove(&mut self, request: RequestId) {
        if !self.on_time.remove(request) {
            self.overdue.remove(request);
        }
        self.remove_waiting(request);
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
            self.rate = PlacementRate::default();
            self.recovering_until = now + RECOVERY_PERIOD;
        }
        if now >= self.recovering_until {
            overdue = capacity;
        }
        self.rate.advance(now);
        let mut decisions = Vec::new();
        for request in self.on_time.take_expired(now) {
            self.move_to_overdue(request);
        }
        for request in self.overdue.take_expired(now) {
            self.remove_waiting(request);
            decisions.push(GateDecision::Refuse(request, self.retry_after()));
        }
        let admitted = self.admit_streams(capacity, overdue, allotment);
        for request in admitted {
            self.remove_waiting(request);
            self.rate.record_placement(now);
            decisions.push(GateDecision::Admit(request));
        }
        decisions.extend(match outlook {
            Some(outlook) => self.refuse_until_return(outlook),
            None => self.refuse_unservable(now),
        });
        if decisions.iter().any(|decision| matches!(decision, GateDecision::Refuse(..))) {
            self.demand.record_refusal();
        }
        decisions
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
    fn refuse_until_return(&mut self, outlook: OutageOutlook) -> Vec<GateDecision> {
        let retry = self.retry_after();
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
        for request in &hopeless {
            self.remove(*request);
        }
        hopeless.into_iter().map(|request| GateDecision::Refuse(request, retry)).collect()
    }

    /// Refuses overdue streams whose expected wait passes their latest start.
    fn refuse_unservable(&mut self, now: Duration) -> Vec<GateDecision> {
        let retry = self.retry_after();
        let mut refused = Vec::new();
        loop {
            let waiting = self.on_time.len() + self.overdue.len();
            let Some(wait) = self.rate.expected_wait(waiting) else {
                break;
            };
            let overdue = self.waiting_streams.iter().filter(|stream| stream.on_time_until <= now);
            let Some(earliest) = overdue.min_by_key(|stream| stream.latest_start) else {
                break;
            };
            if now + wait <= earliest.latest_start {
                break;
            }
            let request = earliest.request;
            self.remove(request);
            refused.push(GateDecision::Refuse(request, retry));
        }
        refused
    }

    fn remove_waiting(&mut self, request: RequestId) {
        self.demand.record_departure(request);
        self.waiting_streams.retain(|stream| stream.request != request);
    }
}

/// Shortest time after which a refused stream may be retried; a few passes.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(400);

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
