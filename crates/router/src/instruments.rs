//! Metrics.

use std::time::Duration;

use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry::{KeyValue, Value};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use pollenrouter_core::hint;
use prometheus::{Encoder, TextEncoder};

use crate::error::Error;

const NAME: &str = "pollenrouter";

/// Instruments of one daemon.
pub struct Instruments {
    calls: Counter<u64>,
    seconds: Histogram<f64>,
    probes: Counter<u64>,
    running: Gauge<u64>,
    waiting: Gauge<u64>,
    slowness: Gauge<u64>,
    questions: Counter<u64>,
    remembered: Gauge<u64>,
    members: Gauge<u64>,
    _provider: SdkMeterProvider,
}

/// Instruments, and the registry to render them from.
pub fn start() -> Result<(Instruments, prometheus::Registry), Error> {
    let registry = prometheus::Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .build()
        .map_err(|err| Error::Metrics(err.to_string()))?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    let meter = provider.meter(NAME);
    let instruments = Instruments {
        calls: meter.u64_counter("pollenrouter_calls").build(),
        seconds: meter.f64_histogram("pollenrouter_call_seconds").build(),
        probes: meter.u64_counter("pollenrouter_probes").build(),
        running: meter.u64_gauge("pollenrouter_gate_running").build(),
        waiting: meter.u64_gauge("pollenrouter_gate_waiting").build(),
        slowness: meter.u64_gauge("pollenrouter_gate_slowness").build(),
        questions: meter.u64_counter("pollenrouter_load_questions").build(),
        remembered: meter.u64_gauge("pollenrouter_gate_remembered").build(),
        members: meter.u64_gauge("pollenrouter_members").build(),
        _provider: provider,
    };
    Ok((instruments, registry))
}

/// All metrics as text for scraping.
pub fn render(registry: &prometheus::Registry) -> String {
    let mut buf = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut buf) {
        Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
        Err(err) => format!("# could not render metrics: {err}\n"),
    }
}

impl Instruments {
    /// Counts a call that ended.
    pub fn ended(&self, service: &str, outcome: &'static str, reason: &str, took: Duration) {
        let labels = [
            KeyValue::new("service", text(service)),
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", text(reason)),
        ];
        self.calls.add(1, &labels);
        self.seconds.record(took.as_secs_f64(), &labels[..2]);
    }

    /// Counts a probe of the target.
    pub fn probed(&self) {
        self.probes.add(1, &[]);
    }

    /// Counts a question for the target's load.
    pub fn asked_load(&self) {
        self.questions.add(1, &[]);
    }

    /// Sets the gate's load.
    pub fn gate(&self, hint: &hint::Hint, remembered: usize, members: usize) {
        self.running.record(hint.running.into(), &[]);
        self.waiting.record(hint.waiting.into(), &[]);
        self.slowness.record(hint.slowness.into(), &[]);
        self.remembered.record(remembered as u64, &[]);
        self.members.record(members as u64, &[]);
    }
}

fn text(text: &str) -> Value {
    Value::from(text.to_owned())
}
