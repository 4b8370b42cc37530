//! Objects that the platform returns together.

use pollenrouter_core::{id, replica};
use serde::{Deserialize, Serialize};

/// Objects as of a revision of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the platform.
    pub revision: id::Version,
    /// The objects.
    pub objects: Vec<replica::Object>,
    /// Whether all objects under the prefix are among them, so that one that is not did not exist
    /// at the revision.
    #[serde(default)]
    pub is_complete: bool,
}
