//! Ledger of all runs at a target, written by the target stand-in as JSON lines.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Header with the request ID, set by the callers of this package.
pub const REQUEST_ID_HEADER: &str = "x-request";

/// One event of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// Request ID chosen by the caller.
    pub request: SmolStr,
    /// Method and path.
    pub route: SmolStr,
    /// Event of the run.
    pub step: Step,
}

/// Event in the life of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The run began.
    Begin,
    /// The run ended.
    End,
    /// The call was shed before it began.
    Shed,
    /// The run was cancelled by request.
    Cancelled,
    /// The connection closed during the run.
    Cut,
}

/// Ledger opened for appending; `None` discards the records.
#[derive(Debug)]
pub struct Ledger(Option<File>);

impl Ledger {
    /// Opens a file for appending; without a path, records are discarded.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        path.map(open).transpose().map(Self)
    }

    /// Writes a record unbuffered, so that a killed process loses none.
    ///
    /// # Errors
    /// The record cannot be written.
    pub fn write(&mut self, record: &LedgerRecord) -> io::Result<()> {
        if let Some(f) = &mut self.0 {
            let mut text = serde_json::to_vec(record).unwrap_or_default();
            text.push(b'\n');
            f.write_all(&text)?;
        }
        Ok(())
    }
}

/// Number of runs begun for each request ID, over several ledgers.
///
/// # Errors
/// A file cannot be read or contains a malformed record.
pub fn count_runs<'a>(paths: impl Iterator<Item = &'a Path>) -> io::Result<BTreeMap<SmolStr, u32>> {
    let mut runs = BTreeMap::new();
    for path in paths {
        for line in fs::read_to_string(path)?.lines() {
            let record: LedgerRecord = serde_json::from_str(line)?;
            if record.step == Step::Begin {
                *runs.entry(record.request).or_default() += 1;
            }
        }
    }
    Ok(runs)
}
