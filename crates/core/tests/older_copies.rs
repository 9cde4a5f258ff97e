//! What an older copy of the store must not bring back.

use std::time::Duration;

use cuminpick::copy_filter::CopyFilter;
use cuminpick::copy_filter::ListedServer;
use cuminpick::copy_filter::ListedZone;
use cuminpick::routing::ServerRecord;
use cuminpick::routing::ServerState;

const START: Duration = Duration::from_secs(100);

fn listed(id: &str, started_ms: u64, revision: u64) -> ListedServer {
    let record = ServerRecord {
        id: id.to_string(),
        service: "model".to_string(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "bole".to_string(),
        slots: 4,
        state: ServerState::Ready,
        cold_remaining: Duration::ZERO,
        started_ms,
    };
    ListedServer { record, revision }
}

fn draining(server: ListedServer) -> ListedServer {
    let record = ServerRecord { state: ServerState::Draining, ..server.record };
    ListedServer { record, ..server }
}

fn cold(server: ListedServer, seconds: u64) -> ListedServer {
    let record = ServerRecord { cold_remaining: Duration::from_secs(seconds), ..server.record };
    ListedServer { record, ..server }
}

/// A server that was seen leaving, or gone, is not taken back for its earlier record.
#[test]
fn departed_servers() {
    let mut filter = CopyFilter::default();
    for id in ["leaving", "gone", "ready"] {
        filter.record_server(START, &listed(id, 1, 5));
    }
    filter.record_server(START, &draining(listed("leaving", 1, 8)));
    filter.record_gone("gone");
    let copy = ["leaving", "gone", "ready"].map(|id| listed(id, 1, 5));
    let believed = filter.filter_servers(START, copy.to_vec());
    let states: Vec<(&str, ServerState)> =
        believed.iter().map(|record| (record.id.as_str(), record.state)).collect();
    assert_eq!(states, [("leaving", ServerState::Draining), ("ready", ServerState::Ready)]);
}

/// What a watch reports after the return is new, and stands from then on.
#[test]
fn later_events() {
    let mut filter = CopyFilter::default();
    filter.record_server(START, &listed("a", 1, 5));
    filter.record_gone("a");
    assert!(filter.filter_servers(START, vec![listed("a", 1, 5)]).is_empty());
    filter.record_server(START, &listed("a", 1, 6));
    assert_eq!(filter.filter_servers(START, vec![listed("a", 1, 6)]).len(), 1);
}

/// A departure concerns one incarnation; a later one is used, and an earlier one does not come
/// back in place of a later one.
#[test]
fn other_incarnations() {
    let mut filter = CopyFilter::default();
    filter.record_server(START, &draining(listed("a", 10, 5)));
    filter.record_gone("a");
    let later = filter.filter_servers(START, vec![listed("a", 11, 7)]);
    assert_eq!(later[0].state, ServerState::Ready);
    assert!(filter.filter_servers(START, vec![listed("a", 10, 5)]).is_empty());
}

/// A record that was not seen before may have been written after the return: what it restricts
/// holds at once.
#[test]
fn unseen_records() {
    let mut filter = CopyFilter::default();
    filter.record_server(START, &listed("a", 1, 50));
    filter.record_server(START, &listed("b", 1, 51));
    let copy = vec![draining(listed("a", 1, 33)), cold(listed("b", 1, 34), 3), listed("c", 1, 35)];
    let believed = filter.filter_servers(START, copy);
    assert_eq!(believed[0].state, ServerState::Draining);
    assert_eq!(believed[1].cold_remaining, Duration::from_secs(3));
    assert_eq!(believed[2].id, "c");
}

/// A server that has warmed up since the copy is not cold again.
#[test]
fn warm_servers() {
    let mut filter = CopyFilter::default();
    filter.record_server(START, &cold(listed("a", 1, 5), 4));
    let later = START + Duration::from_secs(3);
    let believed = filter.filter_servers(later, vec![cold(listed("a", 1, 5), 4)]);
    assert_eq!(believed[0].cold_remaining, Duration::from_secs(1));
    filter.record_server(later, &listed("a", 1, 9));
    let believed = filter.filter_servers(later, vec![cold(listed("a", 1, 5), 4)]);
    assert_eq!(believed[0].cold_remaining, Duration::ZERO);
}

/// Servers that are gone are forgotten, the oldest first, and live ones are not.
#[test]
fn bounded_memory() {
    let mut filter = CopyFilter::default();
    let name = |index: u64| format!("server-{index}");
    for index in 0..20_000 {
        let now = START + Duration::from_millis(index);
        filter.record_server(now, &listed(&name(index), 1, index));
        if index > 0 {
            filter.record_gone(&name(index));
        }
    }
    let believed = |filter: &mut CopyFilter, index: u64| {
        !filter.filter_servers(START, vec![listed(&name(index), 1, index)]).is_empty()
    };
    assert!(believed(&mut filter, 0) && believed(&mut filter, 1));
    assert!(!believed(&mut filter, 19_999) && !believed(&mut filter, 10_000));
}

fn zone(name: &str, revision: u64) -> ListedZone {
    ListedZone { zone: name.to_string(), revision }
}

/// A zone stays out that the copy does not list yet, and one that was taken back stays in
/// though the copy lists it.
#[test]
fn changed_zones() {
    let mut filter = CopyFilter::default();
    filter.record_zones(&[zone("back", 5)]);
    filter.record_zone(&zone("out", 8), true);
    filter.record_zone(&zone("back", 9), false);
    assert_eq!(filter.filter_zones(&[zone("back", 5)]), ["out"]);
    filter.record_zone(&zone("out", 6), false);
    assert!(filter.filter_zones(&[zone("back", 5)]).is_empty());
}

/// A zone that was taken out after the return, before it was listed, is out at once; also one
/// that was out before and is taken out again.
#[test]
fn new_zones() {
    let mut filter = CopyFilter::default();
    filter.record_zones(&[zone("again", 5)]);
    filter.record_zones(&[]);
    let mut out = filter.filter_zones(&[zone("again", 6), zone("first", 7)]);
    out.sort();
    assert_eq!(out, ["again", "first"]);
}

/// After the time to settle the store's listing counts.
#[test]
fn settled_zones() {
    let mut filter = CopyFilter::default();
    filter.record_zones(&[zone("out", 5)]);
    assert_eq!(filter.filter_zones(&[]), ["out"]);
    filter.record_zones(&[]);
    assert!(filter.filter_zones(&[]).is_empty());
}

/// A process that starts after the return learns from another one what the copy must not bring
/// back, though it has read the copy already.
#[test]
fn told_knowledge() {
    let mut earlier = CopyFilter::default();
    for id in ["leaving", "gone", "ready"] {
        earlier.record_server(START, &listed(id, 1, 5));
    }
    earlier.record_server(START, &draining(listed("leaving", 1, 8)));
    earlier.record_gone("gone");
    earlier.record_zones(&[zone("back", 4)]);
    earlier.record_zones(&[zone("out", 9)]);
    let copy = ["leaving", "gone", "ready"].map(|id| listed(id, 1, 5)).to_vec();
    let mut started = CopyFilter::default();
    copy.iter().for_each(|server| started.record_server(START, server));
    started.record_zones(&[zone("back", 4)]);
    started.learn(&earlier.knowledge());
    let believed = started.filter_servers(START, copy);
    let states: Vec<(&str, ServerState)> =
        believed.iter().map(|record| (record.id.as_str(), record.state)).collect();
    assert_eq!(states, [("leaving", ServerState::Draining), ("ready", ServerState::Ready)]);
    assert_eq!(started.filter_zones(&[zone("back", 4)]), ["out"]);
    started.record_server(START, &listed("gone", 2, 11));
    started.learn(&earlier.knowledge());
    assert_eq!(started.filter_servers(START, vec![listed("gone", 2, 11)]).len(), 1);
}
