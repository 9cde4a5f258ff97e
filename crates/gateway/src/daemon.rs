//! Wires a gateway together and runs it until it is told to leave.

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
use cuminpick::quarantine::CrashQuarantine;
use cuminpick::retry::RetryBounds;
use cuminpick::retry::WindowedRetryBudget;
use cuminpick::silence::SilenceDetector;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use cuminpick_operators::page::serve_metrics;
use cuminpick_platform::settings::NodeSettings;
use eyre::WrapErr;
use slog::o;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::task::LocalSet;

use crate::crashes::keep_record;
use crate::crashes::sweep_crashes;
use crate::feeds::start_feeds;
use crate::gate::pump_gates;
use crate::listen::bind;
use crate::listen::listen_for_callers;
use crate::listen::listen_for_readiness;
use crate::peers::start_peers;
use crate::state::GRACE_SHARE;
use crate::state::Gateway;
use crate::state::LINGER;

/// Pause between two looks whether open requests have ended.
const LEAVE_LOOK: Duration = Duration::from_millis(20);

/// Runs a gateway until SIGTERM, then lets it finish what it has.
pub fn run_gateway(
    settings: NodeSettings,
    path: PathBuf,
    metrics_port: Option<u16>,
) -> eyre::Result<()> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    let (journal, guard) = Journal::start(&settings.node, Arc::clone(&clock))?;
    let gateway = Rc::new(make_gateway(settings, clock, journal)?);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let done = local.block_on(&runtime, run(Rc::clone(&gateway), path, metrics_port));
    let error = done.as_ref().err().map(|error| format!("{error:#}")).unwrap_or_default();
    gateway.journal.note(
        "stopped",
        None,
        o!("clean" => done.is_ok(), "open" => gateway.open.get(), "error" => error),
    );
    drop(guard);
    done
}

fn make_gateway(
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
        settings,
        clock,
        journal,
        routing: RefCell::new(None),
        balance: RefCell::new(BalanceTable::default()),
        budget: RefCell::new(WindowedRetryBudget::new(bounds, now)),
        pauses: RefCell::new(FastMap::default()),
        gates: RefCell::new(FastMap::default()),
        deadlines: RefCell::new(DeadlineTracker::default()),
        lengths: RefCell::new(StreamLengths::default()),
        silence: RefCell::new(SilenceDetector::default()),
        ends: RefCell::new(CrashDetector::default()),
        looked_at: RefCell::new(FastSet::default()),
        looked: Notify::new(),
        crashes: RefCell::new(CrashQuarantine::default()),
        newly_held: Notify::new(),
        answers_to_tell: RefCell::new(Vec::new()),
        crash_told: Notify::new(),
        crash_written: Notify::new(),
        slow_engines: RefCell::new(Vec::new()),
        rng: RefCell::new(ChoiceRng::new(seed)),
        servers_known: Cell::new(false),
        leaving: Cell::new(None),
        open: Cell::new(0),
        buffered: Cell::new(0),
        room: Notify::new(),
    })
}

async fn run(gateway: Rc<Gateway>, path: PathBuf, metrics_port: Option<u16>) -> eyre::Result<()> {
    let settings = &gateway.settings;
    let callers = required(settings.callers, "front")?;
    let readiness = required(settings.readiness, "ready")?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let caller_listener = bind(callers).wrap_err_with(|| format!("cannot listen on {callers}"))?;
    let ready_listener =
        bind(readiness).wrap_err_with(|| format!("cannot listen on {readiness}"))?;
    start_peers(&gateway).await.wrap_err("cannot open the socket for other gateways")?;
    if let Some(port) = metrics_port {
        start_metrics(&gateway, port);
    }
    start_feeds(&gateway);
    tokio::task::spawn_local(keep_record(Rc::clone(&gateway)));
    tokio::task::spawn_local(sweep_crashes(Rc::clone(&gateway)));
    tokio::task::spawn_local(pump_gates(Rc::clone(&gateway)));
    tokio::task::spawn_local(listen_for_readiness(Rc::clone(&gateway), ready_listener));
    tokio::task::spawn_local(listen_for_callers(Rc::clone(&gateway), caller_listener));
    gateway.journal.note(
        "started",
        None,
        o!("zone" => settings.zone.clone(), "callers" => callers.to_string()),
    );
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => note_reload(&gateway, &path),
        }
    }
    leave(&gateway).await;
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
        let rendering = Rc::clone(&gateway);
        let served = serve_metrics(address, move || rendering.metrics.render()).await;
        if let Err(error) = served {
            let detail = error.to_string();
            gateway.journal.warn("metrics-not-served", o!("error" => detail));
        }
    });
}

/// Reads the settings again; addresses in use stay until the next start.
fn note_reload(gateway: &Gateway, path: &std::path::Path) {
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

async fn leave(gateway: &Rc<Gateway>) {
    gateway.leaving.set(Some(gateway.now()));
    gateway.journal.note("leaving", None, o!("open" => gateway.open.get()));
    let started = gateway.now();
    let latest = gateway.settings.bounds.grace.mul_f64(GRACE_SHARE);
    loop {
        let passed = gateway.now().saturating_sub(started);
        let idle = passed >= LINGER && gateway.open.get() == 0;
        if idle || passed >= latest {
            return;
        }
        tokio::time::sleep(LEAVE_LOOK).await;
    }
}
