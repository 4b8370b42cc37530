//! Judges what callers were told by what the targets' ledgers say.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::caller::{Ended, Told};

/// A call with its ending, for judging.
#[derive(Clone, Debug)]
pub struct Made {
    /// Name of the request.
    pub request: SmolStr,
    /// Service that was called.
    pub service: SmolStr,
    /// Whether the call may run at most once.
    pub once: bool,
    /// Its ending.
    pub ended: Ended,
}

/// Totals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Calls made.
    pub calls: usize,
    /// Calls answered whole and to the right caller.
    pub answered: usize,
    /// Calls refused as not run.
    pub not_run: usize,
    /// Calls whose caller was told that nobody knows.
    pub unknown: usize,
    /// Answers that are not whole or not the caller's own.
    pub wrong: usize,
    /// Calls that must not repeat, yet ran more than once.
    pub run_twice: usize,
    /// Calls refused as not run, yet in a ledger.
    pub not_run_yet_run: usize,
}

/// Judges calls by the runs in the ledgers.
#[must_use]
pub fn judge(made: &[Made], runs: &BTreeMap<SmolStr, u32>) -> Verdict {
    let mut verdict = Verdict {
        calls: made.len(),
        ..Verdict::default()
    };
    for call in made {
        let ran = runs.get(&call.request).copied().unwrap_or(0);
        match call.ended.told {
            Told::Answered { .. } => verdict.answered += 1,
            Told::NotRun(_) => verdict.not_run += 1,
            Told::Unknown(_) => verdict.unknown += 1,
            Told::Wrong(_) => verdict.wrong += 1,
        }
        verdict.run_twice += usize::from(call.once && ran > 1);
        let refused = matches!(call.ended.told, Told::NotRun(_));
        verdict.not_run_yet_run += usize::from(refused && ran > 0);
    }
    verdict
}
