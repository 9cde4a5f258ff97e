//! Elects a leader: claims the leadership of the group when its leader is silent.
//!
//! A claim is a conditional write to the platform's store, and holds the leader's term. A term
//! needs no renewal: it ends when a later claim gets a higher one, and engines refuse the orders
//! of the earlier leader.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::election::KnownClaim;
use cuminpick::election::LEADER_TIMEOUT;
use cuminpick::election::LeaderElection;
use cuminpick::orders::LeaderTerm;
use cuminpick::switch::GroupLeader;
use cuminpick_platform::records::LeaderRecord;
use cuminpick_platform::store::LEADER_KIND;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store::StoreError;
use cuminpick_platform::stored_content::ReadObject;
use slog::o;

use crate::daemon::agent_port;
use crate::lead::Leadership;
use crate::state::Agent;
use crate::state::KnownLeader;
use crate::state::OwnRank;

/// Interval at which the leader's silence is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum random delay before a claim, so that the ranks do not claim at the same time.
const MAX_CLAIM_JITTER: Duration = Duration::from_millis(250);

/// Watches the leader, and claims the leadership when it is silent; runs as long as the
/// process.
pub async fn watch_leader(agent: Rc<Agent>) {
    let store = agent.store.clone();
    let mut election = LeaderElection::new(agent.now(), agent.jitter(MAX_CLAIM_JITTER));
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = agent.now();
        let (rank, last_heard, leading) = {
            let state = agent.state.borrow();
            (
                state.rank.clone(),
                state.leader.map(|leader| leader.last_heard),
                state.leadership.is_some(),
            )
        };
        election.record_leader(if leading { now } else { last_heard.unwrap_or_default() });
        if std::mem::take(&mut agent.state.borrow_mut().was_refused) {
            election.record_refused_term(now);
        }
        let Some(rank) = rank else {
            continue;
        };
        if leading || !election.is_due(now, last_heard.is_some()) {
            continue;
        }
        if let Err(error) = claim_leadership(&agent, &store, &rank, &mut election).await {
            let detail = error.to_string();
            agent.journal.note("claim-failed", None, o!("error" => detail));
            election.record_claim(agent.now(), agent.jitter(MAX_CLAIM_JITTER));
        }
    }
}

/// Claims the leadership, unless the known leader was heard in the meantime or the claim in
/// the store is left to its holder.
async fn claim_leadership(
    agent: &Rc<Agent>,
    store: &StoreClient,
    rank: &OwnRank,
    election: &mut LeaderElection,
) -> Result<(), StoreError> {
    let started = agent.now();
    let existing = store.get(LEADER_KIND, &rank.group, ReadMode::Linearizable).await?;
    let era = store.eras().era();
    let now = agent.now();
    let jitter = agent.jitter(MAX_CLAIM_JITTER);
    let known_leader = agent.state.borrow().leader;
    let known_term = known_leader.map_or(0, |leader| leader.term);
    let is_other = |leader: &KnownLeader| leader.address != own_address(agent);
    let is_heard = |leader: &KnownLeader| now < leader.last_heard + LEADER_TIMEOUT;
    if known_leader.filter(is_other).is_some_and(|leader| is_heard(&leader)) {
        return Ok(());
    }
    let claim = existing.as_ref().map(|object| known_claim(agent, object));
    if !election.may_claim(claim, known_term) {
        election.record_wait(now, now.saturating_sub(started), jitter);
        return Ok(());
    }
    election.record_claim(now, jitter);
    let term = election.next_term(now, era, claim, known_term);
    let written = write_claim(store, &rank.group, &own_record(agent, term), existing).await?;
    if store.eras().era() != era {
        return Err(StoreError::Restored);
    }
    agent.journal.note(
        "leadership-claimed",
        None,
        o!("group" => rank.group.clone(), "term" => term, "before" => known_term,
           "revision" => written.revision, "era" => era),
    );
    let mut state = agent.state.borrow_mut();
    state.outcomes.clear();
    let address = own_address(agent);
    state.leader = Some(KnownLeader { term, address, last_heard: agent.now() });
    let leader = GroupLeader::new(term, rank.size, rank.rank);
    state.leadership = Some(Leadership::new(leader, era, agent.now()));
    Ok(())
}

/// Writes this leader's claim again if the store came back from a copy without it. A claim
/// with a higher term is left in place: its holder will be heard.
pub(crate) async fn restate_claim(agent: &Agent) -> Result<(), StoreError> {
    let era = agent.store.eras().era();
    let (group, term) = {
        let state = agent.state.borrow();
        match (&state.leadership, &state.rank) {
            (Some(leadership), Some(rank)) if leadership.claimed_era != era => {
                (rank.group.clone(), leadership.leader.term())
            }
            _ => return Ok(()),
        }
    };
    let existing = agent.store.get(LEADER_KIND, &group, ReadMode::Linearizable).await?;
    let stored = existing.as_ref().map(|object| known_claim(agent, object));
    if stored.is_none_or(|claim| claim.term < term) {
        let record = own_record(agent, term);
        let written = write_claim(&agent.store, &group, &record, existing).await?;
        agent.journal.note(
            "claim-restored",
            None,
            o!("group" => group, "term" => term, "revision" => written.revision, "era" => era),
        );
    }
    if let Some(leadership) = &mut agent.state.borrow_mut().leadership {
        leadership.claimed_era = era;
    }
    Ok(())
}

fn own_record(agent: &Agent, term: LeaderTerm) -> LeaderRecord {
    LeaderRecord { holder: agent.settings.node.clone(), incarnation: agent.incarnation, term }
}

fn own_address(agent: &Agent) -> SocketAddr {
    SocketAddr::new(agent.settings.ip, agent_port(&agent.settings))
}

/// Returns the claim that an object holds. One that cannot be decoded counts as that of an
/// unknown process, with the object's revision as its term.
fn known_claim(agent: &Agent, object: &ReadObject) -> KnownClaim {
    let record = LeaderRecord::decode(object);
    if let Err(error) = &record {
        agent.metrics.count_unreadable(LEADER_KIND);
        agent.journal.warn("record-ignored", o!("error" => error.to_string()));
    }
    KnownClaim {
        term: record.as_ref().map_or(object.revision, |claim| claim.term),
        revision: object.revision,
        is_own_earlier: record.is_ok_and(|claim| claim.holder == agent.settings.node),
    }
}

/// Writes the claim, if the store's object is still `existing`, and returns the written object.
/// A claim whose answer was lost counts if the store holds it.
async fn write_claim(
    store: &StoreClient,
    group: &str,
    record: &LeaderRecord,
    existing: Option<ReadObject>,
) -> Result<ReadObject, StoreError> {
    let written = match existing {
        None => store.create(LEADER_KIND, group, record.encode()).await,
        Some(existing) => {
            store.replace(LEADER_KIND, group, existing.revision, record.encode()).await
        }
    };
    match written {
        Err(StoreError::NoAnswer(error)) => {
            // The write may have taken effect; reading the object back shows whether it did.
            match store.get(LEADER_KIND, group, ReadMode::Linearizable).await? {
                Some(object) if LeaderRecord::decode(&object).as_ref() == Ok(record) => Ok(object),
                _ => Err(StoreError::NoAnswer(error)),
            }
        }
        written => written,
    }
}
