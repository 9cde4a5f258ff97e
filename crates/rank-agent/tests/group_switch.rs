//! Runs agents as processes with a simulated group of engines. They have to switch the group to
//! better maps, with one map in each pass, also when the leader is killed or paused or the
//! store is unavailable.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cuminpick::routing::ExpertLayout;
use cuminpick::routing::ServerRecord;
use cuminpick::routing::ServerState;
use cuminpick::updates::GroupState;
use cuminpick::updates::UpdateMessage;
use cuminpick_platform::platform_side::ServiceConfig;
use cuminpick_platform::platform_side::encode_config;
use cuminpick_platform::platform_side::encode_server;
use cuminpick_platform::records::GatewayRecord;
use cuminpick_platform::records::LeaderRecord;
use cuminpick_platform::settings::NodeSettings;
use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_platform::store::GATEWAY_KIND;
use cuminpick_platform::store::LEADER_KIND;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_standins::site::engine::SiteEngine;
use cuminpick_standins::site::group::RankGroup;
use cuminpick_standins::site::nodes::NodeProcess;
use cuminpick_standins::site::nodes::agent_settings;
use cuminpick_standins::site::store::SiteStore;
use cuminpick_standins::site::store::StoreMode;
use cuminpick_standins::site::store::StoreReturn;
use tokio::net::UdpSocket;

const LAYOUT: ExpertLayout = ExpertLayout {
    sets: 2,
    experts: 16,
    slots_per_rank: 6,
    max_new_experts: 3,
    copy_time: Duration::from_millis(100),
};
const RANKS: usize = 4;
/// Maximum wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Number of groups that tests of this file have started; gives each its addresses and ports.
static GROUP_COUNT: AtomicU16 = AtomicU16::new(0);

struct TestGroup {
    store: SiteStore,
    group: RankGroup,
    agents: Vec<Option<NodeProcess>>,
    settings: Vec<NodeSettings>,
    directory: PathBuf,
    engines: Vec<SiteEngine>,
}

impl Drop for TestGroup {
    fn drop(&mut self) {
        self.agents.clear();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl TestGroup {
    async fn start() -> TestGroup {
        TestGroup::start_with(RANKS, LAYOUT).await
    }

    async fn start_with(ranks: usize, layout: ExpertLayout) -> TestGroup {
        let group_index = GROUP_COUNT.fetch_add(1, Ordering::Relaxed);
        let (store, store_address) =
            SiteStore::start(IpAddr::V4(Ipv4Addr::LOCALHOST)).await.unwrap();
        let group = RankGroup::start(layout, ranks, 7);
        let directory = std::env::temp_dir()
            .join(format!("cuminpick-agents-{}-{group_index}", std::process::id()));
        let port = 20_000 + (std::process::id() % 20_000) as u16 + group_index * 2;
        let mut engines = Vec::new();
        let mut settings = Vec::new();
        for rank in 0..ranks {
            let ip = IpAddr::V4(Ipv4Addr::new(127, 0, group_index as u8 + 1, rank as u8 + 10));
            let membership = Some((group.clone(), rank));
            let (engine, address) =
                SiteEngine::start(&format!("rank-{rank}"), ip, membership).await.unwrap();
            store.put(
                SERVER_KIND,
                &format!("rank-{rank}"),
                encode_server(&server_record(rank, address)),
            );
            let local_engine = ("model".to_string(), address);
            let node_name = format!("side-{rank}");
            settings.push(agent_settings(&node_name, ip, port, local_engine, store_address));
            engines.push(engine);
            group.count_running(rank, true);
        }
        let experts = Some((layout.sets, layout.experts, layout.slots_per_rank));
        let service = ServiceConfig { name: "model".to_string(), experts };
        store.put(CONFIG_KIND, "main", encode_config(1, &[], &[service], &[]));
        let agents = (0..ranks).map(|_| None).collect();
        let mut started = TestGroup { store, group, agents, settings, directory, engines };
        for rank in 0..ranks {
            started.start_agent(rank);
        }
        started
    }

    /// Adds a second group to the service, with ranks and epoch like the first one and without
    /// agents.
    async fn add_group(&mut self, ranks: usize) -> RankGroup {
        let other = RankGroup::start_named("other", LAYOUT, ranks, 8);
        for rank in 0..ranks {
            let ip = IpAddr::V4(Ipv4Addr::new(127, 1, 1, rank as u8 + 10));
            let membership = Some((other.clone(), rank));
            let id = format!("other-{rank}");
            let (engine, address) = SiteEngine::start(&id, ip, membership).await.unwrap();
            let record = ServerRecord { id: id.clone(), ..server_record(rank, address) };
            self.store.put(SERVER_KIND, &id, encode_server(&record));
            self.engines.push(engine);
        }
        other
    }

    fn start_agent(&mut self, rank: usize) {
        let binary = Path::new(env!("CARGO_BIN_EXE_cuminpick-rank-agent"));
        let agent = NodeProcess::start(binary, &self.settings[rank], &self.directory).unwrap();
        self.agents[rank] = Some(agent);
    }

    /// Returns the rank of the leader in the store.
    fn leader(&self) -> Option<usize> {
        let object = self.store.get(LEADER_KIND, "group")?;
        let holder = LeaderRecord::decode(&object).ok()?.holder;
        holder.strip_prefix("side-")?.parse().ok()
    }

    fn signal(&self, rank: usize, name: &str) {
        self.agents[rank].as_ref().unwrap().signal(name).unwrap();
    }

    /// Waits for `more` further switches; fails if a pass mixes two maps.
    async fn wait_for_switches(&self, more: u64, when: &str) {
        let target = self.group.switches() + more;
        let started = Instant::now();
        while self.group.switches() < target {
            assert_eq!(self.group.mixed_passes(), 0, "mixed maps {when}");
            if started.elapsed() > TIMEOUT {
                panic!("no {more} switches {when}; logs:\n{}", self.logs());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn restart_agent(&mut self, rank: usize) {
        self.agents[rank].as_mut().unwrap().kill().unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        self.start_agent(rank);
    }

    /// Returns how often agents claimed the leadership.
    fn claim_count(&self) -> usize {
        let logs = self.agents.iter().flatten().map(|agent| agent.read_log().unwrap());
        logs.map(|log| log.matches("\"event\":\"leadership-claimed\"").count()).sum()
    }

    /// Brings the store back from a copy that was made at `copied`.
    fn restore_store(&self, copied: Instant, rewritten_within: Duration) {
        self.store.restore(StoreReturn {
            copied_at: copied,
            rewritten_within,
            keeps_watches: false,
            seed: 1,
        });
    }

    fn logs(&self) -> String {
        let read_tail = |agent: &NodeProcess| {
            let text = agent.read_log().unwrap_or_default();
            let lines: Vec<&str> = text.lines().rev().take(15).collect();
            lines.into_iter().rev().collect::<Vec<&str>>().join("\n")
        };
        self.agents.iter().flatten().map(read_tail).collect::<Vec<String>>().join("\n--\n")
    }
}

fn server_record(rank: usize, address: SocketAddr) -> ServerRecord {
    ServerRecord {
        id: format!("rank-{rank}"),
        service: "model".to_string(),
        address,
        zone: "zone-0".to_string(),
        slots: 8,
        state: ServerState::Ready,
        cold_remaining: Duration::ZERO,
        started_ms: 1,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn maps_follow_demand() {
    let group = TestGroup::start().await;
    group.wait_for_switches(3, "without failures").await;
    assert_eq!(group.group.mixed_passes(), 0);
}

/// Guards against a group that no agent can lead, or whose leader knows no engines, because the
/// store holds records that cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_records() {
    let mut group = TestGroup::start().await;
    group.wait_for_switches(1, "before the records").await;
    for kind in [SERVER_KIND, CONFIG_KIND, GATEWAY_KIND] {
        group.store.put_text(kind, "notes", r#"{"note":"\ud83d"}"#);
    }
    group.store.put_text(LEADER_KIND, "group", r#"{"holder":1e999}"#);
    for rank in 0..RANKS {
        group.agents[rank].as_mut().unwrap().kill().unwrap();
    }
    for rank in 0..RANKS {
        group.start_agent(rank);
    }
    group.wait_for_switches(1, "after the agents were killed").await;
    assert!(group.leader().is_some(), "{}", group.logs());
    assert_eq!(group.group.mixed_passes(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_leader() {
    let mut group = TestGroup::start().await;
    group.wait_for_switches(1, "before the kill").await;
    for _ in 0..2 {
        let leader = group.leader().unwrap();
        group.restart_agent(leader).await;
        group.wait_for_switches(1, "after the leader was killed").await;
    }
}

/// Guards against ranks with different maps of one version: agents keep the map of a killed
/// leader, which no engine has, and build on it when the next leader uses its version again.
#[tokio::test(flavor = "multi_thread")]
async fn unused_map() {
    let mut group = TestGroup::start().await;
    group.group.delay_prepares(Some(Duration::from_secs(4)));
    let started = Instant::now();
    while group.group.late_orders() < RANKS as u64 {
        assert!(started.elapsed() < TIMEOUT, "no order to prepare a map:\n{}", group.logs());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let leader = group.leader().unwrap();
    group.agents[leader].as_mut().unwrap().kill().unwrap();
    group.group.shift_demand();
    group.group.delay_prepares(None);
    group.start_agent(leader);
    group.wait_for_switches(4, "after the leader was killed").await;
    assert_eq!(group.group.mixed_passes(), 0, "{}", group.logs());
}

/// Guards against two maps of one version whichever way leaders are lost, one after the other,
/// while their orders are carried out late.
#[tokio::test(flavor = "multi_thread")]
async fn lost_leaders() {
    let mut group = TestGroup::start().await;
    group.wait_for_switches(1, "at first").await;
    for round in 0..6 {
        let late_orders = group.group.late_orders();
        group.group.delay_prepares(Some(Duration::from_millis(500 + 700 * round)));
        let started = Instant::now();
        // In some rounds a part of the ranks has not got the order when the leader is lost.
        while group.group.late_orders() < late_orders + 1 + round % RANKS as u64 {
            assert!(started.elapsed() < TIMEOUT, "no order to prepare:\n{}", group.logs());
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let leader = group.leader().unwrap();
        match round % 3 {
            0 => group.restart_agent(leader).await,
            1 => group.signal(leader, "STOP"),
            _ => {
                for rank in 0..RANKS {
                    group.agents[rank].as_mut().unwrap().kill().unwrap();
                    group.start_agent(rank);
                }
            }
        }
        group.group.shift_demand();
        group.group.delay_prepares(None);
        group.wait_for_switches(2, &format!("after the leader was lost, round {round}")).await;
        if round % 3 == 1 {
            group.signal(leader, "CONT");
        }
    }
    group.wait_for_switches(2, "at the end").await;
    assert_eq!(group.group.mixed_passes(), 0, "{}", group.logs());
}

/// A leader that resumes after another one took over must not disturb the group: engines
/// refuse its orders.
#[tokio::test(flavor = "multi_thread")]
async fn paused_leader() {
    let group = TestGroup::start().await;
    group.wait_for_switches(1, "before the pause").await;
    let leader = group.leader().unwrap();
    group.signal(leader, "STOP");
    let started = Instant::now();
    while group.leader() == Some(leader) {
        assert!(started.elapsed() < TIMEOUT, "no other leader:\n{}", group.logs());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let held = group.group.held_passes();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(group.group.held_passes(), held, "passes still held after another leader took over");
    group.signal(leader, "CONT");
    group.wait_for_switches(2, "after the pause").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn store_away() {
    let group = TestGroup::start().await;
    group.wait_for_switches(1, "before the outage").await;
    group.store.set_mode(StoreMode::Reset);
    group.wait_for_switches(2, "while the store is unavailable").await;
    group.store.set_mode(StoreMode::LoseWriteAnswers);
    let leader = group.leader().unwrap();
    let mut group = group;
    group.agents[leader].as_mut().unwrap().kill().unwrap();
    let started = Instant::now();
    while group.leader() == Some(leader) {
        assert!(started.elapsed() < TIMEOUT, "no claim while answers are lost");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    group.store.set_mode(StoreMode::Normal);
    group.start_agent(leader);
    group.wait_for_switches(1, "after the store recovered").await;
}

/// A group so large that agents relay maps to each other: after all of them are killed at
/// once, none knows the map in use, and orders with changes to it cannot be applied.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_agents() {
    let layout = ExpertLayout { experts: 48, ..LAYOUT };
    let mut group = TestGroup::start_with(20, layout).await;
    group.wait_for_switches(2, "before the restart").await;
    for agent in group.agents.iter_mut().flatten() {
        agent.kill().unwrap();
    }
    for rank in 0..20 {
        group.start_agent(rank);
    }
    group.wait_for_switches(2, "after all agents were killed").await;
    assert_eq!(group.group.mixed_passes(), 0);
    let logs = group.logs();
    assert!(!logs.contains("message-unreadable"), "{logs}");
}

/// Guards against a group that no agent can lead: the store came back from an older copy, and
/// the terms that it gives lie below the fences that the engines have seen.
#[tokio::test(flavor = "multi_thread")]
async fn lost_terms() {
    let mut group = TestGroup::start().await;
    group.wait_for_switches(1, "at first").await;
    let copied = Instant::now();
    for revision in 0..2_000 {
        group.store.put("notes", "one", serde_json::json!(revision));
    }
    for _ in 0..2 {
        let leader = group.leader().unwrap();
        group.restart_agent(leader).await;
        group.wait_for_switches(1, "before the store came back").await;
    }
    group.restore_store(copied, Duration::ZERO);
    for _ in 0..2 {
        for rank in 0..RANKS {
            group.agents[rank].as_mut().unwrap().kill().unwrap();
        }
        for rank in 0..RANKS {
            group.start_agent(rank);
        }
        let before = group.claim_count();
        group.wait_for_switches(1, "after the store came back").await;
        let claims = group.claim_count() - before;
        assert!(claims <= 2, "{claims} claims:\n{}", group.logs());
    }
}

/// Guards against a leader that is replaced though it leads: the store came back from a copy
/// that has neither its claim nor the records of its engines.
#[tokio::test(flavor = "multi_thread")]
async fn lost_claim() {
    let started = Instant::now();
    let mut group = TestGroup::start().await;
    group.wait_for_switches(1, "at first").await;
    let before = group.claim_count();
    let leader = group.leader().unwrap();
    group.restore_store(started, Duration::from_secs(60));
    tokio::time::sleep(Duration::from_secs(6)).await;
    group.restart_agent((leader + 1) % RANKS).await;
    group.wait_for_switches(2, "after the store came back").await;
    assert_eq!(group.claim_count(), before, "{}", group.logs());
    assert_eq!(group.leader(), Some(leader));
}

/// Guards against orders to an engine of another group: the next leader has not heard of the
/// frozen rank, and reads the engines of the service, one of which has the same rank and epoch.
#[tokio::test(flavor = "multi_thread")]
async fn other_group() {
    let mut group = TestGroup::start().await;
    let other = group.add_group(RANKS).await;
    group.wait_for_switches(1, "before the freeze").await;
    let leader = group.leader().unwrap();
    group.engines[leader].set_frozen(true);
    group.signal(leader, "STOP");
    for _ in 0..6 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        group.group.shift_demand();
    }
    let orders: u64 = (0..RANKS).map(|rank| other.status(rank).orders).sum();
    assert_eq!(orders, 0, "orders reached another group:\n{}", group.logs());
    assert_eq!(group.group.mixed_passes(), 0, "{}", group.logs());
    group.engines[leader].set_frozen(false);
    group.signal(leader, "CONT");
    group.wait_for_switches(1, "after the freeze").await;
}

/// Gateways learn from the leader which engines form a group, and at once that one of them is gone:
/// otherwise they go on sending streams to the ranks that wait for it.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_told_of_members() {
    let group = TestGroup::start().await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let record = GatewayRecord { address: socket.local_addr().unwrap() };
    group.store.put(GATEWAY_KIND, "edge-1", record.encode());
    let next_members = async |wanted: GroupState| {
        let mut buffer = [0; 2_048];
        loop {
            let length = socket.recv(&mut buffer).await.unwrap();
            let message = postcard::from_bytes(&buffer[..length]).unwrap();
            if let UpdateMessage::Members(members) = message
                && members.state == wanted
            {
                return members;
            }
        }
    };
    let members = tokio::time::timeout(TIMEOUT, next_members(GroupState::Open)).await;
    let members = members.unwrap_or_else(|_| panic!("no message; logs:\n{}", group.logs()));
    assert_eq!((members.service.as_str(), members.group.as_str()), ("model", "group"));
    assert_eq!(members.ranks.len(), RANKS);
    assert!(members.term > 0);
    // The leader's own engine as well as another one.
    for rank in [group.leader().unwrap(), (group.leader().unwrap() + 1) % RANKS] {
        let started = Instant::now();
        group.engines[rank].crash();
        let broken = tokio::time::timeout(TIMEOUT, next_members(GroupState::Broken)).await;
        let broken = broken.unwrap_or_else(|_| panic!("no message; logs:\n{}", group.logs()));
        assert!(started.elapsed() < Duration::from_millis(400), "{:?}", started.elapsed());
        assert_eq!(broken.epoch, members.epoch);
        let open = tokio::time::timeout(TIMEOUT, next_members(GroupState::Open)).await;
        assert_eq!(open.unwrap().ranks, members.ranks);
        // Repeats of the last change.
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}
