//! Decisions of an entry: from a request's arrival to its last attempt.
//!
//! [`EntryCore::step`] takes an event and the time and returns actions. The
//! daemon carries them out and reports back with further events.

use std::time::Duration;

use crate::budget::RetryBudget;
use crate::choose::ChoiceQuery;
use crate::choose::LoadReport;
use crate::choose::ServerChoice;
use crate::choose::ServerTable;
use crate::config::ConfigTable;
use crate::entry_event::Arrival;
use crate::entry_event::EntryAction;
use crate::entry_event::EntryEvent;
use crate::entry_event::EntryParameters;
use crate::fleet::FleetView;
use crate::ids::AttemptNumber;
use crate::ids::ChoiceRng;
use crate::ids::FastMap;
use crate::ids::OrganisationName;
use crate::ids::RequestId;
use crate::ids::ServerId;
use crate::ids::ServiceName;
use crate::member::MemberRecord;
use crate::member::MemberTable;
use crate::queue::FairQueue;
use crate::queue::WaitingRequest;
use crate::rate::PlacementRate;
use crate::refusal::Refusal;
use crate::refusal::RefusalKind;
use crate::request::RequestState;
use crate::request::not_run_or_cut;
use crate::share::FillPercent;
use crate::share::MAX_FILL;
use crate::share::ShareTable;

/// Most attempts of one request.
const MAX_ATTEMPTS: AttemptNumber = 12;
/// Share of the first-token target that a request may spend in the queue.
const QUEUE_SHARE: f64 = 0.6;
/// Retry-After when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Load figures probed for an arrival.
const PROBES_AT_ARRIVAL: usize = 1;
/// Load figures probed at each tick while requests of a service wait.
const PROBES_WHILE_WAITING: usize = 4;
/// Age of a load figure after which an arrival is worth a probe.
const STALE_AT_ARRIVAL: Duration = Duration::from_secs(1);
/// Age of a load figure after which a waiting request is worth a probe.
const STALE_WHILE_WAITING: Duration = Duration::from_millis(40);

/// State of an entry's decisions.
#[derive(Debug, Clone)]
pub struct EntryCore {
    fleet: FleetView,
    queue_capacity: usize,
    queues: FastMap<ServiceName, FairQueue>,
    rates: FastMap<ServiceName, PlacementRate>,
    shares: FastMap<ServiceName, ShareTable>,
    budget: RetryBudget,
    requests: FastMap<RequestId, RequestState>,
    rng: ChoiceRng,
    draining: bool,
}

impl EntryCore {
    /// Starts without configuration and members.
    pub fn new(parameters: EntryParameters) -> EntryCore {
        EntryCore {
            rng: ChoiceRng::new(parameters.seed),
            fleet: FleetView::new(parameters.member),
            queue_capacity: parameters.queue_capacity,
            queues: FastMap::default(),
            rates: FastMap::default(),
            shares: FastMap::default(),
            budget: RetryBudget::default(),
            requests: FastMap::default(),
            draining: false,
        }
    }

    /// Takes an event in and returns what has to be done.
    pub fn step(&mut self, now: Duration, event: EntryEvent) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        match event {
            EntryEvent::Arrived(arrival) => self.arrive(now, arrival, &mut actions),
            EntryEvent::TurnedAway { request, full } => {
                self.turn_away(now, request, full, &mut actions);
            }
            EntryEvent::Completed(request) => self.complete(now, request, &mut actions),
            EntryEvent::Broke { request, resumable } => {
                self.break_off(now, request, resumable, &mut actions);
            }
            EntryEvent::Abandoned(request) => self.abandon(now, request, &mut actions),
            EntryEvent::Load { server, report } => {
                self.take_load(now, &server, report, &mut actions);
            }
            EntryEvent::Announced(record) => self.fleet.record_agent(now, record, &mut actions),
            EntryEvent::Gossiped(message) => {
                self.fleet.receive_gossip(now, message, &mut actions);
            }
            EntryEvent::GossipFailed(address) => {
                self.fleet.record_failed_round(now, &address, &mut actions);
            }
            EntryEvent::GossipDue => {
                let round = self.fleet.begin_gossip(&mut self.rng);
                actions.extend(round.map(EntryAction::Gossip));
            }
            EntryEvent::Configured(objects) => self.fleet.apply_config(objects, &mut actions),
            EntryEvent::Listed(records) => {
                self.fleet.merge_members(now, records, &mut actions);
            }
            EntryEvent::Ticked => self.tick(now, &mut actions),
            EntryEvent::Draining => self.drain(now, &mut actions),
        }
        self.check_actions(&actions);
        actions
    }

    /// This entry as a member.
    pub fn own_member(&self) -> &MemberRecord {
        self.fleet.own_record()
    }

    /// Configuration in force at this entry.
    pub fn config(&self) -> &ConfigTable {
        self.fleet.config()
    }

    /// Members known to this entry.
    pub fn members(&self) -> &MemberTable {
        self.fleet.members()
    }

    /// Backend servers and their load.
    pub fn servers(&self) -> &ServerTable {
        &self.fleet.servers
    }

    /// Number of requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Number of requests that wait for a backend server.
    pub fn queued_requests(&self) -> usize {
        self.queues.values().map(FairQueue::len).sum()
    }

    /// Whether this entry can serve callers.
    pub fn ready(&self) -> bool {
        !self.draining && !self.fleet.config().is_empty()
    }

    fn arrive(&mut self, now: Duration, arrival: Arrival, actions: &mut Vec<EntryAction>) {
        let request = arrival.request;
        if self.fleet.config().is_empty() {
            let refusal = Refusal::not_run(RefusalKind::NotReady, Some(DEFAULT_RETRY_AFTER));
            actions.push(EntryAction::Refuse { request, refusal });
            return;
        }
        let Some(target) = self.fleet.config().class(&arrival.class) else {
            let refusal = Refusal::not_run(RefusalKind::UnknownClass, None);
            actions.push(EntryAction::Refuse { request, refusal });
            return;
        };
        let deadline = arrival.time_left.map(|left| now + left);
        let queue_until = now + target.first_token().mul_f64(QUEUE_SHARE);
        let state = RequestState {
            service: target.service.clone(),
            priority: target.priority,
            repeatable: target.repeatable,
            queue_deadline: deadline.map_or(queue_until, |deadline| deadline.min(queue_until)),
            deadline,
            attempt: 0,
            server: None,
            excluded: Vec::new(),
            may_have_run: false,
            arrival,
        };
        self.probe_stale(now, &state.service, (STALE_AT_ARRIVAL, PROBES_AT_ARRIVAL), actions);
        self.requests.insert(request, state);
        self.place(now, request, actions);
    }

    fn probe_stale(
        &mut self,
        now: Duration,
        service: &str,
        (age, count): (Duration, usize),
        actions: &mut Vec<EntryAction>,
    ) {
        for server in self.fleet.servers.stale_servers(now, service, age, count, &mut self.rng) {
            if let Some(address) = self.fleet.servers.address(&server) {
                let address = address.to_string();
                actions.push(EntryAction::Probe { server, address });
            }
        }
    }

    /// Sends a request that is not queued, or queues it, or refuses it.
    fn place(&mut self, now: Duration, request: RequestId, actions: &mut Vec<EntryAction>) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        if state.deadline.is_some_and(|deadline| deadline <= now) {
            self.refuse(request, not_run_or_cut(state, RefusalKind::DeadlinePassed, None), actions);
            return;
        }
        let earlier_waiting =
            state.attempt == 0 && self.queues.get(&state.service).is_some_and(|q| !q.is_empty());
        if earlier_waiting {
            let service = state.service.clone();
            self.enqueue(now, request, actions);
            self.pump(now, &service, actions);
            return;
        }
        match self.choose(now, request) {
            ServerChoice::Chosen(server) => self.send(now, request, server, actions),
            ServerChoice::Full => self.enqueue(now, request, actions),
            ServerChoice::None => {
                let retry = Some(DEFAULT_RETRY_AFTER);
                let refusal =
                    not_run_or_cut(&self.requests[&request], RefusalKind::NoServer, retry);
                self.refuse(request, refusal, actions);
            }
        }
    }

    fn choose(&mut self, now: Duration, request: RequestId) -> ServerChoice {
        let Some(state) = self.requests.get(&request) else {
            return ServerChoice::None;
        };
        let query = ChoiceQuery {
            service: &state.service,
            zone: &self.fleet.own_record().zone,
            prefix: state.arrival.prefix,
            excluded: &state.excluded,
            fill: self.fill(state),
        };
        self.fleet.servers.choose(now, &query, &mut self.rng)
    }

    /// Part of their limits up to which a request may fill servers.
    fn fill(&self, state: &RequestState) -> FillPercent {
        let shares = self.shares.get(&state.service);
        shares.map_or(MAX_FILL, |shares| shares.fill(&state.arrival.organisation))
    }

    fn send(
        &mut self,
        now: Duration,
        request: RequestId,
        server: ServerId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(address) = self.fleet.servers.address(&server).map(str::to_string) else {
            return;
        };
        let fill = self.requests.get(&request).map_or(MAX_FILL, |state| self.fill(state));
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        assert!(state.server.is_none(), "request {request} has two attempts at once");
        state.attempt += 1;
        state.server = Some(server.clone());
        let attempt = state.attempt;
        self.rates.entry(state.service.clone()).or_default().record_placement(now);
        let shares = self.shares.entry(state.service.clone()).or_default();
        shares.add(&state.arrival.organisation);
        self.fleet.servers.record_sent(&server);
        actions.push(EntryAction::Send { request, attempt, server, address, fill });
    }

    fn enqueue(&mut self, now: Duration, request: RequestId, actions: &mut Vec<EntryAction>) {
        let state = &self.requests[&request];
        let capacity = self.queue_capacity;
        let queue =
            self.queues.entry(state.service.clone()).or_insert_with(|| FairQueue::new(capacity));
        let ahead = queue.ahead_of(state.priority, &state.arrival.organisation);
        let wait = self.rates.get(&state.service).and_then(|rate| rate.expected_wait(ahead));
        let hopeless = wait.is_some_and(|wait| now + wait > state.queue_deadline);
        let waiting = WaitingRequest { request, expires_at: state.queue_deadline };
        if hopeless
            || state.queue_deadline <= now
            || !queue.push(state.priority, &state.arrival.organisation, waiting)
        {
            let retry = Some(wait.unwrap_or(DEFAULT_RETRY_AFTER).max(DEFAULT_RETRY_AFTER));
            self.refuse(request, not_run_or_cut(state, RefusalKind::Overloaded, retry), actions);
        }
    }

    /// Places waiting requests of a service while there is room.
    ///
    /// An organisation that may not fill servers up is passed over when what it
    /// may fill is full; others behind it are placed all the same.
    fn pump(&mut self, now: Duration, service: &str, actions: &mut Vec<EntryAction>) {
        let mut passed: Vec<OrganisationName> = Vec::new();
        while let Some((request, expires_at)) =
            self.queues.get_mut(service).and_then(|queue| queue.pop_except(&passed))
        {
            match self.choose(now, request) {
                ServerChoice::Chosen(server) => self.send(now, request, server, actions),
                ServerChoice::Full => {
                    let state = &self.requests[&request];
                    let organisation = state.arrival.organisation.clone();
                    let crowded = self.fill(state) < MAX_FILL;
                    let waiting = WaitingRequest { request, expires_at };
                    if let Some(queue) = self.queues.get_mut(service) {
                        queue.push_front(state.priority, &organisation, waiting);
                    }
                    if !crowded {
                        return;
                    }
                    passed.push(organisation);
                }
                ServerChoice::None => {
                    let state = &self.requests[&request];
                    let retry = Some(DEFAULT_RETRY_AFTER);
                    let refusal = not_run_or_cut(state, RefusalKind::NoServer, retry);
                    self.refuse(request, refusal, actions);
                }
            }
        }
    }

    fn turn_away(
        &mut self,
        now: Duration,
        request: RequestId,
        full: bool,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(server) = self.end_attempt(request) else {
            return;
        };
        if !full {
            self.fleet.servers.avoid(now, &server);
        }
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.excluded.push(server);
        if state.attempt >= MAX_ATTEMPTS {
            let retry = Some(DEFAULT_RETRY_AFTER);
            let refusal = not_run_or_cut(state, RefusalKind::Overloaded, retry);
            self.refuse(request, refusal, actions);
            return;
        }
        // What crowds others out waits, and leaves the budget to them.
        let crowds = self.fill(&self.requests[&request]) < MAX_FILL;
        if !crowds && self.budget.withdraw() {
            self.place(now, request, actions);
        } else {
            self.enqueue(now, request, actions);
        }
    }

    fn complete(&mut self, now: Duration, request: RequestId, actions: &mut Vec<EntryAction>) {
        let Some(_server) = self.end_attempt(request) else {
            return;
        };
        self.budget.deposit();
        if let Some(state) = self.requests.remove(&request) {
            self.pump(now, &state.service, actions);
        }
    }

    fn break_off(
        &mut self,
        now: Duration,
        request: RequestId,
        resumable: bool,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(server) = self.end_attempt(request) else {
            return;
        };
        self.fleet.servers.avoid(now, &server);
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.may_have_run = true;
        state.excluded.push(server);
        let again = state.repeatable && resumable && state.attempt < MAX_ATTEMPTS;
        if again && self.budget.withdraw() {
            let patience = now
                + self
                    .fleet
                    .config()
                    .class(&state.arrival.class)
                    .map_or(DEFAULT_RETRY_AFTER, |target| target.first_token());
            state.queue_deadline =
                state.deadline.map_or(patience, |deadline| deadline.min(patience));
            self.place(now, request, actions);
            return;
        }
        let kind =
            if state.repeatable { RefusalKind::AnswerCut } else { RefusalKind::OutcomeUnknown };
        self.refuse(request, Refusal::may_have_run(kind), actions);
    }

    fn abandon(&mut self, now: Duration, request: RequestId, actions: &mut Vec<EntryAction>) {
        self.end_attempt(request);
        let Some(state) = self.requests.remove(&request) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&state.service) {
            queue.remove(request);
        }
        self.pump(now, &state.service, actions);
    }

    fn end_attempt(&mut self, request: RequestId) -> Option<ServerId> {
        let state = self.requests.get_mut(&request)?;
        let server = state.server.take()?;
        if let Some(shares) = self.shares.get_mut(&state.service) {
            shares.remove(&state.arrival.organisation);
        }
        self.fleet.servers.record_ended(&server);
        Some(server)
    }

    fn refuse(&mut self, request: RequestId, refusal: Refusal, actions: &mut Vec<EntryAction>) {
        self.requests.remove(&request);
        actions.push(EntryAction::Refuse { request, refusal });
    }

    fn take_load(
        &mut self,
        now: Duration,
        server: &str,
        report: LoadReport,
        actions: &mut Vec<EntryAction>,
    ) {
        self.fleet.servers.record_load(now, server, report);
        let service = self.fleet.servers.service(server).map(str::to_string);
        if let Some(service) = service {
            self.pump(now, &service, actions);
        }
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<EntryAction>) {
        let expired: Vec<RequestId> =
            self.queues.values_mut().flat_map(|queue| queue.take_expired(now)).collect();
        for request in expired {
            let retry = Some(DEFAULT_RETRY_AFTER);
            let refusal = not_run_or_cut(&self.requests[&request], RefusalKind::Overloaded, retry);
            self.refuse(request, refusal, actions);
        }
        for rate in self.rates.values_mut() {
            rate.advance(now);
        }
        self.fleet.tick(now, actions);
        let services: Vec<ServiceName> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            let wanted = (STALE_WHILE_WAITING, PROBES_WHILE_WAITING);
            self.probe_stale(now, &service, wanted, actions);
            self.pump(now, &service, actions);
        }
    }

    fn drain(&mut self, now: Duration, actions: &mut Vec<EntryAction>) {
        self.draining = true;
        self.fleet.announce_leaving(now, actions);
    }

    /// Invariants that hold after every step.
    fn check_actions(&self, actions: &[EntryAction]) {
        for action in actions {
            match action {
                EntryAction::Send { server, request, .. } => {
                    assert!(
                        self.fleet.servers.may_send(server),
                        "sent {request} to {server} out of force"
                    );
                }
                EntryAction::Refuse { request, .. } => {
                    assert!(!self.requests.contains_key(request), "refused {request} goes on");
                }
                _ => {}
            }
        }
    }
}
