//! Fields that a template fills in.

use saphyr::{Scalar, YamlData};

use super::FieldReader;

impl FieldReader<'_, '_> {
    /// Like [`FieldReader::optional`], but an empty value counts as absent as well: the platform
    /// fills in nothing for a value that it does not state.
    pub fn filled_in<T>(
        &mut self,
        name: &'static str,
        read_field: impl FnOnce(&mut Self, &'static str) -> Option<T>,
    ) -> Option<Option<T>> {
        let node = self.find(name);
        if node.is_some_and(|node| node.data == YamlData::Value(Scalar::Null)) {
            return Some(None);
        }
        self.optional(name, read_field)
    }
}
