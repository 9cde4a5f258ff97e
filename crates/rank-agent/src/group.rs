//! Keeps up with the group that an agent leads: its engines, its layout, the gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::demand::DemandMeter;
use cuminpick_platform::records::CONFIG_NAME;
use cuminpick_platform::records::GatewayRecord;
use cuminpick_platform::records::decode_config;
use cuminpick_platform::records::decode_server;
use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_platform::store::GATEWAY_KIND;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_platform::store::StoreClient;
use slog::o;

use crate::state::Agent;

/// Interval at which the agents' addresses are read anew.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// The same while ranks are not heard.
const LIST_INTERVAL_MISSING: Duration = Duration::from_millis(700);
/// Pause between two looks whether this agent leads.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// Reads the layout of experts and the addresses of the engines while leading.
pub async fn follow_group(agent: Rc<Agent>) {
    let store = StoreClient::new(agent.settings.store);
    loop {
        let missing = {
            let state = agent.state.borrow();
            match &state.leadership {
                None => None,
                Some(leadership) => {
                    let silent = leadership.leader.silent_ranks(agent.now());
                    Some(silent > 0 || leadership.layout.is_none())
                }
            }
        };
        let Some(missing) = missing else {
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        };
        refresh_group(&agent, &store).await;
        let pause = if missing { LIST_INTERVAL_MISSING } else { LIST_INTERVAL };
        tokio::time::sleep(pause).await;
    }
}

async fn refresh_group(agent: &Rc<Agent>, store: &StoreClient) {
    let service = agent.settings.local_service.clone().unwrap_or_default();
    match store.list(SERVER_KIND, ReadMode::Stale).await {
        Ok(listing) => {
            let records = listing.objects.iter().filter_map(|object| decode_server(object).ok());
            let engines: Vec<SocketAddr> = records
                .filter(|record| record.service == service)
                .map(|record| record.address)
                .collect();
            if let Some(leadership) = &mut agent.state.borrow_mut().leadership {
                leadership.engines = engines;
            }
        }
        Err(error) => {
            let detail = error.to_string();
            agent.journal.warn("engines-unknown", o!("error" => detail));
        }
    }
    match store.list(GATEWAY_KIND, ReadMode::Stale).await {
        Ok(listing) => {
            let records = listing.objects.iter();
            let decoded = records.filter_map(|object| GatewayRecord::decode(object).ok());
            let gateways = decoded.map(|record| record.address).collect();
            if let Some(leadership) = &mut agent.state.borrow_mut().leadership {
                leadership.gateways = gateways;
            }
        }
        Err(error) => {
            let detail = error.to_string();
            agent.journal.warn("gateways-unknown", o!("error" => detail));
        }
    }
    let layout_known = {
        let state = agent.state.borrow();
        state.leadership.as_ref().is_none_or(|leadership| leadership.layout.is_some())
    };
    if layout_known {
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
    let Some((model, longest_pause)) = model else {
        return;
    };
    if let (Some(layout), Some(leadership)) =
        (model.experts, &mut agent.state.borrow_mut().leadership)
    {
        leadership.layout = Some(layout);
        leadership.passes = longest_pause.map(|pause| (model, pause));
        leadership.demand = Some(DemandMeter::new(layout, agent.tuning.demand));
    }
}
