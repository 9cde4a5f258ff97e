//! Stand-in for a backend server: a rank of a model group, or a plain service.
//!
//! The path of a request selects the answer: `/stream/N` returns a stream of N events,
//! and a path with `/ends-servers/` crashes the server. A prompt part whose id begins with
//! `dead` crashes it as well, when the prompt has been read and the answer would begin.
//! Injected faults apply to the next requests, one fault each.

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
use cuminpick_platform::platform_side::add_leaving;
use cuminpick_platform::platform_side::add_limit;
use cuminpick_platform::platform_side::add_pause;
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
use crate::site::full_answer;
use crate::site::group::RankGroup;
use crate::site::json_answer;
use crate::site::listen;
use crate::site::serve;

/// Processing time of a request that is not streamed.
const PLAIN_REQUEST_TIME: Duration = Duration::from_millis(5);
/// Time between events of a server that belongs to no group.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Time that a server stays down after a crash.
const DOWN_TIME: Duration = Duration::from_millis(800);
/// Time by which the listener of a crashed server outlives the connection of the request
/// that crashed it, since a dying process closes its sockets one after the other.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(4);
/// Part of a path that makes the request crash the server.
const CRASHING_PATH: &str = "/ends-servers/";
/// Start of the ids of prompt parts that crash the server.
const CRASHING_PART: &str = "dead";
/// Time that a server takes to read a prompt.
const PROMPT_TIME: Duration = Duration::from_millis(30);

/// Fault that a request meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// Refuses the request and states that it was not run.
    Full,
    /// Does the same, and asks for a pause of this many seconds.
    Pause(u32),
    /// Runs the request and answers with status 500.
    Error,
    /// Runs the request and closes the connection without an answer.
    LostAnswer,
    /// Starts to run the request and never answers.
    Hang,
    /// Runs the request and answers with the attempt id of another one.
    OtherRequest,
    /// Runs the request and answers without the signature headers.
    Unsigned,
    /// Runs the request and answers with status 503, without stating that it was not run.
    BusyAfterRun,
    /// Cuts the stream in the middle of an event, after this many whole ones.
    CutAfter(u32),
}

/// Record of a request that the server began to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerEntry {
    /// When the run began.
    pub at: Instant,
    /// Decoded headers of the request.
    pub head: ForwardedHead,
    /// Path and query of the request.
    pub path: String,
    /// Body of the request.
    pub body: Bytes,
}

/// One incarnation of a server, from its start to the end of the downtime that follows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineIncarnation {
    /// Server id, different for each incarnation.
    pub id: ServerId,
    /// Start time, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Whether the server is running; false once it has crashed.
    pub up: bool,
}

impl EngineIncarnation {
    fn start(id: ServerId) -> EngineIncarnation {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        EngineIncarnation { id, started_ms: since_epoch.as_millis() as u64, up: true }
    }
}

#[derive(Default)]
struct EngineState {
    crashes: u32,
    faults: VecDeque<EngineFault>,
    arrivals: Vec<Instant>,
    ledger: Vec<LedgerEntry>,
    running: u32,
    cancelled: u32,
    frozen: bool,
    crash_delay: Duration,
    answer_delay: Duration,
    ignores_close: bool,
    request_limit: Option<f64>,
    leaving: bool,
    pauses: Vec<Instant>,
}

/// Handle of a stand-in backend server; clones share the server.
#[derive(Clone)]
pub struct SiteEngine {
    incarnation: Arc<watch::Sender<EngineIncarnation>>,
    rank: Option<(RankGroup, usize)>,
    state: Arc<Mutex<EngineState>>,
}

impl SiteEngine {
    /// Starts a server with id `id` on a free port of `ip`; `rank` is its group and its
    /// rank there, `None` for a plain service.
    pub async fn start(
        id: &str,
        ip: IpAddr,
        rank: Option<(RankGroup, usize)>,
    ) -> std::io::Result<(SiteEngine, SocketAddr)> {
        let incarnation = Arc::new(watch::Sender::new(EngineIncarnation::start(id.to_string())));
        let engine = SiteEngine { incarnation, rank, state: Arc::default() };
        let (listener, address) = listen(ip).await?;
        tokio::spawn(engine.clone().run(id.to_string(), listener));
        Ok((engine, address))
    }

    /// Serves requests, and restarts under a new id after each crash.
    async fn run(self, name: ServerId, mut listener: TcpListener) {
        let Ok(address) = listener.local_addr() else {
            return;
        };
        let mut incarnation = self.incarnation.subscribe();
        loop {
            let engine = self.clone();
            tokio::select! {
                biased;
                () = wait_crash(&mut incarnation) => {}
                () = serve(listener, move |request| engine.clone().answer(request)) => return,
            }
            tokio::time::sleep(DOWN_TIME).await;
            listener = match TcpListener::bind(address).await {
                Ok(listener) => listener,
                Err(_) => return,
            };
            let id = format!("{name}-{}", self.crash_count());
            self.lock().leaving = false;
            self.incarnation.send_replace(EngineIncarnation::start(id));
        }
    }

    /// Crashes the server: its connections close, and it stops listening until it restarts.
    pub fn crash(&self) {
        self.lock().crashes += 1;
        self.incarnation.send_modify(|incarnation| incarnation.up = false);
    }

    /// Returns how many times the server has crashed.
    pub fn crash_count(&self) -> u32 {
        self.lock().crashes
    }

    /// Returns a receiver of the current incarnation and the following ones.
    pub fn incarnation(&self) -> watch::Receiver<EngineIncarnation> {
        self.incarnation.subscribe()
    }

    /// Queues a fault for the next request that has none yet.
    pub fn inject_fault(&self, fault: EngineFault) {
        self.lock().faults.push_back(fault);
    }

    /// Discards the queued faults.
    pub fn clear_faults(&self) {
        self.lock().faults.clear();
    }

    /// Freezes the VM or lets it continue. While it is frozen, the server answers nothing
    /// and produces no events.
    pub fn set_frozen(&self, frozen: bool) {
        self.lock().frozen = frozen;
    }

    /// Sets how long requests that crash the server wait before they do so, as if queued
    /// behind others.
    pub fn delay_crashes(&self, delay: Duration) {
        self.lock().crash_delay = delay;
    }

    /// Sets the time by which all answers that begin from now on are delayed.
    pub fn delay_answers(&self, delay: Duration) {
        self.lock().answer_delay = delay;
    }

    /// Lets requests with a part that crashes the server do so although their connections close.
    pub fn ignore_close(&self) {
        self.lock().ignores_close = true;
    }

    /// Sets the limit on requests per second that the server states in its answers.
    pub fn state_limit(&self, per_second: Option<f64>) {
        self.lock().request_limit = per_second;
    }

    /// Makes this incarnation announce in its answers that it leaves; it goes on serving.
    pub fn announce_leaving(&self) {
        self.lock().leaving = true;
    }

    async fn wait_unfrozen(&self) {
        while self.lock().frozen {
            tokio::time::sleep(PLAIN_REQUEST_TIME).await;
        }
    }

    /// Returns when requests arrived, also those that were refused, oldest first.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    /// Returns the requests that began to run, oldest first.
    pub fn ledger(&self) -> Vec<LedgerEntry> {
        self.lock().ledger.clone()
    }

    /// Returns when the server asked for pauses.
    pub fn pauses(&self) -> Vec<Instant> {
        self.lock().pauses.clone()
    }

    /// Returns how many times each attempt ran, by attempt id.
    pub fn run_counts(&self) -> HashMap<String, u32> {
        let mut runs = HashMap::new();
        for entry in &self.lock().ledger {
            *runs.entry(entry.head.attempt_id.clone().unwrap_or_default()).or_insert(0) += 1;
        }
        runs
    }

    /// Returns the number of requests that are running now.
    pub fn running_count(&self) -> u32 {
        self.lock().running
    }

    /// Returns the number of streams whose reader disconnected early.
    pub fn cancelled_count(&self) -> u32 {
        self.lock().cancelled
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self, request: SiteRequest) -> Option<Response<SiteBody>> {
        self.wait_unfrozen().await;
        if let Some(call) = decode_engine_call(&request.method, &request.uri, &request.body) {
            return self.handle_engine_call(call);
        }
        let head = decode_forwarded(&request.headers);
        if head.server.as_ref().is_some_and(|server| *server != self.incarnation.borrow().id) {
            return Some(full_answer(StatusCode::MISDIRECTED_REQUEST, HeaderMap::new(), ""));
        }
        self.lock().arrivals.push(Instant::now());
        let fault = self.lock().faults.pop_front();
        if fault == Some(EngineFault::Full) {
            return Some(full_answer(StatusCode::SERVICE_UNAVAILABLE, not_run_headers(), ""));
        }
        if let Some(EngineFault::Pause(seconds)) = fault {
            self.lock().pauses.push(Instant::now());
            let mut headers = not_run_headers();
            add_pause(&mut headers, f64::from(seconds));
            return Some(full_answer(StatusCode::SERVICE_UNAVAILABLE, headers, ""));
        }
        let path = request.uri.to_string();
        let entry = LedgerEntry {
            at: Instant::now(),
            head: head.clone(),
            path: path.clone(),
            body: request.body,
        };
        self.lock().ledger.push(entry);
        if path.contains(CRASHING_PATH) {
            let crash_delay = self.lock().crash_delay;
            tokio::time::sleep(crash_delay).await;
            self.crash();
            return None;
        }
        if head.prompt_parts.iter().any(|id| id.starts_with(CRASHING_PART)) {
            let crash_delay = self.lock().crash_delay;
            let engine = self.clone();
            let crash = async move {
                tokio::time::sleep(PROMPT_TIME + crash_delay).await;
                engine.crash();
            };
            if self.lock().ignores_close {
                tokio::spawn(crash);
                std::future::pending::<()>().await;
            } else {
                crash.await;
            }
            return None;
        }
        let request_limit = self.lock().request_limit;
        let running = RunningGuard::begin(&self);
        let attempt = head.attempt_id.clone().unwrap_or_default();
        let mut headers =
            sealed_headers(&attempt, &format!("seal-{}-{attempt}", self.incarnation.borrow().id));
        if let Some(limit) = request_limit {
            add_limit(&mut headers, limit);
        }
        if self.lock().leaving {
            add_leaving(&mut headers);
        }
        match fault {
            Some(EngineFault::LostAnswer) => return None,
            Some(EngineFault::Hang) => {
                std::future::pending::<()>().await;
            }
            Some(EngineFault::OtherRequest) => headers = sealed_headers("other", "seal-other"),
            Some(EngineFault::Unsigned) => headers = HeaderMap::new(),
            Some(EngineFault::Error) => {
                return Some(full_answer(StatusCode::INTERNAL_SERVER_ERROR, headers, "failed"));
            }
            Some(EngineFault::BusyAfterRun) => {
                return Some(full_answer(StatusCode::SERVICE_UNAVAILABLE, headers, "busy"));
            }
            _ => {}
        }
        let answer_delay = self.lock().answer_delay;
        tokio::time::sleep(answer_delay).await;
        let event_count = path.rsplit_once("/stream/").and_then(|(_, count)| count.parse().ok());
        match event_count {
            Some(event_count) => {
                let cut_after = match fault {
                    Some(EngineFault::CutAfter(events)) => Some(events),
                    _ => None,
                };
                Some(self.stream_events(headers, event_count, head.last_event, cut_after, running))
            }
            None => {
                tokio::time::sleep(PLAIN_REQUEST_TIME).await;
                let body = format!("answer to {attempt}");
                Some(full_answer(StatusCode::OK, headers, body))
            }
        }
    }

    /// Answers a call of the engine's control interface; `None` closes the connection.
    fn handle_engine_call(&self, call: EngineCall) -> Option<Response<SiteBody>> {
        let Some((group, rank)) = &self.rank else {
            return Some(json_answer(StatusCode::OK, &json!({ "queued": 0, "running": 0 })));
        };
        let answer = match call {
            EngineCall::Report => {
                let report = GroupReport {
                    group: group.name().to_string(),
                    size: group.rank_count(),
                    status: group.status(*rank),
                };
                json_answer(StatusCode::OK, &encode_report(&report))
            }
            EngineCall::Counts => {
                let (epoch, counts) = group.expert_counts(*rank);
                json_answer(StatusCode::OK, &encode_counts(&ExpertCounts { epoch, counts }))
            }
            EngineCall::PlacedExperts => {
                let (version, placed) = group.placed_experts(*rank);
                json_answer(StatusCode::OK, &encode_placed_experts(version, &placed))
            }
            EngineCall::Order(order) => {
                if let Some(delay) = group.take_order_delay(&order) {
                    let (group, rank) = (group.clone(), *rank);
                    tokio::spawn(async move {
                        tokio::time::sleep(delay).await;
                        group.execute_order(rank, &order);
                    });
                    return None;
                }
                let outcome = group.execute_order(*rank, &order);
                json_answer(order_status(outcome), &json!({}))
            }
        };
        Some(answer)
    }

    /// Streams the events up to `event_count` that follow `last_event`; cuts the stream in the
    /// middle of an event after `cut_after` whole ones.
    fn stream_events(
        &self,
        headers: HeaderMap,
        event_count: u64,
        last_event: Option<u64>,
        cut_after: Option<u32>,
        running: RunningGuard,
    ) -> Response<SiteBody> {
        let (sender, receiver) = mpsc::channel(1);
        let engine = self.clone();
        let first_number = last_event.map_or(1, |last| last + 1);
        tokio::spawn(async move {
            let _running = running;
            let mut passes = engine.rank.as_ref().map(|(group, _)| group.passes());
            for (sent_events, number) in (first_number..=event_count).enumerate() {
                match &mut passes {
                    Some(passes) => {
                        let _ = passes.changed().await;
                    }
                    None => tokio::time::sleep(EVENT_INTERVAL).await,
                }
                engine.wait_unfrozen().await;
                let event = format!("id: {number}\ndata: event {number}\n\n");
                if cut_after.is_some_and(|events| sent_events as u32 == events) {
                    let partial_event = Bytes::from(event.into_bytes()[..8].to_vec());
                    let _ = sender.send(Ok(Frame::data(partial_event))).await;
                    let _ = sender
                        .send(Err(std::io::Error::other(
                            "injected fault: stream cut inside an event",
                        )))
                        .await;
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

/// Waits for the server to crash and for the delay before its listener closes.
async fn wait_crash(incarnation: &mut watch::Receiver<EngineIncarnation>) {
    if incarnation.wait_for(|incarnation| !incarnation.up).await.is_ok() {
        tokio::time::sleep(LISTENER_CLOSE_DELAY).await;
    }
}

/// Counts a request as running until the guard is dropped.
struct RunningGuard {
    engine: SiteEngine,
}

impl RunningGuard {
    fn begin(engine: &SiteEngine) -> RunningGuard {
        engine.lock().running += 1;
        if let Some((group, rank)) = &engine.rank {
            group.count_running(*rank, true);
        }
        RunningGuard { engine: engine.clone() }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.engine.lock().running -= 1;
        if let Some((group, rank)) = &self.engine.rank {
            group.count_running(*rank, false);
        }
    }
}
