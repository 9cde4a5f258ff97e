//! Drill `capacity`: slopes of state, messages and time over the fleet's size.
//!
//! The pure decisions are measured at sizes up to the one designed for, the
//! processes at three sizes that one machine carries.

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

use crate::drills::scenario::Scenario;
use crate::drills::tell;
use crate::fleet::Fleet;

/// Backend servers in the pure measurements.
const SERVER_COUNTS: [usize; 4] = [10, 100, 1_000, 4_800];
/// Entries in the pure measurements.
const ENTRY_COUNTS: [usize; 4] = [1, 10, 100, 350];
/// Repeats of a timed step.
const REPEATS: u32 = 2_000;
/// Engines in a zone in the measurements of processes.
const ENGINE_COUNTS: [usize; 3] = [2, 4, 8];
/// Threads of an entry that serve control.
const CONTROL_THREADS: [&str; 4] = ["control", "tick", "platform", "admin"];

/// Runs the drill.
pub fn run(scenario: &Scenario, length: Duration) -> eyre::Result<Value> {
    tell("pure decisions");
    let by_servers: Vec<Value> =
        SERVER_COUNTS.iter().map(|&servers| pure_figures(servers, 350)).collect();
    let by_entries: Vec<Value> =
        ENTRY_COUNTS.iter().map(|&entries| pure_figures(4_800, entries)).collect();
    let mut processes = Vec::new();
    for engines in ENGINE_COUNTS {
        tell(&format!("processes with {engines} engines a zone"));
        let mut sized = scenario.clone();
        sized.fleet.engines = engines;
        processes.push(process_figures(&sized, length)?);
    }
    let slope = |figure: &str| fit(&processes, "agents", figure);
    Ok(json!({
        "entry_bytes_per_s_fit": slope("entry_control_bytes_per_s"),
        "entry_core_pct_fit": slope("entry_control_core_pct"),
        "entry_mb_fit": slope("entry_mb"),
        "agent_control_bytes_per_s": processes.last().map(|p| p["agent_control_bytes_per_s"].clone()),
        "agent_control_core_pct": processes.last().map(|p| p["agent_control_core_pct"].clone()),
        "agent_mb": processes.last().map(|p| p["agent_mb"].clone()),
        "choose_us_fit": fit(&by_servers, "servers", "arrive_us"),
        "by_servers": by_servers,
        "by_entries": by_entries,
        "processes": processes,
    }))
}

fn record(id: String, zone: usize, service: Option<String>) -> MemberRecord {
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

fn core_with(servers: usize, entries: usize) -> EntryCore {
    let member = record("entry-0".to_string(), 0, None);
    let mut core = EntryCore::new(EntryParameters { member, queue_capacity: 2_048, seed: 1 });
    let peers = (1..entries).map(|n| record(format!("entry-{n}"), n % 6, None));
    let backends = (0..servers)
        .map(|n| record(format!("engine-{n}"), n % 6, Some(format!("model-{}", n % 8))));
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
    while gossip_bytes(&mut core) > 2_000 {}
    core
}

fn gossip_bytes(core: &mut EntryCore) -> usize {
    let actions = core.step(Duration::ZERO, EntryEvent::GossipDue);
    let sends = actions.iter().filter_map(|action| match action {
        EntryAction::Gossip(send) => Some(message_bytes(&gossip_to_wire(&send.message, 1))),
        _ => None,
    });
    sends.sum()
}

fn pure_figures(servers: usize, entries: usize) -> Value {
    let before = own_resident_kb();
    let mut core = core_with(servers, entries);
    let state_kb = own_resident_kb().saturating_sub(before);
    let arrive_us = timed(|n| {
        let arrival = Arrival {
            request: u64::from(n),
            class: "drafting".to_string(),
            organisation: format!("organisation-{}", n % 260),
            prefix: u64::from(n) % 977,
            time_left: None,
        };
        core.step(Duration::ZERO, EntryEvent::Arrived(arrival));
        core.step(Duration::ZERO, EntryEvent::Completed(u64::from(n)));
    });
    let announce_us = timed(|n| {
        let server = format!("engine-{}", n as usize % servers);
        let report = LoadReport { in_flight: 3, limit: 26, leaving: false };
        core.step(Duration::ZERO, EntryEvent::Load { server, report });
    });
    let tick_us = timed(|_| drop(core.step(Duration::ZERO, EntryEvent::Ticked)));
    let gossip_us = timed(|_| drop(core.step(Duration::ZERO, EntryEvent::GossipDue)));
    let idle_gossip_bytes = gossip_bytes(&mut core);
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

fn timed(mut step: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..REPEATS).for_each(&mut step);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}

fn own_resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Measures idle processes: what control costs without any request.
fn process_figures(scenario: &Scenario, length: Duration) -> eyre::Result<Value> {
    let fleet = scenario.start_fleet("capacity")?;
    std::thread::sleep(Duration::from_secs(2));
    let entry = &fleet.entries[0];
    let agent = &fleet.servers[0];
    let (entry_before, agent_before) = (scrape(&entry.admin)?, scrape(&agent.admin)?);
    std::thread::sleep(length);
    let (entry_after, agent_after) = (scrape(&entry.admin)?, scrape(&agent.admin)?);
    let seconds = length.as_secs_f64();
    Ok(json!({
        "agents": fleet.servers.len(),
        "entries": fleet.entries.len(),
        "entry_control_bytes_per_s": (entry_after.bytes - entry_before.bytes) / seconds,
        "entry_control_core_pct": (entry_after.cpu - entry_before.cpu) / seconds * 100.0,
        "entry_mb": fleet.resident_mb(&entry.id)?,
        "agent_control_bytes_per_s": (agent_after.bytes - agent_before.bytes) / seconds,
        "agent_control_core_pct": (agent_after.cpu - agent_before.cpu) / seconds * 100.0,
        "agent_mb": fleet.resident_mb(&agent.id)?,
        "platform_reads_per_s": platform_reads(&fleet, length)?,
    }))
}

fn platform_reads(fleet: &Fleet, length: Duration) -> eyre::Result<f64> {
    let reads = || -> eyre::Result<f64> {
        let counters = crate::fleet::http_json("GET", &fleet.platform, "/standin/counters", None)?;
        Ok(counters["reads"].as_f64().unwrap_or(0.0))
    };
    let before = reads()?;
    std::thread::sleep(length);
    Ok((reads()? - before) / length.as_secs_f64())
}

struct ControlCost {
    bytes: f64,
    cpu: f64,
}

fn scrape(admin: &std::net::SocketAddr) -> eyre::Result<ControlCost> {
    let text = ureq::get(format!("http://{admin}/metrics")).call()?.body_mut().read_to_string()?;
    let mut cost = ControlCost { bytes: 0.0, cpu: 0.0 };
    for line in text.lines() {
        let value = line.rsplit(' ').next().and_then(|text| text.parse::<f64>().ok());
        let Some(value) = value else {
            continue;
        };
        if line.starts_with("cuminpick_control_bytes") {
            cost.bytes += value;
        }
        let control = CONTROL_THREADS.iter().any(|t| line.contains(&format!("thread=\"{t}\"")));
        let health = line.contains("thread=\"health\"");
        if line.starts_with("cuminpick_thread_seconds") && (control || health) {
            cost.cpu += value;
        }
    }
    Ok(cost)
}

/// Fits `figure = base + slope * size` by least squares, with the largest residual.
fn fit(rows: &[Value], size: &str, figure: &str) -> Value {
    let points: Vec<(f64, f64)> =
        rows.iter().filter_map(|row| Some((row[size].as_f64()?, row[figure].as_f64()?))).collect();
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let product: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    let slope = product / spread;
    let base = mean_y - slope * mean_x;
    let residual =
        points.iter().map(|point| (point.1 - base - slope * point.0).abs()).fold(0.0, f64::max);
    json!({"base": base, "slope": slope, "largest_residual": residual, "points": points.len()})
}
