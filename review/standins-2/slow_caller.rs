//! A gateway is told to stop while callers behind narrow links still receive whole answers.

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::base::CallerRequest;
use crate::base::GatewayNode;
use crate::base::Record;
use crate::base::config_text;
use crate::base::read_head;
use crate::base::route_text;
use crate::plain::PlainServer;
use crate::plain::answer_body;
use crate::plain::connect_narrow;
use crate::store::Store;

/// Bytes of an answer: more than a kernel buffers for a connection.
const ANSWER_BYTES: usize = 2_200_000;
/// Rate at which each caller's link carries its answer, in bytes per second.
const LINK_RATE: f64 = 320_000.0;
/// Receive buffer of a caller.
const BUFFER_BYTES: i32 = 16_384;
/// Callers.
const CALLERS: u32 = 6;
/// `graceS` and the second after it.
const PLANNED: Duration = Duration::from_secs(9);
/// Deadline of the callers and `timeoutMs` of the route.
const DEADLINE: Duration = Duration::from_millis(8_000);

struct Received {
    id: String,
    status: u16,
    expected: usize,
    bytes: usize,
    is_same: bool,
    took: Duration,
    ended_at: Duration,
}

fn receive(front: SocketAddr, id: String, record: &Record) -> std::io::Result<Received> {
    let mut stream = connect_narrow(front, BUFFER_BYTES)?;
    let request = CallerRequest {
        target: ("POST".to_string(), "/puxa403/2f".to_string()),
        id: id.clone(),
        deadline: DEADLINE,
        extra: String::new(),
        body: vec![b'x'; 600],
    };
    stream.set_read_timeout(Some(DEADLINE))?;
    stream.write_all(&[request.head_bytes(), request.body].concat())?;
    let started = Instant::now();
    record.note(&format!("sent {id}"));
    let mut input = BufReader::with_capacity(4_096, stream);
    let head = read_head(&mut input)?.unwrap_or_default();
    let expected = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    record.note(&format!("{id}: head with status {} and length {expected}", head.status()));
    let wanted = answer_body(ANSWER_BYTES);
    let (mut bytes, mut is_same) = (0, true);
    let mut chunk = vec![0; 16_384];
    while bytes < expected {
        match input.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => {
                is_same &= wanted.get(bytes..bytes + count) == Some(&chunk[..count]);
                bytes += count;
            }
            Err(error) => {
                record.note(&format!("{id}: {error}"));
                break;
            }
        }
        let due = Duration::from_secs_f64(bytes as f64 / LINK_RATE);
        std::thread::sleep(due.saturating_sub(started.elapsed()));
    }
    let took = started.elapsed();
    record.note(&format!("{id}: {bytes} of {expected} bytes after {} ms", took.as_millis()));
    let status = head.status();
    Ok(Received { id, status, expected, bytes, is_same, took, ended_at: record.now() })
}

pub fn run(record: &Record, work: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, store_address) = Store::start().map_err(text)?;
    let route = route_text("puxa403", "non_idempotent", "wuno96b", 8_000, 300);
    store.put("config", "main", &config_text(7, &route, &["wuno96b"]));
    let mut servers = Vec::new();
    for (index, zone) in ["bole", "merkato", "kazanchis"].iter().enumerate() {
        let id = format!("i-7f3a91c{index}");
        let work = Duration::from_millis(15);
        let server = PlainServer::start(&id, "wuno96b", zone, ANSWER_BYTES, work, &store, record);
        servers.push(server.map_err(text)?);
    }
    let mut gateway = GatewayNode::start(0, store_address, work)?;
    std::thread::sleep(Duration::from_secs(4));
    let callers: Vec<_> = (1..=CALLERS)
        .map(|number| {
            let (front, record) = (gateway.front, record.clone());
            std::thread::spawn(move || receive(front, format!("{number:016x}"), &record))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    let told_at = record.now();
    if has_trouble {
        record.note("SIGTERM");
        gateway.signal("TERM");
    }
    let mut exited_at = None;
    while record.now() < told_at + PLANNED && callers.iter().any(|caller| !caller.is_finished()) {
        if exited_at.is_none() && gateway.has_exited() {
            exited_at = Some(record.now());
            record.note("the gateway has ended");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let mut cut = 0;
    let mut whole = 0;
    let mut detail = Vec::new();
    for caller in callers {
        let Ok(Ok(received)) = caller.join() else {
            detail.push("a caller got no head".to_string());
            continue;
        };
        let runs: u64 = servers.iter().map(|server| server.runs_of(&received.id)).sum();
        let is_whole = received.status == 200
            && received.bytes == received.expected
            && received.bytes == ANSWER_BYTES
            && received.is_same;
        whole += u32::from(is_whole);
        let is_planned = received.ended_at < told_at + PLANNED;
        if !is_whole && runs == 1 && received.took < DEADLINE && is_planned {
            cut += 1;
        }
        detail.push(format!("{} of {} bytes", received.bytes, received.expected));
    }
    let ended = exited_at.map_or("did not end".to_string(), |at| {
        format!("ended {} ms after SIGTERM", (at.saturating_sub(told_at)).as_millis())
    });
    Ok(Verdict {
        is_broken: cut > 0,
        summary: format!(
            "{cut} answers cut, {whole} whole ({}); the gateway {ended}",
            detail.join(", ")
        ),
    })
}
