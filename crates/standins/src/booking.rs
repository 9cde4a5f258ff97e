//! Stand-in for a plain booking service that records its runs in a ledger.
//!
//! `POST /v1/...` takes `{"booking": "..."}` and returns a confirmation that depends on the body
//! alone. Requests beyond the capacity crash the service.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cuminpick::ids::FastMap;
use cuminpick::ids::hash_parts;
use serde_json::json;
use tokio::sync::watch;

use crate::model::CapacityModel;
use crate::model::CapacitySettings;
use crate::model::report_overrun;
use crate::server::AnswerFuture;
use crate::server::StandinRequest;
use crate::server::StandinService;
use crate::server::json_answer;
use crate::unix_micros;

/// Time for which a crashed service stays down.
const DOWN_TIME: Duration = Duration::from_secs(2);

struct BookingState {
    model: CapacityModel,
    boot_id: u64,
    running: usize,
    overruns: u64,
    ledger: FastMap<String, u32>,
}

/// Booking service with limited capacity and a ledger of its runs.
pub struct BookingStandin {
    state: Mutex<BookingState>,
    ledger_file: Option<Mutex<File>>,
    down: watch::Sender<bool>,
}

impl BookingStandin {
    /// Returns a cold service; the name of each booking that runs is also appended to
    /// `ledger_file`, one per line.
    pub fn start(settings: CapacitySettings, ledger_file: Option<File>) -> Arc<BookingStandin> {
        let state = BookingState {
            model: CapacityModel::new(settings),
            boot_id: unix_micros(),
            running: 0,
            overruns: 0,
            ledger: FastMap::default(),
        };
        let ledger_file = ledger_file.map(Mutex::new);
        let down = watch::Sender::new(false);
        Arc::new(BookingStandin { state: Mutex::new(state), ledger_file, down })
    }

    fn lock(&self) -> MutexGuard<'_, BookingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a booking and answers once its time has passed; may crash the service.
    async fn book(
        &self,
        request: &StandinRequest,
    ) -> Option<hyper::Response<crate::server::AnswerBody>> {
        let received_us = unix_micros();
        let booking = request.json()["booking"].as_str().unwrap_or("unnamed").to_string();
        self.append_run(&booking);
        let (duration, overrun) = {
            let mut state = self.lock();
            state.running += 1;
            *state.ledger.entry(booking.clone()).or_insert(0) += 1;
            let overrun = state.running as f64 > state.model.capacity();
            state.overruns += u64::from(overrun);
            (state.model.step_time(state.running), overrun)
        };
        if overrun {
            report_overrun();
            self.down.send_replace(true);
        }
        tokio::time::sleep(duration).await;
        self.lock().running -= 1;
        let confirmation = expected_confirmation(&request.body);
        let answer = json!({"booking": booking, "confirmation": confirmation});
        let mut response = json_answer(200, &answer);
        response.headers_mut().insert("standin-received-us", received_us.into());
        response.headers_mut().insert("standin-answered-us", unix_micros().into());
        Some(response)
    }

    fn append_run(&self, booking: &str) {
        let Some(file) = &self.ledger_file else {
            return;
        };
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(format!("{booking}\n").as_bytes());
    }

    async fn restart_loop(self: Arc<Self>) {
        let mut down = self.down.subscribe();
        while down.wait_for(|down| *down).await.is_ok() {
            tokio::time::sleep(DOWN_TIME).await;
            let mut state = self.lock();
            state.boot_id = unix_micros();
            state.running = 0;
            state.model.reset_to_cold();
            drop(state);
            self.down.send_replace(false);
        }
    }

    /// Starts a task that restarts the service after each crash; needs a tokio runtime.
    pub fn restart_after_crashes(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).restart_loop());
    }
}

/// Returns the confirmation that the service gives for a request body.
pub fn expected_confirmation(body: &[u8]) -> String {
    format!("{:016x}", hash_parts(&[body]))
}

impl StandinService for BookingStandin {
    fn answer(self: Arc<Self>, request: StandinRequest) -> AnswerFuture {
        Box::pin(async move {
            match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/healthz") => {
                    Some(json_answer(200, &json!({"boot": self.lock().boot_id.to_string()})))
                }
                ("GET", "/standin/counters") => {
                    let state = self.lock();
                    let runs: u32 = state.ledger.values().sum();
                    Some(json_answer(200, &json!({"overruns": state.overruns, "runs": runs})))
                }
                ("POST", "/standin/fault") => {
                    match request.json()["kind"].as_str() {
                        Some("cold") => self.lock().model.reset_to_cold(),
                        Some("crash") => {
                            self.down.send_replace(true);
                        }
                        _ => {}
                    }
                    Some(json_answer(200, &json!({})))
                }
                ("POST", path) if path.starts_with("/v1/") => self.book(&request).await,
                _ => Some(json_answer(404, &json!({}))),
            }
        })
    }

    fn down(&self) -> watch::Receiver<bool> {
        self.down.subscribe()
    }
}
