//! Drills `zone`, `vanish` and `overload`: service quality under faults and overload,
//! compared with a baseline of round robin without admission control.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cuminpick::ids::ChoiceRng;
use eyre::eyre;
use serde_json::Value;
use serde_json::json;

use crate::drills::balancer::Balancer;
use crate::drills::evidence::FleetEvidence;
use crate::drills::faults::FaultRecord;
use crate::drills::faults::FaultRunner;
use crate::drills::print_progress;
use crate::drills::scenario::PlannedCall;
use crate::drills::scenario::Scenario;
use crate::drills::scenario::TimedFault;
use crate::drills::traffic::CallRecord;
use crate::drills::traffic::TargetChoice;
use crate::drills::traffic::count;
use crate::drills::traffic::quantile;
use crate::drills::traffic::send_planned;
use crate::fleet::Fleet;
use crate::fleet::ServerPlan;
use crate::load::CallOutcome;

/// Results of a run.
struct RunResult {
    records: Vec<CallRecord>,
    faults: FaultRecord,
    evidence: FleetEvidence,
}

/// Runs the scenario through the entries, then through the baseline, whose metrics are under
/// `baseline`.
pub fn run(scenario: &Scenario, name: &str, seed: u64, length: Duration) -> eyre::Result<Value> {
    print_progress("starting processes");
    let fleet = scenario.start_fleet(name)?;
    let balancer = Balancer::start(&fleet)?;
    let result = run_load(scenario, &fleet, balancer.target_choice(), seed, length)?;
    drop(balancer);
    drop(fleet);
    let mut metrics = compute_metrics(scenario, &result, length);
    print_progress("the same load with round robin and no admission control");
    let fleet = scenario.start_backends(&format!("{name}-baseline"))?;
    let out_zones = Arc::new(Mutex::new(Vec::new()));
    let choice = round_robin_choice(&fleet, Arc::clone(&out_zones));
    let baseline = run_baseline(scenario, &fleet, choice, &out_zones, seed, length)?;
    metrics["baseline"] = compute_metrics(scenario, &baseline, length);
    Ok(metrics)
}

fn plan_load(scenario: &Scenario, seed: u64, length: Duration) -> Vec<PlannedCall> {
    let mut rng = ChoiceRng::new(seed);
    let warm_up = Duration::from_secs_f64(scenario.warm_up);
    scenario.load.iter().flat_map(|shape| shape.plan(warm_up, length, &mut rng)).collect()
}

fn run_load(
    scenario: &Scenario,
    fleet: &Fleet,
    choice: TargetChoice,
    seed: u64,
    length: Duration,
) -> eyre::Result<RunResult> {
    let planned = plan_load(scenario, seed, length);
    print_progress(&format!("{} requests", planned.len()));
    let runner = FaultRunner::new(fleet, seed);
    let start = Instant::now() + Duration::from_secs_f64(scenario.warm_up);
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let records = thread::scope(|scope| {
        let faults = scope.spawn(|| runner.run(&scenario.fault, start));
        let records = runtime.block_on(send_planned(planned, choice));
        faults.join().map_err(|_| eyre!("the thread that runs the faults panicked"))??;
        Ok::<_, eyre::Report>(records)
    })?;
    thread::sleep(Duration::from_millis(500));
    Ok(RunResult { records, faults: runner.finish(), evidence: FleetEvidence::read(fleet) })
}

/// Zones that operators have taken out of service.
type OutZones = Arc<Mutex<Vec<String>>>;

/// Returns a choice that sends to the stand-in servers in turn, except to those in zones that
/// operators took out of service.
fn round_robin_choice(fleet: &Fleet, out_zones: OutZones) -> TargetChoice {
    let servers: Vec<ServerPlan> = fleet.servers.clone();
    Arc::new(move |number, call| {
        let kind = if call.tokens.is_some() { "engine" } else { "booking" };
        let out_zones = out_zones.lock().map(|zones| zones.clone()).unwrap_or_default();
        let available: Vec<&ServerPlan> = servers
            .iter()
            .filter(|server| server.kind == kind && !out_zones.contains(&server.zone))
            .collect();
        available[number % available.len()].backend_address
    })
}

/// Runs the load through the baseline, which learns of zones that operators take out or bring
/// back at once, and of no other fault.
fn run_baseline(
    scenario: &Scenario,
    fleet: &Fleet,
    choice: TargetChoice,
    out_zones: &OutZones,
    seed: u64,
    length: Duration,
) -> eyre::Result<RunResult> {
    let planned = plan_load(scenario, seed, length);
    let start = Instant::now() + Duration::from_secs_f64(scenario.warm_up);
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let records = thread::scope(|scope| {
        let faults = scope.spawn(|| {
            scenario
                .fault
                .iter()
                .try_for_each(|fault| run_baseline_fault(fleet, out_zones, fault, start))
        });
        let records = runtime.block_on(send_planned(planned, choice));
        faults.join().map_err(|_| eyre!("the thread that runs the faults panicked"))??;
        Ok::<_, eyre::Report>(records)
    })?;
    let faults = FaultRecord::default();
    Ok(RunResult { records, faults, evidence: FleetEvidence::read(fleet) })
}

/// Waits until a fault is due and applies it, if it concerns a zone, to the baseline.
fn run_baseline_fault(
    fleet: &Fleet,
    out_zones: &OutZones,
    fault: &TimedFault,
    start: Instant,
) -> eyre::Result<()> {
    let due = start + Duration::from_secs_f64(fault.at);
    thread::sleep(due.saturating_duration_since(Instant::now()));
    let zone = &fault.target;
    let servers = fleet.servers.iter().filter(|server| server.zone == *zone);
    match fault.action.as_str() {
        "zone-out" => out_zones
            .lock()
            .map_err(|_| eyre!("a thread panicked while it changed the zones that are out"))?
            .push(zone.clone()),
        "zone-in" => out_zones
            .lock()
            .map_err(|_| eyre!("a thread panicked while it changed the zones that are out"))?
            .retain(|other| other != zone),
        "stop-zone" | "kill-zone" => {
            servers.for_each(|server| fleet.kill(&crate::fleet::backend_id(&server.id)));
        }
        "start-zone" => servers.into_iter().try_for_each(|server| fleet.start_backend(server))?,
        _ => {}
    }
    Ok(())
}

/// Computes the metrics of a run over the periods that the scenario defines.
fn compute_metrics(scenario: &Scenario, result: &RunResult, length: Duration) -> Value {
    let warm_up = Duration::from_secs_f64(scenario.warm_up);
    let all = &result.records;
    let within = |from: f64, until: f64| -> Vec<CallRecord> {
        let (from, until) = (Duration::from_secs_f64(from), Duration::from_secs_f64(until));
        let inside =
            |record: &&CallRecord| record.at >= warm_up + from && record.at < warm_up + until;
        all.iter().filter(inside).cloned().collect()
    };
    let (begin, end) = scenario.during;
    let (before_begin, before_end) = scenario.before.unwrap_or((0.0, begin));
    let before = within(before_begin, before_end);
    let during = within(begin, end);
    let after = within(end + scenario.settle_seconds, length.as_secs_f64());
    let evidence = &result.evidence;
    let count_outcome = |records: &[CallRecord], outcome| count(records, outcome);
    let p95_before = first_token_quantile_ms(&before, 0.95);
    let p95_during = first_token_quantile_ms(&during, 0.95);
    json!({
        "requests": all.len(),
        "answered": count_outcome(all, CallOutcome::Answered),
        "refused": count_outcome(all, CallOutcome::RefusedNotRun),
        "unknown": unknown_bookings(all),
        "cut": count_outcome(all, CallOutcome::Cut) + cut_streams(all),
        "cut_elsewhere": evidence.cut_elsewhere(all, &result.faults),
        "unknown_elsewhere": evidence.unknown_elsewhere(all, &result.faults),
        "wrong_answers": count_outcome(all, CallOutcome::Wrong),
        "doubled": evidence.repeated_bookings(),
        "lost": evidence.lost_bookings(all),
        "false_not_run": evidence.wrongly_refused_bookings(all),
        "new_work_after_3s": evidence.admissions_after_take_out(&result.faults),
        "cold_overruns": evidence.overrun_count(),
        "config_reverts": evidence.config_reverts(),
        "config_force_p100_ms": evidence.longest_apply_ms(&result.faults),
        "config_changes": result.faults.changes.len(),
        "config_conflicts": result.faults.conflicts,
        "resumed": evidence.resumed_attempts(),
        "first_token_p95_before_ms": p95_before,
        "first_token_p95_during_ms": p95_during,
        "first_token_p95_during_ratio": p95_during / p95_before.max(0.001),
        "first_token_p95_after_ms": first_token_quantile_ms(&after, 0.95),
        "goodput_ratio_before": goodput_ratio(&before),
        "goodput_ratio_during": goodput_ratio(&during),
        "goodput_ratio_after": goodput_ratio(&after),
        "tokens_per_s_before": tokens_per_s(&before, before_end - before_begin),
        "tokens_per_s_during": tokens_per_s(&during, end - begin),
        "tokens_per_s_after":
            tokens_per_s(&after, length.as_secs_f64() - end - scenario.settle_seconds),
        "others_p95_before_ms": others_p95_ms(&before),
        "others_p95_during_ms": others_p95_ms(&during),
        "others_p95_ratio": others_p95_ms(&during) / others_p95_ms(&before).max(0.001),
        "others_goodput_during": goodput_ratio(&without_large_organisation(&during)),
        "capacity_tokens_per_s": scenario.capacity.map(|(from, until)| {
            tokens_per_s(&within(from, until), until - from)
        }),
        "goodput_ratio": scenario.capacity.map(|(from, until)| {
            let capacity = tokens_per_s(&within(from, until), until - from);
            tokens_per_s(&during, end - begin) / capacity.max(0.001)
        }),
        "recovered_s":
            recovery_seconds(&|from| within(from, from + 1.0), end, length.as_secs_f64()),
    })
}

/// Returns the seconds from `end` until every request of every later second is answered.
fn recovery_seconds(
    records_of_second_from: &dyn Fn(f64) -> Vec<CallRecord>,
    end: f64,
    length: f64,
) -> f64 {
    let mut recovery = 0.0;
    let mut from = end;
    while from + 1.0 <= length {
        if goodput_ratio(&records_of_second_from(from)) < 1.0 {
            recovery = from + 1.0 - end;
        }
        from += 1.0;
    }
    recovery
}

fn without_large_organisation(records: &[CallRecord]) -> Vec<CallRecord> {
    records.iter().filter(|record| record.call.organisation != "large").cloned().collect()
}

/// Counts the bookings, which must not be repeated, whose outcome is unknown.
fn unknown_bookings(records: &[CallRecord]) -> usize {
    let unknown =
        records.iter().filter(|record| record.report.outcome == CallOutcome::RefusedUnknown);
    unknown.filter(|record| record.call.tokens.is_none()).count()
}

/// Counts the streams, which may be repeated, that ended in a refusal after they had begun.
fn cut_streams(records: &[CallRecord]) -> usize {
    let unknown =
        records.iter().filter(|record| record.report.outcome == CallOutcome::RefusedUnknown);
    unknown.filter(|record| record.call.tokens.is_some()).count()
}

/// Returns the time to the first token of answered streams at a quantile, in ms.
fn first_token_quantile_ms(records: &[CallRecord], share: f64) -> f64 {
    let mut times: Vec<Duration> = records
        .iter()
        .filter(|record| {
            record.call.tokens.is_some() && record.report.outcome == CallOutcome::Answered
        })
        .map(|record| record.report.time_to_first_byte)
        .collect();
    quantile(&mut times, share).as_secs_f64() * 1_000.0
}

/// Returns the 95th percentile of the time to the first token for all organisations but the
/// large one, in ms.
fn others_p95_ms(records: &[CallRecord]) -> f64 {
    first_token_quantile_ms(&without_large_organisation(records), 0.95)
}

/// Returns the fraction of requests with a complete and correct answer.
fn goodput_ratio(records: &[CallRecord]) -> f64 {
    let answered = count(records, CallOutcome::Answered);
    answered as f64 / records.len().max(1) as f64
}

/// Returns the tokens of answered streams per second.
fn tokens_per_s(records: &[CallRecord], seconds: f64) -> f64 {
    let answered = records.iter().filter(|record| record.report.outcome == CallOutcome::Answered);
    let tokens: u64 = answered.filter_map(|record| record.call.tokens).sum();
    tokens as f64 / seconds.max(0.001)
}
