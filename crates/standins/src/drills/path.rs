//! Drill `path`: the whole path, and what it adds to the backend servers' times;
//! first of the gateways, then of the entries of the own interface.

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
use crate::drills::scenario::PlannedCall;
use crate::drills::scenario::Scenario;
use crate::drills::tell;
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

/// Requests of the tour.
const TOUR_CALLS: usize = 12;
/// Connections of the closed loop that finds the ceiling.
const CEILING_CALLERS: usize = 32;
/// Length of the closed loop.
const CEILING_TIME: Duration = Duration::from_secs(4);
/// Streams that are open at once on one entry.
const OPEN_STREAMS: usize = 360;

/// Runs the drill.
pub fn run(scenario: &Scenario, seed: u64, length: Duration) -> eyre::Result<Value> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let mut figures = runtime.block_on(gateways::run(seed, length))?;
    tell("entries and agents of the own interface");
    let fleet = scenario.start_fleet("path")?;
    let toured = runtime.block_on(tour(&fleet));
    tell("the same load through one entry, then straight to the engines");
    let entry = fleet.entries[0].callers;
    let through: TargetChoice = Arc::new(move |_, _| entry);
    let planned = plan_load(scenario, seed, length);
    let records = runtime.block_on(send_planned(planned.clone(), through));
    let rss = fleet.resident_mb(&fleet.entries[0].id)?;
    let direct = runtime.block_on(send_planned(planned, straight(&fleet)));
    tell("closed loop for the ceiling");
    let ceiling = runtime.block_on(ceiling(entry));
    if let Some(record) = records.iter().find(|r| r.report.outcome == CallOutcome::Wrong) {
        tell(&format!("wrong answer {}: {}", record.report.request_id, record.report.kind));
    }
    let wrong = count(&records, CallOutcome::Wrong) + toured.wrong;
    let mut first = added(&records, &direct, true);
    let mut whole = added(&records, &direct, false);
    print_timeline(fleet, &toured.example);
    let own = json!({
        "requests": records.len() + TOUR_CALLS,
        "answered": count(&records, CallOutcome::Answered) + toured.answered,
        "refused": count(&records, CallOutcome::RefusedNotRun)
            + count(&records, CallOutcome::RefusedUnknown),
        "cut": count(&records, CallOutcome::Cut),
        "wrong_answers": wrong,
        "overhead_p50_us": whole.at(0.50),
        "overhead_p99_us": whole.at(0.99),
        "first_token_overhead_p50_us": first.at(0.50),
        "first_token_overhead_p99_us": first.at(0.99),
        "direct_first_token_p99_us": first.direct_at(0.99),
        "ceiling_rps": ceiling,
        "entry_rss_mb": rss,
    });
    if let (Value::Object(all), Value::Object(own)) = (&mut figures, own) {
        all.extend(own);
    }
    Ok(figures)
}

struct TourResult {
    answered: usize,
    wrong: usize,
    example: String,
}

/// Sends a few requests through every entry and prints what happened.
async fn tour(fleet: &Fleet) -> TourResult {
    let mut result = TourResult { answered: 0, wrong: 0, example: String::new() };
    for number in 0..TOUR_CALLS {
        let entry = &fleet.entries[number % fleet.entries.len()];
        let call = match number % 3 {
            2 => LoadCall::booking("booking", "wholesaler-a", &format!("slot-{number}")),
            _ => LoadCall::prompt("drafting", "wholesaler-b", &format!("header {number}"), 8),
        };
        let report = send_call(entry.callers, &call).await;
        tell(&format!(
            "{} -> {}: {} {:?} in {} ms (request {})",
            call.class,
            entry.id,
            report.status,
            report.outcome,
            report.total.as_millis(),
            report.request_id,
        ));
        result.answered += usize::from(report.outcome == CallOutcome::Answered);
        result.wrong += usize::from(report.outcome == CallOutcome::Wrong);
        result.example = report.request_id;
    }
    result
}

/// Plans the scenario's load on top of streams that are already under way.
fn plan_load(scenario: &Scenario, seed: u64, length: Duration) -> Vec<PlannedCall> {
    let mut rng = ChoiceRng::new(seed);
    let mut planned = Vec::new();
    for shape in &scenario.load {
        if let Some(tokens) = shape.tokens {
            for number in 0..OPEN_STREAMS {
                let left = 1 + rng.below(tokens as usize) as u64;
                let prompt = format!("open stream {number} {seed}");
                let call = LoadCall::prompt(&shape.class, "wholesaler-c", &prompt, left);
                planned.push(PlannedCall { at: Duration::from_millis(5 * number as u64), call });
            }
        }
        planned.extend(shape.plan(Duration::ZERO, length, &mut rng));
    }
    planned
}

/// Sends to the stand-ins themselves, in turn.
fn straight(fleet: &Fleet) -> TargetChoice {
    let of_kind = |kind: &str| -> Vec<SocketAddr> {
        let servers = fleet.servers.iter().filter(|server| server.kind == kind);
        servers.map(|server| server.backend).collect()
    };
    let (engines, bookings) = (of_kind("engine"), of_kind("booking"));
    Arc::new(move |number, call| match call.tokens {
        Some(_) => engines[number % engines.len()],
        None => bookings[number % bookings.len()],
    })
}

struct AddedTime {
    through: Vec<Duration>,
    direct: Vec<Duration>,
}

impl AddedTime {
    /// Added time at a quantile, in microseconds.
    fn at(&mut self, share: f64) -> u64 {
        let through = quantile(&mut self.through, share);
        let direct = quantile(&mut self.direct, share);
        through.saturating_sub(direct).as_micros() as u64
    }

    fn direct_at(&mut self, share: f64) -> u64 {
        quantile(&mut self.direct, share).as_micros() as u64
    }
}

fn added(through: &[CallRecord], direct: &[CallRecord], streaming: bool) -> AddedTime {
    AddedTime { through: overheads(through, streaming), direct: overheads(direct, streaming) }
}

/// Answered bookings a second in a closed loop through one entry.
async fn ceiling(entry: SocketAddr) -> f64 {
    let answered = Arc::new(AtomicUsize::new(0));
    let start = Instant::now();
    let mut callers = JoinSet::new();
    for caller in 0..CEILING_CALLERS {
        let answered = Arc::clone(&answered);
        callers.spawn(async move {
            let mut number = 0;
            while start.elapsed() < CEILING_TIME {
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

fn print_timeline(fleet: Fleet, request: &str) {
    let logs = fleet.finish();
    let filter = JournalFilter { request: Some(request.to_string()), ..JournalFilter::default() };
    let lines = logs.iter().flat_map(|log| parse_lines(log)).collect();
    let lines = merge_lines(lines, &filter);
    let start = lines.first().map_or(0, |line| cuminpick::clock::stamp_millis(line.stamp));
    tell(&format!("time line of request {request}"));
    for line in &lines {
        eprintln!("  {}", render_line(line, start));
    }
}
