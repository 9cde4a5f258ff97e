//! The agent daemon: the one gate in front of a backend server.
//!
//! Threads, one for each duty, around the decisions in [`decide`]:
//!
//! - `tick` lets the decisions see the backend server's pace;
//! - `serve` takes attempts from entries over tonic ([`serve`]);
//! - `worker` threads each read one answer of the backend server ([`worker`]);
//! - `control` announces the agent to a few entries ([`announce`]);
//! - `health` asks the backend server whether it lives ([`health`]);
//! - `admin` and `journal` serve operators.

pub mod announce;
pub mod daemon;
pub mod decide;
pub mod health;
pub mod serve;
pub mod worker;
