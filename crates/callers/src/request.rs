//! Reads a caller's request, with limits on size, time and memory, and validates its headers.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use cuminpick::config::is_valid_name;
use cuminpick::refusal::Refusal;
use cuminpick::refusal::RefusalKind;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;

/// Header with the class of work; required.
pub const CLASS_HEADER: &str = "cuminpick-class";
/// Header with the organisation; required.
pub const ORGANISATION_HEADER: &str = "cuminpick-organisation";
/// Header with the time until the caller's deadline, in ms; optional, must not be 0.
pub const DEADLINE_HEADER: &str = "cuminpick-deadline-ms";
/// Header with the request's id, set on every answer.
pub const REQUEST_ID_HEADER: &str = "cuminpick-request-id";
/// Prefix of the paths that are forwarded to backend servers.
const PATH_PREFIX: &str = "/v1/";
/// Retry-After of a refusal when the bodies being read exceed their budget.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Request that was read completely.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Path and query, as in the request line.
    pub path: String,
    /// Names and values of all headers, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body; empty without one.
    pub body: Bytes,
    /// Class of work that the caller named.
    pub class: String,
    /// Organisation that the caller named.
    pub organisation: String,
    /// Time left until the caller's deadline; `None` without one.
    pub time_left: Option<Duration>,
}

/// Limit on the bytes of all request bodies that are being read.
#[derive(Debug)]
pub struct BodyBudget {
    reserved: AtomicUsize,
    capacity: usize,
}

/// Bytes reserved from a [`BodyBudget`] for one body; released on drop.
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> BodyBudget {
        BodyBudget { reserved: AtomicUsize::new(0), capacity }
    }
}

impl BodyReservation {
    fn new(budget: &Arc<BodyBudget>) -> BodyReservation {
        BodyReservation { budget: Arc::clone(budget), bytes: 0 }
    }

    /// Reserves further bytes; returns whether the budget is kept. If it is not, the bytes
    /// still count until the reservation is dropped.
    fn grow(&mut self, bytes: usize) -> bool {
        let reserved_before = self.budget.reserved.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        reserved_before + bytes <= self.budget.capacity
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads and validates a request, or returns the refusal for it.
///
/// The body has at most `max_body_bytes`, must arrive within `read_timeout` and is counted in
/// `budget` while it is read.
pub async fn read_request(
    request: Request<Incoming>,
    max_body_bytes: usize,
    read_timeout: Duration,
    budget: &Arc<BodyBudget>,
) -> Result<CallerRequest, Refusal> {
    let (parts, body) = request.into_parts();
    if parts.method != Method::POST || !parts.uri.path().starts_with(PATH_PREFIX) {
        return Err(malformed());
    }
    let class = parse_name_header(&parts.headers, CLASS_HEADER)?;
    let organisation = parse_name_header(&parts.headers, ORGANISATION_HEADER)?;
    let time_left = parse_deadline_header(&parts.headers)?;
    let declared_length = parse_content_length(&parts.headers);
    if declared_length.is_some_and(|length| length > max_body_bytes) {
        return Err(too_large());
    }
    let mut reservation = BodyReservation::new(budget);
    let body_read = read_body(body, max_body_bytes, &mut reservation);
    let body = match tokio::time::timeout(read_timeout, body_read).await {
        Ok(body) => body?,
        Err(_) => return Err(Refusal::not_run(RefusalKind::TooSlow, None)),
    };
    let path = parts.uri.path_and_query().map_or_else(String::new, |path| path.to_string());
    let headers = parts
        .headers
        .iter()
        .map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
        .collect();
    Ok(CallerRequest { path, headers, body, class, organisation, time_left })
}

async fn read_body(
    mut body: Incoming,
    max_body_bytes: usize,
    reservation: &mut BodyReservation,
) -> Result<Bytes, Refusal> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| malformed())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > max_body_bytes {
            return Err(too_large());
        }
        if !reservation.grow(data.len()) {
            return Err(Refusal::not_run(RefusalKind::TooManyOpen, Some(BUSY_RETRY_AFTER)));
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

fn parse_name_header(headers: &HeaderMap, name: &str) -> Result<String, Refusal> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().and_then(|value| value.to_str().ok());
    match value {
        Some(text) if is_valid_name(text) && values.next().is_none() => Ok(text.to_string()),
        _ => Err(malformed()),
    }
}

fn parse_deadline_header(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match millis {
        Some(millis) if millis > 0 => Ok(Some(Duration::from_millis(millis))),
        _ => Err(malformed()),
    }
}

fn parse_content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn malformed() -> Refusal {
    Refusal::not_run(RefusalKind::Malformed, None)
}

fn too_large() -> Refusal {
    Refusal::not_run(RefusalKind::TooLarge, None)
}
