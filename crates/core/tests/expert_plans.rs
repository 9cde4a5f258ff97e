//! Plans of expert maps are always valid, improve balance by as much as they report, and
//! follow shifting demand within a few switches.

use std::time::Duration;

use bolero::check;
use cuminpick::demand::DemandMeter;
use cuminpick::demand::DemandSettings;
use cuminpick::experts::ExpertMap;
use cuminpick::experts::PlanSettings;
use cuminpick::experts::SetDemand;
use cuminpick::experts::initial_map;
use cuminpick::experts::is_switch_worthwhile;
use cuminpick::experts::map_skew;
use cuminpick::experts::plan_map;
use cuminpick::ids::ChoiceRng;
use cuminpick::routing::EngineModel;
use cuminpick::routing::ExpertLayout;

/// Time of one expert copy on the users' first sites.
const COPY_TIME: Duration = Duration::from_millis(98);
const LAYOUT: ExpertLayout = ExpertLayout {
    sets: 4,
    experts: 72,
    slots_per_rank: 8,
    max_new_experts: 3,
    copy_time: COPY_TIME,
};
const RANKS: usize = 12;
const HEALTHY: [f64; RANKS] = [1.0; RANKS];

fn assert_valid(
    map: &ExpertMap,
    before: &ExpertMap,
    layout: ExpertLayout,
    settings: &PlanSettings,
) {
    for (set, ranks) in map.iter().enumerate() {
        for expert in 0..layout.experts {
            let held = ranks.iter().any(|rank| rank.contains(&(expert as u16)));
            assert!(held, "expert {expert} of set {set} is on no rank");
        }
    }
    for rank in 0..map[0].len() {
        let mut copies = 0;
        for set in 0..layout.sets {
            let held = &map[set][rank];
            assert!(held.len() <= layout.slots_per_rank);
            let mut unique = held.clone();
            unique.sort_unstable();
            unique.dedup();
            assert_eq!(unique.len(), held.len(), "an expert twice on rank {rank}");
            let new = held.iter().filter(|expert| !before[set][rank].contains(expert)).count();
            assert!(new <= layout.max_new_experts && new <= settings.max_copies_per_rank_and_set);
            copies += new;
        }
        assert!(copies <= settings.max_copies_per_rank(layout));
    }
}

/// Returns Zipf-distributed demand with the experts in random order in each set.
fn skewed_demand(rng: &mut ChoiceRng) -> Vec<SetDemand> {
    let draw = |rng: &mut ChoiceRng| {
        let mut demand: SetDemand =
            (0..LAYOUT.experts).map(|rank| 1.0 / (rank as f64 + 1.0).powf(1.0)).collect();
        for index in (1..demand.len()).rev() {
            demand.swap(index, rng.below(index + 1));
        }
        demand
    };
    (0..LAYOUT.sets).map(|_| draw(rng)).collect()
}

#[test]
fn any_demand() {
    let settings = PlanSettings { plan_gain: 0.0, ..PlanSettings::default() };
    check!().with_type::<(Vec<u8>, u64)>().for_each(|(weights, seed)| {
        let mut rng = ChoiceRng::new(*seed);
        let mut map = initial_map(LAYOUT, RANKS);
        for _ in 0..3 {
            let demand: Vec<SetDemand> = (0..LAYOUT.sets)
                .map(|set| {
                    let weight =
                        |expert: usize| weights.get(expert * (set + 1)).copied().unwrap_or(1);
                    (0..LAYOUT.experts)
                        .map(|expert| f64::from(weight(expert)) + rng.below(3) as f64)
                        .collect()
                })
                .collect();
            let Some(plan) = plan_map(&map, &demand, &HEALTHY, LAYOUT, &settings) else {
                continue;
            };
            assert_valid(&plan.map, &map, LAYOUT, &settings);
            assert!(plan.skew_after <= plan.skew_before + 1e-9);
            assert!((map_skew(&plan.map, &demand) - plan.skew_after).abs() < 1e-6);
            map = plan.map;
        }
    });
}

/// After a random shift of demand, eight small switches must bring the skew from three or
/// more to under 1.5.
#[test]
fn shifted_demand() {
    let settings = PlanSettings::default();
    let mut rng = ChoiceRng::new(5);
    let mut map = initial_map(LAYOUT, RANKS);
    for _ in 0..10 {
        let demand = skewed_demand(&mut rng);
        for _ in 0..8 {
            if let Some(plan) = plan_map(&map, &demand, &HEALTHY, LAYOUT, &settings) {
                assert_valid(&plan.map, &map, LAYOUT, &settings);
                map = plan.map;
            }
        }
        let skew = map_skew(&map, &demand);
        assert!(skew < 1.5, "skew {skew} after eight switches");
    }
}

/// One rank works at a twelfth of its speed; plans must move its experts away.
#[test]
fn slow_rank_relieved() {
    let settings = PlanSettings::default();
    let demand = vec![vec![1.0; LAYOUT.experts]; LAYOUT.sets];
    let mut slowdowns = HEALTHY;
    slowdowns[4] = 12.0;
    let mut map = initial_map(LAYOUT, RANKS);
    for _ in 0..20 {
        if let Some(plan) = plan_map(&map, &demand, &slowdowns, LAYOUT, &settings) {
            assert_valid(&plan.map, &map, LAYOUT, &settings);
            map = plan.map;
        }
    }
    let share = |rank: usize| {
        let mut sum = 0.0;
        for ranks in &map {
            for expert in &ranks[rank] {
                let holders = ranks.iter().filter(|rank| rank.contains(expert)).count();
                sum += 1.0 / holders as f64;
            }
        }
        sum
    };
    let slow = share(4) * 12.0;
    let healthy = share(0);
    assert!(slow < healthy * 2.0, "the slow rank takes {slow}, a healthy one {healthy}");
}

#[test]
fn even_demand_kept() {
    let map = initial_map(LAYOUT, RANKS);
    let demand = vec![vec![1.0; LAYOUT.experts]; LAYOUT.sets];
    assert_eq!(plan_map(&map, &demand, &HEALTHY, LAYOUT, &PlanSettings::default()), None);
}

#[test]
fn recent_demand_counts() {
    let layout = ExpertLayout {
        sets: 1,
        experts: 2,
        slots_per_rank: 2,
        max_new_experts: 1,
        copy_time: COPY_TIME,
    };
    let mut meter = DemandMeter::new(layout, DemandSettings::default());
    assert_eq!(meter.set_demands(), None);
    meter.add_counts(Duration::ZERO, &[1_000, 0]);
    meter.add_counts(Duration::from_secs(3), &[0, 1_000]);
    let sets = meter.set_demands().unwrap();
    assert!(sets[0][1] > 0.85, "{sets:?}");
    assert!(sets[0][0] > 0.02, "long-run demand was dropped: {sets:?}");
}

/// Planning for a large group (63 ranks with 252 experts in 8 sets) must not block the
/// agent's thread for long.
#[test]
fn large_group_bounded() {
    let layout = ExpertLayout {
        sets: 8,
        experts: 252,
        slots_per_rank: 5,
        max_new_experts: 3,
        copy_time: COPY_TIME,
    };
    let mut rng = ChoiceRng::new(9);
    let map = initial_map(layout, 63);
    let demand: Vec<SetDemand> = (0..layout.sets)
        .map(|_| (0..layout.experts).map(|_| (rng.below(1_000) as f64).powi(3)).collect())
        .collect();
    let started = std::time::Instant::now();
    let plan = plan_map(&map, &demand, &[1.0; 63], layout, &PlanSettings::default()).unwrap();
    assert_valid(&plan.map, &map, layout, &PlanSettings::default());
    let took = started.elapsed();
    assert!(took < Duration::from_secs(2), "a plan took {took:?}");
}

/// In a group of 63 ranks many ranks are nearly as loaded as the most loaded one, so a
/// single move improves the peak little. After a random shift of demand, with copies of
/// 14 ms each, three switches must suffice: about as many as fit before the next shift.
#[test]
fn large_group_shifted() {
    let copy_time = Duration::from_millis(14);
    let layout =
        ExpertLayout { sets: 8, experts: 252, slots_per_rank: 5, max_new_experts: 2, copy_time };
    let settings = PlanSettings::default();
    let mut rng = ChoiceRng::new(11);
    let mut map = initial_map(layout, 63);
    for _ in 0..4 {
        let demand: Vec<SetDemand> = (0..layout.sets)
            .map(|_| (0..layout.experts).map(|_| 1.0 + (rng.below(5) as f64).powi(2)).collect())
            .collect();
        for _ in 0..3 {
            if let Some(plan) = plan_map(&map, &demand, &[1.0; 63], layout, &settings) {
                assert_valid(&plan.map, &map, layout, &settings);
                map = plan.map;
            }
        }
        let skew = map_skew(&map, &demand);
        assert!(skew < 1.35, "skew {skew} after three switches");
    }
}

/// A small site of the users at 46 streams per second, as on a quiet day, and at 73. At 46
/// passes are far within the accepted event gap, and copies must be skipped although a plan
/// would lower the skew.
#[test]
fn quick_passes_kept() {
    let model = EngineModel {
        steps_per_pass: 4,
        step_time: Duration::from_micros(4_550),
        time_per_request: Duration::from_micros(905),
        expert_share: 0.85,
        report_lag: Duration::from_millis(200),
        form_time: Duration::from_millis(600),
        experts: Some(LAYOUT),
        memory_tokens: None,
        read_tokens_per_second: 0.0,
    };
    let target = Duration::from_millis(120);
    let mut map = initial_map(LAYOUT, RANKS);
    let demand = skewed_demand(&mut ChoiceRng::new(7));
    assert!(
        is_switch_worthwhile(&model, 70, &map, &demand, target),
        "passes with the first map are slow"
    );
    let settings = PlanSettings { plan_gain: 0.05, ..PlanSettings::default() };
    while map_skew(&map, &demand) > 1.4 {
        map = plan_map(&map, &demand, &HEALTHY, LAYOUT, &settings).unwrap().map;
    }
    assert!(!is_switch_worthwhile(&model, 70, &map, &demand, target), "46 streams a second");
    assert!(is_switch_worthwhile(&model, 140, &map, &demand, target), "73 streams a second");
}

/// With copies that take no time, as in the built-in stand-in, a better map must be used
/// although passes are quick, since it costs nothing.
#[test]
fn free_copies_made() {
    let layout = ExpertLayout { copy_time: Duration::ZERO, ..LAYOUT };
    let model = EngineModel {
        steps_per_pass: 4,
        step_time: Duration::from_millis(2),
        time_per_request: Duration::from_micros(500),
        expert_share: 0.85,
        report_lag: Duration::from_millis(200),
        form_time: Duration::from_millis(600),
        experts: Some(layout),
        memory_tokens: None,
        read_tokens_per_second: 0.0,
    };
    let target = Duration::from_millis(120);
    let map = initial_map(layout, RANKS);
    let demand = vec![vec![1.0; layout.experts]; layout.sets];
    assert!(is_switch_worthwhile(&model, 12, &map, &demand, target));
    let costly = EngineModel { experts: Some(LAYOUT), ..model };
    assert!(!is_switch_worthwhile(&costly, 12, &map, &demand, target));
}
