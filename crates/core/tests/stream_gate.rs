//! Pattern: more streams arrive than passes within the pause target can carry.

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
use cuminpick::routing::EngineModel;

const TARGET: Duration = Duration::from_millis(120);
const RANKS: usize = 12;
const SLOTS: u32 = 144;

fn model() -> EngineModel {
    EngineModel {
        steps_per_pass: 4,
        step_time: Duration::from_micros(4_550),
        time_per_request: Duration::from_micros(905),
        expert_share: 0.85,
        experts: None,
    }
}

fn pass_time(streams: u32, unevenness: f64) -> Duration {
    let per_rank = f64::from(streams) / RANKS as f64;
    Duration::from_secs_f64(4.0 * (0.004_55 + 0.000_905 * per_rank) * unevenness)
}

#[test]
fn limit_from_model() {
    for unevenness in [1.0, 1.5, 2.0, 3.0] {
        let event_gap = Some(pass_time(90, unevenness));
        let load = GroupLoad { ranks: RANKS, slots: SLOTS, streams: 90, event_gap };
        let limit = stream_limit(&model(), &load, TARGET).unwrap();
        let at_limit = pass_time(limit, unevenness);
        let floor = limit == 3 * RANKS as u32;
        assert!(at_limit < TARGET || floor, "{unevenness}: {at_limit:?}");
    }
}

/// Streams beyond the slots would wait at the ranks, behind each other.
#[test]
fn slots_bound_limit() {
    let event_gap = Some(pass_time(140, 0.5));
    let load = GroupLoad { ranks: RANKS, slots: SLOTS, streams: 140, event_gap };
    assert_eq!(stream_limit(&model(), &load, TARGET), Some(SLOTS));
}

/// A group that was formed again has its first map, and all who waited ask at once.
#[test]
fn unknown_pause_bounded() {
    let first_map = 1.0 + model().expert_share * 2.45;
    for streams in [0, 90] {
        let load = GroupLoad { ranks: RANKS, slots: SLOTS, streams, event_gap: None };
        let limit = stream_limit(&model(), &load, TARGET).unwrap();
        assert!(pass_time(limit, first_map) < TARGET, "{limit}");
        assert!(limit >= 3 * RANKS as u32, "{limit}");
    }
}

#[test]
fn old_pause_forgotten() {
    let mut meter = EventGapMeter::default();
    meter.record(Duration::ZERO, TARGET);
    assert_eq!(meter.mean(Duration::from_millis(500)), Some(TARGET));
    assert_eq!(meter.mean(Duration::from_secs(2)), None);
}

fn asking(request: u64, now: Duration) -> GateRequest {
    GateRequest {
        request,
        priority: 1,
        organisation: format!("org-{}", request % 3),
        on_time_until: now + Duration::from_millis(225),
        latest_start: now + Duration::from_secs(4),
    }
}

/// Streams that can begin on time go before those that cannot.
#[test]
fn fresh_first() {
    let mut gate = StreamGate::default();
    gate.enqueue(asking(1, Duration::ZERO));
    assert!(gate.process_queue(Duration::ZERO, open_room(0)).is_empty());
    let later = Duration::from_millis(300);
    gate.enqueue(asking(2, later));
    assert_eq!(gate.process_queue(later, open_room(1)), [GateDecision::Admit(2)]);
    assert_eq!(gate.process_queue(later, open_room(1)), [GateDecision::Admit(1)]);
}

/// After an outage late streams leave the room to those that can still be on time.
#[test]
fn late_wait_after_outage() {
    let mut gate = StreamGate::default();
    gate.enqueue(asking(1, Duration::ZERO));
    assert!(gate.process_queue(Duration::ZERO, GateCapacity::Outage(0)).is_empty());
    let later = Duration::from_millis(300);
    let crowded = GateCapacity::Streams { total: 9, overdue: 0 };
    assert!(gate.process_queue(later, crowded).is_empty());
    gate.enqueue(asking(2, later));
    assert_eq!(gate.process_queue(later, crowded), [GateDecision::Admit(2)]);
    let calm = GateCapacity::Streams { total: 9, overdue: 1 };
    assert_eq!(gate.process_queue(later, calm), [GateDecision::Admit(1)]);
}

/// Without an outage a stream that waited too long takes the next room there is.
#[test]
fn late_served_otherwise() {
    let mut gate = StreamGate::default();
    gate.enqueue(asking(1, Duration::ZERO));
    let crowded = GateCapacity::Streams { total: 1, overdue: 0 };
    let later = Duration::from_millis(300);
    assert_eq!(gate.process_queue(later, crowded), [GateDecision::Admit(1)]);
}

#[test]
fn late_room_from_passes() {
    let load = |streams| GroupLoad {
        ranks: RANKS,
        slots: SLOTS,
        streams,
        event_gap: Some(pass_time(streams, 1.3)),
    };
    assert!(overdue_capacity(&model(), &load(60), TARGET) > 0);
    assert_eq!(overdue_capacity(&model(), &load(140), TARGET), 0);
}

/// A stream that cannot end in time is refused at once, not at its deadline.
#[test]
fn hopeless_refused_early() {
    let mut gate = StreamGate::default();
    let mut now = Duration::ZERO;
    let mut refused_ages = Vec::new();
    let mut asked_at = Vec::new();
    // Twenty a second are let in, forty ask, for twelve seconds.
    for (step, request) in (0..480).enumerate() {
        now += Duration::from_millis(25);
        gate.enqueue(asking(request, now));
        asked_at.push(now);
        let room = u32::from(step % 2 == 0);
        for verdict in gate.process_queue(now, open_room(room)) {
            if let GateDecision::Refuse(refused, retry) = verdict {
                refused_ages.push(now - asked_at[refused as usize]);
                assert!(retry >= Duration::from_millis(400));
            }
        }
    }
    assert!(gate.waiting() < 160, "{} wait", gate.waiting());
    assert!(!refused_ages.is_empty());
    assert!(refused_ages.iter().all(|age| *age <= Duration::from_millis(4_025)));
}

#[test]
fn caller_left_forgotten() {
    let mut gate = StreamGate::default();
    gate.enqueue(asking(1, Duration::ZERO));
    gate.enqueue(asking(2, Duration::ZERO));
    gate.remove(1);
    assert_eq!(gate.process_queue(Duration::ZERO, open_room(5)), [GateDecision::Admit(2)]);
    assert_eq!(gate.waiting(), 0);
}

/// The group tips over without a gate: with demand that it could serve at rest,
/// a short spell of uneven load leaves every pass too slow for good.
#[test]
fn gate_prevents_tipping() {
    let (open, gated) = (late_share(false), late_share(true));
    assert!(open > 0.5, "without a gate {open} of passes are over the target");
    assert!(gated < open / 4.0, "with a gate {gated}, without {open}");
}

/// Plays 20 s of streams of 24 events against the pass model and returns the
/// part of passes after an uneven spell that are over the target.
fn late_share(gated: bool) -> f64 {
    let mut gate = StreamGate::default();
    let mut meter = EventGapMeter::default();
    let mut running: Vec<u32> = Vec::new();
    let mut now = Duration::ZERO;
    let mut arrivals = 0.0;
    let mut request = 0;
    let (mut late, mut passes) = (0, 0);
    while now < Duration::from_secs(20) {
        let uneven =
            if now > Duration::from_secs(3) && now < Duration::from_secs(7) { 3.0 } else { 1.65 };
        let pass = pass_time(running.len() as u32, uneven);
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
            gate.enqueue(asking(request, now));
        }
        let streams = running.len() as u32;
        let load = GroupLoad { ranks: RANKS, slots: SLOTS, streams, event_gap: meter.mean(now) };
        let limit = stream_limit(&model(), &load, TARGET).filter(|_| gated);
        let room = limit.map_or(u32::MAX, |limit| limit.saturating_sub(streams));
        for verdict in gate.process_queue(now, open_room(room)) {
            if matches!(verdict, GateDecision::Admit(_)) {
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

/// Streams that wait at several gateways are let in at the same moment, before
/// any gateway knows of the others'.
#[test]
fn gateways_share_room() {
    let limit = 48;
    let mut shares = [CapacityShare::default(); 4];
    let mut own = [0_u32; 4];
    let mut told = [0_u32; 4];
    for step in 0..60_u32 {
        let now = Duration::from_millis(10) * step;
        if step % 6 == 0 {
            told = own;
        }
        for gateway in 0..4 {
            let others: u32 = (0..4).filter(|other| *other != gateway).map(|o| told[o]).sum();
            let room = limit.min(limit - (own[gateway] + others).min(limit));
            for _ in 0..shares[gateway].allowance(now, room, 4) {
                shares[gateway].record_admission();
                own[gateway] += 1;
            }
        }
        let all: u32 = own.iter().sum();
        assert!(all <= limit + 4, "{all} after {now:?}");
    }
    assert!(own.iter().sum::<u32>() >= limit, "{own:?}");
}

fn open_room(total: u32) -> GateCapacity {
    GateCapacity::Streams { total, overdue: total }
}
