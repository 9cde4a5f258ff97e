//! Reasons for which a request is refused, with their HTTP status and remedy.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Whether a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RanState {
    /// No byte of the request reached a backend server.
    No,
    /// The request may have run, in part or completely.
    Unknown,
}

/// Reason of a refusal; [`RefusalKind::remedy`] says what the caller can do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalKind {
    /// The HTTP request is malformed.
    Malformed,
    /// The body is larger than the settings allow.
    TooLarge,
    /// The caller sent its request too slowly.
    TooSlow,
    /// Too many connections or requests are open at this entry.
    TooManyOpen,
    /// No such class of work is configured.
    UnknownClass,
    /// No route serves the host and path.
    UnknownRoute,
    /// The route needs a key that an organisation holds.
    KeyRefused,
    /// This entry has no configuration yet.
    NotReady,
    /// This entry is shutting down.
    Leaving,
    /// No available backend server offers the class's service.
    NoServer,
    /// The class's target cannot be met at the current load.
    Overloaded,
    /// The caller's deadline passed before a backend server took the request.
    DeadlinePassed,
    /// The backend server failed after the request may have reached it.
    OutcomeUnknown,
    /// The answer was cut and could not be resumed.
    AnswerCut,
    /// Servers crashed when they ran the request, which is quarantined.
    CrashesServers,
    /// A server crashed before it began to answer a request that shares a part of the prompt.
    SuspectedPart,
}

/// A refusal as sent to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub kind: RefusalKind,
    /// Whether the request may have run.
    pub ran: RanState,
    /// Time after which the caller may retry; `None` if a retry is pointless.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(kind: RefusalKind, retry_after: Option<Duration>) -> Refusal {
        Refusal { kind, ran: RanState::No, retry_after }
    }

    /// Creates the refusal of a request that may have run.
    pub fn may_have_run(kind: RefusalKind) -> Refusal {
        Refusal { kind, ran: RanState::Unknown, retry_after: None }
    }
}

impl RefusalKind {
    /// Returns the name used in answers, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            RefusalKind::Malformed => "malformed",
            RefusalKind::TooLarge => "too-large",
            RefusalKind::TooSlow => "too-slow",
            RefusalKind::TooManyOpen => "too-many-open",
            RefusalKind::UnknownClass => "unknown-class",
            RefusalKind::UnknownRoute => "unknown-route",
            RefusalKind::KeyRefused => "key-refused",
            RefusalKind::NotReady => "not-ready",
            RefusalKind::Leaving => "leaving",
            RefusalKind::NoServer => "no-server",
            RefusalKind::Overloaded => "overloaded",
            RefusalKind::DeadlinePassed => "deadline-passed",
            RefusalKind::OutcomeUnknown => "outcome-unknown",
            RefusalKind::AnswerCut => "answer-cut",
            RefusalKind::CrashesServers => "crashes-servers",
            RefusalKind::SuspectedPart => "suspected-part",
        }
    }

    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            RefusalKind::Malformed | RefusalKind::UnknownClass => 400,
            RefusalKind::KeyRefused => 401,
            RefusalKind::UnknownRoute => 404,
            RefusalKind::TooSlow => 408,
            RefusalKind::TooLarge => 413,
            RefusalKind::OutcomeUnknown | RefusalKind::AnswerCut => 502,
            RefusalKind::DeadlinePassed => 504,
            RefusalKind::TooManyOpen
            | RefusalKind::NotReady
            | RefusalKind::Leaving
            | RefusalKind::NoServer
            | RefusalKind::CrashesServers
            | RefusalKind::SuspectedPart
            | RefusalKind::Overloaded => 503,
        }
    }

    /// Returns what the caller can do about the refusal.
    pub fn remedy(self) -> &'static str {
        match self {
            RefusalKind::Malformed => {
                "send a complete HTTP/1.1 POST to /v1/ with Cuminpick-Class and Cuminpick-Organisation"
            }
            RefusalKind::TooLarge => "send a smaller body",
            RefusalKind::TooSlow => "send the request without pauses",
            RefusalKind::TooManyOpen => "close idle connections and retry after the stated time",
            RefusalKind::UnknownClass => {
                "name a configured class in Cuminpick-Class; operators list them with `cuminpick target list`"
            }
            RefusalKind::UnknownRoute => "use a host and path that operators have configured",
            RefusalKind::KeyRefused => "send a key that operators have given to an organisation",
            RefusalKind::NotReady => "retry after the stated time, or at another entry",
            RefusalKind::Leaving => "retry at another entry",
            RefusalKind::NoServer => "retry after the stated time",
            RefusalKind::Overloaded => "retry after the stated time",
            RefusalKind::DeadlinePassed => "allow more time in Cuminpick-Deadline-Ms",
            RefusalKind::OutcomeUnknown => {
                "read the service's state before sending the request again"
            }
            RefusalKind::AnswerCut => "send the request again",
            RefusalKind::CrashesServers => {
                "change the request; servers end when they run it, so it is held back for an hour"
            }
            RefusalKind::SuspectedPart => {
                "retry after the stated time; a part of the prompt may have crashed a server"
            }
        }
    }
}
