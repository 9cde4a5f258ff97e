//! Decides which version of the operators' configuration is the newest.
//!
//! Versions increase, and a lower one is ignored: it was delayed, or comes from an older copy of
//! the store. But after the store came back from such a copy, operators may go on from what it
//! holds, and their next version may be lower than one that was lost. It counts if it was
//! written in an era in which the store was never seen to hold the higher one.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::routing::ConfigVersion;
use crate::store_history::StoreEra;
use crate::store_history::StoreRevision;

/// Share of the time within which a configuration must be in force for which a lower version
/// waits. An operator who writes all lost versions again may write the higher one next.
const WAIT_SHARE: f64 = 0.5;
/// Share of that time after which a lower version waits no longer, though others follow it.
const MAX_WAIT_SHARE: f64 = 0.75;
/// Versions that are remembered; those of a few minutes in which changes follow each other.
const MAX_SEEN_VERSIONS: usize = 256;

/// Identity of a configuration, and what is known of when the store held it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStamp {
    /// Version that its operator gave it.
    pub version: ConfigVersion,
    /// Hash of its content.
    pub digest: u64,
    /// Latest era in which the store held it, as far as known.
    pub held_era: StoreEra,
    /// Latest era in which it is known to have been written; 0 if none is.
    pub written_era: StoreEra,
}

/// A configuration as it was read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadVersion {
    /// Version that its operator gave it.
    pub version: ConfigVersion,
    /// Hash of its content.
    pub digest: u64,
    /// Revision of the object that holds it.
    pub revision: StoreRevision,
    /// Era in which it was read.
    pub era: StoreEra,
    /// Whether it was written after the store was first read in this era.
    pub is_new: bool,
    /// Whether the store came back so lately that it may hold an older version.
    pub is_settling: bool,
}

/// What becomes of a configuration that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigDecision {
    /// It comes in force.
    Adopt,
    /// It is in force already.
    InForce,
    /// It comes in force at this time, unless a newer one arrives until then.
    Wait(Duration),
    /// It is older than the one in force.
    Older,
}

#[derive(Debug, Clone, Copy)]
struct WaitingConfig {
    stamp: ConfigStamp,
    first_offered: Duration,
}

/// The configuration in force, and a lower version that may replace it.
#[derive(Debug, Clone, Default)]
pub struct ConfigOrder {
    in_force: Option<ConfigStamp>,
    waiting: Option<WaitingConfig>,
    /// Highest version that a lower one has replaced.
    replaced: ConfigVersion,
    /// First version that was read.
    first_read: Option<ConfigVersion>,
    /// Latest versions that were read, with their revisions.
    seen: VecDeque<(StoreRevision, ConfigVersion)>,
}

impl ConfigStamp {
    fn is_same(&self, other: &ConfigStamp) -> bool {
        (self.version, self.digest) == (other.version, other.digest)
    }

    /// Returns whether this configuration is newer than another one, by their versions and the
    /// eras in which they were written.
    pub fn is_newer_than(&self, other: &ConfigStamp) -> bool {
        if self.version > other.version {
            other.written_era <= self.held_era
        } else {
            !self.is_same(other) && self.written_era > other.held_era
        }
    }
}

impl ConfigOrder {
    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<ConfigStamp> {
        self.in_force
    }

    /// Returns the stamp of a configuration that was read from the store.
    ///
    /// After a return, one that was read before is from the copy. One that was not, but is later
    /// than the first that this process read, was written since: this process saw all changes
    /// from then on.
    pub fn stamp(&mut self, read: &ReadVersion) -> ConfigStamp {
        let ReadVersion { version, digest, revision, era, .. } = *read;
        let is_lower = self.in_force.is_some_and(|in_force| version <= in_force.version);
        let is_later = self.first_read.is_some_and(|first| version > first);
        let was_seen = self.seen.contains(&(revision, version));
        let is_written = read.is_new || (read.is_settling && is_lower && is_later && !was_seen);
        if !was_seen {
            if self.seen.len() == MAX_SEEN_VERSIONS {
                self.seen.pop_front();
            }
            self.seen.push_back((revision, version));
        }
        self.first_read.get_or_insert(version);
        let is_of_copy = read.is_settling && !is_written;
        ConfigStamp {
            version,
            digest,
            held_era: if is_of_copy { era.saturating_sub(1) } else { era },
            written_era: if is_written { era } else { 0 },
        }
    }

    /// Decides about a configuration that the store holds. `apply_time` is the time within which
    /// a change must be in force.
    pub fn offer(
        &mut self,
        now: Duration,
        offered: ConfigStamp,
        apply_time: Duration,
    ) -> ConfigDecision {
        let Some(in_force) = &mut self.in_force else {
            return self.adopt(offered);
        };
        if in_force.is_same(&offered) {
            in_force.held_era = in_force.held_era.max(offered.held_era);
            in_force.written_era = in_force.written_era.max(offered.written_era);
            let in_force = *in_force;
            self.waiting = self.waiting.filter(|waiting| waiting.stamp.is_newer_than(&in_force));
            return ConfigDecision::InForce;
        }
        let in_force = *in_force;
        if self.is_older(&offered, &in_force) {
            return ConfigDecision::Older;
        }
        if offered.version > in_force.version {
            return self.adopt(offered);
        }
        let first_offered = self.waiting.map_or(now, |waiting| waiting.first_offered);
        self.waiting = Some(WaitingConfig { stamp: offered, first_offered });
        let latest = first_offered + apply_time.mul_f64(MAX_WAIT_SHARE);
        ConfigDecision::Wait(latest.min(now + apply_time.mul_f64(WAIT_SHARE)))
    }

    /// Decides about a configuration that is in force at another gateway, which has waited if it
    /// had to.
    pub fn offer_settled(&mut self, offered: ConfigStamp) -> ConfigDecision {
        if self.would_adopt(&offered) {
            return self.adopt(offered);
        }
        match &mut self.in_force {
            Some(in_force) if in_force.is_same(&offered) => {
                in_force.written_era = in_force.written_era.max(offered.written_era);
                ConfigDecision::InForce
            }
            _ => ConfigDecision::Older,
        }
    }

    /// Returns whether a configuration that is in force at another gateway is newer.
    pub fn would_adopt(&self, offered: &ConfigStamp) -> bool {
        self.in_force
            .as_ref()
            .is_none_or(|in_force| !in_force.is_same(offered) && !self.is_older(offered, in_force))
    }

    /// Returns whether a configuration is older than the one in force. That holds also for one
    /// that was replaced by a lower version and was not written again.
    fn is_older(&self, offered: &ConfigStamp, in_force: &ConfigStamp) -> bool {
        let was_replaced = offered.version > in_force.version
            && offered.version <= self.replaced
            && offered.written_era < in_force.written_era;
        was_replaced || !offered.is_newer_than(in_force)
    }

    /// Brings a configuration in force that had to wait; returns whether it still may be.
    pub fn adopt_waiting(&mut self, stamp: ConfigStamp) -> bool {
        let is_waiting = self.waiting.is_some_and(|waiting| waiting.stamp == stamp);
        if is_waiting {
            self.adopt(stamp);
        }
        is_waiting
    }

    fn adopt(&mut self, stamp: ConfigStamp) -> ConfigDecision {
        let before = self.in_force.replace(stamp).map_or(0, |before| before.version);
        if before > stamp.version {
            self.replaced = self.replaced.max(before);
        }
        self.waiting = None;
        ConfigDecision::Adopt
    }
}
