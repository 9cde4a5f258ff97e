//! Tracks each organisation's share of the attempts in flight, and limits those above their
//! fair share so that they leave capacity to others.

use crate::ids::FastMap;
use crate::ids::OrganisationName;

/// Percentage of a server's concurrency limit that may be in use, from 0 to 100.
pub type FillPercent = u32;
/// Fill allowed to an organisation within its fair share.
pub const MAX_FILL: FillPercent = 100;
/// Fill allowed to an organisation above its fair share.
const REDUCED_FILL: FillPercent = 90;

/// Lowest limit of which a slot is reserved for other organisations.
const MIN_SHARED_LIMIT: u32 = 4;

/// Number of attempts in flight for one service, by organisation.
#[derive(Debug, Clone, Default)]
pub struct ShareTable {
    in_flight: FastMap<OrganisationName, u32>,
    total: u32,
}

impl ShareTable {
    /// Records that an attempt of an organisation was sent.
    pub fn add(&mut self, organisation: &str) {
        *self.in_flight.entry(organisation.to_string()).or_insert(0) += 1;
        self.total += 1;
    }

    /// Records that an attempt of an organisation ended.
    pub fn remove(&mut self, organisation: &str) {
        let Some(in_flight) = self.in_flight.get_mut(organisation) else {
            return;
        };
        *in_flight -= 1;
        self.total -= 1;
        if *in_flight == 0 {
            self.in_flight.remove(organisation);
        }
    }

    /// Returns the percentage of a server's limit up to which an organisation may fill it.
    ///
    /// It is reduced while the organisation has more attempts in flight than an equal
    /// share, and others have some too.
    pub fn fill(&self, organisation: &str) -> FillPercent {
        let own = self.in_flight.get(organisation).copied().unwrap_or(0);
        let sole_user = own == self.total;
        let equal_share = self.total as usize / self.in_flight.len().max(1);
        if sole_user || own as usize <= equal_share { MAX_FILL } else { REDUCED_FILL }
    }
}

/// Returns how many requests a limit admits when it may be filled to `fill` percent.
///
/// A reduced fill leaves at least one slot free, except at limits too low to share.
pub fn limit_at_fill(limit: u32, fill: FillPercent) -> u32 {
    if fill >= MAX_FILL || limit < MIN_SHARED_LIMIT {
        return limit;
    }
    let rounded = (limit * fill + MAX_FILL / 2) / MAX_FILL;
    rounded.min(limit - 1)
}
