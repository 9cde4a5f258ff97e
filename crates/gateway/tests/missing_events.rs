//! Servers that run requests and lose some of the answers while they answer others.

mod support;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cuminpick_standins::site::caller::CallResult;
use cuminpick_standins::site::engine::EngineFault;
use hyper::StatusCode;
use support::KEY;
use support::Site;

/// Time between the requests; first events come after 10 ms, and a stream takes 300 ms.
const INTERVAL: Duration = Duration::from_millis(20);
/// Streams that make the usual times known.
const USUAL_STREAMS: usize = 100;
/// Target for the first event of the route.
const TARGET: Duration = Duration::from_millis(150);

/// Sends streams at [`INTERVAL`], calling `before` with the number of each; returns the answers.
async fn send_streams(
    site: &Arc<Site>,
    name: &str,
    count: usize,
    mut before: impl FnMut(usize),
) -> Vec<CallResult> {
    let mut calls = Vec::new();
    for number in 0..count {
        before(number);
        let site = Arc::clone(site);
        let attempt = format!("{name}-{number}");
        calls.push(tokio::spawn(async move {
            site.call_at(0, "/draft/stream/30", &attempt, Some(KEY)).await
        }));
        tokio::time::sleep(INTERVAL).await;
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.unwrap());
    }
    answers
}

/// Guards against first events that come after 700 ms or never because a server that answers
/// other requests is not silent.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers() {
    let site = Arc::new(Site::with_sizes(1, 4, 1).await);
    send_streams(&site, "usual", USUAL_STREAMS, |_| {}).await;
    let faulty = site.engines[0].clone();
    let answers = send_streams(&site, "lossy", 100, |number| {
        if number % 20 == 0 {
            faulty.inject_fault(EngineFault::Hang);
        }
    })
    .await;
    let logged = site.log_lines("first-event-missing");
    assert!(logged.len() >= 3, "{logged:?}");
    assert!(answers.iter().all(|answer| answer.complete), "{}", site.all_logs());
    let late: Vec<Duration> = answers
        .iter()
        .filter_map(|answer| answer.time_to_first_byte)
        .filter(|time| *time > TARGET + Duration::from_millis(50))
        .collect();
    assert!(late.is_empty(), "{late:?}");
    for line in &logged {
        assert!(line.contains("\"server\":\"model-0\""), "{line}");
    }
    assert!(site.metrics().await.contains("cuminpick_missing_first_events_total"));
}

/// Guards against a service that is slow as a whole and gets all of its streams twice: at most one
/// in ten streams is sent again, and ten more in two seconds.
#[tokio::test(flavor = "multi_thread")]
async fn slow_service() {
    let site = Arc::new(Site::with_sizes(1, 3, 1).await);
    send_streams(&site, "usual", USUAL_STREAMS, |_| {}).await;
    let started = Instant::now();
    let sent = 150;
    // The streams that run go on, and all that begin come late.
    site.engines.iter().for_each(|engine| engine.delay_answers(Duration::from_millis(300)));
    let answers = send_streams(&site, "slow", sent, |_| {}).await;
    let windows = (started.elapsed().as_secs_f64() / 2.0).ceil();
    let again = site.log_lines("first-event-missing").len();
    assert!(again as f64 <= sent as f64 * 0.1 + 10.0 * windows, "{again} of {sent}");
    let complete = answers
        .iter()
        .filter(|answer| answer.status == Some(StatusCode::OK) && answer.complete)
        .count();
    assert_eq!(complete, sent, "{}", site.all_logs());
}
