//! Updates that gateways send each other on their requests in flight: the messages that each
//! of them receives, and how evenly servers are used with this knowledge.

use std::time::Duration;

use cuminpick::balance::BalanceQuery;
use cuminpick::balance::BalanceTable;
use cuminpick::ids::ChoiceRng;
use cuminpick::routing::ServerRecord;
use cuminpick::routing::ServerState;
use cuminpick::updates::update_interval;

const STEP: Duration = Duration::from_millis(10);
const SERVERS: usize = 129;
/// Requests in flight for each server, over all gateways.
const LOAD_PER_SERVER: f64 = 3.5;
/// Requests that a server runs concurrently.
const SLOTS: f64 = 6.0;
/// Time for which a request holds a slot.
const SERVICE_TIME: Duration = Duration::from_millis(1_700);

struct Gateway {
    table: BalanceTable,
    in_flight: Vec<(Duration, String)>,
    next_update: Duration,
}

fn record(index: usize) -> ServerRecord {
    ServerRecord {
        id: format!("server-{index}"),
        service: "model".to_string(),
        address: format!("127.0.0.1:{}", 9_000 + index).parse().unwrap(),
        zone: "bole".to_string(),
        slots: SLOTS as u32,
        state: ServerState::Ready,
        cold_remaining: Duration::ZERO,
        started_ms: 1,
    }
}

/// Simulates `gateways` gateways that send requests for twelve seconds. Returns the load of
/// the busiest server relative to the mean load, averaged over the last ten seconds, and the
/// messages that each gateway received per second.
fn simulate(gateways: usize) -> (f64, f64) {
    let mut rng = ChoiceRng::new(gateways as u64);
    let mut nodes: Vec<Gateway> = (0..gateways)
        .map(|index| {
            let mut table = BalanceTable::default();
            table.replace_all(Duration::ZERO, (0..SERVERS).map(record).collect());
            let next_update = update_interval(gateways).mul_f64(index as f64 / gateways as f64);
            Gateway { table, in_flight: Vec::new(), next_update }
        })
        .collect();
    let per_step =
        LOAD_PER_SERVER * SERVERS as f64 * STEP.as_secs_f64() / SERVICE_TIME.as_secs_f64();
    let (mut requests_due, mut received, mut imbalance, mut samples) = (0.0, 0, 0.0, 0.0);
    let end = Duration::from_secs(12);
    let mut now = Duration::ZERO;
    while now < end {
        requests_due += per_step;
        while requests_due >= 1.0 {
            requests_due -= 1.0;
            let node = &mut nodes[rng.below(gateways)];
            let query = BalanceQuery {
                service: "model",
                zone: "bole",
                excluded: &[],
                cold_requests_per_second: 0.0,
                drain_time: Duration::from_secs(3),
                limits: None,
                tokens: None,
            };
            let choice = node.table.choose(now, &query, &mut rng).unwrap();
            node.table.start_request(now, &choice.server);
            node.in_flight.push((now + SERVICE_TIME, choice.server));
        }
        for node in &mut nodes {
            let table = &mut node.table;
            node.in_flight.retain(|(until, server)| {
                let in_flight = now < *until;
                if !in_flight {
                    table.finish_request(server);
                }
                in_flight
            });
        }
        for index in 0..gateways {
            if now < nodes[index].next_update {
                continue;
            }
            nodes[index].next_update += update_interval(gateways);
            let counts = nodes[index].table.own_counts();
            let name = format!("gateway-{index}");
            for (other, node) in nodes.iter_mut().enumerate() {
                if other != index {
                    node.table.update_peer_counts(now, &name, counts.clone());
                    received += 1;
                }
            }
        }
        for node in &mut nodes {
            node.table.expire_peer_counts(now);
        }
        if now + Duration::from_secs(10) >= end {
            let mut loads = vec![0_u32; SERVERS];
            for (_, server) in nodes.iter().flat_map(|node| &node.in_flight) {
                loads[server["server-".len()..].parse::<usize>().unwrap()] += 1;
            }
            let mean = f64::from(loads.iter().sum::<u32>()) / SERVERS as f64;
            imbalance += f64::from(*loads.iter().max().unwrap()) / mean;
            samples += 1.0;
        }
        now += STEP;
    }
    (imbalance / samples, f64::from(received) / gateways as f64 / end.as_secs_f64())
}

/// With 129 engines of six slots and 3.5 requests each behind 4 to 53 gateways, the busiest
/// engine has a free slot on average.
#[test]
fn servers_used_evenly() {
    for gateways in [4, 16, 53] {
        let (imbalance, _) = simulate(gateways);
        assert!(imbalance < SLOTS / LOAD_PER_SERVER, "{gateways} gateways: {imbalance}");
    }
}

/// The messages that a gateway receives per second hardly grow beyond 32 gateways.
#[test]
fn cost_stays_level() {
    let (_, few) = simulate(32);
    for gateways in [53, 160] {
        let (_, received) = simulate(gateways);
        assert!(received < few * 1.5, "{gateways}: {received} messages, {few} behind 32");
    }
}

/// The requests of a silent gateway are counted for a few update intervals, and the gateway
/// itself for some more, also where many gateways make the interval long.
#[test]
fn silent_gateway() {
    for gateways in [4, 53, 350] {
        let mut table = BalanceTable::default();
        table.replace_all(Duration::ZERO, vec![record(0)]);
        for other in 1..gateways {
            table.update_peer_counts(Duration::ZERO, &format!("gateway-{other}"), Vec::new());
        }
        let interval = update_interval(gateways);
        table.update_peer_counts(interval, "gateway-1", vec![("server-0".to_string(), 5)]);
        table.expire_peer_counts(interval * 4);
        assert_eq!(table.live_gateways(), gateways);
        assert_eq!(table.service_load("model").others_in_flight, 5, "{gateways} gateways");
        table.expire_peer_counts(interval * 5 + Duration::from_millis(400));
        assert_eq!(table.service_load("model").others_in_flight, 0, "{gateways} gateways");
        table.remove_silent_peers(interval * 7);
        assert_eq!(table.live_gateways(), gateways);
        table.remove_silent_peers(interval * 10 + Duration::from_secs(2));
        assert_eq!(table.live_gateways(), 1);
    }
}
