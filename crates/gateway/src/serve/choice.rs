//! Chooses the server for an attempt, and waits while none takes requests.

use std::time::Duration;

use cuminpick::balance::BalanceChoice;
use cuminpick::balance::BalanceQuery;
use cuminpick::balance::ChoiceError;
use cuminpick::capacity_queue::TurnRequest;
use cuminpick::ids::ServerId;
use cuminpick::refusal::Refusal;
use cuminpick::refusal::RefusalKind;
use cuminpick::request_limits::LimitFilter;
use cuminpick::token_load::TokenFilter;
use slog::o;
use tokio::time::Instant;

use super::Exchange;
use super::ON_TIME_START_SHARE;
use super::RETRY_WHEN_UNAVAILABLE;
use super::turn::CapacityTurn;
use super::turn::is_contended;
use crate::permits::obtain_permit;
use crate::token_tracking::TokenHold;
use crate::token_tracking::claim_memory;
use crate::token_tracking::service_memory;
use crate::unit_choice::ProbeRule;
use crate::unit_choice::choose_in_units;
use crate::unit_tracking::has_units;

/// Part of the target latency that a request may wait for a server with a free slot.
const CAPACITY_WAIT_SHARE: f64 = 0.6;
/// Interval at which a request that waits for a free slot checks again without being woken.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time over which callers are spread that return when a server takes requests again.
const RETURN_SPREAD: Duration = Duration::from_millis(500);
/// Servers with a limit that are asked for a permit before only others are chosen.
const MAX_REFUSED_PERMITS: u32 = 2;

impl Exchange {
    /// Chooses a server. While none takes requests, waits for its turn and for one that does, for
    /// a part of the target latency. While all records are outdated, a stream waits for those of
    /// the servers that replaced them as long as it can still be started. A stream that has begun,
    /// and is to go on at another server, waits from now on.
    pub(super) async fn choose_server(
        &mut self,
        stream_begun: bool,
    ) -> Result<BalanceChoice, Refusal> {
        let since = if stream_begun { Instant::now() } else { self.arrived };
        let mut wait_until = since + self.route.target_latency.mul_f64(CAPACITY_WAIT_SHARE);
        // A retry may wait for servers that others can do without, so it keeps out of the queue.
        let mut may_queue = self.tried_servers.is_empty();
        let mut turn: Option<CapacityTurn> = None;
        let mut refused_permits = 0;
        loop {
            if turn.as_ref().is_some_and(|turn| !turn.has_come()) {
                if Instant::now() >= wait_until {
                    return Err(self.capacity_refusal(Duration::ZERO));
                }
                self.wait_for_change().await;
                continue;
            }
            let chosen = self.find_server(refused_permits >= MAX_REFUSED_PERMITS);
            if matches!(chosen, Err(ChoiceError::AllTried | ChoiceError::NoneAvailable)) {
                let retry_after = self.time_to_return(RETRY_WHEN_UNAVAILABLE);
                return Err(self.refusal(RefusalKind::NoServer, retry_after));
            }
            if matches!(chosen, Err(ChoiceError::AllReplaced)) {
                let waits_until = match self.route.streaming && !stream_begun {
                    true => self.arrived + self.latest_start(),
                    false => wait_until,
                };
                if Instant::now() >= waits_until {
                    let retry_after = self.time_to_return(RETRY_WHEN_UNAVAILABLE);
                    return Err(self.refusal(RefusalKind::NoServer, retry_after));
                }
                self.wait_for_change().await;
                continue;
            }
            if chosen.is_err() && self.lacks_memory() {
                if Instant::now() >= wait_until {
                    return Err(self.capacity_refusal(Duration::ZERO));
                }
                claim_memory(&self.gateway, &self.service, self.attempt_id(), self.token_need);
                self.wait_for_change().await;
                continue;
            }
            let must_wait = chosen.is_err() || is_contended(&self.gateway, &self.service);
            if may_queue && must_wait {
                may_queue = false;
                turn = Some(self.join_queue(stream_begun, &mut wait_until)?);
                refused_permits = 0;
                continue;
            }
            if let Ok(choice) = chosen {
                // Other requests are chosen for while a permit is awaited.
                self.token_hold = TokenHold::begin(&self.gateway, &choice.server, self.token_need);
                if obtain_permit(&self.gateway, &choice.incarnation()).await {
                    if let Some(turn) = turn {
                        turn.record_served();
                    }
                    return Ok(choice);
                }
                self.token_hold = None;
                refused_permits += 1;
                continue;
            }
            refused_permits = 0;
            if Instant::now() >= wait_until {
                return Err(self.capacity_refusal(Duration::ZERO));
            }
            self.wait_for_change().await;
        }
    }

    /// Chooses among the servers that take requests now.
    fn find_server(&self, unlimited_only: bool) -> Result<BalanceChoice, ChoiceError> {
        self.find_untried(&self.tried_servers, unlimited_only, true, self.probe_rule())
    }

    /// Returns whether another server than `server` would take the request now.
    pub(super) fn has_other_server(&self, server: &str) -> bool {
        let mut excluded = self.tried_servers.clone();
        excluded.push(server.to_string());
        self.find_untried(&excluded, false, true, ProbeRule::Never).is_ok()
    }

    /// Returns whether a server would take the request if it had the memory.
    fn lacks_memory(&self) -> bool {
        let find_any =
            || self.find_untried(&self.tried_servers, false, false, ProbeRule::Never).is_ok();
        self.token_need.tokens > 0 && find_any()
    }

    /// Chooses among the servers, but for the excluded ones, that take requests now.
    fn find_untried(
        &self,
        excluded: &[ServerId],
        unlimited_only: bool,
        heeds_memory: bool,
        probe_rule: ProbeRule,
    ) -> Result<BalanceChoice, ChoiceError> {
        let limits = self.gateway.request_limits.borrow();
        let load = self.gateway.token_load.borrow();
        let memory = (heeds_memory && self.token_need.tokens > 0)
            .then(|| service_memory(&self.gateway, &self.service))
            .flatten();
        let tokens =
            memory.map(|memory| TokenFilter { load: &load, memory, need: self.token_need });
        let query = BalanceQuery {
            service: &self.service,
            zone: &self.gateway.settings.zone,
            excluded,
            cold_requests_per_second: self.cold_requests_per_second,
            drain_time: self.gateway.settings.bounds.drain,
            limits: Some(LimitFilter { limits: &limits, unlimited_only }),
            tokens,
        };
        let mut rng = self.gateway.rng.borrow_mut();
        if has_units(&self.gateway, &self.service) {
            return choose_in_units(&self.gateway, &query, &mut rng, probe_rule);
        }
        self.gateway.balance.borrow().choose(self.gateway.now(), &query, &mut rng)
    }

    /// Returns whether the request may be the probe of a lost unit.
    fn probe_rule(&self) -> ProbeRule {
        match (self.route.streaming, self.retry_state.may_retry_after_failure()) {
            (false, _) => ProbeRule::Never,
            (true, true) => ProbeRule::WhenDue,
            (true, false) => ProbeRule::WhenOverdue,
        }
    }

    /// Joins the requests that wait for a server. The request is refused at once if its turn would
    /// come too late. One that can be answered on time waits until it can't be any more, at most.
    fn join_queue(
        &self,
        stream_begun: bool,
        wait_until: &mut Instant,
    ) -> Result<CapacityTurn, Refusal> {
        let on_time_until = self.on_time_until();
        let is_on_time = !stream_begun && on_time_until > Instant::now();
        if is_on_time {
            *wait_until = on_time_until.min(*wait_until);
        }
        let time_left = self.time_left(*wait_until);
        let turn_request = TurnRequest {
            request: self.gateway.random_bits(),
            priority: if stream_begun { 0 } else { self.priority },
            organisation: self.organisation.clone().unwrap_or_default(),
            is_overdue: !stream_begun && !is_on_time,
            expires_at: self.gateway.now() + time_left,
        };
        if self.time_to_opening(&self.tried_servers) > time_left {
            return Err(self.capacity_refusal(Duration::ZERO));
        }
        CapacityTurn::join(&self.gateway, &self.service, &turn_request)
            .map_err(|wait| self.capacity_refusal(wait))
    }

    /// Returns the latest time at which the request can be sent and still be answered on time.
    fn on_time_until(&self) -> Instant {
        let share = if self.route.streaming { ON_TIME_START_SHARE } else { CAPACITY_WAIT_SHARE };
        let first_sent = self.arrived.checked_sub(self.elapsed_before_arrival);
        first_sent.unwrap_or(self.arrived) + self.route.target_latency.mul_f64(share)
    }

    /// Waits until a request leaves a server or the queue, but at most a few milliseconds.
    async fn wait_for_change(&self) {
        let changed = self.gateway.capacity_changed.notified();
        let _ = tokio::time::timeout(CAPACITY_POLL_INTERVAL, changed).await;
    }

    /// Refuses the request if it would wait too long until the first server takes requests.
    pub(super) fn check_opening(&self) -> Result<(), Refusal> {
        let longest_wait = self.route.target_latency.mul_f64(CAPACITY_WAIT_SHARE);
        if self.time_to_opening(&[]) > self.time_left(self.arrived + longest_wait) {
            return Err(self.capacity_refusal(Duration::ZERO));
        }
        Ok(())
    }

    /// Logs that no server takes the request in time, and returns the refusal. `wait` is the
    /// expected wait for a turn, if it is known. Where servers have limits or want pauses, callers
    /// are spread over the time after which these take requests again.
    fn capacity_refusal(&self, wait: Duration) -> Refusal {
        let openings = self.times_to_opening(&[]);
        let opening = openings.iter().copied().min().unwrap_or_default();
        let spread = match openings.iter().all(Duration::is_zero) {
            true => Duration::ZERO,
            false => RETURN_SPREAD.mul_f64(self.gateway.random_share()),
        };
        let retry_after = wait.max(opening).max(self.usual_retry_after()) + spread;
        self.gateway.journal.note(
            "capacity-lacking",
            self.attempt_id(),
            o!("service" => self.service.clone(), "turn_ms" => wait.as_millis() as u64,
               "opening_ms" => opening.as_millis() as u64,
               "retry_ms" => retry_after.as_millis() as u64),
        );
        self.refusal(RefusalKind::Overloaded, retry_after)
    }

    /// Returns the time after which the caller of a request that gets no further attempt may
    /// return: `usual`, unless no server takes requests until later.
    pub(super) fn time_to_return(&self, usual: Duration) -> Duration {
        let opening = self.time_to_opening(&[]);
        if opening.is_zero() {
            return usual;
        }
        usual.max(opening) + RETURN_SPREAD.mul_f64(self.gateway.random_share())
    }

    /// Returns the time until the first server, but for the excluded ones, takes requests; zero
    /// if there is none.
    fn time_to_opening(&self, excluded: &[ServerId]) -> Duration {
        self.times_to_opening(excluded).into_iter().min().unwrap_or_default()
    }

    /// Returns the time until each server, but for the excluded ones, takes requests again, by its
    /// limit and the pause that it wants.
    fn times_to_opening(&self, excluded: &[ServerId]) -> Vec<Duration> {
        let now = self.gateway.now();
        let balance = self.gateway.balance.borrow();
        let limits = self.gateway.request_limits.borrow();
        let servers = balance.available_servers(&self.service);
        let included = servers.filter(|(server, _)| !excluded.contains(server));
        let openings =
            included.map(|(server, paused_until)| limits.closed_until(server).max(paused_until));
        openings.map(|opening| opening.saturating_sub(now)).collect()
    }
}
