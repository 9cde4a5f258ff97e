//! State of one request at an entry, and what may be said when it is refused.

use std::time::Duration;

use crate::entry_event::Arrival;
use crate::ids::AttemptNumber;
use crate::ids::ServerId;
use crate::ids::ServiceName;
use crate::refusal::Refusal;
use crate::refusal::RefusalKind;

/// A request that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct RequestState {
    pub(crate) arrival: Arrival,
    pub(crate) service: ServiceName,
    pub(crate) priority: u8,
    pub(crate) repeatable: bool,
    pub(crate) queue_deadline: Duration,
    pub(crate) deadline: Option<Duration>,
    pub(crate) attempt: AttemptNumber,
    pub(crate) server: Option<ServerId>,
    pub(crate) excluded: Vec<ServerId>,
    pub(crate) may_have_run: bool,
}

/// A request of which an attempt broke off can no longer be called not run.
pub(crate) fn not_run_or_cut(
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
