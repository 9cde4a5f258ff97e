//! Who holds how much of a service, so that no organisation crowds others out.

use crate::ids::FastMap;
use crate::ids::OrganisationName;

/// Part of a limit, in percent.
pub type FillPercent = u32;
/// Fill of an organisation within its fair part.
pub const MAX_FILL: FillPercent = 100;
/// Fill of an organisation above its fair part.
const CROWDED_FILL: FillPercent = 90;

/// Smallest limit of which a place is left free for others.
const SMALLEST_SHARED: u32 = 4;

/// Attempts in flight of one service, by organisation.
#[derive(Debug, Clone, Default)]
pub struct ShareTable {
    held: FastMap<OrganisationName, u32>,
    total: u32,
}

impl ShareTable {
    /// Notes that an attempt was sent.
    pub fn add(&mut self, organisation: &str) {
        *self.held.entry(organisation.to_string()).or_insert(0) += 1;
        self.total += 1;
    }

    /// Notes that an attempt ended.
    pub fn remove(&mut self, organisation: &str) {
        let Some(held) = self.held.get_mut(organisation) else {
            return;
        };
        *held -= 1;
        self.total -= 1;
        if *held == 0 {
            self.held.remove(organisation);
        }
    }

    /// Returns the part of a server's limit up to which the organisation may fill
    /// it: less than the whole while it holds more than an equal part and others
    /// hold something too.
    pub fn fill(&self, organisation: &str) -> FillPercent {
        let own = self.held.get(organisation).copied().unwrap_or(0);
        let alone = own == self.total;
        let fair = self.total as usize / self.held.len().max(1);
        if alone || own as usize <= fair { MAX_FILL } else { CROWDED_FILL }
    }
}

/// Returns the requests that a limit admits when filled to `fill`.
///
/// Less than the whole leaves at least one place free, but for the smallest limits.
pub fn limit_at_fill(limit: u32, fill: FillPercent) -> u32 {
    if fill >= MAX_FILL || limit < SMALLEST_SHARED {
        return limit;
    }
    let rounded = (limit * fill + MAX_FILL / 2) / MAX_FILL;
    rounded.min(limit - 1)
}
