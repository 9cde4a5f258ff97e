//! Wires the threads of an agent together and runs it until it is told to leave.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use crossbeam_channel::bounded;
use cuminpick::agent::AgentEvent;
use cuminpick::agent::AgentParameters;
use cuminpick::clock::Clock;
use cuminpick::clock::SystemClock;
use cuminpick::entry_assignment::EntryAssignment;
use cuminpick::member::MemberRecord;
use cuminpick::member::MemberState;
use cuminpick::settings::AgentSettings;
use cuminpick_backends::BackendServer;
use cuminpick_backends::HttpBackend;
use cuminpick_objects::PlatformStore;
use cuminpick_operators::admin::AdminSource;
use cuminpick_operators::admin::serve_admin;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use cuminpick_operators::signals::wait_for_stop;
use serde_json::Value;
use slog::o;
use tokio::runtime::Builder;

use crate::announce::AnnounceContext;
use crate::announce::run_announce;
use crate::decide::Decider;
use crate::health::start_health;
use crate::serve::ServeContext;
use crate::serve::run_serve;
use crate::worker::WorkerContext;
use crate::worker::WorkerPool;

/// Time between two looks at whether a leaving agent has finished.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Time for entries to hear that the agent leaves or ends.
const FAREWELL: Duration = Duration::from_millis(500);

/// Runs an agent until SIGTERM or SIGINT, then lets it finish what it has.
pub fn run_agent(settings: &AgentSettings) -> eyre::Result<()> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    let (journal, guard) = Journal::start(&settings.id, Arc::clone(&clock))?;
    let metrics = Arc::new(Metrics::new(&settings.id)?);
    let parameters = agent_parameters(settings, clock.as_ref());
    let decider =
        Decider::start(parameters, Arc::clone(&clock), journal.clone(), Arc::clone(&metrics))?;
    let idle = Duration::from_millis(settings.backend_idle_ms);
    let backend: Arc<dyn BackendServer> = Arc::new(HttpBackend::new(&settings.backend, idle));
    let (alarm, alarms) = bounded(1);
    start_health(Arc::clone(&backend), decider.clone(), alarms)?;
    let worker_context =
        WorkerContext { backend, decider: decider.clone(), journal: journal.clone(), alarm };
    let serve = ServeContext {
        decider: decider.clone(),
        journal: journal.clone(),
        metrics: Arc::clone(&metrics),
        workers: WorkerPool::new(settings.ceiling as usize, worker_context),
    };
    start_serve(settings, serve, journal.clone())?;
    let announce = AnnounceContext {
        decider: decider.clone(),
        journal: journal.clone(),
        metrics: Arc::clone(&metrics),
        clock,
        store: Arc::new(PlatformStore::new(&settings.platform)?),
        book: Arc::new(Mutex::new(EntryAssignment::new(&settings.id, &settings.zone))),
    };
    start_announce(announce)?;
    serve_admin(settings.admin, metrics, Arc::new(AgentStatus { decider: decider.clone() }))?;
    journal.note("started", None, o!("zone" => settings.zone.clone()));

    wait_for_stop()?;
    journal.note("leaving", None, o!());
    decider.event(AgentEvent::Draining);
    thread::sleep(FAREWELL);
    while decider.load().in_flight > 0 {
        thread::sleep(DRAIN_POLL);
    }
    decider.event(AgentEvent::Ending);
    thread::sleep(FAREWELL);
    journal.note("stopped", None, o!());
    drop(guard);
    Ok(())
}

fn agent_parameters(settings: &AgentSettings, clock: &dyn Clock) -> AgentParameters {
    let started = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    AgentParameters {
        member: MemberRecord {
            id: settings.id.clone(),
            address: settings.peers.to_string(),
            zone: settings.zone.clone(),
            service: Some(settings.service.clone()),
            incarnation: started.as_millis() as u64,
            sequence: 1,
            state: MemberState::Live,
        },
        floor: settings.cold_floor,
        ceiling: settings.ceiling,
    }
}

fn start_serve(
    settings: &AgentSettings,
    context: ServeContext,
    journal: Journal,
) -> eyre::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let address = settings.peers;
    thread::Builder::new().name("serve".to_string()).spawn(move || {
        if let Err(error) = runtime.block_on(run_serve(context, address)) {
            let remedy = "change `peers` in the settings";
            journal.warn("serve-failed", o!("error" => format!("{error:?}"), "remedy" => remedy));
        }
    })?;
    Ok(())
}

fn start_announce(context: AnnounceContext) -> eyre::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new()
        .name("control".to_string())
        .spawn(move || runtime.block_on(run_announce(context)))?;
    Ok(())
}

struct AgentStatus {
    decider: Decider,
}

impl AdminSource for AgentStatus {
    fn ready(&self) -> bool {
        self.decider.view().ready
    }

    fn status(&self) -> Value {
        self.decider.status()
    }
}
