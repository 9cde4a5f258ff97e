//! Records metrics through opentelemetry and renders them in the Prometheus text format.

use std::path::Path;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Clock ticks per second, the unit of CPU time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user CPU time among the fields after the name in `/proc/self/task/T/stat`.
const USER_TICKS_FIELD: usize = 11;

/// Upper bounds of the latency histogram, in seconds: 5 ms to the longest timeout.
const LATENCY_BOUNDS: [f64; 11] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0];

/// Metrics of a process.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    control_bytes: Counter<u64>,
    server_ends: Counter<u64>,
    given_up: Counter<u64>,
    memory_claims: Counter<u64>,
    unreadable_values: Counter<u64>,
    latencies: Histogram<f64>,
    gauges: Gauge<f64>,
    thread_seconds: Gauge<f64>,
}

impl Metrics {
    /// Creates the instruments; `process` is the id of the process.
    pub fn new(process: &str) -> eyre::Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter: Meter = provider.meter("cuminpick");
        let gauge = meter.f64_gauge("cuminpick_process").build();
        gauge.record(1.0, &[KeyValue::new("id", process.to_string())]);
        Ok(Metrics {
            requests: meter.u64_counter("cuminpick_requests").build(),
            refusals: meter.u64_counter("cuminpick_refusals").build(),
            attempts: meter.u64_counter("cuminpick_attempts").build(),
            server_ends: meter.u64_counter("cuminpick_server_ends").build(),
            given_up: meter.u64_counter("cuminpick_missing_first_events").build(),
            memory_claims: meter.u64_counter("cuminpick_memory_claims").build(),
            unreadable_values: meter.u64_counter("cuminpick_unreadable_values").build(),
            control_bytes: meter.u64_counter("cuminpick_control_bytes").build(),
            latencies: meter
                .f64_histogram("cuminpick_latency_seconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            gauges: meter.f64_gauge("cuminpick_state").build(),
            thread_seconds: meter.f64_gauge("cuminpick_thread_seconds").build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a request of `class` by its outcome.
    pub fn count_request(&self, class: &str, outcome: &'static str) {
        let class = KeyValue::new("class", class.to_string());
        self.requests.add(1, &[class, KeyValue::new("outcome", outcome)]);
    }

    /// Counts a refusal by its kind.
    pub fn count_refusal(&self, kind: &'static str) {
        self.refusals.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts an attempt by its outcome; `retry` is set for all but the first of a request.
    pub fn count_attempt(&self, outcome: &'static str, retry: bool) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome), KeyValue::new("retry", retry)]);
    }

    /// Counts the crash of a server by the evidence for it.
    pub fn count_server_end(&self, proof: &'static str) {
        self.server_ends.add(1, &[KeyValue::new("proof", proof)]);
    }

    /// Counts a stream that was given up at its server for its missing first event, by the rule.
    pub fn count_given_up(&self, rule: &'static str) {
        self.given_up.add(1, &[KeyValue::new("rule", rule)]);
    }

    /// Counts a request that waits for the memory of a server, and whether it claimed one.
    pub fn count_memory_claim(&self, claimed: bool) {
        self.memory_claims.add(1, &[KeyValue::new("claimed", claimed)]);
    }

    /// Counts a value that could not be read: in a server's answer, such as `limit`, a datagram,
    /// or a record of the store, by its kind.
    pub fn count_unreadable(&self, value: &'static str) {
        self.unreadable_values.add(1, &[KeyValue::new("value", value)]);
    }

    /// Counts the bytes of a control message, sent (`out`) or received (`in`).
    pub fn count_control(&self, message: &'static str, direction: &'static str, bytes: usize) {
        let labels = [KeyValue::new("message", message), KeyValue::new("direction", direction)];
        self.control_bytes.add(bytes as u64, &labels);
    }

    /// Records the duration of a request or of one of its stages.
    pub fn record_latency(&self, stage: &'static str, class: &str, duration: Duration) {
        let labels = [KeyValue::new("stage", stage), KeyValue::new("class", class.to_string())];
        self.latencies.record(duration.as_secs_f64(), &labels);
    }

    /// Sets a gauge of the process's state, such as a limit or a queue length.
    pub fn set_state(&self, name: &'static str, value: f64) {
        self.gauges.record(value, &[KeyValue::new("name", name)]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        for (name, seconds) in thread_times() {
            self.thread_seconds.record(seconds.as_secs_f64(), &[KeyValue::new("thread", name)]);
        }
        let encoder = TextEncoder::new();
        encoder.encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

/// Returns the CPU time of this process's threads, summed by thread name.
pub fn thread_times() -> Vec<(String, Duration)> {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return Vec::new();
    };
    let mut times: Vec<(String, Duration)> = Vec::new();
    for task in tasks.flatten() {
        let Some((name, time)) = read_thread_time(&task.path()) else {
            continue;
        };
        match times.iter_mut().find(|(known, _)| *known == name) {
            Some((_, sum)) => *sum += time,
            None => times.push((name, time)),
        }
    }
    times
}

/// Reads the name and CPU time of a thread from its `/proc` directory.
fn read_thread_time(task: &Path) -> Option<(String, Duration)> {
    let stat = std::fs::read_to_string(task.join("stat")).ok()?;
    let (before, after) = stat.rsplit_once(')')?;
    let (_, name) = before.split_once('(')?;
    let mut fields = after.split_whitespace().skip(USER_TICKS_FIELD);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    let seconds = (user + system) / TICKS_PER_SECOND;
    Some((name.to_string(), Duration::from_secs_f64(seconds)))
}
