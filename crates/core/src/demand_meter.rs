//! Measures the demand for a service at one gateway, and bounds what it tells the others of it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::admission::GateRequest;
use crate::demand_shares::digest_organisation;
use crate::ids::FastMap;
use crate::ids::OrganisationDigest;
use crate::ids::RequestId;
use crate::updates::DemandEntry;
use crate::updates::update_interval;

/// Time after a refusal within which demand counts as unmet; the caller comes back within it.
const REFUSAL_MEMORY: Duration = Duration::from_secs(1);
/// Time for which an organisation counts as active after an arrival.
const ACTIVE_PERIOD: Duration = Duration::from_secs(2);
/// Most organisations whose last arrival is kept by priority.
const MAX_ORGANISATIONS: usize = 8_192;
/// Bytes per second that a gateway receives at most from all others.
const MAX_BYTES_PER_SECOND: f64 = 8_000.0;
/// Bytes of an entry with an organisation: priority 1, digest 6, and counts of 1 each.
const ORGANISATION_ENTRY_BYTES: f64 = 9.0;
/// Bytes of an entry without one: priority 1, mark 1, and counts of 1 or 2 each.
const PRIORITY_ENTRY_BYTES: f64 = 6.0;
/// Bytes of an update besides its names and entries: variant, and three lengths.
const FRAME_BYTES: usize = 4;
/// Update intervals between two updates of demand, so that several organisations can be listed
/// within the bound. With two of them, 24 gateways can list one organisation each; beside four
/// large ones the small ones then got 0.77 of their share. Demand counts for four intervals.
pub const SEND_INTERVALS: u32 = 3;
/// Most organisations in an update, between few gateways, so that it fits into one packet.
const MAX_ENTRIES: usize = 128;

/// Returns how many organisations a gateway lists at most in an update of its demand for
/// `priorities` priorities, so that each of `gateways` gateways receives about 8 KB/s.
/// `name_bytes` is the length of the names of gateway and service together.
pub fn entry_limit(gateways: usize, name_bytes: usize, priorities: usize) -> usize {
    let period = update_interval(gateways) * SEND_INTERVALS;
    let bytes =
        MAX_BYTES_PER_SECOND * period.as_secs_f64() / gateways.saturating_sub(1).max(1) as f64;
    let fixed = (name_bytes + FRAME_BYTES) as f64 + PRIORITY_ENTRY_BYTES * priorities as f64;
    (((bytes - fixed).max(0.0) / ORGANISATION_ENTRY_BYTES) as usize).min(MAX_ENTRIES)
}

/// Demand of this gateway for a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OwnDemand {
    /// Streams that wait or arrived lately, by priority and organisation.
    pub entries: Vec<DemandEntry>,
    /// Whether streams have waited for longer than an update interval, or were refused lately.
    pub is_unmet: bool,
    /// Organisations that were active lately, by priority.
    pub organisations: BTreeMap<u8, Vec<OrganisationDigest>>,
    /// Streams that run for this gateway.
    pub running: u32,
    /// Most organisations that the other gateways are told.
    pub listed: usize,
}

impl OwnDemand {
    /// Returns the number of priorities with demand.
    fn priorities(&self) -> usize {
        let mut priorities: Vec<u8> = self.entries.iter().map(|entry| entry.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        priorities.len()
    }

    /// Returns the demand as the other gateways are told: the organisations with the most
    /// demand, and the sum of the others for each priority; most urgent first.
    pub fn listed_entries(&self) -> Vec<DemandEntry> {
        let mut entries = self.entries.clone();
        let streams = |entry: &DemandEntry| u32::from(entry.waiting) + u32::from(entry.arrived);
        entries.sort_by_key(|entry| {
            (std::cmp::Reverse(streams(entry)), entry.priority, entry.organisation)
        });
        let rest = entries.split_off(self.listed.min(entries.len()));
        for entry in rest {
            let same = |sum: &&mut DemandEntry| {
                sum.priority == entry.priority && sum.organisation.is_none()
            };
            match entries.iter_mut().find(same) {
                Some(sum) => {
                    sum.waiting = sum.waiting.saturating_add(entry.waiting);
                    sum.arrived = sum.arrived.saturating_add(entry.arrived);
                }
                None => entries.push(DemandEntry { organisation: None, ..entry }),
            }
        }
        entries.sort_by_key(|entry| entry.priority);
        entries
    }
}

/// Demand for one service at this gateway.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    /// Arrivals since the queue was processed last; without a request if it does not wait.
    added: Vec<(Option<RequestId>, u8, OrganisationDigest)>,
    /// Arrivals of the last seconds, in order.
    arrivals: VecDeque<(Duration, u8, OrganisationDigest)>,
    waiting_since: FastMap<RequestId, Duration>,
    refused_at: Option<Duration>,
    /// Whether a stream was refused since the queue was processed last.
    is_refusing: bool,
}

impl DemandMeter {
    /// Records that a stream arrived and whether it `waits` in the queue now.
    pub fn record_arrival(&mut self, stream: &GateRequest, waits: bool) {
        let organisation = digest_organisation(&stream.organisation);
        self.added.push((waits.then_some(stream.request), stream.priority, organisation));
    }

    /// Records that a stream was refused.
    pub fn record_refusal(&mut self) {
        self.is_refusing = true;
    }

    /// Records that a stream left the queue.
    pub fn record_departure(&mut self, request: RequestId) {
        if self.waiting_since.remove(&request).is_none() {
            let added = self.added.iter_mut().find(|added| added.0 == Some(request));
            if let Some(added) = added {
                added.0 = None;
            }
        }
    }

    /// Records the time of what happened since the last call.
    pub fn advance(&mut self, now: Duration) {
        for (request, priority, organisation) in self.added.drain(..) {
            if let Some(request) = request {
                self.waiting_since.insert(request, now);
            }
            self.arrivals.push_back((now, priority, organisation));
        }
        while self.arrivals.front().is_some_and(|arrival| arrival.0 + ACTIVE_PERIOD <= now)
            || self.arrivals.len() > MAX_ORGANISATIONS
        {
            self.arrivals.pop_front();
        }
        if std::mem::take(&mut self.is_refusing) {
            self.refused_at = Some(now);
        }
    }

    /// Returns the demand of the streams that wait and of those that arrived within the last
    /// update interval.
    pub fn demand(
        &mut self,
        now: Duration,
        waiting: &[GateRequest],
        gateways: usize,
        name_bytes: usize,
    ) -> OwnDemand {
        self.advance(now);
        let interval = update_interval(gateways);
        let mut sums: BTreeMap<(u8, OrganisationDigest), (u16, u16)> = BTreeMap::new();
        for stream in waiting {
            let key = (stream.priority, digest_organisation(&stream.organisation));
            let sum = sums.entry(key).or_default();
            sum.0 = sum.0.saturating_add(1);
        }
        let mut organisations: BTreeMap<u8, Vec<OrganisationDigest>> = BTreeMap::new();
        for (arrived_at, priority, organisation) in &self.arrivals {
            organisations.entry(*priority).or_default().push(*organisation);
            if *arrived_at + interval > now {
                let sum = sums.entry((*priority, *organisation)).or_default();
                sum.1 = sum.1.saturating_add(1);
            }
        }
        for (priority, organisation) in sums.keys() {
            organisations.entry(*priority).or_default().push(*organisation);
        }
        for active in organisations.values_mut() {
            active.sort_unstable();
            active.dedup();
        }
        let has_waited = self.waiting_since.values().any(|since| *since + interval < now);
        let was_refused = self.refused_at.is_some_and(|refused| now < refused + REFUSAL_MEMORY);
        let entries = sums.into_iter().map(|((priority, organisation), (waiting, arrived))| {
            DemandEntry { priority, organisation: Some(organisation), waiting, arrived }
        });
        let mut demand = OwnDemand {
            entries: entries.collect(),
            is_unmet: has_waited || was_refused,
            organisations,
            running: 0,
            listed: 0,
        };
        demand.listed = entry_limit(gateways, name_bytes, demand.priorities());
        demand
    }
}
