//! Random schedules of faults through entries and agents.

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

/// What is known of a request from outside.
#[derive(Debug, Default, Clone)]
struct RequestFate {
    repeatable: bool,
    runs: u32,
    completed: bool,
    refusal: Option<Refusal>,
    abandoned: bool,
}

/// An attempt on its way or running.
#[derive(Debug, Clone)]
struct FlyingAttempt {
    entry: usize,
    request: RequestId,
    attempt: u32,
    agent: usize,
    running: bool,
    fill: FillPercent,
    boots: u32,
}

struct FaultWorld {
    rng: ChoiceRng,
    now: Duration,
    entries: Vec<EntryCore>,
    agents: Vec<AgentCore>,
    boots: Vec<u32>,
    flying: Vec<FlyingAttempt>,
    mail: Vec<(usize, OutgoingGossip)>,
    fates: FastMap<RequestId, RequestFate>,
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

impl FaultWorld {
    fn new(seed: u64) -> FaultWorld {
        let objects = vec![class_object("draft", true, 1), class_object("book", false, 2)];
        let entries = (0..ENTRIES).map(|index| {
            EntryCore::new(EntryParameters {
                member: member(&format!("e{index}"), index, None, 1),
                queue_capacity: 8,
                seed: seed ^ index as u64,
            })
        });
        let mut world = FaultWorld {
            rng: ChoiceRng::new(seed),
            now: Duration::from_secs(1),
            entries: entries.collect(),
            agents: Vec::new(),
            boots: vec![1; AGENTS],
            flying: Vec::new(),
            mail: Vec::new(),
            fates: FastMap::default(),
            version: 2,
            objects,
            next_request: 0,
        };
        for index in 0..AGENTS {
            let agent = world.fresh_agent(index, 1);
            world.agents.push(agent);
        }
        for entry in 0..ENTRIES {
            let peers = (0..ENTRIES).map(|peer| member(&format!("e{peer}"), peer, None, 0));
            world.feed(entry, EntryEvent::Listed(peers.collect()));
            let objects = world.objects.clone();
            world.feed(entry, EntryEvent::Configured(objects));
            (0..AGENTS).for_each(|agent| world.announce(entry, agent));
        }
        world
    }

    fn fresh_agent(&self, index: usize, incarnation: u64) -> AgentCore {
        let mut agent = AgentCore::new(AgentParameters {
            member: member(&format!("s{index}"), index, Some("model"), incarnation),
            floor: 2,
            ceiling: 8,
        });
        agent.step(self.now, AgentEvent::Configured(self.objects.clone()));
        agent.step(self.now, AgentEvent::Healthy { boot: format!("{}", self.boots[index]) });
        agent
    }

    fn feed(&mut self, entry: usize, event: EntryEvent) {
        for action in self.entries[entry].step(self.now, event) {
            match action {
                EntryAction::Send { request, attempt, server, fill, .. } => {
                    let agent: usize = server[1..].parse().unwrap();
                    let flying = FlyingAttempt {
                        entry,
                        request,
                        attempt,
                        agent,
                        running: false,
                        fill,
                        boots: self.boots[agent],
                    };
                    self.flying.push(flying);
                }
                EntryAction::Refuse { request, refusal } => {
                    let fate = self.fates.get_mut(&request).unwrap();
                    assert!(fate.refusal.is_none() && !fate.completed, "{request} answered twice");
                    if refusal.ran == RanState::No {
                        assert_eq!(fate.runs, 0, "{request} ran but was refused as not run");
                    }
                    fate.refusal = Some(refusal);
                }
                EntryAction::Gossip(send) => self.mail.push((entry, send)),
                _ => {}
            }
        }
    }

    fn announce(&mut self, entry: usize, agent: usize) {
        let record = self.agents[agent].member().clone();
        let report = self.agents[agent].load(self.now);
        let server = record.id.clone();
        self.feed(entry, EntryEvent::Announced(record));
        self.feed(entry, EntryEvent::Load { server, report });
    }

    fn arrive(&mut self) {
        self.next_request += 1;
        let request = self.next_request;
        let repeatable = self.rng.below(2) == 0;
        let class = if repeatable { "draft" } else { "book" };
        self.fates.insert(request, RequestFate { repeatable, ..RequestFate::default() });
        let arrival = Arrival {
            request,
            class: class.to_string(),
            organisation: format!("o{}", self.rng.below(3)),
            prefix: self.rng.below(5) as u64,
            time_left: None,
        };
        let entry = self.rng.below(ENTRIES);
        self.feed(entry, EntryEvent::Arrived(arrival));
    }

    /// Moves one attempt on: to its agent, to its end, or into a failure.
    fn advance(&mut self) {
        if self.flying.is_empty() {
            return;
        }
        let index = self.rng.below(self.flying.len());
        if self.flying[index].running {
            self.end_running(index);
        } else {
            self.offer(index);
        }
    }

    fn offer(&mut self, index: usize) {
        let flying = self.flying[index].clone();
        let (request, attempt) = (flying.request, flying.attempt);
        let agent = &mut self.agents[flying.agent];
        let zone_in = agent.config().is_zone_in_service(&agent.member().zone);
        let before = agent.load(self.now);
        let actions =
            agent.step(self.now, AgentEvent::Offered { request, attempt, fill: flying.fill });
        if actions.contains(&AgentAction::Admit) {
            assert!(zone_in, "admitted in a zone that is out");
            assert!(before.in_flight < before.limit, "admitted above the limit");
            let fate = self.fates.get_mut(&request).unwrap();
            assert!(fate.repeatable || fate.runs == 0, "{request} runs twice");
            fate.runs += 1;
            self.flying[index].running = true;
            self.flying[index].boots = self.boots[flying.agent];
        } else {
            self.flying.remove(index);
            let full = self.rng.below(2) == 0;
            self.feed(flying.entry, EntryEvent::TurnedAway { request, full });
        }
    }

    fn end_running(&mut self, index: usize) {
        let flying = self.flying.remove(index);
        let (request, attempt) = (flying.request, flying.attempt);
        let died = flying.boots != self.boots[flying.agent];
        let broke = died || self.rng.below(8) == 0;
        let pace = Duration::from_millis(20);
        self.agents[flying.agent].step(self.now, AgentEvent::Paced(pace));
        let ended = AgentEvent::Ended { request, attempt, succeeded: !broke };
        self.agents[flying.agent].step(self.now, ended);
        if broke {
            let resumable = self.rng.below(4) > 0;
            self.feed(flying.entry, EntryEvent::Broke { request, resumable });
            return;
        }
        let fate = self.fates.get_mut(&request).unwrap();
        assert!(fate.refusal.is_none() && !fate.completed, "{request} answered twice");
        if !fate.abandoned {
            fate.completed = true;
        }
        self.feed(flying.entry, EntryEvent::Completed(request));
    }

    fn abandon(&mut self) {
        let Some(index) = (!self.flying.is_empty()).then(|| self.rng.below(self.flying.len()))
        else {
            return;
        };
        let flying = self.flying.remove(index);
        let (request, attempt) = (flying.request, flying.attempt);
        if flying.running {
            let ended = AgentEvent::Ended { request, attempt, succeeded: true };
            self.agents[flying.agent].step(self.now, ended);
        }
        self.fates.get_mut(&request).unwrap().abandoned = true;
        self.feed(flying.entry, EntryEvent::Abandoned(request));
    }

    /// States a zone in or out; one entry and perhaps an agent hear at once.
    fn state_zone(&mut self) {
        self.version += 1;
        let zone = ZONES[self.rng.below(ZONES.len())];
        let state = if self.rng.below(2) == 0 { "out" } else { "in" };
        let value = Some(format!("{{\"state\":\"{state}\"}}"));
        let object = ConfigObject { key: format!("zones/{zone}"), version: self.version, value };
        self.objects.push(object.clone());
        let entry = self.rng.below(ENTRIES);
        self.feed(entry, EntryEvent::Configured(vec![object]));
    }

    /// An agent hears old or new objects, late and in any order.
    fn tell_agent(&mut self) {
        let object = self.objects[self.rng.below(self.objects.len())].clone();
        let agent = self.rng.below(AGENTS);
        let newest = self.agents[agent].config().version_of(&object.key);
        self.agents[agent].step(self.now, AgentEvent::Configured(vec![object.clone()]));
        assert!(self.agents[agent].config().version_of(&object.key) >= newest, "reverted");
    }

    fn gossip(&mut self) {
        let entry = self.rng.below(ENTRIES);
        self.feed(entry, EntryEvent::GossipDue);
        if self.mail.is_empty() {
            return;
        }
        let (_, send) = self.mail.remove(self.rng.below(self.mail.len()));
        if self.rng.below(5) > 0 {
            let to: usize = send.address[1..].parse().unwrap();
            self.feed(to, EntryEvent::Gossiped(send.message));
        }
        self.mail.truncate(6);
    }

    /// The backend server restarts, and perhaps its agent too.
    fn restart(&mut self) {
        let agent = self.rng.below(AGENTS);
        self.boots[agent] += 1;
        if self.rng.below(2) == 0 {
            let boot = self.boots[agent].to_string();
            self.agents[agent].step(self.now, AgentEvent::Unreachable);
            self.agents[agent].step(self.now, AgentEvent::Healthy { boot });
        } else {
            let incarnation = self.agents[agent].member().incarnation + 1;
            self.agents[agent] = self.fresh_agent(agent, incarnation);
        }
    }

    fn step(&mut self, kind: u8) {
        self.now += Duration::from_millis(self.rng.below(40) as u64);
        let (entry, agent) = (self.rng.below(ENTRIES), self.rng.below(AGENTS));
        match kind % 16 {
            0..=3 => self.arrive(),
            4..=8 => self.advance(),
            9 => self.announce(entry, agent),
            10 => self.feed(entry, EntryEvent::Ticked),
            11 => self.gossip(),
            12 => self.tell_agent(),
            13 => self.state_zone(),
            14 => self.abandon(),
            _ => self.restart(),
        }
    }

    /// Lets everything come to its end and checks that nothing is left open.
    fn settle(&mut self) {
        for _ in 0..10_000 {
            if self.flying.is_empty() {
                break;
            }
            self.advance();
        }
        for _ in 0..100 {
            self.now += Duration::from_millis(20);
            for entry in 0..ENTRIES {
                self.feed(entry, EntryEvent::Ticked);
            }
            while !self.flying.is_empty() {
                self.advance();
            }
        }
        for (request, fate) in &self.fates {
            let answers = u32::from(fate.completed)
                + u32::from(fate.refusal.is_some())
                + u32::from(fate.abandoned);
            assert!(answers >= 1, "request {request} never ended: {fate:?}");
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
            let mut world = FaultWorld::new(*seed);
            for kind in steps {
                world.step(*kind);
            }
            world.settle();
        },
    );
}

#[test]
fn long_schedule() {
    let mut world = FaultWorld::new(7);
    for _ in 0..60_000 {
        let kind = world.rng.below(16) as u8;
        world.step(kind);
    }
    world.settle();
    let completed = world.fates.values().filter(|fate| fate.completed).count();
    let resumed = world.fates.values().filter(|fate| fate.completed && fate.runs > 1).count();
    assert!(completed > 200, "the schedule completes only {completed}: it shows too little");
    assert!(resumed > 5, "the schedule resumes only {resumed}: it shows too little");
}

#[test]
fn configuration_spreads() {
    let mut world = FaultWorld::new(3);
    world.state_zone();
    let newest = world.version;
    for _ in 0..60 {
        world.gossip();
    }
    for entry in &world.entries {
        assert_eq!(entry.config().newest_version(), newest);
    }
}

#[test]
fn quiet_partner() {
    let mut world = FaultWorld::new(5);
    let state = |world: &FaultWorld| world.entries[0].members().get("e1").unwrap().record.state;
    while !world.mail.iter().any(|(_, send)| send.address == "e0") {
        world.feed(1, EntryEvent::GossipDue);
    }
    for (_, send) in std::mem::take(&mut world.mail) {
        if send.address == "e0" {
            world.feed(0, EntryEvent::Gossiped(send.message));
        }
    }
    for _ in 0..30 {
        world.now += Duration::from_secs(1);
        world.feed(0, EntryEvent::Ticked);
    }
    assert_eq!(state(&world), MemberState::Live, "no round with it is no sign of death");
    world.feed(0, EntryEvent::GossipFailed("e1".to_string()));
    assert_eq!(state(&world), MemberState::Live, "one failed round may be a lost message");
    world.feed(0, EntryEvent::GossipFailed("e1".to_string()));
    assert_eq!(state(&world), MemberState::Gone);
    let news = world.entries[0].members().get("e1").unwrap().record.clone();
    world.feed(1, EntryEvent::Listed(vec![news]));
    let again = world.entries[1].own_member().clone();
    world.feed(0, EntryEvent::Listed(vec![again]));
    assert_eq!(state(&world), MemberState::Live, "it refutes the news of its end");
}
