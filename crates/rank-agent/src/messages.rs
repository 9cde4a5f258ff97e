//! Messages between agents.
//!
//! Every message may be lost, duplicated or delayed: reports and beacons are repeated, and
//! an order is carried out once per id however often it arrives.

use std::net::SocketAddr;

use cuminpick::expert_counts::PackedCounts;
use cuminpick::experts::ExpertIndex;
use cuminpick::experts::MapChange;
use cuminpick::experts::MapVersion;
use cuminpick::experts::RankIndex;
use cuminpick::ids::GroupName;
use cuminpick::orders::LeaderTerm;
use cuminpick::orders::OrderId;
use cuminpick::orders::OrderMark;
use cuminpick::orders::OrderOutcome;
use cuminpick::orders::RankOrder;
use cuminpick::orders::RankStatus;
use serde::Deserialize;
use serde::Serialize;

/// State of a rank as its agent reports it to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// Status that the engine reported.
    pub status: RankStatus,
    /// Experts that the rank holds, by set; empty in reports that omit them.
    pub placed: Vec<Vec<ExpertIndex>>,
    /// How often each expert was chosen since the last counts, set after set.
    pub counts: PackedCounts,
    /// Last order that was carried out before the engine was read, with its leader's term.
    #[serde(rename = "after")]
    pub last_order: Option<(LeaderTerm, OrderId)>,
}

/// An order as it is sent; a map is sent as changes to the map in use where possible.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SentOrder {
    /// The complete order, with its full map if it has one.
    #[serde(rename = "Whole")]
    Full(RankOrder),
    /// Prepare the map that results from changes to a base map.
    PrepareChanges {
        /// Fencing token and formation of the order.
        mark: OrderMark,
        /// Version of the new map.
        version: MapVersion,
        /// Version of the base map; 0 for the first map of a formation.
        base: MapVersion,
        /// Number of sets, and of experts per set; determines the first map of a formation.
        shape: (u16, u16),
        /// Changes from the base map to the new one.
        changes: Vec<MapChange>,
    },
}

/// An order of the leader that another agent relays.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedOrder {
    /// Term of the leader.
    pub term: LeaderTerm,
    /// Address of the leader, which waits for the outcome.
    pub leader: SocketAddr,
    /// Order for the engine beside the agent that receives it.
    pub order: SentOrder,
}

/// A message between two agents. New variants are only added at the end: during a rolling
/// update, agents of two versions exchange messages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// The sender leads the group.
    Beacon {
        /// Name of the group.
        group: GroupName,
        /// Term of the leader.
        term: LeaderTerm,
    },
    /// Report of the sender's rank to the leader.
    #[serde(rename = "News")]
    Report {
        /// Name of the group.
        group: GroupName,
        /// State of the sender's rank.
        news: RankReport,
    },
    /// An order for the receiver's engine.
    Order {
        /// Name of the group.
        group: GroupName,
        /// Term of the leader.
        term: LeaderTerm,
        /// Identity of the order within the term.
        id: OrderId,
        /// Order to carry out; its map may be sent as changes.
        order: SentOrder,
        /// Engine that the order is for; `None` for the receiver's own.
        engine: Option<SocketAddr>,
    },
    /// The leader asks whether the receiver is running.
    Check {
        /// Name of the group.
        group: GroupName,
        /// Term of the leader.
        term: LeaderTerm,
        /// Identity of the check within the term.
        id: OrderId,
    },
    /// The sender is running; the answer to a check.
    Present {
        /// Name of the group.
        group: GroupName,
        /// Term of the leader that asked.
        term: LeaderTerm,
        /// Identity of the check within the term.
        id: OrderId,
        /// Rank of the sender's engine.
        rank: RankIndex,
    },
    /// The sender does not know the base map of an order.
    MapUnknown {
        /// Name of the group.
        group: GroupName,
        /// Term of the leader that gave the order.
        term: LeaderTerm,
        /// Identity of the order within the term.
        id: OrderId,
    },
    /// Outcome of an order.
    Outcome {
        /// Name of the group.
        group: GroupName,
        /// Term of the leader that gave the order.
        term: LeaderTerm,
        /// Identity of the order within the term.
        id: OrderId,
        /// Whether the order was carried out.
        outcome: OrderOutcome,
    },
    /// An order for the receiver's engine and for those of other agents, to which the
    /// receiver relays it. Maps are large, and the leader's link is no faster than the
    /// others'.
    #[serde(rename = "PassOn")]
    Relay {
        /// Name of the group.
        group: GroupName,
        /// Order to carry out and to relay, with its leader.
        order: RelayedOrder,
        /// Agents and the id of the order for each; the first is the receiver.
        agents: Vec<(SocketAddr, OrderId)>,
    },
    /// A relayed order for the receiver's engine.
    #[serde(rename = "Passed")]
    Relayed {
        /// Name of the group.
        group: GroupName,
        /// Order to carry out, with the leader that waits for the outcome.
        order: RelayedOrder,
        /// Identity of the order within the term.
        id: OrderId,
    },
    /// The sender's engine refuses connections: its rank is lost.
    EngineLost {
        /// Name of the group.
        group: GroupName,
        /// Rank of the engine.
        rank: RankIndex,
    },
}

impl AgentMessage {
    /// Returns the name of the group that the message concerns.
    pub fn group(&self) -> &str {
        match self {
            AgentMessage::Beacon { group, .. }
            | AgentMessage::Report { group, .. }
            | AgentMessage::Order { group, .. }
            | AgentMessage::Check { group, .. }
            | AgentMessage::Present { group, .. }
            | AgentMessage::MapUnknown { group, .. }
            | AgentMessage::Outcome { group, .. }
            | AgentMessage::Relay { group, .. }
            | AgentMessage::Relayed { group, .. }
            | AgentMessage::EngineLost { group, .. } => group,
        }
    }

    /// Returns the label of the message in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            AgentMessage::Beacon { .. } => "beacon",
            AgentMessage::Report { .. } => "rank-news",
            AgentMessage::Order { .. } => "order",
            AgentMessage::Check { .. } => "check",
            AgentMessage::Present { .. } => "present",
            AgentMessage::MapUnknown { .. } => "map-unknown",
            AgentMessage::Outcome { .. } => "outcome",
            AgentMessage::Relay { .. } => "pass-on",
            AgentMessage::Relayed { .. } => "passed",
            AgentMessage::EngineLost { .. } => "engine-lost",
        }
    }
}
