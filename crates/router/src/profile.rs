//! What differs between the product's own interface and a users' platform.

use std::time::Duration;

use pollenrouter_adapter as adapter;
use pollenrouter_core::service::Limits;
use pollenrouter_core::table::Table;
use pollenrouter_http::convention::{self, Convention};
use pollenrouter_operator::settings::{self, Settings};
use pollenrouter_platform::dialect::{self, Dialect};
use pollenrouter_target::announcement;

use crate::error::Error;

/// Time of a planned stop that is left for the last answers and the exit.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// Reads a routing table that is written as a whole.
pub type ReadTable = fn(&str, &Limits) -> Result<Table, Vec<String>>;

/// The names, formats and bounds that a daemon works with.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Names of headers and paths.
    pub convention: Convention,
    /// How the platform is spoken to.
    pub dialect: Dialect,
    /// How targets announce themselves.
    pub announcements: announcement::Read,
    /// How a routing table is read, where the platform holds one.
    pub table: Option<ReadTable>,
    /// Bounds of services whose configuration states none.
    pub limits: Limits,
    /// Longest wait for calls in flight at a planned stop.
    pub stop_timeout: Duration,
}

impl Profile {
    /// The profile that the settings ask for.
    ///
    /// # Errors
    /// [`Error::Bounds`] if the bounds that the platform states can not be read.
    pub fn of(settings: &Settings) -> Result<Self, Error> {
        match settings.profile {
            settings::Profile::Own => Ok(Self {
                convention: convention::OWN,
                dialect: dialect::OWN,
                announcements: announcement::read_own,
                table: None,
                limits: settings.limits.clone(),
                stop_timeout: settings.stop_timeout,
            }),
            settings::Profile::Platform => platform(settings),
        }
    }
}

fn platform(settings: &Settings) -> Result<Profile, Error> {
    let bounds = adapter::bounds::read(&settings.bounds).map_err(Error::Bounds)?;
    let limits = Limits {
        retry_slack: bounds.retry_slack,
        // Repeats bring calls of their own, which count as well.
        retry_percent: bounds.retry_percent / 2,
        ..settings.limits.clone()
    };
    Ok(Profile {
        convention: adapter::headers::CONVENTION,
        dialect: adapter::store::DIALECT,
        announcements: adapter::announcement::read,
        table: Some(adapter::table::read),
        limits,
        stop_timeout: bounds.grace.saturating_sub(STOP_MARGIN),
    })
}
