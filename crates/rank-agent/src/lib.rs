//! Agent beside each rank of a group of model engines.
//!
//! It reads its engine's report and counts, and sends the engine the orders of the group's
//! leader; calls within a VM cost nothing. One agent leads a group: it plans expert maps
//! ([`cuminpick::experts`]) from the demand of all ranks ([`cuminpick::demand`]) and switches
//! the group to them ([`cuminpick::switch`]). No request passes through an agent.
//!
//! - [`daemon`] starts the tasks and handles messages.
//! - [`observe`] reads the engine and reports to the leader.
//! - [`messages`] defines the datagrams that agents exchange.
//! - [`lead`] executes the leader's decisions, [`dispatch`] sends its orders to the ranks and
//!   [`group`] reads the addresses of their engines; [`members`] tells the gateways which engines
//!   form the group, and whether it makes passes.
//! - [`elect`] claims the leadership in the platform's store when there is no leader.
//! - [`state`] holds what the tasks share.

pub mod daemon;
pub mod dispatch;
pub mod elect;
pub mod group;
pub mod lead;
pub mod members;
pub mod messages;
pub mod observe;
pub mod state;
