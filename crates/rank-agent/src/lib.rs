//! Agent beside each rank of a group of model engines.
//!
//! It reads its engine's report and counts, and gives the engine the orders of
//! the group's leader; both are free from the same VM. One agent leads a group:
//! it plans expert maps ([`cuminpick::experts`]) from the demand of all ranks
//! ([`cuminpick::demand`]) and switches the group to them
//! ([`cuminpick::switch`]). No request passes through an agent.
//!
//! - [`daemon`] wires the parts together.
//! - [`observe`] reads the engine and reports to the leader.
//! - [`messages`] are what agents tell each other, in datagrams.
//! - [`lead`] carries the leader's decisions out, [`pass`] brings its orders to the
//!   ranks and [`group`] keeps up with their engines.
//! - [`elect`] claims leadership in the platform's store when there is no leader.

pub mod daemon;
pub mod elect;
pub mod group;
pub mod lead;
pub mod messages;
pub mod observe;
pub mod pass;
pub mod state;
