//! Operators as a peer: logs, metrics, health and the stop signal.
//!
//! [`journal`] writes JSON lines that `cuminpick timeline` merges; [`metrics`]
//! counts through opentelemetry; [`admin`] serves `/healthz`, `/readyz`,
//! `/metrics` and `/status`; [`page`]
//! serves metrics alone; [`signals`] turns SIGTERM into a drain.

pub mod admin;
pub mod journal;
pub mod metrics;
pub mod page;
pub mod signals;
