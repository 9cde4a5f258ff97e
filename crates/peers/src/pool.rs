//! Bounded pool of connections to other processes.

use std::sync::Mutex;
use std::time::Duration;

use cuminpick::ids::FastMap;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two keep-alive pings on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time to wait for the answer to a keep-alive ping.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

struct PooledChannel {
    channel: Channel,
    used: u64,
}

/// Connections by address; the least recently used goes first.
pub struct ChannelPool {
    capacity: usize,
    state: Mutex<PoolState>,
}

#[derive(Default)]
struct PoolState {
    channels: FastMap<String, PooledChannel>,
    uses: u64,
}

impl ChannelPool {
    /// Makes a pool of at most `capacity` connections.
    pub fn new(capacity: usize) -> ChannelPool {
        ChannelPool { capacity, state: Mutex::new(PoolState::default()) }
    }

    /// Returns an open connection to `address` (IP and port).
    ///
    /// An error means that nothing was sent.
    pub async fn connect(&self, address: &str) -> Result<Channel, tonic::transport::Error> {
        if let Some(channel) = self.lookup(address) {
            return Ok(channel);
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT);
        let channel = endpoint.connect().await?;
        self.store(address, channel.clone());
        Ok(channel)
    }

    /// Forgets the connection to `address`; calls in flight keep it.
    pub fn forget(&self, address: &str) {
        let mut state = self.lock();
        state.channels.remove(address);
    }

    /// Returns the number of connections kept.
    pub fn len(&self) -> usize {
        self.lock().channels.len()
    }

    /// Whether no connection is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lookup(&self, address: &str) -> Option<Channel> {
        let mut state = self.lock();
        state.uses += 1;
        let uses = state.uses;
        let pooled = state.channels.get_mut(address)?;
        pooled.used = uses;
        Some(pooled.channel.clone())
    }

    fn store(&self, address: &str, channel: Channel) {
        let mut state = self.lock();
        state.uses += 1;
        let used = state.uses;
        state.channels.insert(address.to_string(), PooledChannel { channel, used });
        if state.channels.len() > self.capacity {
            let oldest = state.channels.iter().min_by_key(|(_, pooled)| pooled.used);
            if let Some(oldest) = oldest.map(|(address, _)| address.clone()) {
                state.channels.remove(&oldest);
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
