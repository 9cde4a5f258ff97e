//! The agent daemon, which admits requests to one backend server.
//!
//! All requests to the backend server pass through its agent. Its threads share
//! the state machine in [`decide`]:
//!
//! - `tick` feeds the observed latencies to the state machine;
//! - `serve` receives attempts from entries over gRPC ([`serve`]);
//! - `worker` threads each read one answer of the backend server ([`worker`]);
//! - `control` announces the agent to a few entries ([`announce`]);
//! - `health` checks the backend server's health ([`health`]);
//! - `admin` and `journal` serve status, metrics and logs to operators.

pub mod announce;
pub mod daemon;
pub mod decide;
pub mod health;
pub mod serve;
pub mod worker;
