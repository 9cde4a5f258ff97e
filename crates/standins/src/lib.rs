//! Stand-ins for the systems around cuminpick, and the runner of drills against them.
//!
//! - [`platform`]: the platform's store as a process, with rate limits and faults;
//! - [`engine`]: a model engine with continuous batching;
//! - [`booking`]: a plain service that records its runs in a ledger;
//! - [`load`]: a load generator that checks its answers;
//! - [`fleet`]: processes on loopback addresses;
//! - [`drills`]: scenarios against such a fleet, and their metrics;
//! - [`site`]: the users' platform, its engines and services, which speak its protocol.
//!
//! The stand-in processes accept faults by `POST /standin/fault`.

pub mod booking;
pub mod drills;
pub mod engine;
pub mod fleet;
pub mod load;
pub mod model;
pub mod platform;
pub mod server;
pub mod site;

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the Unix time in microseconds, comparable between processes of one machine.
pub fn unix_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_micros() as u64
}
