//! What an entry knows of the fleet: members, configuration and routes.

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

/// Silence after which an announcing agent counts as gone.
const MEMBER_SILENCE: Duration = Duration::from_secs(4);
/// Rounds of gossip in a row that fail before an entry counts as gone.
const FAILED_ROUNDS: u32 = 2;

/// Members, configuration and the routes that follow from both.
#[derive(Debug, Clone)]
pub struct FleetView {
    own: MemberRecord,
    config: ConfigTable,
    members: MemberTable,
    /// Backend servers and their load.
    pub servers: ServerTable,
    gossip: GossipCore,
    failed_rounds: FastMap<MemberId, u32>,
}

impl FleetView {
    /// Starts with nothing but this entry itself.
    pub fn new(own: MemberRecord) -> FleetView {
        let mut members = MemberTable::default();
        members.merge(Duration::ZERO, own.clone());
        FleetView {
            gossip: GossipCore::new(own.clone()),
            own,
            config: ConfigTable::default(),
            members,
            servers: ServerTable::default(),
            failed_rounds: FastMap::default(),
        }
    }

    /// This entry as a member.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Configuration in force.
    pub fn config(&self) -> &ConfigTable {
        &self.config
    }

    /// Members known.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Starts a round of gossip.
    pub fn begin_gossip(&mut self, rng: &mut ChoiceRng) -> Option<OutgoingGossip> {
        self.gossip.begin(&self.members, &self.config, rng)
    }

    /// Takes in an agent's announcement of itself.
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

    /// Takes in half a round of gossip and answers a first half.
    pub fn receive_gossip(
        &mut self,
        now: Duration,
        message: GossipMessage,
        actions: &mut Vec<EntryAction>,
    ) {
        let reply_wanted = !message.reply;
        let answer =
            reply_wanted.then(|| self.gossip.answer(&message, &self.members, &self.config));
        self.failed_rounds.remove(&message.sender.id);
        self.merge_members(now, message.members, actions);
        self.merge_members(now, vec![message.sender], actions);
        self.apply_config(message.objects, actions);
        actions.extend(answer.map(EntryAction::Gossip));
    }

    /// Takes in members' records.
    pub fn merge_members(
        &mut self,
        now: Duration,
        records: Vec<MemberRecord>,
        actions: &mut Vec<EntryAction>,
    ) {
        for record in records {
            if record.id == self.own.id {
                self.refute(now, &record);
                continue;
            }
            if self.members.merge(now, record.clone()) {
                self.route_member(&record);
                self.gossip.queue_member_change(&record.id);
                actions.push(EntryAction::MemberChanged(record));
            }
        }
    }

    /// Raises this entry's own sequence above news that it does not share.
    fn refute(&mut self, now: Duration, record: &MemberRecord) {
        let own = &mut self.own;
        let wrong = record.incarnation == own.incarnation
            && record.state > own.state
            && record.sequence >= own.sequence;
        if wrong {
            own.sequence = record.sequence + 1;
            self.show_own(now);
        }
    }

    fn route_member(&mut self, record: &MemberRecord) {
        let Some(service) = &record.service else {
            return;
        };
        if record.state == MemberState::Gone {
            self.servers.remove(&record.id);
            return;
        }
        let in_force = record.state == MemberState::Live
            && self.config.is_zone_in_service(&record.zone)
            && self.config.is_server_in_service(&record.id);
        self.servers.upsert(&record.id, &record.address, &record.zone, service, in_force);
    }

    /// Takes in configuration.
    pub fn apply_config(&mut self, objects: Vec<ConfigObject>, actions: &mut Vec<EntryAction>) {
        let (taken, faults) = self.config.merge_all(objects);
        if !faults.is_empty() {
            actions.push(EntryAction::Reject(faults));
        }
        if taken.is_empty() {
            return;
        }
        for object in &taken {
            self.gossip.queue_object_change(&object.key);
        }
        let config = &self.config;
        let members = &self.members;
        self.servers.refresh(|id, zone| {
            let live = members.get(id).is_some_and(|known| known.record.state == MemberState::Live);
            live && config.is_zone_in_service(zone) && config.is_server_in_service(id)
        });
        actions.push(EntryAction::InForce(taken));
    }

    /// Notes that a round with the entry at `address` failed.
    pub fn record_failed_round(
        &mut self,
        now: Duration,
        address: &str,
        actions: &mut Vec<EntryAction>,
    ) {
        let entries = self.members.records().filter(|record| record.service.is_none());
        let failed = entries
            .filter(|record| record.address == address && record.state != MemberState::Gone)
            .map(|record| record.id.clone())
            .next();
        let Some(id) = failed else {
            return;
        };
        let rounds = self.failed_rounds.entry(id.clone()).or_insert(0);
        *rounds += 1;
        if *rounds >= FAILED_ROUNDS {
            self.failed_rounds.remove(&id);
            self.mark_gone(now, &id, actions);
        }
    }

    /// Marks agents gone that have fallen silent, and forgets old members.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<EntryAction>) {
        for id in self.members.silent_members(now, MEMBER_SILENCE) {
            self.mark_gone(now, &id, actions);
        }
        self.members.remove_expired(now);
    }

    /// Tells others that this entry leaves.
    pub fn announce_leaving(&mut self, now: Duration, actions: &mut Vec<EntryAction>) {
        self.own.state = MemberState::Leaving;
        self.own.sequence += 1;
        self.show_own(now);
        actions.push(EntryAction::MemberChanged(self.own.clone()));
    }

    fn mark_gone(&mut self, now: Duration, id: &str, actions: &mut Vec<EntryAction>) {
        if id == self.own.id {
            return;
        }
        if let Some(record) = self.members.mark_gone(now, id) {
            self.route_member(&record);
            self.gossip.queue_member_change(&record.id);
            actions.push(EntryAction::MemberChanged(record));
        }
    }

    fn show_own(&mut self, now: Duration) {
        self.members.merge(now, self.own.clone());
        self.gossip.set_sender(self.own.clone());
    }
}
