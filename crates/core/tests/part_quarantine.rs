//! Which prompt parts are quarantined because servers crash before they answer them.

use std::time::Duration;
use std::time::Instant;

use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::ids::ChoiceRng;
use cuminpick::ids::PartDigest;
use cuminpick::part_quarantine::MAX_TRIAL_HOLD;
use cuminpick::part_quarantine::PART_QUARANTINE_TIME;
use cuminpick::part_quarantine::PART_RETENTION;
use cuminpick::part_quarantine::PartChange;
use cuminpick::part_quarantine::PartCrash;
use cuminpick::part_quarantine::PartQuarantine;
use cuminpick::part_quarantine::PartStatus;
use cuminpick::part_quarantine::TRIAL_DELAY;
use cuminpick::part_trials::TrialClaims;
use cuminpick::part_trials::TrialContext;
use cuminpick::part_trials::TrialStakes;

/// A single gateway, which would lose twenty requests in an outage.
const CONTEXT: TrialContext = TrialContext { at_risk: 20.0, gateways: 1 };
const CRASHING: PartDigest = 1;
const COMMON: PartDigest = 2;

/// Time `seconds` after the start of the process.
fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(PART_RETENTION.as_secs_f64() + seconds)
}

/// A crash of server `server` at `seconds`, 100 ms after the request was sent.
fn crash(part: PartDigest, server: u64, seconds: f64) -> PartCrash {
    PartCrash {
        part,
        incarnation: ServerIncarnation { server: format!("s{server}"), started_ms: server },
        service: "model".to_string(),
        sent_at: at(seconds - 0.1),
        noticed_at: at(seconds),
        answered_before: false,
        held_by_few: false,
        observed: Duration::ZERO,
    }
}

/// The same for a part that few of the other servers had.
fn rare_crash(part: PartDigest, server: u64, seconds: f64) -> PartCrash {
    let observed = Duration::from_secs(1);
    PartCrash { held_by_few: true, observed, ..crash(part, server, seconds) }
}

fn record(
    quarantine: &mut PartQuarantine,
    parts: &[PartDigest],
    server: u64,
    seconds: f64,
) -> Vec<PartChange> {
    let changes = parts
        .iter()
        .map(|part| quarantine.record_crash(at(seconds), crash(*part, server, seconds), true));
    changes.collect()
}

fn status(quarantine: &PartQuarantine, seconds: f64, parts: &[PartDigest]) -> PartStatus {
    quarantine.status(at(seconds), parts, CONTEXT)
}

fn is_quarantined(quarantine: &PartQuarantine, seconds: f64, parts: &[PartDigest]) -> bool {
    matches!(status(quarantine, seconds, parts), PartStatus::Quarantined(_))
}

fn trial_from(quarantine: &PartQuarantine, seconds: f64, parts: &[PartDigest]) -> Option<Duration> {
    match status(quarantine, seconds, parts) {
        PartStatus::Suspected { trial_from, .. } => trial_from,
        other => panic!("the part is not suspected: {other:?}"),
    }
}

/// Guards against a part that crashes server after server: a part that was never answered is
/// quarantined at the second crash, whatever other parts its requests hold.
#[test]
fn second_crash() {
    let mut quarantine = PartQuarantine::default();
    assert_eq!(record(&mut quarantine, &[CRASHING, 7], 1, 10.0), [PartChange::Added; 2]);
    assert!(!is_quarantined(&quarantine, 11.0, &[CRASHING]));
    assert_eq!(record(&mut quarantine, &[CRASHING, 8], 2, 20.0)[0], PartChange::Quarantined);
    assert!(is_quarantined(&quarantine, 21.0, &[9, CRASHING]));
    assert!(!is_quarantined(&quarantine, 21.0, &[7]) && !is_quarantined(&quarantine, 21.0, &[8]));
}

/// Guards against quarantining a part that most sound requests share: it was answered before
/// and a quarantined part explains the crashes, although it was at all but one of them.
#[test]
fn common_part() {
    let mut quarantine = PartQuarantine::default();
    quarantine.record_answer(COMMON, at(9.0));
    record(&mut quarantine, &[COMMON, CRASHING], 1, 10.0);
    assert_eq!(status(&quarantine, 10.5, &[COMMON]), PartStatus::Allowed);
    quarantine.record_answer(COMMON, at(14.0));
    record(&mut quarantine, &[COMMON, CRASHING], 2, 20.0);
    for server in 3..6 {
        record(&mut quarantine, &[COMMON, CRASHING], server, 10.0 * server as f64);
        assert_eq!(status(&quarantine, 60.0, &[COMMON]), PartStatus::Allowed);
    }
    assert!(is_quarantined(&quarantine, 60.0, &[COMMON, CRASHING]));
}

/// A part that was answered before may crash servers from some time on: three crashes without
/// an answer in between quarantine it, and an answer clears it.
#[test]
fn answered_part() {
    let mut quarantine = PartQuarantine::default();
    quarantine.record_answer(CRASHING, at(1.0));
    record(&mut quarantine, &[CRASHING], 1, 10.0);
    quarantine.record_answer(CRASHING, at(11.0));
    for server in 2..4 {
        record(&mut quarantine, &[CRASHING], server, 10.0 * server as f64);
    }
    assert_eq!(trial_from(&quarantine, 31.0, &[CRASHING]), None);
    assert_eq!(record(&mut quarantine, &[CRASHING], 4, 40.0), [PartChange::Quarantined]);
    let clearance = quarantine.record_answer(CRASHING, at(41.0));
    assert!(clearance.was_suspected && clearance.voided == 3);
    assert_eq!(status(&quarantine, 42.0, &[CRASHING]), PartStatus::Allowed);
}

/// Guards against quarantining sound parts when a zone is lost: crashes of one moment count
/// once, and parts that were at some of the servers only are tried early.
#[test]
fn lost_zone() {
    let mut quarantine = PartQuarantine::default();
    for server in 1..5 {
        record(&mut quarantine, &[3, 10 + server], server, 10.0 + 0.02 * server as f64);
    }
    assert!(!is_quarantined(&quarantine, 11.0, &[3]));
    for server in 1..5 {
        let trial_from = trial_from(&quarantine, 11.0, &[10 + server]).unwrap();
        assert_eq!(trial_from, at(10.0 + 0.02 * server as f64) + TRIAL_DELAY);
    }
}

/// Guards against a trial after a part that many requests hold has crashed several servers
/// at a time: it was at each of them, but at few others.
#[test]
fn simultaneous_crashes() {
    let mut quarantine = PartQuarantine::default();
    quarantine.record_answer(COMMON, at(9.0));
    for (server, change) in [(1, PartChange::Added), (2, PartChange::Quarantined)] {
        let seconds = 10.0 + 0.02 * server as f64;
        let common = crash(COMMON, server, seconds);
        assert_eq!(quarantine.record_crash(at(seconds), common, true), PartChange::Added);
        let rare = rare_crash(CRASHING, server, seconds);
        assert_eq!(quarantine.record_crash(at(seconds), rare, true), change);
    }
    assert!(is_quarantined(&quarantine, 10.1, &[COMMON, CRASHING]));
    assert_eq!(status(&quarantine, 10.1, &[COMMON]), PartStatus::Allowed);
}

/// Crashes at a time have another cause if a part was at some of the servers only, whichever
/// crash is reported first, or if most servers had it.
#[test]
fn partial_crashes() {
    for order in [[1, 2, 3], [3, 1, 2]] {
        let mut quarantine = PartQuarantine::default();
        for server in order {
            let part = if server == 3 { 7 } else { CRASHING };
            let crash = rare_crash(part, server, 10.0);
            quarantine.record_crash(at(10.0), crash.clone(), true);
            quarantine.withdraw_unsupported(&crash);
        }
        assert!(!is_quarantined(&quarantine, 10.1, &[CRASHING]), "{order:?}");
    }
    let mut quarantine = PartQuarantine::default();
    for server in 1..5 {
        record(&mut quarantine, &[COMMON], server, 10.0);
    }
    assert!(!is_quarantined(&quarantine, 10.1, &[COMMON]));
}

/// Guards against taking the parts of all requests for rare ones when gateways have just
/// started: it takes a second of answers until a part without one is known to be rare.
#[test]
fn first_answers() {
    let mut quarantine = PartQuarantine::default();
    assert_eq!(quarantine.observed_time(at(100.0)), Duration::ZERO);
    quarantine.record_answer(7, at(10.0));
    quarantine.record_answer(8, at(10.5));
    assert_eq!(quarantine.observed_time(at(10.9)), Duration::from_millis(900));
    for (observed_ms, quarantined) in [(900, false), (1_000, true)] {
        let observed = Duration::from_millis(observed_ms);
        let mut quarantine = PartQuarantine::default();
        for server in 1..=2 {
            let crash = PartCrash { observed, ..rare_crash(COMMON, server, 10.9) };
            quarantine.record_crash(at(10.9), crash, true);
        }
        assert_eq!(is_quarantined(&quarantine, 11.0, &[COMMON]), quarantined);
    }
}

/// Two new parts that were at the same crashes: requests with both are refused, and one with
/// a single part is tried to tell which of them is sound.
#[test]
fn rival_parts() {
    let mut quarantine = PartQuarantine::default();
    record(&mut quarantine, &[CRASHING, 3], 1, 10.0);
    record(&mut quarantine, &[CRASHING, 3], 2, 20.0);
    assert!(is_quarantined(&quarantine, 21.0, &[CRASHING, 3]));
    for part in [CRASHING, 3] {
        assert!(matches!(status(&quarantine, 21.0, &[part]), PartStatus::Suspected { .. }));
    }
    let mut crashed = quarantine.clone();
    quarantine.record_answer(3, at(22.0));
    assert_eq!(status(&quarantine, 23.0, &[3]), PartStatus::Allowed);
    assert!(is_quarantined(&quarantine, 23.0, &[CRASHING]));
    record(&mut crashed, &[CRASHING], 3, 30.0);
    assert!(is_quarantined(&crashed, 31.0, &[CRASHING]));
    assert!(matches!(status(&crashed, 31.0, &[3]), PartStatus::Suspected { .. }));
}

/// Two parts that crash servers by themselves are both found.
#[test]
fn two_parts() {
    let mut quarantine = PartQuarantine::default();
    for round in 0..2 {
        record(&mut quarantine, &[CRASHING], round + 1, 10.0 * (round + 1) as f64);
        record(&mut quarantine, &[3], round + 11, 10.0 * (round + 1) as f64 + 5.0);
    }
    assert!(is_quarantined(&quarantine, 30.0, &[CRASHING]));
    assert!(is_quarantined(&quarantine, 30.0, &[3]));
}

/// A trial waits until the refused requests outweigh the outage that it risks, so that a part
/// of many requests is tried soon and one of few requests does not cost all callers.
#[test]
fn weighed_trial() {
    let mut quarantine = PartQuarantine::default();
    record(&mut quarantine, &[CRASHING], 1, 10.0);
    assert_eq!(trial_from(&quarantine, 11.0, &[CRASHING]), Some(at(10.0) + MAX_TRIAL_HOLD));
    for digest in 0..9 {
        quarantine.record_refusal(&[CRASHING], digest, false);
        quarantine.record_refusal(&[CRASHING], digest, false);
    }
    assert_eq!(trial_from(&quarantine, 11.0, &[CRASHING]), Some(at(10.0) + MAX_TRIAL_HOLD));
    quarantine.record_refusal(&[CRASHING], 9, false);
    assert_eq!(trial_from(&quarantine, 11.0, &[CRASHING]), Some(at(10.0) + TRIAL_DELAY));
}

/// Plays `gateways` gateways with unequal loads, which together refuse `refused_per_s`
/// requests a second for a part after its first crash and would lose `at_risk` requests in
/// an outage; each caller returns `returns` times. Returns after how many seconds the first of
/// them tries the part.
fn first_trial(gateways: usize, refused_per_s: f64, returns: usize, at_risk: f64) -> Option<u32> {
    let mut rng = ChoiceRng::new(gateways as u64);
    let weight = |index: usize| (0.2 + 1.6 * (index % 2) as f64) / gateways as f64;
    let context = |index: usize| TrialContext { at_risk: at_risk * weight(index), gateways };
    let mut nodes = vec![PartQuarantine::default(); gateways];
    for node in &mut nodes {
        record(node, &[CRASHING], 1, 10.0);
    }
    let mut digest = 0;
    for second in 0..50 {
        let now = at(11.5 + f64::from(second));
        for (index, node) in nodes.iter_mut().enumerate() {
            let trial_from = match node.status(now, &[CRASHING], context(index)) {
                PartStatus::Suspected { trial_from, .. } => trial_from,
                other => panic!("the part is not suspected: {other:?}"),
            };
            if trial_from.is_none_or(|from| from <= now) {
                return Some(second);
            }
        }
        for _ in 0..refused_per_s as usize {
            digest += 1;
            nodes[rng.below(gateways)].record_refusal(&[CRASHING], digest, false);
            for _ in 0..returns {
                nodes[rng.below(gateways)].record_refusal(&[CRASHING], digest, true);
            }
        }
        // Each gateway reports to a random one twice a second.
        for index in 0..2 * gateways {
            let from = index % gateways;
            let stakes = TrialStakes {
                refused: nodes[from].refused_count(CRASHING) as f64,
                at_risk: context(from).at_risk,
            };
            nodes[rng.below(gateways)].record_stakes(CRASHING, &from.to_string(), stakes);
        }
    }
    None
}

/// Guards against trials that come early behind many gateways, each of which sees few of the
/// requests: they add up what they refused and what they risk.
#[test]
fn summed_stakes() {
    for gateways in [4, 53, 350] {
        assert_eq!(first_trial(gateways, 7.0, 0, 1_200.0), None, "{gateways} gateways");
    }
    for gateways in [4, 53] {
        let seconds = first_trial(gateways, 40.0, 0, 800.0).unwrap();
        assert!((10..=25).contains(&seconds), "{gateways} gateways: {seconds} s");
    }
}

/// Guards against trials that crash a further server although the part had many requests and no
/// answer long after others had: it was hardly new just when the server crashed. After a few
/// seconds nobody knows yet, and the refused requests decide.
#[test]
fn popular_part() {
    let first_trial = |observed: f64| {
        let mut quarantine = PartQuarantine::default();
        let observed = Duration::from_secs_f64(observed);
        let crash = PartCrash { observed, ..crash(CRASHING, 1, 10.0) };
        quarantine.record_crash(at(10.0), crash, true);
        (0..600).find(|step| {
            for number in 0..10 {
                quarantine.record_refusal(&[CRASHING], step * 10 + number, false);
            }
            let now = 10.0 + (*step + 1) as f64;
            let context = TrialContext { at_risk: 200.0, gateways: 1 };
            match quarantine.status(at(now), &[CRASHING], context) {
                PartStatus::Suspected { trial_from, .. } => {
                    trial_from.is_some_and(|from| from <= at(now))
                }
                other => panic!("the part is not suspected: {other:?}"),
            }
        })
    };
    assert_eq!(first_trial(0.5), Some(9));
    assert_eq!(first_trial(1.2), Some(19));
    assert_eq!(first_trial(3_600.0), Some(59));
}

/// Guards against trials that come early because callers return to other gateways after a
/// refusal, each of which counts them again.
#[test]
fn returning_callers() {
    for gateways in [4, 53, 350] {
        assert_eq!(first_trial(gateways, 7.0, 3, 1_200.0), None, "{gateways} gateways");
    }
}

/// One request at a time tries a part; of two gateways that claim it at once, the one whose
/// name sorts first does.
#[test]
fn single_trial() {
    let mut trials = TrialClaims::default();
    assert!(trials.try_claim(at(12.0), &[CRASHING], "b"));
    assert!(!trials.try_claim(at(12.1), &[CRASHING], "b"));
    trials.record_claim(at(12.1), CRASHING, "c");
    assert!(trials.holds_trials(&[CRASHING], "b"));
    trials.record_claim(at(12.1), CRASHING, "a");
    assert!(!trials.holds_trials(&[CRASHING], "b"));
    trials.release_trials(&[CRASHING], "b");
    assert!(!trials.try_claim(at(12.2), &[CRASHING], "b"));
    trials.release_trials(&[CRASHING], "a");
    assert!(trials.try_claim(at(12.3), &[CRASHING], "b"));
}

/// Reports arrive in any order and more than once, also those of an earlier process; the
/// sender of one about a part that was answered is told so.
#[test]
fn repeated_reports() {
    let mut quarantine = PartQuarantine::default();
    let [first, second] = [crash(CRASHING, 1, -30.0), crash(CRASHING, 2, -20.0)];
    assert_eq!(quarantine.record_crash(at(1.0), second, false), PartChange::Added);
    assert_eq!(quarantine.record_crash(at(1.0), first.clone(), false), PartChange::Quarantined);
    assert_eq!(quarantine.record_crash(at(1.0), first.clone(), false), PartChange::Unchanged);
    quarantine.record_answer(CRASHING, at(2.0));
    assert_eq!(quarantine.record_crash(at(3.0), first, false), PartChange::AnsweredSince);
    let later = crash(CRASHING, 3, 4.0);
    assert_eq!(quarantine.record_crash(at(4.0), later, false), PartChange::AddedToAnswered);
}

/// A quarantined part is tried again after an hour; one more crash quarantines it again.
#[test]
fn repaired_model() {
    let mut quarantine = PartQuarantine::default();
    record(&mut quarantine, &[CRASHING], 1, 10.0);
    record(&mut quarantine, &[CRASHING], 2, 20.0);
    let later = 21.0 + PART_QUARANTINE_TIME.as_secs_f64();
    assert!(matches!(status(&quarantine, later, &[CRASHING]), PartStatus::Suspected { .. }));
    record(&mut quarantine, &[CRASHING], 3, later);
    assert!(is_quarantined(&quarantine, later + 1.0, &[CRASHING]));
}

/// A caller that crashes servers with ever new parts does not displace quarantined ones.
#[test]
fn flooded_suspects() {
    let mut quarantine = PartQuarantine::default();
    record(&mut quarantine, &[CRASHING], 1, 10.0);
    record(&mut quarantine, &[CRASHING], 2, 20.0);
    for part in 0..5_000 {
        record(&mut quarantine, &[100 + part], 3, 30.0);
    }
    assert!(quarantine.suspect_count() <= 1_024 && quarantine.evicted_count() > 3_900);
    assert!(is_quarantined(&quarantine, 31.0, &[CRASHING]));
}

/// Returns the shortest of a few times that it takes to apply the crashes of parts that three servers
/// each crashed with, as another gateway's record holds them.
fn application_time(parts: u64) -> Duration {
    let runs = (0..3).map(|_| {
        let started = Instant::now();
        let mut quarantine = PartQuarantine::default();
        for number in 0..parts * 3 {
            let seconds = 10.0 + number as f64 / 1_000.0;
            let mut crash = rare_crash(100 + number / 3, number, seconds);
            crash.sent_at = crash.noticed_at;
            quarantine.record_crash(at(20.0), crash.clone(), false);
            quarantine.withdraw_unsupported(&crash);
        }
        assert_eq!(quarantine.suspect_count() as u64, parts);
        started.elapsed()
    });
    runs.min().unwrap()
}

/// Guards against a record of crashes that stops a gateway: the time for a crash grew with the square of
/// the number of quarantined parts.
#[test]
fn many_crashes() {
    let (few, many) = (application_time(100), application_time(500));
    assert!(many < few * 50, "{few:?} for 300 crashes, {many:?} for 1,500");
}
