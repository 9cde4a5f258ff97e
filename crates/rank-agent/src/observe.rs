//! Reads the engine on this VM, and gives it the leader's orders.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::experts::ExpertIndex;
use cuminpick::experts::MapVersion;
use cuminpick::switch::GroupEpoch;
use cuminpick::switch::LeaderTerm;
use cuminpick::switch::OrderId;
use cuminpick::switch::OrderOutcome;
use cuminpick::switch::RankOrder;
use cuminpick_platform::engine::EngineClient;
use cuminpick_platform::engine::EngineError;
use slog::o;

use crate::lead::hear_news;
use crate::lead::hear_outcome;
use crate::messages::AgentMessage;
use crate::messages::RankNews;
use crate::state::Agent;
use crate::state::OwnRank;

/// Interval at which the engine is read; a pass takes 40 ms or more.
const LOOK_INTERVAL: Duration = Duration::from_millis(30);
/// Looks for each reading of the counts.
const LOOKS_PER_COUNT: u32 = 2;
/// Pause after the engine could not be read.
const FAILED_PAUSE: Duration = Duration::from_millis(100);
/// Outcomes that are remembered before all are forgotten.
const MAX_OUTCOMES: usize = 4_096;

/// Reads the engine for as long as the process runs.
pub async fn observe_engine(agent: Rc<Agent>) {
    let mut observer = Observer {
        client: EngineClient::new(agent.engine),
        agent,
        counts: None,
        placed: None,
        looks: 0,
        failing: false,
    };
    loop {
        let pause = match observer.look().await {
            Ok(()) => LOOK_INTERVAL,
            Err(error) => {
                observer.note_failure(&error);
                FAILED_PAUSE
            }
        };
        let agent = Rc::clone(&observer.agent);
        let _ = tokio::time::timeout(pause, agent.look_now.notified()).await;
    }
}

struct Observer {
    agent: Rc<Agent>,
    client: EngineClient,
    counts: Option<(GroupEpoch, Vec<u64>)>,
    placed: Option<(GroupEpoch, MapVersion, Vec<Vec<ExpertIndex>>)>,
    looks: u32,
    failing: bool,
}

impl Observer {
    async fn look(&mut self) -> Result<(), EngineError> {
        let after = self.agent.state.borrow().finished;
        let Some(report) = self.client.report().await? else {
            return Ok(());
        };
        if self.failing {
            self.failing = false;
            self.agent.journal.note("engine-back", None, o!());
        }
        let status = report.status;
        let counts = if self.looks % LOOKS_PER_COUNT == 0 { self.new_counts().await? } else { Vec::new() };
        self.looks = self.looks.wrapping_add(1);
        let known = self.placed.as_ref().map(|(epoch, version, _)| (*epoch, *version));
        if known != Some((status.epoch, status.map)) {
            let (version, placed) = self.client.placed().await?;
            self.placed = Some((status.epoch, version, placed));
        }
        let placed = match &self.placed {
            Some((_, version, placed)) if *version == status.map => placed.clone(),
            _ => Vec::new(),
        };
        let rank = OwnRank { group: report.group, size: report.size, rank: status.rank };
        let news = RankNews { status, placed, counts, after };
        self.report(rank, news).await;
        Ok(())
    }

    /// Returns how often each expert was chosen since the last reading.
    async fn new_counts(&mut self) -> Result<Vec<u32>, EngineError> {
        let read = self.client.counts().await?;
        let before = self.counts.replace((read.epoch, read.counts.clone()));
        let difference = match before {
            Some((epoch, before)) if epoch == read.epoch && before.len() == read.counts.len() => read
                .counts
                .iter()
                .zip(&before)
                .map(|(new, old)| u32::try_from(new.saturating_sub(*old)).unwrap_or(u32::MAX))
                .collect(),
            _ => Vec::new(),
        };
        Ok(difference)
    }

    async fn report(&self, rank: OwnRank, news: RankNews) {
        let agent = &self.agent;
        let group = rank.group.clone();
        let target = {
            let mut state = agent.state.borrow_mut();
            if state.rank.as_ref() != Some(&rank) {
                agent.journal.note(
                    "rank-known",
                    None,
                    o!("group" => rank.group.clone(), "rank" => rank.rank, "size" => rank.size),
                );
                state.rank = Some(rank);
            }
            if state.leadership.is_some() { None } else { state.leader.map(|leader| leader.address) }
        };
        match target {
            Some(address) => agent.tell(address, &AgentMessage::News { group, news }).await,
            None => hear_news(agent, news).await,
        }
    }

    fn note_failure(&mut self, error: &EngineError) {
        if !self.failing {
            let detail = error.to_string();
            self.agent.journal.warn("engine-lost", o!("error" => detail));
        }
        self.failing = true;
    }
}

/// Carries out an order of the leader once, and reports the outcome.
pub async fn take_order(
    agent: Rc<Agent>,
    term: LeaderTerm,
    id: OrderId,
    order: RankOrder,
    from: std::net::SocketAddr,
) {
    let known = {
        let mut state = agent.state.borrow_mut();
        if state.outcomes.len() >= MAX_OUTCOMES {
            state.outcomes.clear();
        }
        let known = state.outcomes.get(&id).copied();
        if known.is_none() {
            state.outcomes.insert(id, None);
        }
        known
    };
    let outcome = match known {
        // The order is being carried out; its end will be told.
        Some(None) => return,
        Some(Some(outcome)) => outcome,
        None => {
            let outcome = give_order(&agent, &order).await;
            let mut state = agent.state.borrow_mut();
            if state.leader.is_some_and(|leader| leader.term == term) {
                state.outcomes.insert(id, Some(outcome));
                state.finished = state.finished.max(Some((term, id)));
            }
            outcome
        }
    };
    let group = agent.state.borrow().rank.as_ref().map(|rank| rank.group.clone());
    let Some(group) = group else {
        return;
    };
    if agent.state.borrow().leadership.is_some() {
        hear_outcome(&agent, term, id, outcome).await;
    } else {
        agent.tell(from, &AgentMessage::Outcome { group, term, id, outcome }).await;
    }
    agent.look_now.notify_one();
}

/// Gives an order to the engine on this VM.
async fn give_order(agent: &Rc<Agent>, order: &RankOrder) -> OrderOutcome {
    let outcome = EngineClient::new(agent.engine).order(order).await;
    let mark = order.mark();
    agent.journal.note(
        "order-given",
        None,
        o!("order" => order.name(), "outcome" => format!("{outcome:?}"),
           "fence" => mark.fence, "epoch" => mark.epoch),
    );
    outcome
}
