//! Command line of the gateway daemon.

use std::path::PathBuf;

use bpaf::Parser;
use cuminpick_gateway::daemon::run_gateway;
use cuminpick_platform::settings::NodeSettings;

struct Options {
    settings: PathBuf,
    metrics_port: Option<u16>,
    check: bool,
}

fn main() -> eyre::Result<()> {
    let settings = bpaf::long("settings")
        .help("Settings file; defaults to the path that the platform sets")
        .argument::<PathBuf>("FILE")
        .fallback_with(|| Ok::<_, std::convert::Infallible>(NodeSettings::path()));
    let metrics_port = bpaf::long("metrics-port")
        .help("Port of the VM on which to serve /metrics; by default no port is opened for it")
        .argument::<u16>("PORT")
        .optional();
    let check = bpaf::long("check").help("Check the settings, print them and exit").switch();
    let options = bpaf::construct!(Options { settings, metrics_port, check })
        .to_options()
        .descr("Forwards callers' requests to backend servers.")
        .version(env!("CARGO_PKG_VERSION"))
        .run();
    let node = NodeSettings::load(&options.settings)?;
    if options.check {
        let mut out = std::io::stdout();
        std::io::Write::write_all(&mut out, format!("{node:#?}\n").as_bytes())?;
        return Ok(());
    }
    run_gateway(node, options.settings, options.metrics_port)
}
