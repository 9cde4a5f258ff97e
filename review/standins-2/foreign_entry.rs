//! Another writer leaves an entry among the servers that is blank for the most part and breaks off.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::Verdict;
use crate::base::CallerRequest;
use crate::base::GatewayNode;
use crate::base::Record;
use crate::base::config_text;
use crate::base::route_text;
use crate::plain::PlainServer;
use crate::plain::call;
use crate::store::Store;

/// `timeoutMs` of the route.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time after the timeout by which an answer has to be there.
const TOLERANCE: Duration = Duration::from_millis(500);
/// Time that the callers give their requests.
const DEADLINE: Duration = Duration::from_millis(6_000);
/// Time for which callers send requests after the entry was written.
const WATCHED: Duration = Duration::from_secs(20);
/// Interval between two requests to one gateway.
const INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Blanks in the entry.
const BLANKS: usize = 500_000;

struct Sent {
    at: Duration,
    status: u16,
    took: Duration,
}

pub fn run(record: &Record, work: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, store_address) = Store::start().map_err(text)?;
    let route = route_text("puxa403", "non_idempotent", "wuno96b", 2_000, 300);
    store.put("config", "main", &config_text(7, &route, &["wuno96b"]));
    for (index, zone) in ["bole", "merkato", "kazanchis"].iter().enumerate() {
        let id = format!("i-7f3a91c{index}");
        let work = Duration::from_millis(15);
        PlainServer::start(&id, "wuno96b", zone, 800, work, &store, record).map_err(text)?;
    }
    let mut gateways = Vec::new();
    for number in 0..2 {
        gateways.push(GatewayNode::start(number, store_address, work)?);
    }
    std::thread::sleep(Duration::from_secs(4));
    let written_at = record.now();
    if has_trouble {
        let blanks =
            std::env::var("BLANKS").ok().and_then(|text| text.parse().ok()).unwrap_or(BLANKS);
        let spec = format!("{{\"service\":\"wuno96b\",\"address\":{}", " ".repeat(blanks));
        store.put("servers", "i-0badfeed", &spec);
        record.note("another writer wrote servers/i-0badfeed");
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut calls = Vec::new();
    let (mut number, mut checks, mut ready) = (0, 0, 0);
    let mut next_check = written_at + CHECK_INTERVAL;
    while record.now() < written_at + WATCHED {
        for gateway in &gateways {
            number += 1;
            let id = format!("{number:016x}");
            let request = CallerRequest {
                target: ("POST".to_string(), format!("/puxa403/fi{}/2f", number % 50)),
                id: id.clone(),
                deadline: DEADLINE,
                extra: String::new(),
                body: vec![b'x'; 600],
            };
            let (front, record, sent) = (gateway.front, record.clone(), Arc::clone(&sent));
            calls.push(std::thread::spawn(move || {
                let at = record.now();
                record.note(&format!("sent {id} to {front}"));
                let end = call(front, &request, DEADLINE);
                let status = end.head.as_ref().map_or(0, |head| head.status());
                record.note(&format!(
                    "{id} ended with {status} after {} ms, whole {} {}",
                    end.took.as_millis(),
                    end.is_whole,
                    end.error
                ));
                sent.lock().unwrap().push(Sent { at, status, took: end.took });
            }));
        }
        if record.now() >= next_check {
            next_check = record.now() + CHECK_INTERVAL;
            checks += gateways.len();
            ready += gateways.iter().filter(|gateway| gateway.is_ready()).count();
        }
        std::thread::sleep(INTERVAL);
    }
    for call in calls {
        let _ = call.join();
    }
    let exited = gateways.iter_mut().filter_map(|node| node.has_exited().then_some(())).count();
    for gateway in &gateways {
        record.note(&format!("{} used {} s of processor", gateway.front, gateway.cpu_seconds()));
    }
    let sent = sent.lock().unwrap();
    let unanswered = |after: Duration| sent.iter().filter(|call| call.took >= after).count();
    let (late, missing) = (unanswered(ROUTE_TIMEOUT), unanswered(ROUTE_TIMEOUT + TOLERANCE));
    let served = sent.iter().filter(|call| call.status == 200).count();
    let last = sent.iter().map(|call| call.at).max().unwrap_or_default();
    Ok(Verdict {
        is_broken: late > 0 && missing * 2 > late,
        summary: format!(
            "{} requests in {} ms: {served} served, {late} unanswered at timeoutMs, {missing} of \
             these half a second later; {ready} of {checks} readiness checks answered; {exited} \
             gateways ended",
            sent.len(),
            last.saturating_sub(written_at).as_millis()
        ),
    })
}
