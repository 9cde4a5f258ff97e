//! Elects a leader: claims the leadership of the group when its leader is silent.
//!
//! A claim is a conditional write to the platform's store; the revision of the written
//! object is the leader's term. A term needs no renewal: it ends when a later claim gets a
//! higher one, and engines refuse the orders of the earlier leader.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::election::KnownClaim;
use cuminpick::election::LEADER_TIMEOUT;
use cuminpick::election::LeaderElection;
use cuminpick::switch::GroupLeader;
use cuminpick_platform::records::LeaderRecord;
use cuminpick_platform::store::LEADER_KIND;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store::StoreError;
use cuminpick_platform::store::StoreObject;
use slog::o;

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
    let record =
        LeaderRecord { holder: agent.settings.node.clone(), incarnation: agent.incarnation };
    let started = agent.now();
    let existing = store.get(LEADER_KIND, &rank.group, ReadMode::Linearizable).await?;
    let now = agent.now();
    let jitter = agent.jitter(MAX_CLAIM_JITTER);
    let known_leader = agent.state.borrow().leader;
    let known_term = known_leader.map_or(0, |leader| leader.term);
    if known_leader.is_some_and(|leader| now < leader.last_heard + LEADER_TIMEOUT) {
        return Ok(());
    }
    let claim = existing.as_ref().map(|object| KnownClaim {
        term: object.revision,
        is_own_earlier: LeaderRecord::decode(object).is_ok_and(|claim| {
            claim.holder == record.holder && claim.incarnation != record.incarnation
        }),
    });
    if !election.may_claim(claim, known_term) {
        election.record_wait(now, now.saturating_sub(started), jitter);
        return Ok(());
    }
    election.record_claim(now, jitter);
    let written = write_claim(store, rank, &record, existing).await?;
    agent.journal.note(
        "leadership-claimed",
        None,
        o!("group" => rank.group.clone(), "term" => written.revision, "before" => known_term),
    );
    let mut state = agent.state.borrow_mut();
    state.outcomes.clear();
    let address =
        std::net::SocketAddr::new(agent.settings.ip, crate::daemon::agent_port(&agent.settings));
    state.leader = Some(KnownLeader { term: written.revision, address, last_heard: agent.now() });
    let leader = GroupLeader::new(written.revision, rank.size, rank.rank);
    state.leadership = Some(Leadership::new(leader, agent.now()));
    Ok(())
}

/// Writes the claim, if the store's object is still `existing`, and returns the written object.
/// A claim whose answer was lost counts if the store holds it.
async fn write_claim(
    store: &StoreClient,
    rank: &OwnRank,
    record: &LeaderRecord,
    existing: Option<StoreObject>,
) -> Result<StoreObject, StoreError> {
    let written = match existing {
        None => store.create(LEADER_KIND, &rank.group, record.encode()).await,
        Some(existing) => {
            store.replace(LEADER_KIND, &rank.group, existing.revision, record.encode()).await
        }
    };
    match written {
        Err(StoreError::NoAnswer(error)) => {
            // The write may have taken effect; reading the object back shows whether it did.
            match store.get(LEADER_KIND, &rank.group, ReadMode::Linearizable).await? {
                Some(object) if LeaderRecord::decode(&object).as_ref() == Ok(record) => Ok(object),
                _ => Err(StoreError::NoAnswer(error)),
            }
        }
        written => written,
    }
}
