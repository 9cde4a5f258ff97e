//! Reads the engine on this VM, and gives it the leader's orders.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::counts::PackedCounts;
use cuminpick::counts::pack_counts;
use cuminpick::experts::ExpertIndex;
use cuminpick::experts::ExpertMap;
use cuminpick::experts::MapVersion;
use cuminpick::experts::apply_changes;
use cuminpick::experts::initial_map;
use cuminpick::orders::GroupEpoch;
use cuminpick::orders::LeaderTerm;
use cuminpick::orders::OrderId;
use cuminpick::orders::OrderOutcome;
use cuminpick::orders::RankOrder;
use cuminpick::routing::ExpertLayout;
use cuminpick_platform::engine::EngineClient;
use cuminpick_platform::engine::EngineError;
use slog::o;

use crate::lead::hear_news;
use crate::lead::hear_outcome;
use crate::messages::AgentMessage;
use crate::messages::RankNews;
use crate::messages::SentOrder;
use crate::state::Agent;
use crate::state::OwnRank;

/// Least interval at which the engine is read; a pass takes 40 ms or more.
const LOOK_INTERVAL: Duration = Duration::from_millis(30);
/// Interval for each rank of a group, so that a large one's leader can hear all.
const LOOK_PER_RANK: Duration = Duration::from_millis(1);
/// Least interval at which the counts are read.
const COUNT_INTERVAL: Duration = Duration::from_millis(60);
/// Part of a VM's link that counts from all ranks may take at the leader.
const COUNT_LINK_SHARE: f64 = 0.4;
/// Maps that are kept as bases of later ones.
const KEPT_MAPS: usize = 4;
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
        counted_at: Duration::ZERO,
        count_interval: COUNT_INTERVAL,
        failing: false,
    };
    loop {
        let pause = match observer.look().await {
            Ok(ranks) => LOOK_INTERVAL.max(LOOK_PER_RANK * ranks),
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
    counted_at: Duration,
    count_interval: Duration,
    failing: bool,
}

impl Observer {
    /// Reads the engine once; returns the number of ranks in its group.
    async fn look(&mut self) -> Result<u32, EngineError> {
        let after = self.agent.state.borrow().finished;
        let Some(report) = self.client.report().await? else {
            return Ok(0);
        };
        if self.failing {
            self.failing = false;
            self.agent.journal.note("engine-back", None, o!());
        }
        let status = report.status;
        let counts = self.due_counts(report.size).await?;
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
        let ranks = rank.size as u32;
        self.report(rank, news).await;
        Ok(ranks)
    }

    /// Reads the counts if it is time to, and packs them.
    async fn due_counts(&mut self, ranks: usize) -> Result<PackedCounts, EngineError> {
        let now = self.agent.now();
        if now < self.counted_at + self.count_interval {
            return Ok(PackedCounts::None);
        }
        self.counted_at = now;
        let counts = self.new_counts().await?;
        let packed = pack_counts(&counts, ranks, &mut self.agent.rng.borrow_mut());
        let bits = match &packed {
            PackedCounts::None => 0,
            PackedCounts::Fine(bytes) => bytes.len() * 8,
            PackedCounts::Coarse { halves, .. } => halves.len() * 8,
        };
        let link = self.agent.settings.link_bits_per_second * COUNT_LINK_SHARE;
        let needed = Duration::from_secs_f64((bits * ranks) as f64 / link.max(1.0));
        self.count_interval = needed.max(COUNT_INTERVAL);
        Ok(packed)
    }

    /// Returns how often each expert was chosen since the last reading.
    async fn new_counts(&mut self) -> Result<Vec<u32>, EngineError> {
        let read = self.client.counts().await?;
        let before = self.counts.replace((read.epoch, read.counts.clone()));
        let difference = match before {
            Some((epoch, before)) if epoch == read.epoch && before.len() == read.counts.len() => {
                read.counts
                    .iter()
                    .zip(&before)
                    .map(|(new, old)| u32::try_from(new.saturating_sub(*old)).unwrap_or(u32::MAX))
                    .collect()
            }
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
            if state.leadership.is_some() {
                None
            } else {
                state.leader.map(|leader| leader.address)
            }
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

/// Where an order comes from and goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenOrder {
    /// Term of the leader.
    pub term: LeaderTerm,
    /// Identity within the term.
    pub id: OrderId,
    /// Engine that it is for.
    pub engine: SocketAddr,
    /// Leader that waits for the outcome.
    pub from: SocketAddr,
}

/// Takes an order that came from the leader; one whose base is not known is asked
/// for as a whole.
pub async fn take_sent_order(agent: Rc<Agent>, giving: GivenOrder, order: SentOrder) {
    match whole_order(&agent, order) {
        Some(order) => take_order(agent, giving, order).await,
        None => {
            let group = agent.state.borrow().rank.as_ref().map(|rank| rank.group.clone());
            if let Some(group) = group {
                let GivenOrder { term, id, from, .. } = giving;
                agent.tell(from, &AgentMessage::MapUnknown { group, term, id }).await;
            }
        }
    }
}

/// Returns an order with its whole map, and keeps that as a base of later ones.
fn whole_order(agent: &Agent, order: SentOrder) -> Option<RankOrder> {
    let mut state = agent.state.borrow_mut();
    let order = match order {
        SentOrder::Whole(order) => order,
        SentOrder::PrepareChanges { mark, version, base, shape, changes } => {
            let known = state.maps.iter().find(|known| (known.0, known.1) == (mark.epoch, base));
            let before = match known {
                Some((_, _, map)) => map.clone(),
                None if base == 0 => {
                    let ranks = state.rank.as_ref()?.size;
                    initial_map(first_layout(shape), ranks)
                }
                None => return None,
            };
            RankOrder::Prepare { mark, version, map: apply_changes(&before, &changes)? }
        }
    };
    if let RankOrder::Prepare { mark, version, map } = &order {
        keep_map(&mut state.maps, mark.epoch, *version, map);
    }
    Some(order)
}

fn first_layout((sets, experts): (u16, u16)) -> ExpertLayout {
    let (sets, experts) = (usize::from(sets), usize::from(experts));
    ExpertLayout { sets, experts, places: experts, max_new: 0 }
}

fn keep_map(
    maps: &mut Vec<(GroupEpoch, MapVersion, ExpertMap)>,
    epoch: GroupEpoch,
    version: MapVersion,
    map: &ExpertMap,
) {
    if maps.iter().any(|known| (known.0, known.1) == (epoch, version)) {
        return;
    }
    if maps.len() >= KEPT_MAPS {
        maps.remove(0);
    }
    maps.push((epoch, version, map.clone()));
}

/// Carries out an order of the leader once, and reports the outcome.
pub async fn take_order(agent: Rc<Agent>, giving: GivenOrder, order: RankOrder) {
    let GivenOrder { term, id, engine, from } = giving;
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
            let outcome = give_order(&agent, engine, &order).await;
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

/// Gives an order to an engine.
async fn give_order(agent: &Rc<Agent>, engine: SocketAddr, order: &RankOrder) -> OrderOutcome {
    let outcome = EngineClient::new(engine).order(order).await;
    let mark = order.mark();
    agent.journal.note(
        "order-given",
        None,
        o!("order" => order.name(), "outcome" => format!("{outcome:?}"),
           "fence" => mark.fence, "epoch" => mark.epoch, "engine" => engine.to_string()),
    );
    outcome
}
