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
use cuminpick::breaker::CircuitBreaker;
use cuminpick::ids::FastMap;
use cuminpick::ids::OrganisationName;
use cuminpick::ids::RequestId;
use cuminpick::outage::OutageEstimate;
use cuminpick::outage::OutageOutlook;
use slog::o;
use tokio::sync::oneshot;

use crate::service_rate::on_time_demand;
use crate::service_rate::running_streams;
use crate::state::Gateway;

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
    stream_gate: StreamGate,
    breaker: CircuitBreaker,
    outage: OutageEstimate,
    /// When the service last came back from an outage.
    returned_at: Option<Duration>,
    share: CapacityShare,
    waiters: FastMap<RequestId, oneshot::Sender<Option<Duration>>>,
}

impl ServiceGate {
    /// Returns how many streams arrive at this gateway per second that can begin on time.
    pub fn on_time_arrivals(&self, now: Duration) -> Option<f64> {
        self.stream_gate.on_time_arrivals(now)
    }

    /// Returns what is known of the service's outage, as it appears in logs; `None` if it has
    /// none.
    fn describe_outage(&self, now: Duration) -> Option<&'static str> {
        if self.breaker.state(now) == BreakerState::Closed {
            return None;
        }
        Some(match self.outage.outlook(now) {
            OutageOutlook::Forming(_) => "forming",
            OutageOutlook::RankLost => "rank-lost",
            OutageOutlook::Unknown => "unknown",
        })
    }
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
        let outage = gateway.gates.borrow().get(service).and_then(|gate| gate.describe_outage(now));
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
    gateway.journal.note(
        "stream-refused",
        attempt,
        o!("service" => service.to_string(), "reason" => cause.reason.name(),
           "priority" => priority, "organisation" => organisation,
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
    let gates = gateway.gates.borrow();
    let gate = gates.get(service)?;
    let now = gateway.now();
    let is_out = gate.breaker.state(now) != BreakerState::Closed;
    is_out.then(|| gate.outage.retry_after(now, gateway.random_share()))
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
    gates.get(service).and_then(|gate| gate.outage.mean_duration()).unwrap_or(USUAL_OUTAGE)
}

/// Returns when a service last came back from an outage.
pub fn service_returned_at(gateway: &Gateway, service: &str) -> Option<Duration> {
    gateway.gates.borrow().get(service).and_then(|gate| gate.returned_at)
}

/// Records that a server of `service` refused a stream.
pub fn record_stream_refusal(gateway: &Gateway, service: &str) {
    let now = gateway.now();
    let mut gates = gateway.gates.borrow_mut();
    if gates.entry(service.to_string()).or_default().breaker.record_refusal(now) {
        gateway.journal.warn("service-turns-away", o!("service" => service.to_string()));
    }
}

/// Records that a server of `service` serves a stream.
pub fn record_stream_success(gateway: &Gateway, service: &str) {
    let now = gateway.now();
    let mut gates = gateway.gates.borrow_mut();
    let gate = gates.entry(service.to_string()).or_default();
    let was_out = gate.breaker.record_success();
    gate.outage.record_service(now, was_out);
    if was_out {
        gate.returned_at = Some(now);
        gateway.journal.note("service-back", None, o!("service" => service.to_string()));
    }
}

/// Records that a server of `service` crashed or cannot be reached.
pub fn record_lost_server(gateway: &Gateway, service: &str) {
    let now = gateway.now();
    gateway
        .gates
        .borrow_mut()
        .entry(service.to_string())
        .or_default()
        .outage
        .record_lost_server(now);
}

/// Records that a server of `service` has registered since it started.
pub fn record_new_server(gateway: &Gateway, service: &str) {
    let Some(table) = gateway.routing_table() else {
        return;
    };
    let model = table.service(service).and_then(|spec| spec.engine.as_ref());
    if let (Some(model), Some(gate)) = (model, gateway.gates.borrow_mut().get_mut(service)) {
        gate.outage.record_new_server(gateway.now(), model.form_time);
    }
}

/// Opens the breaker of a service that has lost a server if its events have stopped: the
/// ranks of its group wait for the lost one before they refuse anything.
fn trip_if_stalled(gateway: &Gateway, service: &str, gate: &mut ServiceGate, now: Duration) {
    let is_stalled =
        gate.outage.is_rank_lost()
            && gate.breaker.state(now) == BreakerState::Closed
            && gateway.balance.borrow().service_load(service).own_in_flight > 0
            && gateway.event_gaps.borrow().get(service).is_some_and(|meter| {
                meter.mean(now).is_some() && !meter.is_active(now, STALL_TIMEOUT)
            });
    if is_stalled {
        gate.breaker.trip(now);
        gateway.journal.warn(
            "service-stalled",
            o!("service" => service.to_string(), "reason" => "a server is lost and no events arrive"),
        );
    }
}

/// Processes the queues of all services at regular intervals, for as long as the process
/// runs.
pub async fn process_gate_queues(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(QUEUE_INTERVAL).await;
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
    let capacity = service_capacity(gateway, service, now);
    let gateways = gateway.balance.borrow().live_gateways();
    let streams = (capacity.streams, capacity.own_streams);
    let running = running_streams(gateway, service, streams, capacity.event_gap);
    let mut gates = gateway.gates.borrow_mut();
    let Some(gate) = gates.get_mut(service) else {
        return;
    };
    trip_if_stalled(gateway, service, gate, now);
    let outage = |probes| GateCapacity::Outage {
        probes,
        outlook: gate.outage.outlook(now),
        retry_after: gate.outage.retry_after(now, gateway.random_share()),
    };
    let gate_capacity = match gate.breaker.state(now) {
        BreakerState::Closed => {
            let overdue = gate.share.allowance(now, capacity.overdue, gateways);
            GateCapacity::Streams { total: capacity.total, overdue }
        }
        BreakerState::HalfOpen => outage(1),
        BreakerState::Open => outage(0),
    };
    gate.stream_gate.record_running(running);
    for decision in gate.stream_gate.process_queue(now, gate_capacity) {
        let (request, retry_after) = match decision {
            GateDecision::Admit(request) => {
                gate.share.record_admission();
                if gate.breaker.state(now) == BreakerState::HalfOpen {
                    gate.breaker.record_probe(now);
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

/// Returns the capacity of a service as far as this gateway knows it.
fn service_capacity(gateway: &Gateway, service: &str, now: Duration) -> ServiceCapacity {
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
    let event_gap = gateway.event_gaps.borrow().get(service).and_then(|meter| meter.mean(now));
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
