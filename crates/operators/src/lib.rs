//! What daemons offer to operators: logs, metrics, health and status.
//!
//! [`journal`] writes JSON lines that `cuminpick timeline` merges; [`metrics`]
//! records metrics through opentelemetry; [`admin`] serves `/healthz`, `/readyz`,
//! `/metrics` and `/status`; [`metrics_server`] serves metrics alone; [`signals`]
//! waits for SIGTERM or SIGINT.

pub mod admin;
pub mod journal;
pub mod metrics;
pub mod metrics_server;
pub mod signals;
