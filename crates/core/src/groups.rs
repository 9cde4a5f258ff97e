//! Which servers form a group of ranks, and which units of capacity a service has.
//!
//! All ranks of a group run each pass together, so a group serves or stalls as a whole. In a
//! service with two or more known groups each group is a unit of capacity, and the servers without
//! a known group form one more. Any other service is a single unit.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::GroupName;
use crate::ids::ServiceName;
use crate::orders::GroupEpoch;
use crate::updates::GroupMembers;
use crate::updates::GroupState;

/// Unit of a service: a group, or `None` for the servers that belong to none. A service with fewer
/// than two known groups has only the unit `None`.
pub type UnitName = Option<GroupName>;

/// Groups from which each is a unit of its own.
const MIN_UNIT_GROUPS: usize = 2;
/// Time after which a message no longer makes those of a lower term or epoch outdated. Datagrams
/// are not delayed that long, and epochs start again when all engines of a group do.
const ORDER_MEMORY: Duration = Duration::from_secs(10);
/// Time for which a server that has started again keeps its group while no leader lists it. The
/// group forms, and a new leader is elected, within a few seconds.
const UNCONFIRMED_MEMBER_TIME: Duration = Duration::from_secs(10);
/// Number of times that a leader sends a change, since datagrams may be lost.
const CHANGE_REPEATS: u32 = 3;
/// Interval between these.
const CHANGE_REPEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest interval at which a leader sends an unchanged state.
const MIN_STATE_INTERVAL: Duration = Duration::from_secs(2);
/// The same per gateway, so that a leader's traffic does not grow with their number.
const STATE_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(60);

/// What a message about a group has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// The message is older than one that was received.
    Outdated,
    /// Nothing but the time of the last message.
    Unchanged,
    /// The ranks, the epoch or the state.
    Changed {
        /// Whether the group was not known before.
        is_new: bool,
        /// Whether the group is open under an epoch that was not known to be open before.
        formed: bool,
    },
}

#[derive(Debug, Clone)]
struct KnownGroup {
    members: GroupMembers,
    heard_at: Duration,
    /// Latest epoch under which the group is known to have been open.
    open_epoch: Option<GroupEpoch>,
}

/// Groups of all services, as their leaders report them.
#[derive(Debug, Clone, Default)]
pub struct GroupTable {
    services: FastMap<ServiceName, FastMap<GroupName, KnownGroup>>,
    by_server: FastMap<ServiceName, FastMap<SocketAddr, GroupName>>,
    /// Servers that have started again, with the time until which they keep their group.
    unconfirmed: FastMap<(ServiceName, SocketAddr), Duration>,
}

impl GroupTable {
    /// Records a message of a group's leader. A group that is not open keeps the ranks that the
    /// message omits: a new leader may not know the address of a rank that is lost.
    pub fn record_members(&mut self, now: Duration, mut members: GroupMembers) -> MembershipChange {
        let groups = self.services.entry(members.service.clone()).or_default();
        let known = groups.get(&members.group);
        if let Some(known) = known {
            let order = (members.term, members.epoch);
            let is_older = order < (known.members.term, known.members.epoch);
            if is_older && now < known.heard_at + ORDER_MEMORY {
                return MembershipChange::Outdated;
            }
            if members.state == GroupState::Broken {
                let missing = known.members.ranks.iter();
                let missing: Vec<SocketAddr> =
                    missing.filter(|rank| !members.ranks.contains(rank)).copied().collect();
                members.ranks.extend(missing);
            }
        }
        let is_open = members.state == GroupState::Open;
        let open_before = known.and_then(|known| known.open_epoch);
        let formed = is_open && open_before != Some(members.epoch);
        let open_epoch = if is_open { Some(members.epoch) } else { open_before };
        let change = match known {
            None => MembershipChange::Changed { is_new: true, formed },
            Some(known) if known.members == members => MembershipChange::Unchanged,
            Some(_) => MembershipChange::Changed { is_new: false, formed },
        };
        self.map_servers(&members);
        let groups = self.services.entry(members.service.clone()).or_default();
        groups.insert(members.group.clone(), KnownGroup { members, heard_at: now, open_epoch });
        change
    }

    /// Maps the ranks of a group to it, and no other servers.
    fn map_servers(&mut self, members: &GroupMembers) {
        let by_server = self.by_server.entry(members.service.clone()).or_default();
        by_server.retain(|server, group| *group != members.group || members.ranks.contains(server));
        for server in &members.ranks {
            by_server.insert(*server, members.group.clone());
            if members.state == GroupState::Open && !self.unconfirmed.is_empty() {
                self.unconfirmed.remove(&(members.service.clone(), *server));
            }
        }
    }

    /// Records that another incarnation of a server has started at an address. It keeps its group
    /// until a leader lists it in another one, or does not list it for some seconds: the rank of a
    /// group that forms again takes no streams before the whole group does.
    pub fn record_restart(&mut self, now: Duration, service: &str, address: SocketAddr) {
        if self.group_of(service, address).is_some() {
            let key = (service.to_string(), address);
            self.unconfirmed.insert(key, now + UNCONFIRMED_MEMBER_TIME);
        }
    }

    /// Removes servers from their groups that have started again and were not listed since.
    pub fn remove_unconfirmed(&mut self, now: Duration) {
        let GroupTable { by_server, unconfirmed, .. } = self;
        unconfirmed.retain(|(service, address), until| {
            if now < *until {
                return true;
            }
            if let Some(servers) = by_server.get_mut(service) {
                servers.remove(address);
            }
            false
        });
    }

    /// Returns whether the groups of a service are its units.
    pub fn has_units(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|groups| groups.len() >= MIN_UNIT_GROUPS)
    }

    /// Returns the groups of a service's servers by address, if any is known.
    pub fn servers(&self, service: &str) -> Option<&FastMap<SocketAddr, GroupName>> {
        self.by_server.get(service)
    }

    /// Returns the group of a server.
    pub fn group_of(&self, service: &str, address: SocketAddr) -> Option<&GroupName> {
        self.by_server.get(service)?.get(&address)
    }

    /// Returns the unit to which a server belongs.
    pub fn unit_of(&self, service: &str, address: SocketAddr) -> UnitName {
        if !self.has_units(service) {
            return None;
        }
        self.group_of(service, address).cloned()
    }

    /// Returns the units of a service: the groups in order of their names, and then the servers
    /// without one.
    pub fn units(&self, service: &str) -> Vec<UnitName> {
        let mut units: Vec<UnitName> = match self.services.get(service) {
            Some(groups) if groups.len() >= MIN_UNIT_GROUPS => {
                groups.keys().cloned().map(Some).collect()
            }
            _ => Vec::new(),
        };
        units.sort();
        units.push(None);
        units
    }

    /// Returns the epoch and the state of a group with the time of the last message.
    pub fn state(&self, service: &str, group: &str) -> Option<(GroupEpoch, GroupState, Duration)> {
        let known = self.services.get(service)?.get(group)?;
        Some((known.members.epoch, known.members.state, known.heard_at))
    }

    /// Returns all groups, for a gateway that starts.
    pub fn known(&self) -> Vec<GroupMembers> {
        let groups = self.services.values().flat_map(FastMap::values);
        groups.map(|known| known.members.clone()).collect()
    }
}

/// When the leader of a group sends its ranks and state to the gateways.
#[derive(Debug, Clone, Default)]
pub struct MembersSchedule {
    sent: Option<GroupMembers>,
    repeats_left: u32,
    due_at: Duration,
}

impl MembersSchedule {
    /// Returns whether the message is sent now to `gateways` gateways: a change several times
    /// within a short time, an unchanged state at longer intervals.
    pub fn is_due(&mut self, now: Duration, members: &GroupMembers, gateways: usize) -> bool {
        if self.sent.as_ref() != Some(members) {
            self.sent = Some(members.clone());
            self.repeats_left = CHANGE_REPEATS;
            self.due_at = now;
        }
        if now < self.due_at {
            return false;
        }
        self.repeats_left = self.repeats_left.saturating_sub(1);
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        self.due_at = now
            + match self.repeats_left {
                0 => MIN_STATE_INTERVAL.max(STATE_INTERVAL_PER_GATEWAY.saturating_mul(gateways)),
                _ => CHANGE_REPEAT_INTERVAL,
            };
        true
    }
}
