//! Command line of the stand-ins.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use cuminpick_standins::booking::BookingStandin;
use cuminpick_standins::engine::EngineStandin;
use cuminpick_standins::model::BearingSettings;
use cuminpick_standins::platform::PlatformRates;
use cuminpick_standins::platform::PlatformStandin;
use cuminpick_standins::server::StandinService;
use cuminpick_standins::server::serve;

/// Stand-in to run.
#[derive(Debug, Clone)]
enum StandinCommand {
    Platform { listen: SocketAddr, rates: PlatformRates },
    Engine { listen: SocketAddr, bearing: BearingSettings, ignores_fence: bool },
    Booking { listen: SocketAddr, bearing: BearingSettings, ledger: Option<PathBuf> },
}

fn main() -> eyre::Result<()> {
    match options().run() {
        StandinCommand::Platform { listen, rates } => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(PlatformStandin::new(rates).serve(listen))
        }
        StandinCommand::Engine { listen, bearing, ignores_fence } => {
            run_async(listen, || EngineStandin::start(bearing, !ignores_fence))
        }
        StandinCommand::Booking { listen, bearing, ledger } => {
            let open = |path| File::options().create(true).append(true).open(path);
            let file = ledger.map(open).transpose()?;
            run_async(listen, || {
                let service = BookingStandin::start(bearing, file);
                service.keep_up();
                service
            })
        }
    }
}

fn run_async<S: StandinService>(
    listen: SocketAddr,
    start: impl FnOnce() -> Arc<S>,
) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let service: Arc<dyn StandinService> = start();
        serve(listen, service).await
    })
}

fn options() -> OptionParser<StandinCommand> {
    let platform = {
        let listen = listen();
        let writes = number("writes", "Writes allowed a second", 500.0);
        let reads = number("reads", "Reads allowed a second", 2_000.0);
        let rates = bpaf::construct!(PlatformRates { writes, reads });
        bpaf::construct!(StandinCommand::Platform { listen, rates })
            .to_options()
            .command("platform")
    };
    let engine = {
        let listen = listen();
        let bearing = bearing();
        let ignores_fence =
            bpaf::long("ignores-fence").help("Take orders with old fencing numbers").switch();
        bpaf::construct!(StandinCommand::Engine { listen, bearing, ignores_fence })
            .to_options()
            .command("engine")
    };
    let booking = {
        let listen = listen();
        let bearing = bearing();
        let ledger = bpaf::long("ledger")
            .help("File to which each run is appended")
            .argument::<PathBuf>("FILE")
            .optional();
        bpaf::construct!(StandinCommand::Booking { listen, bearing, ledger })
            .to_options()
            .command("booking")
    };
    bpaf::construct!([platform, engine, booking])
        .to_options()
        .descr("Small stand-ins for the systems around cuminpick.")
}

fn listen() -> impl Parser<SocketAddr> {
    bpaf::long("listen").help("Address to listen on").argument::<SocketAddr>("ADDRESS")
}

fn number(name: &'static str, help: &'static str, fallback: f64) -> impl Parser<f64> {
    bpaf::long(name).help(help).argument::<f64>("NUMBER").fallback(fallback)
}

fn bearing() -> impl Parser<BearingSettings> {
    let cold = number("cold", "Concurrency borne when cold", 3.0);
    let full = number("full", "Concurrency borne when warm", 32.0);
    let warm_time = number("warm-s", "Seconds from cold to warm", 8.0).map(Duration::from_secs_f64);
    let base = number("base-ms", "Step time of a single request", 20.0)
        .map(|millis| Duration::from_secs_f64(millis / 1_000.0));
    bpaf::construct!(BearingSettings { cold, full, warm_time, base })
}
