//! Settings files of the daemons, in TOML.
//!
//! Unknown keys are errors; every error names the file, the line and a remedy.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::config::is_valid_name;

/// Settings that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read settings '{file}': {source}; give the path of a TOML file")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not the TOML that the daemon asks for.
    #[error("settings '{file}', line {line}: {detail}; see docs/OPERATORS.md for the keys")]
    Invalid {
        /// Path of the file.
        file: String,
        /// Line, from 1.
        line: usize,
        /// What is wrong.
        detail: String,
    },
}

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Identity; unique in the fleet.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other processes of the system.
    pub peers: SocketAddr,
    /// Address for health, metrics and status.
    pub admin: SocketAddr,
    /// Base URL of the platform's object API.
    pub platform: String,
    /// Largest request body, in bytes.
    #[serde(default = "default_body")]
    pub max_body_bytes: usize,
    /// Connections of callers at a time.
    #[serde(default = "default_connections")]
    pub max_connections: usize,
    /// Requests that may wait for one service.
    #[serde(default = "default_queue")]
    pub queue_capacity: usize,
    /// Time that a caller may take to send a request, in ms.
    #[serde(default = "default_read_ms")]
    pub request_read_ms: u64,
    /// Time for which a leaving entry keeps its callers' port open, in ms.
    #[serde(default = "default_linger_ms")]
    pub drain_linger_ms: u64,
    /// Connections to agents that are kept open.
    #[serde(default = "default_agents")]
    pub max_agent_connections: usize,
    /// File for a trace that `cuminpick replay` can read.
    #[serde(default)]
    pub trace: Option<String>,
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Identity of the backend server; unique in the fleet.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Service that the backend server offers.
    pub service: String,
    /// Base URL of the backend server.
    pub backend: String,
    /// Address for entries.
    pub peers: SocketAddr,
    /// Address for health, metrics and status.
    pub admin: SocketAddr,
    /// Base URL of the platform's object API.
    pub platform: String,
    /// Concurrency given to a cold backend server.
    #[serde(default = "default_floor")]
    pub cold_floor: u32,
    /// Highest concurrency.
    #[serde(default = "default_ceiling")]
    pub ceiling: u32,
    /// Time without a byte after which the backend server has failed, in ms.
    #[serde(default = "default_idle_ms")]
    pub backend_idle_ms: u64,
}

impl EntrySettings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<EntrySettings, SettingsError> {
        let (text, settings) = read_file::<EntrySettings>(path)?;
        check_name(path, &text, "id", &settings.id)?;
        check_name(path, &text, "zone", &settings.zone)?;
        check_url(path, &text, "platform", &settings.platform)?;
        check_above(path, &text, "max_body_bytes", settings.max_body_bytes)?;
        check_above(path, &text, "max_connections", settings.max_connections)?;
        check_above(path, &text, "max_agent_connections", settings.max_agent_connections)?;
        Ok(settings)
    }
}

impl AgentSettings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<AgentSettings, SettingsError> {
        let (text, settings) = read_file::<AgentSettings>(path)?;
        check_name(path, &text, "id", &settings.id)?;
        check_name(path, &text, "zone", &settings.zone)?;
        check_name(path, &text, "service", &settings.service)?;
        check_url(path, &text, "platform", &settings.platform)?;
        check_url(path, &text, "backend", &settings.backend)?;
        check_above(path, &text, "cold_floor", settings.cold_floor as usize)?;
        if settings.ceiling < settings.cold_floor {
            return Err(invalid(path, &text, "ceiling", "ceiling must be at least cold_floor"));
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
    Err(invalid(path, text, key, &detail))
}

fn check_url(path: &Path, text: &str, key: &str, value: &str) -> Result<(), SettingsError> {
    if value.starts_with("http://") && !value.ends_with('/') {
        return Ok(());
    }
    let detail = format!("{key} must be a URL such as http://10.0.0.1:8080, without a final '/'");
    Err(invalid(path, text, key, &detail))
}

fn check_above(path: &Path, text: &str, key: &str, value: usize) -> Result<(), SettingsError> {
    if value > 0 {
        return Ok(());
    }
    Err(invalid(path, text, key, &format!("{key} must be above 0")))
}

fn invalid(path: &Path, text: &str, key: &str, detail: &str) -> SettingsError {
    let found = text.lines().position(|line| line.trim_start().starts_with(key));
    SettingsError::Invalid {
        file: path.display().to_string(),
        line: found.map_or(1, |index| index + 1),
        detail: detail.to_string(),
    }
}

fn default_body() -> usize {
    1 << 20
}

fn default_connections() -> usize {
    4_096
}

fn default_queue() -> usize {
    2_048
}

fn default_read_ms() -> u64 {
    10_000
}

fn default_linger_ms() -> u64 {
    3_000
}

fn default_agents() -> usize {
    512
}

fn default_floor() -> u32 {
    2
}

fn default_ceiling() -> u32 {
    256
}

fn default_idle_ms() -> u64 {
    30_000
}
