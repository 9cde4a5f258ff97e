//! A request that crashes servers is the first one on a prompt that a new route brings.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::base::CallerRequest;
use crate::base::Counts;
use crate::base::GatewayNode;
use crate::base::Head;
use crate::base::Record;
use crate::base::config_text;
use crate::plain::call;
use crate::store::Store;
use crate::streams::EVENTS;
use crate::streams::Engine;
use crate::streams::stream_route;

const DEADLINE: Duration = Duration::from_millis(8_000);
/// Body of the request that crashes each engine that begins to run it.
const CRASHING: &[u8] = b"crash";
/// Sound requests on each route, at each gateway, once all engines are back.
const REQUESTS: u32 = 30;
const INTERVAL: Duration = Duration::from_millis(400);

fn is_crashing(_: &Head, body: &[u8]) -> bool {
    body == CRASHING
}

pub fn run(record: &Record, work: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, store_address) = Store::start().map_err(text)?;
    let mut engines = Vec::new();
    for index in 0..6 {
        let zone = ["bole", "merkato", "kazanchis"][index % 3];
        let id = format!("i-7f3a91c{index}");
        engines.push(Engine::start(&id, zone, &store, record, is_crashing).map_err(text)?);
    }
    let first = stream_route("lohu930");
    store.put("config", "main", &config_text(7, &first, &["huvo11a"]));
    let mut gateways = Vec::new();
    for number in 0..2 {
        gateways.push(GatewayNode::start(number, store_address, work)?);
    }
    let mut number = 0;
    let mut send = |gateway: &GatewayNode, path: &str, first_part: &str, body: &[u8]| {
        number += 1;
        let id = format!("{number:016x}");
        let request = CallerRequest {
            target: ("POST".to_string(), format!("{path}2f")),
            id: id.clone(),
            deadline: DEADLINE,
            extra: format!(
                "X-Model: m\r\nX-Token-Usage: 714,97\r\n\
                 X-Prompt-Prefix-Hash: {first_part}:40,{number:08x}:674\r\n"
            ),
            body: body.to_vec(),
        };
        let end = call(gateway.front, &request, DEADLINE);
        let status = end.head.as_ref().map_or(0, |head| head.status());
        let text = String::from_utf8_lossy(&end.body).to_string();
        let events = text.matches("id: ").count();
        let detail = if status == 200 { format!("{events} events") } else { text };
        record.note(&format!("{id} {path} at {}: {status} {detail}", gateway.front));
        status == 200 && end.is_whole && events == EVENTS as usize
    };
    let (old_path, new_path) = ("/lohu930/", "/pufi791/");
    for _ in 0..10 {
        for gateway in &gateways {
            if !send(gateway, old_path, "5c1e07a2", b"sound") {
                return Err("the first route is not served before the case begins".to_string());
            }
        }
    }
    let both = format!("{first},{}", stream_route("pufi791"));
    store.put("config", "main", &config_text(9, &both, &["huvo11a"]));
    record.note("version 9 adds the route pufi791");
    std::thread::sleep(Duration::from_secs(3));
    if has_trouble {
        record.note("the request that crashes engines comes");
        send(&gateways[0], new_path, "91bd3f06", CRASHING);
        std::thread::sleep(Duration::from_secs(12));
    }
    let mut served = Counts::new();
    for _ in 0..REQUESTS {
        for gateway in &gateways {
            for (path, part) in [(old_path, "5c1e07a2"), (new_path, "91bd3f06")] {
                let is_served = send(gateway, path, part, b"sound");
                *served.entry(path.to_string()).or_default() += u64::from(is_served);
            }
        }
        std::thread::sleep(INTERVAL);
    }
    let count = |path: &str| served.get(path).copied().unwrap_or(0);
    let (old, new) = (count(old_path), count(new_path));
    let crashes: usize = engines.iter().map(|engine| engine.crashed_at.lock().unwrap().len()).sum();
    let total = REQUESTS * 2;
    Ok(Verdict {
        is_broken: new * 4 < old,
        summary: format!(
            "{crashes} engines crashed; served: {old} of {total} on the first route, {new} of \
             {total} sound requests on the later one"
        ),
    })
}
