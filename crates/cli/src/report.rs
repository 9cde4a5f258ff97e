//! What a command prints, and its exit status.

use cuminpick::config::ConfigError;
use cuminpick::replay::ReplayError;
use cuminpick::settings::SettingsError;
use cuminpick_objects::PlatformError;
use serde_json::Value;

/// Result of a command.
#[derive(Debug, Clone, PartialEq)]
pub struct CommandReport {
    /// Text for people, without the final line end.
    pub text: String,
    /// The same for programs.
    pub json: Value,
}

/// A command that failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The platform refused or could not be asked.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The change is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Settings are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A trace does not replay.
    #[error(transparent)]
    Replay(#[from] ReplayError),
    /// Something named does not exist.
    #[error("{0}")]
    NotFound(String),
    /// A file cannot be read.
    #[error("cannot read '{file}': {source}; give the path of a readable file")]
    File {
        /// Path.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
}

impl CommandError {
    /// Exit status, as documented for operators.
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
