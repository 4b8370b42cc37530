//! Profiles: the header names, paths and formats of this project, or those of the users'
//! existing platform.

use pollenrouter_adapter as adapter;
use pollenrouter_core::service::Limits;
use pollenrouter_core::table::Table;
use pollenrouter_http::convention::{self, Convention};
use pollenrouter_operator::settings::{self, Settings};
use pollenrouter_platform::dialect::{self, Dialect};
use pollenrouter_target::announcement;

/// Parses a routing table that the platform holds as one object. The limits apply to
/// services that state none. Returns the findings if the table is invalid.
pub type ParseTableFn = fn(&str, &Limits) -> Result<Table, Vec<String>>;

/// Names, formats and default limits that a daemon uses.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Names of headers and paths in HTTP messages.
    pub convention: Convention,
    /// API of the platform.
    pub dialect: Dialect,
    /// Parses the announcement of a target.
    pub parse_announcement: announcement::ParseFn,
    /// Parses the routing table, if the platform holds one instead of service documents.
    pub parse_table: Option<ParseTableFn>,
    /// Limits of services whose configuration states none.
    pub default_limits: Limits,
    /// Whether operators may evacuate failure domains.
    pub evacuations: bool,
}

impl Profile {
    /// Returns the profile that the settings select.
    #[must_use]
    pub fn from_settings(settings: &Settings) -> Self {
        let own = Self {
            convention: convention::OWN,
            dialect: dialect::OWN,
            parse_announcement: announcement::parse_own,
            parse_table: None,
            default_limits: settings.limits.clone(),
            evacuations: settings.evacuations,
        };
        match settings.profile {
            settings::Profile::Own => own,
            settings::Profile::Platform => Self {
                convention: adapter::headers::CONVENTION,
                dialect: store_dialect(settings.evacuations),
                parse_announcement: adapter::announcement::parse,
                parse_table: Some(adapter::table::parse),
                ..own
            },
        }
    }
}

/// The dialect of the platform's metadata store, which reads evacuations only on request.
fn store_dialect(evacuations: bool) -> Dialect {
    if !evacuations {
        return adapter::store::DIALECT;
    }
    Dialect {
        prefixes: adapter::store::PREFIXES_WITH_EVACUATIONS,
        ..adapter::store::DIALECT
    }
}
