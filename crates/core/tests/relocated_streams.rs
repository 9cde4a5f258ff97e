//! Streams of a slow rank are moved to other ranks: in a group that runs its passes in
//! lock-step they would hold up the streams of all ranks until they end.

#[path = "support/engine.rs"]
mod engine;

use std::net::SocketAddr;
use std::time::Duration;

use cuminpick::balance::BalanceTable;
use cuminpick::relocation::delays_group;
use cuminpick::routing::ServerRecord;
use cuminpick::routing::ServerState;

use crate::engine::engine_model;

const RANKS: usize = 12;
const EVENT_GAP: Duration = Duration::from_millis(120);

fn address(rank: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, rank as u8], 8_000))
}

/// Returns a table that knows the ranks of a group, the first `slow` of which are slow.
fn table(slow: usize, slowdown: f64) -> BalanceTable {
    let record = |rank: usize| ServerRecord {
        id: format!("rank-{rank}"),
        service: "drafting".to_string(),
        address: address(rank),
        zone: "a".to_string(),
        state: ServerState::Ready,
        slots: 12,
        cold_remaining: Duration::ZERO,
        started_ms: 1,
    };
    let mut table = BalanceTable::default();
    table.replace_all(Duration::ZERO, (0..RANKS).map(record).collect());
    let slow_servers = (0..slow).map(|rank| (address(rank), slowdown)).collect();
    table.update_slow_servers(Duration::ZERO, slow_servers);
    table
}

#[test]
fn slow_rank() {
    assert!(!delays_group(&engine_model(), 1.0, 8, EVENT_GAP));
    assert!(!delays_group(&engine_model(), 2.0, 2, EVENT_GAP));
    assert!(delays_group(&engine_model(), 4.0, 6, EVENT_GAP));
}

/// A single stream is enough on a rank that takes longer for an empty pass.
#[test]
fn single_stream() {
    assert!(delays_group(&engine_model(), 12.0, 1, EVENT_GAP));
}

/// The group of the pattern, pass by pass: one rank of twelve turns slow while it runs six
/// streams of 24 events. All streams wait for it unless they are moved.
#[test]
fn whole_group() {
    let late_passes = |moves: bool| {
        let mut streams = 6;
        let mut late = 0;
        for pass in 0..24 {
            if moves && pass > 0 && delays_group(&engine_model(), 12.0, streams, EVENT_GAP) {
                streams = 0;
            }
            let slow = if streams > 0 {
                engine_model().pass_seconds(f64::from(streams), 1.0)
            } else {
                0.0
            };
            let group = (slow * 12.0).max(engine_model().pass_seconds(6.0, 1.4));
            late += u32::from(group > EVENT_GAP.as_secs_f64());
        }
        late
    };
    assert_eq!(late_passes(false), 24);
    assert_eq!(late_passes(true), 1);
}

#[test]
fn slow_minority() {
    let now = Duration::from_millis(100);
    assert_eq!(table(1, 12.0).slow_server(now, "rank-0"), Some((12.0, 0)));
    assert_eq!(table(1, 12.0).slow_server(now, "rank-1"), None);
    assert_eq!(table(1, 1.5).slow_server(now, "rank-0"), None);
}

/// Streams stay where they are if most ranks are slow, or if the update is outdated.
#[test]
fn slow_majority() {
    assert_eq!(table(7, 12.0).slow_server(Duration::from_millis(100), "rank-0"), None);
    assert_eq!(table(1, 12.0).slow_server(Duration::from_secs(3), "rank-0"), None);
}
