//! Typed access to one section of a document; every fault is noted and reading goes on.

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

/// Faults found so far in one text.
pub(super) struct Faults<'a> {
    text: &'a str,
    /// Where each line starts.
    lines: Vec<usize>,
    found: Vec<(usize, FaultKind)>,
}

impl<'a> Faults<'a> {
    /// No faults in `text` yet.
    pub fn new(text: &'a str) -> Faults<'a> {
        let breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Faults {
            text,
            lines: std::iter::once(0).chain(breaks).collect(),
            found: Vec::new(),
        }
    }

    /// Notes a fault at a byte offset.
    pub fn note(&mut self, offset: usize, kind: FaultKind) {
        self.found.push((offset, kind));
    }

    /// The line of a byte offset, from 1.
    pub fn line(&self, offset: usize) -> usize {
        self.lines.partition_point(|it| *it <= offset)
    }

    /// `value` if there is one and no fault was noted; otherwise the faults in the order of the text.
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

    /// The column of a byte offset in characters, from 1.
    fn column(&self, offset: usize) -> usize {
        let start = self.lines[self.line(offset) - 1];
        let chars = self.text[start..].char_indices();
        chars.take_while(|(idx, _)| start + idx < offset).count() + 1
    }
}

/// One section: the document itself, a route or a table of settings.
pub(super) struct Section<'a, 'i> {
    /// What messages call it.
    pub name: &'static str,
    /// Where it starts.
    pub offset: usize,
    table: Option<&'a DeTable<'i>>,
}

/// A value with its place.
pub(super) type At<T> = (usize, T);

impl<'a, 'i> Section<'a, 'i> {
    /// The section `table`; notes each key that is not `known`.
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
                    key: clip(word),
                    section: name,
                    nearest: nearest(word, known),
                };
                faults.note(key.span().start, kind);
            }
        }
        Section {
            name,
            offset,
            table: Some(table),
        }
    }

    /// The section under `key`, empty if absent.
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
                faults.note(offset, wrong(key, other, "a section such as [limits]"));
                absent
            }
        }
    }

    /// The sections of the list under `key`, absent counting as empty.
    pub fn list(&self, faults: &mut Faults<'_>, key: &'static str) -> Vec<At<&'a DeTable<'i>>> {
        let example = "sections such as [[routes]]";
        let items = match self.get(key) {
            None => return Vec::new(),
            Some((_, DeValue::Array(items))) => items,
            Some((offset, other)) => {
                faults.note(offset, wrong(key, other, example));
                return Vec::new();
            }
        };
        let tables = items.iter().filter_map(|it| match it.get_ref() {
            DeValue::Table(table) => Some((it.span().start, table)),
            other => {
                faults.note(it.span().start, wrong(key, other, example));
                None
            }
        });
        tables.collect()
    }

    /// The text under `key`, if present.
    pub fn text(
        &self,
        faults: &mut Faults<'_>,
        key: &'static str,
        example: &'static str,
    ) -> Option<At<&'a str>> {
        match self.get(key)? {
            (offset, DeValue::String(text)) => Some((offset, text.as_ref())),
            (offset, other) => {
                faults.note(offset, wrong(key, other, example));
                None
            }
        }
    }

    /// The text under `key`, which has no default.
    pub fn required(
        &self,
        faults: &mut Faults<'_>,
        key: &'static str,
        example: &'static str,
    ) -> Option<At<&'a str>> {
        self.demand(faults, key, example);
        self.text(faults, key, example)
    }

    /// Notes a fault if `key` is absent.
    pub fn demand(&self, faults: &mut Faults<'_>, key: &'static str, example: &'static str) {
        if self.get(key).is_none() {
            let section = self.name;
            let kind = FaultKind::Missing {
                key,
                section,
                example,
            };
            faults.note(self.offset, kind);
        }
    }

    /// The list of texts under `key`, absent counting as empty.
    pub fn texts(
        &self,
        faults: &mut Faults<'_>,
        key: &'static str,
        example: &'static str,
    ) -> Vec<At<&'a str>> {
        let items = match self.get(key) {
            None => return Vec::new(),
            Some((_, DeValue::Array(items))) => items,
            Some((offset, other)) => {
                faults.note(offset, wrong(key, other, example));
                return Vec::new();
            }
        };
        let texts = items.iter().filter_map(|it| match it.get_ref() {
            DeValue::String(text) => Some((it.span().start, text.as_ref())),
            other => {
                faults.note(it.span().start, wrong(key, other, example));
                None
            }
        });
        texts.collect()
    }

    /// The name under `key`, which has no default.
    pub fn name(
        &self,
        faults: &mut Faults<'_>,
        key: &'static str,
        example: &'static str,
    ) -> Option<At<Name>> {
        let (offset, text) = self.required(faults, key, example)?;
        name(faults, (offset, text)).map(|it| (offset, it))
    }

    /// The whole number under `key`, or `default`.
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
                faults.note(offset, wrong(key, other, "a whole number"));
                return default;
            }
        };
        match value.filter(|it| bounds.contains(it)) {
            Some(value) => value,
            None => {
                faults.note(offset, out);
                default
            }
        }
    }

    /// The duration or size under `key`, or `default`.
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
                text: clip(text),
                what: quantity.what,
                units: quantity.units,
                example: quantity.example,
            };
            faults.note(offset, kind);
            return default;
        };
        if !bounds.contains(&value) {
            let kind = FaultKind::Bounds {
                key,
                min: quantity.write(*bounds.start()),
                max: quantity.write(*bounds.end()),
            };
            faults.note(offset, kind);
        }
        value
    }

    /// The value under `key` and where it starts.
    pub fn get(&self, key: &str) -> Option<At<&'a DeValue<'i>>> {
        let value: &Spanned<DeValue<'i>> = self.table?.get(key)?;
        let span: Range<usize> = value.span();
        Some((span.start, value.get_ref()))
    }
}

/// Reads a service's name.
pub(super) fn name(faults: &mut Faults<'_>, (offset, text): At<&str>) -> Option<Name> {
    match text.parse() {
        Ok(name) => Some(name),
        Err(error) => {
            faults.note(offset, FaultKind::Name(error));
            None
        }
    }
}

/// At most [`CLIP_MAX`] characters of `text`, so that no message repeats a whole document.
pub(super) fn clip(text: &str) -> String {
    match text.char_indices().nth(CLIP_MAX) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

const CLIP_MAX: usize = 60;

/// The fault of a value of another type.
pub(super) fn wrong(key: &'static str, value: &DeValue<'_>, example: &'static str) -> FaultKind {
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
