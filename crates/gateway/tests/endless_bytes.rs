//! A server or the store sends bytes without end: the gateway's memory and the time to an
//! answer stay bounded.

mod support;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use cuminpick::store_history::StorePosition;
use cuminpick_platform::call::CallClient;
use cuminpick_platform::engine::EngineClient;
use cuminpick_platform::platform_side::sealed_headers;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store_era::EraTracker;
use cuminpick_standins::site::flood::FloodKind;
use cuminpick_standins::site::flood::FloodServer;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use support::KEY;
use support::Site;

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Concurrent requests to the flooding server.
const CALLERS: usize = 12;
/// Memory that the gateway may use meanwhile: far below the 160 MB of the smallest VM that
/// accepts callers.
const MAX_MEMORY_MB: f64 = 60.0;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time after its deadline by which a request must be answered.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(500);

/// Returns the headers of an answer that passes the gateway's checks.
fn valid_headers(attempt: &str) -> String {
    let headers = sealed_headers(attempt, "seal");
    let lines =
        headers.iter().map(|(name, value)| format!("{name}: {}\r\n", value.to_str().unwrap()));
    lines.collect()
}

/// Floods a gateway on a stream route and a plain route: callers get their answers in time,
/// memory stays bounded, the connections are closed, and the gateway still serves.
async fn flood_gateway(kind: FloodKind, slow: bool) {
    let site = std::sync::Arc::new(Site::with_sizes(1, 0, 1).await);
    let (flood, address) =
        FloodServer::start(LOOPBACK, kind, slow, &valid_headers("same")).await.unwrap();
    site.register_server("model", "flood-model", address);
    site.store.remove(SERVER_KIND, "booking-0");
    site.register_server("booking", "flood-booking", address);
    site.wait_propagated().await;
    for path in ["/draft/stream/3", "/look/x"] {
        let calls: Vec<_> = (0..CALLERS)
            .map(|_| {
                let site = std::sync::Arc::clone(&site);
                tokio::spawn(async move { site.call_with(path, "same", Some(KEY), DEADLINE).await })
            })
            .collect();
        for call in calls {
            let answer = call.await.unwrap();
            assert!(
                answer.took < DEADLINE + DEADLINE_TOLERANCE,
                "{kind:?} {path}: {:?}",
                answer.took
            );
            // A plain answer is complete once its stated length has arrived.
            let whole = kind == FloodKind::PastLength && path == "/look/x";
            let failed = answer.status != Some(StatusCode::OK) || !answer.complete;
            assert!(whole || failed, "{kind:?} {path}: {:?}", answer.status);
        }
        assert!(site.memory_mb() < MAX_MEMORY_MB, "{kind:?}: {} MB", site.memory_mb());
    }
    let started = Instant::now();
    while flood.open() > 0 {
        assert!(started.elapsed() < Duration::from_secs(3), "{kind:?}: {} open", flood.open());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let (_engine, address) =
        cuminpick_standins::site::engine::SiteEngine::start("healthy", LOOPBACK, None)
            .await
            .unwrap();
    site.store.remove(SERVER_KIND, "flood-booking");
    site.register_server("booking", "healthy", address);
    site.wait_propagated().await;
    let answer = site.call("/look/x", "after").await;
    assert_eq!(answer.status, Some(StatusCode::OK), "{kind:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn fast_heads() {
    for kind in &FloodKind::ALL[..4] {
        flood_gateway(*kind, false).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn fast_bodies() {
    for kind in &FloodKind::ALL[4..8] {
        flood_gateway(*kind, false).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn fast_events() {
    for kind in &FloodKind::ALL[8..] {
        flood_gateway(*kind, false).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_bytes() {
    let runs = FloodKind::ALL.map(|kind| tokio::spawn(flood_gateway(kind, true)));
    for run in runs {
        run.await.unwrap();
    }
}

/// Plain calls, an engine's reports and counts, and the store's watches and listings.
#[tokio::test(flavor = "multi_thread")]
async fn control_calls() {
    const WAIT: Duration = Duration::from_millis(400);
    const START: StorePosition = StorePosition { era: 0, revision: 1 };
    const MAX_ANSWER_BYTES: usize = 1 << 16;
    /// What the kernel buffers besides.
    const KERNEL_BUFFER_BYTES: u64 = 8 << 20;
    for kind in FloodKind::ALL {
        for slow in [false, true] {
            let (flood, address) = FloodServer::start(LOOPBACK, kind, slow, "").await.unwrap();
            let whole = kind == FloodKind::PastLength;
            let started = Instant::now();
            let request =
                Request::builder().uri("/x").header("host", "x").body(Full::default()).unwrap();
            let answer = CallClient::new(address).call(request, WAIT, MAX_ANSWER_BYTES).await;
            assert!(whole || answer.is_err(), "{kind:?} {slow}");
            let mut engine = EngineClient::new(address);
            assert!(whole || engine.report().await.is_err(), "{kind:?} {slow}");
            assert!(engine.counts().await.is_err());
            let store = StoreClient::new(address, EraTracker::default());
            assert!(store.watch(SERVER_KIND, START, WAIT).await.is_err());
            assert!(store.list(SERVER_KIND, ReadMode::Linearizable).await.is_err());
            assert!(started.elapsed() < Duration::from_secs(6), "{kind:?} {slow}");
            assert!(
                flood.sent() < 5 * KERNEL_BUFFER_BYTES,
                "{kind:?} {slow}: {} bytes",
                flood.sent()
            );
        }
    }
}
