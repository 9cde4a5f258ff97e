//! Passes the leader's orders to the ranks, and reads ranks whose agents are silent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::experts::RankIndex;
use cuminpick::experts::diff_maps;
use cuminpick::orders::LeaderTerm;
use cuminpick::orders::OrderId;
use cuminpick::orders::RankOrder;
use cuminpick_platform::engine::EngineClient;
use slog::o;

use crate::daemon::agent_port;
use crate::daemon::follow_leader;
use crate::lead::carry_out;
use crate::lead::hear_outcome;
use crate::messages::AgentMessage;
use crate::messages::GroupName;
use crate::messages::PassedOrder;
use crate::messages::SentOrder;
use crate::observe::GivenOrder;
use crate::observe::take_order;
use crate::observe::take_sent_order;
use crate::state::Agent;

/// Agents from which on maps are passed on by some of them.
const LEAST_PASSED_ON: usize = 16;
/// Part of a VM's link that maps may take while they are sent.
const MAP_LINK_SHARE: f64 = 0.8;
/// Time for which agents that lack a map are gathered; their messages come within some
/// milliseconds of each other.
const MISSING_BASE_WAIT: Duration = Duration::from_millis(30);

/// Passes an order to a rank, by its agent or straight to its engine.
pub(crate) async fn pass_order(
    agent: &Rc<Agent>,
    rank: RankIndex,
    id: OrderId,
    order: RankOrder,
    direct: bool,
) {
    let (term, group, own, address) = {
        let state = agent.state.borrow();
        let (Some(leadership), Some(own)) = (&state.leadership, &state.rank) else {
            return;
        };
        let address = leadership.agents.get(&rank).copied();
        (leadership.leader.term(), own.group.clone(), own.rank, address)
    };
    if rank == own {
        let from = SocketAddr::new(agent.settings.ip, agent_port(&agent.settings));
        let giving = GivenOrder { term, id, engine: agent.engine, from };
        tokio::task::spawn_local(take_order(Rc::clone(agent), giving, order));
        return;
    }
    if direct {
        if let Some(engine) = engine_of(agent, rank) {
            tokio::task::spawn_local(order_directly(Rc::clone(agent), engine, term, id, order));
        }
        return;
    }
    // A rank that was never heard gets its order when it is sent again.
    if let Some(address) = address {
        let order = shortened(agent, order);
        let message = AgentMessage::Order { group, term, id, order, engine: None };
        agent.tell(address, &message).await;
    }
}

/// Passes a map to all ranks whose agents are heard, as what differs from the one in
/// force.
pub(crate) fn pass_map(agent: &Rc<Agent>, order: RankOrder, ids: Vec<(RankIndex, OrderId)>) {
    let agents = {
        let state = agent.state.borrow();
        let Some(leadership) = &state.leadership else {
            return;
        };
        // A rank that was never heard gets its order when it is sent again.
        let heard = ids.iter().filter_map(|(rank, id)| Some((*leadership.agents.get(rank)?, *id)));
        heard.collect()
    };
    let order = shortened(agent, order);
    distribute(agent, order, agents);
}

/// Sends an order to agents: to few by itself, to many by some of them, so that the
/// leader's link carries it a few times only.
fn distribute(agent: &Rc<Agent>, order: SentOrder, agents: Vec<(SocketAddr, OrderId)>) {
    let (term, group) = {
        let state = agent.state.borrow();
        let (Some(leadership), Some(own)) = (&state.leadership, &state.rank) else {
            return;
        };
        (leadership.leader.term(), own.group.clone())
    };
    let leader = SocketAddr::new(agent.settings.ip, agent_port(&agent.settings));
    let share = match agents.len() {
        count if count < LEAST_PASSED_ON => 1,
        count => (count as f64).sqrt().ceil() as usize,
    };
    let messages = agents.chunks(share).map(|part| {
        let (first, id) = part[0];
        let (group, order) = (group.clone(), order.clone());
        let message = match part.len() {
            1 => AgentMessage::Order { group, term, id, order, engine: None },
            _ => {
                let order = PassedOrder { term, leader, order };
                AgentMessage::PassOn { group, order, agents: part.to_vec() }
            }
        };
        (first, message)
    });
    let messages = messages.collect();
    tokio::task::spawn_local(send_paced(Rc::clone(agent), messages));
}

/// Sends messages no faster than the link carries them; what it cannot take is lost.
async fn send_paced(agent: Rc<Agent>, messages: Vec<(SocketAddr, AgentMessage)>) {
    let rate = agent.settings.link_bits_per_second * MAP_LINK_SHARE;
    for (address, message) in messages {
        let bytes = agent.tell(address, &message).await;
        tokio::time::sleep(Duration::from_secs_f64((bytes * 8) as f64 / rate.max(1.0))).await;
    }
}

/// Passes an order on to other agents, and takes it for the own engine.
pub(crate) fn pass_on(
    agent: &Rc<Agent>,
    group: GroupName,
    order: PassedOrder,
    agents: Vec<(SocketAddr, OrderId)>,
) {
    let mut agents = agents.into_iter();
    let Some((_, own)) = agents.next() else {
        return;
    };
    let messages = agents.map(|(address, id)| {
        (address, AgentMessage::Passed { group: group.clone(), order: order.clone(), id })
    });
    let messages = messages.collect();
    tokio::task::spawn_local(send_paced(Rc::clone(agent), messages));
    take_passed_order(agent, order, own);
}

/// Takes an order for the own engine that came through another agent.
pub(crate) fn take_passed_order(agent: &Rc<Agent>, passed: PassedOrder, id: OrderId) {
    let PassedOrder { term, leader, order } = passed;
    if follow_leader(agent, leader, term) {
        let giving = GivenOrder { term, id, engine: agent.engine, from: leader };
        tokio::task::spawn_local(take_sent_order(Rc::clone(agent), giving, order));
    }
}

/// Passes an order for one rank's engine to the agent of another rank.
pub(crate) async fn pass_order_via(
    agent: &Rc<Agent>,
    rank: RankIndex,
    via: RankIndex,
    id: OrderId,
    order: RankOrder,
) {
    let engine = engine_of(agent, rank);
    let message = {
        let state = agent.state.borrow();
        let (Some(leadership), Some(own)) = (&state.leadership, &state.rank) else {
            return;
        };
        let (term, group) = (leadership.leader.term(), own.group.clone());
        let order = SentOrder::Whole(order);
        let message = AgentMessage::Order { group, term, id, order, engine };
        leadership.agents.get(&via).copied().zip(Some(message))
    };
    if let (Some((address, message)), Some(_)) = (message, engine) {
        agent.tell(address, &message).await;
    }
}

/// Returns an order with its map as what differs from the one in force.
fn shortened(agent: &Agent, order: RankOrder) -> SentOrder {
    let state = agent.state.borrow();
    let leadership = state.leadership.as_ref();
    let base = leadership.and_then(|leadership| leadership.base.as_ref());
    let layout = leadership.and_then(|leadership| leadership.layout);
    match (order, base, layout) {
        (RankOrder::Prepare { mark, version, map }, Some((base, before)), Some(layout)) => {
            SentOrder::PrepareChanges {
                mark,
                version,
                base: *base,
                shape: (layout.sets as u16, layout.experts as u16),
                changes: diff_maps(before, &map),
            }
        }
        (order, _, _) => SentOrder::Whole(order),
    }
}

/// Notes that an agent lacks the base of an order. After a restart of many they say so
/// together and get the whole map together.
pub fn note_missing_base(agent: &Agent, from: SocketAddr, term: LeaderTerm, id: OrderId) {
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

/// Sends an order again with its whole map to agents that lack the base.
pub(crate) fn send_whole(agent: &Rc<Agent>, now: Duration) {
    let (order, agents) = {
        let mut state = agent.state.borrow_mut();
        let Some(leadership) = &mut state.leadership else {
            return;
        };
        let due = leadership.missing_base.take_if(|(since, _)| now >= *since + MISSING_BASE_WAIT);
        let Some((_, mut agents)) = due else {
            return;
        };
        let pending = |id: OrderId| leadership.leader.pending_order(id).map(|(_, order)| order);
        let Some(order) = agents.iter().rev().find_map(|(_, id)| pending(*id)) else {
            return;
        };
        // Some may have asked for a map that was given up since.
        agents.retain(|(_, id)| pending(*id).is_some_and(|asked| asked.mark() == order.mark()));
        (order.clone(), agents)
    };
    distribute(agent, SentOrder::Whole(order), agents);
}

/// Gives an order to the engine of a rank whose agent is silent.
async fn order_directly(
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
    if let Some(leadership) = &mut agent.state.borrow_mut().leadership {
        leadership.direct.insert(engine, id);
    }
    hear_outcome(&agent, term, id, outcome).await;
}

/// Returns the engine on the VM of an agent.
fn engine_beside(agent: &Agent, agent_address: SocketAddr) -> Option<SocketAddr> {
    let state = agent.state.borrow();
    let leadership = state.leadership.as_ref()?;
    let mut engines = leadership.engines.iter().copied();
    engines.find(|engine| engine.ip() == agent_address.ip())
}

/// Returns the engine of a rank.
pub(crate) fn engine_of(agent: &Agent, rank: RankIndex) -> Option<SocketAddr> {
    let beside = {
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
    engine_beside(agent, beside)
}

/// Reads the status of a rank whose agent is silent from its engine.
pub(crate) async fn look_directly(agent: Rc<Agent>, engine: SocketAddr) {
    let after = {
        let state = agent.state.borrow();
        state.leadership.as_ref().and_then(|leadership| leadership.direct.get(&engine).copied())
    };
    let mut client = EngineClient::new(engine);
    match client.report().await {
        Ok(Some(report)) => {
            let actions = {
                let now = agent.now();
                let mut state = agent.state.borrow_mut();
                let Some(leadership) = &mut state.leadership else {
                    return;
                };
                leadership.rank_engines.insert(report.status.rank, engine);
                leadership.leader.handle_direct_status(now, report.status, after)
            };
            carry_out(&agent, actions).await;
        }
        Ok(None) => {}
        Err(error) => {
            let detail = error.to_string();
            let engine = engine.to_string();
            agent.journal.warn("engine-unread", o!("engine" => engine, "error" => detail));
        }
    }
}
