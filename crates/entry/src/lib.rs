//! The entry daemon: callers' requests in, attempts at agents out.
//!
//! Threads, one for each duty, around the decisions in [`decide`]:
//!
//! - `tick` lets time pass for the decisions;
//! - `traffic` carries requests and answers ([`serve`]);
//! - `control` speaks with agents and other entries ([`control`]);
//! - `platform` reads configuration and VMs ([`watch`]);
//! - `admin` and `journal` serve operators.

pub mod control;
pub mod daemon;
pub mod decide;
pub mod serve;
pub mod watch;
