//! Stand-in of a model engine with continuous batching.
//!
//! `POST /v1/...` takes `{"prompt": "...", "tokens": N}` and streams N events.
//! The text of event `i` depends on the body and `i` alone, so that a resumed
//! stream can be compared with an uncut one. A comment line in each event tells
//! when it was emitted.

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

use crate::model::BearingModel;
use crate::model::BearingSettings;
use crate::model::note_overrun;
use crate::server::AnswerFuture;
use crate::server::StandinRequest;
use crate::server::StandinService;
use crate::server::StreamPart;
use crate::server::json_answer;
use crate::server::stream_answer;
use crate::wall_micros;

/// Prompt prefixes that the cache holds.
const CACHE_PREFIXES: usize = 64;
/// Bytes of a prompt that make up its prefix.
const PREFIX_BYTES: usize = 256;
/// Steps that a prompt takes when its prefix is not cached.
const PREFILL_STEPS: u32 = 2;
/// Cache events kept for `/cache/events`; every fifth is lost.
const CACHE_EVENTS: usize = 256;
/// Delay after which a cache event is told.
const CACHE_EVENT_DELAY: Duration = Duration::from_millis(300);
/// Lag of the load report.
const LOAD_LAG: Duration = Duration::from_millis(500);
/// Time for which a crashed engine is down.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Text in a prompt that crashes the engine.
const POISON_MARK: &[u8] = b"crash-this-engine";
/// Events that wait for a slow reader before its stream pauses.
const EVENT_RING: usize = 64;

struct EngineStream {
    body: Bytes,
    next: u64,
    tokens: u64,
    prefill: u32,
    priority: u32,
    events: mpsc::Sender<StreamPart>,
}

struct CacheEvent {
    at: Instant,
    prefix: u64,
    stored: bool,
}

struct EngineState {
    model: BearingModel,
    boot: u64,
    streams: Vec<EngineStream>,
    cache: VecDeque<u64>,
    cache_events: VecDeque<CacheEvent>,
    loads: VecDeque<(Instant, usize)>,
    fence: u64,
    stalled_until: Instant,
    overruns: u64,
    crashes: u64,
    runs: u64,
    hits: u64,
}

/// A model engine.
pub struct EngineStandin {
    state: Mutex<EngineState>,
    honours_fence: bool,
    down: watch::Sender<bool>,
    wake: tokio::sync::Notify,
    cache_count: AtomicU64,
}

impl EngineStandin {
    /// Starts cold; needs a tokio runtime.
    pub fn start(settings: BearingSettings, honours_fence: bool) -> Arc<EngineStandin> {
        let now = Instant::now();
        let state = EngineState {
            model: BearingModel::new(settings),
            boot: wall_micros(),
            streams: Vec::new(),
            cache: VecDeque::new(),
            cache_events: VecDeque::new(),
            loads: VecDeque::new(),
            fence: 0,
            stalled_until: now,
            overruns: 0,
            crashes: 0,
            runs: 0,
            hits: 0,
        };
        let engine = Arc::new(EngineStandin {
            state: Mutex::new(state),
            honours_fence,
            down: watch::Sender::new(false),
            wake: tokio::sync::Notify::new(),
            cache_count: AtomicU64::new(0),
        });
        tokio::spawn(step_loop(Arc::clone(&engine)));
        engine
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn generate(
        &self,
        request: &StandinRequest,
    ) -> Option<hyper::Response<crate::server::AnswerBody>> {
        let tokens = request.json()["tokens"].as_u64().unwrap_or(16);
        let resume = request.header("cuminpick-resume-after").and_then(|text| text.parse().ok());
        let priority = request.header("cuminpick-priority").and_then(|text| text.parse().ok());
        let poisoned = request.body.windows(POISON_MARK.len()).any(|part| part == POISON_MARK);
        if poisoned {
            self.crash();
            return None;
        }
        let prefix_end = request.body.len().min(PREFIX_BYTES);
        let hit = self.touch_cache(hash_parts(&[&request.body[..prefix_end]]));
        let (events, stream) = mpsc::channel(EVENT_RING);
        let mut state = self.lock();
        state.runs += 1;
        state.hits += u64::from(hit);
        state.streams.push(EngineStream {
            body: request.body.clone(),
            next: resume.unwrap_or(0),
            tokens,
            prefill: if hit { 0 } else { PREFILL_STEPS },
            priority: priority.unwrap_or(0),
            events,
        });
        let overrun = state.streams.len() as f64 > state.model.bears();
        if overrun {
            state.overruns += 1;
        }
        drop(state);
        if overrun {
            note_overrun();
            self.crash();
            return None;
        }
        self.wake.notify_one();
        let mut response = stream_answer(stream);
        response.headers_mut().insert("standin-received-us", wall_micros().into());
        Some(response)
    }

    /// Moves a prefix to the front of the cache; returns whether it was there.
    fn touch_cache(&self, prefix: u64) -> bool {
        let mut state = self.lock();
        let hit = state.cache.contains(&prefix);
        state.cache.retain(|cached| *cached != prefix);
        state.cache.push_front(prefix);
        let evicted =
            (state.cache.len() > CACHE_PREFIXES).then(|| state.cache.pop_back()).flatten();
        let stored = (!hit).then_some((prefix, true));
        let removed = evicted.map(|prefix| (prefix, false));
        for (prefix, stored) in stored.into_iter().chain(removed) {
            if self.cache_count.fetch_add(1, Ordering::Relaxed) % 5 != 4 {
                let event = CacheEvent { at: Instant::now(), prefix, stored };
                state.cache_events.push_back(event);
            }
        }
        while state.cache_events.len() > CACHE_EVENTS {
            state.cache_events.pop_front();
        }
        hit
    }

    /// Breaks all streams and goes down; comes back cold with a new boot id.
    fn crash(&self) {
        let mut state = self.lock();
        state.crashes += 1;
        state.streams.clear();
        state.cache.clear();
        drop(state);
        self.down.send_replace(true);
    }

    fn come_back(&self) {
        let mut state = self.lock();
        state.boot = wall_micros();
        state.model.chill();
        drop(state);
        self.down.send_replace(false);
    }

    fn fault(&self, request: &StandinRequest) {
        let fault = request.json();
        match fault["kind"].as_str() {
            Some("cold") => {
                let mut state = self.lock();
                state.model.chill();
                state.cache.clear();
            }
            Some("crash") => self.crash(),
            Some("stall") => {
                let millis = fault["ms"].as_u64().unwrap_or(1_000);
                self.lock().stalled_until = Instant::now() + Duration::from_millis(millis);
            }
            _ => {}
        }
    }

    /// Takes an order with a fencing number, such as to load an adapter.
    fn order(&self, request: &StandinRequest) -> u16 {
        let number = request.json()["fence"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        if self.honours_fence && number < state.fence {
            return 409;
        }
        state.fence = state.fence.max(number);
        200
    }

    fn load_report(&self) -> usize {
        let state = self.lock();
        let told = state.loads.iter().rev().find(|(at, _)| at.elapsed() >= LOAD_LAG);
        told.map_or(0, |(_, load)| *load)
    }

    fn cache_events(&self) -> serde_json::Value {
        let state = self.lock();
        let told = state.cache_events.iter().filter(|event| event.at.elapsed() > CACHE_EVENT_DELAY);
        told.map(|event| json!({"prefix": event.prefix, "stored": event.stored})).collect()
    }

    fn counters(&self) -> serde_json::Value {
        let state = self.lock();
        json!({
            "overruns": state.overruns, "crashes": state.crashes, "runs": state.runs,
            "hits": state.hits, "batch": state.streams.len(), "bears": state.model.bears(),
        })
    }

    /// Runs one step of the batch; returns the time that it takes.
    fn step_time(&self) -> Option<Duration> {
        let mut state = self.lock();
        state.streams.retain(|stream| !stream.events.is_closed());
        let batch = state.streams.len();
        state.loads.push_back((Instant::now(), batch));
        if state.loads.len() > 256 {
            state.loads.pop_front();
        }
        let stall = state.stalled_until.saturating_duration_since(Instant::now());
        (batch > 0).then(|| state.model.step_time(batch) + stall)
    }

    fn emit(&self) {
        let mut state = self.lock();
        state.streams.sort_by_key(|stream| std::cmp::Reverse(stream.priority));
        for stream in &mut state.streams {
            if stream.prefill > 0 {
                stream.prefill -= 1;
            } else if stream.next < stream.tokens
                && stream
                    .events
                    .try_send(StreamPart::Event(event_text(&stream.body, stream.next)))
                    .is_ok()
            {
                stream.next += 1;
            }
        }
        state.streams.retain(|stream| {
            stream.next < stream.tokens || stream.events.try_send(StreamPart::End).is_err()
        });
    }
}

async fn step_loop(engine: Arc<EngineStandin>) {
    let mut down = engine.down.subscribe();
    loop {
        if *down.borrow_and_update() {
            tokio::time::sleep(DOWN_TIME).await;
            engine.come_back();
        }
        match engine.step_time() {
            Some(time) => {
                tokio::time::sleep(time).await;
                engine.emit();
            }
            None => {
                let _ =
                    tokio::time::timeout(Duration::from_millis(100), engine.wake.notified()).await;
            }
        }
    }
}

/// Returns event `index` of the answer to `body`.
pub fn event_text(body: &[u8], index: u64) -> Bytes {
    let token = hash_parts(&[body, &index.to_le_bytes()]) as u32;
    let at = wall_micros();
    Bytes::from(format!("data: {{\"index\":{index},\"token\":\"{token:08x}\"}}\n: at={at}\n\n"))
}

impl StandinService for EngineStandin {
    fn answer(self: Arc<Self>, request: StandinRequest) -> AnswerFuture {
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/healthz") => {
                Some(json_answer(200, &json!({"boot": self.lock().boot.to_string()})))
            }
            ("GET", "/load") => Some(json_answer(200, &json!({"batch": self.load_report()}))),
            ("GET", "/cache/events") => Some(json_answer(200, &self.cache_events())),
            ("GET", "/cache/export") => {
                let cache: Vec<u64> = self.lock().cache.iter().copied().collect();
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
                let status = self.order(&request);
                Some(json_answer(status, &json!({"fence": self.lock().fence})))
            }
            ("GET", "/standin/counters") => Some(json_answer(200, &self.counters())),
            ("POST", "/standin/fault") => {
                self.fault(&request);
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
