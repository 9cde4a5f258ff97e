//! Routing table: which service serves a request, for whom, and within which times.

use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::OrganisationName;
use crate::ids::ServiceName;
use crate::ids::ZoneName;

/// Version that operators gave to a configuration; grows in uneven steps.
pub type ConfigVersion = u64;
/// Key with which a caller proves its organisation.
pub type ApiKey = String;
/// Index of a route in [`RoutingTable::routes`].
pub type RouteIndex = usize;

/// Callers wait at least this long for the next event of a stream; this and the
/// two figures below are the users' own.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);
/// Target times for which callers of a stream wait.
const PATIENCE_TARGETS: u32 = 4;
/// Longest accepted pauses for which callers of a stream wait.
const PATIENCE_GAPS: u32 = 8;

/// What a route may do with a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// The request may run at most once.
    AtMostOnce,
    /// The request may run again from its start.
    Idempotent,
    /// The answer is a stream that another server can continue after an event.
    ResumableStream,
}

/// A service that takes part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Service.
    pub service: ServiceName,
    /// Part of the requests, relative to the other targets.
    pub weight: u32,
}

/// A route as operators state it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Prefix of their paths, with a slash at both ends.
    pub prefix: String,
    /// Services, one or more.
    pub targets: Vec<RouteTarget>,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub max_event_gap: Option<Duration>,
    /// Rank of the work; 0 is the most urgent.
    pub priority: u8,
    /// Servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// Cost model of a model engine, from which pass times follow.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    /// Decode steps in one pass; a pass makes one event of each stream.
    pub steps_per_pass: u32,
    /// Time of a step without requests.
    pub step_time: Duration,
    /// Time that each request in decode adds to a step.
    pub time_per_request: Duration,
    /// Part of the work that experts do, 0 to 1.
    pub expert_share: f64,
    /// Expert layout; `None` when the model has no experts.
    pub experts: Option<ExpertLayout>,
}

impl EngineModel {
    /// Time of a pass in seconds with so many requests in decode at each rank, and the
    /// most loaded rank so many times as loaded by experts as the mean.
    pub fn pass_seconds(&self, per_rank: f64, skew: f64) -> f64 {
        let step = self.step_time.as_secs_f64() + self.time_per_request.as_secs_f64() * per_rank;
        let unevenness = 1.0 + self.expert_share * (skew - 1.0);
        f64::from(self.steps_per_pass) * step * unevenness
    }
}

/// Shape of the expert maps of a group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpertLayout {
    /// Sets of layers, each with a map of its own.
    pub sets: usize,
    /// Experts in a set.
    pub experts: usize,
    /// Experts that a rank can hold in a set.
    pub slots_per_rank: usize,
    /// Most experts in a set that one change may copy to a rank.
    pub max_new_experts: usize,
    /// Time that the copy of one expert to a rank takes.
    pub copy_time: Duration,
}

/// A service as operators state it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that a server accepts from all callers together.
    pub max_connections: u32,
    /// Requests per second that a cold server bears; 0 means no bound.
    pub cold_requests_per_second: f64,
    /// Cost model, for model engines.
    pub engine: Option<EngineModel>,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Bounds in force until a configuration is known: common defaults of HTTP servers.
    fn default() -> CallerLimits {
        CallerLimits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// An organisation that holds keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationRule {
    /// Name.
    pub name: OrganisationName,
    /// Rank that goes before the route's, if stated.
    pub priority: Option<u8>,
}

/// One configuration, ready for look-ups.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RoutingTable {
    version: ConfigVersion,
    routes: Vec<RouteRule>,
    by_host: FastMap<String, Vec<RouteIndex>>,
    services: FastMap<ServiceName, ServiceSpec>,
    limits: CallerLimits,
    keys: Option<FastMap<ApiKey, OrganisationRule>>,
    gaps: FastMap<ServiceName, Duration>,
}

/// Why a caller's key was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The route needs a key and there is none.
    Missing,
    /// No organisation holds the key.
    Unknown,
}

impl RoutingTable {
    /// Builds a table; the routes of a host are sorted by falling prefix length.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<RouteRule>,
        services: FastMap<ServiceName, ServiceSpec>,
        limits: CallerLimits,
        keys: Option<FastMap<ApiKey, OrganisationRule>>,
    ) -> RoutingTable {
        let mut by_host: FastMap<String, Vec<RouteIndex>> = FastMap::default();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|&index| std::cmp::Reverse(routes[index].prefix.len()));
        }
        let mut gaps: FastMap<ServiceName, Duration> = FastMap::default();
        for route in &routes {
            let Some(gap) = route.max_event_gap else {
                continue;
            };
            for target in &route.targets {
                let known = gaps.entry(target.service.clone()).or_insert(gap);
                *known = gap.min(*known);
            }
        }
        RoutingTable { version, routes, by_host, services, limits, keys, gaps }
    }

    /// Version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route with the longest prefix that begins `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let indices = self.by_host.get(host)?;
        let mut routes = indices.iter().map(|&index| &self.routes[index]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Lists the services.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceSpec)> {
        self.services.iter()
    }

    /// Shortest pause between events that a route to a service asks for.
    pub fn shortest_event_gap(&self, service: &str) -> Option<Duration> {
        self.gaps.get(service).copied()
    }

    /// Whether there is a route of this name.
    pub fn has_route(&self, name: &str) -> bool {
        self.routes.iter().any(|route| route.name == name)
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the organisation of a request on `route` that carries `key`;
    /// `None` when the request needs none.
    pub fn authenticate(
        &self,
        route: &RouteRule,
        key: Option<&str>,
    ) -> Result<Option<&OrganisationRule>, KeyError> {
        let Some(keys) = &self.keys else {
            return Ok(None);
        };
        match key.and_then(|key| keys.get(key)) {
            Some(organisation) => Ok(Some(organisation)),
            None if route.public => Ok(None),
            None if key.is_none() => Err(KeyError::Missing),
            None => Err(KeyError::Unknown),
        }
    }
}

impl RouteRule {
    /// Picks a target by weight; `roll` is any random number.
    pub fn pick_target(&self, roll: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut left = roll % total;
        for target in &self.targets {
            if left < u64::from(target.weight) {
                return Some(&target.service);
            }
            left -= u64::from(target.weight);
        }
        None
    }

    /// Rank of a request on this route; its organisation's goes before the route's.
    pub fn priority_for(&self, organisation: Option<&OrganisationRule>) -> u8 {
        organisation.and_then(|rule| rule.priority).unwrap_or(self.priority)
    }

    /// Time after which callers of a stream leave when no event comes.
    pub fn caller_timeout(&self) -> Duration {
        let gap = self.max_event_gap.unwrap_or_default() * PATIENCE_GAPS;
        LEAST_PATIENCE.max(self.target_latency * PATIENCE_TARGETS).max(gap)
    }

    /// Whether a request may run more than once.
    pub fn repeatable(&self) -> bool {
        self.repeat != RepeatRule::AtMostOnce
    }
}

/// State that a backend server reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Takes work.
    Ready,
    /// Finishes its work and leaves.
    Draining,
}

/// A backend server as it registered itself.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerRecord {
    /// Identity of the server.
    pub id: crate::ids::ServerId,
    /// Service that it offers.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: ServerState,
    /// How much longer it stays cold, when the record was written.
    pub cold_remaining: Duration,
    /// Start of the server, in milliseconds since the Unix epoch; 0 if not told.
    pub started_ms: u64,
}
