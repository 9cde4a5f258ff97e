//! Exchanges gossip with other entries, receives agents' announcements and probes agents.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use cuminpick::entry_event::EntryEvent;
use cuminpick::gossip::is_well_formed;
use cuminpick::ids::ObjectVersion;
use cuminpick::ids::ServerId;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use cuminpick_peers::convert::gossip_from_wire;
use cuminpick_peers::convert::gossip_to_wire;
use cuminpick_peers::convert::load_from_wire;
use cuminpick_peers::convert::member_from_wire;
use cuminpick_peers::convert::member_to_wire;
use cuminpick_peers::convert::object_to_wire;
use cuminpick_peers::message_bytes;
use cuminpick_peers::pool::ChannelPool;
use cuminpick_peers::wire;
use cuminpick_peers::wire::agent_client::AgentClient;
use cuminpick_peers::wire::entry_client::EntryClient;
use cuminpick_peers::wire::entry_server::Entry;
use cuminpick_peers::wire::entry_server::EntryServer;
use slog::o;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_stream::Stream;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::Streaming;

use crate::decide::AgentAnnouncement;
use crate::decide::AnnouncementAnswer;
use crate::decide::Decider;

/// Interval between two rounds of gossip without changes.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between two rounds of gossip while there are changes.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a gossip round or a probe.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Number of replies to an agent that may wait to be sent.
const REPLY_QUEUE_CAPACITY: usize = 8;
/// Number of answers to an agent of which one, the first, includes the list of entries.
const ANSWERS_PER_ENTRY_LIST: u64 = 10;

/// Shared resources of the control thread.
#[derive(Clone)]
pub struct ControlContext {
    /// Handle to the entry's state machine.
    pub decider: Decider,
    /// Journal of the process.
    pub journal: Journal,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Connections to agents and other entries.
    pub pool: Arc<ChannelPool>,
    /// Starts the next round of gossip early.
    pub gossip_wakeup: Arc<Notify>,
    /// Newest configuration version in force; agents are answered when it changes.
    pub config_updates: watch::Receiver<ObjectVersion>,
}

/// Serves gossip and announcements on `address`, starts rounds of gossip and sends probes.
///
/// `probes` gives the server and the address of its agent. Runs until the process exits; an
/// error means that the server failed, for example because `address` is in use.
pub async fn run_control(
    context: ControlContext,
    address: SocketAddr,
    probes: mpsc::Receiver<(ServerId, String)>,
) -> Result<(), tonic::transport::Error> {
    tokio::spawn(gossip_loop(context.clone()));
    tokio::spawn(probe_loop(context.clone(), probes));
    let service = EntryServer::new(EntryService { context });
    tonic::transport::Server::builder().tcp_nodelay(true).add_service(service).serve(address).await
}

async fn gossip_loop(context: ControlContext) {
    loop {
        let _ = tokio::time::timeout(GOSSIP_INTERVAL, context.gossip_wakeup.notified()).await;
        if let Some(outgoing) = context.decider.start_gossip_round() {
            let message = gossip_to_wire(&outgoing.message, context.journal.stamp());
            tokio::spawn(exchange_gossip(context.clone(), outgoing.address, message));
        }
        tokio::time::sleep(MIN_GOSSIP_INTERVAL).await;
    }
}

async fn exchange_gossip(context: ControlContext, address: String, message: wire::GossipRound) {
    context.metrics.count_control("gossip", "out", message_bytes(&message));
    let exchange = async {
        let channel = context.pool.connect(&address).await.ok()?;
        let mut client = EntryClient::new(channel);
        let answer = client.gossip(message).await;
        if answer.is_err() {
            context.pool.forget(&address);
        }
        answer.ok()
    };
    let Ok(Some(answer)) = tokio::time::timeout(CALL_TIMEOUT, exchange).await else {
        context.decider.handle_event(EntryEvent::GossipFailed(address));
        return;
    };
    let round = answer.into_inner();
    context.metrics.count_control("gossip", "in", message_bytes(&round));
    context.journal.merge(round.clock);
    if let Some(message) = gossip_from_wire(round, true).filter(is_well_formed) {
        context.decider.receive_gossip(message);
    }
}

async fn probe_loop(context: ControlContext, mut probes: mpsc::Receiver<(ServerId, String)>) {
    while let Some((server, address)) = probes.recv().await {
        tokio::spawn(probe_server(context.clone(), server, address));
    }
}

async fn probe_server(context: ControlContext, server: ServerId, address: String) {
    let request = wire::ProbeRequest { clock: context.journal.stamp() };
    context.metrics.count_control("probe", "out", message_bytes(&request));
    let exchange = async {
        let channel = context.pool.connect(&address).await.ok()?;
        AgentClient::new(channel).probe(request).await.ok()
    };
    match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
        Ok(Some(load)) => {
            let load = load.into_inner();
            context.metrics.count_control("probe", "in", message_bytes(&load));
            context.journal.merge(load.clock);
            let report = load_from_wire(&load);
            context.decider.handle_event(EntryEvent::Load { server, report });
        }
        _ => context.pool.forget(&address),
    }
}

struct EntryService {
    context: ControlContext,
}

type ReplyStream = Pin<Box<dyn Stream<Item = Result<wire::AnnounceReply, Status>> + Send>>;

#[tonic::async_trait]
impl Entry for EntryService {
    type AnnounceStream = ReplyStream;

    async fn announce(
        &self,
        request: Request<Streaming<wire::Announcement>>,
    ) -> Result<Response<ReplyStream>, Status> {
        let (replies, stream) = mpsc::channel(REPLY_QUEUE_CAPACITY);
        tokio::spawn(serve_agent(self.context.clone(), request.into_inner(), replies));
        Ok(Response::new(Box::pin(ReceiverStream::new(stream))))
    }

    async fn gossip(
        &self,
        request: Request<wire::GossipRound>,
    ) -> Result<Response<wire::GossipRound>, Status> {
        let round = request.into_inner();
        let context = &self.context;
        context.metrics.count_control("gossip", "in", message_bytes(&round));
        context.journal.merge(round.clock);
        let message = gossip_from_wire(round, false)
            .filter(is_well_formed)
            .ok_or_else(|| Status::invalid_argument("the round lacks its sender or its hashes"))?;
        let outgoing = context.decider.receive_gossip(message);
        let outgoing = outgoing.ok_or_else(|| Status::internal("the round was not answered"))?;
        let round = gossip_to_wire(&outgoing.message, context.journal.stamp());
        context.metrics.count_control("gossip", "out", message_bytes(&round));
        Ok(Response::new(round))
    }
}

/// Serves one agent's stream of announcements.
///
/// The agent gets an answer to each announcement, and another one to the latest announcement
/// whenever the configuration changes.
async fn serve_agent(
    context: ControlContext,
    mut announcements: Streaming<wire::Announcement>,
    replies: mpsc::Sender<Result<wire::AnnounceReply, Status>>,
) {
    let mut config_updates = context.config_updates.clone();
    let mut latest: Option<wire::Announcement> = None;
    let mut answer_count = 0;
    loop {
        tokio::select! {
            next = announcements.next() => {
                let Some(Ok(announcement)) = next else {
                    break;
                };
                context.metrics.count_control("announce", "in", message_bytes(&announcement));
                context.journal.merge(announcement.clock);
                latest = Some(announcement);
            }
            changed = config_updates.changed(), if latest.is_some() => {
                if changed.is_err() {
                    break;
                }
            }
        }
        let Some(announcement) = &mut latest else {
            continue;
        };
        let include_entries = answer_count % ANSWERS_PER_ENTRY_LIST == 0;
        answer_count += 1;
        let Some(answer) = handle_announcement(&context, announcement, include_entries) else {
            break;
        };
        record_sent_objects(announcement, &answer);
        let reply = reply_to_wire(&context, answer);
        context.metrics.count_control("announce", "out", message_bytes(&reply));
        if replies.send(Ok(reply)).await.is_err() {
            break;
        }
    }
    if let Some(member) = latest.and_then(|announcement| announcement.member) {
        context.journal.note("agent-stream-ended", None, o!("member" => member.id));
    }
}

fn handle_announcement(
    context: &ControlContext,
    announcement: &wire::Announcement,
    include_entries: bool,
) -> Option<AnnouncementAnswer> {
    let record = member_from_wire(announcement.member.clone()?)?;
    let agent_announcement = AgentAnnouncement {
        record,
        report: announcement.load.as_ref().map(load_from_wire).unwrap_or_default(),
        config_version: announcement.config_version,
        config_hash: announcement.config_hash,
        include_entries,
    };
    Some(context.decider.receive_announcement(agent_announcement))
}

/// Marks the objects that are being sent as held by the agent, so that they are not sent again
/// before its next announcement.
fn record_sent_objects(announcement: &mut wire::Announcement, answer: &AnnouncementAnswer) {
    for object in &answer.objects {
        announcement.config_version = announcement.config_version.max(object.version);
    }
}

fn reply_to_wire(context: &ControlContext, answer: AnnouncementAnswer) -> wire::AnnounceReply {
    wire::AnnounceReply {
        objects: answer.objects.iter().map(object_to_wire).collect(),
        entries: answer.entries.iter().map(member_to_wire).collect(),
        refute_sequence: answer.refute_sequence,
        clock: context.journal.stamp(),
    }
}
