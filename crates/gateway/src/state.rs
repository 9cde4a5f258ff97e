//! State of a gateway, shared by the tasks of its single thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cuminpick::admission::EventGapMeter;
use cuminpick::balance::BalanceTable;
use cuminpick::capacity_queue::CapacityQueue;
use cuminpick::clock::Clock;
use cuminpick::config_order::ConfigOrder;
use cuminpick::copy_filter::CopyFilter;
use cuminpick::crash_detection::CrashDetector;
use cuminpick::deadlines::DeadlineTracker;
use cuminpick::deadlines::StreamLengths;
use cuminpick::first_event::FirstEventTimes;
use cuminpick::groups::GroupTable;
use cuminpick::ids::ChoiceRng;
use cuminpick::ids::FastMap;
use cuminpick::ids::FastSet;
use cuminpick::ids::RequestDigest;
use cuminpick::ids::ServerId;
use cuminpick::ids::ServiceName;
use cuminpick::part_quarantine::PartQuarantine;
use cuminpick::part_trials::TrialClaims;
use cuminpick::quarantine::CrashQuarantine;
use cuminpick::request_limits::RequestLimits;
use cuminpick::retry::WindowedRetryBudget;
use cuminpick::routing::RoutingTable;
use cuminpick::silence::SilenceDetector;
use cuminpick::store_contact::StoreContact;
use cuminpick::store_history::StorePosition;
use cuminpick::store_history::StoreRevision;
use cuminpick::token_load::TokenLoad;
use cuminpick::updates::LeavingNotice;
use cuminpick::updates::PermitReply;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use cuminpick_platform::settings::NodeSettings;
use cuminpick_platform::store::CRASH_KIND;
use cuminpick_platform::store::EVACUATION_KIND;
use cuminpick_platform::store::ObjectKind;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store_era::EraStatus;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::demand_exchange::DemandExchange;
use crate::gate::ServiceGate;
use crate::part_tracking::PartNews;
use crate::peers::PeerLinks;
use crate::unit_moves::MoveTickets;

/// Longest time after its configuration for which a gateway that starts waits for what must
/// not get requests; all are listed at the same time, so a second more shows a failure.
const MAX_LISTING_WAIT: Duration = Duration::from_secs(1);
/// Time for which a leaving gateway still accepts all requests: the platform notices that it
/// leaves after two readiness checks, a second apart.
pub const DRAIN_LINGER: Duration = Duration::from_millis(2_800);
/// Fraction of the time until SIGKILL that a leaving gateway uses for open requests.
pub const GRACE_FRACTION: f64 = 0.95;

/// State, log and metrics of a gateway.
pub struct Gateway {
    /// Settings of the process.
    pub settings: NodeSettings,
    /// Source of monotonic and wall time.
    pub clock: Arc<dyn Clock>,
    /// Event log.
    pub journal: Journal,
    /// Counters and latencies, served on the metrics page.
    pub metrics: Metrics,
    /// Client of the platform's metadata store.
    pub store: StoreClient,
    /// Configuration in force; `None` until one was received.
    pub routing: RefCell<Option<Rc<RoutingTable>>>,
    /// Which configuration is in force, and which one waits.
    pub config_order: RefCell<ConfigOrder>,
    /// Content of the configuration in force, for gateways that ask for it.
    pub config_content: RefCell<Option<Rc<Value>>>,
    /// Whether a newer configuration is being fetched from another gateway.
    pub is_fetching_config: Cell<bool>,
    /// Whether other gateways were asked what they know beyond what the store holds.
    pub views_inherited: Cell<bool>,
    /// Until when the store's listings may be from an older copy, as other gateways said when
    /// this one started.
    pub inherited_settling: Cell<Option<Duration>>,
    /// Number of times that servers and zones had to be listed again for what other gateways
    /// said; notified when it changes.
    pub relists: Cell<u64>,
    /// Notified when servers and zones have to be listed again.
    pub relist_due: Notify,
    /// Known backend servers with their load.
    pub balance: RefCell<BalanceTable>,
    /// What the store told before it came back from an older copy.
    pub copy_filter: RefCell<CopyFilter>,
    /// Retries that are left.
    pub retry_budget: RefCell<WindowedRetryBudget>,
    /// Time between the events of streams, by service.
    pub event_gaps: RefCell<FastMap<ServiceName, EventGapMeter>>,
    /// Streams that wait for admission, by service.
    pub gates: RefCell<FastMap<ServiceName, ServiceGate>>,
    /// Groups of ranks, as their leaders report them.
    pub groups: RefCell<GroupTable>,
    /// Streams that may be moved off a lost unit.
    pub move_tickets: RefCell<MoveTickets>,
    /// When the last datagram arrived from another process.
    pub peer_heard_at: Cell<Duration>,
    /// Since when this process has run without a longer interruption.
    pub watched_since: Cell<Duration>,
    /// Demand for capacity, exchanged with the other gateways.
    pub demand: RefCell<DemandExchange>,
    /// Deadlines that callers set, by route.
    pub deadlines: RefCell<DeadlineTracker>,
    /// Number of events per stream, by route.
    pub stream_lengths: RefCell<StreamLengths>,
    /// Times to the first event of streams.
    pub first_events: RefCell<FirstEventTimes>,
    /// Tokens of requests at servers.
    pub token_load: RefCell<TokenLoad>,
    /// Time of the last event of each server.
    pub silence_detector: RefCell<SilenceDetector>,
    /// Attempts, in flight or recently lost, at each incarnation of each server.
    pub crash_detector: RefCell<CrashDetector>,
    /// Servers that are being probed for a crash.
    pub active_probes: RefCell<FastSet<SocketAddr>>,
    /// Notified when such a probe is finished.
    pub probe_finished: Notify,
    /// Requests to which crashes of servers are attributed.
    pub quarantine: RefCell<CrashQuarantine>,
    /// Prompt parts to which crashes of servers are attributed.
    pub part_quarantine: RefCell<PartQuarantine>,
    /// Trials of prompt parts that are suspected.
    pub part_trials: RefCell<TrialClaims>,
    /// Answers and trials of prompt parts that are to be sent to the other gateways.
    pub part_news: RefCell<PartNews>,
    /// Limits on requests that servers state.
    pub request_limits: RefCell<RequestLimits>,
    /// Requests that wait while no server of their service takes one, by service.
    pub capacity_queues: RefCell<FastMap<ServiceName, CapacityQueue>>,
    /// Servers whose limit has changed, to be sent to the other gateways.
    pub limit_news: RefCell<Vec<ServerId>>,
    /// Servers that announced that they leave, to be sent to the other gateways.
    pub leaving_news: RefCell<Vec<LeavingNotice>>,
    /// Requests for permits that wait for the reply of another gateway, by number.
    pub pending_permits: RefCell<FastMap<u64, oneshot::Sender<PermitReply>>>,
    /// Socket and addresses for datagrams to the other gateways, once it is open.
    pub peer_links: RefCell<Option<PeerLinks>>,
    /// Notified when a request becomes quarantined, or there is a new crash with a prompt part.
    pub crash_evidence_changed: Notify,
    /// Answered requests that are to be sent to the other gateways.
    pub answers_to_broadcast: RefCell<Vec<RequestDigest>>,
    /// Notified when there are crashes or answers to send to the other gateways.
    pub crash_update_due: Notify,
    /// Notified when the crashes that this gateway noticed have changed, so that its record
    /// in the store has to be written.
    pub crash_record_changed: Notify,
    /// Slow engines of the last update as text; a change is logged.
    pub slow_engines: RefCell<Vec<String>>,
    /// Lowest position that the store stated in its present era.
    pub lowest_position: Cell<Option<StorePosition>>,
    /// Status of the store's era up to which changes were handled.
    pub handled_era: Cell<EraStatus>,
    /// Contact with the store up to which outages were handled.
    pub handled_contact: Cell<StoreContact>,
    /// Notified when another gateway knows of a higher era of the store.
    pub era_check_due: Notify,
    /// Random number generator.
    pub rng: RefCell<ChoiceRng>,
    /// Kinds of objects in the store that were listed at least once.
    pub listed_kinds: RefCell<FastSet<ObjectKind>>,
    /// When the first configuration came in force; `None` before.
    pub configured_at: Cell<Option<Duration>>,
    /// When the process received SIGTERM, as time since its start; `None` before.
    pub leaving_since: Cell<Option<Duration>>,
    /// Number of requests that wait until configuration and servers are known.
    pub starting_requests: Cell<usize>,
    /// Number of requests that are not finished.
    pub open_requests: Cell<usize>,
    /// Bytes of servers' answers that are buffered now, over all requests.
    pub buffered_bytes: Cell<usize>,
    /// Notified when a request leaves a server, or after a listing or change from the store.
    pub capacity_changed: Notify,
}

impl Gateway {
    /// Returns the monotonic time since the start of the process.
    pub fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    /// Records a position that the store stated.
    pub fn record_position(&self, position: StorePosition) {
        let lowest = self.lowest_position.get().filter(|lowest| lowest.era == position.era);
        let revision =
            lowest.map_or(position.revision, |lowest| lowest.revision.min(position.revision));
        self.lowest_position.set(Some(StorePosition { revision, ..position }));
    }

    /// Returns whether a revision was given out after this process first read the store in its
    /// present era.
    pub fn is_written_since_return(&self, revision: StoreRevision) -> bool {
        let era = self.store.eras().era();
        let lowest = self.lowest_position.get().filter(|lowest| lowest.era == era);
        lowest.is_some_and(|lowest| revision > lowest.revision)
    }

    /// Returns whether the gateway accepts new connections: it is not leaving, and it knows
    /// servers and may serve.
    pub fn is_ready(&self) -> bool {
        self.leaving_since.get().is_none()
            && self.has_listed(SERVER_KIND)
            && self.serving_table().is_some()
    }

    /// Returns the configuration by which requests are served. There is none until the store
    /// has told what must not get requests: zones that are out, and parts and requests that
    /// crash servers; and other gateways what has changed since, if the store holds an older
    /// copy. If only that cannot be learned, it is waited for [`MAX_LISTING_WAIT`].
    pub fn serving_table(&self) -> Option<Rc<RoutingTable>> {
        let waited = self.now().saturating_sub(self.configured_at.get()?);
        let kinds = [EVACUATION_KIND, CRASH_KIND, SERVER_KIND];
        let is_complete =
            self.views_inherited.get() && kinds.iter().all(|kind| self.has_listed(kind));
        (is_complete || waited >= MAX_LISTING_WAIT).then(|| self.routing_table()).flatten()
    }

    /// Returns how long [`Gateway::serving_table`] waits for what the store has not told; `None`
    /// before the first configuration.
    pub fn listing_time_left(&self) -> Option<Duration> {
        let waits_until = self.configured_at.get()? + MAX_LISTING_WAIT;
        Some(waits_until.saturating_sub(self.now()))
    }

    /// Has servers and zones listed again before requests are served.
    pub fn relist_servers(&self) {
        self.listed_kinds
            .borrow_mut()
            .retain(|kind| ![SERVER_KIND, EVACUATION_KIND].contains(kind));
        self.relists.set(self.relists.get() + 1);
        self.relist_due.notify_waiters();
    }

    fn has_listed(&self, kind: ObjectKind) -> bool {
        self.listed_kinds.borrow().contains(kind)
    }

    /// Returns whether a request that arrives now and takes up to `needed` can be served. A
    /// leaving gateway accepts all requests for [`DRAIN_LINGER`], then those that finish before
    /// SIGKILL.
    pub fn can_finish(&self, needed: Duration) -> bool {
        let Some(leaving_since) = self.leaving_since.get() else {
            return true;
        };
        let elapsed = self.now().saturating_sub(leaving_since);
        elapsed < DRAIN_LINGER
            || elapsed + needed < self.settings.bounds.grace.mul_f64(GRACE_FRACTION)
    }

    /// Returns the configuration in force.
    pub fn routing_table(&self) -> Option<Rc<RoutingTable>> {
        self.routing.borrow().clone()
    }

    /// Returns 64 random bits.
    pub fn random_bits(&self) -> u64 {
        self.rng.borrow_mut().next_bits()
    }

    /// Returns a random number from 0 to 1.
    pub fn random_share(&self) -> f64 {
        self.random_bits() as f64 / u64::MAX as f64
    }
}

/// Counts a request as in flight at a server until it is dropped.
pub struct InFlightGuard {
    gateway: Rc<Gateway>,
    server: ServerId,
}

impl InFlightGuard {
    /// Counts a request as in flight at `server`.
    pub fn begin(gateway: &Rc<Gateway>, server: &str) -> InFlightGuard {
        let now = gateway.now();
        gateway.balance.borrow_mut().start_request(now, server);
        InFlightGuard { gateway: Rc::clone(gateway), server: server.to_string() }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gateway.balance.borrow_mut().finish_request(&self.server);
        self.gateway.capacity_changed.notify_waiters();
    }
}

/// Counts a request as open until it is dropped.
pub struct OpenRequestGuard {
    gateway: Rc<Gateway>,
}

impl OpenRequestGuard {
    /// Counts a request as open.
    pub fn begin(gateway: &Rc<Gateway>) -> OpenRequestGuard {
        gateway.open_requests.set(gateway.open_requests.get() + 1);
        OpenRequestGuard { gateway: Rc::clone(gateway) }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.gateway.open_requests.set(self.gateway.open_requests.get() - 1);
    }
}
