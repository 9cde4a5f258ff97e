//! What an agent knows, shared by the tasks of its one thread.

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
use cuminpick::orders::GroupEpoch;
use cuminpick::orders::LeaderTerm;
use cuminpick::orders::OrderId;
use cuminpick::orders::OrderOutcome;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use cuminpick_platform::settings::NodeSettings;
use slog::o;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::lead::Leadership;
use crate::messages::AgentMessage;
use crate::messages::GroupName;

/// Settings of the planner, for trials.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AgentTuning {
    /// Bounds on plans.
    pub plan: PlanSettings,
    /// Memory of demand.
    pub demand: DemandSettings,
}

/// Rank of the engine on this VM.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnRank {
    /// Group.
    pub group: GroupName,
    /// Ranks in the group.
    pub size: usize,
    /// Number of the rank.
    pub rank: usize,
}

/// Leader as this agent knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownLeader {
    /// Its term.
    pub term: LeaderTerm,
    /// Its address.
    pub address: SocketAddr,
    /// When it was last heard.
    pub heard: Duration,
}

/// What changes while an agent runs.
#[derive(Default)]
pub struct AgentState {
    /// Rank of the engine, once known.
    pub rank: Option<OwnRank>,
    /// Leader of the group.
    pub leader: Option<KnownLeader>,
    /// What this agent does as the leader.
    pub leadership: Option<Leadership>,
    /// Outcomes of the current leader's orders; `None` while one is carried out.
    pub outcomes: FastMap<OrderId, Option<OrderOutcome>>,
    /// Newest maps of the group that orders named, oldest first.
    pub maps: Vec<(GroupEpoch, MapVersion, Arc<ExpertMap>)>,
    /// Version that a switch brings this rank's engine to, and when it was ordered.
    pub awaited: Option<(MapVersion, Duration)>,
    /// Leader's term and last order that was carried out.
    pub finished: Option<(LeaderTerm, OrderId)>,
}

/// State and outlets of an agent.
pub struct Agent {
    /// Settings of the process.
    pub settings: NodeSettings,
    /// Settings of the planner.
    pub tuning: AgentTuning,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Log.
    pub journal: Journal,
    /// Metrics.
    pub metrics: Metrics,
    /// Socket for messages of agents.
    pub socket: UdpSocket,
    /// What changes.
    pub state: RefCell<AgentState>,
    /// Random choices.
    pub rng: RefCell<ChoiceRng>,
    /// Woken when the engine should be read at once.
    pub look_now: Notify,
}

impl Agent {
    /// Time since the start, which never goes back.
    pub fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    /// Returns a random part of `most`.
    pub fn jitter(&self, most: Duration) -> Duration {
        let millis = (most.as_millis() as u64).max(1);
        Duration::from_millis(self.rng.borrow_mut().next_bits() % millis)
    }

    /// Sends a message and returns its size; one that cannot be sent is as good as
    /// lost.
    pub async fn tell(self: &Rc<Agent>, to: SocketAddr, message: &AgentMessage) -> usize {
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
