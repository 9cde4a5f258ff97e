//! Plans which ranks of a group hold which experts.
//!
//! All ranks run a pass together, and set by set the most loaded rank sets the
//! pace. A plan lowers the sum of these maxima with few copies: the next best
//! moves that are in force soon are worth more than the best map later.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::routing::EngineModel;
use crate::routing::ExpertLayout;

/// Number of an expert within its set.
pub type ExpertIndex = u16;
/// Number of a rank within its group.
pub type RankIndex = usize;
/// Version of a map; grows within a group.
pub type MapVersion = u64;
/// Experts by set and rank.
pub type ExpertMap = Vec<Vec<Vec<ExpertIndex>>>;

/// Demand for each expert of a set, in any unit.
pub type SetDemand = Vec<f64>;

/// Most moves in one plan for each set; bounds the time that a plan takes.
const MAX_MOVES_PER_SET: usize = 40;
/// Least loaded ranks to which a move may go; bounds the time that a plan takes.
const LIGHTEST_RANKS: usize = 16;
/// Pace below which a rank is not taken to be faster than a sound one.
const LEAST_PACE: f64 = 0.5;
/// Ranks from which a move may take load.
const BUSIEST_RANKS: usize = 2;
/// Ranks whose loads a move's gain is measured by; docs/ROUNDS.md has the trials.
const PEAK_RANKS: usize = 3;
/// Part of the longest accepted pause from which on a pass is slow. Slower passes let
/// streams pile up, which makes them slower yet, and a switch takes some passes.
const SLOW_PASS_SHARE: f64 = 0.45;
/// Power of the mean that stands for the highest load.
const PEAK_POWER: i32 = 12;

/// Experts that a rank holds in a set by a new map, where they change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapChange {
    /// The set.
    pub set: u16,
    /// The rank.
    pub rank: u16,
    /// All experts of the rank in the set.
    pub experts: Vec<ExpertIndex>,
}

/// Lists what differs between two maps of the same shape.
pub fn diff_maps(before: &ExpertMap, after: &ExpertMap) -> Vec<MapChange> {
    let mut changes = Vec::new();
    for (set, (old_set, new_set)) in before.iter().zip(after).enumerate() {
        for (rank, (old, new)) in old_set.iter().zip(new_set).enumerate() {
            if old != new {
                let experts = new.clone();
                changes.push(MapChange { set: set as u16, rank: rank as u16, experts });
            }
        }
    }
    changes
}

/// Makes a map from another and what differs; `None` if it does not fit.
pub fn apply_changes(before: &ExpertMap, changes: &[MapChange]) -> Option<ExpertMap> {
    let mut map = before.clone();
    for change in changes {
        let set = map.get_mut(usize::from(change.set))?;
        *set.get_mut(usize::from(change.rank))? = change.experts.clone();
    }
    Some(map)
}

/// Bounds on a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// Longest time for which the copies of one switch keep a rank's link busy.
    pub max_copy_time: Duration,
    /// Most copies to a rank in one set.
    pub max_copies_per_rank_and_set: usize,
    /// Part by which each move must lower the loads of the most loaded ranks.
    pub move_gain: f64,
    /// Part of the sum of highest loads by which a whole plan must lower it.
    pub plan_gain: f64,
}

impl Default for PlanSettings {
    /// Values in force; docs/ROUNDS.md tells what was tried beside them.
    fn default() -> PlanSettings {
        PlanSettings {
            max_copy_time: Duration::from_millis(50),
            max_copies_per_rank_and_set: 2,
            move_gain: 0.03,
            plan_gain: 0.15,
        }
    }
}

impl PlanSettings {
    /// Most copies to a rank in one switch, over all sets.
    pub fn max_copies_per_rank(&self, layout: ExpertLayout) -> usize {
        if layout.copy_time.is_zero() {
            return layout.sets * layout.max_new_experts;
        }
        let copies = self.max_copy_time.as_secs_f64() / layout.copy_time.as_secs_f64();
        (copies as usize).max(1)
    }
}

/// A map that is better than the one in force.
#[derive(Debug, Clone, PartialEq)]
pub struct MapPlan {
    /// Experts by set and rank.
    pub map: ExpertMap,
    /// Sum of the sets' highest loads over their means, before.
    pub skew_before: f64,
    /// The same with the new map.
    pub skew_after: f64,
    /// Experts to copy, over all ranks.
    pub copies: usize,
}

/// Whether a group's passes are slow enough for a new map to serve its callers: far
/// within the longest pause that they accept, a copy takes link and time for nothing.
/// Copies that take no time need no such reason. All ranks are taken to be sound.
pub fn is_switch_worthwhile(
    model: &EngineModel,
    running: u32,
    map: &ExpertMap,
    demand: &[SetDemand],
    target: Duration,
) -> bool {
    if model.experts.is_none_or(|layout| layout.copy_time.is_zero()) {
        return true;
    }
    let ranks = map.first().map_or(0, Vec::len).max(1);
    let per_rank = f64::from(running) / ranks as f64;
    let pass = model.pass_seconds(per_rank, map_skew(map, demand));
    pass >= target.as_secs_f64() * SLOW_PASS_SHARE
}

/// Returns the map that a group starts with: experts in turn.
pub fn initial_map(layout: ExpertLayout, ranks: usize) -> ExpertMap {
    let mut set = vec![Vec::new(); ranks];
    for expert in 0..layout.experts {
        set[expert % ranks].push(expert as ExpertIndex);
    }
    vec![set; layout.sets]
}

/// Returns the mean over the sets of the highest load over the mean load.
pub fn map_skew(map: &ExpertMap, demand: &[SetDemand]) -> f64 {
    let paces = vec![1.0; map.first().map_or(0, Vec::len)];
    let skews =
        map.iter().zip(demand).map(|(set, demand)| SetPlan::new(set, demand, &paces).skew());
    let sum: f64 = skews.sum();
    sum / map.len().max(1) as f64
}

/// Plans the next map; `None` when no plan gains enough. The pace of a rank is the
/// time that its work takes, relative to a sound one.
pub fn plan_map(
    current: &ExpertMap,
    demand: &[SetDemand],
    paces: &[f64],
    layout: ExpertLayout,
    settings: &PlanSettings,
) -> Option<MapPlan> {
    let ranks = current.first()?.len();
    let mut copies = vec![0; ranks];
    let mut plans: Vec<SetPlan> =
        current.iter().zip(demand).map(|(set, demand)| SetPlan::new(set, demand, paces)).collect();
    let before: f64 = plans.iter().map(SetPlan::skew).sum();
    let per_set = settings.max_copies_per_rank_and_set.min(layout.max_new_experts);
    let mut open: Vec<usize> = (0..plans.len()).collect();
    // The set with the highest skew moves first, so that the copies that a rank
    // may take go where they gain most.
    for _ in 0..MAX_MOVES_PER_SET * plans.len() {
        let Some(position) = worst_set(&plans, &open) else {
            break;
        };
        let set = open[position];
        let limits = MoveLimits {
            places: layout.slots_per_rank,
            per_set,
            per_rank: settings.max_copies_per_rank(layout),
            gain: settings.move_gain,
        };
        if !plans[set].improve(&limits, &mut copies) {
            open.remove(position);
        }
    }
    let after: f64 = plans.iter().map(SetPlan::skew).sum();
    if after > before * (1.0 - settings.plan_gain) {
        return None;
    }
    let sets = plans.len() as f64;
    Some(MapPlan {
        map: plans.into_iter().map(|plan| plan.held).collect(),
        skew_before: before / sets,
        skew_after: after / sets,
        copies: copies.iter().sum(),
    })
}

fn worst_set(plans: &[SetPlan], open: &[usize]) -> Option<usize> {
    (0..open.len())
        .max_by(|&left, &right| plans[open[left]].skew().total_cmp(&plans[open[right]].skew()))
}

struct MoveLimits {
    places: usize,
    per_set: usize,
    per_rank: usize,
    gain: f64,
}

/// A change of one set that is being weighed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Move {
    /// A further copy at `to`, in place of `dropped` where there is no free place.
    Copy { expert: ExpertIndex, to: RankIndex, dropped: Option<ExpertIndex> },
    /// `from` gives a copy up, others have one.
    Drop { expert: ExpertIndex, from: RankIndex },
    /// Two ranks exchange experts.
    Swap { expert: ExpertIndex, from: RankIndex, other: ExpertIndex, to: RankIndex },
}

/// Most ranks whose loads one move changes that are followed; an expert with more
/// holders puts little load on each.
const MAX_CHANGES: usize = 32;

/// Changes of the ranks' loads by a move that is being weighed.
struct LoadChanges<'a> {
    plan: &'a SetPlan<'a>,
    ranks: [(RankIndex, f64); MAX_CHANGES],
    count: usize,
}

impl LoadChanges<'_> {
    fn add(&mut self, rank: RankIndex, change: f64) {
        let change = change * self.plan.pace(rank);
        if let Some(known) = self.ranks[..self.count].iter_mut().find(|known| known.0 == rank) {
            known.1 += change;
        } else if self.count < MAX_CHANGES {
            self.ranks[self.count] = (rank, change);
            self.count += 1;
        }
    }

    fn power_sum(&self, before: f64) -> f64 {
        self.ranks[..self.count].iter().fold(before, |sum, &(rank, change)| {
            let load = self.plan.loads[rank];
            sum - self.plan.power(load) + self.plan.power((load + change).max(0.0))
        })
    }
}

/// One set while it is planned.
struct SetPlan<'a> {
    demand: &'a [f64],
    paces: &'a [f64],
    held: Vec<Vec<ExpertIndex>>,
    base: Vec<Vec<ExpertIndex>>,
    holders: Vec<Vec<RankIndex>>,
    loads: Vec<f64>,
    new: Vec<usize>,
    mean: f64,
}

impl<'a> SetPlan<'a> {
    fn new(set: &[Vec<ExpertIndex>], demand: &'a [f64], paces: &'a [f64]) -> SetPlan<'a> {
        let mut holders = vec![Vec::new(); demand.len()];
        for (rank, experts) in set.iter().enumerate() {
            for &expert in experts {
                holders[usize::from(expert)].push(rank);
            }
        }
        // Ranks that shared the demand by their speed would all take this long.
        let speed: f64 = paces.iter().map(|pace| 1.0 / pace.max(LEAST_PACE)).sum();
        let mut plan = SetPlan {
            demand,
            paces,
            held: set.to_vec(),
            base: set.to_vec(),
            loads: vec![0.0; set.len()],
            new: vec![0; set.len()],
            mean: demand.iter().sum::<f64>() / speed.max(f64::MIN_POSITIVE),
            holders,
        };
        for rank in 0..set.len() {
            plan.loads[rank] = plan.load(rank);
        }
        plan
    }

    /// Time that a rank takes for its part, in units of demand.
    fn load(&self, rank: RankIndex) -> f64 {
        let shares: f64 = self.held[rank].iter().map(|&expert| self.share(expert, 0)).sum();
        shares * self.pace(rank)
    }

    fn pace(&self, rank: RankIndex) -> f64 {
        self.paces.get(rank).copied().unwrap_or(1.0).max(LEAST_PACE)
    }

    /// Load that an expert puts on each holder when it has `more` further ones.
    fn share(&self, expert: ExpertIndex, more: isize) -> f64 {
        let holders = self.holders[usize::from(expert)].len() as isize + more;
        self.demand[usize::from(expert)] / holders.max(1) as f64
    }

    fn highest(&self) -> (RankIndex, f64) {
        let loads = self.loads.iter().copied().enumerate();
        loads.max_by(|left, right| left.1.total_cmp(&right.1)).unwrap_or((0, 0.0))
    }

    fn skew(&self) -> f64 {
        if self.mean <= 0.0 { 1.0 } else { self.highest().1 / self.mean }
    }

    /// Makes the move that lowers the peak of the loads best; false when none
    /// gains enough.
    fn improve(&mut self, limits: &MoveLimits, copies: &mut [usize]) -> bool {
        let before = self.power_sum();
        let lightest = self.lightest(limits, copies);
        let mut best: Option<(f64, Move)> = None;
        for rank in self.busiest() {
            for candidate in self.candidates(rank, &lightest, limits, copies) {
                let after = self.weigh(candidate, before);
                if best.as_ref().is_none_or(|(known, _)| after < *known) {
                    best = Some((after, candidate));
                }
            }
        }
        let Some((after, chosen)) = best else {
            return false;
        };
        // Measured by a few ranks: where many are nearly as loaded, relieving one of
        // them moves the whole sum by little.
        if before - after < self.peak_sum() * (1.0 - (1.0 - limits.gain).powi(PEAK_POWER)) {
            return false;
        }
        self.apply(chosen, copies);
        true
    }

    /// Returns the most loaded ranks, from which experts are moved.
    fn busiest(&self) -> Vec<RankIndex> {
        let mut ranks: Vec<RankIndex> = (0..self.loads.len()).collect();
        ranks.sort_by(|&left, &right| self.loads[right].total_cmp(&self.loads[left]));
        ranks.truncate(BUSIEST_RANKS);
        ranks
    }

    /// Returns the least loaded ranks that may still take a copy.
    fn lightest(&self, limits: &MoveLimits, copies: &[usize]) -> Vec<RankIndex> {
        let open =
            |&rank: &RankIndex| self.new[rank] < limits.per_set && copies[rank] < limits.per_rank;
        let mut ranks: Vec<RankIndex> = (0..self.loads.len()).filter(open).collect();
        ranks.sort_by(|&left, &right| self.loads[left].total_cmp(&self.loads[right]));
        ranks.truncate(LIGHTEST_RANKS);
        ranks
    }

    /// Sum of the loads' powers, relative to the mean load. Its root is a smooth
    /// form of the highest load: it also falls when one of several ranks with
    /// nearly the highest load is relieved.
    fn power_sum(&self) -> f64 {
        self.loads.iter().map(|load| self.power(*load)).sum()
    }

    /// The same over the most loaded ranks only.
    fn peak_sum(&self) -> f64 {
        let mut powers: Vec<f64> = self.loads.iter().map(|load| self.power(*load)).collect();
        powers.sort_by(|left, right| right.total_cmp(left));
        powers.iter().take(PEAK_RANKS).sum()
    }

    fn power(&self, load: f64) -> f64 {
        (load / self.mean.max(f64::MIN_POSITIVE)).powi(PEAK_POWER)
    }

    fn may_copy(
        &self,
        expert: ExpertIndex,
        to: RankIndex,
        limits: &MoveLimits,
        copies: &[usize],
    ) -> bool {
        self.base[to].contains(&expert)
            || (self.new[to] < limits.per_set && copies[to] < limits.per_rank)
    }

    fn candidates(
        &self,
        top: RankIndex,
        lightest: &[RankIndex],
        limits: &MoveLimits,
        copies: &[usize],
    ) -> Vec<Move> {
        let mut moves = Vec::new();
        for &expert in &self.held[top] {
            if self.holders[usize::from(expert)].len() > 1 {
                moves.push(Move::Drop { expert, from: top });
            }
            for to in lightest.iter().copied().filter(|&to| to != top) {
                if self.loads[to] >= self.loads[top] || self.held[to].contains(&expert) {
                    continue;
                }
                if !self.may_copy(expert, to, limits, copies) {
                    continue;
                }
                if self.held[to].len() < limits.places {
                    moves.push(Move::Copy { expert, to, dropped: None });
                }
                for &other in &self.held[to] {
                    if self.holders[usize::from(other)].len() > 1
                        && self.held[to].len() >= limits.places
                    {
                        moves.push(Move::Copy { expert, to, dropped: Some(other) });
                    }
                    let lighter = self.share(other, 0) < self.share(expert, 0);
                    if lighter
                        && !self.held[top].contains(&other)
                        && self.may_copy(other, top, limits, copies)
                    {
                        moves.push(Move::Swap { expert, from: top, other, to });
                    }
                }
            }
        }
        moves
    }

    /// Returns the sum of the loads' powers after a move; `sum` is the one before.
    fn weigh(&self, candidate: Move, sum: f64) -> f64 {
        let mut changes = LoadChanges { plan: self, ranks: [(0, 0.0); MAX_CHANGES], count: 0 };
        match candidate {
            Move::Copy { expert, to, dropped } => {
                let lower = self.share(expert, 1);
                for &holder in &self.holders[usize::from(expert)] {
                    changes.add(holder, lower - self.share(expert, 0));
                }
                changes.add(to, lower);
                if let Some(dropped) = dropped {
                    self.weigh_drop(&mut changes, dropped, to);
                }
            }
            Move::Drop { expert, from } => self.weigh_drop(&mut changes, expert, from),
            Move::Swap { expert, from, other, to } => {
                let difference = self.share(expert, 0) - self.share(other, 0);
                changes.add(from, -difference);
                changes.add(to, difference);
            }
        }
        changes.power_sum(sum)
    }

    fn weigh_drop(&self, changes: &mut LoadChanges<'_>, expert: ExpertIndex, from: RankIndex) {
        let higher = self.share(expert, -1);
        for &holder in &self.holders[usize::from(expert)] {
            if holder == from {
                changes.add(holder, -self.share(expert, 0));
            } else {
                changes.add(holder, higher - self.share(expert, 0));
            }
        }
    }

    fn apply(&mut self, chosen: Move, copies: &mut [usize]) {
        match chosen {
            Move::Copy { expert, to, dropped } => {
                if let Some(dropped) = dropped {
                    self.take_away(dropped, to, copies);
                }
                self.give(expert, to, copies);
            }
            Move::Drop { expert, from } => self.take_away(expert, from, copies),
            Move::Swap { expert, from, other, to } => {
                self.take_away(expert, from, copies);
                self.take_away(other, to, copies);
                self.give(expert, to, copies);
                self.give(other, from, copies);
            }
        }
        for rank in 0..self.held.len() {
            self.loads[rank] = self.load(rank);
        }
    }

    fn give(&mut self, expert: ExpertIndex, to: RankIndex, copies: &mut [usize]) {
        self.held[to].push(expert);
        self.holders[usize::from(expert)].push(to);
        if !self.base[to].contains(&expert) {
            self.new[to] += 1;
            copies[to] += 1;
        }
    }

    fn take_away(&mut self, expert: ExpertIndex, from: RankIndex, copies: &mut [usize]) {
        self.held[from].retain(|&held| held != expert);
        self.holders[usize::from(expert)].retain(|&holder| holder != from);
        if !self.base[from].contains(&expert) {
            self.new[from] -= 1;
            copies[from] -= 1;
        }
    }
}
