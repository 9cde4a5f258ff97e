//! Choice of a backend server by the requests in flight that all gateways hold.
//!
//! The table follows the platform's records, the operators' take-outs, what
//! other gateways tell of their requests, and this gateway's own failures.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::crash_detection::ServerIncarnation;
use crate::ids::ChoiceRng;
use crate::ids::FastMap;
use crate::ids::FastSet;
use crate::ids::MemberId;
use crate::ids::ServerId;
use crate::ids::ZoneName;
use crate::routing::ServerRecord;
use crate::routing::ServerState;
use crate::updates::update_interval;

/// Time for which a server is avoided after a failure of its own; engines that
/// crash are back after some seconds, and a broken connection may be an accident.
const AVOID_TIME: Duration = Duration::from_millis(800);
/// Fewest servers among which the least loaded is chosen, behind many gateways; the
/// test `gateway_news` shows how evenly they are used.
const LEAST_CHOICES: usize = 4;
/// The same over all gateways: a few know better what the others send.
const CHOICES_OF_ALL: usize = 48;
/// Least age after which another gateway's counts no longer hold.
const PEER_COUNTS_AGE: Duration = Duration::from_millis(400);
/// Messages after which a gateway's counts no longer hold, if it takes longer.
const PEER_COUNTS_MESSAGES: u32 = 4;
/// Least age after which another gateway no longer counts as running.
const PEER_LIVE_AGE: Duration = Duration::from_secs(2);
/// Messages after which a gateway no longer counts as running, if it takes longer.
const PEER_LIVE_MESSAGES: u32 = 8;
/// Time for which records that lapsed while the store was away still hold; the
/// platform promises that live servers are back within about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);
/// Requests in flight for each slot above which a server counts as full; engines
/// queue up to twice their slots.
const FULL_PER_SLOT: u32 = 3;
/// Age after which the news that a server is slow no longer holds; five messages.
const SLOW_AGE: Duration = Duration::from_secs(1);
/// Pace from which on a server is spared as long as others are sound. Ranks of a
/// group wait for each other, so its own requests would slow all of them.
const SPARED_PACE: f64 = 2.0;
/// Span over which requests to a cold server are counted.
const COLD_SPAN: Duration = Duration::from_secs(1);
/// Part of what a cold server bears that gateways use together.
const COLD_SHARE: f64 = 0.8;

#[derive(Debug, Clone)]
struct Backend {
    record: ServerRecord,
    cold_until: Duration,
    in_flight: u32,
    /// Requests in flight of the other gateways: the sum of what each told last.
    others: u32,
    avoid_until: Duration,
    missing_since: Option<Duration>,
    recent: VecDeque<Duration>,
}

#[derive(Debug, Clone, Default)]
struct PeerCounts {
    heard: Duration,
    counts: FastMap<ServerId, u32>,
}

/// What a request asks of a server.
#[derive(Debug, Clone)]
pub struct BalanceQuery<'a> {
    /// Service.
    pub service: &'a str,
    /// Zone of this gateway; preferred among equals.
    pub zone: &'a str,
    /// Servers that were tried.
    pub excluded: &'a [ServerId],
    /// Requests per second that a cold server bears; 0 means no bound.
    pub cold_requests_per_second: f64,
}

/// A server that was chosen, with what decided it.
#[derive(Debug, Clone, PartialEq)]
pub struct BalanceChoice {
    /// Server.
    pub server: ServerId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Its start, in milliseconds since the Unix epoch; 0 if not told.
    pub started_ms: u64,
    /// Requests in flight of this gateway.
    pub own_in_flight: u32,
    /// Requests in flight of the others, as far as known.
    pub others_in_flight: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Servers among which it was chosen.
    pub candidates: usize,
}

/// Requests in flight of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceLoad {
    /// Of this gateway.
    pub own_in_flight: u32,
    /// Of the other gateways, as they last told.
    pub others_in_flight: u32,
}

/// Why no server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceError {
    /// No server of the service is known and in force.
    NoneAvailable,
    /// All that are in force were tried.
    AllTried,
    /// All have as much as they take.
    AllFull,
}

/// Backend servers as this gateway knows them.
#[derive(Debug, Clone, Default)]
pub struct BalanceTable {
    backends: FastMap<ServerId, Backend>,
    zones_out: FastSet<ZoneName>,
    peers: FastMap<MemberId, PeerCounts>,
    registered: FastSet<MemberId>,
    slow: FastMap<SocketAddr, (f64, Duration)>,
    contact_regained: Option<Duration>,
}

impl BalanceChoice {
    /// Start of the server that was chosen.
    pub fn incarnation(&self) -> ServerIncarnation {
        ServerIncarnation { server: self.server.clone(), started_ms: self.started_ms }
    }
}

impl BalanceTable {
    /// Takes a whole listing in. After a loss of contact, servers that are not
    /// listed hold on for a while, since their records may have lapsed.
    pub fn replace_all(&mut self, now: Duration, records: Vec<ServerRecord>) {
        let listed: FastSet<ServerId> = records.iter().map(|record| record.id.clone()).collect();
        let gone: Vec<ServerId> =
            self.backends.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for record in records {
            self.upsert(now, record);
        }
        for id in gone {
            self.remove(now, &id);
        }
    }

    /// Notes that the store answers again after it did not.
    pub fn record_store_reconnect(&mut self, now: Duration) {
        self.contact_regained = Some(now);
    }

    /// Takes a record in.
    pub fn upsert(&mut self, now: Duration, record: ServerRecord) {
        let cold_until = now + record.cold_remaining;
        match self.backends.get_mut(&record.id) {
            Some(backend) => {
                if backend.record.started_ms != record.started_ms {
                    backend.avoid_until = Duration::ZERO;
                }
                backend.record = record;
                backend.cold_until = cold_until;
                backend.missing_since = None;
            }
            None => {
                let told = self.peers.values().filter_map(|peer| peer.counts.get(&record.id));
                let backend = Backend {
                    cold_until,
                    in_flight: 0,
                    others: told.sum(),
                    avoid_until: Duration::ZERO,
                    missing_since: None,
                    recent: VecDeque::new(),
                    record: record.clone(),
                };
                self.backends.insert(record.id, backend);
            }
        }
    }

    /// Takes the removal of a record in.
    pub fn remove(&mut self, now: Duration, id: &str) {
        let lapsed = self.contact_regained.is_some_and(|regained| now < regained + LAPSE_GRACE);
        if !lapsed {
            self.backends.remove(id);
            return;
        }
        if let Some(backend) = self.backends.get_mut(id) {
            backend.missing_since.get_or_insert(now);
        }
    }

    /// Drops servers whose records did not come back in time, and peers that are silent.
    pub fn remove_expired(&mut self, now: Duration) {
        let regained = self.contact_regained.unwrap_or_default();
        if now >= regained + LAPSE_GRACE {
            self.backends.retain(|_, backend| backend.missing_since.is_none());
        }
        let age = PEER_LIVE_AGE.max(update_interval(self.live_gateways()) * PEER_LIVE_MESSAGES);
        self.forget_counts(now, age);
        self.peers.retain(|_, peer| now < peer.heard + age);
    }

    /// Takes a zone out, or brings it back.
    pub fn set_zone_out(&mut self, zone: &str, out: bool) {
        if out {
            self.zones_out.insert(zone.to_string());
        } else {
            self.zones_out.remove(zone);
        }
    }

    /// Replaces the zones that are out.
    pub fn replace_zones_out(&mut self, zones: impl Iterator<Item = ZoneName>) {
        self.zones_out = zones.collect();
    }

    /// Takes in the requests in flight of another gateway.
    pub fn update_peer_counts(&mut self, now: Duration, peer: &str, counts: Vec<(ServerId, u32)>) {
        let peer = self.peers.entry(peer.to_string()).or_default();
        peer.heard = now;
        let counts: FastMap<ServerId, u32> = counts.into_iter().collect();
        for (id, count) in &counts {
            if let Some(backend) = self.backends.get_mut(id) {
                backend.others += count;
            }
        }
        let before = std::mem::replace(&mut peer.counts, counts);
        take_off(&mut self.backends, before);
    }

    /// Takes in which servers are slow, with the time that their work takes
    /// relative to a sound one.
    pub fn update_slow_servers(&mut self, now: Duration, slow: Vec<(SocketAddr, f64)>) {
        self.slow.retain(|_, (_, heard)| now < *heard + SLOW_AGE);
        self.slow.extend(slow.into_iter().map(|(address, pace)| (address, (pace, now))));
    }

    /// Takes in which other gateways are registered in the store.
    pub fn set_registered_gateways(&mut self, names: impl Iterator<Item = MemberId>) {
        self.registered = names.collect();
    }

    /// Whether a gateway is heard.
    pub fn is_peer_live(&self, name: &str) -> bool {
        self.peers.contains_key(name)
    }

    /// Number of gateways that are heard, with this one.
    pub fn live_gateways(&self) -> usize {
        self.peers.len() + 1
    }

    /// Number of gateways that may run, with this one: those that are heard, and those
    /// that are registered, which may be out of reach only from here. Bounds that
    /// hold for all gateways together are divided by it.
    pub fn live_or_registered_gateways(&self) -> usize {
        let unheard = self.registered.iter().filter(|name| !self.peers.contains_key(*name));
        self.peers.len() + unheard.count() + 1
    }

    /// Requests in flight of this gateway, by server.
    pub fn own_counts(&self) -> Vec<(ServerId, u32)> {
        let busy = self.backends.iter().filter(|(_, backend)| backend.in_flight > 0);
        busy.map(|(id, backend)| (id.clone(), backend.in_flight)).collect()
    }

    /// Number of known servers.
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    /// Whether a start of a server is known and is not on its way out.
    pub fn is_ready(&self, life: &ServerIncarnation) -> bool {
        self.backends.get(&life.server).is_some_and(|known| {
            let record = &known.record;
            record.started_ms == life.started_ms && record.state == ServerState::Ready
        })
    }

    /// Returns the id of the server of a service at an address.
    pub fn find_by_address(&self, service: &str, address: SocketAddr) -> Option<&ServerId> {
        let mut backends = self.backends.iter();
        backends
            .find(|(_, known)| known.record.address == address && known.record.service == service)
            .map(|(id, _)| id)
    }

    /// Chooses the server with the fewest requests in flight for its slots, among some
    /// that are drawn by chance.
    pub fn choose(
        &self,
        now: Duration,
        query: &BalanceQuery<'_>,
        rng: &mut ChoiceRng,
    ) -> Result<BalanceChoice, ChoiceError> {
        let in_force: Vec<&Backend> = self
            .backends
            .values()
            .filter(|backend| backend.record.service == query.service && self.takes_work(backend))
            .collect();
        if in_force.is_empty() {
            return Err(ChoiceError::NoneAvailable);
        }
        let untried: Vec<&Backend> = in_force
            .into_iter()
            .filter(|backend| !query.excluded.contains(&backend.record.id))
            .collect();
        if untried.is_empty() {
            return Err(ChoiceError::AllTried);
        }
        let sound: Vec<&Backend> =
            untried.iter().copied().filter(|backend| self.is_sound(now, backend)).collect();
        let candidates = if sound.is_empty() { untried } else { sound };
        let count = candidates.len();
        let free = candidates.into_iter().filter(|backend| self.has_room(now, backend, query));
        let drawn = draw(free.collect(), self.choices(), rng);
        let ranked = drawn
            .into_iter()
            .map(|backend| (self.rank(now, backend, query), rng.next_bits(), backend));
        let best = ranked.min_by(|left, right| (left.0, left.1).cmp(&(right.0, right.1)));
        let (_, _, backend) = best.ok_or(ChoiceError::AllFull)?;
        Ok(BalanceChoice {
            server: backend.record.id.clone(),
            address: backend.record.address,
            zone: backend.record.zone.clone(),
            started_ms: backend.record.started_ms,
            own_in_flight: backend.in_flight,
            others_in_flight: backend.others,
            slots: backend.record.slots,
            candidates: count,
        })
    }

    /// Servers among which a request goes to the least loaded. The best of all is what
    /// every gateway would take until it hears of the others' requests.
    fn choices(&self) -> usize {
        LEAST_CHOICES.max(CHOICES_OF_ALL / self.live_gateways())
    }

    /// Requests in flight of a service.
    pub fn service_load(&self, service: &str) -> ServiceLoad {
        let backends = self.backends.values().filter(|known| known.record.service == service);
        let mut load = ServiceLoad::default();
        for backend in backends {
            load.own_in_flight += backend.in_flight;
            load.others_in_flight += backend.others;
        }
        load
    }

    /// Number of servers of a service that are in force, and their slots.
    pub fn available_capacity(&self, service: &str) -> (usize, u32) {
        let backends = self.backends.values().filter(|known| known.record.service == service);
        let working = backends.filter(|backend| self.takes_work(backend));
        working.fold((0, 0), |(count, slots), backend| (count + 1, slots + backend.record.slots))
    }

    /// Notes that a request is sent to a server.
    pub fn start_request(&mut self, now: Duration, id: &str) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.in_flight += 1;
            while backend.recent.front().is_some_and(|sent| *sent + COLD_SPAN <= now) {
                backend.recent.pop_front();
            }
            backend.recent.push_back(now);
        }
    }

    /// Notes that a request that was sent has ended.
    pub fn finish_request(&mut self, id: &str) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
    }

    /// Avoids a server for a while after it failed.
    pub fn avoid(&mut self, now: Duration, id: &str) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.avoid_until = now + AVOID_TIME;
        }
    }

    fn takes_work(&self, backend: &Backend) -> bool {
        backend.record.state == ServerState::Ready && !self.zones_out.contains(&backend.record.zone)
    }

    fn has_room(&self, now: Duration, backend: &Backend, query: &BalanceQuery<'_>) -> bool {
        let load = backend.in_flight + backend.others;
        if load >= backend.record.slots.max(1) * FULL_PER_SLOT {
            return false;
        }
        if query.cold_requests_per_second <= 0.0 || backend.cold_until <= now {
            return true;
        }
        let recent = backend.recent.iter().filter(|sent| **sent + COLD_SPAN > now).count();
        let share =
            query.cold_requests_per_second * COLD_SHARE / self.live_or_registered_gateways() as f64;
        recent < (share.floor() as usize).max(1)
    }

    fn is_sound(&self, now: Duration, backend: &Backend) -> bool {
        backend.avoid_until <= now && self.pace(now, backend) < SPARED_PACE
    }

    fn pace(&self, now: Duration, backend: &Backend) -> f64 {
        let known = self.slow.get(&backend.record.address);
        known.filter(|(_, heard)| now < *heard + SLOW_AGE).map_or(1.0, |(pace, _)| pace.max(1.0))
    }

    /// Load per slot in thousandths, for a slow server as if it had more; then
    /// whether the server is in another zone.
    fn rank(&self, now: Duration, backend: &Backend, query: &BalanceQuery<'_>) -> (u64, bool) {
        let load = backend.in_flight + backend.others;
        let pace = self.pace(now, backend);
        let felt = f64::from(load) * pace + pace - 1.0;
        let slots = f64::from(backend.record.slots.max(1));
        ((felt * 1_000.0 / slots) as u64, backend.record.zone != query.zone)
    }

    /// Forgets the counts of peers that have not been heard for a while.
    pub fn expire_peer_counts(&mut self, now: Duration) {
        let age = update_interval(self.live_gateways()) * PEER_COUNTS_MESSAGES;
        self.forget_counts(now, PEER_COUNTS_AGE.max(age));
    }

    fn forget_counts(&mut self, now: Duration, age: Duration) {
        for peer in self.peers.values_mut().filter(|peer| now >= peer.heard + age) {
            take_off(&mut self.backends, std::mem::take(&mut peer.counts));
        }
    }
}

/// Draws some of the servers by chance.
fn draw<'a>(mut servers: Vec<&'a Backend>, count: usize, rng: &mut ChoiceRng) -> Vec<&'a Backend> {
    if servers.len() > count {
        for index in 0..count {
            let other = index + rng.below(servers.len() - index);
            servers.swap(index, other);
        }
        servers.truncate(count);
    }
    servers
}

/// Takes what a gateway told before off the servers' sums.
fn take_off(backends: &mut FastMap<ServerId, Backend>, counts: FastMap<ServerId, u32>) {
    for (id, count) in counts {
        if let Some(backend) = backends.get_mut(&id) {
            backend.others = backend.others.saturating_sub(count);
        }
    }
}
