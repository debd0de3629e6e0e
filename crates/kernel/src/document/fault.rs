//! What can be wrong with a document, each fault with its place and its remedy.

use std::fmt;

use crate::{
    document::{DOCUMENT_MAX, METHODS_MAX, ROUTES_MAX, SCHEMA, USES_MAX},
    id::{BadName, Name},
};

/// The text is not a valid document.
///
/// Displayed as one line a fault, in the order of the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct BadDocument {
    /// Every fault found, at least one.
    pub faults: Vec<Fault>,
}

/// One fault and its place in the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {kind}")]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong there.
    pub kind: FaultKind,
}

/// What is wrong, in words that name the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultKind {
    /// The text is longer than [`DOCUMENT_MAX`].
    #[error("the document has {0} bytes; shorten it to at most {DOCUMENT_MAX}")]
    Oversized(usize),
    /// The text is not TOML.
    #[error("not valid TOML: {0}; correct the syntax of this line")]
    Syntax(String),
    /// The document is written for a newer build.
    #[error(
        "schema {0} is newer than this build's {SCHEMA}; upgrade the nodes first, or write \"schema = {SCHEMA}\""
    )]
    NewSchema(u64),
    /// A key that no schema up to [`SCHEMA`] has.
    #[error(
        "unknown key \"{key}\" in {section}{}; remove it or correct its spelling",
        guess(nearest)
    )]
    UnknownKey {
        key: String,
        section: &'static str,
        nearest: Option<&'static str>,
    },
    /// A key without a default is absent.
    #[error("{section} lacks \"{key}\"; add {example}")]
    Missing {
        key: &'static str,
        section: &'static str,
        example: &'static str,
    },
    /// A value of another type.
    #[error("\"{key}\" is {found}; write {example}")]
    Type {
        key: &'static str,
        found: &'static str,
        example: &'static str,
    },
    /// A duration or size that cannot be read.
    #[error(
        "\"{key}\": {text:?} is not {what}; write a whole number and a unit of {units}, such as {example}"
    )]
    Unit {
        key: &'static str,
        text: String,
        what: &'static str,
        units: &'static str,
        example: &'static str,
    },
    /// A value out of bounds.
    #[error("\"{key}\" is out of bounds; choose {min} to {max}")]
    Bounds {
        key: &'static str,
        min: String,
        max: String,
    },
    /// Text that is too long or has characters that would garble a log line.
    #[error("\"{key}\" is not valid; use 1 to {max} characters without control characters")]
    Text { key: &'static str, max: usize },
    /// Text that is none of a closed set.
    #[error(
        "\"{key}\": unknown value {value:?}{}; choose one of {choices}",
        guess(nearest)
    )]
    Choice {
        key: &'static str,
        value: String,
        choices: &'static str,
        nearest: Option<&'static str>,
    },
    /// The name of a service.
    #[error(transparent)]
    Name(#[from] BadName),
    /// The document has no routes.
    #[error("the document has no routes; add at least one [[routes]] section")]
    NoRoutes,
    /// The document has more than [`ROUTES_MAX`].
    #[error("the document has {0} routes; split the service or merge paths, at most {ROUTES_MAX}")]
    ManyRoutes(usize),
    /// A path that no request can have, or that two spellings could share.
    #[error("path {path:?} {why}; write it like \"/drafts\" or \"/\"")]
    Path { path: String, why: &'static str },
    /// A route that carries nothing.
    #[error("the route has no methods; name them, such as methods = [\"GET\"]")]
    NoMethods,
    /// A route names more than [`METHODS_MAX`] methods.
    #[error("the route has {0} methods; name at most {METHODS_MAX}")]
    ManyMethods(usize),
    /// A method that no request can have.
    #[error(
        "method {0:?} is not valid; use upper case letters and '-', such as \"GET\", at most 16"
    )]
    Method(String),
    /// A method or service named twice in one list.
    #[error("{0:?} stands twice in the list; remove one")]
    Twice(String),
    /// Two routes could carry the same request.
    #[error(
        "{method} {path} is already carried by the route at line {line}; merge the routes or remove one"
    )]
    DoubleRoute {
        method: String,
        path: String,
        line: usize,
    },
    /// Two lines of one document contradict each other.
    #[error(
        "class = \"exact\" needs repeat = \"never\"; write so, or choose class = \"interactive\" if the request is idempotent"
    )]
    ExactRepeats,
    /// Whether a request that changes something may run again was left to a guess.
    #[error(
        "{0} may change something, so say whether it may run twice: add repeat = \"never\", or repeat = \"idempotent\" if running it again is harmless"
    )]
    RepeatUnsaid(String),
    /// A route names more than [`USES_MAX`] services.
    #[error("the route uses {0} services; at most {USES_MAX}, split the route")]
    ManyUses(usize),
    /// A service that uses itself would exist only because it exists.
    #[error("the route uses its own service {0}; leave it out")]
    UsesSelf(Name),
    /// The route would point at nothing.
    #[error("the route uses {0}, which does not exist; submit {0} first, or correct the name")]
    Dangling(Name),
    /// [`FAULTS_MAX`] was reached.
    #[error("and {0} more faults; mend those above first")]
    More(usize),
}

/// Most faults that one answer lists.
pub const FAULTS_MAX: usize = 50;

impl fmt::Display for BadDocument {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (idx, fault) in self.faults.iter().enumerate() {
            let separator = if idx == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

/// The one of `known` that `word` was probably meant to be.
pub(super) fn nearest(word: &str, known: &[&'static str]) -> Option<&'static str> {
    let word: String = word.chars().take(GUESS_MAX).collect();
    known
        .iter()
        .map(|it| (strsim::jaro_winkler(&word, it), *it))
        .filter(|(likeness, _)| *likeness >= GUESS_LIKENESS)
        .max_by(|lhs, rhs| lhs.0.total_cmp(&rhs.0))
        .map(|(_, it)| it)
}

/// Characters of a word that a guess looks at.
const GUESS_MAX: usize = 64;

/// Likeness from which a guess helps more than it misleads.
const GUESS_LIKENESS: f64 = 0.8;

fn guess(nearest: &Option<&'static str>) -> String {
    nearest.map_or_else(String::new, |it| format!(", perhaps \"{it}\""))
}
