//! Recorded traces of an entry's decisions, replayed to the same actions.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::entry::EntryCore;
use crate::entry_event::EntryAction;
use crate::entry_event::EntryEvent;
use crate::entry_event::EntryParameters;

/// One line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceLine {
    /// First line: the facts that the entry started with.
    Facts(EntryParameters),
    /// An event, when it happened, and what was decided.
    Step {
        /// Time since the start.
        now: Duration,
        /// What happened.
        event: EntryEvent,
        /// What was decided.
        actions: Vec<EntryAction>,
    },
}

/// A trace that does not replay.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ReplayError {
    /// A line cannot be read.
    #[error("line {line} cannot be read: {detail}; record the trace again with this version")]
    Unreadable {
        /// Line, from 1.
        line: usize,
        /// What is wrong.
        detail: String,
    },
    /// The first line does not hold the facts.
    #[error("the trace does not start with the entry's facts; give the whole file")]
    NoFacts,
    /// The decisions differ from the recorded ones.
    #[error(
        "line {line}: decided {decided} but the trace holds {recorded}; the decisions changed since it was recorded"
    )]
    Differs {
        /// Line, from 1.
        line: usize,
        /// Actions decided now.
        decided: String,
        /// Actions in the trace.
        recorded: String,
    },
}

/// Figures of a replayed trace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ReplaySummary {
    /// Events replayed.
    pub events: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Requests refused.
    pub refused: u64,
    /// Configuration objects put in force.
    pub in_force: u64,
}

/// Replays a trace and checks that each decision is as recorded.
pub fn replay_trace(text: &str) -> Result<ReplaySummary, ReplayError> {
    let mut core: Option<EntryCore> = None;
    let mut summary = ReplaySummary::default();
    for (index, raw) in text.lines().enumerate() {
        let line = index + 1;
        let parsed: TraceLine = serde_json::from_str(raw)
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
