//! A simulated group of ranks, and the leaders that switch its maps.
//!
//! Engines run passes in lock-step and execute orders at once, late, or without an answer.
//! Direct reads of an engine give a state of the past, and a VM that was frozen executes
//! the orders in its socket when it resumes.

use std::collections::VecDeque;
use std::time::Duration;

use cuminpick::experts::ExpertMap;
use cuminpick::experts::MapVersion;
use cuminpick::ids::hash_value;
use cuminpick::orders::FenceNumber;
use cuminpick::orders::GroupEpoch;
use cuminpick::orders::LeaderAction;
use cuminpick::orders::LeaderTerm;
use cuminpick::orders::OrderId;
use cuminpick::orders::OrderOutcome;
use cuminpick::orders::PassNumber;
use cuminpick::orders::RankOrder;
use cuminpick::orders::RankStatus;
use cuminpick::switch::GroupLeader;

pub(crate) const RANKS: usize = 3;
/// Duration of one simulation step.
pub(crate) const STEP: Duration = Duration::from_millis(5);
/// Duration of a pass, in steps.
const PASS_STEPS: u32 = 8;
/// Time that a rank needs to copy experts, in steps.
const COPY_STEPS: u32 = 10;
/// Age of the state in direct reads of an engine.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Longest time for the copies to a rank, as passed to the leader.
const COPY_SPAN: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Default)]
pub(crate) struct Rank {
    pub(crate) map: MapVersion,
    /// Digest of the map in use; 0 for the first one.
    pub(crate) content: u64,
    pub(crate) prepared: Option<MapVersion>,
    /// Digest of the latest map that was ordered to be prepared.
    pub(crate) prepared_content: u64,
    pub(crate) copying: Option<(MapVersion, u32)>,
    pub(crate) highest: MapVersion,
    pub(crate) armed: Option<(MapVersion, PassNumber)>,
    pub(crate) held: Option<PassNumber>,
    pub(crate) fence: FenceNumber,
    pub(crate) orders: u64,
}

/// Fault in the delivery of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    Normal,
    /// Executed, but the answer is lost.
    Unanswered,
    /// Neither executed nor answered.
    Lost,
    /// Executed this many steps later, without an answer.
    Late(u32),
}

#[derive(Debug, Clone)]
pub(crate) struct OrderDelivery {
    pub(crate) at: u32,
    pub(crate) leader: usize,
    pub(crate) rank: usize,
    pub(crate) id: OrderId,
    pub(crate) order: RankOrder,
    pub(crate) answered: bool,
    pub(crate) direct: bool,
}

/// A simulated group, and up to two processes that believe that they lead it.
pub(crate) struct Simulation {
    pub(crate) step: u32,
    pub(crate) epoch: GroupEpoch,
    pub(crate) pass: PassNumber,
    pub(crate) pass_steps_left: u32,
    pub(crate) ranks: Vec<Rank>,
    pub(crate) leaders: Vec<Option<GroupLeader>>,
    pub(crate) deliveries: VecDeque<OrderDelivery>,
    pub(crate) answers: VecDeque<(u32, usize, OrderId, OrderOutcome)>,
    pub(crate) presence_answers: VecDeque<(u32, usize, usize, OrderId)>,
    pub(crate) faults: Vec<Fault>,
    pub(crate) sent: usize,
    pub(crate) switches: u64,
    pub(crate) stalled: u32,
    pub(crate) longest_stall: u32,
    pub(crate) running: bool,
    pub(crate) answer_delay: u32,
    pub(crate) status_delay: u32,
    pub(crate) statuses: VecDeque<(u32, usize, RankStatus, Option<OrderId>)>,
    pub(crate) last_orders: Vec<Vec<Option<OrderId>>>,
    /// Statuses of the ranks in the latest steps, the newest last.
    pub(crate) history: VecDeque<Vec<RankStatus>>,
    /// Orders in the socket of a frozen VM, which its agent executes when it resumes.
    pub(crate) undelivered: Vec<(usize, usize, OrderId, RankOrder)>,
    pub(crate) frozen: Option<usize>,
    pub(crate) unreachable: Option<usize>,
    pub(crate) report_due: bool,
    /// Interval between two reports of an agent, in steps.
    pub(crate) report_steps: u32,
    /// Number of maps that were planned.
    pub(crate) plans: u16,
    /// Time that a rank needs to copy experts, in steps.
    pub(crate) copy_steps: u32,
}

/// Creates a leader that knows the engines' report lag.
fn new_leader(term: LeaderTerm, size: usize, own_rank: usize) -> GroupLeader {
    let mut leader = GroupLeader::new(term, size, own_rank);
    leader.set_report_lag(REPORT_LAG);
    leader
}

impl Simulation {
    pub(crate) fn new(faults: Vec<Fault>) -> Simulation {
        Simulation::sized(RANKS, faults)
    }

    pub(crate) fn sized(size: usize, faults: Vec<Fault>) -> Simulation {
        Simulation {
            step: 0,
            epoch: 1,
            pass: 0,
            pass_steps_left: PASS_STEPS,
            ranks: vec![Rank::default(); size],
            leaders: vec![Some(new_leader(10, size, 0)), None],
            deliveries: VecDeque::new(),
            answers: VecDeque::new(),
            presence_answers: VecDeque::new(),
            faults,
            sent: 0,
            switches: 0,
            stalled: 0,
            longest_stall: 0,
            running: true,
            answer_delay: 1,
            status_delay: 0,
            statuses: VecDeque::new(),
            last_orders: vec![vec![None; size]; 2],
            history: VecDeque::new(),
            undelivered: Vec::new(),
            frozen: None,
            unreachable: None,
            report_due: false,
            report_steps: 4,
            plans: 0,
            copy_steps: COPY_STEPS,
        }
    }

    fn now(&self) -> Duration {
        STEP * self.step
    }

    fn apply_actions(&mut self, leader: usize, actions: Vec<LeaderAction>) {
        for action in actions {
            match action {
                LeaderAction::Order { rank, id, order, direct, via } => {
                    let relay = via.unwrap_or(rank);
                    if direct || self.frozen != Some(relay) {
                        self.send(leader, rank, id, order, direct);
                    } else if !self.undelivered.iter().any(|known| known.2 == id) {
                        self.undelivered.push((leader, rank, id, order));
                    }
                }
                LeaderAction::ReadStatus { rank } => self.read_status(leader, rank),
                LeaderAction::CheckPresence { id } => {
                    let at = self.step + self.answer_delay;
                    let asked = (0..self.ranks.len()).map(|rank| (at, leader, rank, id));
                    self.presence_answers.extend(asked);
                }
                LeaderAction::StepDown => self.leaders[leader] = None,
                LeaderAction::Log { .. } => {}
            }
        }
    }

    /// Reads a rank's engine on behalf of a leader, bypassing the agent. The engine answers
    /// with a state of the past.
    fn read_status(&mut self, leader: usize, rank: usize) {
        if self.unreachable == Some(rank) {
            return;
        }
        let now = self.now();
        let age = (REPORT_LAG.as_millis() / STEP.as_millis()) as usize;
        let index = self.history.len().saturating_sub(age + 1);
        let Some(status) = self.history.get(index).map(|statuses| statuses[rank].clone()) else {
            return;
        };
        if let Some(active) = &mut self.leaders[leader] {
            let actions = active.handle_direct_status(now, now, status, vec![vec![0]; 1]);
            self.apply_actions(leader, actions);
        }
    }

    fn send(&mut self, leader: usize, rank: usize, id: OrderId, order: RankOrder, direct: bool) {
        let in_transit =
            self.deliveries.iter().any(|delivery| delivery.leader == leader && delivery.id == id);
        let answering = self.answers.iter().any(|known| known.1 == leader && known.2 == id);
        if in_transit || answering {
            // The agent executes each order id once.
            return;
        }
        let fault = self.faults.get(self.sent).copied().unwrap_or(Fault::Normal);
        self.sent += 1;
        let (delay, answered) = match fault {
            Fault::Normal => (1, true),
            Fault::Unanswered => (1, false),
            Fault::Lost => return,
            Fault::Late(steps) => (steps, false),
        };
        let at = self.step + delay;
        self.deliveries.push_back(OrderDelivery { at, leader, rank, id, order, answered, direct });
    }

    fn deliver(&mut self) {
        let step = self.step;
        let due: Vec<OrderDelivery> =
            self.deliveries.iter().filter(|delivery| delivery.at <= step).cloned().collect();
        self.deliveries.retain(|delivery| delivery.at > step);
        for delivery in due {
            if self.unreachable == Some(delivery.rank) {
                continue;
            }
            let outcome = self.execute(delivery.rank, &delivery.order);
            self.report_due |= delivery.answered;
            if delivery.answered {
                // An agent does not know of orders that were sent to its engine directly.
                if !delivery.direct {
                    let last_order = &mut self.last_orders[delivery.leader][delivery.rank];
                    *last_order = (*last_order).max(Some(delivery.id));
                }
                self.answers.push_back((
                    step + self.answer_delay,
                    delivery.leader,
                    delivery.id,
                    outcome,
                ));
            }
        }
        let present: Vec<_> =
            self.presence_answers.iter().filter(|answer| answer.0 <= step).copied().collect();
        self.presence_answers.retain(|answer| answer.0 > step);
        // The delay is on the way to an agent, and its answer arrives at once: a VM that
        // freezes while its answer is in flight may have an arm order in flight as well.
        for (_, leader, rank, id) in present {
            if self.frozen == Some(rank) {
                continue;
            }
            let now = self.now();
            if let Some(active) = &mut self.leaders[leader] {
                let actions = active.handle_presence(now, rank, id);
                self.apply_actions(leader, actions);
            }
        }
        let outcomes: Vec<_> =
            self.answers.iter().filter(|answer| answer.0 <= step).copied().collect();
        self.answers.retain(|answer| answer.0 > step);
        for (_, leader, id, outcome) in outcomes {
            let now = self.now();
            if let Some(active) = &mut self.leaders[leader] {
                let actions = active.handle_outcome(now, id, outcome);
                self.apply_actions(leader, actions);
            }
        }
    }

    fn execute(&mut self, rank: usize, order: &RankOrder) -> OrderOutcome {
        let mark = order.mark();
        let next = self.pass + 1;
        let copy_steps = self.copy_steps;
        let state = &mut self.ranks[rank];
        if mark.epoch != self.epoch {
            return OrderOutcome::Refused;
        }
        if mark.fence < state.fence {
            return OrderOutcome::Fenced;
        }
        state.fence = mark.fence;
        let done = match order {
            RankOrder::Prepare { version, map, .. } => {
                let fits = *version > state.highest && state.armed.is_none();
                if fits {
                    state.highest = *version;
                    state.copying = Some((*version, copy_steps));
                    state.prepared = None;
                    state.prepared_content = hash_value(map);
                }
                fits
            }
            RankOrder::Arm { version, pass, .. } => {
                let same = state.armed == Some((*version, *pass));
                let fits = state.prepared == Some(*version) && *pass >= next;
                if fits {
                    state.armed = Some((*version, *pass));
                }
                same || fits
            }
            RankOrder::Disarm { version, .. } => {
                if state.armed.is_some_and(|(armed, _)| armed == *version) {
                    state.armed = None;
                }
                state.map != *version
            }
            RankOrder::Hold { pass, .. } => {
                let same = state.held == Some(*pass);
                let fits = state.held.is_none() && *pass >= next;
                if fits {
                    state.held = Some(*pass);
                }
                same || fits
            }
            RankOrder::Release { pass, .. } => {
                if state.held == Some(*pass) {
                    state.held = None;
                }
                true
            }
        };
        if !done {
            return OrderOutcome::Refused;
        }
        state.orders += 1;
        OrderOutcome::Done
    }

    fn run_group(&mut self) {
        for rank in &mut self.ranks {
            if let Some((version, left)) = rank.copying.take() {
                if left == 0 {
                    rank.prepared = Some(version);
                } else {
                    rank.copying = Some((version, left - 1));
                }
            }
        }
        if !self.running {
            return;
        }
        if self.pass_steps_left > 0 {
            self.pass_steps_left -= 1;
            return;
        }
        let next = self.pass + 1;
        if self.ranks.iter().any(|rank| rank.held == Some(next)) {
            self.stalled += 1;
            self.longest_stall = self.longest_stall.max(self.stalled);
            return;
        }
        self.stalled = 0;
        self.pass = next;
        self.pass_steps_left = PASS_STEPS;
        for rank in &mut self.ranks {
            if let Some((version, _)) = rank.armed.filter(|(_, pass)| *pass <= next) {
                rank.map = version;
                rank.content = rank.prepared_content;
                rank.armed = None;
                rank.prepared = None;
            }
        }
        let first = (self.ranks[0].map, self.ranks[0].content);
        assert!(
            self.ranks.iter().all(|rank| (rank.map, rank.content) == first),
            "pass {next} begins with different maps: {:?}",
            self.ranks
        );
    }

    fn status(&self, rank: usize) -> RankStatus {
        let state = &self.ranks[rank];
        RankStatus {
            rank,
            epoch: self.epoch,
            open: true,
            pass: self.pass,
            map: state.map,
            prepared: state.prepared,
            armed: state.armed.map(|(version, _)| version),
            held: state.held,
            orders: state.orders,
            running: 4,
            waiting: 0,
            slowdown: 1.0,
        }
    }

    /// Reads the status of the ranks, which reaches the leaders some steps later.
    fn read_ranks(&mut self) {
        for leader in 0..self.leaders.len() {
            for rank in (0..self.ranks.len()).filter(|rank| self.frozen != Some(*rank)) {
                let last_order = self.last_orders[leader][rank];
                let at = self.step + self.status_delay;
                self.statuses.push_back((at, leader, self.status(rank), last_order));
            }
        }
    }

    fn update_leaders(&mut self) {
        let now = self.now();
        // Agents report at intervals, and at once after an order.
        let report_due = std::mem::take(&mut self.report_due);
        if report_due || self.step.is_multiple_of(self.report_steps) {
            self.read_ranks();
        }
        while self.statuses.front().is_some_and(|known| known.0 <= self.step) {
            let Some((_, leader, status, last_order)) = self.statuses.pop_front() else {
                break;
            };
            if let Some(active) = &mut self.leaders[leader] {
                let actions = active.handle_status(now, status, vec![vec![0]; 1], last_order);
                self.apply_actions(leader, actions);
            }
        }
        for leader in 0..self.leaders.len() {
            let unreported = self.leaders[leader].as_ref().map_or(0, GroupLeader::unreported_ranks);
            if let (true, Some(frozen)) = (unreported > 0, self.frozen) {
                self.read_status(leader, frozen);
            }
            if let Some(active) = &mut self.leaders[leader] {
                let mut actions = active.tick(now);
                if active.switchable_map(now).is_some() {
                    // No two plans are alike.
                    self.plans += 1;
                    let map: ExpertMap = vec![vec![vec![self.plans]; self.ranks.len()]];
                    actions.extend(active.begin_switch(now, map, COPY_SPAN));
                }
                self.switches = self.switches.max(active.completed_switches());
                self.apply_actions(leader, actions);
            }
        }
    }

    pub(crate) fn advance(&mut self) {
        self.step += 1;
        let statuses = (0..self.ranks.len()).map(|rank| self.status(rank)).collect();
        self.history.push_back(statuses);
        if self.frozen.is_none() {
            for (leader, rank, id, order) in std::mem::take(&mut self.undelivered) {
                self.send(leader, rank, id, order, false);
            }
        }
        self.deliver();
        self.run_group();
        self.update_leaders();
    }

    /// Lets a second process take over the leadership, unknown to the first.
    pub(crate) fn take_over(&mut self, term: u64) {
        let newest = usize::from(self.leaders[1].is_none());
        self.last_orders[newest] = vec![None; self.ranks.len()];
        self.deliveries.retain(|delivery| delivery.leader != newest);
        self.answers.retain(|answer| answer.1 != newest);
        self.presence_answers.retain(|answer| answer.1 != newest);
        self.statuses.retain(|known| known.1 != newest);
        self.leaders[newest] = Some(new_leader(term, self.ranks.len(), newest));
    }

    /// Simulates that a rank is lost and returns: a new formation begins with the first map.
    pub(crate) fn reform(&mut self) {
        self.epoch += 1;
        self.pass = 0;
        for rank in &mut self.ranks {
            let fence = rank.fence;
            *rank = Rank { fence, ..Rank::default() };
        }
    }
}
