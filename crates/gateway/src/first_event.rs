//! Watches the time that streams wait for their first event, and gives up those whose answer is
//! probably lost. The decisions are made in [`cuminpick::first_event`].

use std::cell::Cell;
use std::time::Duration;

use cuminpick::first_event::GiveUpRule;
use cuminpick::first_event::StreamWait;
use cuminpick::first_event::WaitDecision;
use slog::o;
use tokio::time::Instant;

use crate::attempt::FailedAttempt;
use crate::state::Gateway;
use crate::unit_tracking;
use crate::unit_tracking::is_unit_delayed;
use crate::unit_tracking::unit_at;

/// Longest interval between two checks of a waiting stream; shorter than [`ACTIVE_WINDOW`], so
/// that no stall is missed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between two checks; the resolution of timers is 1 ms.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Time for which an event shows that the unit is making passes; a few of them.
const ACTIVE_WINDOW: Duration = Duration::from_millis(250);

/// Returns the key of a server's unit: the servers whose times to the first event are alike.
pub fn unit_of(gateway: &Gateway, service: &str, server: &str) -> String {
    let location = gateway.balance.borrow().location_of(server);
    let unit = location.and_then(|(_, address)| unit_at(gateway, service, address));
    unit.map_or_else(|| service.to_string(), |unit| format!("{service}/{unit}"))
}

/// Returns whether the unit of a server makes its usual passes: it is not lost, its passes take no
/// longer than they usually do, and events arrived lately.
fn is_unit_active(gateway: &Gateway, service: &str, server: &str) -> bool {
    let Some((_, address)) = gateway.balance.borrow().location_of(server) else {
        return false;
    };
    let now = gateway.now();
    !is_unit_delayed(gateway, service, address, now)
        && unit_tracking::is_unit_active(gateway, service, address, now, ACTIVE_WINDOW)
}

/// The wait of a stream for its first event at one server.
pub struct FirstEventWatch<'a> {
    gateway: &'a Gateway,
    service: &'a str,
    server: &'a str,
    /// Identifier of the request in the log.
    attempt: Option<&'a str>,
    /// When the first event is due; `None` if the caller has received events.
    target_at: Option<Instant>,
    sent_at: Cell<Option<Duration>>,
    /// End of the last stall of the unit since the stream was sent.
    stalled_until: Cell<Option<Duration>>,
}

impl<'a> FirstEventWatch<'a> {
    /// Creates the watch of a stream that is about to be sent to `server`.
    pub fn new(
        gateway: &'a Gateway,
        service: &'a str,
        server: &'a str,
        attempt: Option<&'a str>,
        target_at: Option<Instant>,
    ) -> FirstEventWatch<'a> {
        let sent_at = Cell::default();
        let stalled_until = Cell::default();
        FirstEventWatch { gateway, service, server, attempt, target_at, sent_at, stalled_until }
    }

    /// Records that the stream is sent.
    pub fn record_sent(&self) {
        let now = self.gateway.now();
        self.sent_at.set(Some(now));
        self.gateway.first_events.borrow_mut().record_sent(now);
    }

    /// Records that the first event arrived. A wait during which the unit stalled says nothing
    /// about the usual ones.
    pub fn record_first_event(&self) {
        let Some(sent_at) = self.sent_at.get().filter(|_| self.stalled_until.get().is_none())
        else {
            return;
        };
        let now = self.gateway.now();
        let unit = unit_of(self.gateway, self.service, self.server);
        let took = now.saturating_sub(sent_at);
        let mut times = self.gateway.first_events.borrow_mut();
        times.record_first_event(now, self.service, &unit, took);
    }

    /// Waits for `work` on the stream's attempt, but cancels it when the stream is to be sent to
    /// another server. `reserve_retry` takes the retry that this needs; it returns false if there
    /// is none, or no other server.
    pub async fn fail_if_late<T>(
        &self,
        reserve_retry: impl Fn() -> bool,
        work: impl Future<Output = Result<T, FailedAttempt>>,
    ) -> Result<T, FailedAttempt> {
        tokio::select! {
            biased;
            result = work => result,
            detail = self.wait_until_late(reserve_retry) => Err(FailedAttempt::broken(detail)),
        }
    }

    /// Waits until the stream is given up; returns the reason.
    async fn wait_until_late(&self, reserve_retry: impl Fn() -> bool) -> &'static str {
        let mut interval = CHECK_INTERVAL;
        loop {
            tokio::time::sleep(interval).await;
            interval = CHECK_INTERVAL;
            let Some(sent_at) = self.sent_at.get() else {
                continue;
            };
            if !is_unit_active(self.gateway, self.service, self.server) {
                self.stalled_until.set(Some(self.gateway.now()));
                continue;
            }
            // After a stall all streams of the unit start to wait anew.
            let since = self.stalled_until.get().unwrap_or(sent_at);
            match self.decide(since) {
                WaitDecision::Unknown => {}
                WaitDecision::Wait(after) => {
                    interval = after.clamp(MIN_CHECK_INTERVAL, CHECK_INTERVAL);
                }
                WaitDecision::GiveUp(rule) => {
                    let may_give_up =
                        self.gateway.first_events.borrow_mut().may_give_up(self.gateway.now());
                    if may_give_up && reserve_retry() {
                        self.record_given_up(rule, sent_at);
                        return "its first event is missing while others arrive";
                    }
                }
            }
        }
    }

    fn decide(&self, since: Duration) -> WaitDecision {
        let now = self.gateway.now();
        let unit = unit_of(self.gateway, self.service, self.server);
        let wait = StreamWait {
            waited: now.saturating_sub(since),
            target_left: self.target_at.map(|at| at.saturating_duration_since(Instant::now())),
        };
        self.gateway.first_events.borrow_mut().decide(now, self.service, &unit, wait)
    }

    fn record_given_up(&self, rule: GiveUpRule, sent_at: Duration) {
        let now = self.gateway.now();
        let unit = unit_of(self.gateway, self.service, self.server);
        let usual = {
            let mut times = self.gateway.first_events.borrow_mut();
            times.record_given_up(now);
            times.usual_wait(now, self.service, &unit)
        };
        self.gateway.metrics.count_given_up(rule.name());
        self.gateway.journal.note(
            "first-event-missing",
            self.attempt,
            o!("service" => self.service.to_string(), "unit" => unit,
               "server" => self.server.to_string(), "rule" => rule.name(),
               "waited_ms" => now.saturating_sub(sent_at).as_millis() as u64,
               "median_ms" => usual.map_or(-1, |usual| usual.median.as_millis() as i64),
               "late_after_ms" => usual.map_or(-1, |usual| usual.late_after.as_millis() as i64)),
        );
    }
}
