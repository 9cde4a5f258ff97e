//! Runs the timed faults of a scenario, and records the downtimes of processes and the
//! configuration changes that the platform accepted meanwhile.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cuminpick::ids::ChoiceRng;
use cuminpick_objects::CONFIG_PREFIX;
use cuminpick_objects::PlatformError;
use cuminpick_objects::reconcile;
use eyre::eyre;
use serde_json::json;

use crate::drills::print_progress;
use crate::drills::scenario::TimedFault;
use crate::fleet::Fleet;
use crate::fleet::http_json;
use crate::unix_micros;

/// Number of changes that each racing operator attempts.
const CHANGES_PER_OPERATOR: usize = 10;
/// Number of operators that race.
const RACING_OPERATORS: usize = 3;

/// A configuration change that the platform accepted.
#[derive(Debug, Clone)]
pub struct AcceptedChange {
    /// Key without the configuration prefix.
    pub key: String,
    /// Version that the change created.
    pub version: u64,
    /// Time of acceptance, in Unix milliseconds.
    pub at_ms: u64,
}

/// Time span in which a process could not act.
#[derive(Debug, Clone)]
pub struct DowntimeSpan {
    /// Id of the process.
    pub process: String,
    /// Start, in Unix milliseconds.
    pub from_ms: u64,
    /// End, in Unix milliseconds; `u64::MAX` while it lasts.
    pub until_ms: u64,
}

/// Record of what happened while the faults ran.
#[derive(Debug, Clone, Default)]
pub struct FaultRecord {
    /// Accepted configuration changes, in order.
    pub changes: Vec<AcceptedChange>,
    /// Spans in which processes could not act.
    pub downtimes: Vec<DowntimeSpan>,
    /// Number of changes that lost against another one.
    pub conflicts: usize,
}

/// Runs the faults of a scenario at their times.
pub struct FaultRunner<'a> {
    fleet: &'a Fleet,
    record: Mutex<FaultRecord>,
    seed: u64,
}

impl<'a> FaultRunner<'a> {
    /// Returns a runner for a fleet; `seed` determines the racing changes.
    pub fn new(fleet: &'a Fleet, seed: u64) -> FaultRunner<'a> {
        FaultRunner { fleet, record: Mutex::new(FaultRecord::default()), seed }
    }

    /// Runs all faults and waits until they are done; `start` is the start of the measured
    /// part.
    pub fn run(&self, faults: &[TimedFault], start: Instant) -> eyre::Result<()> {
        thread::scope(|scope| {
            let running: Vec<_> =
                faults.iter().map(|fault| scope.spawn(move || self.run_at(fault, start))).collect();
            for fault in running {
                fault.join().map_err(|_| eyre!("the thread of a fault panicked"))??;
            }
            Ok(())
        })
    }

    /// Returns the record.
    pub fn finish(self) -> FaultRecord {
        self.record.into_inner().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a fault is due and runs it.
    fn run_at(&self, fault: &TimedFault, start: Instant) -> eyre::Result<()> {
        let due = start + Duration::from_secs_f64(fault.at);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        print_progress(&format!("{:>5.1} s  {} {}", fault.at, fault.action, fault.target));
        let duration = Duration::from_secs_f64(fault.duration);
        match fault.action.as_str() {
            "zone-out" => self.change_state("zones", &fault.target, "out"),
            "zone-in" => self.change_state("zones", &fault.target, "in"),
            "pause" => self.pause_process(&fault.target, duration),
            "race" => self.race_operators(&fault.target),
            "stop-zone" => self.stop_zone(&fault.target),
            "kill-zone" => self.kill_zone(&fault.target),
            "start-zone" => self.start_zone(&fault.target),
            "outage" => {
                self.platform_fault(json!({"kind": "outage", "ms": duration.as_millis() as u64}))
            }
            "lose" => self.platform_fault(json!({"kind": "lose", "count": 2})),
            "cold" => self.backend_fault(&fault.target, json!({"kind": "cold"})),
            "crash" => self.backend_fault(&fault.target, json!({"kind": "crash"})),
            "leave" => Ok(self.fleet.signal(&fault.target, "TERM")?),
            other => Err(eyre!("unknown fault action '{other}'")),
        }
    }

    /// Sets the state of a zone or server as an operator does, and records the accepted change
    /// or the conflict.
    fn change_state(&self, kind: &str, name: &str, state: &str) -> eyre::Result<()> {
        let store = self.fleet.store()?;
        let key = format!("{kind}/{name}");
        let object_key = format!("{CONFIG_PREFIX}{key}");
        let value = format!("{{\"state\":\"{state}\"}}");
        let current = store.get(&object_key)?;
        match reconcile::apply_change(store.as_ref(), &object_key, current.as_ref(), Some(&value)) {
            Ok(reconcile::ChangeOutcome::Written(version)) => {
                let change = AcceptedChange { key, version, at_ms: unix_micros() / 1_000 };
                self.lock().changes.push(change);
            }
            Ok(reconcile::ChangeOutcome::Unchanged(_)) => {}
            Err(PlatformError::Conflict(_)) => self.lock().conflicts += 1,
            Err(error) => return Err(error.into()),
        }
        Ok(())
    }

    /// Lets several operators change the state of one server concurrently.
    fn race_operators(&self, server: &str) -> eyre::Result<()> {
        thread::scope(|scope| {
            let operators: Vec<_> = (0..RACING_OPERATORS)
                .map(|operator| {
                    scope.spawn(move || {
                        let mut rng = ChoiceRng::new(self.seed ^ operator as u64);
                        for _ in 0..CHANGES_PER_OPERATOR {
                            let state = if rng.below(2) == 0 { "out" } else { "in" };
                            self.change_state("servers", server, state)?;
                            thread::sleep(Duration::from_millis(rng.below(60) as u64));
                        }
                        Ok::<(), eyre::Report>(())
                    })
                })
                .collect();
            for operator in operators {
                operator
                    .join()
                    .map_err(|_| eyre!("the thread of a racing operator panicked"))??;
            }
            Ok::<(), eyre::Report>(())
        })?;
        self.change_state("servers", server, "in")
    }

    /// Stops a process with SIGSTOP for `duration`.
    fn pause_process(&self, process: &str, duration: Duration) -> eyre::Result<()> {
        self.begin_downtime(process);
        self.fleet.signal(process, "STOP")?;
        thread::sleep(duration);
        self.fleet.signal(process, "CONT")?;
        self.end_downtime(process);
        Ok(())
    }

    /// Stops a zone in order: its daemons exit on SIGTERM, then its backend servers are killed.
    fn stop_zone(&self, zone: &str) -> eyre::Result<()> {
        let processes = self.fleet.zone_processes(zone);
        let (backends, daemons): (Vec<&String>, Vec<&String>) =
            processes.iter().partition(|id| id.ends_with("-backend"));
        for id in &daemons {
            self.begin_downtime(id);
            self.fleet.signal(id, "TERM")?;
        }
        for id in &daemons {
            if !self.fleet.wait_exit(id)? {
                return Err(eyre!("{id} exited with an error"));
            }
        }
        backends.iter().for_each(|id| self.fleet.kill(id));
        Ok(())
    }

    /// Kills a zone's processes at once.
    fn kill_zone(&self, zone: &str) -> eyre::Result<()> {
        for id in self.fleet.zone_processes(zone) {
            self.begin_downtime(&id);
            self.fleet.kill(&id);
        }
        Ok(())
    }

    fn start_zone(&self, zone: &str) -> eyre::Result<()> {
        self.fleet.start_zone(zone)?;
        for id in self.fleet.zone_processes(zone) {
            self.end_downtime(&id);
        }
        Ok(())
    }

    fn platform_fault(&self, fault: serde_json::Value) -> eyre::Result<()> {
        http_json("POST", &self.fleet.platform_address, "/standin/fault", Some(fault))?;
        Ok(())
    }

    fn backend_fault(&self, server: &str, fault: serde_json::Value) -> eyre::Result<()> {
        let address = self.fleet.server(server)?.backend_address;
        http_json("POST", &address, "/standin/fault", Some(fault))?;
        Ok(())
    }

    /// Records that a process cannot act from now on.
    fn begin_downtime(&self, process: &str) {
        let from_ms = unix_micros() / 1_000;
        let span = DowntimeSpan { process: process.to_string(), from_ms, until_ms: u64::MAX };
        self.lock().downtimes.push(span);
    }

    /// Records that a process can act again.
    fn end_downtime(&self, process: &str) {
        let now_ms = unix_micros() / 1_000;
        let mut record = self.lock();
        let downtimes = record.downtimes.iter_mut();
        let current = downtimes.filter(|span| span.process == process && span.until_ms == u64::MAX);
        current.for_each(|span| span.until_ms = now_ms);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FaultRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
