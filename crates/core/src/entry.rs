//! Decides what an entry does with each request, from its arrival to its last attempt.
//!
//! [`EntryCore::step`] is given an [`EntryEvent`] and the current time, and returns
//! [`EntryAction`]s. The daemon carries them out and reports their results as further
//! events.

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
use crate::request::refusal_for;
use crate::share::FillPercent;
use crate::share::MAX_FILL;
use crate::share::ShareTable;

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: AttemptNumber = 12;
/// Fraction of the class's first-token target that a request may spend in the queue.
const MAX_QUEUE_FRACTION: f64 = 0.6;
/// Retry-After of a refusal when the expected wait is unknown, and its minimum otherwise.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of servers probed for their load when a request arrives.
const PROBES_AT_ARRIVAL: usize = 1;
/// Maximum number of servers probed per tick and service while requests are queued.
const PROBES_WHILE_QUEUED: usize = 4;
/// Age from which a load report is refreshed when a request arrives.
const MAX_REPORT_AGE_AT_ARRIVAL: Duration = Duration::from_secs(1);
/// Age from which a load report is refreshed while requests are queued.
const MAX_REPORT_AGE_WHILE_QUEUED: Duration = Duration::from_millis(40);

/// State machine of an entry: fleet, queues, retry budget and open requests.
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
    /// Creates an entry without configuration that knows no other members.
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

    /// Handles an event and returns the actions for the daemon, in order.
    pub fn step(&mut self, now: Duration, event: EntryEvent) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        match event {
            EntryEvent::Arrived(arrival) => self.handle_arrival(now, arrival, &mut actions),
            EntryEvent::TurnedAway { request, full } => {
                self.handle_refused_attempt(now, request, full, &mut actions);
            }
            EntryEvent::Completed(request) => self.complete_request(now, request, &mut actions),
            EntryEvent::Broke { request, resumable } => {
                self.handle_broken_attempt(now, request, resumable, &mut actions);
            }
            EntryEvent::Abandoned(request) => self.abandon_request(now, request, &mut actions),
            EntryEvent::Load { server, report } => {
                self.record_load(now, &server, report, &mut actions);
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
            EntryEvent::Ticked => self.handle_tick(now, &mut actions),
            EntryEvent::Draining => self.start_draining(now, &mut actions),
        }
        self.check_actions(&actions);
        actions
    }

    /// Returns the member record of this entry.
    pub fn own_member(&self) -> &MemberRecord {
        self.fleet.own_record()
    }

    /// Returns the configuration in force at this entry.
    pub fn config(&self) -> &ConfigTable {
        self.fleet.config()
    }

    /// Returns the members known to this entry.
    pub fn members(&self) -> &MemberTable {
        self.fleet.members()
    }

    /// Returns the backend servers and their load.
    pub fn servers(&self) -> &ServerTable {
        &self.fleet.servers
    }

    /// Returns the number of requests that are queued or in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that are queued, over all services.
    pub fn queued_requests(&self) -> usize {
        self.queues.values().map(FairQueue::len).sum()
    }

    /// Returns whether this entry serves callers: it is configured and not draining.
    pub fn ready(&self) -> bool {
        !self.draining && !self.fleet.config().is_empty()
    }

    fn handle_arrival(&mut self, now: Duration, arrival: Arrival, actions: &mut Vec<EntryAction>) {
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
        let queue_until = now + target.first_token().mul_f64(MAX_QUEUE_FRACTION);
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
        self.probe_stale_servers(
            now,
            &state.service,
            (MAX_REPORT_AGE_AT_ARRIVAL, PROBES_AT_ARRIVAL),
            actions,
        );
        self.requests.insert(request, state);
        self.send_or_queue(now, request, actions);
    }

    /// Requests load reports from up to `count` servers whose last report is older than `age`.
    fn probe_stale_servers(
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

    /// Sends, queues or refuses a request that is not in the queue.
    fn send_or_queue(&mut self, now: Duration, request: RequestId, actions: &mut Vec<EntryAction>) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        if state.deadline.is_some_and(|deadline| deadline <= now) {
            self.refuse(request, refusal_for(state, RefusalKind::DeadlinePassed, None), actions);
            return;
        }
        let others_queued =
            state.attempt == 0 && self.queues.get(&state.service).is_some_and(|q| !q.is_empty());
        if others_queued {
            let service = state.service.clone();
            self.enqueue(now, request, actions);
            self.send_queued(now, &service, actions);
            return;
        }
        match self.choose_server(now, request) {
            ServerChoice::Chosen(server) => self.send(now, request, server, actions),
            ServerChoice::Full => self.enqueue(now, request, actions),
            ServerChoice::None => {
                let retry = Some(DEFAULT_RETRY_AFTER);
                let refusal = refusal_for(&self.requests[&request], RefusalKind::NoServer, retry);
                self.refuse(request, refusal, actions);
            }
        }
    }

    fn choose_server(&mut self, now: Duration, request: RequestId) -> ServerChoice {
        let Some(state) = self.requests.get(&request) else {
            return ServerChoice::None;
        };
        let query = ChoiceQuery {
            service: &state.service,
            zone: &self.fleet.own_record().zone,
            prefix: state.arrival.prefix,
            excluded: &state.excluded,
            fill: self.allowed_fill(state),
        };
        self.fleet.servers.choose(now, &query, &mut self.rng)
    }

    /// Returns the percentage of a server's limit up to which a request may fill it.
    fn allowed_fill(&self, state: &RequestState) -> FillPercent {
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
        let fill = self.requests.get(&request).map_or(MAX_FILL, |state| self.allowed_fill(state));
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        assert!(state.server.is_none(), "request {request} has two attempts in flight");
        state.attempt += 1;
        state.server = Some(server.clone());
        let attempt = state.attempt;
        self.rates.entry(state.service.clone()).or_default().record_placement(now);
        let shares = self.shares.entry(state.service.clone()).or_default();
        shares.add(&state.arrival.organisation);
        self.fleet.servers.record_sent(&server);
        actions.push(EntryAction::Send { request, attempt, server, address, fill });
    }

    /// Queues a request, or refuses it if the queue is full or it would expire before its turn.
    fn enqueue(&mut self, now: Duration, request: RequestId, actions: &mut Vec<EntryAction>) {
        let state = &self.requests[&request];
        let capacity = self.queue_capacity;
        let queue =
            self.queues.entry(state.service.clone()).or_insert_with(|| FairQueue::new(capacity));
        let ahead = queue.ahead_of(state.priority, &state.arrival.organisation);
        let wait = self.rates.get(&state.service).and_then(|rate| rate.expected_wait(ahead));
        let expires_first = wait.is_some_and(|wait| now + wait > state.queue_deadline);
        let waiting = WaitingRequest { request, expires_at: state.queue_deadline };
        if expires_first
            || state.queue_deadline <= now
            || !queue.push(state.priority, &state.arrival.organisation, waiting)
        {
            let retry = Some(wait.unwrap_or(DEFAULT_RETRY_AFTER).max(DEFAULT_RETRY_AFTER));
            self.refuse(request, refusal_for(state, RefusalKind::Overloaded, retry), actions);
        }
    }

    /// Sends queued requests of a service while servers have free capacity.
    ///
    /// An organisation above its fair share may fill only part of each limit. When
    /// that part is in use, it is skipped, and requests of other organisations behind
    /// it are still sent.
    fn send_queued(&mut self, now: Duration, service: &str, actions: &mut Vec<EntryAction>) {
        let mut skipped: Vec<OrganisationName> = Vec::new();
        while let Some((request, expires_at)) =
            self.queues.get_mut(service).and_then(|queue| queue.pop_except(&skipped))
        {
            match self.choose_server(now, request) {
                ServerChoice::Chosen(server) => self.send(now, request, server, actions),
                ServerChoice::Full => {
                    let state = &self.requests[&request];
                    let organisation = state.arrival.organisation.clone();
                    let over_share = self.allowed_fill(state) < MAX_FILL;
                    let waiting = WaitingRequest { request, expires_at };
                    if let Some(queue) = self.queues.get_mut(service) {
                        queue.push_front(state.priority, &organisation, waiting);
                    }
                    if !over_share {
                        return;
                    }
                    skipped.push(organisation);
                }
                ServerChoice::None => {
                    let state = &self.requests[&request];
                    let retry = Some(DEFAULT_RETRY_AFTER);
                    let refusal = refusal_for(state, RefusalKind::NoServer, retry);
                    self.refuse(request, refusal, actions);
                }
            }
        }
    }

    /// Retries a request whose attempt did not run, or queues it again.
    fn handle_refused_attempt(
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
            let refusal = refusal_for(state, RefusalKind::Overloaded, retry);
            self.refuse(request, refusal, actions);
            return;
        }
        // An organisation above its fair share waits and leaves the retry budget to others.
        let over_share = self.allowed_fill(&self.requests[&request]) < MAX_FILL;
        if !over_share && self.budget.withdraw() {
            self.send_or_queue(now, request, actions);
        } else {
            self.enqueue(now, request, actions);
        }
    }

    fn complete_request(
        &mut self,
        now: Duration,
        request: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(_server) = self.end_attempt(request) else {
            return;
        };
        self.budget.deposit();
        if let Some(state) = self.requests.remove(&request) {
            self.send_queued(now, &state.service, actions);
        }
    }

    /// Resumes a request whose attempt may have run, if it is repeatable; otherwise refuses it.
    fn handle_broken_attempt(
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
        let retryable = state.repeatable && resumable && state.attempt < MAX_ATTEMPTS;
        if retryable && self.budget.withdraw() {
            let restart_deadline = now
                + self
                    .fleet
                    .config()
                    .class(&state.arrival.class)
                    .map_or(DEFAULT_RETRY_AFTER, |target| target.first_token());
            state.queue_deadline =
                state.deadline.map_or(restart_deadline, |deadline| deadline.min(restart_deadline));
            self.send_or_queue(now, request, actions);
            return;
        }
        let kind =
            if state.repeatable { RefusalKind::AnswerCut } else { RefusalKind::OutcomeUnknown };
        self.refuse(request, Refusal::may_have_run(kind), actions);
    }

    fn abandon_request(
        &mut self,
        now: Duration,
        request: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        self.end_attempt(request);
        let Some(state) = self.requests.remove(&request) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&state.service) {
            queue.remove(request);
        }
        self.send_queued(now, &state.service, actions);
    }

    /// Ends the attempt in flight, if there is one, and returns its server.
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

    fn record_load(
        &mut self,
        now: Duration,
        server: &str,
        report: LoadReport,
        actions: &mut Vec<EntryAction>,
    ) {
        self.fleet.servers.record_load(now, server, report);
        let service = self.fleet.servers.service(server).map(str::to_string);
        if let Some(service) = service {
            self.send_queued(now, &service, actions);
        }
    }

    fn handle_tick(&mut self, now: Duration, actions: &mut Vec<EntryAction>) {
        let expired: Vec<RequestId> =
            self.queues.values_mut().flat_map(|queue| queue.take_expired(now)).collect();
        for request in expired {
            let retry = Some(DEFAULT_RETRY_AFTER);
            let refusal = refusal_for(&self.requests[&request], RefusalKind::Overloaded, retry);
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
            let probe_limits = (MAX_REPORT_AGE_WHILE_QUEUED, PROBES_WHILE_QUEUED);
            self.probe_stale_servers(now, &service, probe_limits, actions);
            self.send_queued(now, &service, actions);
        }
    }

    fn start_draining(&mut self, now: Duration, actions: &mut Vec<EntryAction>) {
        self.draining = true;
        self.fleet.announce_leaving(now, actions);
    }

    /// Asserts the invariants of the actions of one step.
    fn check_actions(&self, actions: &[EntryAction]) {
        for action in actions {
            match action {
                EntryAction::Send { server, request, .. } => {
                    assert!(
                        self.fleet.servers.may_send(server),
                        "sent {request} to server {server}, which is not in service"
                    );
                }
                EntryAction::Refuse { request, .. } => {
                    assert!(
                        !self.requests.contains_key(request),
                        "request {request} is still open after its refusal"
                    );
                }
                _ => {}
            }
        }
    }
}
