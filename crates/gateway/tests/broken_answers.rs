//! Failing servers: which requests the gateway sends again, and what it answers the caller.

mod support;

use std::time::Duration;

use cuminpick_platform::platform_side::seal_of;
use cuminpick_standins::site::caller::stream_text;
use cuminpick_standins::site::engine::EngineFault;
use hyper::StatusCode;
use support::Site;

fn fault_all(site: &Site, fault: EngineFault) {
    for server in site.engines.iter().chain(&site.bookings) {
        server.inject_fault(fault);
    }
}

/// A booking that may have run is not sent again, and its answer does not claim that it did
/// not run.
#[tokio::test(flavor = "multi_thread")]
async fn booking_at_most_once() {
    let site = Site::start().await;
    let faults = [
        EngineFault::LostAnswer,
        EngineFault::OtherRequest,
        EngineFault::Unsigned,
        EngineFault::BusyAfterRun,
    ];
    for (index, fault) in faults.into_iter().enumerate() {
        fault_all(&site, fault);
        let attempt = format!("a{index}");
        let answer = site.call("/book/x", &attempt).await;
        assert_eq!(answer.status, Some(StatusCode::BAD_GATEWAY), "{fault:?}");
        assert!(seal_of(&answer.headers).is_none());
        assert_eq!(site.runs_of_attempt(&attempt), 1, "{fault:?}");
        // The other server still has its fault.
        site.call("/look/x", &format!("b{index}")).await;
        site.call("/look/x", &format!("c{index}")).await;
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_refused() {
    let site = Site::start().await;
    fault_all(&site, EngineFault::Full);
    let answer = site.call("/book/x", "a1").await;
    assert_eq!(answer.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(site.runs_of_attempt("a1"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_times_out() {
    let site = Site::start().await;
    fault_all(&site, EngineFault::Hang);
    let answer = site.call_with("/book/x", "a1", Some(support::KEY), Duration::from_secs(5)).await;
    assert_eq!(answer.status, Some(StatusCode::GATEWAY_TIMEOUT));
    assert!(answer.took < Duration::from_millis(2_400), "{:?}", answer.took);
    assert_eq!(site.runs_of_attempt("a1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lookup_retried() {
    let site = Site::start().await;
    let faults = [
        EngineFault::LostAnswer,
        EngineFault::OtherRequest,
        EngineFault::Unsigned,
        EngineFault::Error,
        EngineFault::Hang,
    ];
    for (index, fault) in faults.into_iter().enumerate() {
        site.bookings[0].inject_fault(fault);
        for call in 0..4 {
            let answer = site.call("/look/x", &format!("a{index}-{call}")).await;
            assert_eq!(answer.status, Some(StatusCode::OK), "{fault:?}");
        }
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
}

/// A server's own error is forwarded with its signature when no attempt is left.
#[tokio::test(flavor = "multi_thread")]
async fn failure_forwarded() {
    let site = Site::start().await;
    fault_all(&site, EngineFault::Error);
    let answer = site.call("/look/x", "a1").await;
    assert_eq!(answer.status, Some(StatusCode::INTERNAL_SERVER_ERROR));
    assert!(seal_of(&answer.headers).is_some());
    assert_eq!(site.runs_of_attempt("a1"), 2);
}

/// A stream that is interrupted inside an event is resumed at another server; the caller
/// gets one complete stream with the first server's signature.
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed() {
    let site = Site::start().await;
    for after in [1, 3, 5] {
        for engine in &site.engines {
            engine.inject_fault(EngineFault::CutAfter(after));
        }
        let attempt = format!("a{after}");
        let first = site.call("/draft/stream/6", &attempt).await;
        // All servers have the fault, so the second attempt is interrupted as well.
        let whole = stream_text(6);
        assert!(whole.starts_with(&first.body), "{}", first.body);
        assert!(first.complete == (first.body == whole));
        assert_eq!(site.runs_of_attempt(&attempt), 2);
        for index in 0..3 {
            site.call("/draft/stream/1", &format!("clear-{after}-{index}")).await;
        }
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
    let mut resumed = 0;
    for index in 0..6 {
        site.engines[0].inject_fault(EngineFault::CutAfter(2));
        let answer = site.call("/draft/stream/6", &format!("b{index}")).await;
        assert!(answer.complete);
        assert_eq!(answer.body, stream_text(6));
        resumed += u32::from(site.runs_of_attempt(&format!("b{index}")) == 2);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert!(resumed > 0, "no stream was resumed");
}

/// A stream that fails before its first event is answered by another server.
#[tokio::test(flavor = "multi_thread")]
async fn stream_before_first_event() {
    let site = Site::start().await;
    site.engines[0].inject_fault(EngineFault::CutAfter(0));
    for index in 0..4 {
        let answer = site.call("/draft/stream/3", &format!("a{index}")).await;
        assert_eq!(answer.body, stream_text(3));
        assert!(answer.complete);
    }
}

/// The VM of one server freezes: its streams, started or not, continue at other servers
/// before their callers time out.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_server() {
    let site = std::sync::Arc::new(Site::start().await);
    let call = |number: usize, events: u64| {
        let site = std::sync::Arc::clone(&site);
        tokio::spawn(async move {
            site.call(&format!("/draft/stream/{events}"), &format!("f{number}")).await
        })
    };
    let mut calls: Vec<_> = (0..9).map(|number| (call(number, 40), 40)).collect();
    tokio::time::sleep(Duration::from_millis(150)).await;
    site.engines[0].set_frozen(true);
    // Events of further streams show that only this server is silent.
    for number in 9..35 {
        calls.push((call(number, 10), 10));
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    for (call, events) in calls {
        let answer = call.await.unwrap();
        assert!(answer.complete, "{answer:?}");
        assert_eq!(answer.body, stream_text(events));
    }
    site.engines[0].set_frozen(false);
}

/// A request that is sent again carries the time that is left, and reaches no more servers
/// than its route allows, whichever fault they have.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_handed_on() {
    let site = Site::start().await;
    let faults = [EngineFault::Hang, EngineFault::LostAnswer, EngineFault::Error];
    for (index, fault) in faults.into_iter().enumerate() {
        fault_all(&site, fault);
        let attempt = format!("a{index}");
        site.call_with("/look/x", &attempt, Some(support::KEY), Duration::from_millis(1_900)).await;
        let ledgers = site.bookings.iter().flat_map(|server| server.ledger());
        let runs: Vec<_> =
            ledgers.filter(|run| run.head.attempt_id.as_deref() == Some(&attempt)).collect();
        assert!(runs.len() <= 2, "{fault:?}: {} runs", runs.len());
        let mut left: Vec<_> = runs.iter().map(|run| run.head.time_left.unwrap()).collect();
        left.sort_unstable();
        assert!(left.iter().all(|left| *left <= Duration::from_millis(1_900)));
        if fault == EngineFault::Hang {
            assert_eq!(left.len(), 2);
            assert!(left[1] - left[0] >= Duration::from_millis(290), "{left:?}");
        }
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
}

/// Guards against a stream that ran, failed and is then refused as not run, since its service
/// has lost a server and refuses all streams.
#[tokio::test(flavor = "multi_thread")]
async fn failed_probe() {
    let site = Site::with_sizes(1, 2, 1).await;
    for fault in [EngineFault::Full; 8].into_iter().chain([EngineFault::Error; 100]) {
        site.engines[0].inject_fault(fault);
    }
    let mut failed = 0;
    for number in 0..80 {
        site.engines[1].crash();
        let attempt = format!("probe-{number}");
        let answer = site.call("/draft/stream/3", &attempt).await;
        let runs = site.runs_of_attempt(&attempt);
        failed += usize::from(runs > 0);
        let says_not_run = answer.status == Some(StatusCode::SERVICE_UNAVAILABLE);
        assert!(!says_not_run || runs == 0, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(failed > 0, "no stream ran");
}
