//! Carries out what the leader of a group decides.

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
use cuminpick::ids::FastMap;
use cuminpick::orders::LeaderAction;
use cuminpick::orders::LeaderTerm;
use cuminpick::orders::OrderId;
use cuminpick::orders::OrderOutcome;
use cuminpick::orders::RankOrder;
use cuminpick::routing::EngineModel;
use cuminpick::routing::ExpertLayout;
use cuminpick::switch::GroupLeader;
use cuminpick::updates::GroupUpdate;
use cuminpick::updates::UpdateMessage;
use slog::o;

use crate::daemon::agent_port;
use crate::messages::AgentMessage;
use crate::messages::RankNews;
use crate::pass::engine_of;
use crate::pass::look_directly;
use crate::pass::pass_map;
use crate::pass::pass_order;
use crate::pass::pass_order_via;
use crate::pass::send_whole;
use crate::state::Agent;

/// Interval of the leader's decisions.
const TICK: Duration = Duration::from_millis(10);
/// Interval of beacons to the other agents.
const BEACON_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a new leader reads the engines of agents that it has not heard.
const UNHEARD_TIME: Duration = Duration::from_millis(600);
/// Least pause between two plans.
const PLAN_PAUSE: Duration = Duration::from_millis(40);
/// Pause after a plan for each unit of time that it took: a leader spends at most a
/// third of its processor on plans, so that messages are not held up.
const PLAN_REST: u32 = 2;
/// Pause between two such readings.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which gateways are told of slow engines.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Pace from which on an engine is told of as slow.
const SLOW_PACE: f64 = 1.25;
/// Least counts on which a plan rests; a pass of one request makes some hundred.
const LEAST_COUNTS: f64 = 2_000.0;

/// What an agent holds while it leads.
pub struct Leadership {
    /// The decisions.
    pub leader: GroupLeader,
    pub(crate) demand: Option<DemandMeter>,
    pub(crate) layout: Option<ExpertLayout>,
    /// Cost model of the engines, and the longest pause that their callers accept.
    pub(crate) passes: Option<(EngineModel, Duration)>,
    /// Map in force when the last switch began, with its version.
    pub(crate) base: Option<(MapVersion, Arc<ExpertMap>)>,
    /// Addresses of the gateways.
    pub(crate) gateways: Vec<SocketAddr>,
    /// Whether the gateways were last told of slow engines.
    told_slow: bool,
    /// Engines of the service.
    pub(crate) engines: Vec<SocketAddr>,
    /// Last order that was given to an engine directly.
    pub(crate) direct: FastMap<SocketAddr, OrderId>,
    /// Engines of ranks whose agents were never heard.
    pub(crate) rank_engines: FastMap<RankIndex, SocketAddr>,
    /// Agents that lack the base of an order, and when the first of them said so.
    pub(crate) missing_base: Option<(Duration, Vec<(SocketAddr, OrderId)>)>,
    /// When the next plan may be made.
    plan_due: Duration,
    began: Duration,
    looked: Duration,
    /// Addresses of the ranks' agents, learnt from their news.
    pub(crate) agents: FastMap<RankIndex, SocketAddr>,
}

impl Leadership {
    /// Begins to lead.
    pub fn new(leader: GroupLeader, now: Duration) -> Leadership {
        Leadership {
            rank_engines: FastMap::default(),
            missing_base: None,
            plan_due: now,
            began: now,
            looked: now,
            leader,
            demand: None,
            layout: None,
            passes: None,
            base: None,
            gateways: Vec::new(),
            told_slow: false,
            engines: Vec::new(),
            direct: FastMap::default(),
            agents: FastMap::default(),
        }
    }
}

/// Leads for as long as the process runs and is the leader.
pub async fn lead_group(agent: Rc<Agent>) {
    let mut next_beacon = Duration::ZERO;
    let mut next_news = Duration::ZERO;
    loop {
        tokio::time::sleep(TICK).await;
        let now = agent.now();
        if agent.state.borrow().leadership.is_none() {
            continue;
        }
        if now >= next_beacon {
            next_beacon = now + BEACON_INTERVAL;
            send_beacons(&agent).await;
        }
        if now >= next_news {
            next_news = now + UPDATE_INTERVAL;
            tell_gateways(&agent).await;
        }
        send_whole(&agent, now);
        let actions = {
            let mut state = agent.state.borrow_mut();
            let Some(leadership) = &mut state.leadership else {
                continue;
            };
            let mut actions = leadership.leader.tick(now);
            actions.extend(plan(&agent, leadership, now));
            actions
        };
        carry_out(&agent, actions).await;
        look_at_unheard(&agent, now);
    }
}

/// Reads the engines of agents that this leader has never heard.
fn look_at_unheard(agent: &Rc<Agent>, now: Duration) {
    let unheard: Vec<SocketAddr> = {
        let mut state = agent.state.borrow_mut();
        let Some(leadership) = &mut state.leadership else {
            return;
        };
        let due = now >= leadership.began + UNHEARD_TIME && now >= leadership.looked + LOOK_PAUSE;
        if !due || leadership.leader.unreported_ranks() == 0 {
            return;
        }
        leadership.looked = now;
        let heard = |engine: &SocketAddr| {
            leadership.agents.values().any(|known| known.ip() == engine.ip())
                || engine.ip() == agent.settings.ip
        };
        leadership.engines.iter().copied().filter(|engine| !heard(engine)).collect()
    };
    for engine in unheard {
        tokio::task::spawn_local(look_directly(Rc::clone(agent), engine));
    }
}

/// Plans the next map if the group is ready for one.
fn plan(agent: &Agent, leadership: &mut Leadership, now: Duration) -> Vec<LeaderAction> {
    let (Some(layout), Some(demand)) = (leadership.layout, &leadership.demand) else {
        return Vec::new();
    };
    if now < leadership.plan_due || demand.recent_total() < LEAST_COUNTS {
        return Vec::new();
    }
    let Some(current) = leadership.leader.switchable_map(now) else {
        return Vec::new();
    };
    let Some(sets) = demand.set_demands() else {
        return Vec::new();
    };
    let paces = leadership.leader.slowdowns();
    let sound = paces.iter().all(|pace| *pace < SLOW_PACE);
    let running = leadership.leader.running_requests();
    let unhurried = leadership.passes.as_ref().is_some_and(|(model, target)| {
        sound && !is_switch_worthwhile(model, running, &current, &sets, *target)
    });
    if unhurried {
        leadership.plan_due = now + PLAN_PAUSE;
        return Vec::new();
    }
    let plan = plan_map(&current, &sets, &paces, layout, &agent.tuning.plan);
    let planned = agent.now();
    leadership.plan_due = planned + PLAN_PAUSE.max((planned - now) * PLAN_REST);
    let Some(plan) = plan else {
        return Vec::new();
    };
    agent.journal.note(
        "map-planned",
        None,
        o!("skew_before" => plan.skew_before, "skew_after" => plan.skew_after,
           "copies" => plan.copies, "counts" => demand.recent_total() as u64,
           "planned_ms" => (planned - now).as_millis() as u64),
    );
    leadership.base = leadership.leader.map_version().map(|version| (version, current));
    let copies = agent.tuning.plan.max_copies_per_rank(layout);
    leadership.leader.begin_switch(now, plan.map, layout.copy_time * copies as u32)
}

/// Tells the gateways which engines are slow, and once that none is any more.
async fn tell_gateways(agent: &Rc<Agent>) {
    let paces = {
        let state = agent.state.borrow();
        let leadership = state.leadership.as_ref();
        leadership.map(|leadership| leadership.leader.slowdowns()).unwrap_or_default()
    };
    let slow_engines: Vec<(SocketAddr, f64)> = paces
        .into_iter()
        .enumerate()
        .filter(|(_, pace)| *pace >= SLOW_PACE)
        .filter_map(|(rank, pace)| Some((engine_of(agent, rank)?, pace)))
        .collect();
    let gateways = {
        let mut state = agent.state.borrow_mut();
        let Some(leadership) = &mut state.leadership else {
            return;
        };
        let told_before = std::mem::replace(&mut leadership.told_slow, !slow_engines.is_empty());
        if slow_engines.is_empty() && !told_before {
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
        // A datagram that cannot be sent is as good as lost; the next one follows.
        let _ = agent.socket.send_to(&bytes, gateway).await;
    }
}

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
            agent.tell(SocketAddr::new(engine.ip(), agent_port(&agent.settings)), &message).await;
        }
    }
}

/// Takes news of a rank in, if this agent leads.
pub async fn hear_news(agent: &Rc<Agent>, news: RankNews) {
    hear_news_from(agent, news, None).await;
}

/// Takes news of a rank in from the agent at an address.
pub async fn hear_news_from(agent: &Rc<Agent>, news: RankNews, from: Option<SocketAddr>) {
    let now = agent.now();
    let actions = {
        let mut state = agent.state.borrow_mut();
        let Some(leadership) = &mut state.leadership else {
            return;
        };
        if let Some(from) = from {
            leadership.rank_engines.remove(&news.status.rank);
            leadership.agents.insert(news.status.rank, from);
        }
        if let Some(demand) = &mut leadership.demand {
            demand.add_counts(now, &unpack_counts(&news.counts));
        }
        let term = leadership.leader.term();
        let after = news.after.filter(|(known, _)| *known == term).map(|(_, id)| id);
        leadership.leader.handle_status(now, news.status, news.placed, after)
    };
    carry_out(agent, actions).await;
}

/// Takes the outcome of an order in, if this agent gave it.
pub async fn hear_outcome(agent: &Rc<Agent>, term: LeaderTerm, id: OrderId, outcome: OrderOutcome) {
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
    carry_out(agent, actions).await;
}

/// Takes in that the agent of a rank has answered a check.
pub async fn hear_present(agent: &Rc<Agent>, term: LeaderTerm, id: OrderId, rank: RankIndex) {
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
    carry_out(agent, actions).await;
}

/// Asks the other agents to answer.
async fn check_presence(agent: &Rc<Agent>, id: OrderId) {
    let (targets, message) = {
        let state = agent.state.borrow();
        let (Some(leadership), Some(own)) = (&state.leadership, &state.rank) else {
            return;
        };
        let others = leadership.agents.iter().filter(|(rank, _)| **rank != own.rank);
        let targets: Vec<SocketAddr> = others.map(|(_, address)| *address).collect();
        let (group, term) = (own.group.clone(), leadership.leader.term());
        (targets, AgentMessage::Check { group, term, id })
    };
    for target in targets {
        agent.tell(target, &message).await;
    }
}

pub(crate) async fn carry_out(agent: &Rc<Agent>, actions: Vec<LeaderAction>) {
    let own = agent.state.borrow().rank.as_ref().map(|own| own.rank);
    let mut map_order = None;
    let mut map_ids = Vec::new();
    for action in actions {
        match action {
            LeaderAction::Order { rank, id, order, direct: false, via: None }
                if Some(rank) != own && matches!(order, RankOrder::Prepare { .. }) =>
            {
                map_ids.push((rank, id));
                map_order = Some(order);
            }
            LeaderAction::Order { rank, id, order, via: Some(via), .. } => {
                pass_order_via(agent, rank, via, id, order).await;
            }
            LeaderAction::Order { rank, id, order, direct, via: None } => {
                pass_order(agent, rank, id, order, direct).await;
            }
            LeaderAction::Log { event, version, pass, detail } => agent.journal.note(
                event,
                None,
                o!("version" => version, "pass" => pass, "detail" => detail),
            ),
            LeaderAction::ReadStatus { rank } => {
                if let Some(engine) = engine_of(agent, rank) {
                    tokio::task::spawn_local(look_directly(Rc::clone(agent), engine));
                }
            }
            LeaderAction::CheckPresence { id } => check_presence(agent, id).await,
            LeaderAction::StepDown => step_down(agent, "a higher fence was seen"),
        }
    }
    if let Some(order) = map_order {
        pass_map(agent, order, map_ids);
    }
}

/// Stops leading.
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
