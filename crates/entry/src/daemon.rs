//! Starts the threads of an entry and stops them on a signal.

use std::fs::File;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::thread;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use cuminpick::clock::Clock;
use cuminpick::clock::SystemClock;
use cuminpick::entry_event::EntryEvent;
use cuminpick::entry_event::EntryParameters;
use cuminpick::ids::hash_parts;
use cuminpick::member::MemberRecord;
use cuminpick::member::MemberState;
use cuminpick::settings::EntrySettings;
use cuminpick_callers::CallerServer;
use cuminpick_callers::ServerLimits;
use cuminpick_objects::PlatformStore;
use cuminpick_operators::admin::AdminSource;
use cuminpick_operators::admin::serve_admin;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use cuminpick_operators::signals::wait_for_stop;
use cuminpick_peers::pool::ChannelPool;
use eyre::WrapErr;
use serde_json::Value;
use slog::o;
use tokio::runtime::Builder;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::control::ControlContext;
use crate::control::run_control;
use crate::decide::Decider;
use crate::decide::DeciderOutputs;
use crate::serve::TrafficContext;
use crate::serve::TrafficHandler;
use crate::watch::PlatformWatcher;

/// Number of threads that relay requests and answers.
const TRAFFIC_THREADS: usize = 3;
/// Maximum number of probes that wait to be sent; further ones are dropped.
const PROBE_QUEUE_CAPACITY: usize = 256;

/// Runs an entry until SIGTERM or SIGINT, then drains it.
///
/// While it drains, the port for callers stays open for `drain_linger_ms`; then the function
/// returns when the open requests have ended. An error means that a setting cannot be used, or
/// that a thread or a signal handler could not be set up.
pub fn run_entry(settings: &EntrySettings) -> eyre::Result<()> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    let (journal, journal_guard) = Journal::start(&settings.id, Arc::clone(&clock))?;
    let metrics = Arc::new(Metrics::new(&settings.id)?);
    let parameters = entry_parameters(settings, clock.as_ref());
    let gossip_wakeup = Arc::new(Notify::new());
    let (probes, probe_receiver) = mpsc::channel(PROBE_QUEUE_CAPACITY);
    let (config_updates, config_update_receiver) = watch::channel(0);
    let outputs = DeciderOutputs {
        journal: journal.clone(),
        metrics: Arc::clone(&metrics),
        probes,
        gossip_wakeup: Arc::clone(&gossip_wakeup),
        config_updates,
        trace: open_trace(settings)?,
    };
    let decider = Decider::start(parameters.clone(), Arc::clone(&clock), outputs)?;
    let pool = Arc::new(ChannelPool::new(settings.max_agent_connections));
    let control_context = ControlContext {
        decider: decider.clone(),
        journal: journal.clone(),
        metrics: Arc::clone(&metrics),
        pool: Arc::new(ChannelPool::new(settings.max_agent_connections)),
        gossip_wakeup,
        config_updates: config_update_receiver,
    };
    start_control(settings, control_context, probe_receiver)?;
    let store = Arc::new(PlatformStore::new(&settings.platform)?);
    PlatformWatcher::start(store, decider.clone(), journal.clone())?;
    let status = Arc::new(EntryStatus { decider: decider.clone() });
    serve_admin(settings.admin, Arc::clone(&metrics), status)?;
    let traffic_context = TrafficContext {
        entry_id: settings.id.clone(),
        request_id_seed: hash_parts(&[
            settings.id.as_bytes(),
            &parameters.member.incarnation.to_le_bytes(),
        ]),
        request_count: AtomicU64::new(0),
        decider: decider.clone(),
        pool,
        journal: journal.clone(),
        metrics,
        clock,
    };
    let (close, closing) = watch::channel(false);
    let traffic_thread = start_traffic(settings, traffic_context, closing)?;
    journal.note("started", None, o!("zone" => settings.zone.clone()));

    wait_for_stop()?;
    journal.note("leaving", None, o!());
    decider.handle_event(EntryEvent::Draining);
    thread::sleep(Duration::from_millis(settings.drain_linger_ms));
    let _ = close.send(true);
    let result = traffic_thread.join();
    journal.note("stopped", None, o!("clean" => result.is_ok()));
    drop(journal_guard);
    Ok(())
}

fn entry_parameters(settings: &EntrySettings, clock: &dyn Clock) -> EntryParameters {
    let started_at = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = started_at.as_millis() as u64;
    EntryParameters {
        member: MemberRecord {
            id: settings.id.clone(),
            address: settings.peers.to_string(),
            zone: settings.zone.clone(),
            service: None,
            incarnation,
            sequence: 1,
            state: MemberState::Live,
        },
        queue_capacity: settings.queue_capacity,
        seed: hash_parts(&[settings.id.as_bytes(), &incarnation.to_le_bytes()]),
    }
}

fn open_trace(settings: &EntrySettings) -> eyre::Result<Option<File>> {
    let Some(path) = &settings.trace else {
        return Ok(None);
    };
    let file = File::create(path)
        .wrap_err_with(|| format!("cannot write trace '{path}'; change `trace` in the settings"))?;
    Ok(Some(file))
}

fn start_control(
    settings: &EntrySettings,
    context: ControlContext,
    probes: mpsc::Receiver<(String, String)>,
) -> eyre::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let address = settings.peers;
    let journal = context.journal.clone();
    thread::Builder::new().name("control".to_string()).spawn(move || {
        if let Err(error) = runtime.block_on(run_control(context, address, probes)) {
            let remedy = "change `peers` in the settings";
            journal.warn("control-failed", o!("error" => format!("{error:?}"), "remedy" => remedy));
        }
    })?;
    Ok(())
}

fn start_traffic(
    settings: &EntrySettings,
    context: TrafficContext,
    closing: watch::Receiver<bool>,
) -> eyre::Result<thread::JoinHandle<()>> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(TRAFFIC_THREADS)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let limits = ServerLimits {
        max_connections: settings.max_connections,
        max_body_bytes: settings.max_body_bytes,
        read_timeout: Duration::from_millis(settings.request_read_ms),
    };
    let handler = Arc::new(TrafficHandler::new(context));
    let server = {
        let _runtime_guard = runtime.enter();
        CallerServer::bind(settings.callers, limits, handler).wrap_err_with(|| {
            format!("cannot listen on {}; change `callers` in the settings", settings.callers)
        })?
    };
    let thread = thread::Builder::new()
        .name("accept".to_string())
        .spawn(move || runtime.block_on(server.serve(closing)))?;
    Ok(thread)
}

struct EntryStatus {
    decider: Decider,
}

impl AdminSource for EntryStatus {
    fn ready(&self) -> bool {
        self.decider.is_ready()
    }

    fn status(&self) -> Value {
        self.decider.status()
    }
}
