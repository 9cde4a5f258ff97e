//! One part of some prompts crashes each engine that begins to write an answer on it. In the first
//! case the prompts have many parts, and the one that crashes engines stands near the end; in the
//! second an engine has written its first event when it crashes.

use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::support::AT_ONCE;
use crate::support::ENDCAP_HUB;
use crate::support::HttpRequest;
use crate::support::Outcome;
use crate::support::Record;
use crate::support::Site;
use crate::support::Store;
use crate::support::cannot_run;
use crate::support::find_header;
use crate::support::make_events;
use crate::support::number_of;
use crate::support::read_answer;
use crate::support::read_request;
use crate::support::request_head_with;
use crate::support::write_answer;

const ENGINES: usize = 8;
/// Id of the part that crashes engines.
const CRASHING_PART: &str = "dead0001";
const EVENTS: usize = 24;
/// Time until the first event, and between events.
const FIRST_EVENT: Duration = Duration::from_millis(60);
const EVENT_GAP: Duration = Duration::from_millis(20);
/// Time after which an engine that crashed is back, and that for which its old entry stays.
const DOWN_TIME: Duration = Duration::from_millis(2_500);
const ENTRY_TIME: Duration = Duration::from_millis(3_600);
/// Time for which sound requests come. One in 41 requests has the part that crashes engines, for 22 s.
const LENGTH: Duration = Duration::from_secs(30);
const SOUND_INTERVAL: Duration = Duration::from_millis(25);
const CRASHING_INTERVAL: Duration = Duration::from_millis(1_000);
const CRASHING_FROM: Duration = Duration::from_secs(5);
const CRASHING_UNTIL: Duration = Duration::from_secs(27);
/// Crashes after which the rule counts, and the requests that it then allows.
const COUNTED_FROM: usize = 5;
const ALLOWED: usize = 3;
const DEADLINE_MS: u64 = 8_000;

/// How a case goes.
#[derive(Clone, Copy)]
pub struct Variant {
    /// Parts that all prompts share, in front of the one that crashes engines.
    pub shared_parts: usize,
    /// Events that an engine has written when it crashes.
    pub events_before_crash: usize,
}

/// What happened at the engines.
#[derive(Default)]
struct Ledger {
    /// Times at which engines crashed.
    crashes: Vec<f64>,
    /// Times at which requests with the crashing part arrived.
    arrivals: Vec<f64>,
}

#[derive(Clone)]
struct CrashingEngine {
    name: String,
    ip: Ipv4Addr,
    /// Events that the engine writes before it crashes; it never does without a number.
    events_before_crash: Option<usize>,
    record: Record,
    ledger: Arc<Mutex<Ledger>>,
    store: Store,
}

/// One run of an engine's process.
#[derive(Clone)]
struct EngineRun {
    id: String,
    crashed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl CrashingEngine {
    /// Runs the engine, and starts it again after each crash.
    fn run(&self) {
        let mut port = 0;
        for start in 1.. {
            let listener = TcpListener::bind((self.ip, port))
                .unwrap_or_else(|error| cannot_run(&format!("an engine cannot listen: {error}")));
            port = listener.local_addr().unwrap().port();
            listener.set_nonblocking(true).unwrap();
            let run = EngineRun {
                id: format!("i-{}-{start}", self.name),
                crashed: Arc::default(),
                connections: Arc::default(),
            };
            self.register(&run.id, SocketAddr::new(IpAddr::V4(self.ip), port));
            while !run.crashed.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => self.accept(stream, &run),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            for stream in run.connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            let (store, id) = (self.store.clone(), run.id.clone());
            thread::spawn(move || {
                thread::sleep(ENTRY_TIME);
                store.remove("servers", &id);
            });
            thread::sleep(DOWN_TIME);
        }
    }

    fn register(&self, id: &str, address: SocketAddr) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let spec = format!(
            "{{\"service\":\"drafts\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
             \"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"seqNo\":1,\"born\":{born}}}"
        );
        self.store.put("servers", id, &spec);
        self.record.note(format!("engine {id} runs at {address}"));
    }

    fn accept(&self, stream: TcpStream, run: &EngineRun) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            run.connections.lock().unwrap().push(copy);
        }
        let (engine, run) = (self.clone(), run.clone());
        thread::spawn(move || {
            let mut stream = stream;
            let mut buffer = Vec::new();
            while let Some(request) = read_request(&mut stream, &mut buffer) {
                if engine.answer(&mut stream, &request, &run).is_err() {
                    return;
                }
            }
        });
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        request: &HttpRequest,
        run: &EngineRun,
    ) -> std::io::Result<()> {
        let expected = find_header(&request.headers, "x-expect-instance");
        if expected.is_some_and(|expected| expected != run.id) {
            let headers = [("x-instance-id", run.id.clone())];
            return write_answer(stream, "421 Misdirected Request", &headers, b"");
        }
        let id = find_header(&request.headers, "x-request-attempt-id").unwrap_or("");
        let prefix = find_header(&request.headers, "x-prompt-prefix-hash").unwrap_or("");
        let has_part = prefix.split(',').any(|part| part.starts_with(CRASHING_PART));
        if has_part {
            let now = self.record.now();
            self.ledger.lock().unwrap().arrivals.push(now);
        }
        let part = if has_part { " with the crashing part" } else { "" };
        self.record.note(format!("{id}{part} reaches {}", run.id));
        thread::sleep(FIRST_EVENT);
        let events_left = self.events_before_crash.filter(|_| has_part);
        if events_left == Some(0) {
            return self.crash(run, id);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             x-request-attempt-id: {id}\r\nx-response-seal: seal-{}-{id}\r\nx-weight-versions: 1\r\n\r\n",
            run.id
        );
        stream.write_all(head.as_bytes())?;
        let resumed = find_header(&request.headers, "last-event-id");
        let after = resumed.and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
        for number in after + 1..=EVENTS {
            if events_left.is_some_and(|events| number > after + events) {
                return self.crash(run, id);
            }
            if run.crashed.load(Ordering::Relaxed) {
                return Err(std::io::Error::other("the engine crashed"));
            }
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(EVENT_GAP);
        }
        stream.write_all(b"0\r\n\r\n")
    }

    fn crash(&self, run: &EngineRun, id: &str) -> std::io::Result<()> {
        if !run.crashed.swap(true, Ordering::Relaxed) {
            let now = self.record.now();
            self.ledger.lock().unwrap().crashes.push(now);
            self.record.note(format!("engine {} crashes as it begins to answer {id}", run.id));
        }
        Err(std::io::Error::other("the engine crashed"))
    }
}

pub fn run(mut site: Site, trouble: bool, variant: Variant) -> bool {
    let record = site.record.clone();
    let shared_parts = number_of("SHARED_PARTS", variant.shared_parts);
    let events_before_crash = number_of("EVENTS_BEFORE_CRASH", variant.events_before_crash);
    let ledger: Arc<Mutex<Ledger>> = Arc::default();
    for number in 0..ENGINES {
        let engine = CrashingEngine {
            name: format!("model{number}"),
            ip: site.next_ip(),
            events_before_crash: trouble.then_some(events_before_crash),
            record: record.clone(),
            ledger: Arc::clone(&ledger),
            store: site.store.clone(),
        };
        thread::spawn(move || engine.run());
    }
    site.store.put("config", "main", r#"{"version":7,"routes":[{"name":"r-draft","host":"hub.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":500,"priority":1,"service":"drafts","maxAttempts":2,"public":false,"stickySessions":true,"resumable":true,"targetGapMs":120}],"services":[{"name":"drafts","healthPath":"/healthz","maxConnections":278,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["key-one"],"priority":1}]}"#);
    let gateways = [("edge-1", 10), ("edge-2", 11)]
        .map(|(name, host)| site.start_gateway(name, host, "zone-a", &ENDCAP_HUB));
    let fronts = [gateways[0].front, gateways[1].front];
    thread::sleep(Duration::from_millis(3_500));
    let started = Instant::now();
    let crashing = {
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(CRASHING_FROM);
            let times = (CRASHING_INTERVAL, CRASHING_UNTIL);
            send_requests("crashing", started, times, fronts, shared_parts, &record)
        })
    };
    let times = (SOUND_INTERVAL, LENGTH);
    let sound = send_requests("sound", started, times, fronts, shared_parts, &record);
    let crashing = crashing.join().unwrap();
    let ledger = ledger.lock().unwrap();
    let counted_from = ledger
        .crashes
        .get(COUNTED_FROM - 1)
        .map(|fifth| fifth + ENDCAP_HUB.stable_ms as f64 / 1_000.0);
    let counted = counted_from
        .map_or(0, |from| ledger.arrivals.iter().filter(|arrived| **arrived > from).count());
    record.note(format!(
        "{shared_parts} shared parts, {events_before_crash} events before a crash; sound requests served: {} of {}; with the part: {} of {}; {} \
         crashes; counted from {counted_from:?}: {counted} requests with the part reached engines, \
         {ALLOWED} are allowed",
        sound.1,
        sound.0,
        crashing.1,
        crashing.0,
        ledger.crashes.len()
    ));
    if sound.1 * 4 < sound.0 && !trouble {
        cannot_run("sound requests were not served");
    }
    counted > ALLOWED
}

/// Sends requests of one kind at an interval until a time; returns how many were sent and served.
fn send_requests(
    kind: &'static str,
    started: Instant,
    (interval, until): (Duration, Duration),
    fronts: [SocketAddr; 2],
    shared_parts: usize,
    record: &Record,
) -> (usize, usize) {
    let mut calls = Vec::new();
    while started.elapsed() < until {
        let (number, record) = (calls.len(), record.clone());
        calls.push(thread::spawn(move || {
            let id = format!("{kind}-{number}");
            record.note(format!("caller sends {id}"));
            let outcome = send(kind, number, fronts[number % 2], shared_parts);
            let served = outcome.complete
                && outcome.status == 200
                && outcome.body == make_events(&id, EVENTS);
            let (status, detail) = (outcome.status, outcome.detail);
            record.note(format!("caller {id}: status {status}, served {served} {detail}"));
            served
        }));
        thread::sleep(interval);
    }
    let sent = calls.len();
    let served = calls.into_iter().filter_map(|call| call.join().ok()).filter(|served| *served);
    (sent, served.count())
}

/// Sends a request; no two have the same last part or body.
fn send(kind: &str, number: usize, front: SocketAddr, shared_parts: usize) -> Outcome {
    let mut parts: Vec<String> =
        (0..shared_parts).map(|part| format!("5c1e{part:04x}:10")).collect();
    if kind == "crashing" {
        parts.push(format!("{CRASHING_PART}:10"));
    }
    let own = if kind == "crashing" { "c" } else { "a" };
    parts.push(format!("{own}0{number:06x}:20"));
    let lines = format!(
        "X-Model: m\r\nX-Token-Usage: {},96\r\nX-Prompt-Prefix-Hash: {}\r\n",
        parts.len() * 10 + 10,
        parts.join(",")
    );
    let id = format!("{kind}-{number}");
    let body = format!("{id} prompt");
    let mut stream = TcpStream::connect(front)
        .unwrap_or_else(|error| cannot_run(&format!("a caller cannot connect: {error}")));
    let head = request_head_with("POST", "/draft/1", &id, DEADLINE_MS, body.len(), &lines);
    let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes()));
    read_answer(&mut stream, AT_ONCE)
}
