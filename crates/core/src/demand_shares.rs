//! Shares scarce capacity of a service between priorities, organisations and gateways.
//!
//! While streams wait, each gateway tells the others its demand: the streams that wait and those
//! that arrived lately, by priority and organisation. From its own demand and what it heard, each
//! makes the same computation: which part of the free capacity goes to which priority and
//! organisation, and how much of it this gateway may use within one update interval.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::demand_meter::OwnDemand;
use crate::ids::FastMap;
use crate::ids::MemberId;
use crate::ids::OrganisationDigest;
use crate::ids::ServiceName;
use crate::ids::hash_parts;
use crate::updates::DemandEntry;
use crate::updates::DemandUpdate;
use crate::updates::update_interval;

/// Update intervals for which the demand of another gateway counts.
const VALID_INTERVALS: u32 = 4;
/// Update intervals after the start of a shortage within which other gateways may not have told
/// their demand yet.
const ONSET_INTERVALS: u32 = 2;
/// Served part of a priority relative to the served part of all streams, at least. A quarter is
/// required; the rest is for places that cannot be used within their interval.
const FLOOR_SHARE: f64 = 0.3;
/// Weight of an interval in the moving average of admissions; streams last some dozen intervals.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;
/// Slack in comparisons of sums of fractions.
const ROUNDING: f64 = 1e-9;

/// Returns the digest by which gateways name an organisation to each other.
pub fn digest_organisation(organisation: &str) -> OrganisationDigest {
    (hash_parts(&[organisation.as_bytes()]) >> 32) as OrganisationDigest
}

/// Demand that another gateway told.
#[derive(Debug, Clone)]
struct PeerDemand {
    heard_at: Duration,
    entries: Vec<DemandEntry>,
}

/// Demand for one service.
#[derive(Debug, Clone, Default)]
struct ServiceDemand {
    peers: FastMap<MemberId, PeerDemand>,
    /// Since when capacity is known to be scarce.
    scarce_since: Option<Duration>,
    /// Places that recent computations left to other gateways, with their times.
    left_to_others: VecDeque<(Duration, f64)>,
    /// Moving average of these places: as many streams of theirs end in a period.
    mean_left: f64,
}

impl ServiceDemand {
    /// Records the places that the computation at `now` leaves to other gateways.
    fn record_left(&mut self, now: Duration, left: f64) {
        self.left_to_others.push_back((now, left));
        self.mean_left += MEAN_WEIGHT * (left - self.mean_left);
    }

    /// Returns how many streams the other gateways admitted since their latest counts, beyond
    /// those that ended meanwhile.
    fn unseen_admissions(
        &mut self,
        now: Duration,
        contacts: &FastMap<MemberId, Duration>,
        gateways: usize,
    ) -> f64 {
        let interval = update_interval(gateways);
        let is_past = |left: &(Duration, f64)| left.0 + interval * ONSET_INTERVALS < now;
        while self.left_to_others.front().is_some_and(is_past) {
            self.left_to_others.pop_front();
        }
        let mut ages: Vec<Duration> =
            contacts.values().map(|heard_at| now.saturating_sub(*heard_at)).collect();
        ages.sort_unstable();
        let surplus = self.left_to_others.iter().map(|(left_at, left)| {
            // Places are used throughout the period for which they were given.
            let used = (now - *left_at).saturating_sub(allotment_period(gateways) / 2);
            let unseen = ages.len() - ages.partition_point(|age| *age <= used);
            (left - self.mean_left) * unseen as f64 / ages.len().max(1) as f64
        });
        surplus.sum::<f64>().max(0.0)
    }
}

/// Returns the time for which an allotment holds. It does not grow with the number of gateways:
/// at 350 of them, places that become free would otherwise be left unused for 0.7 s.
pub fn allotment_period(gateways: usize) -> Duration {
    update_interval(gateways).min(update_interval(1))
}

/// Demand of the other gateways, by service.
#[derive(Debug, Clone, Default)]
pub struct DemandTable {
    services: FastMap<ServiceName, ServiceDemand>,
    /// Time of the last update of any kind, by gateway.
    contacts: FastMap<MemberId, Duration>,
}

impl DemandTable {
    /// Records that an update of any kind came from another gateway. A gateway that is heard
    /// but tells no demand has none.
    pub fn record_contact(&mut self, now: Duration, from: &str) {
        match self.contacts.get_mut(from) {
            Some(heard_at) => *heard_at = now,
            None => {
                self.contacts.insert(from.to_string(), now);
            }
        }
    }

    /// Records the demand of another gateway.
    pub fn apply(&mut self, now: Duration, update: DemandUpdate) {
        self.record_contact(now, &update.from);
        let peers = &mut self.services.entry(update.service).or_default().peers;
        if update.entries.is_empty() {
            peers.remove(&update.from);
        } else {
            peers.insert(update.from, PeerDemand { heard_at: now, entries: update.entries });
        }
    }

    /// Returns the places of this gateway for the next update interval.
    ///
    /// `capacity` is the number of free places over all gateways, as this one counts them.
    /// `random`, from 0 to 1, rounds fractions of places.
    pub fn allotment(
        &mut self,
        now: Duration,
        service: &str,
        capacity: u32,
        own_demand: &OwnDemand,
        gateways: usize,
        random: f64,
    ) -> DemandAllotment {
        let interval = update_interval(gateways);
        let oldest = now.saturating_sub(interval * VALID_INTERVALS);
        self.contacts.retain(|_, heard_at| *heard_at >= oldest);
        let demand = self.services.entry(service.to_string()).or_default();
        demand.peers.retain(|_, peer| peer.heard_at >= oldest);
        let mut allotment = DemandAllotment::unlimited(now + allotment_period(gateways));
        if !own_demand.is_unmet && demand.peers.is_empty() {
            demand.scarce_since = None;
            demand.left_to_others.clear();
            demand.mean_left = 0.0;
            return allotment;
        }
        let scarce_since = *demand.scarce_since.get_or_insert(now);
        let is_onset = now < scarce_since + interval * ONSET_INTERVALS;
        let heard = if is_onset { demand.peers.len() } else { self.contacts.len() };
        let known_share = ((1 + heard) as f64 / gateways.max(1) as f64).min(1.0);
        let unseen = demand.unseen_admissions(now, &self.contacts, gateways);
        let mut places = (f64::from(capacity) - unseen).max(0.0) * known_share;
        if self.contacts.is_empty() {
            // The counts of the others have expired, so that their places look free.
            let limit = f64::from(capacity) + f64::from(own_demand.running);
            let even = limit / gateways.max(1) as f64 - f64::from(own_demand.running);
            places = places.min(even.max(0.0));
        }
        let period_share = allotment_period(gateways).as_secs_f64() / interval.as_secs_f64();
        let levels = sum_levels(own_demand, demand.peers.values(), period_share);
        let total: f64 = levels.values().map(|level| level.demand().total).sum();
        let own: f64 = levels.values().map(|level| level.demand().own).sum();
        let oldest_demand = demand.peers.values().map(|peer| peer.heard_at).min();
        allotment.basis = AllotmentBasis {
            places,
            demand: total,
            own_demand: own,
            heard,
            demand_age: oldest_demand.map(|heard_at| now - heard_at),
        };
        let is_one_crowd =
            levels.len() <= 1 && levels.values().all(|level| level.organisations() <= 1);
        if total <= places + ROUNDING || is_one_crowd {
            demand.record_left(now, (total - own).min(places));
            return allotment;
        }
        let own_places = allotment.divide(&levels, places, total, random);
        demand.record_left(now, (places - own_places).max(0.0));
        allotment
    }

    /// Forgets services for which `known` returns false.
    pub fn retain_services(&mut self, known: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| known(service));
    }
}

/// Streams over all gateways, and those of this one.
#[derive(Debug, Clone, Copy, Default)]
struct DemandSum {
    total: f64,
    own: f64,
    arrived: f64,
}

impl DemandSum {
    /// Adds streams; `period_share` of as many as arrived lately arrive within the next period.
    fn add(&mut self, entry: &DemandEntry, period_share: f64, is_own: bool) {
        let arrived = f64::from(entry.arrived) * period_share;
        let streams = f64::from(entry.waiting) + arrived;
        self.total += streams;
        self.arrived += arrived;
        if is_own {
            self.own += streams;
        }
    }
}

/// Demand of one priority.
#[derive(Debug, Clone, Default)]
struct LevelDemand {
    /// Organisations that a gateway lists.
    listed: BTreeMap<OrganisationDigest, DemandSum>,
    /// All others.
    rest: DemandSum,
    /// Number of the organisations in the rest that this gateway knows.
    rest_organisations: usize,
}

impl LevelDemand {
    fn demand(&self) -> DemandSum {
        self.listed.values().fold(self.rest, |sum, listed| DemandSum {
            total: sum.total + listed.total,
            own: sum.own + listed.own,
            arrived: sum.arrived + listed.arrived,
        })
    }

    fn organisations(&self) -> usize {
        let rest = if self.rest.total > 0.0 { self.rest_organisations.max(2) } else { 0 };
        self.listed.len() + rest
    }

    /// Returns how many places an organisation gets at most, so that all together get
    /// `places` (max-min fairness). The rest counts as organisations of equal demand.
    fn fair_level(&self, places: f64) -> f64 {
        let rest_weight = self.rest_organisations.max(1) as f64;
        let mut crowds: Vec<(f64, f64)> =
            self.listed.values().map(|listed| (listed.total, 1.0)).collect();
        crowds.push((self.rest.total / rest_weight, rest_weight));
        crowds.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut weight: f64 = crowds.iter().map(|crowd| crowd.1).sum();
        let mut left = places;
        for (demand, crowd_weight) in crowds {
            if demand * weight >= left {
                return left / weight;
            }
            left -= demand * crowd_weight;
            weight -= crowd_weight;
        }
        f64::INFINITY
    }
}

/// Sums the demand of all gateways by priority, most urgent first.
fn sum_levels<'a>(
    own_demand: &OwnDemand,
    peers: impl Iterator<Item = &'a PeerDemand>,
    period_share: f64,
) -> BTreeMap<u8, LevelDemand> {
    let mut levels: BTreeMap<u8, LevelDemand> = BTreeMap::new();
    for entry in peers.flat_map(|peer| &peer.entries) {
        let level = levels.entry(entry.priority).or_default();
        match entry.organisation {
            Some(organisation) => {
                level.listed.entry(organisation).or_default().add(entry, period_share, false)
            }
            None => level.rest.add(entry, period_share, false),
        }
    }
    for entry in own_demand.listed_entries().iter().filter(|entry| entry.organisation.is_some()) {
        let level = levels.entry(entry.priority).or_default();
        level.listed.entry(entry.organisation.unwrap_or_default()).or_default();
    }
    for entry in &own_demand.entries {
        let level = levels.entry(entry.priority).or_default();
        match entry.organisation.and_then(|organisation| level.listed.get_mut(&organisation)) {
            Some(listed) => listed.add(entry, period_share, true),
            None => level.rest.add(entry, period_share, true),
        }
    }
    for (priority, level) in &mut levels {
        let known = own_demand.organisations.get(priority).into_iter().flatten();
        level.rest_organisations =
            known.filter(|organisation| !level.listed.contains_key(organisation)).count();
    }
    levels
}

/// Figures from which an allotment was computed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AllotmentBasis {
    /// Free places over all gateways, less those that others have used since their last counts.
    pub places: f64,
    /// Streams that need a place, over all gateways that were heard.
    pub demand: f64,
    /// Those of this gateway.
    pub own_demand: f64,
    /// Number of other gateways whose demand is known.
    pub heard: usize,
    /// Age of the oldest demand that counts; `None` if no other gateway told any.
    pub demand_age: Option<Duration>,
}

/// Places of this gateway for one priority.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct LevelPlaces {
    listed: FastMap<OrganisationDigest, u32>,
    rest: u32,
}

/// Streams that this gateway may admit within an update interval.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandAllotment {
    /// When the next allotment is due.
    pub expires_at: Duration,
    /// Figures from which it was computed.
    pub basis: AllotmentBasis,
    /// Most urgent priority whose demand does not fit; `None` if all demand fits.
    split_priority: Option<u8>,
    levels: FastMap<u8, LevelPlaces>,
}

impl DemandAllotment {
    /// Returns an allotment that limits nothing.
    pub fn unlimited(expires_at: Duration) -> DemandAllotment {
        DemandAllotment {
            expires_at,
            basis: AllotmentBasis::default(),
            split_priority: None,
            levels: FastMap::default(),
        }
    }

    /// Returns whether the demand exceeds the capacity.
    pub fn is_limiting(&self) -> bool {
        self.split_priority.is_some()
    }

    /// Returns the number of places that are left for a priority; `None` if it is not limited.
    pub fn places(&self, priority: u8) -> Option<u32> {
        self.split_priority.filter(|split| priority >= *split)?;
        let level = self.levels.get(&priority);
        Some(level.map_or(0, |level| level.rest + level.listed.values().sum::<u32>()))
    }

    /// Returns whether a stream of an organisation may be admitted.
    pub fn has_place(&self, priority: u8, organisation: &str) -> bool {
        match self.places(priority) {
            None => true,
            Some(0) => false,
            Some(_) => self.levels.get(&priority).is_some_and(|level| {
                let listed = level.listed.get(&digest_organisation(organisation));
                listed.copied().unwrap_or(level.rest) > 0
            }),
        }
    }

    /// Subtracts a stream that was admitted.
    pub fn record_admission(&mut self, priority: u8, organisation: &str) {
        let Some(level) = self.levels.get_mut(&priority) else {
            return;
        };
        let listed = level.listed.get_mut(&digest_organisation(organisation));
        let places = listed.unwrap_or(&mut level.rest);
        *places = places.saturating_sub(1);
    }

    /// Divides `places` between priorities in order and, in those that get less than their
    /// demand, between organisations and gateways. Returns the expected places of this gateway.
    fn divide(
        &mut self,
        levels: &BTreeMap<u8, LevelDemand>,
        places: f64,
        total: f64,
        random: f64,
    ) -> f64 {
        let floors = floors(levels, places, total);
        let mut reserved: f64 = floors.values().sum();
        let mut left = places;
        let mut own_places = 0.0;
        let mut rounding = FairRounding::new(random);
        for (priority, level) in levels {
            let demand = level.demand();
            reserved -= floors.get(priority).copied().unwrap_or_default();
            let granted = demand.total.min((left - reserved).max(0.0));
            left -= granted;
            if self.split_priority.is_none() && granted + ROUNDING >= demand.total {
                own_places += demand.own;
                continue;
            }
            self.split_priority.get_or_insert(*priority);
            let fair_level = level.fair_level(granted);
            let own_share = |sum: &DemandSum, weight: f64| {
                if sum.total <= 0.0 {
                    return 0.0;
                }
                sum.total.min(fair_level * weight) * sum.own / sum.total
            };
            let mut level_places = LevelPlaces::default();
            for (organisation, sum) in &level.listed {
                let share = own_share(sum, 1.0);
                own_places += share;
                level_places.listed.insert(*organisation, rounding.round(share));
            }
            let share = own_share(&level.rest, level.rest_organisations.max(1) as f64);
            own_places += share;
            level_places.rest = rounding.round(share);
            self.levels.insert(*priority, level_places);
        }
        own_places
    }
}

/// Returns the places that each priority gets at least: [`FLOOR_SHARE`] of the part that all
/// arriving streams get.
///
/// Waiting streams do not count here: they are counted again in each interval, so that a
/// priority that is served little would take ever more from the more urgent ones.
fn floors(levels: &BTreeMap<u8, LevelDemand>, places: f64, total: f64) -> BTreeMap<u8, f64> {
    let arrived: f64 = levels.values().map(|level| level.demand().arrived).sum();
    let floor = |level: &LevelDemand| {
        let demand = level.demand();
        let share = if arrived > 0.0 { demand.arrived / arrived } else { demand.total / total };
        (FLOOR_SHARE * places * share).min(demand.total)
    };
    levels.iter().map(|(priority, level)| (*priority, floor(level))).collect()
}

/// Rounds fractions so that each is right on average, and so that their sum is off by less than
/// one.
struct FairRounding {
    sum: f64,
}

impl FairRounding {
    fn new(random: f64) -> FairRounding {
        FairRounding { sum: random.clamp(0.0, 1.0 - ROUNDING) }
    }

    fn round(&mut self, share: f64) -> u32 {
        let before = self.sum.floor();
        self.sum += share;
        (self.sum.floor() - before) as u32
    }
}
