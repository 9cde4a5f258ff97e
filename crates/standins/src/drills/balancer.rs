//! The platform's balancer in front of the entries: polls readiness, with a lag.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::drills::traffic::TargetChoice;
use crate::fleet::Fleet;

/// Time between two polls of an entry.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time for the answer to a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

struct BalancedEntry {
    callers: SocketAddr,
    admin: SocketAddr,
    ready: AtomicBool,
}

/// Polls entries until it is dropped.
pub struct Balancer {
    entries: Arc<Vec<BalancedEntry>>,
    stopped: Arc<AtomicBool>,
}

impl Balancer {
    /// Starts to poll the entries of a fleet.
    pub fn start(fleet: &Fleet) -> eyre::Result<Balancer> {
        let entries = fleet.entries.iter().map(|entry| BalancedEntry {
            callers: entry.callers,
            admin: entry.admin,
            ready: AtomicBool::new(true),
        });
        let entries: Arc<Vec<BalancedEntry>> = Arc::new(entries.collect());
        let stopped = Arc::new(AtomicBool::new(false));
        for index in 0..entries.len() {
            let (entries, stopped) = (Arc::clone(&entries), Arc::clone(&stopped));
            thread::Builder::new()
                .name("balancer".to_string())
                .spawn(move || poll(&entries[index], &stopped))?;
        }
        Ok(Balancer { entries, stopped })
    }

    /// Sends each request to the next entry that was ready when last asked.
    pub fn choice(&self) -> TargetChoice {
        let entries = Arc::clone(&self.entries);
        Arc::new(move |number, _| {
            let count = entries.len();
            let turn = (0..count).map(|step| &entries[(number + step) % count]);
            let mut ready = turn.filter(|entry| entry.ready.load(Ordering::Relaxed));
            ready.next().unwrap_or(&entries[number % count]).callers
        })
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn poll(entry: &BalancedEntry, stopped: &AtomicBool) {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(POLL_TIMEOUT)).build().into();
    let url = format!("http://{}/readyz", entry.admin);
    while !stopped.load(Ordering::Relaxed) {
        let ready = agent.get(&url).call().is_ok();
        entry.ready.store(ready, Ordering::Relaxed);
        thread::sleep(POLL_INTERVAL);
    }
}
