//! Takes a request from its head to its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cuminpick::admission::GateRequest;
use cuminpick::balance::BalanceChoice;
use cuminpick::balance::BalanceQuery;
use cuminpick::balance::ChoiceError;
use cuminpick::crash_detection::CrashStatus;
use cuminpick::event_stream::EventNumber;
use cuminpick::event_stream::EventSplitter;
use cuminpick::event_stream::StreamEvent;
use cuminpick::ids::OrganisationName;
use cuminpick::ids::RequestDigest;
use cuminpick::ids::ServerId;
use cuminpick::ids::ServiceName;
use cuminpick::ids::digest_request;
use cuminpick::quarantine::QUARANTINE_CRASHES;
use cuminpick::quarantine::QuarantineStatus;
use cuminpick::refusal::Refusal;
use cuminpick::refusal::RefusalKind;
use cuminpick::retry::AttemptFailure;
use cuminpick::retry::RetryState;
use cuminpick::routing::RepeatRule;
use cuminpick::routing::RouteRule;
use cuminpick::routing::RoutingTable;
use cuminpick_platform::call::CONNECT_TIMEOUT;
use cuminpick_platform::headers::ForwardFacts;
use cuminpick_platform::headers::RequestHead;
use cuminpick_platform::headers::decode_request;
use cuminpick_platform::headers::encode_answer;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use slog::o;
use tokio::time::Instant;

use crate::answer::AnswerBody;
use crate::answer::refusal_answer;
use crate::answer::refusal_status;
use crate::answer::whole_answer;
use crate::attempt::BufferedBytes;
use crate::attempt::CallerMessage;
use crate::attempt::FailedAttempt;
use crate::attempt::OpenAnswer;
use crate::attempt::send_attempt;
use crate::attempt::unless_silent;
use crate::attempt::within;
use crate::crash_tracking::CONFIRMING_HOLD_TIME;
use crate::crash_tracking::PROBE_HOLD_TIME;
use crate::crash_tracking::format_digest;
use crate::crash_tracking::format_evidence;
use crate::crash_tracking::probe_again;
use crate::crash_tracking::probe_server;
use crate::crash_tracking::unless_quarantined;
use crate::framing::HeadBytes;
use crate::gate::note_refusal;
use crate::gate::note_success;
use crate::gate::retry_while_away;
use crate::gate::wait_at_gate;
use crate::relay::start_relay;
use crate::state::Gateway;
use crate::state::OpenRequestGuard;

/// Time until a refused request is worth sending again while the process does
/// not know its configuration or servers; a listing takes some milliseconds.
const RETRY_WHEN_UNKNOWN: Duration = Duration::from_millis(500);
/// Time until a server that refused has room; some passes of its batch.
const RETRY_WHEN_FULL: Duration = Duration::from_millis(150);
/// Time until a request is worth sending again to another gateway.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(20);
/// Part of the target time that a request may wait for a server with room.
const WAIT_SHARE: f64 = 0.6;
/// Part of the target time after which a stream that waits can no longer begin
/// on time: its prompt is read and its first event made in about half of it.
const FRESH_SHARE: f64 = 0.45;
/// Part of the caller's patience for a first event after which a stream that
/// waits is refused; the rest is for its first event.
const START_SHARE: f64 = 0.7;
/// Pause between two looks for a server with room.
const ROOM_LOOK: Duration = Duration::from_millis(10);
/// Multiple of the target time after which an idempotent request is sent again;
/// nearly all answers come within the target.
const SILENT_TARGETS: u32 = 2;

/// Longest wait for a look whether a server has ended before its request goes on to
/// another; some round trips between zones.
const LOOK_WAIT: Duration = Duration::from_millis(50);

/// Wait after a server has ended under a request until news of other ends at the same
/// moment are here; some delays between zones, and turns on a shared core.
const NEWS_WAIT: Duration = Duration::from_millis(20);

/// Span over which gateways spread a request under which one more end would be too
/// many; ten times what it takes to notice an end and to tell it.
const SUSPECT_SPREAD: Duration = Duration::from_millis(100);

/// Answers a request; the future is dropped when the caller goes away.
pub async fn serve_request(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    head_bytes: HeadBytes,
) -> Response<AnswerBody> {
    let mut log = RequestLog::begin(&gateway);
    let accepted = if head_bytes.conflicting() {
        Err(Refusal::not_run(RefusalKind::Malformed, None))
    } else {
        accept(&gateway, request, &mut log).await
    };
    head_bytes.clear();
    match accepted {
        Ok(exchange) => exchange.run(log).await,
        Err(refusal) => {
            log.refused(&refusal);
            refusal_answer(&refusal)
        }
    }
}

/// Log of one request; notes a caller that left when it is dropped early.
pub struct RequestLog {
    gateway: Rc<Gateway>,
    request: String,
    class: String,
    arrived: Duration,
    ended: bool,
    _open: OpenRequestGuard,
}

impl RequestLog {
    fn begin(gateway: &Rc<Gateway>) -> RequestLog {
        RequestLog {
            gateway: Rc::clone(gateway),
            request: String::new(),
            class: String::new(),
            arrived: gateway.now(),
            ended: false,
            _open: OpenRequestGuard::begin(gateway),
        }
    }

    /// Time since the request arrived.
    pub fn age(&self) -> Duration {
        self.gateway.now().saturating_sub(self.arrived)
    }

    /// Notes how the request ended.
    pub fn end(&mut self, outcome: &'static str, status: u16, detail: &str) {
        self.ended = true;
        let age = self.age();
        self.gateway.metrics.count_request(&self.class, outcome);
        self.gateway.metrics.record_latency("request", &self.class, age);
        self.gateway.journal.note(
            "request-ended",
            Some(&self.request),
            o!("outcome" => outcome, "status" => status, "detail" => detail.to_string(),
               "route" => self.class.clone(), "after_ms" => age.as_millis() as u64),
        );
    }

    /// Notes a refusal of our own.
    pub fn refused(&mut self, refusal: &Refusal) {
        self.gateway.metrics.count_refusal(refusal.kind.name());
        self.end("refused", refusal_status(refusal).as_u16(), refusal.kind.name());
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if !self.ended {
            self.end("caller-left", 0, "the caller closed its connection");
        }
    }
}

/// Checks a request against the configuration and reads its body.
async fn accept(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    log: &mut RequestLog,
) -> Result<Exchange, Refusal> {
    let head = decode_request(request.headers());
    log.request = head.attempt_id.clone().unwrap_or_default();
    let arrived = Instant::now();
    let Some(table) = gateway.routing_table() else {
        return Err(Refusal::not_run(RefusalKind::NotReady, Some(RETRY_WHEN_UNKNOWN)));
    };
    let path = request.uri().path().to_string();
    let Some(route) = table.find_route(&head.host, &path) else {
        gateway.journal.note(
            "route-unknown",
            Some(&log.request),
            o!("host" => head.host, "path" => path, "config" => table.version()),
        );
        return Err(Refusal::not_run(RefusalKind::UnknownRoute, None));
    };
    log.class = route.name.clone();
    let (organisation, priority) = match table.authenticate(route, head.key.as_deref()) {
        Ok(rule) => (rule.map(|rule| rule.name.clone()), route.priority_for(rule)),
        Err(_) => return Err(Refusal::not_run(RefusalKind::KeyRefused, None)),
    };
    let time_left = head.time_left.map_or(route.timeout, |left| left.min(route.timeout));
    if !gateway.can_finish(time_left) {
        return Err(Refusal::not_run(RefusalKind::Leaving, Some(RETRY_ELSEWHERE)));
    }
    let message = read_message(request, &head, &table).await?;
    let service = route.pick_target(gateway.random_bits()).cloned().unwrap_or_default();
    let now = gateway.now();
    let spent = head.time_left.map_or(Duration::ZERO, |left| {
        gateway.deadlines.borrow_mut().observe(now, &route.name, left)
    });
    gateway.retry_budget.borrow_mut().count_request(now, &service);
    let cold_requests_per_second =
        table.service(&service).map_or(0.0, |spec| spec.cold_requests_per_second);
    let digest = digest_request(
        message.method.as_str(),
        message.uri.path_and_query().map_or(path.as_str(), |path| path.as_str()),
        organisation.as_deref(),
        &message.body,
    );
    Ok(Exchange {
        gateway: Rc::clone(gateway),
        state: RetryState::new(route.repeat, route.max_attempts),
        route: route.clone(),
        service,
        digest,
        organisation,
        priority,
        cold_requests_per_second,
        table_version: table.version(),
        arrived,
        spent,
        give_up: arrived + time_left,
        deadline: head.time_left.map(|left| arrived + left),
        caller_has: head.last_event,
        message,
        tried: Vec::new(),
        sent: false,
        last_failure: None,
    })
}

async fn read_message(
    request: Request<Incoming>,
    head: &RequestHead,
    table: &RoutingTable,
) -> Result<CallerMessage, Refusal> {
    let (parts, body) = request.into_parts();
    let limits = table.limits();
    let reading = Limited::new(body, limits.max_body_bytes).collect();
    let body = match tokio::time::timeout(limits.idle_timeout, reading).await {
        Err(_) => return Err(Refusal::not_run(RefusalKind::TooSlow, None)),
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return Err(Refusal::not_run(RefusalKind::TooLarge, None));
        }
        Ok(Err(_)) => return Err(Refusal::not_run(RefusalKind::Malformed, None)),
    };
    Ok(CallerMessage {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        attempt_id: head.attempt_id.clone(),
    })
}

/// A request that was accepted, with what has been tried for it.
pub struct Exchange {
    /// The gateway.
    pub gateway: Rc<Gateway>,
    /// Route of the request.
    pub route: RouteRule,
    /// Service that serves it.
    pub service: ServiceName,
    /// When it arrived.
    pub arrived: Instant,
    /// When the final answer is due.
    pub give_up: Instant,
    /// Number of the last event that the caller brought along.
    pub caller_has: Option<EventNumber>,
    /// What was tried so far.
    pub state: RetryState,
    /// Digest that all attempts of the request have in common.
    digest: RequestDigest,
    organisation: Option<OrganisationName>,
    priority: u8,
    /// How long before its arrival the caller first sent it.
    spent: Duration,
    cold_requests_per_second: f64,
    table_version: u64,
    deadline: Option<Instant>,
    message: CallerMessage,
    tried: Vec<ServerId>,
    /// Whether an attempt went out whose end is not known.
    sent: bool,
    last_failure: Option<AttemptFailure>,
}

/// A server's answer as far as it has to be known before the caller gets any of it.
pub enum SoundAnswer {
    /// Whole answer.
    Whole {
        /// Status.
        status: StatusCode,
        /// Headers for the caller.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
    /// Stream with at least one whole event, or an empty one that has ended.
    Stream(Box<OpenStream>),
}

/// A stream whose first events are there.
pub struct OpenStream {
    /// The answer that is being read.
    pub answer: OpenAnswer,
    /// Bytes of an event that is not whole yet.
    pub splitter: EventSplitter,
    /// Count of these bytes.
    pub buffered: BufferedBytes,
    /// Whole events that were read.
    pub events: Vec<StreamEvent>,
    /// Whether the stream has ended.
    pub ended: bool,
    /// Server that makes it.
    pub choice: BalanceChoice,
}

impl Exchange {
    async fn run(mut self, mut log: RequestLog) -> Response<AnswerBody> {
        let give_up = self.give_up;
        let after = self.caller_has;
        let answering = async {
            self.check_crashes()?;
            if self.route.streaming {
                self.pass_gate().await?;
            }
            self.next_sound(after).await
        };
        let answer = match tokio::time::timeout_at(give_up, answering).await {
            Ok(answer) => answer,
            Err(_) => Err(self.timed_out()),
        };
        match answer {
            Err(refusal) => {
                log.refused(&refusal);
                refusal_answer(&refusal)
            }
            Ok(SoundAnswer::Whole { status, headers, body }) => {
                log.end("answered", status.as_u16(), "whole answer");
                whole_answer(status, headers, body)
            }
            Ok(SoundAnswer::Stream(stream)) => {
                note_success(&self.gateway, &self.service);
                let headers = encode_answer(&stream.answer.headers);
                let status = stream.answer.head.status;
                let first_event = log.age();
                self.gateway.metrics.record_latency("first-event", &self.route.name, first_event);
                let mut response = Response::new(start_relay(self, *stream, log));
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                response
            }
        }
    }

    /// Waits until the group of the service has room for a further stream.
    async fn pass_gate(&self) -> Result<(), Refusal> {
        let now = self.gateway.now();
        let arrived = now.saturating_sub(self.arrived.elapsed());
        let whole_time = self.give_up.saturating_duration_since(self.arrived);
        let pauses = self.gateway.event_gaps.borrow().get(&self.service).and_then(|m| m.mean(now));
        let pause = pauses.or(self.route.max_event_gap).unwrap_or_default();
        let needed = self.gateway.stream_lengths.borrow().required_time(&self.route.name, pause);
        let begin_within = self.route.caller_timeout().mul_f64(START_SHARE);
        let asking = GateRequest {
            request: self.gateway.random_bits(),
            priority: self.priority,
            organisation: self.organisation.clone().unwrap_or_default(),
            on_time_until: (arrived + self.route.target_latency.mul_f64(FRESH_SHARE))
                .saturating_sub(self.spent),
            latest_start: arrived + begin_within.min(whole_time.saturating_sub(needed)),
        };
        match wait_at_gate(&self.gateway, &self.service, self.attempt_id(), asking).await {
            None => Ok(()),
            Some(retry) => Err(Refusal::not_run(RefusalKind::Overloaded, Some(retry))),
        }
    }

    /// Refusal of a request whose time is up.
    fn timed_out(&self) -> Refusal {
        if self.sent || self.state.may_have_run {
            Refusal::may_have_run(RefusalKind::DeadlinePassed)
        } else {
            Refusal::not_run(RefusalKind::DeadlinePassed, None)
        }
    }

    /// Tries servers until one gives a sound answer or none may be tried.
    pub async fn next_sound(&mut self, after: Option<EventNumber>) -> Result<SoundAnswer, Refusal> {
        loop {
            self.stagger_suspect().await;
            let choice = self.choose().await?;
            self.check_crashes()?;
            if !self.pay_for_repeat() {
                return Err(self.given_up("no repeat left in the budget"));
            }
            let failed = match self.try_server(&choice, after).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            self.note_failure(&choice.server, &failed);
            self.settle_loss(&choice, &failed).await?;
            self.check_crashes()?;
            if !self.state.may_retry() {
                return Err(self.given_up("no further attempt allowed"));
            }
            let begun = after != self.caller_has;
            if self.route.streaming
                && !begun
                && retry_while_away(&self.gateway, &self.service).is_some()
            {
                self.pass_gate().await?;
            }
        }
    }

    /// Refuses a request under which too many servers have ended.
    fn check_crashes(&self) -> Result<(), Refusal> {
        let now = self.gateway.now();
        match self.gateway.quarantine.borrow().status(now, self.digest) {
            QuarantineStatus::Allowed(_) => Ok(()),
            QuarantineStatus::Quarantined(ends) => {
                Err(self.hold_back(&format_evidence(now, &ends)))
            }
        }
    }

    /// Delays a request under which one more end would be too many, so that gateways
    /// which have it at the same time do not all end a server with it, and what is in
    /// doubt is settled.
    async fn stagger_suspect(&self) {
        let verdict = self.gateway.quarantine.borrow().status(self.gateway.now(), self.digest);
        let QuarantineStatus::Allowed(ends) = verdict else {
            return;
        };
        let doubts = self.gateway.crash_detector.borrow().unconfirmed_crashes(self.digest);
        if doubts > 0 && ends + doubts >= QUARANTINE_CRASHES {
            tokio::time::sleep(CONFIRMING_HOLD_TIME).await;
        }
        if ends + 1 >= QUARANTINE_CRASHES {
            let spread = self.gateway.random_bits() % SUSPECT_SPREAD.as_millis() as u64;
            tokio::time::sleep(Duration::from_millis(spread)).await;
        }
    }

    fn hold_back(&self, evidence: &str) -> Refusal {
        self.gateway.journal.note(
            "request-held-back",
            self.message.attempt_id.as_deref(),
            o!("digest" => format_digest(self.digest), "sent" => self.state.sent,
               "evidence" => evidence.to_string()),
        );
        match self.state.may_have_run {
            true => Refusal::may_have_run(RefusalKind::CrashesServers),
            false => Refusal::not_run(RefusalKind::CrashesServers, None),
        }
    }

    /// Finds out whether a server has ended under the request before the request
    /// is sent to another, so that no more servers end than have to.
    pub async fn settle_loss(
        &self,
        choice: &BalanceChoice,
        failed: &FailedAttempt,
    ) -> Result<(), Refusal> {
        if !failed.cut {
            return Ok(());
        }
        let known = match self.gateway.quarantine.borrow().status(self.gateway.now(), self.digest) {
            QuarantineStatus::Allowed(ends) => ends,
            QuarantineStatus::Quarantined(ends) => ends.len(),
        };
        let suspect = known + 1 >= QUARANTINE_CRASHES;
        let (patience, wait) = if suspect {
            (CONFIRMING_HOLD_TIME, CONNECT_TIMEOUT)
        } else {
            (PROBE_HOLD_TIME, LOOK_WAIT)
        };
        let life = choice.incarnation();
        let looking = {
            let (gateway, address, life) = (Rc::clone(&self.gateway), choice.address, life.clone());
            tokio::task::spawn_local(async move {
                let look = probe_server(&gateway, address, &life, patience).await;
                if look != CrashStatus::Crashed {
                    tokio::task::spawn_local(probe_again(gateway, address, life));
                }
                look
            })
        };
        let look = tokio::time::timeout(wait, looking).await;
        if matches!(look, Ok(Ok(CrashStatus::Crashed))) {
            tokio::time::sleep(NEWS_WAIT).await;
        }
        self.check_crashes()?;
        let lives = matches!(look, Ok(Ok(CrashStatus::Alive)));
        if suspect && !lives {
            let evidence = format!("{known} servers ended; {} cannot be reached", life.server);
            return Err(self.hold_back(&evidence));
        }
        Ok(())
    }

    fn pay_for_repeat(&self) -> bool {
        if !self.state.counts_as_retry() {
            return true;
        }
        let gateways = self.gateway.balance.borrow().live_or_registered_gateways();
        self.gateway.retry_budget.borrow_mut().try_take(self.gateway.now(), &self.service, gateways)
    }

    async fn choose(&mut self) -> Result<BalanceChoice, Refusal> {
        let wait_until = self.arrived + self.route.target_latency.mul_f64(WAIT_SHARE);
        loop {
            let chosen = {
                let query = BalanceQuery {
                    service: &self.service,
                    zone: &self.gateway.settings.zone,
                    excluded: &self.tried,
                    cold_requests_per_second: self.cold_requests_per_second,
                };
                let mut rng = self.gateway.rng.borrow_mut();
                self.gateway.balance.borrow().choose(self.gateway.now(), &query, &mut rng)
            };
            match chosen {
                Ok(choice) => return Ok(choice),
                Err(ChoiceError::AllFull) if Instant::now() < wait_until => {
                    let _ =
                        tokio::time::timeout(ROOM_LOOK, self.gateway.capacity_changed.notified())
                            .await;
                }
                Err(ChoiceError::AllFull) => {
                    return Err(self.refusal(RefusalKind::Overloaded, RETRY_WHEN_FULL));
                }
                Err(ChoiceError::AllTried | ChoiceError::NoneAvailable) => {
                    return Err(self.refusal(RefusalKind::NoServer, RETRY_WHEN_UNKNOWN));
                }
            }
        }
    }

    async fn try_server(
        &mut self,
        choice: &BalanceChoice,
        after: Option<EventNumber>,
    ) -> Result<SoundAnswer, FailedAttempt> {
        self.log_attempt(choice, after);
        let limit = self.attempt_limit();
        let time_left = self.deadline.map(|deadline| self.time_left(deadline));
        let facts = ForwardFacts {
            server: &choice.server,
            time_left: Some(time_left.unwrap_or_else(|| self.time_left(self.give_up))),
            organisation: self.organisation.as_deref(),
            priority: self.priority,
            last_event: after,
        };
        let sent = &mut self.sent;
        let streaming = self.route.streaming;
        let retryable = self.state.may_retry_after_failure();
        let gateway = &self.gateway;
        let message = &self.message;
        let digest = self.digest;
        let attempt = async {
            let answer =
                send_attempt(gateway, message, choice, &facts, digest, || *sent = true).await?;
            finish_head(gateway, answer, choice, streaming, retryable).await
        };
        let attempt = unless_quarantined(gateway, digest, attempt);
        let done = if streaming && retryable {
            unless_silent(gateway, &self.service, &choice.server, attempt).await
        } else {
            within(limit, attempt).await
        };
        self.sent = false;
        done
    }

    /// Longest wait for an answer that another server could give instead.
    fn attempt_limit(&self) -> Option<Duration> {
        let retryable = self.state.may_retry_after_failure();
        let plain = self.route.repeat == RepeatRule::Idempotent;
        (plain && retryable).then(|| self.route.target_latency * SILENT_TARGETS)
    }

    fn time_left(&self, until: Instant) -> Duration {
        until.saturating_duration_since(Instant::now())
    }

    fn log_attempt(&self, choice: &BalanceChoice, after: Option<EventNumber>) {
        self.gateway.journal.note(
            "attempt-sent",
            self.message.attempt_id.as_deref(),
            o!("server" => choice.server.clone(), "address" => choice.address.to_string(),
               "attempt" => self.state.sent + self.state.failed_connects + 1,
               "own_in_flight" => choice.own_in_flight,
               "others_in_flight" => choice.others_in_flight,
               "born" => choice.started_ms, "digest" => format_digest(self.digest),
               "candidates" => choice.candidates, "config" => self.table_version,
               "after_event" => after.map_or(-1, |event| event as i64),
               "age_ms" => self.arrived.elapsed().as_millis() as u64),
        );
    }

    /// Identity that the caller gave to the request.
    pub fn attempt_id(&self) -> Option<&str> {
        self.message.attempt_id.as_deref()
    }

    /// Takes a failed attempt in, and avoids a server that failed by itself.
    pub fn note_failure(&mut self, server: &str, failed: &FailedAttempt) {
        let retry = self.state.counts_as_retry();
        self.state.record_failure(failed.failure);
        self.last_failure = Some(failed.failure);
        self.tried.push(server.to_string());
        if failed.failure != AttemptFailure::Failed {
            self.gateway.balance.borrow_mut().avoid(self.gateway.now(), server);
        }
        if self.route.streaming && failed.failure == AttemptFailure::NotRun {
            note_refusal(&self.gateway, &self.service);
        }
        self.gateway.metrics.count_attempt(failure_name(failed.failure), retry);
        self.gateway.journal.note(
            "attempt-failed",
            self.message.attempt_id.as_deref(),
            o!("server" => server.to_string(), "digest" => format_digest(self.digest),
               "failure" => failure_name(failed.failure),
               "detail" => failed.detail.clone(), "sent" => self.state.sent,
               "may_have_run" => self.state.may_have_run),
        );
    }

    fn given_up(&self, reason: &'static str) -> Refusal {
        let kind = match self.last_failure {
            Some(AttemptFailure::NotRun) => RefusalKind::Overloaded,
            Some(AttemptFailure::NotConnected) | None => RefusalKind::NoServer,
            Some(_) if self.state.repeat == RepeatRule::AtMostOnce => RefusalKind::OutcomeUnknown,
            Some(_) => RefusalKind::AnswerCut,
        };
        self.gateway.journal.note(
            "attempts-ended",
            self.message.attempt_id.as_deref(),
            o!("reason" => reason, "sent" => self.state.sent,
               "failed_connects" => self.state.failed_connects),
        );
        let away = retry_while_away(&self.gateway, &self.service);
        self.refusal(kind, away.unwrap_or(RETRY_WHEN_FULL))
    }

    fn refusal(&self, kind: RefusalKind, retry_after: Duration) -> Refusal {
        if self.state.may_have_run {
            Refusal::may_have_run(kind)
        } else {
            Refusal::not_run(kind, Some(retry_after))
        }
    }
}

/// Reads as much of an answer as has to be known before it is passed on.
async fn finish_head(
    gateway: &Rc<Gateway>,
    mut answer: OpenAnswer,
    choice: &BalanceChoice,
    streaming: bool,
    retryable: bool,
) -> Result<SoundAnswer, FailedAttempt> {
    if streaming && answer.head.status.is_success() {
        return first_events(gateway, answer, choice).await;
    }
    let status = answer.head.status;
    let body = answer.read_whole(gateway).await?;
    if answer.promises_too_much() || (answer.failed() && retryable) {
        let detail = format!("the server answered {}", status.as_u16());
        return Err(FailedAttempt { failure: AttemptFailure::Failed, detail, cut: false });
    }
    let headers = encode_answer(&answer.headers);
    Ok(SoundAnswer::Whole { status, headers, body })
}

async fn first_events(
    gateway: &Rc<Gateway>,
    mut answer: OpenAnswer,
    choice: &BalanceChoice,
) -> Result<SoundAnswer, FailedAttempt> {
    let mut buffered = BufferedBytes::begin(gateway);
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    let mut ended = false;
    while events.is_empty() && !ended {
        match answer.next_bytes().await? {
            Some(bytes) => {
                let pushed = splitter.push(&bytes);
                events = pushed.map_err(|error| FailedAttempt::broken(error.to_string()))?;
                buffered.set(splitter.partial().len())?;
            }
            None => ended = true,
        }
    }
    if ended && !splitter.partial().is_empty() {
        return Err(FailedAttempt::cut("the stream ended inside an event"));
    }
    let choice = choice.clone();
    Ok(SoundAnswer::Stream(Box::new(OpenStream {
        answer,
        splitter,
        buffered,
        events,
        ended,
        choice,
    })))
}

fn failure_name(failure: AttemptFailure) -> &'static str {
    match failure {
        AttemptFailure::NotConnected => "not-connected",
        AttemptFailure::NotRun => "not-run",
        AttemptFailure::Broken => "broken",
        AttemptFailure::Failed => "failed",
    }
}
