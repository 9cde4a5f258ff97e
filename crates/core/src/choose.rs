//! Choice of a backend server for one attempt.
//!
//! Candidates are a few by rendezvous hash of the request's prefix, so that a
//! cached prefix is found again without shared state, and a few at random,
//! within the entry's own zone first. A candidate by hash is taken while its
//! load is bounded; otherwise the least loaded one.

use std::time::Duration;

use crate::ids::ChoiceRng;
use crate::ids::FastMap;
use crate::ids::ServerId;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::ids::hash_parts;
use crate::share::FillPercent;
use crate::share::limit_at_fill;

/// Candidates by rendezvous hash.
const HASHED_CANDIDATES: usize = 2;
/// Candidates at random in one zone.
const RANDOM_CANDIDATES: usize = 2;
/// Load, relative to the limit, up to which a candidate by hash is preferred.
const BOUNDED_LOAD: f64 = 0.8;
/// Limit assumed of a server that has not told its own.
const ASSUMED_LIMIT: u32 = 2;
/// Time for which a server that refused or failed is passed over.
const PENALTY: Duration = Duration::from_millis(500);

/// Load of a backend server as its agent tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Admitted requests that have not ended, over all entries.
    pub in_flight: u32,
    /// Concurrency that the agent admits.
    pub limit: u32,
    /// Whether the backend server is leaving.
    pub leaving: bool,
}

#[derive(Debug, Clone)]
struct ServerSlot {
    id: ServerId,
    address: String,
    zone: ZoneName,
    service: ServiceName,
    in_force: bool,
    report: LoadReport,
    reported: Option<Duration>,
    outstanding: u32,
    sent_since: u32,
    avoid_until: Duration,
}

/// What is asked of a choice.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery<'a> {
    /// Service that must be offered.
    pub service: &'a str,
    /// Zone of the entry.
    pub zone: &'a str,
    /// Hash of organisation and prompt prefix.
    pub prefix: u64,
    /// Servers that this request must not go to again.
    pub excluded: &'a [ServerId],
    /// Part of their limits up to which servers may be filled.
    pub fill: FillPercent,
}

/// Outcome of a choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChoice {
    /// Send to this server.
    Chosen(ServerId),
    /// Servers are in force, but none has room.
    Full,
    /// No server in force offers the service.
    None,
}

/// Backend servers that an entry may send to, and their load.
///
/// Slots live in an arena; service and zone lists hold indices into it.
#[derive(Debug, Clone, Default)]
pub struct ServerTable {
    slots: Vec<Option<ServerSlot>>,
    by_id: FastMap<ServerId, usize>,
    by_place: FastMap<ServiceName, FastMap<ZoneName, Vec<usize>>>,
    free: Vec<usize>,
}

impl ServerTable {
    /// Adds a server, or updates its address and whether it is in force.
    pub fn upsert(&mut self, id: &str, address: &str, zone: &str, service: &str, in_force: bool) {
        if let Some(slot) = self.slot_mut(id) {
            if slot.zone == zone && slot.service == service {
                if slot.address != address {
                    slot.address = address.to_string();
                    slot.reported = None;
                    slot.report = LoadReport::default();
                }
                slot.in_force = in_force;
                return;
            }
            self.remove(id);
        }
        let slot = ServerSlot {
            id: id.to_string(),
            address: address.to_string(),
            zone: zone.to_string(),
            service: service.to_string(),
            in_force,
            report: LoadReport::default(),
            reported: None,
            outstanding: 0,
            sent_since: 0,
            avoid_until: Duration::ZERO,
        };
        let index = self.store(slot);
        self.by_id.insert(id.to_string(), index);
        let zones = self.by_place.entry(service.to_string()).or_default();
        zones.entry(zone.to_string()).or_default().push(index);
    }

    /// Removes a server.
    pub fn remove(&mut self, id: &str) {
        let Some(index) = self.by_id.remove(id) else {
            return;
        };
        let Some(slot) = self.slots[index].take() else {
            return;
        };
        self.free.push(index);
        if let Some(zones) = self.by_place.get_mut(&slot.service) {
            if let Some(list) = zones.get_mut(&slot.zone) {
                list.retain(|&other| other != index);
            }
            zones.retain(|_, list| !list.is_empty());
        }
        self.by_place.retain(|_, zones| !zones.is_empty());
    }

    /// Re-evaluates which servers are in force.
    pub fn refresh(&mut self, in_force: impl Fn(&str, &str) -> bool) {
        for slot in self.slots.iter_mut().flatten() {
            slot.in_force = in_force(&slot.id, &slot.zone);
        }
    }

    /// Chooses a server with room, if there is one.
    pub fn choose(
        &self,
        now: Duration,
        query: &ChoiceQuery<'_>,
        rng: &mut ChoiceRng,
    ) -> ServerChoice {
        let Some(zones) = self.by_place.get(query.service) else {
            return ServerChoice::None;
        };
        if let Some(list) = zones.get(query.zone)
            && let Some(index) = self.choose_within(now, list, query, rng)
        {
            return self.chosen(index);
        }
        let others: Vec<usize> = zones
            .iter()
            .filter(|(zone, _)| zone.as_str() != query.zone)
            .flat_map(|(_, list)| list.iter().copied())
            .collect();
        if let Some(index) = self.choose_within(now, &others, query, rng) {
            return self.chosen(index);
        }
        let any = zones.values().flatten().any(|&index| self.slot(index).is_some_and(takes_work));
        if any { ServerChoice::Full } else { ServerChoice::None }
    }

    /// Notes that an attempt was sent to a server.
    pub fn record_sent(&mut self, id: &str) {
        if let Some(slot) = self.slot_mut(id) {
            slot.outstanding += 1;
            slot.sent_since += 1;
        }
    }

    /// Notes that an attempt at a server ended.
    pub fn record_ended(&mut self, id: &str) {
        if let Some(slot) = self.slot_mut(id) {
            slot.outstanding = slot.outstanding.saturating_sub(1);
            slot.report.in_flight = slot.report.in_flight.saturating_sub(1);
        }
    }

    /// Passes a server over for a while.
    pub fn avoid(&mut self, now: Duration, id: &str) {
        if let Some(slot) = self.slot_mut(id) {
            slot.avoid_until = now + PENALTY;
        }
    }

    /// Takes in a load figure.
    pub fn record_load(&mut self, now: Duration, id: &str, report: LoadReport) {
        if let Some(slot) = self.slot_mut(id) {
            slot.report = report;
            slot.reported = Some(now);
            slot.sent_since = 0;
        }
    }

    /// Returns the address of a server.
    pub fn address(&self, id: &str) -> Option<&str> {
        let index = *self.by_id.get(id)?;
        self.slot(index).map(|slot| slot.address.as_str())
    }

    /// Returns the service of a server.
    pub fn service(&self, id: &str) -> Option<&str> {
        let index = *self.by_id.get(id)?;
        self.slot(index).map(|slot| slot.service.as_str())
    }

    /// Whether a server may get new work.
    pub fn may_send(&self, id: &str) -> bool {
        let slot = self.by_id.get(id).and_then(|&index| self.slot(index));
        slot.is_some_and(takes_work)
    }

    /// Returns up to `count` random servers of a service whose figure is older
    /// than `age`.
    pub fn stale_servers(
        &self,
        now: Duration,
        service: &str,
        age: Duration,
        count: usize,
        rng: &mut ChoiceRng,
    ) -> Vec<ServerId> {
        let Some(zones) = self.by_place.get(service) else {
            return Vec::new();
        };
        let all: Vec<usize> = zones.values().flatten().copied().collect();
        let start = rng.below(all.len());
        let rotated = all[start..].iter().chain(&all[..start]);
        rotated
            .filter_map(|&index| self.slot(index))
            .filter(|slot| takes_work(slot))
            .filter(|slot| slot.reported.is_none_or(|reported| reported + age < now))
            .take(count)
            .map(|slot| slot.id.clone())
            .collect()
    }

    /// Lists each server with its zone, its last report and whether it is in force.
    pub fn overview(&self) -> impl Iterator<Item = (&str, &str, LoadReport, bool)> {
        let slots = self.slots.iter().flatten();
        slots.map(|slot| (slot.id.as_str(), slot.zone.as_str(), slot.report, slot.in_force))
    }

    fn choose_within(
        &self,
        now: Duration,
        list: &[usize],
        query: &ChoiceQuery<'_>,
        rng: &mut ChoiceRng,
    ) -> Option<usize> {
        let usable = |index: &usize| {
            self.slot(*index).is_some_and(|slot| {
                takes_work(slot) && slot.avoid_until <= now && !query.excluded.contains(&slot.id)
            })
        };
        let hashed = self.hashed_candidates(list, query.prefix, usable);
        for &index in &hashed {
            if self.load_with_one_more(index, query.fill) <= BOUNDED_LOAD {
                return Some(index);
            }
        }
        let random = (0..RANDOM_CANDIDATES.min(list.len())).map(|_| list[rng.below(list.len())]);
        let sampled = hashed.iter().copied().chain(random.filter(usable));
        let best = self.least_loaded(sampled, query.fill);
        best.or_else(|| self.least_loaded(list.iter().copied().filter(usable), query.fill))
    }

    fn hashed_candidates(
        &self,
        list: &[usize],
        prefix: u64,
        usable: impl Fn(&usize) -> bool,
    ) -> Vec<usize> {
        let mut ranked: Vec<(u64, usize)> = list
            .iter()
            .filter(|index| usable(index))
            .filter_map(|&index| {
                let slot = self.slot(index)?;
                Some((hash_parts(&[&prefix.to_le_bytes(), slot.id.as_bytes()]), index))
            })
            .collect();
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        ranked.truncate(HASHED_CANDIDATES);
        ranked.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns the candidate that is least loaded with one more, if it has room.
    fn least_loaded(
        &self,
        candidates: impl Iterator<Item = usize>,
        fill: FillPercent,
    ) -> Option<usize> {
        candidates
            .map(|index| (self.load_with_one_more(index, fill), index))
            .filter(|&(load, _)| load <= 1.0)
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, index)| index)
    }

    fn load_with_one_more(&self, index: usize, fill: FillPercent) -> f64 {
        let Some(slot) = self.slot(index) else {
            return f64::INFINITY;
        };
        let limit = if slot.reported.is_some() { slot.report.limit } else { ASSUMED_LIMIT };
        let limit = limit_at_fill(limit, fill);
        let known = slot.report.in_flight + slot.sent_since;
        let in_flight = known.max(slot.outstanding);
        if limit == 0 {
            return f64::INFINITY;
        }
        f64::from(in_flight + 1) / f64::from(limit)
    }

    fn chosen(&self, index: usize) -> ServerChoice {
        match self.slot(index) {
            Some(slot) => ServerChoice::Chosen(slot.id.clone()),
            None => ServerChoice::None,
        }
    }

    fn store(&mut self, slot: ServerSlot) -> usize {
        match self.free.pop() {
            Some(index) => {
                self.slots[index] = Some(slot);
                index
            }
            None => {
                self.slots.push(Some(slot));
                self.slots.len() - 1
            }
        }
    }

    fn slot(&self, index: usize) -> Option<&ServerSlot> {
        self.slots.get(index)?.as_ref()
    }

    fn slot_mut(&mut self, id: &str) -> Option<&mut ServerSlot> {
        let index = *self.by_id.get(id)?;
        self.slots[index].as_mut()
    }
}

fn takes_work(slot: &ServerSlot) -> bool {
    slot.in_force && !slot.report.leaving
}
