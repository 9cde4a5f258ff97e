//! Callers on kept connections read their answers slowly, without a longer pause. Shortly before, the
//! gateway is told that its settings file has changed.

use std::thread;
use std::time::Duration;

use crate::support::AT_ONCE;
use crate::support::BOYAS_AUSTRAL;
use crate::support::Outcome;
use crate::support::Pace;
use crate::support::SIGHUP;
use crate::support::Server;
use crate::support::Site;
use crate::support::call;
use crate::support::cannot_run;
use crate::support::connect_narrow;
use crate::support::make_body;

const CALLERS: usize = 8;
const ANSWER_BYTES: usize = 300_000;
/// What a caller reads at a time, and its pause after that: 400 kbit/s.
const SLOW: Pace = Pace { step: 2_500, pause: Duration::from_millis(50) };
/// A caller's receive buffer.
const RECEIVE_BUFFER: i32 = 8_192;
const DEADLINE_MS: u64 = 8_000;
/// Lost requests that the rule allows.
const ALLOWED: usize = 3;

pub fn run(mut site: Site, trouble: bool) -> bool {
    let record = site.record.clone();
    let work = Duration::from_millis(15);
    let servers: Vec<Server> = ["i-one", "i-two", "i-three"]
        .iter()
        .map(|id| Server::start(site.next_ip(), id, work, 6, &record))
        .collect();
    servers.iter().for_each(|server| server.register(&site.store, "booking", "zone-a"));
    site.store.put(
        "config",
        "main",
        &format!(
            r#"{{"version":7,"routes":[{{"name":"r-book","host":"hub.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":{DEADLINE_MS},"targetLatencyMs":600,"priority":1,"service":"booking","maxAttempts":1,"public":false,"stickySessions":false}}],"services":[{{"name":"booking","healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["key-one"],"priority":1}}]}}"#
        ),
    );
    let gateway = site.start_gateway("edge-1", 10, "zone-a", &BOYAS_AUSTRAL);
    // The machine counts as in touch `stableMs` after its start.
    thread::sleep(Duration::from_millis(4500));
    if std::env::var("HUP").as_deref() != Ok("0") {
        record.note("SIGHUP to the gateway");
        gateway.signal(SIGHUP);
        thread::sleep(Duration::from_millis(200));
    }
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (front, record) = (gateway.front, record.clone());
            thread::spawn(move || run_caller(number, trouble, front, &record))
        })
        .collect();
    let outcomes: Vec<(String, f64, f64, Outcome)> =
        callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let mut lost = 0;
    for (id, sent_at, ended_at, outcome) in &outcomes {
        let runs = servers.iter().flat_map(|server| server.runs.lock().unwrap().clone());
        let run = runs.filter(|run| run.id == *id).last();
        let served = outcome.complete
            && outcome.status == 200
            && outcome.body == make_body(id, ANSWER_BYTES);
        let run_ended = run.as_ref().and_then(|run| run.ended);
        let in_time = ended_at - sent_at < DEADLINE_MS as f64 / 1_000.0;
        let is_lost = !served && run_ended.is_some() && in_time;
        record.note(format!(
            "caller {id}: sent {sent_at:.3}, engine done {run_ended:?}, connection ended {ended_at:.3}, \
             status {}, {} of {ANSWER_BYTES} bytes, complete {served}, lost {is_lost} {}",
            outcome.status,
            outcome.body.len(),
            outcome.detail
        ));
        lost += usize::from(is_lost);
        if !served && !trouble {
            cannot_run("an answer was not complete without the disruption");
        }
    }
    record.note(format!("{lost} of {CALLERS} answers lost, {ALLOWED} are allowed"));
    lost > ALLOWED
}

/// Sends a short request and then, on the same connection, one whose answer is long.
fn run_caller(
    number: usize,
    trouble: bool,
    front: std::net::SocketAddr,
    record: &crate::support::Record,
) -> (String, f64, f64, Outcome) {
    let mut stream = connect_narrow(front, RECEIVE_BUFFER)
        .unwrap_or_else(|error| cannot_run(&format!("a caller cannot connect: {error}")));
    let _ = stream.set_nodelay(true);
    let first = format!("short-{number}");
    let outcome = call(&mut stream, "POST", "/book/800", &first, DEADLINE_MS, b"x", AT_ONCE);
    if outcome.status != 200 {
        cannot_run(&format!("the first request got {} {}", outcome.status, outcome.detail));
    }
    let id = format!("long-{number}");
    let path = format!("/book/{ANSWER_BYTES}");
    let sent_at = record.now();
    record.note(format!("caller sends {id}"));
    let pace = if trouble { SLOW } else { AT_ONCE };
    let outcome = call(&mut stream, "POST", &path, &id, DEADLINE_MS, b"x", pace);
    (id, sent_at, record.now(), outcome)
}
