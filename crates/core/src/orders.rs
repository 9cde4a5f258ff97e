//! Orders to the ranks of a group, and what ranks and leaders say of them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::experts::ExpertMap;
use crate::experts::MapVersion;
use crate::experts::RankIndex;

/// Formation of a group; a new one starts when a rank was lost.
pub type GroupEpoch = u64;
/// Number of a pass within an epoch.
pub type PassNumber = u64;
/// Fencing token of an order; ranks refuse lower ones than they have seen.
pub type FenceNumber = u64;
/// Term of a leader; grows with each change of leadership.
pub type LeaderTerm = u64;
/// Identity of an order within a leader's term.
pub type OrderId = u64;

/// State of a rank as its engine reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RankStatus {
    /// Number of the rank.
    pub rank: RankIndex,
    /// Formation that it belongs to.
    pub epoch: GroupEpoch,
    /// Whether the group runs.
    pub open: bool,
    /// Last pass that was begun.
    pub pass: PassNumber,
    /// Map in use.
    pub map: MapVersion,
    /// Map whose experts are all copied.
    pub prepared: Option<MapVersion>,
    /// Map that it switches to.
    pub armed: Option<MapVersion>,
    /// Pass that it holds back.
    pub held: Option<PassNumber>,
    /// Orders that it has begun since its start.
    pub orders: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Time that its work takes, relative to a sound engine.
    #[serde(rename = "pace")]
    pub slowdown: f64,
}

/// Marks that every order carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderMark {
    /// Fencing token.
    pub fence: FenceNumber,
    /// Formation that the order is meant for.
    pub epoch: GroupEpoch,
}

/// An order to a rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RankOrder {
    /// Copy the experts that a map newly gives to the rank.
    Prepare {
        /// Marks.
        mark: OrderMark,
        /// Version of the map.
        version: MapVersion,
        /// The map; the orders to all ranks share it.
        map: Arc<ExpertMap>,
    },
    /// Use a prepared map from a pass on.
    Arm {
        /// Marks.
        mark: OrderMark,
        /// Version of the map.
        version: MapVersion,
        /// First pass with it.
        pass: PassNumber,
    },
    /// Do not switch after all.
    Disarm {
        /// Marks.
        mark: OrderMark,
        /// Version of the map.
        version: MapVersion,
    },
    /// Do not begin a pass until it is released.
    Hold {
        /// Marks.
        mark: OrderMark,
        /// The pass.
        pass: PassNumber,
    },
    /// Begin a pass that was held.
    Release {
        /// Marks.
        mark: OrderMark,
        /// The pass.
        pass: PassNumber,
    },
}

impl RankOrder {
    /// Marks of the order.
    pub fn mark(&self) -> OrderMark {
        match self {
            RankOrder::Prepare { mark, .. }
            | RankOrder::Arm { mark, .. }
            | RankOrder::Disarm { mark, .. }
            | RankOrder::Hold { mark, .. }
            | RankOrder::Release { mark, .. } => *mark,
        }
    }

    /// Name for the log.
    pub fn name(&self) -> &'static str {
        match self {
            RankOrder::Prepare { .. } => "prepare",
            RankOrder::Arm { .. } => "arm",
            RankOrder::Disarm { .. } => "disarm",
            RankOrder::Hold { .. } => "hold",
            RankOrder::Release { .. } => "release",
        }
    }
}

/// How a rank took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It holds or was begun.
    Done,
    /// It does not fit the rank's state; nothing was done.
    Refused,
    /// The rank has seen a higher fence; nothing was done.
    Fenced,
    /// No answer; it may have been done or may be done later.
    Unknown,
    /// It never reached the rank.
    NotSent,
}

/// What the leader asks to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderAction {
    /// Give an order to a rank.
    Order {
        /// The rank.
        rank: RankIndex,
        /// Identity, under which the outcome is reported.
        id: OrderId,
        /// The order.
        order: RankOrder,
        /// Whether to go to the engine itself, since the agent is silent.
        direct: bool,
        /// Rank whose agent gives the order, where it is not the rank's own.
        via: Option<RankIndex>,
    },
    /// Read the status of a rank from its engine, since the agent is silent.
    ReadStatus {
        /// The rank.
        rank: RankIndex,
    },
    /// Ask all other agents to answer at once.
    CheckPresence {
        /// Identity, under which they answer.
        id: OrderId,
    },
    /// Log a step of the protocol.
    Log {
        /// What happened.
        event: &'static str,
        /// Version of the map.
        version: MapVersion,
        /// Pass that it concerns.
        pass: PassNumber,
        /// Further detail.
        detail: String,
    },
    /// Another leader has a higher fence; stop leading.
    StepDown,
}
