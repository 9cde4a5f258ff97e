//! An entry's view of the fleet: members, configuration and the backend servers that follow
//! from them.
//!
//! Records and configuration come in from agents, other entries and the platform; what changed
//! goes out as [`EntryAction`]s and is queued for gossip.

use std::time::Duration;

use crate::choose::ServerTable;
use crate::config::ConfigObject;
use crate::config::ConfigTable;
use crate::entry_event::EntryAction;
use crate::gossip::GossipCore;
use crate::gossip::GossipMessage;
use crate::gossip::OutgoingGossip;
use crate::ids::ChoiceRng;
use crate::ids::FastMap;
use crate::ids::MemberId;
use crate::member::MemberRecord;
use crate::member::MemberState;
use crate::member::MemberTable;

/// Time without an announcement after which an agent counts as gone.
const AGENT_TIMEOUT: Duration = Duration::from_secs(4);
/// Consecutive failed rounds of gossip after which an entry counts as gone.
const FAILED_ROUNDS_UNTIL_GONE: u32 = 2;

/// Members, configuration and backend servers known to one entry.
#[derive(Debug, Clone)]
pub struct FleetView {
    own_record: MemberRecord,
    config: ConfigTable,
    members: MemberTable,
    /// Backend servers that requests can be sent to, with their load.
    pub servers: ServerTable,
    gossip: GossipCore,
    failed_rounds: FastMap<MemberId, u32>,
}

impl FleetView {
    /// Creates a view that knows only this entry.
    pub fn new(own_record: MemberRecord) -> FleetView {
        let mut members = MemberTable::default();
        members.merge(Duration::ZERO, own_record.clone());
        FleetView {
            gossip: GossipCore::new(own_record.clone()),
            own_record,
            config: ConfigTable::default(),
            members,
            servers: ServerTable::default(),
            failed_rounds: FastMap::default(),
        }
    }

    /// Returns the record that this entry publishes of itself.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own_record
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &ConfigTable {
        &self.config
    }

    /// Returns the known members.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Starts a round of gossip; returns `None` if no other entry is known.
    pub fn begin_gossip(&mut self, rng: &mut ChoiceRng) -> Option<OutgoingGossip> {
        self.gossip.start_round(&self.members, &self.config, rng)
    }

    /// Records an agent's announcement of itself.
    pub fn record_agent(
        &mut self,
        now: Duration,
        record: MemberRecord,
        actions: &mut Vec<EntryAction>,
    ) {
        let id = record.id.clone();
        self.merge_members(now, vec![record], actions);
        self.members.record_contact(now, &id);
    }

    /// Applies a gossip message; replies to it unless it is a reply itself.
    pub fn receive_gossip(
        &mut self,
        now: Duration,
        message: GossipMessage,
        actions: &mut Vec<EntryAction>,
    ) {
        let needs_reply = !message.reply;
        let reply =
            needs_reply.then(|| self.gossip.answer_round(&message, &self.members, &self.config));
        self.failed_rounds.remove(&message.sender.id);
        self.merge_members(now, message.members, actions);
        self.merge_members(now, vec![message.sender], actions);
        self.apply_config(message.objects, actions);
        actions.extend(reply.map(EntryAction::Gossip));
    }

    /// Applies records of members.
    ///
    /// A record that wrongly reports this entry as leaving or gone is refuted.
    pub fn merge_members(
        &mut self,
        now: Duration,
        records: Vec<MemberRecord>,
        actions: &mut Vec<EntryAction>,
    ) {
        for record in records {
            if record.id == self.own_record.id {
                self.refute(now, &record);
                continue;
            }
            if self.members.merge(now, record.clone()) {
                self.update_server(&record);
                self.gossip.queue_member_change(&record.id);
                actions.push(EntryAction::MemberChanged(record));
            }
        }
    }

    /// Raises this entry's sequence above that of a record that reports a later state than
    /// its own.
    fn refute(&mut self, now: Duration, record: &MemberRecord) {
        let own = &mut self.own_record;
        let contradicts_own = record.incarnation == own.incarnation
            && record.state > own.state
            && record.sequence >= own.sequence;
        if contradicts_own {
            own.sequence = record.sequence + 1;
            self.publish_own_record(now);
        }
    }

    fn update_server(&mut self, record: &MemberRecord) {
        let Some(service) = &record.service else {
            return;
        };
        if record.state == MemberState::Gone {
            self.servers.remove(&record.id);
            return;
        }
        let in_service = record.state == MemberState::Live
            && self.config.is_zone_in_service(&record.zone)
            && self.config.is_server_in_service(&record.id);
        self.servers.upsert(&record.id, &record.address, &record.zone, service, in_service);
    }

    /// Applies configuration changes; those that are invalid are rejected and not passed on.
    pub fn apply_config(&mut self, objects: Vec<ConfigObject>, actions: &mut Vec<EntryAction>) {
        let (accepted, errors) = self.config.merge_all(objects);
        if !errors.is_empty() {
            actions.push(EntryAction::Reject(errors));
        }
        if accepted.is_empty() {
            return;
        }
        for object in &accepted {
            self.gossip.queue_object_change(&object.key);
        }
        let config = &self.config;
        let members = &self.members;
        self.servers.refresh(|id, zone| {
            let live = members.get(id).is_some_and(|known| known.record.state == MemberState::Live);
            live && config.is_zone_in_service(zone) && config.is_server_in_service(id)
        });
        actions.push(EntryAction::InForce(accepted));
    }

    /// Records a failed round of gossip with the entry at `address`.
    pub fn record_failed_round(
        &mut self,
        now: Duration,
        address: &str,
        actions: &mut Vec<EntryAction>,
    ) {
        let entries = self.members.records().filter(|record| record.service.is_none());
        let failed_id = entries
            .filter(|record| record.address == address && record.state != MemberState::Gone)
            .map(|record| record.id.clone())
            .next();
        let Some(id) = failed_id else {
            return;
        };
        let rounds = self.failed_rounds.entry(id.clone()).or_insert(0);
        *rounds += 1;
        if *rounds >= FAILED_ROUNDS_UNTIL_GONE {
            self.failed_rounds.remove(&id);
            self.mark_gone(now, &id, actions);
        }
    }

    /// Marks silent agents as gone and removes members that have been gone for long.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<EntryAction>) {
        for id in self.members.silent_members(now, AGENT_TIMEOUT) {
            self.mark_gone(now, &id, actions);
        }
        self.members.remove_expired(now);
    }

    /// Publishes that this entry is leaving.
    pub fn announce_leaving(&mut self, now: Duration, actions: &mut Vec<EntryAction>) {
        self.own_record.state = MemberState::Leaving;
        self.own_record.sequence += 1;
        self.publish_own_record(now);
        actions.push(EntryAction::MemberChanged(self.own_record.clone()));
    }

    fn mark_gone(&mut self, now: Duration, id: &str, actions: &mut Vec<EntryAction>) {
        if id == self.own_record.id {
            return;
        }
        if let Some(record) = self.members.mark_gone(now, id) {
            self.update_server(&record);
            self.gossip.queue_member_change(&record.id);
            actions.push(EntryAction::MemberChanged(record));
        }
    }

    fn publish_own_record(&mut self, now: Duration) {
        self.members.merge(now, self.own_record.clone());
        self.gossip.set_sender(self.own_record.clone());
    }
}
