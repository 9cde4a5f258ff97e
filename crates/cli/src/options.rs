//! Parser of the `cuminpick` command line.

use std::path::PathBuf;

use bpaf::OptionParser;
use bpaf::Parser;
use cuminpick::config::ServiceState;
use cuminpick::journal::JournalFilter;

use crate::config_commands::StateKind;
use crate::config_commands::TargetFields;

/// Text that `--help` prints after the list of commands.
const FOOTER: &str = "Exit status: 0 done, 1 not found or other errors, 3 lost to another change, \
4 platform not reached, 5 outcome not known, 6 not valid, 7 a trace replays differently. \
Shell completion: cuminpick --bpaf-complete-style-bash (or -zsh, -fish, -elvish).";

/// Parsed command line.
#[derive(Debug, Clone)]
pub struct CommandLine {
    /// Base URL of the platform's object API.
    pub platform: String,
    /// Whether to print JSON instead of text.
    pub json: bool,
    /// Command to run.
    pub command: OperatorCommand,
}

/// Command with its arguments.
#[derive(Debug, Clone)]
pub enum OperatorCommand {
    /// Creates a class of requests or changes its latency targets.
    SetTarget(String, TargetFields),
    /// Removes a class.
    RemoveTarget(String),
    /// Lists the classes and their targets.
    ListTargets,
    /// Takes a zone or backend server out of service, or brings it back.
    SetState(StateKind, ServiceState, String),
    /// Lists the zones or backend servers with a configured state.
    ListStates(StateKind),
    /// Shows the status of the processes at these admin URLs.
    Status(Vec<String>),
    /// Merges process logs into one timeline.
    Timeline(JournalFilter, Vec<PathBuf>),
    /// Replays a trace file.
    Replay(PathBuf),
    /// Validates a settings file.
    Check(PathBuf),
}

/// Returns the parser of the whole command line.
pub fn command_line() -> OptionParser<CommandLine> {
    let platform = bpaf::long("platform")
        .env("CUMINPICK_PLATFORM")
        .help("Base URL of the platform's object API")
        .argument::<String>("URL")
        .fallback("http://127.0.0.1:7000".to_string())
        .display_fallback();
    let json = bpaf::long("json").help("Print JSON instead of text").switch();
    let command = commands();
    bpaf::construct!(CommandLine { platform, json, command })
        .to_options()
        .descr(
            "Sets latency targets, takes zones and backend servers out of service and back, \
             and shows the fleet's status.",
        )
        .footer(FOOTER)
        .version(env!("CARGO_PKG_VERSION"))
}

fn commands() -> impl Parser<OperatorCommand> {
    let target = target_commands()
        .to_options()
        .descr("Classes of requests and their latency targets")
        .command("target");
    let zone =
        state_commands(StateKind::Zone).to_options().descr("Availability zones").command("zone");
    let server =
        state_commands(StateKind::Server).to_options().descr("Backend servers").command("server");
    let status = {
        let admin_urls = bpaf::positional::<String>("URL")
            .help("Admin URL of a process, such as http://10.0.0.1:9001")
            .many();
        bpaf::construct!(OperatorCommand::Status(admin_urls))
            .to_options()
            .descr("Shows the accepted configuration version and the one each process applies")
            .command("status")
    };
    let timeline = {
        let filter = journal_filter();
        let files = bpaf::positional::<PathBuf>("FILE")
            .help("Log file of a process")
            .some("expected at least one log file");
        bpaf::construct!(OperatorCommand::Timeline(filter, files))
            .to_options()
            .descr("Merges logs into one timeline in causal order")
            .command("timeline")
    };
    let replay = {
        let file = bpaf::positional::<PathBuf>("FILE").help("Trace file of an entry");
        bpaf::construct!(OperatorCommand::Replay(file))
            .to_options()
            .descr("Replays a trace and compares each decision with the recorded one")
            .command("replay")
    };
    let check = {
        let file = bpaf::positional::<PathBuf>("FILE").help("Settings file of an entry or agent");
        bpaf::construct!(OperatorCommand::Check(file))
            .to_options()
            .descr("Validates a settings file")
            .command("check")
    };
    bpaf::construct!([target, zone, server, status, timeline, replay, check])
}

fn target_commands() -> impl Parser<OperatorCommand> {
    let set = {
        let fields = target_fields();
        let class = class_name();
        bpaf::construct!(fields, class)
            .map(|(fields, class)| OperatorCommand::SetTarget(class, fields))
            .to_options()
            .descr("Creates a class, or changes the given fields of an existing one")
            .command("set")
    };
    let remove = {
        let class = class_name();
        bpaf::construct!(OperatorCommand::RemoveTarget(class))
            .to_options()
            .descr("Removes a class")
            .command("remove")
    };
    let list = bpaf::pure(OperatorCommand::ListTargets)
        .to_options()
        .descr("Lists classes and their targets")
        .command("list");
    bpaf::construct!([set, remove, list])
}

fn class_name() -> impl Parser<String> {
    bpaf::positional::<String>("CLASS").help("Name of the class")
}

fn target_fields() -> impl Parser<TargetFields> {
    let service = bpaf::long("service")
        .help("Service that runs requests of the class")
        .argument::<String>("NAME")
        .optional();
    let share = bpaf::long("share")
        .help("Fraction of answers that must meet the latency targets, above 0 and at most 1")
        .argument::<f64>("SHARE")
        .optional();
    let first_token_ms = bpaf::long("first-token-ms")
        .help("Target time to the first token, or to the whole answer if not streamed")
        .argument::<u64>("MS")
        .optional();
    let token_gap_ms = bpaf::long("token-gap-ms")
        .help("Target time between tokens; 0 removes the target")
        .argument::<u64>("MS")
        .optional();
    let repeatable = bpaf::long("repeatable")
        .help("Whether a request may run more than once: true or false")
        .argument::<bool>("BOOL")
        .optional();
    let priority = bpaf::long("priority")
        .help("Priority from 0 to 9; higher is served first")
        .argument::<u8>("N")
        .optional();
    bpaf::construct!(TargetFields {
        service,
        share,
        first_token_ms,
        token_gap_ms,
        repeatable,
        priority
    })
}

fn state_commands(kind: StateKind) -> impl Parser<OperatorCommand> {
    let take_out = state_command(kind, ServiceState::Out, "take-out", "Takes it out of service");
    let bring_back =
        state_command(kind, ServiceState::In, "bring-back", "Brings it back into service");
    let list = bpaf::pure(OperatorCommand::ListStates(kind))
        .to_options()
        .descr("Lists those with a configured state")
        .command("list");
    bpaf::construct!([take_out, bring_back, list])
}

fn state_command(
    kind: StateKind,
    state: ServiceState,
    name: &'static str,
    help: &'static str,
) -> impl Parser<OperatorCommand> {
    bpaf::positional::<String>("NAME")
        .map(move |name| OperatorCommand::SetState(kind, state, name))
        .to_options()
        .descr(help)
        .command(name)
}

fn journal_filter() -> impl Parser<JournalFilter> {
    let request = bpaf::long("request")
        .help("Only events of this request, by its Cuminpick-Request-Id")
        .argument::<String>("ID")
        .optional();
    let since_ms = bpaf::long("since-ms")
        .help("Only events at or after this time, in Unix milliseconds")
        .argument::<u64>("MS")
        .optional();
    let until_ms = bpaf::long("until-ms")
        .help("Only events at or before this time, in Unix milliseconds")
        .argument::<u64>("MS")
        .optional();
    bpaf::construct!(JournalFilter { request, since_ms, until_ms })
}
