//! A part of a prompt crashes engines, beside a first part that no engine has answered yet.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::base::CallerRequest;
use crate::base::GatewayNode;
use crate::base::Head;
use crate::base::Record;
use crate::base::config_text;
use crate::plain::call;
use crate::store::Store;
use crate::streams::DOWN;
use crate::streams::Engine;
use crate::streams::stream_route;

const DEADLINE: Duration = Duration::from_millis(8_000);
/// Part that crashes each engine that begins to write an answer on it.
const DEADLY_PART: &str = "e4402b7d";
/// First part that all requests of the later route share, and that of the other route.
const NEW_PART: &str = "91bd3f06";
const OLD_PART: &str = "5c1e07a2";
/// `stableMs`.
const STABLE: Duration = Duration::from_millis(3_000);
/// Time for which requests with the deadly part come, and for which none comes any more.
const DEADLY_TIME: Duration = Duration::from_secs(20);
const SOUND_TIME: Duration = Duration::from_secs(62);

fn has_deadly_part(head: &Head, _: &[u8]) -> bool {
    head.get("x-prompt-prefix-hash").is_some_and(|parts| parts.contains(DEADLY_PART))
}

/// A request that has ended.
#[derive(Clone)]
struct Sent {
    path: &'static str,
    is_deadly: bool,
    at: Duration,
    has_begun: bool,
}

/// Sends requests of one kind to the gateways in turn, each on a thread of its own.
struct Sender {
    record: Record,
    fronts: Vec<SocketAddr>,
    sent: Arc<Mutex<Vec<Sent>>>,
    numbers: Arc<AtomicU32>,
}

impl Sender {
    fn send(&self, path: &'static str, parts: &[&str]) -> std::thread::JoinHandle<bool> {
        let number = self.numbers.fetch_add(1, Ordering::SeqCst);
        let id = format!("{number:016x}");
        let is_deadly = parts.contains(&DEADLY_PART);
        let shared: Vec<String> = parts.iter().map(|part| format!("{part}:40")).collect();
        let request = CallerRequest {
            target: ("POST".to_string(), format!("{path}2f")),
            id: id.clone(),
            deadline: DEADLINE,
            extra: format!(
                "X-Model: m\r\nX-Token-Usage: 714,97\r\n\
                 X-Prompt-Prefix-Hash: {},{number:08x}:674\r\n",
                shared.join(",")
            ),
            body: format!("request {number}").into_bytes(),
        };
        let front = self.fronts[number as usize % self.fronts.len()];
        let (record, sent) = (self.record.clone(), Arc::clone(&self.sent));
        std::thread::spawn(move || {
            let at = record.now();
            let kind = if is_deadly { "deadly" } else { "sound" };
            record.note(&format!("sent {id} {kind} {path} to {front}"));
            let end = call(front, &request, DEADLINE);
            let status = end.head.as_ref().map_or(0, |head| head.status());
            let text = String::from_utf8_lossy(&end.body).to_string();
            let events = text.matches("id: ").count();
            let detail = if status == 200 { format!("{events} events") } else { text };
            record.note(&format!("{id} {kind} {path}: {status} {detail}"));
            let has_begun = status == 200 && events > 0;
            sent.lock().unwrap().push(Sent { path, is_deadly, at, has_begun });
            has_begun
        })
    }
}

pub fn run(record: &Record, work: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, store_address) = Store::start().map_err(text)?;
    let mut engines = Vec::new();
    for index in 0..6 {
        let zone = ["bole", "merkato", "kazanchis"][index % 3];
        let id = format!("i-7f3a91c{index}");
        engines.push(Engine::start(&id, zone, &store, record, has_deadly_part).map_err(text)?);
    }
    let (old_path, new_path) = ("/lohu930/", "/pufi791/");
    let first = stream_route("lohu930");
    store.put("config", "main", &config_text(7, &first, &["huvo11a"]));
    let mut gateways = Vec::new();
    for number in 0..2 {
        gateways.push(GatewayNode::start(number, store_address, work)?);
    }
    let sender = Arc::new(Sender {
        record: record.clone(),
        fronts: gateways.iter().map(|gateway| gateway.front).collect(),
        sent: Arc::default(),
        numbers: Arc::default(),
    });
    let is_over = Arc::new(AtomicBool::new(false));
    let usual = {
        let (sender, is_over) = (Arc::clone(&sender), Arc::clone(&is_over));
        std::thread::spawn(move || {
            let mut calls = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                calls.push(sender.send(old_path, &[OLD_PART]));
                std::thread::sleep(Duration::from_millis(25));
            }
            calls.into_iter().for_each(|call| drop(call.join()));
        })
    };
    std::thread::sleep(Duration::from_secs(10));
    let both = format!("{first},{}", stream_route("pufi791"));
    store.put("config", "main", &config_text(9, &both, &["huvo11a"]));
    record.note("version 9 adds the route pufi791");
    std::thread::sleep(Duration::from_secs(3));
    let began = record.now();
    let mut calls = Vec::new();
    let mut number = 0;
    while record.now() < began + DEADLY_TIME + SOUND_TIME {
        if has_trouble && number % 12 == 0 && record.now() < began + DEADLY_TIME {
            calls.push(sender.send(new_path, &[NEW_PART, DEADLY_PART]));
            if number == 0 {
                std::thread::sleep(Duration::from_millis(400));
            }
        }
        number += 1;
        calls.push(sender.send(new_path, &[NEW_PART]));
        std::thread::sleep(Duration::from_millis(150));
    }
    is_over.store(true, Ordering::SeqCst);
    calls.into_iter().for_each(|call| drop(call.join()));
    let _ = usual.join();
    let crashes: Vec<Duration> =
        engines.iter().flat_map(|engine| engine.crashed_at.lock().unwrap().clone()).collect();
    let sent = sender.sent.lock().unwrap();
    let last_deadly =
        sent.iter().filter(|call| call.is_deadly).map(|call| call.at).max().unwrap_or(began);
    let mut sorted = crashes.clone();
    sorted.sort();
    let fifth = sorted.get(4).or(sorted.last()).copied().unwrap_or(began);
    let share = |from: Duration, until: Duration| {
        let calls: Vec<&Sent> = sent
            .iter()
            .filter(|call| call.path == new_path && !call.is_deadly)
            .filter(|call| call.at >= from && call.at < until)
            .collect();
        let begun = calls.iter().filter(|call| call.has_begun).count();
        (begun, calls.len())
    };
    let (begun, total) = share(fifth + STABLE * 2, last_deadly);
    // The engines are back, and requests with the deadly part have stopped for `stableMs`.
    let calm = last_deadly.max(sorted.last().copied().unwrap_or(began) + DOWN) + STABLE;
    let (calm_begun, calm_total) = share(calm, began + DEADLY_TIME + SOUND_TIME);
    let usual_share = calm_begun as f64 / calm_total.max(1) as f64;
    let found_share = begun as f64 / total.max(1) as f64;
    let first_begun = sent
        .iter()
        .filter(|call| call.path == new_path && !call.is_deadly && call.has_begun)
        .filter(|call| sorted.first().is_some_and(|crash| call.at > *crash))
        .map(|call| call.at.saturating_sub(fifth).as_secs_f64())
        .fold(f64::INFINITY, f64::min);
    let old_begun =
        sent.iter().filter(|call| call.path == old_path).filter(|call| call.has_begun).count();
    let old_total = sent.iter().filter(|call| call.path == old_path).count();
    Ok(Verdict {
        is_broken: total >= 20 && calm_total >= 20 && found_share * 2.0 < usual_share,
        summary: format!(
            "{} crashes; sound requests with the first part: {begun} of {total} began while \
             deadly ones came, {calm_begun} of {calm_total} afterwards (the first {first_begun:.0} s after \
             the last counted crash); on the other route \
             {old_begun} of {old_total}",
            crashes.len()
        ),
    })
}
