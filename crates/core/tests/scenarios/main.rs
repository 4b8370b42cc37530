//! Scripted scenarios: one script per failure, run in virtual time against the state
//! machines of the daemon. `UPDATE_GOLDENFILES=1` rewrites the expected outputs; review
//! the diff before committing it.

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
