//! Holds streams back that would make a group's passes too slow.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::admission::CapacityShare;
use cuminpick::admission::GateCapacity;
use cuminpick::admission::GateDecision;
use cuminpick::admission::GateRequest;
use cuminpick::admission::GroupLoad;
use cuminpick::admission::OUTAGE_RETRY_AFTER;
use cuminpick::admission::StreamGate;
use cuminpick::admission::overdue_capacity;
use cuminpick::admission::stream_limit;
use cuminpick::breaker::BreakerState;
use cuminpick::breaker::CircuitBreaker;
use cuminpick::ids::FastMap;
use cuminpick::ids::RequestId;
use slog::o;
use tokio::sync::oneshot;

use crate::state::Gateway;

/// Interval at which waiting streams are looked at; a pass takes 40 ms or more.
const PUMP_INTERVAL: Duration = Duration::from_millis(10);

/// Gate of one service with those who wait at it.
#[derive(Default)]
pub struct ServiceGate {
    gate: StreamGate,
    breaker: CircuitBreaker,
    share: CapacityShare,
    waiters: FastMap<RequestId, oneshot::Sender<Option<Duration>>>,
}

/// Waits until a stream is let in; returns when to come back if it is refused.
/// `attempt` names the request in the log.
pub async fn wait_at_gate(
    gateway: &Rc<Gateway>,
    service: &str,
    attempt: Option<&str>,
    asking: GateRequest,
) -> Option<Duration> {
    let (sender, verdict) = oneshot::channel();
    let request = asking.request;
    let began = gateway.now();
    let late = asking.on_time_until <= began;
    let waiting = {
        let mut gates = gateway.gates.borrow_mut();
        let gate = gates.entry(service.to_string()).or_default();
        if !gate.gate.enqueue(asking) {
            return Some(gate.gate.retry_after());
        }
        gate.waiters.insert(request, sender);
        gate.gate.waiting()
    };
    let place = GatePlace { gateway: Rc::clone(gateway), service: service.to_string(), request };
    pump_service(gateway, service);
    let verdict = verdict.await.unwrap_or_default();
    drop(place);
    let waited = gateway.now().saturating_sub(began);
    if !waited.is_zero() || verdict.is_some() {
        let room = room_for(gateway, service, gateway.now());
        gateway.journal.note(
            "gate-passed",
            attempt,
            o!("service" => service.to_string(), "waiting" => waiting, "late" => late,
               "waited_ms" => waited.as_millis() as u64, "room" => room.all,
               "room_overdue" => room.overdue, "streams" => room.streams,
               "pause_ms" => room.event_gap.map_or(-1, |pause| pause.as_millis() as i64),
               "retry_ms" => verdict.map_or(-1, |retry| retry.as_millis() as i64)),
        );
    }
    verdict
}

/// Place at a gate that is given up when the caller leaves.
struct GatePlace {
    gateway: Rc<Gateway>,
    service: String,
    request: RequestId,
}

impl Drop for GatePlace {
    fn drop(&mut self) {
        if let Some(gate) = self.gateway.gates.borrow_mut().get_mut(&self.service)
            && gate.waiters.remove(&self.request).is_some()
        {
            gate.gate.remove(self.request);
        }
    }
}

/// Time after which a refused stream is told to come back, if the servers of its
/// service turn all streams away.
pub fn retry_while_away(gateway: &Gateway, service: &str) -> Option<Duration> {
    let gates = gateway.gates.borrow();
    let breaker = &gates.get(service)?.breaker;
    (breaker.state(gateway.now()) != BreakerState::Closed).then_some(OUTAGE_RETRY_AFTER)
}

/// Notes that a server of a service turned a stream away.
pub fn note_refusal(gateway: &Gateway, service: &str) {
    let now = gateway.now();
    let mut gates = gateway.gates.borrow_mut();
    if gates.entry(service.to_string()).or_default().breaker.record_refusal(now) {
        gateway.journal.warn("service-turns-away", o!("service" => service.to_string()));
    }
}

/// Notes that a server of a service serves a stream.
pub fn note_success(gateway: &Gateway, service: &str) {
    let mut gates = gateway.gates.borrow_mut();
    if gates.entry(service.to_string()).or_default().breaker.record_success() {
        gateway.journal.note("service-back", None, o!("service" => service.to_string()));
    }
}

/// Looks at all gates at intervals.
pub async fn process_gate_queues(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(PUMP_INTERVAL).await;
        let waiting: Vec<String> = {
            let gates = gateway.gates.borrow();
            let busy = gates.iter().filter(|(_, gate)| gate.gate.waiting() > 0);
            busy.map(|(service, _)| service.clone()).collect()
        };
        for service in waiting {
            pump_service(&gateway, &service);
        }
    }
}

/// Decides on the streams that wait for a service.
fn pump_service(gateway: &Rc<Gateway>, service: &str) {
    let now = gateway.now();
    let room = room_for(gateway, service, now);
    let gateways = gateway.balance.borrow().live_gateways();
    let mut gates = gateway.gates.borrow_mut();
    let Some(gate) = gates.get_mut(service) else {
        return;
    };
    let room = match gate.breaker.state(now) {
        BreakerState::Closed => {
            let overdue = gate.share.allowance(now, room.overdue, gateways);
            GateCapacity::Streams { total: room.all, overdue }
        }
        BreakerState::HalfOpen => GateCapacity::Outage(1),
        BreakerState::Open => GateCapacity::Outage(0),
    };
    for verdict in gate.gate.process_queue(now, room) {
        let (request, answer) = match verdict {
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
            // A caller that left has taken its place back already.
            let _ = waiter.send(answer);
        }
    }
}

/// Room that a service has for further streams.
#[derive(Debug, Clone, Copy)]
struct ServiceRoom {
    /// For any stream.
    all: u32,
    /// For streams that can no longer begin on time.
    overdue: u32,
    /// Streams that run.
    streams: u32,
    /// Pause between events, if known.
    event_gap: Option<Duration>,
}

const UNBOUNDED: ServiceRoom =
    ServiceRoom { all: u32::MAX, overdue: u32::MAX, streams: 0, event_gap: None };

/// Returns the room of a service as far as this gateway knows.
fn room_for(gateway: &Gateway, service: &str, now: Duration) -> ServiceRoom {
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
    // While nothing is known of the passes, those that are not late may begin.
    let all = if event_gap.is_some() { limit.saturating_sub(streams) } else { u32::MAX };
    ServiceRoom { all, overdue: overdue_capacity(model, &group, target), streams, event_gap }
}
