//! Exchanges updates with the other gateways: requests in flight at each server, and
//! crashes. Leaders of rank groups send updates about slow engines here as well.
//!
//! Gateways discover each other in the store, and from then on also by the datagrams that
//! they receive. Datagrams may be lost; each is superseded or repeated by a later one.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::ids::FastMap;
use cuminpick::return_load::ReturnCalls;
use cuminpick::store_history::StoreEra;
use cuminpick::store_history::StoreRevision;
use cuminpick::updates::GatewayUpdate;
use cuminpick::updates::GroupUpdate;
use cuminpick::updates::UpdateMessage;
use cuminpick::updates::update_interval;
use cuminpick_platform::records::GatewayRecord;
use cuminpick_platform::records::RecordError;
use cuminpick_platform::store::GATEWAY_KIND;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store::StoreError;
use cuminpick_platform::stored_content::ReadObject;
use slog::o;
use tokio::net::UdpSocket;

use crate::announcements::apply_leaving_notices;
use crate::crash_tracking::apply_crash_update;
use crate::crash_tracking::take_crash_update;
use crate::demand_exchange::apply_demand_update;
use crate::demand_exchange::record_contact;
use crate::demand_exchange::take_demand_updates;
use crate::group_tracking::apply_group_members;
use crate::listen::bind_listener;
use crate::part_tracking::apply_part_update;
use crate::part_tracking::take_part_update;
use crate::peer_views::fetch_newer_config;
use crate::peer_views::inherit_views;
use crate::peer_views::serve_views;
use crate::permits::accept_reply;
use crate::permits::apply_limit_notices;
use crate::permits::reply_to_request;
use crate::permits::take_limit_notices;
use crate::state::Gateway;
use crate::store_return::apply_era_news;
use crate::store_return::delay_after_return;
use crate::store_return::era_news;
use crate::store_return::handle_outages;
use crate::store_return::settled_at;
use crate::token_tracking::apply_token_update;
use crate::token_tracking::take_token_update;
use crate::unreadable_records::RecordLog;

/// Delay after an error of the socket.
const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(60);
/// Interval at which crashes are sent again to one gateway.
const CRASH_RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which gateways are listed from the store.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(10);
/// Silence after which a gateway's registration is removed. Until then the gateway counts
/// where gateways share a limit; most restarts and network partitions are over by then.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before a failed registration is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Size of the receive buffer, in bytes; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Addresses of the other gateways, by the VM that each runs on.
type PeerAddresses = Rc<RefCell<FastMap<String, SocketAddr>>>;

/// Socket for datagrams to the other gateways, with their addresses.
#[derive(Clone)]
pub struct PeerLinks {
    socket: Rc<UdpSocket>,
    addresses: PeerAddresses,
}

/// Sends a datagram to one gateway. It may be lost.
pub async fn send_to_peer(gateway: &Gateway, peer: &str, message: &UpdateMessage) {
    let Some(links) = gateway.peer_links.borrow().clone() else {
        return;
    };
    let address = links.addresses.borrow().get(peer).copied();
    if let Some(address) = address {
        send_message(gateway, &links.socket, address, message).await;
    }
}

async fn send_message(
    gateway: &Gateway,
    socket: &UdpSocket,
    address: SocketAddr,
    message: &UpdateMessage,
) {
    match postcard::to_stdvec(message) {
        Ok(bytes) => {
            gateway.metrics.count_control("permits", "out", bytes.len());
            // A datagram that cannot be sent counts as lost: the request for the permit times out.
            let _ = socket.send_to(&bytes, address).await;
        }
        Err(error) => {
            let detail = error.to_string();
            gateway.journal.warn("peer-news-unencodable", o!("error" => detail));
        }
    }
}

/// Starts the tasks that exchange updates with the other gateways. Fails if a socket cannot be
/// bound.
pub async fn start_peer_exchange(gateway: &Rc<Gateway>) -> std::io::Result<()> {
    let address = SocketAddr::new(gateway.settings.ip, gateway.settings.first_internal_port);
    let socket = Rc::new(UdpSocket::bind(address).await?);
    let listener = bind_listener(address)?;
    tokio::task::spawn_local(serve_views(Rc::clone(gateway), listener));
    let addresses: PeerAddresses = Rc::default();
    let links = PeerLinks { socket: Rc::clone(&socket), addresses: Rc::clone(&addresses) };
    *gateway.peer_links.borrow_mut() = Some(links);
    tokio::task::spawn_local(discover_gateways(Rc::clone(gateway), address, Rc::clone(&addresses)));
    tokio::task::spawn_local(receive_updates(
        Rc::clone(gateway),
        Rc::clone(&socket),
        Rc::clone(&addresses),
    ));
    let crash_socket = Rc::clone(&socket);
    tokio::task::spawn_local(broadcast_crashes(
        Rc::clone(gateway),
        crash_socket,
        Rc::clone(&addresses),
    ));
    tokio::task::spawn_local(broadcast_counts(Rc::clone(gateway), socket, addresses));
    Ok(())
}

/// Registration of a gateway, with its name and revision in the store.
struct ListedGateway {
    name: String,
    revision: StoreRevision,
    record: Result<GatewayRecord, RecordError>,
}

fn list_gateway(object: &ReadObject) -> ListedGateway {
    let record = GatewayRecord::decode(object);
    ListedGateway { name: object.name.clone(), revision: object.revision, record }
}

/// Registers this gateway in the store and keeps track of the other registered gateways.
async fn discover_gateways(gateway: Rc<Gateway>, address: SocketAddr, addresses: PeerAddresses) {
    let store = gateway.store.clone();
    let node = gateway.settings.node.clone();
    let record = GatewayRecord { address };
    while let Err(error) = register_once(&store, &node, &record).await {
        let detail = error.to_string();
        gateway.journal.warn("registration-failed", o!("error" => detail));
        tokio::time::sleep(REGISTER_RETRY_DELAY).await;
    }
    let mut silent_since: FastMap<String, Duration> = FastMap::default();
    let mut is_first = true;
    let mut mode = ReadMode::Stale;
    loop {
        let era = store.eras().era();
        let mut delay = DISCOVERY_INTERVAL;
        match store.list_decoded(GATEWAY_KIND, mode, |object| list_gateway(&object)).await {
            Err(error) => {
                let detail = error.to_string();
                gateway.journal.warn("gateways-unknown", o!("error" => detail));
                if mode == ReadMode::Linearizable {
                    delay = REGISTER_RETRY_DELAY;
                }
            }
            Ok(listing) => {
                mode = ReadMode::Stale;
                let mut log = RecordLog::new(&gateway, GATEWAY_KIND);
                listing.unreadable.iter().for_each(|entry| log.log_unreadable(entry));
                drop(log);
                let own_listed = listing.objects.iter().any(|listed| listed.name == node);
                let others = listing.objects.into_iter().filter(|listed| listed.name != node);
                let others: Vec<ListedGateway> = others.collect();
                apply_registrations(&gateway, &addresses, &others);
                if std::mem::take(&mut is_first) {
                    let peers = addresses.borrow().values().copied().collect();
                    tokio::task::spawn_local(inherit_views(Rc::clone(&gateway), peers));
                }
                remove_silent_gateways(&gateway, &store, &addresses, &mut silent_since, others)
                    .await;
                if !own_listed && !register_again(&gateway, &record).await {
                    delay = REGISTER_RETRY_DELAY;
                }
            }
        }
        if tokio::time::timeout(delay, store.eras().leave(era)).await.is_ok() {
            // The store may have lost registrations; an older state would not show it.
            mode = ReadMode::Linearizable;
            tokio::time::sleep(delay_after_return(&gateway, ReturnCalls::OwnRecords)).await;
        }
    }
}

/// Writes this gateway's registration again, which the store does not list any more; returns
/// whether it is there.
async fn register_again(gateway: &Gateway, record: &GatewayRecord) -> bool {
    let registered = register_once(&gateway.store, &gateway.settings.node, record).await;
    match &registered {
        Ok(()) => gateway.journal.note("registered-again", None, o!()),
        Err(error) => {
            let detail = error.to_string();
            gateway.journal.warn("registration-failed", o!("error" => detail));
        }
    }
    registered.is_ok()
}

/// Applies a listing of the registered gateways. Those known before the store came back stay
/// known until they had the time to register again.
fn apply_registrations(gateway: &Gateway, addresses: &PeerAddresses, others: &[ListedGateway]) {
    let mut known = addresses.borrow_mut();
    let mut log = RecordLog::new(gateway, GATEWAY_KIND);
    for listed in others {
        match &listed.record {
            Ok(record) => {
                known.insert(listed.name.clone(), record.address);
            }
            Err(error) => log.log_unusable(error),
        }
    }
    let names = others.iter().map(|listed| listed.name.clone());
    let is_settling = settled_at(gateway).is_some_and(|until| gateway.now() < until);
    gateway.balance.borrow_mut().set_registered_gateways(names, is_settling);
}

/// Removes the records of gateways that were silent for [`REGISTRATION_TIMEOUT`], such as
/// those of VMs that were removed. A gateway that is alive registers again.
async fn remove_silent_gateways(
    gateway: &Gateway,
    store: &StoreClient,
    addresses: &PeerAddresses,
    silent_since: &mut FastMap<String, Duration>,
    others: Vec<ListedGateway>,
) {
    let now = gateway.now();
    for object in others {
        if gateway.balance.borrow().is_peer_live(&object.name) {
            silent_since.remove(&object.name);
            continue;
        }
        if now < *silent_since.entry(object.name.clone()).or_insert(now) + REGISTRATION_TIMEOUT {
            continue;
        }
        let removed = store.remove(GATEWAY_KIND, &object.name, Some(object.revision)).await;
        let detail = removed.err().map(|error| error.to_string()).unwrap_or_default();
        silent_since.remove(&object.name);
        addresses.borrow_mut().remove(&object.name);
        gateway.journal.note(
            "gateway-removed",
            None,
            o!("gateway" => object.name,
               "silent_ms" => REGISTRATION_TIMEOUT.as_millis() as u64, "error" => detail),
        );
    }
}

/// Creates this gateway's record, or replaces one that holds another address.
async fn register_once(
    store: &StoreClient,
    node: &str,
    record: &GatewayRecord,
) -> Result<(), StoreError> {
    match store.create(GATEWAY_KIND, node, record.encode()).await {
        Ok(_) => return Ok(()),
        Err(StoreError::Conflict) => {}
        Err(error) => return Err(error),
    }
    match store.get(GATEWAY_KIND, node, ReadMode::Linearizable).await? {
        Some(object) if GatewayRecord::decode(&object).as_ref() == Ok(record) => Ok(()),
        Some(object) => {
            store.replace(GATEWAY_KIND, node, object.revision, record.encode()).await.map(|_| ())
        }
        None => Err(StoreError::Conflict),
    }
}

async fn receive_updates(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, addresses: PeerAddresses) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                let detail = error.to_string();
                gateway.journal.warn("peer-socket-failed", o!("error" => detail));
                tokio::time::sleep(SOCKET_ERROR_DELAY).await;
                continue;
            }
        };
        let Ok(message) = postcard::from_bytes::<UpdateMessage>(&buffer[..length]) else {
            let from = sender.to_string();
            gateway.metrics.count_unreadable("peer-news");
            gateway.journal.warn("peer-news-unreadable", o!("from" => from));
            continue;
        };
        gateway.peer_heard_at.set(gateway.now());
        match message {
            UpdateMessage::Gateway(update) => {
                gateway.metrics.count_control("gateway-news", "in", length);
                addresses.borrow_mut().insert(update.from.clone(), sender);
                record_contact(&gateway, &update.from);
                let now = gateway.now();
                gateway.balance.borrow_mut().update_peer_counts(
                    now,
                    &update.from,
                    update.in_flight,
                );
            }
            UpdateMessage::Limits(notices) => {
                gateway.metrics.count_control("limit-news", "in", length);
                apply_limit_notices(&gateway, notices);
            }
            UpdateMessage::PermitRequest(request) => {
                gateway.metrics.count_control("permits", "in", length);
                let reply = UpdateMessage::PermitReply(reply_to_request(&gateway, &request));
                send_message(&gateway, &socket, sender, &reply).await;
            }
            UpdateMessage::PermitReply(reply) => {
                gateway.metrics.count_control("permits", "in", length);
                accept_reply(&gateway, reply);
            }
            UpdateMessage::Leaving(notices) => {
                gateway.metrics.count_control("leaving-news", "in", length);
                apply_leaving_notices(&gateway, notices);
            }
            UpdateMessage::Config(stamp) => {
                gateway.metrics.count_control("config-news", "in", length);
                fetch_newer_config(&gateway, sender, stamp);
            }
            UpdateMessage::StoreEra(era) => {
                gateway.metrics.count_control("era-news", "in", length);
                apply_era_news(&gateway, era);
            }
            UpdateMessage::Parts(update) => {
                gateway.metrics.count_control("part-news", "in", length);
                apply_part_update(&gateway, update);
            }
            UpdateMessage::Crashes(update) => {
                gateway.metrics.count_control("crash-news", "in", length);
                apply_crash_update(&gateway, update);
            }
            UpdateMessage::Group(update) => {
                gateway.metrics.count_control("group-news", "in", length);
                apply_group_update(&gateway, update);
            }
            UpdateMessage::Members(members) => {
                gateway.metrics.count_control("group-members", "in", length);
                apply_group_members(&gateway, members);
            }
            UpdateMessage::Demand(update) => {
                gateway.metrics.count_control("demand", "in", length);
                apply_demand_update(&gateway, update);
            }
            UpdateMessage::Tokens(update) => {
                gateway.metrics.count_control("tokens", "in", length);
                apply_token_update(&gateway, update);
            }
        }
    }
}

/// Applies the list of slow engines that the leader of a group sent.
fn apply_group_update(gateway: &Gateway, update: GroupUpdate) {
    let now = gateway.now();
    let slow =
        update.slow_engines.iter().map(|(engine, slowdown)| format!("{engine} {slowdown:.1}"));
    let slow: Vec<String> = slow.collect();
    if gateway.slow_engines.replace(slow.clone()) != slow {
        gateway.journal.note(
            "slow-engines",
            None,
            o!("service" => update.service.clone(), "slow" => slow.join(", ")),
        );
    }
    gateway.balance.borrow_mut().update_slow_servers(now, update.slow_engines);
}

/// Sends this gateway's requests in flight to all others at intervals.
async fn broadcast_counts(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, addresses: PeerAddresses) {
    loop {
        let gateways = gateway.balance.borrow().live_gateways();
        tokio::time::sleep(update_interval(gateways)).await;
        let now = gateway.now();
        handle_outages(&gateway);
        {
            let mut balance = gateway.balance.borrow_mut();
            balance.remove_silent_peers(now);
            balance.expire_peer_counts(now);
        }
        let update = GatewayUpdate {
            from: gateway.settings.node.clone(),
            leaving: gateway.leaving_since.get().is_some(),
            in_flight: gateway.balance.borrow().own_counts(),
        };
        let demand = take_demand_updates(&gateway).into_iter();
        let demand = demand.map(|update| ("demand", UpdateMessage::Demand(update)));
        let tokens = take_token_update(&gateway);
        let tokens = tokens.map(|update| ("tokens", UpdateMessage::Tokens(update)));
        let counts = std::iter::once(("gateway-news", UpdateMessage::Gateway(update)));
        let messages = counts.chain(demand).chain(tokens).collect();
        send_news(&gateway, &socket, &addresses, messages, true).await;
    }
}

/// Sends crashes and answers to the other gateways: new ones at once to all, and recent
/// crashes again to one random gateway at intervals, since datagrams may be lost.
async fn broadcast_crashes(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, addresses: PeerAddresses) {
    let mut news_schedule = StoreNewsSchedule::default();
    loop {
        let update_due = gateway.crash_update_due.notified();
        let has_new = tokio::time::timeout(CRASH_RESEND_INTERVAL, update_due).await.is_ok();
        let crashes = take_crash_update(&gateway);
        let parts = take_part_update(&gateway);
        let mut messages = Vec::new();
        if !crashes.crashes.is_empty() || !crashes.answered.is_empty() {
            messages.push(("crash-news", UpdateMessage::Crashes(crashes)));
        }
        if !parts.crashes.is_empty() || !parts.answers.is_empty() || !parts.trials.is_empty() {
            messages.push(("part-news", UpdateMessage::Parts(parts)));
        }
        let leaving = std::mem::take(&mut *gateway.leaving_news.borrow_mut());
        if !leaving.is_empty() {
            messages.push(("leaving-news", UpdateMessage::Leaving(leaving)));
        }
        let limits = take_limit_notices(&gateway);
        if !limits.is_empty() {
            messages.push(("limit-news", UpdateMessage::Limits(limits)));
        }
        send_news(&gateway, &socket, &addresses, messages, has_new).await;
        let era = era_news(&gateway);
        let Some(is_new_era) = news_schedule.next(gateway.now(), era) else {
            continue;
        };
        let config = gateway.config_order.borrow().in_force();
        let config = config.map(|stamp| ("config-news", UpdateMessage::Config(stamp)));
        let era = era.map(|era| ("era-news", UpdateMessage::StoreEra(era)));
        let store_news = config.into_iter().chain(era).collect();
        send_news(&gateway, &socket, &addresses, store_news, is_new_era).await;
    }
}

/// When the other gateways are told of the store's era and of the configuration in force.
#[derive(Debug, Default)]
struct StoreNewsSchedule {
    due_at: Duration,
    told_era: StoreEra,
}

impl StoreNewsSchedule {
    /// Returns whether the news is sent now, and if so whether all gateways get it: they do once
    /// for each new era.
    fn next(&mut self, now: Duration, era: Option<StoreEra>) -> Option<bool> {
        let is_new_era = era.is_some_and(|era| era != self.told_era);
        if now < self.due_at && !is_new_era {
            return None;
        }
        self.due_at = now + CRASH_RESEND_INTERVAL;
        self.told_era = era.unwrap_or(self.told_era);
        Some(is_new_era)
    }
}

/// Sends messages to all other gateways, or to one of them.
async fn send_news(
    gateway: &Gateway,
    socket: &UdpSocket,
    addresses: &PeerAddresses,
    messages: Vec<(&'static str, UpdateMessage)>,
    to_all: bool,
) {
    let mut peers: Vec<SocketAddr> = addresses.borrow().values().copied().collect();
    if !to_all && !peers.is_empty() {
        let chosen = gateway.random_bits() as usize % peers.len();
        peers = vec![peers[chosen]];
    }
    for (kind, message) in messages {
        let Ok(bytes) = postcard::to_stdvec(&message) else {
            gateway.journal.warn("peer-news-unencodable", o!("kind" => kind));
            continue;
        };
        for peer in &peers {
            gateway.metrics.count_control(kind, "out", bytes.len());
            // A datagram that cannot be sent counts as lost; it is sent again later.
            let _ = socket.send_to(&bytes, peer).await;
        }
    }
}
