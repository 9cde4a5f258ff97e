//! Stand-in of a plain booking service with a ledger of its runs.

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

use crate::model::BearingModel;
use crate::model::BearingSettings;
use crate::model::note_overrun;
use crate::server::AnswerFuture;
use crate::server::StandinRequest;
use crate::server::StandinService;
use crate::server::json_answer;
use crate::wall_micros;

/// Time for which a crashed service is down.
const DOWN_TIME: Duration = Duration::from_secs(2);

struct BookingState {
    model: BearingModel,
    boot: u64,
    batch: usize,
    overruns: u64,
    ledger: FastMap<String, u32>,
}

/// A booking service.
pub struct BookingStandin {
    state: Mutex<BookingState>,
    ledger_file: Option<Mutex<File>>,
    down: watch::Sender<bool>,
}

impl BookingStandin {
    /// Starts cold; each run is also appended to `ledger_file`.
    pub fn start(settings: BearingSettings, ledger_file: Option<File>) -> Arc<BookingStandin> {
        let state = BookingState {
            model: BearingModel::new(settings),
            boot: wall_micros(),
            batch: 0,
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

    async fn book(
        &self,
        request: &StandinRequest,
    ) -> Option<hyper::Response<crate::server::AnswerBody>> {
        let received = wall_micros();
        let booking = request.json()["booking"].as_str().unwrap_or("unnamed").to_string();
        self.write_run(&booking);
        let (time, overrun) = {
            let mut state = self.lock();
            state.batch += 1;
            *state.ledger.entry(booking.clone()).or_insert(0) += 1;
            let overrun = state.batch as f64 > state.model.bears();
            state.overruns += u64::from(overrun);
            (state.model.step_time(state.batch), overrun)
        };
        if overrun {
            note_overrun();
            self.down.send_replace(true);
        }
        tokio::time::sleep(time).await;
        self.lock().batch -= 1;
        let confirmation = confirmation_of(&request.body);
        let answer = json!({"booking": booking, "confirmation": confirmation});
        let mut response = json_answer(200, &answer);
        response.headers_mut().insert("standin-received-us", received.into());
        response.headers_mut().insert("standin-answered-us", wall_micros().into());
        Some(response)
    }

    fn write_run(&self, booking: &str) {
        let Some(file) = &self.ledger_file else {
            return;
        };
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(format!("{booking}\n").as_bytes());
    }

    async fn recover(self: Arc<Self>) {
        let mut down = self.down.subscribe();
        while down.wait_for(|down| *down).await.is_ok() {
            tokio::time::sleep(DOWN_TIME).await;
            let mut state = self.lock();
            state.boot = wall_micros();
            state.batch = 0;
            state.model.chill();
            drop(state);
            self.down.send_replace(false);
        }
    }

    /// Brings the service back after each crash; needs a tokio runtime.
    pub fn keep_up(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).recover());
    }
}

/// Returns the confirmation that the service gives for a body.
pub fn confirmation_of(body: &[u8]) -> String {
    format!("{:016x}", hash_parts(&[body]))
}

impl StandinService for BookingStandin {
    fn answer(self: Arc<Self>, request: StandinRequest) -> AnswerFuture {
        Box::pin(async move {
            match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/healthz") => {
                    Some(json_answer(200, &json!({"boot": self.lock().boot.to_string()})))
                }
                ("GET", "/standin/counters") => {
                    let state = self.lock();
                    let runs: u32 = state.ledger.values().sum();
                    Some(json_answer(200, &json!({"overruns": state.overruns, "runs": runs})))
                }
                ("POST", "/standin/fault") => {
                    match request.json()["kind"].as_str() {
                        Some("cold") => self.lock().model.chill(),
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
