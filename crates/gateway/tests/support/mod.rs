//! Gateway processes between the test's callers and stand-ins for store and servers.

#![allow(dead_code, reason = "each test file uses its part of the harness")]

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cuminpick::routing::RepeatRule;
use cuminpick::routing::RouteRule;
use cuminpick::routing::RouteTarget;
use cuminpick::routing::ServerRecord;
use cuminpick::routing::ServerState;
use cuminpick_platform::call::ClientConnection;
use cuminpick_platform::platform_side::CallerHead;
use cuminpick_platform::platform_side::ServiceConfig;
use cuminpick_platform::platform_side::add_memory;
use cuminpick_platform::platform_side::encode_config;
use cuminpick_platform::platform_side::encode_server;
use cuminpick_platform::settings::NodeSettings;
use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_platform::store::GATEWAY_KIND;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_standins::site::caller::CallResult;
use cuminpick_standins::site::caller::call_site;
use cuminpick_standins::site::engine::EngineIncarnation;
use cuminpick_standins::site::engine::SiteEngine;
use cuminpick_standins::site::nodes::NodeProcess;
use cuminpick_standins::site::nodes::gateway_settings;
use cuminpick_standins::site::proxy::FaultProxy;
use cuminpick_standins::site::store::SiteStore;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use serde_json::Value;
use tokio::sync::watch;

/// Number of sites that tests of this process have started.
static SITES: AtomicU8 = AtomicU8::new(0);
const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Host of all routes.
pub(crate) const HOST: &str = "shop.example";
/// API key of the organisation `org`.
pub(crate) const KEY: &str = "key-1";
/// API key of the organisation `other`.
pub(crate) const OTHER_KEY: &str = "key-2";
/// Time after which the record of a crashed server is removed.
const REGISTRATION_LAPSE: Duration = Duration::from_millis(500);
/// Timeout of waits for a state that must be reached.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Stand-ins for the store and the servers, with the gateway processes under test.
pub(crate) struct Site {
    /// Stand-in for the platform's store.
    pub(crate) store: SiteStore,
    /// Servers of the service `model`.
    pub(crate) engines: Vec<SiteEngine>,
    /// Servers of the service `booking`.
    pub(crate) bookings: Vec<SiteEngine>,
    records: Vec<ServerRecord>,
    gateways: Vec<GatewayNode>,
    /// Address at which gateways reach the store.
    store_address: SocketAddr,
    /// Fault proxies in front of each server and, last, of the store; empty unless started by
    /// [`Site::with_proxies`].
    pub(crate) proxies: Vec<FaultProxy>,
}

/// Process of a gateway, with its settings and its directory.
struct GatewayNode {
    process: NodeProcess,
    settings: NodeSettings,
    folder: PathBuf,
}

impl GatewayNode {
    fn start(number: usize, store: SocketAddr) -> GatewayNode {
        let ip = unique_address();
        let node = format!("edge-{number}");
        let settings = gateway_settings(&node, "zone-0", ip, store);
        let name = format!("cuminpick-gateway-{}-{ip}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let process = start_process(&settings, &folder);
        GatewayNode { process, settings, folder }
    }
}

fn start_process(settings: &NodeSettings, folder: &Path) -> NodeProcess {
    let binary = Path::new(env!("CARGO_BIN_EXE_cuminpick-gateway"));
    NodeProcess::start(binary, settings, folder).unwrap()
}

impl Drop for GatewayNode {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns a route to a service for paths below `/name/`.
pub(crate) fn route(name: &str, service: &str, repeat: RepeatRule) -> RouteRule {
    let streaming = repeat == RepeatRule::ResumableStream;
    RouteRule {
        name: name.to_string(),
        host: HOST.to_string(),
        prefix: format!("/{name}/"),
        targets: vec![RouteTarget { service: service.to_string(), weight: 1 }],
        repeat,
        streaming,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(150),
        max_event_gap: streaming.then(|| Duration::from_millis(120)),
        priority: 1,
        max_attempts: if repeat == RepeatRule::AtMostOnce { 1 } else { 2 },
        public: false,
    }
}

/// Returns the routes that most tests use.
pub(crate) fn routes() -> Vec<RouteRule> {
    vec![
        route("draft", "model", RepeatRule::ResumableStream),
        route("book", "booking", RepeatRule::AtMostOnce),
        route("look", "booking", RepeatRule::Idempotent),
        RouteRule { public: true, ..route("open", "booking", RepeatRule::Idempotent) },
    ]
}

impl Site {
    /// Starts a site with one gateway, 3 model servers and 2 booking servers, and waits until
    /// the gateway is ready.
    pub(crate) async fn start() -> Site {
        Site::with_sizes(1, 3, 2).await
    }

    /// Starts a site with the given numbers of gateways, model servers and booking servers.
    pub(crate) async fn with_sizes(gateways: usize, models: usize, booking: usize) -> Site {
        let mut site = Site::without_gateways(models, booking).await;
        site.start_gateways(gateways).await;
        site
    }

    /// Starts a site with a fault proxy in front of each server and of the store.
    pub(crate) async fn with_proxies(gateways: usize, models: usize, booking: usize) -> Site {
        let mut site = Site::without_gateways(models, booking).await;
        let servers = site.engines.iter().chain(&site.bookings);
        for (engine, record) in servers.zip(&mut site.records) {
            let (up_sender, up) = watch::channel(true);
            let (proxy, address) = FaultProxy::start(LOOPBACK, record.address, up).await.unwrap();
            record.address = address;
            site.store.put(SERVER_KIND, &record.id, encode_server(record));
            let mut incarnation = engine.incarnation();
            tokio::spawn(async move {
                while incarnation.changed().await.is_ok() {
                    up_sender.send_replace(incarnation.borrow_and_update().up);
                }
            });
            site.proxies.push(proxy);
        }
        let (_, always_up) = watch::channel(true);
        let (proxy, address) =
            FaultProxy::start(LOOPBACK, site.store_address, always_up).await.unwrap();
        site.store_address = address;
        site.proxies.push(proxy);
        site.start_gateways(gateways).await;
        site
    }

    /// Starts to keep each server's record in step with the server.
    fn maintain_records(&self) {
        let servers = self.engines.iter().chain(&self.bookings);
        for (engine, record) in servers.zip(&self.records) {
            tokio::spawn(maintain_record(self.store.clone(), engine.incarnation(), record.clone()));
        }
    }

    async fn start_gateways(&mut self, gateways: usize) {
        self.maintain_records();
        for number in 1..=gateways {
            self.gateways.push(GatewayNode::start(number, self.store_address));
        }
        self.wait_ready(true).await;
        self.wait_propagated().await;
    }

    /// Starts a site whose gateways do not know of each other.
    pub(crate) async fn with_isolated_gateways(
        gateways: usize,
        models: usize,
        booking: usize,
    ) -> Site {
        let mut site = Site::without_gateways(models, booking).await;
        site.maintain_records();
        for number in 1..=gateways {
            site.gateways.push(GatewayNode::start(number, site.store_address));
            site.wait_ready(true).await;
            let name = format!("edge-{number}");
            while site.store.get(GATEWAY_KIND, &name).is_none() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            site.wait_propagated().await;
            site.store.remove(GATEWAY_KIND, &name);
        }
        site
    }

    async fn without_gateways(models: usize, booking: usize) -> Site {
        let (store, store_address) = SiteStore::start(LOOPBACK).await.unwrap();
        let mut records = Vec::new();
        let mut engines = Vec::new();
        let mut bookings = Vec::new();
        for index in 0..models + booking {
            let service = if index < models { "model" } else { "booking" };
            let id = format!("{service}-{index}");
            let (engine, address) = SiteEngine::start(&id, LOOPBACK, None).await.unwrap();
            let record = ServerRecord {
                id,
                service: service.to_string(),
                address,
                zone: format!("zone-{}", index % 2),
                slots: 8,
                state: ServerState::Ready,
                cold_remaining: Duration::ZERO,
                started_ms: engine.incarnation().borrow().started_ms,
            };
            records.push(record);
            if index < models { engines.push(engine) } else { bookings.push(engine) }
        }
        let gateways = Vec::new();
        let proxies = Vec::new();
        let site = Site { store, store_address, engines, bookings, records, gateways, proxies };
        site.configure(1, &routes());
        for record in &site.records {
            site.store.put(SERVER_KIND, &record.id, encode_server(record));
        }
        site
    }

    /// Writes a configuration with the given version and routes to the store.
    pub(crate) fn configure(&self, version: u64, routes: &[RouteRule]) {
        self.store.put(CONFIG_KIND, "main", Site::config(version, routes));
    }

    /// Writes a configuration in which the model servers have a memory of `tokens`.
    pub(crate) fn configure_memory(&self, version: u64, tokens: u32) {
        let mut config = Site::config(version, &routes());
        add_memory(&mut config, "model", tokens);
        self.store.put(CONFIG_KIND, "main", config);
    }

    fn config(version: u64, routes: &[RouteRule]) -> Value {
        let services = ["model", "booking"]
            .map(|name| ServiceConfig { name: name.to_string(), experts: None });
        encode_config(version, routes, &services, &[("org", KEY), ("other", OTHER_KEY)])
    }

    /// Returns the record of a server as it was when the site started.
    pub(crate) fn record(&self, id: &str) -> ServerRecord {
        self.records.iter().find(|record| record.id == id).unwrap().clone()
    }

    /// Writes the record of a server with another state.
    pub(crate) fn set_server_state(&self, id: &str, state: ServerState) {
        let record = ServerRecord { state, ..self.record(id) };
        self.store.put(SERVER_KIND, id, encode_server(&record));
    }

    /// Waits for the time that a change in the store takes to reach all gateways.
    pub(crate) async fn wait_propagated(&self) {
        tokio::time::sleep(Duration::from_millis(300)).await;
    }

    /// Returns whether all gateways report that they are ready.
    pub(crate) async fn ready(&self) -> bool {
        for gateway in 0..self.gateways.len() {
            if !self.ready_at(gateway).await {
                return false;
            }
        }
        true
    }

    async fn ready_at(&self, gateway: usize) -> bool {
        let address = self.gateways[gateway].settings.readiness.unwrap();
        let answer = fetch(address, cuminpick_platform::headers::READINESS_PATH).await;
        answer.is_some_and(|(status, _)| status == StatusCode::OK)
    }

    /// Returns the metrics page of the first gateway.
    pub(crate) async fn metrics(&self) -> String {
        fetch(self.gateways[0].settings.readiness.unwrap(), "/metrics")
            .await
            .map(|(_, body)| body)
            .unwrap_or_default()
    }

    /// Waits until all gateways are ready, or until one is not.
    pub(crate) async fn wait_ready(&self, wanted: bool) {
        let started = Instant::now();
        while self.ready().await != wanted {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "readiness is not {wanted}: {}",
                self.all_logs()
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends SIGTERM to the first gateway.
    pub(crate) fn terminate(&self) {
        self.signal(0, "TERM");
    }

    /// Returns the resident memory of the first gateway, in MB.
    pub(crate) fn memory_mb(&self) -> f64 {
        self.gateways[0].process.resident_mb().unwrap()
    }

    /// Returns the most memory that the first gateway has taken until now, in MB.
    pub(crate) fn peak_memory_mb(&self) -> f64 {
        self.gateways[0].process.peak_mb().unwrap()
    }

    /// Registers a server that is not one of the site's.
    pub(crate) fn register_server(&self, service: &str, id: &str, address: SocketAddr) {
        let record = ServerRecord {
            id: id.to_string(),
            service: service.to_string(),
            address,
            ..self.records[0].clone()
        };
        self.store.put(SERVER_KIND, id, encode_server(&record));
    }

    /// Sends a signal such as `TERM` to a gateway.
    pub(crate) fn signal(&self, gateway: usize, name: &str) {
        self.gateways[gateway].process.signal(name).unwrap();
    }

    /// Kills a gateway and starts it again with the same settings.
    pub(crate) async fn restart(&mut self, gateway: usize) {
        self.signal(gateway, "KILL");
        self.restart_exited(gateway).await;
        self.wait_ready(true).await;
    }

    /// Waits until a gateway's process has exited, and starts it again.
    pub(crate) async fn restart_exited(&mut self, gateway: usize) {
        let node = &mut self.gateways[gateway];
        while !node.process.has_exited().unwrap() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        node.process = start_process(&node.settings, &node.folder);
    }

    /// Waits until the first gateway exits; returns how long that took.
    pub(crate) async fn wait_exit(&mut self) -> Duration {
        let started = Instant::now();
        while !self.gateways[0].process.has_exited().unwrap() {
            assert!(started.elapsed() < WAIT_TIMEOUT, "the gateway does not exit");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        started.elapsed()
    }

    /// Returns the logs of all gateways.
    pub(crate) fn all_logs(&self) -> String {
        self.gateways.iter().map(|node| node.process.read_log().unwrap()).collect()
    }

    /// Returns the lines with an event from all gateways' logs.
    pub(crate) fn log_lines(&self, event: &str) -> Vec<String> {
        let text = self.all_logs();
        let wanted = format!("\"event\":\"{event}\"");
        text.lines().filter(|line| line.contains(&wanted)).map(str::to_string).collect()
    }

    /// Returns the address at which the first gateway accepts callers.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.caller_address_at(0)
    }

    /// Returns the address at which a gateway accepts callers.
    pub(crate) fn caller_address_at(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].settings.callers.unwrap()
    }

    /// Returns the address at which a gateway receives the datagrams of other processes.
    pub(crate) fn peer_address(&self, gateway: usize) -> SocketAddr {
        let settings = &self.gateways[gateway].settings;
        SocketAddr::new(settings.ip, settings.first_internal_port)
    }

    /// Sends a request to a gateway, with a key if there is one.
    pub(crate) async fn call_at(
        &self,
        gateway: usize,
        path: &str,
        attempt: &str,
        key: Option<&str>,
    ) -> CallResult {
        let time_left = Duration::from_secs(3);
        let head =
            CallerHead { host: HOST, attempt_id: attempt, time_left, key, prompt_parts: &[] };
        call_site(self.caller_address_at(gateway), path, &head).await
    }

    /// Sends a request whose prompt has the given parts to a gateway.
    pub(crate) async fn call_with_parts(
        &self,
        gateway: usize,
        path: &str,
        attempt: &str,
        prompt_parts: &[&str],
    ) -> CallResult {
        let time_left = Duration::from_secs(3);
        let head =
            CallerHead { host: HOST, attempt_id: attempt, time_left, key: Some(KEY), prompt_parts };
        call_site(self.caller_address_at(gateway), path, &head).await
    }

    /// Sends a request to the first gateway with the key of `org`.
    pub(crate) async fn call(&self, path: &str, attempt: &str) -> CallResult {
        self.call_with(path, attempt, Some(KEY), Duration::from_secs(3)).await
    }

    /// Sends a request to the first gateway with the given key and deadline.
    pub(crate) async fn call_with(
        &self,
        path: &str,
        attempt: &str,
        key: Option<&str>,
        time_left: Duration,
    ) -> CallResult {
        let head =
            CallerHead { host: HOST, attempt_id: attempt, time_left, key, prompt_parts: &[] };
        call_site(self.caller_address(), path, &head).await
    }

    /// Returns the number of crashes of all servers.
    pub(crate) fn crash_count(&self) -> u32 {
        self.engines.iter().chain(&self.bookings).map(SiteEngine::crash_count).sum()
    }

    /// Returns how often requests with a path ran on any server.
    pub(crate) fn runs_of_path(&self, path: &str) -> usize {
        let servers = self.engines.iter().chain(&self.bookings);
        let ran =
            |server: &SiteEngine| server.ledger().iter().filter(|run| run.path == path).count();
        servers.map(ran).sum()
    }

    /// Returns how often an attempt ran on any server.
    pub(crate) fn runs_of_attempt(&self, attempt: &str) -> u32 {
        let servers = self.engines.iter().chain(&self.bookings);
        servers.map(|server| server.run_counts().get(attempt).copied().unwrap_or(0)).sum()
    }
}

/// Maintains the record of a server as the platform does: removes it some time after a crash,
/// and writes a new one at the next start.
async fn maintain_record(
    store: SiteStore,
    mut incarnation: watch::Receiver<EngineIncarnation>,
    mut record: ServerRecord,
) {
    while incarnation.changed().await.is_ok() {
        let current = incarnation.borrow_and_update().clone();
        if current.up {
            record = ServerRecord { id: current.id, started_ms: current.started_ms, ..record };
            store.put(SERVER_KIND, &record.id, encode_server(&record));
        } else {
            tokio::time::sleep(REGISTRATION_LAPSE).await;
            store.remove(SERVER_KIND, &record.id);
        }
    }
}

/// Returns a loopback address that no other site uses. On a shared address, a port that was
/// found free may be taken before the gateway binds it.
fn unique_address() -> IpAddr {
    let site = SITES.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let (high, low) = ((process >> 8) as u8 & 0x7f, process as u8);
    IpAddr::V4(Ipv4Addr::new(127, high + 64, low, site + 10))
}

async fn fetch(address: SocketAddr, path: &str) -> Option<(StatusCode, String)> {
    let mut connection = ClientConnection::open(address).await.ok()?;
    let request =
        Request::builder().uri(path).header("host", "gateway").body(Full::default()).ok()?;
    let answer = connection.send(request).await.ok()?;
    let status = answer.status();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).to_string()))
}
