//! Reads what a leader has to know of its group from the platform's store: the addresses of
//! its engines and of the gateways, and the layout of its experts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::demand::DemandMeter;
use cuminpick::excerpt::excerpt;
use cuminpick::ids::FastMap;
use cuminpick_platform::read_work::ReadWork;
use cuminpick_platform::records::CONFIG_NAME;
use cuminpick_platform::records::GatewayRecord;
use cuminpick_platform::records::RecordError;
use cuminpick_platform::records::decode_config;
use cuminpick_platform::records::decode_server;
use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_platform::store::GATEWAY_KIND;
use cuminpick_platform::store::ObjectKind;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store::StoreListing;
use cuminpick_platform::stored_content::ReadObject;
use slog::o;

use crate::elect::restate_claim;
use crate::state::Agent;

/// Interval at which the addresses of engines and gateways are read again.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// The same interval while ranks are silent or the layout is unknown.
const INCOMPLETE_LIST_INTERVAL: Duration = Duration::from_millis(700);
/// Records of one listing that are logged by themselves.
const MAX_LOGGED_RECORDS: usize = 16;
/// Longest name of a record in the log.
const MAX_LOGGED_BYTES: usize = 300;
/// Interval at which an agent that does not lead checks whether it does.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps the leader's knowledge of its group current; runs as long as the process.
pub async fn follow_group(agent: Rc<Agent>) {
    let store = agent.store.clone();
    let mut refused = RefusedRecords::default();
    loop {
        let is_incomplete = {
            let state = agent.state.borrow();
            match &state.leadership {
                None => None,
                Some(leadership) => {
                    let silent_ranks = leadership.leader.silent_ranks(agent.now());
                    Some(silent_ranks > 0 || leadership.layout.is_none())
                }
            }
        };
        let Some(is_incomplete) = is_incomplete else {
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        };
        refresh_group(&agent, &store, &mut refused).await;
        let ReadWork { received, examined } = store.read_work();
        agent.metrics.set_state("store_bytes_received", received as f64);
        agent.metrics.set_state("store_bytes_examined", examined as f64);
        if let Err(error) = restate_claim(&agent).await {
            let detail = error.to_string();
            agent.journal.warn("claim-not-restored", o!("error" => detail));
        }
        let delay = if is_incomplete { INCOMPLETE_LIST_INTERVAL } else { LIST_INTERVAL };
        tokio::time::sleep(delay).await;
    }
}

/// Records of a kind that could not be read or used at the last listing, with the reasons.
type RefusedRecords = FastMap<ObjectKind, FastMap<String, String>>;

/// Returns the records of a listing. Those that cannot be read or used are left out, and logged and
/// counted unless the last listing had them as well.
fn take_records<T>(
    agent: &Agent,
    kind: ObjectKind,
    refused: &mut RefusedRecords,
    listing: StoreListing<Result<T, RecordError>>,
) -> Vec<T> {
    let mut records = Vec::new();
    let mut current: FastMap<String, String> = FastMap::default();
    for record in listing.objects {
        match record {
            Ok(record) => records.push(record),
            Err(error) => drop(current.insert(error.name, error.detail)),
        }
    }
    let entries = listing.unreadable.into_iter();
    current.extend(entries.map(|entry| (entry.name.unwrap_or_default(), entry.detail)));
    let before = refused.insert(kind, current.clone()).unwrap_or_default();
    let mut logged = 0;
    for (name, detail) in current {
        if before.get(&name) == Some(&detail) {
            continue;
        }
        agent.metrics.count_unreadable(kind);
        logged += 1;
        if logged <= MAX_LOGGED_RECORDS {
            let name = excerpt(&name, MAX_LOGGED_BYTES);
            let details = o!("kind" => kind, "name" => name, "error" => detail);
            agent.journal.warn("record-ignored", details);
        }
    }
    if logged > MAX_LOGGED_RECORDS {
        let others = logged - MAX_LOGGED_RECORDS;
        agent.journal.warn("records-unusable", o!("kind" => kind, "others" => others));
    }
    records
}

/// Reads engines and gateways, and the layout until it is known. What cannot be read keeps its
/// last value.
async fn refresh_group(agent: &Rc<Agent>, store: &StoreClient, refused: &mut RefusedRecords) {
    let service = agent.settings.local_service.clone().unwrap_or_default();
    match store.list_decoded(SERVER_KIND, ReadMode::Stale, |object| decode_server(&object)).await {
        Ok(listing) => {
            let records = take_records(agent, SERVER_KIND, refused, listing);
            let engines: Vec<SocketAddr> = records
                .into_iter()
                .filter(|record| record.service == service)
                .map(|record| record.address)
                .collect();
            if let Some(leadership) = &mut agent.state.borrow_mut().leadership {
                leadership.update_engines(engines);
            }
        }
        Err(error) => {
            let detail = error.to_string();
            agent.journal.warn("engines-unknown", o!("error" => detail));
        }
    }
    let decode_gateway = |object: ReadObject| GatewayRecord::decode(&object);
    match store.list_decoded(GATEWAY_KIND, ReadMode::Stale, decode_gateway).await {
        Ok(listing) => {
            let records = take_records(agent, GATEWAY_KIND, refused, listing);
            let gateways = records.into_iter().map(|record| record.address).collect();
            if let Some(leadership) = &mut agent.state.borrow_mut().leadership {
                leadership.gateways = gateways;
            }
        }
        Err(error) => {
            let detail = error.to_string();
            agent.journal.warn("gateways-unknown", o!("error" => detail));
        }
    }
    let is_layout_known = {
        let state = agent.state.borrow();
        state.leadership.as_ref().is_none_or(|leadership| leadership.layout.is_some())
    };
    if is_layout_known {
        return;
    }
    let model = match store.get(CONFIG_KIND, CONFIG_NAME, ReadMode::Stale).await {
        Ok(Some(object)) => match decode_config(&object) {
            Ok(table) => {
                let engine = table.service(&service).and_then(|spec| spec.engine.clone());
                engine.map(|engine| (engine, table.shortest_event_gap(&service)))
            }
            Err(error) => {
                let detail = error.to_string();
                agent.metrics.count_unreadable(CONFIG_KIND);
                agent.journal.warn("config-ignored", o!("error" => detail));
                None
            }
        },
        Ok(None) => None,
        Err(error) => {
            let detail = error.to_string();
            agent.journal.warn("config-unknown", o!("error" => detail));
            None
        }
    };
    let Some((model, event_gap)) = model else {
        return;
    };
    if let (Some(layout), Some(leadership)) =
        (model.experts, &mut agent.state.borrow_mut().leadership)
    {
        leadership.layout = Some(layout);
        leadership.leader.set_report_lag(model.report_lag);
        leadership.pass_model = event_gap.map(|event_gap| (model, event_gap));
        leadership.demand = Some(DemandMeter::new(layout, agent.tuning.demand));
    }
}
