//! A gateway process between callers of the test and stand-ins of the platform.

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
use tokio::sync::watch;

/// Sites that tests of this process have started.
static SITES: AtomicU8 = AtomicU8::new(0);
const HOME: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Host of all routes.
pub(crate) const HOST: &str = "shop.example";
/// Key of the organisation.
pub(crate) const KEY: &str = "key-1";
/// Key of another organisation.
pub(crate) const OTHER_KEY: &str = "key-2";
/// Time after which the record of a server that ended is gone.
const LAPSE_TIME: Duration = Duration::from_millis(500);
/// Longest wait for something that has to happen.
const PATIENCE: Duration = Duration::from_secs(10);

/// Store, servers and a gateway process.
pub(crate) struct Site {
    /// The store.
    pub(crate) store: SiteStore,
    /// Servers of the service `model`.
    pub(crate) engines: Vec<SiteEngine>,
    /// Servers of the service `booking`.
    pub(crate) bookings: Vec<SiteEngine>,
    records: Vec<ServerRecord>,
    gateways: Vec<GatewayNode>,
    store_address: SocketAddr,
    /// Proxies before the servers and, last, before the store.
    pub(crate) proxies: Vec<FaultProxy>,
}

/// A gateway's process with its settings.
struct GatewayNode {
    process: NodeProcess,
    settings: NodeSettings,
    folder: PathBuf,
}

impl GatewayNode {
    fn start(number: usize, store: SocketAddr) -> GatewayNode {
        let ip = own_address();
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

/// A route to a service.
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

/// Routes of most tests.
pub(crate) fn routes() -> Vec<RouteRule> {
    vec![
        route("draft", "model", RepeatRule::ResumableStream),
        route("book", "booking", RepeatRule::AtMostOnce),
        route("look", "booking", RepeatRule::Idempotent),
        RouteRule { public: true, ..route("open", "booking", RepeatRule::Idempotent) },
    ]
}

impl Site {
    /// Starts all and waits until the gateway is ready.
    pub(crate) async fn start() -> Site {
        Site::with_sizes(1, 3, 2).await
    }

    /// Starts a site with so many gateways, model servers and booking servers.
    pub(crate) async fn with_sizes(gateways: usize, models: usize, booking: usize) -> Site {
        let mut site = Site::without_gateways(models, booking).await;
        site.start_gateways(gateways).await;
        site
    }

    /// Starts a site with a proxy before each server, and one before the store.
    pub(crate) async fn with_proxies(gateways: usize, models: usize, booking: usize) -> Site {
        let mut site = Site::without_gateways(models, booking).await;
        let servers = site.engines.iter().chain(&site.bookings);
        for (engine, record) in servers.zip(&mut site.records) {
            let (up, standing) = watch::channel(true);
            let (proxy, address) = FaultProxy::start(HOME, record.address, standing).await.unwrap();
            record.address = address;
            site.store.put(SERVER_KIND, &record.id, encode_server(record));
            let mut incarnation = engine.incarnation();
            tokio::spawn(async move {
                while incarnation.changed().await.is_ok() {
                    up.send_replace(incarnation.borrow_and_update().up);
                }
            });
            site.proxies.push(proxy);
        }
        let (_, always) = watch::channel(true);
        let (proxy, address) = FaultProxy::start(HOME, site.store_address, always).await.unwrap();
        site.store_address = address;
        site.proxies.push(proxy);
        site.start_gateways(gateways).await;
        site
    }

    fn keep_records(&self) {
        let servers = self.engines.iter().chain(&self.bookings);
        for (engine, record) in servers.zip(&self.records) {
            tokio::spawn(keep_registered(self.store.clone(), engine.incarnation(), record.clone()));
        }
    }

    async fn start_gateways(&mut self, gateways: usize) {
        self.keep_records();
        for number in 1..=gateways {
            self.gateways.push(GatewayNode::start(number, self.store_address));
        }
        self.wait_ready(true).await;
        self.wait_propagated().await;
    }

    /// Starts a site whose gateways never hear of each other.
    pub(crate) async fn with_isolated_gateways(
        gateways: usize,
        models: usize,
        booking: usize,
    ) -> Site {
        let mut site = Site::without_gateways(models, booking).await;
        site.keep_records();
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
        let (store, store_address) = SiteStore::start(HOME).await.unwrap();
        let mut records = Vec::new();
        let mut engines = Vec::new();
        let mut bookings = Vec::new();
        for index in 0..models + booking {
            let service = if index < models { "model" } else { "booking" };
            let id = format!("{service}-{index}");
            let (engine, address) = SiteEngine::start(&id, HOME, None).await.unwrap();
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

    /// Writes a configuration.
    pub(crate) fn configure(&self, version: u64, routes: &[RouteRule]) {
        let services = ["model", "booking"]
            .map(|name| ServiceConfig { name: name.to_string(), experts: None });
        let config =
            encode_config(version, routes, &services, &[("org", KEY), ("other", OTHER_KEY)]);
        self.store.put(CONFIG_KIND, "main", config);
    }

    /// Changes the record of a server.
    pub(crate) fn set_server_state(&self, id: &str, state: ServerState) {
        let record = self.records.iter().find(|record| record.id == id).unwrap();
        let record = ServerRecord { state, ..record.clone() };
        self.store.put(SERVER_KIND, id, encode_server(&record));
    }

    /// Waits until a change in the store is known everywhere.
    pub(crate) async fn wait_propagated(&self) {
        tokio::time::sleep(Duration::from_millis(300)).await;
    }

    /// Whether all gateways say that they take connections.
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

    /// Metrics of the first gateway as text.
    pub(crate) async fn metrics(&self) -> String {
        fetch(self.gateways[0].settings.readiness.unwrap(), "/metrics")
            .await
            .map(|(_, body)| body)
            .unwrap_or_default()
    }

    /// Waits until the gateways are, or are no longer, ready.
    pub(crate) async fn wait_ready(&self, wanted: bool) {
        let started = Instant::now();
        while self.ready().await != wanted {
            assert!(started.elapsed() < PATIENCE, "readiness is not {wanted}: {}", self.all_logs());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends SIGTERM to the first gateway.
    pub(crate) fn terminate(&self) {
        self.signal(0, "TERM");
    }

    /// Resident memory of the first gateway, in MB.
    pub(crate) fn memory_mb(&self) -> f64 {
        self.gateways[0].process.resident_mb().unwrap()
    }

    /// Registers a further server.
    pub(crate) fn register_server(&self, service: &str, id: &str, address: SocketAddr) {
        let record = ServerRecord {
            id: id.to_string(),
            service: service.to_string(),
            address,
            ..self.records[0].clone()
        };
        self.store.put(SERVER_KIND, id, encode_server(&record));
    }

    /// Sends a signal to a gateway.
    pub(crate) fn signal(&self, gateway: usize, name: &str) {
        self.gateways[gateway].process.signal(name).unwrap();
    }

    /// Kills a gateway and starts it again with the same settings.
    pub(crate) async fn restart(&mut self, gateway: usize) {
        self.signal(gateway, "KILL");
        self.restart_exited(gateway).await;
        self.wait_ready(true).await;
    }

    /// Starts a gateway again once its process has ended.
    pub(crate) async fn restart_exited(&mut self, gateway: usize) {
        let node = &mut self.gateways[gateway];
        while !node.process.has_exited().unwrap() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        node.process = start_process(&node.settings, &node.folder);
    }

    /// Waits for the first gateway's end.
    pub(crate) async fn wait_exit(&mut self) -> Duration {
        let started = Instant::now();
        while !self.gateways[0].process.has_exited().unwrap() {
            assert!(started.elapsed() < PATIENCE, "the gateway does not end");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        started.elapsed()
    }

    pub(crate) fn all_logs(&self) -> String {
        self.gateways.iter().map(|node| node.process.read_log().unwrap()).collect()
    }

    /// Lines of all gateways' logs that name an event.
    pub(crate) fn log_lines(&self, event: &str) -> Vec<String> {
        let text = self.all_logs();
        let wanted = format!("\"event\":\"{event}\"");
        text.lines().filter(|line| line.contains(&wanted)).map(str::to_string).collect()
    }

    /// Address for callers at the first gateway.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.caller_address_at(0)
    }

    pub(crate) fn caller_address_at(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].settings.callers.unwrap()
    }

    /// Sends a request to one of the gateways, with a key if there is one.
    pub(crate) async fn call_at(
        &self,
        gateway: usize,
        path: &str,
        attempt: &str,
        key: Option<&str>,
    ) -> CallResult {
        let time_left = Duration::from_secs(3);
        let head = CallerHead { host: HOST, attempt_id: attempt, time_left, key };
        call_site(self.caller_address_at(gateway), path, &head).await
    }

    /// Sends a request with the organisation's key.
    pub(crate) async fn call(&self, path: &str, attempt: &str) -> CallResult {
        self.call_with(path, attempt, Some(KEY), Duration::from_secs(3)).await
    }

    /// Sends a request.
    pub(crate) async fn call_with(
        &self,
        path: &str,
        attempt: &str,
        key: Option<&str>,
        time_left: Duration,
    ) -> CallResult {
        let head = CallerHead { host: HOST, attempt_id: attempt, time_left, key };
        call_site(self.caller_address(), path, &head).await
    }

    /// Servers that have ended, each as often as it has.
    pub(crate) fn crash_count(&self) -> u32 {
        self.engines.iter().chain(&self.bookings).map(SiteEngine::crash_count).sum()
    }

    /// How often requests with a path ran, over all servers.
    pub(crate) fn runs_of_path(&self, path: &str) -> usize {
        let servers = self.engines.iter().chain(&self.bookings);
        let ran =
            |server: &SiteEngine| server.ledger().iter().filter(|run| run.path == path).count();
        servers.map(ran).sum()
    }

    /// How often an attempt ran, over all servers.
    pub(crate) fn runs_of_attempt(&self, attempt: &str) -> u32 {
        let servers = self.engines.iter().chain(&self.bookings);
        servers.map(|server| server.run_counts().get(attempt).copied().unwrap_or(0)).sum()
    }
}

/// Keeps the record of a server as the platform would: it goes some time after the
/// server's end, and a new one comes with the next start.
async fn keep_registered(
    store: SiteStore,
    mut incarnation: watch::Receiver<EngineIncarnation>,
    mut record: ServerRecord,
) {
    while incarnation.changed().await.is_ok() {
        let now = incarnation.borrow_and_update().clone();
        if now.up {
            record = ServerRecord { id: now.id, started_ms: now.started_ms, ..record };
            store.put(SERVER_KIND, &record.id, encode_server(&record));
        } else {
            tokio::time::sleep(LAPSE_TIME).await;
            store.remove(SERVER_KIND, &record.id);
        }
    }
}

/// Returns a loopback address that no other site uses: ports that were free on a
/// shared address may be taken again before the gateway binds them.
fn own_address() -> IpAddr {
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
