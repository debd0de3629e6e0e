//! Faults of documents; each one has a place in the text and a message on how to fix it.

use std::fmt;

use crate::{
    document::{DOCUMENT_MAX, METHODS_MAX, ROUTES_MAX, SCHEMA, USES_MAX},
    id::{BadName, Name},
};

/// The text is not a valid document.
///
/// Displayed as one line per fault, in the order of the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct BadDocument {
    /// The faults found, at least one.
    pub faults: Vec<Fault>,
}

/// A fault and its place in the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {kind}")]
pub struct Fault {
    /// Line, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// Kind of a fault. The messages say how to fix it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultKind {
    /// The text is longer than [`DOCUMENT_MAX`].
    #[error("the document has {0} bytes; shorten it to at most {DOCUMENT_MAX}")]
    Oversized(usize),
    /// The text is not valid TOML.
    #[error("not valid TOML: {0}; correct the syntax of this line")]
    Syntax(String),
    /// The document needs a newer build.
    #[error(
        "schema {0} is newer than this build's {SCHEMA}; upgrade the nodes first, or write \"schema = {SCHEMA}\""
    )]
    NewSchema(u64),
    /// The key exists in no schema up to [`SCHEMA`].
    #[error(
        "unknown key \"{key}\" in {section}{}; remove it or correct its spelling",
        suggestion(nearest)
    )]
    UnknownKey {
        key: String,
        section: &'static str,
        nearest: Option<&'static str>,
    },
    /// A required key is absent.
    #[error("{section} lacks \"{key}\"; add {example}")]
    Missing {
        key: &'static str,
        section: &'static str,
        example: &'static str,
    },
    /// The value has the wrong type.
    #[error("\"{key}\" is {found}; write {example}")]
    Type {
        key: &'static str,
        found: &'static str,
        example: &'static str,
    },
    /// The duration or size is not valid.
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
    /// The value is out of bounds.
    #[error("\"{key}\" is out of bounds; choose {min} to {max}")]
    Bounds {
        key: &'static str,
        min: String,
        max: String,
    },
    /// The text is empty, too long or contains control characters.
    #[error("\"{key}\" is not valid; use 1 to {max} characters without control characters")]
    Text { key: &'static str, max: usize },
    /// The text is not one of the allowed values.
    #[error(
        "\"{key}\": unknown value {value:?}{}; choose one of {choices}",
        suggestion(nearest)
    )]
    Choice {
        key: &'static str,
        value: String,
        choices: &'static str,
        nearest: Option<&'static str>,
    },
    /// The name of a service is not valid.
    #[error(transparent)]
    Name(#[from] BadName),
    /// The document has no routes.
    #[error("the document has no routes; add at least one [[routes]] section")]
    NoRoutes,
    /// The document has more than [`ROUTES_MAX`] routes.
    #[error("the document has {0} routes; split the service or merge paths, at most {ROUTES_MAX}")]
    ManyRoutes(usize),
    /// The path cannot occur in a request or is not in its normal form.
    #[error("path {path:?} {why}; write it like \"/drafts\" or \"/\"")]
    Path { path: String, why: &'static str },
    /// The route has no methods.
    #[error("the route has no methods; name them, such as methods = [\"GET\"]")]
    NoMethods,
    /// The route has more than [`METHODS_MAX`] methods.
    #[error("the route has {0} methods; name at most {METHODS_MAX}")]
    ManyMethods(usize),
    /// The method is not valid.
    #[error(
        "method {0:?} is not valid; use upper case letters and '-', such as \"GET\", at most 16"
    )]
    Method(String),
    /// A method or service is listed twice.
    #[error("{0:?} is listed twice; remove one")]
    Duplicate(String),
    /// Two routes match the same request.
    #[error(
        "{method} {path} is already carried by the route at line {line}; merge the routes or remove one"
    )]
    DuplicateRoute {
        method: String,
        path: String,
        line: usize,
    },
    /// The class `exact` contradicts `repeat = "idempotent"`.
    #[error(
        "class = \"exact\" needs repeat = \"never\"; write so, or choose class = \"interactive\" if the request is idempotent"
    )]
    ExactIdempotent,
    /// `repeat` is absent although the method is not safe.
    #[error(
        "{0} may change something, so state whether it may run twice: add repeat = \"never\", or repeat = \"idempotent\" if running it again is harmless"
    )]
    RepeatMissing(String),
    /// The route uses more than [`USES_MAX`] services.
    #[error("the route uses {0} services; at most {USES_MAX}, split the route")]
    ManyUses(usize),
    /// The route uses its own service.
    #[error("the route uses its own service {0}; leave it out")]
    UsesSelf(Name),
    /// The route uses a service that does not exist.
    #[error("the route uses {0}, which does not exist; submit {0} first, or correct the name")]
    Dangling(Name),
    /// More than [`FAULTS_MAX`] faults were found.
    #[error("and {0} more faults; fix those above first")]
    More(usize),
}

/// Maximum number of faults in one error.
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

/// Returns the most similar of `known`, if it is similar enough to be suggested for `word`.
pub(super) fn nearest(word: &str, known: &[&'static str]) -> Option<&'static str> {
    let word: String = word.chars().take(COMPARED_CHARS).collect();
    known
        .iter()
        .map(|it| (strsim::jaro_winkler(&word, it), *it))
        .filter(|(similarity, _)| *similarity >= SIMILARITY_MIN)
        .max_by(|lhs, rhs| lhs.0.total_cmp(&rhs.0))
        .map(|(_, it)| it)
}

/// Number of characters that are compared.
const COMPARED_CHARS: usize = 64;

/// Minimum similarity of a suggestion.
const SIMILARITY_MIN: f64 = 0.8;

fn suggestion(nearest: &Option<&'static str>) -> String {
    nearest.map_or_else(String::new, |it| format!(", perhaps \"{it}\""))
}
