//! Many callers send bodies of the allowed size at the same time.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::base::CallerRequest;
use crate::base::GatewayNode;
use crate::base::Record;
use crate::base::config_text;
use crate::base::read_body;
use crate::base::read_head;
use crate::base::route_text;
use crate::plain::PlainServer;
use crate::store::Store;

/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// `memoryMb` of the settings.
const MEMORY_MB: f64 = 260.0;
/// Callers at each gateway, with the burst and without.
const CALLERS: [usize; 2] = [80, 8];
const BURSTS: usize = 3;
const GATEWAYS: usize = 2;
/// Deadline of the callers, and `timeoutMs` of the route.
const DEADLINE: Duration = Duration::from_millis(8_000);
/// Time in which a caller's link takes a tenth of its body. All callers together send 100 MB a
/// second to a gateway, whose link takes 125.
const PIECE_TIME: Duration = Duration::from_millis(330);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay before the platform starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time between two bursts.
const PAUSE: Duration = Duration::from_secs(6);

pub fn run(record: &Record, work: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, store_address) = Store::start().map_err(text)?;
    let route = route_text("puxa403", "non_idempotent", "wuno96b", 8_000, 4_000);
    store.put("config", "main", &config_text(7, &route, &["wuno96b"]));
    for (index, zone) in ["bole", "merkato", "kazanchis"].iter().enumerate() {
        let id = format!("i-7f3a91c{index}");
        let work = Duration::from_millis(15);
        PlainServer::start(&id, "wuno96b", zone, 800, work, &store, record).map_err(text)?;
    }
    let fronts: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
    let ends = Arc::new(Mutex::new([0; GATEWAYS]));
    let stopped = Arc::new(AtomicBool::new(false));
    let mut watchers = Vec::new();
    for number in 0..GATEWAYS {
        let gateway = GatewayNode::start(number as u8, store_address, work)?;
        fronts.lock().unwrap().push(gateway.front);
        let watcher = MemoryWatcher {
            number,
            store: store_address,
            folder: work.to_path_buf(),
            record: record.clone(),
            fronts: Arc::clone(&fronts),
            ends: Arc::clone(&ends),
            stopped: Arc::clone(&stopped),
        };
        watchers.push(std::thread::spawn(move || watcher.run(gateway)));
    }
    std::thread::sleep(Duration::from_secs(4));
    let callers = CALLERS[usize::from(!has_trouble)];
    let mut served = 0;
    for burst in 0..BURSTS {
        let targets = fronts.lock().unwrap().clone();
        let calls: Vec<_> = (0..callers * GATEWAYS)
            .map(|number| {
                let front = targets[number % GATEWAYS];
                std::thread::spawn(move || send_body(front, burst * 1_000 + number).unwrap_or(0))
            })
            .collect();
        let statuses: Vec<u16> = calls.into_iter().filter_map(|call| call.join().ok()).collect();
        let count = |status: u16| statuses.iter().filter(|known| **known == status).count();
        served += count(200);
        record.note(&format!(
            "burst {burst}: {} requests, {} served, {} without an answer",
            statuses.len(),
            count(200),
            count(0)
        ));
        std::thread::sleep(PAUSE);
    }
    stopped.store(true, Ordering::Relaxed);
    for watcher in watchers {
        let _ = watcher.join();
    }
    let ends = *ends.lock().unwrap();
    Ok(Verdict {
        is_broken: ends.iter().all(|ends| *ends >= BURSTS),
        summary: format!("{served} served; processes over {MEMORY_MB} MB, by gateway: {ends:?}"),
    })
}

/// Kills a gateway that exceeds its memory and starts it again, as the platform does.
struct MemoryWatcher {
    number: usize,
    store: SocketAddr,
    folder: PathBuf,
    record: Record,
    fronts: Arc<Mutex<Vec<SocketAddr>>>,
    ends: Arc<Mutex<[usize; GATEWAYS]>>,
    stopped: Arc<AtomicBool>,
}

impl MemoryWatcher {
    fn run(self, mut gateway: GatewayNode) {
        let mut highest: f64 = 0.0;
        while !self.stopped.load(Ordering::Relaxed) {
            std::thread::sleep(POLL_INTERVAL);
            let resident = gateway.resident_mb();
            highest = highest.max(resident);
            if resident <= MEMORY_MB {
                continue;
            }
            drop(gateway);
            self.record
                .note(&format!("gateway {} has {resident:.0} MB and is killed", self.number));
            self.ends.lock().unwrap()[self.number] += 1;
            std::thread::sleep(RESTART_DELAY);
            gateway = match GatewayNode::start(self.number as u8, self.store, &self.folder) {
                Ok(gateway) => gateway,
                Err(error) => return self.record.note(&error),
            };
            self.fronts.lock().unwrap()[self.number] = gateway.front;
        }
        self.record.note(&format!("gateway {} had {highest:.0} MB at most", self.number));
    }
}

/// Sends a request with a body, over a slow link, and returns the status of its answer.
fn send_body(front: SocketAddr, number: usize) -> std::io::Result<u16> {
    let request = CallerRequest {
        target: ("POST".to_string(), "/puxa403/2f".to_string()),
        id: format!("{number:016x}"),
        deadline: DEADLINE,
        extra: String::new(),
        body: vec![b'x'; BODY_BYTES],
    };
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_write_timeout(Some(DEADLINE))?;
    stream.set_read_timeout(Some(DEADLINE))?;
    stream.write_all(&request.head_bytes())?;
    for piece in request.body.chunks(BODY_BYTES / 10) {
        stream.write_all(piece)?;
        std::thread::sleep(PIECE_TIME);
    }
    let mut input = BufReader::new(stream);
    let head = read_head(&mut input)?.unwrap_or_default();
    read_body(&mut input, &head, true)?;
    Ok(head.status())
}
