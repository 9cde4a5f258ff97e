//! Stand-in for a model group: ranks that make passes in lock-step.
//!
//! The ranks execute orders (prepare, arm, disarm, hold, release) as the platform's
//! engines do. The group counts the passes in which two ranks used different expert maps, by
//! version or content. Orders to prepare a map can be left unanswered and carried out late.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cuminpick::experts::ExpertIndex;
use cuminpick::experts::ExpertMap;
use cuminpick::experts::MapVersion;
use cuminpick::experts::initial_map;
use cuminpick::ids::ChoiceRng;
use cuminpick::orders::FenceNumber;
use cuminpick::orders::GroupEpoch;
use cuminpick::orders::OrderOutcome;
use cuminpick::orders::PassNumber;
use cuminpick::orders::RankOrder;
use cuminpick::orders::RankStatus;
use cuminpick::routing::ExpertLayout;
use tokio::sync::watch;

/// Duration of a pass.
const PASS_TIME: Duration = Duration::from_millis(25);
/// Passes that a rank takes to copy the experts of a new map.
const COPY_PASSES: u32 = 2;
/// Passes after which the demand shifts to other experts.
const DEMAND_SHIFT_PASSES: PassNumber = 60;

#[derive(Debug, Clone, Default)]
struct RankState {
    map: MapVersion,
    /// Map in use; `None` for the first one.
    content: Option<ExpertMap>,
    prepared: Option<(MapVersion, ExpertMap)>,
    copying: Option<(MapVersion, ExpertMap, u32)>,
    highest_version: MapVersion,
    armed: Option<(MapVersion, PassNumber)>,
    held_pass: Option<PassNumber>,
    fence: FenceNumber,
    executed_orders: u64,
    running_requests: u32,
    expert_counts: Vec<u64>,
}

struct GroupState {
    epoch: GroupEpoch,
    pass: PassNumber,
    first_map: ExpertMap,
    ranks: Vec<RankState>,
    mixed_passes: u64,
    switches: u64,
    held_passes: u64,
    /// Number of times that the demand was shifted in addition to its regular shifts.
    extra_shifts: u64,
    /// Delay after which orders to prepare a map are carried out, without an answer.
    prepare_delay: Option<Duration>,
    late_orders: u64,
    rng: ChoiceRng,
}

/// Handle of a group of ranks; clones share the group.
#[derive(Clone)]
pub struct RankGroup {
    name: String,
    layout: ExpertLayout,
    state: Arc<Mutex<GroupState>>,
    latest_pass: watch::Sender<PassNumber>,
}

impl RankGroup {
    /// Starts a group of `ranks` ranks; `seed` determines the expert counts.
    pub fn start(layout: ExpertLayout, ranks: usize, seed: u64) -> RankGroup {
        RankGroup::start_named("group", layout, ranks, seed)
    }

    /// Starts a group like [`RankGroup::start`], with a name of its own.
    pub fn start_named(name: &str, layout: ExpertLayout, ranks: usize, seed: u64) -> RankGroup {
        let expert_counts = vec![0; layout.sets * layout.experts];
        let state = GroupState {
            epoch: 1,
            pass: 0,
            first_map: initial_map(layout, ranks),
            ranks: vec![RankState { expert_counts, ..RankState::default() }; ranks],
            mixed_passes: 0,
            switches: 0,
            held_passes: 0,
            extra_shifts: 0,
            prepare_delay: None,
            late_orders: 0,
            rng: ChoiceRng::new(seed),
        };
        let (latest_pass, _) = watch::channel(0);
        let name = name.to_string();
        let group = RankGroup { name, layout, state: Arc::new(Mutex::new(state)), latest_pass };
        tokio::spawn(group.clone().run());
        group
    }

    /// Returns the name of the group.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns a receiver of the number of the latest pass.
    pub fn passes(&self) -> watch::Receiver<PassNumber> {
        self.latest_pass.subscribe()
    }

    /// Returns the number of passes that began while two ranks used different maps; must
    /// stay 0.
    pub fn mixed_passes(&self) -> u64 {
        self.lock().mixed_passes
    }

    /// Returns the number of completed map switches.
    pub fn switches(&self) -> u64 {
        self.lock().switches
    }

    /// Returns how many times a pass was due but held.
    pub fn held_passes(&self) -> u64 {
        self.lock().held_passes
    }

    /// Shifts the demand to other experts now.
    pub fn shift_demand(&self) {
        self.lock().extra_shifts += 1;
    }

    /// Leaves orders to prepare a map unanswered from now on, and carries them out after `delay`;
    /// `None` answers them again.
    pub fn delay_prepares(&self, delay: Option<Duration>) {
        self.lock().prepare_delay = delay;
    }

    /// Returns the number of orders that were left unanswered.
    pub fn late_orders(&self) -> u64 {
        self.lock().late_orders
    }

    /// Returns the delay of an order that arrives now; `None` if it is carried out at once.
    pub fn take_order_delay(&self, order: &RankOrder) -> Option<Duration> {
        let mut state = self.lock();
        let is_prepare = matches!(order, RankOrder::Prepare { .. });
        let delay = state.prepare_delay.filter(|_| is_prepare);
        state.late_orders += u64::from(delay.is_some());
        delay
    }

    /// Records that a rank runs one request more, or one less.
    pub fn count_running(&self, rank: usize, more: bool) {
        let mut state = self.lock();
        let running = &mut state.ranks[rank].running_requests;
        *running = if more { *running + 1 } else { running.saturating_sub(1) };
    }

    /// Returns the status of a rank, as its engine reports it.
    pub fn status(&self, rank: usize) -> RankStatus {
        let state = self.lock();
        let rank_state = &state.ranks[rank];
        RankStatus {
            rank,
            epoch: state.epoch,
            open: true,
            pass: state.pass,
            map: rank_state.map,
            prepared: rank_state.prepared.as_ref().map(|(version, _)| *version),
            armed: rank_state.armed.map(|(version, _)| version),
            held: rank_state.held_pass,
            orders: rank_state.executed_orders,
            running: rank_state.running_requests,
            waiting: 0,
            slowdown: 1.0,
        }
    }

    /// Returns the number of ranks.
    pub fn rank_count(&self) -> usize {
        self.lock().ranks.len()
    }

    /// Returns how often a rank's requests chose each expert, set after set, with the epoch.
    pub fn expert_counts(&self, rank: usize) -> (GroupEpoch, Vec<u64>) {
        let state = self.lock();
        (state.epoch, state.ranks[rank].expert_counts.clone())
    }

    /// Returns the experts placed on a rank by set, with the version of its map.
    pub fn placed_experts(&self, rank: usize) -> (MapVersion, Vec<Vec<ExpertIndex>>) {
        let state = self.lock();
        let map = state.ranks[rank].content.as_ref().unwrap_or(&state.first_map);
        let placed = map.iter().map(|set| set[rank].clone()).collect();
        (state.ranks[rank].map, placed)
    }

    /// Executes an order if its epoch, its fence number and the rank's state allow it.
    pub fn execute_order(&self, rank: usize, order: &RankOrder) -> OrderOutcome {
        let mut state = self.lock();
        let next_pass = state.pass + 1;
        let epoch = state.epoch;
        let rank_state = &mut state.ranks[rank];
        let mark = order.mark();
        if mark.epoch != epoch {
            return OrderOutcome::Refused;
        }
        if mark.fence < rank_state.fence {
            return OrderOutcome::Fenced;
        }
        rank_state.fence = mark.fence;
        if !apply_order(rank_state, order, next_pass) {
            return OrderOutcome::Refused;
        }
        rank_state.executed_orders += 1;
        OrderOutcome::Done
    }

    fn lock(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self) {
        loop {
            tokio::time::sleep(PASS_TIME).await;
            let pass = self.make_pass();
            self.latest_pass.send_replace(pass);
        }
    }

    /// Makes a pass unless a rank holds it or no rank has requests; returns the number of
    /// the latest pass.
    fn make_pass(&self) -> PassNumber {
        let mut state = self.lock();
        let next_pass = state.pass + 1;
        for rank in &mut state.ranks {
            match rank.copying.take() {
                Some((version, map, 0)) => rank.prepared = Some((version, map)),
                Some((version, map, left)) => rank.copying = Some((version, map, left - 1)),
                None => {}
            }
        }
        if state.ranks.iter().any(|rank| rank.held_pass == Some(next_pass)) {
            state.held_passes += 1;
            return state.pass;
        }
        if state.ranks.iter().all(|rank| rank.running_requests == 0) {
            return state.pass;
        }
        state.pass = next_pass;
        let mut has_switched = false;
        for rank in &mut state.ranks {
            if rank.armed.is_some_and(|(_, pass)| pass <= next_pass) {
                rank.armed = None;
                if let Some((version, map)) = rank.prepared.take() {
                    rank.map = version;
                    rank.content = Some(map);
                    has_switched = true;
                }
            }
        }
        state.switches += u64::from(has_switched);
        let first = &state.ranks[0];
        let is_mixed =
            state.ranks.iter().any(|rank| rank.map != first.map || rank.content != first.content);
        state.mixed_passes += u64::from(is_mixed);
        self.count_choices(&mut state);
        next_pass
    }

    /// Adds the expert choices of one pass. A few experts of each set get most of them, and
    /// which ones changes every `DEMAND_SHIFT_PASSES`.
    fn count_choices(&self, state: &mut GroupState) {
        let shifts = state.pass / DEMAND_SHIFT_PASSES + state.extra_shifts;
        let shift = shifts as usize * 7;
        let expert_count = self.layout.experts;
        let GroupState { ranks, rng, .. } = state;
        for rank in ranks {
            for set in 0..self.layout.sets {
                for popularity_rank in 0..expert_count {
                    let weight = 400 / (popularity_rank + 1) as u64;
                    let expert = (popularity_rank * 5 + shift + set) % expert_count;
                    rank.expert_counts[set * expert_count + expert] +=
                        u64::from(rank.running_requests) * weight + rng.below(4) as u64;
                }
            }
        }
    }
}

/// Applies an order to a rank; returns whether the rank's state allowed it. A repeated arm
/// or hold order is accepted.
fn apply_order(rank_state: &mut RankState, order: &RankOrder, next_pass: PassNumber) -> bool {
    match order {
        RankOrder::Prepare { version, map, .. } => {
            let accepted = *version > rank_state.highest_version && rank_state.armed.is_none();
            if accepted {
                rank_state.highest_version = *version;
                rank_state.prepared = None;
                rank_state.copying = Some((*version, map.as_ref().clone(), COPY_PASSES));
            }
            accepted
        }
        RankOrder::Arm { version, pass, .. } => {
            let repeated = rank_state.armed == Some((*version, *pass));
            let ready =
                rank_state.prepared.as_ref().is_some_and(|(prepared, _)| prepared == version);
            let accepted = ready && *pass >= next_pass;
            if accepted {
                rank_state.armed = Some((*version, *pass));
            }
            repeated || accepted
        }
        RankOrder::Disarm { version, .. } => {
            if rank_state.armed.is_some_and(|(armed, _)| armed == *version) {
                rank_state.armed = None;
            }
            rank_state.map != *version
        }
        RankOrder::Hold { pass, .. } => {
            let repeated = rank_state.held_pass == Some(*pass);
            let accepted = rank_state.held_pass.is_none() && *pass >= next_pass;
            if accepted {
                rank_state.held_pass = Some(*pass);
            }
            repeated || accepted
        }
        RankOrder::Release { pass, .. } => {
            if rank_state.held_pass == Some(*pass) {
                rank_state.held_pass = None;
            }
            true
        }
    }
}
