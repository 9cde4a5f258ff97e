//! Moves streams off a lost unit to units that serve.
//!
//! An attempt that may be given up holds a ticket while it waits for its server. When the unit of
//! the server is lost, tickets are granted as far as other units have free places and the retry
//! budget allows: the most urgent streams first, and of these the ones without an event, which may
//! still be on time. All other streams stay where they are.

use std::cell::Cell;
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::groups::UnitName;
use cuminpick::ids::FastMap;
use cuminpick::ids::ServiceName;
use slog::o;
use tokio::sync::oneshot;

use crate::state::Gateway;
use crate::unit_choice::unit_views;
use crate::unit_tracking::has_units;
use crate::unit_tracking::unit_label;

/// A stream at a server that may go on at another one.
#[derive(Debug, Clone)]
pub struct WatchedStream {
    /// Service of the stream.
    pub service: ServiceName,
    /// Server to which it was sent.
    pub server: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// When it was sent there.
    pub sent_at: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether the caller has received an event.
    pub has_begun: bool,
    /// Set when the next attempt was taken from the retry budget already.
    pub retry_prepaid: Rc<Cell<bool>>,
}

/// Number of a ticket.
type TicketNumber = u64;

struct MoveTicket {
    stream: WatchedStream,
    since: Duration,
    grant: oneshot::Sender<()>,
}

/// Tickets of the streams that may be moved.
#[derive(Default)]
pub struct MoveTickets {
    last_number: TicketNumber,
    tickets: FastMap<TicketNumber, MoveTicket>,
}

/// Ticket of one stream; it is withdrawn when dropped.
struct TicketGuard<'a> {
    gateway: &'a Gateway,
    number: TicketNumber,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        self.gateway.move_tickets.borrow_mut().tickets.remove(&self.number);
    }
}

/// Waits until the stream is to go on at another unit; forever in a service without several units.
pub async fn wait_for_move(gateway: &Gateway, stream: &WatchedStream) {
    if !has_units(gateway, &stream.service) {
        return std::future::pending().await;
    }
    let (grant, granted) = oneshot::channel();
    let guard = {
        let mut tickets = gateway.move_tickets.borrow_mut();
        tickets.last_number += 1;
        let number = tickets.last_number;
        let ticket = MoveTicket { stream: stream.clone(), since: gateway.now(), grant };
        tickets.tickets.insert(number, ticket);
        TicketGuard { gateway, number }
    };
    let is_granted = granted.await.is_ok();
    drop(guard);
    if !is_granted {
        std::future::pending::<()>().await;
    }
}

/// Grants tickets of streams at lost units.
pub fn move_streams(gateway: &Gateway, now: Duration) {
    let mut lost: FastMap<ServiceName, Vec<UnitName>> = FastMap::default();
    for (service, gate) in gateway.gates.borrow().iter() {
        let units = gate.units.iter().filter(|(_, state)| state.loss().is_some());
        let units: Vec<UnitName> = units.map(|(unit, _)| unit.clone()).collect();
        if !units.is_empty() && has_units(gateway, service) {
            lost.insert(service.clone(), units);
        }
    }
    for (service, units) in lost {
        let candidates = leaving_streams(gateway, &service, &units, now);
        if !candidates.is_empty() {
            grant_moves(gateway, &service, candidates, now);
        }
    }
}

/// Returns the tickets of the streams that should leave lost units, those to be moved first at the
/// front.
fn leaving_streams(
    gateway: &Gateway,
    service: &str,
    lost: &[UnitName],
    now: Duration,
) -> Vec<TicketNumber> {
    let tickets = gateway.move_tickets.borrow();
    let groups = gateway.groups.borrow();
    let gates = gateway.gates.borrow();
    let Some(gate) = gates.get(service) else {
        return Vec::new();
    };
    let should_leave = |stream: &WatchedStream| {
        let unit = groups.unit_of(service, stream.address);
        let state = gate.units.get(&unit).filter(|_| lost.contains(&unit));
        state.is_some_and(|state| state.should_leave(now, stream.sent_at))
    };
    let mut leaving: Vec<(u8, bool, Reverse<Duration>, TicketNumber)> = tickets
        .tickets
        .iter()
        .filter(|(_, ticket)| ticket.stream.service == service && should_leave(&ticket.stream))
        .map(|(number, ticket)| {
            let stream = &ticket.stream;
            (stream.priority, stream.has_begun, Reverse(ticket.since), *number)
        })
        .collect();
    leaving.sort();
    leaving.into_iter().map(|(.., number)| number).collect()
}

/// Grants as many tickets as this gateway's share of the free places and the retry budget allow.
fn grant_moves(gateway: &Gateway, service: &str, candidates: Vec<TicketNumber>, now: Duration) {
    let views = unit_views(gateway, service, now);
    let serving = views.iter().filter(|view| !view.is_lost);
    let free = serving.fold(0u32, |sum, view| sum.saturating_add(view.capacity.total));
    let gateways = gateway.balance.borrow().live_gateways();
    let payers = gateway.balance.borrow().live_or_registered_gateways();
    let mut gates = gateway.gates.borrow_mut();
    let Some(gate) = gates.get_mut(service) else {
        return;
    };
    let share = gate.move_share.allowance(now, free, gateways);
    let waiting = candidates.len();
    let mut moved = 0;
    for number in candidates.into_iter().take(share as usize) {
        if !gateway.retry_budget.borrow_mut().try_take(now, service, payers) {
            break;
        }
        let Some(ticket) = gateway.move_tickets.borrow_mut().tickets.remove(&number) else {
            continue;
        };
        ticket.stream.retry_prepaid.set(true);
        // Sending fails only if the attempt has just ended.
        let _ = ticket.grant.send(());
        gate.move_share.record_admission();
        moved += 1;
    }
    if moved > 0 {
        let lost = views.iter().filter(|view| view.is_lost);
        let lost: Vec<String> = lost.map(|view| unit_label(&view.unit)).collect();
        gateway.journal.note(
            "streams-moved",
            None,
            o!("service" => service.to_string(), "lost" => lost.join(","), "moved" => moved,
               "waiting" => waiting, "free" => free, "share" => share),
        );
    }
}
