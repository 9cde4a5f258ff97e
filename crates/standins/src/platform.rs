//! Process around the stand-in of the platform's store, with its rates and faults.
//!
//! `POST /standin/fault` takes `{"kind": "outage" | "slow" | "lose", "ms" or
//! "count"}`; `GET /standin/counters` tells the calls that were made.

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

/// Path of the calls that set faults and read counters.
const MANAGE_PATH: &str = "/standin/";

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
    writes: CallBucket,
    reads: CallBucket,
    outage_until: Instant,
    slow: Duration,
    lose_answers: u64,
    counts: BTreeMap<&'static str, u64>,
}

/// The platform; cheap to clone.
#[derive(Clone)]
pub struct PlatformStandin {
    store: SiteStore,
    state: Arc<Mutex<PlatformState>>,
}

impl PlatformStandin {
    /// Starts empty.
    pub fn new(rates: PlatformRates) -> PlatformStandin {
        let state = PlatformState {
            writes: CallBucket::new(rates.writes),
            reads: CallBucket::new(rates.reads),
            outage_until: Instant::now(),
            slow: Duration::ZERO,
            lose_answers: 0,
            counts: BTreeMap::new(),
        };
        PlatformStandin { store: SiteStore::default(), state: Arc::new(Mutex::new(state)) }
    }

    /// Serves until the process ends.
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
        if let Some(name) = request.uri.path().strip_prefix(MANAGE_PATH) {
            return Some(self.manage(name, &request.body));
        }
        let write = request.method != Method::GET;
        if let Some(status) = self.refused(write) {
            return Some(json_answer(status, &json!({})));
        }
        let slow = self.lock().slow;
        tokio::time::sleep(slow).await;
        let answer = self.store.clone().answer(request).await;
        if write {
            let mut state = self.lock();
            if state.lose_answers > 0 {
                state.lose_answers -= 1;
                return None;
            }
        }
        answer
    }

    fn refused(&self, write: bool) -> Option<StatusCode> {
        let mut state = self.lock();
        if state.outage_until > Instant::now() {
            return Some(StatusCode::SERVICE_UNAVAILABLE);
        }
        *state.counts.entry(if write { "writes" } else { "reads" }).or_default() += 1;
        let bucket = if write { &mut state.writes } else { &mut state.reads };
        if bucket.take() {
            return None;
        }
        *state.counts.entry("limited").or_default() += 1;
        Some(StatusCode::TOO_MANY_REQUESTS)
    }

    fn manage(&self, name: &str, body: &[u8]) -> Response<SiteBody> {
        if name == "counters" {
            return json_answer(StatusCode::OK, &json!(self.lock().counts));
        }
        let Ok(fault) = serde_json::from_slice::<Value>(body) else {
            return json_answer(StatusCode::BAD_REQUEST, &json!({}));
        };
        let millis = Duration::from_millis(fault["ms"].as_u64().unwrap_or(0));
        match (name, fault["kind"].as_str()) {
            ("fault", Some("outage")) => self.begin_outage(millis),
            ("fault", Some("slow")) => self.lock().slow = millis,
            ("fault", Some("lose")) => {
                self.lock().lose_answers = fault["count"].as_u64().unwrap_or(1);
            }
            _ => return json_answer(StatusCode::BAD_REQUEST, &json!({})),
        }
        json_answer(StatusCode::OK, &json!({}))
    }

    /// Refuses calls for a time and cuts the watches that wait.
    fn begin_outage(&self, lasts: Duration) {
        self.lock().outage_until = Instant::now() + lasts;
        self.store.set_mode(StoreMode::Unavailable);
        let store = self.store.clone();
        tokio::spawn(async move {
            tokio::time::sleep(lasts).await;
            store.set_mode(StoreMode::Normal);
        });
    }
}
