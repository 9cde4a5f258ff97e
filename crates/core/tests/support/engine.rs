//! Cost model of the engines in the tests of admission and relocation.

use std::time::Duration;

use cuminpick::routing::EngineModel;

/// Returns the model of an engine whose passes take 18 ms when it is empty.
pub(crate) fn engine_model() -> EngineModel {
    EngineModel {
        steps_per_pass: 4,
        step_time: Duration::from_micros(4_550),
        time_per_request: Duration::from_micros(905),
        expert_share: 0.85,
        report_lag: Duration::from_millis(200),
        form_time: Duration::from_millis(600),
        experts: None,
        memory_tokens: None,
        read_tokens_per_second: 0.0,
    }
}
