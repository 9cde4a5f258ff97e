//! Merged logs of processes whose clocks differ, and replayed traces.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cuminpick::clock::HybridClock;
use cuminpick::entry::EntryCore;
use cuminpick::entry_event::Arrival;
use cuminpick::entry_event::EntryEvent;
use cuminpick::entry_event::EntryParameters;
use cuminpick::journal::JournalFilter;
use cuminpick::journal::merge_lines;
use cuminpick::journal::parse_lines;
use cuminpick::member::MemberRecord;
use cuminpick::member::MemberState;
use cuminpick::replay::ReplayError;
use cuminpick::replay::TraceLine;
use cuminpick::replay::replay_trace;

fn wall(millis: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(millis)
}

#[test]
fn causal_order() {
    let (mut sender, mut receiver) = (HybridClock::default(), HybridClock::default());
    let sent = sender.tick(wall(10_000));
    let received = receiver.merge(wall(2_000), sent);
    let answered = receiver.tick(wall(2_001));
    let ended = sender.merge(wall(10_000), answered);
    assert!(sent < received && received < answered && answered < ended);
}

#[test]
fn merged_logs() {
    let first = "{\"stamp\":5,\"process\":\"a\",\"event\":\"sent\",\"request\":\"r1\",\"server\":\"s\"}\n\
        not json\n{\"stamp\":9,\"process\":\"a\",\"event\":\"ended\",\"request\":\"r1\"}\n";
    let second = "{\"stamp\":7,\"process\":\"b\",\"event\":\"admitted\",\"request\":\"r1\"}\n\
        {\"stamp\":8,\"process\":\"b\",\"event\":\"admitted\",\"request\":\"r2\"}\n";
    let lines = parse_lines(first).chain(parse_lines(second)).collect();
    let filter = JournalFilter { request: Some("r1".to_string()), ..JournalFilter::default() };
    let merged = merge_lines(lines, &filter);
    let events: Vec<&str> = merged.iter().map(|line| line.event.as_str()).collect();
    assert_eq!(events, ["sent", "admitted", "ended"]);
    assert_eq!(merged[0].details["server"], "s");
}

fn entry_parameters() -> EntryParameters {
    let member = MemberRecord {
        id: "e0".to_string(),
        address: "e0".to_string(),
        zone: "bole".to_string(),
        service: None,
        incarnation: 1,
        sequence: 1,
        state: MemberState::Live,
    };
    EntryParameters { member, queue_capacity: 8, seed: 1 }
}

/// Returns a trace in which a request arrives before any configuration and is refused.
fn recorded_trace() -> Vec<String> {
    let mut core = EntryCore::new(entry_parameters());
    let mut lines = vec![serde_json::to_string(&TraceLine::Facts(entry_parameters())).unwrap()];
    let arrival = Arrival {
        request: 1,
        class: "drafting".to_string(),
        organisation: "a".to_string(),
        prefix: 0,
        time_left: None,
    };
    for event in [EntryEvent::Arrived(arrival), EntryEvent::Ticked] {
        let now = Duration::from_secs(1);
        let actions = core.step(now, event.clone());
        lines.push(serde_json::to_string(&TraceLine::Step { now, event, actions }).unwrap());
    }
    lines
}

#[test]
fn same_decisions() {
    let summary = replay_trace(&recorded_trace().join("\n")).unwrap();
    assert_eq!((summary.events, summary.refused), (2, 1));
}

#[test]
fn other_decisions() {
    let changed = recorded_trace().join("\n").replace("not-ready", "overloaded");
    assert!(matches!(replay_trace(&changed), Err(ReplayError::Differs { line: 2, .. })));
    assert_eq!(replay_trace(""), Err(ReplayError::NoFacts));
    let broken = replay_trace("{}\n");
    assert!(matches!(broken, Err(ReplayError::Unreadable { line: 1, .. })));
}
