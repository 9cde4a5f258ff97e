//! Bounded pool of gRPC connections to other processes.

use std::sync::Mutex;
use std::time::Duration;

use cuminpick::ids::FastMap;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two keep-alive pings on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for the reply to a keep-alive ping.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// An open connection and the count of uses at its last one.
struct PooledChannel {
    channel: Channel,
    last_use: u64,
}

/// Pool of open connections by address; evicts the least recently used.
pub struct ChannelPool {
    capacity: usize,
    state: Mutex<PoolState>,
}

#[derive(Default)]
struct PoolState {
    channels: FastMap<String, PooledChannel>,
    use_count: u64,
}

impl ChannelPool {
    /// Creates a pool of at most `capacity` connections.
    pub fn new(capacity: usize) -> ChannelPool {
        ChannelPool { capacity, state: Mutex::new(PoolState::default()) }
    }

    /// Returns an open connection to `address` (IP and port).
    ///
    /// Opens one if the pool has none. An error means that nothing was sent.
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
        self.insert(address, channel.clone());
        Ok(channel)
    }

    /// Removes the connection to `address` from the pool; calls in flight keep it open.
    pub fn forget(&self, address: &str) {
        let mut state = self.lock();
        state.channels.remove(address);
    }

    /// Returns the number of pooled connections.
    pub fn len(&self) -> usize {
        self.lock().channels.len()
    }

    /// Returns whether the pool is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lookup(&self, address: &str) -> Option<Channel> {
        let mut state = self.lock();
        state.use_count += 1;
        let use_count = state.use_count;
        let pooled = state.channels.get_mut(address)?;
        pooled.last_use = use_count;
        Some(pooled.channel.clone())
    }

    fn insert(&self, address: &str, channel: Channel) {
        let mut state = self.lock();
        state.use_count += 1;
        let last_use = state.use_count;
        state.channels.insert(address.to_string(), PooledChannel { channel, last_use });
        if state.channels.len() > self.capacity {
            let oldest = state.channels.iter().min_by_key(|(_, pooled)| pooled.last_use);
            if let Some(oldest) = oldest.map(|(address, _)| address.clone()) {
                state.channels.remove(&oldest);
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
