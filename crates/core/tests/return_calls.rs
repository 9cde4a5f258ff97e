//! All gateways notice at the same time that the store came back from an older copy.

use std::time::Duration;

use cuminpick::ids::ChoiceRng;
use cuminpick::return_load::ReturnCalls;
use cuminpick::return_load::StoreRates;
use cuminpick::return_load::return_delay;

/// Time within which a change of the configuration has to be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Reads and writes that gateways make, as seconds after the return.
#[derive(Default)]
struct CallTimes {
    reads: Vec<f64>,
    writes: Vec<f64>,
}

/// Returns the calls of all gateways, each of which notices the return within 60 ms.
fn call_times(gateways: usize, servers: usize, rates: StoreRates) -> CallTimes {
    let mut rng = ChoiceRng::new(gateways as u64);
    let mut times = CallTimes::default();
    let mut share = || rng.next_bits() as f64 / u64::MAX as f64;
    for _ in 0..gateways {
        let noticed = share() * 0.06;
        let mut delay =
            |calls| noticed + return_delay(calls, gateways, rates, share()).as_secs_f64();
        times.reads.push(delay(ReturnCalls::Configuration));
        times.reads.push(delay(ReturnCalls::Zones));
        times.reads.push(delay(ReturnCalls::Crashes));
        let first_page = delay(ReturnCalls::Servers(servers));
        let pages = servers.div_ceil(500);
        times.reads.extend((0..pages).map(|page| first_page + page as f64 * 0.01));
        let own = delay(ReturnCalls::OwnRecords);
        // Registrations are listed, the crash record is read, and both are written.
        times.reads.extend([own, own]);
        times.writes.extend([own, own]);
    }
    times
}

/// Returns the most calls within a second.
fn busiest_second(times: &[f64]) -> usize {
    let mut times = times.to_vec();
    times.sort_by(f64::total_cmp);
    let within =
        |start: &f64| times.iter().filter(|at| (*start..*start + 1.0).contains(*at)).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// The store's rates suffice for all gateways, and none waits long, at the sizes of the first
/// sites, of the grown ones, and at the largest one designed for.
#[test]
fn rates_suffice() {
    let small = StoreRates { reads: 2_000.0, writes: 400.0 };
    let grown = StoreRates { reads: 6_000.0, writes: 1_200.0 };
    let sites = [(4, 15, small), (13, 69, grown), (53, 140, small), (350, 4_800, small)];
    for (gateways, servers, rates) in sites {
        let times = call_times(gateways, servers, rates);
        let (reads, writes) = (busiest_second(&times.reads), busiest_second(&times.writes));
        assert!(reads as f64 <= rates.reads, "{gateways} gateways: {reads} reads");
        assert!(writes as f64 <= rates.writes, "{gateways} gateways: {writes} writes");
        let zones = return_delay(ReturnCalls::Zones, gateways, rates, 1.0);
        assert!(zones < APPLY_TIME, "{gateways} gateways: zones after {zones:?}");
    }
    let servers = return_delay(ReturnCalls::Servers(140), 53, small, 1.0);
    assert!(servers < Duration::from_millis(200), "{servers:?}");
}
