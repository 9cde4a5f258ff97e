//! Keeps the tokens of requests at each server within its memory, over all gateways.
//!
//! A gateway learns of the tokens of others with a delay, and updates may be lost. Two rules
//! keep their sum within the memory nevertheless:
//!
//! - Each gateway may use a small share of each server's memory without telling. All others
//!   count that share in addition to what they have heard.
//! - Beyond its share a gateway only uses what it has told in each of its last updates plus the
//!   share, and only while it hears all others. A request that is larger claims its tokens first.
//!
//! While requests wait for memory, a gateway tells an even part of each server in advance, so that
//! it may use that part at once.
//!
//! A gateway that misses a few updates of another therefore still counts at least what the other
//! uses.

use std::time::Duration;

use crate::ids::ClassName;
use crate::ids::FastMap;
use crate::ids::MemberId;
use crate::ids::RequestId;
use crate::ids::ServerId;

/// Share of a server's memory that requests may fill; an engine crashes above all of it.
const USED_MEMORY_SHARE: f64 = 0.9;
/// Least share of a server's memory that each gateway may use without telling, as long as
/// all others take at most [`MAX_UNTOLD_SHARES`].
const MIN_UNTOLD_SHARE: f64 = 1.0 / 64.0;
/// Largest share that each gateway may use without telling.
const MAX_UNTOLD_SHARE: f64 = 1.0 / 16.0;
/// Share that all other gateways may use without telling if each then has more than the least.
const USUAL_UNTOLD_SHARES: f64 = 0.25;
/// Share that all other gateways may use without telling at most.
const MAX_UNTOLD_SHARES: f64 = 0.5;
/// Gateways from which on the untold share may be less than one request: with 33 or more it
/// shrinks with their number.
const MANY_GATEWAYS: usize = 33;
/// Number of updates in a row that must have told of tokens before they are used.
const TOLD_UPDATES: usize = 4;
/// Update intervals within which another gateway must have been heard. It is less than
/// [`TOLD_UPDATES`] to allow for the delay of updates.
pub const FRESH_INTERVALS: u32 = 3;
/// Time for which the last tokens of another gateway count.
const PEER_TOKENS_AGE: Duration = Duration::from_secs(2);
/// Shortest time for which a claim keeps smaller requests from a server.
const MIN_CLAIM_TIME: Duration = Duration::from_millis(200);
/// Update intervals that a claim takes to be told, with some reserve for a lost one.
const CLAIM_INTERVALS: u32 = 6;
/// Time after a request that fitted nowhere for which memory counts as scarce.
const SCARCE_TIME: Duration = Duration::from_secs(2);
/// Weight of a request in the mean tokens of its class.
const MEAN_WEIGHT: f64 = 1.0 / 64.0;

#[derive(Debug, Clone, Copy, Default)]
struct OwnTokens {
    held: u32,
    /// Tokens told in the last updates.
    told: [u32; TOLD_UPDATES],
}

#[derive(Debug, Clone, Default)]
struct PeerTokens {
    heard_at: Duration,
    tokens: FastMap<ServerId, u32>,
}

#[derive(Debug, Clone, Copy)]
struct ServerClaim {
    request: RequestId,
    priority: u8,
    tokens: u32,
    expires_at: Duration,
}

/// Tokens of a request that looks for a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenNeed {
    /// Request that needs them.
    pub request: RequestId,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Tokens of its prompt and its longest answer.
    pub tokens: u32,
}

/// Memory of a service's servers, and the gateways that share it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenMemory {
    /// Tokens that fit into the memory of a server.
    pub tokens: u32,
    /// Gateways that may use it, including this one.
    pub gateways: usize,
    /// Whether all others were heard within [`FRESH_INTERVALS`].
    pub hears_all: bool,
}

impl TokenMemory {
    /// Returns the tokens that requests may fill.
    pub fn usable(&self) -> u32 {
        (f64::from(self.tokens) * USED_MEMORY_SHARE) as u32
    }

    /// Returns the tokens that each gateway may use at a server without telling.
    fn untold(&self) -> u32 {
        let others = self.gateways.saturating_sub(1);
        if others == 0 {
            return self.usable();
        }
        let others = others as f64;
        let share = (USUAL_UNTOLD_SHARES / others).clamp(MIN_UNTOLD_SHARE, MAX_UNTOLD_SHARE);
        let share = share.min(MAX_UNTOLD_SHARES / others);
        (f64::from(self.tokens) * share) as u32
    }

    /// Returns the tokens that each gateway tells in advance while memory is scarce: with its
    /// untold tokens they are an even part of the memory.
    fn even_part(&self) -> u32 {
        if self.gateways >= MANY_GATEWAYS {
            return 0;
        }
        (self.usable() / self.gateways.max(1) as u32).saturating_sub(self.untold())
    }

    /// Returns the untold tokens of all other gateways.
    fn others_untold(&self) -> u32 {
        match self.gateways.saturating_sub(1) {
            0 => 0,
            others => self.untold() * others as u32,
        }
    }
}

/// Tokens of requests at servers, as known to this gateway.
#[derive(Debug, Clone, Default)]
pub struct TokenLoad {
    own: FastMap<ServerId, OwnTokens>,
    peers: FastMap<MemberId, PeerTokens>,
    claims: FastMap<ServerId, ServerClaim>,
    mean_tokens: FastMap<ClassName, f64>,
    /// Until when memory counts as scarce.
    scarce_until: Duration,
    /// Updates that still have to be sent after the last one with tokens.
    updates_due: usize,
}

impl TokenLoad {
    /// Returns the tokens of a request from those of its prompt and of its longest answer. If
    /// these are not stated, returns the mean of the class.
    pub fn request_tokens(&mut self, class: &str, stated: Option<(u32, u32)>) -> u32 {
        let Some((prompt, answer)) = stated else {
            return self.mean_tokens.get(class).map_or(0, |mean| *mean as u32);
        };
        let tokens = prompt.saturating_add(answer);
        match self.mean_tokens.get_mut(class) {
            Some(mean) => *mean += (f64::from(tokens) - *mean) * MEAN_WEIGHT,
            None => {
                self.mean_tokens.insert(class.to_string(), f64::from(tokens));
            }
        }
        tokens
    }

    /// Counts the tokens of a request that is sent to a server.
    pub fn start_request(&mut self, server: &str, tokens: u32) {
        match self.own.get_mut(server) {
            Some(own) => own.held = own.held.saturating_add(tokens),
            None => {
                let own = OwnTokens { held: tokens, ..OwnTokens::default() };
                self.own.insert(server.to_string(), own);
            }
        }
    }

    /// Ends the count of a request's tokens.
    pub fn finish_request(&mut self, server: &str, tokens: u32) {
        if let Some(own) = self.own.get_mut(server) {
            own.held = own.held.saturating_sub(tokens);
            if own.held == 0 && own.told.iter().all(|told| *told == 0) {
                self.own.remove(server);
            }
        }
    }

    /// Claims memory for a request that fits nowhere at the server with the most free memory.
    /// Servers with a claim of an as urgent request are left out. Returns the server.
    pub fn claim<'a>(
        &mut self,
        now: Duration,
        memory: &TokenMemory,
        need: TokenNeed,
        interval: Duration,
        servers: impl Iterator<Item = &'a ServerId>,
    ) -> Option<&'a ServerId> {
        self.claims.retain(|_, claim| now < claim.expires_at && claim.request != need.request);
        self.scarce_until = now + SCARCE_TIME;
        let servers: Vec<&ServerId> = servers.collect();
        if memory.gateways > 1 && memory.even_part() > 0 {
            for server in &servers {
                if !self.own.contains_key(*server) {
                    self.own.insert((*server).clone(), OwnTokens::default());
                }
            }
        }
        let unclaimed = servers.into_iter().filter(|server| {
            self.claims.get(*server).is_none_or(|claim| need.priority < claim.priority)
        });
        let server = unclaimed.min_by_key(|server| self.used_tokens(server))?;
        if memory.usable() < need.tokens {
            return None;
        }
        let claim = ServerClaim {
            request: need.request,
            priority: need.priority,
            tokens: need.tokens,
            expires_at: now + MIN_CLAIM_TIME.max(interval * CLAIM_INTERVALS),
        };
        self.claims.insert(server.clone(), claim);
        Some(server)
    }

    /// Returns whether a request has a claim.
    pub fn has_claim(&self, now: Duration, request: RequestId) -> bool {
        self.claims.values().any(|claim| claim.request == request && now < claim.expires_at)
    }

    /// Ends the claim of a request.
    pub fn release_claim(&mut self, request: RequestId) {
        self.claims.retain(|_, claim| claim.request != request);
    }

    /// Records the tokens that another gateway told; servers that it leaves out have none.
    pub fn update_peer(&mut self, now: Duration, peer: &str, tokens: Vec<(ServerId, u32)>) {
        let tokens: FastMap<ServerId, u32> = tokens.into_iter().collect();
        if tokens.is_empty() {
            self.peers.remove(peer);
        } else {
            self.peers.insert(peer.to_string(), PeerTokens { heard_at: now, tokens });
        }
    }

    /// Returns the tokens to tell the other gateways; `None` if they need not be told.
    /// `memory_of` returns the memory of a server, if it is known. To be called once in each
    /// update interval.
    pub fn take_update(
        &mut self,
        now: Duration,
        memory_of: impl Fn(&str) -> Option<TokenMemory>,
    ) -> Option<Vec<(ServerId, u32)>> {
        self.peers.retain(|_, peer| now < peer.heard_at + PEER_TOKENS_AGE);
        self.claims.retain(|_, claim| now < claim.expires_at);
        for server in self.claims.keys() {
            if !self.own.contains_key(server) {
                self.own.insert(server.clone(), OwnTokens::default());
            }
        }
        let is_scarce = now < self.scarce_until;
        let mut update = Vec::new();
        let mut own = std::mem::take(&mut self.own);
        for (server, own) in &mut own {
            let told = memory_of(server)
                .map_or(0, |memory| self.tokens_to_tell(server, own.held, &memory, is_scarce));
            own.told.rotate_right(1);
            own.told[0] = told;
            if told > 0 {
                update.push((server.clone(), told));
            }
        }
        self.own = own;
        self.own.retain(|_, own| own.held > 0 || own.told.iter().any(|told| *told > 0));
        if update.is_empty() {
            self.updates_due = self.updates_due.checked_sub(1)?;
        } else {
            self.updates_due = TOLD_UPDATES;
        }
        Some(update)
    }

    /// Returns the tokens to tell of a server where this gateway holds `held`; 0 if they are few.
    fn tokens_to_tell(
        &self,
        server: &str,
        held: u32,
        memory: &TokenMemory,
        is_scarce: bool,
    ) -> u32 {
        let claimed = self.claims.get(server).map_or(0, |claim| claim.tokens);
        let mut tokens = held.saturating_add(claimed);
        if is_scarce {
            let taken = self.peer_tokens(server).saturating_add(memory.others_untold());
            let left = memory.usable().saturating_sub(taken.saturating_add(memory.untold()));
            tokens = tokens.max(memory.even_part().min(left));
        }
        if memory.gateways > 1 && tokens > memory.untold() / 2 { tokens } else { 0 }
    }

    /// Returns the tokens at a server that are known here, with those claimed.
    fn used_tokens(&self, server: &str) -> u32 {
        let own = self.own.get(server).map_or(0, |own| own.held);
        let claimed = self.claims.get(server).map_or(0, |claim| claim.tokens);
        own.saturating_add(claimed).saturating_add(self.peer_tokens(server))
    }

    fn peer_tokens(&self, server: &str) -> u32 {
        let told = self.peers.values().filter_map(|peer| peer.tokens.get(server));
        told.fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }
}

/// Tells which servers have the memory for a request.
#[derive(Debug, Clone, Copy)]
pub struct TokenFilter<'a> {
    /// Tokens at the servers.
    pub load: &'a TokenLoad,
    /// Memory of each server.
    pub memory: TokenMemory,
    /// Tokens that the request needs.
    pub need: TokenNeed,
}

impl TokenFilter<'_> {
    /// Returns whether a server has the memory for the request.
    pub fn admits(&self, now: Duration, server: &str) -> bool {
        let need = &self.need;
        let claim = self.load.claims.get(server).filter(|claim| now < claim.expires_at);
        let is_reserved = claim
            .is_some_and(|claim| claim.request != need.request && claim.priority <= need.priority);
        if is_reserved {
            return false;
        }
        let own = self.load.own.get(server).copied().unwrap_or_default();
        let own_total = own.held.saturating_add(need.tokens);
        let others = self.load.peer_tokens(server).saturating_add(self.memory.others_untold());
        own_total.saturating_add(others) <= self.memory.usable() && self.is_told(&own, own_total)
    }

    /// Returns whether all other gateways count at least `own_total` tokens of this one.
    fn is_told(&self, own: &OwnTokens, own_total: u32) -> bool {
        let untold = self.memory.untold();
        if own_total <= untold {
            return true;
        }
        let told = own.told.iter().copied().min().unwrap_or_default();
        let is_first = own.held == 0 && self.memory.gateways >= MANY_GATEWAYS;
        self.memory.hears_all && (own_total <= told.saturating_add(untold) || is_first)
    }
}
