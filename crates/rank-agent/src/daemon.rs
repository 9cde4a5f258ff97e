//! Wires an agent together and runs it until it is told to leave.

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
use cuminpick_operators::page::serve_metrics;
use cuminpick_platform::settings::NodeSettings;
use eyre::WrapErr;
use slog::o;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::task::LocalSet;

use crate::elect::watch_leader;
use crate::group::follow_group;
use crate::lead::hear_news_from;
use crate::lead::hear_outcome;
use crate::lead::hear_present;
use crate::lead::lead_group;
use crate::lead::step_down;
use crate::messages::AgentMessage;
use crate::observe::GivenOrder;
use crate::observe::observe_engine;
use crate::observe::take_sent_order;
use crate::pass::note_missing_base;
use crate::pass::pass_on;
use crate::pass::take_passed_order;
use crate::state::Agent;
use crate::state::AgentState;
use crate::state::AgentTuning;
use crate::state::KnownLeader;

/// Largest datagram.
const MAX_DATAGRAM: usize = 60_000;

/// Port for messages of agents; gateways use the first internal port.
pub fn agent_port(settings: &NodeSettings) -> u16 {
    (settings.first_internal_port + 1).min(settings.last_internal_port)
}

/// Runs an agent until SIGTERM.
pub fn run_agent(
    settings: NodeSettings,
    tuning: AgentTuning,
    metrics_port: Option<u16>,
) -> eyre::Result<()> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    let (journal, guard) = Journal::start(&settings.node, Arc::clone(&clock))?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let done =
        local.block_on(&runtime, run(settings, tuning, clock, journal.clone(), metrics_port));
    let error = done.as_ref().err().map(|error| format!("{error:#}")).unwrap_or_default();
    journal.note("stopped", None, o!("clean" => done.is_ok(), "error" => error));
    drop(guard);
    done
}

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
        .wrap_err_with(|| format!("cannot open the socket {address} for other agents"))?;
    let started = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    let seed = hash_parts(&[settings.node.as_bytes(), &started.as_nanos().to_le_bytes()]);
    let agent = Rc::new(Agent {
        metrics: Metrics::new(&settings.node)?,
        tuning,
        engine,
        clock,
        incarnation: started.as_millis() as u64,
        journal,
        socket,
        state: RefCell::new(AgentState::default()),
        rng: RefCell::new(ChoiceRng::new(seed)),
        look_now: Notify::new(),
        settings,
    });
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    agent.journal.note("started", None, o!("engine" => engine.to_string()));
    if let Some(port) = metrics_port {
        start_metrics(&agent, port);
    }
    tokio::task::spawn_local(observe_engine(Rc::clone(&agent)));
    tokio::task::spawn_local(hear_agents(Rc::clone(&agent)));
    tokio::task::spawn_local(watch_leader(Rc::clone(&agent)));
    tokio::task::spawn_local(lead_group(Rc::clone(&agent)));
    tokio::task::spawn_local(follow_group(Rc::clone(&agent)));
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
        let rendering = Rc::clone(&agent);
        let served = serve_metrics(address, move || rendering.metrics.render()).await;
        if let Err(error) = served {
            let detail = error.to_string();
            agent.journal.warn("metrics-not-served", o!("error" => detail));
        }
    });
}

/// Takes the other agents' messages in.
async fn hear_agents(agent: Rc<Agent>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, from)) = agent.socket.recv_from(&mut buffer).await else {
            // An error of an earlier datagram's delivery says nothing of the next.
            continue;
        };
        let Ok(message) = postcard::from_bytes::<AgentMessage>(&buffer[..length]) else {
            let from = from.to_string();
            agent.journal.warn("message-unreadable", o!("from" => from));
            continue;
        };
        agent.metrics.count_control(message.name(), "in", length);
        let own_group = {
            let state = agent.state.borrow();
            state.rank.as_ref().is_some_and(|rank| rank.group == message.group())
        };
        if own_group {
            take_message(&agent, from, message).await;
        }
    }
}

async fn take_message(agent: &Rc<Agent>, from: SocketAddr, message: AgentMessage) {
    match message {
        AgentMessage::Beacon { term, .. } => {
            follow_leader(agent, from, term);
        }
        AgentMessage::News { news, .. } => hear_news_from(agent, news, Some(from)).await,
        AgentMessage::Order { term, id, order, engine, .. } => {
            if follow_leader(agent, from, term) {
                let engine = engine.unwrap_or(agent.engine);
                let giving = GivenOrder { term, id, engine, from };
                tokio::task::spawn_local(take_sent_order(Rc::clone(agent), giving, order));
            }
        }
        AgentMessage::PassOn { group, order, agents } => {
            pass_on(agent, group, order, agents);
        }
        AgentMessage::Passed { order, id, .. } => take_passed_order(agent, order, id),
        AgentMessage::Check { group, term, id } => {
            let rank = agent.state.borrow().rank.as_ref().map(|own| own.rank);
            if let Some(rank) = rank.filter(|_| follow_leader(agent, from, term)) {
                agent.tell(from, &AgentMessage::Present { group, term, id, rank }).await;
            }
        }
        AgentMessage::Present { term, id, rank, .. } => hear_present(agent, term, id, rank).await,
        AgentMessage::MapUnknown { term, id, .. } => note_missing_base(agent, from, term, id),
        AgentMessage::Outcome { term, id, outcome, .. } => {
            hear_outcome(agent, term, id, outcome).await;
        }
    }
}

/// Follows the leader with the highest term; false for an earlier one.
pub(crate) fn follow_leader(agent: &Rc<Agent>, address: SocketAddr, term: u64) -> bool {
    let known = agent.state.borrow().leader.map_or(0, |leader| leader.term);
    if term < known {
        return false;
    }
    if term > known {
        step_down(agent, "a later leader was heard");
        agent.state.borrow_mut().outcomes.clear();
        let address = address.to_string();
        agent.journal.note(
            "leader-changed",
            None,
            o!("term" => term, "before" => known, "address" => address),
        );
    }
    let heard = agent.now();
    agent.state.borrow_mut().leader = Some(KnownLeader { term, address, heard });
    true
}
