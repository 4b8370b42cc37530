//! Reads YAML mappings field by field; invalid fields become findings.

mod boolean;
mod template;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use saphyr::{LoadableYamlNode, MarkedYaml, Marker, Scalar, YamlData};
use saphyr_parser::{Event, Parser};
use smol_str::SmolStr;

use crate::finding::Finding;

/// Maximum size of a text, bytes; the platform stores no larger values.
const TEXT_MAX_BYTES: usize = 1 << 20;
/// Maximum nesting of a text. Deeper ones overflow the stack of the recursive loader.
const DEPTH_MAX: usize = 32;
/// Maximum duration, seconds.
const SECONDS_MAX: f64 = 86_400.0;
const NAME_MAX_CHARS: usize = 63;

/// Findings collected so far, shared by the readers of all mappings in a text.
#[derive(Clone, Debug, Default)]
pub struct Findings(Rc<RefCell<Vec<Finding>>>);

impl Findings {
    fn add(&self, marker: Marker, message: String) {
        self.0.borrow_mut().push(Finding {
            line: marker.line().max(1),
            column: marker.col() + 1,
            message,
        });
    }

    /// All findings, ordered by position.
    #[must_use]
    pub fn sorted(&self) -> Vec<Finding> {
        let mut all = self.0.borrow().clone();
        all.sort();
        all
    }
}

/// Parses a text whose root is a mapping and reads its fields with a closure.
///
/// # Errors
/// Returns all findings, if there are any.
pub fn read<T>(
    text: &str,
    read_fields: impl FnOnce(&mut FieldReader<'_, '_>) -> Option<T>,
) -> Result<T, Vec<Finding>> {
    let findings = Findings::default();
    let start = Marker::new(0, 1, 0);
    if text.len() > TEXT_MAX_BYTES {
        findings.add(
            start,
            format!("text of {} bytes is over {TEXT_MAX_BYTES}", text.len()),
        );
        return Err(findings.sorted());
    }
    if let Some(marker) = find_too_deep(text) {
        findings.add(marker, format!("text is nested deeper than {DEPTH_MAX}"));
        return Err(findings.sorted());
    }
    let value = match MarkedYaml::load_from_str(text) {
        Err(err) => {
            findings.add(*err.marker(), err.info().to_owned());
            None
        }
        Ok(documents) if documents.len() != 1 => {
            let count = documents.len();
            findings.add(
                start,
                format!("text holds {count} documents where 1 is expected"),
            );
            None
        }
        Ok(documents) => FieldReader::new(&documents[0], "", &findings).and_then(|mut fields| {
            let value = read_fields(&mut fields);
            fields.report_unknown_fields();
            value
        }),
    };
    let found = findings.sorted();
    value.filter(|_| found.is_empty()).ok_or(found)
}

/// Finds where the nesting of a text exceeds [`DEPTH_MAX`].
fn find_too_deep(text: &str) -> Option<Marker> {
    let mut depth = 0_usize;
    // An error ends the text; the loader reports it.
    for (event, span) in Parser::new_from_str(text).map_while(Result::ok) {
        match event {
            Event::SequenceStart(..) | Event::MappingStart(..) => depth += 1,
            Event::SequenceEnd | Event::MappingEnd => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEPTH_MAX {
            return Some(span.start);
        }
    }
    None
}

/// Reads the fields of one mapping. Methods return `None` if they report a finding.
pub struct FieldReader<'a, 'input> {
    node: &'a MarkedYaml<'input>,
    path: String,
    findings: Findings,
    requested: BTreeSet<&'static str>,
}

impl<'a, 'input> FieldReader<'a, 'input> {
    fn new(node: &'a MarkedYaml<'input>, path: &str, findings: &Findings) -> Option<Self> {
        if !matches!(node.data, YamlData::Mapping(_)) {
            let subject = if path.is_empty() { "the text" } else { path };
            findings.add(
                node.span.start,
                format!("{subject} is not a mapping of fields"),
            );
            return None;
        }
        Some(Self {
            node,
            path: path.to_owned(),
            findings: findings.clone(),
            requested: BTreeSet::new(),
        })
    }

    fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn report_at(&self, node: &MarkedYaml<'_>, name: &str, expected: &str) {
        let message = format!("field `{}` {expected}", self.field_path(name));
        self.findings.add(node.span.start, message);
    }

    fn find(&mut self, name: &'static str) -> Option<&'a MarkedYaml<'input>> {
        self.requested.insert(name);
        let node = self.node.data.as_mapping_get(name)?;
        (!node.data.is_null()).then_some(node)
    }

    fn require(&mut self, name: &'static str) -> Option<&'a MarkedYaml<'input>> {
        let found = self.find(name);
        if found.is_none() {
            self.report_at(self.node, name, "is missing");
        }
        found
    }

    /// Reads a string.
    pub fn string(&mut self, name: &'static str) -> Option<SmolStr> {
        let node = self.require(name)?;
        let YamlData::Value(Scalar::String(text)) = &node.data else {
            self.report_at(node, name, "is not a text");
            return None;
        };
        Some(SmolStr::new(text))
    }

    /// Reads an optional field with a closure that gets the name of the field. Returns
    /// `Some(None)` if the field is absent.
    pub fn optional<T>(
        &mut self,
        name: &'static str,
        read_field: impl FnOnce(&mut Self, &'static str) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.find(name) {
            None => Some(None),
            Some(_) => read_field(self, name).map(Some),
        }
    }

    /// Reads a name: lowercase letters, digits and hyphens.
    pub fn name(&mut self, name: &'static str) -> Option<SmolStr> {
        let text = self.string(name)?;
        if is_name(&text) {
            return Some(text);
        }
        let expected = format!(
            "is `{text}`, which is not a name of 1 to {NAME_MAX_CHARS} lower-case letters, digits and hyphens"
        );
        self.report(name, &expected);
        None
    }

    /// Reads an optional sequence of names; empty if the field is absent.
    pub fn names(&mut self, name: &'static str) -> Option<Vec<SmolStr>> {
        let Some(node) = self.find(name) else {
            return Some(Vec::new());
        };
        let YamlData::Sequence(elements) = &node.data else {
            self.report_at(node, name, "is not a sequence");
            return None;
        };
        let read = |element: &MarkedYaml<'_>| match &element.data {
            YamlData::Value(Scalar::String(text)) if is_name(text) => Some(SmolStr::new(text)),
            _ => {
                self.report_at(element, name, "holds an element that is not a name");
                None
            }
        };
        // Collected first, so that every invalid element is reported.
        let names: Vec<Option<SmolStr>> = elements.iter().map(read).collect();
        names.into_iter().collect()
    }

    /// Reads a string and parses it, for example as a socket address.
    pub fn parsed<T: FromStr>(&mut self, name: &'static str) -> Option<T>
    where
        T::Err: Display,
    {
        let text = self.string(name)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(err) => {
                let node = self.find(name)?;
                self.report_at(node, name, &format!("is `{text}`: {err}"));
                None
            }
        }
    }

    /// Reads one of several words; a default makes the field optional.
    pub fn one_of<T: Copy>(
        &mut self,
        name: &'static str,
        words: &[(&str, T)],
        default: Option<T>,
    ) -> Option<T> {
        if default.is_some() && self.find(name).is_none() {
            return default;
        }
        let text = self.string(name)?;
        let found = words.iter().find(|(word, _)| *word == text);
        if let Some((_, value)) = found {
            return Some(*value);
        }
        let all: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let expected = format!("is `{text}` where one of {} is expected", all.join(", "));
        self.report(name, &expected);
        None
    }

    /// Reads an integer within `bounds`; a default makes the field optional.
    pub fn integer(
        &mut self,
        name: &'static str,
        bounds: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Option<u64> {
        if default.is_some() && self.find(name).is_none() {
            return default;
        }
        let node = self.require(name)?;
        let value = match node.data {
            YamlData::Value(Scalar::Integer(value)) => u64::try_from(value).ok(),
            _ => None,
        };
        let value = value.filter(|value| bounds.contains(value));
        if value.is_none() {
            let (low, high) = (bounds.start(), bounds.end());
            self.report_at(
                node,
                name,
                &format!("is not a whole number from {low} to {high}"),
            );
        }
        value
    }

    /// Reads an integer or a decimal number within `bounds`.
    pub fn decimal(&mut self, name: &'static str, bounds: RangeInclusive<f64>) -> Option<f64> {
        let node = self.require(name)?;
        let value = match node.data {
            YamlData::Value(Scalar::FloatingPoint(value)) => Some(value.into_inner()),
            YamlData::Value(Scalar::Integer(value)) => u32::try_from(value).ok().map(f64::from),
            _ => None,
        };
        let value = value.filter(|value| bounds.contains(value));
        if value.is_none() {
            let (low, high) = (bounds.start(), bounds.end());
            let expected = format!("is not a number from {low} to {high}");
            self.report_at(node, name, &expected);
        }
        value
    }

    /// Reads a duration in seconds, as an integer or a decimal number.
    pub fn seconds(&mut self, name: &'static str) -> Option<Duration> {
        self.decimal(name, 0.0..=SECONDS_MAX)
            .map(Duration::from_secs_f64)
    }

    /// Reads a nested mapping.
    pub fn mapping<T>(
        &mut self,
        name: &'static str,
        read_fields: impl FnOnce(&mut FieldReader<'_, '_>) -> Option<T>,
    ) -> Option<T> {
        let node = self.require(name)?;
        self.read_mapping(node, &self.field_path(name), read_fields)
    }

    /// Reads an optional nested mapping; returns `default` if the field is absent.
    pub fn optional_mapping<T>(
        &mut self,
        name: &'static str,
        default: T,
        read_fields: impl FnOnce(&mut FieldReader<'_, '_>) -> Option<T>,
    ) -> Option<T> {
        match self.find(name) {
            None => Some(default),
            Some(node) => self.read_mapping(node, &self.field_path(name), read_fields),
        }
    }

    /// Reads a sequence of at least one mapping.
    pub fn mappings<T>(
        &mut self,
        name: &'static str,
        mut read_fields: impl FnMut(&mut FieldReader<'_, '_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let node = self.require(name)?;
        let YamlData::Sequence(elements) = &node.data else {
            self.report_at(node, name, "is not a sequence");
            return None;
        };
        if elements.is_empty() {
            self.report_at(node, name, "is empty");
        }
        let read = |(index, element)| {
            let path = format!("{}[{index}]", self.field_path(name));
            self.read_mapping(element, &path, &mut read_fields)
        };
        // Collected first, so that every invalid element is reported.
        let values: Vec<Option<T>> = elements.iter().enumerate().map(read).collect();
        values.into_iter().collect()
    }

    fn read_mapping<T>(
        &self,
        node: &MarkedYaml<'_>,
        path: &str,
        read_fields: impl FnOnce(&mut FieldReader<'_, '_>) -> Option<T>,
    ) -> Option<T> {
        let mut fields = FieldReader::new(node, path, &self.findings)?;
        let value = read_fields(&mut fields);
        fields.report_unknown_fields();
        value
    }

    /// Reports a finding for a field, for checks beyond those of the other methods.
    pub fn report(&mut self, name: &'static str, message: &str) {
        let node = self.find(name).unwrap_or(self.node);
        self.report_at(node, name, message);
    }

    fn report_unknown_fields(&self) {
        let YamlData::Mapping(fields) = &self.node.data else {
            return;
        };
        for key in fields.keys() {
            let text = match &key.data {
                YamlData::Value(Scalar::String(text)) => text.to_string(),
                other => format!("{other:?}"),
            };
            if !self.requested.contains(text.as_str()) {
                self.report_at(key, &text, "is unknown");
            }
        }
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=NAME_MAX_CHARS).contains(&text.len()) && text.chars().all(allowed)
}
