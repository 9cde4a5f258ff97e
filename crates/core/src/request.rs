//! Holds the state of one open request at an entry, and builds its refusal.

use std::time::Duration;

use crate::entry_event::Arrival;
use crate::ids::AttemptNumber;
use crate::ids::ServerId;
use crate::ids::ServiceName;
use crate::refusal::Refusal;
use crate::refusal::RefusalKind;

/// State of a request that is queued or has an attempt in flight.
///
/// Times are on the clock of the entry's events.
#[derive(Debug, Clone)]
pub(crate) struct RequestState {
    pub(crate) arrival: Arrival,
    pub(crate) service: ServiceName,
    pub(crate) priority: u8,
    pub(crate) repeatable: bool,
    /// Time at which the request is refused if it is still queued.
    pub(crate) queue_deadline: Duration,
    /// Deadline that the caller set.
    pub(crate) deadline: Option<Duration>,
    /// Number of attempts sent so far.
    pub(crate) attempt: AttemptNumber,
    /// Server of the attempt in flight.
    pub(crate) server: Option<ServerId>,
    /// Servers that refused the request or failed under it.
    pub(crate) excluded: Vec<ServerId>,
    /// Whether an attempt failed after it may have reached its server.
    pub(crate) may_have_run: bool,
}

/// Builds the refusal of a request, given the kind that applies if it did not run.
///
/// Once an attempt has failed after the request may have reached a server, the refusal
/// says instead that it may have run, and has no retry time.
pub(crate) fn refusal_for(
    state: &RequestState,
    kind: RefusalKind,
    retry: Option<Duration>,
) -> Refusal {
    if state.may_have_run {
        let kind =
            if state.repeatable { RefusalKind::AnswerCut } else { RefusalKind::OutcomeUnknown };
        return Refusal::may_have_run(kind);
    }
    Refusal::not_run(kind, retry)
}
