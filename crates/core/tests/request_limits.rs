//! Limits that servers state on the requests of all gateways together.

use std::time::Duration;

use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::ids::ChoiceRng;
use cuminpick::request_limits::LimitFilter;
use cuminpick::request_limits::LimitStatement;
use cuminpick::request_limits::MAX_LIMITS;
use cuminpick::request_limits::RequestLimits;

/// Window over which the platform counts the requests of a server.
const WINDOW: f64 = 4.0;
const SERVER: &str = "s";
const SECOND: Duration = Duration::from_secs(1);

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn statement(started_ms: u64, per_second: Option<f64>, stated_at: Duration) -> LimitStatement {
    LimitStatement {
        incarnation: incarnation(started_ms),
        per_second,
        asked_at: stated_at,
        stated_at,
    }
}

fn is_open(limits: &RequestLimits, now: Duration, unlimited_only: bool) -> bool {
    LimitFilter { limits, unlimited_only }.admits(now, SERVER, 5)
}

fn incarnation(started_ms: u64) -> ServerIncarnation {
    ServerIncarnation { server: SERVER.to_string(), started_ms }
}

/// Returns the most of `times`, which are in order, that lie in one window.
fn busiest_window(times: &[f64]) -> usize {
    let in_window = |(index, start): (usize, &f64)| {
        times[index..].iter().take_while(|time| **time < start + WINDOW).count()
    };
    times.iter().enumerate().map(in_window).max().unwrap_or(0)
}

/// Plays gateways that want `loads` requests per second of one server for half a minute, and
/// returns when each gateway got a permit. `loss` is the part of the datagrams that is lost.
fn play(limit: f64, loads: &[f64], loss: f64, seed: u64) -> Vec<Vec<f64>> {
    let names: Vec<String> = (0..loads.len()).map(|index| format!("edge-{index}")).collect();
    let mut gateways = vec![RequestLimits::default(); loads.len()];
    for limits in &mut gateways {
        limits.record_statement(&statement(5, Some(limit), Duration::ZERO));
    }
    let mut rng = ChoiceRng::new(seed);
    let mut happens = |chance: f64| (rng.next_bits() as f64 / u64::MAX as f64) < chance;
    let mut permits = vec![Vec::new(); loads.len()];
    for step in 0..30_000 {
        let now = at(f64::from(step) / 1e3);
        for (index, load) in loads.iter().enumerate() {
            if !happens(load / 1e3) || !is_open(&gateways[index], now, false) {
                continue;
            }
            let issuer = gateways[index].issuer(now, SERVER, names.iter().map(String::as_str));
            let issuer = names.iter().position(|name| Some(name.as_str()) == issuer).unwrap();
            let is_remote = issuer != index;
            if is_remote && happens(loss) {
                gateways[index].record_silence(now, SERVER, &names[issuer]);
                continue;
            }
            let issued = gateways[issuer].issue_permit(now, SERVER, 1.0);
            if is_remote && happens(loss) {
                gateways[index].record_silence(now, SERVER, &names[issuer]);
                continue;
            }
            if is_remote {
                gateways[index].record_reply(&names[issuer]);
            }
            match issued {
                Ok(()) => permits[index].push(now.as_secs_f64()),
                Err(wait) => gateways[index].close(now, SERVER, wait),
            }
        }
    }
    permits
}

/// Returns unequal loads of `gateways` gateways that want 200 requests a second together.
fn unequal_loads(gateways: usize) -> Vec<f64> {
    let load = |index| 200.0 / gateways as f64 * (0.2 + 1.6 * (index % 2) as f64);
    (0..gateways).map(load).collect()
}

/// Guards against a limit that each gateway keeps for itself and all together break: the sum
/// over 4, 53 and 350 gateways stays within what the platform allows, and most of the limit
/// is used.
#[test]
fn summed_gateways() {
    for gateways in [4, 53, 350] {
        for limit in [0.5, 2.2, 6.0, 40.0] {
            let mut times = play(limit, &unequal_loads(gateways), 0.0, 7).concat();
            times.sort_by(f64::total_cmp);
            let allowed = 1.5 * limit * WINDOW + 5.0;
            let most = busiest_window(&times);
            assert!(most as f64 <= allowed, "{gateways} gateways, {limit} a second: {most}");
            assert!(times.len() as f64 >= 0.7 * limit * 30.0, "{gateways}, {limit}: {times:?}");
        }
    }
}

/// Guards against two gateways that issue the permits of one server at the same time: lost
/// datagrams must not let the others take the issuer for silent.
#[test]
fn lost_datagrams() {
    for gateways in [4, 53, 350] {
        for limit in [0.5, 2.2, 6.0, 40.0] {
            let mut times = play(limit, &unequal_loads(gateways), 0.15, 11).concat();
            times.sort_by(f64::total_cmp);
            let allowed = 1.5 * limit * WINDOW + 5.0;
            let most = busiest_window(&times);
            assert!(most as f64 <= allowed, "{gateways} gateways, {limit} a second: {most}");
            assert!(times.len() as f64 >= 0.5 * limit * 30.0, "{gateways}, {limit}: {times:?}");
        }
    }
}

/// A gateway with all the load gets all permits, whoever issues them.
#[test]
fn single_load() {
    for loaded in [0, 7, 52] {
        let mut loads = vec![0.0; 53];
        loads[loaded] = 50.0;
        let permits = play(6.0, &loads, 0.0, 3);
        assert!(permits[loaded].len() as f64 >= 0.7 * 6.0 * 30.0, "{}", permits[loaded].len());
    }
}

/// The limit is what the latest answer states: it falls, rises and ends; an older answer, or
/// one of an earlier incarnation, changes nothing.
#[test]
fn changed_limit() {
    let mut limits = RequestLimits::default();
    assert!(!limits.record_statement(&statement(5, None, SECOND)));
    assert!(limits.record_statement(&statement(5, Some(2.0), 2 * SECOND)));
    assert!(!limits.record_statement(&statement(5, Some(2.0), 3 * SECOND)));
    assert!(!limits.record_statement(&statement(5, None, SECOND)));
    assert!(limits.record_statement(&statement(5, Some(9.0), 4 * SECOND)));
    assert!(!limits.record_statement(&statement(4, None, 5 * SECOND)));
    limits.close(4 * SECOND, SERVER, SECOND);
    assert!(!is_open(&limits, 4 * SECOND, false) && is_open(&limits, 5 * SECOND, false));
    assert!(!is_open(&limits, 5 * SECOND, true));
    assert!(limits.record_statement(&statement(6, None, 5 * SECOND)));
    assert!(is_open(&limits, 5 * SECOND, true) && limits.statement(&incarnation(6)).is_none());
}

/// Guards against a limit that is lifted by an answer from before: one that is delayed, or the
/// head of a stream, states none because it was made before the limit was.
#[test]
fn delayed_answers() {
    let mut limits = RequestLimits::default();
    limits.record_statement(&statement(5, Some(2.0), 3 * SECOND));
    let delayed = LimitStatement { asked_at: 2 * SECOND, ..statement(5, None, 4 * SECOND) };
    assert!(!limits.record_statement(&delayed));
    assert!(limits.statement(&incarnation(5)).is_some());
    let later = LimitStatement { asked_at: 3 * SECOND, ..statement(5, None, 4 * SECOND) };
    assert!(limits.record_statement(&later));
    assert!(limits.statement(&incarnation(5)).is_none());
}

/// Guards against a limit that outlives its incarnation: the server that starts again under the
/// same id gets requests at once.
#[test]
fn later_incarnation() {
    let mut limits = RequestLimits::default();
    limits.record_statement(&statement(4, Some(0.0), SECOND));
    limits.close(SECOND, SERVER, 4 * SECOND);
    assert!(limits.statement(&incarnation(5)).is_none());
    assert!(is_open(&limits, 2 * SECOND, true));
}

/// Guards against limits that are no longer heeded once many servers stated one: the oldest are
/// dropped, and those that nobody states any more.
#[test]
fn many_limits() {
    let mut limits = RequestLimits::default();
    for index in 0..=MAX_LIMITS {
        let server = format!("s{index}");
        let incarnation = ServerIncarnation { server, started_ms: 1 };
        let stated_at = at(index as f64 / 1e3);
        assert!(limits.record_statement(&LimitStatement {
            incarnation,
            ..statement(1, Some(1.0), stated_at)
        }));
    }
    assert_eq!(limits.limited_count(), MAX_LIMITS);
    limits.sweep(60 * SECOND);
    assert_eq!(limits.limited_count(), MAX_LIMITS);
    limits.sweep(3_600 * SECOND);
    assert_eq!(limits.limited_count(), 0);
}

/// A server that states zero still gets a request every few seconds, since only an answer
/// shows that it takes more.
#[test]
fn zero_limit() {
    let mut limits = RequestLimits::default();
    limits.record_statement(&statement(5, Some(0.0), Duration::ZERO));
    let permits = (0..40_000)
        .filter(|step| limits.issue_permit(at(f64::from(*step) / 1e3), SERVER, 1.0).is_ok());
    assert!((5..=12).contains(&permits.count()));
}

/// An issuer that stays silent is replaced by the next one, until it replies again.
#[test]
fn silent_issuer() {
    let mut limits = RequestLimits::default();
    limits.record_statement(&statement(5, Some(4.0), SECOND));
    let names = ["a", "b", "c"];
    let issuer = |limits: &RequestLimits, now| limits.issuer(now, SERVER, names.into_iter());
    let first = issuer(&limits, SECOND).unwrap();
    let mut now = SECOND;
    while !limits.record_silence(now, SERVER, first) {
        assert!(now < 3 * SECOND);
        assert_eq!(issuer(&limits, now), Some(first));
        assert!(!is_open(&limits, now, false));
        now += SECOND / 8;
    }
    assert!(now >= 2 * SECOND);
    assert_ne!(issuer(&limits, now), Some(first));
    assert_eq!(issuer(&limits, now + SECOND), Some(first));
    assert!(limits.record_silence(now + SECOND, SERVER, first));
    limits.record_reply(first);
    assert_eq!(issuer(&limits, now + SECOND), Some(first));
    assert!(!limits.record_silence(now + SECOND, SERVER, first));
}

/// A new issuer has no permits to begin with.
#[test]
fn new_issuer() {
    let mut limits = RequestLimits::default();
    limits.record_statement(&statement(5, Some(4.0), SECOND));
    assert!(limits.issue_permit(SECOND, SERVER, 1.0).is_err());
    assert!(limits.issue_permit(2 * SECOND, SERVER, 1.0).is_ok());
}
