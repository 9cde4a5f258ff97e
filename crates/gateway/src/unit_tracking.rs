//! Records what happens at the units of a service: refusals, crashes, events and returns.
//!
//! The rules are in [`cuminpick::units`]. A service without several known groups is one unit.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::groups::UnitName;
use cuminpick::units::UnitState;
use slog::o;

use crate::gate::ServiceGate;
use crate::state::Gateway;

/// Longest time without processing after which the silence of units is watched anew: data may wait
/// in the sockets of a process that did not run.
const MAX_TICK_GAP: Duration = Duration::from_millis(150);
/// Age up to which a crash that another gateway noticed is evidence of the state of a unit.
const MAX_NOTICE_AGE: Duration = Duration::from_secs(5);

/// Returns the unit of the server at an address.
pub fn unit_at(gateway: &Gateway, service: &str, address: SocketAddr) -> UnitName {
    gateway.groups.borrow().unit_of(service, address)
}

/// Returns whether the groups of a service are its units.
pub fn has_units(gateway: &Gateway, service: &str) -> bool {
    gateway.groups.borrow().has_units(service)
}

/// Calls `change` with the state of a unit, which is created if it is not known.
pub fn with_unit<T>(
    gateway: &Gateway,
    service: &str,
    unit: &UnitName,
    change: impl FnOnce(&mut UnitState) -> T,
) -> T {
    let mut gates = gateway.gates.borrow_mut();
    let gate: &mut ServiceGate = match gates.get_mut(service) {
        Some(gate) => gate,
        None => gates.entry(service.to_string()).or_default(),
    };
    change(gate.unit(unit))
}

/// Returns the name of a unit in logs.
pub fn unit_label(unit: &UnitName) -> String {
    unit.clone().unwrap_or_else(|| "none".to_string())
}

/// Logs that a unit is lost or back, and updates the number of lost units in the metrics.
pub fn log_unit(gateway: &Gateway, service: &str, unit: &UnitName, state: &str, reason: &str) {
    let unit = unit_label(unit);
    gateway.journal.warn(
        "group-state",
        o!("service" => service.to_string(), "group" => unit, "state" => state.to_string(),
           "reason" => reason.to_string()),
    );
    let gates = gateway.gates.borrow();
    let units = gates.values().flat_map(|gate| gate.units.values());
    let lost = units.filter(|state| state.loss().is_some()).count();
    gateway.metrics.set_state("units_lost", lost as f64);
}

/// Records that a server refused a stream.
pub fn record_stream_refusal(gateway: &Gateway, service: &str, address: SocketAddr) {
    let now = gateway.now();
    let unit = unit_at(gateway, service, address);
    if !with_unit(gateway, service, &unit, |state| state.record_refusal(now)) {
        return;
    }
    if has_units(gateway, service) {
        log_unit(gateway, service, &unit, "lost", "streams-refused");
    } else {
        gateway.journal.warn("service-turns-away", o!("service" => service.to_string()));
    }
}

/// Records that a service without further units serves a stream.
pub fn record_stream_success(gateway: &Gateway, service: &str) {
    if has_units(gateway, service) {
        return;
    }
    let now = gateway.now();
    if with_unit(gateway, service, &None, |state| state.record_service(now)) {
        gateway.journal.note("service-back", None, o!("service" => service.to_string()));
    }
}

/// Records that the server at an address has begun to answer a stream that was sent at `sent_at`.
pub fn record_unit_success(
    gateway: &Gateway,
    service: &str,
    address: SocketAddr,
    sent_at: Duration,
) {
    if !has_units(gateway, service) {
        return;
    }
    let now = gateway.now();
    let unit = unit_at(gateway, service, address);
    let is_back = with_unit(gateway, service, &unit, |state| {
        state.record_data(now);
        state.record_success(now, sent_at)
    });
    if is_back {
        log_unit(gateway, service, &unit, "serving", "stream-served");
    }
}

/// Records that a server cannot be reached.
pub fn record_lost_server(gateway: &Gateway, service: &str, address: SocketAddr) {
    let now = gateway.now();
    let unit = unit_at(gateway, service, address);
    with_unit(gateway, service, &unit, |state| state.outage.record_lost_server(now));
}

/// Records that a server crashed, as was noticed here at `noticed_at`.
pub fn record_crashed_server(
    gateway: &Gateway,
    incarnation: &ServerIncarnation,
    noticed_at: Duration,
) {
    let location = gateway.balance.borrow().location_of(&incarnation.server);
    let Some((service, address)) = location else {
        return;
    };
    let now = gateway.now();
    let unit = unit_at(gateway, &service, address);
    if unit.is_none() {
        // Only a group is known to wait for each of its servers.
        with_unit(gateway, &service, &unit, |state| state.outage.record_lost_server(now));
        return;
    }
    let is_lost = with_unit(gateway, &service, &unit, |state| {
        state.record_crash(now, incarnation, noticed_at)
    });
    if is_lost {
        log_unit(gateway, &service, &unit, "lost", "server-crashed");
    }
}

/// Records that the host of a server refused a connection: a rank of a group is gone. A server
/// without a group may have left in order, and one of a group that has not served yet may still be
/// starting.
pub fn record_refusing_host(gateway: &Gateway, incarnation: &ServerIncarnation) {
    if is_serving_member(gateway, incarnation) {
        record_crashed_server(gateway, incarnation, gateway.now());
    }
}

/// Records a crash that another gateway noticed `age` ago. It shows nothing if it is old, or if the server
/// has started again since.
pub fn record_crash_notice(gateway: &Gateway, incarnation: &ServerIncarnation, age: Duration) {
    let is_recent = age < MAX_NOTICE_AGE;
    let noticed_at = gateway.now().saturating_sub(age);
    let is_current = gateway.balance.borrow().is_current(incarnation);
    if is_recent && is_current && is_serving_member(gateway, incarnation) {
        record_crashed_server(gateway, incarnation, noticed_at);
    }
}

/// Returns whether a server belongs to a unit that is a group and has served streams.
fn is_serving_member(gateway: &Gateway, incarnation: &ServerIncarnation) -> bool {
    let location = gateway.balance.borrow().location_of(&incarnation.server);
    location.is_some_and(|(service, address)| {
        let unit = unit_at(gateway, &service, address);
        unit.is_some() && with_unit(gateway, &service, &unit, |state| state.has_served())
    })
}

/// Records that a server has registered since it started.
pub fn record_new_server(gateway: &Gateway, service: &str, address: SocketAddr) {
    let now = gateway.now();
    gateway.groups.borrow_mut().record_restart(now, service, address);
    let Some(table) = gateway.routing_table() else {
        return;
    };
    let unit = unit_at(gateway, service, address);
    let model = table.service(service).and_then(|spec| spec.engine.as_ref());
    if let (Some(model), Some(gate)) = (model, gateway.gates.borrow_mut().get_mut(service)) {
        gate.unit(&unit).outage.record_new_server(now, model.form_time);
    }
}

/// Records the gap before an event of a stream. `is_same_server` states whether the event before
/// it came from the same server.
pub fn record_event_gap(
    gateway: &Gateway,
    service: &str,
    address: SocketAddr,
    gap: Duration,
    is_same_server: bool,
) {
    let now = gateway.now();
    gateway.event_gaps.borrow_mut().entry(service.to_string()).or_default().record(now, gap);
    if !has_units(gateway, service) {
        with_unit(gateway, service, &None, |state| state.event_gap.record(now, gap));
        return;
    }
    let unit = unit_at(gateway, service, address);
    if is_same_server && with_unit(gateway, service, &unit, |state| state.record_gap(now, gap)) {
        log_unit(gateway, service, &unit, "serving", "events-resumed");
    }
}

/// Records that data of a stream arrived.
pub fn record_stream_data(gateway: &Gateway, service: &str, address: SocketAddr) {
    if has_units(gateway, service) {
        let now = gateway.now();
        let unit = unit_at(gateway, service, address);
        with_unit(gateway, service, &unit, |state| state.record_data(now));
    }
}

/// Counts a stream as waiting for its next event until it is dropped.
pub struct AwaitGuard {
    gateway: Rc<Gateway>,
    service: String,
    unit: UnitName,
}

impl AwaitGuard {
    /// Counts a stream of a service with several units; `None` for any other service.
    pub fn begin(gateway: &Rc<Gateway>, service: &str, address: SocketAddr) -> Option<AwaitGuard> {
        if !has_units(gateway, service) {
            return None;
        }
        let now = gateway.now();
        let unit = unit_at(gateway, service, address);
        with_unit(gateway, service, &unit, |state| state.await_event(now));
        Some(AwaitGuard { gateway: Rc::clone(gateway), service: service.to_string(), unit })
    }
}

impl Drop for AwaitGuard {
    fn drop(&mut self) {
        with_unit(&self.gateway, &self.service, &self.unit, UnitState::stop_awaiting);
    }
}

/// Returns whether the unit of a server gets no streams but probes, or its passes are slowed.
pub fn is_unit_delayed(
    gateway: &Gateway,
    service: &str,
    address: SocketAddr,
    now: Duration,
) -> bool {
    let unit = unit_at(gateway, service, address);
    let gates = gateway.gates.borrow();
    let state = gates.get(service).and_then(|gate| gate.units.get(&unit));
    state.is_some_and(|state| state.is_lost(now) || state.is_slowed(now))
}

/// Returns whether events arrive from the unit of a server, or from its whole service if that has
/// no further units.
pub fn is_unit_active(
    gateway: &Gateway,
    service: &str,
    address: SocketAddr,
    now: Duration,
    span: Duration,
) -> bool {
    let unit = unit_at(gateway, service, address);
    let gates = gateway.gates.borrow();
    let state = gates.get(service).and_then(|gate| gate.units.get(&unit));
    state.is_some_and(|state| state.event_gap.is_active(now, span))
}

/// Marks units as lost whose events have stopped. `last_tick` is when this was last checked.
pub fn check_stalls(gateway: &Gateway, now: Duration, last_tick: Duration) {
    if now > last_tick + MAX_TICK_GAP {
        gateway.watched_since.set(now);
    }
    let watched_since = gateway.watched_since.get();
    let mut stalled = Vec::new();
    for (service, gate) in gateway.gates.borrow_mut().iter_mut() {
        if !has_units(gateway, service) {
            continue;
        }
        let mut data_times: Vec<Duration> =
            gate.units.values().filter_map(UnitState::last_data_at).collect();
        data_times.sort();
        let latest = data_times.pop().unwrap_or_default();
        let second = data_times.pop().unwrap_or_default();
        for (unit, state) in &mut gate.units {
            let is_latest = state.last_data_at() == Some(latest);
            let elsewhere = if is_latest { second } else { latest };
            let other_data = elsewhere.max(gateway.peer_heard_at.get());
            if state.loss().is_none()
                && state.has_stalled(now, watched_since, other_data)
                && state.record_stall(now)
            {
                stalled.push((service.clone(), unit.clone()));
            }
        }
    }
    for (service, unit) in stalled {
        log_unit(gateway, &service, &unit, "lost", "events-stopped");
    }
}
