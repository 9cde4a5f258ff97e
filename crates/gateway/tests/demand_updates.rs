//! Updates that gateways send each other on their demand: their size, and the exchange between
//! processes.

mod support;

use std::sync::Arc;
use std::time::Duration;

use cuminpick::demand_meter::OwnDemand;
use cuminpick::demand_meter::SEND_INTERVALS;
use cuminpick::demand_meter::entry_limit;
use cuminpick::updates::DemandEntry;
use cuminpick::updates::DemandUpdate;
use cuminpick::updates::UpdateMessage;
use cuminpick::updates::update_interval;
use cuminpick_platform::platform_side::ServiceConfig;
use cuminpick_platform::platform_side::encode_config;
use cuminpick_platform::store::CONFIG_KIND;
use support::KEY;
use support::OTHER_KEY;
use support::Site;
use support::routes;
use tokio::task::JoinSet;

/// Returns the bytes of an update of a gateway with a full queue of 600 organisations in three
/// priorities.
fn update_bytes(gateways: usize) -> usize {
    let (from, service) = ("gateway-000".to_string(), "model".to_string());
    let entries = (0..600).map(|index| DemandEntry {
        priority: (index % 3) as u8,
        organisation: Some(u32::MAX - index),
        waiting: if index < 200 { 2 } else { 1 },
        arrived: 1,
    });
    let listed = entry_limit(gateways, from.len() + service.len(), 3);
    let own = OwnDemand { entries: entries.collect(), listed, ..OwnDemand::default() };
    let update = DemandUpdate { from, service, entries: own.listed_entries() };
    postcard::to_stdvec(&UpdateMessage::Demand(update)).unwrap().len()
}

/// The exchange must not take the bandwidth of a gateway.
#[test]
fn bounded_bandwidth() {
    for gateways in [16, 24, 350] {
        let seconds = (update_interval(gateways) * SEND_INTERVALS).as_secs_f64();
        let rate = (gateways - 1) as f64 * update_bytes(gateways) as f64 / seconds;
        assert!(rate <= 8_192.0, "{gateways}: {rate} bytes per second");
    }
}

/// A fragmented update would be lost with any of its fragments.
#[test]
fn one_packet() {
    assert!(update_bytes(2) < 1_400, "{} bytes", update_bytes(2));
}

/// Gateways that wait for the same servers must know of each other's demand: each admits its part
/// of the free capacity, and says so once it hears the other.
#[tokio::test(flavor = "multi_thread")]
async fn demand_exchanged() {
    let site = Arc::new(Site::with_sizes(2, 1, 1).await);
    // With the cost model of an engine, the number of its streams is limited.
    let services = [("model", Some((1, 8, 8))), ("booking", None)]
        .map(|(name, experts)| ServiceConfig { name: name.to_string(), experts });
    let keys = [("org", KEY), ("other", OTHER_KEY)];
    site.store.put(CONFIG_KIND, "main", encode_config(2, &routes(), &services, &keys));
    site.wait_propagated().await;
    let mut calls = JoinSet::new();
    for index in 0..60 {
        if index == 2 {
            // Streams are limited once the time between events has been measured.
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        let site = Arc::clone(&site);
        let key = if index % 3 == 0 { KEY } else { OTHER_KEY };
        calls.spawn(async move {
            site.call_at(index % 2, "/draft/stream/60", &format!("a{index}"), Some(key)).await
        });
    }
    let answers = calls.join_all().await;
    assert!(answers.iter().any(|answer| answer.complete), "{}", site.all_logs());
    let lines = [site.log_lines("demand-division"), site.log_lines("gate-refused")].concat();
    for gateway in ["edge-1", "edge-2"] {
        // Without demand of the other gateway the line has no age of it.
        let is_shared = |line: &&String| {
            line.contains(gateway) && line.contains("heard 1") && !line.contains("age_ms none")
        };
        assert!(lines.iter().any(|line| is_shared(&line)), "{gateway}: {}", site.all_logs());
    }
    assert!(site.metrics().await.contains("message=\"demand\""));
}
