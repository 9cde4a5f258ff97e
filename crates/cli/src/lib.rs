//! The operators' command line.
//!
//! [`options`] reads it; [`stated`] changes what operators state, through the
//! platform's object API; [`status`] asks the processes; [`files`] works on
//! files. Every command gives a [`report::CommandReport`], printed for people
//! or as JSON, or a [`report::CommandError`] with its exit status.

pub mod files;
pub mod options;
pub mod report;
pub mod stated;
pub mod status;
