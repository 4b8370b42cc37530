//! Fields that are true or false.

use saphyr::{Scalar, YamlData};

use super::FieldReader;

impl FieldReader<'_, '_> {
    /// Reads a Boolean.
    pub fn boolean(&mut self, name: &'static str) -> Option<bool> {
        let node = self.require(name)?;
        let YamlData::Value(Scalar::Boolean(value)) = node.data else {
            self.report_at(node, name, "is neither `true` nor `false`");
            return None;
        };
        Some(value)
    }

    /// Reads a Boolean that is false if the field is absent or empty, as a template leaves it.
    pub fn switch(&mut self, name: &'static str) -> Option<bool> {
        match self.find(name).map(|node| &node.data) {
            None | Some(YamlData::Value(Scalar::Null)) => Some(false),
            Some(_) => self.boolean(name),
        }
    }
}
