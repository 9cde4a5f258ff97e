//! The `cuminpick` binary: parses the command line, runs the command and prints its report.

use std::io::Write;

use cuminpick_cli::config_commands;
use cuminpick_cli::file_commands::check_file;
use cuminpick_cli::file_commands::replay_file;
use cuminpick_cli::file_commands::show_timeline;
use cuminpick_cli::options::OperatorCommand;
use cuminpick_cli::options::command_line;
use cuminpick_cli::report::CommandError;
use cuminpick_cli::report::CommandReport;
use cuminpick_cli::status::fleet_status;
use cuminpick_objects::PlatformStore;

fn main() {
    let arguments = command_line().run();
    let store = PlatformStore::new(&arguments.platform).map_err(CommandError::from);
    let status = match store.and_then(|store| run_command(&store, arguments.command)) {
        Ok(report) if arguments.json => print_text(&report.json.to_string()),
        Ok(report) => print_text(&report.text),
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "cuminpick: {error}");
            error.exit_status()
        }
    };
    std::process::exit(status);
}

fn run_command(
    store: &PlatformStore,
    command: OperatorCommand,
) -> Result<CommandReport, CommandError> {
    match command {
        OperatorCommand::SetTarget(class, fields) => {
            config_commands::set_target(store, &class, &fields)
        }
        OperatorCommand::RemoveTarget(class) => config_commands::remove_target(store, &class),
        OperatorCommand::ListTargets => config_commands::list_targets(store),
        OperatorCommand::SetState(kind, state, name) => {
            config_commands::set_state(store, kind, &name, state)
        }
        OperatorCommand::ListStates(kind) => config_commands::list_states(store, kind),
        OperatorCommand::Status(admin_urls) => fleet_status(store, &admin_urls),
        OperatorCommand::Timeline(filter, files) => show_timeline(&files, &filter),
        OperatorCommand::Replay(file) => replay_file(&file),
        OperatorCommand::Check(file) => check_file(&file),
    }
}

/// Prints a line to standard output; returns the exit status.
fn print_text(text: &str) -> i32 {
    match writeln!(std::io::stdout(), "{text}") {
        Ok(()) => 0,
        Err(_) => 1,
    }
}
