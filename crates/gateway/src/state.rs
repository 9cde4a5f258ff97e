//! What a gateway knows, shared by the tasks of its one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cuminpick::admission::EventGapMeter;
use cuminpick::balance::BalanceTable;
use cuminpick::clock::Clock;
use cuminpick::crash_detection::CrashDetector;
use cuminpick::deadlines::DeadlineTracker;
use cuminpick::deadlines::StreamLengths;
use cuminpick::ids::ChoiceRng;
use cuminpick::ids::FastMap;
use cuminpick::ids::FastSet;
use cuminpick::ids::RequestDigest;
use cuminpick::ids::ServerId;
use cuminpick::ids::ServiceName;
use cuminpick::quarantine::CrashQuarantine;
use cuminpick::retry::WindowedRetryBudget;
use cuminpick::routing::RoutingTable;
use cuminpick::silence::SilenceDetector;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use cuminpick_platform::settings::NodeSettings;
use tokio::sync::Notify;

use crate::gate::ServiceGate;

/// Time for which a leaving gateway takes all requests: the platform notices
/// after two questions, a second apart.
pub const DRAIN_LINGER: Duration = Duration::from_millis(2_800);
/// Part of the time until SIGKILL that a leaving gateway uses for open requests.
pub const GRACE_FRACTION: f64 = 0.95;

/// State and outlets of a gateway.
pub struct Gateway {
    /// Settings of the process.
    pub settings: NodeSettings,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Log.
    pub journal: Journal,
    /// Metrics.
    pub metrics: Metrics,
    /// Configuration in force; `None` until one is known.
    pub routing: RefCell<Option<Rc<RoutingTable>>>,
    /// Backend servers.
    pub balance: RefCell<BalanceTable>,
    /// Repeats that are left.
    pub retry_budget: RefCell<WindowedRetryBudget>,
    /// Pauses between events, by service.
    pub event_gaps: RefCell<FastMap<ServiceName, EventGapMeter>>,
    /// Streams that wait to be let in, by service.
    pub gates: RefCell<FastMap<ServiceName, ServiceGate>>,
    /// Times that callers of each route give their requests.
    pub deadlines: RefCell<DeadlineTracker>,
    /// Events of each route's streams.
    pub stream_lengths: RefCell<StreamLengths>,
    /// When each server last made an event.
    pub silence_detector: RefCell<SilenceDetector>,
    /// Requests that are, or were of late, at each start of each server.
    pub crash_detector: RefCell<CrashDetector>,
    /// Servers that are being looked at, whether they have ended.
    pub active_probes: RefCell<FastSet<SocketAddr>>,
    /// Woken when such a look is over.
    pub probe_finished: Notify,
    /// Requests under which servers ended.
    pub quarantine: RefCell<CrashQuarantine>,
    /// Woken when a request is held back from now on.
    pub newly_quarantined: Notify,
    /// Answered requests of which other gateways have to be told.
    pub answers_to_broadcast: RefCell<Vec<RequestDigest>>,
    /// Woken when there is something to tell of crashes.
    pub crash_update_due: Notify,
    /// Woken when this gateway's part of the crashes has changed.
    pub crash_record_changed: Notify,
    /// Slow engines that were last heard of, for the log.
    pub slow_engines: RefCell<Vec<String>>,
    /// Random choices.
    pub rng: RefCell<ChoiceRng>,
    /// Whether servers were listed at least once.
    pub servers_known: Cell<bool>,
    /// When the process was told to leave.
    pub leaving_since: Cell<Option<Duration>>,
    /// Requests that have not ended.
    pub open_requests: Cell<usize>,
    /// Bytes of servers' answers that are being read.
    pub buffered_bytes: Cell<usize>,
    /// Woken when a request ends or servers change.
    pub capacity_changed: Notify,
}

impl Gateway {
    /// Time since the start, which never goes back.
    pub fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    /// Whether new connections are welcome.
    pub fn is_ready(&self) -> bool {
        self.leaving_since.get().is_none()
            && self.servers_known.get()
            && self.routing.borrow().is_some()
    }

    /// Whether a request that arrives now can still be served to its end: for
    /// [`DRAIN_LINGER`] all are taken, from then on those that end before SIGKILL.
    pub fn can_finish(&self, needed: Duration) -> bool {
        let Some(leaving) = self.leaving_since.get() else {
            return true;
        };
        let passed = self.now().saturating_sub(leaving);
        passed < DRAIN_LINGER
            || passed + needed < self.settings.bounds.grace.mul_f64(GRACE_FRACTION)
    }

    /// Configuration in force.
    pub fn routing_table(&self) -> Option<Rc<RoutingTable>> {
        self.routing.borrow().clone()
    }

    /// Returns random bits.
    pub fn random_bits(&self) -> u64 {
        self.rng.borrow_mut().next_bits()
    }
}

/// Counts a request as in flight at a server until it is dropped.
pub struct InFlightGuard {
    gateway: Rc<Gateway>,
    server: ServerId,
}

impl InFlightGuard {
    /// Counts a request at `server`.
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
    /// Counts a request.
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
