//! Signals that ask a daemon to leave.

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Waits for SIGTERM or SIGINT.
pub fn wait_for_stop() -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals.forever().next();
    Ok(())
}
