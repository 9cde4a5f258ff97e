//! Rates of a service from which the gate estimates waits: how many streams leave it, and how many
//! arrive that can begin on time.

use std::time::Duration;

use cuminpick::admission::OnTimeDemand;
use cuminpick::rate::RunningStreams;

use crate::state::Gateway;

/// Returns the running streams of a service, `total` over all gateways and `own` of this one;
/// `None` until its event gap and the length of its streams have been measured.
pub fn running_streams(
    gateway: &Gateway,
    service: &str,
    (total, own): (u32, u32),
    event_gap: Option<Duration>,
) -> Option<RunningStreams> {
    let mean_events = gateway.stream_lengths.borrow().service_mean(service)?;
    let gateways = gateway.balance.borrow().live_gateways();
    Some(RunningStreams { total, own, gateways, mean_events, event_gap: event_gap? })
}

/// Returns the demand of streams that can begin on time, over all gateways, if as many arrive at
/// each as at this one; `None` until it is known.
pub fn on_time_demand(gateway: &Gateway, service: &str, now: Duration) -> Option<OnTimeDemand> {
    let own_arrivals = gateway.gates.borrow().get(service)?.on_time_arrivals(now)?;
    let gateways = gateway.balance.borrow().live_gateways();
    let mean_events = gateway.stream_lengths.borrow().service_mean(service)?;
    Some(OnTimeDemand { arrivals_per_second: own_arrivals * gateways as f64, mean_events })
}
