//! Switches of a group while the agent of one rank is silent: its VM stands still or is cut
//! off, and its engine goes on.
//!
//! Demand for experts shifts meanwhile. If the group kept its map, the skew of its passes
//! would grow until streams are late, with no engine at fault.

#[allow(dead_code)]
#[path = "support/group.rs"]
mod group;

use bolero::check;
use cuminpick::ids::ChoiceRng;

use crate::group::Fault;
use crate::group::Simulation;

/// Steps of six seconds, for which a VM stands still.
const FREEZE_STEPS: u32 = 1_200;

/// Returns the number of switches while `frozen` is silent in a group of `size` ranks.
fn switches_during_freeze(size: usize, frozen: usize, freeze: u32) -> u64 {
    let mut simulation = Simulation::sized(size, Vec::new());
    for _ in 0..freeze {
        simulation.advance();
    }
    simulation.frozen = Some(frozen);
    let before = simulation.switches;
    for _ in 0..FREEZE_STEPS {
        simulation.advance();
    }
    simulation.switches - before
}

#[test]
fn any_rank() {
    for frozen in 1..12 {
        let switches = switches_during_freeze(12, frozen, 300);
        assert!(switches >= 8, "{switches} switches while the agent of rank {frozen} is silent");
    }
}

/// The agent falls silent at any step of a switch: the pass is not held for long, and
/// switches go on.
#[test]
fn any_step() {
    for freeze in 200..320 {
        let mut simulation = Simulation::sized(5, Vec::new());
        for _ in 0..freeze {
            simulation.advance();
        }
        simulation.frozen = Some(2);
        simulation.longest_stall = 0;
        let before = simulation.switches;
        for _ in 0..FREEZE_STEPS {
            simulation.advance();
        }
        let switches = simulation.switches - before;
        assert!(switches >= 8, "{switches} switches after a freeze at step {freeze}");
        let stall = simulation.longest_stall;
        assert!(stall <= 40, "held for {stall} steps after a freeze at step {freeze}");
    }
}

#[test]
fn large_group() {
    let switches = switches_during_freeze(63, 40, 300);
    assert!(switches >= 8, "{switches} switches");
}

/// The leader freezes with its agent: the next leader reads and orders the engine directly.
#[test]
fn former_leader() {
    let mut simulation = Simulation::sized(5, Vec::new());
    for _ in 0..250 {
        simulation.advance();
    }
    simulation.frozen = Some(0);
    simulation.leaders[0] = None;
    simulation.take_over(11);
    simulation.switches = 0;
    for _ in 0..FREEZE_STEPS {
        simulation.advance();
    }
    assert!(simulation.switches >= 6, "{} switches", simulation.switches);
}

/// Agents fall silent and resume with old orders in their sockets, while orders are lost or
/// late and the group runs dry; no pass may begin with different maps.
#[test]
fn any_schedule() {
    check!().with_type::<u64>().for_each(|seed| {
        let mut rng = ChoiceRng::new(*seed);
        let share = rng.below(30);
        let faults = [Fault::Unanswered, Fault::Lost, Fault::Late(12), Fault::Late(90)];
        let mut simulation = Simulation::sized(4, Vec::new());
        simulation.faults = (0..600)
            .map(|_| if rng.below(100) < share { faults[rng.below(4)] } else { Fault::Normal })
            .collect();
        simulation.answer_delay = 1 + rng.below(4) as u32;
        let mut term = 11;
        for _ in 0..2_500 {
            match rng.below(300) {
                0 => simulation.frozen = Some(rng.below(4)),
                1 | 2 => simulation.frozen = None,
                3 => simulation.running = !simulation.running,
                4 if rng.below(4) == 0 => {
                    simulation.take_over(term);
                    term += 1;
                }
                _ => {}
            }
            simulation.advance();
        }
    });
}
