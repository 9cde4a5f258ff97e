//! Shares the entry's state machine, [`EntryCore`], between the threads of the daemon.
//!
//! Each call locks the state machine, passes it an event and executes the resulting actions.
//! A separate thread that reads events from a queue would cost each request two more wake-ups.

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
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of entries listed in the answer to an announcement.
const MAX_ANSWER_ENTRIES: usize = 8;

/// Next step for the task of a request.
#[derive(Debug)]
pub enum RequestCommand {
    /// Send an attempt to a server.
    Send {
        /// Number of the attempt, from 1.
        attempt: AttemptNumber,
        /// Server that was chosen.
        server: ServerId,
        /// Address of its agent.
        address: String,
        /// Percentage of the server's limit up to which it may be filled.
        fill: FillPercent,
    },
    /// Answer the caller with a final refusal.
    Refuse(Refusal),
}

/// Announcement of an agent.
pub struct AgentAnnouncement {
    /// Member record of the agent.
    pub record: MemberRecord,
    /// Load of its backend server.
    pub report: LoadReport,
    /// Highest version of the configuration objects that it holds.
    pub config_version: ObjectVersion,
    /// Hash of its configuration.
    pub config_hash: u64,
    /// Whether the answer includes a list of entries.
    pub include_entries: bool,
}

/// Answer to an agent's announcement.
#[derive(Debug, Default)]
pub struct AnnouncementAnswer {
    /// Configuration objects that the agent lacks.
    pub objects: Vec<ConfigObject>,
    /// First live entries of the agent's rendezvous order; empty unless requested.
    pub entries: Vec<MemberRecord>,
    /// Sequence number of the record that marks the agent as gone, for it to refute; 0 for none.
    pub refute_sequence: u64,
}

/// Role of this entry in reading the platform's configuration.
#[derive(Debug, Clone, Copy)]
pub struct WatchRole {
    /// Whether it is one of the watchers of its zone.
    pub watcher: bool,
    /// Whether it holds any configuration.
    pub configured: bool,
}

/// Handle to the shared state machine; cheap to clone.
#[derive(Clone)]
pub struct Decider {
    state: Arc<Mutex<DeciderState>>,
}

/// Channels and sinks that the actions of the state machine write to.
pub struct DeciderOutputs {
    /// Journal of the process.
    pub journal: Journal,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Queue of probes: server and address of its agent.
    pub probes: mpsc::Sender<(ServerId, String)>,
    /// Starts the next round of gossip early.
    pub gossip_wakeup: Arc<Notify>,
    /// Publishes the newest configuration version in force.
    pub config_updates: watch::Sender<ObjectVersion>,
    /// Trace file for `cuminpick replay`; `None` to write no trace.
    pub trace: Option<File>,
}

impl Decider {
    /// Creates the state machine and starts the thread that sends it timer ticks.
    ///
    /// An error means that the thread could not be started.
    pub fn start(
        parameters: EntryParameters,
        clock: Arc<dyn Clock>,
        mut outputs: DeciderOutputs,
    ) -> eyre::Result<Decider> {
        let trace = outputs.trace.take().map(BufWriter::new);
        let core = EntryCore::new(parameters.clone());
        let commands = FastMap::default();
        let mut state = DeciderState { core, clock, commands, outputs, trace };
        state.write_trace(&TraceLine::Facts(parameters));
        let decider = Decider { state: Arc::new(Mutex::new(state)) };
        let ticker = decider.clone();
        thread::Builder::new().name("tick".to_string()).spawn(move || {
            loop {
                ticker.tick();
                thread::sleep(TICK_INTERVAL);
            }
        })?;
        Ok(decider)
    }

    /// Submits a request; the steps for its task are sent to `commands`.
    pub fn submit_request(&self, arrival: Arrival, commands: mpsc::Sender<RequestCommand>) {
        let mut state = self.lock();
        state.commands.insert(arrival.request, commands);
        state.step(EntryEvent::Arrived(arrival));
    }

    /// Handles an event that is not part of a gossip round.
    pub fn handle_event(&self, event: EntryEvent) {
        let mut state = self.lock();
        if let EntryEvent::Completed(request) | EntryEvent::Abandoned(request) = &event {
            state.commands.remove(request);
        }
        state.step(event);
    }

    /// Handles a gossip message; returns the reply if the message started a round.
    pub fn receive_gossip(&self, message: GossipMessage) -> Option<OutgoingGossip> {
        self.lock().step(EntryEvent::Gossiped(message))
    }

    /// Starts a round of gossip; returns `None` if there is no entry to exchange it with.
    pub fn start_gossip_round(&self) -> Option<OutgoingGossip> {
        self.lock().step(EntryEvent::GossipDue)
    }

    /// Handles an agent's announcement and returns the answer.
    pub fn receive_announcement(&self, announcement: AgentAnnouncement) -> AnnouncementAnswer {
        self.lock().receive_announcement(announcement)
    }

    /// Returns the status shown to operators, as a JSON object.
    pub fn status(&self) -> Value {
        self.lock().status()
    }

    /// Returns whether this entry serves callers: it is configured and not draining.
    pub fn is_ready(&self) -> bool {
        self.lock().core.ready()
    }

    /// Returns the configuration objects that the platform, which holds `listed`, has lost.
    pub fn lost_objects(&self, listed: &[ConfigObject]) -> Vec<ConfigObject> {
        self.lock().core.config().lost_objects(listed)
    }

    /// Returns the current role of this entry in reading the platform.
    pub fn watch_role(&self) -> WatchRole {
        self.lock().watch_role()
    }

    fn tick(&self) {
        let mut state = self.lock();
        state.step(EntryEvent::Ticked);
        state.update_metrics();
    }

    /// Locks the state machine. Aborts the process if it panicked in an earlier call: an
    /// invariant is broken and no decision can be trusted.
    fn lock(&self) -> MutexGuard<'_, DeciderState> {
        self.state.lock().unwrap_or_else(|_| std::process::abort())
    }
}

struct DeciderState {
    core: EntryCore,
    clock: Arc<dyn Clock>,
    commands: FastMap<RequestId, mpsc::Sender<RequestCommand>>,
    outputs: DeciderOutputs,
    trace: Option<BufWriter<File>>,
}

impl DeciderState {
    /// Handles an event and executes the actions; returns the gossip message to send, if any.
    fn step(&mut self, event: EntryEvent) -> Option<OutgoingGossip> {
        let now = self.clock.elapsed();
        let traced_event = self.trace.is_some().then(|| event.clone());
        let actions = self.core.step(now, event);
        if let Some(event) = traced_event {
            self.write_trace(&TraceLine::Step { now, event, actions: actions.clone() });
        }
        let mut outgoing = None;
        for action in actions {
            match action {
                EntryAction::Gossip(gossip) => outgoing = Some(gossip),
                other => self.execute_action(other),
            }
        }
        outgoing
    }

    fn execute_action(&mut self, action: EntryAction) {
        match action {
            EntryAction::Send { request, attempt, server, address, fill } => {
                let command = RequestCommand::Send { attempt, server, address, fill };
                if let Some(commands) = self.commands.get(&request) {
                    let _ = commands.try_send(command);
                }
            }
            EntryAction::Refuse { request, refusal } => {
                if let Some(commands) = self.commands.remove(&request) {
                    let _ = commands.try_send(RequestCommand::Refuse(refusal));
                }
            }
            EntryAction::Probe { server, address } => {
                let _ = self.outputs.probes.try_send((server, address));
            }
            EntryAction::InForce(objects) => self.report_config(&objects),
            EntryAction::Reject(errors) => {
                self.outputs.journal.warn("config-rejected", o!("faults" => errors.join("; ")));
            }
            EntryAction::MemberChanged(record) => self.report_member(&record),
            EntryAction::Gossip(_) => {}
        }
    }

    fn report_config(&self, objects: &[ConfigObject]) {
        for object in objects {
            let details = o!("key" => object.key.clone(), "version" => object.version);
            self.outputs.journal.note("config-in-force", None, details);
        }
        self.outputs.config_updates.send_replace(self.core.config().newest_version());
        self.outputs.gossip_wakeup.notify_one();
    }

    fn report_member(&self, record: &MemberRecord) {
        let details = o!(
            "member" => record.id.clone(),
            "state" => format!("{:?}", record.state).to_lowercase(),
            "incarnation" => record.incarnation,
            "sequence" => record.sequence,
        );
        self.outputs.journal.note("member-changed", None, details);
        self.outputs.gossip_wakeup.notify_one();
    }

    fn receive_announcement(&mut self, announcement: AgentAnnouncement) -> AnnouncementAnswer {
        let id = announcement.record.id.clone();
        let freshness = announcement.record.freshness();
        self.step(EntryEvent::Announced(announcement.record));
        self.step(EntryEvent::Load { server: id.clone(), report: announcement.report });
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
        if announcement.config_hash != config.digest() {
            answer.objects = config.objects_after(announcement.config_version);
            if answer.objects.is_empty() {
                answer.objects = config.objects_after(0);
            }
        }
        if announcement.include_entries {
            answer.entries = self.top_ranked_entries(&id);
        }
        answer
    }

    fn top_ranked_entries(&self, id: &str) -> Vec<MemberRecord> {
        let members = self.core.members();
        let live_ids = members.live_entries().map(|record| record.id.as_str());
        let top_ranked_ids = select_by_rendezvous(id.as_bytes(), live_ids, MAX_ANSWER_ENTRIES);
        let known = top_ranked_ids.into_iter().filter_map(|entry| members.get(entry));
        known.map(|known| known.record.clone()).collect()
    }

    fn watch_role(&self) -> WatchRole {
        let own = self.core.own_member();
        WatchRole {
            watcher: is_watcher(self.core.members(), &own.id, &own.zone),
            configured: !self.core.config().is_empty(),
        }
    }

    fn update_metrics(&self) {
        let metrics = &self.outputs.metrics;
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
        let result = serde_json::to_writer(&mut *trace, line).map_err(std::io::Error::from);
        let result = result.and_then(|()| trace.write_all(b"\n")).and_then(|()| trace.flush());
        if let Err(error) = result {
            self.outputs.journal.warn("trace-stopped", o!("error" => error.to_string()));
            self.trace = None;
        }
    }
}
