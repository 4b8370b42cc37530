//! Metrics of the daemon: OpenTelemetry instruments, exported to Prometheus.

use std::time::Duration;

use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry::{KeyValue, Value};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use pollenrouter_core::call::Refusal;
use pollenrouter_core::{hint, membership};
use pollenrouter_http::memory::Memory;
use prometheus::{Encoder, TextEncoder};

use crate::error::Error;
use crate::fleet::staleness;
use crate::memory_metrics;
use crate::quota;

const METER_NAME: &str = "pollenrouter";

/// OpenTelemetry instruments of one daemon.
pub struct Instruments {
    calls: Counter<u64>,
    call_duration: Histogram<f64>,
    refusals: Counter<u64>,
    probes: Counter<u64>,
    running: Gauge<u64>,
    waiting: Gauge<u64>,
    slowness: Gauge<u64>,
    load_requests: Counter<u64>,
    starts: Counter<u64>,
    recorded_calls: Gauge<u64>,
    members: Gauge<u64>,
    table_version: Gauge<u64>,
    announced_table: Gauge<u64>,
    table_age: Gauge<f64>,
    received_values: Counter<u64>,
    platform_silence: Gauge<f64>,
    evacuated_domains: Gauge<u64>,
    evacuated: Gauge<u64>,
    target_cold: Gauge<f64>,
    quota_calls: Counter<u64>,
    quota_messages: Counter<u64>,
    quota_tokens: Counter<u64>,
    quota_organisations: Gauge<u64>,
    quota_waiting: Gauge<u64>,
    listener_counters: ListenerCounters,
    _provider: SdkMeterProvider,
}

/// What became of the check of a caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// An organisation holds the key.
    Known,
    /// No organisation holds the key, and the route needs one.
    Unknown,
    /// The request carries no key, and the route needs one.
    Missing,
    /// No organisation holds a key of the request, and the route needs none.
    NotNeeded,
}

/// Counter of the checks of callers' keys, by outcome.
#[derive(Clone)]
pub struct KeyChecks(Counter<u64>);

impl KeyChecks {
    /// Counts a check.
    pub fn count(&self, outcome: KeyOutcome) {
        let label = match outcome {
            KeyOutcome::Known => "known",
            KeyOutcome::Unknown => "unknown",
            KeyOutcome::Missing => "missing",
            KeyOutcome::NotNeeded => "not_needed",
        };
        self.0.add(1, &[KeyValue::new("outcome", label)]);
    }
}

/// Counter of the requests that the listeners refuse, by reason.
#[derive(Clone)]
pub struct ListenerRefusals(Counter<u64>);

impl ListenerRefusals {
    /// Counts a refusal.
    pub fn count(&self, refusal: Refusal) {
        let reason = label_value(&refusal.to_string());
        self.0.add(1, &[KeyValue::new("reason", reason)]);
    }
}

/// Counters of the listeners.
#[derive(Clone)]
pub struct ListenerCounters {
    /// Checks of callers' keys.
    pub keys: KeyChecks,
    /// Requests that are refused before they reach the router.
    pub refusals: ListenerRefusals,
}

/// Creates the instruments, and the registry that [`render`] reads them from.
pub fn build(memory: &Memory) -> Result<(Instruments, prometheus::Registry), Error> {
    let registry = prometheus::Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .build()
        .map_err(|err| Error::Metrics(err.to_string()))?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    let meter = provider.meter(METER_NAME);
    memory_metrics::register(&meter, memory);
    let instruments = Instruments {
        calls: meter.u64_counter("pollenrouter_calls").build(),
        call_duration: meter.f64_histogram("pollenrouter_call_seconds").build(),
        refusals: meter.u64_counter("pollenrouter_refusals").build(),
        probes: meter.u64_counter("pollenrouter_probes").build(),
        running: meter.u64_gauge("pollenrouter_gate_running").build(),
        waiting: meter.u64_gauge("pollenrouter_gate_waiting").build(),
        slowness: meter.u64_gauge("pollenrouter_gate_slowness").build(),
        load_requests: meter.u64_counter("pollenrouter_load_questions").build(),
        starts: meter.u64_counter("pollenrouter_gate_starts").build(),
        recorded_calls: meter.u64_gauge("pollenrouter_gate_remembered").build(),
        members: meter.u64_gauge("pollenrouter_members").build(),
        table_version: meter.u64_gauge("pollenrouter_table_version").build(),
        announced_table: meter
            .u64_gauge("pollenrouter_announced_table_version")
            .build(),
        received_values: meter.u64_counter("pollenrouter_gossip_value_bytes").build(),
        table_age: meter.f64_gauge("pollenrouter_table_age_seconds").build(),
        platform_silence: meter
            .f64_gauge("pollenrouter_platform_silence_seconds")
            .build(),
        evacuated_domains: meter.u64_gauge("pollenrouter_evacuated_domains").build(),
        target_cold: meter.f64_gauge("pollenrouter_target_cold_seconds").build(),
        evacuated: meter.u64_gauge("pollenrouter_gate_evacuated").build(),
        quota_calls: meter.u64_counter("pollenrouter_quota_calls").build(),
        quota_messages: meter.u64_counter("pollenrouter_quota_messages").build(),
        quota_tokens: meter.u64_counter("pollenrouter_quota_tokens").build(),
        quota_organisations: meter.u64_gauge("pollenrouter_quota_organisations").build(),
        quota_waiting: meter.u64_gauge("pollenrouter_quota_waiting").build(),
        listener_counters: ListenerCounters {
            keys: KeyChecks(meter.u64_counter("pollenrouter_keys").build()),
            refusals: ListenerRefusals(meter.u64_counter("pollenrouter_listener_refusals").build()),
        },
        _provider: provider,
    };
    Ok((instruments, registry))
}

/// Renders all metrics in the Prometheus text format.
pub fn render(registry: &prometheus::Registry) -> String {
    let mut buf = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut buf) {
        Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
        Err(err) => format!("# could not render metrics: {err}\n"),
    }
}

impl Instruments {
    /// Counts a call that ended, and records how long it took.
    pub fn count_call(
        &self,
        service: &str,
        outcome: &'static str,
        reason: &str,
        duration: Duration,
    ) {
        let labels = [
            KeyValue::new("service", label_value(service)),
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", label_value(reason)),
        ];
        self.calls.add(1, &labels);
        self.call_duration
            .record(duration.as_secs_f64(), &labels[..2]);
    }

    /// Counts a call that was refused, by the rank of the call.
    pub fn count_refusal(&self, reason: &str, rank: u8) {
        let labels = [
            KeyValue::new("reason", label_value(reason)),
            KeyValue::new("rank", i64::from(rank)),
        ];
        self.refusals.add(1, &labels);
    }

    /// The counters of the listeners.
    pub fn listener_counters(&self) -> ListenerCounters {
        self.listener_counters.clone()
    }

    /// Counts a probe of the target.
    pub fn count_probe(&self) {
        self.probes.add(1, &[]);
    }

    /// Counts a request to the target for its load.
    pub fn count_load_request(&self) {
        self.load_requests.add(1, &[]);
    }

    /// Counts a call that starts at the target.
    pub fn count_start(&self) {
        self.starts.add(1, &[]);
    }

    /// Sets the gauges for the load of the gate, its recorded calls and the members of
    /// the fleet.
    pub fn record_gauges(&self, hint: &hint::Hint, recorded_calls: usize, members: usize) {
        self.running.record(hint.running.into(), &[]);
        self.waiting.record(hint.waiting.into(), &[]);
        self.slowness.record(hint.slowness.into(), &[]);
        self.recorded_calls.record(recorded_calls as u64, &[]);
        self.members.record(members as u64, &[]);
    }

    /// Sets the gauges for the active table and for the latest news of the platform.
    pub fn record_staleness(&self, report: staleness::Report) {
        let to_seconds = |millis| Duration::from_millis(millis).as_secs_f64();
        self.table_version.record(report.table, &[]);
        self.announced_table.record(report.announced_table, &[]);
        self.table_age.record(to_seconds(report.table_age_ms), &[]);
        self.platform_silence
            .record(to_seconds(report.silent_ms), &[]);
    }

    /// Adds to the counters of the values that other daemons have sent, bytes.
    pub fn count_received_values(&self, received: membership::Received) {
        let counts = [("new", received.new_bytes), ("known", received.known_bytes)];
        for (outcome, bytes) in counts {
            self.received_values
                .add(bytes, &[KeyValue::new("outcome", outcome)]);
        }
    }

    /// Sets the gauge for the time for which the target stays cold.
    pub fn record_cold(&self, remaining: Duration) {
        self.target_cold.record(remaining.as_secs_f64(), &[]);
    }

    /// Sets the gauges for the number of evacuated failure domains, and for whether that of this
    /// host is one of them.
    pub fn record_evacuations(&self, domains: usize, is_own_evacuated: bool) {
        self.evacuated_domains.record(domains as u64, &[]);
        self.evacuated.record(is_own_evacuated.into(), &[]);
    }

    /// Adds to the counters of quotas, and sets their gauges. A counter appears with its first
    /// event, so that without quotas there are none.
    pub fn record_quotas(&self, counts: &quota::Counts, sizes: &quota::Sizes) {
        let counters = [
            (&self.quota_calls, "outcome", "admitted", counts.admitted),
            (&self.quota_calls, "outcome", "floor", counts.floor),
            (&self.quota_calls, "outcome", "used-up", counts.used_up),
            (&self.quota_calls, "outcome", "unknown", counts.unknown),
            (&self.quota_messages, "kind", "ask", counts.asks),
            (&self.quota_messages, "kind", "grant", counts.grants),
            (&self.quota_tokens, "kind", "granted", counts.granted),
            (&self.quota_tokens, "kind", "given-back", counts.given_back),
        ];
        for (counter, label, value, count) in counters.into_iter().filter(|c| c.3 > 0) {
            counter.add(count, &[KeyValue::new(label, value)]);
        }
        self.quota_organisations
            .record(sizes.demands as u64, &[KeyValue::new("side", "entry")]);
        self.quota_organisations
            .record(sizes.buckets as u64, &[KeyValue::new("side", "holder")]);
        self.quota_waiting.record(sizes.waiting as u64, &[]);
    }
}

fn label_value(text: &str) -> Value {
    Value::from(text.to_owned())
}
