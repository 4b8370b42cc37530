//! Scripted scenarios: one file for each failure, in virtual time, over the
//! daemon's own state machines. `UPDATE_GOLDENFILES=1` rewrites the expected
//! output; read the difference before keeping it.

mod engine;
mod links;
mod script;
mod service;

use std::path::PathBuf;

use rstest::rstest;

#[rstest]
fn scenario(#[files("tests/scenarios/scripts/*.script")] path: PathBuf) {
    let mut runner = script::Script::default();
    goldenscript::run(&mut runner, path).expect("script must be readable");
}
