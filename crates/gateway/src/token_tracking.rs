//! Tokens that requests hold at servers, exchanged with the other gateways. The decisions are made
//! in [`cuminpick::token_load`]. Nothing is counted for services whose servers state no memory.

use std::cell::RefCell;
use std::rc::Rc;

use cuminpick::ids::FastMap;
use cuminpick::ids::ServerId;
use cuminpick::ids::ServiceName;
use cuminpick::token_load::FRESH_INTERVALS;
use cuminpick::token_load::TokenMemory;
use cuminpick::token_load::TokenNeed;
use cuminpick::updates::TokenUpdate;
use cuminpick::updates::update_interval;
use slog::o;

use crate::state::Gateway;

/// Records the tokens of another gateway.
pub fn apply_token_update(gateway: &Gateway, update: TokenUpdate) {
    let now = gateway.now();
    gateway.token_load.borrow_mut().update_peer(now, &update.from, update.tokens);
}

/// Returns the tokens to send to the other gateways now; `None` if there is nothing to tell.
pub fn take_token_update(gateway: &Gateway) -> Option<TokenUpdate> {
    let known: RefCell<FastMap<ServiceName, Option<TokenMemory>>> = RefCell::default();
    let memory_of = |server: &str| {
        let service = gateway.balance.borrow().service_of(server)?;
        let memory = known.borrow().get(&service).copied();
        memory.unwrap_or_else(|| {
            let memory = service_memory(gateway, &service);
            known.borrow_mut().insert(service, memory);
            memory
        })
    };
    let tokens = gateway.token_load.borrow_mut().take_update(gateway.now(), memory_of)?;
    Some(TokenUpdate { from: gateway.settings.node.clone(), tokens })
}

/// Returns the memory of a service's servers, if it is stated.
pub fn service_memory(gateway: &Gateway, service: &str) -> Option<TokenMemory> {
    let table = gateway.routing_table()?;
    let tokens = table.service(service)?.engine.as_ref()?.memory_tokens?;
    let balance = gateway.balance.borrow();
    let gateways = balance.live_or_registered_gateways();
    let age = update_interval(balance.live_gateways()) * FRESH_INTERVALS;
    let hears_all = balance.gateways_heard_within(gateway.now(), age) >= gateways;
    Some(TokenMemory { tokens, gateways, hears_all })
}

/// Returns the tokens that a request needs, by what its caller states of prompt and answer; 0 if
/// its service states no memory. The error says that no server has the memory for it.
pub fn count_tokens(
    gateway: &Gateway,
    service: &str,
    class: &str,
    stated: Option<(u32, u32)>,
) -> Result<u32, TooManyTokens> {
    let Some(memory) = service_memory(gateway, service) else {
        return Ok(0);
    };
    if stated.is_some_and(|(prompt, answer)| prompt.saturating_add(answer) > memory.usable()) {
        return Err(TooManyTokens);
    }
    Ok(gateway.token_load.borrow_mut().request_tokens(class, stated))
}

/// Says that a request needs more tokens than the memory of any server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooManyTokens;

/// Claims a server's memory for a request that fits nowhere, unless it has a claim.
pub fn claim_memory(gateway: &Gateway, service: &str, attempt: Option<&str>, need: TokenNeed) {
    let now = gateway.now();
    let mut load = gateway.token_load.borrow_mut();
    if load.has_claim(now, need.request) {
        return;
    }
    let Some(memory) = service_memory(gateway, service) else {
        return;
    };
    let balance = gateway.balance.borrow();
    let interval = update_interval(balance.live_gateways());
    let servers = balance.available_servers(service).map(|(server, _)| server);
    let claimed = load.claim(now, &memory, need, interval, servers);
    gateway.metrics.count_memory_claim(claimed.is_some());
    gateway.journal.note(
        "memory-lacking",
        attempt,
        o!("service" => service.to_string(), "tokens" => need.tokens,
           "priority" => need.priority, "usable" => memory.usable(),
           "gateways" => memory.gateways, "hears_all" => memory.hears_all,
           "claimed" => claimed.cloned().unwrap_or_default()),
    );
}

/// Counts the tokens of a request at a server until it is dropped.
pub struct TokenHold {
    gateway: Rc<Gateway>,
    server: ServerId,
    tokens: u32,
}

impl TokenHold {
    /// Counts the tokens of a request at `server`, and ends its claim; returns `None` if it needs
    /// none.
    pub fn begin(gateway: &Rc<Gateway>, server: &str, need: TokenNeed) -> Option<TokenHold> {
        if need.tokens == 0 {
            return None;
        }
        let mut load = gateway.token_load.borrow_mut();
        load.release_claim(need.request);
        load.start_request(server, need.tokens);
        let server = server.to_string();
        Some(TokenHold { gateway: Rc::clone(gateway), server, tokens: need.tokens })
    }
}

impl Drop for TokenHold {
    fn drop(&mut self) {
        self.gateway.token_load.borrow_mut().finish_request(&self.server, self.tokens);
        self.gateway.capacity_changed.notify_waiters();
    }
}
