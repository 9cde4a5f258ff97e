//! Stand-in for a model group: its ranks execute passes together and switch expert maps by order.

use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::base::*;

pub type Map = Arc<Vec<Vec<Vec<u64>>>>;

/// Shape of a group, as in the configuration.
#[derive(Clone, Copy)]
pub struct Shape {
    pub ranks: usize,
    pub sets: usize,
    pub experts: usize,
    pub placements: usize,
    pub spare: usize,
    /// Time to copy one expert.
    pub copy_ms: u64,
    pub pass_ms: u64,
}

/// Age of a report that is read from another machine (`report_lag_ms`).
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Experts that each stream chooses in a set and pass.
const PICKS: f64 = 40.0;

struct Rank {
    id: String,
    map: (u64, Map),
    prepared: Option<(u64, Map)>,
    copying: Option<(u64, Map, Instant)>,
    highest: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    fence: u64,
    seq: u64,
    counts: Vec<f64>,
    streams: Vec<mpsc::Sender<u64>>,
    /// Whether the machine stands still: the engine goes on with the group's passes, and answers
    /// no calls.
    frozen: bool,
    reports: VecDeque<(Instant, String)>,
}

struct State {
    step: u64,
    ranks: Vec<Rank>,
    /// Set, or all of them, in which the experts that map 0 gives to a rank are in demand, with
    /// that rank; `None` while all are alike.
    hot: Option<(Option<usize>, usize)>,
    mixed: Vec<String>,
    versions: Vec<u64>,
    /// Operations whose orders get no answer and are carried out late, with the delay.
    late: Option<(String, Duration)>,
    late_orders: usize,
    /// Orders since late ones began.
    orders: usize,
}

#[derive(Clone)]
pub struct Group {
    pub name: String,
    pub shape: Shape,
    /// Round trip from other machines, which are in another zone or the same.
    round_trip: Duration,
    record: Record,
    born: u64,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Group {
    pub fn start(name: &str, shape: Shape, round_trip: Duration, record: &Record) -> Group {
        let mut set = vec![Vec::new(); shape.ranks];
        for expert in 0..shape.experts {
            set[expert % shape.ranks].push(expert as u64);
        }
        let map: Map = Arc::new(vec![set; shape.sets]);
        let ranks = (0..shape.ranks).map(|_| Rank {
            id: fresh_id("i-"),
            map: (0, Arc::clone(&map)),
            prepared: None,
            copying: None,
            highest: 0,
            armed: None,
            held: None,
            fence: 0,
            seq: 0,
            counts: vec![0.0; shape.sets * shape.experts],
            streams: Vec::new(),
            frozen: false,
            reports: VecDeque::new(),
        });
        let state = State {
            step: 0,
            ranks: ranks.collect(),
            hot: None,
            mixed: Vec::new(),
            versions: vec![0],
            late: None,
            late_orders: 0,
            orders: 0,
        };
        let group = Group {
            name: name.into(),
            shape,
            round_trip,
            record: record.clone(),
            born: unix_ms(),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let passes = group.clone();
        std::thread::spawn(move || passes.run());
        let reports = group.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            let mut state = reports.lock();
            for rank in 0..reports.shape.ranks {
                let text = reports.report(&state, rank);
                let kept = &mut state.ranks[rank].reports;
                kept.push_back((Instant::now(), text));
                while kept.len() > 2 && kept[1].0.elapsed() >= REPORT_LAG {
                    kept.pop_front();
                }
            }
        });
        group
    }

    /// Serves a rank: `near` to its own machine, `far` to all others.
    pub fn serve(&self, rank: usize, near: SocketAddr, far: SocketAddr) -> std::io::Result<()> {
        for (address, fresh) in [(near, true), (far, false)] {
            let group = self.clone();
            let _ =
                serve(address, move |request, writer| group.handle(rank, fresh, request, writer))?;
        }
        Ok(())
    }

    pub fn entry(&self, service: &str, zone: &str, address: SocketAddr) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"seqNo\":4,\"born\":{}}}",
            self.born
        )
    }

    pub fn id(&self, rank: usize) -> String {
        self.lock().ranks[rank].id.clone()
    }
    pub fn step(&self) -> u64 {
        self.lock().step
    }
    pub fn mixed(&self) -> Vec<String> {
        self.lock().mixed.clone()
    }
    /// Versions of the maps that came in use at the first rank.
    pub fn versions(&self) -> Vec<u64> {
        self.lock().versions.clone()
    }
    pub fn set_hot(&self, set: Option<usize>, rank: usize) {
        let sets = set.map_or("all sets".to_string(), |set| format!("set {set}"));
        self.record.line(format!("group {}: {sets}, experts of rank {rank} in demand", self.name));
        self.lock().hot = Some((set, rank));
    }
    pub fn set_late(&self, late: Option<(&str, Duration)>) {
        self.lock().late = late.map(|(operation, delay)| (operation.to_string(), delay));
    }
    pub fn orders(&self) -> (usize, usize) {
        let state = self.lock();
        (state.late_orders, state.orders)
    }

    pub fn set_frozen(&self, rank: usize, frozen: bool) {
        self.lock().ranks[rank].frozen = frozen;
    }
    fn wait_until_awake(&self, rank: usize) {
        while self.lock().ranks[rank].frozen {
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    fn report(&self, state: &State, rank: usize) -> String {
        let known = &state.ranks[rank];
        let number = |value: Option<u64>| value.map_or("null".to_string(), |v| v.to_string());
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"seqNo\":{},\"queued\":0,\"running\":{},\"kvUsed\":41000,\
             \"kvTotal\":280000,\"handles\":0,\"pace\":1.0,\"size\":{},\"group\":{{\"name\":\"{}\",\
             \"epoch\":1,\"rank\":{rank},\"state\":\"open\"}},\"step\":{},\"map\":{},\
             \"prepared\":{},\"armed\":{},\"held\":{},\"born\":{}}}",
            known.seq,
            known.streams.len(),
            self.shape.ranks,
            self.name,
            state.step,
            known.map.0,
            number(known.prepared.as_ref().map(|prepared| prepared.0)),
            number(known.armed.map(|armed| armed.0)),
            number(known.held),
            self.born,
        )
    }

    /// Makes passes while a rank has requests and none holds the next one.
    fn run(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(self.shape.pass_ms));
            loop {
                let mut state = self.lock();
                self.finish_copies(&mut state);
                let next = state.step + 1;
                let idle = state.ranks.iter().all(|rank| rank.streams.is_empty());
                let held = state.ranks.iter().any(|rank| rank.held == Some(next));
                if !idle && !held {
                    self.begin_pass(&mut state, next);
                    break;
                }
                drop(state);
                std::thread::sleep(Duration::from_millis(1));
            }
        }
    }

    fn finish_copies(&self, state: &mut State) {
        let now = Instant::now();
        for rank in &mut state.ranks {
            if rank.copying.as_ref().is_some_and(|copying| now >= copying.2) {
                rank.prepared = rank.copying.take().map(|(version, map, _)| (version, map));
            }
        }
    }

    fn begin_pass(&self, state: &mut State, step: u64) {
        state.step = step;
        for rank in &mut state.ranks {
            if rank.armed.is_some_and(|(_, at)| at == step) {
                rank.armed = None;
                if let Some(prepared) = rank.prepared.take() {
                    rank.map = prepared;
                }
            }
        }
        let first = &state.ranks[0].map;
        if state.versions.last() != Some(&first.0) {
            let version = first.0;
            state.versions.push(version);
            self.record.line(format!("group {}: pass {step} uses map {version}", self.name));
        }
        let first = &state.ranks[0].map;
        if state.ranks.iter().any(|rank| rank.map != *first) {
            let versions: Vec<u64> = state.ranks.iter().map(|rank| rank.map.0).collect();
            let other = state.ranks.iter().position(|rank| rank.map != *first).unwrap_or(0);
            let differs = (0..self.shape.sets)
                .flat_map(|set| (0..self.shape.ranks).map(move |rank| (set, rank)))
                .find(|&(set, rank)| first.1[set][rank] != state.ranks[other].map.1[set][rank]);
            let detail = differs.map_or(String::new(), |(set, rank)| {
                format!(
                    "; set {set}, experts of rank {rank}: {:?} at rank 0, {:?} at rank {other}",
                    first.1[set][rank], state.ranks[other].map.1[set][rank]
                )
            });
            let text = format!(
                "group {}: MAP pass {step} begins with versions {versions:?}{detail}",
                self.name
            );
            if state.mixed.len() < 20 {
                self.record.line(&text);
            }
            state.mixed.push(text);
        }
        let hot = state.hot;
        let experts = self.shape.experts;
        for rank in &mut state.ranks {
            rank.streams.retain(|stream| stream.send(step).is_ok());
            let running = rank.streams.len() as f64;
            for set in 0..self.shape.sets {
                for expert in 0..experts {
                    let even = 1.0 / experts as f64;
                    let share = match hot {
                        // Three experts that map 0 gives to this rank get most of the demand.
                        Some((at, rank)) if at.is_none_or(|at| at == set) => {
                            let liked = [0.3, 0.2, 0.1].get(expert / self.shape.ranks);
                            let liked = liked.filter(|_| expert % self.shape.ranks == rank);
                            liked.copied().unwrap_or(0.0) + 0.4 * even
                        }
                        _ => even,
                    };
                    rank.counts[set * experts + expert] += running * PICKS * share;
                }
            }
        }
    }

    fn handle(
        &self,
        rank: usize,
        fresh: bool,
        request: Req,
        writer: &mut TcpStream,
    ) -> std::io::Result<bool> {
        let json = [("Content-Type", "application/json".to_string())];
        if !fresh {
            std::thread::sleep(self.round_trip);
        }
        self.wait_until_awake(rank);
        match (request.method.as_str(), request.path()) {
            ("GET", "/cuminpick/report") => {
                let state = self.lock();
                let old = state.ranks[rank].reports.front().filter(|_| !fresh);
                let text = old.map_or_else(|| self.report(&state, rank), |old| old.1.clone());
                drop(state);
                answer(writer, 200, &json, text.as_bytes())
            }
            ("GET", "/cuminpick/picked") => {
                let state = self.lock();
                let known = &state.ranks[rank];
                let text = if request.query("lists").is_some() {
                    let prepared = known
                        .prepared
                        .as_ref()
                        .map_or("null".to_string(), |prepared| held_text(rank, prepared));
                    format!(
                        "{{\"step\":{},\"epoch\":1,\"map\":{},\"prepared\":{prepared}}}",
                        state.step,
                        held_text(rank, &known.map)
                    )
                } else {
                    let counts: Vec<String> =
                        known.counts.iter().map(|count| (*count as u64).to_string()).collect();
                    format!(
                        "{{\"step\":{},\"epoch\":1,\"counts\":[{}]}}",
                        state.step,
                        counts.join(",")
                    )
                };
                drop(state);
                answer(writer, 200, &json, text.as_bytes())
            }
            ("GET", "/healthz") => {
                let id = self.id(rank);
                answer(writer, 200, &[("X-Instance-Id", id)], b"")
            }
            ("POST", "/cuminpick/order") => {
                let Some(body) = parse(&String::from_utf8_lossy(&request.body)) else {
                    return answer(writer, 400, &json, b"{}");
                };
                let operation = body.get("operation").and_then(J::str).unwrap_or("").to_string();
                let late = {
                    let mut state = self.lock();
                    state.orders += usize::from(state.late_orders > 0 || state.late.is_some());
                    let late = state.late.clone().filter(|(kind, _)| *kind == operation);
                    state.late_orders += usize::from(late.is_some());
                    late
                };
                if let Some((_, delay)) = late {
                    self.record.line(format!(
                        "group {}: rank {rank} leaves {operation} unanswered",
                        self.name
                    ));
                    let group = self.clone();
                    std::thread::spawn(move || {
                        std::thread::sleep(delay);
                        let status = group.order(rank, &body);
                        group.record.line(format!(
                            "group {}: rank {rank} carries out {operation} late: {status}",
                            group.name
                        ));
                    });
                    std::thread::sleep(delay);
                    return Ok(false);
                }
                let status = self.order(rank, &body);
                let number = |name: &str| body.get(name).and_then(J::u64);
                self.record.line(format!(
                    "group {}: rank {rank} order {operation} version {:?} step {:?} fence {:?}: {status}",
                    self.name, number("version"), number("step"), number("fenceToken")
                ));
                answer(writer, status, &json, b"{}")
            }
            _ => self.stream(rank, request, writer),
        }
    }

    fn order(&self, rank: usize, body: &J) -> u16 {
        let mut state = self.lock();
        self.finish_copies(&mut state);
        let step = state.step;
        let known = &mut state.ranks[rank];
        let number = |name: &str| body.get(name).and_then(J::u64);
        if number("epoch").is_some_and(|epoch| epoch != 1) {
            return 409;
        }
        if let Some(fence) = number("fenceToken") {
            if fence < known.fence {
                return 412;
            }
            known.fence = fence;
        }
        if number("expected").is_some_and(|expected| expected != known.seq) {
            return 409;
        }
        let version = number("version").unwrap_or(0);
        let at = number("step").unwrap_or(0);
        let status = match body.get("operation").and_then(J::str).unwrap_or("") {
            "prepare" => {
                let map = read_map(body.get("map"));
                let Some(new) = self.new_experts(rank, &known.map.1, &map) else { return 409 };
                if version <= known.highest || known.armed.is_some() {
                    return 409;
                }
                known.highest = version;
                known.prepared = None;
                let copied = Duration::from_millis(self.shape.copy_ms * new as u64);
                known.copying = Some((version, Arc::new(map), Instant::now() + copied));
                202
            }
            "arm" => {
                if known.armed == Some((version, at)) {
                    return 200;
                }
                let ready = known.prepared.as_ref().is_some_and(|prepared| prepared.0 == version);
                if !ready || at <= step {
                    return 409;
                }
                known.armed = Some((version, at));
                202
            }
            "disarm" => {
                if known.map.0 == version {
                    return 409;
                }
                if known.armed.is_none_or(|armed| armed.0 != version) {
                    return 200;
                }
                known.armed = None;
                202
            }
            "hold" => {
                if known.held == Some(at) {
                    return 200;
                }
                if at <= step || known.held.is_some() {
                    return 409;
                }
                known.held = Some(at);
                202
            }
            "go" => {
                if known.held != Some(at) {
                    return 200;
                }
                known.held = None;
                202
            }
            _ => return 400,
        };
        known.seq += 1;
        status
    }

    /// Number of experts of a map that a rank has to copy; `None` if the map isn't allowed.
    fn new_experts(&self, rank: usize, current: &Map, map: &[Vec<Vec<u64>>]) -> Option<usize> {
        let shape = self.shape;
        let mut copies = 0;
        if map.len() != shape.sets {
            return None;
        }
        for (set, ranks) in map.iter().enumerate() {
            let everywhere = (0..shape.experts as u64)
                .all(|expert| ranks.iter().any(|held| held.contains(&expert)));
            let fits = ranks.iter().all(|held| held.len() <= shape.placements);
            if ranks.len() != shape.ranks || !everywhere || !fits {
                return None;
            }
            let new = ranks[rank].iter().filter(|e| !current[set][rank].contains(e)).count();
            if new > shape.spare {
                return None;
            }
            copies += new;
        }
        Some(copies)
    }

    /// Runs a streaming request: one event a pass.
    fn stream(&self, rank: usize, request: Req, writer: &mut TcpStream) -> std::io::Result<bool> {
        let id = self.id(rank);
        let attempt = request.header("x-request-attempt-id").unwrap_or("").to_string();
        let echo = ("X-Request-Attempt-Id", attempt.clone());
        if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
            return answer(writer, 421, &[echo, ("X-Instance-Id", id)], b"");
        }
        let (sender, passes) = mpsc::channel();
        {
            let mut state = self.lock();
            let streams = &mut state.ranks[rank].streams;
            if streams.len() >= 12 {
                drop(state);
                return answer(writer, 503, &[echo, ("X-Not-Executed", "1".into())], b"");
            }
            streams.push(sender);
        }
        let seen = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0u64);
        self.record.line(format!("run {attempt} at {id} (group {} rank {rank})", self.name));
        let mut begun = false;
        for event in seen + 1..=EVENTS {
            let Ok(_) = passes.recv_timeout(Duration::from_secs(20)) else { return Ok(false) };
            self.wait_until_awake(rank);
            let piece = format!("id: {event}\ndata: piece {event}\n\n");
            let mut bytes = String::new();
            if !begun {
                begun = true;
                bytes = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                     X-Request-Attempt-Id: {attempt}\r\nX-Response-Seal: s.{attempt}\r\n\
                     Transfer-Encoding: chunked\r\n\r\n"
                );
            }
            bytes.push_str(&format!("{:x}\r\n{piece}\r\n", piece.len()));
            writer.write_all(bytes.as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

/// Events of a stream.
pub const EVENTS: u64 = 24;

fn read_map(map: Option<&J>) -> Vec<Vec<Vec<u64>>> {
    let sets = map.map(J::arr).unwrap_or_default();
    let ranks = |set: &J| {
        set.arr().iter().map(|held| held.arr().iter().filter_map(J::u64).collect()).collect()
    };
    sets.iter().map(ranks).collect()
}

fn held_text(rank: usize, map: &(u64, Map)) -> String {
    let sets = map.1.iter().map(|ranks| {
        let held: Vec<String> = ranks[rank].iter().map(u64::to_string).collect();
        format!("[{}]", held.join(","))
    });
    format!("{{\"version\":{},\"experts\":[{}]}}", map.0, sets.collect::<Vec<_>>().join(","))
}
