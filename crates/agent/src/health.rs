//! Checks the backend server's health, at intervals and on request.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use cuminpick::agent::AgentEvent;
use cuminpick_backends::BackendError;
use cuminpick_backends::BackendServer;

use crate::decide::Decider;

/// Time between two periodic health checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two health checks, which bounds the rate of requested ones.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Consecutive failures after which the backend server counts as unreachable; a refused
/// connection counts at once.
const FAILURE_THRESHOLD: u32 = 2;

/// Starts the `health` thread; a message on `check_requests` triggers a check at once.
pub fn start_health_checks(
    backend: Arc<dyn BackendServer>,
    decider: Decider,
    check_requests: Receiver<()>,
) -> std::io::Result<()> {
    thread::Builder::new().name("health".to_string()).spawn(move || {
        let mut consecutive_failures = 0;
        loop {
            match backend.health() {
                Ok(report) => {
                    consecutive_failures = 0;
                    decider.handle_event(AgentEvent::Healthy { boot: report.boot });
                }
                Err(error) => {
                    consecutive_failures += 1;
                    let unreachable = matches!(error, BackendError::Unreachable(_));
                    if unreachable || consecutive_failures >= FAILURE_THRESHOLD {
                        decider.handle_event(AgentEvent::Unreachable);
                    }
                }
            }
            thread::sleep(MIN_CHECK_INTERVAL);
            let _ = check_requests.recv_timeout(CHECK_INTERVAL);
        }
    })?;
    Ok(())
}
