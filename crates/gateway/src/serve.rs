//! Serves one caller's request: checks it against the configuration, sends it to backend
//! servers until one gives a valid answer, and returns that answer or a refusal.
//!
//! Complete answers are returned from here; a stream goes to [`crate::relay`] once its
//! first event is there.

mod choice;
mod late_stream;
mod recall;
mod request_log;
mod suspects;
mod turn;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cuminpick::admission::GateRequest;
use cuminpick::balance::BalanceChoice;
use cuminpick::crash_detection::AttemptContent;
use cuminpick::event_stream::EventNumber;
use cuminpick::event_stream::EventSplitter;
use cuminpick::event_stream::StreamEvent;
use cuminpick::ids::OrganisationName;
use cuminpick::ids::ServerId;
use cuminpick::ids::ServiceName;
use cuminpick::ids::digest_request;
use cuminpick::refusal::Refusal;
use cuminpick::refusal::RefusalKind;
use cuminpick::retry::AttemptFailure;
use cuminpick::retry::RetryState;
use cuminpick::routing::RepeatRule;
use cuminpick::routing::RouteRule;
use cuminpick::routing::RoutingTable;
use cuminpick::token_load::TokenNeed;
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

use self::recall::RecallRule;
use self::recall::unless_recalled;
pub use self::request_log::RequestLog;
use crate::answer::AnswerBody;
use crate::answer::complete_answer;
use crate::answer::refusal_answer;
use crate::attempt::BufferedBytes;
use crate::attempt::CallerMessage;
use crate::attempt::FailedAttempt;
use crate::attempt::OpenAnswer;
use crate::attempt::fail_if_degraded;
use crate::attempt::send_attempt;
use crate::attempt::with_timeout;
use crate::crash_tracking::STREAM_END_HOLD_TIME;
use crate::crash_tracking::format_digest;
use crate::crash_tracking::format_digests;
use crate::framing::HeadBytes;
use crate::gate::expected_event_gap;
use crate::gate::outage_retry_after;
use crate::gate::stream_retry_after;
use crate::gate::wait_for_admission;
use crate::part_tracking::TrialGuard;
use crate::relay::start_relay;
use crate::start_wait::await_serving_table;
use crate::state::Gateway;
use crate::token_tracking::TokenHold;
use crate::token_tracking::count_tokens;
use crate::unit_moves::WatchedStream;
use crate::unit_tracking::record_lost_server;
use crate::unit_tracking::record_stream_refusal;
use crate::unit_tracking::record_stream_success;
use crate::unit_tracking::record_unit_success;

/// `Retry-After` of a refusal while the configuration is not loaded or no server is
/// available; listing them in the store takes a few milliseconds.
const RETRY_WHEN_UNAVAILABLE: Duration = Duration::from_millis(500);
/// `Retry-After` while servers are full or refuse requests: a few passes of their batches.
const RETRY_WHEN_FULL: Duration = Duration::from_millis(150);
/// `Retry-After` of a gateway that is shutting down; another gateway can serve at once.
const RETRY_WHEN_LEAVING: Duration = Duration::from_millis(20);
/// Part of the target latency after which a queued stream can no longer start on time:
/// reading the prompt and making the first event take about half of the target.
const ON_TIME_START_SHARE: f64 = 0.45;
/// Part of the caller's timeout for the first event after which a queued stream is
/// refused; the rest is left for making that event.
const LATEST_START_SHARE: f64 = 0.7;
/// Multiple of the target latency after which an idempotent request is sent to another
/// server; nearly all answers come within the target.
const RETRY_TARGET_MULTIPLE: u32 = 2;

/// Answers a request. The future is dropped when the caller closes its connection.
pub async fn serve_request(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    head_bytes: HeadBytes,
) -> Response<AnswerBody> {
    let mut log = RequestLog::begin(&gateway);
    let accepted = if head_bytes.is_conflicting() {
        Err(Refusal::not_run(RefusalKind::Malformed, None))
    } else {
        accept_request(&gateway, request, &mut log).await
    };
    head_bytes.clear();
    match accepted {
        Ok(exchange) => exchange.run(log).await,
        Err(refusal) => {
            log.record_refusal(&refusal);
            refusal_answer(&refusal)
        }
    }
}

/// Finds the route of a request, checks its key and reads its body.
async fn accept_request(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    log: &mut RequestLog,
) -> Result<Exchange, Refusal> {
    let head = decode_request(request.headers());
    log.request_id = head.attempt_id.clone().unwrap_or_default();
    let arrived = Instant::now();
    let serving_table = await_serving_table(gateway, &log.request_id, head.time_left);
    let Some(table) = serving_table.await else {
        return Err(Refusal::not_run(RefusalKind::NotReady, Some(RETRY_WHEN_UNAVAILABLE)));
    };
    let path = request.uri().path().to_string();
    let Some(route) = table.find_route(&head.host, &path) else {
        gateway.journal.note(
            "route-unknown",
            Some(&log.request_id),
            o!("host" => head.host, "path" => path, "config" => table.version()),
        );
        return Err(Refusal::not_run(RefusalKind::UnknownRoute, None));
    };
    log.route = route.name.clone();
    let (organisation, priority) = match table.authenticate(route, head.key.as_deref()) {
        Ok(rule) => (rule.map(|rule| rule.name.clone()), table.urgency_rank(route, rule)),
        Err(_) => return Err(Refusal::not_run(RefusalKind::KeyRefused, None)),
    };
    let time_left = head.time_left.map_or(route.timeout, |left| left.min(route.timeout));
    if !gateway.can_finish(time_left) {
        return Err(Refusal::not_run(RefusalKind::Leaving, Some(RETRY_WHEN_LEAVING)));
    }
    let message = read_message(request, &head, &table).await?;
    let service = route.pick_target(gateway.random_bits()).cloned().unwrap_or_default();
    let tokens = count_tokens(gateway, &service, &route.name, head.tokens)
        .map_err(|_| Refusal::not_run(RefusalKind::TooLarge, None))?;
    let token_need = TokenNeed { request: gateway.random_bits(), priority, tokens };
    let now = gateway.now();
    let elapsed_before_arrival = head.time_left.map_or(Duration::ZERO, |left| {
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
        retry_state: RetryState::new(route.repeat, route.max_attempts),
        retry_prepaid: Rc::default(),
        route: route.clone(),
        service,
        content: AttemptContent { digest, parts: head.shared_parts.into() },
        organisation,
        priority,
        cold_requests_per_second,
        table_version: table.version(),
        arrived,
        elapsed_before_arrival,
        answer_deadline: arrived + time_left,
        caller_deadline: head.time_left.map(|left| arrived + left),
        caller_last_event: head.last_event,
        message,
        tried_servers: Vec::new(),
        attempt_pending: Cell::new(false),
        token_need,
        token_hold: None,
        last_failure: None,
    })
}

/// Reads the body within the limits of the configuration.
async fn read_message(
    request: Request<Incoming>,
    head: &RequestHead,
    table: &RoutingTable,
) -> Result<CallerMessage, Refusal> {
    let (parts, body) = request.into_parts();
    let limits = table.limits();
    let body_read = Limited::new(body, limits.max_body_bytes).collect();
    let body = match tokio::time::timeout(limits.idle_timeout, body_read).await {
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

/// An accepted request and the state of its attempts.
pub struct Exchange {
    /// Gateway that serves the request.
    pub gateway: Rc<Gateway>,
    /// Route of the request.
    pub route: RouteRule,
    /// Target service that was picked from the route.
    pub service: ServiceName,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the gateway stops trying: the earlier of the route's timeout and the caller's
    /// deadline.
    pub answer_deadline: Instant,
    /// Last event that the caller already received, if it resumes a stream.
    pub caller_last_event: Option<EventNumber>,
    /// Attempts so far, and whether another one is allowed.
    pub retry_state: RetryState,
    /// Set when the next attempt was taken from the retry budget already.
    retry_prepaid: Rc<Cell<bool>>,
    /// What gateways attribute crashes to; equal for all attempts.
    content: AttemptContent,
    organisation: Option<OrganisationName>,
    priority: u8,
    /// Time between the caller's first try and this arrival, estimated from its deadline.
    elapsed_before_arrival: Duration,
    cold_requests_per_second: f64,
    table_version: u64,
    caller_deadline: Option<Instant>,
    message: CallerMessage,
    tried_servers: Vec<ServerId>,
    /// Whether a request was sent whose outcome is not known yet.
    attempt_pending: Cell<bool>,
    /// Tokens that the request needs at a server.
    token_need: TokenNeed,
    /// Tokens that the current attempt holds.
    token_hold: Option<TokenHold>,
    last_failure: Option<AttemptFailure>,
}

/// A server's checked answer, read as far as needed before any of it goes to the caller.
pub enum ValidAnswer {
    /// Answer that was read to its end.
    Complete {
        /// Status from the server.
        status: StatusCode,
        /// Headers for the caller.
        headers: HeaderMap,
        /// All bytes of the body.
        body: Bytes,
    },
    /// Stream with at least one complete event, or one that ended without any.
    Stream(Box<OpenStream>),
}

/// A stream whose first events have been read.
pub struct OpenStream {
    /// Answer whose body is still being read.
    pub answer: OpenAnswer,
    /// Splits the bytes into events; holds those of an incomplete event.
    pub splitter: EventSplitter,
    /// Counts the bytes that the splitter holds.
    pub buffered: BufferedBytes,
    /// Complete events that have not been sent to the caller yet.
    pub events: Vec<StreamEvent>,
    /// Whether the server has ended the stream.
    pub ended: bool,
    /// Server that sends the stream.
    pub choice: BalanceChoice,
    /// When the request was sent to the server.
    pub sent_at: Duration,
}

impl Exchange {
    async fn run(mut self, mut log: RequestLog) -> Response<AnswerBody> {
        let answer_deadline = self.answer_deadline;
        let after = self.caller_last_event;
        let answering = async {
            self.check_quarantine()?;
            self.await_trial_time().await?;
            if self.route.streaming {
                self.admit_stream().await?;
            }
            self.obtain_answer(after).await
        };
        let answer = match tokio::time::timeout_at(answer_deadline, answering).await {
            Ok(answer) => answer,
            Err(_) => Err(self.timeout_refusal()),
        };
        match answer {
            Err(refusal) => {
                log.record_refusal(&refusal);
                refusal_answer(&refusal)
            }
            Ok(ValidAnswer::Complete { status, headers, body }) => {
                log.record_end("answered", status.as_u16(), "complete answer");
                complete_answer(status, headers, body)
            }
            Ok(ValidAnswer::Stream(stream)) => {
                record_stream_success(&self.gateway, &self.service);
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

    /// Waits until the service has capacity for another stream.
    async fn admit_stream(&self) -> Result<(), Refusal> {
        self.check_opening()?;
        let now = self.gateway.now();
        let arrived = now.saturating_sub(self.arrived.elapsed());
        let total_time = self.answer_deadline.saturating_duration_since(self.arrived);
        let measured_gap = expected_event_gap(&self.gateway, &self.service, now);
        let event_gap = measured_gap.or(self.route.max_event_gap).unwrap_or_default();
        let required_time =
            self.gateway.stream_lengths.borrow().required_time(&self.route.name, event_gap);
        let gate_request = GateRequest {
            request: self.gateway.random_bits(),
            priority: self.priority,
            organisation: self.organisation.clone().unwrap_or_default(),
            on_time_until: (arrived + self.route.target_latency.mul_f64(ON_TIME_START_SHARE))
                .saturating_sub(self.elapsed_before_arrival),
            latest_start: arrived
                + self.latest_start().min(total_time.saturating_sub(required_time)),
        };
        match wait_for_admission(&self.gateway, &self.service, self.attempt_id(), gate_request)
            .await
        {
            None => Ok(()),
            Some(retry_after) => Err(self.refusal(RefusalKind::Overloaded, retry_after)),
        }
    }

    /// Returns the refusal of a request whose deadline has passed.
    fn timeout_refusal(&self) -> Refusal {
        if self.attempt_pending.get() || self.retry_state.may_have_run {
            Refusal::may_have_run(RefusalKind::DeadlinePassed)
        } else {
            Refusal::not_run(RefusalKind::DeadlinePassed, None)
        }
    }

    /// Tries servers until one gives a valid answer or no further attempt is allowed. A
    /// stream continues after the event `after`.
    pub async fn obtain_answer(
        &mut self,
        after: Option<EventNumber>,
    ) -> Result<ValidAnswer, Refusal> {
        loop {
            self.delay_suspect().await;
            let trial = self.claim_trial().await?;
            let stream_begun = after != self.caller_last_event;
            let choice = self.choose_server(stream_begun).await?;
            self.check_quarantine()?;
            if self.needs_trial(trial.as_ref()) {
                continue;
            }
            if !self.take_retry_budget() {
                return Err(self.final_refusal("the retry budget is used up"));
            }
            let failed = match self.try_server(&choice, after, trial.as_ref()).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            self.record_failure(&choice, &failed);
            self.probe_after_loss(&choice, &failed).await?;
            self.check_quarantine()?;
            if !self.retry_state.may_retry() {
                return Err(self.final_refusal("no further attempt is allowed"));
            }
            if self.route.streaming
                && !stream_begun
                && outage_retry_after(&self.gateway, &self.service).is_some()
            {
                self.admit_stream().await?;
            }
        }
    }

    /// Sends the request to one server and reads the start of its answer.
    async fn try_server(
        &self,
        choice: &BalanceChoice,
        after: Option<EventNumber>,
        trial: Option<&TrialGuard>,
    ) -> Result<ValidAnswer, FailedAttempt> {
        self.log_attempt(choice, after);
        let timeout = self.attempt_timeout();
        let time_left = self.caller_deadline.map(|deadline| self.time_left(deadline));
        let facts = ForwardFacts {
            server: &choice.server,
            time_left: Some(time_left.unwrap_or_else(|| self.time_left(self.answer_deadline))),
            organisation: self.organisation.as_deref(),
            priority: self.priority,
            last_event: after,
        };
        let sent_at = self.gateway.now();
        let watched = self.watched_stream(choice, sent_at, after != self.caller_last_event);
        let streaming = self.route.streaming;
        let retryable = self.retry_state.may_retry_after_failure();
        let gateway = &self.gateway;
        let message = &self.message;
        let content = &self.content;
        let watch = self.watch_first_event(&choice.server, after);
        let on_sent = || {
            self.attempt_pending.set(true);
            if streaming {
                watch.record_sent();
            }
        };
        let attempt = async {
            let answer = send_attempt(gateway, message, choice, &facts, content, on_sent).await?;
            let start =
                read_answer_start(gateway, answer, choice, &facts, streaming, retryable).await?;
            if matches!(&start, ValidAnswer::Stream(stream) if !stream.events.is_empty()) {
                watch.record_first_event();
            }
            Ok(start)
        };
        let rule = RecallRule { service: &self.service, content, trial, may_retry: retryable };
        let attempt = unless_recalled(gateway, rule, attempt);
        let result = if streaming && retryable {
            let reserve_retry = || trial.is_none() && self.reserve_retry(&choice.server);
            let attempt = watch.fail_if_late(reserve_retry, attempt);
            fail_if_degraded(gateway, &watched, attempt).await
        } else {
            with_timeout(timeout, attempt).await
        };
        self.attempt_pending.set(false);
        if let Ok(ValidAnswer::Stream(stream)) = &result {
            record_unit_success(&self.gateway, &self.service, choice.address, stream.sent_at);
        }
        result
    }

    /// Returns the stream as it is watched while it is at a server.
    pub fn watched_stream(
        &self,
        choice: &BalanceChoice,
        sent_at: Duration,
        has_begun: bool,
    ) -> WatchedStream {
        WatchedStream {
            service: self.service.clone(),
            server: choice.server.clone(),
            address: choice.address,
            sent_at,
            priority: self.priority,
            has_begun,
            retry_prepaid: Rc::clone(&self.retry_prepaid),
        }
    }

    /// Returns the longest wait for an answer; `None` unless another server can be asked.
    fn attempt_timeout(&self) -> Option<Duration> {
        let retryable = self.retry_state.may_retry_after_failure();
        let idempotent = self.route.repeat == RepeatRule::Idempotent;
        (idempotent && retryable).then(|| self.route.target_latency * RETRY_TARGET_MULTIPLE)
    }

    fn time_left(&self, until: Instant) -> Duration {
        until.saturating_duration_since(Instant::now())
    }

    fn log_attempt(&self, choice: &BalanceChoice, after: Option<EventNumber>) {
        self.gateway.journal.note(
            "attempt-sent",
            self.message.attempt_id.as_deref(),
            o!("server" => choice.server.clone(), "address" => choice.address.to_string(),
               "attempt" => self.retry_state.attempts() + 1,
               "own_in_flight" => choice.own_in_flight,
               "others_in_flight" => choice.others_in_flight,
               "born" => choice.started_ms, "digest" => format_digest(self.content.digest),
               "parts" => format_digests(&self.content.parts),
               "candidates" => choice.candidates, "config" => self.table_version,
               "after_event" => after.map_or(-1, |event| event as i64),
               "age_ms" => self.arrived.elapsed().as_millis() as u64),
        );
    }

    /// Returns the identifier that the caller gave to this attempt.
    pub fn attempt_id(&self) -> Option<&str> {
        self.message.attempt_id.as_deref()
    }

    /// Records a failed attempt. Avoids the server, unless it answered with an error of its
    /// own.
    pub fn record_failure(&mut self, choice: &BalanceChoice, failed: &FailedAttempt) {
        let server = choice.server.as_str();
        let retry = self.retry_state.counts_as_retry();
        self.token_hold = None;
        self.retry_state.record_failure(failed.failure);
        self.last_failure = Some(failed.failure);
        self.tried_servers.push(server.to_string());
        let now = self.gateway.now();
        match failed.failure {
            AttemptFailure::Failed | AttemptFailure::Recalled => {}
            AttemptFailure::Replaced => self.gateway.balance.borrow_mut().exclude_replaced(server),
            _ => self.gateway.balance.borrow_mut().avoid(now, server),
        }
        match failed.failure {
            AttemptFailure::NotRun if self.route.streaming => {
                record_stream_refusal(&self.gateway, &self.service, choice.address);
            }
            AttemptFailure::NotConnected if self.route.streaming => {
                record_lost_server(&self.gateway, &self.service, choice.address);
            }
            _ => {}
        }
        self.gateway.metrics.count_attempt(failure_name(failed.failure), retry);
        self.gateway.journal.note(
            "attempt-failed",
            self.message.attempt_id.as_deref(),
            o!("server" => server.to_string(), "digest" => format_digest(self.content.digest),
               "failure" => failure_name(failed.failure),
               "detail" => failed.detail.clone(), "sent" => self.retry_state.sent,
               "may_have_run" => self.retry_state.may_have_run),
        );
    }

    /// Returns the refusal of a request that gets no further attempt.
    fn final_refusal(&self, reason: &'static str) -> Refusal {
        let kind = match self.last_failure {
            Some(AttemptFailure::NotRun) => RefusalKind::Overloaded,
            Some(AttemptFailure::NotConnected | AttemptFailure::Replaced) | None => {
                RefusalKind::NoServer
            }
            Some(_) if self.retry_state.repeat == RepeatRule::AtMostOnce => {
                RefusalKind::OutcomeUnknown
            }
            Some(_) => RefusalKind::AnswerCut,
        };
        self.gateway.journal.note(
            "attempts-ended",
            self.message.attempt_id.as_deref(),
            o!("reason" => reason, "sent" => self.retry_state.sent,
               "failed_connects" => self.retry_state.failed_connects,
               "replaced" => self.retry_state.replaced),
        );
        let outage = outage_retry_after(&self.gateway, &self.service);
        let retry_after = outage.unwrap_or_else(|| self.usual_retry_after());
        self.refusal(kind, self.time_to_return(retry_after))
    }

    /// Returns the time after which a caller may return while servers are full or refuse requests.
    fn usual_retry_after(&self) -> Duration {
        let stream_retry = self.route.streaming.then_some(&self.service);
        let stream_retry =
            stream_retry.and_then(|service| stream_retry_after(&self.gateway, service));
        stream_retry.unwrap_or(RETRY_WHEN_FULL)
    }

    /// Returns how long after its arrival a stream can still be started.
    fn latest_start(&self) -> Duration {
        self.route.caller_timeout().mul_f64(LATEST_START_SHARE)
    }

    /// Returns a refusal that says whether the request may have run.
    fn refusal(&self, kind: RefusalKind, retry_after: Duration) -> Refusal {
        if self.retry_state.may_have_run {
            Refusal::may_have_run(kind)
        } else {
            Refusal::not_run(kind, Some(retry_after))
        }
    }
}

/// Reads a stream up to its first event, and any other answer to its end.
async fn read_answer_start(
    gateway: &Rc<Gateway>,
    mut answer: OpenAnswer,
    choice: &BalanceChoice,
    facts: &ForwardFacts<'_>,
    streaming: bool,
    retryable: bool,
) -> Result<ValidAnswer, FailedAttempt> {
    if streaming && answer.head.status.is_success() {
        return read_first_events(gateway, answer, choice, facts.last_event).await;
    }
    let status = answer.head.status;
    let body = answer.read_whole(gateway).await?;
    if status.is_success() {
        answer.record_begin();
    }
    if answer.implies_not_run() || (answer.is_server_error() && retryable) {
        let detail = format!("the server answered with status {}", status.as_u16());
        return Err(FailedAttempt {
            failure: AttemptFailure::Failed,
            detail,
            connection_lost: false,
        });
    }
    let headers = encode_answer(&answer.headers);
    Ok(ValidAnswer::Complete { status, headers, body })
}

/// Reads a stream up to its first complete events, or to its end if it has none. Only a stream
/// that continues after an event may have none without a length.
async fn read_first_events(
    gateway: &Rc<Gateway>,
    mut answer: OpenAnswer,
    choice: &BalanceChoice,
    after: Option<EventNumber>,
) -> Result<ValidAnswer, FailedAttempt> {
    let sent_at = answer.sent_at;
    let mut buffered = BufferedBytes::begin(gateway);
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    let mut ended = false;
    while events.is_empty() && !ended {
        match answer.next_bytes().await? {
            Some(bytes) => {
                let split = splitter.push(&bytes);
                events = split.map_err(|error| FailedAttempt::broken(error.to_string()))?;
                buffered.set(splitter.partial().len())?;
            }
            None => ended = true,
        }
    }
    if !events.is_empty() {
        answer.record_begin();
    }
    if ended && !splitter.partial().is_empty() {
        return Err(FailedAttempt::disconnected("the stream ended inside an event"));
    }
    if ended && events.is_empty() && !answer.is_framed() {
        if after.is_none() {
            return Err(FailedAttempt::disconnected("the connection ended before the first event"));
        }
        answer.confirm_end(STREAM_END_HOLD_TIME).await?;
    }
    let choice = choice.clone();
    Ok(ValidAnswer::Stream(Box::new(OpenStream {
        answer,
        splitter,
        buffered,
        events,
        ended,
        choice,
        sent_at,
    })))
}

/// Returns the name of a failure in logs and metrics.
fn failure_name(failure: AttemptFailure) -> &'static str {
    match failure {
        AttemptFailure::NotConnected => "not-connected",
        AttemptFailure::NotRun => "not-run",
        AttemptFailure::Replaced => "replaced",
        AttemptFailure::Broken => "broken",
        AttemptFailure::Recalled => "recalled",
        AttemptFailure::Failed => "failed",
    }
}
