//! Drills: a scenario over real processes, and the figures that it gives.

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

/// Options of a drill.
#[derive(Debug, Clone)]
pub struct DrillOptions {
    /// Seed of the load and the faults.
    pub seed: u64,
    /// Length of the measured part; the scenario's own without it.
    pub seconds: Option<f64>,
}

/// Runs the drill `name` and returns its figures.
pub fn run_drill(name: &str, options: &DrillOptions) -> eyre::Result<Value> {
    let scenario = Scenario::named(name)?;
    let seconds = options.seconds.unwrap_or(scenario.seconds);
    let length = Duration::from_secs_f64(seconds);
    let mut figures = match name {
        "path" => path::run(&scenario, options.seed, length)?,
        "capacity" => capacity::run(&scenario, length)?,
        other => service::run(&scenario, other, options.seed, length)?,
    };
    figures["drill"] = Value::from(name);
    figures["seed"] = Value::from(options.seed);
    figures["seconds"] = Value::from(seconds);
    let failed = scenario.failed_expectations(&figures);
    figures["met"] = Value::from(failed.is_empty());
    for fault in &failed {
        eprintln!("not met: {fault}");
    }
    figures["not_met"] = Value::from(failed);
    Ok(figures)
}

/// Tells the progress of a drill on standard error.
pub fn tell(text: &str) {
    eprintln!("drill: {text}");
}
