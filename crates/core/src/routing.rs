//! Routing table: which service serves a request, for which organisation, and within
//! which times.
//!
//! A [`RoutingTable`] is built from one version of the operators' configuration. It finds
//! the route of a request by host and path, and its organisation by API key.

use std::time::Duration;

use crate::ids::FastMap;
use crate::ids::FastSet;
use crate::ids::OrganisationName;
use crate::ids::ServiceName;
use crate::ids::ZoneName;

/// Version that operators gave to a configuration; increases, but not always by one.
pub type ConfigVersion = u64;
/// Key by which a caller authenticates as an organisation.
pub type ApiKey = String;
/// Index of a route in the list of routes of a [`RoutingTable`].
pub type RouteIndex = usize;

/// Shortest time for which callers wait for the next event of a stream. The users gave
/// this and the next two values for their callers.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Multiple of the target latency for which callers of a stream wait.
const CALLER_TIMEOUT_TARGETS: u32 = 4;
/// Multiple of the longest accepted event gap for which callers of a stream wait.
const CALLER_TIMEOUT_GAPS: u32 = 8;

/// Whether, and how, a request of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// The request may run at most once.
    AtMostOnce,
    /// The request may run again from its start.
    Idempotent,
    /// The answer is a stream that another server can resume after any event.
    ResumableStream,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A route as configured by operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route; also the class of its requests in metrics and in the deadline and
    /// stream length estimates.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Prefix of request paths; starts and ends with a slash.
    pub prefix: String,
    /// Services that share the requests; one or more.
    pub targets: Vec<RouteTarget>,
    /// Whether a request may run again.
    pub repeat: RepeatRule,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Longest time until the answer is complete.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// Longest gap between two events of a stream that is on time.
    pub max_event_gap: Option<Duration>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Most servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
}

/// Cost model of a model engine; gives the time of a pass.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    /// Decode steps in one pass; a pass produces one event of each stream.
    pub steps_per_pass: u32,
    /// Time of a step while no request is in decode.
    pub step_time: Duration,
    /// Time that each request in decode adds to a step.
    pub time_per_request: Duration,
    /// Share of the step time that experts take, 0 to 1.
    pub expert_share: f64,
    /// Age of the state in an engine's reports to other VMs; zero if it is not known.
    pub report_lag: Duration,
    /// Time that a group of ranks takes to form once all of them run.
    pub form_time: Duration,
    /// Expert layout; `None` when the model has no experts.
    pub experts: Option<ExpertLayout>,
    /// Tokens that fit into a server's memory; `None` if it is not known.
    pub memory_tokens: Option<u32>,
    /// Prompt tokens that a server reads per second; 0 if it is not known.
    pub read_tokens_per_second: f64,
}

impl EngineModel {
    /// Returns the time of a pass in seconds.
    ///
    /// `per_rank` is the number of requests in decode at each rank; `skew` is the expert
    /// load of the most loaded rank over the mean of all ranks, 1 or more.
    pub fn pass_seconds(&self, per_rank: f64, skew: f64) -> f64 {
        let step = self.step_time.as_secs_f64() + self.time_per_request.as_secs_f64() * per_rank;
        let imbalance = 1.0 + self.expert_share * (skew - 1.0);
        f64::from(self.steps_per_pass) * step * imbalance
    }
}

/// Dimensions of the expert maps of a group of ranks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpertLayout {
    /// Number of layer sets, each with a map of its own.
    pub sets: usize,
    /// Number of experts in a set.
    pub experts: usize,
    /// Experts that a rank can hold in a set.
    pub slots_per_rank: usize,
    /// Most experts in a set that one map change may copy to a rank.
    pub max_new_experts: usize,
    /// Time to copy one expert to a rank.
    pub copy_time: Duration,
}

/// A service as configured by operators.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Path of the HTTP health check.
    pub health_path: String,
    /// Most connections that a server accepts, over all callers.
    pub max_connections: u32,
    /// Most requests per second that a cold server tolerates; 0 means no limit.
    pub cold_requests_per_second: f64,
    /// Cost model, for model engines.
    pub engine: Option<EngineModel>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head (request line and headers), in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time until a request head is complete.
    pub head_timeout: Duration,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits in force until a configuration is known: common defaults of
    /// HTTP servers.
    fn default() -> CallerLimits {
        CallerLimits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// An organisation that holds API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationRule {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Priority that overrides that of the route, if set.
    pub priority: Option<u8>,
}

/// One version of the configuration, indexed for look-ups.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RoutingTable {
    version: ConfigVersion,
    routes: Vec<RouteRule>,
    by_host: FastMap<String, Vec<RouteIndex>>,
    services: FastMap<ServiceName, ServiceSpec>,
    limits: CallerLimits,
    keys: Option<FastMap<ApiKey, OrganisationRule>>,
    shortest_event_gaps: FastMap<ServiceName, Duration>,
    /// Priorities of organisations and routes that requests can have, most urgent first.
    urgency_order: Vec<(u8, u8)>,
}

/// Why a caller's key was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The route requires a key and the request has none.
    Missing,
    /// The key belongs to no organisation.
    Unknown,
}

impl RoutingTable {
    /// Builds a table; sorts the routes of each host by descending prefix length.
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
        let mut shortest_event_gaps: FastMap<ServiceName, Duration> = FastMap::default();
        for route in &routes {
            let Some(gap) = route.max_event_gap else {
                continue;
            };
            for target in &route.targets {
                let shortest = shortest_event_gaps.entry(target.service.clone()).or_insert(gap);
                *shortest = gap.min(*shortest);
            }
        }
        let urgency_order = order_priorities(&routes, keys.as_ref());
        RoutingTable {
            version,
            routes,
            by_host,
            services,
            limits,
            keys,
            shortest_event_gaps,
            urgency_order,
        }
    }

    /// Returns the rank of a request among all that the configuration allows; 0 is the most
    /// urgent. The priority of the organisation goes first. That of the route orders the requests
    /// of organisations of equal priority, and is the rank where no organisation has one.
    pub fn urgency_rank(&self, route: &RouteRule, organisation: Option<&OrganisationRule>) -> u8 {
        if self.urgency_order.is_empty() {
            return route.priority;
        }
        let priorities = (route.priority_for(organisation), route.priority);
        let rank = self.urgency_order.partition_point(|known| *known < priorities);
        u8::try_from(rank).unwrap_or(u8::MAX)
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits on what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let indices = self.by_host.get(host)?;
        let mut routes = indices.iter().map(|&index| &self.routes[index]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the names of the services that the configuration names.
    pub fn service_names(&self) -> FastSet<ServiceName> {
        let targets = self.routes.iter().flat_map(|route| &route.targets);
        let targets = targets.map(|target| &target.service);
        self.services.keys().chain(targets).cloned().collect()
    }

    /// Returns all services with their names.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceSpec)> {
        self.services.iter()
    }

    /// Returns the shortest of the longest event gaps that routes to a service accept;
    /// `None` when no such route sets one.
    pub fn shortest_event_gap(&self, service: &str) -> Option<Duration> {
        self.shortest_event_gaps.get(service).copied()
    }

    /// Returns whether there is a route of this name.
    pub fn has_route(&self, name: &str) -> bool {
        self.routes.iter().any(|route| route.name == name)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the organisation of a request on `route` that carries `key`; `None` when
    /// the route is public and the key unknown, or when the configuration has no keys.
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

/// Returns the pairs of an organisation's and a route's priority that requests can have, sorted;
/// none if no organisation has a priority.
fn order_priorities(
    routes: &[RouteRule],
    keys: Option<&FastMap<ApiKey, OrganisationRule>>,
) -> Vec<(u8, u8)> {
    let rules = keys.into_iter().flat_map(FastMap::values);
    let mut overrides: Vec<Option<u8>> = rules.map(|rule| rule.priority).collect();
    if overrides.iter().all(Option::is_none) {
        return Vec::new();
    }
    overrides.push(None);
    overrides.sort_unstable();
    overrides.dedup();
    let pairs = routes.iter().flat_map(|route| {
        overrides.iter().map(|priority| (priority.unwrap_or(route.priority), route.priority))
    });
    let mut pairs: Vec<(u8, u8)> = pairs.collect();
    pairs.sort_unstable();
    pairs.dedup();
    pairs
}

impl RouteRule {
    /// Picks a target by weight; `random` is a uniformly random number.
    pub fn pick_target(&self, random: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut remaining = random % total;
        for target in &self.targets {
            if remaining < u64::from(target.weight) {
                return Some(&target.service);
            }
            remaining -= u64::from(target.weight);
        }
        None
    }

    /// Returns the priority of a request on this route; that of its organisation
    /// overrides that of the route. [`RoutingTable::urgency_rank`] orders requests.
    pub fn priority_for(&self, organisation: Option<&OrganisationRule>) -> u8 {
        organisation.and_then(|rule| rule.priority).unwrap_or(self.priority)
    }

    /// Returns the time after which callers of a stream leave if no event arrives.
    pub fn caller_timeout(&self) -> Duration {
        let gap = self.max_event_gap.unwrap_or_default() * CALLER_TIMEOUT_GAPS;
        MIN_CALLER_TIMEOUT.max(self.target_latency * CALLER_TIMEOUT_TARGETS).max(gap)
    }

    /// Returns whether a request may run more than once.
    pub fn repeatable(&self) -> bool {
        self.repeat != RepeatRule::AtMostOnce
    }
}

/// State that a backend server reports in its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests in flight and then exits.
    Draining,
}

/// Record that a backend server registered for itself.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerRecord {
    /// Identity of the server.
    pub id: crate::ids::ServerId,
    /// Service that it provides.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub address: std::net::SocketAddr,
    /// Availability zone that it runs in.
    pub zone: ZoneName,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: ServerState,
    /// Time for which it remains cold, counted from when the record was written.
    pub cold_remaining: Duration,
    /// Start time of the server, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
}
