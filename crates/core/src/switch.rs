//! Switches a group of ranks from one expert map to the next.
//!
//! Ranks do not compare maps, so it is the leader's duty that within a pass all
//! of them use the same one. A switch prepares the new map on all ranks, holds a
//! coming pass on one of them, arms all ranks for that pass and releases it only
//! when each has confirmed.
//!
//! The hold is given by the agent of one rank to the engine of another, neither
//! of them the leader's: when the VM that gave it freezes, the leader and the
//! held engine can still be reached, and the pass is released at once. Once the
//! pass is held each agent has to answer a check before any rank is armed: a VM
//! that froze before then is known not to have armed its engine.
//!
//! A leader that takes over, or whose switch went wrong, settles what is left.
//! First every rank takes an order with a higher fence that changes nothing: from
//! then on no older order can. Only then are armed ranks disarmed, and only
//! while a pass is held; armed ranks without a held pass were released together
//! and are left to switch. What is held is released last.

use std::sync::Arc;
use std::time::Duration;

use crate::experts::ExpertIndex;
use crate::experts::ExpertMap;
use crate::experts::MapVersion;
use crate::experts::RankIndex;
use crate::ids::FastMap;
use crate::orders::GroupEpoch;
use crate::orders::LeaderAction;
use crate::orders::LeaderTerm;
use crate::orders::OrderId;
use crate::orders::OrderMark;
use crate::orders::OrderOutcome;
use crate::orders::PassNumber;
use crate::orders::RankOrder;
use crate::orders::RankStatus;

/// Fences that a leader can use within its term.
const FENCES_PER_TERM: u64 = 4_096;
/// Age after which a rank's status is too old to act on; six of its reports.
const STATUS_AGE: Duration = Duration::from_millis(300);
/// Age up to which the next pass of a status can be held; passes take 40 ms or more.
const FRESH_AGE: Duration = Duration::from_millis(12);
/// Time after which an order without an answer is taken as unknown.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(110);
/// The same for an order that carries a map, which takes longer on a slow link.
const MAP_TIMEOUT: Duration = Duration::from_millis(600);
/// Times that an order is sent while its outcome is awaited.
const RESENDS: u32 = 4;
/// The same for an order that carries a map, which other agents pass on.
const MAP_RESENDS: u32 = 2;
/// Silence of an agent after which its engine is given orders directly.
const AGENT_SILENCE: Duration = Duration::from_millis(400);
/// Time to prepare a map, besides its copies.
const PREPARE_TIME: Duration = Duration::from_millis(900);
/// Times that the copies to a rank may take longer than its link allows; passes
/// and other copies share it.
const COPY_SLACK: u32 = 3;
/// Pause after a switch that was given up.
const FAILED_PAUSE: Duration = Duration::from_millis(300);
/// Time for ranks to be read after their orders; several of their reports.
const CLEAR_TIME: Duration = Duration::from_millis(400);
/// Pause before a rank is given the neutral order again.
const SETTLE_PAUSE: Duration = Duration::from_millis(30);
/// Pause between two readings of a rank whose agent is silent.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Time after which ranks that do not use a released map are settled.
const SWITCH_TIME: Duration = Duration::from_secs(2);
/// Time after which a release is sent again while the pass is still held.
const RELEASE_PAUSE: Duration = Duration::from_millis(60);
/// Age of a status at which its agent may have stopped: three of its reports.
const HEARD_AGE: Duration = Duration::from_millis(100);
/// The same for each rank of a large group, whose agents report less often.
const HEARD_PER_RANK: Duration = Duration::from_millis(3);
/// Time from a confirmed hold to the first check, so that a VM that fails as it
/// gives the order is noticed; less than what is left of the pass under way.
const HOLD_DWELL: Duration = Duration::from_millis(5);
/// Time for agents to answer a check while a pass is held; a message takes some
/// milliseconds, and the group should not miss two passes.
const CHECK_TIME: Duration = Duration::from_millis(90);
/// Pause before a check is sent again, since datagrams are lost at times.
const CHECK_PAUSE: Duration = Duration::from_millis(20);
/// Time for which ranks that do not answer are asked again to arm; callers give a
/// stream up after a pause of two seconds.
const ARMING_TIME: Duration = Duration::from_millis(500);
/// Holds that may be refused or stay unanswered before a switch is given up. The
/// same hold twice does no harm: carried out late, its pass has begun or it holds.
const MAX_HOLDS: u32 = 6;

#[derive(Debug, Clone)]
struct RankView {
    status: RankStatus,
    placed: Vec<Vec<ExpertIndex>>,
    heard: Duration,
    /// Last order that was carried out before the status was read.
    after: Option<OrderId>,
}

#[derive(Debug, Clone)]
struct PendingOrder {
    rank: RankIndex,
    order: RankOrder,
    via: Option<RankIndex>,
    first_sent: Duration,
    last_sent: Duration,
}

/// Agents that have answered a check.
#[derive(Debug, Clone, PartialEq)]
struct PresenceCheck {
    id: OrderId,
    present: Vec<bool>,
    held_at: Duration,
    asked: Option<Duration>,
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    /// Ranks are not all known, or the group is broken.
    Waiting,
    /// Each rank takes a higher fence.
    Settling { confirmed: Vec<Option<OrderId>> },
    /// What earlier switches left is undone; statuses must be read after the
    /// orders in `needed`.
    Clearing { needed: Vec<OrderId>, started: Duration },
    /// Nothing is under way.
    Idle { since: Duration },
    /// The ranks copy experts.
    Preparing { version: MapVersion, map: Arc<ExpertMap>, started: Duration, limit: Duration },
    /// A rank is asked to hold a pass.
    Holding { version: MapVersion, pass: PassNumber, tries: u32 },
    /// The pass is held, and each agent is asked to answer.
    Checking { version: MapVersion, pass: PassNumber, check: PresenceCheck },
    /// All ranks are asked to switch at the held pass.
    Arming { version: MapVersion, pass: PassNumber, armed: Vec<bool>, started: Duration },
    /// The held pass is released; the ranks begin to use the map.
    Releasing { version: MapVersion, pass: PassNumber, started: Duration, sent: Duration },
}

/// Leader of a group, as pure decisions.
#[derive(Debug, Clone)]
pub struct GroupLeader {
    term: LeaderTerm,
    own: RankIndex,
    fence: u64,
    next_order: OrderId,
    last_version: MapVersion,
    epoch: Option<GroupEpoch>,
    views: Vec<Option<RankView>>,
    pending: FastMap<OrderId, PendingOrder>,
    phase: Phase,
    /// Rank that holds, or is to hold, the pass of the current switch.
    holder: RankIndex,
    looked: Duration,
    settled_at: Duration,
    switches: u64,
    /// Map of the last switch; ranks that use its version hold just this.
    ordered: Option<(MapVersion, Arc<ExpertMap>)>,
}

impl GroupLeader {
    /// Starts to lead a group of `size` ranks from rank `own`.
    pub fn new(term: LeaderTerm, size: usize, own: RankIndex) -> GroupLeader {
        GroupLeader {
            term,
            own,
            fence: 0,
            next_order: 0,
            last_version: 0,
            epoch: None,
            views: vec![None; size],
            pending: FastMap::default(),
            phase: Phase::Waiting,
            holder: own,
            looked: Duration::ZERO,
            settled_at: Duration::ZERO,
            switches: 0,
            ordered: None,
        }
    }

    /// Term of this leader.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Switches that were completed.
    pub fn completed_switches(&self) -> u64 {
        self.switches
    }

    /// Takes the status of a rank in, with the experts that it holds by set, unless
    /// they are told seldom and were not due, and the last order of this leader that
    /// was carried out before it was read.
    pub fn handle_status(
        &mut self,
        now: Duration,
        status: RankStatus,
        placed: Vec<Vec<ExpertIndex>>,
        after: Option<OrderId>,
    ) -> Vec<LeaderAction> {
        let rank = status.rank;
        if rank >= self.views.len() {
            return Vec::new();
        }
        let versions = [Some(status.map), status.prepared, status.armed];
        let highest = versions.into_iter().flatten().max().unwrap_or(0);
        self.last_version = self.last_version.max(highest);
        let before = self.views[rank].take();
        let placed = match before {
            Some(before) if placed.is_empty() && same_map(&before.status, &status) => before.placed,
            _ => placed,
        };
        self.views[rank] = Some(RankView { status, placed, heard: now, after });
        self.advance(now)
    }

    /// Takes the status of a rank in that was read from its engine, since the
    /// agent is silent.
    pub fn handle_direct_status(
        &mut self,
        now: Duration,
        status: RankStatus,
        after: Option<OrderId>,
    ) -> Vec<LeaderAction> {
        match self.views.get_mut(status.rank) {
            Some(Some(view)) => {
                view.status = status;
                view.after = after;
            }
            Some(unheard) => {
                // The rank counts as silent, so its engine gets orders directly.
                let heard = Duration::ZERO;
                *unheard = Some(RankView { status, placed: Vec::new(), heard, after });
            }
            None => {}
        }
        self.advance(now)
    }

    /// Ranks of which nothing was ever heard.
    pub fn unreported_ranks(&self) -> usize {
        self.views.iter().filter(|view| view.is_none()).count()
    }

    /// Time that each rank's work takes, relative to a sound engine.
    pub fn slowdowns(&self) -> Vec<f64> {
        let paces = self.views.iter();
        paces.map(|view| view.as_ref().map_or(1.0, |view| view.status.slowdown)).collect()
    }

    /// Takes the outcome of an order in.
    pub fn handle_outcome(
        &mut self,
        now: Duration,
        id: OrderId,
        outcome: OrderOutcome,
    ) -> Vec<LeaderAction> {
        let Some(pending) = self.pending.remove(&id) else {
            return Vec::new();
        };
        let mut actions = self.judge(now, id, &pending, outcome);
        actions.extend(self.advance(now));
        actions
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) -> Vec<LeaderAction> {
        let mut actions = Vec::new();
        let late: Vec<OrderId> = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.first_sent + patience(&pending.order))
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            actions.extend(self.handle_outcome(now, id, OrderOutcome::Unknown));
        }
        actions.extend(self.resend(now));
        actions.extend(self.look_at_silent(now));
        actions.extend(self.advance(now));
        actions
    }

    /// Reads the status of ranks whose agents are silent while it is needed.
    fn look_at_silent(&mut self, now: Duration) -> Vec<LeaderAction> {
        let needed = matches!(self.phase, Phase::Settling { .. } | Phase::Clearing { .. });
        if !needed || now < self.looked + LOOK_PAUSE {
            return Vec::new();
        }
        self.looked = now;
        let silent = (0..self.views.len()).filter(|&rank| self.agent_silent(now, rank));
        silent.map(|rank| LeaderAction::ReadStatus { rank }).collect()
    }

    /// Returns an order that waits for its outcome, with its rank.
    pub fn pending_order(&self, id: OrderId) -> Option<(RankIndex, &RankOrder)> {
        self.pending.get(&id).map(|pending| (pending.rank, &pending.order))
    }

    /// Version of the map in force, as the first rank reports it.
    pub fn map_version(&self) -> Option<MapVersion> {
        self.views.first()?.as_ref().map(|view| view.status.map)
    }

    /// Formation that the leader acts in.
    pub fn epoch(&self) -> Option<GroupEpoch> {
        self.epoch
    }

    /// Returns the map in force if a switch could begin now.
    pub fn switchable_map(&self, now: Duration) -> Option<Arc<ExpertMap>> {
        let Phase::Idle { since } = self.phase else {
            return None;
        };
        if now < since || !self.all_fresh(now) {
            return None;
        }
        let first = self.views.first()?.as_ref()?;
        let version = first.status.map;
        if self.views.iter().flatten().any(|view| view.status.map != version) {
            return None;
        }
        if let Some((_, map)) = self.ordered.as_ref().filter(|(ordered, _)| *ordered == version) {
            return Some(Arc::clone(map));
        }
        let sets = first.placed.len();
        if sets == 0 || self.views.iter().flatten().any(|view| view.placed.len() != sets) {
            return None;
        }
        let by_set = (0..sets)
            .map(|set| self.views.iter().flatten().map(|view| view.placed[set].clone()).collect());
        Some(Arc::new(by_set.collect()))
    }

    /// Begins to switch to a map; `copy_span` is the longest time for which a rank
    /// has to copy.
    pub fn begin_switch(
        &mut self,
        now: Duration,
        map: ExpertMap,
        copy_span: Duration,
    ) -> Vec<LeaderAction> {
        if !matches!(self.phase, Phase::Idle { .. }) {
            return Vec::new();
        }
        let version = self.last_version + 1;
        self.last_version = version;
        let limit = PREPARE_TIME + copy_span * COPY_SLACK;
        let detail = format!("copies take {} ms", copy_span.as_millis());
        let mut actions = vec![note("map-prepared", version, 0, detail)];
        let map = Arc::new(map);
        self.ordered = Some((version, Arc::clone(&map)));
        for rank in 0..self.views.len() {
            let order = RankOrder::Prepare { mark: self.mark(), version, map: Arc::clone(&map) };
            actions.push(self.send(now, rank, order));
        }
        self.phase = Phase::Preparing { version, map, started: now, limit };
        actions
    }

    /// Whether the group runs and nothing is left over from before.
    pub fn reconciled(&self) -> bool {
        !matches!(self.phase, Phase::Waiting | Phase::Settling { .. } | Phase::Clearing { .. })
    }

    /// Requests that run in the group.
    pub fn running_requests(&self) -> u32 {
        self.views.iter().flatten().map(|view| view.status.running).sum()
    }

    /// Ranks of which nothing has been heard for a while.
    pub fn silent_ranks(&self, now: Duration) -> usize {
        self.views
            .iter()
            .filter(|view| view.as_ref().is_none_or(|view| now >= view.heard + AGENT_SILENCE))
            .count()
    }

    fn mark(&self) -> OrderMark {
        let fence = self.term * FENCES_PER_TERM + self.fence.min(FENCES_PER_TERM - 1);
        OrderMark { fence, epoch: self.epoch.unwrap_or(0) }
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
        let pending =
            PendingOrder { rank, order: order.clone(), via, first_sent: now, last_sent: now };
        self.pending.insert(id, pending);
        let direct = via.is_none() && self.agent_silent(now, rank);
        LeaderAction::Order { rank, id, order, direct, via }
    }

    /// Sends orders again whose datagram or answer may be lost; agents carry
    /// each id out once.
    fn resend(&mut self, now: Duration) -> Vec<LeaderAction> {
        let mut actions = Vec::new();
        let views = &self.views;
        for (id, pending) in &mut self.pending {
            if now < pending.last_sent + patience(&pending.order) / resends(&pending.order) {
                continue;
            }
            if agent_silent(views, now, pending.rank) {
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

    fn agent_silent(&self, now: Duration, rank: RankIndex) -> bool {
        agent_silent(&self.views, now, rank)
    }

    /// Whether no agent has been silent for long enough to doubt it.
    fn all_heard(&self, now: Duration) -> bool {
        let limit = HEARD_AGE.max(HEARD_PER_RANK * self.views.len() as u32);
        self.views.iter().all(|view| view.as_ref().is_some_and(|view| now < view.heard + limit))
    }

    fn all_fresh(&self, now: Duration) -> bool {
        self.views
            .iter()
            .all(|view| view.as_ref().is_some_and(|view| now < view.heard + STATUS_AGE))
    }

    /// Whether all ranks are known in one open formation.
    fn formed(&self) -> Option<GroupEpoch> {
        let first = self.views.first()?.as_ref()?.status.epoch;
        let formed = self.views.iter().all(|view| {
            view.as_ref().is_some_and(|view| view.status.epoch == first && view.status.open)
        });
        formed.then_some(first)
    }

    /// Moves on as far as what is known allows.
    fn advance(&mut self, now: Duration) -> Vec<LeaderAction> {
        let formed = self.formed();
        if formed.is_none() || formed != self.epoch {
            return self.reform(now, formed);
        }
        match &self.phase {
            Phase::Waiting | Phase::Holding { .. } | Phase::Arming { .. } => Vec::new(),
            Phase::Checking { version, pass, check } => {
                let (version, pass, check) = (*version, *pass, check.clone());
                self.follow_check(now, version, pass, check)
            }
            &Phase::Idle { since } => self.release_stray(now, since),
            &Phase::Preparing { started, .. } if self.held_after(started) => {
                self.release_stray(now, started)
            }
            Phase::Settling { confirmed } => {
                let confirmed = confirmed.clone();
                self.check_settled(now, confirmed)
            }
            Phase::Clearing { needed, started } => {
                let (needed, started) = (needed.clone(), *started);
                self.clear(now, &needed, started)
            }
            &Phase::Preparing { version, started, limit, .. } => {
                self.check_prepared(now, version, started, limit)
            }
            &Phase::Releasing { version, pass, started, sent } => {
                self.check_released(now, version, pass, started, sent)
            }
        }
    }

    /// Follows a change of the group's formation.
    fn reform(&mut self, now: Duration, formed: Option<GroupEpoch>) -> Vec<LeaderAction> {
        let Some(epoch) = formed else {
            if self.phase == Phase::Waiting {
                return Vec::new();
            }
            // A rank that is only silent may still hold a pass: the formation
            // is given up only when a rank says so.
            let broken = self
                .views
                .iter()
                .flatten()
                .any(|view| Some(view.status.epoch) != self.epoch || !view.status.open);
            if !broken {
                return Vec::new();
            }
            self.pending.clear();
            self.phase = Phase::Waiting;
            self.epoch = None;
            return vec![note("group-broken", 0, 0, String::new())];
        };
        self.epoch = Some(epoch);
        self.ordered = None;
        self.pending.clear();
        let mut actions = vec![note("group-formed", 0, 0, format!("epoch {epoch}"))];
        actions.extend(self.begin_settling(now, "a new formation or leader"));
        actions
    }

    /// Raises the fence and has every rank take it.
    fn begin_settling(&mut self, now: Duration, reason: &str) -> Vec<LeaderAction> {
        self.fence += 1;
        // The neutral order disarms a version that is never armed, so that one
        // that is carried out late undoes no later switch.
        self.last_version += 1;
        self.pending.clear();
        let size = self.views.len();
        self.phase = Phase::Settling { confirmed: vec![None; size] };
        let mut actions = vec![note("settling", self.last_version, 0, reason.to_string())];
        self.settled_at = now;
        for rank in 0..size {
            actions.push(self.send_neutral(now, rank));
        }
        actions
    }

    /// Sends an order that changes nothing but the fence.
    fn send_neutral(&mut self, now: Duration, rank: RankIndex) -> LeaderAction {
        let order = RankOrder::Disarm { mark: self.mark(), version: self.last_version };
        self.send(now, rank, order)
    }

    /// Begins to clear once every rank has taken the fence.
    fn check_settled(
        &mut self,
        now: Duration,
        confirmed: Vec<Option<OrderId>>,
    ) -> Vec<LeaderAction> {
        let needed: Vec<OrderId> = confirmed.iter().copied().flatten().collect();
        if needed.len() < confirmed.len() {
            return self.ask_unconfirmed(now, &confirmed);
        }
        self.phase = Phase::Clearing { needed: needed.clone(), started: now };
        self.clear(now, &needed, now)
    }

    /// Gives the neutral order again to ranks that have not confirmed it.
    fn ask_unconfirmed(
        &mut self,
        now: Duration,
        confirmed: &[Option<OrderId>],
    ) -> Vec<LeaderAction> {
        if now < self.settled_at + SETTLE_PAUSE {
            return Vec::new();
        }
        self.settled_at = now;
        let mut actions = Vec::new();
        for (rank, confirmed) in confirmed.iter().enumerate() {
            let waiting = self.pending.values().any(|pending| pending.rank == rank);
            if confirmed.is_none() && !waiting {
                actions.push(self.send_neutral(now, rank));
            }
        }
        actions
    }

    /// Undoes what is left once each rank was read after the orders in `needed`.
    fn clear(&mut self, now: Duration, needed: &[OrderId], started: Duration) -> Vec<LeaderAction> {
        let current = self.views.iter().zip(needed).all(|(view, needed)| {
            view.as_ref().is_some_and(|view| view.after.is_some_and(|after| after >= *needed))
        });
        if !current && now >= started + CLEAR_TIME {
            // An agent that was silent is heard again: it knows nothing of the
            // orders that went past it.
            return self.begin_settling(now, "a rank was not read after its orders");
        }
        if !current || !self.pending.is_empty() {
            return Vec::new();
        }
        let statuses: Vec<RankStatus> =
            self.views.iter().flatten().map(|view| view.status.clone()).collect();
        let armed: Vec<(RankIndex, MapVersion)> =
            statuses.iter().filter_map(|status| Some((status.rank, status.armed?))).collect();
        let held: Vec<(RankIndex, PassNumber)> =
            statuses.iter().filter_map(|status| Some((status.rank, status.held?))).collect();
        if held.is_empty() && armed.is_empty() {
            self.phase = Phase::Idle { since: now };
            return vec![note("settled", self.last_version, 0, String::new())];
        }
        if held.is_empty() {
            // The ranks were released together and switch at the next pass.
            return Vec::new();
        }
        let complete = armed.len() == statuses.len()
            && armed.iter().all(|(_, version)| *version == armed[0].1);
        let mut actions = Vec::new();
        if armed.is_empty() || complete {
            for (rank, pass) in held {
                let order = RankOrder::Release { mark: self.mark(), pass };
                actions.push(self.send(now, rank, order));
            }
        } else {
            for (rank, version) in armed {
                let order = RankOrder::Disarm { mark: self.mark(), version };
                actions.push(self.send(now, rank, order));
            }
        }
        actions
    }

    fn check_prepared(
        &mut self,
        now: Duration,
        version: MapVersion,
        started: Duration,
        limit: Duration,
    ) -> Vec<LeaderAction> {
        let prepared =
            self.views.iter().flatten().all(|view| view.status.prepared == Some(version));
        if prepared {
            return self.begin_holding(now, version, 0);
        }
        if now >= started + limit {
            return self.give_up(now, version, "preparing takes too long");
        }
        Vec::new()
    }

    /// Releases passes that are held although no switch is under way: an earlier
    /// hold was carried out late. No rank is armed then, so nothing else is due.
    fn release_stray(&mut self, now: Duration, since: Duration) -> Vec<LeaderAction> {
        if !self.held_after(since) {
            return Vec::new();
        }
        let held: Vec<(RankIndex, PassNumber)> = self
            .views
            .iter()
            .flatten()
            .filter_map(|view| Some((view.status.rank, view.status.held?)))
            .collect();
        let mut actions = Vec::new();
        for (rank, pass) in held {
            let waiting = self.pending.values().any(|pending| {
                pending.rank == rank && matches!(pending.order, RankOrder::Release { .. })
            });
            if !waiting {
                actions.push(note("stray-hold", self.last_version, pass, format!("rank {rank}")));
                let order = RankOrder::Release { mark: self.mark(), pass };
                actions.push(self.send(now, rank, order));
            }
        }
        actions
    }

    /// Whether a rank still holds a pass some time after `since`.
    fn held_after(&self, since: Duration) -> bool {
        self.views
            .iter()
            .flatten()
            .any(|view| view.status.held.is_some() && view.heard > since + RELEASE_PAUSE)
    }

    fn give_up(&mut self, now: Duration, version: MapVersion, reason: &str) -> Vec<LeaderAction> {
        self.pending.clear();
        self.phase = Phase::Idle { since: now + FAILED_PAUSE };
        vec![note("switch-given-up", version, 0, reason.to_string())]
    }

    fn begin_holding(
        &mut self,
        now: Duration,
        version: MapVersion,
        tries: u32,
    ) -> Vec<LeaderAction> {
        let Some(view) = &self.views[self.own] else {
            return self.give_up(now, version, "the leader's own rank is not known");
        };
        let ahead = if now < view.heard + FRESH_AGE { 1 } else { 2 };
        let pass = view.status.pass + ahead + u64::from(tries);
        let (holder, giver) = self.hold_ranks(now);
        self.holder = holder;
        self.phase = Phase::Holding { version, pass, tries };
        let order = RankOrder::Hold { mark: self.mark(), pass };
        vec![self.send_via(now, holder, giver, order)]
    }

    /// Returns the rank that holds a pass, and the one whose agent asks it to.
    fn hold_ranks(&self, now: Duration) -> (RankIndex, Option<RankIndex>) {
        let size = self.views.len();
        let mut others = (1..size).map(|step| (self.own + step) % size).filter(|&rank| {
            self.views[rank].as_ref().is_some_and(|view| now < view.heard + STATUS_AGE)
        });
        match (others.next(), others.next()) {
            (Some(holder), Some(giver)) => (holder, Some(giver)),
            _ => (self.own, None),
        }
    }

    /// Prepares to ask each agent for an answer now that the pass is held.
    fn begin_check(
        &mut self,
        now: Duration,
        version: MapVersion,
        pass: PassNumber,
    ) -> Vec<LeaderAction> {
        let id = self.next_order;
        self.next_order += 1;
        let mut present = vec![false; self.views.len()];
        present[self.own] = true;
        let check = PresenceCheck { id, present, held_at: now, asked: None };
        self.phase = Phase::Checking { version, pass, check };
        Vec::new()
    }

    /// Takes in that an agent has answered a check.
    pub fn handle_presence(
        &mut self,
        now: Duration,
        rank: RankIndex,
        id: OrderId,
    ) -> Vec<LeaderAction> {
        let Phase::Checking { version, pass, check } = &mut self.phase else {
            return Vec::new();
        };
        if check.id != id || rank >= check.present.len() {
            return Vec::new();
        }
        check.present[rank] = true;
        if !check.present.iter().all(|present| *present) {
            return Vec::new();
        }
        let (version, pass) = (*version, *pass);
        self.begin_arming(now, version, pass)
    }

    /// Asks again those who have not answered, and gives the switch up in time.
    fn follow_check(
        &mut self,
        now: Duration,
        version: MapVersion,
        pass: PassNumber,
        mut check: PresenceCheck,
    ) -> Vec<LeaderAction> {
        if now >= check.held_at + CHECK_TIME {
            let silent = check.present.iter().position(|present| !present).unwrap_or(self.own);
            let reason = format!("the agent of rank {silent} is silent");
            return self.give_up_held(now, version, pass, &reason);
        }
        let due = check.asked.map_or(check.held_at + HOLD_DWELL, |asked| asked + CHECK_PAUSE);
        if now < due {
            return Vec::new();
        }
        check.asked = Some(now);
        let id = check.id;
        self.phase = Phase::Checking { version, pass, check };
        vec![LeaderAction::CheckPresence { id }]
    }

    /// Gives a switch up before any rank was armed, and releases the pass if it
    /// is held.
    fn give_up_held(
        &mut self,
        now: Duration,
        version: MapVersion,
        pass: PassNumber,
        reason: &str,
    ) -> Vec<LeaderAction> {
        let mut actions = self.give_up(now, version, reason);
        let order = RankOrder::Release { mark: self.mark(), pass };
        actions.push(self.send(now, self.holder, order));
        actions
    }

    fn begin_arming(
        &mut self,
        now: Duration,
        version: MapVersion,
        pass: PassNumber,
    ) -> Vec<LeaderAction> {
        let size = self.views.len();
        self.phase = Phase::Arming { version, pass, armed: vec![false; size], started: now };
        let mut actions = Vec::new();
        for rank in 0..size {
            let order = RankOrder::Arm { mark: self.mark(), version, pass };
            actions.push(self.send(now, rank, order));
        }
        actions
    }

    fn release(
        &mut self,
        now: Duration,
        version: MapVersion,
        pass: PassNumber,
    ) -> Vec<LeaderAction> {
        let started = match self.phase {
            Phase::Releasing { started, .. } => started,
            _ => now,
        };
        self.phase = Phase::Releasing { version, pass, started, sent: now };
        let order = RankOrder::Release { mark: self.mark(), pass };
        vec![self.send(now, self.holder, order)]
    }

    fn check_released(
        &mut self,
        now: Duration,
        version: MapVersion,
        pass: PassNumber,
        started: Duration,
        sent: Duration,
    ) -> Vec<LeaderAction> {
        if self.views.iter().flatten().all(|view| view.status.map == version) {
            self.switches += 1;
            self.phase = Phase::Idle { since: now };
            return vec![note("map-in-force", version, pass, String::new())];
        }
        let held = self.views[self.own]
            .as_ref()
            .is_some_and(|view| view.status.held == Some(pass) && view.heard > sent);
        if held && now >= sent + RELEASE_PAUSE {
            return self.release(now, version, pass);
        }
        if now >= started + SWITCH_TIME {
            return self.begin_settling(now, "the ranks do not use a released map");
        }
        Vec::new()
    }

    /// Takes the outcome of an order in, by the phase that it belongs to.
    fn judge(
        &mut self,
        now: Duration,
        id: OrderId,
        pending: &PendingOrder,
        outcome: OrderOutcome,
    ) -> Vec<LeaderAction> {
        if outcome == OrderOutcome::Fenced {
            return vec![LeaderAction::StepDown];
        }
        let done = outcome == OrderOutcome::Done;
        match (&mut self.phase, &pending.order) {
            (Phase::Settling { confirmed }, RankOrder::Disarm { .. }) => {
                if done {
                    confirmed[pending.rank] = Some(id);
                }
                Vec::new()
            }
            (Phase::Clearing { needed, .. }, _) => {
                // The statuses that follow decide whether more is to be done.
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
                    let taken = self.views[rank]
                        .as_ref()
                        .is_some_and(|view| view.status.prepared == Some(version));
                    if taken {
                        return Vec::new();
                    }
                    return self.give_up(now, version, &format!("rank {rank} refused to prepare"));
                }
                let order = RankOrder::Prepare { mark: self.mark(), version, map };
                vec![self.send(now, pending.rank, order)]
            }
            (Phase::Holding { version, pass, tries }, RankOrder::Hold { .. }) => {
                let (version, pass, tries) = (*version, *pass, *tries);
                let held = self.views[self.holder]
                    .as_ref()
                    .is_some_and(|view| view.status.held == Some(pass));
                match outcome {
                    _ if done || held => self.begin_check(now, version, pass),
                    OrderOutcome::Refused if tries < MAX_HOLDS => {
                        self.begin_holding(now, version, tries + 1)
                    }
                    OrderOutcome::Refused => self.give_up(now, version, "no pass could be held"),
                    _ if self.all_heard(now) && tries < MAX_HOLDS => {
                        self.phase = Phase::Holding { version, pass, tries: tries + 1 };
                        vec![self.send_via(now, pending.rank, pending.via, pending.order.clone())]
                    }
                    _ => self.give_up_held(now, version, pass, "a hold without an answer"),
                }
            }
            (Phase::Arming { version, pass, armed, started }, RankOrder::Arm { .. }) => {
                if outcome == OrderOutcome::Unknown && now < *started + ARMING_TIME {
                    return vec![self.send(now, pending.rank, pending.order.clone())];
                }
                if !done {
                    let rank = pending.rank;
                    let reason = format!("rank {rank} did not confirm: {outcome:?}");
                    return self.begin_settling(now, &reason);
                }
                armed[pending.rank] = true;
                if !armed.iter().all(|armed| *armed) {
                    return Vec::new();
                }
                let (version, pass) = (*version, *pass);
                self.release(now, version, pass)
            }
            (Phase::Releasing { version, pass, .. }, RankOrder::Release { .. }) => {
                let (version, pass) = (*version, *pass);
                if outcome != OrderOutcome::Unknown {
                    return Vec::new();
                }
                self.release(now, version, pass)
            }
            _ => Vec::new(),
        }
    }
}

/// Time after which the outcome of an order is taken as unknown.
fn patience(order: &RankOrder) -> Duration {
    match order {
        RankOrder::Prepare { .. } => MAP_TIMEOUT,
        _ => OUTCOME_TIMEOUT,
    }
}

/// Times that an order is sent while its outcome is awaited.
fn resends(order: &RankOrder) -> u32 {
    match order {
        RankOrder::Prepare { .. } => MAP_RESENDS,
        _ => RESENDS,
    }
}

/// Whether two statuses of a rank speak of the same map.
fn same_map(before: &RankStatus, after: &RankStatus) -> bool {
    (before.epoch, before.map) == (after.epoch, after.map)
}

fn agent_silent(views: &[Option<RankView>], now: Duration, rank: RankIndex) -> bool {
    views[rank].as_ref().is_some_and(|view| now >= view.heard + AGENT_SILENCE)
}

fn note(
    event: &'static str,
    version: MapVersion,
    pass: PassNumber,
    detail: String,
) -> LeaderAction {
    LeaderAction::Log { event, version, pass, detail }
}
