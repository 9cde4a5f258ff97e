//! Command line of `cuminpick`.

use std::path::PathBuf;

use bpaf::OptionParser;
use bpaf::Parser;
use cuminpick::config::ServiceState;
use cuminpick::journal::JournalFilter;

use crate::config_commands::StateKind;
use crate::config_commands::TargetFields;

/// Text after the list of commands.
const FOOTER: &str = "Exit status: 0 done, 1 not found or other errors, 3 lost to another change, \
4 platform not reached, 5 outcome not known, 6 not valid, 7 a trace replays differently. \
Shell completion: cuminpick --bpaf-complete-style-bash (or -zsh, -fish, -elvish).";

/// A whole command line.
#[derive(Debug, Clone)]
pub struct CommandLine {
    /// Base URL of the platform's object API.
    pub platform: String,
    /// Whether to print JSON.
    pub json: bool,
    /// What to do.
    pub command: OperatorCommand,
}

/// What to do.
#[derive(Debug, Clone)]
pub enum OperatorCommand {
    /// Create a class or change its targets.
    SetTarget(String, TargetFields),
    /// Remove a class.
    RemoveTarget(String),
    /// List classes.
    ListTargets,
    /// Take a zone or server out, or bring it back.
    SetState(StateKind, ServiceState, String),
    /// List zones or servers.
    ListStates(StateKind),
    /// Show the state of the fleet.
    Status(Vec<String>),
    /// Merge logs into a time line.
    Timeline(JournalFilter, Vec<PathBuf>),
    /// Replay a trace.
    Replay(PathBuf),
    /// Check settings.
    Check(PathBuf),
}

/// Makes the parser.
pub fn command_line() -> OptionParser<CommandLine> {
    let platform = bpaf::long("platform")
        .env("CUMINPICK_PLATFORM")
        .help("Base URL of the platform's object API")
        .argument::<String>("URL")
        .fallback("http://127.0.0.1:7000".to_string())
        .display_fallback();
    let json = bpaf::long("json").help("Print JSON for programs").switch();
    let command = commands();
    bpaf::construct!(CommandLine { platform, json, command })
        .to_options()
        .descr("States targets, takes zones and backend servers out and back, and shows the fleet.")
        .footer(FOOTER)
        .version(env!("CARGO_PKG_VERSION"))
}

fn commands() -> impl Parser<OperatorCommand> {
    let target =
        target_commands().to_options().descr("Classes of work and their targets").command("target");
    let zone =
        state_commands(StateKind::Zone).to_options().descr("Availability zones").command("zone");
    let server =
        state_commands(StateKind::Server).to_options().descr("Backend servers").command("server");
    let status = {
        let admins = bpaf::positional::<String>("URL")
            .help("Admin address of a process, such as http://10.0.0.1:9001")
            .many();
        bpaf::construct!(OperatorCommand::Status(admins))
            .to_options()
            .descr("What is accepted, and what each process has in force")
            .command("status")
    };
    let timeline = {
        let filter = journal_filter();
        let files = bpaf::positional::<PathBuf>("FILE").help("Log of a process").some("give a log");
        bpaf::construct!(OperatorCommand::Timeline(filter, files))
            .to_options()
            .descr("Merges logs into one time line in causal order")
            .command("timeline")
    };
    let replay = {
        let file = bpaf::positional::<PathBuf>("FILE").help("Trace of an entry");
        bpaf::construct!(OperatorCommand::Replay(file))
            .to_options()
            .descr("Replays a trace and compares each decision with the recorded one")
            .command("replay")
    };
    let check = {
        let file = bpaf::positional::<PathBuf>("FILE").help("Settings of an entry or agent");
        bpaf::construct!(OperatorCommand::Check(file))
            .to_options()
            .descr("Checks a settings file")
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
            .descr("Creates a class, or changes the targets given")
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
    bpaf::positional::<String>("CLASS").help("Class of work")
}

fn target_fields() -> impl Parser<TargetFields> {
    let service = bpaf::long("service")
        .help("Service that runs the class")
        .argument::<String>("NAME")
        .optional();
    let share = bpaf::long("share")
        .help("Share of answers that must meet the times, above 0 up to 1")
        .argument::<f64>("SHARE")
        .optional();
    let first_token_ms = bpaf::long("first-token-ms")
        .help("Time to the first token, or to a whole answer")
        .argument::<u64>("MS")
        .optional();
    let token_gap_ms = bpaf::long("token-gap-ms")
        .help("Time between tokens; 0 for none")
        .argument::<u64>("MS")
        .optional();
    let repeatable = bpaf::long("repeatable")
        .help("Whether a request may run more than once: true or false")
        .argument::<bool>("BOOL")
        .optional();
    let priority = bpaf::long("priority")
        .help("0 to 9; higher is served first")
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
        .descr("Lists what was stated")
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
        .help("Only events of this request, as in Cuminpick-Request-Id")
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
