//! Starts the tasks of a gateway and runs it until SIGTERM.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cuminpick::balance::BalanceTable;
use cuminpick::clock::Clock;
use cuminpick::clock::SystemClock;
use cuminpick::crash_detection::CrashDetector;
use cuminpick::deadlines::DeadlineTracker;
use cuminpick::deadlines::StreamLengths;
use cuminpick::ids::ChoiceRng;
use cuminpick::ids::FastMap;
use cuminpick::ids::FastSet;
use cuminpick::ids::hash_parts;
use cuminpick::part_quarantine::PartQuarantine;
use cuminpick::quarantine::CrashQuarantine;
use cuminpick::request_limits::RequestLimits;
use cuminpick::retry::RetryBounds;
use cuminpick::retry::WindowedRetryBudget;
use cuminpick::silence::SilenceDetector;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use cuminpick_operators::metrics_server::serve_metrics;
use cuminpick_platform::settings::NodeSettings;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store_era::EraTracker;
use eyre::WrapErr;
use slog::o;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::task::LocalSet;

use crate::crash_records::maintain_crash_record;
use crate::crash_tracking::sweep_outdated;
use crate::gate::process_gate_queues;
use crate::listen::accept_callers;
use crate::listen::bind_listener;
use crate::listen::serve_readiness;
use crate::part_tracking::PartNews;
use crate::peers::start_peer_exchange;
use crate::state::DRAIN_LINGER;
use crate::state::GRACE_FRACTION;
use crate::state::Gateway;
use crate::store_return::follow_era;
use crate::store_return::probe_era;
use crate::store_watch::start_store_watches;

/// Interval at which a leaving gateway checks for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a gateway until SIGTERM, then finishes its open requests.
///
/// Fails if the settings lack an address, or if the log, the metrics, the runtime or a socket
/// cannot be set up.
pub fn run_gateway(
    settings: NodeSettings,
    path: PathBuf,
    metrics_port: Option<u16>,
) -> eyre::Result<()> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    let (journal, guard) = Journal::start(&settings.node, Arc::clone(&clock))?;
    let gateway = Rc::new(create_gateway(settings, clock, journal)?);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, run(Rc::clone(&gateway), path, metrics_port));
    let error = result.as_ref().err().map(|error| format!("{error:#}")).unwrap_or_default();
    gateway.journal.note(
        "stopped",
        None,
        o!("clean" => result.is_ok(), "open" => gateway.open_requests.get(), "error" => error),
    );
    drop(guard);
    result
}

fn create_gateway(
    settings: NodeSettings,
    clock: Arc<dyn Clock>,
    journal: Journal,
) -> eyre::Result<Gateway> {
    let bounds = RetryBounds {
        ratio: settings.bounds.retry_ratio,
        window: settings.bounds.retry_window,
        slack: settings.bounds.retry_slack,
    };
    let now = clock.elapsed();
    let started = clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let seed = hash_parts(&[settings.node.as_bytes(), &started.as_nanos().to_le_bytes()]);
    Ok(Gateway {
        metrics: Metrics::new(&settings.node)?,
        store: StoreClient::new(settings.store, EraTracker::new(Arc::clone(&clock))),
        settings,
        clock,
        journal,
        routing: RefCell::new(None),
        balance: RefCell::new(BalanceTable::default()),
        config_order: RefCell::default(),
        config_content: RefCell::default(),
        is_fetching_config: Cell::new(false),
        views_inherited: Cell::new(false),
        inherited_settling: Cell::new(None),
        relists: Cell::new(0),
        relist_due: Notify::new(),
        copy_filter: RefCell::default(),
        lowest_position: Cell::default(),
        retry_budget: RefCell::new(WindowedRetryBudget::new(bounds, now)),
        event_gaps: RefCell::new(FastMap::default()),
        gates: RefCell::new(FastMap::default()),
        groups: RefCell::default(),
        move_tickets: RefCell::default(),
        peer_heard_at: Cell::default(),
        watched_since: Cell::default(),
        demand: RefCell::default(),
        deadlines: RefCell::new(DeadlineTracker::default()),
        stream_lengths: RefCell::new(StreamLengths::default()),
        first_events: RefCell::default(),
        token_load: RefCell::default(),
        silence_detector: RefCell::new(SilenceDetector::default()),
        crash_detector: RefCell::new(CrashDetector::default()),
        active_probes: RefCell::new(FastSet::default()),
        probe_finished: Notify::new(),
        quarantine: RefCell::new(CrashQuarantine::default()),
        part_quarantine: RefCell::new(PartQuarantine::default()),
        part_trials: RefCell::default(),
        part_news: RefCell::new(PartNews::default()),
        request_limits: RefCell::new(RequestLimits::default()),
        capacity_queues: RefCell::default(),
        limit_news: RefCell::new(Vec::new()),
        leaving_news: RefCell::new(Vec::new()),
        pending_permits: RefCell::new(FastMap::default()),
        peer_links: RefCell::new(None),
        crash_evidence_changed: Notify::new(),
        answers_to_broadcast: RefCell::new(Vec::new()),
        crash_update_due: Notify::new(),
        crash_record_changed: Notify::new(),
        slow_engines: RefCell::new(Vec::new()),
        handled_era: Cell::default(),
        handled_contact: Cell::default(),
        era_check_due: Notify::new(),
        rng: RefCell::new(ChoiceRng::new(seed)),
        listed_kinds: RefCell::default(),
        configured_at: Cell::new(None),
        leaving_since: Cell::new(None),
        starting_requests: Cell::new(0),
        open_requests: Cell::new(0),
        buffered_bytes: Cell::new(0),
        capacity_changed: Notify::new(),
    })
}

async fn run(gateway: Rc<Gateway>, path: PathBuf, metrics_port: Option<u16>) -> eyre::Result<()> {
    let settings = &gateway.settings;
    let callers = required(settings.callers, "front")?;
    let readiness = required(settings.readiness, "ready")?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let caller_listener =
        bind_listener(callers).wrap_err_with(|| format!("cannot listen on {callers}"))?;
    let ready_listener =
        bind_listener(readiness).wrap_err_with(|| format!("cannot listen on {readiness}"))?;
    start_peer_exchange(&gateway).await.wrap_err("cannot open the socket for other gateways")?;
    if let Some(port) = metrics_port {
        start_metrics(&gateway, port);
    }
    start_store_watches(&gateway);
    tokio::task::spawn_local(follow_era(Rc::clone(&gateway)));
    tokio::task::spawn_local(probe_era(Rc::clone(&gateway)));
    tokio::task::spawn_local(maintain_crash_record(Rc::clone(&gateway)));
    tokio::task::spawn_local(sweep_outdated(Rc::clone(&gateway)));
    tokio::task::spawn_local(process_gate_queues(Rc::clone(&gateway)));
    tokio::task::spawn_local(serve_readiness(Rc::clone(&gateway), ready_listener));
    tokio::task::spawn_local(accept_callers(Rc::clone(&gateway), caller_listener));
    gateway.journal.note(
        "started",
        None,
        o!("zone" => settings.zone.clone(), "callers" => callers.to_string()),
    );
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => check_changed_settings(&gateway, &path),
        }
    }
    drain(&gateway).await;
    Ok(())
}

fn required(address: Option<SocketAddr>, field: &str) -> eyre::Result<SocketAddr> {
    address.ok_or_else(|| {
        eyre::eyre!(
            "the settings have no `listen.{field}`; run the gateway on VMs that take callers"
        )
    })
}

fn start_metrics(gateway: &Rc<Gateway>, port: u16) {
    let address = SocketAddr::new(gateway.settings.ip, port);
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let source = Rc::clone(&gateway);
        let result = serve_metrics(address, move || source.metrics.render()).await;
        if let Err(error) = result {
            let detail = error.to_string();
            gateway.journal.warn("metrics-not-served", o!("error" => detail));
        }
    });
}

/// Reads the settings again and logs whether they changed. The running process keeps those it
/// was started with.
fn check_changed_settings(gateway: &Gateway, path: &std::path::Path) {
    match NodeSettings::load(path) {
        Ok(settings) => {
            let changed = settings != gateway.settings;
            gateway.journal.note("settings-read", None, o!("changed" => changed));
        }
        Err(error) => {
            let detail = error.to_string();
            gateway.journal.warn("settings-ignored", o!("error" => detail));
        }
    }
}

/// Waits until the open requests are finished, but not beyond [`GRACE_FRACTION`] of the time
/// until SIGKILL.
async fn drain(gateway: &Rc<Gateway>) {
    gateway.leaving_since.set(Some(gateway.now()));
    gateway.journal.note("leaving", None, o!("open" => gateway.open_requests.get()));
    let started = gateway.now();
    let time_limit = gateway.settings.bounds.grace.mul_f64(GRACE_FRACTION);
    loop {
        let elapsed = gateway.now().saturating_sub(started);
        let idle = elapsed >= DRAIN_LINGER && gateway.open_requests.get() == 0;
        if idle || elapsed >= time_limit {
            return;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
