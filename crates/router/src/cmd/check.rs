//! `pollenrouter check`.

use std::path::Path;

use pollenrouter_operator::finding::Finding;
use pollenrouter_operator::{document, settings};

use crate::cli;
use crate::cmd;
use crate::error::Error;

/// Checks all files, and fails afterwards if any has findings.
pub fn run(args: &cli::Check) -> Result<(), Error> {
    let mut count = 0;
    for path in &args.files {
        let text = cmd::read_file(path)?;
        count += print_findings(path, &check_text(&text));
    }
    if count > 0 {
        return Err(Error::Findings(count));
    }
    Ok(())
}

/// Prints findings with the path of their file; returns their number.
pub fn print_findings(path: &Path, findings: &[Finding]) -> usize {
    for finding in findings {
        println!("{}:{finding}", path.display());
    }
    findings.len()
}

fn check_text(text: &str) -> Vec<Finding> {
    let as_settings = || settings::check(text).err().unwrap_or_default();
    let as_document = || document::check(text).err().unwrap_or_default();
    if looks_like_settings(text) {
        as_settings()
    } else {
        as_document()
    }
}

/// Whether the text has a top-level field that occurs in settings only.
fn looks_like_settings(text: &str) -> bool {
    let settings_fields = ["host:", "listen:", "failure_domain:"];
    text.lines()
        .any(|line| settings_fields.iter().any(|field| line.starts_with(field)))
}
