//! Chooses the server for an attempt, and waits while none takes requests.

use std::time::Duration;

use cuminpick::balance::BalanceChoice;
use cuminpick::balance::BalanceQuery;
use cuminpick::balance::ChoiceError;
use cuminpick::refusal::Refusal;
use cuminpick::refusal::RefusalKind;
use cuminpick::request_limits::LimitFilter;
use tokio::time::Instant;

use super::Exchange;
use super::RETRY_WHEN_FULL;
use super::RETRY_WHEN_UNAVAILABLE;
use crate::permits::obtain_permit;

/// Part of the target latency that a request may wait for a server with a free slot.
const CAPACITY_WAIT_SHARE: f64 = 0.6;
/// Interval at which a request that waits for a free slot checks again without being woken.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time over which callers are spread that return when a server takes requests again.
const RETURN_SPREAD: Duration = Duration::from_millis(500);
/// Servers with a limit that are asked for a permit before only others are chosen.
const MAX_REFUSED_PERMITS: u32 = 2;

impl Exchange {
    /// Chooses a server. While all are full, waits for a free slot for a part of the target
    /// latency.
    pub(super) async fn choose_server(&mut self) -> Result<BalanceChoice, Refusal> {
        let wait_until = self.arrived + self.route.target_latency.mul_f64(CAPACITY_WAIT_SHARE);
        let mut refused_permits = 0;
        loop {
            let chosen = {
                let limits = self.gateway.request_limits.borrow();
                let unlimited_only = refused_permits >= MAX_REFUSED_PERMITS;
                let query = BalanceQuery {
                    service: &self.service,
                    zone: &self.gateway.settings.zone,
                    excluded: &self.tried_servers,
                    cold_requests_per_second: self.cold_requests_per_second,
                    drain_time: self.gateway.settings.bounds.drain,
                    limits: Some(LimitFilter { limits: &limits, unlimited_only }),
                };
                let mut rng = self.gateway.rng.borrow_mut();
                self.gateway.balance.borrow().choose(self.gateway.now(), &query, &mut rng)
            };
            match chosen {
                Ok(choice) => {
                    if obtain_permit(&self.gateway, &choice.incarnation()).await {
                        return Ok(choice);
                    }
                    refused_permits += 1;
                }
                Err(ChoiceError::AllClosed) => {
                    let wait = self.wait_for_opening();
                    if Instant::now() + wait > wait_until {
                        let spread = RETURN_SPREAD.mul_f64(self.gateway.random_share());
                        return Err(self.refusal(RefusalKind::Overloaded, wait + spread));
                    }
                    tokio::time::sleep(wait).await;
                    refused_permits = 0;
                }
                Err(ChoiceError::AllFull) if Instant::now() < wait_until => {
                    refused_permits = 0;
                    let _ = tokio::time::timeout(
                        CAPACITY_POLL_INTERVAL,
                        self.gateway.capacity_changed.notified(),
                    )
                    .await;
                }
                Err(ChoiceError::AllFull) => {
                    return Err(self.refusal(RefusalKind::Overloaded, RETRY_WHEN_FULL));
                }
                Err(ChoiceError::AllTried | ChoiceError::NoneAvailable) => {
                    return Err(self.refusal(RefusalKind::NoServer, RETRY_WHEN_UNAVAILABLE));
                }
            }
        }
    }

    /// Returns the time after which a server that wants no requests now may take this one.
    fn wait_for_opening(&self) -> Duration {
        let now = self.gateway.now();
        let balance = self.gateway.balance.borrow();
        let limits = self.gateway.request_limits.borrow();
        let servers = balance.available_servers(&self.service);
        let untried = servers.filter(|(server, _)| !self.tried_servers.contains(server));
        let openings =
            untried.map(|(server, paused_until)| limits.closed_until(server).max(paused_until));
        let wait = openings.min().unwrap_or_default().saturating_sub(now);
        wait.max(CAPACITY_POLL_INTERVAL)
    }
}
