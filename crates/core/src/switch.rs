//! Switches a group of ranks from one expert map to the next.
//!
//! Input: statuses of the ranks, outcomes of orders, answers to presence checks, and the
//! time. Output: orders to ranks and other actions of the leader.
//!
//! Ranks do not compare maps, so the leader has to ensure that all of them use the same
//! map within a pass. A switch prepares the new map on all ranks, holds an upcoming pass
//! on one of them, arms all ranks for that pass and releases it only after each rank has
//! confirmed.
//!
//! While the agent of a rank is silent, its engine receives the orders directly and is read
//! directly; one VM that stands still does not stop the switches of its group. Each switch
//! has a fence of its own, so an agent that resumes with an order of an earlier switch has
//! no effect: all ranks have seen the higher fence before a pass is held.
//!
//! The agent of one rank sends the hold to the engine of another, and neither is the
//! leader's own rank: if the VM that sent the hold freezes, the leader and the held engine
//! are still reachable, and the pass is released at once. While the pass is held, each
//! agent, or in its place the engine, has to answer a presence check before any rank is
//! armed: a VM that froze earlier is then known not to have armed its engine.
//!
//! The version of a map is the fence of its switch. A version therefore names one map only,
//! whichever leaders ordered it and however many ranks took notice: a rank cannot be armed for
//! another map of the same version, and agents may keep maps by version that never came into use.
//!
//! A leader that takes over, or whose switch failed, first reconciles the ranks.

mod activation;
mod reconciliation;

use std::sync::Arc;
use std::time::Duration;

use crate::experts::ExpertIndex;
use crate::experts::ExpertMap;
use crate::experts::MapVersion;
use crate::experts::RankIndex;
use crate::ids::FastMap;
use crate::ids::hash_value;
use crate::orders::FenceNumber;
use crate::orders::GroupEpoch;
use crate::orders::LeaderAction;
use crate::orders::LeaderTerm;
use crate::orders::OrderId;
use crate::orders::OrderMark;
use crate::orders::OrderOutcome;
use crate::orders::PassNumber;
use crate::orders::RankOrder;
use crate::orders::RankStatus;
use crate::rank_views::RankViews;
use crate::updates::GroupState;

/// Fencing tokens reserved for each term.
const FENCES_PER_TERM: u64 = 4_096;
/// Time after which the outcome of an unanswered order counts as unknown.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(110);
/// The same timeout for an order that carries a map, which takes longer on a slow link.
const MAP_OUTCOME_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of times that an order is sent within its timeout.
const MAX_SENDS: u32 = 4;
/// The same number for an order that carries a map, which other agents may relay.
const MAX_MAP_SENDS: u32 = 2;
/// Time allowed for preparing a map, in addition to its copies.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(900);
/// Factor by which copies may take longer than the link's rate implies; passes and other
/// copies share the link.
const COPY_TIME_FACTOR: u32 = 3;
/// Delay before the next switch after one was aborted.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval between direct reads of a rank whose agent is silent.
const DIRECT_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between any two direct reads, so that the leader's VM keeps up when many
/// agents are silent.
const DIRECT_READ_SPACING: Duration = Duration::from_millis(10);
/// Interval at which a release is sent again while the pass is still held.
const RELEASE_INTERVAL: Duration = Duration::from_millis(60);
/// Time for which unanswered arm orders are sent again; callers abandon a stream after two
/// seconds without an event.
const ARMING_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of times that a refused or unanswered hold is retried before the switch is
/// aborted. Sending the same hold twice is safe: by the time that a late one is carried
/// out, the pass has begun or is held already.
const MAX_HOLD_RETRIES: u32 = 6;

/// An order whose outcome is not known yet.
#[derive(Debug, Clone)]
struct PendingOrder {
    rank: RankIndex,
    order: RankOrder,
    via: Option<RankIndex>,
    direct: bool,
    first_sent: Duration,
    last_sent: Duration,
}

/// State of a presence check: which agents, by rank, have answered it.
#[derive(Debug, Clone, PartialEq)]
struct PresenceCheck {
    id: OrderId,
    present: Vec<bool>,
    held_at: Duration,
    sent_at: Option<Duration>,
}

/// Step of the protocol that the leader is in.
#[derive(Debug, Clone, PartialEq)]
enum Phase {
    /// Not all ranks are known, or the group is broken.
    Waiting,
    /// Each rank has to confirm an order with a higher fence; holds the confirmed order of
    /// each rank.
    Fencing { confirmed: Vec<Option<OrderId>> },
    /// Armed ranks and held passes of earlier switches are cleaned up, based on statuses
    /// read after the orders in `needed` (one per rank).
    CleaningUp { needed: Vec<OrderId>, started: Duration },
    /// No switch is in progress; a new one may begin at `since`.
    Idle { since: Duration },
    /// The ranks copy the experts of the new map.
    Preparing { version: MapVersion, map: Arc<ExpertMap>, started: Duration, timeout: Duration },
    /// A rank has been ordered to hold a pass.
    Holding { version: MapVersion, pass: PassNumber, retries: u32 },
    /// The pass is held, and each agent has to answer a presence check.
    Checking { version: MapVersion, pass: PassNumber, check: PresenceCheck },
    /// All ranks have been ordered to switch at the held pass.
    Arming { version: MapVersion, pass: PassNumber, armed: Vec<bool>, started: Duration },
    /// The held pass has been released; the ranks begin to use the map.
    Releasing { version: MapVersion, pass: PassNumber, started: Duration, sent: Duration },
}

/// Decides, as the leader of a group, which orders its ranks receive; performs no I/O.
#[derive(Debug, Clone)]
pub struct GroupLeader {
    term: LeaderTerm,
    own_rank: RankIndex,
    /// Offset of the current fencing token within the term.
    fences_used: u64,
    next_order: OrderId,
    last_version: MapVersion,
    epoch: Option<GroupEpoch>,
    views: RankViews,
    pending: FastMap<OrderId, PendingOrder>,
    phase: Phase,
    /// Rank that holds, or will hold, the pass of the current switch.
    holder: RankIndex,
    /// Next rank to read directly, and when the last read was begun.
    next_read: (RankIndex, Duration),
    fencing_sent_at: Duration,
    completed_switches: u64,
    /// Map of the latest switch; ranks that use its version hold exactly this map.
    latest_map: Option<(MapVersion, Arc<ExpertMap>)>,
}

impl GroupLeader {
    /// Creates the leader of a group of `size` ranks, running beside rank `own_rank`.
    pub fn new(term: LeaderTerm, size: usize, own_rank: RankIndex) -> GroupLeader {
        GroupLeader {
            term,
            own_rank,
            fences_used: 0,
            next_order: 0,
            last_version: 0,
            epoch: None,
            views: RankViews::new(size),
            pending: FastMap::default(),
            phase: Phase::Waiting,
            holder: own_rank,
            next_read: (0, Duration::ZERO),
            fencing_sent_at: Duration::ZERO,
            completed_switches: 0,
            latest_map: None,
        }
    }

    /// Returns the term of this leader.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Sets the age of the state that engines give in reports to other VMs.
    pub fn set_report_lag(&mut self, lag: Duration) {
        self.views.set_report_lag(lag);
    }

    /// Returns the number of completed switches.
    pub fn completed_switches(&self) -> u64 {
        self.completed_switches
    }

    /// Applies a status that the rank's agent reported.
    ///
    /// `placed` holds the rank's experts by set; it is empty in reports that omit them,
    /// since agents send them only now and then. `last_order` is the last order of this
    /// leader that was carried out before the status was read.
    pub fn handle_status(
        &mut self,
        now: Duration,
        status: RankStatus,
        placed: Vec<Vec<ExpertIndex>>,
        last_order: Option<OrderId>,
    ) -> Vec<LeaderAction> {
        if status.rank >= self.views.size() {
            return Vec::new();
        }
        self.record_versions(&status);
        self.views.record_report(now, status, placed, last_order);
        self.advance(now)
    }

    /// Keeps the highest version that a rank has had, since later ones have to be higher.
    fn record_versions(&mut self, status: &RankStatus) {
        let versions = [Some(status.map), status.prepared, status.armed];
        let highest = versions.into_iter().flatten().max().unwrap_or(0);
        self.last_version = self.last_version.max(highest);
    }

    /// Applies a status that was read directly from a rank's engine because its agent is
    /// silent. The read was begun at `started`; `placed` holds the rank's experts by set and
    /// is empty if they were not read.
    pub fn handle_direct_status(
        &mut self,
        now: Duration,
        started: Duration,
        status: RankStatus,
        placed: Vec<Vec<ExpertIndex>>,
    ) -> Vec<LeaderAction> {
        let rank = status.rank;
        self.record_versions(&status);
        self.views.record_read(now, started, status, placed);
        self.record_engine_presence(rank, started);
        self.advance(now)
    }

    /// Returns whether the experts that a rank holds are not known.
    pub fn lacks_placement(&self, rank: RankIndex) -> bool {
        self.views.get(rank).is_none_or(|view| view.placed.is_empty())
    }

    /// Returns the epoch and the state of the group, by the latest reports; `None` while not all
    /// ranks are known and none says that the group is broken. `has_lost_engine` states that an
    /// engine is known to be gone.
    pub fn group_state(&self, has_lost_engine: bool) -> Option<(GroupEpoch, GroupState)> {
        if let Some(epoch) = self.views.formed_epoch().filter(|_| !has_lost_engine) {
            return Some((epoch, GroupState::Open));
        }
        let epoch = self.views.known().map(|view| view.status.epoch).max()?;
        let is_closed = self.views.known().any(|view| !view.status.open);
        (is_closed || has_lost_engine).then_some((epoch, GroupState::Broken))
    }

    /// Returns the number of ranks whose status was never received.
    pub fn unreported_ranks(&self) -> usize {
        self.views.unknown()
    }

    /// Returns the time that each rank's work takes relative to a healthy engine; 1 for
    /// ranks that are not known.
    pub fn slowdowns(&self) -> Vec<f64> {
        let slowdown = |rank| self.views.get(rank).map_or(1.0, |view| view.status.slowdown);
        (0..self.views.size()).map(slowdown).collect()
    }

    /// Applies the outcome of an order.
    pub fn handle_outcome(
        &mut self,
        now: Duration,
        id: OrderId,
        outcome: OrderOutcome,
    ) -> Vec<LeaderAction> {
        let Some(pending) = self.pending.remove(&id) else {
            return Vec::new();
        };
        if pending.direct {
            self.views.record_direct_order(now, pending.rank, id);
        } else if outcome == OrderOutcome::Unknown {
            self.views.suspect_agent(pending.via.unwrap_or(pending.rank), pending.first_sent);
        }
        let mut actions = self.apply_outcome(now, id, &pending, outcome);
        actions.extend(self.advance(now));
        actions
    }

    /// Handles timeouts, sends orders again and advances the protocol.
    pub fn tick(&mut self, now: Duration) -> Vec<LeaderAction> {
        let mut actions = Vec::new();
        let late: Vec<OrderId> = self
            .pending
            .iter()
            .filter(|(_, pending)| {
                let agent = pending.via.unwrap_or(pending.rank);
                let is_agent_silent = !pending.direct && self.views.is_silent(now, agent);
                is_agent_silent || now >= pending.first_sent + outcome_timeout(&pending.order)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            actions.extend(self.handle_outcome(now, id, OrderOutcome::Unknown));
        }
        actions.extend(self.resend(now));
        actions.extend(self.read_silent_ranks(now));
        actions.extend(self.advance(now));
        actions
    }

    /// Requests direct reads of ranks whose agents are silent, in turn.
    fn read_silent_ranks(&mut self, now: Duration) -> Vec<LeaderAction> {
        let silent = self.views.silent(now);
        let (next, last_read) = self.next_read;
        let interval = DIRECT_READ_SPACING.max(DIRECT_READ_INTERVAL / silent.len().max(1) as u32);
        let rank = silent.iter().copied().find(|rank| *rank >= next).or(silent.first().copied());
        let Some(rank) = rank.filter(|_| now >= last_read + interval) else {
            return Vec::new();
        };
        self.next_read = (rank + 1, now);
        vec![LeaderAction::ReadStatus { rank }]
    }

    /// Returns an order whose outcome is not known yet, with its rank.
    pub fn pending_order(&self, id: OrderId) -> Option<(RankIndex, &RankOrder)> {
        self.pending.get(&id).map(|pending| (pending.rank, &pending.order))
    }

    /// Returns the version of the map in use, as the first rank reports it.
    pub fn map_version(&self) -> Option<MapVersion> {
        self.views.get(0).map(|view| view.status.map)
    }

    /// Returns the formation that the leader acts in; `None` while the group is not formed.
    pub fn epoch(&self) -> Option<GroupEpoch> {
        self.epoch
    }

    /// Returns the map in use if a switch could begin now.
    pub fn switchable_map(&self, now: Duration) -> Option<Arc<ExpertMap>> {
        let Phase::Idle { since } = self.phase else {
            return None;
        };
        if now < since || !self.views.all_current(now) {
            return None;
        }
        let version = self.views.common_version()?;
        match &self.latest_map {
            Some((ordered, map)) if *ordered == version => Some(Arc::clone(map)),
            _ => self.views.placed_map().map(Arc::new),
        }
    }

    /// Begins a switch to a map; does nothing unless the leader is idle. `max_copy_time` is
    /// the longest time that the copies to one rank are expected to take.
    pub fn begin_switch(
        &mut self,
        now: Duration,
        map: ExpertMap,
        max_copy_time: Duration,
    ) -> Vec<LeaderAction> {
        if !matches!(self.phase, Phase::Idle { .. }) {
            return Vec::new();
        }
        if !self.raise_fence() {
            return vec![LeaderAction::StepDown];
        }
        let version = self.map_version_of_fence();
        self.last_version = version;
        let timeout = PREPARE_TIMEOUT + max_copy_time * COPY_TIME_FACTOR;
        let (copy_ms, digest) = (max_copy_time.as_millis(), hash_value(&map));
        let detail = format!("copies take up to {copy_ms} ms, digest {digest:016x}");
        let mut actions = vec![log_step("map-prepared", version, 0, detail)];
        let map = Arc::new(map);
        self.latest_map = Some((version, Arc::clone(&map)));
        for rank in 0..self.views.size() {
            let order = RankOrder::Prepare { mark: self.mark(), version, map: Arc::clone(&map) };
            actions.push(self.send(now, rank, order));
        }
        self.phase = Phase::Preparing { version, map, started: now, timeout };
        actions
    }

    /// Returns the number of running requests in the group.
    pub fn running_requests(&self) -> u32 {
        self.views.known().map(|view| view.status.running).sum()
    }

    /// Returns the number of ranks whose agents never reported or are silent.
    pub fn silent_ranks(&self, now: Duration) -> usize {
        self.views.unknown() + self.views.silent(now).len()
    }

    /// Begins to use the next fence; returns false if the term has none left.
    fn raise_fence(&mut self) -> bool {
        self.fences_used += 1;
        self.fences_used < FENCES_PER_TERM
    }

    fn fence(&self) -> FenceNumber {
        self.term * FENCES_PER_TERM + self.fences_used
    }

    /// Returns the version of the map of the current fence: the fence, or a higher number if a
    /// rank has had that already, since leaders of earlier releases count on from what ranks report.
    fn map_version_of_fence(&self) -> MapVersion {
        self.fence().max(self.last_version.saturating_add(1))
    }

    fn mark(&self) -> OrderMark {
        OrderMark { fence: self.fence(), epoch: self.epoch.unwrap_or(0) }
    }

    fn send(&mut self, now: Duration, rank: RankIndex, order: RankOrder) -> LeaderAction {
        self.send_via(now, rank, None, order)
    }

    fn send_via(
        &mut self,
        now: Duration,
        rank: RankIndex,
        via: Option<RankIndex>,
        order: RankOrder,
    ) -> LeaderAction {
        let id = self.next_order;
        self.next_order += 1;
        let direct = via.is_none() && self.views.is_silent(now, rank);
        let (first_sent, last_sent) = (now, now);
        let pending =
            PendingOrder { rank, order: order.clone(), via, direct, first_sent, last_sent };
        self.pending.insert(id, pending);
        LeaderAction::Order { rank, id, order, direct, via }
    }

    /// Sends orders again whose datagram or answer may have been lost; agents carry out
    /// each order id only once.
    fn resend(&mut self, now: Duration) -> Vec<LeaderAction> {
        let mut actions = Vec::new();
        let views = &self.views;
        for (id, pending) in &mut self.pending {
            if now < pending.last_sent + outcome_timeout(&pending.order) / max_sends(&pending.order)
            {
                continue;
            }
            if pending.direct || views.is_silent(now, pending.via.unwrap_or(pending.rank)) {
                continue;
            }
            pending.last_sent = now;
            actions.push(LeaderAction::Order {
                rank: pending.rank,
                id: *id,
                order: pending.order.clone(),
                direct: false,
                via: pending.via,
            });
        }
        actions
    }

    /// Advances the protocol as far as the known statuses allow.
    fn advance(&mut self, now: Duration) -> Vec<LeaderAction> {
        let formed = self.views.formed_epoch();
        if formed.is_none() || formed != self.epoch {
            return self.handle_formation_change(now, formed);
        }
        match &self.phase {
            Phase::Waiting | Phase::Holding { .. } | Phase::Arming { .. } => Vec::new(),
            Phase::Checking { version, pass, check } => {
                let (version, pass, check) = (*version, *pass, check.clone());
                self.continue_presence_check(now, version, pass, check)
            }
            &Phase::Idle { since } => self.release_stray_holds(now, since),
            &Phase::Preparing { started, .. } if self.has_hold_after(started) => {
                self.release_stray_holds(now, started)
            }
            Phase::Fencing { confirmed } => {
                let confirmed = confirmed.clone();
                self.check_fenced(now, confirmed)
            }
            Phase::CleaningUp { needed, started } => {
                let (needed, started) = (needed.clone(), *started);
                self.clean_up(now, &needed, started)
            }
            &Phase::Preparing { version, started, timeout, .. } => {
                self.check_prepared(now, version, started, timeout)
            }
            &Phase::Releasing { version, pass, started, sent } => {
                self.check_released(now, version, pass, started, sent)
            }
        }
    }

    /// Starts over after the group broke or formed anew.
    fn handle_formation_change(
        &mut self,
        now: Duration,
        formed: Option<GroupEpoch>,
    ) -> Vec<LeaderAction> {
        let Some(epoch) = formed else {
            if self.phase == Phase::Waiting {
                return Vec::new();
            }
            // A rank that is only silent may still hold a pass, so the formation is
            // abandoned only when a rank reports that it broke.
            let broken = self
                .views
                .known()
                .any(|view| Some(view.status.epoch) != self.epoch || !view.status.open);
            if !broken {
                return Vec::new();
            }
            self.pending.clear();
            self.phase = Phase::Waiting;
            self.epoch = None;
            return vec![log_step("group-broken", 0, 0, String::new())];
        };
        self.epoch = Some(epoch);
        self.latest_map = None;
        self.pending.clear();
        let mut actions = vec![log_step("group-formed", 0, 0, format!("epoch {epoch}"))];
        actions.extend(self.begin_fencing(now, "a new formation or a new leader"));
        actions
    }

    /// Begins to hold a pass once all ranks have prepared the map.
    fn check_prepared(
        &mut self,
        now: Duration,
        version: MapVersion,
        started: Duration,
        timeout: Duration,
    ) -> Vec<LeaderAction> {
        let prepared = self.views.all(|view| view.status.prepared == Some(version));
        if prepared {
            return self.begin_holding(now, version, 0);
        }
        if now >= started + timeout {
            return self.abort(now, version, "preparing the map timed out");
        }
        Vec::new()
    }

    /// Aborts a switch before any rank was armed.
    fn abort(&mut self, now: Duration, version: MapVersion, reason: &str) -> Vec<LeaderAction> {
        self.pending.clear();
        self.phase = Phase::Idle { since: now + RETRY_DELAY };
        vec![log_step("switch-given-up", version, 0, reason.to_string())]
    }

    /// Applies the outcome of an order to the current phase; outcomes that belong to
    /// another phase are ignored.
    fn apply_outcome(
        &mut self,
        now: Duration,
        id: OrderId,
        pending: &PendingOrder,
        outcome: OrderOutcome,
    ) -> Vec<LeaderAction> {
        let is_outdated = pending.order.mark().fence < self.mark().fence;
        if outcome == OrderOutcome::Fenced && !is_outdated {
            return vec![LeaderAction::StepDown];
        }
        let done = outcome == OrderOutcome::Done;
        match (&mut self.phase, &pending.order) {
            (Phase::Fencing { confirmed }, RankOrder::Disarm { .. }) => {
                if done {
                    confirmed[pending.rank] = Some(id);
                }
                Vec::new()
            }
            (Phase::CleaningUp { needed, .. }, _) => {
                // The statuses that follow decide whether more has to be cleaned up.
                needed[pending.rank] = needed[pending.rank].max(id);
                Vec::new()
            }
            (Phase::Preparing { version, map, .. }, RankOrder::Prepare { version: asked, .. })
                if version == asked =>
            {
                if done {
                    return Vec::new();
                }
                let (version, map) = (*version, Arc::clone(map));
                if outcome != OrderOutcome::Unknown {
                    let rank = pending.rank;
                    let taken = self
                        .views
                        .get(rank)
                        .is_some_and(|view| view.status.prepared == Some(version));
                    if taken {
                        return Vec::new();
                    }
                    return self.abort(now, version, &format!("rank {rank} refused to prepare"));
                }
                let order = RankOrder::Prepare { mark: self.mark(), version, map };
                vec![self.send(now, pending.rank, order)]
            }
            (Phase::Holding { version, pass, retries }, RankOrder::Hold { .. }) => {
                let (version, pass, retries) = (*version, *pass, *retries);
                let held =
                    self.views.get(self.holder).is_some_and(|view| view.status.held == Some(pass));
                match outcome {
                    _ if done || held => self.begin_presence_check(now, version, pass),
                    OrderOutcome::Refused if retries < MAX_HOLD_RETRIES => {
                        self.begin_holding(now, version, retries + 1)
                    }
                    OrderOutcome::Refused => self.abort(now, version, "no pass could be held"),
                    _ if self.views.all_reported_recently(now) && retries < MAX_HOLD_RETRIES => {
                        self.phase = Phase::Holding { version, pass, retries: retries + 1 };
                        vec![self.send_via(now, pending.rank, pending.via, pending.order.clone())]
                    }
                    _ => self.abort_held(now, version, pass, "a hold was not answered"),
                }
            }
            (Phase::Arming { version, pass, armed, started }, RankOrder::Arm { .. }) => {
                if outcome == OrderOutcome::Unknown && now < *started + ARMING_TIMEOUT {
                    return vec![self.send(now, pending.rank, pending.order.clone())];
                }
                if !done {
                    let rank = pending.rank;
                    let reason =
                        format!("rank {rank} did not confirm that it is armed: {outcome:?}");
                    return self.begin_fencing(now, &reason);
                }
                armed[pending.rank] = true;
                if !armed.iter().all(|armed| *armed) {
                    return Vec::new();
                }
                let (version, pass) = (*version, *pass);
                self.release_pass(now, version, pass)
            }
            (Phase::Releasing { version, pass, .. }, RankOrder::Release { .. }) => {
                let (version, pass) = (*version, *pass);
                if outcome != OrderOutcome::Unknown {
                    return Vec::new();
                }
                self.release_pass(now, version, pass)
            }
            _ => Vec::new(),
        }
    }
}

/// Returns the time after which the outcome of an order counts as unknown.
fn outcome_timeout(order: &RankOrder) -> Duration {
    match order {
        RankOrder::Prepare { .. } => MAP_OUTCOME_TIMEOUT,
        _ => OUTCOME_TIMEOUT,
    }
}

/// Returns the number of times that an order is sent within its timeout.
fn max_sends(order: &RankOrder) -> u32 {
    match order {
        RankOrder::Prepare { .. } => MAX_MAP_SENDS,
        _ => MAX_SENDS,
    }
}

fn log_step(
    event: &'static str,
    version: MapVersion,
    pass: PassNumber,
    detail: String,
) -> LeaderAction {
    LeaderAction::Log { event, version, pass, detail }
}
