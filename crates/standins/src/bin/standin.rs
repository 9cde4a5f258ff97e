//! Runs one stand-in process: the platform's store, a model engine or a booking service.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use cuminpick_standins::booking::BookingStandin;
use cuminpick_standins::engine::EngineStandin;
use cuminpick_standins::model::CapacitySettings;
use cuminpick_standins::platform::PlatformRates;
use cuminpick_standins::platform::PlatformStandin;
use cuminpick_standins::server::StandinService;
use cuminpick_standins::server::serve;

/// Stand-in to run, with its settings.
#[derive(Debug, Clone)]
enum StandinCommand {
    Platform { listen: SocketAddr, rates: PlatformRates },
    Engine { listen: SocketAddr, capacity: CapacitySettings, ignores_fence: bool },
    Booking { listen: SocketAddr, capacity: CapacitySettings, ledger: Option<PathBuf> },
}

fn main() -> eyre::Result<()> {
    match options().run() {
        StandinCommand::Platform { listen, rates } => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(PlatformStandin::new(rates).serve(listen))
        }
        StandinCommand::Engine { listen, capacity, ignores_fence } => {
            run_async(listen, || EngineStandin::start(capacity, !ignores_fence))
        }
        StandinCommand::Booking { listen, capacity, ledger } => {
            let open = |path| File::options().create(true).append(true).open(path);
            let file = ledger.map(open).transpose()?;
            run_async(listen, || {
                let service = BookingStandin::start(capacity, file);
                service.restart_after_crashes();
                service
            })
        }
    }
}

/// Starts a service within a runtime and serves it.
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

/// Returns the parser of the command line.
fn options() -> OptionParser<StandinCommand> {
    let platform = {
        let listen = listen();
        let writes = number("writes", "Writes allowed per second", 500.0);
        let reads = number("reads", "Reads allowed per second", 2_000.0);
        let rates = bpaf::construct!(PlatformRates { writes, reads });
        bpaf::construct!(StandinCommand::Platform { listen, rates })
            .to_options()
            .command("platform")
    };
    let engine = {
        let listen = listen();
        let capacity = capacity();
        let ignores_fence = bpaf::long("ignores-fence")
            .help("Accept orders with outdated fencing numbers")
            .switch();
        bpaf::construct!(StandinCommand::Engine { listen, capacity, ignores_fence })
            .to_options()
            .command("engine")
    };
    let booking = {
        let listen = listen();
        let capacity = capacity();
        let ledger = bpaf::long("ledger")
            .help("File to which each run is appended")
            .argument::<PathBuf>("FILE")
            .optional();
        bpaf::construct!(StandinCommand::Booking { listen, capacity, ledger })
            .to_options()
            .command("booking")
    };
    bpaf::construct!([platform, engine, booking])
        .to_options()
        .descr("Stand-ins for the systems around cuminpick.")
}

fn listen() -> impl Parser<SocketAddr> {
    bpaf::long("listen").help("Address to listen on").argument::<SocketAddr>("ADDRESS")
}

fn number(name: &'static str, help: &'static str, fallback: f64) -> impl Parser<f64> {
    bpaf::long(name).help(help).argument::<f64>("NUMBER").fallback(fallback)
}

/// Parses the capacity of a stand-in server.
fn capacity() -> impl Parser<CapacitySettings> {
    let cold = number("cold", "Concurrency that the server tolerates when cold", 3.0);
    let full = number("full", "Concurrency that the server tolerates when warm", 32.0);
    let warm_time = number("warm-s", "Warm-up time, in seconds", 8.0).map(Duration::from_secs_f64);
    let base =
        number("base-ms", "Time of a step, or of a booking, with a single request, in ms", 20.0)
            .map(|millis| Duration::from_secs_f64(millis / 1_000.0));
    bpaf::construct!(CapacitySettings { cold, full, warm_time, base })
}
