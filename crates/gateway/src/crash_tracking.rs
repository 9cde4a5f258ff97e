//! Notices servers that end under a request, and shares what is known of it.
//!
//! The decisions lie in [`cuminpick::crash_detection`] and [`cuminpick::quarantine`]. Gateways
//! tell each other by datagrams, which reach all within milliseconds, and keep their
//! own part in the store, which reaches those that were cut off, paused or started
//! since. Either way alone is enough.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::crash_detection::AttemptOutcome;
use cuminpick::crash_detection::CrashStatus;
use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::ids::RequestDigest;
use cuminpick::ids::ServerId;
use cuminpick::quarantine::CRASH_RETENTION;
use cuminpick::quarantine::CrashReport;
use cuminpick::quarantine::QuarantineChange;
use cuminpick::quarantine::QuarantineStatus;
use cuminpick::updates::CrashNotice;
use cuminpick::updates::CrashUpdate;
use cuminpick_platform::call::CallError;
use cuminpick_platform::call::ConnectFailure;
use cuminpick_platform::call::connect;
use cuminpick_platform::records::CrashRecord;
use cuminpick_platform::records::StoredCrash;
use cuminpick_platform::store::CRASH_KIND;
use cuminpick_platform::store::ReadMode;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store::StoreError;
use cuminpick_platform::store::StoreObject;
use cuminpick_platform::store::StoreRevision;
use slog::o;
use tokio::io::AsyncReadExt;

use crate::attempt::FailedAttempt;
use crate::state::Gateway;

/// Time for ends that come together to be written together; a sixth of the time within
/// which all gateways have to know.
const WRITE_PAUSE: Duration = Duration::from_millis(500);
/// Pause before a write that failed is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Ends in the record of one gateway; at 90 bytes each the record is far below the
/// store's limit of 1 MB.
const MAX_STORED: usize = 256;
/// Ends in one datagram, which has to fit a packet of 1,500 bytes.
const MAX_TOLD: usize = 24;
/// Time for which ends are told again to gateways that may have missed them.
const TELL_SPAN: Duration = Duration::from_secs(60);
/// Answered requests that wait to be told; more can wait for the next answer.
const MAX_ANSWERS_TOLD: usize = 16;
/// Time for which a connection has to stay open for a request to go on to another
/// server; a process that ends closes its sockets within milliseconds.
pub const PROBE_HOLD_TIME: Duration = Duration::from_millis(15);
/// The same where one more end would be too many: a process on a busy host may take
/// a tenth of a second to end.
pub const CONFIRMING_HOLD_TIME: Duration = Duration::from_millis(150);
/// Pause after a connection that was closed at once.
const LOOK_PAUSE: Duration = Duration::from_millis(5);
/// Pauses before further looks at a server whose end was not proven.
const LATER_LOOKS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];
/// Connections that are opened to find it out.
const LOOKS: u32 = 3;
/// Interval at which what is too old is forgotten.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Digest as logs show it.
pub fn format_digest(digest: RequestDigest) -> String {
    format!("{digest:016x}")
}

/// An attempt that has reached a server; counts as lost unless it is settled.
pub struct AttemptGuard {
    gateway: Rc<Gateway>,
    address: SocketAddr,
    life: ServerIncarnation,
    digest: RequestDigest,
    settled: bool,
}

impl AttemptGuard {
    /// Notes that a request is sent to a server.
    pub fn begin(
        gateway: &Rc<Gateway>,
        address: SocketAddr,
        life: ServerIncarnation,
        digest: RequestDigest,
    ) -> AttemptGuard {
        gateway.crash_detector.borrow_mut().begin_attempt(address, &life, digest);
        AttemptGuard { gateway: Rc::clone(gateway), address, life, digest, settled: false }
    }

    /// Notes that the server answered; `complete` if it served the request to a good end.
    pub fn record_answer(&mut self, complete: bool) {
        if !std::mem::replace(&mut self.settled, true) {
            self.finish(AttemptOutcome::Answered);
            if complete {
                note_answer(&self.gateway, self.digest);
            }
        }
    }

    fn finish(&self, end: AttemptOutcome) -> bool {
        let now = self.gateway.now();
        let mut ends = self.gateway.crash_detector.borrow_mut();
        ends.finish_attempt(now, self.address, &self.life, self.digest, end)
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let working = self.gateway.balance.borrow().is_ready(&self.life);
        let end = if working { AttemptOutcome::Lost } else { AttemptOutcome::LostWhileLeaving };
        if self.finish(end) {
            blame(&self.gateway, &self.life, vec![self.digest], "known");
        }
    }
}

/// Looks whether a server has ended after a connection to it broke; one look at a
/// time serves all requests that were there. `patience` is the time for which a
/// connection has to stay open.
pub async fn probe_server(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    life: &ServerIncarnation,
    patience: Duration,
) -> CrashStatus {
    let standing = || gateway.crash_detector.borrow().status(address, life);
    if standing() != CrashStatus::Suspected {
        return standing();
    }
    let first = gateway.active_probes.borrow_mut().insert(address);
    if !first && patience <= PROBE_HOLD_TIME {
        gateway.probe_finished.notified().await;
        return standing();
    }
    let reached = reach_server(address, patience).await;
    gateway.active_probes.borrow_mut().remove(&address);
    match reached {
        Ok(()) => {
            gateway.probe_finished.notify_waiters();
            return CrashStatus::Alive;
        }
        Err(CallError::NotConnected(_, ConnectFailure::Refused)) => {
            record_refused_connection(gateway, address, life);
        }
        Err(error) => {
            let detail = error.to_string();
            gateway.journal.note(
                "server-unreachable",
                None,
                o!("server" => life.server.clone(), "born" => life.started_ms, "error" => detail),
            );
        }
    }
    gateway.probe_finished.notify_waiters();
    standing()
}

/// Looks again at a server whose end was not proven when a connection to it broke, until
/// it has answered a request or a few looks have passed.
pub async fn probe_again(gateway: Rc<Gateway>, address: SocketAddr, life: ServerIncarnation) {
    for pause in LATER_LOOKS {
        tokio::time::sleep(pause).await;
        if probe_server(&gateway, address, &life, PROBE_HOLD_TIME).await == CrashStatus::Crashed {
            return;
        }
    }
}

/// Takes in that a server's host refused a connection.
pub fn record_refused_connection(gateway: &Gateway, address: SocketAddr, life: &ServerIncarnation) {
    let suspects =
        gateway.crash_detector.borrow_mut().record_refused_connection(gateway.now(), address, life);
    blame(gateway, life, suspects, "connection-refused");
}

/// Opens a connection that stays open for a while.
async fn reach_server(address: SocketAddr, patience: Duration) -> Result<(), CallError> {
    for _ in 0..LOOKS {
        let mut stream = connect(address).await?;
        let mut byte = [0];
        let closing = tokio::time::timeout(patience, stream.read(&mut byte));
        if closing.await.is_err() {
            return Ok(());
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    Err(CallError::Broken("connections are closed at once".to_string()))
}

/// Takes in the record of a server: earlier starts at its address have ended.
pub fn record_registration(gateway: &Gateway, address: SocketAddr, life: &ServerIncarnation) {
    let ended =
        gateway.crash_detector.borrow_mut().record_registration(gateway.now(), address, life);
    for (earlier, suspects) in ended {
        blame(gateway, &earlier, suspects, "started-again");
    }
}

/// Notes that a server ended under requests.
fn blame(
    gateway: &Gateway,
    life: &ServerIncarnation,
    suspects: Vec<RequestDigest>,
    proof: &'static str,
) {
    if suspects.is_empty() {
        return;
    }
    let now = gateway.now();
    gateway.journal.note(
        "server-ended",
        None,
        o!("server" => life.server.clone(), "born" => life.started_ms, "proof" => proof,
           "requests" => suspects.len(),
           "digests" => suspects.iter().map(|digest| format_digest(*digest)).collect::<Vec<_>>().join(",")),
    );
    gateway.metrics.count_server_end(proof);
    for digest in suspects {
        let end = CrashReport { digest, incarnation: life.clone(), noticed_at: now };
        note_end(gateway, end, true);
    }
    gateway.crash_update_due.notify_one();
    gateway.crash_record_changed.notify_one();
}

fn note_end(gateway: &Gateway, end: CrashReport, own: bool) {
    let now = gateway.now();
    let digest = end.digest;
    let change = gateway.quarantine.borrow_mut().record_crash(now, end, own);
    match change {
        QuarantineChange::Unchanged | QuarantineChange::CrashAdded => {}
        QuarantineChange::AlreadyAnswered if own => {}
        QuarantineChange::AlreadyAnswered => tell_answer(gateway, digest),
        QuarantineChange::Quarantined => {
            gateway.newly_quarantined.notify_waiters();
            let verdict = gateway.quarantine.borrow().status(now, digest);
            if let QuarantineStatus::Quarantined(ends) = verdict {
                gateway.journal.warn(
                    "request-crashes-servers",
                    o!("digest" => format_digest(digest), "noticed_here" => own,
                       "evidence" => format_evidence(now, &ends)),
                );
            }
        }
    }
}

/// Waits for `work` on a request, but gives it up when the request is held back
/// meanwhile: it may still wait at its server for its turn to run.
pub async fn unless_quarantined<T>(
    gateway: &Gateway,
    digest: RequestDigest,
    work: impl Future<Output = Result<T, FailedAttempt>>,
) -> Result<T, FailedAttempt> {
    let held = async {
        loop {
            gateway.newly_quarantined.notified().await;
            let verdict = gateway.quarantine.borrow().status(gateway.now(), digest);
            if matches!(verdict, QuarantineStatus::Quarantined(_)) {
                return;
            }
        }
    };
    tokio::select! {
        biased;
        done = work => done,
        () = held => Err(FailedAttempt::broken("the request is held back")),
    }
}

/// Servers, starts and ages of ends, as logs show them.
pub fn format_evidence(now: Duration, ends: &[CrashReport]) -> String {
    let texts = ends.iter().map(|end| {
        let age = now.saturating_sub(end.noticed_at).as_millis();
        format!("{} born {} ended {age} ms ago", end.incarnation.server, end.incarnation.started_ms)
    });
    texts.collect::<Vec<String>>().join("; ")
}

/// Notes that a request was served to its end, which clears it.
fn note_answer(gateway: &Gateway, digest: RequestDigest) {
    let void = gateway.quarantine.borrow_mut().record_answer(gateway.now(), digest);
    if void > 0 {
        gateway.journal.note(
            "request-cleared",
            None,
            o!("digest" => format_digest(digest), "void_ends" => void, "noticed_here" => true),
        );
        tell_answer(gateway, digest);
    }
}

fn tell_answer(gateway: &Gateway, digest: RequestDigest) {
    let mut answers = gateway.answers_to_broadcast.borrow_mut();
    if answers.len() < MAX_ANSWERS_TOLD && !answers.contains(&digest) {
        answers.push(digest);
        gateway.crash_update_due.notify_one();
    }
}

/// Takes in what another gateway tells.
pub fn apply_crash_update(gateway: &Gateway, news: CrashUpdate) {
    let now = gateway.now();
    for digest in news.answered {
        let void = gateway.quarantine.borrow_mut().record_answer(now, digest);
        if void > 0 {
            gateway.journal.note(
                "request-cleared",
                None,
                o!("digest" => format_digest(digest), "void_ends" => void, "noticed_here" => false),
            );
        }
    }
    for end in news.crashes {
        let incarnation = ServerIncarnation { server: end.server, started_ms: end.started_ms };
        let noticed_at = now.saturating_sub(Duration::from_millis(end.age_ms));
        note_end(gateway, CrashReport { digest: end.digest, incarnation, noticed_at }, false);
    }
}

/// Takes in the record of a gateway, which may be this one's from before its start.
pub fn apply_crash_record(gateway: &Gateway, owner: &str, record: CrashRecord) {
    let now = gateway.now();
    let wall = unix_millis(gateway);
    let own = owner == gateway.settings.node;
    for end in record.crashes {
        let age = Duration::from_millis(wall.saturating_sub(end.noticed_ms));
        let incarnation = ServerIncarnation { server: end.server, started_ms: end.started_ms };
        let noticed_at = now.saturating_sub(age);
        note_end(gateway, CrashReport { digest: end.digest, incarnation, noticed_at }, own);
    }
}

/// News for all other gateways, or for one that may have missed earlier news.
pub fn take_crash_update(gateway: &Gateway) -> CrashUpdate {
    let now = gateway.now();
    let answered = std::mem::take(&mut *gateway.answers_to_broadcast.borrow_mut());
    let since = now.saturating_sub(TELL_SPAN);
    let ends = gateway.quarantine.borrow().recent_crashes(since, MAX_TOLD);
    let ends = ends.into_iter().map(|end| CrashNotice {
        digest: end.digest,
        server: end.incarnation.server,
        started_ms: end.incarnation.started_ms,
        age_ms: now.saturating_sub(end.noticed_at).as_millis() as u64,
    });
    CrashUpdate { crashes: ends.collect(), answered }
}

fn unix_millis(gateway: &Gateway) -> u64 {
    let since = gateway.clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Keeps this gateway's part in the store for as long as the process runs.
pub async fn maintain_crash_record(gateway: Rc<Gateway>) {
    let store = StoreClient::new(gateway.settings.store);
    let mut revision = None;
    let mut written = CrashRecord::default();
    loop {
        gateway.crash_record_changed.notified().await;
        tokio::time::sleep(WRITE_PAUSE).await;
        loop {
            let record = own_record(&gateway);
            if same_ends(&record, &written) {
                break;
            }
            match write_record(&gateway, &store, revision, &record).await {
                Ok(next) => {
                    revision = next;
                    written = record;
                }
                Err(StoreError::Conflict) => revision = read_record(&gateway, &store).await,
                Err(error) => {
                    let detail = error.to_string();
                    gateway.journal.warn("crashes-not-stored", o!("error" => detail));
                    tokio::time::sleep(RETRY_PAUSE).await;
                    // An unanswered write may have taken effect.
                    revision = read_record(&gateway, &store).await;
                }
            }
        }
    }
}

async fn write_record(
    gateway: &Gateway,
    store: &StoreClient,
    revision: Option<StoreRevision>,
    record: &CrashRecord,
) -> Result<Option<StoreRevision>, StoreError> {
    let node = &gateway.settings.node;
    let object = match revision {
        Some(_) if record.crashes.is_empty() => {
            store.remove(CRASH_KIND, node, revision).await?;
            return Ok(None);
        }
        None => store.create(CRASH_KIND, node, record.encode()).await?,
        Some(revision) => store.replace(CRASH_KIND, node, revision, record.encode()).await?,
    };
    Ok(Some(object.revision))
}

/// Removes the record of another gateway that tells nothing any more, such as
/// that of a VM which was removed.
pub async fn remove_outdated_record(gateway: Rc<Gateway>, object: StoreObject) {
    let store = StoreClient::new(gateway.settings.store);
    let removed = store.remove(CRASH_KIND, &object.name, Some(object.revision)).await;
    if let Err(error) = removed {
        let detail = error.to_string();
        gateway.journal.note(
            "record-not-removed",
            None,
            o!("kind" => CRASH_KIND, "name" => object.name, "error" => detail),
        );
    }
}

/// Whether all that a record tells is too old to count.
pub fn is_outdated(gateway: &Gateway, record: &CrashRecord) -> bool {
    let forgotten = unix_millis(gateway).saturating_sub(CRASH_RETENTION.as_millis() as u64);
    record.crashes.iter().all(|end| end.noticed_ms < forgotten)
}

/// Reads this gateway's record, takes it in and returns its revision.
async fn read_record(gateway: &Gateway, store: &StoreClient) -> Option<StoreRevision> {
    let node = &gateway.settings.node;
    match store.get(CRASH_KIND, node, ReadMode::Linearizable).await {
        Ok(object) => {
            let object = object?;
            match CrashRecord::decode(&object) {
                Ok(record) => apply_crash_record(gateway, node, record),
                Err(error) => {
                    let detail = error.to_string();
                    gateway
                        .journal
                        .warn("record-ignored", o!("kind" => CRASH_KIND, "error" => detail));
                }
            }
            Some(object.revision)
        }
        Err(error) => {
            let detail = error.to_string();
            gateway.journal.warn("crashes-not-read", o!("error" => detail));
            None
        }
    }
}

fn own_record(gateway: &Gateway) -> CrashRecord {
    let now = gateway.now();
    let wall = unix_millis(gateway);
    let ends = gateway.quarantine.borrow().local_crashes(MAX_STORED);
    let ends = ends.into_iter().map(|end| StoredCrash {
        digest: end.digest,
        server: end.incarnation.server,
        started_ms: end.incarnation.started_ms,
        noticed_ms: wall.saturating_sub(now.saturating_sub(end.noticed_at).as_millis() as u64),
    });
    CrashRecord { crashes: ends.collect() }
}

/// Whether two records hold the same ends; their times are worked out anew each time.
fn same_ends(left: &CrashRecord, right: &CrashRecord) -> bool {
    let names = |record: &CrashRecord| -> Vec<(RequestDigest, ServerId, u64)> {
        let ends = record.crashes.iter();
        let mut names: Vec<_> =
            ends.map(|end| (end.digest, end.server.clone(), end.started_ms)).collect();
        names.sort_unstable();
        names
    };
    names(left) == names(right)
}

/// Forgets what is too old, and shows the sizes in the metrics.
pub async fn sweep_crashes(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = gateway.now();
        gateway.crash_detector.borrow_mut().sweep(now);
        let mut crashes = gateway.quarantine.borrow_mut();
        crashes.sweep(now);
        // Ends that are void by now leave the record; there is no hurry.
        gateway.crash_record_changed.notify_one();
        gateway.metrics.set_state("crash_suspects", crashes.suspect_count() as f64);
        gateway.metrics.set_state("crash_held", crashes.quarantined_count(now) as f64);
        gateway.metrics.set_state("crash_evicted", crashes.evicted_count() as f64);
    }
}
