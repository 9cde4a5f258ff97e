//! Small stand-ins for the systems around cuminpick, and the drill runner.
//!
//! - [`platform`]: the platform's store as a process, with rates and faults;
//! - [`engine`]: a model engine with continuous batching;
//! - [`booking`]: a plain service that keeps a ledger of its runs;
//! - [`load`]: callers; [`fleet`]: processes on loopback; [`drills`]: scenarios.
//!
//! - [`site`]: the users' platform, its engines and services, by its protocol.
//!
//! Every stand-in of the first four takes its faults by `POST /standin/fault`.

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

/// Wall time in microseconds, comparable between processes of one machine.
pub fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}
