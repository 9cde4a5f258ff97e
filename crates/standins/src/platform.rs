//! Stand-in of the platform: object API, VM list and weight store.
//!
//! `POST /standin/vms?lag_ms=N` replaces the list of VMs after a lag; `POST
//! /standin/fault` takes `{"kind": "outage" | "slow" | "lose", "ms" or "count"}`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cuminpick_objects::ObjectChanges;
use cuminpick_objects::StoredObject;
use rouille::Request;
use rouille::Response;
use serde_json::Value;
use serde_json::json;

/// Largest value, in bytes.
const MAX_VALUE_BYTES: u64 = 1 << 20;
/// Bytes that the weight store gives in a second.
const WEIGHT_BYTES_PER_S: u64 = 256 << 20;

/// Rates that the platform allows, in calls a second.
#[derive(Debug, Clone, Copy)]
pub struct PlatformRates {
    /// Writes.
    pub writes: f64,
    /// Reads; a waiting watch counts once.
    pub reads: f64,
}

#[derive(Debug, Clone, Copy)]
struct CallBucket {
    rate: f64,
    left: f64,
    at: Instant,
}

impl CallBucket {
    fn new(rate: f64) -> CallBucket {
        CallBucket { rate, left: rate, at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let passed = self.at.elapsed().as_secs_f64();
        self.at = Instant::now();
        self.left = (self.left + passed * self.rate).min(self.rate) - 1.0;
        if self.left < 0.0 {
            self.left += 1.0;
            return false;
        }
        true
    }
}

struct PlatformState {
    objects: BTreeMap<String, StoredObject>,
    revision: u64,
    vms: Vec<(Instant, Value)>,
    writes: CallBucket,
    reads: CallBucket,
    weights: CallBucket,
    outage_until: Instant,
    slow: Duration,
    lose_answers: u32,
    counts: BTreeMap<&'static str, u64>,
}

/// The platform.
pub struct PlatformStandin {
    state: Mutex<PlatformState>,
    changed: Condvar,
}

impl PlatformStandin {
    /// Starts empty.
    pub fn new(rates: PlatformRates) -> PlatformStandin {
        let state = PlatformState {
            objects: BTreeMap::new(),
            revision: 0,
            vms: Vec::new(),
            writes: CallBucket::new(rates.writes),
            reads: CallBucket::new(rates.reads),
            weights: CallBucket::new(WEIGHT_BYTES_PER_S as f64),
            outage_until: Instant::now(),
            slow: Duration::ZERO,
            lose_answers: 0,
            counts: BTreeMap::new(),
        };
        PlatformStandin { state: Mutex::new(state), changed: Condvar::new() }
    }

    /// Serves until the process ends.
    pub fn serve(self, address: SocketAddr) -> eyre::Result<()> {
        let server = rouille::Server::new(address, move |request| self.answer(request))
            .map_err(|error| eyre::eyre!("cannot listen on {address}: {error}"))?;
        server.run();
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, request: &Request) -> Response {
        let url = request.url();
        if let Some(name) = url.strip_prefix("/standin/") {
            return self.manage(name, request);
        }
        let write = request.method() != "GET";
        if let Some(refusal) = self.admit(write) {
            return refusal;
        }
        match (request.method(), url.as_str()) {
            ("GET", "/v1/changes") => self.changes(request),
            ("GET", "/v1/vms") => Response::json(&self.listed_vms()),
            ("GET", "/v1/weights") => self.weights(request),
            (method, path) => match path.strip_prefix("/v1/objects/") {
                Some(key) => self.object(method, key, request),
                None => Response::empty_404(),
            },
        }
    }

    fn admit(&self, write: bool) -> Option<Response> {
        let mut state = self.lock();
        let slow = state.slow;
        if state.outage_until > Instant::now() {
            return Some(Response::text("outage").with_status_code(503));
        }
        *state.counts.entry(if write { "writes" } else { "reads" }).or_default() += 1;
        let bucket = if write { &mut state.writes } else { &mut state.reads };
        if !bucket.take() {
            *state.counts.entry("limited").or_default() += 1;
            let response = Response::text("rate limit").with_status_code(429);
            return Some(response.with_additional_header("Retry-After", "1"));
        }
        drop(state);
        thread::sleep(slow);
        None
    }

    fn object(&self, method: &str, key: &str, request: &Request) -> Response {
        if method == "GET" {
            let state = self.lock();
            let object = state.objects.get(key).filter(|object| object.value.is_some());
            return object.map_or_else(Response::empty_404, Response::json);
        }
        let value = match method {
            "PUT" => match read_body(request) {
                Some(value) => Some(value),
                None => return Response::text("value too large").with_status_code(413),
            },
            _ => None,
        };
        let mut state = self.lock();
        let present = state.objects.get(key).filter(|object| object.value.is_some());
        let present = present.map_or(0, |object| object.version);
        let wanted = request.header("If-Match").and_then(|text| text.parse().ok()).unwrap_or(0);
        if present != wanted {
            return Response::json(&json!({"version": present})).with_status_code(412);
        }
        state.revision += 1;
        let version = state.revision;
        let object = StoredObject { key: key.to_string(), version, value };
        state.objects.insert(key.to_string(), object);
        self.changed.notify_all();
        if state.lose_answers > 0 {
            state.lose_answers -= 1;
            return Response::text("answer lost").with_status_code(500);
        }
        Response::json(&json!({"version": version}))
    }

    fn changes(&self, request: &Request) -> Response {
        let prefix = request.get_param("prefix").unwrap_or_default();
        let after = number_param(request, "after");
        let end = Instant::now() + Duration::from_millis(number_param(request, "wait_ms"));
        let mut state = self.lock();
        loop {
            let matching = state.objects.values();
            let mut objects: Vec<StoredObject> = matching
                .filter(|object| object.version > after && object.key.starts_with(&prefix))
                .cloned()
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !objects.is_empty() || left.is_zero() {
                objects.sort_by_key(|object| object.version);
                return Response::json(&ObjectChanges { revision: state.revision, objects });
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            if state.outage_until > Instant::now() {
                return Response::text("outage").with_status_code(503);
            }
        }
    }

    /// Newest list of VMs whose lag has passed.
    fn listed_vms(&self) -> Value {
        let state = self.lock();
        let now = Instant::now();
        let shown = state.vms.iter().rev().find(|(at, _)| *at <= now);
        shown.map_or_else(|| json!([]), |(_, list)| list.clone())
    }

    fn weights(&self, request: &Request) -> Response {
        let bytes = number_param(request, "bytes");
        let mut state = self.lock();
        if state.weights.left < bytes as f64 && !state.weights.take() {
            return Response::text("rate limit").with_status_code(429);
        }
        state.weights.left -= bytes as f64;
        Response::json(&json!({"bytes": bytes}))
    }

    fn manage(&self, name: &str, request: &Request) -> Response {
        let body = read_body(request).unwrap_or_default();
        let value: Value = serde_json::from_str(&body).unwrap_or_default();
        let mut state = self.lock();
        match name {
            "vms" => {
                let lag = Duration::from_millis(number_param(request, "lag_ms"));
                state.vms.push((Instant::now() + lag, value));
            }
            "counters" => return Response::json(&state.counts),
            "fault" => {
                let millis = Duration::from_millis(value["ms"].as_u64().unwrap_or(0));
                match value["kind"].as_str() {
                    Some("outage") => state.outage_until = Instant::now() + millis,
                    Some("slow") => state.slow = millis,
                    Some("lose") => {
                        state.lose_answers = value["count"].as_u64().unwrap_or(1) as u32;
                    }
                    _ => return Response::empty_400(),
                }
                self.changed.notify_all();
            }
            _ => return Response::empty_404(),
        }
        Response::json(&json!({}))
    }
}

fn number_param(request: &Request, name: &str) -> u64 {
    request.get_param(name).and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn read_body(request: &Request) -> Option<String> {
    use std::io::Read;
    let mut text = String::new();
    let mut data = request.data()?.take(MAX_VALUE_BYTES + 1);
    data.read_to_string(&mut text).ok()?;
    (text.len() as u64 <= MAX_VALUE_BYTES).then_some(text)
}
