//! The report of a run, as table rows or as one JSON object.

use std::fmt;

use serde::{Serialize, Serializer, ser::SerializeMap};

use super::{Settings, tally::Figures};

/// Figures of one case.
#[derive(Clone, Debug, Serialize)]
pub struct CaseReport {
    /// Name of the case.
    #[serde(skip)]
    pub case: String,
    /// Figures with the nodes.
    #[serde(flatten)]
    pub nodes: Figures,
    /// Figures of the baseline.
    pub baseline: Figures,
}

/// Figures of all cases of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the preset.
    pub preset: String,
    /// Measured seconds of each case.
    pub seconds: u64,
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// Whether the nodes caused no duplicate, wrong refusal or mixed answer.
    pub passed: bool,
    /// Figures by case.
    #[serde(serialize_with = "by_case")]
    pub cases: Vec<CaseReport>,
}

/// Header line of the table.
pub const HEADING: &str = "case       way      goodput  inter p50/p99 ms  exact p99  backgr p99  retries  sent in-time late refused unknown missing  dup wrong mixed";

impl Report {
    /// Returns the report of `cases`.
    pub fn new(settings: &Settings, cases: Vec<CaseReport>) -> Report {
        Report {
            preset: settings.preset.to_string(),
            seconds: settings.seconds,
            seed: settings.seed,
            passed: cases.iter().all(|it| it.nodes.verdict.is_clean()),
            cases,
        }
    }
}

impl fmt::Display for CaseReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_row(f, &self.case, "nodes", &self.nodes)?;
        writeln!(f)?;
        write_row(f, "", "baseline", &self.baseline)
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, case: &str, way: &str, it: &Figures) -> fmt::Result {
    let goodput = it
        .goodput_share
        .map_or("-".to_owned(), |it| format!("{:.1}%", it * 100.0));
    let p50 = format_millis(it.class_p50_ms.get("interactive"));
    let [interactive, exact, background] = ["interactive", "exact", "background"]
        .map(|class| format_millis(it.class_p99_ms.get(class)));
    let (counts, verdict) = (it.counts, it.verdict);
    write!(
        f,
        "{case:<10} {way:<8} {goodput:>7}  {p50:>7}/{interactive:<8} {exact:>9}  {background:>10}  {:>6.1}%  {} {} {} {} {} {}  {} {} {}",
        it.retry_share * 100.0,
        counts.sent,
        counts.in_time,
        counts.late,
        counts.refused,
        counts.unknown,
        counts.missing,
        verdict.duplicates,
        verdict.wrong_refusals,
        verdict.mixed_answers,
    )
}

fn format_millis(value: Option<&f64>) -> String {
    value.map_or("-".to_owned(), |it| format!("{it:.1}"))
}

fn by_case<S: Serializer>(lines: &[CaseReport], serializer: S) -> Result<S::Ok, S::Error> {
    let mut map = serializer.serialize_map(Some(lines.len()))?;
    for it in lines {
        map.serialize_entry(&it.case, it)?;
    }
    map.end()
}
