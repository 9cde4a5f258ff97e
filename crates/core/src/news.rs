//! What processes tell gateways in datagrams.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::MemberId;
use crate::ids::ServerId;
use crate::ids::ServiceName;

/// What a gateway tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayNews {
    /// VM of the sender.
    pub from: MemberId,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Its requests in flight, by server.
    pub in_flight: Vec<(ServerId, u32)>,
}

/// What the leader of a group of ranks tells the gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupNews {
    /// Service of the group.
    pub service: ServiceName,
    /// Slow engines, with the time that their work takes relative to a sound one.
    pub slow: Vec<(SocketAddr, f64)>,
}

/// A datagram to a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum NewsMessage {
    /// From another gateway.
    Gateway(GatewayNews),
    /// From the leader of a group.
    Group(GroupNews),
}
