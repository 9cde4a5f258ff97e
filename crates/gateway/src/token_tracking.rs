//! Tokens that requests hold at servers, exchanged with the other gateways.

use cuminpick::updates::TokenUpdate;

use crate::state::Gateway;

/// Records the tokens of another gateway.
pub fn apply_token_update(_gateway: &Gateway, _update: TokenUpdate) {}

/// Returns the tokens to send to the other gateways now; `None` if there is nothing to tell.
pub fn take_token_update(_gateway: &Gateway) -> Option<TokenUpdate> {
    None
}
