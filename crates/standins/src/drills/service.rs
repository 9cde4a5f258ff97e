//! Drills `zone`, `vanish` and `overload`: service under faults and load,
//! against round robin without admission.

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
use crate::drills::scenario::PlannedCall;
use crate::drills::scenario::Scenario;
use crate::drills::scenario::TimedFault;
use crate::drills::tell;
use crate::drills::traffic::CallRecord;
use crate::drills::traffic::TargetChoice;
use crate::drills::traffic::count;
use crate::drills::traffic::quantile;
use crate::drills::traffic::send_planned;
use crate::fleet::Fleet;
use crate::fleet::ServerPlan;
use crate::load::CallOutcome;

/// What a run leaves.
struct RunResult {
    records: Vec<CallRecord>,
    faults: FaultRecord,
    evidence: FleetEvidence,
}

/// Runs the scenario through the system, then through the baseline.
pub fn run(scenario: &Scenario, name: &str, seed: u64, length: Duration) -> eyre::Result<Value> {
    tell("starting processes");
    let fleet = scenario.start_fleet(name)?;
    let balancer = Balancer::start(&fleet)?;
    let result = run_load(scenario, &fleet, balancer.choice(), seed, length)?;
    drop(balancer);
    drop(fleet);
    let mut figures = figures_of(scenario, &result, length);
    tell("the same under round robin without admission");
    let fleet = scenario.start_backends(&format!("{name}-baseline"))?;
    let out = Arc::new(Mutex::new(Vec::new()));
    let choice = round_robin(&fleet, Arc::clone(&out));
    let baseline = run_baseline(scenario, &fleet, choice, &out, seed, length)?;
    figures["baseline"] = figures_of(scenario, &baseline, length);
    Ok(figures)
}

fn plan(scenario: &Scenario, seed: u64, length: Duration) -> Vec<PlannedCall> {
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
    let planned = plan(scenario, seed, length);
    tell(&format!("{} requests", planned.len()));
    let runner = FaultRunner::new(fleet, seed);
    let start = Instant::now() + Duration::from_secs_f64(scenario.warm_up);
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let records = thread::scope(|scope| {
        let faults = scope.spawn(|| runner.run(&scenario.fault, start));
        let records = runtime.block_on(send_planned(planned, choice));
        faults.join().map_err(|_| eyre!("the faults panicked"))??;
        Ok::<_, eyre::Report>(records)
    })?;
    thread::sleep(Duration::from_millis(500));
    Ok(RunResult { records, faults: runner.finish(), evidence: FleetEvidence::read(fleet) })
}

type OutZones = Arc<Mutex<Vec<String>>>;

/// Sends to the stand-ins in turn, but for zones that operators took out.
fn round_robin(fleet: &Fleet, out: OutZones) -> TargetChoice {
    let servers: Vec<ServerPlan> = fleet.servers.clone();
    Arc::new(move |number, call| {
        let kind = if call.tokens.is_some() { "engine" } else { "booking" };
        let out = out.lock().map(|zones| zones.clone()).unwrap_or_default();
        let usable: Vec<&ServerPlan> = servers
            .iter()
            .filter(|server| server.kind == kind && !out.contains(&server.zone))
            .collect();
        usable[number % usable.len()].backend
    })
}

/// The baseline hears of take-outs at once, and of nothing else.
fn run_baseline(
    scenario: &Scenario,
    fleet: &Fleet,
    choice: TargetChoice,
    out: &OutZones,
    seed: u64,
    length: Duration,
) -> eyre::Result<RunResult> {
    let planned = plan(scenario, seed, length);
    let start = Instant::now() + Duration::from_secs_f64(scenario.warm_up);
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let records = thread::scope(|scope| {
        let faults = scope
            .spawn(|| scenario.fault.iter().try_for_each(|f| baseline_fault(fleet, out, f, start)));
        let records = runtime.block_on(send_planned(planned, choice));
        faults.join().map_err(|_| eyre!("the faults panicked"))??;
        Ok::<_, eyre::Report>(records)
    })?;
    let faults = FaultRecord::default();
    Ok(RunResult { records, faults, evidence: FleetEvidence::read(fleet) })
}

fn baseline_fault(
    fleet: &Fleet,
    out: &OutZones,
    fault: &TimedFault,
    start: Instant,
) -> eyre::Result<()> {
    let due = start + Duration::from_secs_f64(fault.at);
    thread::sleep(due.saturating_duration_since(Instant::now()));
    let zone = &fault.target;
    let servers = fleet.servers.iter().filter(|server| server.zone == *zone);
    match fault.action.as_str() {
        "zone-out" => out.lock().map_err(|_| eyre!("lock"))?.push(zone.clone()),
        "zone-in" => out.lock().map_err(|_| eyre!("lock"))?.retain(|other| other != zone),
        "stop-zone" | "kill-zone" => {
            servers.for_each(|server| fleet.kill(&crate::fleet::backend_id(&server.id)));
        }
        "start-zone" => servers.into_iter().try_for_each(|server| fleet.start_backend(server))?,
        _ => {}
    }
    Ok(())
}

fn figures_of(scenario: &Scenario, result: &RunResult, length: Duration) -> Value {
    let warm_up = Duration::from_secs_f64(scenario.warm_up);
    let all = &result.records;
    let within = |from: f64, until: f64| -> Vec<CallRecord> {
        let (from, until) = (Duration::from_secs_f64(from), Duration::from_secs_f64(until));
        let inside = |r: &&CallRecord| r.at >= warm_up + from && r.at < warm_up + until;
        all.iter().filter(inside).cloned().collect()
    };
    let (begin, end) = scenario.during;
    let (before_begin, before_end) = scenario.before.unwrap_or((0.0, begin));
    let before = within(before_begin, before_end);
    let during = within(begin, end);
    let after = within(end + scenario.settle, length.as_secs_f64());
    let evidence = &result.evidence;
    let outcome = |records: &[CallRecord], outcome| count(records, outcome);
    let p95_before = first_token_ms(&before, 0.95);
    let p95_during = first_token_ms(&during, 0.95);
    json!({
        "requests": all.len(),
        "answered": outcome(all, CallOutcome::Answered),
        "refused": outcome(all, CallOutcome::RefusedNotRun),
        "unknown": unknown(all),
        "cut": outcome(all, CallOutcome::Cut) + cut_answers(all),
        "cut_elsewhere": evidence.cut_elsewhere(all, &result.faults),
        "unknown_elsewhere": evidence.unknown_elsewhere(all, &result.faults),
        "wrong_answers": outcome(all, CallOutcome::Wrong),
        "doubled": evidence.doubled(),
        "lost": evidence.lost(all),
        "false_not_run": evidence.false_not_run(all),
        "new_work_after_3s": evidence.new_work_after(&result.faults),
        "cold_overruns": evidence.overruns(),
        "config_reverts": evidence.config_reverts(),
        "config_force_p100_ms": evidence.config_force_ms(&result.faults),
        "config_changes": result.faults.changes.len(),
        "config_conflicts": result.faults.conflicts,
        "resumed": evidence.resumed(),
        "first_token_p95_before_ms": p95_before,
        "first_token_p95_during_ms": p95_during,
        "first_token_p95_during_ratio": p95_during / p95_before.max(0.001),
        "first_token_p95_after_ms": first_token_ms(&after, 0.95),
        "goodput_ratio_before": goodput(&before),
        "goodput_ratio_during": goodput(&during),
        "goodput_ratio_after": goodput(&after),
        "tokens_per_s_before": tokens_per_s(&before, before_end - before_begin),
        "tokens_per_s_during": tokens_per_s(&during, end - begin),
        "tokens_per_s_after": tokens_per_s(&after, length.as_secs_f64() - end - scenario.settle),
        "others_p95_before_ms": others_ms(&before),
        "others_p95_during_ms": others_ms(&during),
        "others_p95_ratio": others_ms(&during) / others_ms(&before).max(0.001),
        "others_goodput_during": goodput(&of_others(&during)),
        "capacity_tokens_per_s": scenario.capacity.map(|(from, until)| {
            tokens_per_s(&within(from, until), until - from)
        }),
        "goodput_ratio": scenario.capacity.map(|(from, until)| {
            let capacity = tokens_per_s(&within(from, until), until - from);
            tokens_per_s(&during, end - begin) / capacity.max(0.001)
        }),
        "recovered_s": recovered_s(&|from| within(from, from + 1.0), end, length.as_secs_f64()),
    })
}

/// Seconds from `end` until all requests of every later second are answered.
fn recovered_s(second: &dyn Fn(f64) -> Vec<CallRecord>, end: f64, length: f64) -> f64 {
    let mut recovered = 0.0;
    let mut from = end;
    while from + 1.0 <= length {
        if goodput(&second(from)) < 1.0 {
            recovered = from + 1.0 - end;
        }
        from += 1.0;
    }
    recovered
}

fn of_others(records: &[CallRecord]) -> Vec<CallRecord> {
    records.iter().filter(|record| record.call.organisation != "large").cloned().collect()
}

/// Requests that may not be repeated whose outcome is unknown.
fn unknown(records: &[CallRecord]) -> usize {
    let unknown = records.iter().filter(|r| r.report.outcome == CallOutcome::RefusedUnknown);
    unknown.filter(|record| record.call.tokens.is_none()).count()
}

/// Repeatable requests that ended in a refusal after they had begun.
fn cut_answers(records: &[CallRecord]) -> usize {
    let unknown = records.iter().filter(|r| r.report.outcome == CallOutcome::RefusedUnknown);
    unknown.filter(|record| record.call.tokens.is_some()).count()
}

fn first_token_ms(records: &[CallRecord], share: f64) -> f64 {
    let mut times: Vec<Duration> = records
        .iter()
        .filter(|r| r.call.tokens.is_some() && r.report.outcome == CallOutcome::Answered)
        .map(|record| record.report.first)
        .collect();
    quantile(&mut times, share).as_secs_f64() * 1_000.0
}

fn others_ms(records: &[CallRecord]) -> f64 {
    first_token_ms(&of_others(records), 0.95)
}

/// Share of the requests that were answered whole.
fn goodput(records: &[CallRecord]) -> f64 {
    let answered = count(records, CallOutcome::Answered);
    answered as f64 / records.len().max(1) as f64
}

fn tokens_per_s(records: &[CallRecord], seconds: f64) -> f64 {
    let answered = records.iter().filter(|r| r.report.outcome == CallOutcome::Answered);
    let tokens: u64 = answered.filter_map(|record| record.call.tokens).sum();
    tokens as f64 / seconds.max(0.001)
}
