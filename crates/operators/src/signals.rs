//! Waits for the signals that shut a daemon down.

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Blocks until SIGTERM or SIGINT arrives; fails if no handler can be installed.
pub fn wait_for_stop() -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals.forever().next();
    Ok(())
}
