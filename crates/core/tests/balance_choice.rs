//! Guards against requests that go to overloaded, failed, slow, cold or removed servers
//! while better ones are available.

use std::time::Duration;

use cuminpick::balance::BalanceQuery;
use cuminpick::balance::BalanceTable;
use cuminpick::balance::ChoiceError;
use cuminpick::ids::ChoiceRng;
use cuminpick::ids::FastSet;
use cuminpick::ids::ServerId;
use cuminpick::routing::ServerRecord;
use cuminpick::routing::ServerState;

const START: Duration = Duration::from_secs(100);

fn record(id: &str, zone: &str) -> ServerRecord {
    ServerRecord {
        id: id.to_string(),
        service: "model".to_string(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: zone.to_string(),
        slots: 4,
        state: ServerState::Ready,
        cold_remaining: Duration::ZERO,
        started_ms: 1,
    }
}

fn table(ids: &[&str]) -> BalanceTable {
    let mut table = BalanceTable::default();
    table.replace_all(START, ids.iter().map(|id| record(id, "bole")).collect());
    table
}

fn query<'a>(excluded: &'a [ServerId], cold: f64) -> BalanceQuery<'a> {
    BalanceQuery {
        service: "model",
        zone: "bole",
        excluded,
        cold_requests_per_second: cold,
        drain_time: Duration::from_secs(3),
        limits: None,
        tokens: None,
    }
}

fn chosen(table: &BalanceTable, now: Duration) -> Result<String, ChoiceError> {
    let mut rng = ChoiceRng::new(7);
    table.choose(now, &query(&[], 0.0), &mut rng).map(|choice| choice.server)
}

#[test]
fn least_loaded() {
    let mut table = table(&["a", "b"]);
    table.start_request(START, "a");
    assert_eq!(chosen(&table, START), Ok("b".to_string()));
    table.update_peer_counts(START, "other", vec![("b".to_string(), 3)]);
    assert_eq!(chosen(&table, START), Ok("a".to_string()));
}

#[test]
fn peer_counts_expire() {
    let mut table = table(&["a", "b"]);
    table.start_request(START, "a");
    table.update_peer_counts(START, "other", vec![("b".to_string(), 3)]);
    table.expire_peer_counts(START + Duration::from_millis(500));
    assert_eq!(chosen(&table, START), Ok("b".to_string()));
}

#[test]
fn spreads_evenly() {
    let mut table = table(&["a", "b", "c"]);
    let mut rng = ChoiceRng::new(3);
    for _ in 0..12 {
        let choice = table.choose(START, &query(&[], 0.0), &mut rng).unwrap();
        table.start_request(START, &choice.server);
    }
    assert!(table.own_counts().iter().all(|(_, count)| *count == 4));
}

#[test]
fn failed_server_avoided() {
    let mut table = table(&["a", "b"]);
    table.start_request(START, "b");
    table.avoid(START, "a");
    assert_eq!(chosen(&table, START), Ok("b".to_string()));
    assert_eq!(chosen(&table, START + Duration::from_secs(1)), Ok("a".to_string()));
}

#[test]
fn avoided_when_alone() {
    let mut table = table(&["a"]);
    table.avoid(START, "a");
    assert_eq!(chosen(&table, START), Ok("a".to_string()));
}

#[test]
fn draining_server_skipped() {
    let mut table = table(&["a", "b"]);
    table.upsert(START, ServerRecord { state: ServerState::Draining, ..record("a", "bole") });
    table.start_request(START, "b");
    assert_eq!(chosen(&table, START), Ok("b".to_string()));
}

#[test]
fn zone_taken_out() {
    let mut table = table(&["a"]);
    table.upsert(START, record("b", "merkato"));
    table.set_zone_out("bole", true);
    assert_eq!(chosen(&table, START), Ok("b".to_string()));
    table.set_zone_out("merkato", true);
    assert_eq!(chosen(&table, START), Err(ChoiceError::NoneAvailable));
    table.set_zone_out("bole", false);
    assert_eq!(chosen(&table, START), Ok("a".to_string()));
}

#[test]
fn excluded_server_skipped() {
    let table = table(&["a", "b"]);
    let mut rng = ChoiceRng::new(1);
    let excluded = ["a".to_string()];
    let choice = table.choose(START, &query(&excluded, 0.0), &mut rng).unwrap();
    assert_eq!(choice.server, "b");
    let both = ["a".to_string(), "b".to_string()];
    let none = table.choose(START, &query(&both, 0.0), &mut rng);
    assert_eq!(none, Err(ChoiceError::AllTried));
}

#[test]
fn lapsed_record_kept() {
    let mut table = table(&["a", "b"]);
    table.record_store_reconnect(START);
    table.replace_all(START, vec![record("a", "bole")]);
    table.start_request(START, "a");
    assert_eq!(chosen(&table, START), Ok("b".to_string()));
    let later = START + Duration::from_millis(2_100);
    table.remove_expired(later);
    assert_eq!(table.len(), 1);
}

#[test]
fn lapsed_record_renewed() {
    let mut table = table(&["a", "b"]);
    table.record_store_reconnect(START);
    table.remove(START, "b");
    table.upsert(START + Duration::from_secs(1), record("b", "bole"));
    table.remove_expired(START + Duration::from_secs(3));
    assert_eq!(table.len(), 2);
}

#[test]
fn removal_while_connected() {
    let mut table = table(&["a", "b"]);
    table.remove(START, "b");
    assert_eq!(table.len(), 1);
}

/// A cold server tolerates a limited request rate, which all gateways share.
#[test]
fn cold_server_spared() {
    let mut table = BalanceTable::default();
    table.upsert(
        START,
        ServerRecord { cold_remaining: Duration::from_secs(3), slots: 100, ..record("a", "bole") },
    );
    table.update_peer_counts(START, "other", Vec::new());
    let mut rng = ChoiceRng::new(1);
    let mut sent = 0;
    while let Ok(choice) = table.choose(START, &query(&[], 10.0), &mut rng) {
        table.start_request(START, &choice.server);
        sent += 1;
    }
    assert!(sent <= 5, "{sent} requests to a server that tolerates 10 from two gateways");
    let later = START + Duration::from_millis(1_100);
    assert!(table.choose(later, &query(&[], 10.0), &mut rng).is_ok());
}

#[test]
fn full_servers_refuse() {
    let mut table = table(&["a"]);
    for _ in 0..12 {
        table.start_request(START, "a");
    }
    assert_eq!(chosen(&table, START), Err(ChoiceError::AllFull));
    table.finish_request("a");
    assert_eq!(chosen(&table, START), Ok("a".to_string()));
}

/// Guards against requests to a rank that runs at a fraction of its normal speed, which
/// would delay the passes of its whole group.
#[test]
fn slow_server_avoided() {
    let mut table = BalanceTable::default();
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    for (port, id) in [(1, "a"), (2, "b")] {
        table.upsert(START, ServerRecord { address: address(port), ..record(id, "bole") });
    }
    for _ in 0..3 {
        table.start_request(START, "b");
    }
    table.update_slow_servers(START, vec![(address(1), 12.0)]);
    assert_eq!(chosen(&table, START), Ok("b".to_string()));
    // A server below the limit only counts as more loaded.
    table.update_slow_servers(START, vec![(address(1), 1.6)]);
    assert_eq!(chosen(&table, START), Ok("a".to_string()));
    // The report expires.
    table.update_slow_servers(START, vec![(address(1), 12.0)]);
    assert_eq!(chosen(&table, START + Duration::from_secs(2)), Ok("a".to_string()));
}

/// Guards against gateways that cannot reach each other and each use the whole of a limit
/// that holds for all of them together; they divide it by the registered gateways.
#[test]
fn unheard_gateways_counted() {
    let mut gateways = vec![table(&["a"]); 4];
    for (own, table) in gateways.iter_mut().enumerate() {
        let others = (0..4).filter(|other| *other != own);
        table.set_registered_gateways(others.map(|other| format!("edge-{other}")), false);
        table.update_peer_counts(START, &format!("edge-{}", (own + 1) % 4), Vec::new());
        let cold_remaining = Duration::from_secs(9);
        table.upsert(START, ServerRecord { cold_remaining, ..record("a", "bole") });
    }
    let mut rng = ChoiceRng::new(1);
    let mut sent = 0;
    for table in &mut gateways {
        assert_eq!(table.live_or_registered_gateways(), 4);
        table.remove_silent_peers(START + Duration::from_secs(5));
        assert_eq!(table.live_or_registered_gateways(), 4);
        for _ in 0..40 {
            let now = START + Duration::from_secs(5);
            if table.choose(now, &query(&[], 38.0), &mut rng).is_ok() {
                table.start_request(now, "a");
                table.finish_request("a");
                sent += 1;
            }
        }
    }
    assert!(sent <= 38, "{sent} requests in a second to a server that tolerates 38");
}

/// All servers stopped and started again under other ids: their former records stay in the
/// store until they expire, and requests for them reach the wrong server.
#[test]
fn replaced_servers() {
    let at = |id: &str, port: u16, started_ms: u64| ServerRecord {
        address: ([127, 0, 0, 1], port).into(),
        started_ms,
        ..record(id, "bole")
    };
    let mut table = BalanceTable::default();
    table.replace_all(START, vec![at("old-a", 9_000, 1), at("old-b", 9_001, 1)]);
    table.upsert(START, at("new-a", 9_000, 2));
    table.upsert(START, at("new-b", 9_001, 2));
    let listing = vec![
        at("new-a", 9_000, 2),
        at("old-a", 9_000, 1),
        at("new-b", 9_001, 2),
        at("old-b", 9_001, 1),
    ];
    table.replace_all(START, listing);
    for round in 0..20 {
        let server = chosen(&table, START).unwrap();
        assert!(server.starts_with("new-"), "round {round} chose {server}");
        table.start_request(START, &server);
    }
}

/// A server at whose address another one answers is not chosen again until its record changes:
/// that server is gone. When all records are outdated, those of the new servers are to come.
#[test]
fn wrong_server() {
    let mut table = table(&["a", "b"]);
    table.exclude_replaced("a");
    table.start_request(START, "b");
    let later = START + Duration::from_secs(60);
    for now in [START, START + Duration::from_secs(4), later] {
        assert_eq!(chosen(&table, now), Ok("b".to_string()));
    }
    table.exclude_replaced("b");
    assert_eq!(chosen(&table, later), Err(ChoiceError::AllReplaced));
    table.upsert(later, record("a", "bole"));
    assert_eq!(chosen(&table, later), Err(ChoiceError::AllReplaced));
    let started_ms = record("a", "bole").started_ms + 1;
    table.upsert(later, ServerRecord { started_ms, ..record("a", "bole") });
    assert_eq!(chosen(&table, later), Ok("a".to_string()));
}

/// Guards against entries of other writers that name a service which no configuration names: each added
/// to the work for every request, and one could take the address of a server.
#[test]
fn unnamed_services() {
    let mut table = table(&["a", "b"]);
    table.set_services(FastSet::from_iter(["model".to_string()]));
    for number in 0..1_000 {
        let record = ServerRecord {
            service: "notes".to_string(),
            started_ms: 2,
            ..record(&format!("n{number}"), "bole")
        };
        assert!(!table.upsert(START, record));
    }
    assert_eq!(table.len(), 2);
    let mut rng = ChoiceRng::new(3);
    assert!(table.choose(START, &query(&["b".to_string()], 0.0), &mut rng).is_ok());
    // A server whose record changes to such a service is no longer used.
    table.upsert(START, ServerRecord { service: "notes".to_string(), ..record("a", "bole") });
    assert_eq!(chosen(&table, START), Ok("b".to_string()));
    // A configuration that names the service brings its servers in use.
    table.remove(START, "n7");
    table.set_services(FastSet::from_iter(["notes".to_string()]));
    let notes = BalanceQuery { service: "notes", ..query(&[], 0.0) };
    assert!(table.choose(START, &notes, &mut rng).is_ok());
    assert_eq!(table.service_of("n7"), None);
}
