//! Thread that announces the agent to a few entries and hears configuration.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cuminpick::agent::AgentEvent;
use cuminpick::clock::Clock;
use cuminpick::entry_assignment::EntryAssignment;
use cuminpick::ids::FastMap;
use cuminpick::ids::MemberId;
use cuminpick::member::MemberRecord;
use cuminpick_objects::ObjectStore;
use cuminpick_objects::listed_record;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use cuminpick_peers::convert::load_to_wire;
use cuminpick_peers::convert::member_from_wire;
use cuminpick_peers::convert::member_to_wire;
use cuminpick_peers::convert::object_from_wire;
use cuminpick_peers::message_bytes;
use cuminpick_peers::pool::ChannelPool;
use cuminpick_peers::wire;
use cuminpick_peers::wire::entry_client::EntryClient;
use slog::o;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;

use crate::decide::Decider;

/// Time between two announcements to an entry.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two looks at which entries to announce to.
const HOMES_INTERVAL: Duration = Duration::from_millis(250);
/// Silence of an entry after which another is chosen.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Announcements that wait to be sent.
const ANNOUNCE_RING: usize = 4;
/// Time between two readings of the list of VMs while no entry is known.
const VM_INTERVAL: Duration = Duration::from_secs(1);
/// Connections to entries that are kept.
const MAX_CONNECTIONS: usize = 8;

/// What the control thread works with.
#[derive(Clone)]
pub struct AnnounceContext {
    /// Way to the decisions.
    pub decider: Decider,
    /// Journal of the process.
    pub journal: Journal,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Clock of the process.
    pub clock: Arc<dyn Clock>,
    /// The platform, for its list of VMs.
    pub store: Arc<dyn ObjectStore>,
    /// Entries known.
    pub book: Arc<Mutex<EntryAssignment>>,
}

/// Announces the agent until the process ends.
pub async fn run_announce(context: AnnounceContext) {
    let pool = Arc::new(ChannelPool::new(MAX_CONNECTIONS));
    let mut streams: FastMap<MemberId, JoinHandle<()>> = FastMap::default();
    let mut vms_read: Option<Duration> = None;
    loop {
        let now = context.clock.elapsed();
        let homes = lock(&context.book).assigned_entries(now);
        let due = vms_read.is_none_or(|read| read + VM_INTERVAL < now);
        if homes.is_empty() && due {
            vms_read = Some(now);
            read_vms(&context).await;
        }
        streams.retain(|id, stream| {
            let wanted = homes.iter().any(|home| home.id == *id);
            if !wanted {
                stream.abort();
            }
            wanted && !stream.is_finished()
        });
        for home in homes {
            if !streams.contains_key(&home.id) {
                let id = home.id.clone();
                let stream = announce_to(context.clone(), Arc::clone(&pool), home);
                streams.insert(id, tokio::spawn(stream));
            }
        }
        tokio::time::sleep(HOMES_INTERVAL).await;
    }
}

async fn read_vms(context: &AnnounceContext) {
    let store = Arc::clone(&context.store);
    let listed = tokio::task::spawn_blocking(move || store.vms()).await;
    match listed {
        Ok(Ok(vms)) => {
            let mut book = lock(&context.book);
            vms.into_iter().map(listed_record).for_each(|record| book.record_entry(record));
        }
        Ok(Err(error)) => {
            context.journal.warn("platform-call-failed", o!("error" => error.to_string()));
        }
        Err(_) => {}
    }
}

/// Announces to one entry until the stream breaks or the entry falls silent.
async fn announce_to(context: AnnounceContext, pool: Arc<ChannelPool>, home: MemberRecord) {
    if hold_stream(&context, &pool, &home).await.is_none() {
        context.journal.note("announce-failed", None, o!("entry" => home.id.clone()));
    }
    pool.forget(&home.address);
    lock(&context.book).record_failure(context.clock.elapsed(), &home.id);
}

async fn hold_stream(
    context: &AnnounceContext,
    pool: &ChannelPool,
    home: &MemberRecord,
) -> Option<()> {
    let channel = pool.connect(&home.address).await.ok()?;
    let (sender, receiver) = mpsc::channel(ANNOUNCE_RING);
    sender.send(announcement(context)).await.ok()?;
    let mut client = EntryClient::new(channel);
    let calling = client.announce(ReceiverStream::new(receiver));
    let answer = tokio::time::timeout(REPLY_TIMEOUT, calling).await.ok()?.ok()?;
    let mut replies = answer.into_inner();
    let mut changes = context.decider.changes();
    let mut interval = tokio::time::interval(ANNOUNCE_INTERVAL);
    interval.reset();
    let mut replied = tokio::time::Instant::now();
    loop {
        tokio::select! {
            reply = replies.next() => {
                take_reply(context, reply?.ok()?);
                replied = tokio::time::Instant::now();
                continue;
            }
            _ = interval.tick() => {}
            changed = changes.changed() => changed.ok()?,
        }
        if replied.elapsed() > REPLY_TIMEOUT {
            return None;
        }
        sender.try_send(announcement(context)).ok()?;
    }
}

fn announcement(context: &AnnounceContext) -> wire::Announcement {
    let view = context.decider.view();
    let clock = context.journal.stamp();
    let message = wire::Announcement {
        member: Some(member_to_wire(&view.member)),
        load: Some(load_to_wire(view.load, clock)),
        clock,
        config_version: view.config_version,
        config_hash: view.config_hash,
    };
    context.metrics.count_control("announce", "out", message_bytes(&message));
    message
}

fn take_reply(context: &AnnounceContext, reply: wire::AnnounceReply) {
    context.metrics.count_control("announce", "in", message_bytes(&reply));
    context.journal.merge(reply.clock);
    if !reply.objects.is_empty() {
        let objects = reply.objects.into_iter().map(object_from_wire).collect();
        context.decider.event(AgentEvent::Configured(objects));
    }
    if reply.refute_sequence > 0 {
        context.decider.event(AgentEvent::Refuted(reply.refute_sequence));
    }
    let mut book = lock(&context.book);
    reply
        .entries
        .into_iter()
        .filter_map(member_from_wire)
        .for_each(|record| book.record_entry(record));
}

fn lock(book: &Mutex<EntryAssignment>) -> std::sync::MutexGuard<'_, EntryAssignment> {
    book.lock().unwrap_or_else(PoisonError::into_inner)
}
