//! The agent's decisions, shared by the threads that bring events.
//!
//! A call takes the lock, steps the decisions and carries the actions out: a
//! ring and a thread of their own would cost each request two more wake-ups.
//! Observations of pace come many at a time and wait in a ring.

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

/// Observations of pace that wait for the next look; more are lost.
const PACE_RING: usize = 4_096;
/// Time between two looks at the observations of pace.
const LOOK: Duration = Duration::from_millis(20);
/// When to come back to an agent that cannot decide.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Answer to an offered attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferAnswer {
    /// The attempt may go to the backend server.
    Admitted {
        /// Whether the class may run more than once.
        repeatable: bool,
    },
    /// The attempt is refused before a byte is sent on.
    Refused(AgentRefusal, Duration),
}

/// What others see of the decisions.
#[derive(Debug, Clone)]
pub struct AgentView {
    /// This agent as a member.
    pub member: MemberRecord,
    /// Load to tell entries.
    pub load: LoadReport,
    /// Highest configuration version held.
    pub config_version: ObjectVersion,
    /// Hash of the configuration held.
    pub config_hash: u64,
    /// Whether the agent can pass work on.
    pub ready: bool,
}

/// Way to the decisions; cheap to clone.
#[derive(Clone)]
pub struct Decider {
    state: Arc<Mutex<DecideState>>,
    paces: Sender<Duration>,
    changes: watch::Receiver<u64>,
}

impl Decider {
    /// Starts the decisions and the thread that looks at the pace.
    pub fn start(
        parameters: AgentParameters,
        clock: Arc<dyn Clock>,
        journal: Journal,
        metrics: Arc<Metrics>,
    ) -> eyre::Result<Decider> {
        let (paces, inbox) = bounded(PACE_RING);
        let (announce, changes) = watch::channel(0);
        let core = AgentCore::new(parameters);
        let state = DecideState { core, clock, journal, metrics, announce, closed: true };
        let decider = Decider { state: Arc::new(Mutex::new(state)), paces, changes };
        let looking = decider.clone();
        thread::Builder::new().name("tick".to_string()).spawn(move || {
            loop {
                thread::sleep(LOOK);
                looking.lock().look(&inbox);
            }
        })?;
        Ok(decider)
    }

    /// Offers an attempt of `class`.
    pub fn offer(
        &self,
        request: RequestId,
        attempt: AttemptNumber,
        class: &str,
        fill: FillPercent,
    ) -> OfferAnswer {
        self.lock().offer(request, attempt, class, fill)
    }

    /// Hands in an event that is not an offer.
    pub fn event(&self, event: AgentEvent) {
        self.lock().step(event);
    }

    /// Hands in an observation of pace; it wakes nobody and may be lost.
    pub fn observe(&self, pace: Duration) {
        let _ = self.paces.try_send(pace);
    }

    /// Returns what others see.
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

    /// Returns the load to tell entries.
    pub fn load(&self) -> LoadReport {
        let state = self.lock();
        state.core.load(state.clock.elapsed())
    }

    /// Returns a counter of changes that are to be announced at once.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.clone()
    }

    /// Returns the state shown to operators.
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

    /// A decision that panicked broke an invariant: nothing may go on from there.
    fn lock(&self) -> MutexGuard<'_, DecideState> {
        self.state.lock().unwrap_or_else(|_| std::process::abort())
    }
}

struct DecideState {
    core: AgentCore,
    clock: Arc<dyn Clock>,
    journal: Journal,
    metrics: Arc<Metrics>,
    announce: watch::Sender<u64>,
    closed: bool,
}

impl DecideState {
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
        let answer = actions.iter().find_map(|action| offer_answer(action, repeatable));
        answer.unwrap_or(OfferAnswer::Refused(AgentRefusal::NotReady, RETRY_AFTER))
    }

    fn step(&mut self, event: AgentEvent) {
        let now = self.clock.elapsed();
        for action in self.core.step(now, event) {
            self.carry_out(action);
        }
        self.announce_turn(now);
    }

    /// Takes in the observations of pace that have gathered.
    fn look(&mut self, paces: &Receiver<Duration>) {
        let now = self.clock.elapsed();
        for pace in paces.try_iter().take(PACE_RING) {
            self.core.step(now, AgentEvent::Paced(pace));
        }
        let load = self.core.load(now);
        self.metrics.set_state("limit", f64::from(load.limit));
        self.metrics.set_state("in_flight", f64::from(load.in_flight));
        self.announce_turn(now);
    }

    /// Announces at once when the backend server opens or closes.
    fn announce_turn(&mut self, now: Duration) {
        let closed = self.core.load(now).limit == 0;
        if closed != self.closed {
            self.closed = closed;
            self.announce.send_modify(|count| *count += 1);
        }
    }

    fn carry_out(&self, action: AgentAction) {
        match action {
            AgentAction::Announce => self.announce.send_modify(|count| *count += 1),
            AgentAction::InForce(objects) => {
                for object in objects {
                    let details = o!("key" => object.key, "version" => object.version);
                    self.journal.note("config-in-force", None, details);
                }
            }
            AgentAction::Reject(faults) => {
                self.journal.warn("config-rejected", o!("faults" => faults.join("; ")));
            }
            AgentAction::Restarted => self.journal.warn("backend-restarted", o!()),
            AgentAction::Admit | AgentAction::Refuse { .. } => {}
        }
    }
}

fn offer_answer(action: &AgentAction, repeatable: bool) -> Option<OfferAnswer> {
    match action {
        AgentAction::Admit => Some(OfferAnswer::Admitted { repeatable }),
        AgentAction::Refuse { reason, retry_after } => {
            Some(OfferAnswer::Refused(*reason, *retry_after))
        }
        _ => None,
    }
}
