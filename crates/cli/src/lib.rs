//! The operators' command line.
//!
//! [`options`] reads it; [`config_commands`] changes what operators state, through the
//! platform's object API; [`status`] asks the processes; [`file_commands`] works on
//! files. Every command gives a [`report::CommandReport`], printed for people
//! or as JSON, or a [`report::CommandError`] with its exit status.

pub mod config_commands;
pub mod file_commands;
pub mod options;
pub mod report;
pub mod status;
