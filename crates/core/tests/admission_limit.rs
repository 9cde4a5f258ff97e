//! Admission limit against a simulated backend server whose capacity it has to find out.
//!
//! Guards against limits above the capacity while a server warms up, after a restart and
//! after a sudden slowdown, and against limits that stay far below it.

mod support;

use std::time::Duration;

use cuminpick::ids::ChoiceRng;
use cuminpick::limit::AdmissionLimit;
use cuminpick::limit::LimitSettings;

use crate::support::schedules;

/// Returns the step time of a server with this capacity, in concurrent requests.
fn step_time(in_flight: u32, capacity: f64) -> Duration {
    let load = f64::from(in_flight) / capacity;
    Duration::from_millis(20).mul_f64(1.0 + 0.6 * load * load)
}

struct SimulatedServer {
    limit: AdmissionLimit,
    now: Duration,
    overruns: u32,
}

impl SimulatedServer {
    fn new() -> SimulatedServer {
        let limit = AdmissionLimit::new(LimitSettings::default());
        SimulatedServer { limit, now: Duration::ZERO, overruns: 0 }
    }

    /// Runs steps for `length` while `offered` requests always ask for admission.
    fn run(&mut self, length: Duration, offered: u32, capacity_at: impl Fn(Duration) -> f64) {
        let end = self.now + length;
        while self.now < end {
            let capacity = capacity_at(self.now);
            while self.limit.in_flight() < offered && self.limit.try_admit(self.now) {
                let above_capacity = f64::from(self.limit.in_flight()) > capacity;
                self.overruns += u32::from(above_capacity);
            }
            let step = step_time(self.limit.in_flight(), capacity);
            self.now += step;
            for _ in 0..self.limit.in_flight() {
                self.limit.observe(self.now, step);
            }
            if self.limit.in_flight() > 0 {
                self.limit.finish(self.now, true);
            }
        }
    }

    fn drain(&mut self) {
        while self.limit.in_flight() > 0 {
            self.limit.finish(self.now, true);
        }
    }
}

/// Returns a capacity that grows from 3 to `full` over eight seconds from `start`.
fn warm_up_from(start: Duration, full: f64) -> impl Fn(Duration) -> f64 {
    move |now| {
        let warmed = now.saturating_sub(start).as_secs_f64() / 8.0;
        3.0 + (full - 3.0) * warmed.min(1.0)
    }
}

#[test]
fn cold_start() {
    for full in [6.0, 12.0, 32.0, 100.0] {
        let mut server = SimulatedServer::new();
        server.run(Duration::from_secs(60), 1_000, warm_up_from(Duration::ZERO, full));
        assert_eq!(server.overruns, 0, "capacity {full}");
        let used = f64::from(server.limit.limit()) / full;
        assert!(used > 0.6, "capacity {full} but limit {}", server.limit.limit());
    }
}

#[test]
fn restart_floor() {
    let mut server = SimulatedServer::new();
    server.run(Duration::from_secs(40), 1_000, warm_up_from(Duration::ZERO, 32.0));
    assert!(server.limit.limit() > 16);
    server.drain();
    server.limit.reset(server.now);
    let restarted_at = server.now;
    server.run(Duration::from_secs(40), 1_000, warm_up_from(restarted_at, 32.0));
    assert_eq!(server.overruns, 0);
    assert!(server.limit.limit() > 16);
}

#[test]
fn sudden_slowdown() {
    let mut server = SimulatedServer::new();
    server.run(Duration::from_secs(40), 1_000, warm_up_from(Duration::ZERO, 32.0));
    let before = server.limit.limit();
    let slowed_at = server.now;
    let step = step_time(server.limit.in_flight(), 3.0);
    for _ in 0..2 {
        server.now += step;
        server.limit.observe(server.now, step);
    }
    assert!(
        server.limit.limit() <= 2,
        "limit is {} after the slowdown, {before} before",
        server.limit.limit()
    );
    server.drain();
    server.run(Duration::from_secs(40), 1_000, warm_up_from(slowed_at, 32.0));
    assert_eq!(server.overruns, 0);
}

#[test]
fn single_late_step() {
    let mut server = SimulatedServer::new();
    server.run(Duration::from_secs(40), 1_000, warm_up_from(Duration::ZERO, 32.0));
    let before = server.limit.limit();
    server.now += Duration::from_millis(200);
    for _ in 0..server.limit.in_flight() {
        server.limit.observe(server.now, Duration::from_millis(200));
    }
    let after = f64::from(server.limit.limit());
    assert!(
        after > f64::from(before) * 0.7,
        "one late step cut the limit from {before} to {after}"
    );
}

#[test]
fn stalled_server() {
    let mut limit = AdmissionLimit::new(LimitSettings::default());
    limit.observe(Duration::from_secs(1), Duration::from_millis(20));
    assert!(limit.try_admit(Duration::from_secs(1)));
    assert!(!limit.try_admit(Duration::from_secs(4)), "no progress for three seconds");
    limit.observe(Duration::from_secs(4), Duration::from_millis(20));
    assert!(limit.try_admit(Duration::from_secs(4)));
}

#[test]
fn random_schedules() {
    bolero::check!().with_iterations(schedules()).with_type::<(u64, Vec<(u8, u16)>)>().for_each(
        |(seed, steps)| {
            let mut rng = ChoiceRng::new(*seed);
            let mut limit =
                AdmissionLimit::new(LimitSettings { ceiling: 16, ..Default::default() });
            let mut now = Duration::ZERO;
            let mut in_flight = 0_u32;
            for (kind, amount) in steps {
                now += Duration::from_millis(u64::from(*amount % 500));
                match kind % 5 {
                    0 | 1 => in_flight += u32::from(limit.try_admit(now)),
                    2 if in_flight > 0 => {
                        in_flight -= 1;
                        limit.finish(now, rng.below(4) > 0);
                    }
                    3 => limit.observe(now, Duration::from_micros(u64::from(*amount) * 10)),
                    4 if amount % 50 == 0 => limit.reset(now),
                    _ => {}
                }
                assert_eq!(limit.in_flight(), in_flight);
                assert!((1..=16).contains(&limit.limit()));
            }
        },
    );
}
