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

fn tuning() -> impl Parser<AgentTuning> {
    let plan_defaults = PlanSettings::default();
    let demand_defaults = DemandSettings::default();
    let move_gain = bpaf::long("move-gain")
        .help("Part by which each move must lower a set's highest load")
        .argument::<f64>("PART")
        .fallback(plan_defaults.move_gain);
    let plan_gain = bpaf::long("plan-gain")
        .help("Part by which a plan must lower the sum of highest loads")
        .argument::<f64>("PART")
        .fallback(plan_defaults.plan_gain);
    let copy_span = bpaf::long("copy-span-ms")
        .help("Longest time for the copies to a rank in one switch")
        .argument::<u64>("MS")
        .fallback(plan_defaults.max_copy_time.as_millis() as u64);
    let copies_in_set = bpaf::long("copies-in-set")
        .help("Most copies to a rank in one set and switch")
        .argument::<usize>("N")
        .fallback(plan_defaults.max_copies_per_rank_and_set);
    let recent = bpaf::long("recent-ms")
        .help("Time constant of recent demand")
        .argument::<u64>("MS")
        .fallback(demand_defaults.recent_time_constant.as_millis() as u64);
    let long_share = bpaf::long("long-share")
        .help("Part of long-run demand in plans")
        .argument::<f64>("PART")
        .fallback(demand_defaults.long_share);
    bpaf::construct!(move_gain, plan_gain, copy_span, copies_in_set, recent, long_share).map(
        move |(move_gain, plan_gain, copy_span, copies_in_set, recent, long_share)| AgentTuning {
            plan: PlanSettings {
                max_copy_time: Duration::from_millis(copy_span),
                max_copies_per_rank_and_set: copies_in_set,
                move_gain,
                plan_gain,
            },
            demand: DemandSettings {
                recent_time_constant: Duration::from_millis(recent.max(1)),
                long_share,
                ..DemandSettings::default()
            },
        },
    )
}

fn main() -> eyre::Result<()> {
    let settings = bpaf::long("settings")
        .help("Settings file; by default the one that the platform names")
        .argument::<PathBuf>("FILE")
        .fallback_with(|| Ok::<_, std::convert::Infallible>(NodeSettings::path()));
    let metrics_port = bpaf::long("metrics-port")
        .help("Port of the VM on which /metrics is served; not served without it")
        .argument::<u16>("PORT")
        .optional();
    let check = bpaf::long("check").help("Check the settings, print them and leave").switch();
    let tuning = tuning();
    let options = bpaf::construct!(Options { settings, metrics_port, check, tuning })
        .to_options()
        .descr("Watches the model engine on its VM and keeps its group's expert maps.")
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
