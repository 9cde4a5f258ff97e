//! Command line of the agent daemon.

use std::path::PathBuf;

use bpaf::Parser;
use cuminpick::settings::AgentSettings;
use cuminpick_agent::daemon::run_agent;

fn main() -> eyre::Result<()> {
    let settings =
        bpaf::long("settings").help("Settings of the agent, in TOML").argument::<PathBuf>("FILE");
    let options = settings
        .to_options()
        .descr(
            "Admits requests to the backend server beside it and forwards the answers to entries.",
        )
        .version(env!("CARGO_PKG_VERSION"));
    let path = options.run();
    run_agent(&AgentSettings::load(&path)?)
}
