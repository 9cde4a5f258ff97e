//! Messages that processes send to gateways in UDP datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::config_order::ConfigStamp;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::OrganisationDigest;
use crate::ids::PartDigest;
use crate::ids::RequestDigest;
use crate::ids::ServerId;
use crate::ids::ServiceName;
use crate::orders::GroupEpoch;
use crate::orders::LeaderTerm;
use crate::store_history::StoreEra;

/// Interval at which a gateway sends its requests in flight to the others. It is short against
/// the time that a request holds a slot: some hundred milliseconds or more.
const UPDATE_INTERVAL: Duration = Duration::from_millis(60);
/// Highest number of gateways that send at [`UPDATE_INTERVAL`]. With more, each sends less
/// often, so that the messages a gateway receives per second do not grow with their number.
const FULL_RATE_GATEWAYS: u32 = 32;

/// Returns the interval at which each of `gateways` gateways sends its requests in flight to
/// the others.
pub fn update_interval(gateways: usize) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    UPDATE_INTERVAL * gateways.max(FULL_RATE_GATEWAYS) / FULL_RATE_GATEWAYS
}

/// Status that a gateway sends to the others at intervals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayUpdate {
    /// VM name of the sender.
    pub from: MemberId,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Number of the sender's requests in flight, by server.
    pub in_flight: Vec<(ServerId, u32)>,
}

/// Status of a group of ranks that its leader sends to the gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupUpdate {
    /// Service of the group.
    pub service: ServiceName,
    /// Addresses of slow engines, each with the time its work takes relative to a healthy one.
    #[serde(rename = "slow")]
    pub slow_engines: Vec<(SocketAddr, f64)>,
}

/// State of a group of ranks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupState {
    /// All ranks run, and the group makes passes.
    Open,
    /// A rank is lost: the group makes no passes until it has formed again.
    Broken,
}

/// Ranks of a group, which its leader sends to the gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMembers {
    /// Service of the group.
    pub service: ServiceName,
    /// Name of the group.
    pub group: GroupName,
    /// Term of the leader; messages of a lower term are outdated.
    pub term: LeaderTerm,
    /// Epoch of the group; rises each time it forms.
    pub epoch: GroupEpoch,
    /// Whether the group makes passes.
    pub state: GroupState,
    /// Addresses of the engines, by rank.
    pub ranks: Vec<SocketAddr>,
}

/// Streams of one priority and organisation that need capacity at a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandEntry {
    /// Priority of the streams; 0 is the most urgent.
    pub priority: u8,
    /// Organisation of the callers; `None` sums the organisations that are not listed.
    pub organisation: Option<OrganisationDigest>,
    /// Streams that wait.
    pub waiting: u16,
    /// Streams that arrived within the last update interval.
    pub arrived: u16,
}

/// Demand for a service at one gateway, sent to the others while it exceeds the capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandUpdate {
    /// VM name of the sender.
    pub from: MemberId,
    /// Service of the streams.
    pub service: ServiceName,
    /// Demand, most urgent first; empty when the sender's demand is met again.
    pub entries: Vec<DemandEntry>,
}

/// Tokens that one gateway's requests hold, or will hold, at servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUpdate {
    /// VM name of the sender.
    pub from: MemberId,
    /// Tokens by server, for servers at which they are a considerable share of the memory.
    pub tokens: Vec<(ServerId, u32)>,
}

/// Crash of a server while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Server that crashed.
    pub server: ServerId,
    /// Start time of the server's incarnation, in milliseconds since the Unix epoch.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Time since the crash was noticed, in milliseconds.
    pub age_ms: u64,
}

/// Crashes of servers under requests, and answers to such requests, that a gateway sends to the
/// others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Crashes of servers while they ran a request.
    #[serde(rename = "ends")]
    pub crashes: Vec<CrashNotice>,
    /// Requests that were answered although servers had crashed while running them.
    pub answered: Vec<RequestDigest>,
}

/// Crash of a server that had not begun to answer a request with a prompt part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrashNotice {
    /// Digest of the part.
    pub part: PartDigest,
    /// Whether the part is known to have been answered before.
    pub answered_before: bool,
    /// Whether few of the other servers had the part.
    pub held_by_few: bool,
    /// Time for which parts had been seen answered before the crash, in milliseconds.
    pub observed_ms: u64,
    /// Requests that the sender refused because the part is suspected.
    pub refused: u32,
    /// Requests of the sender that would be lost if a trial of the part crashes a server.
    pub at_risk: u32,
    /// Service of the server that crashed; empty if unknown.
    pub service: ServiceName,
    /// Server that crashed.
    pub server: ServerId,
    /// Start time of the server's incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Time since the latest request with the part was sent to the server, in milliseconds.
    pub sent_age_ms: u64,
    /// Time since the crash was noticed, in milliseconds.
    pub age_ms: u64,
}

/// Answer to a request with a prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAnswerNotice {
    /// Digest of the part.
    pub part: PartDigest,
    /// Time since the answer began, in milliseconds.
    pub age_ms: u64,
}

/// What a gateway tells the others about suspected prompt parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUpdate {
    /// VM name of the sender.
    pub from: MemberId,
    /// Crashes of servers.
    pub crashes: Vec<PartCrashNotice>,
    /// Answers to requests with parts that were suspected.
    pub answers: Vec<PartAnswerNotice>,
    /// Parts that the sender is about to try.
    pub trials: Vec<PartDigest>,
}

/// What a server states about the requests that it takes from all gateways together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Server that states the limit.
    pub server: ServerId,
    /// Start time of the server's incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Requests per second; `None` if the server states no limit any more.
    pub per_second: Option<f64>,
    /// Time since the statement, in milliseconds.
    pub age_ms: u64,
}

/// Asks the issuer of a server's permits for one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number that the reply repeats.
    pub number: u64,
    /// Limit of the server as the sender knows it.
    pub limit: LimitNotice,
}

/// Grants or refuses a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Number of the request.
    pub number: u64,
    /// Time until the next permit, in milliseconds; `None` if this one is granted.
    pub wait_ms: Option<u64>,
}

/// Announcement of a server that it leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Server that leaves.
    pub server: ServerId,
    /// Start time of the server's incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// Content of a datagram to a gateway.
///
/// New variants are added at the end only: during a rolling update gateways of two versions
/// receive each other's datagrams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum UpdateMessage {
    /// Status of another gateway.
    Gateway(GatewayUpdate),
    /// Status of a group, from its leader.
    Group(GroupUpdate),
    /// Crashes that another gateway knows.
    Crashes(CrashUpdate),
    /// Crashes, answers and trials of prompt parts, from another gateway.
    Parts(PartUpdate),
    /// Limits that servers have stated, from another gateway.
    Limits(Vec<LimitNotice>),
    /// Request for a permit, from another gateway.
    PermitRequest(PermitRequest),
    /// Reply to a request for a permit.
    PermitReply(PermitReply),
    /// Servers that announced that they leave, from another gateway.
    Leaving(Vec<LeavingNotice>),
    /// Era of the platform's store, from another gateway that learned it lately.
    StoreEra(StoreEra),
    /// Configuration in force at another gateway.
    Config(ConfigStamp),
    /// Ranks and state of a group, from its leader.
    Members(GroupMembers),
    /// Demand at another gateway that exceeds the capacity.
    Demand(DemandUpdate),
    /// Tokens of another gateway's requests at servers.
    Tokens(TokenUpdate),
}
