//! Reads the engine on this VM and carries out the leader's orders on it.
//!
//! The engine's status, expert counts and experts go to the leader as reports, at an
//! interval that grows with the group. The leader's orders come in, and their outcomes go
//! back to it; each order is carried out once, however often it arrives.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cuminpick::expert_counts::PackedCounts;
use cuminpick::expert_counts::pack_counts;
use cuminpick::experts::ExpertIndex;
use cuminpick::experts::ExpertMap;
use cuminpick::experts::MapVersion;
use cuminpick::experts::apply_changes;
use cuminpick::experts::initial_map;
use cuminpick::ids::hash_value;
use cuminpick::orders::GroupEpoch;
use cuminpick::orders::LeaderTerm;
use cuminpick::orders::OrderId;
use cuminpick::orders::OrderOutcome;
use cuminpick::orders::RankOrder;
use cuminpick::orders::RankStatus;
use cuminpick::routing::ExpertLayout;
use cuminpick_platform::call::CallError;
use cuminpick_platform::call::ConnectFailure;
use cuminpick_platform::engine::EngineClient;
use cuminpick_platform::engine::EngineError;
use slog::o;

use crate::lead::record_outcome;
use crate::lead::record_report;
use crate::lead::step_down;
use crate::members::report_lost_engine;
use crate::messages::AgentMessage;
use crate::messages::RankReport;
use crate::messages::SentOrder;
use crate::state::Agent;
use crate::state::OwnRank;

/// Minimum interval at which the engine is read; a pass takes 40 ms or more.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(30);
/// Read interval per rank of the group, so that the leader of a large group can process all
/// reports.
const READ_INTERVAL_PER_RANK: Duration = Duration::from_millis(1);
/// Interval at which the engine is read while a switch waits for it; a switch waits until
/// the last rank has reported that it prepared the map, and later that it uses it.
const SWITCH_READ_INTERVAL: Duration = Duration::from_millis(10);
/// Time after an order to prepare a map for which the engine is read at the shorter interval;
/// copies and passes take a few hundred milliseconds.
const SWITCH_READ_TIME: Duration = Duration::from_secs(1);
/// One in this many reports repeats the rank's experts although they are unchanged.
const REPORTS_PER_PLACEMENT: u32 = 8;
/// Minimum interval at which the expert counts are reported.
const MIN_COUNT_INTERVAL: Duration = Duration::from_millis(60);
/// Time that the counts of a report cover, up to the report, where the interval between
/// counts is much longer; a pass or two.
const COUNT_WINDOW: Duration = Duration::from_millis(150);
/// Share of the leader's link that the counts of all ranks together may use.
const COUNT_LINK_SHARE: f64 = 0.4;
/// Number of recent maps kept as bases for the changes in later orders.
const MAX_RECENT_MAPS: usize = 4;
/// Delay before the engine is read again after a failure.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of remembered order outcomes; all are dropped when it is reached.
const MAX_OUTCOMES: usize = 4_096;

/// Time by which a report may be sent early, so that delays of the timer do not accumulate.
const REPORT_SLACK: Duration = Duration::from_millis(3);

/// Returns the interval at which a rank reports while nothing changes, for a group of
/// `ranks` ranks.
fn report_interval(ranks: u32) -> Duration {
    MIN_READ_INTERVAL.max(READ_INTERVAL_PER_RANK * ranks)
}

/// Reads the engine and reports to the leader for as long as the process runs.
pub async fn observe_engine(agent: Rc<Agent>) {
    let mut observer = Observer {
        client: EngineClient::new(agent.engine),
        agent,
        counts: None,
        placed: None,
        reported: None,
        reported_at: Duration::ZERO,
        counted_at: Duration::ZERO,
        window_started_at: Duration::ZERO,
        count_interval: MIN_COUNT_INTERVAL,
        failing: false,
    };
    loop {
        let delay = match observer.read_engine().await {
            Ok(ranks) => observer.read_delay(ranks),
            Err(error) => {
                observer.log_failure(&error);
                if is_refused(&error) {
                    report_lost_engine(&observer.agent).await;
                }
                READ_RETRY_DELAY
            }
        };
        let agent = Rc::clone(&observer.agent);
        let _ = tokio::time::timeout(delay, agent.read_now.notified()).await;
    }
}

/// Returns whether the engine's host refused the connection, so that no engine runs there.
fn is_refused(error: &EngineError) -> bool {
    let EngineError::Call(error) = error else {
        return false;
    };
    matches!(error, CallError::NotConnected(_, ConnectFailure::Refused))
}

/// Reads one engine repeatedly and keeps what the next report depends on.
struct Observer {
    agent: Rc<Agent>,
    client: EngineClient,
    /// Expert counts at the last read, with the epoch in which they were read.
    counts: Option<(GroupEpoch, Vec<u64>)>,
    /// Experts that the rank holds, by set, with the epoch and the map that they belong to.
    placed: Option<(GroupEpoch, MapVersion, Vec<Vec<ExpertIndex>>)>,
    /// Contents of the last report; `None` before the first one.
    reported: Option<ReportedStatus>,
    /// When a report was last sent.
    reported_at: Duration,
    /// When counts were last reported.
    counted_at: Duration,
    /// Start of the time that the next counts cover, where it is shorter than their interval.
    window_started_at: Duration,
    /// Interval at which counts are reported, set by their size and the leader's link.
    count_interval: Duration,
    /// Whether the last read failed.
    failing: bool,
}

/// What an observer reported last, and to which leader.
#[derive(Debug, Clone, PartialEq)]
struct ReportedStatus {
    status: RankStatus,
    leader: Option<LeaderTerm>,
    last_order: Option<(LeaderTerm, OrderId)>,
    /// Number of reports since the last one that included the rank's experts, modulo
    /// [`REPORTS_PER_PLACEMENT`].
    reports_since_placement: u32,
}

impl Observer {
    /// Returns the delay until the next read.
    fn read_delay(&self, ranks: u32) -> Duration {
        let regular = report_interval(ranks);
        if self.is_awaited_by_switch() { SWITCH_READ_INTERVAL.min(regular) } else { regular }
    }

    /// Returns whether a switch waits for this rank to prepare its map or to use it.
    fn is_awaited_by_switch(&self) -> bool {
        let awaited_map = self.agent.state.borrow().awaited_map;
        let Some((version, since)) = awaited_map else {
            return false;
        };
        let reached = self.reported.as_ref().is_some_and(|reported| reported.status.map >= version);
        !reached && self.agent.now() < since + SWITCH_READ_TIME
    }

    /// Reads the engine once and sends a report if one is due; returns the number of ranks in
    /// its group, 0 if it belongs to none.
    async fn read_engine(&mut self) -> Result<u32, EngineError> {
        let last_order = self.agent.state.borrow().last_order;
        let Some(report) = self.client.report().await? else {
            return Ok(0);
        };
        if self.failing {
            self.failing = false;
            self.agent.journal.note("engine-back", None, o!());
        }
        let status = report.status;
        let counts = self.due_counts(report.size).await?;
        let known = self.placed.as_ref().map(|(epoch, version, _)| (*epoch, *version));
        if known != Some((status.epoch, status.map)) {
            let (version, placed) = self.client.placed_experts().await?;
            self.placed = Some((status.epoch, version, placed));
        }
        let rank = OwnRank { group: report.group, size: report.size, rank: status.rank };
        let ranks = rank.size as u32;
        let now = self.agent.now();
        let due = now + REPORT_SLACK >= self.reported_at + report_interval(ranks);
        if !due && counts == PackedCounts::None && !self.has_changed(&status, last_order) {
            return Ok(ranks);
        }
        self.reported_at = now;
        let placed = self.placement_to_report(&status, last_order);
        let rank_report = RankReport { status, placed, counts, last_order };
        self.send_report(rank, rank_report).await;
        Ok(ranks)
    }

    /// Returns whether a status differs from the reported one in anything that a switch may
    /// wait for.
    fn has_changed(&self, status: &RankStatus, last_order: Option<(LeaderTerm, OrderId)>) -> bool {
        self.reported.as_ref().is_none_or(|reported| {
            let previous = &reported.status;
            let reported_state = (previous.epoch, previous.open, previous.map, previous.prepared);
            let orders = (previous.armed, previous.held);
            reported.last_order != last_order
                || reported_state != (status.epoch, status.open, status.map, status.prepared)
                || orders != (status.armed, status.held)
        })
    }

    /// Records what is being reported, and returns the rank's experts if the report has to
    /// include them: to a new leader, with a new epoch or map, and in one of every
    /// [`REPORTS_PER_PLACEMENT`] reports. Returns an empty list otherwise.
    fn placement_to_report(
        &mut self,
        status: &RankStatus,
        last_order: Option<(LeaderTerm, OrderId)>,
    ) -> Vec<Vec<ExpertIndex>> {
        let leader = self.agent.state.borrow().leader.map(|leader| leader.term);
        let reports_since_placement = match &self.reported {
            Some(reported)
                if reported.leader == leader
                    && (reported.status.epoch, reported.status.map)
                        == (status.epoch, status.map) =>
            {
                (reported.reports_since_placement + 1) % REPORTS_PER_PLACEMENT
            }
            _ => 0,
        };
        self.reported = Some(ReportedStatus {
            status: status.clone(),
            leader,
            last_order,
            reports_since_placement,
        });
        match &self.placed {
            Some((_, version, placed))
                if *version == status.map && reports_since_placement == 0 =>
            {
                placed.clone()
            }
            _ => Vec::new(),
        }
    }

    /// Reads and packs the counts if they are due. In a large group the interval is long; the
    /// counts then cover only the last [`COUNT_WINDOW`], since demand shifts within seconds.
    async fn due_counts(&mut self, ranks: usize) -> Result<PackedCounts, EngineError> {
        let now = self.agent.now();
        let due = self.counted_at + self.count_interval;
        if now < due {
            let is_window_shorter = self.count_interval > COUNT_WINDOW * 2;
            if is_window_shorter
                && now + COUNT_WINDOW >= due
                && self.window_started_at < self.counted_at
            {
                self.window_started_at = now;
                self.counts_since_last_read().await?;
            }
            return Ok(PackedCounts::None);
        }
        self.counted_at = now;
        let counts = self.counts_since_last_read().await?;
        let packed = pack_counts(&counts, ranks, &mut self.agent.rng.borrow_mut());
        let bits = match &packed {
            PackedCounts::None => 0,
            PackedCounts::Fine(bytes) => bytes.len() * 8,
            PackedCounts::Coarse { halves, .. } => halves.len() * 8,
        };
        let link = self.agent.settings.link_bits_per_second * COUNT_LINK_SHARE;
        let needed = Duration::from_secs_f64((bits * ranks) as f64 / link.max(1.0));
        self.count_interval = needed.max(MIN_COUNT_INTERVAL);
        Ok(packed)
    }

    /// Reads the counts and returns how often each expert was chosen since the last read;
    /// empty at the first read and after a change of epoch or layout.
    async fn counts_since_last_read(&mut self) -> Result<Vec<u32>, EngineError> {
        let read = self.client.counts().await?;
        let previous = self.counts.replace((read.epoch, read.counts.clone()));
        let difference = match previous {
            Some((epoch, previous))
                if epoch == read.epoch && previous.len() == read.counts.len() =>
            {
                read.counts
                    .iter()
                    .zip(&previous)
                    .map(|(new, old)| u32::try_from(new.saturating_sub(*old)).unwrap_or(u32::MAX))
                    .collect()
            }
            _ => Vec::new(),
        };
        Ok(difference)
    }

    /// Records the rank of this VM's engine and sends its report to the leader, if any; an
    /// agent that leads records the report itself.
    async fn send_report(&self, rank: OwnRank, news: RankReport) {
        let agent = &self.agent;
        let group = rank.group.clone();
        let has_moved = {
            let state = agent.state.borrow();
            state.rank.as_ref().is_some_and(|known| *known != rank)
        };
        if has_moved {
            step_down(agent, "the engine has another rank");
        }
        let target = {
            let mut state = agent.state.borrow_mut();
            if state.set_rank(rank.clone()) {
                agent.journal.note(
                    "rank-known",
                    None,
                    o!("group" => rank.group, "rank" => rank.rank, "size" => rank.size),
                );
            }
            if state.leadership.is_some() {
                None
            } else {
                state.leader.map(|leader| leader.address)
            }
        };
        match target {
            Some(address) => {
                agent.send(address, &AgentMessage::Report { group, news }).await;
            }
            None => record_report(agent, news).await,
        }
    }

    /// Logs the first of several failed reads in a row.
    fn log_failure(&mut self, error: &EngineError) {
        if matches!(error, EngineError::Unreadable(_)) {
            self.agent.metrics.count_unreadable("engine");
        }
        if !self.failing {
            let detail = error.to_string();
            self.agent.journal.warn("engine-lost", o!("error" => detail));
        }
        self.failing = true;
    }
}

/// Identity of an order, the engine that it is for and the leader that waits for its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderRoute {
    /// Term of the leader.
    pub term: LeaderTerm,
    /// Identity of the order within the term.
    pub id: OrderId,
    /// Address of the engine that carries it out.
    pub engine: SocketAddr,
    /// Address of the leader, which receives the outcome.
    pub from: SocketAddr,
}

/// Carries out an order that another agent sent. If its base map is not known here, asks the
/// leader for the full map instead.
pub async fn receive_order(agent: Rc<Agent>, route: OrderRoute, order: SentOrder) {
    match restore_order(&agent, order) {
        Some(order) => execute_order(agent, route, order).await,
        None => {
            let group = agent.state.borrow().rank.as_ref().map(|rank| rank.group.clone());
            if let Some(group) = group {
                let OrderRoute { term, id, from, .. } = route;
                agent.send(from, &AgentMessage::MapUnknown { group, term, id }).await;
            }
        }
    }
}

/// Returns an order with its full map, and keeps the map as a base of later ones; `None` if
/// the base of its changes is unknown or they do not apply to it.
fn restore_order(agent: &Agent, order: SentOrder) -> Option<RankOrder> {
    let mut state = agent.state.borrow_mut();
    let mut known_base = None;
    let order = match order {
        SentOrder::Full(order) => order,
        SentOrder::PrepareChanges { mark, version, base, shape, changes } => {
            let known =
                state.recent_maps.iter().find(|known| (known.0, known.1) == (mark.epoch, base));
            let base_map = match known {
                Some((_, _, map)) => Arc::clone(map),
                None if base == 0 => {
                    let ranks = state.rank.as_ref()?.size;
                    Arc::new(initial_map(initial_layout(shape), ranks))
                }
                None => return None,
            };
            let map = Arc::new(apply_changes(&base_map, &changes)?);
            known_base = Some((base, base_map));
            RankOrder::Prepare { mark, version, map }
        }
    };
    if let RankOrder::Prepare { mark, version, map } = &order {
        let base = known_base.map(|(base, map)| format!("{base} {:016x}", hash_value(&map)));
        agent.journal.note(
            "map-received",
            None,
            o!("version" => *version, "digest" => format!("{:016x}", hash_value(map)),
               "base" => base, "fence" => mark.fence, "epoch" => mark.epoch),
        );
        remember_map(&mut state.recent_maps, mark.epoch, *version, map);
    }
    Some(order)
}

/// Returns the layout of a formation's first map; the bounds on copies are not used by it.
fn initial_layout((sets, experts): (u16, u16)) -> ExpertLayout {
    let (sets, experts) = (usize::from(sets), usize::from(experts));
    ExpertLayout {
        sets,
        experts,
        slots_per_rank: experts,
        max_new_experts: 0,
        copy_time: Duration::ZERO,
    }
}

/// Adds a map to the recent ones, and drops the oldest beyond [`MAX_RECENT_MAPS`]. It replaces
/// one of the same version: leaders of earlier releases may use a version again.
fn remember_map(
    recent_maps: &mut Vec<(GroupEpoch, MapVersion, Arc<ExpertMap>)>,
    epoch: GroupEpoch,
    version: MapVersion,
    map: &Arc<ExpertMap>,
) {
    recent_maps.retain(|known| (known.0, known.1) != (epoch, version));
    if recent_maps.len() >= MAX_RECENT_MAPS {
        recent_maps.remove(0);
    }
    recent_maps.push((epoch, version, Arc::clone(map)));
}

/// Carries out an order of the leader, and sends the leader the outcome. An order that was
/// carried out before is only answered with its outcome.
pub async fn execute_order(agent: Rc<Agent>, route: OrderRoute, order: RankOrder) {
    let OrderRoute { term, id, engine, from } = route;
    let known = {
        let mut state = agent.state.borrow_mut();
        if state.outcomes.len() >= MAX_OUTCOMES {
            state.outcomes.clear();
        }
        let known = state.outcomes.get(&id).copied();
        if known.is_none() {
            state.outcomes.insert(id, None);
            if let RankOrder::Prepare { version, .. } = &order {
                state.awaited_map = Some((*version, agent.now()));
            }
        }
        known
    };
    let outcome = match known {
        // In progress: the outcome follows when it is known.
        Some(None) => return,
        Some(Some(outcome)) => outcome,
        None => {
            let outcome = send_to_engine(&agent, engine, &order).await;
            let mut state = agent.state.borrow_mut();
            if state.leader.is_some_and(|leader| leader.term == term) {
                state.outcomes.insert(id, Some(outcome));
                state.last_order = state.last_order.max(Some((term, id)));
            }
            outcome
        }
    };
    let group = agent.state.borrow().rank.as_ref().map(|rank| rank.group.clone());
    let Some(group) = group else {
        return;
    };
    if agent.state.borrow().leadership.is_some() {
        record_outcome(&agent, term, id, outcome).await;
    } else {
        agent.send(from, &AgentMessage::Outcome { group, term, id, outcome }).await;
    }
    agent.read_now.notify_one();
}

/// Sends an order to an engine and logs the outcome.
async fn send_to_engine(agent: &Rc<Agent>, engine: SocketAddr, order: &RankOrder) -> OrderOutcome {
    let outcome = EngineClient::new(engine).send_order(order).await;
    let mark = order.mark();
    agent.journal.note(
        "order-given",
        None,
        o!("order" => order.name(), "outcome" => format!("{outcome:?}"),
           "fence" => mark.fence, "epoch" => mark.epoch, "engine" => engine.to_string()),
    );
    outcome
}
