//! What the leader of a group knows of its ranks.
//!
//! A rank is known through the reports of its agent. While the agent is silent, the leader
//! reads the engine directly. Engines answer such reads with a state of the recent past,
//! so each view records the time that it describes, and is never replaced by an older one.

use std::time::Duration;

use crate::experts::ExpertIndex;
use crate::experts::ExpertMap;
use crate::experts::MapVersion;
use crate::experts::RankIndex;
use crate::orders::GroupEpoch;
use crate::orders::OrderId;
use crate::orders::PassNumber;
use crate::orders::RankStatus;

/// Age after which a rank's status is too old to act on; ten report intervals in groups of
/// up to 30 ranks.
const MAX_STATUS_AGE: Duration = Duration::from_millis(300);
/// Time without reports after which an agent counts as silent and its engine is read and
/// ordered directly.
const AGENT_SILENCE: Duration = Duration::from_millis(400);
/// Age of a report at which its agent may have stopped; three report intervals.
const MAX_REPORT_GAP: Duration = Duration::from_millis(100);
/// The same age per rank of a large group, whose agents report less often.
const REPORT_GAP_PER_RANK: Duration = Duration::from_millis(3);
/// Age of the state in a direct read while the engines' report lag is not known.
const DEFAULT_READ_LAG: Duration = Duration::from_millis(500);
/// Assumed age of the state in a direct read, as a multiple of the engines' report lag.
const READ_LAG_FACTOR: u32 = 2;

/// What the leader knows of one rank.
#[derive(Debug, Clone)]
pub struct RankView {
    /// Latest known status.
    pub status: RankStatus,
    /// Experts that the rank holds, by set; empty while unknown.
    pub placed: Vec<Vec<ExpertIndex>>,
    /// Time that the status describes, at the earliest.
    pub as_of: Duration,
    /// Last order that was carried out before the status was read.
    pub last_order: Option<OrderId>,
    /// When the rank's agent last reported.
    reported: Option<Duration>,
    /// When the engine last answered a direct read.
    read: Option<Duration>,
    /// Last order that the engine received directly, and when its outcome was known.
    direct_order: Option<(OrderId, Duration)>,
    /// Whether the agent left an order or a check unanswered since its last report.
    unresponsive: bool,
}

impl RankView {
    fn is_silent(&self, now: Duration) -> bool {
        self.unresponsive || self.reported.is_none_or(|reported| now >= reported + AGENT_SILENCE)
    }

    fn is_current(&self, now: Duration) -> bool {
        let last_seen = if self.is_silent(now) { self.read } else { self.reported };
        last_seen.is_some_and(|last_seen| now < last_seen + MAX_STATUS_AGE)
    }
}

/// Views of all ranks of a group, by rank.
#[derive(Debug, Clone)]
pub struct RankViews {
    views: Vec<Option<RankView>>,
    read_lag: Duration,
}

impl RankViews {
    /// Returns the views of a group of `size` ranks, none of which is known.
    pub fn new(size: usize) -> RankViews {
        RankViews { views: vec![None; size], read_lag: DEFAULT_READ_LAG }
    }

    /// Sets the age of the state that engines give in direct reads; zero is not known.
    pub fn set_report_lag(&mut self, lag: Duration) {
        if !lag.is_zero() {
            self.read_lag = lag * READ_LAG_FACTOR;
        }
    }

    /// Returns the assumed age of the state in a direct read.
    pub fn read_lag(&self) -> Duration {
        self.read_lag
    }

    /// Returns the number of ranks.
    pub fn size(&self) -> usize {
        self.views.len()
    }

    /// Returns the view of a rank, if it is known.
    pub fn get(&self, rank: RankIndex) -> Option<&RankView> {
        self.views.get(rank)?.as_ref()
    }

    /// Returns the views of the known ranks.
    pub fn known(&self) -> impl Iterator<Item = &RankView> {
        self.views.iter().flatten()
    }

    /// Returns whether `condition` holds for every rank; false while one is not known.
    pub fn all(&self, condition: impl Fn(&RankView) -> bool) -> bool {
        self.views.iter().all(|view| view.as_ref().is_some_and(&condition))
    }

    /// Returns the number of ranks that are not known.
    pub fn unknown(&self) -> usize {
        self.views.iter().filter(|view| view.is_none()).count()
    }

    /// Records the report of a rank's agent.
    ///
    /// `placed` is empty if the report omits the rank's experts. A report of a rank beyond the
    /// size of the group is ignored.
    pub fn record_report(
        &mut self,
        now: Duration,
        status: RankStatus,
        placed: Vec<Vec<ExpertIndex>>,
        last_order: Option<OrderId>,
    ) {
        let Some(slot) = self.views.get_mut(status.rank) else {
            return;
        };
        let before = slot.take();
        let placed = match &before {
            Some(before) => kept_placement(before, &status, placed),
            None => placed,
        };
        let direct_order = before.and_then(|before| before.direct_order);
        *slot = Some(RankView {
            status,
            placed,
            as_of: now,
            last_order,
            reported: Some(now),
            read: None,
            direct_order,
            unresponsive: false,
        });
    }

    /// Records a direct read of a rank's engine that was begun at `started`; a status that
    /// describes an earlier time than the known one is dropped.
    pub fn record_read(
        &mut self,
        now: Duration,
        started: Duration,
        status: RankStatus,
        placed: Vec<Vec<ExpertIndex>>,
    ) {
        let Some(slot) = self.views.get_mut(status.rank) else {
            return;
        };
        let as_of = started.saturating_sub(self.read_lag);
        let Some(view) = slot else {
            *slot = Some(RankView {
                status,
                placed,
                as_of,
                last_order: None,
                reported: None,
                read: Some(now),
                direct_order: None,
                unresponsive: true,
            });
            return;
        };
        view.read = Some(now);
        if as_of < view.as_of {
            return;
        }
        view.placed = kept_placement(view, &status, placed);
        view.status = status;
        view.as_of = as_of;
        if let Some((order, _)) = view.direct_order.filter(|(_, ended)| *ended <= as_of) {
            view.last_order = view.last_order.max(Some(order));
        }
    }

    /// Records that the outcome of an order that the engine received directly is known.
    pub fn record_direct_order(&mut self, now: Duration, rank: RankIndex, order: OrderId) {
        if let Some(view) = &mut self.views[rank] {
            view.direct_order = Some((order, now));
        }
    }

    /// Treats a rank's agent as silent if it has not reported since `since`, when it was sent
    /// something that it has not answered.
    pub fn suspect_agent(&mut self, rank: RankIndex, since: Duration) {
        if let Some(view) = &mut self.views[rank]
            && view.reported.is_none_or(|reported| reported < since)
        {
            view.unresponsive = true;
        }
    }

    /// Records that a rank whose agent is silent uses a map: it confirmed that it was armed,
    /// and the pass has begun at the other ranks.
    pub fn assume_switched(&mut self, now: Duration, version: MapVersion) {
        for view in self.views.iter_mut().flatten().filter(|view| view.is_silent(now)) {
            view.status.map = version;
            view.status.prepared = None;
            view.status.armed = None;
            view.as_of = now;
        }
    }

    /// Returns whether a rank's agent is silent; false for a rank that is not known.
    pub fn is_silent(&self, now: Duration, rank: RankIndex) -> bool {
        self.get(rank).is_some_and(|view| view.is_silent(now))
    }

    /// Returns the ranks whose agents are silent.
    pub fn silent(&self, now: Duration) -> Vec<RankIndex> {
        (0..self.size()).filter(|&rank| self.is_silent(now, rank)).collect()
    }

    /// Returns whether a rank's agent has reported recently.
    pub fn has_current_agent(&self, now: Duration, rank: RankIndex) -> bool {
        self.get(rank).is_some_and(|view| !view.is_silent(now) && view.is_current(now))
    }

    /// Returns whether the status of every rank is recent, and that of the most ranks known
    /// from their agents: a leader that hears fewer is likely to be cut off itself.
    pub fn all_current(&self, now: Duration) -> bool {
        let silent = self.silent(now).len();
        silent * 2 < self.size() && self.all(|view| view.is_current(now))
    }

    /// Returns whether each agent that is not silent reported recently enough to be presumed
    /// running.
    pub fn all_reported_recently(&self, now: Duration) -> bool {
        let max_gap = MAX_REPORT_GAP.max(REPORT_GAP_PER_RANK * self.size() as u32);
        self.all(|view| {
            view.is_silent(now) || view.reported.is_some_and(|reported| now < reported + max_gap)
        })
    }

    /// Returns the formation if all ranks report the same one as open.
    pub fn formed_epoch(&self) -> Option<GroupEpoch> {
        let epoch = self.get(0)?.status.epoch;
        self.all(|view| view.status.epoch == epoch && view.status.open).then_some(epoch)
    }

    /// Returns the version of the map in use if all ranks use the same one.
    pub fn common_version(&self) -> Option<MapVersion> {
        let version = self.get(0)?.status.map;
        self.all(|view| view.status.map == version).then_some(version)
    }

    /// Returns the map that the ranks' experts amount to; `None` while some are not known.
    pub fn placed_map(&self) -> Option<ExpertMap> {
        let sets = self.get(0)?.placed.len();
        if sets == 0 || !self.all(|view| view.placed.len() == sets) {
            return None;
        }
        let by_set =
            (0..sets).map(|set| self.known().map(|view| view.placed[set].clone()).collect());
        Some(by_set.collect())
    }

    /// Returns the ranks that are armed, with the version of their map.
    pub fn armed(&self) -> Vec<(RankIndex, MapVersion)> {
        self.known().filter_map(|view| Some((view.status.rank, view.status.armed?))).collect()
    }

    /// Returns the ranks that hold a pass, with its number.
    pub fn held(&self) -> Vec<(RankIndex, PassNumber)> {
        self.known().filter_map(|view| Some((view.status.rank, view.status.held?))).collect()
    }
}

/// Returns a rank's experts: the given ones, or if they are empty the known ones as long as
/// the rank uses the same map of the same formation.
fn kept_placement(
    view: &RankView,
    status: &RankStatus,
    placed: Vec<Vec<ExpertIndex>>,
) -> Vec<Vec<ExpertIndex>> {
    let same_map = (view.status.epoch, view.status.map) == (status.epoch, status.map);
    if placed.is_empty() && same_map { view.placed.clone() } else { placed }
}
