//! Open-loop load and its reports.

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

/// Chooses where the next request goes, by its number.
pub type TargetChoice = Arc<dyn Fn(usize, &LoadCall) -> SocketAddr + Send + Sync>;

/// A request with its report.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Time from the start of the load.
    pub at: Duration,
    /// Request.
    pub call: LoadCall,
    /// Where it was sent.
    pub address: SocketAddr,
    /// Report.
    pub report: CallReport,
}

/// Sends planned requests at their times, whatever became of earlier ones.
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

/// Returns the value below which `share` of the values lie.
pub fn quantile(values: &mut [Duration], share: f64) -> Duration {
    if values.is_empty() {
        return Duration::ZERO;
    }
    values.sort_unstable();
    let rank = (share * values.len() as f64).ceil() as usize;
    values[rank.clamp(1, values.len()) - 1]
}

/// Returns the overheads of answered requests.
pub fn overheads(records: &[CallRecord], streaming: bool) -> Vec<Duration> {
    let fitting = records.iter().filter(|record| record.call.tokens.is_some() == streaming);
    fitting.filter_map(|record| record.report.overhead).collect()
}

/// Counts reports with an outcome.
pub fn count(records: &[CallRecord], outcome: CallOutcome) -> usize {
    records.iter().filter(|record| record.report.outcome == outcome).count()
}
