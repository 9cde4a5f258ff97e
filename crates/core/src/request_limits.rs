//! Keeps to the limits that backend servers state on the requests of all gateways together.
//!
//! For each server with a limit one gateway, its issuer, hands out permits; all gateways
//! compute the same issuer from the names of those that are alive. A gateway sends a request
//! to such a server only with a permit, so the sum over any number of gateways keeps to the
//! limit however unequal their loads are, and a gateway with all the load gets all permits.
//! A refused permit names the time until the next one, for which the gateway chooses among
//! the other servers.
//!
//! A limit is what a server's latest answer states. It ends with the incarnation of the
//! server, or when the answer to a request that was sent after the last statement states
//! none: answers may be delayed, and be received by other gateways.

use std::time::Duration;

use crate::crash_detection::ServerIncarnation;
use crate::ids::FastMap;
use crate::ids::MemberId;
use crate::ids::ServerId;
use crate::ids::hash_parts;

/// Lowest rate of permits, per second. A server that states less gets a request every few
/// seconds, whose answer shows when the limit rises.
const MIN_RATE: f64 = 0.25;
/// Highest limit that is heeded; no server runs as many requests per second.
const MAX_LIMIT: f64 = 1e6;
/// Time after which a limit is dropped that no answer has stated again, such as that of a
/// server that is gone.
const LIMIT_RETENTION: Duration = Duration::from_secs(600);
/// Time in which permits may accumulate while none is used.
const ACCUMULATION_TIME: f64 = 0.5;
/// Limits that are kept, the oldest out first; the largest site has 4,800 servers.
pub const MAX_LIMITS: usize = 16_384;
/// Time for which a server is not chosen after its issuer did not reply.
const SILENT_ISSUER_PAUSE: Duration = Duration::from_millis(100);
/// Consecutive requests without a reply after which an issuer is replaced. Fewer may be lost
/// datagrams, and two issuers at a time would exceed the limit.
const MAX_UNANSWERED: u32 = 8;
/// Shortest silence after which an issuer is replaced.
const MIN_SILENCE: Duration = Duration::from_secs(1);
/// Time after which unanswered requests no longer count.
const SILENCE_RETENTION: Duration = Duration::from_secs(5);
/// Time for which a silent issuer is replaced by the next one before it is asked again.
const REPLACEMENT_TIME: Duration = Duration::from_secs(1);

/// What an answer of a server states about its limit.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitStatement {
    /// Incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// Requests per second over all gateways; `None` if the answer states no limit.
    pub per_second: Option<f64>,
    /// When the request was sent that the server answered so.
    pub asked_at: Duration,
    /// When the answer arrived.
    pub stated_at: Duration,
}

/// Which servers with a limit may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct LimitFilter<'a> {
    /// Limits of the servers.
    pub limits: &'a RequestLimits,
    /// Whether only servers without a limit may be chosen.
    pub unlimited_only: bool,
}

impl LimitFilter<'_> {
    /// Returns whether an incarnation of a server may be chosen now.
    pub fn admits(&self, now: Duration, server: &str, started_ms: u64) -> bool {
        self.limits.is_open(now, server, started_ms, self.unlimited_only)
    }
}

#[derive(Debug, Clone)]
struct ServerLimit {
    started_ms: u64,
    per_second: Option<f64>,
    stated_at: Duration,
    changed_at: Duration,
    /// Permits that this gateway can hand out, if it is the issuer.
    permits: f64,
    refilled_at: Duration,
    /// Time until which no permit is to be had.
    closed_until: Duration,
}

impl ServerLimit {
    fn statement(&self, server: &str) -> LimitStatement {
        LimitStatement {
            incarnation: ServerIncarnation {
                server: server.to_string(),
                started_ms: self.started_ms,
            },
            per_second: self.per_second,
            asked_at: self.stated_at,
            stated_at: self.stated_at,
        }
    }

    fn rate(&self, share: f64) -> Option<f64> {
        self.per_second.map(|limit| (limit * share).max(MIN_RATE))
    }
}

/// Requests for permits to which an issuer has not replied.
#[derive(Debug, Clone)]
struct IssuerSilence {
    since: Duration,
    last: Duration,
    unanswered: u32,
    replaced_until: Duration,
}

/// Limits of all servers as this gateway knows them.
#[derive(Debug, Clone, Default)]
pub struct RequestLimits {
    limits: FastMap<ServerId, ServerLimit>,
    silences: FastMap<MemberId, IssuerSilence>,
}

impl RequestLimits {
    /// Records what a server states, here or to another gateway; returns whether this changes
    /// its limit.
    pub fn record_statement(&mut self, statement: &LimitStatement) -> bool {
        let LimitStatement { incarnation, per_second, asked_at, stated_at } = statement;
        let stated = per_second.map(|limit| limit.clamp(0.0, MAX_LIMIT));
        let Some(known) = self.limits.get_mut(&incarnation.server) else {
            if stated.is_none() {
                return false;
            }
            if self.limits.len() >= MAX_LIMITS {
                self.remove_oldest();
            }
            let limit = ServerLimit {
                started_ms: incarnation.started_ms,
                per_second: stated,
                stated_at: *stated_at,
                changed_at: *stated_at,
                permits: 0.0,
                refilled_at: *stated_at,
                closed_until: Duration::ZERO,
            };
            self.limits.insert(incarnation.server.clone(), limit);
            return true;
        };
        let may_precede = match stated {
            Some(_) => *stated_at < known.stated_at,
            None => *asked_at < known.stated_at,
        };
        if incarnation.started_ms < known.started_ms
            || (incarnation.started_ms == known.started_ms && may_precede)
        {
            return false;
        }
        let changed = known.per_second != stated;
        known.started_ms = incarnation.started_ms;
        known.stated_at = *stated_at;
        known.per_second = stated;
        if changed {
            known.changed_at = *stated_at;
            known.closed_until = Duration::ZERO;
        }
        changed
    }

    /// Returns the latest statement of an incarnation of a server that has a limit.
    pub fn statement(&self, incarnation: &ServerIncarnation) -> Option<LimitStatement> {
        let known = self.limits.get(&incarnation.server)?;
        let is_limited = known.started_ms == incarnation.started_ms && known.per_second.is_some();
        is_limited.then(|| known.statement(&incarnation.server))
    }

    /// Returns the latest statements of servers whose limits changed since `since`, also of
    /// those without a limit now.
    pub fn changed_statements(&self, since: Duration) -> Vec<LimitStatement> {
        let recent = self.limits.iter().filter(|(_, known)| known.changed_at >= since);
        recent.map(|(server, known)| known.statement(server)).collect()
    }

    /// Returns whether an incarnation of a server may be chosen: it has no limit, or a permit
    /// may be had now.
    fn is_open(&self, now: Duration, server: &str, started_ms: u64, unlimited_only: bool) -> bool {
        self.limits.get(server).is_none_or(|known| {
            known.started_ms != started_ms
                || known.per_second.is_none()
                || (!unlimited_only && now >= known.closed_until)
        })
    }

    /// Returns until when no permit of a server is to be had.
    pub fn closed_until(&self, server: &str) -> Duration {
        self.limits.get(server).map_or(Duration::ZERO, |known| known.closed_until)
    }

    /// Records that no permit of a server is to be had for `wait`.
    pub fn close(&mut self, now: Duration, server: &str, wait: Duration) {
        if let Some(known) = self.limits.get_mut(server) {
            known.closed_until = now + wait;
        }
    }

    /// Hands out a permit of a server, as its issuer; otherwise returns the time until the
    /// next one. `share` is the part of the limit that this issuer may hand out.
    pub fn issue_permit(
        &mut self,
        now: Duration,
        server: &str,
        share: f64,
    ) -> Result<(), Duration> {
        let Some(known) = self.limits.get_mut(server) else {
            return Ok(());
        };
        let Some(rate) = known.rate(share) else {
            return Ok(());
        };
        let elapsed = now.saturating_sub(known.refilled_at).as_secs_f64();
        known.refilled_at = now;
        known.permits = (known.permits + elapsed * rate).min((rate * ACCUMULATION_TIME).max(1.0));
        if known.permits >= 1.0 {
            known.permits -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - known.permits) / rate))
    }

    /// Returns the gateway of `names` that hands out the permits of a server. One that has
    /// been silent is passed over.
    pub fn issuer<'a>(
        &self,
        now: Duration,
        server: &str,
        names: impl Iterator<Item = &'a str>,
    ) -> Option<&'a str> {
        let is_replaced =
            |name: &str| self.silences.get(name).is_some_and(|known| now < known.replaced_until);
        let responsive = names.filter(|name| !is_replaced(name));
        responsive.max_by_key(|name| hash_parts(&[server.as_bytes(), name.as_bytes()]))
    }

    /// Records that an issuer did not reply to a request for a server's permit; returns whether
    /// it is replaced from now on.
    pub fn record_silence(&mut self, now: Duration, server: &str, issuer: &str) -> bool {
        self.close(now, server, SILENT_ISSUER_PAUSE);
        self.silences.retain(|_, known| now < known.last + SILENCE_RETENTION);
        let silence = self.silences.entry(issuer.to_string()).or_insert(IssuerSilence {
            since: now,
            last: now,
            unanswered: 0,
            replaced_until: Duration::ZERO,
        });
        silence.last = now;
        silence.unanswered += 1;
        let is_silent = silence.unanswered >= MAX_UNANSWERED && now >= silence.since + MIN_SILENCE;
        if is_silent {
            silence.replaced_until = now + REPLACEMENT_TIME;
        }
        is_silent
    }

    /// Records that an issuer replied.
    pub fn record_reply(&mut self, issuer: &str) {
        self.silences.remove(issuer);
    }

    /// Drops limits that were not stated again for a long time.
    pub fn sweep(&mut self, now: Duration) {
        self.limits.retain(|_, known| now < known.stated_at + LIMIT_RETENTION);
    }

    /// Returns the number of servers with a limit.
    pub fn limited_count(&self) -> usize {
        self.limits.values().filter(|known| known.per_second.is_some()).count()
    }

    fn remove_oldest(&mut self) {
        let oldest = self.limits.iter().min_by_key(|(_, known)| known.stated_at);
        if let Some(server) = oldest.map(|(server, _)| server.clone()) {
            self.limits.remove(&server);
        }
    }
}
