//! Random schedules of requests and faults against entries and agents.
//!
//! Guards against requests that are answered twice or never, that run twice although they
//! are not repeatable, that are refused as not run after they ran, and against admission
//! above the limit or in a zone that is taken out. The schedules mix agent restarts,
//! failed attempts, lost gossip messages and configuration that arrives late or out of order.

mod support;

use std::time::Duration;

use cuminpick::agent::AgentAction;
use cuminpick::agent::AgentCore;
use cuminpick::agent::AgentEvent;
use cuminpick::agent::AgentParameters;
use cuminpick::config::ClassTarget;
use cuminpick::config::ConfigObject;
use cuminpick::entry::EntryCore;
use cuminpick::entry_event::Arrival;
use cuminpick::entry_event::EntryAction;
use cuminpick::entry_event::EntryEvent;
use cuminpick::entry_event::EntryParameters;
use cuminpick::gossip::OutgoingGossip;
use cuminpick::ids::ChoiceRng;
use cuminpick::ids::FastMap;
use cuminpick::ids::RequestId;
use cuminpick::member::MemberRecord;
use cuminpick::member::MemberState;
use cuminpick::refusal::RanState;
use cuminpick::refusal::Refusal;
use cuminpick::share::FillPercent;

use crate::support::schedules;

const ENTRIES: usize = 3;
const AGENTS: usize = 6;
const ZONES: [&str; 3] = ["bole", "merkato", "kazanchis"];

/// What a caller and the backend servers have seen of a request.
#[derive(Debug, Default, Clone)]
struct RequestOutcome {
    repeatable: bool,
    runs: u32,
    completed: bool,
    refusal: Option<Refusal>,
    abandoned: bool,
}

/// An attempt on its way to an agent or running there.
#[derive(Debug, Clone)]
struct InFlightAttempt {
    entry: usize,
    request: RequestId,
    attempt: u32,
    agent: usize,
    running: bool,
    fill: FillPercent,
    boots: u32,
}

/// Simulation of entries, agents and the messages between them.
struct FaultSimulation {
    rng: ChoiceRng,
    now: Duration,
    entries: Vec<EntryCore>,
    agents: Vec<AgentCore>,
    boots: Vec<u32>,
    attempts: Vec<InFlightAttempt>,
    messages: Vec<(usize, OutgoingGossip)>,
    outcomes: FastMap<RequestId, RequestOutcome>,
    version: u64,
    objects: Vec<ConfigObject>,
    next_request: RequestId,
}

fn member(id: &str, zone: usize, service: Option<&str>, incarnation: u64) -> MemberRecord {
    MemberRecord {
        id: id.to_string(),
        address: id.to_string(),
        zone: ZONES[zone % ZONES.len()].to_string(),
        service: service.map(str::to_string),
        incarnation,
        sequence: 1,
        state: MemberState::Live,
    }
}

fn class_object(name: &str, repeatable: bool, version: u64) -> ConfigObject {
    let target = ClassTarget {
        service: "model".to_string(),
        share: 0.95,
        first_token_ms: 500,
        token_gap_ms: Some(50),
        repeatable,
        priority: 5,
    };
    let value = Some(serde_json::to_string(&target).unwrap());
    ConfigObject { key: format!("classes/{name}"), version, value }
}

impl FaultSimulation {
    fn new(seed: u64) -> FaultSimulation {
        let objects = vec![class_object("draft", true, 1), class_object("book", false, 2)];
        let entries = (0..ENTRIES).map(|index| {
            EntryCore::new(EntryParameters {
                member: member(&format!("e{index}"), index, None, 1),
                queue_capacity: 8,
                seed: seed ^ index as u64,
            })
        });
        let mut simulation = FaultSimulation {
            rng: ChoiceRng::new(seed),
            now: Duration::from_secs(1),
            entries: entries.collect(),
            agents: Vec::new(),
            boots: vec![1; AGENTS],
            attempts: Vec::new(),
            messages: Vec::new(),
            outcomes: FastMap::default(),
            version: 2,
            objects,
            next_request: 0,
        };
        for index in 0..AGENTS {
            let agent = simulation.new_agent(index, 1);
            simulation.agents.push(agent);
        }
        for entry in 0..ENTRIES {
            let peers = (0..ENTRIES).map(|peer| member(&format!("e{peer}"), peer, None, 0));
            simulation.handle(entry, EntryEvent::Listed(peers.collect()));
            let objects = simulation.objects.clone();
            simulation.handle(entry, EntryEvent::Configured(objects));
            (0..AGENTS).for_each(|agent| simulation.announce(entry, agent));
        }
        simulation
    }

    /// Returns a configured agent whose backend server is healthy.
    fn new_agent(&self, index: usize, incarnation: u64) -> AgentCore {
        let mut agent = AgentCore::new(AgentParameters {
            member: member(&format!("s{index}"), index, Some("model"), incarnation),
            floor: 2,
            ceiling: 8,
        });
        agent.step(self.now, AgentEvent::Configured(self.objects.clone()));
        agent.step(self.now, AgentEvent::Healthy { boot: format!("{}", self.boots[index]) });
        agent
    }

    /// Passes an event to an entry, carries out its actions and checks its answers.
    fn handle(&mut self, entry: usize, event: EntryEvent) {
        for action in self.entries[entry].step(self.now, event) {
            match action {
                EntryAction::Send { request, attempt, server, fill, .. } => {
                    let agent: usize = server[1..].parse().unwrap();
                    let new_attempt = InFlightAttempt {
                        entry,
                        request,
                        attempt,
                        agent,
                        running: false,
                        fill,
                        boots: self.boots[agent],
                    };
                    self.attempts.push(new_attempt);
                }
                EntryAction::Refuse { request, refusal } => {
                    let outcome = self.outcomes.get_mut(&request).unwrap();
                    assert!(
                        outcome.refusal.is_none() && !outcome.completed,
                        "request {request} was answered twice"
                    );
                    if refusal.ran == RanState::No {
                        assert_eq!(
                            outcome.runs, 0,
                            "request {request} ran but was refused as not run"
                        );
                    }
                    outcome.refusal = Some(refusal);
                }
                EntryAction::Gossip(outgoing) => self.messages.push((entry, outgoing)),
                _ => {}
            }
        }
    }

    /// Delivers an agent's member record and load report to an entry.
    fn announce(&mut self, entry: usize, agent: usize) {
        let record = self.agents[agent].member().clone();
        let report = self.agents[agent].load(self.now);
        let server = record.id.clone();
        self.handle(entry, EntryEvent::Announced(record));
        self.handle(entry, EntryEvent::Load { server, report });
    }

    fn arrive(&mut self) {
        self.next_request += 1;
        let request = self.next_request;
        let repeatable = self.rng.below(2) == 0;
        let class = if repeatable { "draft" } else { "book" };
        self.outcomes.insert(request, RequestOutcome { repeatable, ..RequestOutcome::default() });
        let arrival = Arrival {
            request,
            class: class.to_string(),
            organisation: format!("o{}", self.rng.below(3)),
            prefix: self.rng.below(5) as u64,
            time_left: None,
        };
        let entry = self.rng.below(ENTRIES);
        self.handle(entry, EntryEvent::Arrived(arrival));
    }

    /// Advances one attempt: offers it to its agent, or ends it with or without a failure.
    fn advance(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let index = self.rng.below(self.attempts.len());
        if self.attempts[index].running {
            self.end_running(index);
        } else {
            self.offer(index);
        }
    }

    fn offer(&mut self, index: usize) {
        let current = self.attempts[index].clone();
        let (request, attempt) = (current.request, current.attempt);
        let agent = &mut self.agents[current.agent];
        let zone_in_service = agent.config().is_zone_in_service(&agent.member().zone);
        let before = agent.load(self.now);
        let actions =
            agent.step(self.now, AgentEvent::Offered { request, attempt, fill: current.fill });
        if actions.contains(&AgentAction::Admit) {
            assert!(zone_in_service, "admitted in a zone that is taken out");
            assert!(before.in_flight < before.limit, "admitted above the limit");
            let outcome = self.outcomes.get_mut(&request).unwrap();
            assert!(outcome.repeatable || outcome.runs == 0, "request {request} runs twice");
            outcome.runs += 1;
            self.attempts[index].running = true;
            self.attempts[index].boots = self.boots[current.agent];
        } else {
            self.attempts.remove(index);
            let full = self.rng.below(2) == 0;
            self.handle(current.entry, EntryEvent::TurnedAway { request, full });
        }
    }

    fn end_running(&mut self, index: usize) {
        let current = self.attempts.remove(index);
        let (request, attempt) = (current.request, current.attempt);
        let restarted = current.boots != self.boots[current.agent];
        let failed = restarted || self.rng.below(8) == 0;
        let latency = Duration::from_millis(20);
        self.agents[current.agent].step(self.now, AgentEvent::Paced(latency));
        let ended = AgentEvent::Ended { request, attempt, succeeded: !failed };
        self.agents[current.agent].step(self.now, ended);
        if failed {
            let resumable = self.rng.below(4) > 0;
            self.handle(current.entry, EntryEvent::Broke { request, resumable });
            return;
        }
        let outcome = self.outcomes.get_mut(&request).unwrap();
        assert!(
            outcome.refusal.is_none() && !outcome.completed,
            "request {request} was answered twice"
        );
        if !outcome.abandoned {
            outcome.completed = true;
        }
        self.handle(current.entry, EntryEvent::Completed(request));
    }

    fn abandon(&mut self) {
        let Some(index) = (!self.attempts.is_empty()).then(|| self.rng.below(self.attempts.len()))
        else {
            return;
        };
        let current = self.attempts.remove(index);
        let (request, attempt) = (current.request, current.attempt);
        if current.running {
            let ended = AgentEvent::Ended { request, attempt, succeeded: true };
            self.agents[current.agent].step(self.now, ended);
        }
        self.outcomes.get_mut(&request).unwrap().abandoned = true;
        self.handle(current.entry, EntryEvent::Abandoned(request));
    }

    /// Takes a zone out or brings it back; one entry learns of it at once.
    fn switch_zone(&mut self) {
        self.version += 1;
        let zone = ZONES[self.rng.below(ZONES.len())];
        let state = if self.rng.below(2) == 0 { "out" } else { "in" };
        let value = Some(format!("{{\"state\":\"{state}\"}}"));
        let object = ConfigObject { key: format!("zones/{zone}"), version: self.version, value };
        self.objects.push(object.clone());
        let entry = self.rng.below(ENTRIES);
        self.handle(entry, EntryEvent::Configured(vec![object]));
    }

    /// Configures an agent with an object of any age, so that objects arrive out of order.
    fn configure_agent(&mut self) {
        let object = self.objects[self.rng.below(self.objects.len())].clone();
        let agent = self.rng.below(AGENTS);
        let known_version = self.agents[agent].config().version_of(&object.key);
        self.agents[agent].step(self.now, AgentEvent::Configured(vec![object.clone()]));
        assert!(
            self.agents[agent].config().version_of(&object.key) >= known_version,
            "agent {agent} returned to an older version"
        );
    }

    fn gossip(&mut self) {
        let entry = self.rng.below(ENTRIES);
        self.handle(entry, EntryEvent::GossipDue);
        if self.messages.is_empty() {
            return;
        }
        let (_, outgoing) = self.messages.remove(self.rng.below(self.messages.len()));
        if self.rng.below(5) > 0 {
            let to: usize = outgoing.address[1..].parse().unwrap();
            self.handle(to, EntryEvent::Gossiped(outgoing.message));
        }
        self.messages.truncate(6);
    }

    /// Restarts a backend server and, half of the time, its agent too.
    fn restart(&mut self) {
        let agent = self.rng.below(AGENTS);
        self.boots[agent] += 1;
        if self.rng.below(2) == 0 {
            let boot = self.boots[agent].to_string();
            self.agents[agent].step(self.now, AgentEvent::Unreachable);
            self.agents[agent].step(self.now, AgentEvent::Healthy { boot });
        } else {
            let incarnation = self.agents[agent].member().incarnation + 1;
            self.agents[agent] = self.new_agent(agent, incarnation);
        }
    }

    fn step(&mut self, kind: u8) {
        self.now += Duration::from_millis(self.rng.below(40) as u64);
        let (entry, agent) = (self.rng.below(ENTRIES), self.rng.below(AGENTS));
        match kind % 16 {
            0..=3 => self.arrive(),
            4..=8 => self.advance(),
            9 => self.announce(entry, agent),
            10 => self.handle(entry, EntryEvent::Ticked),
            11 => self.gossip(),
            12 => self.configure_agent(),
            13 => self.switch_zone(),
            14 => self.abandon(),
            _ => self.restart(),
        }
    }

    /// Ends all attempts, lets queued requests expire, and checks that nothing stays open.
    fn finish_all(&mut self) {
        for _ in 0..10_000 {
            if self.attempts.is_empty() {
                break;
            }
            self.advance();
        }
        for _ in 0..100 {
            self.now += Duration::from_millis(20);
            for entry in 0..ENTRIES {
                self.handle(entry, EntryEvent::Ticked);
            }
            while !self.attempts.is_empty() {
                self.advance();
            }
        }
        for (request, outcome) in &self.outcomes {
            let answers = u32::from(outcome.completed)
                + u32::from(outcome.refusal.is_some())
                + u32::from(outcome.abandoned);
            assert!(answers >= 1, "request {request} was never answered: {outcome:?}");
        }
        for entry in &self.entries {
            assert_eq!(entry.open_requests(), 0);
            assert_eq!(entry.queued_requests(), 0);
        }
    }
}

#[test]
fn fault_schedules() {
    bolero::check!().with_iterations(schedules()).with_type::<(u64, Vec<u8>)>().for_each(
        |(seed, steps)| {
            let mut simulation = FaultSimulation::new(*seed);
            for kind in steps {
                simulation.step(*kind);
            }
            simulation.finish_all();
        },
    );
}

#[test]
fn long_schedule() {
    let mut simulation = FaultSimulation::new(7);
    for _ in 0..60_000 {
        let kind = simulation.rng.below(16) as u8;
        simulation.step(kind);
    }
    simulation.finish_all();
    let completed = simulation.outcomes.values().filter(|outcome| outcome.completed).count();
    let resumed = simulation
        .outcomes
        .values()
        .filter(|outcome| outcome.completed && outcome.runs > 1)
        .count();
    assert!(
        completed > 200,
        "only {completed} requests completed, too few for the checks to mean anything"
    );
    assert!(
        resumed > 5,
        "only {resumed} requests were resumed, too few for the checks to mean anything"
    );
}

#[test]
fn configuration_spreads() {
    let mut simulation = FaultSimulation::new(3);
    simulation.switch_zone();
    let newest_version = simulation.version;
    for _ in 0..60 {
        simulation.gossip();
    }
    for entry in &simulation.entries {
        assert_eq!(entry.config().newest_version(), newest_version);
    }
}

#[test]
fn silent_peer() {
    let mut simulation = FaultSimulation::new(5);
    let state = |sim: &FaultSimulation| sim.entries[0].members().get("e1").unwrap().record.state;
    while !simulation.messages.iter().any(|(_, outgoing)| outgoing.address == "e0") {
        simulation.handle(1, EntryEvent::GossipDue);
    }
    for (_, outgoing) in std::mem::take(&mut simulation.messages) {
        if outgoing.address == "e0" {
            simulation.handle(0, EntryEvent::Gossiped(outgoing.message));
        }
    }
    for _ in 0..30 {
        simulation.now += Duration::from_secs(1);
        simulation.handle(0, EntryEvent::Ticked);
    }
    assert_eq!(
        state(&simulation),
        MemberState::Live,
        "a peer must not be marked gone without a failed round"
    );
    simulation.handle(0, EntryEvent::GossipFailed("e1".to_string()));
    assert_eq!(
        state(&simulation),
        MemberState::Live,
        "one failed round may be a single lost message"
    );
    simulation.handle(0, EntryEvent::GossipFailed("e1".to_string()));
    assert_eq!(state(&simulation), MemberState::Gone);
    let gone_record = simulation.entries[0].members().get("e1").unwrap().record.clone();
    simulation.handle(1, EntryEvent::Listed(vec![gone_record]));
    let refuting_record = simulation.entries[1].own_member().clone();
    simulation.handle(0, EntryEvent::Listed(vec![refuting_record]));
    assert_eq!(
        state(&simulation),
        MemberState::Live,
        "the peer refutes the record that says it is gone"
    );
}
