//! Measures what the exchange of demand costs a gateway: bytes received per second, and the time
//! of a computation. Run with `cargo run --release -p cuminpick --example demand_cost`.

use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use cuminpick::demand_meter::OwnDemand;
use cuminpick::demand_meter::SEND_INTERVALS;
use cuminpick::demand_meter::entry_limit;
use cuminpick::demand_shares::DemandTable;
use cuminpick::demand_shares::allotment_period;
use cuminpick::demand_shares::digest_organisation;
use cuminpick::ids::ChoiceRng;
use cuminpick::updates::DemandEntry;
use cuminpick::updates::DemandUpdate;
use cuminpick::updates::update_interval;

/// Most streams that wait at a gateway.
const WAITING: usize = 512;
const PRIORITIES: usize = 3;
const ROUNDS: u32 = 300;

/// Returns the demand of a gateway at which the queue is full.
fn full_demand(
    rng: &mut ChoiceRng,
    gateways: usize,
    organisations: usize,
    name_bytes: usize,
) -> OwnDemand {
    let mut entries: Vec<DemandEntry> = Vec::new();
    for _ in 0..WAITING {
        let priority = rng.below(PRIORITIES) as u8;
        let organisation = Some(digest_organisation(&rng.below(organisations).to_string()));
        let same = |entry: &&mut DemandEntry| {
            entry.priority == priority && entry.organisation == organisation
        };
        match entries.iter_mut().find(same) {
            Some(entry) => entry.waiting += 1,
            None => entries.push(DemandEntry { priority, organisation, waiting: 1, arrived: 1 }),
        }
    }
    let listed = entry_limit(gateways, name_bytes, PRIORITIES);
    OwnDemand { entries, is_unmet: true, listed, ..OwnDemand::default() }
}

/// Returns the length of a number as `postcard` encodes it.
fn number_bytes(value: u32) -> usize {
    (32 - value.leading_zeros()).div_ceil(7).max(1) as usize
}

/// Returns the length of an update as `postcard` encodes it.
fn update_bytes(update: &DemandUpdate) -> usize {
    let entry_bytes = |entry: &DemandEntry| {
        let counts =
            number_bytes(u32::from(entry.waiting)) + number_bytes(u32::from(entry.arrived));
        2 + counts + entry.organisation.map_or(0, number_bytes)
    };
    let entries: usize = update.entries.iter().map(entry_bytes).sum();
    let names = update.from.len() + update.service.len();
    1 + 1 + 1 + names + number_bytes(update.entries.len() as u32) + entries
}

fn main() -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "gateways organisations interval_ms listed bytes/s us p50 us p99 cpu %")?;
    for gateways in [16, 24, 350] {
        for organisations in [24, 5_000] {
            let mut rng = ChoiceRng::new(1);
            let interval = update_interval(gateways);
            let service = "model".to_string();
            let name_bytes = "gateway-000".len() + service.len();
            let mut table = DemandTable::default();
            let own = full_demand(&mut rng, gateways, organisations, name_bytes);
            let mut bytes = 0;
            let mut updates = Vec::new();
            for gateway in 1..gateways {
                let demand = full_demand(&mut rng, gateways, organisations, name_bytes);
                let from = format!("gateway-{gateway:03}");
                let entries = demand.listed_entries();
                let update = DemandUpdate { from, service: service.clone(), entries };
                bytes += update_bytes(&update);
                updates.push(update);
            }
            let per_second = bytes as f64 / (interval * SEND_INTERVALS).as_secs_f64();
            let mut times = Vec::new();
            for round in 0..ROUNDS {
                let now = Duration::from_secs(1) + allotment_period(gateways) * round;
                for update in &updates {
                    table.apply(now, update.clone());
                }
                let started = Instant::now();
                let allotment = table.allotment(now, &service, 500, &own, gateways, 0.5);
                times.push(started.elapsed());
                assert!(allotment.is_limiting());
            }
            times.sort_unstable();
            let micros = |share: f64| {
                let index = ((times.len() - 1) as f64 * share) as usize;
                times[index].as_secs_f64() * 1e6
            };
            let cpu = micros(0.5) / allotment_period(gateways).as_secs_f64() / 1e4;
            writeln!(
                out,
                "{gateways:8} {organisations:13} {:11} {:6} {per_second:7.0} {:6.0} {:6.0} {cpu:5.2}",
                interval.as_millis(),
                own.listed,
                micros(0.5),
                micros(0.99),
            )?;
        }
    }
    Ok(())
}
