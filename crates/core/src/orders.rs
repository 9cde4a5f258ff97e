//! Orders that the leader of a group gives to its ranks, the status that ranks report, and
//! the actions that the leader requests from its process.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::experts::ExpertMap;
use crate::experts::MapVersion;
use crate::experts::RankIndex;

/// Number of a group's formation; a new formation starts after a rank was lost.
pub type GroupEpoch = u64;
/// Number of a pass within an epoch.
pub type PassNumber = u64;
/// Fencing token of an order; a rank rejects tokens lower than the highest it has seen.
pub type FenceNumber = u64;
/// Term of a leader; increases with each change of leadership.
pub type LeaderTerm = u64;
/// Identity of an order within a leader's term.
pub type OrderId = u64;

/// State of a rank as its engine reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RankStatus {
    /// Index of the rank.
    pub rank: RankIndex,
    /// Formation that the rank belongs to.
    pub epoch: GroupEpoch,
    /// Whether the engine reports the group as open, that is, able to run passes.
    pub open: bool,
    /// Last pass that began.
    pub pass: PassNumber,
    /// Version of the map in use.
    pub map: MapVersion,
    /// Version of the map whose experts are all copied.
    pub prepared: Option<MapVersion>,
    /// Version of the map that the rank is armed to switch to.
    pub armed: Option<MapVersion>,
    /// Pass that the rank holds.
    pub held: Option<PassNumber>,
    /// Number of orders that the rank has begun since its start.
    pub orders: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Time that the rank's work takes relative to a healthy engine; 2 is half the speed.
    #[serde(rename = "pace")]
    pub slowdown: f64,
}

/// Fencing token and epoch that every order carries; a rank checks both before it acts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderMark {
    /// Fencing token of the leader; a rank that has seen a higher one does nothing.
    pub fence: FenceNumber,
    /// Formation that the order applies to.
    pub epoch: GroupEpoch,
}

/// An order to a rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RankOrder {
    /// Copy the experts that the rank needs for a new map.
    Prepare {
        /// Fencing token and epoch.
        mark: OrderMark,
        /// Version of the new map.
        version: MapVersion,
        /// The map; the orders to all ranks share it.
        map: Arc<ExpertMap>,
    },
    /// Switch to a prepared map when a pass begins.
    Arm {
        /// Fencing token and epoch.
        mark: OrderMark,
        /// Version of the map.
        version: MapVersion,
        /// First pass that uses the map.
        pass: PassNumber,
    },
    /// Cancel an armed switch.
    Disarm {
        /// Fencing token and epoch.
        mark: OrderMark,
        /// Version of the map.
        version: MapVersion,
    },
    /// Do not begin a pass until it is released.
    Hold {
        /// Fencing token and epoch.
        mark: OrderMark,
        /// Pass to hold.
        pass: PassNumber,
    },
    /// Begin a held pass.
    Release {
        /// Fencing token and epoch.
        mark: OrderMark,
        /// Pass to release.
        pass: PassNumber,
    },
}

impl RankOrder {
    /// Returns the fencing token and epoch of the order.
    pub fn mark(&self) -> OrderMark {
        match self {
            RankOrder::Prepare { mark, .. }
            | RankOrder::Arm { mark, .. }
            | RankOrder::Disarm { mark, .. }
            | RankOrder::Hold { mark, .. }
            | RankOrder::Release { mark, .. } => *mark,
        }
    }

    /// Returns the name of the order in the log.
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

/// Result of an order to a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The order was begun, or its effect already holds.
    Done,
    /// The order does not fit the rank's state; nothing was done.
    Refused,
    /// The rank has seen a higher fence; nothing was done.
    Fenced,
    /// No answer arrived; the order may have been carried out or may be later.
    Unknown,
    /// The order never reached the rank.
    NotSent,
}

/// Action that the leader requests from its process.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderAction {
    /// Give an order to a rank.
    Order {
        /// Rank that the order is for.
        rank: RankIndex,
        /// Identity, under which the outcome is reported.
        id: OrderId,
        /// Order, with the mark that the rank checks.
        order: RankOrder,
        /// Whether to send the order to the engine directly because its agent is silent.
        direct: bool,
        /// Rank whose agent delivers the order, if it is not the agent of `rank`.
        via: Option<RankIndex>,
    },
    /// Read the status of a rank directly from its engine because its agent is silent.
    ReadStatus {
        /// Rank to read.
        rank: RankIndex,
    },
    /// Ask all other agents to confirm at once that they run.
    CheckPresence {
        /// Identity of the check, which the answers repeat.
        id: OrderId,
    },
    /// Log a step of the protocol.
    Log {
        /// Name of the event.
        event: &'static str,
        /// Map version that the step concerns; 0 for none.
        version: MapVersion,
        /// Pass that the step concerns; 0 for none.
        pass: PassNumber,
        /// Text for people; may be empty.
        detail: String,
    },
    /// Stop leading: a rank has seen a higher fence, so another leader took over.
    StepDown,
}
