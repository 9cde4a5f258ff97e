//! The entry daemon: accepts callers' requests and sends attempts to agents.
//!
//! The state machine ([`decide`]) is shared by these threads:
//!
//! - `tick` sends it timer ticks and updates the metrics of its state.
//! - `accept` accepts callers' connections, and the `traffic` threads relay requests and
//!   answers ([`serve`]).
//! - `control` exchanges gossip with other entries, receives agents' announcements and
//!   probes agents for their load ([`control`]).
//! - `platform` reads configuration and the list of VMs ([`watch`]).
//! - `admin` serves health, metrics and status to operators, and `journal` writes the log.

pub mod control;
pub mod daemon;
pub mod decide;
pub mod serve;
pub mod watch;
