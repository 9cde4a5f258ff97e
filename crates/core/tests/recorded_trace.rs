//! Replays a trace that an entry recorded under load.
//!
//! Guards against changes of decisions or of the trace format that go unnoticed.

use cuminpick::replay::ReplaySummary;
use cuminpick::replay::replay_trace;

#[test]
fn zone_entry() {
    let trace = include_str!("traces/zone-entry.trace");
    let summary = replay_trace(trace).unwrap();
    let expected = ReplaySummary { events: 999, sent: 101, refused: 0, in_force: 5 };
    assert_eq!(summary, expected);
}
