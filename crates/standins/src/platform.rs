//! The stand-in store of the platform as a process, with rate limits and faults.
//!
//! `POST /standin/fault` takes `{"kind": "outage" | "slow" | "lose", "ms" or
//! "count"}`; `GET /standin/counters` returns the numbers of calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;

use crate::site::SiteBody;
use crate::site::SiteRequest;
use crate::site::json_answer;
use crate::site::serve;
use crate::site::store::SiteStore;
use crate::site::store::StoreMode;

/// Path prefix of the calls that set faults and read counters.
const CONTROL_PREFIX: &str = "/standin/";

/// Rate limits of the platform, in calls per second.
#[derive(Debug, Clone, Copy)]
pub struct PlatformRates {
    /// Limit of writes.
    pub writes: f64,
    /// Limit of reads; a watch counts once, however long it waits.
    pub reads: f64,
}

/// Token bucket that holds up to one second's calls.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate: f64) -> TokenBucket {
        TokenBucket { rate, tokens: rate, refilled_at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let elapsed_seconds = self.refilled_at.elapsed().as_secs_f64();
        self.refilled_at = Instant::now();
        self.tokens = (self.tokens + elapsed_seconds * self.rate).min(self.rate) - 1.0;
        if self.tokens < 0.0 {
            self.tokens += 1.0;
            return false;
        }
        true
    }
}

struct PlatformState {
    writes: TokenBucket,
    reads: TokenBucket,
    outage_until: Instant,
    added_latency: Duration,
    answers_to_lose: u64,
    call_counts: BTreeMap<&'static str, u64>,
}

/// Handle of the platform stand-in; clones share the platform.
#[derive(Clone)]
pub struct PlatformStandin {
    store: SiteStore,
    state: Arc<Mutex<PlatformState>>,
}

impl PlatformStandin {
    /// Returns a platform with an empty store.
    pub fn new(rates: PlatformRates) -> PlatformStandin {
        let state = PlatformState {
            writes: TokenBucket::new(rates.writes),
            reads: TokenBucket::new(rates.reads),
            outage_until: Instant::now(),
            added_latency: Duration::ZERO,
            answers_to_lose: 0,
            call_counts: BTreeMap::new(),
        };
        PlatformStandin { store: SiteStore::default(), state: Arc::new(Mutex::new(state)) }
    }

    /// Serves until the process exits; fails if it cannot listen on `address`.
    pub async fn serve(self, address: SocketAddr) -> eyre::Result<()> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|error| eyre::eyre!("cannot listen on {address}: {error}"))?;
        serve(listener, move |request| self.clone().answer(request)).await;
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self, request: SiteRequest) -> Option<Response<SiteBody>> {
        if let Some(name) = request.uri.path().strip_prefix(CONTROL_PREFIX) {
            return Some(self.handle_control_call(name, &request.body));
        }
        let is_write = request.method != Method::GET;
        if let Some(status) = self.rejection(is_write) {
            return Some(json_answer(status, &json!({})));
        }
        let added_latency = self.lock().added_latency;
        tokio::time::sleep(added_latency).await;
        let answer = self.store.clone().answer(request).await;
        if is_write {
            let mut state = self.lock();
            if state.answers_to_lose > 0 {
                state.answers_to_lose -= 1;
                return None;
            }
        }
        answer
    }

    /// Returns the status with which a call is rejected, if it is. Counts all calls but those
    /// during an outage.
    fn rejection(&self, is_write: bool) -> Option<StatusCode> {
        let mut state = self.lock();
        if state.outage_until > Instant::now() {
            return Some(StatusCode::SERVICE_UNAVAILABLE);
        }
        *state.call_counts.entry(if is_write { "writes" } else { "reads" }).or_default() += 1;
        let bucket = if is_write { &mut state.writes } else { &mut state.reads };
        if bucket.take() {
            return None;
        }
        *state.call_counts.entry("limited").or_default() += 1;
        Some(StatusCode::TOO_MANY_REQUESTS)
    }

    /// Sets a fault or returns the counters.
    fn handle_control_call(&self, name: &str, body: &[u8]) -> Response<SiteBody> {
        if name == "counters" {
            return json_answer(StatusCode::OK, &json!(self.lock().call_counts));
        }
        let Ok(fault) = serde_json::from_slice::<Value>(body) else {
            return json_answer(StatusCode::BAD_REQUEST, &json!({}));
        };
        let duration = Duration::from_millis(fault["ms"].as_u64().unwrap_or(0));
        match (name, fault["kind"].as_str()) {
            ("fault", Some("outage")) => self.begin_outage(duration),
            ("fault", Some("slow")) => self.lock().added_latency = duration,
            ("fault", Some("lose")) => {
                self.lock().answers_to_lose = fault["count"].as_u64().unwrap_or(1);
            }
            _ => return json_answer(StatusCode::BAD_REQUEST, &json!({})),
        }
        json_answer(StatusCode::OK, &json!({}))
    }

    /// Rejects all calls for `duration`, and ends the watches that are waiting.
    fn begin_outage(&self, duration: Duration) {
        self.lock().outage_until = Instant::now() + duration;
        self.store.set_mode(StoreMode::Unavailable);
        let store = self.store.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            store.set_mode(StoreMode::Normal);
        });
    }
}
