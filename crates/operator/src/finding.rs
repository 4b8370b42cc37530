//! Findings: everything that is wrong with a text, each with its place.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Finding {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}
