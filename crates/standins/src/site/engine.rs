//! Stand-in of a backend server: a rank of a model group, or a plain service.
//!
//! What a request asks for stands in its path: `/stream/N` gives N events. Faults
//! are set from outside and hold for the next requests.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use cuminpick::ids::ServerId;
use cuminpick_platform::engine::ExpertCounts;
use cuminpick_platform::engine::GroupReport;
use cuminpick_platform::platform_side::EngineCall;
use cuminpick_platform::platform_side::ForwardedHead;
use cuminpick_platform::platform_side::decode_engine_call;
use cuminpick_platform::platform_side::decode_forwarded;
use cuminpick_platform::platform_side::encode_counts;
use cuminpick_platform::platform_side::encode_placed_experts;
use cuminpick_platform::platform_side::encode_report;
use cuminpick_platform::platform_side::not_run_headers;
use cuminpick_platform::platform_side::order_status;
use cuminpick_platform::platform_side::sealed_headers;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_stream::wrappers::ReceiverStream;

use crate::site::SiteBody;
use crate::site::SiteRequest;
use crate::site::group::RankGroup;
use crate::site::json_answer;
use crate::site::listen;
use crate::site::serve;
use crate::site::whole;

/// Time that a plain request takes.
const PLAIN_WORK: Duration = Duration::from_millis(5);
/// Pause between events where there is no group.
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// Time that a server is down after a request ended it.
const DOWN_TIME: Duration = Duration::from_millis(800);
/// Time by which the listener of a server that ends outlives the connection of the
/// request that ended it; a process closes its sockets one after the other.
const LISTENER_OUTLIVES: Duration = Duration::from_millis(4);
/// Part of a path that ends the server which runs the request.
const ENDING_PATH: &str = "/ends-servers/";

/// What goes wrong with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// Refused as not run.
    Full,
    /// The answer says that the server failed.
    Error,
    /// Run, and the connection is closed without an answer.
    LostAnswer,
    /// Run, and never answered.
    Hang,
    /// The answer names another request.
    OtherRequest,
    /// The answer is not signed.
    Unsigned,
    /// 503 without the statement that it was not run, though it was.
    BusyAfterRun,
    /// A stream breaks off inside the event after this many.
    CutAfter(u32),
}

/// A request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerEntry {
    /// When it began to run.
    pub at: Instant,
    /// What its head said.
    pub head: ForwardedHead,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

/// One start of a server, or the time after its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineIncarnation {
    /// Identity, new with each start.
    pub id: ServerId,
    /// Start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Whether it runs.
    pub up: bool,
}

impl EngineIncarnation {
    fn begin(id: ServerId) -> EngineIncarnation {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        EngineIncarnation { id, started_ms: since_epoch.as_millis() as u64, up: true }
    }
}

#[derive(Default)]
struct EngineState {
    crashes: u32,
    faults: VecDeque<EngineFault>,
    ledger: Vec<LedgerEntry>,
    running: u32,
    cancelled: u32,
    frozen: bool,
    turn_wait: Duration,
}

/// A backend server; cheap to clone.
#[derive(Clone)]
pub struct SiteEngine {
    incarnation: Arc<watch::Sender<EngineIncarnation>>,
    rank: Option<(RankGroup, usize)>,
    state: Arc<Mutex<EngineState>>,
}

impl SiteEngine {
    /// Starts a server with identity `id` on a free port of `ip`.
    pub async fn start(
        id: &str,
        ip: IpAddr,
        rank: Option<(RankGroup, usize)>,
    ) -> std::io::Result<(SiteEngine, SocketAddr)> {
        let incarnation = Arc::new(watch::Sender::new(EngineIncarnation::begin(id.to_string())));
        let engine = SiteEngine { incarnation, rank, state: Arc::default() };
        let (listener, address) = listen(ip).await?;
        tokio::spawn(engine.clone().live(id.to_string(), listener));
        Ok((engine, address))
    }

    /// Serves, and starts again under another identity after each end.
    async fn live(self, name: ServerId, mut listener: TcpListener) {
        let Ok(address) = listener.local_addr() else {
            return;
        };
        let mut incarnation = self.incarnation.subscribe();
        loop {
            let serving = self.clone();
            tokio::select! {
                biased;
                () = ended(&mut incarnation) => {}
                () = serve(listener, move |request| serving.clone().answer(request)) => return,
            }
            tokio::time::sleep(DOWN_TIME).await;
            listener = match TcpListener::bind(address).await {
                Ok(listener) => listener,
                Err(_) => return,
            };
            let id = format!("{name}-{}", self.crash_count());
            self.incarnation.send_replace(EngineIncarnation::begin(id));
        }
    }

    /// Ends the server: its connections break off, and nothing listens for a while.
    pub fn crash(&self) {
        self.lock().crashes += 1;
        self.incarnation.send_modify(|incarnation| incarnation.up = false);
    }

    /// How often the server has ended.
    pub fn crash_count(&self) -> u32 {
        self.lock().crashes
    }

    /// The current start of the server, and those that follow.
    pub fn incarnation(&self) -> watch::Receiver<EngineIncarnation> {
        self.incarnation.subscribe()
    }

    /// Has the next request meet a fault.
    pub fn inject_fault(&self, fault: EngineFault) {
        self.lock().faults.push_back(fault);
    }

    /// Drops the faults that no request has met.
    pub fn clear_faults(&self) {
        self.lock().faults.clear();
    }

    /// Has the VM stand still, or go on: while it does nothing is answered and no
    /// event is made.
    pub fn set_frozen(&self, frozen: bool) {
        self.lock().frozen = frozen;
    }

    /// Has requests that end the server wait so long for their turn to run.
    pub fn delay_crashes(&self, wait: Duration) {
        self.lock().turn_wait = wait;
    }

    async fn thawed(&self) {
        while self.lock().frozen {
            tokio::time::sleep(PLAIN_WORK).await;
        }
    }

    /// Requests that ran, oldest first.
    pub fn ledger(&self) -> Vec<LedgerEntry> {
        self.lock().ledger.clone()
    }

    /// How often each attempt ran.
    pub fn run_counts(&self) -> HashMap<String, u32> {
        let mut runs = HashMap::new();
        for entry in &self.lock().ledger {
            *runs.entry(entry.head.attempt_id.clone().unwrap_or_default()).or_insert(0) += 1;
        }
        runs
    }

    /// Requests that run now.
    pub fn running_count(&self) -> u32 {
        self.lock().running
    }

    /// Streams whose reader went away.
    pub fn cancelled(&self) -> u32 {
        self.lock().cancelled
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self, request: SiteRequest) -> Option<Response<SiteBody>> {
        self.thawed().await;
        if let Some(call) = decode_engine_call(&request.method, &request.uri, &request.body) {
            return Some(self.manage(call));
        }
        let head = decode_forwarded(&request.headers);
        if head.server.as_ref().is_some_and(|server| *server != self.incarnation.borrow().id) {
            return Some(whole(StatusCode::MISDIRECTED_REQUEST, HeaderMap::new(), ""));
        }
        let fault = self.lock().faults.pop_front();
        if fault == Some(EngineFault::Full) {
            return Some(whole(StatusCode::SERVICE_UNAVAILABLE, not_run_headers(), ""));
        }
        let path = request.uri.to_string();
        let entry = LedgerEntry {
            at: Instant::now(),
            head: head.clone(),
            path: path.clone(),
            body: request.body,
        };
        self.lock().ledger.push(entry);
        if path.contains(ENDING_PATH) {
            let turn_wait = self.lock().turn_wait;
            tokio::time::sleep(turn_wait).await;
            self.crash();
            return None;
        }
        let running = Running::begin(&self);
        let attempt = head.attempt_id.clone().unwrap_or_default();
        let mut headers =
            sealed_headers(&attempt, &format!("seal-{}-{attempt}", self.incarnation.borrow().id));
        match fault {
            Some(EngineFault::LostAnswer) => return None,
            Some(EngineFault::Hang) => {
                std::future::pending::<()>().await;
            }
            Some(EngineFault::OtherRequest) => headers = sealed_headers("other", "seal-other"),
            Some(EngineFault::Unsigned) => headers = HeaderMap::new(),
            Some(EngineFault::Error) => {
                return Some(whole(StatusCode::INTERNAL_SERVER_ERROR, headers, "failed"));
            }
            Some(EngineFault::BusyAfterRun) => {
                return Some(whole(StatusCode::SERVICE_UNAVAILABLE, headers, "busy"));
            }
            _ => {}
        }
        let events = path.rsplit_once("/stream/").and_then(|(_, count)| count.parse().ok());
        match events {
            Some(events) => {
                let cut = match fault {
                    Some(EngineFault::CutAfter(after)) => Some(after),
                    _ => None,
                };
                Some(self.stream(headers, events, head.last_event, cut, running))
            }
            None => {
                tokio::time::sleep(PLAIN_WORK).await;
                let body = format!("answer to {attempt}");
                Some(whole(StatusCode::OK, headers, body))
            }
        }
    }

    fn manage(&self, call: EngineCall) -> Response<SiteBody> {
        let Some((group, rank)) = &self.rank else {
            return json_answer(StatusCode::OK, &json!({ "queued": 0, "running": 0 }));
        };
        match call {
            EngineCall::Report => {
                let report = GroupReport {
                    group: "group".to_string(),
                    size: group.size(),
                    status: group.status(*rank),
                };
                json_answer(StatusCode::OK, &encode_report(&report))
            }
            EngineCall::Counts => {
                let (epoch, counts) = group.counts(*rank);
                json_answer(StatusCode::OK, &encode_counts(&ExpertCounts { epoch, counts }))
            }
            EngineCall::PlacedExperts => {
                let (version, placed) = group.placed(*rank);
                json_answer(StatusCode::OK, &encode_placed_experts(version, &placed))
            }
            EngineCall::Order(order) => {
                let outcome = group.take_order(*rank, &order);
                json_answer(order_status(outcome), &json!({}))
            }
        }
    }

    fn stream(
        &self,
        headers: HeaderMap,
        events: u64,
        after: Option<u64>,
        cut: Option<u32>,
        running: Running,
    ) -> Response<SiteBody> {
        let (sender, receiver) = mpsc::channel(1);
        let engine = self.clone();
        let first = after.map_or(1, |after| after + 1);
        tokio::spawn(async move {
            let _running = running;
            let mut passes = engine.rank.as_ref().map(|(group, _)| group.passes());
            for (made, number) in (first..=events).enumerate() {
                match &mut passes {
                    Some(passes) => {
                        let _ = passes.changed().await;
                    }
                    None => tokio::time::sleep(EVENT_PAUSE).await,
                }
                engine.thawed().await;
                let event = format!("id: {number}\ndata: event {number}\n\n");
                if cut.is_some_and(|cut| made as u32 == cut) {
                    let half = Bytes::from(event.into_bytes()[..8].to_vec());
                    let _ = sender.send(Ok(Frame::data(half))).await;
                    let _ = sender.send(Err(std::io::Error::other("cut"))).await;
                    return;
                }
                if sender.send(Ok(Frame::data(Bytes::from(event)))).await.is_err() {
                    engine.lock().cancelled += 1;
                    return;
                }
            }
        });
        let body = StreamBody::new(ReceiverStream::new(receiver)).boxed_unsync();
        let mut response = Response::new(body);
        *response.headers_mut() = headers;
        response
    }
}

/// Waits for the end of a server, until its listener closes.
async fn ended(incarnation: &mut watch::Receiver<EngineIncarnation>) {
    if incarnation.wait_for(|incarnation| !incarnation.up).await.is_ok() {
        tokio::time::sleep(LISTENER_OUTLIVES).await;
    }
}

/// Counts a request as running until it is dropped.
struct Running {
    engine: SiteEngine,
}

impl Running {
    fn begin(engine: &SiteEngine) -> Running {
        engine.lock().running += 1;
        if let Some((group, rank)) = &engine.rank {
            group.count_running(*rank, true);
        }
        Running { engine: engine.clone() }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.engine.lock().running -= 1;
        if let Some((group, rank)) = &self.engine.rank {
            group.count_running(*rank, false);
        }
    }
}
