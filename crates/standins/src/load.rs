//! Callers: requests over HTTP, each answer checked and timed.

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

use crate::booking::confirmation_of;
use crate::engine::event_text;
use crate::wall_micros;

/// Longest time for an answer to end.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// A request to send.
#[derive(Debug, Clone)]
pub struct LoadCall {
    /// Class of work.
    pub class: String,
    /// Organisation.
    pub organisation: String,
    /// Body.
    pub body: Bytes,
    /// Events that the answer must have; `None` for a booking.
    pub tokens: Option<u64>,
    /// Further headers.
    pub headers: Vec<(String, String)>,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole right answer.
    Answered,
    /// A refusal that says that the request did not run.
    RefusedNotRun,
    /// A refusal that says that the outcome is unknown.
    RefusedUnknown,
    /// An answer that is not the request's.
    Wrong,
    /// A connection or answer that was cut.
    Cut,
}

/// A request's outcome and times.
#[derive(Debug, Clone)]
pub struct CallReport {
    /// Outcome.
    pub outcome: CallOutcome,
    /// HTTP status, 0 without one.
    pub status: u16,
    /// From sending to the first piece of the answer's body.
    pub first: Duration,
    /// From sending to the end of the answer.
    pub total: Duration,
    /// Time to the first piece that the stand-in did not take itself.
    pub overhead: Option<Duration>,
    /// When the request was sent.
    pub sent: Instant,
    /// Time between events, the largest.
    pub worst_gap: Duration,
    /// Identity that the entry gave, for the time line.
    pub request_id: String,
    /// Kind of a refusal.
    pub kind: String,
}

impl LoadCall {
    /// A prompt whose answer has `tokens` events.
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

    /// A booking with a name of its own.
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
    /// Name of a booking; `None` for a prompt.
    pub fn booking_name(&self) -> Option<&str> {
        if self.tokens.is_some() {
            return None;
        }
        std::str::from_utf8(&self.body).ok()?.split('"').nth(3)
    }
}

/// Sends a request to `address` and reads its answer to the end.
pub async fn send_call(address: SocketAddr, call: &LoadCall) -> CallReport {
    let started = Instant::now();
    let mut report = CallReport {
        outcome: CallOutcome::Cut,
        status: 0,
        first: Duration::ZERO,
        total: Duration::ZERO,
        overhead: None,
        sent: started,
        worst_gap: Duration::ZERO,
        request_id: String::new(),
        kind: String::new(),
    };
    let exchange = exchange(address, call, &mut report);
    let outcome = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
    report.outcome = outcome.ok().flatten().unwrap_or(CallOutcome::Cut);
    report.total = report.sent.elapsed();
    report
}

async fn exchange(
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
    report.sent = Instant::now();
    let sent_us = wall_micros();
    let response = sender.send_request(request).await.ok()?;
    let outcome = read_answer(response, call, report, sent_us).await;
    driver.abort();
    outcome
}

async fn read_answer(
    response: hyper::Response<Incoming>,
    call: &LoadCall,
    report: &mut CallReport,
    sent_us: u64,
) -> Option<CallOutcome> {
    report.status = response.status().as_u16();
    let text = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_string());
    report.request_id = text("cuminpick-request-id").unwrap_or_default();
    let received_us = text("standin-received-us").and_then(|text| text.parse::<u64>().ok());
    let answered_us = text("standin-answered-us").and_then(|text| text.parse::<u64>().ok());
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut last: Option<Instant> = None;
    let mut emitted_us = answered_us;
    let mut first_us = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        let now = Instant::now();
        match last {
            None => {
                report.first = report.sent.elapsed();
                first_us = wall_micros();
                emitted_us = emitted_us.or_else(|| emission_of(&data));
            }
            Some(last) => report.worst_gap = report.worst_gap.max(now - last),
        }
        last = Some(now);
        bytes.extend_from_slice(&data);
    }
    if let (Some(received), Some(emitted)) = (received_us, emitted_us) {
        let overhead = received.saturating_sub(sent_us) + first_us.saturating_sub(emitted);
        report.overhead = Some(Duration::from_micros(overhead));
    }
    if report.status != 200 {
        return refusal_outcome(&bytes, report);
    }
    if right_answer(call, &bytes) {
        return Some(CallOutcome::Answered);
    }
    report.kind = first_difference(call, &bytes);
    Some(CallOutcome::Wrong)
}

/// Describes where an answer departs from the right one.
fn first_difference(call: &LoadCall, bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let events: Vec<&str> = text.lines().filter(|line| line.starts_with("data: ")).collect();
    let differs = events.iter().enumerate().find(|(index, event)| {
        let expected = event_text(&call.body, *index as u64);
        !expected.starts_with(event.as_bytes())
    });
    let wanted = call.tokens.unwrap_or(0);
    format!("{} of {wanted} events, first difference {differs:?}", events.len())
}

fn refusal_outcome(bytes: &[u8], report: &mut CallReport) -> Option<CallOutcome> {
    let problem: Value = serde_json::from_slice(bytes).ok()?;
    report.kind = problem["kind"].as_str().unwrap_or_default().to_string();
    match problem["ran"].as_str() {
        Some("no") => Some(CallOutcome::RefusedNotRun),
        Some("unknown") => Some(CallOutcome::RefusedUnknown),
        _ => Some(CallOutcome::Wrong),
    }
}

/// Time of emission that an event's comment line tells.
fn emission_of(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let (_, after) = text.split_once(": at=")?;
    after.split_whitespace().next()?.parse().ok()
}

/// Whether `bytes` are the whole answer to `call`.
fn right_answer(call: &LoadCall, bytes: &[u8]) -> bool {
    let Some(tokens) = call.tokens else {
        let answer: Value = serde_json::from_slice(bytes).unwrap_or_default();
        return answer["confirmation"].as_str() == Some(&confirmation_of(&call.body));
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
