//! The entry's decisions, shared by the threads that bring events.
//!
//! A call takes the lock, steps the decisions and carries the actions out: a
//! ring and a thread of their own would cost each request two more wake-ups.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;

use cuminpick::choose::LoadReport;
use cuminpick::clock::Clock;
use cuminpick::config::ConfigObject;
use cuminpick::entry::EntryCore;
use cuminpick::entry_event::Arrival;
use cuminpick::entry_event::EntryAction;
use cuminpick::entry_event::EntryEvent;
use cuminpick::entry_event::EntryParameters;
use cuminpick::gossip::GossipMessage;
use cuminpick::gossip::OutgoingGossip;
use cuminpick::ids::AttemptNumber;
use cuminpick::ids::FastMap;
use cuminpick::ids::ObjectVersion;
use cuminpick::ids::RequestId;
use cuminpick::ids::ServerId;
use cuminpick::member::MemberRecord;
use cuminpick::member::MemberState;
use cuminpick::member::select_by_rendezvous;
use cuminpick::refusal::Refusal;
use cuminpick::replay::TraceLine;
use cuminpick::share::FillPercent;
use cuminpick::watcher::is_watcher;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use serde_json::Value;
use serde_json::json;
use slog::o;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(20);
/// Entries that an agent is told of.
const ENTRIES_TOLD: usize = 8;

/// What a request's task has to do next.
#[derive(Debug)]
pub enum RequestCommand {
    /// Send an attempt.
    Send {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Server chosen.
        server: ServerId,
        /// Address of its agent.
        address: String,
        /// Part of its limit up to which the server may be filled.
        fill: FillPercent,
    },
    /// Give the caller its final refusal.
    Refuse(Refusal),
}

/// An announcement for the decisions.
pub struct AgentAnnouncement {
    /// The agent's record.
    pub record: MemberRecord,
    /// Its load.
    pub report: LoadReport,
    /// Highest configuration version that it holds.
    pub config_version: ObjectVersion,
    /// Hash of its configuration.
    pub config_hash: u64,
    /// Whether it wants to hear of entries.
    pub include_entries: bool,
}

/// Answer to an announcement.
#[derive(Debug, Default)]
pub struct AnnouncementAnswer {
    /// Configuration that the agent lacks.
    pub objects: Vec<ConfigObject>,
    /// Entries near to the agent by rendezvous hash.
    pub entries: Vec<MemberRecord>,
    /// Sequence under which the agent is held as gone; 0 for none.
    pub refute_sequence: u64,
}

/// Whether this entry reads the platform.
#[derive(Debug, Clone, Copy)]
pub struct WatchRole {
    /// Whether it is among its zone's watchers.
    pub watcher: bool,
    /// Whether it has configuration.
    pub configured: bool,
}

/// Way to the decisions; cheap to clone.
#[derive(Clone)]
pub struct Decider {
    state: Arc<Mutex<DecideState>>,
}

/// What the decisions reach out to.
pub struct DeciderOutputs {
    /// Journal of the process.
    pub journal: Journal,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Probes to make.
    pub probes: mpsc::Sender<(ServerId, String)>,
    /// Wakes the gossip loop early.
    pub gossip_wakeup: Arc<Notify>,
    /// Version of the newest configuration in force.
    pub config_updates: watch::Sender<ObjectVersion>,
    /// File for a trace.
    pub trace: Option<File>,
}

impl Decider {
    /// Starts the decisions and the thread that ticks them.
    pub fn start(
        parameters: EntryParameters,
        clock: Arc<dyn Clock>,
        mut outlets: DeciderOutputs,
    ) -> eyre::Result<Decider> {
        let trace = outlets.trace.take().map(BufWriter::new);
        let core = EntryCore::new(parameters.clone());
        let verdicts = FastMap::default();
        let mut state = DecideState { core, clock, verdicts, outlets, trace };
        state.write_trace(&TraceLine::Facts(parameters));
        let decider = Decider { state: Arc::new(Mutex::new(state)) };
        let ticking = decider.clone();
        thread::Builder::new().name("tick".to_string()).spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(TICK);
            }
        })?;
        Ok(decider)
    }

    /// Hands in a request; its task hears on `verdicts`.
    pub fn submit_request(&self, arrival: Arrival, verdicts: mpsc::Sender<RequestCommand>) {
        let mut state = self.lock();
        state.verdicts.insert(arrival.request, verdicts);
        state.step(EntryEvent::Arrived(arrival));
    }

    /// Hands in an event that is not a round of gossip.
    pub fn handle_event(&self, event: EntryEvent) {
        let mut state = self.lock();
        if let EntryEvent::Completed(request) | EntryEvent::Abandoned(request) = &event {
            state.verdicts.remove(request);
        }
        state.step(event);
    }

    /// Takes in half a round of gossip; returns the answer to a first half.
    pub fn receive_gossip(&self, message: GossipMessage) -> Option<OutgoingGossip> {
        self.lock().step(EntryEvent::Gossiped(message))
    }

    /// Starts a round of gossip.
    pub fn start_gossip_round(&self) -> Option<OutgoingGossip> {
        self.lock().step(EntryEvent::GossipDue)
    }

    /// Takes in an agent's announcement.
    pub fn receive_announcement(&self, call: AgentAnnouncement) -> AnnouncementAnswer {
        self.lock().announce(call)
    }

    /// Returns the state shown to operators.
    pub fn status(&self) -> Value {
        self.lock().status()
    }

    /// Whether this entry takes callers' requests.
    pub fn is_ready(&self) -> bool {
        self.lock().core.ready()
    }

    /// Tells whether this entry watches the platform.
    pub fn watch_role(&self) -> WatchRole {
        self.lock().watch_role()
    }

    fn tick(&self) {
        let mut state = self.lock();
        state.step(EntryEvent::Ticked);
        state.show_state();
    }

    /// A decision that panicked broke an invariant: nothing may go on from there.
    fn lock(&self) -> MutexGuard<'_, DecideState> {
        self.state.lock().unwrap_or_else(|_| std::process::abort())
    }
}

struct DecideState {
    core: EntryCore,
    clock: Arc<dyn Clock>,
    verdicts: FastMap<RequestId, mpsc::Sender<RequestCommand>>,
    outlets: DeciderOutputs,
    trace: Option<BufWriter<File>>,
}

impl DecideState {
    /// Steps the decisions and carries the actions out; returns gossip to send.
    fn step(&mut self, event: EntryEvent) -> Option<OutgoingGossip> {
        let now = self.clock.elapsed();
        let traced = self.trace.is_some().then(|| event.clone());
        let actions = self.core.step(now, event);
        if let Some(event) = traced {
            self.write_trace(&TraceLine::Step { now, event, actions: actions.clone() });
        }
        let mut answer = None;
        for action in actions {
            match action {
                EntryAction::Gossip(send) => answer = Some(send),
                other => self.carry_out(other),
            }
        }
        answer
    }

    fn carry_out(&mut self, action: EntryAction) {
        match action {
            EntryAction::Send { request, attempt, server, address, fill } => {
                let verdict = RequestCommand::Send { attempt, server, address, fill };
                if let Some(verdicts) = self.verdicts.get(&request) {
                    let _ = verdicts.try_send(verdict);
                }
            }
            EntryAction::Refuse { request, refusal } => {
                if let Some(verdicts) = self.verdicts.remove(&request) {
                    let _ = verdicts.try_send(RequestCommand::Refuse(refusal));
                }
            }
            EntryAction::Probe { server, address } => {
                let _ = self.outlets.probes.try_send((server, address));
            }
            EntryAction::InForce(objects) => self.put_in_force(&objects),
            EntryAction::Reject(faults) => {
                self.outlets.journal.warn("config-rejected", o!("faults" => faults.join("; ")));
            }
            EntryAction::MemberChanged(record) => self.note_member(&record),
            EntryAction::Gossip(_) => {}
        }
    }

    fn put_in_force(&self, objects: &[ConfigObject]) {
        for object in objects {
            let details = o!("key" => object.key.clone(), "version" => object.version);
            self.outlets.journal.note("config-in-force", None, details);
        }
        self.outlets.config_updates.send_replace(self.core.config().newest_version());
        self.outlets.gossip_wakeup.notify_one();
    }

    fn note_member(&self, record: &MemberRecord) {
        let details = o!(
            "member" => record.id.clone(),
            "state" => format!("{:?}", record.state).to_lowercase(),
            "incarnation" => record.incarnation,
            "sequence" => record.sequence,
        );
        self.outlets.journal.note("member-changed", None, details);
        self.outlets.gossip_wakeup.notify_one();
    }

    fn announce(&mut self, call: AgentAnnouncement) -> AnnouncementAnswer {
        let id = call.record.id.clone();
        let freshness = call.record.freshness();
        self.step(EntryEvent::Announced(call.record));
        self.step(EntryEvent::Load { server: id.clone(), report: call.report });
        let mut answer = AnnouncementAnswer::default();
        let known = self.core.members().get(&id).map(|known| &known.record);
        if let Some(record) = known
            && record.freshness() > freshness
            && record.state == MemberState::Gone
            && record.incarnation == freshness.0
        {
            answer.refute_sequence = record.sequence;
        }
        let config = self.core.config();
        if call.config_hash != config.digest() {
            answer.objects = config.objects_after(call.config_version);
            if answer.objects.is_empty() {
                answer.objects = config.objects_after(0);
            }
        }
        if call.include_entries {
            answer.entries = self.nearest_entries(&id);
        }
        answer
    }

    fn nearest_entries(&self, id: &str) -> Vec<MemberRecord> {
        let members = self.core.members();
        let live = members.live_entries().map(|record| record.id.as_str());
        let nearest = select_by_rendezvous(id.as_bytes(), live, ENTRIES_TOLD);
        let known = nearest.into_iter().filter_map(|entry| members.get(entry));
        known.map(|known| known.record.clone()).collect()
    }

    fn watch_role(&self) -> WatchRole {
        let own = self.core.own_member();
        WatchRole {
            watcher: is_watcher(self.core.members(), &own.id, &own.zone),
            configured: !self.core.config().is_empty(),
        }
    }

    fn show_state(&self) {
        let metrics = &self.outlets.metrics;
        metrics.set_state("open_requests", self.core.open_requests() as f64);
        metrics.set_state("queued_requests", self.core.queued_requests() as f64);
        metrics.set_state("config_version", self.core.config().newest_version() as f64);
        metrics.set_state("members", self.core.members().len() as f64);
        metrics.set_state("ready", f64::from(u8::from(self.core.ready())));
    }

    fn status(&self) -> Value {
        let servers: Vec<Value> = self
            .core
            .servers()
            .overview()
            .map(|(id, zone, report, in_force)| {
                json!({
                    "id": id, "zone": zone, "in_force": in_force,
                    "in_flight": report.in_flight, "limit": report.limit,
                })
            })
            .collect();
        json!({
            "id": self.core.own_member().id,
            "zone": self.core.own_member().zone,
            "ready": self.core.ready(),
            "config_version": self.core.config().newest_version(),
            "config_hash": format!("{:016x}", self.core.config().digest()),
            "members": self.core.members().len(),
            "open_requests": self.core.open_requests(),
            "queued_requests": self.core.queued_requests(),
            "servers": servers,
        })
    }

    fn write_trace(&mut self, line: &TraceLine) {
        let Some(trace) = &mut self.trace else {
            return;
        };
        let written = serde_json::to_writer(&mut *trace, line).map_err(std::io::Error::from);
        let written = written.and_then(|()| trace.write_all(b"\n")).and_then(|()| trace.flush());
        if let Err(error) = written {
            self.outlets.journal.warn("trace-stopped", o!("error" => error.to_string()));
            self.trace = None;
        }
    }
}
