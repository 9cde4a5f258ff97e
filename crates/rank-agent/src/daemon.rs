//! Starts an agent's tasks, handles the messages of other agents, and stops on SIGTERM.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use cuminpick::clock::Clock;
use cuminpick::clock::SystemClock;
use cuminpick::ids::ChoiceRng;
use cuminpick::ids::hash_parts;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use cuminpick_operators::metrics_server::serve_metrics;
use cuminpick_platform::settings::NodeSettings;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store_era::EraChange;
use cuminpick_platform::store_era::EraTracker;
use eyre::WrapErr;
use slog::o;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::task::LocalSet;

use crate::dispatch::receive_relayed_order;
use crate::dispatch::record_missing_base;
use crate::dispatch::relay_order;
use crate::elect::watch_leader;
use crate::group::follow_group;
use crate::lead::lead_group;
use crate::lead::record_outcome;
use crate::lead::record_presence;
use crate::lead::record_report_from;
use crate::lead::step_down;
use crate::members::record_lost_engine;
use crate::messages::AgentMessage;
use crate::observe::OrderRoute;
use crate::observe::observe_engine;
use crate::observe::receive_order;
use crate::state::Agent;
use crate::state::AgentState;
use crate::state::AgentTuning;
use crate::state::KnownLeader;

/// Size of the receive buffer, in bytes; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Returns the port for messages between agents: the second internal port, since gateways use
/// the first one. Falls back to the first one if there is no second.
pub fn agent_port(settings: &NodeSettings) -> u16 {
    (settings.first_internal_port + 1).min(settings.last_internal_port)
}

/// Runs an agent until SIGTERM.
///
/// Fails if the settings name no engine on this VM, or if the socket, the log or the metrics
/// cannot be set up.
pub fn run_agent(
    settings: NodeSettings,
    tuning: AgentTuning,
    metrics_port: Option<u16>,
) -> eyre::Result<()> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    let (journal, guard) = Journal::start(&settings.node, Arc::clone(&clock))?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local_set = LocalSet::new();
    let result =
        local_set.block_on(&runtime, run(settings, tuning, clock, journal.clone(), metrics_port));
    let error = result.as_ref().err().map(|error| format!("{error:#}")).unwrap_or_default();
    journal.note("stopped", None, o!("clean" => result.is_ok(), "error" => error));
    drop(guard);
    result
}

/// Opens the socket, starts the tasks and waits for SIGTERM.
async fn run(
    settings: NodeSettings,
    tuning: AgentTuning,
    clock: Arc<dyn Clock>,
    journal: Journal,
    metrics_port: Option<u16>,
) -> eyre::Result<()> {
    let engine = settings.local_engine.ok_or_else(|| {
        eyre::eyre!("the settings have no `app`; run the agent on VMs with a model engine")
    })?;
    let address = SocketAddr::new(settings.ip, agent_port(&settings));
    let socket = UdpSocket::bind(address)
        .await
        .wrap_err_with(|| format!("cannot bind the UDP socket {address} for agent messages"))?;
    let started = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    let seed = hash_parts(&[settings.node.as_bytes(), &started.as_nanos().to_le_bytes()]);
    let agent = Rc::new(Agent {
        metrics: Metrics::new(&settings.node)?,
        store: StoreClient::new(settings.store, EraTracker::new(Arc::clone(&clock))),
        tuning,
        engine,
        clock,
        incarnation: started.as_millis() as u64,
        journal,
        socket,
        state: RefCell::new(AgentState::default()),
        rng: RefCell::new(ChoiceRng::new(seed)),
        read_now: Notify::new(),
        settings,
    });
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    agent.journal.note("started", None, o!("engine" => engine.to_string()));
    if let Some(port) = metrics_port {
        start_metrics(&agent, port);
    }
    tokio::task::spawn_local(observe_engine(Rc::clone(&agent)));
    tokio::task::spawn_local(receive_messages(Rc::clone(&agent)));
    tokio::task::spawn_local(watch_leader(Rc::clone(&agent)));
    tokio::task::spawn_local(lead_group(Rc::clone(&agent)));
    tokio::task::spawn_local(follow_group(Rc::clone(&agent)));
    tokio::task::spawn_local(log_eras(Rc::clone(&agent)));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => agent.journal.note("settings-read", None, o!("changed" => false)),
        }
    }
    agent.journal.note("leaving", None, o!());
    Ok(())
}

fn start_metrics(agent: &Rc<Agent>, port: u16) {
    let address = SocketAddr::new(agent.settings.ip, port);
    let agent = Rc::clone(agent);
    tokio::task::spawn_local(async move {
        let metrics_agent = Rc::clone(&agent);
        let served = serve_metrics(address, move || metrics_agent.metrics.render()).await;
        if let Err(error) = served {
            let detail = error.to_string();
            agent.journal.warn("metrics-not-served", o!("error" => detail));
        }
    });
}

/// Logs each change of the store's era.
async fn log_eras(agent: Rc<Agent>) {
    let mut statuses = agent.store.eras().subscribe();
    let mut logged = *statuses.borrow_and_update();
    while statuses.changed().await.is_ok() {
        let status = *statuses.borrow_and_update();
        let era = status.known.era;
        for change in status.changes_since(&logged) {
            match change {
                EraChange::Unreadable => {
                    agent.metrics.count_unreadable("era");
                    agent.journal.warn("era-unreadable", o!("answers" => status.unreadable));
                }
                EraChange::First => agent.journal.note("era-learned", None, o!("era" => era)),
                EraChange::Restored => {
                    let before = status.previous;
                    agent.journal.warn("store-restored", o!("era" => era, "before" => before));
                }
            }
        }
        logged = status;
    }
}

/// Receives the messages of other agents; those of other groups are ignored.
async fn receive_messages(agent: Rc<Agent>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = agent.socket.recv_from(&mut buffer).await else {
            // The error stems from an earlier datagram; receiving goes on.
            continue;
        };
        let Ok(message) = postcard::from_bytes::<AgentMessage>(&buffer[..length]) else {
            let from = from.to_string();
            agent.metrics.count_unreadable("message");
            agent.journal.warn("message-unreadable", o!("from" => from));
            continue;
        };
        agent.metrics.count_control(message.name(), "in", length);
        let is_own_group = {
            let state = agent.state.borrow();
            state.rank.as_ref().is_some_and(|rank| rank.group == message.group())
        };
        if is_own_group {
            handle_message(&agent, from, message).await;
        }
    }
}

async fn handle_message(agent: &Rc<Agent>, from: SocketAddr, message: AgentMessage) {
    match message {
        AgentMessage::Beacon { term, .. } => {
            follow_leader(agent, from, term);
        }
        AgentMessage::Report { news, .. } => record_report_from(agent, news, Some(from)).await,
        AgentMessage::Order { term, id, order, engine, .. } => {
            if follow_leader(agent, from, term) {
                let engine = engine.unwrap_or(agent.engine);
                let route = OrderRoute { term, id, engine, from };
                tokio::task::spawn_local(receive_order(Rc::clone(agent), route, order));
            }
        }
        AgentMessage::Relay { group, order, agents } => {
            relay_order(agent, group, order, agents);
        }
        AgentMessage::Relayed { order, id, .. } => receive_relayed_order(agent, order, id),
        AgentMessage::Check { group, term, id } => {
            let rank = agent.state.borrow().rank.as_ref().map(|own| own.rank);
            if let Some(rank) = rank.filter(|_| follow_leader(agent, from, term)) {
                agent.send(from, &AgentMessage::Present { group, term, id, rank }).await;
            }
        }
        AgentMessage::Present { term, id, rank, .. } => {
            record_presence(agent, term, id, rank).await
        }
        AgentMessage::MapUnknown { term, id, .. } => record_missing_base(agent, from, term, id),
        AgentMessage::EngineLost { rank, .. } => record_lost_engine(agent, rank),
        AgentMessage::Outcome { term, id, outcome, .. } => {
            record_outcome(agent, term, id, outcome).await;
        }
    }
}

/// Records a message of the leader at `address`. The leader with the highest term is followed;
/// returns false for a message of an earlier term, which must be ignored.
pub(crate) fn follow_leader(agent: &Rc<Agent>, address: SocketAddr, term: u64) -> bool {
    let known_term = agent.state.borrow().leader.map_or(0, |leader| leader.term);
    if term < known_term {
        return false;
    }
    if term > known_term {
        step_down(agent, "a leader with a higher term was detected");
        agent.state.borrow_mut().outcomes.clear();
        let address = address.to_string();
        agent.journal.note(
            "leader-changed",
            None,
            o!("term" => term, "before" => known_term, "address" => address),
        );
    }
    let last_heard = agent.now();
    agent.state.borrow_mut().leader = Some(KnownLeader { term, address, last_heard });
    true
}
