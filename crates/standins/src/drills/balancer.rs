//! Stand-in for the platform's load balancer in front of the entries: polls their readiness
//! and sends requests to ready ones in turn.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::drills::traffic::TargetChoice;
use crate::fleet::Fleet;

/// Interval between two polls of an entry.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

struct BalancedEntry {
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    ready: AtomicBool,
}

/// Load balancer that polls its entries until it is dropped.
pub struct Balancer {
    entries: Arc<Vec<BalancedEntry>>,
    stopped: Arc<AtomicBool>,
}

impl Balancer {
    /// Starts polling the entries of a fleet.
    pub fn start(fleet: &Fleet) -> eyre::Result<Balancer> {
        let entries = fleet.entries.iter().map(|entry| BalancedEntry {
            caller_address: entry.caller_address,
            admin_address: entry.admin_address,
            ready: AtomicBool::new(true),
        });
        let entries: Arc<Vec<BalancedEntry>> = Arc::new(entries.collect());
        let stopped = Arc::new(AtomicBool::new(false));
        for index in 0..entries.len() {
            let (entries, stopped) = (Arc::clone(&entries), Arc::clone(&stopped));
            thread::Builder::new()
                .name("balancer".to_string())
                .spawn(move || poll_readiness(&entries[index], &stopped))?;
        }
        Ok(Balancer { entries, stopped })
    }

    /// Returns a choice that sends each request to the next entry that was ready at its last
    /// poll, or to the next one if none was.
    pub fn target_choice(&self) -> TargetChoice {
        let entries = Arc::clone(&self.entries);
        Arc::new(move |number, _| {
            let count = entries.len();
            let in_turn = (0..count).map(|step| &entries[(number + step) % count]);
            let mut ready = in_turn.filter(|entry| entry.ready.load(Ordering::Relaxed));
            ready.next().unwrap_or(&entries[number % count]).caller_address
        })
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn poll_readiness(entry: &BalancedEntry, stopped: &AtomicBool) {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(POLL_TIMEOUT)).build().into();
    let url = format!("http://{}/readyz", entry.admin_address);
    while !stopped.load(Ordering::Relaxed) {
        let ready = agent.get(&url).call().is_ok();
        entry.ready.store(ready, Ordering::Relaxed);
        thread::sleep(POLL_INTERVAL);
    }
}
