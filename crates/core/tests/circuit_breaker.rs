//! Guards against requests that use up their attempts at a group of ranks that is down for
//! a few seconds and refuses all of them.

use std::time::Duration;

use cuminpick::breaker::BreakerState;
use cuminpick::breaker::CircuitBreaker;

#[test]
fn few_probes_while_down() {
    let mut breaker = CircuitBreaker::default();
    let mut sent = 0;
    // A request every 10 ms; the group is down for the first 1.8 seconds.
    for step in 0..300_u32 {
        let now = Duration::from_millis(10) * step;
        let down = step < 180;
        match breaker.state(now) {
            BreakerState::Open => continue,
            BreakerState::HalfOpen => breaker.record_probe(now),
            BreakerState::Closed => {}
        }
        if down {
            sent += 1;
            breaker.record_refusal(now);
        } else {
            breaker.record_success();
            assert_eq!(breaker.state(now), BreakerState::Closed);
        }
    }
    assert!(sent <= 20, "{sent} requests were sent in vain");
}

#[test]
fn single_refusals_pass() {
    let mut breaker = CircuitBreaker::default();
    for _ in 0..10 {
        breaker.record_refusal(Duration::ZERO);
        breaker.record_refusal(Duration::ZERO);
        assert_eq!(breaker.state(Duration::ZERO), BreakerState::Closed);
        breaker.record_success();
    }
}

#[test]
fn probe_closes_breaker() {
    let mut breaker = CircuitBreaker::default();
    for _ in 0..3 {
        breaker.record_refusal(Duration::ZERO);
    }
    assert_eq!(breaker.state(Duration::ZERO), BreakerState::Open);
    assert_eq!(breaker.state(Duration::from_millis(120)), BreakerState::HalfOpen);
    assert!(breaker.record_success());
    assert_eq!(breaker.state(Duration::from_millis(120)), BreakerState::Closed);
}
