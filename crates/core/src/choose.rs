//! Chooses the backend server for one attempt.
//!
//! [`ServerTable`] holds the servers and their load; [`ServerTable::choose`] is given a
//! [`ChoiceQuery`] and returns a [`ServerChoice`]. The entry's own zone is tried first.
//!
//! The first candidates are the best by rendezvous hash of the request's prefix, so that
//! a request meets its cached prefix again without state shared between entries. One of
//! them is chosen while its load is below a bound; otherwise the least loaded of these
//! and a few random servers; and if all of them are full, the least loaded of the zone.

use std::time::Duration;

use crate::ids::ChoiceRng;
use crate::ids::FastMap;
use crate::ids::ServerId;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::ids::hash_parts;
use crate::share::FillPercent;
use crate::share::limit_at_fill;

/// Number of candidates by rendezvous hash.
const HASHED_CANDIDATES: usize = 2;
/// Number of random candidates in the entry's zone, and again over the other zones.
const RANDOM_CANDIDATES: usize = 2;
/// Fraction of the limit up to which a candidate by hash is preferred.
const MAX_PREFERRED_LOAD: f64 = 0.8;
/// Limit assumed for a server whose load has not been reported.
const ASSUMED_LIMIT: u32 = 2;
/// Time for which a server that refused or failed is avoided.
const AVOID_TIME: Duration = Duration::from_millis(500);

/// Load of a backend server, as reported by its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Number of admitted requests that have not ended, from all entries.
    pub in_flight: u32,
    /// Number of requests that the agent admits at a time.
    pub limit: u32,
    /// Whether the agent is shutting down.
    pub leaving: bool,
}

/// A backend server and what this entry knows of its load.
#[derive(Debug, Clone)]
struct ServerSlot {
    id: ServerId,
    address: String,
    zone: ZoneName,
    service: ServiceName,
    in_service: bool,
    report: LoadReport,
    reported_at: Option<Duration>,
    /// Attempts of this entry that have not ended.
    outstanding: u32,
    /// Attempts sent by this entry since the last report.
    sent_since_report: u32,
    avoid_until: Duration,
}

/// Requirements on the server for an attempt.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery<'a> {
    /// Service that the server must offer.
    pub service: &'a str,
    /// Zone of the entry, which is preferred.
    pub zone: &'a str,
    /// Hash of the organisation and the prompt prefix.
    pub prefix: u64,
    /// Servers that must not be chosen, because the request failed there or was refused.
    pub excluded: &'a [ServerId],
    /// Percentage of a server's limit up to which it may be filled.
    pub fill: FillPercent,
}

/// Result of a choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChoice {
    /// This server has free capacity.
    Chosen(ServerId),
    /// Servers in service offer the service, but none of them can take the attempt now.
    Full,
    /// No server in service offers the service.
    None,
}

/// Backend servers known to an entry, and their load.
///
/// Slots are kept in an arena; the lists by service and zone hold indices into it.
#[derive(Debug, Clone, Default)]
pub struct ServerTable {
    slots: Vec<Option<ServerSlot>>,
    by_id: FastMap<ServerId, usize>,
    by_service: FastMap<ServiceName, FastMap<ZoneName, Vec<usize>>>,
    free: Vec<usize>,
}

impl ServerTable {
    /// Adds a server, or updates its address and whether it is in service.
    ///
    /// A new address, zone or service discards the last load report.
    pub fn upsert(&mut self, id: &str, address: &str, zone: &str, service: &str, in_service: bool) {
        if let Some(slot) = self.slot_mut(id) {
            if slot.zone == zone && slot.service == service {
                if slot.address != address {
                    slot.address = address.to_string();
                    slot.reported_at = None;
                    slot.report = LoadReport::default();
                }
                slot.in_service = in_service;
                return;
            }
            self.remove(id);
        }
        let slot = ServerSlot {
            id: id.to_string(),
            address: address.to_string(),
            zone: zone.to_string(),
            service: service.to_string(),
            in_service,
            report: LoadReport::default(),
            reported_at: None,
            outstanding: 0,
            sent_since_report: 0,
            avoid_until: Duration::ZERO,
        };
        let index = self.insert_slot(slot);
        self.by_id.insert(id.to_string(), index);
        let zones = self.by_service.entry(service.to_string()).or_default();
        zones.entry(zone.to_string()).or_default().push(index);
    }

    /// Removes a server, if it is known.
    pub fn remove(&mut self, id: &str) {
        let Some(index) = self.by_id.remove(id) else {
            return;
        };
        let Some(slot) = self.slots[index].take() else {
            return;
        };
        self.free.push(index);
        if let Some(zones) = self.by_service.get_mut(&slot.service) {
            if let Some(list) = zones.get_mut(&slot.zone) {
                list.retain(|&other| other != index);
            }
            zones.retain(|_, list| !list.is_empty());
        }
        self.by_service.retain(|_, zones| !zones.is_empty());
    }

    /// Re-evaluates which servers are in service, from their id and zone.
    pub fn refresh(&mut self, in_service: impl Fn(&str, &str) -> bool) {
        for slot in self.slots.iter_mut().flatten() {
            slot.in_service = in_service(&slot.id, &slot.zone);
        }
    }

    /// Chooses a server with free capacity, from the entry's own zone if possible.
    pub fn choose(
        &self,
        now: Duration,
        query: &ChoiceQuery<'_>,
        rng: &mut ChoiceRng,
    ) -> ServerChoice {
        let Some(zones) = self.by_service.get(query.service) else {
            return ServerChoice::None;
        };
        if let Some(list) = zones.get(query.zone)
            && let Some(index) = self.choose_from(now, list, query, rng)
        {
            return self.choice_of(index);
        }
        let others: Vec<usize> = zones
            .iter()
            .filter(|(zone, _)| zone.as_str() != query.zone)
            .flat_map(|(_, list)| list.iter().copied())
            .collect();
        if let Some(index) = self.choose_from(now, &others, query, rng) {
            return self.choice_of(index);
        }
        let any_accepting =
            zones.values().flatten().any(|&index| self.slot(index).is_some_and(accepts_work));
        if any_accepting { ServerChoice::Full } else { ServerChoice::None }
    }

    /// Records that an attempt was sent to a server.
    pub fn record_sent(&mut self, id: &str) {
        if let Some(slot) = self.slot_mut(id) {
            slot.outstanding += 1;
            slot.sent_since_report += 1;
        }
    }

    /// Records that an attempt at a server ended.
    pub fn record_ended(&mut self, id: &str) {
        if let Some(slot) = self.slot_mut(id) {
            slot.outstanding = slot.outstanding.saturating_sub(1);
            slot.report.in_flight = slot.report.in_flight.saturating_sub(1);
        }
    }

    /// Excludes a server from choices for a short time.
    pub fn avoid(&mut self, now: Duration, id: &str) {
        if let Some(slot) = self.slot_mut(id) {
            slot.avoid_until = now + AVOID_TIME;
        }
    }

    /// Records a load report.
    pub fn record_load(&mut self, now: Duration, id: &str, report: LoadReport) {
        if let Some(slot) = self.slot_mut(id) {
            slot.report = report;
            slot.reported_at = Some(now);
            slot.sent_since_report = 0;
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

    /// Returns whether a server is in service and not leaving.
    pub fn may_send(&self, id: &str) -> bool {
        let slot = self.by_id.get(id).and_then(|&index| self.slot(index));
        slot.is_some_and(accepts_work)
    }

    /// Returns up to `count` servers of a service whose last load report is older than
    /// `age` or missing, starting at a random one.
    pub fn stale_servers(
        &self,
        now: Duration,
        service: &str,
        age: Duration,
        count: usize,
        rng: &mut ChoiceRng,
    ) -> Vec<ServerId> {
        let Some(zones) = self.by_service.get(service) else {
            return Vec::new();
        };
        let all: Vec<usize> = zones.values().flatten().copied().collect();
        let start = rng.below(all.len());
        let rotated = all[start..].iter().chain(&all[..start]);
        rotated
            .filter_map(|&index| self.slot(index))
            .filter(|slot| accepts_work(slot))
            .filter(|slot| slot.reported_at.is_none_or(|reported_at| reported_at + age < now))
            .take(count)
            .map(|slot| slot.id.clone())
            .collect()
    }

    /// Lists each server's id, zone, last load report and whether it is in service.
    pub fn overview(&self) -> impl Iterator<Item = (&str, &str, LoadReport, bool)> {
        let slots = self.slots.iter().flatten();
        slots.map(|slot| (slot.id.as_str(), slot.zone.as_str(), slot.report, slot.in_service))
    }

    fn choose_from(
        &self,
        now: Duration,
        list: &[usize],
        query: &ChoiceQuery<'_>,
        rng: &mut ChoiceRng,
    ) -> Option<usize> {
        let usable = |index: &usize| {
            self.slot(*index).is_some_and(|slot| {
                accepts_work(slot) && slot.avoid_until <= now && !query.excluded.contains(&slot.id)
            })
        };
        let hashed = self.hashed_candidates(list, query.prefix, usable);
        for &index in &hashed {
            if self.load_after_send(index, query.fill) <= MAX_PREFERRED_LOAD {
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

    /// Returns the least loaded candidate that has free capacity.
    fn least_loaded(
        &self,
        candidates: impl Iterator<Item = usize>,
        fill: FillPercent,
    ) -> Option<usize> {
        candidates
            .map(|index| (self.load_after_send(index, fill), index))
            .filter(|&(load, _)| load <= 1.0)
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, index)| index)
    }

    /// Returns the load of a server with one more attempt, as a fraction of its limit.
    fn load_after_send(&self, index: usize, fill: FillPercent) -> f64 {
        let Some(slot) = self.slot(index) else {
            return f64::INFINITY;
        };
        let limit = if slot.reported_at.is_some() { slot.report.limit } else { ASSUMED_LIMIT };
        let limit = limit_at_fill(limit, fill);
        let last_known = slot.report.in_flight + slot.sent_since_report;
        let in_flight = last_known.max(slot.outstanding);
        if limit == 0 {
            return f64::INFINITY;
        }
        f64::from(in_flight + 1) / f64::from(limit)
    }

    fn choice_of(&self, index: usize) -> ServerChoice {
        match self.slot(index) {
            Some(slot) => ServerChoice::Chosen(slot.id.clone()),
            None => ServerChoice::None,
        }
    }

    fn insert_slot(&mut self, slot: ServerSlot) -> usize {
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

fn accepts_work(slot: &ServerSlot) -> bool {
    slot.in_service && !slot.report.leaving
}
