//! The platform's HTTP protocol.
//!
//! - `GET /v1/objects/KEY`: `{"key","version","value"}`, or 404.
//! - `PUT /v1/objects/KEY` with `If-None-Match: *` or `If-Match: VERSION` and the
//!   value as body: `{"version"}`, or 412 with the present version.
//! - `DELETE /v1/objects/KEY` with `If-Match`: likewise.
//! - `GET /v1/changes?prefix=P&after=V&wait_ms=N`: `{"revision","objects"}`.
//! - `GET /v1/vms`: a list of VMs.
//!
//! 429 and 503 with `Retry-After` (seconds) mean that the call did not run.

use std::io;
use std::time::Duration;

use cuminpick::ids::ObjectVersion;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use crate::ObjectChanges;
use crate::ObjectStore;
use crate::PlatformError;
use crate::StoredObject;
use crate::VmEntry;
use crate::WriteCondition;

/// Time to open a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a call's answer beyond the wait that it asks for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a rate limit that states none.
const DEFAULT_PAUSE: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct VersionAnswer {
    version: ObjectVersion,
}

/// Object API over HTTP.
pub struct HttpStore {
    base: String,
    agent: Agent,
}

impl HttpStore {
    /// Speaks to the object API at `base`, such as `http://10.0.0.9:7000`.
    pub fn new(base: &str) -> HttpStore {
        let config = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .build();
        HttpStore { base: base.to_string(), agent: config.into() }
    }

    fn object_url(&self, key: &str) -> String {
        format!("{}/v1/objects/{key}", self.base)
    }

    fn read<T: DeserializeOwned>(
        &self,
        url: &str,
        wait: Duration,
    ) -> Result<Option<T>, PlatformError> {
        let request = self.agent.get(url);
        let request = request.config().timeout_global(Some(wait + ANSWER_TIMEOUT)).build();
        let mut response =
            request.call().map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        match response.status().as_u16() {
            200 => read_json(&mut response).map(Some),
            404 => Ok(None),
            status => Err(refused(status, &response)),
        }
    }

    fn written(
        &self,
        result: Result<Response<Body>, ureq::Error>,
    ) -> Result<ObjectVersion, PlatformError> {
        let mut response = result.map_err(|error| write_error(&error))?;
        match response.status().as_u16() {
            200 => {
                let answer: Result<VersionAnswer, PlatformError> = read_json(&mut response);
                let lost = |error: PlatformError| PlatformError::Ambiguous(error.to_string());
                Ok(answer.map_err(lost)?.version)
            }
            412 => {
                let answer: VersionAnswer = read_json(&mut response)?;
                Err(PlatformError::Conflict(answer.version))
            }
            500 | 502 | 504 => Err(PlatformError::Ambiguous(response.status().to_string())),
            status => Err(refused(status, &response)),
        }
    }
}

impl ObjectStore for HttpStore {
    fn get(&self, key: &str) -> Result<Option<StoredObject>, PlatformError> {
        let object: Option<StoredObject> = self.read(&self.object_url(key), Duration::ZERO)?;
        Ok(object.filter(|object| object.value.is_some()))
    }

    fn changes(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<ObjectChanges, PlatformError> {
        let wait_ms = wait.as_millis();
        let url =
            format!("{}/v1/changes?prefix={prefix}&after={after}&wait_ms={wait_ms}", self.base);
        let changes = self.read(&url, wait)?;
        changes.ok_or_else(|| PlatformError::Unreadable("no list of changes".to_string()))
    }

    fn put(
        &self,
        key: &str,
        value: &str,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, PlatformError> {
        let request = self.agent.put(self.object_url(key));
        let request = match condition {
            WriteCondition::Absent => request.header("If-None-Match", "*"),
            WriteCondition::Version(version) => request.header("If-Match", version.to_string()),
        };
        let request = request.config().timeout_global(Some(ANSWER_TIMEOUT)).build();
        self.written(request.send(value))
    }

    fn delete(&self, key: &str, version: ObjectVersion) -> Result<ObjectVersion, PlatformError> {
        let request = self.agent.delete(self.object_url(key));
        let request = request.header("If-Match", version.to_string());
        let request = request.config().timeout_global(Some(ANSWER_TIMEOUT)).build();
        self.written(request.call())
    }

    fn vms(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let vms = self.read(&format!("{}/v1/vms", self.base), Duration::ZERO)?;
        vms.ok_or_else(|| PlatformError::Unreadable("no list of VMs".to_string()))
    }
}

fn read_json<T: DeserializeOwned>(response: &mut Response<Body>) -> Result<T, PlatformError> {
    let parsed = response.body_mut().read_json::<T>();
    parsed.map_err(|error| PlatformError::Unreadable(error.to_string()))
}

fn refused(status: u16, response: &Response<Body>) -> PlatformError {
    match status {
        429 => PlatformError::RateLimited(retry_after(response)),
        503 => PlatformError::Unreachable("out of service".to_string()),
        _ => PlatformError::Unreadable(format!("HTTP status {status}")),
    }
}

fn retry_after(response: &Response<Body>) -> Duration {
    let header = response.headers().get("Retry-After").and_then(|value| value.to_str().ok());
    let seconds = header.and_then(|text| text.parse().ok());
    seconds.map_or(DEFAULT_PAUSE, Duration::from_secs)
}

/// Only an error before the connection stood proves that a write did not run.
fn write_error(error: &ureq::Error) -> PlatformError {
    let unsent = match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(io) => io.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if unsent {
        return PlatformError::Unreachable(error.to_string());
    }
    PlatformError::Ambiguous(error.to_string())
}
