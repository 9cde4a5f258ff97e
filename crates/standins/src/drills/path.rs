//! Drill `path`: the whole path of requests, and the latency that it adds to the backend
//! servers' own; first through the gateways, then through the entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cuminpick::ids::ChoiceRng;
use cuminpick::journal::JournalFilter;
use cuminpick::journal::merge_lines;
use cuminpick::journal::parse_lines;
use cuminpick::journal::render_line;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use crate::drills::gateways;
use crate::drills::print_progress;
use crate::drills::scenario::PlannedCall;
use crate::drills::scenario::Scenario;
use crate::drills::traffic::CallRecord;
use crate::drills::traffic::TargetChoice;
use crate::drills::traffic::count;
use crate::drills::traffic::overheads;
use crate::drills::traffic::quantile;
use crate::drills::traffic::send_planned;
use crate::fleet::Fleet;
use crate::load::CallOutcome;
use crate::load::LoadCall;
use crate::load::send_call;

/// Number of sample requests that are sent before the load.
const SAMPLE_CALLS: usize = 12;
/// Concurrent callers of the closed loop that measures the maximum request rate.
const CLOSED_LOOP_CALLERS: usize = 32;
/// Duration of the closed loop.
const CLOSED_LOOP_TIME: Duration = Duration::from_secs(4);
/// Number of streams that are open at once on one entry.
const OPEN_STREAMS: usize = 360;

/// Runs the drill.
pub fn run(scenario: &Scenario, seed: u64, length: Duration) -> eyre::Result<Value> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let mut metrics = runtime.block_on(gateways::run(seed, length))?;
    print_progress("entries and agents");
    let fleet = scenario.start_fleet("path")?;
    let samples = runtime.block_on(send_samples(&fleet));
    print_progress("the same load through one entry, then directly to the servers");
    let entry = fleet.entries[0].caller_address;
    let through_entry: TargetChoice = Arc::new(move |_, _| entry);
    let planned = plan_load(scenario, seed, length);
    let records = runtime.block_on(send_planned(planned.clone(), through_entry));
    let resident_mb = fleet.resident_mb(&fleet.entries[0].id)?;
    let direct = runtime.block_on(send_planned(planned, direct_choice(&fleet)));
    print_progress("closed loop to measure the maximum request rate");
    let max_rate = runtime.block_on(measure_max_rate(entry));
    if let Some(record) = records.iter().find(|record| record.report.outcome == CallOutcome::Wrong)
    {
        print_progress(&format!(
            "wrong answer {}: {}",
            record.report.request_id, record.report.detail
        ));
    }
    let wrong_answers = count(&records, CallOutcome::Wrong) + samples.wrong;
    let mut first_token_times = overhead_times(&records, &direct, true);
    let mut booking_times = overhead_times(&records, &direct, false);
    print_timeline(fleet, &samples.example_request);
    let entry_metrics = json!({
        "requests": records.len() + SAMPLE_CALLS,
        "answered": count(&records, CallOutcome::Answered) + samples.answered,
        "refused": count(&records, CallOutcome::RefusedNotRun)
            + count(&records, CallOutcome::RefusedUnknown),
        "cut": count(&records, CallOutcome::Cut),
        "wrong_answers": wrong_answers,
        "overhead_p50_us": booking_times.at(0.50),
        "overhead_p99_us": booking_times.at(0.99),
        "first_token_overhead_p50_us": first_token_times.at(0.50),
        "first_token_overhead_p99_us": first_token_times.at(0.99),
        "direct_first_token_p99_us": first_token_times.direct_at(0.99),
        "ceiling_rps": max_rate,
        "entry_rss_mb": resident_mb,
    });
    if let (Value::Object(all), Value::Object(entry_metrics)) = (&mut metrics, entry_metrics) {
        all.extend(entry_metrics);
    }
    Ok(metrics)
}

/// Outcomes of the sample requests, and the request id of the last one.
struct SampleResult {
    answered: usize,
    wrong: usize,
    example_request: String,
}

/// Sends a few requests through every entry and prints their outcomes.
async fn send_samples(fleet: &Fleet) -> SampleResult {
    let mut result = SampleResult { answered: 0, wrong: 0, example_request: String::new() };
    for number in 0..SAMPLE_CALLS {
        let entry = &fleet.entries[number % fleet.entries.len()];
        let call = match number % 3 {
            2 => LoadCall::booking("booking", "wholesaler-a", &format!("slot-{number}")),
            _ => LoadCall::prompt("drafting", "wholesaler-b", &format!("header {number}"), 8),
        };
        let report = send_call(entry.caller_address, &call).await;
        print_progress(&format!(
            "{} -> {}: {} {:?} in {} ms (request {})",
            call.class,
            entry.id,
            report.status,
            report.outcome,
            report.total_time.as_millis(),
            report.request_id,
        ));
        result.answered += usize::from(report.outcome == CallOutcome::Answered);
        result.wrong += usize::from(report.outcome == CallOutcome::Wrong);
        result.example_request = report.request_id;
    }
    result
}

/// Plans the scenario's load on top of streams that are already in flight.
fn plan_load(scenario: &Scenario, seed: u64, length: Duration) -> Vec<PlannedCall> {
    let mut rng = ChoiceRng::new(seed);
    let mut planned = Vec::new();
    for shape in &scenario.load {
        if let Some(tokens) = shape.tokens {
            for number in 0..OPEN_STREAMS {
                let remaining = 1 + rng.below(tokens as usize) as u64;
                let prompt = format!("open stream {number} {seed}");
                let call = LoadCall::prompt(&shape.class, "wholesaler-c", &prompt, remaining);
                planned.push(PlannedCall { at: Duration::from_millis(5 * number as u64), call });
            }
        }
        planned.extend(shape.plan(Duration::ZERO, length, &mut rng));
    }
    planned
}

/// Returns a choice that sends directly to the stand-in servers, in turn.
fn direct_choice(fleet: &Fleet) -> TargetChoice {
    let of_kind = |kind: &str| -> Vec<SocketAddr> {
        let servers = fleet.servers.iter().filter(|server| server.kind == kind);
        servers.map(|server| server.backend_address).collect()
    };
    let (engines, bookings) = (of_kind("engine"), of_kind("booking"));
    Arc::new(move |number, call| match call.tokens {
        Some(_) => engines[number % engines.len()],
        None => bookings[number % bookings.len()],
    })
}

/// Overheads of the requests through an entry and of those sent directly.
struct OverheadTimes {
    entry: Vec<Duration>,
    direct: Vec<Duration>,
}

impl OverheadTimes {
    /// Returns the difference of the two overheads at a quantile, in microseconds.
    fn at(&mut self, share: f64) -> u64 {
        let entry = quantile(&mut self.entry, share);
        let direct = quantile(&mut self.direct, share);
        entry.saturating_sub(direct).as_micros() as u64
    }

    fn direct_at(&mut self, share: f64) -> u64 {
        quantile(&mut self.direct, share).as_micros() as u64
    }
}

fn overhead_times(entry: &[CallRecord], direct: &[CallRecord], streaming: bool) -> OverheadTimes {
    OverheadTimes { entry: overheads(entry, streaming), direct: overheads(direct, streaming) }
}

/// Returns the answered bookings per second in a closed loop through one entry.
async fn measure_max_rate(entry: SocketAddr) -> f64 {
    let answered = Arc::new(AtomicUsize::new(0));
    let start = Instant::now();
    let mut callers = JoinSet::new();
    for caller in 0..CLOSED_LOOP_CALLERS {
        let answered = Arc::clone(&answered);
        callers.spawn(async move {
            let mut number = 0;
            while start.elapsed() < CLOSED_LOOP_TIME {
                let name = format!("ceiling-{caller}-{number}");
                let call = LoadCall::booking("status", "wholesaler-a", &name);
                let report = send_call(entry, &call).await;
                answered.fetch_add(
                    usize::from(report.outcome == CallOutcome::Answered),
                    Ordering::Relaxed,
                );
                number += 1;
            }
        });
    }
    while callers.join_next().await.is_some() {}
    answered.load(Ordering::Relaxed) as f64 / start.elapsed().as_secs_f64()
}

/// Stops the fleet and prints the timeline of a request from its logs.
fn print_timeline(fleet: Fleet, request: &str) {
    let logs = fleet.into_logs();
    let filter = JournalFilter { request: Some(request.to_string()), ..JournalFilter::default() };
    let lines = logs.iter().flat_map(|log| parse_lines(log)).collect();
    let lines = merge_lines(lines, &filter);
    let start = lines.first().map_or(0, |line| cuminpick::clock::stamp_millis(line.stamp));
    print_progress(&format!("timeline of request {request}"));
    for line in &lines {
        eprintln!("  {}", render_line(line, start));
    }
}
