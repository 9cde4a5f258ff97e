//! One of two groups of a service is lost: its streams go on at the other one, and new ones are
//! served there. Before groups were units of capacity, the whole service counted as lost.

mod support;

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cuminpick::routing::RepeatRule;
use cuminpick::routing::RouteRule;
use cuminpick::updates::CrashNotice;
use cuminpick::updates::CrashUpdate;
use cuminpick::updates::GroupMembers;
use cuminpick::updates::GroupState;
use cuminpick::updates::UpdateMessage;
use cuminpick_standins::site::caller::CallResult;
use cuminpick_standins::site::caller::stream_text;
use support::Site;
use support::route;
use tokio::task::JoinHandle;

/// Streams that run when the group is lost; half of them at each group.
const STREAMS: usize = 12;
/// Longest delay of a stream that is moved: 250 ms until silence counts, and the start at another
/// server. Until a server is found silent by itself, 700 ms pass.
const MAX_DELAY: Duration = Duration::from_millis(650);
/// Events of a long stream, which takes a second.
const EVENTS: u64 = 100;

fn members(site: &Site, group: &str, epoch: u64, engines: Range<usize>) -> GroupMembers {
    let ranks = engines.map(|index| site.record(&format!("model-{index}")).address).collect();
    GroupMembers {
        service: "model".to_string(),
        group: group.to_string(),
        term: 1,
        epoch,
        state: GroupState::Open,
        ranks,
    }
}

fn send_message(to: SocketAddr, message: &UpdateMessage) {
    let bytes = postcard::to_stdvec(message).unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&bytes, to).unwrap();
}

fn send_members(to: SocketAddr, members: &GroupMembers) {
    send_message(to, &UpdateMessage::Members(members.clone()));
}

/// Starts a site with four engines. Streams may take longer than those of other tests, since a busy
/// host slows them.
async fn start_site() -> Arc<Site> {
    let site = Site::with_sizes(1, 4, 1).await;
    let slow = RouteRule {
        timeout: Duration::from_secs(8),
        ..route("draft", "model", RepeatRule::ResumableStream)
    };
    site.configure(2, &[slow]);
    site.wait_propagated().await;
    Arc::new(site)
}

/// Starts a site with two groups of two engines each.
async fn start_groups() -> Arc<Site> {
    let site = start_site().await;
    send_members(site.peer_address(0), &members(&site, "a", 1, 0..2));
    send_members(site.peer_address(0), &members(&site, "b", 1, 2..4));
    wait_for_lines(&site, "group-known", 2).await;
    site
}

/// Waits until the gateways have logged an event a number of times; returns the lines.
async fn wait_for_lines(site: &Site, event: &str, count: usize) -> Vec<String> {
    let started = Instant::now();
    loop {
        let lines = site.log_lines(event);
        if lines.len() >= count {
            return lines;
        }
        assert!(started.elapsed() < Duration::from_secs(5), "{event}\n{}", site.all_logs());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn start_streams(site: &Arc<Site>, name: &str, count: usize) -> Vec<JoinHandle<CallResult>> {
    let start = |index| {
        let (site, attempt) = (Arc::clone(site), format!("{name}-{index}"));
        let path = format!("/draft/stream/{EVENTS}");
        tokio::spawn(async move { site.call(&path, &attempt).await })
    };
    (0..count).map(start).collect()
}

/// Waits for streams; returns the difference between the longest and the shortest time that they
/// took, which is the delay of those that were moved.
async fn expect_complete(site: &Site, streams: Vec<JoinHandle<CallResult>>) -> Duration {
    let mut times = Vec::new();
    for stream in streams {
        let result = stream.await.unwrap();
        let status = result.status.map(|status| status.as_u16());
        assert_eq!(status, Some(200), "{}", site.all_logs());
        assert!(result.complete, "{}", site.all_logs());
        assert_eq!(result.body, stream_text(EVENTS));
        times.push(result.took);
    }
    times.iter().max().copied().unwrap_or_default()
        - times.iter().min().copied().unwrap_or_default()
}

fn arrivals(site: &Site, engines: Range<usize>) -> usize {
    site.engines[engines].iter().map(|engine| engine.arrivals().len()).sum()
}

fn freeze_group(site: &Site, frozen: bool) {
    for engine in &site.engines[0..2] {
        engine.set_frozen(frozen);
    }
}

/// The leader reports that the group is broken, while its engines stall.
#[tokio::test(flavor = "multi_thread")]
async fn reported_loss() {
    let site = start_groups().await;
    let running = start_streams(&site, "running", STREAMS);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(arrivals(&site, 0..2) > 0, "the choice used one group only");
    freeze_group(&site, true);
    let broken = GroupMembers { state: GroupState::Broken, ..members(&site, "a", 1, 0..2) };
    send_members(site.peer_address(0), &broken);
    wait_for_lines(&site, "group-state", 1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let arrived_before = arrivals(&site, 0..2);
    let new = start_streams(&site, "new", 4);
    let delay = expect_complete(&site, running).await;
    assert!(delay < MAX_DELAY, "{delay:?}\n{}", site.all_logs());
    expect_complete(&site, new).await;
    assert_eq!(arrivals(&site, 0..2), arrived_before, "a lost group got new streams");
    freeze_group(&site, false);
    send_members(site.peer_address(0), &members(&site, "a", 2, 0..2));
    wait_for_lines(&site, "group-state", 2).await;
    expect_complete(&site, start_streams(&site, "later", STREAMS)).await;
    assert!(arrivals(&site, 0..2) > arrived_before, "{}", site.all_logs());
    assert_eq!(site.log_lines("group-state").len(), 2, "{}", site.all_logs());
}

/// No leader reports that the group stalls: its silence shows it.
#[tokio::test(flavor = "multi_thread")]
async fn silent_loss() {
    let site = start_groups().await;
    let running = start_streams(&site, "running", STREAMS);
    tokio::time::sleep(Duration::from_millis(300)).await;
    freeze_group(&site, true);
    let delay = expect_complete(&site, running).await;
    assert!(delay < MAX_DELAY, "{delay:?}\n{}", site.all_logs());
    let states = site.log_lines("group-state");
    assert!(states[0].contains("events-stopped"), "{states:?}");
}

/// The crash of one rank is known at once, and concerns the streams of the other ranks as well.
#[tokio::test(flavor = "multi_thread")]
async fn crashed_rank() {
    let site = start_groups().await;
    let running = start_streams(&site, "running", STREAMS);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.engines[1].set_frozen(true);
    site.engines[0].crash();
    let states = wait_for_lines(&site, "group-state", 1).await;
    assert!(states[0].contains("server-crashed"), "{states:?}");
    let delay = expect_complete(&site, running).await;
    assert!(delay < MAX_DELAY, "{delay:?}\n{}", site.all_logs());
}

/// Another gateway has noticed the crash of a rank. An old notice, which gateways repeat, shows
/// nothing.
#[tokio::test(flavor = "multi_thread")]
async fn crash_notice() {
    let site = start_groups().await;
    expect_complete(&site, start_streams(&site, "first", STREAMS)).await;
    let notify = |index: usize, age_ms| {
        let record = site.record(&format!("model-{index}"));
        let (server, started_ms) = (record.id, record.started_ms);
        let notice = CrashNotice { digest: 7, server, started_ms, age_ms };
        let update = CrashUpdate { crashes: vec![notice], answered: Vec::new() };
        send_message(site.peer_address(0), &UpdateMessage::Crashes(update));
    };
    notify(2, 30_000);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(site.log_lines("group-state").is_empty(), "{}", site.all_logs());
    notify(0, 20);
    let states = wait_for_lines(&site, "group-state", 1).await;
    assert!(states.len() == 1 && states[0].contains("\"group\":\"a\""), "{states:?}");
    let arrived_before = arrivals(&site, 0..2);
    expect_complete(&site, start_streams(&site, "new", 6)).await;
    assert_eq!(arrivals(&site, 0..2), arrived_before);
}

/// With one known group, or none, a service is one unit: no stream is moved because of a message.
#[tokio::test(flavor = "multi_thread")]
async fn single_group() {
    let site = start_site().await;
    send_members(site.peer_address(0), &members(&site, "a", 1, 0..2));
    wait_for_lines(&site, "group-known", 1).await;
    let running = start_streams(&site, "running", STREAMS / 2);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let broken = GroupMembers { state: GroupState::Broken, ..members(&site, "a", 1, 0..2) };
    send_members(site.peer_address(0), &broken);
    wait_for_lines(&site, "group-known", 2).await;
    expect_complete(&site, running).await;
    assert!(site.log_lines("group-state").is_empty());
    assert!(site.log_lines("attempt-failed").is_empty());
}

/// A gateway that starts learns the groups from the others, before leaders send them again.
#[tokio::test(flavor = "multi_thread")]
async fn groups_inherited() {
    let mut site = Site::with_sizes(2, 4, 1).await;
    send_members(site.peer_address(0), &members(&site, "a", 1, 0..2));
    send_members(site.peer_address(0), &members(&site, "b", 1, 2..4));
    wait_for_lines(&site, "group-known", 2).await;
    site.restart(1).await;
    wait_for_lines(&site, "group-known", 4).await;
}

/// At the design size a gateway receives at most 2.2 KB/s of these messages: 150 groups of 32 ranks,
/// whose leaders send every 21 s to 350 gateways.
#[test]
fn message_size() {
    let ranks = (0..32u8).map(|rank| SocketAddr::from(([10, 77, 3, rank], 40_000))).collect();
    let members = GroupMembers {
        service: "model-large".to_string(),
        group: "model-large-17".to_string(),
        term: 1_000,
        epoch: 20,
        state: GroupState::Open,
        ranks,
    };
    let view_bytes = serde_json::to_vec(&members).unwrap().len();
    assert!(view_bytes < 1_000, "{view_bytes} bytes");
    let message = UpdateMessage::Members(members);
    let bytes = postcard::to_stdvec(&message).unwrap().len();
    assert!(bytes as f64 * 150.0 / 21.0 < 2_200.0, "{bytes} bytes");
}
