//! Guards against passes that exceed the target gap between events: more streams arrive
//! than a group of ranks can run within it.

#[path = "support/engine.rs"]
mod engine;

use std::time::Duration;

use cuminpick::admission::CapacityShare;
use cuminpick::admission::EventGapMeter;
use cuminpick::admission::GateCapacity;
use cuminpick::admission::GateDecision;
use cuminpick::admission::GateRequest;
use cuminpick::admission::GroupLoad;
use cuminpick::admission::StreamGate;
use cuminpick::admission::overdue_capacity;
use cuminpick::admission::stream_limit;
use cuminpick::outage::OUTAGE_RETRY_AFTER;
use cuminpick::outage::OutageOutlook;
use cuminpick::rate::RunningStreams;

use crate::engine::engine_model;

const TARGET: Duration = Duration::from_millis(120);
const RANKS: usize = 12;
const SLOTS: u32 = 144;

fn pass_time(streams: u32, imbalance: f64) -> Duration {
    let per_rank = f64::from(streams) / RANKS as f64;
    Duration::from_secs_f64(4.0 * (0.004_55 + 0.000_905 * per_rank) * imbalance)
}

#[test]
fn limit_from_engine_model() {
    for imbalance in [1.0, 1.5, 2.0, 3.0] {
        let event_gap = Some(pass_time(90, imbalance));
        let load = GroupLoad { ranks: RANKS, slots: SLOTS, streams: 90, event_gap };
        let limit = stream_limit(&engine_model(), &load, TARGET).unwrap();
        let pass_at_limit = pass_time(limit, imbalance);
        let at_minimum = limit == 3 * RANKS as u32;
        assert!(pass_at_limit < TARGET || at_minimum, "{imbalance}: {pass_at_limit:?}");
    }
}

/// Streams beyond the slots would queue at the ranks, where they cannot be reordered.
#[test]
fn slots_bound_limit() {
    let event_gap = Some(pass_time(140, 0.5));
    let load = GroupLoad { ranks: RANKS, slots: SLOTS, streams: 140, event_gap };
    assert_eq!(stream_limit(&engine_model(), &load, TARGET), Some(SLOTS));
}

/// A group that was formed again starts with its initial map, while many streams wait and
/// no event gap is measured yet.
#[test]
fn unknown_gap_bounded() {
    let initial_imbalance = 1.0 + engine_model().expert_share * 2.45;
    for streams in [0, 90] {
        let load = GroupLoad { ranks: RANKS, slots: SLOTS, streams, event_gap: None };
        let limit = stream_limit(&engine_model(), &load, TARGET).unwrap();
        assert!(pass_time(limit, initial_imbalance) < TARGET, "{limit}");
        assert!(limit >= 3 * RANKS as u32, "{limit}");
    }
}

#[test]
fn old_gap_ignored() {
    let mut meter = EventGapMeter::default();
    meter.record(Duration::ZERO, TARGET);
    assert_eq!(meter.mean(Duration::from_millis(500)), Some(TARGET));
    assert_eq!(meter.mean(Duration::from_secs(2)), None);
}

fn gate_request(request: u64, now: Duration) -> GateRequest {
    GateRequest {
        request,
        priority: 1,
        organisation: format!("org-{}", request % 3),
        on_time_until: now + Duration::from_millis(225),
        latest_start: now + Duration::from_secs(4),
    }
}

/// Streams that can begin on time are admitted before those that cannot.
#[test]
fn on_time_first() {
    let mut gate = StreamGate::default();
    gate.enqueue(gate_request(1, Duration::ZERO));
    assert!(gate.process_queue(Duration::ZERO, capacity_of(0)).is_empty());
    let later = Duration::from_millis(300);
    gate.enqueue(gate_request(2, later));
    assert_eq!(gate.process_queue(later, capacity_of(1)), [GateDecision::Admit(2)]);
    assert_eq!(gate.process_queue(later, capacity_of(1)), [GateDecision::Admit(1)]);
}

/// After an outage overdue streams leave the capacity to those that can still begin on
/// time.
#[test]
fn overdue_wait_after_outage() {
    let mut gate = StreamGate::default();
    gate.enqueue(gate_request(1, Duration::ZERO));
    let outage = GateCapacity::Outage {
        probes: 0,
        outlook: OutageOutlook::Unknown,
        retry_after: OUTAGE_RETRY_AFTER,
    };
    assert!(gate.process_queue(Duration::ZERO, outage).is_empty());
    let later = Duration::from_millis(300);
    let without_overdue = GateCapacity::Streams { total: 9, overdue: 0 };
    assert!(gate.process_queue(later, without_overdue).is_empty());
    gate.enqueue(gate_request(2, later));
    assert_eq!(gate.process_queue(later, without_overdue), [GateDecision::Admit(2)]);
    let with_overdue = GateCapacity::Streams { total: 9, overdue: 1 };
    assert_eq!(gate.process_queue(later, with_overdue), [GateDecision::Admit(1)]);
}

/// Without a preceding outage an overdue stream is admitted as soon as there is capacity.
#[test]
fn overdue_served_otherwise() {
    let mut gate = StreamGate::default();
    gate.enqueue(gate_request(1, Duration::ZERO));
    let without_overdue = GateCapacity::Streams { total: 1, overdue: 0 };
    let later = Duration::from_millis(300);
    assert_eq!(gate.process_queue(later, without_overdue), [GateDecision::Admit(1)]);
}

#[test]
fn overdue_capacity_bounded() {
    let load = |streams| GroupLoad {
        ranks: RANKS,
        slots: SLOTS,
        streams,
        event_gap: Some(pass_time(streams, 1.3)),
    };
    assert!(overdue_capacity(&engine_model(), &load(60), TARGET, None) > 0);
    assert_eq!(overdue_capacity(&engine_model(), &load(140), TARGET, None), 0);
}

/// A stream that cannot complete in time is refused early, not at its deadline.
#[test]
fn unservable_refused_early() {
    let mut gate = StreamGate::default();
    // 20 streams leave the service per second.
    gate.record_running(Some(RunningStreams {
        total: 48,
        own: 48,
        gateways: 1,
        mean_events: 24.0,
        event_gap: Duration::from_millis(100),
    }));
    let mut now = Duration::ZERO;
    let mut refused_ages = Vec::new();
    let mut asked_at = Vec::new();
    // For twelve seconds, 40 streams arrive and 20 are admitted per second.
    for (step, request) in (0..480).enumerate() {
        now += Duration::from_millis(25);
        gate.enqueue(gate_request(request, now));
        asked_at.push(now);
        let capacity = u32::from(step % 2 == 0);
        for decision in gate.process_queue(now, capacity_of(capacity)) {
            if let GateDecision::Refuse(refused, retry_after) = decision {
                refused_ages.push(now - asked_at[refused as usize]);
                assert!(retry_after >= Duration::from_millis(400));
            }
        }
    }
    assert!(gate.waiting() < 160, "{} streams wait", gate.waiting());
    assert!(!refused_ages.is_empty());
    assert!(refused_ages.iter().all(|age| *age <= Duration::from_millis(4_025)));
}

#[test]
fn caller_left_forgotten() {
    let mut gate = StreamGate::default();
    gate.enqueue(gate_request(1, Duration::ZERO));
    gate.enqueue(gate_request(2, Duration::ZERO));
    gate.remove(1);
    assert_eq!(gate.process_queue(Duration::ZERO, capacity_of(5)), [GateDecision::Admit(2)]);
    assert_eq!(gate.waiting(), 0);
}

/// Guards against overload that outlasts its cause: without a gate, a few seconds of
/// uneven expert load leave every pass too slow for good, at a demand that the group could
/// otherwise serve.
#[test]
fn gate_prevents_overload() {
    let (ungated, gated) = (late_share(false), late_share(true));
    assert!(ungated > 0.5, "without a gate {ungated} of passes are over the target");
    assert!(gated < ungated / 4.0, "with a gate {gated}, without {ungated}");
}

/// Simulates 20 s of streams of 24 events with the pass model, and returns the share of
/// passes after the start of the uneven load that exceed the target.
fn late_share(gated: bool) -> f64 {
    let mut gate = StreamGate::default();
    let mut meter = EventGapMeter::default();
    let mut running: Vec<u32> = Vec::new();
    let mut now = Duration::ZERO;
    let mut arrivals = 0.0;
    let mut request = 0;
    let (mut late, mut passes) = (0, 0);
    while now < Duration::from_secs(20) {
        let imbalance =
            if now > Duration::from_secs(3) && now < Duration::from_secs(7) { 3.0 } else { 1.65 };
        let pass = pass_time(running.len() as u32, imbalance);
        now += pass;
        for _ in 0..running.len() {
            meter.record(now, pass);
        }
        running.iter_mut().for_each(|left| *left -= 1);
        running.retain(|left| *left > 0);
        arrivals += pass.as_secs_f64() * 62.0;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            request += 1;
            gate.enqueue(gate_request(request, now));
        }
        let streams = running.len() as u32;
        let load = GroupLoad { ranks: RANKS, slots: SLOTS, streams, event_gap: meter.mean(now) };
        let limit = stream_limit(&engine_model(), &load, TARGET).filter(|_| gated);
        let capacity = limit.map_or(u32::MAX, |limit| limit.saturating_sub(streams));
        for decision in gate.process_queue(now, capacity_of(capacity)) {
            if matches!(decision, GateDecision::Admit(_)) {
                running.push(24);
            }
        }
        if now > Duration::from_secs(4) {
            passes += 1;
            late += u32::from(pass > TARGET);
        }
    }
    f64::from(late) / f64::from(passes)
}

/// Guards against gateways that together admit more streams than the capacity, because
/// each decides before it learns which streams the others admitted.
#[test]
fn gateways_share_capacity() {
    let limit = 48;
    let mut shares = [CapacityShare::default(); 4];
    let mut own = [0_u32; 4];
    let mut reported = [0_u32; 4];
    for step in 0..60_u32 {
        let now = Duration::from_millis(10) * step;
        if step % 6 == 0 {
            reported = own;
        }
        for gateway in 0..4 {
            let others: u32 = (0..4).filter(|other| *other != gateway).map(|o| reported[o]).sum();
            let capacity = limit.min(limit - (own[gateway] + others).min(limit));
            for _ in 0..shares[gateway].allowance(now, capacity, 4) {
                shares[gateway].record_admission();
                own[gateway] += 1;
            }
        }
        let all: u32 = own.iter().sum();
        assert!(all <= limit + 4, "{all} after {now:?}");
    }
    assert!(own.iter().sum::<u32>() >= limit, "{own:?}");
}

fn capacity_of(total: u32) -> GateCapacity {
    GateCapacity::Streams { total, overdue: total }
}
