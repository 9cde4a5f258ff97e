//! Part of drill `path`: gateways and rank agents on a stand-in of the users'
//! platform, and what they add to the backend servers' times.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use cuminpick::ids::ChoiceRng;
use cuminpick::routing::ExpertLayout;
use cuminpick::routing::RepeatRule;
use cuminpick::routing::RouteRule;
use cuminpick::routing::RouteTarget;
use cuminpick::routing::ServerRecord;
use cuminpick::routing::ServerState;
use cuminpick_platform::call::ClientConnection;
use cuminpick_platform::headers::READINESS_PATH;
use cuminpick_platform::platform_side::CallerHead;
use cuminpick_platform::platform_side::ServiceConfig;
use cuminpick_platform::platform_side::encode_config;
use cuminpick_platform::platform_side::encode_server;
use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_platform::store::SERVER_KIND;
use eyre::eyre;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use crate::drills::scenario::unit;
use crate::drills::tell;
use crate::drills::traffic::quantile;
use crate::site::caller::CallResult;
use crate::site::caller::call_site;
use crate::site::caller::stream_text;
use crate::site::engine::SiteEngine;
use crate::site::group::RankGroup;
use crate::site::nodes::NodeProcess;
use crate::site::nodes::agent_settings;
use crate::site::nodes::gateway_settings;
use crate::site::store::SiteStore;

const LAYOUT: ExpertLayout = ExpertLayout {
    sets: 2,
    experts: 16,
    slots_per_rank: 6,
    max_new_experts: 3,
    copy_time: Duration::from_millis(100),
};
/// Ranks of the model group, each with an agent.
const RANKS: usize = 4;
/// Plain services.
const BOOKINGS: usize = 2;
/// Gateways.
const GATEWAYS: usize = 2;
/// Streams a second.
const STREAM_RATE: f64 = 10.0;
/// Bookings and reads a second.
const PLAIN_RATE: f64 = 40.0;
/// Events of a stream.
const EVENTS: u64 = 12;
/// Time that callers wait.
const CALLER_TIME: Duration = Duration::from_secs(8);
/// Longest time for the gateways to be ready.
const READY_TIME: Duration = Duration::from_secs(20);
/// Time for records to reach all gateways.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Pause between two looks at a process.
const POLL: Duration = Duration::from_millis(50);
const HOST: &str = "shop.example";
const KEY: &str = "key-1";

struct PathSite {
    group: RankGroup,
    engines: Vec<SiteEngine>,
    engine_addresses: Vec<SocketAddr>,
    bookings: Vec<SiteEngine>,
    booking_addresses: Vec<SocketAddr>,
    callers: Vec<SocketAddr>,
    gateways: Vec<NodeProcess>,
    _agents: Vec<NodeProcess>,
    folder: PathBuf,
}

impl Drop for PathSite {
    fn drop(&mut self) {
        // Only logs of this run lie there; what is left is harmless.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs the part and returns its figures.
pub async fn run(seed: u64, length: Duration) -> eyre::Result<Value> {
    tell("gateways and rank agents on a stand-in of the platform");
    let site = start_site(seed).await?;
    let gateways = site.callers.clone();
    let through = send_all(plan(seed, length), move |number, _| gateways[number % GATEWAYS]).await;
    let memory = site.gateways[0].resident_mb()?;
    tell("the same load straight to the servers");
    let (engines, bookings) = (site.engine_addresses.clone(), site.booking_addresses.clone());
    let straight = move |number: usize, stream| {
        if stream { engines[number % RANKS] } else { bookings[number % BOOKINGS] }
    };
    let repeated = repeated_runs(&site);
    let direct = send_all(plan(seed, length), straight).await;
    let (mut added, mut base) = (plain_times(&through), plain_times(&direct));
    let mut overhead = |share: f64| {
        quantile(&mut added, share).saturating_sub(quantile(&mut base, share)).as_micros() as u64
    };
    let of = |verdict: Verdict| through.iter().filter(|call| call.verdict == verdict).count();
    Ok(json!({
        "gateway_requests": through.len(),
        "gateway_answered": of(Verdict::Right),
        "gateway_refused": of(Verdict::Refused),
        "gateway_wrong_answers": of(Verdict::Wrong),
        "gateway_cut": of(Verdict::Cut),
        "gateway_repeated_runs": repeated,
        "gateway_overhead_p50_us": overhead(0.50),
        "gateway_overhead_p99_us": overhead(0.99),
        "gateway_rss_mb": memory,
        "map_switches": site.group.switches(),
        "mixed_passes": site.group.mixed_passes(),
    }))
}

async fn start_site(seed: u64) -> eyre::Result<PathSite> {
    let binaries = std::env::current_exe()?
        .parent()
        .map(Path::to_path_buf)
        .ok_or_else(|| eyre!("the drill runner has no folder"))?;
    let folder = std::env::temp_dir().join(format!("cuminpick-gateways-{}", std::process::id()));
    let (store, store_address) = SiteStore::start(vm_ip(0)).await?;
    let group = RankGroup::start(LAYOUT, RANKS, seed);
    let (mut engines, mut engine_addresses) = (Vec::new(), Vec::new());
    let mut agents = Vec::new();
    let port = 20_000 + (std::process::id() % 20_000) as u16;
    for rank in 0..RANKS {
        let ip = vm_ip(10 + rank as u8);
        let id = format!("rank-{rank}");
        let (engine, address) = SiteEngine::start(&id, ip, Some((group.clone(), rank))).await?;
        register(&store, &id, "model", address);
        let beside = ("model".to_string(), address);
        let settings = agent_settings(&format!("side-{rank}"), ip, port, beside, store_address);
        agents.push(start(&binaries, "cuminpick-rank-agent", &settings, &folder)?);
        engines.push(engine);
        engine_addresses.push(address);
    }
    let (mut bookings, mut booking_addresses) = (Vec::new(), Vec::new());
    for number in 0..BOOKINGS {
        let id = format!("booking-{number}");
        let (engine, address) = SiteEngine::start(&id, vm_ip(40 + number as u8), None).await?;
        register(&store, &id, "booking", address);
        bookings.push(engine);
        booking_addresses.push(address);
    }
    let experts = Some((LAYOUT.sets, LAYOUT.experts, LAYOUT.slots_per_rank));
    let services = [
        ServiceConfig { name: "model".to_string(), experts },
        ServiceConfig { name: "booking".to_string(), experts: None },
    ];
    store.put(CONFIG_KIND, "main", encode_config(1, &routes(), &services, &[("org", KEY)]));
    let (mut gateways, mut callers) = (Vec::new(), Vec::new());
    for number in 0..GATEWAYS {
        let node = format!("edge-{number}");
        let zone = format!("zone-{number}");
        let settings = gateway_settings(&node, &zone, vm_ip(80 + number as u8), store_address);
        gateways.push(start(&binaries, "cuminpick-gateway", &settings, &folder)?);
        callers.extend(settings.callers);
        wait_ready(settings.readiness.ok_or_else(|| eyre!("{node} states no readiness"))?).await?;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(PathSite {
        group,
        engines,
        engine_addresses,
        bookings,
        booking_addresses,
        callers,
        gateways,
        _agents: agents,
        folder,
    })
}

fn start(
    binaries: &Path,
    name: &str,
    settings: &cuminpick_platform::settings::NodeSettings,
    folder: &Path,
) -> eyre::Result<NodeProcess> {
    NodeProcess::start(&binaries.join(name), settings, folder)
        .map_err(|error| eyre!("cannot start {name}: {error}; run `cargo build --release`"))
}

/// Each VM has a loopback address of its own, apart from other drills'.
fn vm_ip(number: u8) -> IpAddr {
    let process = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, (process >> 8) as u8 & 0x3f, process as u8, number + 1))
}

fn register(store: &SiteStore, id: &str, service: &str, address: SocketAddr) {
    let record = ServerRecord {
        id: id.to_string(),
        service: service.to_string(),
        address,
        zone: "zone-0".to_string(),
        slots: 64,
        state: ServerState::Ready,
        cold_remaining: Duration::ZERO,
        started_ms: 1,
    };
    store.put(SERVER_KIND, id, encode_server(&record));
}

fn routes() -> Vec<RouteRule> {
    let route = |name: &str, service: &str, repeat: RepeatRule| RouteRule {
        name: name.to_string(),
        host: HOST.to_string(),
        prefix: format!("/{name}/"),
        targets: vec![RouteTarget { service: service.to_string(), weight: 1 }],
        repeat,
        streaming: repeat == RepeatRule::ResumableStream,
        timeout: CALLER_TIME,
        target_latency: Duration::from_millis(500),
        max_event_gap: (repeat == RepeatRule::ResumableStream).then(|| Duration::from_millis(120)),
        priority: 1,
        max_attempts: if repeat == RepeatRule::AtMostOnce { 1 } else { 2 },
        public: false,
    };
    vec![
        route("draft", "model", RepeatRule::ResumableStream),
        route("book", "booking", RepeatRule::AtMostOnce),
        route("look", "booking", RepeatRule::Idempotent),
    ]
}

async fn wait_ready(address: SocketAddr) -> eyre::Result<()> {
    let started = Instant::now();
    while started.elapsed() < READY_TIME {
        if ready(address).await == Some(true) {
            return Ok(());
        }
        tokio::time::sleep(POLL).await;
    }
    Err(eyre!("the gateway at {address} is not ready after {} s", READY_TIME.as_secs()))
}

async fn ready(address: SocketAddr) -> Option<bool> {
    let mut connection = ClientConnection::open(address).await.ok()?;
    let request =
        Request::builder().uri(READINESS_PATH).header("host", HOST).body(Full::default()).ok()?;
    Some(connection.send(request).await.ok()?.status() == StatusCode::OK)
}

#[derive(Debug, Clone, Copy)]
struct PlannedRequest {
    at: Duration,
    route: &'static str,
}

fn plan(seed: u64, length: Duration) -> Vec<PlannedRequest> {
    let mut rng = ChoiceRng::new(seed);
    let mut planned = Vec::new();
    let rates = [("draft", STREAM_RATE), ("book", PLAIN_RATE / 2.0), ("look", PLAIN_RATE / 2.0)];
    for (route, rate) in rates {
        let mut at = 0.0;
        loop {
            at += -(1.0 - unit(&mut rng)).ln() / rate;
            if at >= length.as_secs_f64() {
                break;
            }
            planned.push(PlannedRequest { at: Duration::from_secs_f64(at), route });
        }
    }
    planned.sort_by_key(|request| request.at);
    planned
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Right,
    Refused,
    Wrong,
    Cut,
}

struct CheckedCall {
    stream: bool,
    verdict: Verdict,
    took: Duration,
}

/// Sends planned requests at their times, whatever became of earlier ones.
async fn send_all(
    planned: Vec<PlannedRequest>,
    target: impl Fn(usize, bool) -> SocketAddr,
) -> Vec<CheckedCall> {
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for (number, request) in planned.into_iter().enumerate() {
        tokio::time::sleep_until((start + request.at).into()).await;
        let stream = request.route == "draft";
        let address = target(number, stream);
        calls.spawn(async move {
            let attempt = format!("a{number}");
            let path = match stream {
                true => format!("/{}/stream/{EVENTS}", request.route),
                false => format!("/{}/{number}", request.route),
            };
            let head = CallerHead {
                host: HOST,
                attempt_id: &attempt,
                time_left: CALLER_TIME,
                key: Some(KEY),
            };
            let answer = call_site(address, &path, &head).await;
            CheckedCall { stream, verdict: judge(&answer, stream, &attempt), took: answer.took }
        });
    }
    calls.join_all().await
}

fn judge(answer: &CallResult, stream: bool, attempt: &str) -> Verdict {
    match answer.status {
        None => Verdict::Cut,
        Some(StatusCode::OK) if !answer.complete => Verdict::Cut,
        Some(StatusCode::OK) => {
            let wanted = if stream { stream_text(EVENTS) } else { format!("answer to {attempt}") };
            if answer.body == wanted { Verdict::Right } else { Verdict::Wrong }
        }
        Some(_) => Verdict::Refused,
    }
}

/// Runs beyond the first of each request, over all servers.
fn repeated_runs(site: &PathSite) -> u32 {
    let servers = site.engines.iter().chain(&site.bookings);
    let mut runs = std::collections::HashMap::new();
    for (attempt, count) in servers.flat_map(SiteEngine::run_counts) {
        *runs.entry(attempt).or_insert(0) += count;
    }
    runs.values().map(|count| count - 1).sum()
}

fn plain_times(calls: &[CheckedCall]) -> Vec<Duration> {
    let plain = calls.iter().filter(|call| !call.stream && call.verdict == Verdict::Right);
    plain.map(|call| call.took).collect()
}
