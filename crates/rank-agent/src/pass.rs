//! Passes the leader's orders to the ranks, and reads ranks whose agents are silent.

use std::net::SocketAddr;
use std::rc::Rc;

use cuminpick::experts::RankIndex;
use cuminpick::experts::map_changes;
use cuminpick::orders::LeaderTerm;
use cuminpick::orders::OrderId;
use cuminpick::orders::RankOrder;
use cuminpick_platform::engine::EngineClient;
use slog::o;

use crate::daemon::agent_port;
use crate::lead::carry_out;
use crate::lead::hear_outcome;
use crate::messages::AgentMessage;
use crate::messages::SentOrder;
use crate::observe::GivenOrder;
use crate::observe::take_order;
use crate::state::Agent;

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
                changes: map_changes(before, &map),
            }
        }
        (order, _, _) => SentOrder::Whole(order),
    }
}

/// Sends an order again with its whole map to an agent that lacks the base.
pub async fn send_whole(agent: &Rc<Agent>, to: SocketAddr, term: LeaderTerm, id: OrderId) {
    let (order, group) = {
        let state = agent.state.borrow();
        let (Some(leadership), Some(rank)) = (&state.leadership, &state.rank) else {
            return;
        };
        if leadership.leader.term() != term {
            return;
        }
        let order = leadership.leader.pending_order(id).map(|(_, order)| order.clone());
        (order, rank.group.clone())
    };
    if let Some(order) = order {
        let order = SentOrder::Whole(order);
        let message = AgentMessage::Order { group, term, id, order, engine: None };
        agent.tell(to, &message).await;
    }
}

/// Gives an order to the engine of a rank whose agent is silent.
async fn order_directly(
    agent: Rc<Agent>,
    engine: SocketAddr,
    term: LeaderTerm,
    id: OrderId,
    order: RankOrder,
) {
    let outcome = EngineClient::new(engine).order(&order).await;
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
                leadership.leader.hear_look(now, report.status, after)
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
