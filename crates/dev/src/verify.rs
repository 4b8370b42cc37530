//! Verifies the outcomes that callers saw against the ledgers of the targets.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::caller::{CallResult, Outcome};

/// A finished call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Identifier of the request, as written in the ledger.
    pub request_id: SmolStr,
    /// Service that was called.
    pub service: SmolStr,
    /// Whether the call must not run more than once.
    pub at_most_once: bool,
    /// Result that the caller saw.
    pub result: CallResult,
}

/// Call counts by outcome, and counts of violated guarantees.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Calls made.
    pub calls: usize,
    /// Calls that got their own complete response.
    pub answered: usize,
    /// Calls reported as `not-run`.
    pub not_run: usize,
    /// Calls reported as `unknown`: they may have run.
    pub unknown: usize,
    /// Responses that are incomplete or belong to another call.
    pub wrong: usize,
    /// At-most-once calls that ran more than once.
    pub run_twice: usize,
    /// Calls reported as `not-run` that have a run in a ledger.
    pub refused_but_run: usize,
}

/// Counts outcomes and violations; `runs` holds the runs of each request ID.
#[must_use]
pub fn summarize(records: &[CallRecord], runs: &BTreeMap<SmolStr, u32>) -> Summary {
    let mut summary = Summary {
        calls: records.len(),
        ..Summary::default()
    };
    for record in records {
        let run_count = runs.get(&record.request_id).copied().unwrap_or(0);
        match record.result.outcome {
            Outcome::Answered { .. } => summary.answered += 1,
            Outcome::NotRun(_) => summary.not_run += 1,
            Outcome::Unknown(_) => summary.unknown += 1,
            Outcome::Wrong(_) => summary.wrong += 1,
        }
        summary.run_twice += usize::from(record.at_most_once && run_count > 1);
        let refused = matches!(record.result.outcome, Outcome::NotRun(_));
        summary.refused_but_run += usize::from(refused && run_count > 0);
    }
    summary
}
