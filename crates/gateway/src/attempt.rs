//! Sends a request to one server on a new connection, and checks and reads the answer.
//!
//! Connections are not reused: servers close idle ones without notice, and a late second
//! answer could be taken for that of the next request. With a new connection, a failure to
//! connect also proves that nothing was sent.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use cuminpick::answer::is_final_status;
use cuminpick::balance::BalanceChoice;
use cuminpick::crash_detection::AttemptContent;
use cuminpick::relocation::delays_group;
use cuminpick::retry::AttemptFailure;
use cuminpick_platform::call::CallError;
use cuminpick_platform::call::ClientConnection;
use cuminpick_platform::call::ConnectFailure;
use cuminpick_platform::call::describe_error;
use cuminpick_platform::headers::AnswerHead;
use cuminpick_platform::headers::ForwardFacts;
use cuminpick_platform::headers::decode_answer;
use cuminpick_platform::headers::encode_forwarded;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;

use crate::announcements::record_announcement;
use crate::crash_tracking::AttemptGuard;
use crate::crash_tracking::PROBE_HOLD_TIME;
use crate::crash_tracking::record_refused_connection;
use crate::permits::record_stated_limit;
use crate::state::Gateway;
use crate::state::InFlightGuard;
use crate::unit_moves::WatchedStream;
use crate::unit_moves::wait_for_move;
use crate::unit_tracking::is_unit_active;

/// Largest answer that is not a stream; typical ones have a few hundred bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Bytes of answers that may be buffered at a time over all requests: a fifth of the
/// memory of the smallest VM.
const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// Interval at which a waiting attempt checks whether its server is silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an event shows that the service is making passes; a few of them.
const ACTIVE_WINDOW: Duration = Duration::from_millis(250);

/// A request as the caller sent it.
pub struct CallerMessage {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Identifier that the caller gave to this attempt.
    pub attempt_id: Option<String>,
}

/// A server's answer whose body is still to be read.
pub struct OpenAnswer {
    /// Decoded status and headers.
    pub head: AnswerHead,
    /// Headers as the server sent them.
    pub headers: HeaderMap,
    /// When the request was sent.
    pub sent_at: Duration,
    body: Incoming,
    attempt_guard: AttemptGuard,
    /// Counts the request at its server until the answer has ended.
    in_flight: Option<InFlightGuard>,
    /// Whether the answer is one without a body, such as that of status 204.
    has_no_body: bool,
    is_end_confirmed: bool,
    connection: ClientConnection,
}

/// An attempt without a usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailedAttempt {
    /// How the attempt failed, and so whether the request may have run.
    pub failure: AttemptFailure,
    /// Reason in words, for the log.
    pub detail: String,
    /// Whether the connection was lost, so that the server may have crashed.
    pub connection_lost: bool,
}

impl FailedAttempt {
    /// Makes the failure of an answer that was invalid or late.
    pub fn broken(detail: impl Into<String>) -> FailedAttempt {
        FailedAttempt {
            failure: AttemptFailure::Broken,
            detail: detail.into(),
            connection_lost: false,
        }
    }

    /// Makes the failure of a connection that was lost after the request was sent.
    pub fn disconnected(detail: impl Into<String>) -> FailedAttempt {
        FailedAttempt {
            failure: AttemptFailure::Broken,
            detail: detail.into(),
            connection_lost: true,
        }
    }
}

/// Sends a request to a server and waits for the head of the answer.
///
/// `on_sent` is called just before the request is sent; until then no part of it can have
/// reached the server.
pub async fn send_attempt(
    gateway: &Rc<Gateway>,
    message: &CallerMessage,
    choice: &BalanceChoice,
    facts: &ForwardFacts<'_>,
    content: &AttemptContent,
    on_sent: impl FnOnce(),
) -> Result<OpenAnswer, FailedAttempt> {
    let in_flight = InFlightGuard::begin(gateway, &choice.server);
    let connecting = ClientConnection::open(choice.address).await;
    if let Err(CallError::NotConnected(_, ConnectFailure::Refused)) = &connecting {
        record_refused_connection(gateway, choice.address, &choice.incarnation());
    }
    let mut connection = connecting.map_err(connect_failure)?;
    let request = build_request(message, facts)?;
    on_sent();
    let sent_at = gateway.now();
    let attempt_guard =
        AttemptGuard::begin(gateway, choice.address, choice.incarnation(), content.clone());
    let answer = connection
        .send(request)
        .await
        .map_err(|error| FailedAttempt::disconnected(error.to_string()))?;
    let (parts, body) = Response::into_parts(answer);
    let has_no_body = body.is_end_stream();
    let head = decode_answer(parts.status, &parts.headers);
    record_stated_limit(gateway, choice.incarnation(), sent_at, &head);
    record_announcement(gateway, choice.incarnation(), &head);
    let answer = OpenAnswer {
        head,
        headers: parts.headers,
        sent_at,
        body,
        attempt_guard,
        in_flight: Some(in_flight),
        has_no_body,
        is_end_confirmed: false,
        connection,
    };
    check_answer(message, answer)
}

fn connect_failure(error: CallError) -> FailedAttempt {
    FailedAttempt {
        failure: AttemptFailure::NotConnected,
        detail: error.to_string(),
        connection_lost: false,
    }
}

fn build_request(
    message: &CallerMessage,
    facts: &ForwardFacts<'_>,
) -> Result<Request<Full<Bytes>>, FailedAttempt> {
    let target = message.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(message.method.clone())
        .uri(target)
        .body(Full::new(message.body.clone()))
        .map_err(|error| FailedAttempt::broken(error.to_string()))?;
    *request.headers_mut() = encode_forwarded(&message.headers, facts);
    Ok(request)
}

/// Checks that an answer is one, belongs to the request and is signed and unmodified.
fn check_answer(
    message: &CallerMessage,
    mut answer: OpenAnswer,
) -> Result<OpenAnswer, FailedAttempt> {
    let status = answer.head.status.as_u16();
    if !is_final_status(status) {
        return Err(FailedAttempt::broken(format!("status {status} is that of no answer")));
    }
    if answer.head.not_run {
        answer.attempt_guard.record_answer(false);
    }
    let head = &answer.head;
    if head.not_run {
        let detail = format!("the server did not run the request, status {}", head.status.as_u16());
        let failure = match head.from_other_server {
            true => AttemptFailure::Replaced,
            false => AttemptFailure::NotRun,
        };
        return Err(FailedAttempt { failure, detail, connection_lost: false });
    }
    if head.attempt_id.is_some() && head.attempt_id != message.attempt_id {
        return Err(FailedAttempt::broken("the answer belongs to another request"));
    }
    if head.content_encoded {
        return Err(FailedAttempt::broken("the answer has a content encoding"));
    }
    if head.status.is_success() && !head.sealed {
        return Err(FailedAttempt::broken("the answer has no signature"));
    }
    Ok(answer)
}

impl OpenAnswer {
    /// Whether the server reports an error of its own, so that another may succeed.
    pub fn is_server_error(&self) -> bool {
        self.head.status.is_server_error()
    }

    /// Whether the status would tell the caller that the request did not run, although the
    /// server did not state that.
    pub fn implies_not_run(&self) -> bool {
        matches!(
            self.head.status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        )
    }

    /// Records that the server has begun to answer.
    pub fn record_begin(&self) {
        self.attempt_guard.begin_answer();
    }

    /// Whether the answer has a length or comes in chunks, so that its end is known.
    pub fn is_framed(&self) -> bool {
        let framing_headers = [CONTENT_LENGTH, TRANSFER_ENCODING];
        self.has_no_body || framing_headers.iter().any(|name| self.headers.contains_key(name))
    }

    /// Records that the answer was read to its end.
    ///
    /// If its end is that of the connection, the server may have been killed. The answer then
    /// counts as whole only if the server still runs, for which a probe is held for `hold_time`;
    /// fails otherwise.
    pub async fn confirm_end(&mut self, hold_time: Duration) -> Result<(), FailedAttempt> {
        self.in_flight = None;
        if !self.is_framed()
            && !self.is_end_confirmed
            && !self.attempt_guard.is_server_running(hold_time).await
        {
            let detail = "the connection ended, and nothing shows that the server still runs";
            return Err(FailedAttempt::disconnected(detail));
        }
        self.is_end_confirmed = true;
        self.attempt_guard.record_answer(self.head.status.is_success());
        Ok(())
    }

    /// Reads the next bytes of the body; returns `None` at its end.
    pub async fn next_bytes(&mut self) -> Result<Option<Bytes>, FailedAttempt> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => {
                    return Err(FailedAttempt::disconnected(describe_error(&error)));
                }
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.connection.allow(bytes.len());
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Reads the body to its end; fails if it is too large, or if the end is not known to be that
    /// of the body.
    pub async fn read_whole(&mut self, gateway: &Rc<Gateway>) -> Result<Bytes, FailedAttempt> {
        let mut buffered = BufferedBytes::begin(gateway);
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next_bytes().await? {
            body.extend_from_slice(&bytes);
            if body.len() > MAX_ANSWER_BYTES {
                return Err(FailedAttempt::broken("the answer is too large"));
            }
            buffered.set(body.len())?;
        }
        self.confirm_end(PROBE_HOLD_TIME).await?;
        Ok(body.freeze())
    }
}

/// Counts the buffered bytes of one answer towards the bound of all until it is dropped.
pub struct BufferedBytes {
    gateway: Rc<Gateway>,
    bytes: usize,
}

impl BufferedBytes {
    /// Starts the count of an answer at zero.
    pub fn begin(gateway: &Rc<Gateway>) -> BufferedBytes {
        BufferedBytes { gateway: Rc::clone(gateway), bytes: 0 }
    }

    /// Sets the number of bytes that are buffered; fails if all answers together exceed the
    /// bound.
    pub fn set(&mut self, bytes: usize) -> Result<(), FailedAttempt> {
        let total = self.gateway.buffered_bytes.get() - self.bytes + bytes;
        self.gateway.buffered_bytes.set(total);
        self.bytes = bytes;
        if total > MAX_BUFFERED_BYTES {
            return Err(FailedAttempt::broken("too many bytes of answers are buffered"));
        }
        Ok(())
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.gateway.buffered_bytes.set(self.gateway.buffered_bytes.get() - self.bytes);
    }
}

/// Waits for `work` for at most `timeout`, if there is one.
pub async fn with_timeout<T>(
    timeout: Option<Duration>,
    work: impl Future<Output = Result<T, FailedAttempt>>,
) -> Result<T, FailedAttempt> {
    let Some(timeout) = timeout else {
        return work.await;
    };
    match tokio::time::timeout(timeout, work).await {
        Ok(result) => result,
        Err(_) => Err(FailedAttempt::broken(format!("no answer in {} ms", timeout.as_millis()))),
    }
}

/// Waits for `work`, but fails when its server sends no events while other servers of the
/// service do, is so slow that it delays their events, or belongs to a lost unit while another one
/// can take the stream.
pub async fn fail_if_degraded<T>(
    gateway: &Gateway,
    stream: &WatchedStream,
    work: impl Future<Output = Result<T, FailedAttempt>>,
) -> Result<T, FailedAttempt> {
    let WatchedStream { service, server, address, .. } = stream;
    let since = gateway.now();
    let degraded = async {
        loop {
            tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
            let now = gateway.now();
            if delays_other_servers(gateway, service, server, now) {
                return "the server is slow and delays its group";
            }
            let active = is_unit_active(gateway, service, *address, now, ACTIVE_WINDOW);
            if gateway.silence_detector.borrow().is_silent(now, server, since, active) {
                return "the server is silent while others send events";
            }
        }
    };
    tokio::select! {
        biased;
        result = work => result,
        reason = degraded => Err(FailedAttempt::broken(reason)),
        () = wait_for_move(gateway, stream) =>
            Err(FailedAttempt::broken("the group of the server is lost, and another one has room")),
    }
}

/// Returns whether a server is so slow that its streams delay those of its whole group.
fn delays_other_servers(gateway: &Gateway, service: &str, server: &str, now: Duration) -> bool {
    let Some((slowdown, streams)) = gateway.balance.borrow().slow_server(now, server) else {
        return false;
    };
    let Some(table) = gateway.routing_table() else {
        return false;
    };
    let model = table.service(service).and_then(|spec| spec.engine.as_ref());
    let target = table.shortest_event_gap(service);
    model.zip(target).is_some_and(|(model, target)| delays_group(model, slowdown, streams, target))
}
