//! Command line of the entry daemon.

use std::path::PathBuf;

use bpaf::Parser;
use cuminpick::settings::EntrySettings;
use cuminpick_entry::daemon::run_entry;

fn main() -> eyre::Result<()> {
    let settings = bpaf::long("settings")
        .help("Settings file of the entry, in TOML")
        .argument::<PathBuf>("FILE");
    let options = settings
        .to_options()
        .descr("Accepts callers' requests and forwards them to backend servers.")
        .version(env!("CARGO_PKG_VERSION"));
    let path = options.run();
    run_entry(&EntrySettings::load(&path)?)
}
