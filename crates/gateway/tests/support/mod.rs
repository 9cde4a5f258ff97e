//! A gateway process between callers of the test and stand-ins of the platform.

#![allow(dead_code, reason = "each test file uses its part of the harness")]

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cuminpick::ids::FastMap;
use cuminpick::routing::RepeatRule;
use cuminpick::routing::RouteRule;
use cuminpick::routing::RouteTarget;
use cuminpick::routing::ServerRecord;
use cuminpick::routing::ServerState;
use cuminpick_platform::call::ClientConnection;
use cuminpick_platform::mirror::CallerHead;
use cuminpick_platform::mirror::StatedService;
use cuminpick_platform::mirror::encode_caller;
use cuminpick_platform::mirror::encode_config;
use cuminpick_platform::mirror::encode_server;
use cuminpick_platform::mirror::encode_settings;
use cuminpick_platform::settings::NodeSettings;
use cuminpick_platform::settings::RuleBounds;
use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_standins::site::engine::SiteEngine;
use cuminpick_standins::site::store::SiteStore;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
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

/// Outcome of a call.
#[derive(Debug, Clone)]
pub(crate) struct CallResult {
    /// Status; `None` when the connection closed without an answer.
    pub(crate) status: Option<StatusCode>,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body as far as it came.
    pub(crate) body: String,
    /// Whether the answer came to its end.
    pub(crate) complete: bool,
    /// Time from the start to the end.
    pub(crate) took: Duration,
}

/// Store, servers and a gateway process.
pub(crate) struct Site {
    /// The store.
    pub(crate) store: SiteStore,
    /// Servers of the service `model`.
    pub(crate) engines: Vec<SiteEngine>,
    /// Servers of the service `booking`.
    pub(crate) bookings: Vec<SiteEngine>,
    records: Vec<ServerRecord>,
    gateway: Child,
    callers: SocketAddr,
    readiness: SocketAddr,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = self.gateway.kill();
        let _ = self.gateway.wait();
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
        let settings = settings(store_address);
        let folder = std::env::temp_dir().join(format!(
            "cuminpick-gateway-{}-{}",
            std::process::id(),
            settings.ip
        ));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("node.toml");
        std::fs::write(&file, encode_settings(&settings)).unwrap();
        let gateway = Command::new(env!("CARGO_BIN_EXE_cuminpick-gateway"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::from(std::fs::File::create(folder.join("log")).unwrap()))
            .spawn()
            .unwrap();
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
        let id = self.gateway.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    }

    /// Waits for the gateway's end.
    pub(crate) async fn wait_end(&mut self) -> Duration {
        let started = Instant::now();
        while self.gateway.try_wait().unwrap().is_none() {
            assert!(started.elapsed() < PATIENCE, "the gateway does not end");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        started.elapsed()
    }

    /// Lines of the gateway's log that name an event.
    pub(crate) fn log(&self, event: &str) -> Vec<String> {
        let text = std::fs::read_to_string(self.folder.join("log")).unwrap();
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
        let started = Instant::now();
        let head = CallerHead { host: HOST, attempt_id: attempt, time_left, key };
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .body(Full::new(Bytes::from_static(b"the body")))
            .unwrap();
        *request.headers_mut() = encode_caller(&head);
        let mut connection = ClientConnection::open(self.callers).await.unwrap();
        let Ok(answer) = connection.send(request).await else {
            return CallResult {
                status: None,
                headers: HeaderMap::new(),
                body: String::new(),
                complete: false,
                took: started.elapsed(),
            };
        };
        let status = Some(answer.status());
        let headers = answer.headers().clone();
        let mut answer = answer.into_body();
        let mut body = Vec::new();
        let mut complete = true;
        while let Some(frame) = answer.frame().await {
            match frame {
                Ok(frame) => body.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => {
                    complete = false;
                    break;
                }
            }
        }
        let body = String::from_utf8(body).unwrap();
        CallResult { status, headers, body, complete, took: started.elapsed() }
    }

    /// How often an attempt ran, over all servers.
    pub(crate) fn runs(&self, attempt: &str) -> u32 {
        let servers = self.engines.iter().chain(&self.bookings);
        servers.map(|server| server.runs().get(attempt).copied().unwrap_or(0)).sum()
    }
}

/// The events of a whole stream, as the stand-in makes them.
pub(crate) fn events(count: u64) -> String {
    (1..=count).map(|number| format!("id: {number}\ndata: event {number}\n\n")).collect()
}

/// Returns a loopback address that no other site uses: ports that were free on a
/// shared address may be taken again before the gateway binds them.
fn own_address() -> IpAddr {
    let site = SITES.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let (high, low) = ((process >> 8) as u8 & 0x7f, process as u8);
    IpAddr::V4(Ipv4Addr::new(127, high + 64, low, site + 10))
}

fn settings(store: SocketAddr) -> NodeSettings {
    let ip = own_address();
    let ports = free_ports(ip, 4);
    NodeSettings {
        node: "edge-1".to_string(),
        zone: "zone-0".to_string(),
        ip,
        first_internal_port: ports[2],
        last_internal_port: ports[2],
        callers: Some(SocketAddr::new(ip, ports[0])),
        readiness: Some(SocketAddr::new(ip, ports[1])),
        local_engine: None,
        local_service: None,
        store,
        bounds: RuleBounds {
            grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 90.0,
            stall: Duration::from_millis(1_500),
        },
        record_interval: Duration::from_millis(1_200),
        link_bits_per_second: 1e9,
        zones: FastMap::default(),
    }
}

fn free_ports(ip: IpAddr, count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((ip, 0)).unwrap()).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap().port()).collect()
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
