//! Load balancing: which backend server of a service gets a request.
//!
//! [`BalanceTable`] is updated with the platform's server records, the zones that
//! operators took out, the requests in flight that other gateways report, and this
//! gateway's own requests and failures. It chooses a server that has few requests in
//! flight per slot, counted over all gateways.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::announcements::AnnouncementLog;
use crate::crash_detection::ServerIncarnation;
use crate::ids::ChoiceRng;
use crate::ids::FastMap;
use crate::ids::FastSet;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::ServerId;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::lapsed_records::LapsedRecords;
use crate::request_limits::LimitFilter;
use crate::routing::ServerRecord;
use crate::routing::ServerState;
use crate::store_contact::StoreOutage;
use crate::token_load::TokenFilter;
use crate::updates::update_interval;

/// Time for which a server is avoided after a failure; engines that crash are back after
/// a few seconds, and a broken connection may be a single event.
const AVOIDANCE_PERIOD: Duration = Duration::from_millis(800);
/// Fewest servers that are sampled to choose the least loaded of them, used with many
/// gateways; the test `gateway_updates` checks how evenly load is then spread.
const MIN_SAMPLED_SERVERS: usize = 4;
/// Servers that all gateways together sample; with few gateways each samples more, since
/// its view of the load is more current.
const TOTAL_SAMPLED_SERVERS: usize = 48;
/// Shortest age after which the counts of another gateway are dropped.
const MIN_PEER_COUNTS_AGE: Duration = Duration::from_millis(400);
/// Update intervals after which the counts of a gateway are dropped, if that is longer.
const PEER_COUNTS_INTERVALS: u32 = 4;
/// Shortest time without an update after which another gateway no longer counts as live.
const MIN_PEER_LIVE_AGE: Duration = Duration::from_secs(2);
/// Update intervals after which a gateway no longer counts as live, if that is longer.
const PEER_LIVE_INTERVALS: u32 = 8;
/// Requests in flight per slot at which a server counts as full; engines queue up to
/// twice their slots.
const MAX_REQUESTS_PER_SLOT: u32 = 3;
/// Age after which a reported slowdown no longer counts; five messages of the group's
/// leader.
const MAX_SLOWDOWN_AGE: Duration = Duration::from_secs(1);
/// Slowdown from which a server is avoided while others are healthy. The ranks of a group
/// wait for each other, so requests at a slow rank delay all of them.
const AVOIDED_SLOWDOWN: f64 = 2.0;
/// Window over which the request rate of a cold server is limited.
const COLD_RATE_WINDOW: Duration = Duration::from_secs(1);
/// Share of the rate that a cold server tolerates that all gateways together use.
const COLD_RATE_SHARE: f64 = 0.8;
/// Time before the end of its drain time from which a leaving server gets no more requests:
/// that between the choice of a server and the request's arrival there.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

#[derive(Debug, Clone)]
struct Backend {
    record: ServerRecord,
    cold_until: Duration,
    in_flight: u32,
    /// Requests in flight of the other gateways: the sum of the last count of each.
    others_in_flight: u32,
    avoid_until: Duration,
    /// Whether another server answers at the address, so that the record is outdated.
    replaced: bool,
    recent_starts: VecDeque<Duration>,
}

#[derive(Debug, Clone, Default)]
struct PeerCounts {
    last_heard: Duration,
    counts: FastMap<ServerId, u32>,
}

/// Requirements of a request for which a server is chosen.
#[derive(Debug, Clone)]
pub struct BalanceQuery<'a> {
    /// Service that must serve the request.
    pub service: &'a str,
    /// Zone of this gateway; preferred among equally loaded servers.
    pub zone: &'a str,
    /// Servers that were tried already.
    pub excluded: &'a [ServerId],
    /// Most requests per second that a cold server tolerates; 0 means no limit.
    pub cold_requests_per_second: f64,
    /// Time for which a server that announced that it leaves still serves.
    pub drain_time: Duration,
    /// Limits that servers state; `None` if they are not heeded.
    pub limits: Option<LimitFilter<'a>>,
    /// Memory that servers have left; `None` if it is not known.
    pub tokens: Option<TokenFilter<'a>>,
}

/// A chosen server, with the load on which the choice was based.
#[derive(Debug, Clone, PartialEq)]
pub struct BalanceChoice {
    /// Identity of the server.
    pub server: ServerId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: ZoneName,
    /// Start time of the server, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// Requests of this gateway in flight at the server.
    pub own_in_flight: u32,
    /// Requests of the other gateways in flight at the server, as last reported.
    pub others_in_flight: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Number of servers considered, before those at capacity are left out.
    pub candidates: usize,
}

/// Requests in flight of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceLoad {
    /// Requests of this gateway.
    pub own_in_flight: u32,
    /// Requests of the other gateways, as last reported.
    pub others_in_flight: u32,
}

/// Requests in flight at a unit of a service, and its servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UnitLoad {
    /// Servers that accept requests.
    pub ranks: usize,
    /// Sum of their slots.
    pub slots: u32,
    /// Requests in flight of all gateways, as last reported.
    pub streams: u32,
    /// Those of this gateway among them.
    pub own_streams: u32,
}

/// Why no server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceError {
    /// No server of the service accepts requests, or none is known.
    NoneAvailable,
    /// The records of all servers that accept requests are outdated: other servers, whose records
    /// are not known yet, answer at their addresses.
    AllReplaced,
    /// All servers that accept requests were tried.
    AllTried,
    /// All remaining servers are at capacity.
    AllFull,
    /// All servers that were not tried want no requests now: they asked for a pause, or state
    /// limits that leave no room, or have no memory left for the request.
    AllClosed,
}

/// Backend servers and their load, as known to this gateway.
#[derive(Debug, Clone, Default)]
pub struct BalanceTable {
    announcements: AnnouncementLog,
    backends: FastMap<ServerId, Backend>,
    /// Services that the configuration names; `None` until one is known.
    services: Option<FastSet<ServiceName>>,
    /// Records of other services, which name no server to use, with the times at which they were read.
    unnamed: FastMap<ServerId, (Duration, ServerRecord)>,
    /// Server that was last recorded at each address.
    by_address: FastMap<SocketAddr, ServerId>,
    zones_out: FastSet<ZoneName>,
    peer_counts: FastMap<MemberId, PeerCounts>,
    registered_gateways: FastSet<MemberId>,
    slowdowns: FastMap<SocketAddr, (f64, Duration)>,
    lapsed_records: LapsedRecords,
}

impl BalanceChoice {
    /// Returns the incarnation of the chosen server.
    pub fn incarnation(&self) -> ServerIncarnation {
        ServerIncarnation { server: self.server.clone(), started_ms: self.started_ms }
    }
}

impl BalanceTable {
    /// Replaces all records by a complete listing. Servers that are not listed are kept for a
    /// while if their records may have expired in an outage of the store. Returns the servers
    /// that were removed.
    pub fn replace_all(&mut self, now: Duration, records: Vec<ServerRecord>) -> Vec<ServerId> {
        let listed: FastSet<ServerId> = records.iter().map(|record| record.id.clone()).collect();
        let unlisted: Vec<ServerId> =
            self.backends.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        self.unnamed.retain(|id, _| listed.contains(id));
        for record in records {
            self.upsert(now, record);
        }
        unlisted.into_iter().filter(|id| self.remove(now, id)).collect()
    }

    /// Records that the store has been unavailable since `since`.
    pub fn record_store_loss(&mut self, since: Duration) {
        self.lapsed_records.record_loss(since);
    }

    /// Records that the store serves again after an outage.
    pub fn record_store_outage(&mut self, outage: StoreOutage) {
        self.lapsed_records.record_outage(outage);
    }

    /// Records that records of live servers may be missing for a while from `now` on, since the
    /// store came back from an older copy.
    pub fn record_store_reconnect(&mut self, now: Duration) {
        self.lapsed_records.record_restore(now);
    }

    /// Returns the time for which a server that is found without a record now is kept; zero if
    /// it is not.
    pub fn kept_without_record(&self, now: Duration) -> Duration {
        self.lapsed_records.grace_left(now)
    }

    /// Returns the number of servers that are kept without a record.
    pub fn missing_count(&self) -> usize {
        self.lapsed_records.len()
    }

    /// Sets the services that the configuration names. Only their servers are used: records of others
    /// may come from other writers, and are kept until a configuration names their service.
    pub fn set_services(&mut self, services: FastSet<ServiceName>) {
        let named: Vec<(Duration, ServerRecord)> = self
            .unnamed
            .extract_if(|_, (_, record)| services.contains(&record.service))
            .map(|(_, unnamed)| unnamed)
            .collect();
        self.services = Some(services);
        for (read_at, record) in named {
            self.upsert(read_at, record);
        }
    }

    /// Inserts or updates the record of a server, unless a later server is known at its
    /// address. Earlier servers at the address are removed: the records of servers that
    /// crashed stay for some heartbeats. Returns whether the server was not known since it
    /// started.
    pub fn upsert(&mut self, now: Duration, record: ServerRecord) -> bool {
        self.lapsed_records.forget(&record.id);
        self.unnamed.remove(&record.id);
        if self.services.as_ref().is_some_and(|services| !services.contains(&record.service)) {
            self.drop_backend(&record.id);
            self.unnamed.insert(record.id.clone(), (now, record));
            return false;
        }
        if self.is_replaced(&record) {
            self.backends.remove(&record.id);
            return false;
        }
        self.by_address.insert(record.address, record.id.clone());
        let cold_until = now + record.cold_remaining;
        match self.backends.get_mut(&record.id) {
            Some(backend) => {
                let is_new = backend.record.started_ms != record.started_ms;
                let is_moved = backend.record.address != record.address;
                if is_new {
                    backend.avoid_until = Duration::ZERO;
                }
                backend.replaced &= !is_new && !is_moved;
                backend.record = record;
                backend.cold_until = cold_until;
                is_new
            }
            None => {
                let reported =
                    self.peer_counts.values().filter_map(|peer| peer.counts.get(&record.id));
                let backend = Backend {
                    cold_until,
                    in_flight: 0,
                    others_in_flight: reported.sum(),
                    avoid_until: Duration::ZERO,
                    replaced: false,
                    recent_starts: VecDeque::new(),
                    record: record.clone(),
                };
                self.backends.insert(record.id, backend);
                true
            }
        }
    }

    /// Returns the service of a server, if the server is known.
    pub fn service_of(&self, id: &str) -> Option<ServiceName> {
        self.backends.get(id).map(|backend| backend.record.service.clone())
    }

    /// Returns whether a later server is known at the address of `record`; removes an earlier
    /// one.
    fn is_replaced(&mut self, record: &ServerRecord) -> bool {
        let Some(id) = self.by_address.get(&record.address).filter(|id| **id != record.id) else {
            return false;
        };
        let other = self.backends.get(id).filter(|other| other.record.address == record.address);
        let order = other.map(|other| other.record.started_ms.cmp(&record.started_ms));
        if order == Some(Ordering::Less) {
            self.lapsed_records.forget(id);
            self.backends.remove(id);
        }
        order == Some(Ordering::Greater)
    }

    /// Removes a server that has no record, or keeps it for a while if the record may have expired
    /// in an outage of the store. Returns whether it was removed.
    pub fn remove(&mut self, now: Duration, id: &str) -> bool {
        if self.backends.contains_key(id) && self.lapsed_records.keeps(now, id) {
            return false;
        }
        self.drop_backend(id);
        true
    }

    /// Removes a server whose record names no server to use; such a record has not expired.
    pub fn discard(&mut self, id: &str) {
        self.lapsed_records.forget(id);
        self.drop_backend(id);
    }

    fn drop_backend(&mut self, id: &str) {
        self.unnamed.remove(id);
        if let Some(backend) = self.backends.remove(id)
            && self.by_address.get(&backend.record.address).is_some_and(|last| last == id)
        {
            self.by_address.remove(&backend.record.address);
        }
    }

    /// Returns when the records have to be read to decide whether servers without one are
    /// removed; `None` if there are none, or while the store is unavailable.
    pub fn next_record_expiry(&self) -> Option<Duration> {
        self.lapsed_records.next_expiry()
    }

    /// Removes servers whose records did not return in time, as the store answered at `now`.
    /// Returns the servers that were removed.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<ServerId> {
        let removed = self.lapsed_records.take_expired(now);
        for id in &removed {
            self.drop_backend(id);
        }
        removed
    }

    /// Removes gateways that no longer send updates.
    pub fn remove_silent_peers(&mut self, now: Duration) {
        let age =
            MIN_PEER_LIVE_AGE.max(update_interval(self.live_gateways()) * PEER_LIVE_INTERVALS);
        self.drop_old_counts(now, age);
        self.peer_counts.retain(|_, peer| now < peer.last_heard + age);
    }

    /// Takes a zone out of service, or brings it back.
    pub fn set_zone_out(&mut self, zone: &str, out: bool) {
        if out {
            self.zones_out.insert(zone.to_string());
        } else {
            self.zones_out.remove(zone);
        }
    }

    /// Replaces the set of zones that are taken out.
    pub fn replace_zones_out(&mut self, zones: impl Iterator<Item = ZoneName>) {
        self.zones_out = zones.collect();
    }

    /// Records the requests in flight of another gateway, by server.
    pub fn update_peer_counts(&mut self, now: Duration, peer: &str, counts: Vec<(ServerId, u32)>) {
        let peer = self.peer_counts.entry(peer.to_string()).or_default();
        peer.last_heard = now;
        let counts: FastMap<ServerId, u32> = counts.into_iter().collect();
        for (id, count) in &counts {
            if let Some(backend) = self.backends.get_mut(id) {
                backend.others_in_flight += count;
            }
        }
        let previous = std::mem::replace(&mut peer.counts, counts);
        subtract_counts(&mut self.backends, previous);
    }

    /// Records which servers are slow, with the factor by which their work takes longer
    /// than that of a healthy one.
    pub fn update_slow_servers(&mut self, now: Duration, slow_servers: Vec<(SocketAddr, f64)>) {
        self.slowdowns.retain(|_, (_, reported_at)| now < *reported_at + MAX_SLOWDOWN_AGE);
        self.slowdowns
            .extend(slow_servers.into_iter().map(|(address, slowdown)| (address, (slowdown, now))));
    }

    /// Returns the slowdown and the requests in flight, over all gateways, of a server that
    /// is avoided because it is slow; `None` unless most servers of its service are not.
    pub fn slow_server(&self, now: Duration, id: &str) -> Option<(f64, u32)> {
        let backend = self.backends.get(id)?;
        let slowdown = self.slowdown(now, backend);
        if slowdown < AVOIDED_SLOWDOWN {
            return None;
        }
        let service = &backend.record.service;
        let servers = self.backends.values().filter(|other| other.record.service == *service);
        let (healthy, avoided): (Vec<&Backend>, Vec<&Backend>) =
            servers.partition(|other| self.is_available(other) && self.is_healthy(now, other));
        (healthy.len() > avoided.len())
            .then_some((slowdown, backend.in_flight + backend.others_in_flight))
    }

    /// Records which other gateways are registered in the store. With `keeps_known` those that
    /// were registered before are kept.
    pub fn set_registered_gateways(
        &mut self,
        names: impl Iterator<Item = MemberId>,
        keeps_known: bool,
    ) {
        if !keeps_known {
            self.registered_gateways.clear();
        }
        self.registered_gateways.extend(names);
    }

    /// Returns whether a gateway sends updates.
    pub fn is_peer_live(&self, name: &str) -> bool {
        self.peer_counts.contains_key(name)
    }

    /// Returns the names of the other gateways that send updates.
    pub fn live_peers(&self) -> impl Iterator<Item = &str> {
        self.peer_counts.keys().map(String::as_str)
    }

    /// Returns the servers of a service that may get requests, with the time until which each
    /// wants none.
    pub fn available_servers(&self, service: &str) -> impl Iterator<Item = (&ServerId, Duration)> {
        let backends = self.backends.iter().filter(move |(_, backend)| {
            backend.record.service == service && self.is_available(backend)
        });
        backends.map(|(id, backend)| (id, self.paused_until(&backend.record)))
    }

    /// Returns the number of gateways that send updates, including this one.
    pub fn live_gateways(&self) -> usize {
        self.peer_counts.len() + 1
    }

    /// Returns the number of gateways that may be running, including this one: those that
    /// send updates, and those that are registered but may only be unreachable from here.
    /// Limits that hold for all gateways together are divided by it.
    pub fn live_or_registered_gateways(&self) -> usize {
        let silent =
            self.registered_gateways.iter().filter(|name| !self.peer_counts.contains_key(*name));
        self.peer_counts.len() + silent.count() + 1
    }

    /// Returns the number of gateways, including this one, that sent an update within `age`.
    pub fn gateways_heard_within(&self, now: Duration, age: Duration) -> usize {
        self.peer_counts.values().filter(|peer| now < peer.last_heard + age).count() + 1
    }

    /// Returns the requests in flight of this gateway, by server.
    pub fn own_counts(&self) -> Vec<(ServerId, u32)> {
        let busy = self.backends.iter().filter(|(_, backend)| backend.in_flight > 0);
        busy.map(|(id, backend)| (id.clone(), backend.in_flight)).collect()
    }

    /// Returns the number of known servers.
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    /// Returns whether this incarnation of a server is registered and is not leaving.
    pub fn is_ready(&self, incarnation: &ServerIncarnation) -> bool {
        self.backends.get(&incarnation.server).is_some_and(|backend| {
            let record = &backend.record;
            record.started_ms == incarnation.started_ms
                && record.state == ServerState::Ready
                && self.leaving_since(record).is_none()
        })
    }

    /// Returns whether this incarnation of a server is the one that is recorded.
    pub fn is_current(&self, incarnation: &ServerIncarnation) -> bool {
        let backend = self.backends.get(&incarnation.server);
        backend.is_some_and(|backend| backend.record.started_ms == incarnation.started_ms)
    }

    /// Returns the id of the server of a service at an address.
    pub fn find_by_address(&self, service: &str, address: SocketAddr) -> Option<&ServerId> {
        let mut backends = self.backends.iter();
        backends
            .find(|(_, entry)| entry.record.address == address && entry.record.service == service)
            .map(|(id, _)| id)
    }

    /// Chooses the server with the fewest requests in flight per slot from a random sample
    /// of the servers that have capacity.
    pub fn choose(
        &self,
        now: Duration,
        query: &BalanceQuery<'_>,
        rng: &mut ChoiceRng,
    ) -> Result<BalanceChoice, ChoiceError> {
        self.choose_among(now, query, rng, |_| true)
    }

    /// Chooses like [`BalanceTable::choose`] among the servers at addresses that `included`
    /// accepts.
    pub fn choose_among(
        &self,
        now: Duration,
        query: &BalanceQuery<'_>,
        rng: &mut ChoiceRng,
        included: impl Fn(SocketAddr) -> bool,
    ) -> Result<BalanceChoice, ChoiceError> {
        let mut available: Vec<&Backend> = self
            .backends
            .values()
            .filter(|backend| backend.record.service == query.service && self.is_available(backend))
            .filter(|backend| included(backend.record.address))
            .collect();
        if available.is_empty() {
            available = self.departing_servers(now, query);
            available.retain(|backend| included(backend.record.address));
        }
        if available.is_empty() {
            return Err(self.unavailability(query));
        }
        let untried: Vec<&Backend> = available
            .into_iter()
            .filter(|backend| !query.excluded.contains(&backend.record.id))
            .collect();
        if untried.is_empty() {
            return Err(ChoiceError::AllTried);
        }
        let admits = |backend: &&Backend| {
            now >= self.paused_until(&backend.record)
                && query.limits.is_none_or(|limits| {
                    limits.admits(now, &backend.record.id, backend.record.started_ms)
                })
                && query.tokens.is_none_or(|tokens| tokens.admits(now, &backend.record.id))
        };
        let untried: Vec<&Backend> = untried.into_iter().filter(admits).collect();
        if untried.is_empty() {
            return Err(ChoiceError::AllClosed);
        }
        let healthy: Vec<&Backend> =
            untried.iter().copied().filter(|backend| self.is_healthy(now, backend)).collect();
        let candidates = if healthy.is_empty() { untried } else { healthy };
        let count = candidates.len();
        let free = candidates.into_iter().filter(|backend| self.has_capacity(now, backend, query));
        let sampled = sample_servers(free.collect(), self.sample_size(), rng);
        let keyed = sampled
            .into_iter()
            .map(|backend| (self.load_key(now, backend, query), rng.next_bits(), backend));
        let best = keyed.min_by(|left, right| (left.0, left.1).cmp(&(right.0, right.1)));
        let (_, _, backend) = best.ok_or(ChoiceError::AllFull)?;
        Ok(BalanceChoice {
            server: backend.record.id.clone(),
            address: backend.record.address,
            zone: backend.record.zone.clone(),
            started_ms: backend.record.started_ms,
            own_in_flight: backend.in_flight,
            others_in_flight: backend.others_in_flight,
            slots: backend.record.slots,
            candidates: count,
        })
    }

    /// Returns the number of servers to sample. If the least loaded of all servers were
    /// chosen, every gateway would choose the same one until it learns of the requests of
    /// the others.
    fn sample_size(&self) -> usize {
        MIN_SAMPLED_SERVERS.max(TOTAL_SAMPLED_SERVERS / self.live_gateways())
    }

    /// Returns the requests in flight of a service.
    pub fn service_load(&self, service: &str) -> ServiceLoad {
        let backends = self.backends.values().filter(|backend| backend.record.service == service);
        let mut load = ServiceLoad::default();
        for backend in backends {
            load.own_in_flight += backend.in_flight;
            load.others_in_flight += backend.others_in_flight;
        }
        load
    }

    /// Returns the number of servers of a service that accept requests, and the sum of
    /// their slots.
    pub fn available_capacity(&self, service: &str) -> (usize, u32) {
        let backends = self.backends.values().filter(|backend| backend.record.service == service);
        let available = backends.filter(|backend| self.is_available(backend));
        available.fold((0, 0), |(count, slots), backend| {
            (count + 1, slots.saturating_add(backend.record.slots))
        })
    }

    /// Returns the load and the capacity of each unit of a service; `group_of` tells the group of
    /// the server at an address.
    pub fn unit_loads<'a>(
        &self,
        service: &str,
        group_of: impl Fn(SocketAddr) -> Option<&'a GroupName>,
    ) -> FastMap<Option<&'a GroupName>, UnitLoad> {
        let mut loads: FastMap<Option<&GroupName>, UnitLoad> = FastMap::default();
        for backend in self.backends.values().filter(|other| other.record.service == service) {
            let load = loads.entry(group_of(backend.record.address)).or_default();
            load.streams += backend.in_flight + backend.others_in_flight;
            load.own_streams += backend.in_flight;
            if self.is_available(backend) {
                load.ranks += 1;
                load.slots = load.slots.saturating_add(backend.record.slots);
            }
        }
        loads
    }

    /// Returns the service and the address of a server, if the server is known.
    pub fn location_of(&self, id: &str) -> Option<(ServiceName, SocketAddr)> {
        let record = &self.backends.get(id)?.record;
        Some((record.service.clone(), record.address))
    }

    /// Counts a request that is sent to a server as in flight.
    pub fn start_request(&mut self, now: Duration, id: &str) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.in_flight += 1;
            while backend.recent_starts.front().is_some_and(|sent| *sent + COLD_RATE_WINDOW <= now)
            {
                backend.recent_starts.pop_front();
            }
            backend.recent_starts.push_back(now);
        }
    }

    /// Stops counting a request that was sent to a server as in flight.
    pub fn finish_request(&mut self, id: &str) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
    }

    /// Avoids a server for a while after a failure.
    pub fn avoid(&mut self, now: Duration, id: &str) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.avoid_until = now + AVOIDANCE_PERIOD;
        }
    }

    /// Excludes a server at whose address another one answers, until its record changes.
    pub fn exclude_replaced(&mut self, id: &str) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.replaced = true;
        }
    }

    fn is_available(&self, backend: &Backend) -> bool {
        self.is_listed_ready(backend) && self.leaving_since(&backend.record).is_none()
    }

    fn is_listed_ready(&self, backend: &Backend) -> bool {
        !backend.replaced && self.is_recorded_ready(backend)
    }

    fn is_recorded_ready(&self, backend: &Backend) -> bool {
        backend.record.state == ServerState::Ready && !self.zones_out.contains(&backend.record.zone)
    }

    /// Returns why a service has no server that accepts requests.
    fn unavailability(&self, query: &BalanceQuery<'_>) -> ChoiceError {
        let is_replaced = |backend: &Backend| {
            backend.record.service == query.service
                && backend.replaced
                && self.is_recorded_ready(backend)
        };
        match self.backends.values().any(is_replaced) {
            true => ChoiceError::AllReplaced,
            false => ChoiceError::NoneAvailable,
        }
    }

    /// Returns when this incarnation of a server announced that it leaves.
    fn leaving_since(&self, record: &ServerRecord) -> Option<Duration> {
        self.announcements.leaving_since(&record.id, record.started_ms)
    }

    /// Records that an incarnation of a server announced that it leaves; returns whether that
    /// is new.
    pub fn record_leaving(&mut self, now: Duration, incarnation: &ServerIncarnation) -> bool {
        self.announcements.record_leaving(now, incarnation)
    }

    /// Records that a server, asked as `incarnation`, wants no requests from this gateway for a
    /// time; `asked_ms` is the wall time, in milliseconds since the Unix epoch.
    pub fn pause(
        &mut self,
        now: Duration,
        incarnation: &ServerIncarnation,
        pause: Duration,
        asked_ms: u64,
    ) {
        self.announcements.record_pause(now, incarnation, pause, asked_ms);
    }

    /// Returns until when this incarnation of a server wants no requests from this gateway.
    fn paused_until(&self, record: &ServerRecord) -> Duration {
        self.announcements.paused_until(&record.id, record.started_ms)
    }

    /// Returns servers that may serve although they leave, for a service without others.
    fn departing_servers(&self, now: Duration, query: &BalanceQuery<'_>) -> Vec<&Backend> {
        let use_time = query.drain_time.saturating_sub(DRAIN_MARGIN);
        let listed = self.backends.values().filter(|backend| {
            backend.record.service == query.service && self.is_listed_ready(backend)
        });
        let departing = listed.filter(|backend| {
            self.leaving_since(&backend.record).is_some_and(|since| now < since + use_time)
        });
        departing.collect()
    }

    fn has_capacity(&self, now: Duration, backend: &Backend, query: &BalanceQuery<'_>) -> bool {
        let load = backend.in_flight + backend.others_in_flight;
        if load >= backend.record.slots.max(1).saturating_mul(MAX_REQUESTS_PER_SLOT) {
            return false;
        }
        if query.cold_requests_per_second <= 0.0 || backend.cold_until <= now {
            return true;
        }
        let recent_count =
            backend.recent_starts.iter().filter(|sent| **sent + COLD_RATE_WINDOW > now).count();
        let max_requests = query.cold_requests_per_second * COLD_RATE_SHARE
            / self.live_or_registered_gateways() as f64;
        recent_count < (max_requests.floor() as usize).max(1)
    }

    fn is_healthy(&self, now: Duration, backend: &Backend) -> bool {
        backend.avoid_until <= now && self.slowdown(now, backend) < AVOIDED_SLOWDOWN
    }

    fn slowdown(&self, now: Duration, backend: &Backend) -> f64 {
        let reported = self.slowdowns.get(&backend.record.address);
        reported
            .filter(|(_, reported_at)| now < *reported_at + MAX_SLOWDOWN_AGE)
            .map_or(1.0, |(slowdown, _)| slowdown.max(1.0))
    }

    /// Returns a sort key: the load per slot in thousandths, increased for slow servers,
    /// then whether the server is in another zone.
    fn load_key(&self, now: Duration, backend: &Backend, query: &BalanceQuery<'_>) -> (u64, bool) {
        let load = backend.in_flight + backend.others_in_flight;
        let slowdown = self.slowdown(now, backend);
        let weighted_load = f64::from(load) * slowdown + slowdown - 1.0;
        let slots = f64::from(backend.record.slots.max(1));
        ((weighted_load * 1_000.0 / slots) as u64, backend.record.zone != query.zone)
    }

    /// Drops the counts of gateways that have sent no update for a while.
    pub fn expire_peer_counts(&mut self, now: Duration) {
        let age = update_interval(self.live_gateways()) * PEER_COUNTS_INTERVALS;
        self.drop_old_counts(now, MIN_PEER_COUNTS_AGE.max(age));
    }

    fn drop_old_counts(&mut self, now: Duration, age: Duration) {
        for peer in self.peer_counts.values_mut().filter(|peer| now >= peer.last_heard + age) {
            subtract_counts(&mut self.backends, std::mem::take(&mut peer.counts));
        }
    }
}

/// Returns a random sample of at most `count` servers.
fn sample_servers<'a>(
    mut servers: Vec<&'a Backend>,
    count: usize,
    rng: &mut ChoiceRng,
) -> Vec<&'a Backend> {
    if servers.len() > count {
        for index in 0..count {
            let other = index + rng.below(servers.len() - index);
            servers.swap(index, other);
        }
        servers.truncate(count);
    }
    servers
}

/// Subtracts the previous counts of a gateway from the servers' sums.
fn subtract_counts(backends: &mut FastMap<ServerId, Backend>, counts: FastMap<ServerId, u32>) {
    for (id, count) in counts {
        if let Some(backend) = backends.get_mut(&id) {
            backend.others_in_flight = backend.others_in_flight.saturating_sub(count);
        }
    }
}
