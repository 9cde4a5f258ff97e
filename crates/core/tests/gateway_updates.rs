//! What gateways tell each other of their requests: what it costs each of them, and how
//! evenly servers are used by what they then know.

use std::time::Duration;

use cuminpick::balance::BalanceQuery;
use cuminpick::balance::BalanceTable;
use cuminpick::ids::ChoiceRng;
use cuminpick::routing::ServerRecord;
use cuminpick::routing::ServerState;
use cuminpick::updates::update_interval;

const STEP: Duration = Duration::from_millis(10);
const SERVERS: usize = 129;
/// Requests in flight for each server that all gateways together hold.
const LOAD: f64 = 3.5;
/// Requests that a server runs at once.
const SLOTS: f64 = 6.0;
/// Time that a request holds a slot.
const HELD: Duration = Duration::from_millis(1_700);

struct Gateway {
    table: BalanceTable,
    open: Vec<(Duration, String)>,
    next_news: Duration,
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

/// Lets so many gateways send requests for twelve seconds; returns the mean over the
/// last ten of the busiest server's load over the mean, and the messages that each gateway
/// heard in a second.
fn play(gateways: usize) -> (f64, f64) {
    let mut rng = ChoiceRng::new(gateways as u64);
    let mut nodes: Vec<Gateway> = (0..gateways)
        .map(|index| {
            let mut table = BalanceTable::default();
            table.replace_all(Duration::ZERO, (0..SERVERS).map(record).collect());
            let next_news = update_interval(gateways).mul_f64(index as f64 / gateways as f64);
            Gateway { table, open: Vec::new(), next_news }
        })
        .collect();
    let per_step = LOAD * SERVERS as f64 * STEP.as_secs_f64() / HELD.as_secs_f64();
    let (mut due, mut heard, mut spread, mut looks) = (0.0, 0, 0.0, 0.0);
    let end = Duration::from_secs(12);
    let mut now = Duration::ZERO;
    while now < end {
        due += per_step;
        while due >= 1.0 {
            due -= 1.0;
            let node = &mut nodes[rng.below(gateways)];
            let query = BalanceQuery {
                service: "model",
                zone: "bole",
                excluded: &[],
                cold_requests_per_second: 0.0,
            };
            let choice = node.table.choose(now, &query, &mut rng).unwrap();
            node.table.start_request(now, &choice.server);
            node.open.push((now + HELD, choice.server));
        }
        for node in &mut nodes {
            let table = &mut node.table;
            node.open.retain(|(until, server)| {
                let open = now < *until;
                if !open {
                    table.finish_request(server);
                }
                open
            });
        }
        for index in 0..gateways {
            if now < nodes[index].next_news {
                continue;
            }
            nodes[index].next_news += update_interval(gateways);
            let counts = nodes[index].table.own_counts();
            let name = format!("gateway-{index}");
            for (other, node) in nodes.iter_mut().enumerate() {
                if other != index {
                    node.table.update_peer_counts(now, &name, counts.clone());
                    heard += 1;
                }
            }
        }
        for node in &mut nodes {
            node.table.expire_peer_counts(now);
        }
        if now + Duration::from_secs(10) >= end {
            let mut loads = vec![0_u32; SERVERS];
            for (_, server) in nodes.iter().flat_map(|node| &node.open) {
                loads[server["server-".len()..].parse::<usize>().unwrap()] += 1;
            }
            let mean = f64::from(loads.iter().sum::<u32>()) / SERVERS as f64;
            spread += f64::from(*loads.iter().max().unwrap()) / mean;
            looks += 1.0;
        }
        now += STEP;
    }
    (spread / looks, f64::from(heard) / gateways as f64 / end.as_secs_f64())
}

/// Pattern: 129 engines of six slots behind 4 to 53 gateways, with 3.5 requests each.
/// The busiest engine has a free slot on average.
#[test]
fn servers_used_evenly() {
    for gateways in [4, 16, 53] {
        let (spread, _) = play(gateways);
        assert!(spread < SLOTS / LOAD, "{gateways} gateways: {spread}");
    }
}

/// What a gateway hears in a second stays level from some dozen gateways on.
#[test]
fn cost_stays_level() {
    let (_, few) = play(32);
    for gateways in [53, 160] {
        let (_, heard) = play(gateways);
        assert!(heard < few * 1.5, "{gateways}: {heard} messages, {few} behind 32");
    }
}

/// A gateway that falls silent counts for a few of its messages, however seldom they
/// come.
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
        table.remove_expired(interval * 7);
        assert_eq!(table.live_gateways(), gateways);
        table.remove_expired(interval * 10 + Duration::from_secs(2));
        assert_eq!(table.live_gateways(), 1);
    }
}
