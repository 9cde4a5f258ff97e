//! Randomised soak test: injects faults around gateway processes and checks the guarantees
//! to callers by what callers and servers observe.
//!
//! `CUMINPICK_SOAK_SEEDS=1..51 cargo test --release -p cuminpick-gateway --test fault_soak`
//! runs other seeds than CI does.

mod support;

use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cuminpick::ids::ChoiceRng;
use cuminpick::routing::RepeatRule;
use cuminpick::routing::RouteRule;
use cuminpick_platform::call::ClientConnection;
use cuminpick_platform::platform_side::CallerHead;
use cuminpick_platform::platform_side::encode_caller;
use cuminpick_platform::platform_side::seal_of;
use cuminpick_standins::site::caller::stream_text;
use cuminpick_standins::site::engine::EngineFault;
use cuminpick_standins::site::engine::LedgerEntry;
use cuminpick_standins::site::engine::SiteEngine;
use cuminpick_standins::site::proxy::ProxyMode;
use cuminpick_standins::site::store::SiteStore;
use cuminpick_standins::site::store::StoreMode;
use cuminpick_standins::site::store::StoreReturn;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use support::HOST;
use support::KEY;
use support::Site;
use support::route;
use support::routes;

/// Seeds that run unless the variable is set. Each seed that ever failed is added with its
/// cause: 28, a part that all requests share was quarantined just after the start; 50, a stream
/// that had run was refused as not run.
const SEEDS: [u64; 4] = [1, 2, 28, 50];
/// Time during which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(20);
/// Time without faults after which all requests must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Number of callers that send ordinary requests.
const CALLERS: usize = 16;
/// Number of callers that send a request which crashes servers.
const CRASHERS: usize = 2;
const GATEWAYS: usize = 3;
/// Crashes after which a request is quarantined, and after which a prompt part is.
const QUARANTINE_CRASHES: usize = 3;
const PART_QUARANTINE_CRASHES: usize = 5;
/// Time after the last of these crashes within which all gateways must know of it, and the number of
/// runs that are allowed after that time; the platform sets both limits.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
const MAX_LATE_RUNS: usize = 3;
/// Prompt part that sound requests share with those that crash servers.
const COMMON_PART: &str = "c0";
/// Time after which a route that a configuration added has to be known everywhere, also while
/// faults last; the longest of them takes two seconds.
const ROUTE_TIME: Duration = Duration::from_secs(6);
/// Time for which a server states a limit; longer than most other faults.
const LIMIT_TIME: Duration = Duration::from_secs(5);

/// An answer as its caller observed it.
#[derive(Debug, Clone)]
struct ObservedAnswer {
    attempt: String,
    path: String,
    status: Option<StatusCode>,
    body: String,
    complete: bool,
    sealed: bool,
}

/// A caller that reuses its connection for as long as the gateway keeps it open.
struct SoakCaller {
    gateway_addresses: Arc<Mutex<Vec<std::net::SocketAddr>>>,
    connection: Option<(usize, ClientConnection)>,
}

impl SoakCaller {
    async fn send(
        &mut self,
        gateway: usize,
        path: &str,
        attempt: &str,
        parts: &[&str],
    ) -> ObservedAnswer {
        let mut seen = ObservedAnswer {
            attempt: attempt.to_string(),
            path: path.to_string(),
            status: None,
            body: String::new(),
            complete: false,
            sealed: false,
        };
        let sending = self.exchange(gateway, parts, &mut seen);
        // A paused gateway does not answer.
        let _ = tokio::time::timeout(Duration::from_secs(4), sending).await;
        if !seen.complete {
            self.connection = None;
        }
        seen
    }

    /// Sends a request and records the answer in `seen`, as far as it arrived. Returns `None`
    /// when the connection fails.
    async fn exchange(
        &mut self,
        gateway: usize,
        parts: &[&str],
        seen: &mut ObservedAnswer,
    ) -> Option<()> {
        let time_left = Duration::from_secs(2);
        let head = CallerHead {
            host: HOST,
            attempt_id: &seen.attempt,
            time_left,
            key: Some(KEY),
            prompt_parts: parts,
        };
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(&seen.path)
            .body(Full::new(Bytes::from_static(b"soak")))
            .ok()?;
        *request.headers_mut() = encode_caller(&head);
        let mut connection = match self.connection.take() {
            Some((_, connection)) if connection.usable() => connection,
            _ => {
                let address = self.gateway_addresses.lock().unwrap()[gateway];
                ClientConnection::open(address).await.ok()?
            }
        };
        let answer = connection.send(request).await.ok()?;
        seen.status = Some(answer.status());
        seen.sealed = seal_of(answer.headers()).is_some();
        let closes = answer.headers().get("connection").is_some_and(|value| value == "close");
        let mut body = answer.into_body();
        while let Some(frame) = body.frame().await {
            let data = frame.ok()?.into_data().unwrap_or_default();
            connection.allow(data.len());
            seen.body.push_str(&String::from_utf8_lossy(&data));
        }
        seen.complete = true;
        if !closes {
            self.connection = Some((gateway, connection));
        }
        Some(())
    }
}

/// Versions of the configuration and when each was written; each adds a route.
type WrittenVersions = Arc<Mutex<Vec<(u64, Instant)>>>;

/// Returns the usual routes and those that the versions have added.
fn added_routes(versions: &[(u64, Instant)]) -> Vec<RouteRule> {
    let added = versions
        .iter()
        .map(|(version, _)| route(&format!("v{version}"), "booking", RepeatRule::Idempotent));
    routes().into_iter().chain(added).collect()
}

/// Returns the latest version whose route has to be known everywhere.
fn known_version(versions: &WrittenVersions) -> Option<u64> {
    let versions = versions.lock().unwrap();
    let known = versions.iter().rev().find(|(_, written)| written.elapsed() > ROUTE_TIME);
    known.map(|(version, _)| *version)
}

/// Sends ordinary requests until `until`.
async fn send_ordinary(
    number: usize,
    seed: u64,
    addresses: Arc<Mutex<Vec<std::net::SocketAddr>>>,
    until: Instant,
    versions: WrittenVersions,
    seen: Arc<Mutex<Vec<ObservedAnswer>>>,
) {
    let mut rng = ChoiceRng::new(seed * 1_000 + number as u64);
    let mut caller = SoakCaller { gateway_addresses: addresses, connection: None };
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let path = match rng.below(4) {
            0 => format!("/book/{number}-{count}"),
            1 => "/look/same".to_string(),
            2 => match known_version(&versions) {
                Some(version) => format!("/v{version}/{number}-{count}"),
                None => format!("/look/{number}-{count}"),
            },
            _ => format!("/draft/{number}-{count}/stream/{}", 1 + rng.below(40)),
        };
        let attempt = format!("c{number}-{count}");
        let parts = [COMMON_PART, attempt.as_str()];
        let parts = if path.starts_with("/draft/") { &parts[..] } else { &[] };
        let answer = caller.send(rng.below(GATEWAYS), &path, &attempt, parts).await;
        seen.lock().unwrap().push(answer);
        tokio::time::sleep(Duration::from_millis(rng.below(60) as u64)).await;
    }
}

/// Sends a request that crashes servers repeatedly until `until`.
async fn send_crashing(
    path: String,
    seed: u64,
    addresses: Arc<Mutex<Vec<std::net::SocketAddr>>>,
    until: Instant,
) {
    let mut rng = ChoiceRng::new(seed * 7_919 + path.len() as u64);
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let mut caller = SoakCaller { gateway_addresses: Arc::clone(&addresses), connection: None };
        caller.send(rng.below(GATEWAYS), &path, &format!("{path}-{count}"), &[]).await;
        tokio::time::sleep(Duration::from_millis(rng.below(400) as u64)).await;
    }
}

/// Sends requests with a part that crashes servers until `until`; no two of them are alike.
async fn send_crashing_part(
    part: String,
    seed: u64,
    addresses: Arc<Mutex<Vec<std::net::SocketAddr>>>,
    until: Instant,
) {
    let mut rng = ChoiceRng::new(seed * 6_007);
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let mut caller = SoakCaller { gateway_addresses: Arc::clone(&addresses), connection: None };
        let path = format!("/draft/{part}-{count}/stream/3");
        let last = count.to_string();
        let parts = [COMMON_PART, part.as_str(), last.as_str()];
        caller.send(rng.below(GATEWAYS), &path, &format!("{part}-{count}"), &parts).await;
        tokio::time::sleep(Duration::from_millis(rng.below(400) as u64)).await;
    }
}

/// Has the store come back from older copies until `until`, while other faults last.
async fn return_store(store: SiteStore, seed: u64, until: Instant) {
    let mut rng = ChoiceRng::new(seed * 4_001);
    loop {
        tokio::time::sleep(Duration::from_millis(1_000 + rng.below(6_000) as u64)).await;
        if Instant::now() >= until {
            return;
        }
        let copy_age = Duration::from_millis(100 + rng.below(8_000) as u64);
        let how = StoreReturn {
            copied_at: Instant::now().checked_sub(copy_age).unwrap(),
            rewritten_within: Duration::from_millis(rng.below(1_500) as u64),
            keeps_watches: rng.below(2) == 0,
            seed: rng.next_bits(),
        };
        eprintln!("seed {seed}: the store came back from a copy {copy_age:?} old: {how:?}");
        store.restore(how);
    }
}

/// Injects one fault and returns its description. Faults of servers' answers and of proxies
/// overlap with the following faults.
async fn inject_fault(site: &mut Site, rng: &mut ChoiceRng, versions: &WrittenVersions) -> String {
    let gateway = rng.below(GATEWAYS);
    let duration = Duration::from_millis(100 + rng.below(1_500) as u64);
    match rng.below(15) {
        0 => {
            site.signal(gateway, "KILL");
            site.restart_exited(gateway).await;
            format!("gateway {gateway} killed")
        }
        1 => {
            site.signal(gateway, "STOP");
            tokio::time::sleep(duration).await;
            site.signal(gateway, "CONT");
            format!("gateway {gateway} was paused for {duration:?}")
        }
        2 => {
            site.signal(gateway, "HUP");
            site.signal(gateway, "TERM");
            site.restart_exited(gateway).await;
            format!("gateway {gateway} terminated and restarted")
        }
        3 => {
            let engine = random_server(site, rng).clone();
            engine.set_frozen(true);
            tokio::time::sleep(duration).await;
            engine.set_frozen(false);
            format!("a server was frozen for {duration:?}")
        }
        4 => {
            random_server(site, rng).crash();
            "a server crashed".to_string()
        }
        5 => {
            let modes = [StoreMode::Unavailable, StoreMode::Reset, StoreMode::LoseWriteAnswers];
            let mode = modes[rng.below(modes.len())];
            site.store.set_mode(mode);
            tokio::time::sleep(duration).await;
            site.store.set_mode(StoreMode::Normal);
            format!("the store was in mode {mode:?} for {duration:?}")
        }
        6 => {
            site.store.drop_history();
            "the store dropped its history".to_string()
        }
        7 => {
            let mut versions = versions.lock().unwrap();
            let last = versions.last().map_or(1, |(version, _)| *version);
            let version = last + 1 + rng.below(3) as u64;
            versions.push((version, Instant::now()));
            site.configure(version, &added_routes(&versions));
            format!("configuration version {version}")
        }
        8 => {
            let faults = [
                EngineFault::Full,
                EngineFault::Error,
                EngineFault::LostAnswer,
                EngineFault::OtherRequest,
                EngineFault::BusyAfterRun,
                EngineFault::CutAfter(3),
                EngineFault::Pause(1),
            ];
            let fault = faults[rng.below(faults.len())];
            for _ in 0..5 {
                random_server(site, rng).inject_fault(fault);
            }
            format!("fault {fault:?} five times")
        }
        9 => {
            let engine = random_server(site, rng).clone();
            engine.state_limit(Some(rng.below(8) as f64));
            tokio::spawn(async move {
                tokio::time::sleep(LIMIT_TIME).await;
                engine.state_limit(None);
            });
            "a server stated a limit".to_string()
        }
        10 => {
            let engine = random_server(site, rng).clone();
            engine.announce_leaving();
            tokio::spawn(async move {
                tokio::time::sleep(duration).await;
                engine.crash();
            });
            format!("a server announced that it leaves, and ended after {duration:?}")
        }
        _ => {
            let delay = ProxyMode::Delay(Duration::from_millis(1 + rng.below(80) as u64));
            let modes = [ProxyMode::Stall, ProxyMode::StallAnswers, ProxyMode::Reset, delay];
            let mode = modes[rng.below(modes.len())];
            let index = rng.below(site.proxies.len());
            let proxy = site.proxies[index].clone();
            proxy.set_mode(mode);
            tokio::spawn(async move {
                tokio::time::sleep(duration).await;
                proxy.set_mode(ProxyMode::Normal);
            });
            format!("proxy {index} was in mode {mode:?} for {duration:?}")
        }
    }
}

fn random_server<'a>(site: &'a Site, rng: &mut ChoiceRng) -> &'a SiteEngine {
    let index = rng.below(site.engines.len() + site.bookings.len());
    site.engines.iter().chain(&site.bookings).nth(index).unwrap()
}

/// Returns how often each attempt ran on any server.
fn count_runs(site: &Site) -> HashMap<String, u32> {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for server in site.engines.iter().chain(&site.bookings) {
        for (attempt, count) in server.run_counts() {
            *runs.entry(attempt).or_insert(0) += count;
        }
    }
    runs
}

/// Returns which guarantee an answer violates, if any.
fn find_violation(seen: &ObservedAnswer, runs: u32) -> Option<&'static str> {
    let max_runs = if seen.path.starts_with("/book/") { 1 } else { 2 };
    if runs > max_runs {
        return Some("ran on more servers than allowed");
    }
    if seen.body.contains("crashes-servers") {
        return Some("quarantined though it crashes no server");
    }
    match seen.status {
        Some(StatusCode::SERVICE_UNAVAILABLE) if runs > 0 => Some("reported as not run"),
        Some(StatusCode::OK) if !seen.sealed => Some("not sealed"),
        Some(StatusCode::OK) => {
            let whole = match seen.path.rsplit_once("/stream/") {
                Some((_, events)) => stream_text(events.parse().unwrap()),
                None => format!("answer to {}", seen.attempt),
            };
            let matches =
                if seen.complete { seen.body == whole } else { whole.starts_with(&seen.body) };
            (!matches).then_some("not the server's whole answer")
        }
        Some(status) if status.is_client_error() => Some("rejected though it is valid"),
        _ => None,
    }
}

/// Returns the problem of a request or part that went on to run long after it had crashed
/// `max_crashes` servers.
fn find_late_runs(
    site: &Site,
    seed: u64,
    subject: &str,
    max_crashes: usize,
    concerns: impl Fn(&LedgerEntry, &str) -> bool,
) -> Option<String> {
    let mut times: Vec<Instant> = Vec::new();
    for server in site.engines.iter().chain(&site.bookings) {
        let ledger = server.ledger();
        times.extend(ledger.iter().filter(|run| concerns(run, subject)).map(|run| run.at));
    }
    times.sort_unstable();
    let last_allowed = times.get(max_crashes - 1).copied();
    let is_late = |at: &&Instant| last_allowed.is_some_and(|last| **at > last + PROPAGATION_TIME);
    let late = times.iter().filter(is_late).count();
    eprintln!("seed {seed}: {subject} ran {} times, {late} of them late", times.len());
    (late > MAX_LATE_RUNS).then(|| format!("{subject} ran {late} times though quarantined"))
}

/// Runs one seed; returns the violated guarantees and the injected faults as an error.
async fn run_seed(seed: u64) -> Result<(), String> {
    let mut site = Site::with_proxies(GATEWAYS, 4, 6).await;
    let addresses = (0..GATEWAYS).map(|gateway| site.caller_address_at(gateway)).collect();
    let addresses = Arc::new(Mutex::new(addresses));
    let seen: Arc<Mutex<Vec<ObservedAnswer>>> = Arc::default();
    let until = Instant::now() + FAULT_TIME;
    let versions: WrittenVersions = Arc::default();
    let callers = (0..CALLERS).map(|number| {
        let (addresses, seen) = (Arc::clone(&addresses), Arc::clone(&seen));
        tokio::spawn(send_ordinary(number, seed, addresses, until, Arc::clone(&versions), seen))
    });
    let mut tasks: Vec<_> = callers.collect();
    let crashing: Vec<String> = (0..CRASHERS)
        .map(|index| {
            format!(
                "/{}/ends-servers/{seed}",
                ["look", "book", "draft"][(index + seed as usize) % 3]
            )
        })
        .collect();
    for path in &crashing {
        let until = until + RECOVERY_TIME;
        tasks.push(tokio::spawn(send_crashing(path.clone(), seed, Arc::clone(&addresses), until)));
    }
    let crashing_part = format!("dead{seed:04x}");
    tasks.push(tokio::spawn(send_crashing_part(
        crashing_part.clone(),
        seed,
        Arc::clone(&addresses),
        until + RECOVERY_TIME,
    )));
    tasks.push(tokio::spawn(return_store(site.store.clone(), seed, until)));
    let mut rng = ChoiceRng::new(seed);
    let mut injected = Vec::new();
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(rng.below(500) as u64)).await;
        let elapsed = FAULT_TIME.saturating_sub(until.saturating_duration_since(Instant::now()));
        let fault = inject_fault(&mut site, &mut rng, &versions).await;
        injected.push(format!("{:.2} s: {fault}", elapsed.as_secs_f64()));
    }
    for server in site.engines.iter().chain(&site.bookings) {
        server.clear_faults();
    }
    for task in tasks {
        task.await.map_err(|error| error.to_string())?;
    }
    site.wait_ready(true).await;
    let mut problems = Vec::new();
    let runs = count_runs(&site);
    let seen = seen.lock().unwrap().clone();
    for answer in &seen {
        let ran = runs.get(&answer.attempt).copied().unwrap_or(0);
        if let Some(problem) = find_violation(answer, ran) {
            problems.push(format!("{problem}: ran {ran} times, {answer:?}"));
        }
    }
    let is_path = |run: &LedgerEntry, path: &str| run.path == path;
    let has_part =
        |run: &LedgerEntry, part: &str| run.head.prompt_parts.iter().any(|id| id == part);
    for path in &crashing {
        problems.extend(find_late_runs(&site, seed, path, QUARANTINE_CRASHES, is_path));
    }
    problems.extend(find_late_runs(&site, seed, &crashing_part, PART_QUARANTINE_CRASHES, has_part));
    for number in 0..6 {
        let attempt = format!("after-parts-{number}");
        let parts = [COMMON_PART, attempt.as_str()];
        let answer =
            site.call_with_parts(number % GATEWAYS, "/draft/stream/2", &attempt, &parts).await;
        if answer.status != Some(StatusCode::OK) {
            problems.push(format!("not served after the faults: with parts {answer:?}"));
        }
        let last = versions.lock().unwrap().last().map(|(version, _)| *version);
        let added = last.map_or("/look/added".to_string(), |version| format!("/v{version}/x"));
        for path in ["/book/after", "/look/after", "/draft/stream/2", &added] {
            let answer =
                site.call_at(number % GATEWAYS, path, &format!("after-{number}"), Some(KEY)).await;
            if answer.status != Some(StatusCode::OK) {
                problems.push(format!("not served after the faults: {path} {answer:?}"));
            }
        }
    }
    let served = seen.iter().filter(|answer| answer.status == Some(StatusCode::OK)).count();
    eprintln!("seed {seed}: {served} of {} served, {} faults", seen.len(), injected.len());
    if problems.is_empty() {
        return Ok(());
    }
    let log =
        std::env::temp_dir().join(format!("cuminpick-soak-{seed}-{}.jsonl", std::process::id()));
    std::fs::write(&log, site.all_logs()).map_err(|error| error.to_string())?;
    problems.truncate(8);
    Err(format!(
        "seed {seed}:\n{}\nfaults:\n{}\nlogs: {}",
        problems.join("\n"),
        injected.join("\n"),
        log.display()
    ))
}

/// The guarantees also hold while faults overlap.
#[tokio::test(flavor = "multi_thread")]
async fn faults_overlap() {
    let range = std::env::var("CUMINPICK_SOAK_SEEDS").ok();
    let range: Option<Range<u64>> = range.and_then(|range| {
        let (first, end) = range.split_once("..")?;
        Some(first.parse().ok()?..end.parse().ok()?)
    });
    let mut failed = Vec::new();
    for seed in range.map_or(SEEDS.to_vec(), Iterator::collect) {
        if let Err(problem) = run_seed(seed).await {
            eprintln!("{problem}");
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?} failed; their violations are printed above");
}
