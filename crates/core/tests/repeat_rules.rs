//! What may be sent again, and how often.

use std::time::Duration;

use cuminpick::repeat::AttemptFailure;
use cuminpick::repeat::AttemptState;
use cuminpick::repeat::RepeatBounds;
use cuminpick::repeat::RepeatBudget;
use cuminpick::routing::RepeatRule;

const BOUNDS: RepeatBounds =
    RepeatBounds { ratio: 0.2, window: Duration::from_secs(10), slack: 90.0 };

#[test]
fn booking_runs_once() {
    let mut state = AttemptState::new(RepeatRule::AtMostOnce, 5);
    state.note(AttemptFailure::NotConnected);
    assert!(state.may_try_again());
    state.note(AttemptFailure::NotRun);
    assert!(state.may_try_again());
    state.note(AttemptFailure::Broken);
    assert!(!state.may_try_again());
    assert!(state.may_have_run);
}

#[test]
fn attempts_bounded() {
    let mut state = AttemptState::new(RepeatRule::Idempotent, 2);
    state.note(AttemptFailure::Broken);
    assert!(state.may_try_again() && state.is_repeat());
    state.note(AttemptFailure::Failed);
    assert!(!state.may_try_again());
}

#[test]
fn failed_connects_bounded() {
    let mut state = AttemptState::new(RepeatRule::Idempotent, 2);
    for _ in 0..4 {
        assert!(state.may_try_again());
        state.note(AttemptFailure::NotConnected);
    }
    assert!(!state.may_try_again());
    assert!(!state.may_have_run && !state.is_repeat());
}

/// Four gateways that each see a quarter of the load stay within the bound that
/// is set on all of them together, over any window.
#[test]
fn shared_budget_holds() {
    let mut budgets = vec![RepeatBudget::new(BOUNDS); 4];
    let mut sent: Vec<(Duration, bool)> = Vec::new();
    for step in 0..4_000_u64 {
        let now = Duration::from_millis(step * 10);
        let budget = &mut budgets[(step % 4) as usize];
        // The load falls to a tenth half way, while all requests fail.
        if step < 2_000 || step % 10 == 0 {
            budget.count_first(now, "model");
            sent.push((now, false));
        }
        for _ in 0..3 {
            if budget.take(now, "model", 4) {
                sent.push((now, true));
            }
        }
    }
    for (end, _) in &sent {
        let window = |back: u32| {
            let until = end.saturating_sub(BOUNDS.window * back / 2);
            let from = until.saturating_sub(BOUNDS.window);
            sent.iter().filter(move |(at, _)| *at > from && *at <= until)
        };
        let repeats = window(0).filter(|(_, repeat)| *repeat).count() as f64;
        let firsts = (0..3)
            .map(|back| window(back).filter(|(_, repeat)| !repeat).count())
            .max()
            .unwrap_or(0) as f64;
        assert!(repeats <= firsts * BOUNDS.ratio + BOUNDS.slack, "{repeats} for {firsts}");
    }
}
