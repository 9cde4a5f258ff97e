//! What happens at an entry, and what it decides to do.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::choose::LoadReport;
use crate::config::ConfigObject;
use crate::gossip::GossipMessage;
use crate::gossip::OutgoingGossip;
use crate::ids::AttemptNumber;
use crate::ids::ClassName;
use crate::ids::OrganisationName;
use crate::ids::RequestId;
use crate::ids::ServerId;
use crate::member::MemberRecord;
use crate::refusal::Refusal;
use crate::share::FillPercent;

/// Fixed facts of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryParameters {
    /// This entry as a member.
    pub member: MemberRecord,
    /// Requests that may wait for one service.
    pub queue_capacity: usize,
    /// Seed of random choices.
    pub seed: u64,
}

/// A request as the caller stated it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Identity given by the entry.
    pub request: RequestId,
    /// Class of work.
    pub class: ClassName,
    /// Organisation of the caller.
    pub organisation: OrganisationName,
    /// Hash of the organisation and the start of the body.
    pub prefix: u64,
    /// Time left until the caller's deadline.
    pub time_left: Option<Duration>,
}

/// What happened at an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryEvent {
    /// A caller's request came in whole.
    Arrived(Arrival),
    /// An agent refused an attempt, or could not be reached with it.
    TurnedAway {
        /// Request of the attempt.
        request: RequestId,
        /// Whether the backend server is full and otherwise well.
        full: bool,
    },
    /// An attempt's answer is complete.
    Completed(RequestId),
    /// An attempt failed after the request may have reached the backend server.
    Broke {
        /// Request of the attempt.
        request: RequestId,
        /// Whether the attempt can be resumed without a gap in the answer.
        resumable: bool,
    },
    /// The caller went away.
    Abandoned(RequestId),
    /// A load figure came in.
    Load {
        /// Server that the figure is about.
        server: ServerId,
        /// The figure.
        report: LoadReport,
    },
    /// A member announced itself.
    Announced(MemberRecord),
    /// Half a round of gossip came in; a first half is answered.
    Gossiped(GossipMessage),
    /// It is time to start a round of gossip.
    GossipDue,
    /// A round with the entry at this address failed.
    GossipFailed(String),
    /// Objects came from the platform or a peer.
    Configured(Vec<ConfigObject>),
    /// Members came from the platform's list.
    Listed(Vec<MemberRecord>),
    /// Time passed.
    Ticked,
    /// This entry begins to leave.
    Draining,
}

/// What the daemon has to do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryAction {
    /// Send an attempt to a backend server's agent.
    Send {
        /// Request to send.
        request: RequestId,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Server chosen.
        server: ServerId,
        /// Address of its agent.
        address: String,
        /// Part of its limit up to which the server may be filled.
        fill: FillPercent,
    },
    /// Give the caller its final refusal.
    Refuse {
        /// Request refused.
        request: RequestId,
        /// Reason.
        refusal: Refusal,
    },
    /// Ask an agent for its load.
    Probe {
        /// Server to ask about.
        server: ServerId,
        /// Address of its agent.
        address: String,
    },
    /// Start a round of gossip, or answer the one that came in.
    Gossip(OutgoingGossip),
    /// Configuration newer than what was known is in force.
    InForce(Vec<ConfigObject>),
    /// Objects or members were refused; the texts name the remedy.
    Reject(Vec<String>),
    /// A member's record changed.
    MemberChanged(MemberRecord),
}
