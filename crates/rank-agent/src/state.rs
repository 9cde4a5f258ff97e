//! State of an agent, shared by the tasks on its only thread.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cuminpick::clock::Clock;
use cuminpick::demand::DemandSettings;
use cuminpick::experts::ExpertMap;
use cuminpick::experts::MapVersion;
use cuminpick::experts::PlanSettings;
use cuminpick::ids::ChoiceRng;
use cuminpick::ids::FastMap;
use cuminpick::ids::GroupName;
use cuminpick::orders::GroupEpoch;
use cuminpick::orders::LeaderTerm;
use cuminpick::orders::OrderId;
use cuminpick::orders::OrderOutcome;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use cuminpick_platform::engine::GroupReport;
use cuminpick_platform::settings::NodeSettings;
use cuminpick_platform::store::StoreClient;
use slog::o;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::lead::Leadership;
use crate::messages::AgentMessage;

/// Settings of the map planner, which experiments may change.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AgentTuning {
    /// Limits of a plan: the time and number of its copies, and the gains that it must bring.
    pub plan: PlanSettings,
    /// How past demand is weighted.
    pub demand: DemandSettings,
}

/// Rank of the engine on this VM, within its group.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnRank {
    /// Name of the group.
    pub group: GroupName,
    /// Number of ranks in the group.
    pub size: usize,
    /// Index of the rank, from 0.
    pub rank: usize,
}

impl OwnRank {
    /// Returns whether an engine's report is from a rank of this group.
    pub fn has_member(&self, report: &GroupReport) -> bool {
        report.group == self.group && report.size == self.size && report.status.rank < self.size
    }
}

/// The leader with the highest term that this agent knows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownLeader {
    /// Term of the leader.
    pub term: LeaderTerm,
    /// Address of the leader's agent.
    pub address: SocketAddr,
    /// When its last message arrived, or this agent claimed the leadership; time since the
    /// start of the process.
    pub last_heard: Duration,
}

/// Mutable state of an agent.
#[derive(Default)]
pub struct AgentState {
    /// Rank of the engine on this VM, once read.
    pub rank: Option<OwnRank>,
    /// Leader of the group, once known.
    pub leader: Option<KnownLeader>,
    /// State of this agent as the leader; `None` while it does not lead.
    pub leadership: Option<Leadership>,
    /// Whether ranks refused the orders of this agent's last term, having seen a higher fence.
    pub was_refused: bool,
    /// Outcomes of the current leader's orders; `None` while an order is in progress.
    pub outcomes: FastMap<OrderId, Option<OrderOutcome>>,
    /// Most recent maps in orders that other agents sent, oldest first.
    pub recent_maps: Vec<(GroupEpoch, MapVersion, Arc<ExpertMap>)>,
    /// Version of the map last ordered to be prepared, and when the order arrived.
    pub awaited_map: Option<(MapVersion, Duration)>,
    /// Last order that was carried out, with its leader's term.
    pub last_order: Option<(LeaderTerm, OrderId)>,
}

/// An agent: its settings, connections and state.
pub struct Agent {
    /// Settings of this VM and its platform.
    pub settings: NodeSettings,
    /// Settings of the map planner.
    pub tuning: AgentTuning,
    /// Address of the engine on this VM.
    pub engine: SocketAddr,
    /// Source of the time.
    pub clock: Arc<dyn Clock>,
    /// Start of the process in milliseconds since the Unix epoch; distinguishes
    /// successive runs of the agent on one VM.
    pub incarnation: u64,
    /// Event log.
    pub journal: Journal,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Client of the platform's metadata store.
    pub store: StoreClient,
    /// UDP socket for messages between agents and updates to gateways.
    pub socket: UdpSocket,
    /// State that changes while the agent runs.
    pub state: RefCell<AgentState>,
    /// Random numbers for delays and for packing counts.
    pub rng: RefCell<ChoiceRng>,
    /// Notified when the engine should be read immediately.
    pub read_now: Notify,
}

impl AgentState {
    /// Records the rank of the engine on this VM; returns whether it changed. What is known of
    /// the leader, its orders and its maps concerns one group only.
    pub fn set_rank(&mut self, rank: OwnRank) -> bool {
        if self.rank.as_ref() == Some(&rank) {
            return false;
        }
        if self.rank.as_ref().is_some_and(|known| known.group != rank.group) {
            *self = AgentState::default();
        }
        self.rank = Some(rank);
        true
    }
}

impl Agent {
    /// Returns the monotonic time since the start of the process.
    pub fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    /// Returns a random delay below `limit`, in whole milliseconds.
    pub fn jitter(&self, limit: Duration) -> Duration {
        let millis = (limit.as_millis() as u64).max(1);
        Duration::from_millis(self.rng.borrow_mut().next_bits() % millis)
    }

    /// Sends a message and returns its size in bytes, 0 if it cannot be encoded. Send errors
    /// are ignored: every message may be lost anyway.
    pub async fn send(self: &Rc<Agent>, to: SocketAddr, message: &AgentMessage) -> usize {
        match postcard::to_stdvec(message) {
            Ok(bytes) => {
                self.metrics.count_control(message.name(), "out", bytes.len());
                let _ = self.socket.send_to(&bytes, to).await;
                bytes.len()
            }
            Err(error) => {
                let detail = error.to_string();
                self.journal.warn("message-unencodable", o!("error" => detail));
                0
            }
        }
    }
}
