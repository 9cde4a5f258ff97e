//! Guards against streams that are lost when a group of ranks is down for a few seconds
//! while streams keep arriving. Each caller retries once, after the time given in the
//! refusal or a third of its time left, whichever is shorter.

use std::time::Duration;

use cuminpick::admission::GateCapacity;
use cuminpick::admission::GateDecision;
use cuminpick::admission::GateRequest;
use cuminpick::admission::StreamGate;
use cuminpick::breaker::BreakerState;
use cuminpick::breaker::CircuitBreaker;
use cuminpick::outage::OUTAGE_RETRY_AFTER;
use cuminpick::outage::OutageEstimate;
use cuminpick::outage::OutageOutlook;

/// Deadline that callers set for a stream.
const DEADLINE: Duration = Duration::from_secs(8);
/// Longest wait after which a stream still begins on time.
const ON_TIME_WAIT: Duration = Duration::from_millis(225);
/// Longest wait of a stream for its start at each attempt.
const MAX_WAIT: Duration = Duration::from_millis(1_400);
const STEP: Duration = Duration::from_millis(10);
/// Time steps between two arriving streams: about 14 streams per second, the share of one
/// gateway.
const STEPS_PER_STREAM: u32 = 7;

#[derive(Debug, Default)]
struct OutageResult {
    served: u32,
    finally_refused: u32,
    retry_delays: Vec<Duration>,
}

struct Caller {
    arrived: Duration,
    next_try: Option<Duration>,
    attempts: u32,
}

/// Simulates streams to a group that is down for `outage`, from the third second on.
fn simulate(outage: Duration) -> OutageResult {
    let down_from = Duration::from_secs(3);
    let mut gate = StreamGate::default();
    let mut breaker = CircuitBreaker::default();
    let mut callers: Vec<Caller> = Vec::new();
    let mut result = OutageResult::default();
    for step in 0..2_000_u32 {
        let now = STEP * step;
        let down = now >= down_from && now < down_from + outage;
        if step % STEPS_PER_STREAM == 0 && step < 1_000 {
            callers.push(Caller { arrived: now, next_try: Some(now), attempts: 0 });
        }
        for (number, caller) in callers.iter_mut().enumerate() {
            if caller.next_try.is_some_and(|at| at <= now) {
                caller.next_try = None;
                caller.attempts += 1;
                assert!(gate.enqueue(gate_request(number as u64, now)));
            }
        }
        let capacity = match breaker.state(now) {
            BreakerState::Closed => capacity_of(u32::MAX),
            BreakerState::HalfOpen => during_outage(1, OutageOutlook::Unknown),
            BreakerState::Open => during_outage(0, OutageOutlook::Unknown),
        };
        for decision in gate.process_queue(now, capacity) {
            let refused = match decision {
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
                GateDecision::Refuse(request, delay) => Some((request, delay)),
            };
            let Some((request, delay)) = refused else {
                continue;
            };
            let caller = &mut callers[request as usize];
            if caller.attempts == 2 {
                result.finally_refused += 1;
                continue;
            }
            let left = (caller.arrived + DEADLINE).saturating_sub(now);
            caller.next_try = Some(now + delay.min(left / 3));
            result.retry_delays.push(delay);
        }
    }
    result
}

fn gate_request(request: u64, now: Duration) -> GateRequest {
    GateRequest {
        request,
        priority: 1,
        organisation: format!("org-{}", request % 3),
        on_time_until: now + ON_TIME_WAIT,
        latest_start: now + MAX_WAIT,
    }
}

/// Streams wait at the gate or are retried when the group may have returned; only those
/// that are sent as probes may fail.
#[test]
fn streams_outlast_outage() {
    let result = simulate(Duration::from_secs(4));
    let all = result.served + result.finally_refused;
    assert!(all > 130, "{result:?}");
    assert!(result.finally_refused <= all / 20, "{} of {all}", result.finally_refused);
}

/// Guards against retries within the outage, which would fail again.
#[test]
fn retry_after_outage() {
    let result = simulate(Duration::from_secs(4));
    let early = result.retry_delays.iter().filter(|delay| **delay < Duration::from_secs(1)).count();
    assert!(
        early <= 3,
        "{early} of {} were told to retry within a second",
        result.retry_delays.len()
    );
}

/// Guards against refusals after the outage that are based on the low rate of admissions
/// during it.
#[test]
fn capacity_after_outage() {
    let result = simulate(Duration::from_secs(2));
    assert!(result.finally_refused <= 3, "{result:?}");
}

fn capacity_of(total: u32) -> GateCapacity {
    GateCapacity::Streams { total, overdue: total }
}

fn during_outage(probes: u32, outlook: OutageOutlook) -> GateCapacity {
    GateCapacity::Outage { probes, outlook, retry_after: OUTAGE_RETRY_AFTER }
}

/// A rank is gone and has not registered again: no stream is held, since the group cannot
/// form before its latest start.
#[test]
fn lost_rank() {
    let mut gate = StreamGate::default();
    let now = Duration::from_secs(3);
    assert!(gate.enqueue(gate_request(1, now)));
    let decisions = gate.process_queue(now, during_outage(0, OutageOutlook::RankLost));
    assert_eq!(decisions, [GateDecision::Refuse(1, OUTAGE_RETRY_AFTER)]);
}

/// The lost rank has registered again: streams that can start once the group has formed
/// wait for it, others are refused.
#[test]
fn forming_group() {
    let mut gate = StreamGate::default();
    let now = Duration::from_secs(3);
    assert!(gate.enqueue(gate_request(1, now)));
    assert!(gate.enqueue(gate_request(2, now - Duration::from_secs(1))));
    let formed_at = now + Duration::from_millis(600);
    let decisions = gate.process_queue(now, during_outage(0, OutageOutlook::Forming(formed_at)));
    assert_eq!(decisions, [GateDecision::Refuse(2, OUTAGE_RETRY_AFTER)]);
    let decisions = gate.process_queue(formed_at, capacity_of(5));
    assert_eq!(decisions, [GateDecision::Admit(1)]);
}

#[test]
fn outage_outlook() {
    let second = Duration::from_secs(1);
    let mut estimate = OutageEstimate::default();
    assert_eq!(estimate.outlook(second), OutageOutlook::Unknown);
    estimate.record_service(second, false);
    estimate.record_lost_server(second);
    assert_eq!(estimate.outlook(second * 2), OutageOutlook::RankLost);
    estimate.record_new_server(second * 6, Duration::from_millis(600));
    let formed_at = Duration::from_millis(6_600);
    assert_eq!(estimate.outlook(second * 6), OutageOutlook::Forming(formed_at));
    assert_eq!(estimate.retry_after(second * 6, 0.0), Duration::from_millis(600));
    assert_eq!(estimate.outlook(second * 8), OutageOutlook::Unknown);
}

/// The second outage is expected to take as long as the first one, and callers return
/// spread over the time after its end.
#[test]
fn learned_duration() {
    let second = Duration::from_secs(1);
    let mut estimate = OutageEstimate::default();
    estimate.record_service(Duration::ZERO, false);
    estimate.record_lost_server(second);
    assert_eq!(estimate.retry_after(second * 2, 0.0), OUTAGE_RETRY_AFTER);
    estimate.record_service(second * 5, true);
    estimate.record_lost_server(second * 20);
    assert_eq!(estimate.retry_after(second * 22, 0.0), second * 2);
    assert_eq!(estimate.retry_after(second * 22, 1.0), second * 3);
    assert_eq!(estimate.retry_after(second * 30, 0.0), OUTAGE_RETRY_AFTER);
}

/// A server that was lost while the group went on leaves no estimate behind.
#[test]
fn spare_server() {
    let second = Duration::from_secs(1);
    let mut estimate = OutageEstimate::default();
    estimate.record_service(Duration::ZERO, false);
    estimate.record_lost_server(second);
    estimate.record_service(second * 2, false);
    assert_eq!(estimate.outlook(second * 2), OutageOutlook::Unknown);
    estimate.record_lost_server(second * 3);
    assert_eq!(estimate.retry_after(second * 3, 0.0), OUTAGE_RETRY_AFTER);
}

/// Guards against the refusal of everything when all servers start at the same time: one failed
/// connection to a VM that still boots says nothing of how long that takes.
#[test]
fn simultaneous_start() {
    let second = Duration::from_secs(1);
    let mut estimate = OutageEstimate::default();
    estimate.record_lost_server(second);
    assert_eq!(estimate.outlook(second), OutageOutlook::Unknown);
    let mut gate = StreamGate::default();
    assert!(gate.enqueue(gate_request(1, second)));
    assert!(gate.process_queue(second, during_outage(0, estimate.outlook(second))).is_empty());
    // Once it has served, a lost rank is known to keep the group from running.
    estimate.record_service(second * 2, true);
    estimate.record_lost_server(second * 3);
    assert_eq!(estimate.outlook(second * 3), OutageOutlook::RankLost);
}

/// A rank that has registered again may not accept connections yet; streams go on waiting for
/// the group to form.
#[test]
fn failed_connect_while_forming() {
    let second = Duration::from_secs(1);
    let mut estimate = OutageEstimate::default();
    estimate.record_service(second, false);
    estimate.record_lost_server(second * 2);
    estimate.record_new_server(second * 4, second);
    estimate.record_lost_server(second * 4);
    assert_eq!(estimate.outlook(second * 4), OutageOutlook::Forming(second * 5));
    assert!(!estimate.is_rank_lost());
}
