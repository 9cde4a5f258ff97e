//! Callers stop reading for a moment in the middle of an answer.

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
use crate::plain::connect_narrow;
use crate::store::Store;

const ANSWER_BYTES: usize = 4_800;
const DEADLINE: Duration = Duration::from_millis(8_000);

fn receive(
    front: SocketAddr,
    number: u32,
    pause: Duration,
    record: &Record,
) -> std::io::Result<(usize, Duration, String)> {
    let mut stream = connect_narrow(front, 1_024)?;
    stream.set_read_timeout(Some(DEADLINE))?;
    let mut result = (0, Duration::ZERO, String::new());
    for round in 0..2 {
        let id = format!("{:016x}", number * 16 + round);
        let request = CallerRequest {
            target: ("POST".to_string(), "/puxa403/2f".to_string()),
            id: id.clone(),
            deadline: DEADLINE,
            extra: String::new(),
            body: vec![b'x'; 600],
        };
        let started = Instant::now();
        stream.write_all(&[request.head_bytes(), request.body].concat())?;
        record.note(&format!("sent {id}"));
        let mut input = BufReader::with_capacity(256, stream.try_clone()?);
        let head = read_head(&mut input)?.unwrap_or_default();
        let expected = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut chunk = vec![0; 512];
        let mut bytes = 0;
        let mut error = String::new();
        let mut is_paused = round == 0;
        while bytes < expected {
            if !is_paused && bytes > 100 {
                is_paused = true;
                std::thread::sleep(pause);
            }
            match input.read(&mut chunk) {
                Ok(0) => break,
                Ok(count) => bytes += count,
                Err(failure) => {
                    error = failure.to_string();
                    break;
                }
            }
        }
        record.note(&format!("{id}: {bytes} of {expected} bytes {error}"));
        result = (bytes, started.elapsed(), error);
    }
    Ok(result)
}

pub fn run(record: &Record, work: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, store_address) = Store::start().map_err(text)?;
    let route = route_text("puxa403", "non_idempotent", "wuno96b", 8_000, 300);
    store.put("config", "main", &config_text(7, &route, &["wuno96b"]));
    for (index, zone) in ["bole", "merkato", "kazanchis"].iter().enumerate() {
        let id = format!("i-7f3a91c{index}");
        let work = Duration::from_millis(15);
        PlainServer::start(&id, "wuno96b", zone, ANSWER_BYTES, work, &store, record)
            .map_err(text)?;
    }
    let gateway = GatewayNode::start(0, store_address, work)?;
    std::thread::sleep(Duration::from_secs(4));
    let pause = Duration::from_millis(if has_trouble {
        std::env::var("PAUSE").ok().and_then(|text| text.parse().ok()).unwrap_or(4_000)
    } else {
        500
    });
    let callers: Vec<_> = (1..=6)
        .map(|number| {
            let (front, record) = (gateway.front, record.clone());
            std::thread::spawn(move || receive(front, number, pause, &record))
        })
        .collect();
    let ends: Vec<_> = callers.into_iter().filter_map(|caller| caller.join().ok()?.ok()).collect();
    let cut =
        ends.iter().filter(|(bytes, took, _)| *bytes < ANSWER_BYTES && *took < DEADLINE).count();
    Ok(Verdict { is_broken: cut > 3, summary: format!("{cut} of {} cut: {:?}", ends.len(), ends) })
}
