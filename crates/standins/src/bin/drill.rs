//! Command line of the drill runner.

use std::io::Write;

use bpaf::OptionParser;
use bpaf::Parser;
use cuminpick_standins::drills::DrillOptions;
use cuminpick_standins::drills::run_drill;

/// Exit status of a drill that ran and did not meet its expectations.
const NOT_MET_STATUS: i32 = 3;

fn main() -> eyre::Result<()> {
    let (options, name) = options().run();
    let figures = run_drill(&name, &options)?;
    writeln!(std::io::stdout(), "{figures}")?;
    if figures["met"] != serde_json::Value::Bool(true) {
        std::process::exit(NOT_MET_STATUS);
    }
    Ok(())
}

fn options() -> OptionParser<(DrillOptions, String)> {
    let seed =
        bpaf::long("seed").help("Seed of the load and the faults").argument::<u64>("N").fallback(1);
    let seconds = bpaf::long("seconds")
        .help("Length of the measured part; the scenario's own without it")
        .argument::<f64>("S")
        .optional();
    let options = bpaf::construct!(DrillOptions { seed, seconds });
    let name = bpaf::positional::<String>("NAME").help("path, zone, vanish, overload or capacity");
    bpaf::construct!(options, name)
        .to_options()
        .descr("Runs a scenario over real processes and prints its figures as JSON.")
}
