//! Guards against streams that are refused on a guess: for a rate that was measured while
//! nothing could be admitted, or although places are free. Streams that cannot be served any
//! more are refused early.

#[path = "support/engine.rs"]
mod engine;

use std::time::Duration;

use cuminpick::admission::EventGapMeter;
use cuminpick::admission::GateCapacity;
use cuminpick::admission::GateDecision;
use cuminpick::admission::GateRequest;
use cuminpick::admission::GroupLoad;
use cuminpick::admission::OnTimeDemand;
use cuminpick::admission::RefusalReason;
use cuminpick::admission::StreamGate;
use cuminpick::admission::overdue_capacity;
use cuminpick::admission::stream_limit;
use cuminpick::outage::OUTAGE_RETRY_AFTER;
use cuminpick::outage::OutageOutlook;
use cuminpick::rate::ArrivalRate;
use cuminpick::rate::LeaveRate;
use cuminpick::rate::RunningStreams;

use crate::engine::engine_model;

const TARGET: Duration = Duration::from_millis(120);
const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(10);
/// Longest wait after which a stream still begins on time.
const ON_TIME_WAIT: Duration = Duration::from_millis(225);
/// Longest wait of a stream for its start.
const MAX_WAIT: Duration = Duration::from_millis(1_400);

fn gate_request(request: u64, now: Duration) -> GateRequest {
    GateRequest {
        request,
        priority: 1,
        organisation: format!("org-{}", request % 3),
        on_time_until: now + ON_TIME_WAIT,
        latest_start: now + MAX_WAIT,
    }
}

/// Returns a stream whose caller was refused before.
fn returning_request(request: u64, now: Duration) -> GateRequest {
    GateRequest { on_time_until: now.saturating_sub(SECOND), ..gate_request(request, now) }
}

fn capacity_of(total: u32) -> GateCapacity {
    GateCapacity::Streams { total, overdue: total }
}

fn outage() -> GateCapacity {
    GateCapacity::Outage {
        probes: 0,
        outlook: OutageOutlook::Unknown,
        retry_after: OUTAGE_RETRY_AFTER,
    }
}

/// Returns the streams of a service that `rate` streams per second leave.
fn running_at(rate: f64) -> RunningStreams {
    let event_gap = Duration::from_millis(100);
    let mean_events = 240.0 / rate;
    RunningStreams { total: 24, own: 24, gateways: 1, mean_events, event_gap }
}

/// Returns a full gate whose service has run for more than a second.
fn settled_gate(now: Duration, rate: f64) -> StreamGate {
    let mut gate = StreamGate::default();
    gate.record_running(Some(running_at(rate)));
    gate.process_queue(now.saturating_sub(SECOND * 2), capacity_of(0));
    gate.process_queue(now, capacity_of(0));
    gate
}

fn refused(decisions: &[GateDecision]) -> Vec<u64> {
    let requests = decisions.iter().filter_map(|decision| match decision {
        GateDecision::Refuse(request, _) => Some(*request),
        GateDecision::Admit(_) => None,
    });
    requests.collect()
}

/// Guards against the refusal of all overdue streams one second after the start of a gateway,
/// with hundreds of places free: nothing could be admitted in that second.
#[test]
fn first_second() {
    let mut gate = StreamGate::default();
    let arrived = Duration::from_millis(300);
    for request in 0..10 {
        gate.enqueue(gate_request(request, arrived));
    }
    let returned_at = Duration::from_millis(960);
    let mut admitted = 0;
    for step in 0..80 {
        let now = arrived + STEP * step;
        if now < returned_at {
            assert!(gate.process_queue(now, outage()).is_empty());
            continue;
        }
        // The group has just returned, and takes one overdue stream in 40 ms from this gateway.
        let overdue = u32::from(step % 4 == 2);
        let decisions = gate.process_queue(now, GateCapacity::Streams { total: 230, overdue });
        assert!(refused(&decisions).is_empty(), "refused at {now:?} with 230 free places");
        admitted += decisions.len();
    }
    assert!(admitted >= 3, "{admitted} admitted");
}

/// A service is full, and 20 streams leave per second: of 100 that come back at once, those whose
/// turn comes before their latest start wait, and the others are refused on arrival.
#[test]
fn refused_on_arrival() {
    let now = SECOND * 10;
    let mut gate = settled_gate(now, 20.0);
    for request in 0..100 {
        gate.enqueue(returning_request(request, now));
    }
    let decisions = gate.process_queue(now, capacity_of(0));
    let count = refused(&decisions).len();
    assert!((60..=68).contains(&count), "{count} refused");
    let cause = gate.take_refusal_cause(refused(&decisions)[0]).unwrap();
    assert_eq!(cause.reason, RefusalReason::ExpectedWait);
    assert!(cause.expected_wait.unwrap() > MAX_WAIT && cause.rate.is_some());
    assert!(gate.take_refusal_cause(refused(&decisions)[0]).is_none());
}

/// Those that wait are served before their latest start, except for one of each organisation at
/// most, since the rate is not exactly the expected one.
#[test]
fn kept_are_served() {
    let mut now = SECOND * 10;
    let mut gate = settled_gate(now, 20.0);
    for request in 0..100 {
        gate.enqueue(returning_request(request, now));
    }
    let waiting = 100 - gate.process_queue(now, capacity_of(0)).len();
    let (mut admitted, mut refused_later) = (0, 0);
    for step in 1..200 {
        now += STEP;
        let decisions = gate.process_queue(now, capacity_of(u32::from(step % 4 == 0)));
        refused_later += refused(&decisions).len();
        admitted += decisions.len() - refused(&decisions).len();
    }
    assert!(refused_later <= 3, "{refused_later} of {waiting} refused later");
    assert_eq!(admitted + refused_later, waiting);
}

/// Streams that places are free for are not refused although they are held back; those beyond the
/// free places are, since their turn comes too late.
#[test]
fn free_places_count() {
    let returned_at = SECOND * 10;
    for (total, fewest, most) in [(60, 0, 0), (20, 1, 12), (0, 20, 30)] {
        let mut gate = settled_gate(returned_at - SECOND, 20.0);
        gate.process_queue(returned_at - STEP, outage());
        let held = GateCapacity::Streams { total, overdue: 0 };
        gate.process_queue(returned_at, held);
        let now = returned_at + SECOND;
        for request in 0..60 {
            gate.enqueue(returning_request(request, now));
        }
        let count = refused(&gate.process_queue(now, held)).len();
        assert!(count >= fewest && count <= most, "{count} refused with {total} free places");
    }
}

/// Until the service has run for a second, and while it runs nothing, the wait is not known:
/// streams wait until their latest start.
#[test]
fn unknown_rate() {
    for running in [None, Some(RunningStreams { total: 0, ..running_at(20.0) })] {
        let now = SECOND * 10;
        let mut gate = StreamGate::default();
        gate.record_running(running);
        gate.process_queue(now - SECOND * 2, capacity_of(0));
        for request in 0..100 {
            gate.enqueue(returning_request(request, now));
        }
        assert_eq!(gate.process_queue(now, capacity_of(0)), []);
        assert_eq!(gate.process_queue(now + MAX_WAIT - STEP, capacity_of(0)), []);
        assert_eq!(refused(&gate.process_queue(now + MAX_WAIT, capacity_of(0))).len(), 100);
    }
    let mut gate = StreamGate::default();
    gate.record_running(Some(running_at(1.0)));
    for request in 0..100 {
        gate.enqueue(returning_request(request, SECOND));
    }
    assert_eq!(gate.process_queue(SECOND, capacity_of(0)), []);
    assert_eq!(gate.process_queue(SECOND + SECOND / 2, capacity_of(0)), []);
}

/// Guards against an organisation with one stream that is refused for the queue of another one:
/// it would be served next.
#[test]
fn small_organisation() {
    let now = SECOND * 10;
    let mut gate = settled_gate(now, 10.0);
    for request in 0..100 {
        let organisation = "big".to_string();
        gate.enqueue(GateRequest { organisation, ..returning_request(request, now) });
    }
    let organisation = "small".to_string();
    gate.enqueue(GateRequest { organisation, ..returning_request(100, now) });
    let decisions = gate.process_queue(now, capacity_of(0));
    assert!(refused(&decisions).len() > 80);
    assert!(!refused(&decisions).contains(&100));
}

/// A stalled pass makes the measured event gap long for a moment; the streams of the next passes
/// are not refused for it.
#[test]
fn stalled_pass() {
    let now = SECOND * 10;
    let mut gate = settled_gate(now, 20.0);
    for request in 0..20 {
        gate.enqueue(returning_request(request, now));
    }
    let stalled = RunningStreams { event_gap: SECOND, ..running_at(20.0) };
    gate.record_running(Some(stalled));
    assert_eq!(gate.process_queue(now + STEP, capacity_of(0)), []);
    assert_eq!(gate.process_queue(now + STEP * 10, capacity_of(0)), []);
}

/// The rate is that at which running streams end, of which a gateway has an even share, or its
/// share of the streams if that is larger.
#[test]
fn leave_rate() {
    let streams = RunningStreams {
        total: 320,
        own: 10,
        gateways: 16,
        mean_events: 20.0,
        event_gap: Duration::from_millis(100),
    };
    assert_eq!(streams.leave_rate(), Some(10.0));
    assert_eq!(RunningStreams { own: 40, ..streams }.leave_rate(), Some(20.0));
    assert_eq!(RunningStreams { total: 0, own: 0, ..streams }.leave_rate(), None);
    let mut rate = LeaveRate::default();
    rate.record(SECOND, Some(10.0));
    assert_eq!(rate.expected_wait(SECOND, 20), None);
    rate.record(SECOND * 2, Some(5.0));
    assert_eq!(rate.expected_wait(SECOND * 2, 20), Some(SECOND * 4));
    rate.record(SECOND * 2, None);
    assert_eq!(rate.expected_wait(SECOND * 4, 20), None);
}

/// Callers that are refused return when there are free places: later ones after those that were
/// told to return before them, spread, and not within 400 ms.
#[test]
fn spread_returns() {
    let now = SECOND * 10;
    let mut gate = settled_gate(now, 20.0);
    assert_eq!(gate.retry_after(), Duration::from_millis(400));
    for request in 0..100 {
        gate.enqueue(returning_request(request * 37, now));
    }
    let decisions = gate.process_queue(now, capacity_of(0));
    let delays: Vec<Duration> = decisions
        .iter()
        .map(|decision| match decision {
            GateDecision::Refuse(_, retry_after) => *retry_after,
            GateDecision::Admit(request) => panic!("{request} was admitted"),
        })
        .collect();
    let shortest = *delays.iter().min().unwrap();
    let longest = *delays.iter().max().unwrap();
    assert!(shortest >= MAX_WAIT, "{shortest:?}");
    // All of them have found a place after 5 s.
    assert!(longest > SECOND * 4 && longest < SECOND * 6, "{longest:?}");
    let soon = delays.iter().filter(|delay| **delay < shortest + Duration::from_millis(500));
    assert!(soon.count() < 25, "{delays:?}");
    let later = now + SECOND * 8;
    gate.process_queue(later, capacity_of(0));
    gate.process_queue(later + SECOND * 8, capacity_of(0));
    assert_eq!(gate.retry_after(), Duration::from_millis(400), "{} wait", gate.waiting());
}

const RANKS: usize = 12;
const SLOTS: u32 = 144;
/// Events of a stream.
const EVENTS: u32 = 24;

fn pass_time(streams: u32, imbalance: f64) -> Duration {
    let per_rank = f64::from(streams) / RANKS as f64;
    Duration::from_secs_f64(4.0 * (0.004_55 + 0.000_905 * per_rank) * imbalance)
}

/// What becomes of the streams in the seconds after an outage.
#[derive(Debug, Default)]
struct ReturnResult {
    refused: usize,
    late_passes: f64,
    on_time: u32,
}

/// Simulates a group of ranks that returns after an outage of 1.3 s, with `rate` streams arriving
/// per second. At its limit the group serves 44. Overdue
/// streams get what is left by those on time, if `releases`.
fn play_return(rate: f64, releases: bool) -> ReturnResult {
    let model = engine_model();
    let mut gate = StreamGate::default();
    let mut meter = EventGapMeter::default();
    let mut running: Vec<u32> = Vec::new();
    let mut result = ReturnResult::default();
    let mut asked_at = Vec::new();
    let (mut now, mut arrivals) = (SECOND, 0.0);
    let returned_at = now + Duration::from_millis(1_300);
    let mut passes = 0;
    while now < returned_at + SECOND * 5 {
        let is_out = now < returned_at;
        let pass = if is_out { STEP } else { pass_time(running.len() as u32, 2.0) };
        now += pass;
        if !is_out {
            passes += 1;
            result.late_passes += f64::from(u32::from(pass > TARGET));
            running.iter().for_each(|_| meter.record(now, pass));
            running.iter_mut().for_each(|left| *left -= 1);
            running.retain(|left| *left > 0);
        }
        arrivals += pass.as_secs_f64() * rate;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            gate.enqueue(gate_request(asked_at.len() as u64, now));
            asked_at.push(now);
        }
        let streams = running.len() as u32;
        let event_gap = meter.mean(now);
        let load = GroupLoad { ranks: RANKS, slots: SLOTS, streams, event_gap };
        let limit = stream_limit(&model, &load, TARGET).unwrap();
        gate.record_running(event_gap.map(|event_gap| RunningStreams {
            total: streams,
            own: streams,
            gateways: 1,
            mean_events: f64::from(EVENTS),
            event_gap,
        }));
        let arrivals = gate.on_time_arrivals(now).filter(|_| releases);
        let demand = arrivals.map(|arrivals_per_second| OnTimeDemand {
            arrivals_per_second,
            mean_events: f64::from(EVENTS),
        });
        let capacity = match is_out {
            true => outage(),
            false => GateCapacity::Streams {
                total: limit.saturating_sub(streams),
                overdue: overdue_capacity(&model, &load, TARGET, demand),
            },
        };
        for decision in gate.process_queue(now, capacity) {
            match decision {
                GateDecision::Admit(request) => {
                    running.push(EVENTS);
                    let on_time = now <= asked_at[request as usize] + ON_TIME_WAIT;
                    result.on_time += u32::from(on_time);
                }
                GateDecision::Refuse(..) => result.refused += 1,
            }
        }
    }
    result.late_passes /= f64::from(passes);
    result
}

/// Guards against places that stay empty after a return while overdue streams wait until they
/// are refused, and against overdue streams that take the places of those on time. Passes stay
/// within the target.
#[test]
fn no_place_empty() {
    for rate in [30.0, 36.0, 38.0, 48.0, 60.0] {
        let held_back = play_return(rate, false);
        let released = play_return(rate, true);
        let results = format!("{rate}/s: {released:?}, held back: {held_back:?}");
        assert!(released.late_passes <= held_back.late_passes, "{results}");
        assert!(released.on_time * 20 >= held_back.on_time * 19, "{results}");
        let most_refused = if rate < 40.0 { held_back.refused / 2 } else { held_back.refused };
        assert!(released.refused <= most_refused, "{results}");
    }
}

/// The bound for overdue streams rises to a tenth below that for all streams, as far as those on
/// time need less.
#[test]
fn overdue_bound() {
    let model = engine_model();
    let event_gap = Some(pass_time(60, 1.6));
    let load = GroupLoad { ranks: RANKS, slots: SLOTS, streams: 60, event_gap };
    let capacity = |arrivals_per_second| {
        let demand = OnTimeDemand { arrivals_per_second, mean_events: f64::from(EVENTS) };
        overdue_capacity(&model, &load, TARGET, Some(demand))
    };
    let limit = stream_limit(&model, &load, TARGET).unwrap();
    let served = f64::from(limit) / (f64::from(EVENTS) * pass_time(limit, 1.6).as_secs_f64());
    let held_back = overdue_capacity(&model, &load, TARGET, None);
    assert_eq!([capacity(served), capacity(served * 2.0)], [held_back; 2]);
    let some = capacity(served * 0.9);
    assert!(some > held_back && some < capacity(served * 0.8), "{held_back} {some}");
    let highest = 60 + capacity(0.0);
    assert!(highest <= limit * 9 / 10 && highest + 2 > limit * 9 / 10, "{highest} of {limit}");
    assert_eq!(capacity(served * 0.8), capacity(0.0));
}

/// The rate of arrivals is right from its first second on, also after the start of a process.
#[test]
fn arrival_rate() {
    let mut rate = ArrivalRate::default();
    for step in 0..=3_000 {
        let now = SECOND * 7 + STEP * step;
        rate.record(now, usize::from(step % 5 == 0));
        let measured = rate.per_second(now);
        assert_eq!(measured.is_some(), step >= 100);
        assert!(measured.is_none_or(|per_second| (17.0..23.0).contains(&per_second)));
    }
}
