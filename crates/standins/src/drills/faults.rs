//! Timed faults, and what operators and the platform accepted meanwhile.

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

use crate::drills::scenario::TimedFault;
use crate::drills::tell;
use crate::fleet::Fleet;
use crate::fleet::http_json;
use crate::wall_micros;

/// Changes that each racing operator tries.
const RACE_CHANGES: usize = 10;
/// Operators that race.
const RACING_OPERATORS: usize = 3;

/// A configuration change that the platform accepted.
#[derive(Debug, Clone)]
pub struct AcceptedChange {
    /// Key without the prefix of configuration.
    pub key: String,
    /// Version.
    pub version: u64,
    /// Wall time of acceptance, in ms.
    pub at_ms: u64,
}

/// A time for which a process could not act.
#[derive(Debug, Clone)]
pub struct AbsentSpan {
    /// Process.
    pub process: String,
    /// Start, wall time in ms.
    pub from_ms: u64,
    /// End, wall time in ms; `u64::MAX` while it lasts.
    pub until_ms: u64,
}

/// What the faults did.
#[derive(Debug, Clone, Default)]
pub struct FaultRecord {
    /// Accepted changes, in order.
    pub changes: Vec<AcceptedChange>,
    /// Times for which processes could not act.
    pub absent: Vec<AbsentSpan>,
    /// Racing changes that lost.
    pub conflicts: usize,
}

/// Carries out the faults of a scenario at their times.
pub struct FaultRunner<'a> {
    fleet: &'a Fleet,
    record: Mutex<FaultRecord>,
    seed: u64,
}

impl<'a> FaultRunner<'a> {
    /// Makes a runner for a fleet.
    pub fn new(fleet: &'a Fleet, seed: u64) -> FaultRunner<'a> {
        FaultRunner { fleet, record: Mutex::new(FaultRecord::default()), seed }
    }

    /// Carries out all faults; `start` is the start of the measured part.
    pub fn run(&self, faults: &[TimedFault], start: Instant) -> eyre::Result<()> {
        thread::scope(|scope| {
            let running: Vec<_> =
                faults.iter().map(|fault| scope.spawn(move || self.run_at(fault, start))).collect();
            for fault in running {
                fault.join().map_err(|_| eyre!("a fault panicked"))??;
            }
            Ok(())
        })
    }

    /// Returns what was done.
    pub fn finish(self) -> FaultRecord {
        self.record.into_inner().unwrap_or_else(PoisonError::into_inner)
    }

    fn run_at(&self, fault: &TimedFault, start: Instant) -> eyre::Result<()> {
        let due = start + Duration::from_secs_f64(fault.at);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        tell(&format!("{:>5.1} s  {} {}", fault.at, fault.action, fault.target));
        let lasts = Duration::from_secs_f64(fault.lasts);
        match fault.action.as_str() {
            "zone-out" => self.state("zones", &fault.target, "out"),
            "zone-in" => self.state("zones", &fault.target, "in"),
            "pause" => self.pause(&fault.target, lasts),
            "race" => self.race(&fault.target),
            "stop-zone" => self.stop_zone(&fault.target),
            "kill-zone" => self.kill_zone(&fault.target),
            "start-zone" => self.start_zone(&fault.target),
            "outage" => {
                self.platform_fault(json!({"kind": "outage", "ms": lasts.as_millis() as u64}))
            }
            "lose" => self.platform_fault(json!({"kind": "lose", "count": 2})),
            "cold" => self.backend_fault(&fault.target, json!({"kind": "cold"})),
            "crash" => self.backend_fault(&fault.target, json!({"kind": "crash"})),
            "leave" => Ok(self.fleet.signal(&fault.target, "TERM")?),
            other => Err(eyre!("no fault '{other}'")),
        }
    }

    fn state(&self, kind: &str, name: &str, state: &str) -> eyre::Result<()> {
        let store = self.fleet.store()?;
        let key = format!("{kind}/{name}");
        let stored = format!("{CONFIG_PREFIX}{key}");
        let value = format!("{{\"state\":\"{state}\"}}");
        let seen = store.get(&stored)?;
        match reconcile::apply_change(store.as_ref(), &stored, seen.as_ref(), Some(&value)) {
            Ok(reconcile::ChangeOutcome::Written(version)) => {
                let change = AcceptedChange { key, version, at_ms: wall_micros() / 1_000 };
                self.lock().changes.push(change);
            }
            Ok(reconcile::ChangeOutcome::Unchanged(_)) => {}
            Err(PlatformError::Conflict(_)) => self.lock().conflicts += 1,
            Err(error) => return Err(error.into()),
        }
        Ok(())
    }

    /// Several operators change the state of one server against each other.
    fn race(&self, server: &str) -> eyre::Result<()> {
        thread::scope(|scope| {
            let operators: Vec<_> = (0..RACING_OPERATORS)
                .map(|operator| {
                    scope.spawn(move || {
                        let mut rng = ChoiceRng::new(self.seed ^ operator as u64);
                        for _ in 0..RACE_CHANGES {
                            let state = if rng.below(2) == 0 { "out" } else { "in" };
                            self.state("servers", server, state)?;
                            thread::sleep(Duration::from_millis(rng.below(60) as u64));
                        }
                        Ok::<(), eyre::Report>(())
                    })
                })
                .collect();
            for operator in operators {
                operator.join().map_err(|_| eyre!("an operator panicked"))??;
            }
            Ok::<(), eyre::Report>(())
        })?;
        self.state("servers", server, "in")
    }

    fn pause(&self, process: &str, lasts: Duration) -> eyre::Result<()> {
        self.begin_absence(process);
        self.fleet.signal(process, "STOP")?;
        thread::sleep(lasts);
        self.fleet.signal(process, "CONT")?;
        self.end_absence(process);
        Ok(())
    }

    /// Lets a zone's processes leave, then stops its backend servers.
    fn stop_zone(&self, zone: &str) -> eyre::Result<()> {
        let processes = self.fleet.zone_processes(zone);
        let (backends, daemons): (Vec<&String>, Vec<&String>) =
            processes.iter().partition(|id| id.ends_with("-backend"));
        for id in &daemons {
            self.begin_absence(id);
            self.fleet.signal(id, "TERM")?;
        }
        for id in &daemons {
            if !self.fleet.wait_end(id)? {
                return Err(eyre!("{id} left with an error"));
            }
        }
        backends.iter().for_each(|id| self.fleet.kill(id));
        Ok(())
    }

    fn kill_zone(&self, zone: &str) -> eyre::Result<()> {
        for id in self.fleet.zone_processes(zone) {
            self.begin_absence(&id);
            self.fleet.kill(&id);
        }
        Ok(())
    }

    fn start_zone(&self, zone: &str) -> eyre::Result<()> {
        self.fleet.start_zone(zone)?;
        for id in self.fleet.zone_processes(zone) {
            self.end_absence(&id);
        }
        Ok(())
    }

    fn platform_fault(&self, fault: serde_json::Value) -> eyre::Result<()> {
        http_json("POST", &self.fleet.platform, "/standin/fault", Some(fault))?;
        Ok(())
    }

    fn backend_fault(&self, server: &str, fault: serde_json::Value) -> eyre::Result<()> {
        let address = self.fleet.server(server)?.backend;
        http_json("POST", &address, "/standin/fault", Some(fault))?;
        Ok(())
    }

    fn begin_absence(&self, process: &str) {
        let from_ms = wall_micros() / 1_000;
        let span = AbsentSpan { process: process.to_string(), from_ms, until_ms: u64::MAX };
        self.lock().absent.push(span);
    }

    fn end_absence(&self, process: &str) {
        let now_ms = wall_micros() / 1_000;
        let mut record = self.lock();
        let spans = record.absent.iter_mut();
        let open = spans.filter(|span| span.process == process && span.until_ms == u64::MAX);
        open.for_each(|span| span.until_ms = now_ms);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FaultRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
