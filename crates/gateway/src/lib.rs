//! Gateway: takes callers' requests and carries them straight to backend servers.
//!
//! The decisions lie in the core: routes in [`cuminpick::routing`], the choice
//! of a server in [`cuminpick::balance`], repeats in [`cuminpick::retry`] and
//! whole events in [`cuminpick::event_stream`]. This package carries them out, in one
//! thread, beside the thread that writes the log:
//!
//! - [`daemon`] wires the parts together and leaves on SIGTERM.
//! - [`store_watch`] follows configuration, servers and take-outs in the store.
//! - [`peers`] tells the other gateways what is in flight here.
//! - [`serve`] takes a request from its head to its answer, [`attempt`] sends it
//!   to a server, and [`relay`] carries a stream.
//! - [`crash_tracking`] notices servers that end under a request, and shares it.
//! - [`gate`] holds streams back that would make passes too slow.
//! - [`framing`] refuses requests whose body could be framed in two ways.
//! - [`answer`] makes the answers that the gateway gives by itself.

pub mod answer;
pub mod attempt;
pub mod crash_tracking;
pub mod daemon;
pub mod framing;
pub mod gate;
pub mod listen;
pub mod peers;
pub mod relay;
pub mod serve;
pub mod state;
pub mod store_watch;
