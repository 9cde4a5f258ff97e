//! Part of drill `path`: runs gateways and rank agents on a stand-in for the users' platform,
//! and measures the latency that the gateways add to the backend servers' own.

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

use crate::drills::print_progress;
use crate::drills::scenario::random_fraction;
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

/// Expert layout of the model group.
const LAYOUT: ExpertLayout = ExpertLayout {
    sets: 2,
    experts: 16,
    slots_per_rank: 6,
    max_new_experts: 3,
    copy_time: Duration::from_millis(100),
};
/// Number of ranks of the model group, each with an agent.
const RANKS: usize = 4;
/// Number of servers of the booking service.
const BOOKING_SERVERS: usize = 2;
/// Number of gateways.
const GATEWAYS: usize = 2;
/// Rate of streamed requests, per second.
const STREAM_RATE: f64 = 10.0;
/// Rate of bookings and reads together, per second.
const PLAIN_RATE: f64 = 40.0;
/// Number of events of a stream.
const STREAM_EVENTS: u64 = 12;
/// Time after which callers give up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout for a gateway to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for the records to reach all gateways.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// Interval at which a gateway's readiness is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Host of all routes.
const ROUTE_HOST: &str = "shop.example";
/// API key of the callers.
const API_KEY: &str = "key-1";

/// Servers, gateways and agents of a run; the processes are killed when it is dropped.
struct GatewaySite {
    group: RankGroup,
    engines: Vec<SiteEngine>,
    engine_addresses: Vec<SocketAddr>,
    bookings: Vec<SiteEngine>,
    booking_addresses: Vec<SocketAddr>,
    gateway_addresses: Vec<SocketAddr>,
    gateways: Vec<NodeProcess>,
    _agents: Vec<NodeProcess>,
    directory: PathBuf,
}

impl Drop for GatewaySite {
    fn drop(&mut self) {
        // It holds only settings and logs of this run; if it remains, that is harmless.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Sends the same load through the gateways and directly to the servers, and returns the
/// metrics.
pub async fn run(seed: u64, length: Duration) -> eyre::Result<Value> {
    print_progress("gateways and rank agents on a stand-in for the platform");
    let site = start_site(seed).await?;
    let gateways = site.gateway_addresses.clone();
    let gateway_calls =
        send_all(plan_requests(seed, length), move |number, _| gateways[number % GATEWAYS]).await;
    let resident_mb = site.gateways[0].resident_mb()?;
    print_progress("the same load sent directly to the servers");
    let (engines, bookings) = (site.engine_addresses.clone(), site.booking_addresses.clone());
    let direct_target = move |number: usize, is_stream| {
        if is_stream { engines[number % RANKS] } else { bookings[number % BOOKING_SERVERS] }
    };
    let repeated_run_count = repeated_runs(&site);
    let direct_calls = send_all(plan_requests(seed, length), direct_target).await;
    let (mut gateway_times, mut direct_times) =
        (plain_request_times(&gateway_calls), plain_request_times(&direct_calls));
    let mut overhead = |share: f64| {
        quantile(&mut gateway_times, share)
            .saturating_sub(quantile(&mut direct_times, share))
            .as_micros() as u64
    };
    let count_verdict = |verdict: AnswerVerdict| {
        gateway_calls.iter().filter(|call| call.verdict == verdict).count()
    };
    Ok(json!({
        "gateway_requests": gateway_calls.len(),
        "gateway_answered": count_verdict(AnswerVerdict::Correct),
        "gateway_refused": count_verdict(AnswerVerdict::Refused),
        "gateway_wrong_answers": count_verdict(AnswerVerdict::Wrong),
        "gateway_cut": count_verdict(AnswerVerdict::Cut),
        "gateway_repeated_runs": repeated_run_count,
        "gateway_overhead_p50_us": overhead(0.50),
        "gateway_overhead_p99_us": overhead(0.99),
        "gateway_rss_mb": resident_mb,
        "map_switches": site.group.switches(),
        "mixed_passes": site.group.mixed_passes(),
    }))
}

async fn start_site(seed: u64) -> eyre::Result<GatewaySite> {
    let binaries = std::env::current_exe()?
        .parent()
        .map(Path::to_path_buf)
        .ok_or_else(|| eyre!("cannot determine the directory of the drill runner's executable"))?;
    let directory = std::env::temp_dir().join(format!("cuminpick-gateways-{}", std::process::id()));
    let (store, store_address) = SiteStore::start(vm_ip(0)).await?;
    let group = RankGroup::start(LAYOUT, RANKS, seed);
    let (mut engines, mut engine_addresses) = (Vec::new(), Vec::new());
    let mut agents = Vec::new();
    let port = 20_000 + (std::process::id() % 20_000) as u16;
    for rank in 0..RANKS {
        let ip = vm_ip(10 + rank as u8);
        let id = format!("rank-{rank}");
        let (engine, address) = SiteEngine::start(&id, ip, Some((group.clone(), rank))).await?;
        register_server(&store, &id, "model", address);
        let local_engine = ("model".to_string(), address);
        let settings =
            agent_settings(&format!("side-{rank}"), ip, port, local_engine, store_address);
        agents.push(start_process(&binaries, "cuminpick-rank-agent", &settings, &directory)?);
        engines.push(engine);
        engine_addresses.push(address);
    }
    let (mut bookings, mut booking_addresses) = (Vec::new(), Vec::new());
    for number in 0..BOOKING_SERVERS {
        let id = format!("booking-{number}");
        let (engine, address) = SiteEngine::start(&id, vm_ip(40 + number as u8), None).await?;
        register_server(&store, &id, "booking", address);
        bookings.push(engine);
        booking_addresses.push(address);
    }
    let experts = Some((LAYOUT.sets, LAYOUT.experts, LAYOUT.slots_per_rank));
    let services = [
        ServiceConfig { name: "model".to_string(), experts },
        ServiceConfig { name: "booking".to_string(), experts: None },
    ];
    store.put(CONFIG_KIND, "main", encode_config(1, &routes(), &services, &[("org", API_KEY)]));
    let (mut gateways, mut gateway_addresses) = (Vec::new(), Vec::new());
    for number in 0..GATEWAYS {
        let node = format!("edge-{number}");
        let zone = format!("zone-{number}");
        let settings = gateway_settings(&node, &zone, vm_ip(80 + number as u8), store_address);
        gateways.push(start_process(&binaries, "cuminpick-gateway", &settings, &directory)?);
        gateway_addresses.extend(settings.callers);
        wait_ready(
            settings
                .readiness
                .ok_or_else(|| eyre!("the settings of {node} lack a readiness address"))?,
        )
        .await?;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    Ok(GatewaySite {
        group,
        engines,
        engine_addresses,
        bookings,
        booking_addresses,
        gateway_addresses,
        gateways,
        _agents: agents,
        directory,
    })
}

fn start_process(
    binaries: &Path,
    name: &str,
    settings: &cuminpick_platform::settings::NodeSettings,
    directory: &Path,
) -> eyre::Result<NodeProcess> {
    NodeProcess::start(&binaries.join(name), settings, directory)
        .map_err(|error| eyre!("cannot start {name}: {error}; run `cargo build --release`"))
}

/// Returns the loopback address of a VM; addresses of drills that run at the same time differ.
fn vm_ip(number: u8) -> IpAddr {
    let process = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, (process >> 8) as u8 & 0x3f, process as u8, number + 1))
}

fn register_server(store: &SiteStore, id: &str, service: &str, address: SocketAddr) {
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
        host: ROUTE_HOST.to_string(),
        prefix: format!("/{name}/"),
        targets: vec![RouteTarget { service: service.to_string(), weight: 1 }],
        repeat,
        streaming: repeat == RepeatRule::ResumableStream,
        timeout: CALLER_TIMEOUT,
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
    while started.elapsed() < READY_TIMEOUT {
        if is_ready(address).await == Some(true) {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(eyre!("the gateway at {address} is not ready after {} s", READY_TIMEOUT.as_secs()))
}

async fn is_ready(address: SocketAddr) -> Option<bool> {
    let mut connection = ClientConnection::open(address).await.ok()?;
    let request = Request::builder()
        .uri(READINESS_PATH)
        .header("host", ROUTE_HOST)
        .body(Full::default())
        .ok()?;
    Some(connection.send(request).await.ok()?.status() == StatusCode::OK)
}

/// Request on a route, with its time from the start of the load.
#[derive(Debug, Clone, Copy)]
struct PlannedRequest {
    at: Duration,
    route: &'static str,
}

/// Plans requests on all routes with exponentially distributed intervals.
fn plan_requests(seed: u64, length: Duration) -> Vec<PlannedRequest> {
    let mut rng = ChoiceRng::new(seed);
    let mut planned = Vec::new();
    let rates = [("draft", STREAM_RATE), ("book", PLAIN_RATE / 2.0), ("look", PLAIN_RATE / 2.0)];
    for (route, rate) in rates {
        let mut at = 0.0;
        loop {
            at += -(1.0 - random_fraction(&mut rng)).ln() / rate;
            if at >= length.as_secs_f64() {
                break;
            }
            planned.push(PlannedRequest { at: Duration::from_secs_f64(at), route });
        }
    }
    planned.sort_by_key(|request| request.at);
    planned
}

/// Result of comparing an answer with the expected one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerVerdict {
    Correct,
    Refused,
    Wrong,
    Cut,
}

/// Checked answer to a planned request.
struct CheckedCall {
    is_stream: bool,
    verdict: AnswerVerdict,
    total_time: Duration,
}

/// Sends planned requests at their times without waiting for earlier ones.
async fn send_all(
    planned: Vec<PlannedRequest>,
    target: impl Fn(usize, bool) -> SocketAddr,
) -> Vec<CheckedCall> {
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for (number, request) in planned.into_iter().enumerate() {
        tokio::time::sleep_until((start + request.at).into()).await;
        let is_stream = request.route == "draft";
        let address = target(number, is_stream);
        calls.spawn(async move {
            let attempt = format!("a{number}");
            let path = match is_stream {
                true => format!("/{}/stream/{STREAM_EVENTS}", request.route),
                false => format!("/{}/{number}", request.route),
            };
            let head = CallerHead {
                host: ROUTE_HOST,
                attempt_id: &attempt,
                time_left: CALLER_TIMEOUT,
                key: Some(API_KEY),
                prompt_parts: &[],
            };
            let answer = call_site(address, &path, &head).await;
            CheckedCall {
                is_stream,
                verdict: check_answer(&answer, is_stream, &attempt),
                total_time: answer.took,
            }
        });
    }
    calls.join_all().await
}

/// Compares an answer with the one that the stand-in servers give.
fn check_answer(answer: &CallResult, is_stream: bool, attempt: &str) -> AnswerVerdict {
    match answer.status {
        None => AnswerVerdict::Cut,
        Some(StatusCode::OK) if !answer.complete => AnswerVerdict::Cut,
        Some(StatusCode::OK) => {
            let expected =
                if is_stream { stream_text(STREAM_EVENTS) } else { format!("answer to {attempt}") };
            if answer.body == expected { AnswerVerdict::Correct } else { AnswerVerdict::Wrong }
        }
        Some(_) => AnswerVerdict::Refused,
    }
}

/// Returns the number of runs beyond the first one of each request, over all servers.
fn repeated_runs(site: &GatewaySite) -> u32 {
    let servers = site.engines.iter().chain(&site.bookings);
    let mut runs = std::collections::HashMap::new();
    for (attempt, count) in servers.flat_map(SiteEngine::run_counts) {
        *runs.entry(attempt).or_insert(0) += count;
    }
    runs.values().map(|count| count - 1).sum()
}

/// Returns the total times of correct answers that were not streamed.
fn plain_request_times(calls: &[CheckedCall]) -> Vec<Duration> {
    let plain =
        calls.iter().filter(|call| !call.is_stream && call.verdict == AnswerVerdict::Correct);
    plain.map(|call| call.total_time).collect()
}
