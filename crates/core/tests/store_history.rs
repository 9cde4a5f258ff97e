//! Which answers of a store that came back from an older copy belong to its present history.

use std::time::Duration;

use cuminpick::store_history::AnswerAge;
use cuminpick::store_history::EraQuery;
use cuminpick::store_history::KnownEra;
use cuminpick::store_history::place_answer;

const LEARNED: Duration = Duration::from_secs(10);
const LATER: Duration = Duration::from_secs(60);

/// Places the answer to a call that began when the era was `asked`.
fn place(now: Duration, asked: u64, known: KnownEra, stated: u64) -> AnswerAge {
    place_answer(now, EraQuery { asked, allows_stale: false }, known, stated)
}

fn known(era: u64) -> KnownEra {
    KnownEra { era, since: LEARNED }
}

/// A store that states no era is taken as it was before eras were stated.
#[test]
fn no_era() {
    assert_eq!(place(LATER, 0, known(0), 0), AnswerAge::Current);
    assert_eq!(place(LATER, 4, known(4), 0), AnswerAge::Current);
    assert_eq!(place(LATER, 0, known(0), 4), AnswerAge::First);
}

#[test]
fn risen_era() {
    assert_eq!(place(LATER, 4, known(4), 4), AnswerAge::Current);
    assert_eq!(place(LEARNED, 4, known(4), 5), AnswerAge::Restored);
    assert_eq!(place(LEARNED, 4, known(4), 7), AnswerAge::Restored);
}

/// An answer that was given before the store came back, and arrives after another call told
/// so, must not be taken for current.
#[test]
fn delayed_answer() {
    assert_eq!(place(LATER, 4, known(5), 4), AnswerAge::Outdated);
    assert_eq!(place(LEARNED + Duration::from_secs(1), 5, known(5), 4), AnswerAge::Outdated);
}

/// A store that was set up anew, and counts from the start, is not refused for ever.
#[test]
fn lowered_era() {
    assert_eq!(place(LATER, 5, known(5), 1), AnswerAge::Restored);
}

/// A read that may be answered from an older state never shows that the era went down.
#[test]
fn stale_read() {
    let query = EraQuery { asked: 5, allows_stale: true };
    assert_eq!(place_answer(LATER, query, known(5), 4), AnswerAge::Outdated);
    assert_eq!(place_answer(LATER, query, known(5), 6), AnswerAge::Restored);
}
