//! Backend servers as a peer: model engines and plain services over HTTP.
//!
//! [`BackendServer`] is the interface; [`HttpBackend`] speaks HTTP/1.1 with a
//! blocking client, one thread to an answer that is being read.

pub mod events;

use std::io::Read;
use std::time::Duration;

use serde::Deserialize;
use ureq::Agent;
use ureq::BodyReader;

use crate::events::EventReader;

/// Time to open a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);
/// Connections that are kept open while idle.
const IDLE_CONNECTIONS: usize = 64;
/// Age at which an idle connection is closed.
const IDLE_AGE: Duration = Duration::from_secs(5);
/// Bytes of each connection's buffers.
const BUFFER_BYTES: usize = 8 * 1024;
/// Bytes of a whole answer that are read at a time.
const READ_CHUNK: usize = 8 * 1024;
/// Headers that concern one connection and are not passed on.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "host",
];

/// A call to a backend server that failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BackendError {
    /// No connection could be opened: no byte was sent.
    #[error(
        "no connection to the backend server ({0}); check that it runs at the agent's `backend` URL"
    )]
    Unreachable(String),
    /// The call failed after bytes may have been sent.
    #[error("the backend server broke off ({0}); see its own log")]
    Broken(String),
}

/// One HTTP header.
pub type HeaderPair = (String, Vec<u8>);

/// A request for a backend server.
#[derive(Debug, Clone)]
pub struct BackendRequest {
    /// Path and query.
    pub path: String,
    /// Headers of the caller and of the system.
    pub headers: Vec<HeaderPair>,
    /// Body.
    pub body: Vec<u8>,
    /// Whether to open a connection for this call alone: a kept one may have
    /// been closed meanwhile, and the failure would not tell whether it ran.
    pub fresh_connection: bool,
}

/// Start of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<HeaderPair>,
    /// Whether the body is a stream of events.
    pub streaming: bool,
}

/// Body of an answer, piece by piece.
pub trait AnswerReader: Send {
    /// Returns the next event of a stream or piece of a whole answer; `None` at
    /// the end. An answer that is cut short is an error.
    fn next_piece(&mut self) -> Result<Option<Vec<u8>>, BackendError>;
}

/// Health as the backend server tells it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct HealthReport {
    /// New for every start of the backend server.
    pub boot: String,
}

/// A backend server beside this process.
pub trait BackendServer: Send + Sync {
    /// Sends a request and reads the start of its answer.
    fn call(
        &self,
        request: &BackendRequest,
    ) -> Result<(AnswerHead, Box<dyn AnswerReader>), BackendError>;

    /// Asks for the health.
    fn health(&self) -> Result<HealthReport, BackendError>;
}

/// Backend server over HTTP/1.1.
pub struct HttpBackend {
    base: String,
    pooled: Agent,
    single: Agent,
}

impl HttpBackend {
    /// Speaks to the backend server at `base`; `idle` bounds silence within a call.
    pub fn new(base: &str, idle: Duration) -> HttpBackend {
        HttpBackend {
            base: base.to_string(),
            pooled: http_agent(idle, IDLE_CONNECTIONS),
            single: http_agent(idle, 0),
        }
    }
}

fn http_agent(idle: Duration, kept: usize) -> Agent {
    Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_recv_response(Some(idle))
        .http_status_as_error(false)
        .max_idle_connections(kept)
        .max_idle_connections_per_host(kept)
        .max_idle_age(IDLE_AGE)
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
        let agent = if request.fresh_connection { &self.single } else { &self.pooled };
        let mut call = agent.post(format!("{}{}", self.base, request.path));
        if request.fresh_connection {
            call = call.header("connection", "close");
        }
        for (name, value) in request.headers.iter().filter(|(name, _)| passes_on(name)) {
            call = call.header(name.as_str(), value.as_slice());
        }
        let response = call.send(&request.body[..]).map_err(|error| call_error(&error))?;
        let (parts, body) = response.into_parts();
        let headers: Vec<HeaderPair> = parts
            .headers
            .iter()
            .map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
            .filter(|(name, _)| passes_on(name))
            .collect();
        let streaming = headers
            .iter()
            .any(|(name, value)| name == "content-type" && value.starts_with(b"text/event-stream"));
        let head = AnswerHead { status: parts.status.as_u16(), headers, streaming };
        let reader = body.into_reader();
        if streaming {
            return Ok((head, Box::new(EventReader::new(reader))));
        }
        Ok((head, Box::new(WholeReader { reader })))
    }

    fn health(&self) -> Result<HealthReport, BackendError> {
        let request = self.single.get(format!("{}/healthz", self.base));
        let request = request.config().timeout_recv_response(Some(HEALTH_TIMEOUT)).build();
        let mut response = request.call().map_err(|error| call_error(&error))?;
        if response.status() != 200 {
            return Err(BackendError::Broken(format!("health status {}", response.status())));
        }
        let report = response.body_mut().read_json::<HealthReport>();
        report.map_err(|error| BackendError::Broken(error.to_string()))
    }
}

struct WholeReader {
    reader: BodyReader<'static>,
}

impl AnswerReader for WholeReader {
    fn next_piece(&mut self) -> Result<Option<Vec<u8>>, BackendError> {
        let mut piece = vec![0; READ_CHUNK];
        let count = self
            .reader
            .read(&mut piece)
            .map_err(|error| BackendError::Broken(error.to_string()))?;
        piece.truncate(count);
        Ok((count > 0).then_some(piece))
    }
}

fn passes_on(name: &str) -> bool {
    !HOP_HEADERS.iter().any(|hop| hop.eq_ignore_ascii_case(name))
}

/// Only an error before the connection stood proves that nothing was sent.
fn call_error(error: &ureq::Error) -> BackendError {
    let unsent = match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if unsent {
        return BackendError::Unreachable(error.to_string());
    }
    BackendError::Broken(error.to_string())
}
