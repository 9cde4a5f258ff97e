//! Stand-in for a model engine with continuous batching.
//!
//! `POST /v1/...` takes `{"prompt": "...", "tokens": N}` and streams N events.
//! The data of event `i` depend only on the body and `i`, so that a resumed stream can be
//! compared with an uncut one. A comment line in each event states when it was emitted.
//! Streams beyond the capacity crash the engine.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cuminpick::ids::hash_parts;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::model::CapacityModel;
use crate::model::CapacitySettings;
use crate::model::report_overrun;
use crate::server::AnswerFuture;
use crate::server::StandinRequest;
use crate::server::StandinService;
use crate::server::StreamPart;
use crate::server::json_answer;
use crate::server::stream_answer;
use crate::unix_micros;

/// Maximum number of prompt prefixes in the cache.
const CACHE_PREFIXES: usize = 64;
/// Number of bytes of the request body that make up its prefix.
const PREFIX_BYTES: usize = 256;
/// Steps that a prompt takes when its prefix is not cached.
const PREFILL_STEPS: u32 = 2;
/// Maximum number of cache events kept for `/cache/events`; every fifth event is lost.
const CACHE_EVENTS: usize = 256;
/// Delay after which a cache event is reported.
const CACHE_EVENT_DELAY: Duration = Duration::from_millis(300);
/// Age of the batch size that the load report states.
const LOAD_REPORT_LAG: Duration = Duration::from_millis(500);
/// Time for which a crashed engine stays down.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Text in a request body that crashes the engine.
const CRASH_MARKER: &[u8] = b"crash-this-engine";
/// Number of events buffered for a slow reader before its stream pauses.
const EVENT_BUFFER: usize = 64;

/// Stream in the batch.
struct EngineStream {
    body: Bytes,
    next_event: u64,
    tokens: u64,
    prefill_steps: u32,
    priority: u32,
    events: mpsc::Sender<StreamPart>,
}

/// Prefix that was stored in the cache or evicted from it.
struct CacheEvent {
    at: Instant,
    prefix: u64,
    stored: bool,
}

struct EngineState {
    model: CapacityModel,
    boot_id: u64,
    streams: Vec<EngineStream>,
    cached_prefixes: VecDeque<u64>,
    cache_events: VecDeque<CacheEvent>,
    load_history: VecDeque<(Instant, usize)>,
    highest_fence: u64,
    stalled_until: Instant,
    overruns: u64,
    crashes: u64,
    runs: u64,
    cache_hits: u64,
}

/// Model engine that batches streams and crashes beyond its capacity.
pub struct EngineStandin {
    state: Mutex<EngineState>,
    honours_fence: bool,
    down: watch::Sender<bool>,
    stream_added: tokio::sync::Notify,
    cache_event_count: AtomicU64,
}

impl EngineStandin {
    /// Starts a cold engine; needs a tokio runtime. If `honours_fence` is false, it accepts orders
    /// with outdated fencing numbers.
    pub fn start(settings: CapacitySettings, honours_fence: bool) -> Arc<EngineStandin> {
        let now = Instant::now();
        let state = EngineState {
            model: CapacityModel::new(settings),
            boot_id: unix_micros(),
            streams: Vec::new(),
            cached_prefixes: VecDeque::new(),
            cache_events: VecDeque::new(),
            load_history: VecDeque::new(),
            highest_fence: 0,
            stalled_until: now,
            overruns: 0,
            crashes: 0,
            runs: 0,
            cache_hits: 0,
        };
        let engine = Arc::new(EngineStandin {
            state: Mutex::new(state),
            honours_fence,
            down: watch::Sender::new(false),
            stream_added: tokio::sync::Notify::new(),
            cache_event_count: AtomicU64::new(0),
        });
        tokio::spawn(step_loop(Arc::clone(&engine)));
        engine
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a stream; `None` if the request crashed the engine.
    fn generate(
        &self,
        request: &StandinRequest,
    ) -> Option<hyper::Response<crate::server::AnswerBody>> {
        let tokens = request.json()["tokens"].as_u64().unwrap_or(16);
        let resume_after =
            request.header("cuminpick-resume-after").and_then(|text| text.parse().ok());
        let priority = request.header("cuminpick-priority").and_then(|text| text.parse().ok());
        let crashes_engine =
            request.body.windows(CRASH_MARKER.len()).any(|part| part == CRASH_MARKER);
        if crashes_engine {
            self.crash();
            return None;
        }
        let prefix_end = request.body.len().min(PREFIX_BYTES);
        let cache_hit = self.touch_cache(hash_parts(&[&request.body[..prefix_end]]));
        let (events, stream) = mpsc::channel(EVENT_BUFFER);
        let mut state = self.lock();
        state.runs += 1;
        state.cache_hits += u64::from(cache_hit);
        state.streams.push(EngineStream {
            body: request.body.clone(),
            next_event: resume_after.unwrap_or(0),
            tokens,
            prefill_steps: if cache_hit { 0 } else { PREFILL_STEPS },
            priority: priority.unwrap_or(0),
            events,
        });
        let overrun = state.streams.len() as f64 > state.model.capacity();
        if overrun {
            state.overruns += 1;
        }
        drop(state);
        if overrun {
            report_overrun();
            self.crash();
            return None;
        }
        self.stream_added.notify_one();
        let mut response = stream_answer(stream);
        response.headers_mut().insert("standin-received-us", unix_micros().into());
        Some(response)
    }

    /// Moves a prefix to the front of the cache, or adds it there; returns whether it was cached.
    fn touch_cache(&self, prefix: u64) -> bool {
        let mut state = self.lock();
        let cache_hit = state.cached_prefixes.contains(&prefix);
        state.cached_prefixes.retain(|cached| *cached != prefix);
        state.cached_prefixes.push_front(prefix);
        let evicted = (state.cached_prefixes.len() > CACHE_PREFIXES)
            .then(|| state.cached_prefixes.pop_back())
            .flatten();
        let stored = (!cache_hit).then_some((prefix, true));
        let removed = evicted.map(|prefix| (prefix, false));
        for (prefix, stored) in stored.into_iter().chain(removed) {
            if self.cache_event_count.fetch_add(1, Ordering::Relaxed) % 5 != 4 {
                let event = CacheEvent { at: Instant::now(), prefix, stored };
                state.cache_events.push_back(event);
            }
        }
        while state.cache_events.len() > CACHE_EVENTS {
            state.cache_events.pop_front();
        }
        cache_hit
    }

    /// Cuts all streams and takes the engine down; it restarts cold with a new boot id.
    fn crash(&self) {
        let mut state = self.lock();
        state.crashes += 1;
        state.streams.clear();
        state.cached_prefixes.clear();
        drop(state);
        self.down.send_replace(true);
    }

    fn restart(&self) {
        let mut state = self.lock();
        state.boot_id = unix_micros();
        state.model.reset_to_cold();
        drop(state);
        self.down.send_replace(false);
    }

    fn apply_fault(&self, request: &StandinRequest) {
        let fault = request.json();
        match fault["kind"].as_str() {
            Some("cold") => {
                let mut state = self.lock();
                state.model.reset_to_cold();
                state.cached_prefixes.clear();
            }
            Some("crash") => self.crash(),
            Some("stall") => {
                let millis = fault["ms"].as_u64().unwrap_or(1_000);
                self.lock().stalled_until = Instant::now() + Duration::from_millis(millis);
            }
            _ => {}
        }
    }

    /// Executes an order with a fencing number, such as to load an adapter; returns the HTTP
    /// status.
    fn execute_order(&self, request: &StandinRequest) -> u16 {
        let fence = request.json()["fence"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        if self.honours_fence && fence < state.highest_fence {
            return 409;
        }
        state.highest_fence = state.highest_fence.max(fence);
        200
    }

    /// Returns the batch size as it was [`LOAD_REPORT_LAG`] ago.
    fn load_report(&self) -> usize {
        let state = self.lock();
        let reported =
            state.load_history.iter().rev().find(|(at, _)| at.elapsed() >= LOAD_REPORT_LAG);
        reported.map_or(0, |(_, load)| *load)
    }

    fn cache_events(&self) -> serde_json::Value {
        let state = self.lock();
        let reported =
            state.cache_events.iter().filter(|event| event.at.elapsed() > CACHE_EVENT_DELAY);
        reported.map(|event| json!({"prefix": event.prefix, "stored": event.stored})).collect()
    }

    fn counters(&self) -> serde_json::Value {
        let state = self.lock();
        json!({
            "overruns": state.overruns, "crashes": state.crashes, "runs": state.runs,
            "hits": state.cache_hits, "batch": state.streams.len(), "bears": state.model.capacity(),
        })
    }

    /// Begins a step of the batch; returns the time that it takes, `None` if there are no streams.
    fn begin_step(&self) -> Option<Duration> {
        let mut state = self.lock();
        state.streams.retain(|stream| !stream.events.is_closed());
        let batch = state.streams.len();
        state.load_history.push_back((Instant::now(), batch));
        if state.load_history.len() > 256 {
            state.load_history.pop_front();
        }
        let stall = state.stalled_until.saturating_duration_since(Instant::now());
        (batch > 0).then(|| state.model.step_time(batch) + stall)
    }

    /// Ends a step: emits the next event of each stream, those with high priority first.
    fn emit_events(&self) {
        let mut state = self.lock();
        state.streams.sort_by_key(|stream| std::cmp::Reverse(stream.priority));
        for stream in &mut state.streams {
            if stream.prefill_steps > 0 {
                stream.prefill_steps -= 1;
            } else if stream.next_event < stream.tokens
                && stream
                    .events
                    .try_send(StreamPart::Event(event_text(&stream.body, stream.next_event)))
                    .is_ok()
            {
                stream.next_event += 1;
            }
        }
        state.streams.retain(|stream| {
            stream.next_event < stream.tokens || stream.events.try_send(StreamPart::End).is_err()
        });
    }
}

/// Runs the steps of the batch, and restarts the engine after each crash.
async fn step_loop(engine: Arc<EngineStandin>) {
    let mut down = engine.down.subscribe();
    loop {
        if *down.borrow_and_update() {
            tokio::time::sleep(DOWN_TIME).await;
            engine.restart();
        }
        match engine.begin_step() {
            Some(time) => {
                tokio::time::sleep(time).await;
                engine.emit_events();
            }
            None => {
                let _ = tokio::time::timeout(
                    Duration::from_millis(100),
                    engine.stream_added.notified(),
                )
                .await;
            }
        }
    }
}

/// Returns event `index` of the answer to `body`, emitted now.
pub fn event_text(body: &[u8], index: u64) -> Bytes {
    let token = hash_parts(&[body, &index.to_le_bytes()]) as u32;
    let at = unix_micros();
    Bytes::from(format!("data: {{\"index\":{index},\"token\":\"{token:08x}\"}}\n: at={at}\n\n"))
}

impl StandinService for EngineStandin {
    fn answer(self: Arc<Self>, request: StandinRequest) -> AnswerFuture {
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/healthz") => {
                Some(json_answer(200, &json!({"boot": self.lock().boot_id.to_string()})))
            }
            ("GET", "/load") => Some(json_answer(200, &json!({"batch": self.load_report()}))),
            ("GET", "/cache/events") => Some(json_answer(200, &self.cache_events())),
            ("GET", "/cache/export") => {
                let cache: Vec<u64> = self.lock().cached_prefixes.iter().copied().collect();
                Some(json_answer(200, &cache))
            }
            ("POST", "/cache/import") => {
                let prefixes = request.json();
                for prefix in prefixes.as_array().into_iter().flatten().rev() {
                    self.touch_cache(prefix.as_u64().unwrap_or_default());
                }
                Some(json_answer(200, &json!({})))
            }
            ("POST", "/order") => {
                let status = self.execute_order(&request);
                Some(json_answer(status, &json!({"fence": self.lock().highest_fence})))
            }
            ("GET", "/standin/counters") => Some(json_answer(200, &self.counters())),
            ("POST", "/standin/fault") => {
                self.apply_fault(&request);
                Some(json_answer(200, &json!({})))
            }
            ("POST", path) if path.starts_with("/v1/") => self.generate(&request),
            _ => Some(json_answer(404, &json!({}))),
        };
        Box::pin(async move { answer })
    }

    fn down(&self) -> watch::Receiver<bool> {
        self.down.subscribe()
    }
}
