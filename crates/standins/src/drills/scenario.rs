//! Scenario files: the fleet to start, the load to send, timed faults, and the bounds that the
//! metrics have to meet. The files are TOML; unknown keys are rejected.

use std::time::Duration;

use cuminpick::config::ClassTarget;
use cuminpick::ids::ChoiceRng;
use cuminpick_objects::CONFIG_PREFIX;
use cuminpick_objects::reconcile;
use eyre::eyre;
use serde::Deserialize;
use serde_json::Value;

use crate::fleet::Fleet;
use crate::load::LoadCall;

/// Scenario of a drill. Times in it are in seconds from the start of the measured part.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Length of the measured part, in seconds.
    pub seconds: f64,
    /// Length of the load before the measured part, in seconds.
    #[serde(default)]
    pub warm_up: f64,
    /// Start and end of the period that the faults affect.
    #[serde(default)]
    pub during: (f64, f64),
    /// Start and end of the period to compare it with; by default, all of the measured part
    /// before `during`.
    #[serde(default)]
    pub before: Option<(f64, f64)>,
    /// Start and end of the period in which equal organisations overload the fleet, which
    /// measures its capacity.
    #[serde(default)]
    pub capacity: Option<(f64, f64)>,
    /// Seconds after the end of `during` that belong to no period, until service counts as
    /// `after`.
    #[serde(default, rename = "settle")]
    pub settle_seconds: f64,
    /// Processes to start.
    pub fleet: FleetShape,
    /// Targets of the request classes, by class name.
    pub classes: std::collections::BTreeMap<String, ClassTarget>,
    /// Request loads, sent at the same time.
    #[serde(default)]
    pub load: Vec<LoadShape>,
    /// Faults, ordered by time.
    #[serde(default)]
    pub fault: Vec<TimedFault>,
    /// Bounds that metrics have to meet.
    #[serde(default)]
    pub expect: Vec<Expectation>,
}

/// Numbers and capacities of a scenario's processes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetShape {
    /// Names of the availability zones.
    pub zones: Vec<String>,
    /// Number of entries in each zone, in the order of `zones`.
    pub entries: Vec<usize>,
    /// Number of engines in each zone.
    pub engines: usize,
    /// Number of booking services in each zone.
    pub bookings: usize,
    /// Capacity of engines.
    pub engine: ServerShape,
    /// Capacity of booking services.
    pub booking: ServerShape,
}

/// Capacity of a kind of stand-in server, and the bounds of its agents' concurrency limits.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerShape {
    /// Concurrency that the server tolerates when cold.
    pub cold: f64,
    /// Concurrency that the server tolerates when warm.
    pub full: f64,
    /// Warm-up time, in seconds.
    pub warm_s: f64,
    /// Time of a generation step or of a booking with a single request, in ms.
    pub base_ms: f64,
    /// Floor of the agent's concurrency limit.
    pub floor: u32,
    /// Ceiling of the agent's concurrency limit.
    #[serde(default = "default_ceiling")]
    pub ceiling: u32,
}

/// Load of similar requests at random times.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadShape {
    /// Class of the requests.
    pub class: String,
    /// Mean rate, in requests per second.
    pub rate: f64,
    /// Number of events of each answer; `None` for bookings.
    #[serde(default)]
    pub tokens: Option<u64>,
    /// Number of organisations that send equal shares.
    #[serde(default = "default_count")]
    pub organisations: usize,
    /// Number of different prompt prefixes.
    #[serde(default = "default_count")]
    pub prefixes: usize,
    /// Single organisation that sends all requests, instead of `organisations` equal ones.
    #[serde(default)]
    pub organisation: Option<String>,
    /// Start and end of the load; by default, the whole run including the warm-up.
    #[serde(default)]
    pub span: Option<(f64, f64)>,
}

/// Fault at a given time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// Time, in seconds from the start of the measured part.
    pub at: f64,
    /// Kind of the fault; [`FaultRunner`](crate::drills::faults::FaultRunner) defines them.
    pub action: String,
    /// Zone or process that it affects.
    #[serde(default)]
    pub target: String,
    /// Duration in seconds, for faults that have one.
    #[serde(default, rename = "lasts")]
    pub duration: f64,
}

/// Bound of a metric.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// Name of the metric.
    #[serde(rename = "figure")]
    pub metric: String,
    /// Highest value that is accepted; `None` for no upper bound.
    #[serde(default)]
    pub at_most: Option<f64>,
    /// Lowest value that is accepted; `None` for no lower bound.
    #[serde(default)]
    pub at_least: Option<f64>,
}

fn default_ceiling() -> u32 {
    256
}

fn default_count() -> usize {
    1
}

impl Scenario {
    /// Returns the scenario with a name; fails if there is none.
    pub fn by_name(name: &str) -> eyre::Result<Scenario> {
        let text = match name {
            "path" => include_str!("../../scenarios/path.toml"),
            "capacity" => include_str!("../../scenarios/capacity.toml"),
            "zone" => include_str!("../../scenarios/zone.toml"),
            "vanish" => include_str!("../../scenarios/vanish.toml"),
            "overload" => include_str!("../../scenarios/overload.toml"),
            other => return Err(eyre!("no drill '{other}'; see `drill --help`")),
        };
        Ok(toml::from_str(text)?)
    }

    /// Starts a platform stand-in and plans the scenario's processes.
    fn plan_fleet(&self, name: &str) -> eyre::Result<Fleet> {
        let mut fleet = Fleet::start(name)?;
        for (index, zone) in self.fleet.zones.iter().enumerate() {
            for number in 0..self.fleet.entries.get(index).copied().unwrap_or(0) {
                fleet.plan_entry(&format!("entry-{zone}-{number}"), zone, number == 0)?;
            }
            for number in 0..self.fleet.engines {
                self.fleet.engine.plan_server(&mut fleet, zone, "model", "engine", number)?;
            }
            for number in 0..self.fleet.bookings {
                self.fleet.booking.plan_server(&mut fleet, zone, "booking", "booking", number)?;
            }
        }
        Ok(fleet)
    }

    /// Starts only the platform stand-in and the scenario's backend servers.
    pub fn start_backends(&self, name: &str) -> eyre::Result<Fleet> {
        let fleet = self.plan_fleet(name)?;
        fleet.start_backends()?;
        Ok(fleet)
    }

    /// Writes the scenario's classes to the platform and starts all its processes.
    pub fn start_fleet(&self, name: &str) -> eyre::Result<Fleet> {
        let fleet = self.plan_fleet(name)?;
        let store = fleet.store()?;
        for (class, target) in &self.classes {
            let key = format!("{CONFIG_PREFIX}classes/{class}");
            let value = serde_json::to_string(target)?;
            reconcile::apply_change(store.as_ref(), &key, None, Some(&value))?;
        }
        fleet.start_planned()?;
        Ok(fleet)
    }

    /// Describes each expectation that the metrics do not meet. A missing metric meets none.
    pub fn failed_expectations(&self, metrics: &Value) -> Vec<String> {
        let failed = self.expect.iter().filter_map(|expectation| {
            let value = metrics[&expectation.metric].as_f64();
            let too_low =
                expectation.at_least.is_some_and(|least| value.is_none_or(|value| value < least));
            let too_high =
                expectation.at_most.is_some_and(|most| value.is_none_or(|value| value > most));
            let bound = expectation.at_least.or(expectation.at_most)?;
            let comparison = if expectation.at_least.is_some() { "at least" } else { "at most" };
            (too_low || too_high).then(|| {
                format!("{} is {value:?}, expected {comparison} {bound}", expectation.metric)
            })
        });
        failed.collect()
    }
}

impl ServerShape {
    fn plan_server(
        &self,
        fleet: &mut Fleet,
        zone: &str,
        service: &str,
        kind: &'static str,
        number: usize,
    ) -> eyre::Result<()> {
        let id = format!("{kind}-{zone}-{number}");
        let limits = (self.floor, self.ceiling);
        fleet.plan_server(&id, zone, service, kind, self.command_line(), limits)
    }

    fn command_line(&self) -> Vec<String> {
        let options = [
            ("--cold", self.cold),
            ("--full", self.full),
            ("--warm-s", self.warm_s),
            ("--base-ms", self.base_ms),
        ];
        options.iter().flat_map(|(name, value)| [name.to_string(), value.to_string()]).collect()
    }
}

/// Request with the time at which to send it.
#[derive(Debug, Clone)]
pub struct PlannedCall {
    /// Time from the start of the load.
    pub at: Duration,
    /// Request to send.
    pub call: LoadCall,
}

impl LoadShape {
    /// Plans the requests of a load of `length` after `warm_up`, with exponentially distributed
    /// intervals.
    pub fn plan(
        &self,
        warm_up: Duration,
        length: Duration,
        rng: &mut ChoiceRng,
    ) -> Vec<PlannedCall> {
        let (warm_up, length) = (warm_up.as_secs_f64(), length.as_secs_f64());
        let (from, until) = match self.span {
            Some((from, until)) => (warm_up + from, warm_up + until.min(length)),
            None => (0.0, warm_up + length),
        };
        let mut planned = Vec::new();
        let mut at = from;
        loop {
            at += -(1.0 - random_fraction(rng)).ln() / self.rate;
            if at >= until {
                return planned;
            }
            let organisation = match &self.organisation {
                Some(organisation) => organisation.clone(),
                None => format!("organisation-{}", rng.below(self.organisations)),
            };
            let call = self.random_call(&organisation, rng);
            planned.push(PlannedCall { at: Duration::from_secs_f64(at), call });
        }
    }

    fn random_call(&self, organisation: &str, rng: &mut ChoiceRng) -> LoadCall {
        let number = rng.next_bits();
        match self.tokens {
            Some(tokens) => {
                let prefix = format!("{:08}", rng.below(self.prefixes)).repeat(32);
                let prompt = format!("{prefix} {number:016x}");
                LoadCall::prompt(&self.class, organisation, &prompt, tokens)
            }
            None => LoadCall::booking(&self.class, organisation, &format!("{number:016x}")),
        }
    }
}

/// Returns a random number of at least 0 and less than 1.
pub fn random_fraction(rng: &mut ChoiceRng) -> f64 {
    (rng.next_bits() >> 11) as f64 / (1_u64 << 53) as f64
}
