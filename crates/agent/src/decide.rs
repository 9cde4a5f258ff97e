//! Runs the agent's state machine for the threads that produce events.
//!
//! A call locks the state machine, steps it and executes the resulting actions on
//! the calling thread: a queue with a thread of its own would cost each request two
//! more wake-ups. Observed latencies are frequent, so they are queued and applied
//! in batches.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use crossbeam_channel::bounded;
use cuminpick::agent::AgentAction;
use cuminpick::agent::AgentCore;
use cuminpick::agent::AgentEvent;
use cuminpick::agent::AgentParameters;
use cuminpick::agent::AgentRefusal;
use cuminpick::choose::LoadReport;
use cuminpick::clock::Clock;
use cuminpick::ids::AttemptNumber;
use cuminpick::ids::ObjectVersion;
use cuminpick::ids::RequestId;
use cuminpick::member::MemberRecord;
use cuminpick::share::FillPercent;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use serde_json::Value;
use serde_json::json;
use slog::o;
use tokio::sync::watch;

/// Capacity of the queue of observed latencies; more between two ticks are dropped.
const LATENCY_QUEUE_CAPACITY: usize = 4_096;
/// Time between two batches of observed latencies.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which an entry may retry if the state machine gave no answer.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Answer to an offered attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferAnswer {
    /// The attempt may go to the backend server.
    Admitted {
        /// Whether requests of the class may run more than once.
        repeatable: bool,
    },
    /// The attempt is refused, for a reason, and may be retried after a time. Nothing was sent
    /// to the backend server.
    Refused(AgentRefusal, Duration),
}

/// Snapshot of the agent's state, for announcements and status.
#[derive(Debug, Clone)]
pub struct AgentView {
    /// Member record of this agent.
    pub member: MemberRecord,
    /// Load that is reported to entries.
    pub load: LoadReport,
    /// Highest version among the held configuration objects.
    pub config_version: ObjectVersion,
    /// Hash of all held configuration objects.
    pub config_hash: u64,
    /// Whether the agent can forward requests to the backend server.
    pub ready: bool,
}

/// Handle of the agent's state machine; cheap to clone.
#[derive(Clone)]
pub struct Decider {
    state: Arc<Mutex<DeciderState>>,
    latencies: Sender<Duration>,
    changes: watch::Receiver<u64>,
}

impl Decider {
    /// Creates the state machine and starts the `tick` thread, which applies observed latencies.
    ///
    /// An error means that the thread could not start.
    pub fn start(
        parameters: AgentParameters,
        clock: Arc<dyn Clock>,
        journal: Journal,
        metrics: Arc<Metrics>,
    ) -> eyre::Result<Decider> {
        let (latencies, latency_queue) = bounded(LATENCY_QUEUE_CAPACITY);
        let (change_sender, changes) = watch::channel(0);
        let core = AgentCore::new(parameters);
        let state = DeciderState { core, clock, journal, metrics, change_sender, closed: true };
        let decider = Decider { state: Arc::new(Mutex::new(state)), latencies, changes };
        let ticker = decider.clone();
        thread::Builder::new().name("tick".to_string()).spawn(move || {
            loop {
                thread::sleep(TICK_INTERVAL);
                ticker.lock().tick(&latency_queue);
            }
        })?;
        Ok(decider)
    }

    /// Offers an attempt of `class`; returns whether it was admitted.
    pub fn offer(
        &self,
        request: RequestId,
        attempt: AttemptNumber,
        class: &str,
        fill: FillPercent,
    ) -> OfferAnswer {
        self.lock().offer(request, attempt, class, fill)
    }

    /// Handles any event but an offer and executes the resulting actions.
    pub fn handle_event(&self, event: AgentEvent) {
        self.lock().step(event);
    }

    /// Queues an observed latency for the next tick; dropped when the queue is full.
    pub fn observe_latency(&self, latency: Duration) {
        let _ = self.latencies.try_send(latency);
    }

    /// Returns a snapshot of the agent's state.
    pub fn view(&self) -> AgentView {
        let state = self.lock();
        let core = &state.core;
        AgentView {
            member: core.member().clone(),
            load: core.load(state.clock.elapsed()),
            config_version: core.config().newest_version(),
            config_hash: core.config().digest(),
            ready: core.ready(),
        }
    }

    /// Returns the load that is reported to entries.
    pub fn load(&self) -> LoadReport {
        let state = self.lock();
        state.core.load(state.clock.elapsed())
    }

    /// Returns a watch channel that changes when the agent has to announce at once.
    pub fn subscribe_changes(&self) -> watch::Receiver<u64> {
        self.changes.clone()
    }

    /// Returns the status shown to operators.
    pub fn status(&self) -> Value {
        let view = self.view();
        json!({
            "id": view.member.id,
            "zone": view.member.zone,
            "service": view.member.service,
            "ready": view.ready,
            "in_flight": view.load.in_flight,
            "limit": view.load.limit,
            "leaving": view.load.leaving,
            "config_version": view.config_version,
            "config_hash": format!("{:016x}", view.config_hash),
        })
    }

    /// Locks the state; aborts the process if a panic may have left it inconsistent.
    fn lock(&self) -> MutexGuard<'_, DeciderState> {
        self.state.lock().unwrap_or_else(|_| std::process::abort())
    }
}

struct DeciderState {
    core: AgentCore,
    clock: Arc<dyn Clock>,
    journal: Journal,
    metrics: Arc<Metrics>,
    change_sender: watch::Sender<u64>,
    /// Whether the limit was 0 at the last check.
    closed: bool,
}

impl DeciderState {
    fn offer(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        class: &str,
        fill: FillPercent,
    ) -> OfferAnswer {
        let now = self.clock.elapsed();
        let actions = self.core.step(now, AgentEvent::Offered { request, attempt, fill });
        let repeatable = self.core.config().class(class).is_some_and(|target| target.repeatable);
        let answer = actions.iter().find_map(|action| answer_from_action(action, repeatable));
        answer.unwrap_or(OfferAnswer::Refused(AgentRefusal::NotReady, RETRY_AFTER))
    }

    fn step(&mut self, event: AgentEvent) {
        let now = self.clock.elapsed();
        for action in self.core.step(now, event) {
            self.execute(action);
        }
        self.announce_availability_change(now);
    }

    /// Applies the queued latencies and updates the load metrics.
    fn tick(&mut self, latencies: &Receiver<Duration>) {
        let now = self.clock.elapsed();
        for latency in latencies.try_iter().take(LATENCY_QUEUE_CAPACITY) {
            self.core.step(now, AgentEvent::Paced(latency));
        }
        let load = self.core.load(now);
        self.metrics.set_state("limit", f64::from(load.limit));
        self.metrics.set_state("in_flight", f64::from(load.in_flight));
        self.announce_availability_change(now);
    }

    /// Announces at once when the limit drops to 0 or rises from it.
    fn announce_availability_change(&mut self, now: Duration) {
        let closed = self.core.load(now).limit == 0;
        if closed != self.closed {
            self.closed = closed;
            self.change_sender.send_modify(|count| *count += 1);
        }
    }

    fn execute(&self, action: AgentAction) {
        match action {
            AgentAction::Announce => self.change_sender.send_modify(|count| *count += 1),
            AgentAction::InForce(objects) => {
                for object in objects {
                    let details = o!("key" => object.key, "version" => object.version);
                    self.journal.note("config-in-force", None, details);
                }
            }
            AgentAction::Reject(errors) => {
                self.journal.warn("config-rejected", o!("faults" => errors.join("; ")));
            }
            AgentAction::Restarted => self.journal.warn("backend-restarted", o!()),
            AgentAction::Admit | AgentAction::Refuse { .. } => {}
        }
    }
}

fn answer_from_action(action: &AgentAction, repeatable: bool) -> Option<OfferAnswer> {
    match action {
        AgentAction::Admit => Some(OfferAnswer::Admitted { repeatable }),
        AgentAction::Refuse { reason, retry_after } => {
            Some(OfferAnswer::Refused(*reason, *retry_after))
        }
        _ => None,
    }
}
