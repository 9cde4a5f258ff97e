//! Thread that speaks with agents and other entries.

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

/// Time between two rounds of gossip.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two rounds of gossip when there is news.
const GOSSIP_PAUSE: Duration = Duration::from_millis(20);
/// Time for the answer of a round or a probe.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Replies to an agent that wait to be sent.
const REPLY_RING: usize = 8;
/// Announcements between two lists of entries.
const ENTRIES_EVERY: u64 = 10;

/// What the control thread works with.
#[derive(Clone)]
pub struct ControlContext {
    /// Way to the decisions.
    pub decider: Decider,
    /// Journal of the process.
    pub journal: Journal,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Connections to agents and entries.
    pub pool: Arc<ChannelPool>,
    /// Wakes the gossip loop early.
    pub gossip_wakeup: Arc<Notify>,
    /// Version of the newest configuration in force.
    pub config_updates: watch::Receiver<ObjectVersion>,
}

/// Runs the control duties until the process ends.
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
        if let Some(send) = context.decider.start_gossip_round() {
            let message = gossip_to_wire(&send.message, context.journal.stamp());
            tokio::spawn(gossip_round(context.clone(), send.address, message));
        }
        tokio::time::sleep(GOSSIP_PAUSE).await;
    }
}

async fn gossip_round(context: ControlContext, address: String, message: wire::GossipRound) {
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
        tokio::spawn(probe_once(context.clone(), server, address));
    }
}

async fn probe_once(context: ControlContext, server: ServerId, address: String) {
    let request = wire::ProbeRequest { clock: context.journal.stamp() };
    context.metrics.count_control("probe", "out", message_bytes(&request));
    let exchange = async {
        let channel = context.pool.connect(&address).await.ok()?;
        AgentClient::new(channel).probe(request).await.ok()
    };
    match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
        Ok(Some(figure)) => {
            let figure = figure.into_inner();
            context.metrics.count_control("probe", "in", message_bytes(&figure));
            context.journal.merge(figure.clock);
            let report = load_from_wire(&figure);
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
        let (replies, stream) = mpsc::channel(REPLY_RING);
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
        let send = context.decider.receive_gossip(message);
        let send = send.ok_or_else(|| Status::internal("the round was not answered"))?;
        let round = gossip_to_wire(&send.message, context.journal.stamp());
        context.metrics.count_control("gossip", "out", message_bytes(&round));
        Ok(Response::new(round))
    }
}

/// Serves one agent's stream of announcements.
async fn serve_agent(
    context: ControlContext,
    mut announcements: Streaming<wire::Announcement>,
    replies: mpsc::Sender<Result<wire::AnnounceReply, Status>>,
) {
    let mut in_force = context.config_updates.clone();
    let mut last: Option<wire::Announcement> = None;
    let mut count = 0;
    loop {
        tokio::select! {
            next = announcements.next() => {
                let Some(Ok(announcement)) = next else {
                    break;
                };
                context.metrics.count_control("announce", "in", message_bytes(&announcement));
                context.journal.merge(announcement.clock);
                last = Some(announcement);
            }
            changed = in_force.changed(), if last.is_some() => {
                if changed.is_err() {
                    break;
                }
            }
        }
        let Some(announcement) = &mut last else {
            continue;
        };
        let include_entries = count % ENTRIES_EVERY == 0;
        count += 1;
        let Some(answer) = announce(&context, announcement, include_entries) else {
            break;
        };
        note_sent(announcement, &answer);
        let reply = to_reply(&context, answer);
        context.metrics.count_control("announce", "out", message_bytes(&reply));
        if replies.send(Ok(reply)).await.is_err() {
            break;
        }
    }
    if let Some(member) = last.and_then(|announcement| announcement.member) {
        context.journal.note("agent-stream-ended", None, o!("member" => member.id));
    }
}

fn announce(
    context: &ControlContext,
    announcement: &wire::Announcement,
    include_entries: bool,
) -> Option<AnnouncementAnswer> {
    let record = member_from_wire(announcement.member.clone()?)?;
    let call = AgentAnnouncement {
        record,
        report: announcement.load.as_ref().map(load_from_wire).unwrap_or_default(),
        config_version: announcement.config_version,
        config_hash: announcement.config_hash,
        include_entries,
    };
    Some(context.decider.receive_announcement(call))
}

/// Counts what is on its way as held, so that it is not sent twice.
fn note_sent(announcement: &mut wire::Announcement, answer: &AnnouncementAnswer) {
    for object in &answer.objects {
        announcement.config_version = announcement.config_version.max(object.version);
    }
}

fn to_reply(context: &ControlContext, answer: AnnouncementAnswer) -> wire::AnnounceReply {
    wire::AnnounceReply {
        objects: answer.objects.iter().map(object_to_wire).collect(),
        entries: answer.entries.iter().map(member_to_wire).collect(),
        refute_sequence: answer.refute_sequence,
        clock: context.journal.stamp(),
    }
}
