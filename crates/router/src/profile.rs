//! What differs between the product's own interface and a users' platform.

use pollenrouter_adapter as adapter;
use pollenrouter_core::service::Limits;
use pollenrouter_core::table::Table;
use pollenrouter_http::convention::{self, Convention};
use pollenrouter_operator::settings::{self, Settings};
use pollenrouter_platform::dialect::{self, Dialect};
use pollenrouter_target::announcement;

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
    pub announcements: announcement::ParseFn,
    /// How a routing table is read, where the platform holds one.
    pub table: Option<ReadTable>,
    /// Bounds of services whose configuration states none.
    pub limits: Limits,
}

impl Profile {
    /// The profile that the settings ask for.
    #[must_use]
    pub fn of(settings: &Settings) -> Self {
        let own = Self {
            convention: convention::OWN,
            dialect: dialect::OWN,
            announcements: announcement::parse_own,
            table: None,
            limits: settings.limits.clone(),
        };
        match settings.profile {
            settings::Profile::Own => own,
            settings::Profile::Platform => Self {
                convention: adapter::headers::CONVENTION,
                dialect: adapter::store::DIALECT,
                announcements: adapter::announcement::parse,
                table: Some(adapter::table::parse),
                ..own
            },
        }
    }
}
