//! Agents as processes beside a stand-in group: they switch it to better maps, one
//! map in every pass, also when the leader is killed or paused and the store is away.

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
use cuminpick_platform::platform_side::ServiceConfig;
use cuminpick_platform::platform_side::encode_config;
use cuminpick_platform::platform_side::encode_server;
use cuminpick_platform::records::LeaderRecord;
use cuminpick_platform::settings::NodeSettings;
use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_platform::store::LEADER_KIND;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_standins::site::engine::SiteEngine;
use cuminpick_standins::site::group::RankGroup;
use cuminpick_standins::site::nodes::NodeProcess;
use cuminpick_standins::site::nodes::agent_settings;
use cuminpick_standins::site::store::SiteStore;
use cuminpick_standins::site::store::StoreMood;

const LAYOUT: ExpertLayout = ExpertLayout {
    sets: 2,
    experts: 16,
    slots_per_rank: 6,
    max_new_experts: 3,
    copy_time: Duration::from_millis(100),
};
const RANKS: usize = 4;
/// Longest wait for something that has to happen.
const PATIENCE: Duration = Duration::from_secs(15);
/// Addresses and ports that tests of this file have taken.
static TAKEN: AtomicU16 = AtomicU16::new(0);

struct Group {
    store: SiteStore,
    group: RankGroup,
    agents: Vec<Option<NodeProcess>>,
    settings: Vec<NodeSettings>,
    folder: PathBuf,
    _engines: Vec<SiteEngine>,
}

impl Drop for Group {
    fn drop(&mut self) {
        self.agents.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Group {
    async fn start() -> Group {
        Group::start_of(RANKS, LAYOUT).await
    }

    async fn start_of(ranks: usize, layout: ExpertLayout) -> Group {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        let (store, store_address) =
            SiteStore::start(IpAddr::V4(Ipv4Addr::LOCALHOST)).await.unwrap();
        let group = RankGroup::start(layout, ranks, 7);
        let folder =
            std::env::temp_dir().join(format!("cuminpick-agents-{}-{taken}", std::process::id()));
        let port = 20_000 + (std::process::id() % 20_000) as u16 + taken * 2;
        let mut engines = Vec::new();
        let mut settings = Vec::new();
        for rank in 0..ranks {
            let ip = IpAddr::V4(Ipv4Addr::new(127, 0, taken as u8 + 1, rank as u8 + 10));
            let seat = Some((group.clone(), rank));
            let (engine, address) =
                SiteEngine::start(&format!("rank-{rank}"), ip, seat).await.unwrap();
            store.put(SERVER_KIND, &format!("rank-{rank}"), encode_server(&record(rank, address)));
            let beside = ("model".to_string(), address);
            let node = format!("side-{rank}");
            settings.push(agent_settings(&node, ip, port, beside, store_address));
            engines.push(engine);
            group.count_running(rank, true);
        }
        let experts = Some((layout.sets, layout.experts, layout.slots_per_rank));
        let service = ServiceConfig { name: "model".to_string(), experts };
        store.put(CONFIG_KIND, "main", encode_config(1, &[], &[service], &[]));
        let agents = (0..ranks).map(|_| None).collect();
        let mut started = Group { store, group, agents, settings, folder, _engines: engines };
        for rank in 0..ranks {
            started.start_agent(rank);
        }
        started
    }

    fn start_agent(&mut self, rank: usize) {
        let binary = Path::new(env!("CARGO_BIN_EXE_cuminpick-rank-agent"));
        let agent = NodeProcess::start(binary, &self.settings[rank], &self.folder).unwrap();
        self.agents[rank] = Some(agent);
    }

    /// Rank of the leader that the store names.
    fn leader(&self) -> Option<usize> {
        let object = self.store.get(LEADER_KIND, "group")?;
        let holder = LeaderRecord::decode(&object).ok()?.holder;
        holder.strip_prefix("side-")?.parse().ok()
    }

    fn signal(&self, rank: usize, name: &str) {
        self.agents[rank].as_ref().unwrap().signal(name).unwrap();
    }

    /// Waits for `more` further switches.
    async fn wait_switches(&self, more: u64, when: &str) {
        let wanted = self.group.switches() + more;
        let started = Instant::now();
        while self.group.switches() < wanted {
            assert_eq!(self.group.mixed_passes(), 0, "mixed maps {when}");
            if started.elapsed() > PATIENCE {
                panic!("no {more} switches {when}; logs:\n{}", self.logs());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn logs(&self) -> String {
        let read = |agent: &NodeProcess| {
            let text = agent.log().unwrap_or_default();
            let lines: Vec<&str> = text.lines().rev().take(15).collect();
            lines.into_iter().rev().collect::<Vec<&str>>().join("\n")
        };
        self.agents.iter().flatten().map(read).collect::<Vec<String>>().join("\n--\n")
    }
}

fn record(rank: usize, address: SocketAddr) -> ServerRecord {
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
    let group = Group::start().await;
    group.wait_switches(3, "in a calm group").await;
    assert_eq!(group.group.mixed_passes(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_leader() {
    let mut group = Group::start().await;
    group.wait_switches(1, "before the kill").await;
    for _ in 0..2 {
        let leader = group.leader().unwrap();
        group.agents[leader].as_mut().unwrap().kill().unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        group.start_agent(leader);
        group.wait_switches(1, "after the leader was killed").await;
    }
}

/// A paused leader wakes after another took over; its orders are refused.
#[tokio::test(flavor = "multi_thread")]
async fn paused_leader() {
    let group = Group::start().await;
    group.wait_switches(1, "before the pause").await;
    let leader = group.leader().unwrap();
    group.signal(leader, "STOP");
    let started = Instant::now();
    while group.leader() == Some(leader) {
        assert!(started.elapsed() < PATIENCE, "no other leader:\n{}", group.logs());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let held = group.group.held_passes();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(group.group.held_passes(), held, "the group stands still");
    group.signal(leader, "CONT");
    group.wait_switches(2, "after the pause").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn store_away() {
    let group = Group::start().await;
    group.wait_switches(1, "before the outage").await;
    group.store.set_mood(StoreMood::Reset);
    group.wait_switches(2, "while the store is away").await;
    group.store.set_mood(StoreMood::LosesAnswers);
    let leader = group.leader().unwrap();
    let mut group = group;
    group.agents[leader].as_mut().unwrap().kill().unwrap();
    let started = Instant::now();
    while group.leader() == Some(leader) {
        assert!(started.elapsed() < PATIENCE, "no claim while answers are lost");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    group.store.set_mood(StoreMood::Sound);
    group.start_agent(leader);
    group.wait_switches(1, "after the store's return").await;
}

/// Pattern: a group so large that its agents pass maps on to each other; all of them
/// are killed at once, and none that starts again knows the map in force.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_agents() {
    let layout = ExpertLayout { experts: 48, ..LAYOUT };
    let mut group = Group::start_of(20, layout).await;
    group.wait_switches(2, "before the restart").await;
    for agent in group.agents.iter_mut().flatten() {
        agent.kill().unwrap();
    }
    for rank in 0..20 {
        group.start_agent(rank);
    }
    group.wait_switches(2, "after all agents were killed").await;
    assert_eq!(group.group.mixed_passes(), 0);
    let logs = group.logs();
    assert!(!logs.contains("message-unreadable"), "{logs}");
}
