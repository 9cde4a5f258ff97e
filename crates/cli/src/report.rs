//! Results and errors of commands, and the exit status of each error.

use cuminpick::config::ConfigError;
use cuminpick::replay::ReplayError;
use cuminpick::settings::SettingsError;
use cuminpick_objects::PlatformError;
use serde_json::Value;

/// Output of a command that succeeded.
#[derive(Debug, Clone, PartialEq)]
pub struct CommandReport {
    /// Human-readable text, without a final newline.
    pub text: String,
    /// The same information as JSON, for `--json`.
    pub json: Value,
}

/// Failure of a command.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The platform rejected the request or could not be reached.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The requested configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A settings file is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A trace cannot be parsed or its replay differs from the recording.
    #[error(transparent)]
    Replay(#[from] ReplayError),
    /// The named object does not exist.
    #[error("{0}")]
    NotFound(String),
    /// A file could not be read.
    #[error("cannot read '{file}': {source}; give the path of a readable file")]
    File {
        /// Path of the file.
        file: String,
        /// Underlying I/O error.
        source: std::io::Error,
    },
}

impl CommandError {
    /// Returns the exit status, as documented in the `--help` text.
    pub fn exit_status(&self) -> i32 {
        match self {
            CommandError::Platform(PlatformError::Conflict(_)) => 3,
            CommandError::Platform(PlatformError::Ambiguous(_)) => 5,
            CommandError::Platform(_) => 4,
            CommandError::Config(_) | CommandError::Settings(_) => 6,
            CommandError::Replay(_) => 7,
            CommandError::NotFound(_) | CommandError::File { .. } => 1,
        }
    }
}
