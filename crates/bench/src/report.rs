//! Results of a run: tables and checks as text, or one JSON object.

use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value, json};

/// A text table with fixed column names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    title: &'static str,
    columns: &'static [&'static str],
    rows: Vec<Vec<String>>,
}

/// A check that the run made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Check {
    /// Condition that should hold.
    pub name: &'static str,
    /// Whether it held.
    pub verdict: Verdict,
    /// Measured figures.
    pub found: String,
}

/// Result of a check or a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The condition held.
    Pass,
    /// The condition did not hold.
    Fail,
}

/// All results of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Tables, in print order.
    pub tables: Vec<Table>,
    /// Checks, printed after the tables.
    pub checks: Vec<Check>,
    /// Fields of the JSON object besides `checks` and `verdict`.
    pub fields: Map<String, Value>,
}

impl Table {
    /// Returns an empty table.
    pub fn new(title: &'static str, columns: &'static [&'static str]) -> Table {
        Table {
            title,
            columns,
            rows: Vec::new(),
        }
    }

    /// Adds a row; cells beyond the last column are not printed.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    fn width(&self, idx: usize) -> usize {
        let cells = self.rows.iter().filter_map(|it| it.get(idx));
        let widest = cells.map(|it| it.chars().count()).max();
        widest.unwrap_or(0).max(self.columns[idx].len())
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        let widths: Vec<usize> = (0..self.columns.len()).map(|it| self.width(it)).collect();
        let header = self.columns.iter().map(|it| (*it).to_owned()).collect();
        for row in std::iter::once(&header).chain(&self.rows) {
            let cells = row.iter().zip(&widths);
            let cells = cells.map(|(cell, width)| format!("{cell:<width$}"));
            writeln!(f, "  {}", cells.collect::<Vec<_>>().join("  ").trim_end())?;
        }
        Ok(())
    }
}

impl From<bool> for Verdict {
    fn from(holds: bool) -> Verdict {
        match holds {
            true => Verdict::Pass,
            false => Verdict::Fail,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Verdict::Pass => "pass",
            Verdict::Fail => "fail",
        })
    }
}

impl Report {
    /// Adds the check `name`, with whether it holds and the measured figures.
    pub fn check(&mut self, name: &'static str, holds: bool, found: impl fmt::Display) {
        self.checks.push(Check {
            name,
            verdict: holds.into(),
            found: found.to_string(),
        });
    }

    /// Adds a field to the JSON object.
    pub fn field(&mut self, name: &str, value: impl Into<Value>) {
        self.fields.insert(name.to_owned(), value.into());
    }

    /// Returns whether every check passed; a report without checks fails.
    pub fn verdict(&self) -> Verdict {
        let passed = self.checks.iter().all(|it| it.verdict == Verdict::Pass);
        (passed && !self.checks.is_empty()).into()
    }

    /// Returns the whole report as one JSON object.
    pub fn json(&self) -> Value {
        let mut fields = self.fields.clone();
        fields.insert("checks".to_owned(), json!(self.checks));
        fields.insert("verdict".to_owned(), json!(self.verdict()));
        Value::Object(fields)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for table in &self.tables {
            writeln!(f, "{table}")?;
        }
        let mut checks = Table::new("checks", &["verdict", "check", "found"]);
        for it in &self.checks {
            checks.row([it.verdict.to_string(), it.name.to_owned(), it.found.clone()]);
        }
        write!(f, "{checks}\nverdict: {}\n", self.verdict())
    }
}
