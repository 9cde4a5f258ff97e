//! Input events and output actions of [`EntryCore`](crate::entry::EntryCore).
//!
//! Entries write both to their traces, so the names of variants and fields are part of the
//! trace format.

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

/// Parameters that an entry starts with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryParameters {
    /// Member record that this entry announces.
    pub member: MemberRecord,
    /// Maximum number of queued requests per service.
    pub queue_capacity: usize,
    /// Seed of the random generator behind server and peer choices.
    pub seed: u64,
}

/// A request as it arrived from the caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Identifier assigned by the entry.
    pub request: RequestId,
    /// Class that the caller named; sets the service and its targets.
    pub class: ClassName,
    /// Organisation that the request counts against.
    pub organisation: OrganisationName,
    /// Hash of the organisation and the start of the body, for prefix-cache affinity.
    pub prefix: u64,
    /// Time left until the caller's deadline; `None` without one.
    pub time_left: Option<Duration>,
}

/// Event at an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryEvent {
    /// A request was received completely.
    Arrived(Arrival),
    /// An agent refused an attempt or was unreachable; the request did not run.
    TurnedAway {
        /// Request of the attempt.
        request: RequestId,
        /// Whether the server is only at its limit; otherwise it is avoided for a while.
        full: bool,
    },
    /// An attempt was answered completely.
    Completed(RequestId),
    /// An attempt failed after the request may have reached the backend server.
    Broke {
        /// Request of the attempt.
        request: RequestId,
        /// Whether another attempt can continue the answer without a gap.
        resumable: bool,
    },
    /// The caller disconnected.
    Abandoned(RequestId),
    /// A server's load report was received.
    Load {
        /// Server that the report describes.
        server: ServerId,
        /// Load that the server's agent reported.
        report: LoadReport,
    },
    /// A member announced its record.
    Announced(MemberRecord),
    /// A gossip message was received: the first of a round, which is answered, or its reply.
    Gossiped(GossipMessage),
    /// The interval between two rounds of gossip has elapsed.
    GossipDue,
    /// A round of gossip with the entry at this address failed.
    GossipFailed(String),
    /// Configuration objects were received from the platform or a peer.
    Configured(Vec<ConfigObject>),
    /// Member records were read from the platform's list.
    Listed(Vec<MemberRecord>),
    /// A timer tick, at which queued requests and silent members expire.
    Ticked,
    /// This entry starts to shut down: it tells its peers and reports itself as not ready.
    Draining,
}

/// Action for the daemon of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryAction {
    /// Send an attempt to a backend server's agent.
    Send {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt, from 1.
        attempt: AttemptNumber,
        /// Server that was chosen.
        server: ServerId,
        /// Address of its agent.
        address: String,
        /// Percentage of the server's limit up to which it may be filled.
        fill: FillPercent,
    },
    /// Answer the caller with a final refusal.
    Refuse {
        /// Request that is refused.
        request: RequestId,
        /// Reason, and whether the request may have run.
        refusal: Refusal,
    },
    /// Request a load report from an agent.
    Probe {
        /// Server whose agent is asked.
        server: ServerId,
        /// Address of its agent.
        address: String,
    },
    /// Send a gossip message: the first of a round, or the reply to one received.
    Gossip(OutgoingGossip),
    /// Report configuration objects that replaced older ones and are now in force.
    InForce(Vec<ConfigObject>),
    /// Report objects that were rejected; each text names the remedy.
    Reject(Vec<String>),
    /// Report a member record that changed.
    MemberChanged(MemberRecord),
}
