//! Converts between wire messages and the types of the core crate.

use cuminpick::choose::LoadReport;
use cuminpick::config::ConfigObject;
use cuminpick::gossip::GossipMessage;
use cuminpick::member::MemberRecord;
use cuminpick::member::MemberState;

use crate::wire;

/// Converts a load report; `clock` is the sender's hybrid clock stamp.
pub fn load_to_wire(report: LoadReport, clock: u64) -> wire::LoadFigure {
    wire::LoadFigure {
        in_flight: report.in_flight,
        limit: report.limit,
        leaving: report.leaving,
        clock,
    }
}

/// Converts a received load report.
pub fn load_from_wire(load: &wire::LoadFigure) -> LoadReport {
    LoadReport { in_flight: load.in_flight, limit: load.limit, leaving: load.leaving }
}

/// Converts a member record.
pub fn member_to_wire(record: &MemberRecord) -> wire::MemberRecord {
    wire::MemberRecord {
        id: record.id.clone(),
        address: record.address.clone(),
        zone: record.zone.clone(),
        service: record.service.clone().unwrap_or_default(),
        incarnation: record.incarnation,
        sequence: record.sequence,
        state: record.state as u32,
    }
}

/// Converts a received member record; `None` if this version does not know its state.
pub fn member_from_wire(record: wire::MemberRecord) -> Option<MemberRecord> {
    let state = match record.state {
        0 => MemberState::Live,
        1 => MemberState::Leaving,
        2 => MemberState::Gone,
        _ => return None,
    };
    Some(MemberRecord {
        id: record.id,
        address: record.address,
        zone: record.zone,
        service: Some(record.service).filter(|service| !service.is_empty()),
        incarnation: record.incarnation,
        sequence: record.sequence,
        state,
    })
}

/// Converts a configuration object.
pub fn object_to_wire(object: &ConfigObject) -> wire::ConfigObject {
    wire::ConfigObject {
        key: object.key.clone(),
        version: object.version,
        deleted: object.value.is_none(),
        value: object.value.clone().unwrap_or_default(),
    }
}

/// Converts a received configuration object.
pub fn object_from_wire(object: wire::ConfigObject) -> ConfigObject {
    ConfigObject {
        key: object.key,
        version: object.version,
        value: (!object.deleted).then_some(object.value),
    }
}

/// Converts a gossip message, the request or the reply of a round; `clock` is the sender's
/// hybrid clock stamp.
pub fn gossip_to_wire(message: &GossipMessage, clock: u64) -> wire::GossipRound {
    wire::GossipRound {
        sender: Some(member_to_wire(&message.sender)),
        members: message.members.iter().map(member_to_wire).collect(),
        objects: message.objects.iter().map(object_to_wire).collect(),
        member_hashes: message.member_hashes.clone(),
        config_hash: message.config_hash,
        clock,
    }
}

/// Converts a received gossip message; `None` if its sender is missing or in an unknown state.
pub fn gossip_from_wire(round: wire::GossipRound, reply: bool) -> Option<GossipMessage> {
    Some(GossipMessage {
        sender: member_from_wire(round.sender?)?,
        members: round.members.into_iter().filter_map(member_from_wire).collect(),
        objects: round.objects.into_iter().map(object_from_wire).collect(),
        member_hashes: round.member_hashes,
        config_hash: round.config_hash,
        reply,
    })
}
