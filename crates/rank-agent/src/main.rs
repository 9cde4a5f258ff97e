//! Command line of the rank agent.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Parser;
use cuminpick::demand::DemandSettings;
use cuminpick::experts::PlanSettings;
use cuminpick_platform::settings::NodeSettings;
use cuminpick_rank_agent::daemon::run_agent;
use cuminpick_rank_agent::state::AgentTuning;

struct Options {
    settings: PathBuf,
    metrics_port: Option<u16>,
    check: bool,
    tuning: AgentTuning,
}

/// Parses the settings of the map planner.
fn tuning_parser() -> impl Parser<AgentTuning> {
    let plan_defaults = PlanSettings::default();
    let demand_defaults = DemandSettings::default();
    let move_gain = bpaf::long("move-gain")
        .help("Fraction by which each move must lower a set's highest load")
        .argument::<f64>("PART")
        .fallback(plan_defaults.move_gain);
    let plan_gain = bpaf::long("plan-gain")
        .help("Fraction by which a plan must lower the sum of the sets' highest loads")
        .argument::<f64>("PART")
        .fallback(plan_defaults.plan_gain);
    let max_copy_time_ms = bpaf::long("copy-span-ms")
        .help("Maximum time for the copies to a rank in one switch, in milliseconds")
        .argument::<u64>("MS")
        .fallback(plan_defaults.max_copy_time.as_millis() as u64);
    let max_copies_in_set = bpaf::long("copies-in-set")
        .help("Maximum number of copies to a rank in one set and switch")
        .argument::<usize>("N")
        .fallback(plan_defaults.max_copies_per_rank_and_set);
    let recent_ms = bpaf::long("recent-ms")
        .help("Time constant of recent demand, in milliseconds")
        .argument::<u64>("MS")
        .fallback(demand_defaults.recent_time_constant.as_millis() as u64);
    let long_share = bpaf::long("long-share")
        .help("Share of long-run demand in plans")
        .argument::<f64>("PART")
        .fallback(demand_defaults.long_share);
    bpaf::construct!(
        move_gain,
        plan_gain,
        max_copy_time_ms,
        max_copies_in_set,
        recent_ms,
        long_share
    )
    .map(
        move |(
            move_gain,
            plan_gain,
            max_copy_time_ms,
            max_copies_in_set,
            recent_ms,
            long_share,
        )| AgentTuning {
            plan: PlanSettings {
                max_copy_time: Duration::from_millis(max_copy_time_ms),
                max_copies_per_rank_and_set: max_copies_in_set,
                move_gain,
                plan_gain,
            },
            demand: DemandSettings {
                recent_time_constant: Duration::from_millis(recent_ms.max(1)),
                long_share,
                ..DemandSettings::default()
            },
        },
    )
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
    let tuning = tuning_parser();
    let options = bpaf::construct!(Options { settings, metrics_port, check, tuning })
        .to_options()
        .descr(
            "Reports the load of the model engine on its VM and switches its group's expert maps.",
        )
        .version(env!("CARGO_PKG_VERSION"))
        .run();
    let node = NodeSettings::load(&options.settings)?;
    if options.check {
        let mut out = std::io::stdout();
        std::io::Write::write_all(&mut out, format!("{node:#?}\n").as_bytes())?;
        return Ok(());
    }
    run_agent(node, options.tuning, options.metrics_port)
}
