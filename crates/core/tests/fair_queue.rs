//! Order and bounds of the request queue.
//!
//! Guards against lost or duplicated requests, and against an organisation with many
//! requests that delays all others.

mod support;

use std::time::Duration;

use cuminpick::ids::FastMap;
use cuminpick::queue::FairQueue;
use cuminpick::queue::WaitingRequest;

use crate::support::schedules;

const EXPIRY: Duration = Duration::from_secs(9);

fn waiting(request: u64) -> WaitingRequest {
    WaitingRequest { request, expires_at: EXPIRY }
}

#[test]
fn priority_first() {
    let mut queue = FairQueue::new(10);
    assert!(queue.push(2, "a", waiting(1)));
    assert!(queue.push(7, "a", waiting(2)));
    assert_eq!(queue.pop(), Some((2, EXPIRY)));
    assert_eq!(queue.pop(), Some((1, EXPIRY)));
    assert_eq!(queue.pop(), None);
}

#[test]
fn large_organisation() {
    let mut queue = FairQueue::new(1_000);
    for request in 0..100 {
        queue.push(5, "large", waiting(request));
    }
    assert_eq!(
        queue.ahead_of(5, "small"),
        1,
        "only one request of the other organisation is ahead"
    );
    for request in 100..105 {
        queue.push(5, "small", waiting(request));
    }
    let mut served: FastMap<bool, u32> = FastMap::default();
    for _ in 0..10 {
        let (request, _) = queue.pop().unwrap();
        *served.entry(request >= 100).or_default() += 1;
    }
    assert_eq!(served[&true], 5);
}

#[test]
fn bounded_length() {
    let mut queue = FairQueue::new(1);
    assert!(queue.push(1, "a", waiting(1)));
    assert!(!queue.push(9, "b", waiting(2)));
    assert_eq!(queue.len(), 1);
}

#[test]
fn expired_requests() {
    let mut queue = FairQueue::new(10);
    queue.push(1, "a", WaitingRequest { request: 1, expires_at: Duration::from_secs(1) });
    queue.push(1, "a", WaitingRequest { request: 2, expires_at: Duration::from_secs(3) });
    assert_eq!(queue.take_expired(Duration::from_secs(2)), vec![1]);
    assert!(queue.remove(2));
    assert!(!queue.remove(2));
    assert!(queue.is_empty());
}

#[test]
fn random_schedules() {
    bolero::check!().with_iterations(schedules()).with_type::<Vec<(u8, u8, u8)>>().for_each(
        |steps| {
            let mut queue = FairQueue::new(20);
            let mut queued = std::collections::BTreeSet::new();
            for (number, (kind, priority, organisation)) in steps.iter().enumerate() {
                let request = number as u64;
                let name = format!("o{}", organisation % 4);
                match kind % 4 {
                    0 | 1 => {
                        if queue.push(priority % 10, &name, waiting(request)) {
                            queued.insert(request);
                        }
                    }
                    2 => {
                        if let Some((request, expires_at)) = queue.pop() {
                            assert!(queued.remove(&request), "popped a request that is not queued");
                            if kind % 8 == 2 {
                                let returned = WaitingRequest { request, expires_at };
                                queue.push_front(priority % 10, &name, returned);
                                queued.insert(request);
                            }
                        } else {
                            assert!(queued.is_empty(), "{} requests were lost", queued.len());
                        }
                    }
                    _ => {
                        let target = u64::from(*organisation);
                        assert_eq!(queue.remove(target), queued.remove(&target));
                    }
                }
                assert_eq!(queue.len(), queued.len());
            }
        },
    );
}
