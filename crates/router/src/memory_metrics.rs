//! Metrics of the memory budget.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;
use pollenrouter_core::memory::Class;
use pollenrouter_http::memory::Memory;

/// Registers the metrics; they are read when they are collected.
pub fn register(meter: &Meter, memory: &Memory) {
    let limit = memory.clone();
    meter
        .u64_observable_gauge("pollenrouter_memory_limit_bytes")
        .with_callback(move |observer| observer.observe(limit.report().limit, &[]))
        .build();
    let used = memory.clone();
    meter
        .u64_observable_gauge("pollenrouter_memory_used_bytes")
        .with_callback(move |observer| {
            let report = used.report();
            each_class(|at, label| {
                observer.observe(report.used[at], label);
            });
        })
        .build();
    let waiting = memory.clone();
    meter
        .u64_observable_gauge("pollenrouter_memory_waiting")
        .with_callback(move |observer| {
            let report = waiting.report();
            each_class(|at, label| {
                observer.observe(report.waiting[at] as u64, label);
            });
        })
        .build();
    let longest_wait = memory.clone();
    meter
        .f64_observable_gauge("pollenrouter_memory_longest_wait_seconds")
        .with_callback(move |observer| {
            let report = longest_wait.report();
            each_class(|at, label| {
                observer.observe(report.longest_wait[at].as_secs_f64(), label);
            });
        })
        .build();
    let waited = memory.clone();
    meter
        .f64_observable_counter("pollenrouter_memory_waited_seconds")
        .with_callback(move |observer| {
            let report = waited.report();
            each_class(|at, label| {
                observer.observe(report.waited[at].as_secs_f64(), label);
            });
        })
        .build();
    let queued = memory.clone();
    meter
        .u64_observable_gauge("pollenrouter_memory_queued")
        .with_callback(move |observer| observer.observe(queued.queued() as u64, &[]))
        .build();
    let gave_way = memory.clone();
    meter
        .u64_observable_counter("pollenrouter_memory_gave_way")
        .with_callback(move |observer| {
            let report = gave_way.report();
            each_class(|at, label| {
                observer.observe(report.refused[at], label);
            });
        })
        .build();
}

/// Calls `observe` with the place of each class in a report and its label.
fn each_class(observe: impl Fn(usize, &[KeyValue])) {
    for (at, class) in Class::ALL.into_iter().enumerate() {
        let name = match class {
            Class::Request => "request",
            Class::Answer => "answer",
        };
        observe(at, &[KeyValue::new("class", name)]);
    }
}
