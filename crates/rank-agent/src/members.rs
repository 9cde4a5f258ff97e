//! Tells the gateways which engines form the group, and whether it makes passes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::experts::RankIndex;
use cuminpick::updates::GroupMembers;
use cuminpick::updates::GroupState;
use cuminpick::updates::UpdateMessage;
use slog::o;

use crate::dispatch::engine_of_rank;
use crate::messages::AgentMessage;
use crate::state::Agent;

/// Tells the leader that this VM's engine refuses connections.
pub async fn report_lost_engine(agent: &Rc<Agent>) {
    let (group, rank, leader) = {
        let state = agent.state.borrow();
        let Some(own) = &state.rank else {
            return;
        };
        let leader = state.leader.filter(|_| state.leadership.is_none());
        (own.group.clone(), own.rank, leader)
    };
    match leader {
        Some(leader) => {
            agent.send(leader.address, &AgentMessage::EngineLost { group, rank }).await;
        }
        None => record_lost_engine(agent, rank),
    }
}

/// Records that the engine of a rank refuses connections, if this agent leads. The next report of
/// the rank shows that it runs again.
pub fn record_lost_engine(agent: &Agent, rank: RankIndex) {
    let mut state = agent.state.borrow_mut();
    if let Some(leadership) = &mut state.leadership
        && leadership.lost_engines.insert(rank)
    {
        agent.journal.warn("rank-lost", o!("rank" => rank));
    }
}

/// Sends the gateways the ranks and the state of the group, when this is due.
pub async fn send_members(agent: &Rc<Agent>, now: Duration) {
    let Some(members) = current_members(agent) else {
        return;
    };
    let gateways = {
        let mut state = agent.state.borrow_mut();
        let Some(leadership) = &mut state.leadership else {
            return;
        };
        let gateways = leadership.gateways.len();
        if gateways == 0 || !leadership.members_schedule.is_due(now, &members, gateways) {
            return;
        }
        leadership.gateways.clone()
    };
    let message = UpdateMessage::Members(members);
    let Ok(bytes) = postcard::to_stdvec(&message) else {
        agent.journal.warn("message-unencodable", o!());
        return;
    };
    for gateway in gateways {
        agent.metrics.count_control("group-members", "out", bytes.len());
        // Send errors are ignored: the message is repeated.
        let _ = agent.socket.send_to(&bytes, gateway).await;
    }
}

/// Returns the ranks and the state of the group; `None` while they are not known or this agent
/// does not lead.
fn current_members(agent: &Agent) -> Option<GroupMembers> {
    let (group, term, (epoch, group_state), size) = {
        let state = agent.state.borrow();
        let (own, leadership) = (state.rank.as_ref()?, state.leadership.as_ref()?);
        let has_lost_engine = !leadership.lost_engines.is_empty();
        let known = leadership.leader.group_state(has_lost_engine)?;
        (own.group.clone(), leadership.leader.term(), known, own.size)
    };
    let ranks: Vec<SocketAddr> = (0..size).filter_map(|rank| engine_of_rank(agent, rank)).collect();
    // A list that omits ranks would take them out of the group.
    if group_state == GroupState::Open && ranks.len() < size {
        return None;
    }
    let service = agent.settings.local_service.clone().unwrap_or_default();
    Some(GroupMembers { service, group, term, epoch, state: group_state, ranks })
}
