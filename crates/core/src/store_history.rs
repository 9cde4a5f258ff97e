//! Which answers of the platform's store belong to its present history.
//!
//! The store may come back from an older copy. What it acknowledged since that copy is then
//! lost, the revisions since are given out again for other changes, and its era rises.
//! Revisions can only be compared within an era.

use std::time::Duration;

/// Era of the store, which rises each time that it comes back from an older copy; 0 while no
/// answer has stated one.
pub type StoreEra = u64;
/// Revision of the store or of an object; increases with each change within an era.
pub type StoreRevision = u64;

/// Time after a change of the era within which an answer of a lower era counts as delayed. It
/// bounds how often a store that states several eras by turns is taken for restored.
const MIN_ERA_TIME: Duration = Duration::from_secs(2);

/// Bits of a lasting number below the era; 400 writes per second use up as many revisions in 87
/// years.
const ERA_SHIFT: u32 = 40;

/// Returns a number that is higher for later changes, also if the store came back between them
/// and gave their revisions out again.
pub fn lasting_number(era: StoreEra, revision: StoreRevision) -> u64 {
    (era << ERA_SHIFT) + revision
}

/// Returns the revision of a lasting number.
pub fn revision_of(number: u64) -> StoreRevision {
    number & ((1 << ERA_SHIFT) - 1)
}

/// Point in the store's history up to which a process knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorePosition {
    /// Era in which the store gave out the revision.
    pub era: StoreEra,
    /// Revision of the store.
    pub revision: StoreRevision,
}

/// What a process knows of the store's era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct KnownEra {
    /// Latest era that an answer stated.
    pub era: StoreEra,
    /// When it was learned.
    pub since: Duration,
}

/// How an answer relates to the store's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerAge {
    /// The answer belongs to the known era, or states none.
    Current,
    /// The answer is the first one that states an era.
    First,
    /// The store came back from an older copy since the last answer.
    Restored,
    /// The answer was given before the store came back, and arrived later.
    Outdated,
}

/// Call to the store whose answer is placed in its history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EraQuery {
    /// Era that was known when the call began.
    pub asked: StoreEra,
    /// Whether the store may answer from an older state.
    pub allows_stale: bool,
}

/// Relates an answer that arrives at `now` and states an era to what is known.
pub fn place_answer(
    now: Duration,
    query: EraQuery,
    known: KnownEra,
    stated: StoreEra,
) -> AnswerAge {
    let is_delayed = query.asked != known.era || now < known.since + MIN_ERA_TIME;
    if stated == known.era || stated == 0 {
        AnswerAge::Current
    } else if known.era == 0 {
        AnswerAge::First
    } else if stated > known.era {
        AnswerAge::Restored
    } else if query.allows_stale || is_delayed {
        AnswerAge::Outdated
    } else {
        // The store was set up anew and counts its eras from the start.
        AnswerAge::Restored
    }
}
