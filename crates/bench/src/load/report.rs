//! The report as a table and as one JSON object.

use std::fmt;

use serde::{Serialize, Serializer, ser::SerializeMap};

use super::{Settings, tally::Figures};

/// One case.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// Its name.
    #[serde(skip)]
    pub case: String,
    /// Through the nodes.
    #[serde(flatten)]
    pub nodes: Figures,
    /// Straight to the upstreams.
    pub baseline: Figures,
}

/// Every case of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Whose fleet.
    pub preset: String,
    /// Measured seconds of each case.
    pub seconds: u64,
    /// What fixed the arrivals.
    pub seed: u64,
    /// Whether the nodes gave no duplicate, wrong refusal or mixed answer.
    pub passed: bool,
    /// Figures by case.
    #[serde(serialize_with = "by_case")]
    pub cases: Vec<Line>,
}

/// Heading of the table.
pub const HEADING: &str = "case       way      goodput  inter p50/p99 ms  exact p99  backgr p99  retries  sent in-time late refused unknown missing  dup wrong mixed";

impl Report {
    /// The report of these cases.
    pub fn new(settings: &Settings, cases: Vec<Line>) -> Report {
        Report {
            preset: settings.preset.to_string(),
            seconds: settings.seconds,
            seed: settings.seed,
            passed: cases.iter().all(|it| it.nodes.verdict.clean()),
            cases,
        }
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        row(f, &self.case, "nodes", &self.nodes)?;
        writeln!(f)?;
        row(f, "", "baseline", &self.baseline)
    }
}

fn row(f: &mut fmt::Formatter<'_>, case: &str, way: &str, it: &Figures) -> fmt::Result {
    let goodput = it
        .goodput_share
        .map_or("-".to_owned(), |it| format!("{:.1}%", it * 100.0));
    let p50 = millis(it.class_p50_ms.get("interactive"));
    let [interactive, exact, background] =
        ["interactive", "exact", "background"].map(|class| millis(it.class_p99_ms.get(class)));
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

fn millis(value: Option<&f64>) -> String {
    value.map_or("-".to_owned(), |it| format!("{it:.1}"))
}

fn by_case<S: Serializer>(lines: &[Line], serializer: S) -> Result<S::Ok, S::Error> {
    let mut map = serializer.serialize_map(Some(lines.len()))?;
    for it in lines {
        map.serialize_entry(&it.case, it)?;
    }
    map.end()
}
