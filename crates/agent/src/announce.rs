//! Announces the agent and its load to a few entries.
//!
//! Entries reply with configuration objects, records of other entries and, if they
//! hold the agent as gone, the sequence of that record.

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

/// Time between two periodic announcements to an entry.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks of which entries to announce to.
const ASSIGNMENT_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a reply after which an entry counts as failed.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of the queue of announcements to an entry, in messages.
const ANNOUNCE_QUEUE_CAPACITY: usize = 4;
/// Shortest time between two reads of the platform's list of VMs, made while no entry is usable.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Number of pooled connections to entries.
const MAX_CONNECTIONS: usize = 8;

/// State that the `control` thread shares with the other threads.
#[derive(Clone)]
pub struct AnnounceContext {
    /// Handle of the agent's state machine.
    pub decider: Decider,
    /// Structured log of the process.
    pub journal: Journal,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Clock of the process.
    pub clock: Arc<dyn Clock>,
    /// Platform API, which lists the VMs.
    pub store: Arc<dyn ObjectStore>,
    /// Known entries, and which of them to announce to.
    pub assignment: Arc<Mutex<EntryAssignment>>,
}

/// Announces the agent to its assigned entries; runs until the process exits.
pub async fn run_announce(context: AnnounceContext) {
    let pool = Arc::new(ChannelPool::new(MAX_CONNECTIONS));
    let mut streams: FastMap<MemberId, JoinHandle<()>> = FastMap::default();
    let mut vm_list_read_at: Option<Duration> = None;
    loop {
        let now = context.clock.elapsed();
        let assigned = lock(&context.assignment).assigned_entries(now);
        let vm_list_due = vm_list_read_at.is_none_or(|read_at| read_at + VM_LIST_INTERVAL < now);
        if assigned.is_empty() && vm_list_due {
            vm_list_read_at = Some(now);
            read_vm_list(&context).await;
        }
        streams.retain(|id, stream| {
            let still_assigned = assigned.iter().any(|entry| entry.id == *id);
            if !still_assigned {
                stream.abort();
            }
            still_assigned && !stream.is_finished()
        });
        for entry in assigned {
            if !streams.contains_key(&entry.id) {
                let id = entry.id.clone();
                let stream = announce_to(context.clone(), Arc::clone(&pool), entry);
                streams.insert(id, tokio::spawn(stream));
            }
        }
        tokio::time::sleep(ASSIGNMENT_CHECK_INTERVAL).await;
    }
}

/// Reads the platform's list of VMs to find entries.
async fn read_vm_list(context: &AnnounceContext) {
    let store = Arc::clone(&context.store);
    let listed = tokio::task::spawn_blocking(move || store.vms()).await;
    match listed {
        Ok(Ok(vms)) => {
            for detail in vms.unreadable {
                context.metrics.count_unreadable("vms");
                context.journal.warn("record-ignored", o!("kind" => "vms", "error" => detail));
            }
            let mut assignment = lock(&context.assignment);
            let records = vms.entries.into_iter().map(listed_record);
            records.for_each(|record| assignment.record_entry(record));
        }
        Ok(Err(error)) => {
            context.journal.warn("platform-call-failed", o!("error" => error.to_string()));
        }
        Err(_) => {}
    }
}

/// Announces to one entry until the stream fails, then records the failure.
async fn announce_to(context: AnnounceContext, pool: Arc<ChannelPool>, entry: MemberRecord) {
    if run_stream(&context, &pool, &entry).await.is_none() {
        context.journal.note("announce-failed", None, o!("entry" => entry.id.clone()));
    }
    pool.forget(&entry.address);
    lock(&context.assignment).record_failure(context.clock.elapsed(), &entry.id);
}

/// Keeps an announcement stream open; returns `None` when it fails or no reply arrives in time.
async fn run_stream(
    context: &AnnounceContext,
    pool: &ChannelPool,
    entry: &MemberRecord,
) -> Option<()> {
    let channel = pool.connect(&entry.address).await.ok()?;
    let (sender, receiver) = mpsc::channel(ANNOUNCE_QUEUE_CAPACITY);
    sender.send(build_announcement(context)).await.ok()?;
    let mut client = EntryClient::new(channel);
    let call = client.announce(ReceiverStream::new(receiver));
    let response = tokio::time::timeout(REPLY_TIMEOUT, call).await.ok()?.ok()?;
    let mut replies = response.into_inner();
    let mut changes = context.decider.subscribe_changes();
    let mut interval = tokio::time::interval(ANNOUNCE_INTERVAL);
    interval.reset();
    let mut last_reply_at = tokio::time::Instant::now();
    loop {
        tokio::select! {
            reply = replies.next() => {
                apply_reply(context, reply?.ok()?);
                last_reply_at = tokio::time::Instant::now();
                continue;
            }
            _ = interval.tick() => {}
            changed = changes.changed() => changed.ok()?,
        }
        if last_reply_at.elapsed() > REPLY_TIMEOUT {
            return None;
        }
        sender.try_send(build_announcement(context)).ok()?;
    }
}

fn build_announcement(context: &AnnounceContext) -> wire::Announcement {
    let view = context.decider.view();
    let clock = context.journal.stamp();
    let announcement = wire::Announcement {
        member: Some(member_to_wire(&view.member)),
        load: Some(load_to_wire(view.load, clock)),
        clock,
        config_version: view.config_version,
        config_hash: view.config_hash,
    };
    context.metrics.count_control("announce", "out", message_bytes(&announcement));
    announcement
}

fn apply_reply(context: &AnnounceContext, reply: wire::AnnounceReply) {
    context.metrics.count_control("announce", "in", message_bytes(&reply));
    context.journal.merge(reply.clock);
    if !reply.objects.is_empty() {
        let objects = reply.objects.into_iter().map(object_from_wire).collect();
        context.decider.handle_event(AgentEvent::Configured(objects));
    }
    if reply.refute_sequence > 0 {
        context.decider.handle_event(AgentEvent::Refuted(reply.refute_sequence));
    }
    let mut assignment = lock(&context.assignment);
    reply
        .entries
        .into_iter()
        .filter_map(member_from_wire)
        .for_each(|record| assignment.record_entry(record));
}

fn lock(assignment: &Mutex<EntryAssignment>) -> std::sync::MutexGuard<'_, EntryAssignment> {
    assignment.lock().unwrap_or_else(PoisonError::into_inner)
}
