//! A trace that an entry recorded under load replays to its stated outcome.

use cuminpick::replay::ReplaySummary;
use cuminpick::replay::replay_trace;

#[test]
fn zone_entry() {
    let trace = include_str!("traces/zone-entry.trace");
    let summary = replay_trace(trace).unwrap();
    let stated = ReplaySummary { events: 999, sent: 101, refused: 0, in_force: 5 };
    assert_eq!(summary, stated);
}
