//! Gateways that share a service, with the counts and the demand that they send each other.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminpick::admission::GateCapacity;
use cuminpick::admission::GateDecision;
use cuminpick::admission::GateRequest;
use cuminpick::admission::StreamGate;
use cuminpick::demand_meter::SEND_INTERVALS;
use cuminpick::demand_shares::DemandAllotment;
use cuminpick::demand_shares::DemandTable;
use cuminpick::ids::ChoiceRng;
use cuminpick::updates::DemandUpdate;
use cuminpick::updates::update_interval;

const STEP: Duration = Duration::from_millis(10);
/// Mean time for which a stream holds a place; streams take half to one and a half of it.
pub(crate) const STREAM_TIME: Duration = Duration::from_millis(1_700);
const ON_TIME: Duration = Duration::from_millis(225);
const LATEST_START: Duration = Duration::from_millis(1_400);
/// End of a run.
pub(crate) const END: Duration = Duration::from_secs(16);
/// Time after which streams are counted.
const WARM_UP: Duration = Duration::from_secs(4);
const NAME_BYTES: usize = 15;

/// Streams of one priority and organisation.
#[derive(Clone)]
pub(crate) struct Crowd {
    pub(crate) priority: u8,
    pub(crate) organisation: String,
    /// Streams per second, over all gateways.
    pub(crate) rate: f64,
    /// Time within which they arrive.
    pub(crate) between: (Duration, Duration),
    /// Number of gateways, from the first one on, that they arrive at.
    pub(crate) gateways: usize,
}

/// What became of the streams of a crowd.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    pub(crate) asked: u32,
    pub(crate) admitted: u32,
    /// Streams admitted within the time in which they can begin on time.
    pub(crate) on_time: u32,
    /// Streams whose caller was refused, and came back once.
    pub(crate) refused: u32,
    /// Streams admitted when their caller had come back.
    pub(crate) returned: u32,
}

struct Node {
    gate: StreamGate,
    table: DemandTable,
    allotment: DemandAllotment,
    running: Vec<Duration>,
    /// Running streams of the other gateways, with the time of the report.
    counts: Vec<(Duration, u32)>,
    next_update: Duration,
    next_demand: Duration,
    tells_demand: bool,
    frozen: (Duration, Duration),
    deaf: bool,
}

impl Node {
    fn new(gateways: usize, index: usize) -> Node {
        Node {
            gate: StreamGate::default(),
            table: DemandTable::default(),
            allotment: DemandAllotment::unlimited(Duration::ZERO),
            running: Vec::new(),
            counts: vec![(Duration::ZERO, 0); gateways],
            next_update: update_interval(gateways).mul_f64(index as f64 / gateways as f64),
            next_demand: Duration::ZERO,
            tells_demand: false,
            frozen: (Duration::MAX, Duration::MAX),
            deaf: false,
        }
    }
}

struct Stream {
    crowd: usize,
    arrived: Duration,
    returned: bool,
}

/// Returns whether streams that arrive now are counted: the system is warm, and they are decided
/// on before the end.
fn is_counted(arrived: Duration) -> bool {
    (WARM_UP..END - Duration::from_secs(3)).contains(&arrived)
}

/// Gateways with a service of `limit` places.
pub(crate) struct Fleet {
    pub(crate) limit: u32,
    pub(crate) crowds: Vec<Crowd>,
    pub(crate) outcomes: Vec<Outcome>,
    /// Most streams that ran at a time.
    pub(crate) peak: usize,
    /// Mean number of running streams after the warm-up.
    pub(crate) mean: f64,
    /// Number of updates of demand that were sent.
    pub(crate) demand_updates: usize,
    /// Time after which refused callers come back; as they are told if `None`.
    pub(crate) return_time: Option<Duration>,
    nodes: Vec<Node>,
    rng: ChoiceRng,
    shares: bool,
    streams: BTreeMap<u64, Stream>,
    returning: Vec<(Duration, usize, Stream)>,
}

impl Fleet {
    /// Creates gateways; without `shares` none of them uses allotments.
    pub(crate) fn new(gateways: usize, limit: u32, shares: bool, crowds: Vec<Crowd>) -> Fleet {
        Fleet {
            limit,
            outcomes: vec![Outcome::default(); crowds.len()],
            crowds,
            peak: 0,
            mean: 0.0,
            demand_updates: 0,
            return_time: None,
            nodes: (0..gateways).map(|index| Node::new(gateways, index)).collect(),
            rng: ChoiceRng::new(7),
            shares,
            streams: BTreeMap::new(),
            returning: Vec::new(),
        }
    }

    /// Stops a gateway for a time; its streams go on.
    pub(crate) fn freeze(&mut self, node: usize, from: Duration, until: Duration) {
        self.nodes[node].frozen = (from, until);
    }

    /// Lets a gateway receive nothing any more.
    pub(crate) fn make_deaf(&mut self, node: usize) {
        self.nodes[node].deaf = true;
    }

    /// Replaces a gateway by one that knows nothing; its streams are lost.
    pub(crate) fn restart(&mut self, node: usize) {
        self.nodes[node] = Node::new(self.nodes.len(), node);
    }

    /// Returns the number of streams that run at a gateway.
    pub(crate) fn running_at(&self, node: usize) -> usize {
        self.nodes[node].running.len()
    }

    /// Runs from `from` until `until`.
    pub(crate) fn run(&mut self, from: Duration, until: Duration) {
        let mut now = from;
        let (mut sum, mut samples) = (0, 0);
        while now < until {
            self.add_arrivals(now);
            for index in 0..self.nodes.len() {
                let (frozen_from, frozen_until) = self.nodes[index].frozen;
                self.nodes[index].running.retain(|end| now < *end);
                if now < frozen_from || frozen_until <= now {
                    self.exchange(now, index);
                    self.process(now, index);
                }
            }
            let running: usize = self.nodes.iter().map(|node| node.running.len()).sum();
            self.peak = self.peak.max(running);
            if now >= WARM_UP {
                sum += running;
                samples += 1;
            }
            now += STEP;
        }
        self.mean = sum as f64 / f64::from(samples.max(1));
    }

    fn add_arrivals(&mut self, now: Duration) {
        for index in 0..self.crowds.len() {
            let crowd = self.crowds[index].clone();
            if now < crowd.between.0 || crowd.between.1 <= now {
                continue;
            }
            let due = crowd.rate * STEP.as_secs_f64();
            let fraction = self.rng.below(1 << 20) as f64 / f64::from(1 << 20);
            for _ in 0..(due + fraction) as u32 {
                let node = self.rng.below(crowd.gateways);
                self.outcomes[index].asked += u32::from(is_counted(now));
                self.enqueue(now, node, Stream { crowd: index, arrived: now, returned: false });
            }
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.returning).into_iter().partition(|entry| entry.0 <= now);
        self.returning = later;
        for (_, node, stream) in due {
            self.enqueue(now, node, stream);
        }
    }

    fn enqueue(&mut self, now: Duration, node: usize, stream: Stream) {
        let request = self.rng.next_bits();
        let crowd = &self.crowds[stream.crowd];
        let accepted = self.nodes[node].gate.enqueue(GateRequest {
            request,
            priority: crowd.priority,
            organisation: crowd.organisation.clone(),
            on_time_until: stream.arrived + ON_TIME,
            latest_start: now + LATEST_START,
        });
        if accepted {
            self.streams.insert(request, stream);
        }
    }

    fn exchange(&mut self, now: Duration, index: usize) {
        if now < self.nodes[index].next_update {
            return;
        }
        let gateways = self.nodes.len();
        let interval = update_interval(gateways);
        let node = &mut self.nodes[index];
        node.next_update = now + interval;
        let running = node.running.len() as u32;
        let demand = node.gate.own_demand(now, gateways, NAME_BYTES);
        let due = demand.is_unmet && node.next_demand <= now;
        let ends = !demand.is_unmet && std::mem::take(&mut node.tells_demand);
        if due {
            node.next_demand = now + interval * SEND_INTERVALS - interval / 2;
            node.tells_demand = true;
        }
        self.demand_updates += usize::from(due || ends);
        let entries = if due { demand.listed_entries() } else { Vec::new() };
        let update =
            DemandUpdate { from: format!("gw-{index}"), service: "model".to_string(), entries };
        for (other, node) in self.nodes.iter_mut().enumerate() {
            if other == index || node.deaf {
                continue;
            }
            node.counts[index] = (now, running);
            node.table.record_contact(now, &update.from);
            if self.shares && (due || ends) {
                node.table.apply(now, update.clone());
            }
        }
    }

    fn process(&mut self, now: Duration, index: usize) {
        let gateways = self.nodes.len();
        let random = self.rng.below(1 << 20) as f64 / f64::from(1 << 20);
        let node = &mut self.nodes[index];
        let counts_age = Duration::from_millis(400).max(update_interval(gateways) * 4);
        let recent = node.counts.iter().filter(|count| now < count.0 + counts_age);
        let others: u32 = recent.map(|count| count.1).sum();
        let running = node.running.len() as u32 + others;
        let total = self.limit.saturating_sub(running);
        if node.allotment.expires_at <= now {
            let mut own = node.gate.own_demand(now, gateways, NAME_BYTES);
            own.running = node.running.len() as u32;
            node.allotment = if self.shares {
                node.table.allotment(now, "model", total, &own, gateways, random)
            } else {
                DemandAllotment::unlimited(now + STEP)
            };
        }
        let capacity = GateCapacity::Streams { total, overdue: total };
        for decision in node.gate.process_allotted(now, capacity, &mut node.allotment) {
            let (GateDecision::Admit(request) | GateDecision::Refuse(request, _)) = decision;
            let Some(mut stream) = self.streams.remove(&request) else {
                continue;
            };
            let mut ignored = Outcome::default();
            let counts = is_counted(stream.arrived);
            let outcome = if counts { &mut self.outcomes[stream.crowd] } else { &mut ignored };
            match decision {
                GateDecision::Admit(_) => {
                    outcome.admitted += 1;
                    outcome.on_time += u32::from(now < stream.arrived + ON_TIME);
                    outcome.returned += u32::from(stream.returned);
                    let length = 0.5 + self.rng.below(1 << 20) as f64 / f64::from(1 << 20);
                    node.running.push(now + STREAM_TIME.mul_f64(length));
                }
                GateDecision::Refuse(_, retry_after) if !stream.returned => {
                    stream.returned = true;
                    let target = (index + 1) % gateways;
                    let pause = self.return_time.unwrap_or(retry_after);
                    outcome.refused += 1;
                    self.returning.push((now + pause, target, stream));
                }
                GateDecision::Refuse(..) => {}
            }
        }
    }
}
