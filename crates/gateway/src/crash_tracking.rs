//! Detects servers that crash while they run a request, and shares the crashes with the
//! other gateways.
//!
//! The decisions are made in [`cuminpick::crash_detection`] and [`cuminpick::quarantine`].
//! Crashes reach the other gateways in two ways, and either alone is enough: datagrams
//! arrive within milliseconds, and a record per gateway in the store ([`crate::crash_records`])
//! reaches gateways that were disconnected, paused or not yet started.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminpick::crash_detection::AttemptContent;
use cuminpick::crash_detection::AttemptKey;
use cuminpick::crash_detection::AttemptOutcome;
use cuminpick::crash_detection::CrashStatus;
use cuminpick::crash_detection::CrashSuspects;
use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::ids::PartDigest;
use cuminpick::ids::RequestDigest;
use cuminpick::quarantine::CrashReport;
use cuminpick::quarantine::QuarantineChange;
use cuminpick::quarantine::QuarantineStatus;
use cuminpick::updates::CrashNotice;
use cuminpick::updates::CrashUpdate;
use cuminpick_platform::call::CallError;
use cuminpick_platform::call::ConnectFailure;
use cuminpick_platform::call::connect;
use cuminpick_platform::read_work::ReadWork;
use slog::o;
use tokio::io::AsyncReadExt;

use crate::part_tracking::record_part_answers;
use crate::part_tracking::record_part_crashes;
use crate::part_tracking::sweep_parts;
use crate::permits::sweep_limits;
use crate::state::Gateway;
use crate::unit_tracking::record_crash_notice;
use crate::unit_tracking::record_crashed_server;
use crate::unit_tracking::record_refusing_host;

/// Maximum number of crashes in a datagram, which has to fit a packet of 1,500 bytes.
const MAX_DATAGRAM_CRASHES: usize = 24;
/// Age up to which crashes are sent again to gateways that may have missed them.
const REBROADCAST_TIME: Duration = Duration::from_secs(60);
/// Maximum number of answered requests that are queued for broadcast. A request beyond it
/// is queued at its next answer.
const MAX_QUEUED_ANSWERS: usize = 16;
/// Time for which a probe connection has to stay open before the request is sent to
/// another server. A process that exits closes its sockets within milliseconds.
pub const PROBE_HOLD_TIME: Duration = Duration::from_millis(15);
/// The same for a request that the next crash would quarantine: on a busy host, a process
/// may take 100 ms to exit.
pub const CONFIRMING_HOLD_TIME: Duration = Duration::from_millis(150);
/// Time for which a probe connection has to stay open before the end of a stream without a length
/// counts as its last event. With more running processes than processors, stand-ins closed their
/// listeners up to 32 ms after a crash. Only the end of the stream waits for it.
pub const STREAM_END_HOLD_TIME: Duration = Duration::from_millis(50);
/// Delay after a probe connection that was closed at once.
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Delays before the follow-up probes of a server whose crash is unconfirmed.
const FOLLOW_UP_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];
/// Maximum number of connections that a probe opens.
const MAX_PROBE_CONNECTIONS: u32 = 3;
/// Interval between two removals of outdated crashes and attempts.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Evidence of a crash: the server has started again.
const RESTART_PROOF: &str = "started-again";
/// Time by which such evidence may follow the crash; a group that forms again in the meantime is
/// not lost by it.
const RESTART_AGE: Duration = Duration::from_secs(2);

/// Formats a digest as it appears in logs.
pub fn format_digest(digest: RequestDigest) -> String {
    format!("{digest:016x}")
}

/// Formats several digests as they appear in logs.
pub fn format_digests(digests: &[u64]) -> String {
    digests.iter().map(|digest| format_digest(*digest)).collect::<Vec<String>>().join(",")
}

/// An attempt that has reached a server; it counts as lost when it is dropped before an
/// answer is recorded.
pub struct AttemptGuard {
    gateway: Rc<Gateway>,
    address: SocketAddr,
    incarnation: ServerIncarnation,
    digest: RequestDigest,
    parts: Rc<[PartDigest]>,
    key: AttemptKey,
    sent_at: Duration,
    answered: bool,
}

impl AttemptGuard {
    /// Records that a request is sent to a server.
    pub fn begin(
        gateway: &Rc<Gateway>,
        address: SocketAddr,
        incarnation: ServerIncarnation,
        content: AttemptContent,
    ) -> AttemptGuard {
        let AttemptContent { digest, parts } = content.clone();
        let mut detector = gateway.crash_detector.borrow_mut();
        let sent_at = gateway.now();
        let key = detector.begin_attempt(sent_at, address, &incarnation, content);
        let gateway = Rc::clone(gateway);
        AttemptGuard { gateway, address, incarnation, digest, parts, key, sent_at, answered: false }
    }

    /// Records that the answer has begun, which clears the parts of the prompt.
    pub fn begin_answer(&self) {
        let mut detector = self.gateway.crash_detector.borrow_mut();
        detector.begin_answer(self.address, &self.incarnation, self.key);
        drop(detector);
        record_part_answers(&self.gateway, &self.parts);
    }

    /// Records that the server answered; `complete` states whether it served the request
    /// completely and successfully.
    pub fn record_answer(&mut self, complete: bool) {
        if !std::mem::replace(&mut self.answered, true) {
            self.finish_attempt(AttemptOutcome::Answered);
            if complete {
                clear_request(&self.gateway, self.digest);
            }
        }
    }

    /// Probes whether the server still runs after its connection has ended; a server counts as
    /// running when a connection stays open for `hold_time` and no crash has become known until
    /// then. A server that restarted within the time until the probe is taken for the earlier one,
    /// unless it has registered again.
    pub async fn is_server_running(&self, hold_time: Duration) -> bool {
        let AttemptGuard { gateway, address, incarnation, .. } = self;
        match hold_connection(*address, hold_time).await {
            Ok(()) => {}
            Err(CallError::NotConnected(_, ConnectFailure::Refused)) => {
                record_refused_connection(gateway, *address, incarnation);
                return false;
            }
            Err(error) => {
                log_unreachable(gateway, incarnation, &error);
                return false;
            }
        }
        let is_known =
            gateway.crash_detector.borrow().crashed_since_sent(*address, incarnation, self.key);
        !is_known && !gateway.quarantine.borrow().has_crashed_since(incarnation, self.sent_at)
    }

    fn finish_attempt(&self, outcome: AttemptOutcome) -> Option<CrashSuspects> {
        let now = self.gateway.now();
        let mut detector = self.gateway.crash_detector.borrow_mut();
        detector.finish_attempt(now, self.address, &self.incarnation, self.key, outcome)
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let ready = self.gateway.balance.borrow().is_ready(&self.incarnation);
        let outcome = if ready { AttemptOutcome::Lost } else { AttemptOutcome::LostWhileLeaving };
        if let Some(suspects) = self.finish_attempt(outcome) {
            attribute_crash(&self.gateway, &self.incarnation, suspects, "known");
        }
    }
}

/// Probes whether a server has crashed after a connection to it broke. A server counts as
/// alive when a connection stays open for `hold_time`. Requests that were at the same server
/// share one probe, but for those that need more than [`PROBE_HOLD_TIME`].
pub async fn probe_server(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    incarnation: &ServerIncarnation,
    hold_time: Duration,
) -> CrashStatus {
    let status = || gateway.crash_detector.borrow().status(address, incarnation);
    if status() != CrashStatus::Suspected {
        return status();
    }
    let first = gateway.active_probes.borrow_mut().insert(address);
    if !first && hold_time <= PROBE_HOLD_TIME {
        gateway.probe_finished.notified().await;
        return status();
    }
    let result = hold_connection(address, hold_time).await;
    gateway.active_probes.borrow_mut().remove(&address);
    match result {
        Ok(()) => {
            gateway.probe_finished.notify_waiters();
            return CrashStatus::Alive;
        }
        Err(CallError::NotConnected(_, ConnectFailure::Refused)) => {
            record_refused_connection(gateway, address, incarnation);
        }
        Err(error) => log_unreachable(gateway, incarnation, &error),
    }
    gateway.probe_finished.notify_waiters();
    status()
}

fn log_unreachable(gateway: &Gateway, incarnation: &ServerIncarnation, error: &CallError) {
    let detail = error.to_string();
    gateway.journal.note(
        "server-unreachable",
        None,
        o!("server" => incarnation.server.clone(), "born" => incarnation.started_ms,
           "error" => detail),
    );
}

/// Repeats the probe of a server whose crash was unconfirmed when a connection to it broke,
/// until the crash is confirmed or all follow-up probes are done. A server that has answered
/// a request since then is not probed again.
pub async fn probe_again(
    gateway: Rc<Gateway>,
    address: SocketAddr,
    incarnation: ServerIncarnation,
) {
    for delay in FOLLOW_UP_DELAYS {
        tokio::time::sleep(delay).await;
        if probe_server(&gateway, address, &incarnation, PROBE_HOLD_TIME).await
            == CrashStatus::Crashed
        {
            return;
        }
    }
}

/// Records that a server's host refused a connection, which confirms a crash.
pub fn record_refused_connection(
    gateway: &Gateway,
    address: SocketAddr,
    incarnation: &ServerIncarnation,
) {
    record_refusing_host(gateway, incarnation);
    let suspects = gateway.crash_detector.borrow_mut().record_refused_connection(
        gateway.now(),
        address,
        incarnation,
    );
    attribute_crash(gateway, incarnation, suspects, "connection-refused");
}

/// Connects to a server until a connection stays open for `hold_time`.
///
/// Fails if no connection can be opened, or if the server closes each of
/// [`MAX_PROBE_CONNECTIONS`] at once.
async fn hold_connection(address: SocketAddr, hold_time: Duration) -> Result<(), CallError> {
    for _ in 0..MAX_PROBE_CONNECTIONS {
        let mut stream = connect(address).await?;
        let mut byte = [0];
        let closed = tokio::time::timeout(hold_time, stream.read(&mut byte));
        if closed.await.is_err() {
            return Ok(());
        }
        tokio::time::sleep(PROBE_RETRY_DELAY).await;
    }
    Err(CallError::Broken("the server closes connections at once".to_string()))
}

/// Records that a server registered; its earlier incarnations at the same address have
/// ended.
pub fn record_registration(
    gateway: &Gateway,
    address: SocketAddr,
    incarnation: &ServerIncarnation,
) {
    let ended = gateway.crash_detector.borrow_mut().record_registration(
        gateway.now(),
        address,
        incarnation,
    );
    for (earlier, suspects) in ended {
        attribute_crash(gateway, &earlier, suspects, RESTART_PROOF);
    }
}

/// Attributes the crash of a server to the requests that were at it, and logs `proof`, the
/// evidence of the crash.
fn attribute_crash(
    gateway: &Gateway,
    incarnation: &ServerIncarnation,
    suspects: CrashSuspects,
    proof: &'static str,
) {
    if suspects.is_empty() {
        return;
    }
    let now = gateway.now();
    let noticed_at = if proof == RESTART_PROOF { now.saturating_sub(RESTART_AGE) } else { now };
    record_crashed_server(gateway, incarnation, noticed_at);
    let parts: Vec<PartDigest> = suspects.parts.iter().map(|suspect| suspect.part).collect();
    gateway.journal.note(
        "server-ended",
        None,
        o!("server" => incarnation.server.clone(), "born" => incarnation.started_ms,
           "proof" => proof, "requests" => suspects.requests.len(),
           "digests" => format_digests(&suspects.requests),
           "unanswered_parts" => format_digests(&parts)),
    );
    gateway.metrics.count_server_end(proof);
    record_part_crashes(gateway, incarnation, &suspects.parts);
    for digest in suspects.requests {
        let crash = CrashReport { digest, incarnation: incarnation.clone(), noticed_at: now };
        record_crash(gateway, crash, true);
    }
    gateway.crash_update_due.notify_one();
    gateway.crash_record_changed.notify_one();
}

/// Records that a server crashed while it ran a request.
pub fn record_crash(gateway: &Gateway, crash: CrashReport, noticed_here: bool) {
    let now = gateway.now();
    let digest = crash.digest;
    let change = gateway.quarantine.borrow_mut().record_crash(now, crash, noticed_here);
    match change {
        QuarantineChange::Unchanged | QuarantineChange::CrashAdded => {}
        QuarantineChange::AlreadyAnswered if noticed_here => {}
        QuarantineChange::AlreadyAnswered => queue_answer(gateway, digest),
        QuarantineChange::Quarantined => {
            gateway.crash_evidence_changed.notify_waiters();
            let status = gateway.quarantine.borrow().status(now, digest);
            if let QuarantineStatus::Quarantined(crashes) = status {
                gateway.journal.warn(
                    "request-crashes-servers",
                    o!("digest" => format_digest(digest), "noticed_here" => noticed_here,
                       "evidence" => format_evidence(now, &crashes)),
                );
            }
        }
    }
}

/// Formats server, start time and age of each crash as they appear in logs.
pub fn format_evidence(now: Duration, crashes: &[CrashReport]) -> String {
    let texts = crashes.iter().map(|crash| {
        let age = now.saturating_sub(crash.noticed_at).as_millis();
        format!(
            "{} born {} ended {age} ms ago",
            crash.incarnation.server, crash.incarnation.started_ms
        )
    });
    texts.collect::<Vec<String>>().join("; ")
}

/// Clears a request that was served completely: voids the crashes attributed to it.
fn clear_request(gateway: &Gateway, digest: RequestDigest) {
    let voided = gateway.quarantine.borrow_mut().record_answer(gateway.now(), digest);
    if voided > 0 {
        gateway.journal.note(
            "request-cleared",
            None,
            o!("digest" => format_digest(digest), "void_ends" => voided, "noticed_here" => true),
        );
        queue_answer(gateway, digest);
    }
}

fn queue_answer(gateway: &Gateway, digest: RequestDigest) {
    let mut answers = gateway.answers_to_broadcast.borrow_mut();
    if answers.len() < MAX_QUEUED_ANSWERS && !answers.contains(&digest) {
        answers.push(digest);
        gateway.crash_update_due.notify_one();
    }
}

/// Applies an update from another gateway.
pub fn apply_crash_update(gateway: &Gateway, update: CrashUpdate) {
    let now = gateway.now();
    for digest in update.answered {
        let voided = gateway.quarantine.borrow_mut().record_answer(now, digest);
        if voided > 0 {
            gateway.journal.note(
                "request-cleared",
                None,
                o!("digest" => format_digest(digest), "void_ends" => voided,
                   "noticed_here" => false),
            );
        }
    }
    for crash in update.crashes {
        let incarnation = ServerIncarnation { server: crash.server, started_ms: crash.started_ms };
        let age = Duration::from_millis(crash.age_ms);
        let noticed_at = now.saturating_sub(age);
        record_crash_notice(gateway, &incarnation, age);
        record_crash(gateway, CrashReport { digest: crash.digest, incarnation, noticed_at }, false);
    }
}

/// Returns the recent crashes and takes the queued answers, to be sent to other gateways.
pub fn take_crash_update(gateway: &Gateway) -> CrashUpdate {
    let now = gateway.now();
    let answered = std::mem::take(&mut *gateway.answers_to_broadcast.borrow_mut());
    let since = now.saturating_sub(REBROADCAST_TIME);
    let crashes = gateway.quarantine.borrow().recent_crashes(since, MAX_DATAGRAM_CRASHES);
    let notices = crashes.into_iter().map(|crash| CrashNotice {
        digest: crash.digest,
        server: crash.incarnation.server,
        started_ms: crash.incarnation.started_ms,
        age_ms: now.saturating_sub(crash.noticed_at).as_millis() as u64,
    });
    CrashUpdate { crashes: notices.collect(), answered }
}

/// Returns the time of day in milliseconds since the Unix epoch.
pub fn unix_millis(gateway: &Gateway) -> u64 {
    let since = gateway.clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Removes outdated crashes, attempts and limits at intervals, and updates the metrics of these and
/// of the store's answers.
pub async fn sweep_outdated(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = gateway.now();
        gateway.crash_detector.borrow_mut().sweep(now);
        sweep_parts(&gateway);
        sweep_limits(&gateway);
        let mut quarantine = gateway.quarantine.borrow_mut();
        quarantine.sweep(now);
        // Removes voided crashes from the stored record, which is not urgent.
        gateway.crash_record_changed.notify_one();
        gateway.metrics.set_state("crash_suspects", quarantine.suspect_count() as f64);
        gateway.metrics.set_state("crash_held", quarantine.quarantined_count(now) as f64);
        gateway.metrics.set_state("crash_evicted", quarantine.evicted_count() as f64);
        let ReadWork { received, examined } = gateway.store.read_work();
        gateway.metrics.set_state("store_bytes_received", received as f64);
        gateway.metrics.set_state("store_bytes_examined", examined as f64);
    }
}
