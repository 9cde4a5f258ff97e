//! Starts the threads of an agent and shuts it down on a signal.

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
use crate::health::start_health_checks;
use crate::serve::ServeContext;
use crate::serve::run_serve;
use crate::worker::WorkerContext;
use crate::worker::WorkerPool;

/// Time between two checks for running attempts during a shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the announcement that the agent is leaving, or gone, to reach entries.
const SHUTDOWN_NOTICE_TIME: Duration = Duration::from_millis(500);

/// Runs an agent until SIGTERM or SIGINT, then waits for its running attempts to end.
///
/// An error means that the agent could not start.
pub fn run_agent(settings: &AgentSettings) -> eyre::Result<()> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    let (journal, journal_guard) = Journal::start(&settings.id, Arc::clone(&clock))?;
    let metrics = Arc::new(Metrics::new(&settings.id)?);
    let parameters = agent_parameters(settings, clock.as_ref());
    let decider =
        Decider::start(parameters, Arc::clone(&clock), journal.clone(), Arc::clone(&metrics))?;
    let idle_timeout = Duration::from_millis(settings.backend_idle_ms);
    let backend: Arc<dyn BackendServer> =
        Arc::new(HttpBackend::new(&settings.backend, idle_timeout));
    let (health_check_sender, health_check_requests) = bounded(1);
    start_health_checks(Arc::clone(&backend), decider.clone(), health_check_requests)?;
    let worker_context = WorkerContext {
        backend,
        decider: decider.clone(),
        journal: journal.clone(),
        health_check_sender,
    };
    let serve_context = ServeContext {
        decider: decider.clone(),
        journal: journal.clone(),
        metrics: Arc::clone(&metrics),
        workers: WorkerPool::new(settings.ceiling as usize, worker_context),
    };
    start_serve(settings, serve_context, journal.clone())?;
    let announce_context = AnnounceContext {
        decider: decider.clone(),
        journal: journal.clone(),
        metrics: Arc::clone(&metrics),
        clock,
        store: Arc::new(PlatformStore::new(&settings.platform)?),
        assignment: Arc::new(Mutex::new(EntryAssignment::new(&settings.id, &settings.zone))),
    };
    start_announce(announce_context)?;
    serve_admin(settings.admin, metrics, Arc::new(AgentStatus { decider: decider.clone() }))?;
    journal.note("started", None, o!("zone" => settings.zone.clone()));

    wait_for_stop()?;
    journal.note("leaving", None, o!());
    decider.handle_event(AgentEvent::Draining);
    thread::sleep(SHUTDOWN_NOTICE_TIME);
    while decider.load().in_flight > 0 {
        thread::sleep(DRAIN_POLL_INTERVAL);
    }
    decider.handle_event(AgentEvent::Ending);
    thread::sleep(SHUTDOWN_NOTICE_TIME);
    journal.note("stopped", None, o!());
    drop(journal_guard);
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

/// Readiness and status of the agent for the admin server.
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
