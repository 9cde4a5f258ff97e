//! Metrics computed from the logs and the ledger of a drill's processes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use cuminpick::clock::stamp_millis;
use cuminpick::journal::JournalLine;
use cuminpick::journal::parse_lines;

use crate::drills::faults::AcceptedChange;
use crate::drills::faults::FaultRecord;
use crate::drills::traffic::CallRecord;
use crate::fleet::Fleet;
use crate::fleet::backend_id;
use crate::load::CallOutcome;
use crate::model::OVERRUN_LINE;

/// Time after a zone was taken out from which it may admit no new requests, in ms.
const TAKE_OUT_LIMIT_MS: u64 = 3_000;
/// Time within which a process has to apply an accepted change, in ms.
const APPLY_LIMIT_MS: u64 = 5_000;

/// Logs and ledger of a fleet.
pub struct FleetEvidence {
    /// Log lines by process.
    lines: BTreeMap<String, Vec<JournalLine>>,
    /// Availability zones by server.
    zones: BTreeMap<String, String>,
    /// Entries by their address for callers.
    entries: BTreeMap<SocketAddr, String>,
    /// Number of runs by booking.
    ledger: BTreeMap<String, u32>,
    overruns: usize,
}

impl FleetEvidence {
    /// Reads the logs and the ledger written so far.
    pub fn read(fleet: &Fleet) -> FleetEvidence {
        let read_log = |id: &str| std::fs::read_to_string(fleet.log_path(id)).unwrap_or_default();
        let mut lines = BTreeMap::new();
        let mut zones = BTreeMap::new();
        let mut overruns = 0;
        for entry in &fleet.entries {
            lines.insert(entry.id.clone(), parse_lines(&read_log(&entry.id)).collect());
        }
        for server in &fleet.servers {
            lines.insert(server.id.clone(), parse_lines(&read_log(&server.id)).collect());
            zones.insert(server.id.clone(), server.zone.clone());
            let backend_log = read_log(&backend_id(&server.id));
            overruns += backend_log.lines().filter(|line| *line == OVERRUN_LINE).count();
        }
        let mut ledger = BTreeMap::new();
        let text = std::fs::read_to_string(fleet.ledger_path()).unwrap_or_default();
        for booking in text.lines() {
            *ledger.entry(booking.to_string()).or_insert(0) += 1;
        }
        let entries =
            fleet.entries.iter().map(|entry| (entry.caller_address, entry.id.clone())).collect();
        FleetEvidence { lines, zones, entries, ledger, overruns }
    }

    /// Returns how many times a backend server received more requests than its capacity.
    pub fn overrun_count(&self) -> usize {
        self.overruns
    }

    /// Returns the number of bookings that ran more than once.
    pub fn repeated_bookings(&self) -> usize {
        self.ledger.values().filter(|runs| **runs > 1).count()
    }

    /// Returns the number of bookings that were answered but did not run.
    pub fn lost_bookings(&self, records: &[CallRecord]) -> usize {
        let answered = booking_names(records, CallOutcome::Answered);
        answered.iter().filter(|booking| !self.ledger.contains_key(**booking)).count()
    }

    /// Returns the number of bookings that were refused as not run although they ran.
    pub fn wrongly_refused_bookings(&self, records: &[CallRecord]) -> usize {
        let refused = booking_names(records, CallOutcome::RefusedNotRun);
        refused.iter().filter(|booking| self.ledger.contains_key(**booking)).count()
    }

    /// Returns the number of admissions in zones that had been out of service for more than
    /// three seconds.
    pub fn admissions_after_take_out(&self, record: &FaultRecord) -> usize {
        let mut count = 0;
        for (zone, from_ms, until_ms) in out_spans(&record.changes) {
            let servers = self.zones.iter().filter(|(_, own)| **own == zone);
            for (server, _) in servers {
                count += self.admissions(server, from_ms + TAKE_OUT_LIMIT_MS, until_ms);
            }
        }
        count
    }

    /// Counts the admissions of a server between two times, both exclusive.
    fn admissions(&self, server: &str, from_ms: u64, until_ms: u64) -> usize {
        let lines = self.lines.get(server).into_iter().flatten();
        let admitted = lines.filter(|line| line.event == "admitted");
        let within = |line: &&JournalLine| {
            let at = stamp_millis(line.stamp);
            at > from_ms && at < until_ms
        };
        admitted.filter(within).count()
    }

    /// Returns how many times a process applied an older version than it had before.
    pub fn config_reverts(&self) -> usize {
        self.lines.values().map(|lines| count_reverts(lines)).sum()
    }

    /// Returns the longest time from the acceptance of a change until a process applied it,
    /// in ms, over all changes and the processes that were running meanwhile; `u64::MAX` if
    /// one never did.
    pub fn longest_apply_ms(&self, record: &FaultRecord) -> u64 {
        let mut longest = 0;
        for change in &record.changes {
            for (process, lines) in &self.lines {
                let end_ms = change.at_ms + APPLY_LIMIT_MS;
                let was_down = record.downtimes.iter().any(|span| {
                    span.process == *process
                        && span.from_ms < end_ms
                        && span.until_ms.saturating_add(APPLY_LIMIT_MS) > change.at_ms
                });
                if !was_down {
                    longest = longest.max(apply_time_ms(lines, change));
                }
            }
        }
        longest
    }

    /// Returns the number of cut answers whose entry had no downtime.
    pub fn cut_elsewhere(&self, records: &[CallRecord], faults: &FaultRecord) -> usize {
        let cut = records.iter().filter(|record| record.report.outcome == CallOutcome::Cut);
        cut.filter(|record| {
            let entry = self.entries.get(&record.address);
            !faults.downtimes.iter().any(|span| Some(&span.process) == entry)
        })
        .count()
    }

    /// Returns the number of requests with unknown outcome none of whose servers had a
    /// downtime.
    pub fn unknown_elsewhere(&self, records: &[CallRecord], faults: &FaultRecord) -> usize {
        let unknown =
            records.iter().filter(|record| record.report.outcome == CallOutcome::RefusedUnknown);
        unknown
            .filter(|record| {
                let request = Some(&record.report.request_id);
                let lines = self.lines.values().flatten();
                let mut sent = lines
                    .filter(|line| line.event == "sent" && line.request.as_ref() == request)
                    .filter_map(|line| line.details["server"].as_str());
                !sent.any(|server| faults.downtimes.iter().any(|span| span.process == server))
            })
            .count()
    }

    /// Returns the number of attempts that completed a request after an earlier attempt had
    /// broken off.
    pub fn resumed_attempts(&self) -> usize {
        let lines = self.lines.values().flatten();
        let broken_requests: BTreeSet<&String> = lines
            .filter(|line| line.event == "attempt-ended" && line.details["outcome"] == "broke")
            .filter_map(|line| line.request.as_ref())
            .collect();
        let lines = self.lines.values().flatten();
        let completed = lines
            .filter(|line| line.event == "attempt-ended" && line.details["outcome"] == "completed");
        completed
            .filter(|line| {
                line.request.as_ref().is_some_and(|request| broken_requests.contains(request))
            })
            .count()
    }
}

/// Returns the names of the bookings with an outcome.
fn booking_names(records: &[CallRecord], outcome: CallOutcome) -> Vec<&str> {
    let matching = records.iter().filter(|record| record.report.outcome == outcome);
    matching.filter_map(|record| record.call.booking_name()).collect()
}

/// Returns the spans in which zones were out of service: zone, start and end in Unix ms.
fn out_spans(changes: &[AcceptedChange]) -> Vec<(String, u64, u64)> {
    let mut spans: Vec<(String, u64, u64)> = Vec::new();
    for change in changes {
        let Some(zone) = change.key.strip_prefix("zones/") else {
            continue;
        };
        match spans.iter_mut().find(|(name, _, until)| name == zone && *until == u64::MAX) {
            Some(span) => span.2 = change.at_ms,
            None => spans.push((zone.to_string(), change.at_ms, u64::MAX)),
        }
    }
    spans
}

/// Counts the times that a log states a lower version of a key than before. A restart
/// begins anew.
fn count_reverts(lines: &[JournalLine]) -> usize {
    let mut versions: BTreeMap<&str, u64> = BTreeMap::new();
    let mut reverts = 0;
    for line in lines {
        if line.event == "started" {
            versions.clear();
        }
        if line.event != "config-in-force" {
            continue;
        }
        let key = line.details["key"].as_str().unwrap_or_default();
        let version = line.details["version"].as_u64().unwrap_or(0);
        let previous = versions.insert(key, version).unwrap_or(0);
        reverts += usize::from(version < previous);
    }
    reverts
}

/// Returns the time from a change's acceptance until the process with this log applied it or
/// a newer version, in ms; `u64::MAX` if it never did.
fn apply_time_ms(lines: &[JournalLine], change: &AcceptedChange) -> u64 {
    let in_force = lines.iter().find(|line| {
        line.event == "config-in-force"
            && line.details["key"].as_str() == Some(&change.key)
            && line.details["version"].as_u64() >= Some(change.version)
    });
    match in_force {
        Some(line) => stamp_millis(line.stamp).saturating_sub(change.at_ms),
        None => u64::MAX,
    }
}
