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
use cuminpick_platform::mirror::CallerHead;
use cuminpick_platform::mirror::StatedService;
use cuminpick_platform::mirror::encode_config;
use cuminpick_platform::mirror::encode_server;
use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_standins::site::caller::CallResult;
use cuminpick_standins::site::caller::call_site;
use cuminpick_standins::site::engine::SiteEngine;
use cuminpick_standins::site::nodes::NodeProcess;
use cuminpick_standins::site::nodes::gateway_settings;
use cuminpick_standins::site::store::SiteStore;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;

/// Sites that tests of this process have started.
static SITES: AtomicU8 = AtomicU8::new(0);
const HOME: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Host of all routes.
pub(crate) const HOST: &str = "shop.example";
/// Key of the organisation.
pub(crate) const KEY: &str = "key-1";
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
    gateway: NodeProcess,
    callers: SocketAddr,
    readiness: SocketAddr,
    folder: PathBuf,
}

impl Drop for Site {
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
        target: Duration::from_millis(150),
        max_gap: streaming.then(|| Duration::from_millis(120)),
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
    ]
}

impl Site {
    /// Starts all and waits until the gateway is ready.
    pub(crate) async fn start() -> Site {
        let (store, store_address) = SiteStore::start(HOME).await.unwrap();
        let mut records = Vec::new();
        let mut engines = Vec::new();
        let mut bookings = Vec::new();
        for index in 0..5 {
            let service = if index < 3 { "model" } else { "booking" };
            let id = format!("{service}-{index}");
            let (engine, address) = SiteEngine::start(&id, HOME, None).await.unwrap();
            records.push(ServerRecord {
                id,
                service: service.to_string(),
                address,
                zone: format!("zone-{}", index % 2),
                slots: 8,
                state: ServerState::Ready,
                cold_for: Duration::ZERO,
                born_ms: 1,
            });
            if index < 3 { engines.push(engine) } else { bookings.push(engine) }
        }
        let ip = own_address();
        let settings = gateway_settings("edge-1", "zone-0", ip, store_address).unwrap();
        let name = format!("cuminpick-gateway-{}-{ip}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let binary = Path::new(env!("CARGO_BIN_EXE_cuminpick-gateway"));
        let gateway = NodeProcess::start(binary, &settings, &folder).unwrap();
        let site = Site {
            store,
            engines,
            bookings,
            records,
            gateway,
            callers: settings.callers.unwrap(),
            readiness: settings.readiness.unwrap(),
            folder,
        };
        site.configure(1, &routes());
        for record in &site.records {
            site.store.put(SERVER_KIND, &record.id, encode_server(record));
        }
        site.wait_ready(true).await;
        site.settle().await;
        site
    }

    /// Writes a configuration.
    pub(crate) fn configure(&self, version: u64, routes: &[RouteRule]) {
        let services = ["model", "booking"]
            .map(|name| StatedService { name: name.to_string(), experts: None });
        let config = encode_config(version, routes, &services, &[("org", KEY)]);
        self.store.put(CONFIG_KIND, "main", config);
    }

    /// Changes the record of a server.
    pub(crate) fn set_state(&self, id: &str, state: ServerState) {
        let record = self.records.iter().find(|record| record.id == id).unwrap();
        let record = ServerRecord { state, ..record.clone() };
        self.store.put(SERVER_KIND, id, encode_server(&record));
    }

    /// Waits until a change in the store is known everywhere.
    pub(crate) async fn settle(&self) {
        tokio::time::sleep(Duration::from_millis(300)).await;
    }

    /// Whether the gateway says that it takes connections.
    pub(crate) async fn ready(&self) -> bool {
        let answer = fetch(self.readiness, cuminpick_platform::headers::READINESS_PATH).await;
        answer.is_some_and(|(status, _)| status == StatusCode::OK)
    }

    /// Metrics of the gateway as text.
    pub(crate) async fn metrics(&self) -> String {
        fetch(self.readiness, "/metrics").await.map(|(_, body)| body).unwrap_or_default()
    }

    /// Waits until the gateway is, or is no longer, ready.
    pub(crate) async fn wait_ready(&self, wanted: bool) {
        let started = Instant::now();
        while self.ready().await != wanted {
            assert!(started.elapsed() < PATIENCE, "readiness is not {wanted}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends SIGTERM to the gateway.
    pub(crate) fn terminate(&self) {
        self.gateway.signal("TERM").unwrap();
    }

    /// Waits for the gateway's end.
    pub(crate) async fn wait_end(&mut self) -> Duration {
        let started = Instant::now();
        while !self.gateway.ended().unwrap() {
            assert!(started.elapsed() < PATIENCE, "the gateway does not end");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        started.elapsed()
    }

    /// Lines of the gateway's log that name an event.
    pub(crate) fn log(&self, event: &str) -> Vec<String> {
        let text = self.gateway.log().unwrap();
        let wanted = format!("\"event\":\"{event}\"");
        text.lines().filter(|line| line.contains(&wanted)).map(str::to_string).collect()
    }

    /// Address for callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.callers
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
        call_site(self.callers, path, &head).await
    }

    /// How often an attempt ran, over all servers.
    pub(crate) fn runs(&self, attempt: &str) -> u32 {
        let servers = self.engines.iter().chain(&self.bookings);
        servers.map(|server| server.runs().get(attempt).copied().unwrap_or(0)).sum()
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
