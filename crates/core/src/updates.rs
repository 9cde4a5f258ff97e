//! What processes tell gateways in datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::MemberId;
use crate::ids::RequestDigest;
use crate::ids::ServerId;
use crate::ids::ServiceName;

/// Interval at which a gateway tells the others of its requests; one holds a slot for
/// some hundred milliseconds or more.
const UPDATE_INTERVAL: Duration = Duration::from_millis(60);
/// Gateways up to which that interval holds; with more each tells less often, so that
/// what a gateway hears in a second does not grow with their number.
const FULL_RATE_GATEWAYS: u32 = 32;

/// Returns the interval at which each of so many gateways tells the others of its
/// requests in flight.
pub fn update_interval(gateways: usize) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    UPDATE_INTERVAL * gateways.max(FULL_RATE_GATEWAYS) / FULL_RATE_GATEWAYS
}

/// What a gateway tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayUpdate {
    /// VM of the sender.
    pub from: MemberId,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Its requests in flight, by server.
    pub in_flight: Vec<(ServerId, u32)>,
}

/// What the leader of a group of ranks tells the gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupUpdate {
    /// Service of the group.
    pub service: ServiceName,
    /// Slow engines, with the time that their work takes relative to a sound one.
    #[serde(rename = "slow")]
    pub slow_engines: Vec<(SocketAddr, f64)>,
}

/// The end of a server under a request, as one gateway tells others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// Request.
    pub digest: RequestDigest,
    /// Server.
    pub server: ServerId,
    /// Start of the server, in milliseconds since the Unix epoch.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// How long ago the end was noticed, in milliseconds.
    pub age_ms: u64,
}

/// What a gateway tells the others of requests under which servers ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Ends of servers.
    #[serde(rename = "ends")]
    pub crashes: Vec<CrashNotice>,
    /// Requests that were answered although servers had ended under them.
    pub answered: Vec<RequestDigest>,
}

/// A datagram to a gateway. Variants are only added at the end: during a rolling
/// update gateways of two versions hear each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum UpdateMessage {
    /// From another gateway.
    Gateway(GatewayUpdate),
    /// From the leader of a group.
    Group(GroupUpdate),
    /// From another gateway.
    Crashes(CrashUpdate),
}
