//! Time line of events over all processes.
//!
//! Every process writes its events as JSON lines with a hybrid stamp. Sorted by
//! stamp, a message's receipt comes after its sending, whatever the clocks say.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::clock::HybridStamp;
use crate::clock::stamp_millis;

/// One event of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JournalLine {
    /// Hybrid stamp.
    pub stamp: HybridStamp,
    /// Process that wrote it.
    pub process: String,
    /// Name of the event.
    pub event: String,
    /// Request that it concerns, as in `Cuminpick-Request-Id`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Everything else that the process told.
    #[serde(flatten)]
    pub details: BTreeMap<String, Value>,
}

/// Which events to show.
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
    /// Whether an event is to be shown.
    pub fn matches(&self, line: &JournalLine) -> bool {
        let millis = stamp_millis(line.stamp);
        let request_fits = match &self.request {
            Some(request) => line.request.as_ref() == Some(request),
            None => true,
        };
        request_fits
            && self.since_ms.is_none_or(|since| millis >= since)
            && self.until_ms.is_none_or(|until| millis <= until)
    }
}

/// Reads the events in a text of JSON lines; lines of other kinds are passed over.
pub fn parse_lines(text: &str) -> impl Iterator<Item = JournalLine> {
    text.lines().filter_map(|line| serde_json::from_str(line).ok())
}

/// Merges events of many processes into causal order.
pub fn merge_lines(mut lines: Vec<JournalLine>, filter: &JournalFilter) -> Vec<JournalLine> {
    lines.retain(|line| filter.matches(line));
    lines.sort_by(|left, right| (left.stamp, &left.process).cmp(&(right.stamp, &right.process)));
    lines
}

/// Renders an event for people.
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
