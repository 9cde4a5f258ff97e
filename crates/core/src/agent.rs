//! Decisions of an agent: what its backend server gets, and when it refuses.

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

/// When an entry may ask again after a refusal.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Reason for which an agent refuses an attempt. No byte has been sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AgentRefusal {
    /// The backend server holds all that it bears.
    Full,
    /// Operators took the zone or the backend server out.
    OutOfService,
    /// The agent is leaving.
    Leaving,
    /// The backend server does not answer.
    Unreachable,
    /// The agent has no configuration yet.
    NotReady,
    /// The attempt was offered before.
    Repeated,
}

impl AgentRefusal {
    /// Name used in messages, metrics and logs.
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

/// Fixed facts of an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentParameters {
    /// This agent as a member.
    pub member: MemberRecord,
    /// Concurrency given to a cold backend server.
    pub floor: u32,
    /// Highest concurrency.
    pub ceiling: u32,
}

/// What happened at an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentEvent {
    /// An entry offers an attempt; the answer is [`AgentAction::Admit`] or
    /// [`AgentAction::Refuse`].
    Offered {
        /// Request offered.
        request: RequestId,
        /// Attempt offered.
        attempt: AttemptNumber,
        /// Part of the limit up to which it may fill the backend server.
        fill: FillPercent,
    },
    /// Time between two tokens, or the time of a plain answer.
    Paced(Duration),
    /// An admitted attempt ended.
    Ended {
        /// Request of the attempt.
        request: RequestId,
        /// Attempt.
        attempt: AttemptNumber,
        /// Whether the backend server answered it whole or the entry gave it up.
        succeeded: bool,
    },
    /// The backend server answered a health check with its boot id.
    Healthy {
        /// New for every start of the backend server.
        boot: String,
    },
    /// The backend server did not answer a health check or a request.
    Unreachable,
    /// Objects came from an entry or the platform.
    Configured(Vec<ConfigObject>),
    /// Entries hold this agent as gone under a sequence.
    Refuted(u64),
    /// The agent begins to leave.
    Draining,
    /// The agent has finished what it had and ends.
    Ending,
}

/// What the daemon has to do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentAction {
    /// Send the attempt to the backend server.
    Admit,
    /// Refuse the attempt before a byte is sent on.
    Refuse {
        /// Reason.
        reason: AgentRefusal,
        /// When it is worth asking again.
        retry_after: Duration,
    },
    /// Announce the record now: it changed.
    Announce,
    /// Objects newer than what was known are in force.
    InForce(Vec<ConfigObject>),
    /// Objects could not be read.
    Reject(Vec<String>),
    /// The backend server restarted; its limit is back at the floor.
    Restarted,
}

/// State of an agent's decisions.
#[derive(Debug, Clone)]
pub struct AgentCore {
    parameters: AgentParameters,
    config: ConfigTable,
    limit: AdmissionLimit,
    running: FastMap<(RequestId, AttemptNumber), u64>,
    boot: Option<String>,
    boots: u64,
    reachable: bool,
}

impl AgentCore {
    /// Starts without configuration, with the backend server unreachable.
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

    /// Takes an event in and returns what has to be done.
    pub fn step(&mut self, now: Duration, event: AgentEvent) -> Vec<AgentAction> {
        match event {
            AgentEvent::Offered { request, attempt, fill } => {
                vec![self.offer(now, request, attempt, fill)]
            }
            AgentEvent::Paced(pace) => {
                self.limit.observe(now, pace);
                Vec::new()
            }
            AgentEvent::Ended { request, attempt, succeeded } => {
                self.end(now, request, attempt, succeeded);
                Vec::new()
            }
            AgentEvent::Healthy { boot } => self.note_boot(now, boot),
            AgentEvent::Unreachable => self.note_unreachable(now),
            AgentEvent::Configured(objects) => self.configure(objects),
            AgentEvent::Refuted(sequence) => self.refute(sequence),
            AgentEvent::Draining => self.change_state(MemberState::Leaving),
            AgentEvent::Ending => self.change_state(MemberState::Gone),
        }
    }

    /// This agent as it announces itself.
    pub fn member(&self) -> &MemberRecord {
        &self.parameters.member
    }

    /// Load to tell entries.
    pub fn load(&self, now: Duration) -> LoadReport {
        let closed = self.closed(now).is_some();
        LoadReport {
            in_flight: self.limit.in_flight(),
            limit: if closed { 0 } else { self.limit.limit() },
            leaving: self.parameters.member.state != MemberState::Live,
        }
    }

    /// Configuration in force at this agent.
    pub fn config(&self) -> &ConfigTable {
        &self.config
    }

    /// Whether the agent can pass work on.
    pub fn ready(&self) -> bool {
        self.reachable
            && !self.config.is_empty()
            && self.parameters.member.state == MemberState::Live
    }

    fn offer(
        &mut self,
        now: Duration,
        request: RequestId,
        attempt: AttemptNumber,
        fill: FillPercent,
    ) -> AgentAction {
        let key = (request, attempt);
        let reason = match self.closed(now) {
            Some(reason) => reason,
            None if self.running.contains_key(&key) => AgentRefusal::Repeated,
            None if !self.has_room(fill) || !self.limit.try_admit(now) => AgentRefusal::Full,
            None => {
                self.running.insert(key, self.boots);
                assert_eq!(self.running.len(), self.limit.in_flight() as usize, "miscounted");
                return AgentAction::Admit;
            }
        };
        AgentAction::Refuse { reason, retry_after: RETRY_AFTER }
    }

    fn has_room(&self, fill: FillPercent) -> bool {
        self.limit.in_flight() < limit_at_fill(self.limit.limit(), fill)
    }

    fn closed(&self, now: Duration) -> Option<AgentRefusal> {
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

    fn end(&mut self, now: Duration, request: RequestId, attempt: AttemptNumber, succeeded: bool) {
        let Some(boots) = self.running.remove(&(request, attempt)) else {
            return;
        };
        let same_boot = boots == self.boots;
        self.limit.finish(now, succeeded || !same_boot);
    }

    fn note_boot(&mut self, now: Duration, boot: String) -> Vec<AgentAction> {
        self.reachable = true;
        if self.boot.as_ref() == Some(&boot) {
            return Vec::new();
        }
        let first = self.boot.is_none();
        self.boot = Some(boot);
        self.boots += 1;
        self.limit.reset(now);
        if first { Vec::new() } else { vec![AgentAction::Restarted] }
    }

    fn note_unreachable(&mut self, now: Duration) -> Vec<AgentAction> {
        if self.reachable {
            self.limit.reset(now);
        }
        self.reachable = false;
        Vec::new()
    }

    fn configure(&mut self, objects: Vec<ConfigObject>) -> Vec<AgentAction> {
        let (taken, faults) = self.config.merge_all(objects);
        self.set_pace();
        let mut actions = Vec::new();
        if !taken.is_empty() {
            actions.push(AgentAction::InForce(taken));
        }
        if !faults.is_empty() {
            actions.push(AgentAction::Reject(faults));
        }
        actions
    }

    /// The strictest class of the service sets the pace that must be kept.
    fn set_pace(&mut self) {
        let service = self.parameters.member.service.clone();
        let paces = self
            .config
            .classes()
            .filter(|(_, target)| Some(&target.service) == service.as_ref())
            .map(|(_, target)| target.token_gap_ms.unwrap_or(target.first_token_ms));
        if let Some(pace_ms) = paces.min() {
            self.limit.set_latency_target(Duration::from_millis(pace_ms));
        }
    }

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
