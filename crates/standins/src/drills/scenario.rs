//! Scenario files: the fleet, the load, timed faults and expectations.

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

/// A scenario.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Length of the measured part.
    pub seconds: f64,
    /// Seconds of load before the measured part.
    #[serde(default)]
    pub warm_up: f64,
    /// Part in which the fault is felt: start and end, in seconds.
    #[serde(default)]
    pub during: (f64, f64),
    /// Part before it that it is compared with; all before it without this.
    #[serde(default)]
    pub before: Option<(f64, f64)>,
    /// Part in which equal organisations ask for more than there is.
    #[serde(default)]
    pub capacity: Option<(f64, f64)>,
    /// Seconds from the end of that part until service counts as after it.
    #[serde(default)]
    pub settle: f64,
    /// Processes.
    pub fleet: FleetShape,
    /// Classes of work by name.
    pub classes: std::collections::BTreeMap<String, ClassTarget>,
    /// Streams of requests.
    #[serde(default)]
    pub load: Vec<LoadShape>,
    /// Faults in the order of their times.
    #[serde(default)]
    pub fault: Vec<TimedFault>,
    /// Bounds of figures.
    #[serde(default)]
    pub expect: Vec<Expectation>,
}

/// Processes of a scenario.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetShape {
    /// Availability zones.
    pub zones: Vec<String>,
    /// Entries in each zone, in the zones' order.
    pub entries: Vec<usize>,
    /// Engines in each zone.
    pub engines: usize,
    /// Booking services in each zone.
    pub bookings: usize,
    /// Bearing of engines.
    pub engine: BearingShape,
    /// Bearing of booking services.
    pub booking: BearingShape,
}

/// Bearing of stand-ins, and the floor of their agents.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BearingShape {
    /// Concurrency borne when cold.
    pub cold: f64,
    /// Concurrency borne when warm.
    pub full: f64,
    /// Seconds from cold to warm.
    pub warm_s: f64,
    /// Step or answer time of a single request, in ms.
    pub base_ms: f64,
    /// Floor of the agent's limit.
    pub floor: u32,
    /// Ceiling of the agent's limit.
    #[serde(default = "default_ceiling")]
    pub ceiling: u32,
}

/// A stream of requests at random times.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadShape {
    /// Class of work.
    pub class: String,
    /// Requests a second.
    pub rate: f64,
    /// Events of an answer; absent for bookings.
    #[serde(default)]
    pub tokens: Option<u64>,
    /// Organisations that take part equally.
    #[serde(default = "one")]
    pub organisations: usize,
    /// Prompt prefixes in use.
    #[serde(default = "one")]
    pub prefixes: usize,
    /// Organisation that sends, in place of the equal ones.
    #[serde(default)]
    pub organisation: Option<String>,
    /// Seconds from the start of the measured part in which it is sent; all
    /// along, warm-up included, without it.
    #[serde(default)]
    pub span: Option<(f64, f64)>,
}

/// A fault at a time from the start of the measured part.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// Seconds from the start.
    pub at: f64,
    /// What happens; see `traffic`.
    pub action: String,
    /// Zone or process concerned.
    #[serde(default)]
    pub target: String,
    /// Seconds that it lasts, where that applies.
    #[serde(default)]
    pub lasts: f64,
}

/// A bound of a figure.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// Name of the figure.
    pub figure: String,
    /// Largest value.
    #[serde(default)]
    pub at_most: Option<f64>,
    /// Least value.
    #[serde(default)]
    pub at_least: Option<f64>,
}

fn default_ceiling() -> u32 {
    256
}

fn one() -> usize {
    1
}

impl Scenario {
    /// Reads a scenario by its name.
    pub fn named(name: &str) -> eyre::Result<Scenario> {
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

    /// Plans the scenario's processes behind a running platform stand-in.
    fn plan_fleet(&self, name: &str) -> eyre::Result<Fleet> {
        let mut fleet = Fleet::start(name)?;
        for (index, zone) in self.fleet.zones.iter().enumerate() {
            for number in 0..self.fleet.entries.get(index).copied().unwrap_or(0) {
                fleet.plan_entry(&format!("entry-{zone}-{number}"), zone, number == 0)?;
            }
            for number in 0..self.fleet.engines {
                self.fleet.engine.plan(&mut fleet, zone, "model", "engine", number)?;
            }
            for number in 0..self.fleet.bookings {
                self.fleet.booking.plan(&mut fleet, zone, "booking", "booking", number)?;
            }
        }
        Ok(fleet)
    }

    /// Starts the scenario's backend servers alone.
    pub fn start_backends(&self, name: &str) -> eyre::Result<Fleet> {
        let fleet = self.plan_fleet(name)?;
        fleet.launch_backends()?;
        Ok(fleet)
    }

    /// Starts the scenario's processes and puts its classes in force.
    pub fn start_fleet(&self, name: &str) -> eyre::Result<Fleet> {
        let fleet = self.plan_fleet(name)?;
        let store = fleet.store()?;
        for (class, target) in &self.classes {
            let key = format!("{CONFIG_PREFIX}classes/{class}");
            let value = serde_json::to_string(target)?;
            reconcile::apply_change(store.as_ref(), &key, None, Some(&value))?;
        }
        fleet.launch()?;
        Ok(fleet)
    }

    /// Lists the expectations that the figures do not meet.
    pub fn failed_expectations(&self, figures: &Value) -> Vec<String> {
        let failed = self.expect.iter().filter_map(|expectation| {
            let value = figures[&expectation.figure].as_f64();
            let low = expectation.at_least.is_some_and(|least| value.is_none_or(|v| v < least));
            let high = expectation.at_most.is_some_and(|most| value.is_none_or(|v| v > most));
            let bound = expectation.at_least.or(expectation.at_most)?;
            let side = if expectation.at_least.is_some() { "at least" } else { "at most" };
            (low || high)
                .then(|| format!("{} is {value:?}, stated {side} {bound}", expectation.figure))
        });
        failed.collect()
    }
}

impl BearingShape {
    fn plan(
        &self,
        fleet: &mut Fleet,
        zone: &str,
        service: &str,
        kind: &'static str,
        number: usize,
    ) -> eyre::Result<()> {
        let id = format!("{kind}-{zone}-{number}");
        let limits = (self.floor, self.ceiling);
        fleet.plan_server(&id, zone, service, kind, self.arguments(), limits)
    }

    fn arguments(&self) -> Vec<String> {
        let pairs = [
            ("--cold", self.cold),
            ("--full", self.full),
            ("--warm-s", self.warm_s),
            ("--base-ms", self.base_ms),
        ];
        pairs.iter().flat_map(|(name, value)| [name.to_string(), value.to_string()]).collect()
    }
}

/// A request and when to send it.
#[derive(Debug, Clone)]
pub struct PlannedCall {
    /// Time from the start of the load.
    pub at: Duration,
    /// Request.
    pub call: LoadCall,
}

impl LoadShape {
    /// Plans the requests of a load of `length` after `warm_up`, at random gaps.
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
            at += -(1.0 - unit(rng)).ln() / self.rate;
            if at >= until {
                return planned;
            }
            let organisation = match &self.organisation {
                Some(organisation) => organisation.clone(),
                None => format!("organisation-{}", rng.below(self.organisations)),
            };
            let call = self.call(&organisation, rng);
            planned.push(PlannedCall { at: Duration::from_secs_f64(at), call });
        }
    }

    fn call(&self, organisation: &str, rng: &mut ChoiceRng) -> LoadCall {
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

/// Returns a number from 0 up to 1.
pub fn unit(rng: &mut ChoiceRng) -> f64 {
    (rng.next_bits() >> 11) as f64 / (1_u64 << 53) as f64
}
