//! Guards against engines that crash because their requests hold more tokens than the memory, and
//! against large requests that never get a server because small ones fill each gap.

use std::time::Duration;

use cuminpick::ids::ChoiceRng;
use cuminpick::ids::ServerId;
use cuminpick::token_load::FRESH_INTERVALS;
use cuminpick::token_load::TokenFilter;
use cuminpick::token_load::TokenLoad;
use cuminpick::token_load::TokenMemory;
use cuminpick::token_load::TokenNeed;

const MEMORY: u32 = 100_000;
/// Tokens of a large request.
const LARGE: u32 = 12_000;
const TICK: Duration = Duration::from_millis(10);
const INTERVAL: Duration = Duration::from_millis(60);
/// Delay of an update on its way.
const DELAY: Duration = Duration::from_millis(20);

fn need(request: u64, priority: u8, tokens: u32) -> TokenNeed {
    TokenNeed { request, priority, tokens }
}

fn memory(gateways: usize) -> TokenMemory {
    TokenMemory { tokens: MEMORY, gateways, hears_all: true }
}

fn admits(load: &TokenLoad, memory: TokenMemory, need: TokenNeed) -> bool {
    TokenFilter { load, memory, need }.admits(Duration::ZERO, "a")
}

#[derive(Default)]
struct Node {
    load: TokenLoad,
    /// When each other gateway was last heard.
    heard_at: Vec<Duration>,
    /// Requests that wait, with the time of their arrival.
    waiting: Vec<(Duration, TokenNeed)>,
    /// Server, tokens and end of the requests that run.
    running: Vec<(usize, u32, Duration)>,
}

/// Update on its way between two gateways.
struct Transit {
    arrives_at: Duration,
    from: usize,
    to: usize,
    update: Option<Vec<(ServerId, u32)>>,
}

/// Gateways that send as many requests as they may to a few servers.
struct Fleet {
    nodes: Vec<Node>,
    servers: Vec<ServerId>,
    in_transit: Vec<Transit>,
    now: Duration,
    rng: ChoiceRng,
    next_request: u64,
    most_tokens: u32,
    /// Waits of the large requests that were started.
    large_waits: Vec<Duration>,
}

impl Fleet {
    fn new(gateways: usize, servers: usize, seed: u64) -> Fleet {
        let node = || Node { heard_at: vec![Duration::ZERO; gateways], ..Node::default() };
        Fleet {
            nodes: (0..gateways).map(|_| node()).collect(),
            servers: (0..servers).map(|index| format!("s{index}")).collect(),
            in_transit: Vec::new(),
            now: Duration::ZERO,
            rng: ChoiceRng::new(seed),
            next_request: 1,
            most_tokens: 0,
            large_waits: Vec::new(),
        }
    }

    fn tokens_at(&self, server: usize) -> u32 {
        let running = self.nodes.iter().flat_map(|node| &node.running);
        running.filter(|run| run.0 == server).map(|run| run.1).sum()
    }

    /// Runs for one tick. `arrivals` returns the tokens of the requests that arrive at a gateway,
    /// `loses` whether an update from a gateway to another is lost.
    fn tick(
        &mut self,
        arrivals: &mut impl FnMut(usize, &mut ChoiceRng) -> Vec<u32>,
        loses: &impl Fn(usize, usize, Duration) -> bool,
    ) {
        self.now += TICK;
        let now = self.now;
        let count = self.nodes.len();
        let arrived: Vec<_> =
            self.in_transit.extract_if(.., |item| item.arrives_at <= now).collect();
        for Transit { from, to, update, .. } in arrived {
            self.nodes[to].heard_at[from] = now;
            if let Some(update) = update {
                self.nodes[to].load.update_peer(now, &format!("g{from}"), update);
            }
        }
        for index in 0..count {
            let node = &mut self.nodes[index];
            for (server, tokens, _) in node.running.extract_if(.., |run| run.2 <= now) {
                node.load.finish_request(&self.servers[server], tokens);
            }
            for tokens in arrivals(index, &mut self.rng) {
                if tokens >= LARGE || node.waiting.len() < 50 {
                    node.waiting.push((now, need(self.next_request, 1, tokens)));
                }
                self.next_request += 1;
            }
            let fresh = |(other, at): (usize, &Duration)| {
                other == index || now < *at + INTERVAL * FRESH_INTERVALS
            };
            let hears_all = node.heard_at.iter().enumerate().all(fresh);
            let memory = TokenMemory { tokens: MEMORY, gateways: count, hears_all };
            for (arrived, need) in std::mem::take(&mut node.waiting) {
                let first = self.rng.below(self.servers.len());
                let order = (0..self.servers.len()).map(|step| (first + step) % self.servers.len());
                let filter = TokenFilter { load: &node.load, memory, need };
                let Some(server) = { order }.find(|at| filter.admits(now, &self.servers[*at]))
                else {
                    if !node.load.has_claim(now, need.request) && need.tokens >= LARGE {
                        node.load.claim(now, &memory, need, INTERVAL, self.servers.iter());
                    }
                    node.waiting.push((arrived, need));
                    continue;
                };
                node.load.release_claim(need.request);
                node.load.start_request(&self.servers[server], need.tokens);
                let time = Duration::from_millis(200 + self.rng.below(800) as u64);
                node.running.push((server, need.tokens, now + time));
                if need.tokens >= LARGE {
                    self.large_waits.push(now - arrived);
                }
            }
            // Gateways do not send at the same time.
            if (now + TICK * index as u32).as_millis().is_multiple_of(INTERVAL.as_millis()) {
                let update = node.load.take_update(now, |_| Some(memory));
                for to in (0..count).filter(|to| *to != index && !loses(index, *to, now)) {
                    let update = update.clone();
                    let arrives_at = now + DELAY;
                    self.in_transit.push(Transit { arrives_at, from: index, to, update });
                }
            }
        }
        let most = (0..self.servers.len()).map(|server| self.tokens_at(server)).max();
        self.most_tokens = self.most_tokens.max(most.unwrap_or_default());
    }
}

/// Returns requests of 500 to 1,300 tokens, and now and then one of 12,000.
fn unlike_prompts(_: usize, rng: &mut ChoiceRng) -> Vec<u32> {
    let mut tokens: Vec<u32> = (0..5).map(|_| 500 + rng.below(800) as u32).collect();
    if rng.below(300) == 0 {
        tokens.push(LARGE);
    }
    tokens
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against a server that gets more than its memory because several gateways fill it at the
/// same time; the memory is used nevertheless, and large requests get their part of it.
#[test]
fn full_servers() {
    for gateways in [1, 2, 4, 12] {
        let mut fleet = Fleet::new(gateways, 3, gateways as u64);
        while fleet.now < seconds(10) {
            fleet.tick(&mut unlike_prompts, &|_, _, _| false);
        }
        assert!(fleet.most_tokens <= MEMORY, "{gateways}: {}", fleet.most_tokens);
        assert!(fleet.most_tokens >= MEMORY * 6 / 10, "{gateways}: {}", fleet.most_tokens);
        let waiting: Vec<Duration> = fleet
            .nodes
            .iter()
            .flat_map(|node| &node.waiting)
            .filter(|(_, need)| need.tokens >= LARGE)
            .map(|(arrived, _)| fleet.now - *arrived)
            .collect();
        let waits = fleet.large_waits.iter().chain(&waiting);
        assert!(waits.max().is_some_and(|wait| *wait < seconds(2)), "{gateways}: {waiting:?}");
    }
}

/// Guards against more than the memory when the updates of one gateway, or of all, are lost.
#[test]
fn lost_counts() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(4, 2, seed);
        while fleet.now < seconds(12) {
            fleet.tick(&mut unlike_prompts, &|from, to, now| {
                let one_way = (3..6).contains(&now.as_secs()) && from == 0 && to == 1;
                let all = (8..10).contains(&now.as_secs());
                // One in six updates is lost at random.
                let random =
                    (now.as_millis() / 60 + from as u128 * 7 + to as u128 * 3).is_multiple_of(6);
                one_way || all || random
            });
        }
        assert!(fleet.most_tokens <= MEMORY, "{seed}: {}", fleet.most_tokens);
    }
}

/// Guards against a large request that waits while small ones take each gap: it claims the server
/// with the most free memory, which then takes no smaller ones but more urgent ones.
#[test]
fn large_request() {
    let mut load = TokenLoad::default();
    let servers: Vec<ServerId> = vec!["a".to_string(), "b".to_string()];
    let alone = memory(1);
    load.start_request("a", 60_000);
    load.start_request("b", 80_000);
    let large = need(1, 1, 40_000);
    assert!(!admits(&load, alone, large));
    let claimed = load.claim(Duration::ZERO, &alone, large, INTERVAL, servers.iter());
    assert_eq!(claimed.map(String::as_str), Some("a"));
    assert!(load.has_claim(Duration::ZERO, 1));
    assert!(!admits(&load, alone, need(2, 1, 500)));
    assert!(!admits(&load, alone, need(3, 2, 500)));
    assert!(admits(&load, alone, need(4, 0, 500)));
    let small = TokenFilter { load: &load, memory: alone, need: need(2, 1, 500) };
    assert!(small.admits(Duration::ZERO, "b"));
    assert!(small.admits(Duration::from_millis(500), "a"));
    load.finish_request("a", 20_000);
    assert!(admits(&load, alone, large));
    load.release_claim(1);
    assert!(admits(&load, alone, need(2, 1, 500)));
}

/// A server that is far from full costs no update, and the first requests need none.
#[test]
fn far_from_full() {
    let mut load = TokenLoad::default();
    assert!(admits(&load, memory(16), need(1, 1, 1_000)));
    load.start_request("a", 700);
    assert_eq!(load.take_update(seconds(1), |_| Some(memory(16))), None);
    load.start_request("a", 700);
    let update = load.take_update(seconds(2), |_| Some(memory(16)));
    assert_eq!(update, Some(vec![("a".to_string(), 1_400)]));
    load.finish_request("a", 1_400);
    // The others are told that there are none any more.
    assert_eq!(load.take_update(seconds(3), |_| Some(memory(16))), Some(Vec::new()));
    let more = (0..10).filter_map(|_| load.take_update(seconds(4), |_| Some(memory(16))));
    assert_eq!(more.count(), 3);
}

/// At the design size the share of a gateway is less than one request; a server at which a gateway
/// has none gets one nevertheless.
#[test]
fn many_gateways() {
    let mut load = TokenLoad::default();
    assert!(admits(&load, memory(350), need(1, 1, 1_000)));
    load.start_request("a", 1_000);
    assert!(!admits(&load, memory(350), need(2, 1, 1_000)));
    load.update_peer(Duration::ZERO, "g2", vec![("a".to_string(), 45_000)]);
    let fresh = need(3, 1, 1_000);
    load.finish_request("a", 1_000);
    assert!(!admits(&load, memory(350), fresh));
}

/// Requests without a stated size count as the mean of their class.
#[test]
fn unstated_tokens() {
    let mut load = TokenLoad::default();
    assert_eq!(load.request_tokens("draft", None), 0);
    assert_eq!(load.request_tokens("draft", Some((900, 100))), 1_000);
    assert_eq!(load.request_tokens("draft", None), 1_000);
    assert_eq!(load.request_tokens("other", None), 0);
    assert_eq!(load.request_tokens("draft", Some((u32::MAX, 100))), u32::MAX);
}
