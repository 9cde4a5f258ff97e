//! Drill `capacity`: how memory, messages and time grow with the size of the fleet.
//!
//! The entry's decision logic is measured alone, at sizes up to the one it is designed for;
//! whole processes are measured at three sizes that fit on one machine.

use std::time::Duration;
use std::time::Instant;

use cuminpick::choose::LoadReport;
use cuminpick::config::ConfigObject;
use cuminpick::entry::EntryCore;
use cuminpick::entry_event::Arrival;
use cuminpick::entry_event::EntryAction;
use cuminpick::entry_event::EntryEvent;
use cuminpick::entry_event::EntryParameters;
use cuminpick::member::MemberRecord;
use cuminpick::member::MemberState;
use cuminpick_peers::convert::gossip_to_wire;
use cuminpick_peers::message_bytes;
use serde_json::Value;
use serde_json::json;

use crate::drills::print_progress;
use crate::drills::scenario::Scenario;
use crate::fleet::Fleet;

/// Numbers of backend servers in the measurements of the decision logic.
const SERVER_COUNTS: [usize; 4] = [10, 100, 1_000, 4_800];
/// Numbers of entries in the measurements of the decision logic.
const ENTRY_COUNTS: [usize; 4] = [1, 10, 100, 350];
/// Number of repetitions of a timed step.
const TIMED_STEPS: u32 = 2_000;
/// Numbers of engines per zone in the measurements of processes.
const ENGINE_COUNTS: [usize; 3] = [2, 4, 8];
/// Names of the threads that do control work rather than serve requests.
const CONTROL_THREADS: [&str; 4] = ["control", "tick", "platform", "admin"];

/// Runs the drill.
pub fn run(scenario: &Scenario, length: Duration) -> eyre::Result<Value> {
    print_progress("decision logic without processes");
    let by_servers: Vec<Value> =
        SERVER_COUNTS.iter().map(|&servers| measure_core(servers, 350)).collect();
    let by_entries: Vec<Value> =
        ENTRY_COUNTS.iter().map(|&entries| measure_core(4_800, entries)).collect();
    let mut processes = Vec::new();
    for engines in ENGINE_COUNTS {
        print_progress(&format!("processes with {engines} engines per zone"));
        let mut sized_scenario = scenario.clone();
        sized_scenario.fleet.engines = engines;
        processes.push(measure_processes(&sized_scenario, length)?);
    }
    let fit_agents = |metric: &str| fit_line(&processes, "agents", metric);
    Ok(json!({
        "entry_bytes_per_s_fit": fit_agents("entry_control_bytes_per_s"),
        "entry_core_pct_fit": fit_agents("entry_control_core_pct"),
        "entry_mb_fit": fit_agents("entry_mb"),
        "agent_control_bytes_per_s":
            processes.last().map(|largest| largest["agent_control_bytes_per_s"].clone()),
        "agent_control_core_pct":
            processes.last().map(|largest| largest["agent_control_core_pct"].clone()),
        "agent_mb": processes.last().map(|largest| largest["agent_mb"].clone()),
        "choose_us_fit": fit_line(&by_servers, "servers", "arrive_us"),
        "by_servers": by_servers,
        "by_entries": by_entries,
        "processes": processes,
    }))
}

/// Returns the record of a live member; an entry has no service.
fn member_record(id: String, zone: usize, service: Option<String>) -> MemberRecord {
    MemberRecord {
        address: format!("10.0.{}.{}:9000", zone, id.len()),
        id,
        zone: format!("zone-{zone}"),
        service,
        incarnation: 1_796_000_000_000,
        sequence: 1,
        state: MemberState::Live,
    }
}

/// Returns the decision core of an entry that knows this many servers and entries, all idle,
/// and that has gossiped its initial updates.
fn core_of_size(servers: usize, entries: usize) -> EntryCore {
    let member = member_record("entry-0".to_string(), 0, None);
    let mut core = EntryCore::new(EntryParameters { member, queue_capacity: 2_048, seed: 1 });
    let peers = (1..entries).map(|n| member_record(format!("entry-{n}"), n % 6, None));
    let backends = (0..servers)
        .map(|n| member_record(format!("engine-{n}"), n % 6, Some(format!("model-{}", n % 8))));
    core.step(Duration::ZERO, EntryEvent::Listed(peers.chain(backends).collect()));
    let value = r#"{"service":"model-0","share":0.95,"first_token_ms":830,"token_gap_ms":50,"repeatable":true,"priority":4}"#;
    let class = ConfigObject {
        key: "classes/drafting".to_string(),
        version: 1,
        value: Some(value.to_string()),
    };
    core.step(Duration::ZERO, EntryEvent::Configured(vec![class]));
    for n in 0..servers {
        let report = LoadReport { in_flight: 0, limit: 26, leaving: false };
        core.step(Duration::ZERO, EntryEvent::Load { server: format!("engine-{n}"), report });
    }
    while gossip_round_bytes(&mut core) > 2_000 {}
    core
}

/// Runs a gossip round and returns the bytes of its messages.
fn gossip_round_bytes(core: &mut EntryCore) -> usize {
    let actions = core.step(Duration::ZERO, EntryEvent::GossipDue);
    let sends = actions.iter().filter_map(|action| match action {
        EntryAction::Gossip(send) => Some(message_bytes(&gossip_to_wire(&send.message, 1))),
        _ => None,
    });
    sends.sum()
}

/// Measures the memory and the step times of an entry's decision core.
fn measure_core(servers: usize, entries: usize) -> Value {
    let before = own_resident_kb();
    let mut core = core_of_size(servers, entries);
    let state_kb = own_resident_kb().saturating_sub(before);
    let arrive_us = mean_step_us(|number| {
        let arrival = Arrival {
            request: u64::from(number),
            class: "drafting".to_string(),
            organisation: format!("organisation-{}", number % 260),
            prefix: u64::from(number) % 977,
            time_left: None,
        };
        core.step(Duration::ZERO, EntryEvent::Arrived(arrival));
        core.step(Duration::ZERO, EntryEvent::Completed(u64::from(number)));
    });
    let announce_us = mean_step_us(|number| {
        let server = format!("engine-{}", number as usize % servers);
        let report = LoadReport { in_flight: 3, limit: 26, leaving: false };
        core.step(Duration::ZERO, EntryEvent::Load { server, report });
    });
    let tick_us = mean_step_us(|_| drop(core.step(Duration::ZERO, EntryEvent::Ticked)));
    let gossip_us = mean_step_us(|_| drop(core.step(Duration::ZERO, EntryEvent::GossipDue)));
    let idle_gossip_bytes = gossip_round_bytes(&mut core);
    json!({
        "servers": servers,
        "entries": entries,
        "state_kb": state_kb,
        "arrive_us": arrive_us,
        "announce_us": announce_us,
        "tick_us": tick_us,
        "gossip_us": gossip_us,
        "idle_gossip_bytes": idle_gossip_bytes,
    })
}

/// Returns the mean time of a step, in microseconds.
fn mean_step_us(mut step: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..TIMED_STEPS).for_each(&mut step);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(TIMED_STEPS)
}

fn own_resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Measures the control traffic, CPU time and memory of processes that serve no requests.
fn measure_processes(scenario: &Scenario, length: Duration) -> eyre::Result<Value> {
    let fleet = scenario.start_fleet("capacity")?;
    std::thread::sleep(Duration::from_secs(2));
    let entry = &fleet.entries[0];
    let agent = &fleet.servers[0];
    let (entry_before, agent_before) =
        (read_control_cost(&entry.admin_address)?, read_control_cost(&agent.admin_address)?);
    std::thread::sleep(length);
    let (entry_after, agent_after) =
        (read_control_cost(&entry.admin_address)?, read_control_cost(&agent.admin_address)?);
    let seconds = length.as_secs_f64();
    Ok(json!({
        "agents": fleet.servers.len(),
        "entries": fleet.entries.len(),
        "entry_control_bytes_per_s": (entry_after.bytes - entry_before.bytes) / seconds,
        "entry_control_core_pct":
            (entry_after.cpu_seconds - entry_before.cpu_seconds) / seconds * 100.0,
        "entry_mb": fleet.resident_mb(&entry.id)?,
        "agent_control_bytes_per_s": (agent_after.bytes - agent_before.bytes) / seconds,
        "agent_control_core_pct":
            (agent_after.cpu_seconds - agent_before.cpu_seconds) / seconds * 100.0,
        "agent_mb": fleet.resident_mb(&agent.id)?,
        "platform_reads_per_s": platform_reads_per_s(&fleet, length)?,
    }))
}

fn platform_reads_per_s(fleet: &Fleet, length: Duration) -> eyre::Result<f64> {
    let read_count = || -> eyre::Result<f64> {
        let counters =
            crate::fleet::http_json("GET", &fleet.platform_address, "/standin/counters", None)?;
        Ok(counters["reads"].as_f64().unwrap_or(0.0))
    };
    let before = read_count()?;
    std::thread::sleep(length);
    Ok((read_count()? - before) / length.as_secs_f64())
}

/// Control traffic and CPU time of a process since its start.
struct ControlCost {
    bytes: f64,
    cpu_seconds: f64,
}

/// Reads the control cost from the metrics endpoint of a process.
fn read_control_cost(admin: &std::net::SocketAddr) -> eyre::Result<ControlCost> {
    let text = ureq::get(format!("http://{admin}/metrics")).call()?.body_mut().read_to_string()?;
    let mut cost = ControlCost { bytes: 0.0, cpu_seconds: 0.0 };
    for line in text.lines() {
        let value = line.rsplit(' ').next().and_then(|text| text.parse::<f64>().ok());
        let Some(value) = value else {
            continue;
        };
        if line.starts_with("cuminpick_control_bytes") {
            cost.bytes += value;
        }
        let is_control =
            CONTROL_THREADS.iter().any(|thread| line.contains(&format!("thread=\"{thread}\"")));
        let is_health = line.contains("thread=\"health\"");
        if line.starts_with("cuminpick_thread_seconds") && (is_control || is_health) {
            cost.cpu_seconds += value;
        }
    }
    Ok(cost)
}

/// Fits `metric = base + slope * size` by least squares, and returns the line with its largest
/// residual and the number of points.
fn fit_line(rows: &[Value], size: &str, metric: &str) -> Value {
    let points: Vec<(f64, f64)> =
        rows.iter().filter_map(|row| Some((row[size].as_f64()?, row[metric].as_f64()?))).collect();
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let sum_of_squares: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let sum_of_products: f64 =
        points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    let slope = sum_of_products / sum_of_squares;
    let base = mean_y - slope * mean_x;
    let largest_residual =
        points.iter().map(|point| (point.1 - base - slope * point.0).abs()).fold(0.0, f64::max);
    json!({
        "base": base,
        "slope": slope,
        "largest_residual": largest_residual,
        "points": points.len(),
    })
}
