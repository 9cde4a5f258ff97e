//! Tells the other gateways how many requests are in flight here.
//!
//! Gateways find each other in the store, and from then on by each other's
//! datagrams. A lost datagram is made good by the next one.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::ids::FastMap;
use cuminpick::updates::GatewayUpdate;
use cuminpick::updates::GroupUpdate;
use cuminpick::updates::UpdateMessage;
use cuminpick::updates::update_interval;
use cuminpick_platform::records::GatewayRecord;
use cuminpick_platform::store::GATEWAY_KIND;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store::StoreError;
use cuminpick_platform::store::StoreObject;
use slog::o;
use tokio::net::UdpSocket;

use crate::crash_tracking::apply_crash_update;
use crate::crash_tracking::take_crash_update;
use crate::state::Gateway;

/// Pause after the socket failed.
const FAILED_PAUSE: Duration = Duration::from_millis(60);
/// Interval at which ends of servers are told again to one gateway.
const TELL_AGAIN: Duration = Duration::from_millis(500);
/// Interval between two looks into the store for gateways that are new.
const LOOK_INTERVAL: Duration = Duration::from_secs(10);
/// Silence after which a gateway's registration is removed; until then it counts where
/// gateways share a bound. Most restarts and cuts are over by then.
const REGISTERED_SILENCE: Duration = Duration::from_secs(60);
/// Pause before registration is tried again.
const REGISTER_PAUSE: Duration = Duration::from_millis(700);
/// Largest datagram.
const MAX_DATAGRAM: usize = 60_000;

/// Addresses of the other gateways by the VM that registered them.
type PeerAddresses = Rc<RefCell<FastMap<String, SocketAddr>>>;

/// Starts to exchange news with the other gateways.
pub async fn start_peer_exchange(gateway: &Rc<Gateway>) -> std::io::Result<()> {
    let address = SocketAddr::new(gateway.settings.ip, gateway.settings.first_internal_port);
    let socket = Rc::new(UdpSocket::bind(address).await?);
    let addresses: PeerAddresses = Rc::default();
    tokio::task::spawn_local(register(Rc::clone(gateway), address, Rc::clone(&addresses)));
    tokio::task::spawn_local(hear(Rc::clone(gateway), Rc::clone(&socket), Rc::clone(&addresses)));
    let telling = Rc::clone(&socket);
    tokio::task::spawn_local(tell_crashes(Rc::clone(gateway), telling, Rc::clone(&addresses)));
    tokio::task::spawn_local(tell(Rc::clone(gateway), socket, addresses));
    Ok(())
}

/// Registers this gateway and looks for others.
async fn register(gateway: Rc<Gateway>, address: SocketAddr, addresses: PeerAddresses) {
    let store = StoreClient::new(gateway.settings.store);
    let node = gateway.settings.node.clone();
    let record = GatewayRecord { address };
    while let Err(error) = register_once(&store, &node, &record).await {
        let detail = error.to_string();
        gateway.journal.warn("registration-failed", o!("error" => detail));
        tokio::time::sleep(REGISTER_PAUSE).await;
    }
    let mut silent_since: FastMap<String, Duration> = FastMap::default();
    loop {
        match store.list(GATEWAY_KIND, ReadMode::Stale).await {
            Err(error) => {
                let detail = error.to_string();
                gateway.journal.warn("gateways-unknown", o!("error" => detail));
            }
            Ok(listing) => {
                let own = listing.objects.iter().any(|object| object.name == node);
                let others = listing.objects.into_iter().filter(|object| object.name != node);
                let others: Vec<StoreObject> = others.collect();
                take_registered(&gateway, &addresses, &others);
                remove_silent(&gateway, &store, &addresses, &mut silent_since, others).await;
                if !own && let Err(error) = register_once(&store, &node, &record).await {
                    let detail = error.to_string();
                    gateway.journal.warn("registration-failed", o!("error" => detail));
                }
            }
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

fn take_registered(gateway: &Gateway, addresses: &PeerAddresses, others: &[StoreObject]) {
    let mut known = addresses.borrow_mut();
    for object in others {
        match GatewayRecord::decode(object) {
            Ok(record) => {
                known.insert(object.name.clone(), record.address);
            }
            Err(error) => {
                let detail = error.to_string();
                gateway.journal.warn("record-ignored", o!("error" => detail));
            }
        }
    }
    let names = others.iter().map(|object| object.name.clone());
    gateway.balance.borrow_mut().set_registered_gateways(names);
}

/// Removes the records of gateways that have not been heard for long, such as those
/// of VMs that were removed. One that lives registers again.
async fn remove_silent(
    gateway: &Gateway,
    store: &StoreClient,
    addresses: &PeerAddresses,
    silent_since: &mut FastMap<String, Duration>,
    others: Vec<StoreObject>,
) {
    let now = gateway.now();
    for object in others {
        if gateway.balance.borrow().is_peer_live(&object.name) {
            silent_since.remove(&object.name);
            continue;
        }
        if now < *silent_since.entry(object.name.clone()).or_insert(now) + REGISTERED_SILENCE {
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
               "silent_ms" => REGISTERED_SILENCE.as_millis() as u64, "error" => detail),
        );
    }
}

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

async fn hear(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, addresses: PeerAddresses) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                let detail = error.to_string();
                gateway.journal.warn("peer-socket-failed", o!("error" => detail));
                tokio::time::sleep(FAILED_PAUSE).await;
                continue;
            }
        };
        let Ok(message) = postcard::from_bytes::<UpdateMessage>(&buffer[..length]) else {
            let from = sender.to_string();
            gateway.journal.warn("peer-news-unreadable", o!("from" => from));
            continue;
        };
        match message {
            UpdateMessage::Gateway(news) => {
                gateway.metrics.count_control("gateway-news", "in", length);
                addresses.borrow_mut().insert(news.from.clone(), sender);
                let now = gateway.now();
                gateway.balance.borrow_mut().update_peer_counts(now, &news.from, news.in_flight);
            }
            UpdateMessage::Crashes(news) => {
                gateway.metrics.count_control("crash-news", "in", length);
                apply_crash_update(&gateway, news);
            }
            UpdateMessage::Group(news) => {
                gateway.metrics.count_control("group-news", "in", length);
                hear_group(&gateway, news);
            }
        }
    }
}

fn hear_group(gateway: &Gateway, news: GroupUpdate) {
    let now = gateway.now();
    let slow = news.slow_engines.iter().map(|(engine, pace)| format!("{engine} {pace:.1}"));
    let slow: Vec<String> = slow.collect();
    if gateway.slow_engines.replace(slow.clone()) != slow {
        gateway.journal.note(
            "slow-engines",
            None,
            o!("service" => news.service.clone(), "slow" => slow.join(", ")),
        );
    }
    gateway.balance.borrow_mut().update_slow_servers(now, news.slow_engines);
}

async fn tell(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, addresses: PeerAddresses) {
    loop {
        let gateways = gateway.balance.borrow().live_gateways();
        tokio::time::sleep(update_interval(gateways)).await;
        let now = gateway.now();
        {
            let mut balance = gateway.balance.borrow_mut();
            balance.remove_expired(now);
            balance.expire_peer_counts(now);
        }
        let news = GatewayUpdate {
            from: gateway.settings.node.clone(),
            leaving: gateway.leaving_since.get().is_some(),
            in_flight: gateway.balance.borrow().own_counts(),
        };
        let Ok(bytes) = postcard::to_stdvec(&UpdateMessage::Gateway(news)) else {
            gateway.journal.warn("peer-news-unencodable", o!());
            continue;
        };
        let peers: Vec<SocketAddr> = addresses.borrow().values().copied().collect();
        for peer in peers {
            gateway.metrics.count_control("gateway-news", "out", bytes.len());
            // A datagram that cannot be sent is as good as lost; the next one follows.
            let _ = socket.send_to(&bytes, peer).await;
        }
    }
}

/// Tells of servers that ended under requests: what is new at once and to all, and
/// later again to one gateway at a time, since datagrams are lost.
async fn tell_crashes(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, addresses: PeerAddresses) {
    loop {
        let news_come = gateway.crash_update_due.notified();
        let fresh = tokio::time::timeout(TELL_AGAIN, news_come).await.is_ok();
        let news = take_crash_update(&gateway);
        if news.crashes.is_empty() && news.answered.is_empty() {
            continue;
        }
        let Ok(bytes) = postcard::to_stdvec(&UpdateMessage::Crashes(news)) else {
            gateway.journal.warn("peer-news-unencodable", o!());
            continue;
        };
        let mut peers: Vec<SocketAddr> = addresses.borrow().values().copied().collect();
        if !fresh && !peers.is_empty() {
            let chosen = gateway.random_bits() as usize % peers.len();
            peers = vec![peers[chosen]];
        }
        for peer in peers {
            gateway.metrics.count_control("crash-news", "out", bytes.len());
            // A datagram that cannot be sent is as good as lost; it is told again.
            let _ = socket.send_to(&bytes, peer).await;
        }
    }
}
