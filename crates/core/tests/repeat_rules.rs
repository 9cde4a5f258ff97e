//! Which requests may be retried, and how often.

use std::time::Duration;

use cuminpick::balance::BalanceTable;
use cuminpick::retry::AttemptFailure;
use cuminpick::retry::RetryBounds;
use cuminpick::retry::RetryState;
use cuminpick::retry::WindowedRetryBudget;
use cuminpick::routing::RepeatRule;

const BOUNDS: RetryBounds =
    RetryBounds { ratio: 0.2, window: Duration::from_secs(10), slack: 90.0 };

#[test]
fn booking_runs_once() {
    let mut state = RetryState::new(RepeatRule::AtMostOnce, 5);
    state.record_failure(AttemptFailure::NotConnected);
    assert!(state.may_retry());
    state.record_failure(AttemptFailure::NotRun);
    assert!(state.may_retry());
    state.record_failure(AttemptFailure::Broken);
    assert!(!state.may_retry());
    assert!(state.may_have_run);
}

#[test]
fn attempts_bounded() {
    let mut state = RetryState::new(RepeatRule::Idempotent, 2);
    state.record_failure(AttemptFailure::Broken);
    assert!(state.may_retry() && state.counts_as_retry());
    state.record_failure(AttemptFailure::Failed);
    assert!(!state.may_retry());
}

#[test]
fn failed_connects_bounded() {
    let mut state = RetryState::new(RepeatRule::Idempotent, 2);
    for _ in 0..4 {
        assert!(state.may_retry());
        state.record_failure(AttemptFailure::NotConnected);
    }
    assert!(!state.may_retry());
    assert!(!state.may_have_run && !state.counts_as_retry());
}

/// Guards against requests that are given up at two outdated records after all servers have
/// started again: nothing ran there, so the attempts are left for the servers in their place. The
/// budget still bounds them.
#[test]
fn replaced_servers() {
    let mut state = RetryState::new(RepeatRule::Idempotent, 2);
    for replaced in 1..=4 {
        state.record_failure(AttemptFailure::Replaced);
        assert!(state.may_retry() && state.counts_as_retry() && !state.may_have_run);
        assert_eq!((state.sent, state.attempts()), (0, replaced));
    }
    state.record_failure(AttemptFailure::Replaced);
    state.record_failure(AttemptFailure::Replaced);
    assert!(!state.may_retry() && !state.may_have_run);
    let mut once = RetryState::new(RepeatRule::AtMostOnce, 1);
    once.record_failure(AttemptFailure::Replaced);
    assert!(once.may_retry());
    once.record_failure(AttemptFailure::Broken);
    assert!(!once.may_retry() && once.may_have_run);
}

/// Four gateways that each see a quarter of the load stay within their common bound over
/// any window.
#[test]
fn shared_budget_holds() {
    let mut budgets = vec![WindowedRetryBudget::new(BOUNDS, Duration::ZERO); 4];
    let mut sent: Vec<(Duration, bool)> = Vec::new();
    for step in 0..4_000_u64 {
        let now = Duration::from_millis(step * 10);
        let budget = &mut budgets[(step % 4) as usize];
        // Halfway, the load falls to a tenth; all requests fail.
        if step < 2_000 || step % 10 == 0 {
            budget.count_request(now, "model");
            sent.push((now, false));
        }
        for _ in 0..3 {
            if budget.try_take(now, "model", 4) {
                sent.push((now, true));
            }
        }
    }
    assert_within(&sent, Duration::from_secs(40));
}

/// Asserts that the retries stay within the bound over every window; `sent` holds the
/// times of requests (false) and retries (true).
fn assert_within(sent: &[(Duration, bool)], until: Duration) {
    let count = |from: Duration, to: Duration, retry: bool| {
        sent.iter().filter(|(at, is_retry)| *is_retry == retry && *at > from && *at <= to).count()
            as f64
    };
    let step = BOUNDS.window / 20;
    let mut end = step;
    while end <= until + BOUNDS.window {
        let retries = count(end.saturating_sub(BOUNDS.window), end, true);
        let windows = (0..3).map(|back| {
            let end = end.saturating_sub(BOUNDS.window * back / 2);
            count(end.saturating_sub(BOUNDS.window), end, false)
        });
        let requests = windows.fold(0.0, f64::max);
        let allowed = requests * BOUNDS.ratio + BOUNDS.slack;
        assert!(retries <= allowed, "{retries} for {requests} requests up to {end:?}");
        end += step;
    }
}

/// Simulates gateways that retry as often as they may, with `rate` requests a second in
/// total. All restart at the times in `starts`; `assumed` gives the number of gateways
/// that each one assumes.
fn simulate(
    gateways: usize,
    rate: u64,
    starts: &[Duration],
    assumed: impl Fn(usize, Duration) -> usize,
) -> Vec<(Duration, bool)> {
    let mut sent = Vec::new();
    let mut budgets = vec![WindowedRetryBudget::new(BOUNDS, Duration::ZERO); gateways];
    let mut restarts = starts.to_vec();
    for step in 0..4_000_u64 {
        let now = Duration::from_millis(step * 10);
        if restarts.first().is_some_and(|start| now >= *start) {
            restarts.remove(0);
            budgets = vec![WindowedRetryBudget::new(BOUNDS, now); gateways];
        }
        for (index, budget) in budgets.iter_mut().enumerate() {
            if step % 100 < rate && step % gateways as u64 == index as u64 {
                budget.count_request(now, "model");
                sent.push((now, false));
            }
            if budget.try_take(now, "model", assumed(index, now)) {
                sent.push((now, true));
            }
        }
    }
    sent
}

/// Guards against too many retries by gateways that lose their counts on restart: all of
/// them restart twice within a window.
#[test]
fn restarted_budgets() {
    for rate in [5, 20, 64] {
        let starts = [21, 25].map(Duration::from_secs);
        let sent = simulate(4, rate, &starts, |_, _| 4);
        assert_within(&sent, Duration::from_secs(40));
        assert!(sent.iter().any(|(_, retry)| *retry));
    }
}

/// Gateways that receive nothing from one another still keep to their share of the bound,
/// since they know from the registrations how many there are.
#[test]
fn cut_off_gateways() {
    let mut table = BalanceTable::default();
    table.set_registered_gateways((1..4).map(|other| format!("edge-{other}")), false);
    let sent = simulate(4, 20, &[], |_, _| table.live_or_registered_gateways());
    assert_within(&sent, Duration::from_secs(40));
}
