//! Command line for operators.
//!
//! [`options`] parses the arguments. [`config_commands`] reads and writes the
//! configuration through the platform's object API, [`status`] queries the running
//! processes, and [`file_commands`] works on logs, traces and settings files. Each
//! command returns a [`report::CommandReport`], printed as text or as JSON, or a
//! [`report::CommandError`], which determines the exit status.

pub mod config_commands;
pub mod file_commands;
pub mod options;
pub mod report;
pub mod status;
