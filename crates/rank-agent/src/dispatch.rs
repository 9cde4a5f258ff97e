//! Sends the leader's orders to the ranks, and reads ranks whose agents are silent.
//!
//! An order reaches a rank through its agent, through the agent of another rank, or directly
//! at its engine. Maps are sent as changes to the map in use; in large groups some agents
//! relay them to others, so that the leader's link carries each map only a few times.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::experts::ExpertIndex;
use cuminpick::experts::RankIndex;
use cuminpick::experts::diff_maps;
use cuminpick::ids::GroupName;
use cuminpick::orders::LeaderTerm;
use cuminpick::orders::OrderId;
use cuminpick::orders::RankOrder;
use cuminpick_platform::engine::EngineClient;
use cuminpick_platform::engine::EngineError;
use cuminpick_platform::engine::GroupReport;
use slog::o;

use crate::daemon::agent_port;
use crate::daemon::follow_leader;
use crate::lead::execute_actions;
use crate::lead::record_outcome;
use crate::messages::AgentMessage;
use crate::messages::RelayedOrder;
use crate::messages::SentOrder;
use crate::observe::OrderRoute;
use crate::observe::execute_order;
use crate::observe::receive_order;
use crate::state::Agent;

/// Number of agents from which on some of them relay maps to the others.
const MIN_RELAYED_AGENTS: usize = 16;
/// Share of a VM's link that maps may use while they are sent.
const MAP_LINK_SHARE: f64 = 0.8;
/// Time for which agents that lack a base map are collected before the full map is sent;
/// their messages arrive within some milliseconds of each other.
const MISSING_BASE_DELAY: Duration = Duration::from_millis(30);

/// Sends an order to a rank: through its agent, or with `direct` straight to its engine.
pub(crate) async fn dispatch_order(
    agent: &Rc<Agent>,
    rank: RankIndex,
    id: OrderId,
    order: RankOrder,
    direct: bool,
) {
    let (term, group, own_rank, address) = {
        let state = agent.state.borrow();
        let (Some(leadership), Some(own_rank)) = (&state.leadership, &state.rank) else {
            return;
        };
        let address = leadership.agents.get(&rank).copied();
        (leadership.leader.term(), own_rank.group.clone(), own_rank.rank, address)
    };
    if rank == own_rank {
        let from = SocketAddr::new(agent.settings.ip, agent_port(&agent.settings));
        let route = OrderRoute { term, id, engine: agent.engine, from };
        tokio::task::spawn_local(execute_order(Rc::clone(agent), route, order));
        return;
    }
    if direct {
        if let Some(engine) = engine_of_rank(agent, rank) {
            tokio::task::spawn_local(order_engine_directly(
                Rc::clone(agent),
                engine,
                term,
                id,
                order,
            ));
        }
        return;
    }
    // Ranks that have not reported yet get the order when it is sent again.
    if let Some(address) = address {
        let order = encode_order(agent, order);
        let message = AgentMessage::Order { group, term, id, order, engine: None };
        agent.send(address, &message).await;
    }
}

/// Sends an order with a map to all ranks whose agents have reported, as changes to the map
/// in use.
pub(crate) fn dispatch_map(agent: &Rc<Agent>, order: RankOrder, ids: Vec<(RankIndex, OrderId)>) {
    let agents = {
        let state = agent.state.borrow();
        let Some(leadership) = &state.leadership else {
            return;
        };
        // Ranks that have not reported yet get the order when it is sent again.
        let known_agents =
            ids.iter().filter_map(|(rank, id)| Some((*leadership.agents.get(rank)?, *id)));
        known_agents.collect()
    };
    let order = encode_order(agent, order);
    distribute(agent, order, agents);
}

/// Sends an order to agents: few receive it from this agent, many through some of them, so
/// that the leader's link carries it only a few times.
fn distribute(agent: &Rc<Agent>, order: SentOrder, agents: Vec<(SocketAddr, OrderId)>) {
    let (term, group) = {
        let state = agent.state.borrow();
        let (Some(leadership), Some(own)) = (&state.leadership, &state.rank) else {
            return;
        };
        (leadership.leader.term(), own.group.clone())
    };
    let leader = SocketAddr::new(agent.settings.ip, agent_port(&agent.settings));
    let agents_per_message = match agents.len() {
        count if count < MIN_RELAYED_AGENTS => 1,
        count => (count as f64).sqrt().ceil() as usize,
    };
    let messages = agents.chunks(agents_per_message).map(|chunk| {
        let (first_agent, id) = chunk[0];
        let (group, order) = (group.clone(), order.clone());
        let message = match chunk.len() {
            1 => AgentMessage::Order { group, term, id, order, engine: None },
            _ => {
                let order = RelayedOrder { term, leader, order };
                AgentMessage::Relay { group, order, agents: chunk.to_vec() }
            }
        };
        (first_agent, message)
    });
    let messages = messages.collect();
    tokio::task::spawn_local(send_paced(Rc::clone(agent), messages));
}

/// Sends messages no faster than the link carries them, since it drops what exceeds its rate.
async fn send_paced(agent: Rc<Agent>, messages: Vec<(SocketAddr, AgentMessage)>) {
    let rate = agent.settings.link_bits_per_second * MAP_LINK_SHARE;
    for (address, message) in messages {
        let bytes = agent.send(address, &message).await;
        tokio::time::sleep(Duration::from_secs_f64((bytes * 8) as f64 / rate.max(1.0))).await;
    }
}

/// Relays an order to other agents and carries it out for the engine on this VM. The first
/// entry of `agents` is this agent itself.
pub(crate) fn relay_order(
    agent: &Rc<Agent>,
    group: GroupName,
    order: RelayedOrder,
    agents: Vec<(SocketAddr, OrderId)>,
) {
    let mut agents = agents.into_iter();
    let Some((_, own_id)) = agents.next() else {
        return;
    };
    let messages = agents.map(|(address, id)| {
        (address, AgentMessage::Relayed { group: group.clone(), order: order.clone(), id })
    });
    let messages = messages.collect();
    tokio::task::spawn_local(send_paced(Rc::clone(agent), messages));
    receive_relayed_order(agent, order, own_id);
}

/// Carries out an order for the engine on this VM that another agent relayed, unless a later
/// leader is known.
pub(crate) fn receive_relayed_order(agent: &Rc<Agent>, relayed: RelayedOrder, id: OrderId) {
    let RelayedOrder { term, leader, order } = relayed;
    if follow_leader(agent, leader, term) {
        let route = OrderRoute { term, id, engine: agent.engine, from: leader };
        tokio::task::spawn_local(receive_order(Rc::clone(agent), route, order));
    }
}

/// Sends an order for the engine of `rank` to the agent of the rank `via`.
pub(crate) async fn dispatch_via_agent(
    agent: &Rc<Agent>,
    rank: RankIndex,
    via: RankIndex,
    id: OrderId,
    order: RankOrder,
) {
    let engine = engine_of_rank(agent, rank);
    let message = {
        let state = agent.state.borrow();
        let (Some(leadership), Some(own)) = (&state.leadership, &state.rank) else {
            return;
        };
        let (term, group) = (leadership.leader.term(), own.group.clone());
        let order = SentOrder::Full(order);
        let message = AgentMessage::Order { group, term, id, order, engine };
        leadership.agents.get(&via).copied().zip(Some(message))
    };
    if let (Some((address, message)), Some(_)) = (message, engine) {
        agent.send(address, &message).await;
    }
}

/// Returns the order as it is sent: a map as changes to the base map, if there is one.
fn encode_order(agent: &Agent, order: RankOrder) -> SentOrder {
    let state = agent.state.borrow();
    let leadership = state.leadership.as_ref();
    let base = leadership.and_then(|leadership| leadership.base_map.as_ref());
    let layout = leadership.and_then(|leadership| leadership.layout);
    match (order, base, layout) {
        (RankOrder::Prepare { mark, version, map }, Some((base, base_map)), Some(layout)) => {
            SentOrder::PrepareChanges {
                mark,
                version,
                base: *base,
                shape: (layout.sets as u16, layout.experts as u16),
                changes: diff_maps(base_map, &map),
            }
        }
        (order, _, _) => SentOrder::Full(order),
    }
}

/// Records that an agent lacks the base map of an order. After a restart many agents report
/// this at about the same time and are sent the full map together.
pub fn record_missing_base(agent: &Agent, from: SocketAddr, term: LeaderTerm, id: OrderId) {
    let now = agent.now();
    let mut state = agent.state.borrow_mut();
    let Some(leadership) = &mut state.leadership else {
        return;
    };
    if leadership.leader.term() == term {
        let (_, agents) = leadership.missing_base.get_or_insert_with(|| (now, Vec::new()));
        if !agents.contains(&(from, id)) {
            agents.push((from, id));
        }
    }
}

/// Sends an order again with its full map to the agents that lack the base map.
pub(crate) fn resend_full_maps(agent: &Rc<Agent>, now: Duration) {
    let (order, agents) = {
        let mut state = agent.state.borrow_mut();
        let Some(leadership) = &mut state.leadership else {
            return;
        };
        let due = leadership.missing_base.take_if(|(since, _)| now >= *since + MISSING_BASE_DELAY);
        let Some((_, mut agents)) = due else {
            return;
        };
        let pending = |id: OrderId| leadership.leader.pending_order(id).map(|(_, order)| order);
        let Some(order) = agents.iter().rev().find_map(|(_, id)| pending(*id)) else {
            return;
        };
        // Leaves out agents that lack the base of a map whose switch was aborted since.
        agents.retain(|(_, id)| pending(*id).is_some_and(|asked| asked.mark() == order.mark()));
        (order.clone(), agents)
    };
    distribute(agent, SentOrder::Full(order), agents);
}

/// Sends an order directly to the engine of a rank whose agent is silent.
async fn order_engine_directly(
    agent: Rc<Agent>,
    engine: SocketAddr,
    term: LeaderTerm,
    id: OrderId,
    order: RankOrder,
) {
    let outcome = EngineClient::new(engine).send_order(&order).await;
    agent.journal.note(
        "order-given-directly",
        None,
        o!("order" => order.name(), "engine" => engine.to_string(),
           "outcome" => format!("{outcome:?}")),
    );
    record_outcome(&agent, term, id, outcome).await;
}

/// Returns the engine on the same VM as an agent.
fn engine_of_agent(agent: &Agent, agent_address: SocketAddr) -> Option<SocketAddr> {
    let state = agent.state.borrow();
    let leadership = state.leadership.as_ref()?;
    let mut engines = leadership.engines.iter().copied();
    engines.find(|engine| engine.ip() == agent_address.ip())
}

/// Returns the engine of a rank, if it is known.
pub(crate) fn engine_of_rank(agent: &Agent, rank: RankIndex) -> Option<SocketAddr> {
    let agent_address = {
        let state = agent.state.borrow();
        if state.rank.as_ref().is_some_and(|own| own.rank == rank) {
            return Some(agent.engine);
        }
        let leadership = state.leadership.as_ref()?;
        if let Some(engine) = leadership.rank_engines.get(&rank) {
            return Some(*engine);
        }
        leadership.agents.get(&rank).copied()?
    };
    engine_of_agent(agent, agent_address)
}

/// Reads the status of a rank whose agent is silent directly from its engine, and the experts
/// that it holds if they are not known. Does nothing while an earlier read of the engine is
/// in progress.
pub(crate) async fn read_engine_directly(agent: Rc<Agent>, engine: SocketAddr) {
    let started = agent.now();
    {
        let mut state = agent.state.borrow_mut();
        match &mut state.leadership {
            Some(known) if !known.reads_in_progress.contains(&engine) => {
                known.reads_in_progress.push(engine);
            }
            _ => return,
        }
    }
    let read = read_engine(&agent, engine).await;
    if let Some(leadership) = &mut agent.state.borrow_mut().leadership {
        leadership.reads_in_progress.retain(|reading| *reading != engine);
    }
    match read {
        Ok(Some((report, placed))) => {
            let actions = {
                let now = agent.now();
                let mut state = agent.state.borrow_mut();
                let Some(leadership) = &mut state.leadership else {
                    return;
                };
                leadership.unread_engines.retain(|unread| *unread != engine);
                leadership.rank_engines.insert(report.status.rank, engine);
                leadership.leader.handle_direct_status(now, started, report.status, placed)
            };
            execute_actions(&agent, actions).await;
        }
        Ok(None) => exclude_engine(&agent, engine),
        Err(error) => log_unread_engine(&agent, engine, &error),
    }
}

/// Excludes an engine that is not a rank of this leader's group, and logs that.
fn exclude_engine(agent: &Agent, engine: SocketAddr) {
    if let Some(leadership) = &mut agent.state.borrow_mut().leadership
        && leadership.exclude_engine(engine)
    {
        agent.journal.note("foreign-engine", None, o!("engine" => engine.to_string()));
    }
}

/// Logs the first of several failed direct reads of an engine in a row.
fn log_unread_engine(agent: &Agent, engine: SocketAddr, error: &EngineError) {
    if matches!(error, EngineError::Unreadable(_)) {
        agent.metrics.count_unreadable("engine");
    }
    if let Some(leadership) = &mut agent.state.borrow_mut().leadership {
        if leadership.unread_engines.contains(&engine) {
            return;
        }
        leadership.unread_engines.push(engine);
    }
    let detail = error.to_string();
    agent.journal.warn("engine-unread", o!("engine" => engine.to_string(), "error" => detail));
}

/// Reads an engine's report, and the experts of its rank if the leader does not know them and
/// they belong to the map of the report. Returns `None` if it is not a rank of the leader's
/// group: several groups of a service number their ranks and epochs alike.
async fn read_engine(
    agent: &Agent,
    engine: SocketAddr,
) -> Result<Option<(GroupReport, Vec<Vec<ExpertIndex>>)>, EngineError> {
    let mut client = EngineClient::new(engine);
    let Some(report) = client.report().await? else {
        return Ok(None);
    };
    let lacks_placement = {
        let state = agent.state.borrow();
        let is_member = state.rank.as_ref().is_some_and(|own| own.has_member(&report));
        if !is_member {
            return Ok(None);
        }
        let leadership = state.leadership.as_ref();
        leadership.is_some_and(|known| known.leader.lacks_placement(report.status.rank))
    };
    let mut placed = Vec::new();
    if lacks_placement {
        let (version, experts) = client.placed_experts().await?;
        if version == report.status.map {
            placed = experts;
        }
    }
    Ok(Some((report, placed)))
}
