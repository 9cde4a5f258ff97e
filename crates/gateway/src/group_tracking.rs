//! Groups of ranks as their leaders report them.

use cuminpick::groups::MembershipChange;
use cuminpick::updates::GroupMembers;
use cuminpick::updates::GroupState;
use slog::o;

use crate::state::Gateway;
use crate::unit_tracking::log_unit;
use crate::unit_tracking::with_unit;

/// Records the ranks and the state of a group.
pub fn apply_group_members(gateway: &Gateway, members: GroupMembers) {
    let now = gateway.now();
    let service = members.service.clone();
    let unit = Some(members.group.clone());
    let state = members.state;
    let detail = (members.epoch, members.term, members.ranks.len());
    let had_units = gateway.groups.borrow().has_units(&service);
    let change = gateway.groups.borrow_mut().record_members(now, members);
    let formed = match change {
        MembershipChange::Outdated => return,
        MembershipChange::Unchanged => false,
        MembershipChange::Changed { is_new, formed } => {
            let (epoch, term, ranks) = detail;
            gateway.journal.note(
                "group-known",
                None,
                o!("service" => service.clone(), "group" => unit.clone(), "epoch" => epoch,
                   "term" => term, "state" => format!("{state:?}").to_lowercase(),
                   "ranks" => ranks),
            );
            // What is learned first is no return of the group.
            formed && !is_new
        }
    };
    let has_units = gateway.groups.borrow().has_units(&service);
    if has_units && !had_units {
        split_service(gateway, &service);
    }
    let has_changed = with_unit(gateway, &service, &unit, |unit_state| match state {
        GroupState::Open => unit_state.record_open(now, formed),
        GroupState::Broken => unit_state.record_broken(now),
    });
    if has_changed && has_units {
        match state {
            GroupState::Open => log_unit(gateway, &service, &unit, "serving", "group-formed"),
            GroupState::Broken => {
                log_unit(gateway, &service, &unit, "lost", "leader-reports-broken");
            }
        }
        gateway.capacity_changed.notify_waiters();
    }
}

/// Gives the units of a service, which was one unit so far, the event gap that was measured for
/// all of them.
fn split_service(gateway: &Gateway, service: &str) {
    let units = gateway.groups.borrow().units(service);
    let event_gap = with_unit(gateway, service, &None, |state| state.event_gap);
    for unit in units.iter().filter(|unit| unit.is_some()) {
        with_unit(gateway, service, unit, |state| state.event_gap = event_gap);
    }
}
