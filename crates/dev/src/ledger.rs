//! Ledger of every run at a target, written by the target stand-in.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Header by which a caller of the tools names its request.
pub const REQUEST: &str = "x-request";

/// One step of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Name that the caller gave the request.
    pub request: SmolStr,
    /// Method and path.
    pub route: SmolStr,
    /// What happened.
    pub step: Step,
}

/// Steps of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The run began.
    Begin,
    /// The run ended.
    End,
    /// The call was refused before it began.
    Shed,
    /// The run ended early because it was told to.
    Cancelled,
    /// The connection closed while the run was under way.
    Cut,
}

/// A ledger being written.
#[derive(Debug)]
pub struct Ledger(Option<File>);

impl Ledger {
    /// Appends to a file; without one nothing is written.
    ///
    /// # Errors
    /// The file can not be opened.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        path.map(open).transpose().map(Self)
    }

    /// Writes one line at once, so that a kill loses nothing.
    ///
    /// # Errors
    /// The line can not be written.
    pub fn write(&mut self, line: &Line) -> io::Result<()> {
        if let Some(f) = &mut self.0 {
            let mut text = serde_json::to_vec(line).unwrap_or_default();
            text.push(b'\n');
            f.write_all(&text)?;
        }
        Ok(())
    }
}

/// Runs begun by request, over several ledgers.
///
/// # Errors
/// A file can not be read, or holds something else.
pub fn runs<'a>(paths: impl Iterator<Item = &'a Path>) -> io::Result<BTreeMap<SmolStr, u32>> {
    let mut runs = BTreeMap::new();
    for path in paths {
        for line in fs::read_to_string(path)?.lines() {
            let line: Line = serde_json::from_str(line)?;
            if line.step == Step::Begin {
                *runs.entry(line.request).or_default() += 1;
            }
        }
    }
    Ok(runs)
}
