//! Thread that asks the backend server whether it lives.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use cuminpick::agent::AgentEvent;
use cuminpick_backends::BackendError;
use cuminpick_backends::BackendServer;

use crate::decide::Decider;

/// Time between two health checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two health checks.
const CHECK_PAUSE: Duration = Duration::from_millis(20);
/// Failed checks in a row, other than a refused connection, that count.
const FAILED_CHECKS: u32 = 2;

/// Starts the thread; a message on `alarms` asks for a check now.
pub fn start_health(
    backend: Arc<dyn BackendServer>,
    decider: Decider,
    alarms: Receiver<()>,
) -> std::io::Result<()> {
    thread::Builder::new().name("health".to_string()).spawn(move || {
        let mut failures = 0;
        loop {
            match backend.health() {
                Ok(report) => {
                    failures = 0;
                    decider.event(AgentEvent::Healthy { boot: report.boot });
                }
                Err(error) => {
                    failures += 1;
                    let certain = matches!(error, BackendError::Unreachable(_));
                    if certain || failures >= FAILED_CHECKS {
                        decider.event(AgentEvent::Unreachable);
                    }
                }
            }
            thread::sleep(CHECK_PAUSE);
            let _ = alarms.recv_timeout(CHECK_INTERVAL);
        }
    })?;
    Ok(())
}
