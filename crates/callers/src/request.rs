//! Reads a caller's request within bounds.

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

/// Header that names the class of work.
pub const CLASS_HEADER: &str = "cuminpick-class";
/// Header that names the organisation.
pub const ORGANISATION_HEADER: &str = "cuminpick-organisation";
/// Header with the caller's deadline, in ms from now.
pub const DEADLINE_HEADER: &str = "cuminpick-deadline-ms";
/// Header with the request's identity, on every answer.
pub const REQUEST_ID_HEADER: &str = "cuminpick-request-id";
/// Path prefix that is passed on to backend servers.
const PATH_PREFIX: &str = "/v1/";
/// When to come back after this process held too much at once.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// A request that was read whole.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Path and query.
    pub path: String,
    /// Headers, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Bytes,
    /// Class of work.
    pub class: String,
    /// Organisation.
    pub organisation: String,
    /// Time that the caller allows.
    pub time_left: Option<Duration>,
}

/// Bytes of bodies that are being read, over all connections.
#[derive(Debug)]
pub struct BodyBudget {
    used: AtomicUsize,
    most: usize,
}

/// Part of a [`BodyBudget`], given back when dropped.
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyBudget {
    /// Makes a budget of `most` bytes.
    pub fn new(most: usize) -> BodyBudget {
        BodyBudget { used: AtomicUsize::new(0), most }
    }
}

impl BodyReservation {
    fn new(budget: &Arc<BodyBudget>) -> BodyReservation {
        BodyReservation { budget: Arc::clone(budget), bytes: 0 }
    }

    fn grow(&mut self, bytes: usize) -> bool {
        let before = self.budget.used.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= self.budget.most
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a request whole, or tells why it is refused.
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
    let class = name_header(&parts.headers, CLASS_HEADER)?;
    let organisation = name_header(&parts.headers, ORGANISATION_HEADER)?;
    let time_left = deadline_header(&parts.headers)?;
    let stated = content_length(&parts.headers);
    if stated.is_some_and(|length| length > max_body_bytes) {
        return Err(too_large());
    }
    let mut share = BodyReservation::new(budget);
    let reading = collect_body(body, max_body_bytes, &mut share);
    let body = match tokio::time::timeout(read_timeout, reading).await {
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

async fn collect_body(
    mut body: Incoming,
    max_body_bytes: usize,
    share: &mut BodyReservation,
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
        if !share.grow(data.len()) {
            return Err(Refusal::not_run(RefusalKind::TooManyOpen, Some(BUSY_RETRY)));
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

fn name_header(headers: &HeaderMap, name: &str) -> Result<String, Refusal> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().and_then(|value| value.to_str().ok());
    match value {
        Some(text) if is_valid_name(text) && values.next().is_none() => Ok(text.to_string()),
        _ => Err(malformed()),
    }
}

fn deadline_header(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match millis {
        Some(millis) if millis > 0 => Ok(Some(Duration::from_millis(millis))),
        _ => Err(malformed()),
    }
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn malformed() -> Refusal {
    Refusal::not_run(RefusalKind::Malformed, None)
}

fn too_large() -> Refusal {
    Refusal::not_run(RefusalKind::TooLarge, None)
}
