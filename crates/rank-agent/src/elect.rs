//! Claims the leadership of a group when its leader is silent.
//!
//! The claim is a conditional write to the platform's store; the revision that
//! it gets is the leader's term. The term needs no renewal: it ends when a later
//! claim has a higher one, and engines refuse the orders of the earlier leader.

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

/// Interval at which the leader's silence is measured.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Silence after which a leader is replaced; several of its beacons.
const LEADER_SILENCE: Duration = Duration::from_millis(450);
/// Further wait, spread over the ranks, so that one of them claims first.
const CLAIM_SPREAD: Duration = Duration::from_millis(250);
/// Pause after a claim that failed.
const CLAIM_PAUSE: Duration = Duration::from_millis(700);

/// Watches the leader, and claims when it is silent.
pub async fn watch_leader(agent: Rc<Agent>) {
    let store = StoreClient::new(agent.settings.store);
    let mut silent_since = agent.now();
    let mut wait = agent.jitter(CLAIM_SPREAD);
    let mut seen = None;
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        let now = agent.now();
        let (rank, heard, leading) = {
            let state = agent.state.borrow();
            (
                state.rank.clone(),
                state.leader.map(|leader| leader.heard),
                state.leadership.is_some(),
            )
        };
        if leading {
            silent_since = now;
            continue;
        }
        silent_since = silent_since.max(heard.unwrap_or_default());
        let Some(rank) = rank else {
            continue;
        };
        let patience = if heard.is_some() { LEADER_SILENCE + wait } else { wait };
        if now < silent_since + patience {
            continue;
        }
        if let Err(error) = claim(&agent, &store, &rank, &mut seen).await {
            let detail = error.to_string();
            agent.journal.note("claim-failed", None, o!("error" => detail));
        }
        silent_since = agent.now();
        wait = CLAIM_PAUSE + agent.jitter(CLAIM_SPREAD);
    }
}

/// Claims unless another claim was made since the last look, whose holder has
/// to be given time to be heard.
async fn claim(
    agent: &Rc<Agent>,
    store: &StoreClient,
    rank: &OwnRank,
    seen: &mut Option<StoreRevision>,
) -> Result<(), StoreError> {
    let record =
        LeaderRecord { holder: agent.settings.node.clone(), incarnation: agent.incarnation };
    let before = store.get(LEADER_KIND, &rank.group, ReadMode::Linearizable).await?;
    let known = agent.state.borrow().leader.map_or(0, |leader| leader.term);
    let heard_since = agent
        .state
        .borrow()
        .leader
        .is_some_and(|leader| agent.now() < leader.heard + LEADER_SILENCE);
    let revision = before.as_ref().map(|object| object.revision);
    let newly_claimed = revision.is_some() && revision != *seen;
    *seen = revision;
    if heard_since || newly_claimed && revision > Some(known) {
        return Ok(());
    }
    let written = write_claim(store, rank, &record, before).await?;
    agent.journal.note(
        "leadership-claimed",
        None,
        o!("group" => rank.group.clone(), "term" => written.revision, "before" => known),
    );
    let mut state = agent.state.borrow_mut();
    state.outcomes.clear();
    let address =
        std::net::SocketAddr::new(agent.settings.ip, crate::daemon::agent_port(&agent.settings));
    state.leader = Some(KnownLeader { term: written.revision, address, heard: agent.now() });
    let leader = GroupLeader::new(written.revision, rank.size, rank.rank);
    state.leadership = Some(Leadership::new(leader, agent.now()));
    Ok(())
}

async fn write_claim(
    store: &StoreClient,
    rank: &OwnRank,
    record: &LeaderRecord,
    before: Option<StoreObject>,
) -> Result<StoreObject, StoreError> {
    let written = match before {
        None => store.create(LEADER_KIND, &rank.group, record.encode()).await,
        Some(before) => {
            store.replace(LEADER_KIND, &rank.group, before.revision, record.encode()).await
        }
    };
    match written {
        Err(StoreError::NoAnswer(error)) => {
            // The write may have taken effect: reading back settles it.
            match store.get(LEADER_KIND, &rank.group, ReadMode::Linearizable).await? {
                Some(object) if LeaderRecord::decode(&object).as_ref() == Ok(record) => Ok(object),
                _ => Err(StoreError::NoAnswer(error)),
            }
        }
        written => written,
    }
}
