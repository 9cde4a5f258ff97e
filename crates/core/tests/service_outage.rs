//! Pattern: a group of ranks is down for seconds while callers keep asking; each
//! caller comes back once, after the time it is told or a third of its time left.

use std::time::Duration;

use cuminpick::admission::GateCapacity;
use cuminpick::admission::GateDecision;
use cuminpick::admission::GateRequest;
use cuminpick::admission::StreamGate;
use cuminpick::breaker::BreakerState;
use cuminpick::breaker::CircuitBreaker;

/// Time that callers have for a stream.
const DEADLINE: Duration = Duration::from_secs(8);
/// Time after which a stream that waits can no longer begin on time.
const FRESH: Duration = Duration::from_millis(225);
/// Time that a stream may wait for its start at each try.
const PATIENCE: Duration = Duration::from_millis(1_400);
const STEP: Duration = Duration::from_millis(10);
/// Streams that ask, in one step of time out of so many: about fourteen a second,
/// a gateway's part.
const STEPS_PER_STREAM: u32 = 7;

#[derive(Debug, Default)]
struct OutageResult {
    served: u32,
    refused_for_good: u32,
    retries: Vec<Duration>,
}

struct Caller {
    arrived: Duration,
    back_at: Option<Duration>,
    tries: u32,
}

/// Plays streams against a group that is down from the third second on.
fn play(outage: Duration) -> OutageResult {
    let down_from = Duration::from_secs(3);
    let mut gate = StreamGate::default();
    let mut breaker = CircuitBreaker::default();
    let mut callers: Vec<Caller> = Vec::new();
    let mut result = OutageResult::default();
    for step in 0..2_000_u32 {
        let now = STEP * step;
        let down = now >= down_from && now < down_from + outage;
        if step % STEPS_PER_STREAM == 0 && step < 1_000 {
            callers.push(Caller { arrived: now, back_at: Some(now), tries: 0 });
        }
        for (number, caller) in callers.iter_mut().enumerate() {
            if caller.back_at.is_some_and(|at| at <= now) {
                caller.back_at = None;
                caller.tries += 1;
                assert!(gate.enqueue(asking(number as u64, now)));
            }
        }
        let room = match breaker.state(now) {
            BreakerState::Closed => open_room(u32::MAX),
            BreakerState::HalfOpen => GateCapacity::Outage(1),
            BreakerState::Open => GateCapacity::Outage(0),
        };
        for verdict in gate.process_queue(now, room) {
            let refused = match verdict {
                GateDecision::Admit(request) if !down => {
                    result.served += 1;
                    breaker.record_success();
                    assert!(callers[request as usize].arrived + DEADLINE > now);
                    None
                }
                GateDecision::Admit(request) => {
                    breaker.record_refusal(now);
                    Some((request, gate.retry_after()))
                }
                GateDecision::Refuse(request, retry) => Some((request, retry)),
            };
            let Some((request, retry)) = refused else {
                continue;
            };
            let caller = &mut callers[request as usize];
            if caller.tries == 2 {
                result.refused_for_good += 1;
                continue;
            }
            let left = (caller.arrived + DEADLINE).saturating_sub(now);
            caller.back_at = Some(now + retry.min(left / 3));
            result.retries.push(retry);
        }
    }
    result
}

fn asking(request: u64, now: Duration) -> GateRequest {
    GateRequest {
        request,
        priority: 1,
        organisation: format!("org-{}", request % 3),
        on_time_until: now + FRESH,
        latest_start: now + PATIENCE,
    }
}

/// Callers wait at the gate or come back when the group may be there again; only
/// those that probe it are lost.
#[test]
fn outage_waited_out() {
    let result = play(Duration::from_secs(4));
    let all = result.served + result.refused_for_good;
    assert!(all > 130, "{result:?}");
    assert!(result.refused_for_good <= all / 20, "{} of {all}", result.refused_for_good);
}

/// A caller that is told to come back within the outage fails again.
#[test]
fn late_retry_told() {
    let result = play(Duration::from_secs(4));
    let early = result.retries.iter().filter(|retry| **retry < Duration::from_secs(1)).count();
    assert!(early <= 3, "{early} of {} came back at once", result.retries.len());
}

/// Once the group is back, what was let in during the outage is no measure.
#[test]
fn open_after_return() {
    let result = play(Duration::from_secs(2));
    assert!(result.refused_for_good <= 3, "{result:?}");
}

fn open_room(total: u32) -> GateCapacity {
    GateCapacity::Streams { total, overdue: total }
}
