//! HTTP client for backend servers: model engines and plain services.
//!
//! [`BackendServer`] is the interface; [`HttpBackend`] implements it over HTTP/1.1
//! with a blocking client, so an answer occupies a thread while it is read.

pub mod events;

use std::io::Read;
use std::time::Duration;

use cuminpick::answer::is_final_status;
use serde::Deserialize;
use ureq::Agent;
use ureq::BodyReader;

use crate::events::EventReader;

/// Timeout for opening a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the reply to a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of idle connections that stay open.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Age at which an idle connection is closed.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);
/// Size of each of a connection's buffers, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;
/// Number of bytes that a read of an answer without events requests.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Hop-by-hop headers, which concern one connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "host",
];

/// Failure of a call to a backend server.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BackendError {
    /// No connection could be opened, so nothing was sent.
    #[error(
        "no connection to the backend server ({0}); check that it runs at the agent's `backend` URL"
    )]
    Unreachable(String),
    /// The call failed when bytes may have been sent, so the request may have run.
    #[error("the backend server broke off ({0}); see its own log")]
    Interrupted(String),
}

/// Name and value of an HTTP header.
pub type HeaderPair = (String, Vec<u8>);

/// A request for a backend server.
#[derive(Debug, Clone)]
pub struct BackendRequest {
    /// Path and query.
    pub path: String,
    /// Headers from the caller and from the agent.
    pub headers: Vec<HeaderPair>,
    /// Request body.
    pub body: Vec<u8>,
    /// Whether to open a connection for this call alone. The server may have closed a pooled
    /// connection, and that failure does not tell whether the request ran.
    pub fresh_connection: bool,
}

/// Status and headers of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status code.
    pub status: u16,
    /// Headers to forward.
    pub headers: Vec<HeaderPair>,
    /// Whether the body is a stream of server-sent events.
    pub streaming: bool,
}

/// Reader of an answer's body, chunk by chunk.
pub trait AnswerReader: Send {
    /// Returns the next event of a stream, or the next bytes of another body; `None` at the end.
    ///
    /// A truncated answer is an error.
    fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, BackendError>;
}

/// Reply of a backend server to a health check.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct HealthReport {
    /// Boot identifier; differs for every start of the backend server.
    pub boot: String,
}

/// Client of the backend server beside this process.
pub trait BackendServer: Send + Sync {
    /// Sends a request; returns the head of the answer and a reader of its body.
    fn call(
        &self,
        request: &BackendRequest,
    ) -> Result<(AnswerHead, Box<dyn AnswerReader>), BackendError>;

    /// Checks the backend server's health.
    fn health(&self) -> Result<HealthReport, BackendError>;
}

/// Client of a backend server over HTTP/1.1.
pub struct HttpBackend {
    base_url: String,
    pooled: Agent,
    unpooled: Agent,
}

impl HttpBackend {
    /// Creates a client of the server at `base_url`; `idle_timeout` bounds the server's
    /// silence within a call.
    pub fn new(base_url: &str, idle_timeout: Duration) -> HttpBackend {
        HttpBackend {
            base_url: base_url.to_string(),
            pooled: build_http_agent(idle_timeout, MAX_IDLE_CONNECTIONS),
            unpooled: build_http_agent(idle_timeout, 0),
        }
    }
}

fn build_http_agent(idle_timeout: Duration, max_idle: usize) -> Agent {
    Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_recv_response(Some(idle_timeout))
        .http_status_as_error(false)
        .max_idle_connections(max_idle)
        .max_idle_connections_per_host(max_idle)
        .max_idle_age(MAX_IDLE_AGE)
        .max_redirects(0)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .build()
        .into()
}

impl BackendServer for HttpBackend {
    fn call(
        &self,
        request: &BackendRequest,
    ) -> Result<(AnswerHead, Box<dyn AnswerReader>), BackendError> {
        let agent = if request.fresh_connection { &self.unpooled } else { &self.pooled };
        let mut call = agent.post(format!("{}{}", self.base_url, request.path));
        if request.fresh_connection {
            call = call.header("connection", "close");
        }
        for (name, value) in request.headers.iter().filter(|(name, _)| is_end_to_end(name)) {
            call = call.header(name.as_str(), value.as_slice());
        }
        let response = call.send(&request.body[..]).map_err(|error| classify_error(&error))?;
        let (parts, body) = response.into_parts();
        if !is_final_status(parts.status.as_u16()) {
            let detail = format!("status {} is that of no answer", parts.status.as_u16());
            return Err(BackendError::Interrupted(detail));
        }
        let headers: Vec<HeaderPair> = parts
            .headers
            .iter()
            .map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
            .filter(|(name, _)| is_end_to_end(name))
            .collect();
        let streaming = headers
            .iter()
            .any(|(name, value)| name == "content-type" && value.starts_with(b"text/event-stream"));
        let head = AnswerHead { status: parts.status.as_u16(), headers, streaming };
        let reader = body.into_reader();
        if streaming {
            return Ok((head, Box::new(EventReader::new(reader))));
        }
        Ok((head, Box::new(PlainReader { reader })))
    }

    fn health(&self) -> Result<HealthReport, BackendError> {
        let request = self.unpooled.get(format!("{}/healthz", self.base_url));
        let request = request.config().timeout_recv_response(Some(HEALTH_TIMEOUT)).build();
        let mut response = request.call().map_err(|error| classify_error(&error))?;
        if response.status() != 200 {
            return Err(BackendError::Interrupted(format!("health status {}", response.status())));
        }
        let report = response.body_mut().read_json::<HealthReport>();
        report.map_err(|error| BackendError::Interrupted(error.to_string()))
    }
}

/// Reader of a body that is not a stream of events.
struct PlainReader {
    reader: BodyReader<'static>,
}

impl AnswerReader for PlainReader {
    fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, BackendError> {
        let mut chunk = vec![0; READ_CHUNK_BYTES];
        let count = self
            .reader
            .read(&mut chunk)
            .map_err(|error| BackendError::Interrupted(error.to_string()))?;
        chunk.truncate(count);
        Ok((count > 0).then_some(chunk))
    }
}

/// Returns whether a header is forwarded.
fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.iter().any(|hop| hop.eq_ignore_ascii_case(name))
}

/// Classifies an error; only a failure to connect proves that nothing was sent.
fn classify_error(error: &ureq::Error) -> BackendError {
    let nothing_sent = match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if nothing_sent {
        return BackendError::Unreachable(error.to_string());
    }
    BackendError::Interrupted(error.to_string())
}
