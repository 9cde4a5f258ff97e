//! Keeps the passes of a group of ranks within the pause that callers accept.
//!
//! All ranks run a pass together and each stream gets one event from it, so the
//! pause between events is the time of a pass. It grows with the streams that
//! run, and beyond a point faster than streams end: the group then stays slow
//! although no more arrives than it could serve. Streams that would push a pass
//! over the target therefore wait; those that can still begin on time go first.

use std::time::Duration;

use crate::ids::RequestId;
use crate::queue::FairQueue;
use crate::queue::WaitingRequest;
use crate::rate::PlacementRate;
use crate::routing::EngineModel;
use crate::updates::update_interval;

/// Part of the longest accepted pause that a pass may take by the model; the
/// rest is for prompts that are read and for demand that shifts.
const PAUSE_SHARE: f64 = 0.85;
/// Fewest streams for each rank that are let in whatever the pause says, so that
/// a stall does not close the gate.
const LEAST_PER_RANK: f64 = 3.0;
/// Load of the most loaded rank over the mean with a group's first map, as
/// measured on the users' sites.
const FIRST_MAP_SKEW: f64 = 3.45;
/// Age after which a measured pause says nothing of the next pass.
const PAUSE_AGE: Duration = Duration::from_secs(1);
/// Part of the longest accepted pause up to which streams are let in that begin
/// late; the passes of one half full of them still leave room for prompts.
const OVERDUE_SHARE: f64 = 0.65;
/// Intervals of the gateways' news after which all have told what they let in.
const SHARE_INTERVALS: u32 = 2;
/// Streams that may wait at one gateway; more than end within a deadline.
const QUEUE_CAPACITY: usize = 512;
/// Weight of a new pause in the smoothed one; a pass brings one pause of each of
/// some dozen streams.
const PAUSE_WEIGHT: f64 = 1.0 / 32.0;

/// Smoothed pause between the events of a service's streams.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventGapMeter {
    mean: Option<Duration>,
    noted: Duration,
}

impl EventGapMeter {
    /// Takes a pause in.
    pub fn record(&mut self, now: Duration, pause: Duration) {
        let fresh = self.mean.filter(|_| now < self.noted + PAUSE_AGE);
        let mean = fresh
            .map_or(pause, |mean| mean.mul_f64(1.0 - PAUSE_WEIGHT) + pause.mul_f64(PAUSE_WEIGHT));
        self.mean = Some(mean);
        self.noted = now;
    }

    /// Whether an event came within `span`.
    pub fn is_active(&self, now: Duration, span: Duration) -> bool {
        self.mean.is_some() && now < self.noted + span
    }

    /// Returns the smoothed pause, unless it is old.
    pub fn mean(&self, now: Duration) -> Option<Duration> {
        self.mean.filter(|_| now < self.noted + PAUSE_AGE)
    }
}

/// Load of a group as a gateway knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupLoad {
    /// Ranks that take requests.
    pub ranks: usize,
    /// Streams that the ranks run at once; further ones would wait there.
    pub slots: u32,
    /// Streams that run, over all gateways.
    pub streams: u32,
    /// Smoothed pause between events, if known.
    pub event_gap: Option<Duration>,
}

/// Returns how many streams keep a pass within `target`, at most as many as the
/// ranks run at once: what waits there can no longer be put in order.
///
/// The measured pause over the one that the cost model gives for evenly loaded
/// ranks tells how uneven they are; the limit follows from the model. Without a
/// measured pause the ranks count as uneven as a group's first map leaves them.
pub fn stream_limit(model: &EngineModel, load: &GroupLoad, target: Duration) -> Option<u32> {
    let step = model.step_time.as_secs_f64();
    let each = model.time_per_request.as_secs_f64();
    let ranks = load.ranks as f64;
    if ranks <= 0.0 || each <= 0.0 || step <= 0.0 {
        return None;
    }
    let per_rank = f64::from(load.streams) / ranks;
    let steps = f64::from(model.steps_per_pass);
    let unevenness = load.event_gap.map_or_else(
        || 1.0 + model.expert_share * (FIRST_MAP_SKEW - 1.0),
        |pause| pause.as_secs_f64() / model.pass_seconds(per_rank, 1.0),
    );
    let allowed = target.as_secs_f64() * PAUSE_SHARE / (steps * unevenness);
    let most_per_rank = ((allowed - step) / each).max(LEAST_PER_RANK);
    Some(((most_per_rank * ranks) as u32).min(load.slots))
}

/// Returns how many further streams that can no longer begin on time a group
/// takes: those that still can must keep their pauses while these run.
pub fn overdue_capacity(model: &EngineModel, load: &GroupLoad, target: Duration) -> u32 {
    let limit = stream_limit(model, load, target.mul_f64(OVERDUE_SHARE));
    limit.map_or(u32::MAX, |limit| limit.saturating_sub(load.streams))
}

/// Part of a group's room that one gateway may fill before it hears again what
/// the others have let in.
#[derive(Debug, Clone, Copy, Default)]
pub struct CapacityShare {
    begun: Option<Duration>,
    left: u32,
}

impl CapacityShare {
    /// Returns how many streams one of `gateways` may let in now, if there is
    /// `room` for so many over all of them.
    pub fn allowance(&mut self, now: Duration, room: u32, gateways: usize) -> u32 {
        let span = update_interval(gateways) * SHARE_INTERVALS;
        if self.begun.is_none_or(|begun| begun + span <= now) {
            self.begun = Some(now);
            self.left = room.div_ceil(gateways.max(1) as u32);
        }
        self.left.min(room)
    }

    /// Notes that a stream was let in.
    pub fn record_admission(&mut self) {
        self.left = self.left.saturating_sub(1);
    }
}

/// A stream that asks to be let in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateRequest {
    /// Identity.
    pub request: RequestId,
    /// Rank of the work; 0 is the most urgent.
    pub priority: u8,
    /// Organisation; empty where there is none.
    pub organisation: String,
    /// Until when it can begin and still be on time.
    pub on_time_until: Duration,
    /// Until when it can begin and still end.
    pub latest_start: Duration,
}

/// How much of a service is open to the streams that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateCapacity {
    /// So many further streams.
    Streams {
        /// Over all.
        total: u32,
        /// Of those that can no longer begin on time.
        overdue: u32,
    },
    /// Its servers turn all streams away; so many may try whether it is back.
    Outage(u32),
}

/// What the gate decides on a stream that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateDecision {
    /// It may be sent.
    Admit(RequestId),
    /// It cannot be served; the time says when to come back.
    Refuse(RequestId, Duration),
}

/// Streams of one service that wait to be let in.
#[derive(Debug, Clone)]
pub struct StreamGate {
    fresh: FairQueue,
    overdue: FairQueue,
    details: Vec<GateRequest>,
    rate: PlacementRate,
    away: bool,
    /// Until when those who waited out an outage may still come back.
    recovering: Duration,
}

impl Default for StreamGate {
    fn default() -> StreamGate {
        StreamGate {
            fresh: FairQueue::new(QUEUE_CAPACITY),
            overdue: FairQueue::new(QUEUE_CAPACITY),
            details: Vec::new(),
            rate: PlacementRate::default(),
            away: false,
            recovering: Duration::ZERO,
        }
    }
}

impl StreamGate {
    /// Streams that wait.
    pub fn waiting(&self) -> usize {
        self.details.len()
    }

    /// Takes a stream in that asks to be let in; the next [`StreamGate::process_queue`]
    /// decides on it. False when too many wait already.
    pub fn enqueue(&mut self, asking: GateRequest) -> bool {
        let waiting = WaitingRequest { request: asking.request, expires_at: asking.on_time_until };
        let taken = self.fresh.push(level(asking.priority), &asking.organisation, waiting);
        if taken {
            self.details.push(asking);
        }
        taken
    }

    /// Time after which a refused stream is told to come back.
    pub fn retry_after(&self) -> Duration {
        if self.away {
            return OUTAGE_RETRY_AFTER;
        }
        let waiting = self.fresh.len() + self.overdue.len();
        self.rate.expected_wait(waiting).unwrap_or(SHORTEST_RETRY).max(SHORTEST_RETRY)
    }

    /// Forgets a stream whose caller has left.
    pub fn remove(&mut self, request: RequestId) {
        if !self.fresh.remove(request) {
            self.overdue.remove(request);
        }
        self.details.retain(|known| known.request != request);
    }

    /// Lets streams in as far as there is room, and refuses those that cannot end
    /// in time.
    ///
    /// While the service is away its streams wait as long as they can begin in
    /// time if it comes back: how many were let in before says nothing of that.
    /// For some seconds afterwards late streams, of which there are many then,
    /// have only the room that is theirs.
    pub fn process_queue(&mut self, now: Duration, room: GateCapacity) -> Vec<GateDecision> {
        let (room, mut overdue, away) = match room {
            GateCapacity::Streams { total, overdue } => (total, overdue, false),
            GateCapacity::Outage(probes) => (probes, probes, true),
        };
        if away != self.away {
            self.away = away;
            self.rate = PlacementRate::default();
            self.recovering = now + RECOVERY_SPAN;
        }
        if now >= self.recovering {
            overdue = room;
        }
        self.rate.advance(now);
        let mut verdicts = Vec::new();
        for request in self.fresh.take_expired(now) {
            self.move_overdue(request);
        }
        for request in self.overdue.take_expired(now) {
            self.drop_details(request);
            verdicts.push(GateDecision::Refuse(request, self.retry_after()));
        }
        for _ in 0..room {
            let next = match self.fresh.pop() {
                Some(next) => Some(next),
                None if overdue > 0 => {
                    overdue -= 1;
                    self.overdue.pop()
                }
                None => None,
            };
            let Some((request, _)) = next else {
                break;
            };
            self.drop_details(request);
            self.rate.record_placement(now);
            verdicts.push(GateDecision::Admit(request));
        }
        if !self.away {
            verdicts.extend(self.refuse_hopeless(now));
        }
        verdicts
    }

    fn move_overdue(&mut self, request: RequestId) {
        let Some(known) = self.details.iter().find(|known| known.request == request) else {
            return;
        };
        let waiting = WaitingRequest { request, expires_at: known.latest_start };
        self.overdue.push(level(known.priority), &known.organisation, waiting);
    }

    /// Refuses overdue streams that the others before them leave no time for.
    fn refuse_hopeless(&mut self, now: Duration) -> Vec<GateDecision> {
        let retry = self.retry_after();
        let mut refused = Vec::new();
        loop {
            let waiting = self.fresh.len() + self.overdue.len();
            let Some(wait) = self.rate.expected_wait(waiting) else {
                break;
            };
            let last = self.details.iter().filter(|known| known.on_time_until <= now);
            let Some(worst) = last.min_by_key(|known| known.latest_start) else {
                break;
            };
            if now + wait <= worst.latest_start {
                break;
            }
            let request = worst.request;
            self.remove(request);
            refused.push(GateDecision::Refuse(request, retry));
        }
        refused
    }

    fn drop_details(&mut self, request: RequestId) {
        self.details.retain(|known| known.request != request);
    }
}

/// Shortest time after which a refused stream is told to come back; some passes.
const SHORTEST_RETRY: Duration = Duration::from_millis(400);

/// Time after which a stream is told to come back that was refused while its
/// service is away. Crashed servers are back after some seconds; a caller
/// comes back earlier if this is more than a third of the time that it has left.
pub const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(2_500);

/// Time after a service's return for which those who waited it out come back; a
/// caller's deadline.
const RECOVERY_SPAN: Duration = Duration::from_secs(8);

/// The queue serves higher levels first.
fn level(priority: u8) -> u8 {
    u8::MAX - priority
}
