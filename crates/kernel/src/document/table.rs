//! Typed access to the sections of a document. Faults are collected, and reading continues.

use std::ops::{Range, RangeInclusive};

use serde_spanned::Spanned;
use toml::de::{DeTable, DeValue};

use crate::{
    document::{
        fault::{BadDocument, FAULTS_MAX, Fault, FaultKind, nearest},
        unit::Quantity,
    },
    id::Name,
};

/// Collects the faults of a text.
pub(super) struct Faults<'a> {
    text: &'a str,
    /// Byte offset of each line.
    lines: Vec<usize>,
    found: Vec<(usize, FaultKind)>,
}

impl<'a> Faults<'a> {
    /// Creates an empty collection for `text`.
    pub fn new(text: &'a str) -> Faults<'a> {
        let breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Faults {
            text,
            lines: std::iter::once(0).chain(breaks).collect(),
            found: Vec::new(),
        }
    }

    /// Adds a fault at a byte offset.
    pub fn add(&mut self, offset: usize, kind: FaultKind) {
        self.found.push((offset, kind));
    }

    /// Returns the line of a byte offset, starting at 1.
    pub fn line(&self, offset: usize) -> usize {
        self.lines.partition_point(|it| *it <= offset)
    }

    /// Returns `value` if it is present and no fault was added, otherwise the faults in the order of the text.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, BadDocument> {
        if let Some(value) = value
            && self.found.is_empty()
        {
            return Ok(value);
        }
        self.found.sort_by_key(|(offset, _)| *offset);
        let more = self.found.len().saturating_sub(FAULTS_MAX);
        if more > 0 {
            self.found.truncate(FAULTS_MAX);
            self.found.push((self.text.len(), FaultKind::More(more)));
        }
        let found = std::mem::take(&mut self.found);
        let faults = found.into_iter().map(|(offset, kind)| Fault {
            line: self.line(offset),
            column: self.column(offset),
            kind,
        });
        Err(BadDocument {
            faults: faults.collect(),
        })
    }

    /// Returns the column of a byte offset in characters, starting at 1.
    fn column(&self, offset: usize) -> usize {
        let start = self.lines[self.line(offset) - 1];
        let chars = self.text[start..].char_indices();
        chars.take_while(|(idx, _)| start + idx < offset).count() + 1
    }
}

/// A section: the document itself, a route or a table of settings.
pub(super) struct Section<'a, 'i> {
    /// Name of the section in messages.
    pub name: &'static str,
    /// Byte offset of the section.
    pub offset: usize,
    table: Option<&'a DeTable<'i>>,
}

/// A value with its byte offset.
pub(super) type Located<T> = (usize, T);

impl<'a, 'i> Section<'a, 'i> {
    /// Creates the section of `table`. Adds a fault for each key that is not in `known`.
    pub fn new(
        faults: &mut Faults<'_>,
        name: &'static str,
        offset: usize,
        table: &'a DeTable<'i>,
        known: &[&'static str],
    ) -> Section<'a, 'i> {
        for (key, _) in table.iter() {
            let word = key.get_ref();
            if !known.contains(&word.as_ref()) {
                let kind = FaultKind::UnknownKey {
                    key: truncate(word),
                    section: name,
                    nearest: nearest(word, known),
                };
                faults.add(key.span().start, kind);
            }
        }
        Section {
            name,
            offset,
            table: Some(table),
        }
    }

    /// Returns the section under `key`, empty if absent.
    pub fn section(
        &self,
        faults: &mut Faults<'_>,
        key: &'static str,
        known: &[&'static str],
    ) -> Section<'a, 'i> {
        let absent = Section {
            name: key,
            offset: self.offset,
            table: None,
        };
        match self.get(key) {
            None => absent,
            Some((offset, DeValue::Table(table))) => {
                Section::new(faults, key, offset, table, known)
            }
            Some((offset, other)) => {
                faults.add(offset, wrong_type(key, other, "a section such as [limits]"));
                absent
            }
        }
    }

    /// Returns the sections of the list under `key`, empty if absent.
    pub fn list(
        &self,
        faults: &mut Faults<'_>,
        key: &'static str,
    ) -> Vec<Located<&'a DeTable<'i>>> {
        let example = "sections such as [[routes]]";
        let items = match self.get(key) {
            None => return Vec::new(),
            Some((_, DeValue::Array(items))) => items,
            Some((offset, other)) => {
                faults.add(offset, wrong_type(key, other, example));
                return Vec::new();
            }
        };
        let tables = items.iter().filter_map(|it| match it.get_ref() {
            DeValue::Table(table) => Some((it.span().start, table)),
            other => {
                faults.add(it.span().start, wrong_type(key, other, example));
                None
            }
        });
        tables.collect()
    }

    /// Returns the text under `key`, if present.
    pub fn text(
        &self,
        faults: &mut Faults<'_>,
        key: &'static str,
        example: &'static str,
    ) -> Option<Located<&'a str>> {
        match self.get(key)? {
            (offset, DeValue::String(text)) => Some((offset, text.as_ref())),
            (offset, other) => {
                faults.add(offset, wrong_type(key, other, example));
                None
            }
        }
    }

    /// Returns the text under the required `key`.
    pub fn required(
        &self,
        faults: &mut Faults<'_>,
        key: &'static str,
        example: &'static str,
    ) -> Option<Located<&'a str>> {
        self.require_key(faults, key, example);
        self.text(faults, key, example)
    }

    /// Adds a fault if `key` is absent.
    pub fn require_key(&self, faults: &mut Faults<'_>, key: &'static str, example: &'static str) {
        if self.get(key).is_none() {
            let section = self.name;
            let kind = FaultKind::Missing {
                key,
                section,
                example,
            };
            faults.add(self.offset, kind);
        }
    }

    /// Returns the list of texts under `key`, empty if absent.
    pub fn texts(
        &self,
        faults: &mut Faults<'_>,
        key: &'static str,
        example: &'static str,
    ) -> Vec<Located<&'a str>> {
        let items = match self.get(key) {
            None => return Vec::new(),
            Some((_, DeValue::Array(items))) => items,
            Some((offset, other)) => {
                faults.add(offset, wrong_type(key, other, example));
                return Vec::new();
            }
        };
        let texts = items.iter().filter_map(|it| match it.get_ref() {
            DeValue::String(text) => Some((it.span().start, text.as_ref())),
            other => {
                faults.add(it.span().start, wrong_type(key, other, example));
                None
            }
        });
        texts.collect()
    }

    /// Returns the service name under the required `key`.
    pub fn name(
        &self,
        faults: &mut Faults<'_>,
        key: &'static str,
        example: &'static str,
    ) -> Option<Located<Name>> {
        let (offset, text) = self.required(faults, key, example)?;
        name(faults, (offset, text)).map(|it| (offset, it))
    }

    /// Returns the whole number under `key`, or `default`.
    pub fn count(
        &self,
        faults: &mut Faults<'_>,
        key: &'static str,
        bounds: RangeInclusive<u32>,
        default: u32,
    ) -> u32 {
        let out = FaultKind::Bounds {
            key,
            min: bounds.start().to_string(),
            max: bounds.end().to_string(),
        };
        let (offset, value) = match self.get(key) {
            None => return default,
            Some((offset, DeValue::Integer(it))) => {
                (offset, u32::from_str_radix(it.as_str(), it.radix()).ok())
            }
            Some((offset, other)) => {
                faults.add(offset, wrong_type(key, other, "a whole number"));
                return default;
            }
        };
        match value.filter(|it| bounds.contains(it)) {
            Some(value) => value,
            None => {
                faults.add(offset, out);
                default
            }
        }
    }

    /// Returns the duration or size under `key`, or `default`.
    pub fn quantity(
        &self,
        faults: &mut Faults<'_>,
        key: &'static str,
        quantity: &Quantity,
        bounds: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let Some((offset, text)) = self.text(faults, key, quantity.example) else {
            return default;
        };
        let Some(value) = quantity.read(text) else {
            let kind = FaultKind::Unit {
                key,
                text: truncate(text),
                what: quantity.what,
                units: quantity.units,
                example: quantity.example,
            };
            faults.add(offset, kind);
            return default;
        };
        if !bounds.contains(&value) {
            let kind = FaultKind::Bounds {
                key,
                min: quantity.write(*bounds.start()),
                max: quantity.write(*bounds.end()),
            };
            faults.add(offset, kind);
        }
        value
    }

    /// Returns the value under `key` with its byte offset.
    pub fn get(&self, key: &str) -> Option<Located<&'a DeValue<'i>>> {
        let value: &Spanned<DeValue<'i>> = self.table?.get(key)?;
        let span: Range<usize> = value.span();
        Some((span.start, value.get_ref()))
    }
}

/// Parses the name of a service.
pub(super) fn name(faults: &mut Faults<'_>, (offset, text): Located<&str>) -> Option<Name> {
    match text.parse() {
        Ok(name) => Some(name),
        Err(error) => {
            faults.add(offset, FaultKind::Name(error));
            None
        }
    }
}

/// Truncates `text` to [`TRUNCATE_MAX`] characters, so that no message repeats a whole document.
pub(super) fn truncate(text: &str) -> String {
    match text.char_indices().nth(TRUNCATE_MAX) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

const TRUNCATE_MAX: usize = 60;

/// Returns the fault of a value with the wrong type.
pub(super) fn wrong_type(
    key: &'static str,
    value: &DeValue<'_>,
    example: &'static str,
) -> FaultKind {
    let found = match value {
        DeValue::String(_) => "text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a fraction",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a section",
    };
    FaultKind::Type {
        key,
        found,
        example,
    }
}
