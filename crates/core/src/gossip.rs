//! Spread of member and configuration changes between entries.
//!
//! A change is passed on a few times by everyone who learns it. Besides, each
//! round compares hashes of everything known, so that a change that was missed
//! is found by its bucket. What one round carries is bounded.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::config::ConfigObject;
use crate::config::ConfigTable;
use crate::ids::ChoiceRng;
use crate::ids::MemberId;
use crate::member::MEMBER_BUCKETS;
use crate::member::MemberRecord;
use crate::member::MemberState;
use crate::member::MemberTable;
use crate::member::member_bucket;

/// Members in one message.
pub const MEMBERS_PER_ROUND: usize = 64;
/// Configuration objects in one message.
pub const OBJECTS_PER_ROUND: usize = 64;
/// Changes that wait to be passed on; older ones are left to the hashes.
const PENDING_CHANGES: usize = 1024;

/// One half of a round.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Entry that sends it.
    pub sender: MemberRecord,
    /// Records that the partner may not have.
    pub members: Vec<MemberRecord>,
    /// Objects that the partner may not have.
    pub objects: Vec<ConfigObject>,
    /// Hashes of the sender's buckets of members.
    pub member_hashes: Vec<u64>,
    /// Hash of the sender's configuration.
    pub config_hash: u64,
    /// Whether this is the second half of a round.
    pub reply: bool,
}

/// A message and the entry that it is for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OutgoingGossip {
    /// Address of the entry.
    pub address: String,
    /// The message.
    pub message: GossipMessage,
}

#[derive(Debug, Clone)]
struct PendingChange {
    key: String,
    left: u32,
}

/// Changes to pass on, and where the comparison of everything stands.
#[derive(Debug, Clone)]
pub struct GossipCore {
    sender: MemberRecord,
    members: VecDeque<PendingChange>,
    objects: VecDeque<PendingChange>,
    cursor: usize,
    fleet: usize,
}

impl GossipCore {
    /// Starts with nothing to pass on.
    pub fn new(sender: MemberRecord) -> GossipCore {
        GossipCore {
            sender,
            members: VecDeque::new(),
            objects: VecDeque::new(),
            cursor: 0,
            fleet: 1,
        }
    }

    /// Changes what this entry says of itself.
    pub fn set_sender(&mut self, sender: MemberRecord) {
        self.sender = sender;
    }

    /// Passes a member's record on in the coming rounds.
    pub fn queue_member_change(&mut self, id: &MemberId) {
        let left = spread_rounds(self.fleet);
        push_change(&mut self.members, PendingChange { key: id.clone(), left });
    }

    /// Passes a configuration object on in the coming rounds.
    pub fn queue_object_change(&mut self, key: &str) {
        let left = spread_rounds(self.fleet);
        push_change(&mut self.objects, PendingChange { key: key.to_string(), left });
    }

    /// Starts a round with a random entry that has not gone.
    pub fn begin(
        &mut self,
        members: &MemberTable,
        config: &ConfigTable,
        rng: &mut ChoiceRng,
    ) -> Option<OutgoingGossip> {
        let mut partners: Vec<&MemberRecord> = members
            .records()
            .filter(|record| record.service.is_none() && record.state != MemberState::Gone)
            .filter(|record| record.id != self.sender.id)
            .collect();
        partners.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        self.fleet = partners.len() + 1;
        let partner = partners.get(rng.below(partners.len()))?;
        let address = partner.address.clone();
        let message = self.message(members, config, false);
        Some(OutgoingGossip { address, message })
    }

    /// Answers a round that a partner started.
    pub fn answer(
        &mut self,
        message: &GossipMessage,
        members: &MemberTable,
        config: &ConfigTable,
    ) -> OutgoingGossip {
        let mut reply = self.message(members, config, true);
        let own_hashes = members.bucket_hashes();
        let differs =
            |bucket: usize| message.member_hashes.get(bucket) != Some(&own_hashes[bucket]);
        let differing: Vec<&MemberRecord> =
            members.records().filter(|record| differs(member_bucket(&record.id))).collect();
        let room = MEMBERS_PER_ROUND.saturating_sub(reply.members.len());
        for record in rotated(&differing, self.cursor).take(room) {
            reply.members.push((*record).clone());
        }
        if message.config_hash != config.digest() {
            let objects = config.objects_after(0);
            let room = OBJECTS_PER_ROUND.saturating_sub(reply.objects.len());
            reply.objects.extend(rotated(&objects, self.cursor).take(room).cloned());
        }
        self.cursor = self.cursor.wrapping_add(MEMBERS_PER_ROUND);
        OutgoingGossip { address: message.sender.address.clone(), message: reply }
    }

    fn message(
        &mut self,
        members: &MemberTable,
        config: &ConfigTable,
        reply: bool,
    ) -> GossipMessage {
        let ids = take_changes(&mut self.members, MEMBERS_PER_ROUND);
        let keys = take_changes(&mut self.objects, OBJECTS_PER_ROUND);
        let records = ids.iter().filter_map(|id| members.get(id));
        GossipMessage {
            sender: self.sender.clone(),
            members: records.map(|known| known.record.clone()).collect(),
            objects: keys.iter().filter_map(|key| config.object(key)).collect(),
            member_hashes: members.bucket_hashes().to_vec(),
            config_hash: config.digest(),
            reply,
        }
    }
}

/// Whether a message's hashes have the expected shape.
pub fn is_well_formed(message: &GossipMessage) -> bool {
    message.member_hashes.len() == MEMBER_BUCKETS
        && message.members.len() <= MEMBERS_PER_ROUND
        && message.objects.len() <= OBJECTS_PER_ROUND
}

/// Rounds for which a change is passed on: enough to reach all with few losses.
fn spread_rounds(fleet: usize) -> u32 {
    fleet.max(2).ilog2() + 3
}

fn push_change(changes: &mut VecDeque<PendingChange>, change: PendingChange) {
    changes.retain(|pending| pending.key != change.key);
    changes.push_front(change);
    changes.truncate(PENDING_CHANGES);
}

fn take_changes(changes: &mut VecDeque<PendingChange>, most: usize) -> Vec<String> {
    let count = most.min(changes.len());
    let mut keys = Vec::with_capacity(count);
    for _ in 0..count {
        let Some(mut change) = changes.pop_front() else {
            break;
        };
        keys.push(change.key.clone());
        change.left -= 1;
        if change.left > 0 {
            changes.push_back(change);
        }
    }
    keys
}

fn rotated<T>(items: &[T], cursor: usize) -> impl Iterator<Item = &T> {
    let start = if items.is_empty() { 0 } else { cursor % items.len() };
    items[start..].iter().chain(&items[..start])
}
