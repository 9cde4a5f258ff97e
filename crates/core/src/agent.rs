//! Decides which attempts an agent admits to its backend server.
//!
//! [`AgentCore::step`] is given an [`AgentEvent`] and the current time, and returns
//! [`AgentAction`]s for the daemon.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::choose::LoadReport;
use crate::config::ConfigObject;
use crate::config::ConfigTable;
use crate::ids::AttemptNumber;
use crate::ids::FastMap;
use crate::ids::RequestId;
use crate::limit::AdmissionLimit;
use crate::limit::LimitSettings;
use crate::member::MemberRecord;
use crate::member::MemberState;
use crate::share::FillPercent;
use crate::share::limit_at_fill;

/// Time after which an entry may retry a refused attempt.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Reason of an agent to refuse an attempt. Nothing was sent to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AgentRefusal {
    /// The backend server is at its limit, or at the share open to the organisation.
    Full,
    /// Operators have taken the zone or the backend server out.
    OutOfService,
    /// The agent is shutting down.
    Leaving,
    /// The backend server fails its health check or has stalled.
    Unreachable,
    /// The agent has no configuration yet.
    NotReady,
    /// The same attempt is already running.
    Repeated,
}

impl AgentRefusal {
    /// Returns the name used in messages, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            AgentRefusal::Full => "full",
            AgentRefusal::OutOfService => "out-of-service",
            AgentRefusal::Leaving => "leaving",
            AgentRefusal::Unreachable => "unreachable",
            AgentRefusal::NotReady => "not-ready",
            AgentRefusal::Repeated => "repeated",
        }
    }
}

/// Parameters that an agent starts with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentParameters {
    /// Member record that this agent announces.
    pub member: MemberRecord,
    /// Lowest concurrency limit, given to a backend server that has just started.
    pub floor: u32,
    /// Highest concurrency limit.
    pub ceiling: u32,
}

/// Event at an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentEvent {
    /// An entry offered an attempt, to be answered with [`AgentAction::Admit`] or
    /// [`AgentAction::Refuse`].
    Offered {
        /// Request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 1.
        attempt: AttemptNumber,
        /// Percentage of the limit up to which the attempt may fill the backend server.
        fill: FillPercent,
    },
    /// Latency between two tokens, or of a whole answer that is not streamed.
    Paced(Duration),
    /// An admitted attempt ended.
    Ended {
        /// Request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 1.
        attempt: AttemptNumber,
        /// Whether the server answered completely or the entry cancelled the attempt.
        succeeded: bool,
    },
    /// The backend server passed a health check.
    Healthy {
        /// Boot identifier; differs for every start of the backend server.
        boot: String,
    },
    /// The backend server did not answer a health check or a request.
    Unreachable,
    /// Configuration objects were received from an entry or the platform.
    Configured(Vec<ConfigObject>),
    /// Entries hold this agent as gone, in a record with this sequence.
    Refuted(u64),
    /// The agent starts to shut down.
    Draining,
    /// The agent has finished its attempts and exits.
    Ending,
}

/// Action for the daemon of an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentAction {
    /// Forward the attempt to the backend server.
    Admit,
    /// Refuse the attempt without forwarding any of it.
    Refuse {
        /// Reason of the refusal.
        reason: AgentRefusal,
        /// Time after which the entry may retry.
        retry_after: Duration,
    },
    /// Announce the member record at once, because it changed.
    Announce,
    /// Report configuration objects that replaced older ones and are now in force.
    InForce(Vec<ConfigObject>),
    /// Report objects that could not be read; one text each.
    Reject(Vec<String>),
    /// Report that the backend server restarted and its limit was reset to the floor.
    Restarted,
}

/// State machine of an agent: configuration, admission limit and running attempts.
#[derive(Debug, Clone)]
pub struct AgentCore {
    parameters: AgentParameters,
    config: ConfigTable,
    limit: AdmissionLimit,
    /// Admitted attempts, with the value of `boots` at their admission.
    running: FastMap<(RequestId, AttemptNumber), u64>,
    boot: Option<String>,
    /// Number of starts of the backend server seen so far.
    boots: u64,
    reachable: bool,
}

impl AgentCore {
    /// Creates an agent without configuration; its backend server counts as unreachable.
    pub fn new(parameters: AgentParameters) -> AgentCore {
        let settings = LimitSettings {
            floor: parameters.floor,
            ceiling: parameters.ceiling,
            ..LimitSettings::default()
        };
        AgentCore {
            parameters,
            config: ConfigTable::default(),
            limit: AdmissionLimit::new(settings),
            running: FastMap::default(),
            boot: None,
            boots: 0,
            reachable: false,
        }
    }

    /// Handles an event and returns the actions for the daemon, in order.
    pub fn step(&mut self, now: Duration, event: AgentEvent) -> Vec<AgentAction> {
        match event {
            AgentEvent::Offered { request, attempt, fill } => {
                vec![self.handle_offer(now, request, attempt, fill)]
            }
            AgentEvent::Paced(latency) => {
                self.limit.observe(now, latency);
                Vec::new()
            }
            AgentEvent::Ended { request, attempt, succeeded } => {
                self.end_attempt(now, request, attempt, succeeded);
                Vec::new()
            }
            AgentEvent::Healthy { boot } => self.handle_healthy(now, boot),
            AgentEvent::Unreachable => self.handle_unreachable(now),
            AgentEvent::Configured(objects) => self.configure(objects),
            AgentEvent::Refuted(sequence) => self.refute(sequence),
            AgentEvent::Draining => self.change_state(MemberState::Leaving),
            AgentEvent::Ending => self.change_state(MemberState::Gone),
        }
    }

    /// Returns the member record that this agent announces.
    pub fn member(&self) -> &MemberRecord {
        &self.parameters.member
    }

    /// Returns the load to report to entries; the limit is 0 while nothing is admitted.
    pub fn load(&self, now: Duration) -> LoadReport {
        let closed = self.refuse_all_reason(now).is_some();
        LoadReport {
            in_flight: self.limit.in_flight(),
            limit: if closed { 0 } else { self.limit.limit() },
            leaving: self.parameters.member.state != MemberState::Live,
        }
    }

    /// Returns the configuration in force at this agent.
    pub fn config(&self) -> &ConfigTable {
        &self.config
    }

    /// Returns whether the agent can forward attempts.
    pub fn ready(&self) -> bool {
        self.reachable
            && !self.config.is_empty()
            && self.parameters.member.state == MemberState::Live
    }

    fn handle_offer(
        &mut self,
        now: Duration,
        request: RequestId,
        attempt: AttemptNumber,
        fill: FillPercent,
    ) -> AgentAction {
        let key = (request, attempt);
        let reason = match self.refuse_all_reason(now) {
            Some(reason) => reason,
            None if self.running.contains_key(&key) => AgentRefusal::Repeated,
            None if !self.has_capacity(fill) || !self.limit.try_admit(now) => AgentRefusal::Full,
            None => {
                self.running.insert(key, self.boots);
                assert_eq!(self.running.len(), self.limit.in_flight() as usize, "miscounted");
                return AgentAction::Admit;
            }
        };
        AgentAction::Refuse { reason, retry_after: RETRY_AFTER }
    }

    fn has_capacity(&self, fill: FillPercent) -> bool {
        self.limit.in_flight() < limit_at_fill(self.limit.limit(), fill)
    }

    /// Returns why every attempt is refused at present, if that is so.
    fn refuse_all_reason(&self, now: Duration) -> Option<AgentRefusal> {
        let member = &self.parameters.member;
        if member.state != MemberState::Live {
            return Some(AgentRefusal::Leaving);
        }
        if self.config.is_empty() {
            return Some(AgentRefusal::NotReady);
        }
        if !self.config.is_zone_in_service(&member.zone)
            || !self.config.is_server_in_service(&member.id)
        {
            return Some(AgentRefusal::OutOfService);
        }
        if !self.reachable || self.limit.stalled(now) {
            return Some(AgentRefusal::Unreachable);
        }
        None
    }

    /// Records the end of an attempt.
    ///
    /// A failure does not lower the limit if the backend server has restarted since the
    /// admission, because the restart has already reset it.
    fn end_attempt(
        &mut self,
        now: Duration,
        request: RequestId,
        attempt: AttemptNumber,
        succeeded: bool,
    ) {
        let Some(admitted_boots) = self.running.remove(&(request, attempt)) else {
            return;
        };
        let same_boot = admitted_boots == self.boots;
        self.limit.finish(now, succeeded || !same_boot);
    }

    fn handle_healthy(&mut self, now: Duration, boot: String) -> Vec<AgentAction> {
        self.reachable = true;
        if self.boot.as_ref() == Some(&boot) {
            return Vec::new();
        }
        let first_boot = self.boot.is_none();
        self.boot = Some(boot);
        self.boots += 1;
        self.limit.reset(now);
        if first_boot { Vec::new() } else { vec![AgentAction::Restarted] }
    }

    fn handle_unreachable(&mut self, now: Duration) -> Vec<AgentAction> {
        if self.reachable {
            self.limit.reset(now);
        }
        self.reachable = false;
        Vec::new()
    }

    fn configure(&mut self, objects: Vec<ConfigObject>) -> Vec<AgentAction> {
        let (applied, errors) = self.config.merge_all(objects);
        self.update_latency_target();
        let mut actions = Vec::new();
        if !applied.is_empty() {
            actions.push(AgentAction::InForce(applied));
        }
        if !errors.is_empty() {
            actions.push(AgentAction::Reject(errors));
        }
        actions
    }

    /// Sets the latency target to that of the strictest class of the service.
    ///
    /// A class without a target for the token gap counts with its first-token target.
    fn update_latency_target(&mut self) {
        let service = self.parameters.member.service.clone();
        let targets_ms = self
            .config
            .classes()
            .filter(|(_, target)| Some(&target.service) == service.as_ref())
            .map(|(_, target)| target.token_gap_ms.unwrap_or(target.first_token_ms));
        if let Some(target_ms) = targets_ms.min() {
            self.limit.set_latency_target(Duration::from_millis(target_ms));
        }
    }

    /// Raises this agent's sequence above that of a record that says it is gone.
    fn refute(&mut self, sequence: u64) -> Vec<AgentAction> {
        let member = &mut self.parameters.member;
        if sequence < member.sequence {
            return Vec::new();
        }
        member.sequence = sequence + 1;
        vec![AgentAction::Announce]
    }

    fn change_state(&mut self, state: MemberState) -> Vec<AgentAction> {
        let member = &mut self.parameters.member;
        member.state = state;
        member.sequence += 1;
        vec![AgentAction::Announce]
    }
}
