//! Stand-ins for targets and the platform, and tools to run and judge whole
//! deployments on one machine. The product never links this package.

pub mod bare;
pub mod caller;
pub mod deployment;
pub mod error;
pub mod judge;
pub mod ledger;
pub mod platform;
pub mod process;
pub mod schedule;
pub mod start;
pub mod target;
pub mod times;
