//! Keeps an older copy of the store from bringing back what has changed since.
//!
//! After the store came back from an older copy, its listing holds records of servers that have
//! left since, and lacks or holds again take-outs of zones that have changed since. Operators and
//! servers write their objects again, but each in its own time. Until [`SETTLE_TIME`] has passed,
//! what was known before the return stands against the copy; in doubt, which of both is newer,
//! the one that admits fewer requests. Changes that a watch reports are always new.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::FastMap;
use crate::ids::FastSet;
use crate::ids::ServerId;
use crate::ids::ZoneName;
use crate::routing::ServerRecord;
use crate::routing::ServerState;
use crate::store_history::StoreRevision;

/// Time after a return of the store for which earlier knowledge stands against its copy. The
/// records of servers that are gone lapse within a few seconds.
pub const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Servers that are remembered after they are gone, the oldest out first.
const MAX_GONE_SERVERS: usize = 16_384;
/// Servers that leave or are gone of which a process that starts is told.
const MAX_TOLD_SERVERS: usize = 1_024;
/// Revisions that are remembered for an object; records change a few times in their life.
const MAX_REVISIONS: usize = 8;

/// Record of a server with its revision in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedServer {
    /// The record.
    pub record: ServerRecord,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

/// A zone that is taken out, with the revision of that.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedZone {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Revision at which it was taken out.
    pub revision: StoreRevision,
}

/// A server that leaves or is gone, as processes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedServer {
    /// Id of the server.
    pub server: ServerId,
    /// Start time of the incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Whether it is gone, and not only leaving.
    pub is_gone: bool,
    /// Revisions at which its record was seen.
    pub revisions: Vec<StoreRevision>,
}

/// State of a zone, as processes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneState {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Whether it is taken out.
    pub out: bool,
    /// Revisions at which it was taken out.
    pub revisions: Vec<StoreRevision>,
}

/// What a process that starts has to know to tell what is from an older copy.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CopyKnowledge {
    /// Servers that leave or are gone, the latest of them.
    pub departed: Vec<DepartedServer>,
    /// Zones that are, or were, taken out.
    pub zones: Vec<ZoneState>,
}

/// Latest revisions at which an object was seen.
#[derive(Debug, Clone, Default)]
struct SeenRevisions(VecDeque<StoreRevision>);

impl SeenRevisions {
    fn add(&mut self, revision: StoreRevision) {
        if self.contains(revision) {
            return;
        }
        if self.0.len() == MAX_REVISIONS {
            self.0.pop_front();
        }
        self.0.push_back(revision);
    }

    fn contains(&self, revision: StoreRevision) -> bool {
        self.0.contains(&revision)
    }

    fn add_all(&mut self, revisions: &[StoreRevision]) {
        revisions.iter().for_each(|revision| self.add(*revision));
    }

    fn to_vec(&self) -> Vec<StoreRevision> {
        self.0.iter().copied().collect()
    }
}

#[derive(Debug, Clone)]
struct KnownServer {
    started_ms: u64,
    state: ServerState,
    cold_until: Duration,
    is_gone: bool,
    revisions: SeenRevisions,
}

#[derive(Debug, Clone, Default)]
struct KnownZone {
    out: bool,
    revisions: SeenRevisions,
}

/// What the store told before it came back from an older copy.
#[derive(Debug, Clone, Default)]
pub struct CopyFilter {
    servers: FastMap<ServerId, KnownServer>,
    /// Servers in the order in which they were gone; some may be back.
    gone: VecDeque<ServerId>,
    zones: FastMap<ZoneName, KnownZone>,
}

impl CopyFilter {
    /// Records a server's record that is known to be the latest.
    pub fn record_server(&mut self, now: Duration, listed: &ListedServer) {
        let record = &listed.record;
        let known = self.servers.entry(record.id.clone()).or_insert_with(|| KnownServer {
            started_ms: record.started_ms,
            state: record.state,
            cold_until: Duration::ZERO,
            is_gone: false,
            revisions: SeenRevisions::default(),
        });
        if known.started_ms != record.started_ms {
            known.revisions = SeenRevisions::default();
        }
        known.started_ms = record.started_ms;
        known.state = record.state;
        known.cold_until = now + record.cold_remaining;
        known.is_gone = false;
        known.revisions.add(listed.revision);
    }

    /// Records that a server is gone.
    pub fn record_gone(&mut self, server: &str) {
        let Some(known) = self.servers.get_mut(server).filter(|known| !known.is_gone) else {
            return;
        };
        known.is_gone = true;
        self.gone.push_back(server.to_string());
        if self.gone.len() > MAX_GONE_SERVERS
            && let Some(oldest) = self.gone.pop_front()
            && self.servers.get(&oldest).is_some_and(|known| known.is_gone)
        {
            self.servers.remove(&oldest);
        }
    }

    /// Returns the records that are to be believed of a listing that may be from an older copy.
    pub fn filter_servers(
        &mut self,
        now: Duration,
        listed: Vec<ListedServer>,
    ) -> Vec<ServerRecord> {
        listed.into_iter().filter_map(|server| self.filter_server(now, server)).collect()
    }

    fn filter_server(&mut self, now: Duration, listed: ListedServer) -> Option<ServerRecord> {
        let ListedServer { mut record, revision } = listed.clone();
        match self.servers.get_mut(&record.id) {
            Some(known) if record.started_ms < known.started_ms => return None,
            Some(known) if record.started_ms == known.started_ms => {
                if known.is_gone {
                    return None;
                }
                let cold_remaining = known.cold_until.saturating_sub(now);
                if known.revisions.contains(revision) {
                    record.state = known.state;
                    record.cold_remaining = cold_remaining;
                } else {
                    record.cold_remaining = record.cold_remaining.max(cold_remaining);
                    if known.state == ServerState::Draining {
                        record.state = ServerState::Draining;
                    }
                }
                known.revisions.add(revision);
            }
            _ => self.record_server(now, &listed),
        }
        Some(record)
    }

    /// Records the complete list of zones that are taken out.
    pub fn record_zones(&mut self, listed: &[ListedZone]) {
        let out: FastSet<&str> = listed.iter().map(|listed| listed.zone.as_str()).collect();
        for (zone, known) in &mut self.zones {
            known.out = out.contains(zone.as_str());
        }
        for listed in listed {
            self.record_zone(listed, true);
        }
    }

    /// Records that a zone was taken out, or back.
    pub fn record_zone(&mut self, listed: &ListedZone, out: bool) {
        let known = self.zones.entry(listed.zone.clone()).or_default();
        known.out = out;
        if out {
            known.revisions.add(listed.revision);
        }
    }

    /// Returns the zones that are to be treated as taken out after a listing that may be from an
    /// older copy.
    pub fn filter_zones(&mut self, listed: &[ListedZone]) -> Vec<ZoneName> {
        for listed in listed {
            let known = self.zones.get(&listed.zone);
            if known.is_none_or(|known| !known.revisions.contains(listed.revision)) {
                self.record_zone(listed, true);
            }
        }
        let out = self.zones.iter().filter(|(_, known)| known.out);
        out.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns what a process that starts has to know.
    pub fn knowledge(&self) -> CopyKnowledge {
        let leaving = self
            .servers
            .iter()
            .filter(|(_, known)| known.state == ServerState::Draining && !known.is_gone);
        let latest_gone = self.gone.iter().rev().filter_map(|id| {
            let known = self.servers.get(id).filter(|known| known.is_gone)?;
            Some((id, known))
        });
        let departed = leaving.chain(latest_gone).take(MAX_TOLD_SERVERS);
        let departed = departed.map(|(id, known)| DepartedServer {
            server: id.clone(),
            started_ms: known.started_ms,
            is_gone: known.is_gone,
            revisions: known.revisions.to_vec(),
        });
        let zones = self.zones.iter().map(|(zone, known)| ZoneState {
            zone: zone.clone(),
            out: known.out,
            revisions: known.revisions.to_vec(),
        });
        CopyKnowledge { departed: departed.collect(), zones: zones.collect() }
    }

    /// Learns from another process what has changed since the copy.
    pub fn learn(&mut self, knowledge: &CopyKnowledge) {
        for departed in &knowledge.departed {
            let known = self.servers.get(&departed.server);
            if known.is_some_and(|known| known.started_ms > departed.started_ms) {
                continue;
            }
            let mut revisions = SeenRevisions::default();
            revisions.add_all(&departed.revisions);
            let known = KnownServer {
                started_ms: departed.started_ms,
                state: ServerState::Draining,
                cold_until: Duration::ZERO,
                is_gone: false,
                revisions,
            };
            self.servers.insert(departed.server.clone(), known);
            if departed.is_gone {
                self.record_gone(&departed.server);
            }
        }
        for state in &knowledge.zones {
            let known = self.zones.entry(state.zone.clone()).or_default();
            known.out = state.out;
            known.revisions.add_all(&state.revisions);
        }
    }
}
