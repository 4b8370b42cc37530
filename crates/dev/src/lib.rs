//! Stand-ins for targets and the platform, and tools that run and verify whole
//! deployments on one machine. The product never links this package.

pub mod caller;
pub mod deployment;
pub mod error;
pub mod faulty;
pub mod fleet;
pub mod histogram;
pub mod ledger;
pub mod platform;
pub mod process;
pub mod schedule;
pub mod start;
pub mod target;
pub mod verify;
