//! What agents tell each other.
//!
//! Every message may be lost, doubled or late: statuses and beacons repeat, and
//! an order is carried out once for its id however often it comes.

use std::net::SocketAddr;

use cuminpick::expert_counts::PackedCounts;
use cuminpick::experts::ExpertIndex;
use cuminpick::experts::MapChange;
use cuminpick::experts::MapVersion;
use cuminpick::experts::RankIndex;
use cuminpick::orders::LeaderTerm;
use cuminpick::orders::OrderId;
use cuminpick::orders::OrderMark;
use cuminpick::orders::OrderOutcome;
use cuminpick::orders::RankOrder;
use cuminpick::orders::RankStatus;
use serde::Deserialize;
use serde::Serialize;

/// Name of a group of ranks.
pub type GroupName = String;

/// State of a rank as its agent reports it to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RankNews {
    /// What the engine reports.
    pub status: RankStatus,
    /// Experts that the rank holds, by set.
    pub placed: Vec<Vec<ExpertIndex>>,
    /// How often each expert was chosen since the last counts, set after set.
    pub counts: PackedCounts,
    /// Leader's term and last order that was carried out before the engine was read.
    pub after: Option<(LeaderTerm, OrderId)>,
}

/// An order as it is sent; maps go as what differs from the one in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SentOrder {
    /// As it is given.
    Whole(RankOrder),
    /// Prepare a map.
    PrepareChanges {
        /// Marks.
        mark: OrderMark,
        /// Version of the map.
        version: MapVersion,
        /// Version on which it is based.
        base: MapVersion,
        /// Sets and experts of the first map of a formation.
        shape: (u16, u16),
        /// What differs from the base.
        changes: Vec<MapChange>,
    },
}

/// An order of a leader to an agent that it reaches through another agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedOrder {
    /// Term of the leader.
    pub term: LeaderTerm,
    /// Address of the leader, which waits for the outcome.
    pub leader: SocketAddr,
    /// The order.
    pub order: SentOrder,
}

/// A message between two agents. Variants are only added at the end: during a rolling
/// update agents of two versions hear each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// The sender leads the group.
    Beacon {
        /// Group.
        group: GroupName,
        /// Term of the leader.
        term: LeaderTerm,
    },
    /// State of the sender's rank.
    News {
        /// Group.
        group: GroupName,
        /// The state.
        news: RankNews,
    },
    /// An order for the receiver's engine.
    Order {
        /// Group.
        group: GroupName,
        /// Term of the leader.
        term: LeaderTerm,
        /// Identity within the term.
        id: OrderId,
        /// The order.
        order: SentOrder,
        /// Engine that it is for, where that is not the receiver's own.
        engine: Option<SocketAddr>,
    },
    /// The leader asks whether the receiver runs.
    Check {
        /// Group.
        group: GroupName,
        /// Term of the leader.
        term: LeaderTerm,
        /// Identity within the term.
        id: OrderId,
    },
    /// The sender runs.
    Present {
        /// Group.
        group: GroupName,
        /// Term of the leader that asked.
        term: LeaderTerm,
        /// Identity within the term.
        id: OrderId,
        /// Rank of the sender's engine.
        rank: RankIndex,
    },
    /// The sender lacks the map on which an order is based.
    MapUnknown {
        /// Group.
        group: GroupName,
        /// Term of the leader that gave the order.
        term: LeaderTerm,
        /// Identity within the term.
        id: OrderId,
    },
    /// How an order was taken.
    Outcome {
        /// Group.
        group: GroupName,
        /// Term of the leader that gave the order.
        term: LeaderTerm,
        /// Identity within the term.
        id: OrderId,
        /// The outcome.
        outcome: OrderOutcome,
    },
    /// An order for the receiver's engine, and for those of other agents, to which the
    /// receiver passes it on. Maps are large, and the leader's link is as narrow as
    /// the others'.
    PassOn {
        /// Group.
        group: GroupName,
        /// The order.
        order: PassedOrder,
        /// Agents, and the order's identity at each; the receiver is the first.
        agents: Vec<(SocketAddr, OrderId)>,
    },
    /// An order for the receiver's engine that was passed on.
    Passed {
        /// Group.
        group: GroupName,
        /// The order.
        order: PassedOrder,
        /// Identity within the term.
        id: OrderId,
    },
}

impl AgentMessage {
    /// Group that the message concerns.
    pub fn group(&self) -> &str {
        match self {
            AgentMessage::Beacon { group, .. }
            | AgentMessage::News { group, .. }
            | AgentMessage::Order { group, .. }
            | AgentMessage::Check { group, .. }
            | AgentMessage::Present { group, .. }
            | AgentMessage::MapUnknown { group, .. }
            | AgentMessage::Outcome { group, .. }
            | AgentMessage::PassOn { group, .. }
            | AgentMessage::Passed { group, .. } => group,
        }
    }

    /// Name for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            AgentMessage::Beacon { .. } => "beacon",
            AgentMessage::News { .. } => "rank-news",
            AgentMessage::Order { .. } => "order",
            AgentMessage::Check { .. } => "check",
            AgentMessage::Present { .. } => "present",
            AgentMessage::MapUnknown { .. } => "map-unknown",
            AgentMessage::Outcome { .. } => "outcome",
            AgentMessage::PassOn { .. } => "pass-on",
            AgentMessage::Passed { .. } => "passed",
        }
    }
}
