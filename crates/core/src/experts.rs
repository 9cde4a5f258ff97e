//! Plans which ranks of a group hold which experts.
//!
//! Input: the current expert map, the demand for each expert and how much slower than
//! normal each rank works. Output: a map with a lower load on the most loaded ranks.
//!
//! All ranks run a pass in lock-step, so in each set the most loaded rank determines
//! how long the pass takes. The planner greedily lowers the sum of these maxima with a
//! bounded number of expert copies: a small improvement that takes effect soon is worth
//! more than the optimal map later.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::routing::EngineModel;
use crate::routing::ExpertLayout;

/// Index of an expert within its set.
pub type ExpertIndex = u16;
/// Index of a rank within its group.
pub type RankIndex = usize;
/// Version of an expert map; increases within a group, and names one map only.
pub type MapVersion = u64;
/// Experts that each rank holds, indexed by set and then by rank. An expert may be held
/// by several ranks, which then share its load evenly.
pub type ExpertMap = Vec<Vec<Vec<ExpertIndex>>>;

/// Demand for each expert of a set, indexed by expert. Only ratios matter, not the unit.
pub type SetDemand = Vec<f64>;

/// Maximum moves per set in one plan; bounds the planning time.
const MAX_MOVES_PER_SET: usize = 40;
/// Number of least loaded ranks considered as the target of a move; bounds the planning
/// time.
const MAX_TARGET_RANKS: usize = 16;
/// Lower bound for a rank's slowdown: no rank counts as more than twice as fast as a
/// healthy one.
const MIN_SLOWDOWN: f64 = 0.5;
/// Number of most loaded ranks considered as the source of a move.
const MAX_SOURCE_RANKS: usize = 2;
/// Number of most loaded ranks that a move's gain is compared with; in a large group many
/// ranks are nearly the most loaded, and a single move barely lowers a mean over all of them.
const PEAK_RANKS: usize = 3;
/// Fraction of the longest accepted event gap at which a pass counts as slow. It is well
/// below 1 because slow passes let streams accumulate, which slows passes further, and
/// a switch takes several passes to complete.
const SLOW_PASS_FRACTION: f64 = 0.45;
/// Exponent of the power sum that approximates the highest load.
const PEAK_EXPONENT: i32 = 12;

/// New experts of one rank in one set, where they differ from the previous map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapChange {
    /// Index of the set.
    pub set: u16,
    /// Index of the rank.
    pub rank: u16,
    /// All experts that the rank holds in the set under the new map.
    pub experts: Vec<ExpertIndex>,
}

/// Returns the differences between two maps of the same shape.
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

/// Applies changes to a map; returns `None` if a change names a set or rank that the map
/// does not have.
pub fn apply_changes(before: &ExpertMap, changes: &[MapChange]) -> Option<ExpertMap> {
    let mut map = before.clone();
    for change in changes {
        let set = map.get_mut(usize::from(change.set))?;
        *set.get_mut(usize::from(change.rank))? = change.experts.clone();
    }
    Some(map)
}

/// Limits on the size of a plan, and the gains that it must reach.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// Longest time that the copies of one switch may take on a rank's link.
    pub max_copy_time: Duration,
    /// Maximum experts copied to a rank in one set.
    pub max_copies_per_rank_and_set: usize,
    /// Fraction by which each move must lower the loads of the most loaded ranks.
    pub move_gain: f64,
    /// Fraction by which a plan must lower the sum of the sets' highest loads.
    pub plan_gain: f64,
}

impl Default for PlanSettings {
    /// Returns the values in use; docs/ROUNDS.md lists the alternatives tried.
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
    /// Returns the maximum experts copied to a rank in one switch, over all sets; at least
    /// one even where a single copy takes longer than `max_copy_time`.
    pub fn max_copies_per_rank(&self, layout: ExpertLayout) -> usize {
        if layout.copy_time.is_zero() {
            return layout.sets * layout.max_new_experts;
        }
        let copies = self.max_copy_time.as_secs_f64() / layout.copy_time.as_secs_f64();
        (copies as usize).max(1)
    }
}

/// A map that balances load better than the one in force.
#[derive(Debug, Clone, PartialEq)]
pub struct MapPlan {
    /// The new map.
    pub map: ExpertMap,
    /// Highest load over the evenly balanced load with the current map, as a mean over the
    /// sets; 1 is perfect balance.
    pub skew_before: f64,
    /// The same ratio with the new map.
    pub skew_after: f64,
    /// Number of experts to copy, over all ranks and sets.
    pub copies: usize,
}

/// Returns whether a better map would benefit callers enough to pay for its copies.
///
/// Far below `target`, the longest event gap that callers accept, copies would only consume
/// link capacity and time. Copies that take no time are always worthwhile. `running` is
/// the number of requests in the group. Assumes that all ranks work at normal speed.
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
    pass >= target.as_secs_f64() * SLOW_PASS_FRACTION
}

/// Returns the map that a group starts with: experts assigned round-robin, one rank each.
pub fn initial_map(layout: ExpertLayout, ranks: usize) -> ExpertMap {
    let mut set = vec![Vec::new(); ranks];
    for expert in 0..layout.experts {
        set[expert % ranks].push(expert as ExpertIndex);
    }
    vec![set; layout.sets]
}

/// Returns the highest load over the mean load, as a mean over the sets; 1 is perfect
/// balance.
pub fn map_skew(map: &ExpertMap, demand: &[SetDemand]) -> f64 {
    let slowdowns = vec![1.0; map.first().map_or(0, Vec::len)];
    let skews =
        map.iter().zip(demand).map(|(set, demand)| SetPlan::new(set, demand, &slowdowns).skew());
    let sum: f64 = skews.sum();
    sum / map.len().max(1) as f64
}

/// Plans the next map; returns `None` when no plan gains enough. `slowdowns` holds the
/// time that each rank's work takes relative to a healthy rank, 1 for a healthy one.
pub fn plan_map(
    current: &ExpertMap,
    demand: &[SetDemand],
    slowdowns: &[f64],
    layout: ExpertLayout,
    settings: &PlanSettings,
) -> Option<MapPlan> {
    let ranks = current.first()?.len();
    let mut copies = vec![0; ranks];
    let mut plans: Vec<SetPlan> = current
        .iter()
        .zip(demand)
        .map(|(set, demand)| SetPlan::new(set, demand, slowdowns))
        .collect();
    let before: f64 = plans.iter().map(SetPlan::skew).sum();
    let max_new = settings.max_copies_per_rank_and_set.min(layout.max_new_experts);
    let mut improvable: Vec<usize> = (0..plans.len()).collect();
    // The set with the highest skew is improved first, so that the limited copies to each
    // rank go where they gain most.
    for _ in 0..MAX_MOVES_PER_SET * plans.len() {
        let Some(position) = most_skewed_set(&plans, &improvable) else {
            break;
        };
        let set = improvable[position];
        let limits = MoveLimits {
            slots_per_rank: layout.slots_per_rank,
            max_new,
            max_copies: settings.max_copies_per_rank(layout),
            min_gain: settings.move_gain,
        };
        if !plans[set].apply_best_move(&limits, &mut copies) {
            improvable.remove(position);
        }
    }
    let after: f64 = plans.iter().map(SetPlan::skew).sum();
    if after > before * (1.0 - settings.plan_gain) {
        return None;
    }
    let sets = plans.len() as f64;
    Some(MapPlan {
        map: plans.into_iter().map(|plan| plan.assigned).collect(),
        skew_before: before / sets,
        skew_after: after / sets,
        copies: copies.iter().sum(),
    })
}

fn most_skewed_set(plans: &[SetPlan], sets: &[usize]) -> Option<usize> {
    (0..sets.len())
        .max_by(|&left, &right| plans[sets[left]].skew().total_cmp(&plans[sets[right]].skew()))
}

/// Limits that every move must observe.
struct MoveLimits {
    /// Experts that a rank can hold in a set.
    slots_per_rank: usize,
    /// New experts that a rank can get in a set.
    max_new: usize,
    /// New experts that a rank can get over all sets.
    max_copies: usize,
    /// Fraction by which a move must lower the loads of the most loaded ranks.
    min_gain: f64,
}

/// A candidate change of one set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Move {
    /// Adds a copy at `to`, replacing `dropped` if the rank has no free slot.
    Copy { expert: ExpertIndex, to: RankIndex, dropped: Option<ExpertIndex> },
    /// Removes the copy at `from`; other ranks still hold the expert.
    Drop { expert: ExpertIndex, from: RankIndex },
    /// Exchanges two experts between `from` and `to`.
    Swap { expert: ExpertIndex, from: RankIndex, other: ExpertIndex, to: RankIndex },
}

/// Maximum load changes tracked per move; an expert with more holders puts little load
/// on each of them.
const MAX_CHANGED_RANKS: usize = 32;

/// Changes of the ranks' loads that a candidate move would cause.
struct LoadChanges<'a> {
    plan: &'a SetPlan<'a>,
    ranks: [(RankIndex, f64); MAX_CHANGED_RANKS],
    count: usize,
}

impl LoadChanges<'_> {
    fn add(&mut self, rank: RankIndex, change: f64) {
        let change = change * self.plan.slowdown(rank);
        if let Some(known) = self.ranks[..self.count].iter_mut().find(|known| known.0 == rank) {
            known.1 += change;
        } else if self.count < MAX_CHANGED_RANKS {
            self.ranks[self.count] = (rank, change);
            self.count += 1;
        }
    }

    fn power_sum(&self, before: f64) -> f64 {
        self.ranks[..self.count].iter().fold(before, |sum, &(rank, change)| {
            let load = self.plan.loads[rank];
            sum - self.plan.load_power(load) + self.plan.load_power((load + change).max(0.0))
        })
    }
}

/// State of one set during planning.
struct SetPlan<'a> {
    demand: &'a [f64],
    slowdowns: &'a [f64],
    /// Experts by rank, with the moves made so far.
    assigned: Vec<Vec<ExpertIndex>>,
    /// Experts by rank in the current map.
    original: Vec<Vec<ExpertIndex>>,
    /// Ranks by expert.
    holders: Vec<Vec<RankIndex>>,
    loads: Vec<f64>,
    /// Number of experts by rank that have to be copied.
    new: Vec<usize>,
    /// Load of each rank if demand were spread in proportion to speed.
    even_load: f64,
}

impl<'a> SetPlan<'a> {
    fn new(set: &[Vec<ExpertIndex>], demand: &'a [f64], slowdowns: &'a [f64]) -> SetPlan<'a> {
        let mut holders = vec![Vec::new(); demand.len()];
        for (rank, experts) in set.iter().enumerate() {
            for &expert in experts {
                holders[usize::from(expert)].push(rank);
            }
        }
        // With demand spread in proportion to speed, all ranks would take equally long.
        let speed: f64 = slowdowns.iter().map(|slowdown| 1.0 / slowdown.max(MIN_SLOWDOWN)).sum();
        let mut plan = SetPlan {
            demand,
            slowdowns,
            assigned: set.to_vec(),
            original: set.to_vec(),
            loads: vec![0.0; set.len()],
            new: vec![0; set.len()],
            even_load: demand.iter().sum::<f64>() / speed.max(f64::MIN_POSITIVE),
            holders,
        };
        for rank in 0..set.len() {
            plan.loads[rank] = plan.load(rank);
        }
        plan
    }

    /// Returns the time that a rank takes for its experts, in units of demand.
    fn load(&self, rank: RankIndex) -> f64 {
        let shares: f64 =
            self.assigned[rank].iter().map(|&expert| self.load_share(expert, 0)).sum();
        shares * self.slowdown(rank)
    }

    fn slowdown(&self, rank: RankIndex) -> f64 {
        self.slowdowns.get(rank).copied().unwrap_or(1.0).max(MIN_SLOWDOWN)
    }

    /// Returns the load that an expert puts on each holder if it had `extra_holders` more
    /// (or fewer, if negative).
    fn load_share(&self, expert: ExpertIndex, extra_holders: isize) -> f64 {
        let holders = self.holders[usize::from(expert)].len() as isize + extra_holders;
        self.demand[usize::from(expert)] / holders.max(1) as f64
    }

    fn max_load(&self) -> (RankIndex, f64) {
        let loads = self.loads.iter().copied().enumerate();
        loads.max_by(|left, right| left.1.total_cmp(&right.1)).unwrap_or((0, 0.0))
    }

    fn skew(&self) -> f64 {
        if self.even_load <= 0.0 { 1.0 } else { self.max_load().1 / self.even_load }
    }

    /// Applies the move that lowers the peak load most; returns false when none gains
    /// enough.
    fn apply_best_move(&mut self, limits: &MoveLimits, copies: &mut [usize]) -> bool {
        let before = self.power_sum();
        let targets = self.target_ranks(limits, copies);
        let mut best: Option<(f64, Move)> = None;
        for rank in self.source_ranks() {
            for candidate in self.candidate_moves(rank, &targets, limits, copies) {
                let after = self.power_sum_after(candidate, before);
                if best.as_ref().is_none_or(|(known, _)| after < *known) {
                    best = Some((after, candidate));
                }
            }
        }
        let Some((after, chosen)) = best else {
            return false;
        };
        // Compared with the peak ranks only: where many ranks are nearly as loaded,
        // relieving one of them changes the whole sum by little.
        if before - after < self.peak_sum() * (1.0 - (1.0 - limits.min_gain).powi(PEAK_EXPONENT)) {
            return false;
        }
        self.apply(chosen, copies);
        true
    }

    /// Returns the most loaded ranks, from which experts are moved.
    fn source_ranks(&self) -> Vec<RankIndex> {
        let mut ranks: Vec<RankIndex> = (0..self.loads.len()).collect();
        ranks.sort_by(|&left, &right| self.loads[right].total_cmp(&self.loads[left]));
        ranks.truncate(MAX_SOURCE_RANKS);
        ranks
    }

    /// Returns the least loaded ranks that may still receive a copy.
    fn target_ranks(&self, limits: &MoveLimits, copies: &[usize]) -> Vec<RankIndex> {
        let is_open =
            |&rank: &RankIndex| self.new[rank] < limits.max_new && copies[rank] < limits.max_copies;
        let mut ranks: Vec<RankIndex> = (0..self.loads.len()).filter(is_open).collect();
        ranks.sort_by(|&left, &right| self.loads[left].total_cmp(&self.loads[right]));
        ranks.truncate(MAX_TARGET_RANKS);
        ranks
    }

    /// Returns the sum of the loads' powers, relative to the even load. Its root is a
    /// smooth approximation of the highest load: unlike the maximum it also falls when
    /// one of several ranks with nearly the highest load is relieved.
    fn power_sum(&self) -> f64 {
        self.loads.iter().map(|load| self.load_power(*load)).sum()
    }

    /// Returns the same sum over the most loaded ranks only.
    fn peak_sum(&self) -> f64 {
        let mut powers: Vec<f64> = self.loads.iter().map(|load| self.load_power(*load)).collect();
        powers.sort_by(|left, right| right.total_cmp(left));
        powers.iter().take(PEAK_RANKS).sum()
    }

    fn load_power(&self, load: f64) -> f64 {
        (load / self.even_load.max(f64::MIN_POSITIVE)).powi(PEAK_EXPONENT)
    }

    /// Returns whether a rank may receive an expert within the copy limits; one that it
    /// holds in the current map needs no copy.
    fn can_add(
        &self,
        expert: ExpertIndex,
        to: RankIndex,
        limits: &MoveLimits,
        copies: &[usize],
    ) -> bool {
        self.original[to].contains(&expert)
            || (self.new[to] < limits.max_new && copies[to] < limits.max_copies)
    }

    /// Returns the moves that take load from `source`.
    fn candidate_moves(
        &self,
        source: RankIndex,
        targets: &[RankIndex],
        limits: &MoveLimits,
        copies: &[usize],
    ) -> Vec<Move> {
        let mut moves = Vec::new();
        for &expert in &self.assigned[source] {
            if self.holders[usize::from(expert)].len() > 1 {
                moves.push(Move::Drop { expert, from: source });
            }
            for to in targets.iter().copied().filter(|&to| to != source) {
                if self.loads[to] >= self.loads[source] || self.assigned[to].contains(&expert) {
                    continue;
                }
                if !self.can_add(expert, to, limits, copies) {
                    continue;
                }
                if self.assigned[to].len() < limits.slots_per_rank {
                    moves.push(Move::Copy { expert, to, dropped: None });
                }
                for &other in &self.assigned[to] {
                    if self.holders[usize::from(other)].len() > 1
                        && self.assigned[to].len() >= limits.slots_per_rank
                    {
                        moves.push(Move::Copy { expert, to, dropped: Some(other) });
                    }
                    let lighter = self.load_share(other, 0) < self.load_share(expert, 0);
                    if lighter
                        && !self.assigned[source].contains(&other)
                        && self.can_add(other, source, limits, copies)
                    {
                        moves.push(Move::Swap { expert, from: source, other, to });
                    }
                }
            }
        }
        moves
    }

    /// Returns the sum of the loads' powers after a move, given the sum before it.
    fn power_sum_after(&self, candidate: Move, sum: f64) -> f64 {
        let mut changes =
            LoadChanges { plan: self, ranks: [(0, 0.0); MAX_CHANGED_RANKS], count: 0 };
        match candidate {
            Move::Copy { expert, to, dropped } => {
                let lower = self.load_share(expert, 1);
                for &holder in &self.holders[usize::from(expert)] {
                    changes.add(holder, lower - self.load_share(expert, 0));
                }
                changes.add(to, lower);
                if let Some(dropped) = dropped {
                    self.add_drop_changes(&mut changes, dropped, to);
                }
            }
            Move::Drop { expert, from } => self.add_drop_changes(&mut changes, expert, from),
            Move::Swap { expert, from, other, to } => {
                let difference = self.load_share(expert, 0) - self.load_share(other, 0);
                changes.add(from, -difference);
                changes.add(to, difference);
            }
        }
        changes.power_sum(sum)
    }

    fn add_drop_changes(
        &self,
        changes: &mut LoadChanges<'_>,
        expert: ExpertIndex,
        from: RankIndex,
    ) {
        let higher = self.load_share(expert, -1);
        for &holder in &self.holders[usize::from(expert)] {
            if holder == from {
                changes.add(holder, -self.load_share(expert, 0));
            } else {
                changes.add(holder, higher - self.load_share(expert, 0));
            }
        }
    }

    fn apply(&mut self, chosen: Move, copies: &mut [usize]) {
        match chosen {
            Move::Copy { expert, to, dropped } => {
                if let Some(dropped) = dropped {
                    self.remove_expert(dropped, to, copies);
                }
                self.add_expert(expert, to, copies);
            }
            Move::Drop { expert, from } => self.remove_expert(expert, from, copies),
            Move::Swap { expert, from, other, to } => {
                self.remove_expert(expert, from, copies);
                self.remove_expert(other, to, copies);
                self.add_expert(expert, to, copies);
                self.add_expert(other, from, copies);
            }
        }
        for rank in 0..self.assigned.len() {
            self.loads[rank] = self.load(rank);
        }
    }

    fn add_expert(&mut self, expert: ExpertIndex, to: RankIndex, copies: &mut [usize]) {
        self.assigned[to].push(expert);
        self.holders[usize::from(expert)].push(to);
        if !self.original[to].contains(&expert) {
            self.new[to] += 1;
            copies[to] += 1;
        }
    }

    fn remove_expert(&mut self, expert: ExpertIndex, from: RankIndex, copies: &mut [usize]) {
        self.assigned[from].retain(|&held| held != expert);
        self.holders[usize::from(expert)].retain(|&holder| holder != from);
        if !self.original[from].contains(&expert) {
            self.new[from] -= 1;
            copies[from] -= 1;
        }
    }
}
