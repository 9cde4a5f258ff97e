//! Figures from the logs and ledgers that a drill leaves.

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

/// Time after a take-out from which no new work may come, in ms.
const TAKE_OUT_MS: u64 = 3_000;
/// Time within which a change has to be in force, in ms.
const FORCE_MS: u64 = 5_000;

/// Logs of a fleet's daemons, by process.
pub struct FleetEvidence {
    lines: BTreeMap<String, Vec<JournalLine>>,
    zones: BTreeMap<String, String>,
    entries: BTreeMap<SocketAddr, String>,
    ledger: BTreeMap<String, u32>,
    overruns: usize,
}

impl FleetEvidence {
    /// Reads everything that the fleet left so far.
    pub fn read(fleet: &Fleet) -> FleetEvidence {
        let read = |id: &str| std::fs::read_to_string(fleet.log_path(id)).unwrap_or_default();
        let mut lines = BTreeMap::new();
        let mut zones = BTreeMap::new();
        let mut overruns = 0;
        for entry in &fleet.entries {
            lines.insert(entry.id.clone(), parse_lines(&read(&entry.id)).collect());
        }
        for server in &fleet.servers {
            lines.insert(server.id.clone(), parse_lines(&read(&server.id)).collect());
            zones.insert(server.id.clone(), server.zone.clone());
            let backend = read(&backend_id(&server.id));
            overruns += backend.lines().filter(|line| *line == OVERRUN_LINE).count();
        }
        let mut ledger = BTreeMap::new();
        let text = std::fs::read_to_string(fleet.ledger_path()).unwrap_or_default();
        for booking in text.lines() {
            *ledger.entry(booking.to_string()).or_insert(0) += 1;
        }
        let entries = fleet.entries.iter().map(|entry| (entry.callers, entry.id.clone())).collect();
        FleetEvidence { lines, zones, entries, ledger, overruns }
    }

    /// Times that a backend server got more than it bears.
    pub fn overruns(&self) -> usize {
        self.overruns
    }

    /// Bookings that ran more than once.
    pub fn doubled(&self) -> usize {
        self.ledger.values().filter(|runs| **runs > 1).count()
    }

    /// Bookings that were answered and did not run.
    pub fn lost(&self, records: &[CallRecord]) -> usize {
        let answered = bookings(records, CallOutcome::Answered);
        answered.iter().filter(|booking| !self.ledger.contains_key(**booking)).count()
    }

    /// Bookings that were refused as not run and did run.
    pub fn false_not_run(&self, records: &[CallRecord]) -> usize {
        let refused = bookings(records, CallOutcome::RefusedNotRun);
        refused.iter().filter(|booking| self.ledger.contains_key(**booking)).count()
    }

    /// Admissions in a zone that has been out for longer than three seconds.
    pub fn new_work_after(&self, record: &FaultRecord) -> usize {
        let mut count = 0;
        for (zone, from_ms, until_ms) in out_spans(&record.changes) {
            let servers = self.zones.iter().filter(|(_, own)| **own == zone);
            for (server, _) in servers {
                count += self.admissions(server, from_ms + TAKE_OUT_MS, until_ms);
            }
        }
        count
    }

    fn admissions(&self, server: &str, from_ms: u64, until_ms: u64) -> usize {
        let lines = self.lines.get(server).into_iter().flatten();
        let admitted = lines.filter(|line| line.event == "admitted");
        let within = |line: &&JournalLine| {
            let at = stamp_millis(line.stamp);
            at > from_ms && at < until_ms
        };
        admitted.filter(within).count()
    }

    /// Times that a process put an older version in force than it had before.
    pub fn config_reverts(&self) -> usize {
        self.lines.values().map(|lines| reverts_of(lines)).sum()
    }

    /// Longest time from acceptance to force over all changes and processes that
    /// could act, in ms.
    pub fn config_force_ms(&self, record: &FaultRecord) -> u64 {
        let mut longest = 0;
        for change in &record.changes {
            for (process, lines) in &self.lines {
                let end_ms = change.at_ms + FORCE_MS;
                let absent = record.absent.iter().any(|span| {
                    span.process == *process
                        && span.from_ms < end_ms
                        && span.until_ms.saturating_add(FORCE_MS) > change.at_ms
                });
                if !absent {
                    longest = longest.max(force_time(lines, change));
                }
            }
        }
        longest
    }

    /// Answers cut though the entry that they went through was not killed.
    pub fn cut_elsewhere(&self, records: &[CallRecord], faults: &FaultRecord) -> usize {
        let cut = records.iter().filter(|r| r.report.outcome == CallOutcome::Cut);
        cut.filter(|record| {
            let entry = self.entries.get(&record.address);
            !faults.absent.iter().any(|span| Some(&span.process) == entry)
        })
        .count()
    }

    /// Requests of unknown outcome though the server that they were sent to was
    /// not killed.
    pub fn unknown_elsewhere(&self, records: &[CallRecord], faults: &FaultRecord) -> usize {
        let unknown = records.iter().filter(|r| r.report.outcome == CallOutcome::RefusedUnknown);
        unknown
            .filter(|record| {
                let request = Some(&record.report.request_id);
                let lines = self.lines.values().flatten();
                let mut sent = lines
                    .filter(|line| line.event == "sent" && line.request.as_ref() == request)
                    .filter_map(|line| line.details["server"].as_str());
                !sent.any(|server| faults.absent.iter().any(|span| span.process == server))
            })
            .count()
    }

    /// Attempts that went on from an earlier attempt's events.
    pub fn resumed(&self) -> usize {
        let lines = self.lines.values().flatten();
        let broke: BTreeSet<&String> = lines
            .filter(|line| line.event == "attempt-ended" && line.details["outcome"] == "broke")
            .filter_map(|line| line.request.as_ref())
            .collect();
        let lines = self.lines.values().flatten();
        let completed = lines
            .filter(|line| line.event == "attempt-ended" && line.details["outcome"] == "completed");
        completed
            .filter(|line| line.request.as_ref().is_some_and(|request| broke.contains(request)))
            .count()
    }
}

/// Names of the bookings with an outcome.
fn bookings(records: &[CallRecord], outcome: CallOutcome) -> Vec<&str> {
    let fitting = records.iter().filter(|record| record.report.outcome == outcome);
    fitting.filter_map(|record| record.call.booking_name()).collect()
}

/// Spans in which zones were out: zone, start and end in ms.
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

fn reverts_of(lines: &[JournalLine]) -> usize {
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
        let before = versions.insert(key, version).unwrap_or(0);
        reverts += usize::from(version < before);
    }
    reverts
}

fn force_time(lines: &[JournalLine], change: &AcceptedChange) -> u64 {
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
