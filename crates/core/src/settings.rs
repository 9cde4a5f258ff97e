//! Settings files of the daemons, in TOML.
//!
//! Unknown keys are errors. An error names the file, a remedy and, for invalid content, the line.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::config::is_valid_name;

/// Reason why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read settings '{file}': {source}; give the path of a TOML file")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or has a missing, unknown or invalid setting.
    #[error("settings '{file}', line {line}: {detail}; see docs/OPERATORS.md for the keys")]
    Invalid {
        /// Path of the file.
        file: String,
        /// Number of the line, from 1.
        line: usize,
        /// Description of the error.
        detail: String,
    },
}

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Id of the entry; unique in the fleet.
    pub id: String,
    /// Availability zone that the entry runs in.
    pub zone: String,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for other processes of the system.
    pub peers: SocketAddr,
    /// Listening address for health, metrics and status.
    pub admin: SocketAddr,
    /// Base URL of the platform's object API.
    pub platform: String,
    /// Largest request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Highest number of open connections of callers.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Highest number of queued requests for one service.
    #[serde(default = "default_queue_capacity")]
    pub queue_capacity: usize,
    /// Timeout for reading a request from a caller, in ms.
    #[serde(default = "default_request_read_ms")]
    pub request_read_ms: u64,
    /// Time for which a leaving entry keeps its port for callers open, in ms.
    #[serde(default = "default_drain_linger_ms")]
    pub drain_linger_ms: u64,
    /// Highest number of open connections to agents.
    #[serde(default = "default_max_agent_connections")]
    pub max_agent_connections: usize,
    /// Path of a trace file for `cuminpick replay`; no trace is written without it.
    #[serde(default)]
    pub trace: Option<String>,
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Id of the backend server; unique in the fleet.
    pub id: String,
    /// Availability zone that the backend server runs in.
    pub zone: String,
    /// Service that the backend server offers.
    pub service: String,
    /// Base URL of the backend server.
    pub backend: String,
    /// Listening address for entries.
    pub peers: SocketAddr,
    /// Listening address for health, metrics and status.
    pub admin: SocketAddr,
    /// Base URL of the platform's object API.
    pub platform: String,
    /// Concurrency limit of a cold backend server.
    #[serde(default = "default_cold_floor")]
    pub cold_floor: u32,
    /// Highest concurrency limit.
    #[serde(default = "default_ceiling")]
    pub ceiling: u32,
    /// Time without a byte after which the backend server counts as failed, in ms.
    #[serde(default = "default_backend_idle_ms")]
    pub backend_idle_ms: u64,
}

impl EntrySettings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<EntrySettings, SettingsError> {
        let (text, settings) = read_file::<EntrySettings>(path)?;
        check_name(path, &text, "id", &settings.id)?;
        check_name(path, &text, "zone", &settings.zone)?;
        check_url(path, &text, "platform", &settings.platform)?;
        check_positive(path, &text, "max_body_bytes", settings.max_body_bytes)?;
        check_positive(path, &text, "max_connections", settings.max_connections)?;
        check_positive(path, &text, "max_agent_connections", settings.max_agent_connections)?;
        Ok(settings)
    }
}

impl AgentSettings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<AgentSettings, SettingsError> {
        let (text, settings) = read_file::<AgentSettings>(path)?;
        check_name(path, &text, "id", &settings.id)?;
        check_name(path, &text, "zone", &settings.zone)?;
        check_name(path, &text, "service", &settings.service)?;
        check_url(path, &text, "platform", &settings.platform)?;
        check_url(path, &text, "backend", &settings.backend)?;
        check_positive(path, &text, "cold_floor", settings.cold_floor as usize)?;
        if settings.ceiling < settings.cold_floor {
            return Err(invalid_setting(
                path,
                &text,
                "ceiling",
                "ceiling must be at least cold_floor",
            ));
        }
        Ok(settings)
    }
}

fn read_file<T: DeserializeOwned>(path: &Path) -> Result<(String, T), SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Unreadable { file: file.clone(), source })?;
    match toml::from_str::<T>(&text) {
        Ok(settings) => Ok((text, settings)),
        Err(error) => {
            let start = error.span().map_or(0, |span| span.start.min(text.len()));
            let line = text[..start].matches('\n').count() + 1;
            let detail = error.message().to_string();
            Err(SettingsError::Invalid { file, line, detail })
        }
    }
}

fn check_name(path: &Path, text: &str, key: &str, value: &str) -> Result<(), SettingsError> {
    if is_valid_name(value) {
        return Ok(());
    }
    let detail = format!("{key} must be 1 to 64 letters, digits, '-', '_' or '.'");
    Err(invalid_setting(path, text, key, &detail))
}

fn check_url(path: &Path, text: &str, key: &str, value: &str) -> Result<(), SettingsError> {
    if value.starts_with("http://") && !value.ends_with('/') {
        return Ok(());
    }
    let detail = format!("{key} must be a URL such as http://10.0.0.1:8080, without a final '/'");
    Err(invalid_setting(path, text, key, &detail))
}

fn check_positive(path: &Path, text: &str, key: &str, value: usize) -> Result<(), SettingsError> {
    if value > 0 {
        return Ok(());
    }
    Err(invalid_setting(path, text, key, &format!("{key} must be above 0")))
}

fn invalid_setting(path: &Path, text: &str, key: &str, detail: &str) -> SettingsError {
    let index = text.lines().position(|line| line.trim_start().starts_with(key));
    SettingsError::Invalid {
        file: path.display().to_string(),
        line: index.map_or(1, |index| index + 1),
        detail: detail.to_string(),
    }
}

fn default_max_body_bytes() -> usize {
    1 << 20
}

fn default_max_connections() -> usize {
    4_096
}

fn default_queue_capacity() -> usize {
    2_048
}

fn default_request_read_ms() -> u64 {
    10_000
}

fn default_drain_linger_ms() -> u64 {
    3_000
}

fn default_max_agent_connections() -> usize {
    512
}

fn default_cold_floor() -> u32 {
    2
}

fn default_ceiling() -> u32 {
    256
}

fn default_backend_idle_ms() -> u64 {
    30_000
}
