//! Keeps to the limits on requests that servers state, together with the other gateways.
//!
//! The decisions are made in [`cuminpick::request_limits`]. A gateway that is not the issuer
//! of a server's permits asks for each by a datagram; the issuer is a round trip away.

use std::rc::Rc;
use std::time::Duration;

use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::request_limits::LimitStatement;
use cuminpick::updates::LimitNotice;
use cuminpick::updates::PermitReply;
use cuminpick::updates::PermitRequest;
use cuminpick::updates::UpdateMessage;
use cuminpick_platform::headers::AnswerHead;
use cuminpick_platform::headers::StatedLimit;
use slog::o;
use tokio::sync::oneshot;

use crate::peers::send_to_peer;
use crate::state::Gateway;

/// Longest wait for an issuer's reply; a few round trips between zones.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(40);
/// Time after a change for which statements are sent again to gateways that may have missed them.
const REBROADCAST_TIME: Duration = Duration::from_secs(60);
/// Maximum number of statements in a datagram, which has to fit a packet of 1,500 bytes.
const MAX_DATAGRAM_LIMITS: usize = 32;

/// Records the limit that an answer of a server states, if any. A server may refuse a request
/// without naming a limit that is in force, so only a run request tells that it has ended.
pub fn record_stated_limit(
    gateway: &Gateway,
    incarnation: ServerIncarnation,
    sent_at: Duration,
    head: &AnswerHead,
) {
    if head.from_other_server {
        return;
    }
    let per_second = match head.request_limit {
        StatedLimit::None if head.not_run => return,
        StatedLimit::None => None,
        StatedLimit::PerSecond(limit) => Some(limit),
        StatedLimit::Unreadable => {
            gateway.metrics.count_unreadable("limit");
            gateway.journal.warn("limit-unreadable", o!("server" => incarnation.server));
            return;
        }
    };
    let statement =
        LimitStatement { incarnation, per_second, asked_at: sent_at, stated_at: gateway.now() };
    if record_statement(gateway, &statement, true) {
        gateway.limit_news.borrow_mut().push(statement.incarnation.server);
        gateway.crash_update_due.notify_one();
    }
}

fn record_statement(gateway: &Gateway, statement: &LimitStatement, noticed_here: bool) -> bool {
    let changed = gateway.request_limits.borrow_mut().record_statement(statement);
    if changed {
        gateway.journal.note(
            "limit-changed",
            None,
            o!("server" => statement.incarnation.server.clone(),
               "born" => statement.incarnation.started_ms,
               "per_second" => statement.per_second.map_or("none".to_string(), |limit| {
                   limit.to_string()
               }),
               "noticed_here" => noticed_here,
               "age_ms" => gateway.now().saturating_sub(statement.stated_at).as_millis() as u64),
        );
        update_metric(gateway);
    }
    changed
}

/// Drops limits of servers that are gone, and updates the metric.
pub fn sweep_limits(gateway: &Gateway) {
    gateway.request_limits.borrow_mut().sweep(gateway.now());
    update_metric(gateway);
}

fn update_metric(gateway: &Gateway) {
    let limited = gateway.request_limits.borrow().limited_count();
    gateway.metrics.set_state("limited_servers", limited as f64);
}

/// Applies statements that another gateway sent.
pub fn apply_limit_notices(gateway: &Gateway, notices: Vec<LimitNotice>) {
    for notice in notices {
        apply_notice(gateway, &notice);
    }
}

fn apply_notice(gateway: &Gateway, notice: &LimitNotice) {
    let stated_at = gateway.now().saturating_sub(Duration::from_millis(notice.age_ms));
    let statement = LimitStatement {
        incarnation: ServerIncarnation {
            server: notice.server.clone(),
            started_ms: notice.started_ms,
        },
        per_second: notice.per_second.filter(|limit| limit.is_finite()),
        asked_at: stated_at,
        stated_at,
    };
    record_statement(gateway, &statement, false);
}

/// Returns the statements to send to other gateways: those that changed since the last call,
/// or else those that changed recently.
pub fn take_limit_notices(gateway: &Gateway) -> Vec<LimitNotice> {
    let now = gateway.now();
    let changed = std::mem::take(&mut *gateway.limit_news.borrow_mut());
    let limits = gateway.request_limits.borrow();
    let statements = limits.changed_statements(now.saturating_sub(REBROADCAST_TIME));
    let selected = statements
        .into_iter()
        .filter(|known| changed.is_empty() || changed.contains(&known.incarnation.server));
    selected.take(MAX_DATAGRAM_LIMITS).map(|known| notice_of(now, known)).collect()
}

fn notice_of(now: Duration, statement: LimitStatement) -> LimitNotice {
    LimitNotice {
        server: statement.incarnation.server,
        started_ms: statement.incarnation.started_ms,
        per_second: statement.per_second,
        age_ms: now.saturating_sub(statement.stated_at).as_millis() as u64,
    }
}

/// Obtains a permit to send a request to a server, if it has a limit. If none is to be had,
/// the server is not chosen again until the next one is expected.
pub async fn obtain_permit(gateway: &Rc<Gateway>, incarnation: &ServerIncarnation) -> bool {
    let Some(statement) = gateway.request_limits.borrow().statement(incarnation) else {
        return true;
    };
    let server = incarnation.server.as_str();
    let refused = match issuer_of(gateway, server) {
        None => issue_permit(gateway, server).err(),
        Some(issuer) => {
            let limit = notice_of(gateway.now(), statement);
            let Some(reply) = request_permit(gateway, &issuer, limit).await else {
                record_silence(gateway, server, &issuer);
                return false;
            };
            gateway.request_limits.borrow_mut().record_reply(&issuer);
            reply.wait_ms.map(Duration::from_millis)
        }
    };
    if let Some(wait) = refused {
        gateway.request_limits.borrow_mut().close(gateway.now(), server, wait);
    }
    refused.is_none()
}

fn record_silence(gateway: &Gateway, server: &str, issuer: &str) {
    let now = gateway.now();
    let replaced = gateway.request_limits.borrow_mut().record_silence(now, server, issuer);
    gateway.journal.note(
        "issuer-silent",
        None,
        o!("gateway" => issuer.to_string(), "server" => server.to_string(),
           "replaced" => replaced),
    );
}

/// Returns the other gateway that issues a server's permits; `None` if this one does.
fn issuer_of(gateway: &Gateway, server: &str) -> Option<String> {
    let balance = gateway.balance.borrow();
    let own = gateway.settings.node.as_str();
    let names = balance.live_peers().chain(std::iter::once(own));
    let limits = gateway.request_limits.borrow();
    let issuer = limits.issuer(gateway.now(), server, names)?;
    (issuer != own).then(|| issuer.to_string())
}

/// Issues a permit from this gateway's part of the limit: all of it, unless gateways are
/// unreachable and may have another issuer.
fn issue_permit(gateway: &Gateway, server: &str) -> Result<(), Duration> {
    let balance = gateway.balance.borrow();
    let share = balance.live_gateways() as f64 / balance.live_or_registered_gateways() as f64;
    gateway.request_limits.borrow_mut().issue_permit(gateway.now(), server, share)
}

async fn request_permit(
    gateway: &Rc<Gateway>,
    issuer: &str,
    limit: LimitNotice,
) -> Option<PermitReply> {
    let number = gateway.random_bits();
    let (sender, receiver) = oneshot::channel();
    gateway.pending_permits.borrow_mut().insert(number, sender);
    let _pending = PendingPermit { gateway: Rc::clone(gateway), number };
    let request = UpdateMessage::PermitRequest(PermitRequest { number, limit });
    send_to_peer(gateway, issuer, &request).await;
    tokio::time::timeout(PERMIT_TIMEOUT, receiver).await.ok()?.ok()
}

/// A request for a permit that waits for its reply until it is dropped.
struct PendingPermit {
    gateway: Rc<Gateway>,
    number: u64,
}

impl Drop for PendingPermit {
    fn drop(&mut self) {
        self.gateway.pending_permits.borrow_mut().remove(&self.number);
    }
}

/// Decides on another gateway's request for a permit.
pub fn reply_to_request(gateway: &Gateway, request: &PermitRequest) -> PermitReply {
    apply_notice(gateway, &request.limit);
    let wait = issue_permit(gateway, &request.limit.server).err();
    PermitReply { number: request.number, wait_ms: wait.map(|wait| wait.as_millis() as u64 + 1) }
}

/// Passes the reply on to the request that waits for it; a late one is dropped.
pub fn accept_reply(gateway: &Gateway, reply: PermitReply) {
    if let Some(sender) = gateway.pending_permits.borrow_mut().remove(&reply.number) {
        // Sending fails only if the request was given up.
        let _ = sender.send(reply);
    }
}
