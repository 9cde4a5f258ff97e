//! Reads the engine on this VM, and gives it the leader's orders.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cuminpick::expert_counts::PackedCounts;
use cuminpick::expert_counts::pack_counts;
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
use cuminpick::orders::RankStatus;
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
/// Interval at which the engine is read while a switch waits for it; a switch waits
/// for the last rank to say that it has prepared, and that it uses the map.
const SWITCH_LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Time after an order for which a switch may wait for the engine; copies and passes
/// take some hundred milliseconds.
const SWITCH_WAIT: Duration = Duration::from_secs(1);
/// Reports after which the experts that the rank holds are told again, though they
/// are the same.
const PLACED_REPEAT: u32 = 8;
/// Least interval at which the counts are read.
const COUNT_INTERVAL: Duration = Duration::from_millis(60);
/// Span that counts tell of where they are told less often; a pass or two.
const COUNT_SPAN: Duration = Duration::from_millis(150);
/// Part of a VM's link that counts from all ranks may take at the leader.
const COUNT_LINK_SHARE: f64 = 0.4;
/// Maps that are kept as bases of later ones.
const KEPT_MAPS: usize = 4;
/// Pause after the engine could not be read.
const FAILED_PAUSE: Duration = Duration::from_millis(100);
/// Outcomes that are remembered before all are forgotten.
const MAX_OUTCOMES: usize = 4_096;

/// Time by which a report may come early, so that the timer's lateness does not
/// add up.
const REPORT_SLACK: Duration = Duration::from_millis(3);

/// Interval at which a rank of a group of that size reports when nothing changes.
fn report_interval(ranks: u32) -> Duration {
    LOOK_INTERVAL.max(LOOK_PER_RANK * ranks)
}

/// Reads the engine for as long as the process runs.
pub async fn observe_engine(agent: Rc<Agent>) {
    let mut observer = Observer {
        client: EngineClient::new(agent.engine),
        agent,
        counts: None,
        placed: None,
        told: None,
        reported_at: Duration::ZERO,
        counted_at: Duration::ZERO,
        began_span: Duration::ZERO,
        count_interval: COUNT_INTERVAL,
        failing: false,
    };
    loop {
        let pause = match observer.look().await {
            Ok(ranks) => observer.pause(ranks),
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
    /// What was last reported, to which leader, and how many reports ago the held
    /// experts were told.
    told: Option<ToldStatus>,
    reported_at: Duration,
    counted_at: Duration,
    /// When the span was begun that the next counts tell of.
    began_span: Duration,
    count_interval: Duration,
    failing: bool,
}

/// What an observer reported last.
#[derive(Debug, Clone, PartialEq)]
struct ToldStatus {
    status: RankStatus,
    leader: Option<LeaderTerm>,
    after: Option<(LeaderTerm, OrderId)>,
    since_placed: u32,
}

impl Observer {
    /// Time until the engine is read next.
    fn pause(&self, ranks: u32) -> Duration {
        let regular = report_interval(ranks);
        if self.switch_waits() { SWITCH_LOOK_INTERVAL.min(regular) } else { regular }
    }

    /// Whether a switch waits for this rank to prepare a map or to use it.
    fn switch_waits(&self) -> bool {
        let awaited = self.agent.state.borrow().awaited;
        let Some((version, since)) = awaited else {
            return false;
        };
        let reached = self.told.as_ref().is_some_and(|told| told.status.map >= version);
        !reached && self.agent.now() < since + SWITCH_WAIT
    }

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
            let (version, placed) = self.client.placed_experts().await?;
            self.placed = Some((status.epoch, version, placed));
        }
        let rank = OwnRank { group: report.group, size: report.size, rank: status.rank };
        let ranks = rank.size as u32;
        let now = self.agent.now();
        let due = now + REPORT_SLACK >= self.reported_at + report_interval(ranks);
        if !due && counts == PackedCounts::None && !self.tells_more(&status, after) {
            return Ok(ranks);
        }
        self.reported_at = now;
        let placed = self.due_placed(&status, after);
        let news = RankNews { status, placed, counts, after };
        self.report(rank, news).await;
        Ok(ranks)
    }

    /// Whether a status says anything that a switch may wait for.
    fn tells_more(&self, status: &RankStatus, after: Option<(LeaderTerm, OrderId)>) -> bool {
        self.told.as_ref().is_none_or(|told| {
            let before = &told.status;
            let known = (before.epoch, before.open, before.map, before.prepared);
            let orders = (before.armed, before.held);
            told.after != after
                || known != (status.epoch, status.open, status.map, status.prepared)
                || orders != (status.armed, status.held)
        })
    }

    /// Returns the experts that the rank holds when the leader has to be told, and
    /// notes what is reported.
    fn due_placed(
        &mut self,
        status: &RankStatus,
        after: Option<(LeaderTerm, OrderId)>,
    ) -> Vec<Vec<ExpertIndex>> {
        let leader = self.agent.state.borrow().leader.map(|leader| leader.term);
        let since_placed = match &self.told {
            Some(told)
                if told.leader == leader
                    && (told.status.epoch, told.status.map) == (status.epoch, status.map) =>
            {
                (told.since_placed + 1) % PLACED_REPEAT
            }
            _ => 0,
        };
        self.told = Some(ToldStatus { status: status.clone(), leader, after, since_placed });
        match &self.placed {
            Some((_, version, placed)) if *version == status.map && since_placed == 0 => {
                placed.clone()
            }
            _ => Vec::new(),
        }
    }

    /// Reads the counts if it is time to, and packs them. In a large group a rank's
    /// turn comes seldom: it then tells what was chosen shortly before only, since
    /// demand shifts within seconds.
    async fn due_counts(&mut self, ranks: usize) -> Result<PackedCounts, EngineError> {
        let now = self.agent.now();
        let due = self.counted_at + self.count_interval;
        if now < due {
            let spans_more = self.count_interval > COUNT_SPAN * 2;
            if spans_more && now + COUNT_SPAN >= due && self.began_span < self.counted_at {
                self.began_span = now;
                self.new_counts().await?;
            }
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
            Some(address) => {
                agent.tell(address, &AgentMessage::News { group, news }).await;
            }
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
                Some((_, _, map)) => Arc::clone(map),
                None if base == 0 => {
                    let ranks = state.rank.as_ref()?.size;
                    Arc::new(initial_map(first_layout(shape), ranks))
                }
                None => return None,
            };
            let map = Arc::new(apply_changes(&before, &changes)?);
            RankOrder::Prepare { mark, version, map }
        }
    };
    if let RankOrder::Prepare { mark, version, map } = &order {
        keep_map(&mut state.maps, mark.epoch, *version, map);
    }
    Some(order)
}

fn first_layout((sets, experts): (u16, u16)) -> ExpertLayout {
    let (sets, experts) = (usize::from(sets), usize::from(experts));
    ExpertLayout {
        sets,
        experts,
        slots_per_rank: experts,
        max_new_experts: 0,
        copy_time: Duration::ZERO,
    }
}

fn keep_map(
    maps: &mut Vec<(GroupEpoch, MapVersion, Arc<ExpertMap>)>,
    epoch: GroupEpoch,
    version: MapVersion,
    map: &Arc<ExpertMap>,
) {
    if maps.iter().any(|known| (known.0, known.1) == (epoch, version)) {
        return;
    }
    if maps.len() >= KEPT_MAPS {
        maps.remove(0);
    }
    maps.push((epoch, version, Arc::clone(map)));
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
            if let RankOrder::Prepare { version, .. } = &order {
                state.awaited = Some((*version, agent.now()));
            }
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
    let outcome = EngineClient::new(engine).send_order(order).await;
    let mark = order.mark();
    agent.journal.note(
        "order-given",
        None,
        o!("order" => order.name(), "outcome" => format!("{outcome:?}"),
           "fence" => mark.fence, "epoch" => mark.epoch, "engine" => engine.to_string()),
    );
    outcome
}
