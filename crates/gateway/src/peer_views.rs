//! Hands on what a gateway knows of the store to gateways that know less: those that start, and
//! those that do not reach the store.
//!
//! A gateway that starts reads what the store holds, which may be an older copy. Before it serves
//! it asks some of the others for a newer configuration, and shortly after a return of the store
//! for the servers and zones that have changed since the copy. From then on gateways tell each
//! other the version in force.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cuminpick::config_order::ConfigStamp;
use cuminpick::copy_filter::CopyKnowledge;
use cuminpick::copy_filter::SETTLE_TIME;
use cuminpick::store_history::StoreEra;
use cuminpick::updates::GroupMembers;
use cuminpick_platform::call::CallClient;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use slog::o;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::config_updates::adopt_from_peer;
use crate::group_tracking::apply_group_members;
use crate::state::Gateway;
use crate::store_return::apply_era_news;
use crate::store_return::settled_at;

/// Path of the call between gateways.
const VIEW_PATH: &str = "/cuminpick/store-view";
/// Number of gateways that a starting one asks; some may have started just now themselves.
const ASKED_GATEWAYS: usize = 8;
/// Time after which a gateway that starts no longer waits for answers; a usual one takes a few
/// milliseconds.
const VIEW_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which it waits for further answers after the first one.
const FURTHER_ANSWERS_TIME: Duration = Duration::from_millis(30);
/// Delay before a newer configuration of another gateway is fetched; the store tells all
/// gateways of a change at about the same time.
const FETCH_DELAY: Duration = Duration::from_millis(300);
/// Time limit of a fetch: a configuration of 1 MB over a narrow link.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a question.
const MAX_QUESTION_BYTES: usize = 4 * 1024;
/// Maximum size of an answer: a configuration of 1 MB, and servers and zones.
const MAX_VIEW_BYTES: usize = 4 << 20;
/// Time limit for reading a question.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after an error of `accept`, such as too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Interval at which a gateway that starts checks, without being woken, whether it has a
/// configuration.
const START_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Question of a gateway.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct ViewQuestion {
    /// Era of the store that the asking gateway knows.
    era: StoreEra,
    /// Configuration that the asking gateway has in force.
    config: Option<ConfigStamp>,
    /// Whether the asking gateway starts, and does not know the groups of ranks.
    #[serde(default)]
    wants_groups: bool,
}

/// A configuration with its content, as the store held it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SharedConfig {
    /// Identity of the configuration.
    pub stamp: ConfigStamp,
    /// Its content.
    pub content: Value,
}

/// What a gateway knows of the store.
#[derive(Debug, Serialize, Deserialize)]
struct StoreView {
    /// Configuration in force, if it is newer than that of the asking gateway.
    config: Option<SharedConfig>,
    /// What has changed since the copy, while the store may still list it.
    copy: Option<CopyView>,
    /// Groups of ranks, if the asking gateway starts.
    #[serde(default)]
    groups: Vec<GroupMembers>,
}

/// What has changed since the copy from which the store came back.
#[derive(Debug, Serialize, Deserialize)]
struct CopyView {
    /// Time until the store's listings count, in milliseconds.
    settles_in_ms: u64,
    /// Servers and zones.
    knowledge: CopyKnowledge,
}

/// Answers other gateways for as long as the process runs.
pub async fn serve_views(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(Rc::clone(&gateway), stream));
            }
            Err(error) => {
                let detail = error.to_string();
                gateway.journal.warn("accept-failed", o!("error" => detail));
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = Rc::clone(&gateway);
        async move { Ok::<_, Infallible>(answer_question(&gateway, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(QUESTION_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // The asking gateway logs a connection that breaks off.
    let _ = tokio::time::timeout(QUESTION_TIMEOUT + FETCH_TIMEOUT, connection).await;
}

async fn answer_question(gateway: &Gateway, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() != VIEW_PATH {
        return status_answer(StatusCode::NOT_FOUND);
    }
    let body = Limited::new(request.into_body(), MAX_QUESTION_BYTES).collect().await;
    let question =
        body.ok().and_then(|body| serde_json::from_slice::<ViewQuestion>(&body.to_bytes()).ok());
    let Some(question) = question else {
        return status_answer(StatusCode::BAD_REQUEST);
    };
    match serde_json::to_vec(&store_view(gateway, &question)) {
        Ok(bytes) => Response::new(Full::new(Bytes::from(bytes))),
        Err(error) => {
            let detail = error.to_string();
            gateway.journal.warn("peer-news-unencodable", o!("error" => detail));
            status_answer(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn status_answer(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Returns what is newer than what the asking gateway knows. If that one has noticed a return of
/// the store that this one has not, all that this one knows is from before.
fn store_view(gateway: &Gateway, question: &ViewQuestion) -> StoreView {
    let stamp = gateway.config_order.borrow().in_force();
    let newer = stamp
        .filter(|stamp| question.config.as_ref().is_none_or(|asked| stamp.is_newer_than(asked)));
    let content = gateway.config_content.borrow().clone();
    let config = newer.zip(content);
    let config = config.map(|(stamp, content)| SharedConfig { stamp, content: (*content).clone() });
    let now = gateway.now();
    let missed_return = apply_era_news(gateway, question.era);
    let until = if missed_return { Some(now + SETTLE_TIME) } else { settled_at(gateway) };
    let copy = until.filter(|until| now < *until).map(|until| CopyView {
        settles_in_ms: (until - now).as_millis() as u64,
        knowledge: gateway.copy_filter.borrow().knowledge(),
    });
    let groups = match question.wants_groups {
        true => gateway.groups.borrow().known(),
        false => Vec::new(),
    };
    StoreView { config, copy, groups }
}

fn own_question(gateway: &Gateway) -> ViewQuestion {
    let config = gateway.config_order.borrow().in_force();
    ViewQuestion { era: gateway.store.eras().era(), config, wants_groups: false }
}

/// Asks another gateway what it knows.
async fn ask_gateway(
    peer: SocketAddr,
    question: ViewQuestion,
    timeout: Duration,
) -> eyre::Result<StoreView> {
    let question = serde_json::to_vec(&question)?;
    let request = Request::builder()
        .method("POST")
        .uri(VIEW_PATH)
        .header("host", peer.to_string())
        .header("connection", "close")
        .body(Full::new(Bytes::from(question)))?;
    let calling = CallClient::new(peer).call(request, timeout, MAX_VIEW_BYTES).await?;
    eyre::ensure!(calling.status == StatusCode::OK, "status {}", calling.status.as_u16());
    Ok(serde_json::from_slice(&calling.body)?)
}

/// Asks some gateways, once this one has read a configuration, what they know beyond what the
/// store holds. From then on the gateway may serve.
pub async fn inherit_views(gateway: Rc<Gateway>, mut peers: Vec<SocketAddr>) {
    while gateway.configured_at.get().is_none() {
        let changed = gateway.capacity_changed.notified();
        let _ = tokio::time::timeout(START_POLL_INTERVAL, changed).await;
    }
    let started = gateway.now();
    while peers.len() > ASKED_GATEWAYS {
        let left_out = gateway.random_bits() as usize % peers.len();
        peers.swap_remove(left_out);
    }
    let question = ViewQuestion { wants_groups: true, ..own_question(&gateway) };
    let mut asking = JoinSet::new();
    for peer in peers {
        asking.spawn_local(async move { (peer, ask_gateway(peer, question, VIEW_TIMEOUT).await) });
    }
    let mut answers = 0;
    let asked = asking.len();
    let mut deadline = Instant::now() + VIEW_TIMEOUT;
    while let Ok(Some(Ok((peer, answer)))) =
        tokio::time::timeout_at(deadline, asking.join_next()).await
    {
        match answer {
            Ok(view) => {
                answers += 1;
                deadline = deadline.min(Instant::now() + FURTHER_ANSWERS_TIME);
                apply_view(&gateway, peer, view);
            }
            Err(error) => log_unanswered(&gateway, peer, &error),
        }
    }
    gateway.views_inherited.set(true);
    gateway.capacity_changed.notify_waiters();
    gateway.journal.note(
        "views-inherited",
        None,
        o!("asked" => asked, "answers" => answers, "left" => asking.len(),
           "after_ms" => (gateway.now() - started).as_millis() as u64),
    );
}

/// Fetches the configuration of another gateway, if it is still newer than this one's after the
/// time within which the store tells of a change.
pub fn fetch_newer_config(gateway: &Rc<Gateway>, peer: SocketAddr, stamp: ConfigStamp) {
    if !is_newer(gateway, &stamp) || gateway.is_fetching_config.replace(true) {
        return;
    }
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(FETCH_DELAY).await;
        if is_newer(&gateway, &stamp) {
            match ask_gateway(peer, own_question(&gateway), FETCH_TIMEOUT).await {
                Ok(StoreView { config: Some(config), .. }) => {
                    adopt_from_peer(&gateway, peer, config);
                }
                Ok(StoreView { config: None, .. }) => {}
                Err(error) => log_unanswered(&gateway, peer, &error),
            }
        }
        gateway.is_fetching_config.set(false);
    });
}

fn is_newer(gateway: &Gateway, stamp: &ConfigStamp) -> bool {
    gateway.config_order.borrow().would_adopt(stamp)
}

fn log_unanswered(gateway: &Gateway, peer: SocketAddr, error: &eyre::Report) {
    let detail = error.to_string();
    gateway.journal.note(
        "view-unanswered",
        None,
        o!("peer" => peer.to_string(), "error" => detail),
    );
}

fn apply_view(gateway: &Rc<Gateway>, peer: SocketAddr, view: StoreView) {
    if let Some(config) = view.config {
        adopt_from_peer(gateway, peer, config);
    }
    for members in view.groups {
        apply_group_members(gateway, members);
    }
    let Some(copy) = view.copy else {
        return;
    };
    let now = gateway.now();
    let until = now + Duration::from_millis(copy.settles_in_ms);
    let inherited = gateway.inherited_settling.get().unwrap_or_default();
    gateway.inherited_settling.set(Some(inherited.max(until)));
    gateway.journal.note(
        "copy-known",
        None,
        o!("peer" => peer.to_string(), "departed" => copy.knowledge.departed.len(),
           "zones" => copy.knowledge.zones.len(), "settles_in_ms" => copy.settles_in_ms),
    );
    gateway.copy_filter.borrow_mut().learn(&copy.knowledge);
    gateway.relist_servers();
}
