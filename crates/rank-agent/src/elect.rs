//! Elects a leader: claims the leadership of the group when its leader is silent.
//!
//! A claim is a conditional write to the platform's store; the revision of the written
//! object is the leader's term. A term needs no renewal: it ends when a later claim gets a
//! higher one, and engines refuse the orders of the earlier leader.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::switch::GroupLeader;
use cuminpick_platform::records::LeaderRecord;
use cuminpick_platform::store::LEADER_KIND;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store::StoreError;
use cuminpick_platform::store::StoreObject;
use cuminpick_platform::store::StoreRevision;
use slog::o;

use crate::lead::Leadership;
use crate::state::Agent;
use crate::state::KnownLeader;
use crate::state::OwnRank;

/// Interval at which the leader's silence is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Silence after which a leader is replaced; several beacon intervals.
const LEADER_TIMEOUT: Duration = Duration::from_millis(450);
/// Maximum random delay before a claim, so that the ranks do not claim at the same time.
const MAX_CLAIM_JITTER: Duration = Duration::from_millis(250);
/// Minimum delay between two attempts to claim; a random delay is added.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Watches the leader, and claims the leadership when it is silent; runs as long as the
/// process.
pub async fn watch_leader(agent: Rc<Agent>) {
    let store = StoreClient::new(agent.settings.store);
    let mut silent_since = agent.now();
    let mut claim_delay = agent.jitter(MAX_CLAIM_JITTER);
    let mut seen_revision = None;
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
        if leading {
            silent_since = now;
            continue;
        }
        silent_since = silent_since.max(last_heard.unwrap_or_default());
        let Some(rank) = rank else {
            continue;
        };
        let timeout = if last_heard.is_some() { LEADER_TIMEOUT + claim_delay } else { claim_delay };
        if now < silent_since + timeout {
            continue;
        }
        if let Err(error) = claim_leadership(&agent, &store, &rank, &mut seen_revision).await {
            let detail = error.to_string();
            agent.journal.note("claim-failed", None, o!("error" => detail));
        }
        silent_since = agent.now();
        claim_delay = CLAIM_RETRY_DELAY + agent.jitter(MAX_CLAIM_JITTER);
    }
}

/// Claims the leadership, unless the known leader was heard in the meantime or another claim
/// appeared since the last attempt, whose holder needs time to send its first beacon.
async fn claim_leadership(
    agent: &Rc<Agent>,
    store: &StoreClient,
    rank: &OwnRank,
    seen_revision: &mut Option<StoreRevision>,
) -> Result<(), StoreError> {
    let record =
        LeaderRecord { holder: agent.settings.node.clone(), incarnation: agent.incarnation };
    let existing = store.get(LEADER_KIND, &rank.group, ReadMode::Linearizable).await?;
    let known_term = agent.state.borrow().leader.map_or(0, |leader| leader.term);
    let is_leader_alive = agent
        .state
        .borrow()
        .leader
        .is_some_and(|leader| agent.now() < leader.last_heard + LEADER_TIMEOUT);
    let revision = existing.as_ref().map(|object| object.revision);
    let is_new_claim = revision.is_some() && revision != *seen_revision;
    *seen_revision = revision;
    if is_leader_alive || is_new_claim && revision > Some(known_term) {
        return Ok(());
    }
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
