//! Runs a drill by name and prints its metrics as JSON.

use std::io::Write;

use bpaf::OptionParser;
use bpaf::Parser;
use cuminpick_standins::drills::DrillOptions;
use cuminpick_standins::drills::run_drill;

/// Exit status of a drill that ran but did not meet its expectations.
const NOT_MET_STATUS: i32 = 3;

fn main() -> eyre::Result<()> {
    let (options, name) = options().run();
    let metrics = run_drill(&name, &options)?;
    writeln!(std::io::stdout(), "{metrics}")?;
    if metrics["met"] != serde_json::Value::Bool(true) {
        std::process::exit(NOT_MET_STATUS);
    }
    Ok(())
}

/// Returns the parser of the command line.
fn options() -> OptionParser<(DrillOptions, String)> {
    let seed = bpaf::long("seed")
        .help("Seed of the random load and faults")
        .argument::<u64>("N")
        .fallback(1);
    let seconds = bpaf::long("seconds")
        .help("Length of the measured part, in seconds; by default the scenario's own")
        .argument::<f64>("S")
        .optional();
    let options = bpaf::construct!(DrillOptions { seed, seconds });
    let name = bpaf::positional::<String>("NAME").help("path, zone, vanish, overload or capacity");
    bpaf::construct!(options, name)
        .to_options()
        .descr("Runs a scenario against real processes and prints its metrics as JSON.")
}
