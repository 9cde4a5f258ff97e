//! Gossip of member and configuration changes between entries.
//!
//! Every entry that learns a change retransmits it in a few rounds. In addition, each
//! round compares hashes of the whole state (anti-entropy), so that a missed change is
//! found by the bucket that differs. The size of a message is bounded.

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

/// Highest number of member records in one message.
pub const MAX_MESSAGE_MEMBERS: usize = 64;
/// Highest number of configuration objects in one message.
pub const MAX_MESSAGE_OBJECTS: usize = 64;
/// Highest number of queued changes; the oldest beyond it are left to anti-entropy.
const MAX_PENDING_CHANGES: usize = 1024;

/// Message of a gossip round: a request or the reply to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Record of the sending entry.
    pub sender: MemberRecord,
    /// Member records that the receiver may lack.
    pub members: Vec<MemberRecord>,
    /// Configuration objects that the receiver may lack.
    pub objects: Vec<ConfigObject>,
    /// Hash of each bucket of members that the sender knows.
    pub member_hashes: Vec<u64>,
    /// Hash of the configuration that the sender knows.
    pub config_hash: u64,
    /// Whether this is the reply of a round.
    pub reply: bool,
}

/// A gossip message and the entry to send it to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OutgoingGossip {
    /// IP and port of the receiving entry.
    pub address: String,
    /// Message to send.
    pub message: GossipMessage,
}

#[derive(Debug, Clone)]
struct PendingChange {
    key: String,
    rounds_left: u32,
}

/// Queued changes and the position of the anti-entropy scan.
#[derive(Debug, Clone)]
pub struct GossipCore {
    sender: MemberRecord,
    pending_members: VecDeque<PendingChange>,
    pending_objects: VecDeque<PendingChange>,
    cursor: usize,
    entry_count: usize,
}

impl GossipCore {
    /// Creates a state without queued changes; `sender` is the record of this entry.
    pub fn new(sender: MemberRecord) -> GossipCore {
        GossipCore {
            sender,
            pending_members: VecDeque::new(),
            pending_objects: VecDeque::new(),
            cursor: 0,
            entry_count: 1,
        }
    }

    /// Replaces the record that this entry publishes of itself.
    pub fn set_sender(&mut self, sender: MemberRecord) {
        self.sender = sender;
    }

    /// Queues a member's record for the next rounds.
    pub fn queue_member_change(&mut self, id: &MemberId) {
        let rounds_left = retransmit_rounds(self.entry_count);
        push_change(&mut self.pending_members, PendingChange { key: id.clone(), rounds_left });
    }

    /// Queues a configuration object for the next rounds.
    pub fn queue_object_change(&mut self, key: &str) {
        let rounds_left = retransmit_rounds(self.entry_count);
        push_change(&mut self.pending_objects, PendingChange { key: key.to_string(), rounds_left });
    }

    /// Starts a round with a random other entry; returns `None` if there is none that is not gone.
    pub fn start_round(
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
        self.entry_count = partners.len() + 1;
        let partner = partners.get(rng.below(partners.len()))?;
        let address = partner.address.clone();
        let message = self.build_message(members, config, false);
        Some(OutgoingGossip { address, message })
    }

    /// Returns the reply to a round that another entry started.
    ///
    /// Besides queued changes it carries members of the buckets that differ and, if the hash of
    /// the configuration differs, configuration objects, up to the limits of a message.
    pub fn answer_round(
        &mut self,
        message: &GossipMessage,
        members: &MemberTable,
        config: &ConfigTable,
    ) -> OutgoingGossip {
        let mut reply = self.build_message(members, config, true);
        let own_hashes = members.bucket_hashes();
        let differs =
            |bucket: usize| message.member_hashes.get(bucket) != Some(&own_hashes[bucket]);
        let differing: Vec<&MemberRecord> =
            members.records().filter(|record| differs(member_bucket(&record.id))).collect();
        let free_slots = MAX_MESSAGE_MEMBERS.saturating_sub(reply.members.len());
        for record in rotated(&differing, self.cursor).take(free_slots) {
            reply.members.push((*record).clone());
        }
        if message.config_hash != config.digest() {
            let objects = config.objects_after(0);
            let free_slots = MAX_MESSAGE_OBJECTS.saturating_sub(reply.objects.len());
            reply.objects.extend(rotated(&objects, self.cursor).take(free_slots).cloned());
        }
        self.cursor = self.cursor.wrapping_add(MAX_MESSAGE_MEMBERS);
        OutgoingGossip { address: message.sender.address.clone(), message: reply }
    }

    fn build_message(
        &mut self,
        members: &MemberTable,
        config: &ConfigTable,
        reply: bool,
    ) -> GossipMessage {
        let ids = next_changes(&mut self.pending_members, MAX_MESSAGE_MEMBERS);
        let keys = next_changes(&mut self.pending_objects, MAX_MESSAGE_OBJECTS);
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

/// Returns whether a message has one hash for each bucket and keeps to the size limits.
pub fn is_well_formed(message: &GossipMessage) -> bool {
    message.member_hashes.len() == MEMBER_BUCKETS
        && message.members.len() <= MAX_MESSAGE_MEMBERS
        && message.objects.len() <= MAX_MESSAGE_OBJECTS
}

/// Returns the rounds in which a change is sent: enough to reach all entries despite a few losses.
fn retransmit_rounds(entry_count: usize) -> u32 {
    entry_count.max(2).ilog2() + 3
}

fn push_change(changes: &mut VecDeque<PendingChange>, change: PendingChange) {
    changes.retain(|pending| pending.key != change.key);
    changes.push_front(change);
    changes.truncate(MAX_PENDING_CHANGES);
}

fn next_changes(changes: &mut VecDeque<PendingChange>, limit: usize) -> Vec<String> {
    let count = limit.min(changes.len());
    let mut keys = Vec::with_capacity(count);
    for _ in 0..count {
        let Some(mut change) = changes.pop_front() else {
            break;
        };
        keys.push(change.key.clone());
        change.rounds_left -= 1;
        if change.rounds_left > 0 {
            changes.push_back(change);
        }
    }
    keys
}

fn rotated<T>(items: &[T], cursor: usize) -> impl Iterator<Item = &T> {
    let start = if items.is_empty() { 0 } else { cursor % items.len() };
    items[start..].iter().chain(&items[..start])
}
