//! Timeline of events of all processes, merged from their logs.
//!
//! Every process writes its events as JSON lines with a hybrid timestamp. Sorted by it, the
//! receipt of a message comes after its sending even where the processes' clocks differ.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::clock::HybridStamp;
use crate::clock::stamp_millis;

/// Event that one process logged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JournalLine {
    /// Hybrid timestamp of the event, by which events of all processes are sorted.
    pub stamp: HybridStamp,
    /// Id of the process that logged it.
    pub process: String,
    /// Name of the event.
    pub event: String,
    /// Id of the request it concerns, as in the header `Cuminpick-Request-Id`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// All other fields of the line.
    #[serde(flatten)]
    pub details: BTreeMap<String, Value>,
}

/// Selection of events; a `None` selects all.
#[derive(Debug, Clone, Default)]
pub struct JournalFilter {
    /// Only events of this request.
    pub request: Option<String>,
    /// Only events at or after this wall time, in Unix milliseconds.
    pub since_ms: Option<u64>,
    /// Only events at or before this wall time, in Unix milliseconds.
    pub until_ms: Option<u64>,
}

impl JournalFilter {
    /// Returns whether an event is selected.
    pub fn matches(&self, line: &JournalLine) -> bool {
        let millis = stamp_millis(line.stamp);
        let request_matches = match &self.request {
            Some(request) => line.request.as_ref() == Some(request),
            None => true,
        };
        request_matches
            && self.since_ms.is_none_or(|since| millis >= since)
            && self.until_ms.is_none_or(|until| millis <= until)
    }
}

/// Parses the events of a text of JSON lines; lines that hold no event are skipped.
pub fn parse_lines(text: &str) -> impl Iterator<Item = JournalLine> {
    text.lines().filter_map(|line| serde_json::from_str(line).ok())
}

/// Sorts the selected events of many processes into causal order.
pub fn merge_lines(mut lines: Vec<JournalLine>, filter: &JournalFilter) -> Vec<JournalLine> {
    lines.retain(|line| filter.matches(line));
    lines.sort_by(|left, right| (left.stamp, &left.process).cmp(&(right.stamp, &right.process)));
    lines
}

/// Formats an event as a line of text, with its time since `start_ms` (Unix milliseconds).
pub fn render_line(line: &JournalLine, start_ms: u64) -> String {
    let offset_ms = stamp_millis(line.stamp).saturating_sub(start_ms);
    let mut text = format!("{:>9} ms  {:<16} {:<18}", offset_ms, line.process, line.event);
    if let Some(request) = &line.request {
        text.push_str(&format!(" request={request}"));
    }
    for (key, value) in
        line.details.iter().filter(|(key, _)| !["level", "msg", "ts"].contains(&key.as_str()))
    {
        text.push_str(&format!(" {key}={value}"));
    }
    text
}
