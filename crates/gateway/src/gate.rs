//! Queues streams that would slow down a group's passes too much, and decides when each
//! starts or is refused.
//!
//! The decisions are made in [`cuminpick::admission`]; this module supplies the load of
//! the service and its circuit breaker, and wakes the requests that wait.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::admission::CapacityShare;
use cuminpick::admission::GateCapacity;
use cuminpick::admission::GateDecision;
use cuminpick::admission::GateRequest;
use cuminpick::admission::GroupLoad;
use cuminpick::admission::StreamGate;
use cuminpick::admission::overdue_capacity;
use cuminpick::admission::stream_limit;
use cuminpick::breaker::BreakerState;
use cuminpick::groups::UnitName;
use cuminpick::ids::FastMap;
use cuminpick::ids::OrganisationName;
use cuminpick::ids::RequestId;
use cuminpick::outage::OutageOutlook;
use cuminpick::units::UnitState;
use slog::o;
use tokio::sync::oneshot;

use crate::demand_exchange::describe_allotment;
use crate::service_rate::on_time_demand;
use crate::service_rate::running_streams;
use crate::state::Gateway;
use crate::unit_choice::UnitView;
use crate::unit_choice::unit_views;
use crate::unit_moves::move_streams;
use crate::unit_tracking::check_stalls;
use crate::unit_tracking::has_units;

/// Interval at which the queues are processed; a pass takes 40 ms or more.
const QUEUE_INTERVAL: Duration = Duration::from_millis(10);

/// Time without events after which a service that has lost a server counts as stalled;
/// several passes.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Duration of an outage before one was seen; crashed servers are back after some seconds.
const USUAL_OUTAGE: Duration = Duration::from_secs(4);

/// Admission state of one service, and the streams that wait for it.
#[derive(Default)]
pub struct ServiceGate {
    /// State of each unit; a service without several known groups is the unit `None`.
    pub units: FastMap<UnitName, UnitState>,
    /// This gateway's share of the capacity for streams that are moved off lost units.
    pub move_share: CapacityShare,
    stream_gate: StreamGate,
    share: CapacityShare,
    waiters: FastMap<RequestId, oneshot::Sender<Option<Duration>>>,
}

impl ServiceGate {
    /// Returns the queue of the streams that wait.
    pub fn stream_gate_mut(&mut self) -> &mut StreamGate {
        &mut self.stream_gate
    }

    /// Returns how many streams arrive at this gateway per second that can begin on time.
    pub fn on_time_arrivals(&self, now: Duration) -> Option<f64> {
        self.stream_gate.on_time_arrivals(now)
    }

    /// Returns the state of a unit, which is created if it is not known.
    pub fn unit(&mut self, unit: &UnitName) -> &mut UnitState {
        self.units.entry(unit.clone()).or_default()
    }
}

/// Outage of a service: all its units are lost.
#[derive(Debug, Clone)]
struct ServiceOutage {
    outlook: OutageOutlook,
    /// Time after which a refused stream should return.
    retry_after: Duration,
    /// Unit to which a probe may be sent now.
    probe: Option<UnitName>,
}

impl ServiceOutage {
    /// Returns what is known of the outage, as it appears in logs.
    fn describe(&self) -> &'static str {
        match self.outlook {
            OutageOutlook::Forming(_) => "forming",
            OutageOutlook::RankLost => "rank-lost",
            OutageOutlook::Unknown => "unknown",
        }
    }
}

/// Returns the outage of a service, if all units are lost that have servers.
fn service_outage(gateway: &Gateway, service: &str, now: Duration) -> Option<ServiceOutage> {
    let units = match has_units(gateway, service) {
        true => unit_views(gateway, service, now),
        false => Vec::new(),
    };
    outage_of_units(gateway, service, &units, now)
}

/// Does the same for a service whose units are known; `views` is empty if it has only one.
fn outage_of_units(
    gateway: &Gateway,
    service: &str,
    views: &[UnitView],
    now: Duration,
) -> Option<ServiceOutage> {
    if views.iter().any(|view| !view.is_lost) {
        return None;
    }
    let whole = None;
    let units: Vec<&UnitName> = match views.is_empty() {
        true => vec![&whole],
        false => views.iter().map(|view| &view.unit).collect(),
    };
    let gates = gateway.gates.borrow();
    let gate = gates.get(service)?;
    let states = units.iter().filter_map(|unit| Some((*unit, gate.units.get(*unit)?)));
    let states: Vec<(&UnitName, &UnitState)> =
        states.filter(|(_, state)| state.is_lost(now)).collect();
    // The service is back when the first of its units is.
    let outlook =
        states.iter().map(|(_, state)| state.outage.outlook(now)).min_by_key(|outlook| {
            match outlook {
                OutageOutlook::Forming(formed_at) => (0, *formed_at),
                OutageOutlook::Unknown => (1, Duration::ZERO),
                OutageOutlook::RankLost => (2, Duration::ZERO),
            }
        })?;
    let share = gateway.random_share();
    let retry_after = states.iter().map(|(_, state)| state.outage.retry_after(now, share)).min()?;
    let due = states.iter().filter(|(_, state)| state.breaker.state(now) == BreakerState::HalfOpen);
    let probe = due.min_by_key(|(_, state)| state.last_probe_at()).map(|(unit, _)| (*unit).clone());
    Some(ServiceOutage { outlook, retry_after, probe })
}

/// Waits until a stream is admitted. If it is refused, returns the time after which the
/// caller may retry. `attempt` is the identifier of the request in the log.
pub async fn wait_for_admission(
    gateway: &Rc<Gateway>,
    service: &str,
    attempt: Option<&str>,
    gate_request: GateRequest,
) -> Option<Duration> {
    let (sender, receiver) = oneshot::channel();
    let request = gate_request.request;
    let started = gateway.now();
    let late = gate_request.on_time_until <= started;
    let (priority, organisation) = (gate_request.priority, gate_request.organisation.clone());
    let waiting = {
        let mut gates = gateway.gates.borrow_mut();
        let gate = gates.entry(service.to_string()).or_default();
        if !gate.stream_gate.enqueue(gate_request) {
            let retry_after = gate.stream_gate.expect_return(started, request);
            drop(gates);
            log_full_queue(gateway, service, attempt, retry_after);
            return Some(retry_after);
        }
        gate.waiters.insert(request, sender);
        gate.stream_gate.waiting()
    };
    let queued =
        QueuedStream { gateway: Rc::clone(gateway), service: service.to_string(), request };
    process_service_queue(gateway, service);
    let retry_after = receiver.await.unwrap_or_default();
    if retry_after.is_some() {
        log_refusal(gateway, service, attempt, request, (priority, organisation));
    }
    drop(queued);
    let waited = gateway.now().saturating_sub(started);
    if !waited.is_zero() || retry_after.is_some() {
        let now = gateway.now();
        let capacity = service_capacity(gateway, service, now);
        let outage = service_outage(gateway, service, now).map(|outage| outage.describe());
        gateway.journal.note(
            "gate-passed",
            attempt,
            o!("service" => service.to_string(), "waiting" => waiting, "late" => late,
               "waited_ms" => waited.as_millis() as u64, "room" => capacity.total,
               "room_overdue" => capacity.overdue, "streams" => capacity.streams,
               "pause_ms" => capacity.event_gap.map_or(-1, |gap| gap.as_millis() as i64),
               "outage" => outage.unwrap_or("none"),
               "retry_ms" => retry_after.map_or(-1, |retry| retry.as_millis() as i64)),
        );
    }
    retry_after
}

/// Logs that a stream is refused since too many wait at this gateway.
fn log_full_queue(gateway: &Gateway, service: &str, attempt: Option<&str>, retry_after: Duration) {
    let retry_ms = retry_after.as_millis() as u64;
    let fields = o!("service" => service.to_string(), "reason" => "queue-full",
                    "retry_ms" => retry_ms);
    gateway.journal.note("stream-refused", attempt, fields);
}

/// Logs why a stream of the given priority and organisation was refused.
fn log_refusal(
    gateway: &Gateway,
    service: &str,
    attempt: Option<&str>,
    request: RequestId,
    (priority, organisation): (u8, OrganisationName),
) {
    let mut gates = gateway.gates.borrow_mut();
    let gate = gates.get_mut(service);
    let Some(cause) = gate.and_then(|gate| gate.stream_gate.take_refusal_cause(request)) else {
        return;
    };
    let (allotted, basis) = describe_allotment(gateway, service, priority);
    gateway.journal.note(
        "stream-refused",
        attempt,
        o!("service" => service.to_string(), "reason" => cause.reason.name(),
           "priority" => priority, "organisation" => organisation,
           "allotted" => allotted, "basis" => basis,
           "expected_wait_ms" => cause.expected_wait.map_or(-1, |wait| wait.as_millis() as i64),
           "rate" => cause.rate.unwrap_or(-1.0), "free" => cause.free),
    );
}

/// A stream in the queue of a gate; dropping it takes the stream out of the queue.
struct QueuedStream {
    gateway: Rc<Gateway>,
    service: String,
    request: RequestId,
}

impl Drop for QueuedStream {
    fn drop(&mut self) {
        if let Some(gate) = self.gateway.gates.borrow_mut().get_mut(&self.service) {
            gate.stream_gate.take_refusal_cause(self.request);
            if gate.waiters.remove(&self.request).is_some() {
                gate.stream_gate.remove(self.request);
            }
        }
    }
}

/// Returns the `Retry-After` of a refused stream while its service has an outage: its
/// servers refuse all streams.
pub fn outage_retry_after(gateway: &Gateway, service: &str) -> Option<Duration> {
    service_outage(gateway, service, gateway.now()).map(|outage| outage.retry_after)
}

/// Returns the time between events that a new stream can expect, if it has been measured: that of
/// the unit with the shortest one.
pub fn expected_event_gap(gateway: &Gateway, service: &str, now: Duration) -> Option<Duration> {
    if has_units(gateway, service) {
        let views = unit_views(gateway, service, now);
        let serving = views.iter().filter(|view| !view.is_lost);
        return serving.filter_map(|view| view.event_gap).min();
    }
    gateway.event_gaps.borrow().get(service).and_then(|meter| meter.mean(now))
}

/// Returns the `Retry-After` of a refused stream: when its service has a free place for it. `None`
/// for a service whose capacity is not known.
pub fn stream_retry_after(gateway: &Gateway, service: &str) -> Option<Duration> {
    let table = gateway.routing_table()?;
    table.service(service)?.engine.as_ref()?;
    let request = gateway.random_bits();
    let now = gateway.now();
    Some(gateway.gates.borrow_mut().get_mut(service)?.stream_gate.expect_return(now, request))
}

/// Returns how long outages of a service last.
pub fn mean_outage(gateway: &Gateway, service: &str) -> Duration {
    let gates = gateway.gates.borrow();
    let units = gates.get(service).map(|gate| gate.units.values());
    let means = units.into_iter().flatten().filter_map(|state| state.outage.mean_duration());
    means.max().unwrap_or(USUAL_OUTAGE)
}

/// Returns when a service last came back from an outage.
pub fn service_returned_at(gateway: &Gateway, service: &str) -> Option<Duration> {
    let gates = gateway.gates.borrow();
    gates.get(service)?.units.values().filter_map(|state| state.returned_at).max()
}

/// Opens the breaker of a service without several units that has lost a server if its events have
/// stopped: the ranks of its group wait for the lost one before they refuse anything.
fn trip_if_stalled(gateway: &Gateway, service: &str, now: Duration) {
    if has_units(gateway, service) {
        return;
    }
    let mut gates = gateway.gates.borrow_mut();
    let Some(state) = gates.get_mut(service).and_then(|gate| gate.units.get_mut(&None)) else {
        return;
    };
    let is_stalled = state.outage.is_rank_lost()
        && state.breaker.state(now) == BreakerState::Closed
        && gateway.balance.borrow().service_load(service).own_in_flight > 0
        && state.event_gap.mean(now).is_some()
        && !state.event_gap.is_active(now, STALL_TIMEOUT);
    if is_stalled {
        state.breaker.trip(now);
        gateway.journal.warn(
            "service-stalled",
            o!("service" => service.to_string(), "reason" => "a server is lost and no events arrive"),
        );
    }
}

/// Processes the queues of all services at regular intervals, for as long as the process
/// runs.
pub async fn process_gate_queues(gateway: Rc<Gateway>) {
    let mut last_tick = gateway.now();
    loop {
        tokio::time::sleep(QUEUE_INTERVAL).await;
        let now = gateway.now();
        gateway.groups.borrow_mut().remove_unconfirmed(now);
        check_stalls(&gateway, now, last_tick);
        move_streams(&gateway, now);
        last_tick = now;
        let services: Vec<String> = {
            let gates = gateway.gates.borrow();
            let busy = gates.iter().filter(|(_, gate)| gate.stream_gate.waiting() > 0);
            busy.map(|(service, _)| service.clone()).collect()
        };
        for service in services {
            process_service_queue(&gateway, &service);
        }
    }
}

/// Admits and refuses streams that wait for `service`.
fn process_service_queue(gateway: &Rc<Gateway>, service: &str) {
    let now = gateway.now();
    trip_if_stalled(gateway, service, now);
    let (capacity, outage) = if has_units(gateway, service) {
        let views = unit_views(gateway, service, now);
        (units_capacity(&views), outage_of_units(gateway, service, &views, now))
    } else {
        (service_capacity(gateway, service, now), service_outage(gateway, service, now))
    };
    let gateways = gateway.balance.borrow().live_gateways();
    let streams = (capacity.streams, capacity.own_streams);
    let running = running_streams(gateway, service, streams, capacity.event_gap);
    let mut gates = gateway.gates.borrow_mut();
    let Some(gate) = gates.get_mut(service) else {
        return;
    };
    let gate_capacity = match &outage {
        None => {
            let overdue = gate.share.allowance(now, capacity.overdue, gateways);
            GateCapacity::Streams { total: capacity.total, overdue }
        }
        Some(outage) => GateCapacity::Outage {
            probes: u32::from(outage.probe.is_some()),
            outlook: outage.outlook,
            retry_after: outage.retry_after,
        },
    };
    gate.stream_gate.record_running(running);
    let places = match gate_capacity {
        GateCapacity::Streams { total, .. } => total,
        // Probes are not limited by the demand.
        GateCapacity::Outage { .. } => u32::MAX,
    };
    let mut demand = gateway.demand.borrow_mut();
    let allotment = demand.allotment(gateway, service, &mut gate.stream_gate, places);
    for decision in gate.stream_gate.process_allotted(now, gate_capacity, allotment) {
        let (request, retry_after) = match decision {
            GateDecision::Admit(request) => {
                gate.share.record_admission();
                if let Some(probe) = outage.as_ref().and_then(|outage| outage.probe.as_ref()) {
                    gate.unit(probe).record_probe(now);
                }
                (request, None)
            }
            GateDecision::Refuse(request, retry) => (request, Some(retry)),
        };
        if let Some(waiter) = gate.waiters.remove(&request) {
            // Sending fails only if the caller has left.
            let _ = waiter.send(retry_after);
        }
    }
}

/// Number of further streams that a service can take.
#[derive(Debug, Clone, Copy)]
struct ServiceCapacity {
    /// Streams of any kind.
    total: u32,
    /// Streams that can no longer start on time.
    overdue: u32,
    /// Streams that run now, over all gateways.
    streams: u32,
    /// Streams of this gateway that run now.
    own_streams: u32,
    /// Smoothed time between events, if known.
    event_gap: Option<Duration>,
}

/// Capacity of a service whose limit is not known.
const UNBOUNDED: ServiceCapacity = ServiceCapacity {
    total: u32::MAX,
    overdue: u32::MAX,
    streams: 0,
    own_streams: 0,
    event_gap: None,
};

/// Returns the capacity of all units together that are not lost.
fn units_capacity(views: &[UnitView]) -> ServiceCapacity {
    let none =
        ServiceCapacity { total: 0, overdue: 0, streams: 0, own_streams: 0, event_gap: None };
    views.iter().filter(|view| !view.is_lost).fold(none, |sum, view| ServiceCapacity {
        total: sum.total.saturating_add(view.capacity.total),
        overdue: sum.overdue.saturating_add(view.capacity.overdue),
        streams: sum.streams + view.streams,
        own_streams: sum.own_streams + view.own_streams,
        event_gap: sum.event_gap.max(view.event_gap),
    })
}

/// Returns the capacity of a service as far as this gateway knows it: of all units together that
/// are not lost.
fn service_capacity(gateway: &Gateway, service: &str, now: Duration) -> ServiceCapacity {
    if has_units(gateway, service) {
        return units_capacity(&unit_views(gateway, service, now));
    }
    let Some(table) = gateway.routing_table() else {
        return UNBOUNDED;
    };
    let model = table.service(service).and_then(|spec| spec.engine.as_ref());
    let (Some(model), Some(target)) = (model, table.shortest_event_gap(service)) else {
        return UNBOUNDED;
    };
    let (load, (ranks, slots)) = {
        let balance = gateway.balance.borrow();
        (balance.service_load(service), balance.available_capacity(service))
    };
    let event_gap = {
        let gates = gateway.gates.borrow();
        let state = gates.get(service).and_then(|gate| gate.units.get(&None));
        state.and_then(|state| state.event_gap.mean(now))
    };
    let streams = load.own_in_flight + load.others_in_flight;
    let group = GroupLoad { ranks, slots, streams, event_gap };
    let Some(limit) = stream_limit(model, &group, target) else {
        return UNBOUNDED;
    };
    // Until the time of a pass has been measured, only streams that are late are limited.
    let total = if event_gap.is_some() { limit.saturating_sub(streams) } else { u32::MAX };
    let overdue = overdue_capacity(model, &group, target, on_time_demand(gateway, service, now));
    ServiceCapacity { total, overdue, streams, own_streams: load.own_in_flight, event_gap }
}
