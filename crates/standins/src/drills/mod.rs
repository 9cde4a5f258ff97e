//! Drills: scenarios that run against real processes, and the metrics that they yield.
//!
//! [`run_drill`] loads a scenario by name, runs it, and compares its metrics with the
//! scenario's expectations.

pub mod balancer;
pub mod capacity;
pub mod evidence;
pub mod faults;
pub mod gateways;
pub mod path;
pub mod scenario;
pub mod service;
pub mod traffic;

use std::time::Duration;

use serde_json::Value;

use crate::drills::scenario::Scenario;

/// Options of a drill run.
#[derive(Debug, Clone)]
pub struct DrillOptions {
    /// Seed of the random load and faults.
    pub seed: u64,
    /// Length of the measured part, in seconds; `None` for the scenario's own.
    pub seconds: Option<f64>,
}

/// Runs the drill `name` and returns its metrics as a JSON object, with the expectations
/// that were not met under `not_met`.
pub fn run_drill(name: &str, options: &DrillOptions) -> eyre::Result<Value> {
    let scenario = Scenario::by_name(name)?;
    let seconds = options.seconds.unwrap_or(scenario.seconds);
    let length = Duration::from_secs_f64(seconds);
    let mut metrics = match name {
        "path" => path::run(&scenario, options.seed, length)?,
        "capacity" => capacity::run(&scenario, length)?,
        service_drill => service::run(&scenario, service_drill, options.seed, length)?,
    };
    metrics["drill"] = Value::from(name);
    metrics["seed"] = Value::from(options.seed);
    metrics["seconds"] = Value::from(seconds);
    let failed = scenario.failed_expectations(&metrics);
    metrics["met"] = Value::from(failed.is_empty());
    for expectation in &failed {
        eprintln!("not met: {expectation}");
    }
    metrics["not_met"] = Value::from(failed);
    Ok(metrics)
}

/// Prints a drill's progress to standard error.
pub fn print_progress(text: &str) {
    eprintln!("drill: {text}");
}
