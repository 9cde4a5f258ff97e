//! Runs the leader of a group: feeds [`GroupLeader`] and executes what it decides.
//!
//! Reports, outcomes and the passing of time go in; orders to ranks, beacons to the other
//! agents and updates for the gateways come out. An agent that does not lead ignores all of
//! this.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cuminpick::demand::DemandMeter;
use cuminpick::expert_counts::unpack_counts;
use cuminpick::experts::ExpertMap;
use cuminpick::experts::MapVersion;
use cuminpick::experts::RankIndex;
use cuminpick::experts::is_switch_worthwhile;
use cuminpick::experts::plan_map;
use cuminpick::groups::MembersSchedule;
use cuminpick::ids::FastMap;
use cuminpick::ids::FastSet;
use cuminpick::orders::LeaderAction;
use cuminpick::orders::LeaderTerm;
use cuminpick::orders::OrderId;
use cuminpick::orders::OrderOutcome;
use cuminpick::orders::RankOrder;
use cuminpick::routing::EngineModel;
use cuminpick::routing::ExpertLayout;
use cuminpick::store_history::StoreEra;
use cuminpick::switch::GroupLeader;
use cuminpick::updates::GroupUpdate;
use cuminpick::updates::UpdateMessage;
use slog::o;

use crate::daemon::agent_port;
use crate::dispatch::dispatch_map;
use crate::dispatch::dispatch_order;
use crate::dispatch::dispatch_via_agent;
use crate::dispatch::engine_of_rank;
use crate::dispatch::read_engine_directly;
use crate::dispatch::resend_full_maps;
use crate::members::send_members;
use crate::messages::AgentMessage;
use crate::messages::RankReport;
use crate::state::Agent;

/// Interval at which the leader's timeouts are checked and plans are considered.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which beacons are sent to the other agents.
const BEACON_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a new leader allows for first reports before it reads engines directly.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// Minimum delay between two plans.
const MIN_PLAN_DELAY: Duration = Duration::from_millis(40);
/// Delay after a plan, as a multiple of the time that it took: planning takes at most a
/// third of the leader's processor time, so that messages are not delayed.
const PLAN_DELAY_FACTOR: u32 = 2;
/// Minimum interval between two rounds of reading engines directly.
const DIRECT_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which gateways are informed of slow engines.
const GATEWAY_UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the leader checks whether gateways have to be told of its group; half of that
/// at which a change is repeated.
const MEMBERS_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Slowdown, relative to a healthy engine, from which an engine is reported as slow.
const SLOW_ENGINE_FACTOR: f64 = 1.25;
/// Minimum sum of recent expert counts for a plan; a pass of one request adds a
/// few hundred.
const MIN_PLAN_COUNTS: f64 = 2_000.0;

/// State of an agent while it leads its group.
pub struct Leadership {
    /// Decides which orders the ranks receive.
    pub leader: GroupLeader,
    /// Demand for experts in the reports of all ranks; `None` until the layout is known.
    pub(crate) demand: Option<DemandMeter>,
    /// Layout of the service's experts, once read from the configuration.
    pub(crate) layout: Option<ExpertLayout>,
    /// Cost model of the engines' passes, and the longest gap between two events that all of
    /// the service's routes accept.
    pub(crate) pass_model: Option<(EngineModel, Duration)>,
    /// Map in use when the last switch began, with its version; maps are sent as changes to
    /// it.
    pub(crate) base_map: Option<(MapVersion, Arc<ExpertMap>)>,
    /// Addresses of the gateways.
    pub(crate) gateways: Vec<SocketAddr>,
    /// Whether the last update to the gateways named slow engines.
    reported_slow: bool,
    /// Addresses of the service's engines.
    pub(crate) engines: Vec<SocketAddr>,
    /// Engines that were read directly, by rank, until the rank's agent reports.
    pub(crate) rank_engines: FastMap<RankIndex, SocketAddr>,
    /// Engines that are being read directly.
    pub(crate) reads_in_progress: Vec<SocketAddr>,
    /// Engines whose last direct read failed.
    pub(crate) unread_engines: Vec<SocketAddr>,
    /// Engines of the service that said, since engines were last listed, that they are not
    /// ranks of this group.
    pub(crate) foreign_engines: FastSet<SocketAddr>,
    /// Agents that lack the base map of an order, and when the first of them reported it.
    pub(crate) missing_base: Option<(Duration, Vec<(SocketAddr, OrderId)>)>,
    /// Time of the next plan at the earliest.
    plan_due: Duration,
    /// Era of the store in which it is known to hold this leader's claim.
    pub(crate) claimed_era: StoreEra,
    /// When this agent became the leader.
    started_at: Duration,
    /// When engines were last read directly because their agents had not reported.
    direct_read_at: Duration,
    /// Addresses of the ranks' agents, taken from their reports.
    pub(crate) agents: FastMap<RankIndex, SocketAddr>,
    /// Ranks whose engines refuse connections, by their agents.
    pub(crate) lost_engines: FastSet<RankIndex>,
    /// When the gateways are told the ranks and the state of the group.
    pub(crate) members_schedule: MembersSchedule,
}

impl Leadership {
    /// Returns the state of an agent that starts to lead at `now`.
    pub fn new(leader: GroupLeader, claimed_era: StoreEra, now: Duration) -> Leadership {
        Leadership {
            claimed_era,
            rank_engines: FastMap::default(),
            reads_in_progress: Vec::new(),
            unread_engines: Vec::new(),
            foreign_engines: FastSet::default(),
            missing_base: None,
            plan_due: now,
            started_at: now,
            direct_read_at: now,
            leader,
            demand: None,
            layout: None,
            pass_model: None,
            base_map: None,
            gateways: Vec::new(),
            reported_slow: false,
            engines: Vec::new(),
            agents: FastMap::default(),
            lost_engines: FastSet::default(),
            members_schedule: MembersSchedule::default(),
        }
    }
}

impl Leadership {
    /// Replaces the known engines by those that the store lists, and keeps the engines whose
    /// agents report: their records may be missing after the store came back from a copy.
    pub(crate) fn update_engines(&mut self, listed: Vec<SocketAddr>) {
        let mut engines = std::mem::replace(&mut self.engines, listed);
        self.foreign_engines.clear();
        engines.retain(|engine| {
            let is_reported = self.agents.values().any(|agent| agent.ip() == engine.ip());
            is_reported && !self.engines.contains(engine)
        });
        self.engines.append(&mut engines);
    }

    /// Drops an engine that is not a rank of this group (any more): no order may reach it.
    /// Returns whether that is new.
    pub(crate) fn exclude_engine(&mut self, engine: SocketAddr) -> bool {
        self.rank_engines.retain(|_, known| *known != engine);
        self.agents.retain(|_, agent| agent.ip() != engine.ip());
        self.foreign_engines.insert(engine)
    }
}

/// Performs the leader's periodic work whenever this agent leads; runs as long as the
/// process.
pub async fn lead_group(agent: Rc<Agent>) {
    let mut next_beacon = Duration::ZERO;
    let mut next_update = Duration::ZERO;
    let mut next_members = Duration::ZERO;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let now = agent.now();
        if agent.state.borrow().leadership.is_none() {
            continue;
        }
        if now >= next_beacon {
            next_beacon = now + BEACON_INTERVAL;
            send_beacons(&agent).await;
        }
        if now >= next_update {
            next_update = now + GATEWAY_UPDATE_INTERVAL;
            send_gateway_updates(&agent).await;
        }
        if now >= next_members {
            next_members = now + MEMBERS_CHECK_INTERVAL;
            send_members(&agent, now).await;
        }
        resend_full_maps(&agent, now);
        let actions = {
            let mut state = agent.state.borrow_mut();
            let Some(leadership) = &mut state.leadership else {
                continue;
            };
            let mut actions = leadership.leader.tick(now);
            actions.extend(plan_switch(&agent, leadership, now));
            actions
        };
        execute_actions(&agent, actions).await;
        read_unreported_engines(&agent, now);
    }
}

/// Reads the engines of agents that have never reported to this leader.
fn read_unreported_engines(agent: &Rc<Agent>, now: Duration) {
    let unreported: Vec<SocketAddr> = {
        let mut state = agent.state.borrow_mut();
        let Some(leadership) = &mut state.leadership else {
            return;
        };
        let due = now >= leadership.started_at + FIRST_REPORT_TIMEOUT
            && now >= leadership.direct_read_at + DIRECT_READ_INTERVAL;
        if !due || leadership.leader.unreported_ranks() == 0 {
            return;
        }
        leadership.direct_read_at = now;
        let reported = |engine: &SocketAddr| {
            leadership.agents.values().any(|known| known.ip() == engine.ip())
                || engine.ip() == agent.settings.ip
                || leadership.foreign_engines.contains(engine)
        };
        leadership.engines.iter().copied().filter(|engine| !reported(engine)).collect()
    };
    for engine in unreported {
        tokio::task::spawn_local(read_engine_directly(Rc::clone(agent), engine));
    }
}

/// Plans the next map and begins to switch to it, if the group is ready and the switch is
/// worth its cost.
fn plan_switch(agent: &Agent, leadership: &mut Leadership, now: Duration) -> Vec<LeaderAction> {
    let (Some(layout), Some(demand)) = (leadership.layout, &leadership.demand) else {
        return Vec::new();
    };
    if now < leadership.plan_due || demand.recent_total() < MIN_PLAN_COUNTS {
        return Vec::new();
    }
    let Some(current) = leadership.leader.switchable_map(now) else {
        return Vec::new();
    };
    let Some(set_demands) = demand.set_demands() else {
        return Vec::new();
    };
    let slowdowns = leadership.leader.slowdowns();
    let all_healthy = slowdowns.iter().all(|slowdown| *slowdown < SLOW_ENGINE_FACTOR);
    let running_requests = leadership.leader.running_requests();
    let switch_unneeded = leadership.pass_model.as_ref().is_some_and(|(model, target)| {
        all_healthy
            && !is_switch_worthwhile(model, running_requests, &current, &set_demands, *target)
    });
    if switch_unneeded {
        leadership.plan_due = now + MIN_PLAN_DELAY;
        return Vec::new();
    }
    let plan = plan_map(&current, &set_demands, &slowdowns, layout, &agent.tuning.plan);
    let planned_at = agent.now();
    leadership.plan_due = planned_at + MIN_PLAN_DELAY.max((planned_at - now) * PLAN_DELAY_FACTOR);
    let Some(plan) = plan else {
        return Vec::new();
    };
    agent.journal.note(
        "map-planned",
        None,
        o!("skew_before" => plan.skew_before, "skew_after" => plan.skew_after,
           "copies" => plan.copies, "counts" => demand.recent_total() as u64,
           "planned_ms" => (planned_at - now).as_millis() as u64),
    );
    leadership.base_map = leadership.leader.map_version().map(|version| (version, current));
    let max_copies = agent.tuning.plan.max_copies_per_rank(layout);
    leadership.leader.begin_switch(now, plan.map, layout.copy_time * max_copies as u32)
}

/// Sends the gateways the slow engines, and one empty list once no engine is slow any more.
async fn send_gateway_updates(agent: &Rc<Agent>) {
    let slowdowns = {
        let state = agent.state.borrow();
        let leadership = state.leadership.as_ref();
        leadership.map(|leadership| leadership.leader.slowdowns()).unwrap_or_default()
    };
    let slow_engines: Vec<(SocketAddr, f64)> = slowdowns
        .into_iter()
        .enumerate()
        .filter(|(_, slowdown)| *slowdown >= SLOW_ENGINE_FACTOR)
        .filter_map(|(rank, slowdown)| Some((engine_of_rank(agent, rank)?, slowdown)))
        .collect();
    let gateways = {
        let mut state = agent.state.borrow_mut();
        let Some(leadership) = &mut state.leadership else {
            return;
        };
        let reported_before =
            std::mem::replace(&mut leadership.reported_slow, !slow_engines.is_empty());
        if slow_engines.is_empty() && !reported_before {
            return;
        }
        leadership.gateways.clone()
    };
    let service = agent.settings.local_service.clone().unwrap_or_default();
    let message = UpdateMessage::Group(GroupUpdate { service, slow_engines });
    let Ok(bytes) = postcard::to_stdvec(&message) else {
        agent.journal.warn("message-unencodable", o!());
        return;
    };
    for gateway in gateways {
        agent.metrics.count_control("group-news", "out", bytes.len());
        // Send errors are ignored: updates repeat, and gateways forget engines that they no
        // longer name.
        let _ = agent.socket.send_to(&bytes, gateway).await;
    }
}

/// Sends a beacon to the agent beside each engine of the service.
async fn send_beacons(agent: &Rc<Agent>) {
    let (targets, message) = {
        let state = agent.state.borrow();
        let (Some(leadership), Some(rank)) = (&state.leadership, &state.rank) else {
            return;
        };
        let message =
            AgentMessage::Beacon { group: rank.group.clone(), term: leadership.leader.term() };
        (leadership.engines.clone(), message)
    };
    for engine in targets {
        if engine.ip() != agent.settings.ip {
            agent.send(SocketAddr::new(engine.ip(), agent_port(&agent.settings)), &message).await;
        }
    }
}

/// Records the report of this VM's own rank, if this agent leads.
pub async fn record_report(agent: &Rc<Agent>, report: RankReport) {
    record_report_from(agent, report, None).await;
}

/// Records a rank's report, if this agent leads; `from` is the reporting agent's address,
/// `None` for this agent itself.
pub async fn record_report_from(agent: &Rc<Agent>, report: RankReport, from: Option<SocketAddr>) {
    let now = agent.now();
    let actions = {
        let mut state = agent.state.borrow_mut();
        let Some(leadership) = &mut state.leadership else {
            return;
        };
        if let Some(from) = from {
            leadership.rank_engines.remove(&report.status.rank);
            leadership.agents.insert(report.status.rank, from);
        }
        leadership.lost_engines.remove(&report.status.rank);
        if let Some(demand) = &mut leadership.demand {
            demand.add_counts(now, &unpack_counts(&report.counts));
        }
        let term = leadership.leader.term();
        let last_order = report.last_order.filter(|(known, _)| *known == term).map(|(_, id)| id);
        leadership.leader.handle_status(now, report.status, report.placed, last_order)
    };
    execute_actions(agent, actions).await;
}

/// Records the outcome of an order, if this agent leads and gave it in its current term.
pub async fn record_outcome(
    agent: &Rc<Agent>,
    term: LeaderTerm,
    id: OrderId,
    outcome: OrderOutcome,
) {
    let now = agent.now();
    let actions = {
        let mut state = agent.state.borrow_mut();
        let Some(leadership) = &mut state.leadership else {
            return;
        };
        if leadership.leader.term() != term {
            return;
        }
        leadership.leader.handle_outcome(now, id, outcome)
    };
    execute_actions(agent, actions).await;
}

/// Records that the agent of a rank has answered a presence check.
pub async fn record_presence(agent: &Rc<Agent>, term: LeaderTerm, id: OrderId, rank: RankIndex) {
    let now = agent.now();
    let actions = {
        let mut state = agent.state.borrow_mut();
        let Some(leadership) = &mut state.leadership else {
            return;
        };
        if leadership.leader.term() != term {
            return;
        }
        leadership.leader.handle_presence(now, rank, id)
    };
    execute_actions(agent, actions).await;
}

/// Sends a presence check to the agents of all other ranks.
async fn check_presence(agent: &Rc<Agent>, id: OrderId) {
    let (targets, message) = {
        let state = agent.state.borrow();
        let (Some(leadership), Some(own)) = (&state.leadership, &state.rank) else {
            return;
        };
        let other_agents = leadership.agents.iter().filter(|(rank, _)| **rank != own.rank);
        let targets: Vec<SocketAddr> = other_agents.map(|(_, address)| *address).collect();
        let (group, term) = (own.group.clone(), leadership.leader.term());
        (targets, AgentMessage::Check { group, term, id })
    };
    for target in targets {
        agent.send(target, &message).await;
    }
}

/// Executes actions of the leader. Orders to prepare a map are collected and sent together,
/// so that agents can relay the map.
pub(crate) async fn execute_actions(agent: &Rc<Agent>, actions: Vec<LeaderAction>) {
    let own_rank = agent.state.borrow().rank.as_ref().map(|own| own.rank);
    let mut map_order = None;
    let mut map_ids = Vec::new();
    for action in actions {
        match action {
            LeaderAction::Order { rank, id, order, direct: false, via: None }
                if Some(rank) != own_rank && matches!(order, RankOrder::Prepare { .. }) =>
            {
                map_ids.push((rank, id));
                map_order = Some(order);
            }
            LeaderAction::Order { rank, id, order, via: Some(via), .. } => {
                dispatch_via_agent(agent, rank, via, id, order).await;
            }
            LeaderAction::Order { rank, id, order, direct, via: None } => {
                dispatch_order(agent, rank, id, order, direct).await;
            }
            LeaderAction::Log { event, version, pass, detail } => agent.journal.note(
                event,
                None,
                o!("version" => version, "pass" => pass, "detail" => detail),
            ),
            LeaderAction::ReadStatus { rank } => {
                if let Some(engine) = engine_of_rank(agent, rank) {
                    tokio::task::spawn_local(read_engine_directly(Rc::clone(agent), engine));
                }
            }
            LeaderAction::CheckPresence { id } => check_presence(agent, id).await,
            LeaderAction::StepDown => {
                step_down(agent, "a higher fence was seen");
                agent.state.borrow_mut().was_refused = true;
            }
        }
    }
    if let Some(order) = map_order {
        dispatch_map(agent, order, map_ids);
    }
}

/// Stops leading, if this agent leads; the log gives `reason`.
pub fn step_down(agent: &Agent, reason: &str) {
    let mut state = agent.state.borrow_mut();
    if let Some(leadership) = state.leadership.take() {
        let term = leadership.leader.term();
        agent.journal.note(
            "leadership-ended",
            None,
            o!("term" => term, "reason" => reason.to_string(),
               "switches" => leadership.leader.completed_switches()),
        );
    }
}
