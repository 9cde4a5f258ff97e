//! Replays recorded traces of an entry and checks that its decisions are unchanged.
//!
//! A trace holds one JSON value a line: the parameters of the entry, then each event
//! with the actions that it led to.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::entry::EntryCore;
use crate::entry_event::EntryAction;
use crate::entry_event::EntryEvent;
use crate::entry_event::EntryParameters;

/// Line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceLine {
    /// First line: the parameters that the entry started with.
    Facts(EntryParameters),
    /// An event and the actions that it led to.
    Step {
        /// Time of the event, since the start of the entry.
        now: Duration,
        /// Event that was handled.
        event: EntryEvent,
        /// Actions that were returned.
        actions: Vec<EntryAction>,
    },
}

/// Reason for which a trace cannot be replayed.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ReplayError {
    /// A line is not a valid [`TraceLine`].
    #[error("line {line} cannot be read: {detail}; record the trace again with this version")]
    Unreadable {
        /// Line, from 1.
        line: usize,
        /// Error of the parser.
        detail: String,
    },
    /// The parameters are not on the first line, or appear again later.
    #[error("the trace does not start with the entry's facts; give the whole file")]
    NoFacts,
    /// The actions differ from the recorded ones.
    #[error(
        "line {line}: decided {decided} but the trace holds {recorded}; the decisions changed since it was recorded"
    )]
    Differs {
        /// Line, from 1.
        line: usize,
        /// Actions of the replay.
        decided: String,
        /// Actions in the trace.
        recorded: String,
    },
}

/// Counts over a replayed trace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ReplaySummary {
    /// Number of events replayed.
    pub events: u64,
    /// Number of attempts sent.
    pub sent: u64,
    /// Number of requests refused.
    pub refused: u64,
    /// Number of configuration objects that came into force.
    pub in_force: u64,
}

/// Replays the text of a trace and checks that each event leads to the recorded actions.
///
/// Fails at the first line that is unreadable, out of place or different.
pub fn replay_trace(text: &str) -> Result<ReplaySummary, ReplayError> {
    let mut core: Option<EntryCore> = None;
    let mut summary = ReplaySummary::default();
    for (index, text_line) in text.lines().enumerate() {
        let line = index + 1;
        let parsed: TraceLine = serde_json::from_str(text_line)
            .map_err(|error| ReplayError::Unreadable { line, detail: error.to_string() })?;
        match (parsed, &mut core) {
            (TraceLine::Facts(facts), None) => core = Some(EntryCore::new(facts)),
            (TraceLine::Facts(_), Some(_)) | (TraceLine::Step { .. }, None) => {
                return Err(ReplayError::NoFacts);
            }
            (TraceLine::Step { now, event, actions }, Some(core)) => {
                let decided = core.step(now, event);
                if decided != actions {
                    let decided = format!("{decided:?}");
                    let recorded = format!("{actions:?}");
                    return Err(ReplayError::Differs { line, decided, recorded });
                }
                count_actions(&decided, &mut summary);
            }
        }
    }
    if core.is_none() {
        return Err(ReplayError::NoFacts);
    }
    Ok(summary)
}

fn count_actions(actions: &[EntryAction], summary: &mut ReplaySummary) {
    summary.events += 1;
    for action in actions {
        match action {
            EntryAction::Send { .. } => summary.sent += 1,
            EntryAction::Refuse { .. } => summary.refused += 1,
            EntryAction::InForce(objects) => summary.in_force += objects.len() as u64,
            _ => {}
        }
    }
}
