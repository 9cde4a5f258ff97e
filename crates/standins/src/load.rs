//! Load generator: sends requests over HTTP, checks each answer and measures its times.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;

use crate::booking::expected_confirmation;
use crate::engine::event_text;
use crate::unix_micros;

/// Timeout for a whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Request to send.
#[derive(Debug, Clone)]
pub struct LoadCall {
    /// Class of the request.
    pub class: String,
    /// Organisation that sends it.
    pub organisation: String,
    /// JSON body: a prompt with a number of tokens, or a booking.
    pub body: Bytes,
    /// Number of events that the answer must have; `None` for a booking.
    pub tokens: Option<u64>,
    /// Names and values of headers besides those of the class and the organisation.
    pub headers: Vec<(String, String)>,
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The answer was complete and correct.
    Answered,
    /// The request was refused with the statement that it did not run.
    RefusedNotRun,
    /// The request was refused with the statement that its outcome is unknown.
    RefusedUnknown,
    /// The answer does not belong to the request or is malformed.
    Wrong,
    /// The connection or the answer was cut, or timed out.
    Cut,
}

/// Outcome and times of a request.
#[derive(Debug, Clone)]
pub struct CallReport {
    /// Outcome, with the answer checked against the request.
    pub outcome: CallOutcome,
    /// HTTP status; 0 if there was none.
    pub status: u16,
    /// Time from sending the request to the first bytes of the answer's body.
    pub time_to_first_byte: Duration,
    /// Time from sending the request to the end of the answer.
    pub total_time: Duration,
    /// Time to the first bytes without the time that the stand-in server took itself;
    /// `None` if the stand-in did not state its times.
    pub overhead: Option<Duration>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// Longest time between two parts of the body.
    pub longest_gap: Duration,
    /// Request id that the entry assigned, for the timeline.
    pub request_id: String,
    /// Kind of a refusal, or where a wrong answer differs from the expected one.
    pub detail: String,
}

impl LoadCall {
    /// Returns a prompt whose answer has `tokens` events.
    pub fn prompt(class: &str, organisation: &str, prompt: &str, tokens: u64) -> LoadCall {
        let body = json!({"prompt": prompt, "tokens": tokens}).to_string();
        LoadCall {
            class: class.to_string(),
            organisation: organisation.to_string(),
            body: Bytes::from(body),
            tokens: Some(tokens),
            headers: Vec::new(),
        }
    }

    /// Returns a booking; `booking` is its unique name.
    pub fn booking(class: &str, organisation: &str, booking: &str) -> LoadCall {
        LoadCall {
            class: class.to_string(),
            organisation: organisation.to_string(),
            body: Bytes::from(json!({"booking": booking}).to_string()),
            tokens: None,
            headers: Vec::new(),
        }
    }
}

impl LoadCall {
    /// Returns the name of a booking; `None` for a prompt.
    pub fn booking_name(&self) -> Option<&str> {
        if self.tokens.is_some() {
            return None;
        }
        std::str::from_utf8(&self.body).ok()?.split('"').nth(3)
    }
}

/// Sends a request to `address`, reads the answer to its end and checks it.
pub async fn send_call(address: SocketAddr, call: &LoadCall) -> CallReport {
    let started = Instant::now();
    let mut report = CallReport {
        outcome: CallOutcome::Cut,
        status: 0,
        time_to_first_byte: Duration::ZERO,
        total_time: Duration::ZERO,
        overhead: None,
        sent_at: started,
        longest_gap: Duration::ZERO,
        request_id: String::new(),
        detail: String::new(),
    };
    let exchange = exchange_request(address, call, &mut report);
    let outcome = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
    report.outcome = outcome.ok().flatten().unwrap_or(CallOutcome::Cut);
    report.total_time = report.sent_at.elapsed();
    report
}

/// Sends the request on a connection of its own; `None` if the connection or answer is cut.
async fn exchange_request(
    address: SocketAddr,
    call: &LoadCall,
    report: &mut CallReport,
) -> Option<CallOutcome> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let mut builder = Request::post("/v1/work")
        .header("host", address.to_string())
        .header("cuminpick-class", &call.class)
        .header("cuminpick-organisation", &call.organisation);
    for (name, value) in &call.headers {
        builder = builder.header(name, value);
    }
    let request = builder.body(Full::new(call.body.clone())).ok()?;
    report.sent_at = Instant::now();
    let sent_us = unix_micros();
    let response = sender.send_request(request).await.ok()?;
    let outcome = read_answer(response, call, report, sent_us).await;
    driver.abort();
    outcome
}

/// Reads and checks the answer, and fills `report`.
async fn read_answer(
    response: hyper::Response<Incoming>,
    call: &LoadCall,
    report: &mut CallReport,
    sent_us: u64,
) -> Option<CallOutcome> {
    report.status = response.status().as_u16();
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_string());
    report.request_id = header("cuminpick-request-id").unwrap_or_default();
    let received_us = header("standin-received-us").and_then(|text| text.parse::<u64>().ok());
    let answered_us = header("standin-answered-us").and_then(|text| text.parse::<u64>().ok());
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut last_frame_at: Option<Instant> = None;
    let mut emitted_us = answered_us;
    let mut first_byte_us = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        let now = Instant::now();
        match last_frame_at {
            None => {
                report.time_to_first_byte = report.sent_at.elapsed();
                first_byte_us = unix_micros();
                emitted_us = emitted_us.or_else(|| emission_time(&data));
            }
            Some(previous) => report.longest_gap = report.longest_gap.max(now - previous),
        }
        last_frame_at = Some(now);
        bytes.extend_from_slice(&data);
    }
    if let (Some(received), Some(emitted)) = (received_us, emitted_us) {
        let overhead = received.saturating_sub(sent_us) + first_byte_us.saturating_sub(emitted);
        report.overhead = Some(Duration::from_micros(overhead));
    }
    if report.status != 200 {
        return classify_refusal(&bytes, report);
    }
    if is_complete_answer(call, &bytes) {
        return Some(CallOutcome::Answered);
    }
    report.detail = describe_difference(call, &bytes);
    Some(CallOutcome::Wrong)
}

/// Describes where an answer differs from the expected one.
fn describe_difference(call: &LoadCall, bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let events: Vec<&str> = text.lines().filter(|line| line.starts_with("data: ")).collect();
    let difference = events.iter().enumerate().find(|(index, event)| {
        let expected = event_text(&call.body, *index as u64);
        !expected.starts_with(event.as_bytes())
    });
    let expected_count = call.tokens.unwrap_or(0);
    format!("{} of {expected_count} events, first difference {difference:?}", events.len())
}

/// Returns whether a refusal states that the request did not run or that this is unknown.
fn classify_refusal(bytes: &[u8], report: &mut CallReport) -> Option<CallOutcome> {
    let problem: Value = serde_json::from_slice(bytes).ok()?;
    report.detail = problem["kind"].as_str().unwrap_or_default().to_string();
    match problem["ran"].as_str() {
        Some("no") => Some(CallOutcome::RefusedNotRun),
        Some("unknown") => Some(CallOutcome::RefusedUnknown),
        _ => Some(CallOutcome::Wrong),
    }
}

/// Returns the emission time from an event's comment line, in Unix microseconds.
fn emission_time(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let (_, after) = text.split_once(": at=")?;
    after.split_whitespace().next()?.parse().ok()
}

/// Returns whether `bytes` are the complete and correct answer to `call`.
fn is_complete_answer(call: &LoadCall, bytes: &[u8]) -> bool {
    let Some(tokens) = call.tokens else {
        let answer: Value = serde_json::from_slice(bytes).unwrap_or_default();
        return answer["confirmation"].as_str() == Some(&expected_confirmation(&call.body));
    };
    let Ok(text) = std::str::from_utf8(bytes) else {
        return false;
    };
    let mut events = text.lines().filter(|line| line.starts_with("data: "));
    for index in 0..tokens {
        let expected = event_text(&call.body, index);
        let expected = std::str::from_utf8(&expected).ok().and_then(|text| text.lines().next());
        if events.next() != expected {
            return false;
        }
    }
    events.next().is_none()
}
