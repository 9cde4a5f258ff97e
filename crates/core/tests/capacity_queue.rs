//! Requests of a service that takes less than comes.

use std::time::Duration;

use cuminpick::capacity_queue::CapacityQueue;
use cuminpick::capacity_queue::TurnRequest;
use cuminpick::ids::ChoiceRng;

/// Time for which a request may wait and still be answered on time.
const ON_TIME_WAIT: Duration = Duration::from_millis(225);
const STEP: Duration = Duration::from_millis(5);

fn request(number: u64, priority: u8, organisation: &str, now: Duration) -> TurnRequest {
    TurnRequest {
        request: number,
        priority,
        organisation: organisation.to_string(),
        is_overdue: false,
        expires_at: now + ON_TIME_WAIT,
    }
}

/// Outcome of requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
struct KindOutcome {
    asked: u32,
    served: u32,
    /// Requests that waited in vain.
    waited: u32,
}

/// Plays half a minute in which `per_s` requests a second come, of each of `kinds` (priority and
/// organisation) in turn at random, and `permits_per_s` permits are to be had.
fn play(per_s: f64, permits_per_s: f64, kinds: &[(u8, &str)]) -> Vec<KindOutcome> {
    let mut rng = ChoiceRng::new(5);
    let mut queue = CapacityQueue::default();
    let mut outcomes = vec![KindOutcome::default(); kinds.len()];
    let mut waiting: Vec<(TurnRequest, usize)> = Vec::new();
    let mut permits = 0.0;
    for step in 0..6_000 {
        let now = STEP * step + Duration::from_secs(10);
        permits = f64::min(permits + permits_per_s * STEP.as_secs_f64(), 1.0);
        let comes = (rng.next_bits() as f64 / u64::MAX as f64) < per_s * STEP.as_secs_f64();
        if comes {
            let kind = rng.below(kinds.len());
            let (priority, organisation) = kinds[kind];
            let request = request(u64::from(step), priority, organisation, now);
            outcomes[kind].asked += 1;
            if queue.join(now, &request).is_ok() {
                waiting.push((request, kind));
            }
        }
        let (expired, left): (Vec<_>, Vec<_>) =
            waiting.drain(..).partition(|(request, _)| request.expires_at <= now);
        waiting = left;
        for (request, kind) in expired {
            queue.leave(now, request.request, false);
            outcomes[kind].waited += 1;
        }
        let next = waiting.iter().position(|(request, _)| queue.is_in_turn(request.request));
        if let Some(index) = next.filter(|_| permits >= 1.0) {
            let (request, kind) = waiting.remove(index);
            permits -= 1.0;
            queue.leave(now, request.request, true);
            outcomes[kind].served += 1;
        }
    }
    outcomes
}

/// Guards against requests that wait for a server which they cannot get in time: most of those
/// that are not served are rejected at once, and the permits are used.
#[test]
fn rejected_at_once() {
    let outcome = play(40.0, 20.0, &[(1, "a")])[0];
    assert!(f64::from(outcome.served) >= 0.9 * 20.0 * 30.0, "{outcome:?}");
    let rejected = outcome.asked - outcome.served;
    assert!(f64::from(outcome.waited) <= 0.1 * f64::from(rejected), "{outcome:?}");
}

/// Guards against urgent requests that are served less often than others of the same service.
#[test]
fn urgent_first() {
    let outcomes = play(40.0, 20.0, &[(0, "a"), (1, "a"), (2, "a")]);
    let share = |index: usize| f64::from(outcomes[index].served) / f64::from(outcomes[index].asked);
    assert!(share(0) > 0.9 && share(0) > share(1) && share(1) > share(2), "{outcomes:?}");
}

/// An organisation with few requests is served although another one sends many.
#[test]
fn fair_turns() {
    let outcomes = play(60.0, 20.0, &[(1, "big"), (1, "big"), (1, "big"), (1, "small")]);
    let share = |outcome: KindOutcome| f64::from(outcome.served) / f64::from(outcome.asked);
    assert!(share(outcomes[3]) > 1.3 * share(outcomes[0]), "{outcomes:?}");
}

/// Without contention nothing waits.
#[test]
fn enough_permits() {
    let outcome = play(10.0, 40.0, &[(1, "a")])[0];
    assert!(outcome.waited == 0 && outcome.served + 1 >= outcome.asked, "{outcome:?}");
}

/// Callers that can no longer be answered on time come after those that can, and an urgent request
/// does not wait for the turn of another one.
#[test]
fn overdue_last() {
    let now = Duration::from_secs(10);
    let mut queue = CapacityQueue::default();
    queue.join(now, &request(1, 1, "a", now)).unwrap();
    let overdue = TurnRequest { is_overdue: true, ..request(2, 1, "a", now) };
    queue.join(now, &overdue).unwrap();
    queue.join(now, &request(3, 1, "a", now)).unwrap();
    queue.join(now, &request(4, 2, "a", now)).unwrap();
    for next in [1, 3, 2, 4] {
        assert!(queue.is_in_turn(next));
        queue.leave(now, next, true);
    }
    assert!(!queue.is_contended());
    queue.join(now, &request(5, 2, "a", now)).unwrap();
    queue.join(now, &request(6, 0, "a", now)).unwrap();
    assert!(queue.is_in_turn(6));
}
