//! The weights of the model engines change, and one caller asks for the version that its last
//! answer named.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::support::AT_ONCE;
use crate::support::ENDCAP_HUB;
use crate::support::Outcome;
use crate::support::Record;
use crate::support::Server;
use crate::support::Site;
use crate::support::cannot_run;
use crate::support::find_header;
use crate::support::make_body;
use crate::support::make_events;
use crate::support::read_answer;
use crate::support::request_head_with;

const EVENTS: usize = 20;
/// Version of the weights at the start, and after the change.
const WEIGHTS: u64 = 1;
const NEW_WEIGHTS: u64 = 2;
/// Time for which callers send requests of both kinds, the interval between them, and when the
/// weights change.
const LENGTH: Duration = Duration::from_secs(24);
const INTERVAL: Duration = Duration::from_millis(200);
const CHANGED_AT: Duration = Duration::from_secs(2);

pub fn run(mut site: Site, trouble: bool) -> bool {
    let record = site.record.clone();
    let work = Duration::from_millis(20);
    let engines: Vec<Server> = ["i-model-one", "i-model-two", "i-model-three"]
        .iter()
        .map(|id| Server::start_with(site.next_ip(), id, work, 12, &record, WEIGHTS))
        .collect();
    engines.iter().for_each(|engine| engine.register(&site.store, "drafts", "zone-a"));
    for id in ["i-book-one", "i-book-two", "i-book-three"] {
        Server::start(site.next_ip(), id, work, 6, &record).register(
            &site.store,
            "booking",
            "zone-a",
        );
    }
    site.store.put("config", "main", r#"{"version":7,"routes":[{"name":"r-draft","host":"hub.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":500,"priority":1,"service":"drafts","maxAttempts":2,"public":false,"stickySessions":true,"resumable":true,"targetGapMs":120},{"name":"r-book","host":"hub.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":600,"targetLatencyMs":100,"priority":2,"service":"booking","maxAttempts":1,"public":false,"stickySessions":false}],"services":[{"name":"drafts","healthPath":"/healthz","maxConnections":278,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0},{"name":"booking","healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["key-one"],"priority":1}]}"#);
    let gateway = site.start_gateway("edge-1", 10, "zone-a", &ENDCAP_HUB);
    let front = gateway.front;
    let (drafting, booking) = (record.clone(), record.clone());
    let drafts = thread::spawn(move || send_requests(front, "draft", 8_000, &drafting));
    let bookings = thread::spawn(move || send_requests(front, "book", 600, &booking));
    thread::sleep(CHANGED_AT);
    let outcome = send(front, "/draft/20", "asking-0", 8_000, "");
    let Some(version) = find_header(&outcome.headers, "x-weight-versions") else {
        cannot_run(&format!("the first draft got {} {}", outcome.status, outcome.detail));
    };
    record.note(format!("asking-0: status {}, weights of version {version}", outcome.status));
    if trouble {
        engines.iter().for_each(|engine| engine.weights.store(NEW_WEIGHTS, Ordering::Relaxed));
        record.note(format!("the weights of all engines have version {NEW_WEIGHTS} now"));
    }
    let line = format!("X-Expect-Version: {version}\r\n");
    record.note(format!("caller sends asking-1, for version {version} of the weights"));
    let outcome = send(front, "/draft/20", "asking-1", 8_000, &line);
    record.note(format!("asking-1: status {} {}", outcome.status, outcome.detail));
    let (drafts, drafts_served) = drafts.join().unwrap();
    let (bookings, bookings_served) = bookings.join().unwrap();
    let all_share = (drafts_served + bookings_served) as f64 / (drafts + bookings) as f64;
    let draft_share = drafts_served as f64 / drafts as f64;
    record.note(format!(
        "drafts served: {drafts_served} of {drafts}; bookings served: {bookings_served} of \
         {bookings}; all {all_share:.3}, drafts {draft_share:.3}"
    ));
    draft_share < all_share / 4.0
}

/// Sends requests of one kind at intervals, each on its own connection; returns how many were sent
/// and served.
fn send_requests(
    front: SocketAddr,
    kind: &'static str,
    deadline_ms: u64,
    record: &Record,
) -> (usize, usize) {
    let started = Instant::now();
    let mut calls = Vec::new();
    while started.elapsed() < LENGTH {
        let (number, record) = (calls.len(), record.clone());
        calls.push(thread::spawn(move || {
            let id = format!("{kind}-{number}");
            let size = if kind == "draft" { EVENTS } else { 800 };
            let outcome = send(front, &format!("/{kind}/{size}"), &id, deadline_ms, "");
            let body = match kind {
                "draft" => make_events(&id, EVENTS),
                _ => make_body(&id, 800),
            };
            let served = outcome.complete && outcome.status == 200 && outcome.body == body;
            let (status, detail) = (outcome.status, outcome.detail);
            record.note(format!("caller {id}: status {status}, served {served} {detail}"));
            served
        }));
        thread::sleep(INTERVAL);
    }
    let sent = calls.len();
    let served = calls.into_iter().filter_map(|call| call.join().ok()).filter(|served| *served);
    (sent, served.count())
}

fn send(front: SocketAddr, path: &str, id: &str, deadline_ms: u64, lines: &str) -> Outcome {
    let mut stream = TcpStream::connect(front)
        .unwrap_or_else(|error| cannot_run(&format!("a caller cannot connect: {error}")));
    let head = request_head_with("POST", path, id, deadline_ms, 1, lines);
    let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(b"x"));
    read_answer(&mut stream, AT_ONCE)
}
