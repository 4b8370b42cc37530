//! Metrics of the daemon: OpenTelemetry instruments, exported to Prometheus.

use std::time::Duration;

use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry::{KeyValue, Value};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use pollenrouter_core::hint;
use pollenrouter_http::memory::Memory;
use prometheus::{Encoder, TextEncoder};

use crate::error::Error;
use crate::fleet::staleness;
use crate::memory_metrics;

const METER_NAME: &str = "pollenrouter";

/// OpenTelemetry instruments of one daemon.
pub struct Instruments {
    calls: Counter<u64>,
    call_duration: Histogram<f64>,
    probes: Counter<u64>,
    running: Gauge<u64>,
    waiting: Gauge<u64>,
    slowness: Gauge<u64>,
    load_requests: Counter<u64>,
    starts: Counter<u64>,
    recorded_calls: Gauge<u64>,
    members: Gauge<u64>,
    table_version: Gauge<u64>,
    table_age: Gauge<f64>,
    platform_silence: Gauge<f64>,
    _provider: SdkMeterProvider,
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
        probes: meter.u64_counter("pollenrouter_probes").build(),
        running: meter.u64_gauge("pollenrouter_gate_running").build(),
        waiting: meter.u64_gauge("pollenrouter_gate_waiting").build(),
        slowness: meter.u64_gauge("pollenrouter_gate_slowness").build(),
        load_requests: meter.u64_counter("pollenrouter_load_questions").build(),
        starts: meter.u64_counter("pollenrouter_gate_starts").build(),
        recorded_calls: meter.u64_gauge("pollenrouter_gate_remembered").build(),
        members: meter.u64_gauge("pollenrouter_members").build(),
        table_version: meter.u64_gauge("pollenrouter_table_version").build(),
        table_age: meter.f64_gauge("pollenrouter_table_age_seconds").build(),
        platform_silence: meter
            .f64_gauge("pollenrouter_platform_silence_seconds")
            .build(),
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
        self.table_age.record(to_seconds(report.table_age_ms), &[]);
        self.platform_silence
            .record(to_seconds(report.silent_ms), &[]);
    }
}

fn label_value(text: &str) -> Value {
    Value::from(text.to_owned())
}
