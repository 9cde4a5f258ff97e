//! Conversions between messages on the wire and the types of the decisions.

use cuminpick::choose::LoadReport;
use cuminpick::config::ConfigObject;
use cuminpick::gossip::GossipMessage;
use cuminpick::member::MemberRecord;
use cuminpick::member::MemberState;

use crate::wire;

/// Writes a load report.
pub fn load_to_wire(report: LoadReport, clock: u64) -> wire::LoadFigure {
    wire::LoadFigure {
        in_flight: report.in_flight,
        limit: report.limit,
        leaving: report.leaving,
        clock,
    }
}

/// Reads a load report.
pub fn load_from_wire(figure: &wire::LoadFigure) -> LoadReport {
    LoadReport { in_flight: figure.in_flight, limit: figure.limit, leaving: figure.leaving }
}

/// Writes a member's record.
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

/// Reads a member's record; `None` when its state is unknown to this version.
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

/// Writes a configuration object.
pub fn object_to_wire(object: &ConfigObject) -> wire::ConfigObject {
    wire::ConfigObject {
        key: object.key.clone(),
        version: object.version,
        deleted: object.value.is_none(),
        value: object.value.clone().unwrap_or_default(),
    }
}

/// Reads a configuration object.
pub fn object_from_wire(object: wire::ConfigObject) -> ConfigObject {
    ConfigObject {
        key: object.key,
        version: object.version,
        value: (!object.deleted).then_some(object.value),
    }
}

/// Writes half a round of gossip.
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

/// Reads half a round of gossip; `None` when its sender is missing.
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
