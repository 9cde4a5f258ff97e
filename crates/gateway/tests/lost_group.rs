//! One of two groups of a service is lost: its streams go on at the other one, and new ones are
//! served there. Before groups were units of capacity, the whole service counted as lost.

mod support;

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cuminpick::updates::CrashNotice;
use cuminpick::updates::CrashUpdate;
use cuminpick::updates::GroupMembers;
use cuminpick::updates::GroupState;
use cuminpick::updates::UpdateMessage;
use cuminpick_standins::site::caller::CallResult;
use cuminpick_standins::site::caller::stream_text;
use support::Site;
use support::routes;
use tokio::task::JoinHandle;

/// Streams that run when the group is lost; half of them at each group.
const STREAMS: usize = 12;
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

/// Starts a site with two groups of two engines each.
async fn start_groups() -> Arc<Site> {
    let site = Site::with_sizes(1, 4, 1).await;
    send_members(site.peer_address(0), &members(&site, "a", 1, 0..2));
    send_members(site.peer_address(0), &members(&site, "b", 1, 2..4));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(site.log_lines("group-known").len(), 2, "{}", site.all_logs());
    Arc::new(site)
}

fn start_streams(site: &Arc<Site>, name: &str, count: usize) -> Vec<JoinHandle<CallResult>> {
    let start = |index| {
        let (site, attempt) = (Arc::clone(site), format!("{name}-{index}"));
        let path = format!("/draft/stream/{EVENTS}");
        tokio::spawn(async move { site.call(&path, &attempt).await })
    };
    (0..count).map(start).collect()
}

/// Waits for streams; returns the longest time that one took.
async fn expect_complete(site: &Site, streams: Vec<JoinHandle<CallResult>>) -> Duration {
    let mut longest = Duration::ZERO;
    for stream in streams {
        let result = stream.await.unwrap();
        let status = result.status.map(|status| status.as_u16());
        assert_eq!(status, Some(200), "{}", site.all_logs());
        assert!(result.complete, "{}", site.all_logs());
        assert_eq!(result.body, stream_text(EVENTS));
        longest = longest.max(result.took);
    }
    longest
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
    tokio::time::sleep(Duration::from_millis(100)).await;
    let arrived_before = arrivals(&site, 0..2);
    let new = start_streams(&site, "new", 4);
    let longest = expect_complete(&site, running).await;
    assert!(longest < Duration::from_millis(1_700), "{longest:?}\n{}", site.all_logs());
    expect_complete(&site, new).await;
    assert_eq!(arrivals(&site, 0..2), arrived_before, "a lost group got new streams");
    freeze_group(&site, false);
    send_members(site.peer_address(0), &members(&site, "a", 2, 0..2));
    tokio::time::sleep(Duration::from_millis(50)).await;
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
    let longest = expect_complete(&site, running).await;
    // A second for the events, and 250 ms until the silence counts. A stream whose server was
    // found silent as a single one came 700 ms after its last event.
    assert!(longest < Duration::from_millis(1_700), "{longest:?}\n{}", site.all_logs());
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
    tokio::time::sleep(Duration::from_millis(150)).await;
    let states = site.log_lines("group-state");
    assert!(states.iter().any(|line| line.contains("server-crashed")), "{}", site.all_logs());
    let longest = expect_complete(&site, running).await;
    assert!(longest < Duration::from_millis(1_700), "{longest:?}\n{}", site.all_logs());
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
    tokio::time::sleep(Duration::from_millis(50)).await;
    let states = site.log_lines("group-state");
    assert!(states.len() == 1 && states[0].contains("\"group\":\"a\""), "{states:?}");
    let arrived_before = arrivals(&site, 0..2);
    expect_complete(&site, start_streams(&site, "new", 6)).await;
    assert_eq!(arrivals(&site, 0..2), arrived_before);
}

/// With one known group, or none, a service is one unit: no stream is moved because of a message.
#[tokio::test(flavor = "multi_thread")]
async fn single_group() {
    let site = Arc::new(Site::with_sizes(1, 4, 1).await);
    send_members(site.peer_address(0), &members(&site, "a", 1, 0..2));
    let running = start_streams(&site, "running", STREAMS);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let broken = GroupMembers { state: GroupState::Broken, ..members(&site, "a", 1, 0..2) };
    send_members(site.peer_address(0), &broken);
    expect_complete(&site, running).await;
    assert!(site.log_lines("group-state").is_empty());
    assert!(site.log_lines("attempt-failed").is_empty());
}

/// A gateway that starts learns the groups from the others, before leaders send them again.
#[tokio::test(flavor = "multi_thread")]
async fn groups_inherited() {
    let mut site = Site::with_sizes(2, 4, 1).await;
    site.configure(2, &routes());
    site.wait_propagated().await;
    send_members(site.peer_address(0), &members(&site, "a", 1, 0..2));
    send_members(site.peer_address(0), &members(&site, "b", 1, 2..4));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(site.log_lines("group-known").len(), 2);
    site.restart(1).await;
    let started = Instant::now();
    while site.log_lines("group-known").len() < 4 {
        assert!(started.elapsed() < Duration::from_secs(5), "{}", site.all_logs());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
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
