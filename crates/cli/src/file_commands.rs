//! Commands that read local files: process logs, traces and settings.

use std::path::Path;
use std::path::PathBuf;

use cuminpick::clock::stamp_millis;
use cuminpick::journal::JournalFilter;
use cuminpick::journal::merge_lines;
use cuminpick::journal::parse_lines;
use cuminpick::journal::render_line;
use cuminpick::replay::replay_trace;
use cuminpick::settings::AgentSettings;
use cuminpick::settings::EntrySettings;
use serde_json::json;

use crate::report::CommandError;
use crate::report::CommandReport;

/// Merges the logs of several processes into one timeline of the events that match `filter`.
pub fn show_timeline(
    files: &[PathBuf],
    filter: &JournalFilter,
) -> Result<CommandReport, CommandError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(parse_lines(&read_file(file)?));
    }
    let lines = merge_lines(lines, filter);
    let start = lines.first().map_or(0, |line| stamp_millis(line.stamp));
    let mut text: Vec<String> = lines.iter().map(|line| render_line(line, start)).collect();
    if text.is_empty() {
        text.push(
            "no event matches; check the files, the request id and the time range".to_string(),
        );
    }
    Ok(CommandReport { text: text.join("\n"), json: json!(lines) })
}

/// Replays a trace and compares each decision with the recorded one; fails at the first difference.
pub fn replay_file(file: &Path) -> Result<CommandReport, CommandError> {
    let summary = replay_trace(&read_file(file)?)?;
    let text = format!(
        "replayed {} events: {} attempts sent, {} requests refused, {} objects applied; every decision matches the recording",
        summary.events, summary.sent, summary.refused, summary.in_force
    );
    Ok(CommandReport { text, json: json!(summary) })
}

/// Validates a settings file of an entry or an agent; only an agent's file has a `backend` key.
pub fn check_file(file: &Path) -> Result<CommandReport, CommandError> {
    let text = read_file(file)?;
    let is_agent = text.lines().any(|line| line.trim_start().starts_with("backend"));
    let (role, id) = if is_agent {
        ("agent", AgentSettings::load(file)?.id)
    } else {
        ("entry", EntrySettings::load(file)?.id)
    };
    let text = format!("{}: valid settings of {role} {id}", file.display());
    Ok(CommandReport { text, json: json!({"role": role, "id": id, "valid": true}) })
}

fn read_file(file: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(file)
        .map_err(|source| CommandError::File { file: file.display().to_string(), source })
}
