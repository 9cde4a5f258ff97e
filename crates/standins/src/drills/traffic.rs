//! Open-loop load: requests are sent at their planned times, whatever happens to earlier ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use crate::drills::scenario::PlannedCall;
use crate::load::CallOutcome;
use crate::load::CallReport;
use crate::load::LoadCall;
use crate::load::send_call;

/// Chooses the address for a request by its number and contents.
pub type TargetChoice = Arc<dyn Fn(usize, &LoadCall) -> SocketAddr + Send + Sync>;

/// Sent request with its report.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Planned time of sending, from the start of the load.
    pub at: Duration,
    /// Request that was sent.
    pub call: LoadCall,
    /// Address to which it was sent.
    pub address: SocketAddr,
    /// Outcome and times.
    pub report: CallReport,
}

/// Sends planned requests at their times without waiting for earlier ones; returns the records
/// in the order in which the requests ended.
pub async fn send_planned(mut planned: Vec<PlannedCall>, target: TargetChoice) -> Vec<CallRecord> {
    planned.sort_by_key(|planned| planned.at);
    let start = Instant::now();
    let records = Arc::new(Mutex::new(Vec::with_capacity(planned.len())));
    let mut calls = JoinSet::new();
    for (number, planned) in planned.into_iter().enumerate() {
        let due = start + planned.at;
        tokio::time::sleep_until(due.into()).await;
        let records = Arc::clone(&records);
        let address = target(number, &planned.call);
        calls.spawn(async move {
            let report = send_call(address, &planned.call).await;
            let record = CallRecord { at: planned.at, call: planned.call, address, report };
            records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        });
    }
    while calls.join_next().await.is_some() {}
    let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *records)
}

/// Returns the smallest value that at least a fraction `share` of the values does not exceed;
/// zero if there are none. Sorts the values.
pub fn quantile(values: &mut [Duration], share: f64) -> Duration {
    if values.is_empty() {
        return Duration::ZERO;
    }
    values.sort_unstable();
    let rank = (share * values.len() as f64).ceil() as usize;
    values[rank.clamp(1, values.len()) - 1]
}

/// Returns the overheads of the requests that are streamed, or of those that are not, as far as
/// the servers stated their times.
pub fn overheads(records: &[CallRecord], streaming: bool) -> Vec<Duration> {
    let matching = records.iter().filter(|record| record.call.tokens.is_some() == streaming);
    matching.filter_map(|record| record.report.overhead).collect()
}

/// Counts the records with an outcome.
pub fn count(records: &[CallRecord], outcome: CallOutcome) -> usize {
    records.iter().filter(|record| record.report.outcome == outcome).count()
}
