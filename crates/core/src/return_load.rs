//! Spreads the calls that all gateways make to the store after it came back.
//!
//! All of them notice the return at about the same time, list what they watch again, and write
//! their own records again that the store has lost. What decides soonest about requests comes
//! first; together the calls stay below the store's rate limits.

use std::time::Duration;

/// Share of the store's reads per second for listings of servers, and for those of zones.
const LISTING_SHARE: f64 = 0.3;
/// Share of the store's reads per second for listings of crashes, which datagrams tell as well.
const CRASH_LISTING_SHARE: f64 = 0.15;
/// Share of the store's writes per second for each kind of record that is written again.
const REWRITE_SHARE: f64 = 0.4;
/// Number of objects that the store returns at once, at most.
const PAGE_OBJECTS: usize = 500;

/// Rate limits of the store, in calls per second of the whole system.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreRates {
    /// Reads per second.
    pub reads: f64,
    /// Writes per second.
    pub writes: f64,
}

/// Calls that each gateway makes after a return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnCalls {
    /// Lists the configuration; one call, made at once.
    Configuration,
    /// Lists the zones that are taken out.
    Zones,
    /// Lists this many servers.
    Servers(usize),
    /// Lists the crashes that gateways noticed.
    Crashes,
    /// Reads and writes the gateway's own records.
    OwnRecords,
}

/// Returns the delay before a gateway makes its calls, when there are `gateways` of them. `share`
/// is a random number from 0 to 1.
pub fn return_delay(
    calls: ReturnCalls,
    gateways: usize,
    rates: StoreRates,
    share: f64,
) -> Duration {
    let (calls_each, per_second) = match calls {
        ReturnCalls::Configuration => return Duration::ZERO,
        ReturnCalls::Zones => (1, rates.reads * LISTING_SHARE),
        ReturnCalls::Servers(count) => {
            (count.div_ceil(PAGE_OBJECTS).max(1), rates.reads * LISTING_SHARE)
        }
        ReturnCalls::Crashes => (1, rates.reads * CRASH_LISTING_SHARE),
        ReturnCalls::OwnRecords => (1, rates.writes * REWRITE_SHARE),
    };
    let all_calls = (calls_each * gateways) as f64;
    Duration::from_secs_f64(all_calls / per_second.max(1.0) * share)
}
