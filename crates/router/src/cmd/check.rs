//! `pollenrouter check`.

use std::path::Path;

use pollenrouter_operator::finding::Finding;
use pollenrouter_operator::{document, settings};

use crate::cli;
use crate::cmd;
use crate::error::Error;

/// Checks every file before it fails for any.
pub fn run(args: &cli::Check) -> Result<(), Error> {
    let mut count = 0;
    for path in &args.files {
        let text = cmd::read(path)?;
        count += print(path, &findings(&text));
    }
    if count > 0 {
        return Err(Error::Findings(count));
    }
    Ok(())
}

/// Prints findings with the file's name; returns their number.
pub fn print(path: &Path, findings: &[Finding]) -> usize {
    for finding in findings {
        println!("{}:{finding}", path.display());
    }
    findings.len()
}

fn findings(text: &str) -> Vec<Finding> {
    let as_settings = || settings::check(text).err().unwrap_or_default();
    let as_document = || document::check(text).err().unwrap_or_default();
    if looks_like_settings(text) {
        as_settings()
    } else {
        as_document()
    }
}

/// Settings name a host or listeners; documents name neither.
fn looks_like_settings(text: &str) -> bool {
    let names = ["host:", "listen:", "failure_domain:"];
    text.lines()
        .any(|line| names.iter().any(|name| line.starts_with(name)))
}
