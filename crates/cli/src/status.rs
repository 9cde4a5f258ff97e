//! Status of the fleet: the accepted configuration version, and the status that each
//! process reports, including the version it applies.

use std::time::Duration;

use cuminpick_objects::CONFIG_PREFIX;
use cuminpick_objects::ObjectStore;
use serde_json::Value;
use serde_json::json;

use crate::report::CommandError;
use crate::report::CommandReport;

/// Timeout for a process's status response.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Queries the platform and the processes at `admin_urls`, their base URLs. Processes
/// that do not respond are listed as such.
pub fn fleet_status(
    store: &dyn ObjectStore,
    admin_urls: &[String],
) -> Result<CommandReport, CommandError> {
    let accepted = accepted_version(store);
    let mut lines = vec![match &accepted {
        Ok(version) => format!("accepted configuration: version {version}"),
        Err(error) => format!("accepted configuration: unknown ({error})"),
    }];
    let mut rows = Vec::new();
    for admin_url in admin_urls {
        let status = process_status(admin_url);
        lines.push(status_line(admin_url, &status, accepted.as_ref().ok().copied()));
        rows.push(json!({"admin": admin_url, "status": status.unwrap_or(Value::Null)}));
    }
    let json = json!({"accepted_version": accepted.ok(), "processes": rows});
    Ok(CommandReport { text: lines.join("\n"), json })
}

fn accepted_version(store: &dyn ObjectStore) -> Result<u64, CommandError> {
    let changes = store.changes(CONFIG_PREFIX, 0, Duration::ZERO)?;
    Ok(changes.objects.iter().map(|object| object.version).max().unwrap_or(0))
}

fn process_status(admin_url: &str) -> Option<Value> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(STATUS_TIMEOUT)).build().into();
    let mut response = agent.get(format!("{admin_url}/status")).call().ok()?;
    response.body_mut().read_json().ok()
}

fn status_line(admin_url: &str, status: &Option<Value>, accepted: Option<u64>) -> String {
    let Some(status) = status else {
        return format!("{admin_url}: no response");
    };
    let id = status["id"].as_str().unwrap_or("?");
    let zone = status["zone"].as_str().unwrap_or("?");
    let ready = if status["ready"] == Value::Bool(true) { "ready" } else { "not ready" };
    let version = status["config_version"].as_u64().unwrap_or(0);
    let outdated_note = match accepted {
        Some(accepted) if version < accepted => format!(" (behind {accepted})"),
        _ => String::new(),
    };
    let load = match status["limit"].as_u64() {
        Some(limit) => format!("{} of {limit} in flight", status["in_flight"]),
        None => format!("{} open, {} queued", status["open_requests"], status["queued_requests"]),
    };
    format!("{id:<24} {zone:<14} {ready:<10} configuration {version}{outdated_note}, {load}")
}
