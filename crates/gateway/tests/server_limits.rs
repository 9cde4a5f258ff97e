//! Servers that state how many requests a second they take from all gateways together.

mod support;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cuminpick::routing::ServerState;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_standins::site::engine::EngineFault;
use cuminpick_standins::site::engine::SiteEngine;
use hyper::StatusCode;
use support::KEY;
use support::Site;

/// Window over which the platform counts the requests of a server.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first statement of a limit from which it must hold.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Sends a request every `interval` to each of the given gateways; returns how many were
/// served and how many were sent.
async fn send_steadily(
    site: &Arc<Site>,
    gateways: &[usize],
    interval: Duration,
    duration: Duration,
) -> (usize, usize) {
    let started = Instant::now();
    let mut calls = Vec::new();
    let mut number = 0;
    while started.elapsed() < duration {
        for gateway in gateways.iter().copied() {
            let site = Arc::clone(site);
            let attempt = format!("{gateway}-{number}-{:?}", started);
            number += 1;
            calls.push(tokio::spawn(async move {
                site.call_at(gateway, "/draft/stream/3", &attempt, Some(KEY)).await
            }));
        }
        tokio::time::sleep(interval).await;
    }
    let sent = calls.len();
    let mut served = 0;
    for call in calls {
        let answer = call.await.unwrap();
        served += usize::from(answer.status == Some(StatusCode::OK) && answer.complete);
    }
    (served, sent)
}

/// Returns the most requests that a server got in a window that begins after `from`.
fn busiest_window(engine: &SiteEngine, from: Instant) -> usize {
    let mut times = engine.arrivals();
    times.retain(|at| *at >= from);
    let in_window = |start: &Instant| {
        times.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Returns the requests that the platform allows a server in a window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

/// Guards against a server that gets far more requests than the limit that it states, summed
/// over gateways with unequal loads; the other servers take the rest.
#[tokio::test(flavor = "multi_thread")]
async fn limit_kept() {
    let site = Arc::new(Site::with_sizes(3, 4, 1).await);
    let limit = 3.0;
    site.engines[0].state_limit(Some(limit));
    let from = Instant::now() + STABLE_TIME;
    let duration = STABLE_TIME + WINDOW + Duration::from_secs(1);
    let interval = Duration::from_millis(60);
    let (served, sent) = send_steadily(&site, &[0, 0, 1, 2], interval, duration).await;
    assert_eq!(served, sent);
    let most = busiest_window(&site.engines[0], from);
    assert!(most <= allowed(limit), "{most} requests where {} are allowed", allowed(limit));
    assert!(most as f64 >= 0.5 * limit * WINDOW.as_secs_f64(), "only {most} requests");
}

/// When all servers of a service state limits and more comes than they take, the rest is
/// rejected promptly with the time until a server takes more, and each limit is kept.
#[tokio::test(flavor = "multi_thread")]
async fn all_limited() {
    let site = Arc::new(Site::with_sizes(2, 3, 1).await);
    let limit = 2.0;
    site.engines.iter().for_each(|engine| engine.state_limit(Some(limit)));
    let from = Instant::now() + STABLE_TIME;
    let duration = STABLE_TIME + WINDOW;
    let interval = Duration::from_millis(100);
    let (served, sent) = send_steadily(&site, &[0, 1], interval, duration).await;
    assert!(served < sent);
    for engine in &site.engines {
        let most = busiest_window(engine, from);
        assert!(most <= allowed(limit), "{most} requests where {} are allowed", allowed(limit));
        assert!(most as f64 >= 0.5 * limit * WINDOW.as_secs_f64(), "only {most} requests");
    }
    let mut rejected = Vec::new();
    for number in 0..20 {
        let answer = site.call("/draft/stream/3", &format!("more-{number}")).await;
        if answer.status == Some(StatusCode::SERVICE_UNAVAILABLE) {
            rejected.push(answer);
        }
    }
    assert!(!rejected.is_empty());
    for answer in rejected {
        let retry_after: f64 = answer.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(retry_after > 0.0 && retry_after <= 2.0 / limit, "{answer:?}");
        assert!(answer.took < Duration::from_millis(300), "{answer:?}");
        assert!(answer.body.contains("\"ran\":\"no\""));
    }
}

/// A limit ends when the server's answers state none any more.
#[tokio::test(flavor = "multi_thread")]
async fn limit_lifted() {
    let site = Arc::new(Site::with_sizes(2, 2, 1).await);
    site.engines[0].state_limit(Some(0.0));
    let interval = Duration::from_millis(50);
    send_steadily(&site, &[0, 1], interval, Duration::from_secs(2)).await;
    let limited = site.engines[0].ledger().len();
    site.engines[0].state_limit(None);
    send_steadily(&site, &[0, 1], interval, Duration::from_secs(5)).await;
    let later = site.engines[0].ledger().len() - limited;
    assert!(later > 20, "{limited} requests under the limit, {later} later");
}

/// Guards against a limit that is lifted by a refusal, which need not name it.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_between() {
    let site = Arc::new(Site::with_sizes(2, 2, 1).await);
    site.engines[0].state_limit(Some(2.0));
    let interval = Duration::from_millis(50);
    send_steadily(&site, &[0, 1], interval, Duration::from_secs(1)).await;
    site.engines[0].inject_fault(EngineFault::Full);
    send_steadily(&site, &[0, 1], interval, Duration::from_secs(2)).await;
    assert!(site.engines[0].arrivals().len() > site.engines[0].ledger().len());
    let changes = site.log_lines("limit-changed");
    assert!(changes.iter().all(|line| !line.contains("none")), "{changes:?}");
}

/// Guards against a limit that is forgotten when the server's record is missing for a moment,
/// as it may be after the store was away.
#[tokio::test(flavor = "multi_thread")]
async fn record_lapses() {
    let site = Arc::new(Site::with_sizes(2, 2, 1).await);
    let limit = 0.5;
    site.engines[0].state_limit(Some(limit));
    let interval = Duration::from_millis(50);
    send_steadily(&site, &[0, 1], interval, STABLE_TIME).await;
    let from = Instant::now();
    site.store.remove(SERVER_KIND, "model-0");
    site.wait_propagated().await;
    site.set_server_state("model-0", ServerState::Ready);
    site.wait_propagated().await;
    let burst = [[0; 20], [1; 20]].concat();
    send_steadily(&site, &burst, interval, interval / 2).await;
    let most = busiest_window(&site.engines[0], from);
    assert!(most <= allowed(limit), "{most} requests where {} are allowed", allowed(limit));
}
