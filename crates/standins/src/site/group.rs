//! Stand-in of a group of ranks that makes passes in lock-step.

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

/// Time of a pass.
const PASS_TIME: Duration = Duration::from_millis(25);
/// Passes that a rank needs to copy its experts.
const COPY_PASSES: u32 = 2;
/// Passes after which other experts are in demand.
const SHIFT_PASSES: PassNumber = 60;

#[derive(Debug, Clone, Default)]
struct RankState {
    map: MapVersion,
    prepared: Option<(MapVersion, ExpertMap)>,
    copying: Option<(MapVersion, ExpertMap, u32)>,
    highest: MapVersion,
    armed: Option<(MapVersion, PassNumber)>,
    held: Option<PassNumber>,
    fence: FenceNumber,
    orders: u64,
    running: u32,
    counts: Vec<u64>,
}

struct GroupState {
    epoch: GroupEpoch,
    pass: PassNumber,
    map: ExpertMap,
    ranks: Vec<RankState>,
    mixed: u64,
    switches: u64,
    held_passes: u64,
    rng: ChoiceRng,
}

/// A group of ranks; cheap to clone.
#[derive(Clone)]
pub struct RankGroup {
    layout: ExpertLayout,
    state: Arc<Mutex<GroupState>>,
    passes: watch::Sender<PassNumber>,
}

impl RankGroup {
    /// Starts a group of `ranks`.
    pub fn start(layout: ExpertLayout, ranks: usize, seed: u64) -> RankGroup {
        let counts = vec![0; layout.sets * layout.experts];
        let state = GroupState {
            epoch: 1,
            pass: 0,
            map: initial_map(layout, ranks),
            ranks: vec![RankState { counts, ..RankState::default() }; ranks],
            mixed: 0,
            switches: 0,
            held_passes: 0,
            rng: ChoiceRng::new(seed),
        };
        let (passes, _) = watch::channel(0);
        let group = RankGroup { layout, state: Arc::new(Mutex::new(state)), passes };
        tokio::spawn(group.clone().run());
        group
    }

    /// Tells each pass that was made.
    pub fn passes(&self) -> watch::Receiver<PassNumber> {
        self.passes.subscribe()
    }

    /// Passes that began while two ranks had different maps; must stay 0.
    pub fn mixed_passes(&self) -> u64 {
        self.lock().mixed
    }

    /// Switches that were made.
    pub fn switches(&self) -> u64 {
        self.lock().switches
    }

    /// Passes that did not begin since they were held.
    pub fn held_passes(&self) -> u64 {
        self.lock().held_passes
    }

    /// Notes that a rank runs one request more or less.
    pub fn count_running(&self, rank: usize, more: bool) {
        let mut state = self.lock();
        let running = &mut state.ranks[rank].running;
        *running = if more { *running + 1 } else { running.saturating_sub(1) };
    }

    /// Status of a rank.
    pub fn status(&self, rank: usize) -> RankStatus {
        let state = self.lock();
        let known = &state.ranks[rank];
        RankStatus {
            rank,
            epoch: state.epoch,
            open: true,
            pass: state.pass,
            map: known.map,
            prepared: known.prepared.as_ref().map(|(version, _)| *version),
            armed: known.armed.map(|(version, _)| version),
            held: known.held,
            orders: known.orders,
            running: known.running,
            waiting: 0,
            slowdown: 1.0,
        }
    }

    /// Number of ranks.
    pub fn size(&self) -> usize {
        self.lock().ranks.len()
    }

    /// Counts of a rank, set after set.
    pub fn counts(&self, rank: usize) -> (GroupEpoch, Vec<u64>) {
        let state = self.lock();
        (state.epoch, state.ranks[rank].counts.clone())
    }

    /// Experts of a rank by set, with the version of its map.
    pub fn placed(&self, rank: usize) -> (MapVersion, Vec<Vec<ExpertIndex>>) {
        let state = self.lock();
        let placed = state.map.iter().map(|set| set[rank].clone()).collect();
        (state.ranks[rank].map, placed)
    }

    /// Carries an order out.
    pub fn take_order(&self, rank: usize, order: &RankOrder) -> OrderOutcome {
        let mut state = self.lock();
        let next = state.pass + 1;
        let epoch = state.epoch;
        let known = &mut state.ranks[rank];
        let mark = order.mark();
        if mark.epoch != epoch {
            return OrderOutcome::Refused;
        }
        if mark.fence < known.fence {
            return OrderOutcome::Fenced;
        }
        known.fence = mark.fence;
        if !take(known, order, next) {
            return OrderOutcome::Refused;
        }
        known.orders += 1;
        OrderOutcome::Done
    }

    fn lock(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self) {
        loop {
            tokio::time::sleep(PASS_TIME).await;
            let pass = self.make_pass();
            self.passes.send_replace(pass);
        }
    }

    /// Makes a pass unless one of the ranks holds it.
    fn make_pass(&self) -> PassNumber {
        let mut state = self.lock();
        let next = state.pass + 1;
        for rank in &mut state.ranks {
            match rank.copying.take() {
                Some((version, map, 0)) => rank.prepared = Some((version, map)),
                Some((version, map, left)) => rank.copying = Some((version, map, left - 1)),
                None => {}
            }
        }
        if state.ranks.iter().any(|rank| rank.held == Some(next)) {
            state.held_passes += 1;
            return state.pass;
        }
        if state.ranks.iter().all(|rank| rank.running == 0) {
            return state.pass;
        }
        state.pass = next;
        let mut switched = None;
        for rank in &mut state.ranks {
            if rank.armed.is_some_and(|(_, pass)| pass <= next) {
                rank.armed = None;
                if let Some((version, map)) = rank.prepared.take() {
                    rank.map = version;
                    switched = Some(map);
                }
            }
        }
        if let Some(map) = switched {
            state.map = map;
            state.switches += 1;
        }
        let first = state.ranks[0].map;
        if state.ranks.iter().any(|rank| rank.map != first) {
            state.mixed += 1;
        }
        self.choose_experts(&mut state);
        next
    }

    /// A few experts of each set get most of the choices, others after a shift.
    fn choose_experts(&self, state: &mut GroupState) {
        let shift = (state.pass / SHIFT_PASSES) as usize * 7;
        let experts = self.layout.experts;
        let GroupState { ranks, rng, .. } = state;
        for rank in ranks {
            for set in 0..self.layout.sets {
                for choice in 0..experts {
                    let weight = 400 / (choice + 1) as u64;
                    let expert = (choice * 5 + shift + set) % experts;
                    rank.counts[set * experts + expert] +=
                        u64::from(rank.running) * weight + rng.below(4) as u64;
                }
            }
        }
    }
}

fn take(known: &mut RankState, order: &RankOrder, next: PassNumber) -> bool {
    match order {
        RankOrder::Prepare { version, map, .. } => {
            let fits = *version > known.highest && known.armed.is_none();
            if fits {
                known.highest = *version;
                known.prepared = None;
                known.copying = Some((*version, map.as_ref().clone(), COPY_PASSES));
            }
            fits
        }
        RankOrder::Arm { version, pass, .. } => {
            let same = known.armed == Some((*version, *pass));
            let ready = known.prepared.as_ref().is_some_and(|(known, _)| known == version);
            let fits = ready && *pass >= next;
            if fits {
                known.armed = Some((*version, *pass));
            }
            same || fits
        }
        RankOrder::Disarm { version, .. } => {
            if known.armed.is_some_and(|(armed, _)| armed == *version) {
                known.armed = None;
            }
            known.map != *version
        }
        RankOrder::Hold { pass, .. } => {
            let same = known.held == Some(*pass);
            let fits = known.held.is_none() && *pass >= next;
            if fits {
                known.held = Some(*pass);
            }
            same || fits
        }
        RankOrder::Release { pass, .. } => {
            if known.held == Some(*pass) {
                known.held = None;
            }
            true
        }
    }
}
