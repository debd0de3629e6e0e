//! Parses and checks a [`Document`].

use std::{collections::BTreeMap, sync::Arc};

use toml::de::{DeTable, DeValue};

use crate::{
    document::{
        BODY_MAX, Class, DEADLINE_MAX, DEADLINE_MIN, DOCUMENT_MAX, Document, Drain, Limits,
        METHOD_MAX, METHODS_MAX, OWNER_MAX, PATH_MAX, ROUTES_MAX, Repeat, Retry, Route, SCHEMA,
        USES_MAX, WAIT_MAX, Warmup,
        fault::{BadDocument, FaultKind, nearest},
        table::{Faults, Located, Section, name, truncate, wrong_type},
        unit::{DURATION, SIZE},
    },
    id::Name,
};

const DOCUMENT_KEYS: [&str; 8] = [
    "schema", "service", "owner", "routes", "limits", "retry", "drain", "warmup",
];
const ROUTE_KEYS: [&str; 6] = ["path", "methods", "class", "deadline", "repeat", "uses"];

/// A document with the place of each reference.
pub(super) struct ParsedDocument {
    pub document: Document,
    pub uses: Vec<Located<Name>>,
}

/// Parses and checks `text`. The error lists all faults that can be found in one pass.
pub(super) fn read(text: &str) -> Result<ParsedDocument, BadDocument> {
    let mut faults = Faults::new(text);
    if text.len() > DOCUMENT_MAX {
        faults.add(0, FaultKind::Oversized(text.len()));
        return faults.finish(None);
    }
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let offset = error.span().map_or(0, |it| it.start);
        faults.add(offset, FaultKind::Syntax(error.message().to_owned()));
    }
    // After a syntax error, further checks would report faults that the text does not have.
    if !errors.is_empty() {
        return faults.finish(None);
    }
    if let Some((offset, schema)) = newer_schema(table.get_ref()) {
        faults.add(offset, FaultKind::NewSchema(schema));
        return faults.finish(None);
    }
    let value = document(&mut faults, table.get_ref());
    faults.finish(value)
}

/// Returns the schema if it is newer than [`SCHEMA`]; other faults have no meaning then.
fn newer_schema(table: &DeTable<'_>) -> Option<Located<u64>> {
    let value = table.get("schema")?;
    let DeValue::Integer(number) = value.get_ref() else {
        return None;
    };
    let schema = u64::from_str_radix(number.as_str(), number.radix()).ok()?;
    (schema > u64::from(SCHEMA)).then(|| (value.span().start, schema))
}

fn document(faults: &mut Faults<'_>, table: &DeTable<'_>) -> Option<ParsedDocument> {
    let root = Section::new(faults, "the document", 0, table, &DOCUMENT_KEYS);
    root.require_key(faults, "schema", "\"schema = 1\"");
    let schema = root.count(faults, "schema", 1..=SCHEMA, SCHEMA);
    let service = root.name(faults, "service", "service = \"drafting-desk\"");
    let owner = owner(faults, &root);
    let limits = limits(faults, &root);
    let retry = retry(faults, &root);
    let section = root.section(faults, "drain", &["grace"]);
    let grace = section.quantity(
        faults,
        "grace",
        &DURATION,
        0..=WAIT_MAX,
        Drain::default().grace,
    );
    let section = root.section(faults, "warmup", &["ramp"]);
    let ramp = section.quantity(
        faults,
        "ramp",
        &DURATION,
        0..=WAIT_MAX,
        Warmup::default().ramp,
    );
    let (routes, uses) = routes(faults, &root, service.as_ref().map(|(_, it)| it));
    let document = Document {
        schema,
        service: service?.1,
        owner: owner?,
        routes,
        limits,
        retry,
        drain: Drain { grace },
        warmup: Warmup { ramp },
    };
    Some(ParsedDocument { document, uses })
}

fn owner(faults: &mut Faults<'_>, root: &Section<'_, '_>) -> Option<String> {
    let (offset, text) = root.required(faults, "owner", "owner = \"drafting team\"")?;
    if text.trim().is_empty() || text.len() > OWNER_MAX || text.chars().any(char::is_control) {
        let (key, max) = ("owner", OWNER_MAX);
        faults.add(offset, FaultKind::Text { key, max });
        return None;
    }
    Some(text.to_owned())
}

fn limits(faults: &mut Faults<'_>, root: &Section<'_, '_>) -> Limits {
    let section = root.section(faults, "limits", &["queue", "caller", "body"]);
    let default = Limits::default();
    Limits {
        queue: section.count(faults, "queue", 0..=100_000, default.queue),
        caller: section.count(faults, "caller", 0..=1_000_000, default.caller),
        body: section.quantity(faults, "body", &SIZE, 1..=BODY_MAX, default.body),
    }
}

fn retry(faults: &mut Faults<'_>, root: &Section<'_, '_>) -> Retry {
    let section = root.section(faults, "retry", &["attempts", "budget"]);
    let default = Retry::default();
    Retry {
        attempts: section.count(faults, "attempts", 1..=10, default.attempts),
        budget: section.count(faults, "budget", 0..=100, default.budget),
    }
}

fn routes(
    faults: &mut Faults<'_>,
    root: &Section<'_, '_>,
    own: Option<&Name>,
) -> (Vec<Route>, Vec<Located<Name>>) {
    let tables = root.list(faults, "routes");
    match tables.len() {
        0 if root.get("routes").is_none_or(|(_, it)| it.is_array()) => {
            faults.add(root.offset, FaultKind::NoRoutes);
        }
        count if count > ROUTES_MAX => {
            faults.add(tables[ROUTES_MAX].0, FaultKind::ManyRoutes(count));
            return (Vec::new(), Vec::new());
        }
        _ => {}
    }
    let mut first_lines = BTreeMap::new();
    let mut uses = Vec::new();
    let mut routes = Vec::new();
    for (offset, table) in tables {
        let section = Section::new(faults, "the route", offset, table, &ROUTE_KEYS);
        let route_uses = services(faults, &section, own);
        if let Some(route) = route(faults, &section, &route_uses) {
            check_duplicates(faults, offset, &route, &mut first_lines);
            routes.push(route);
        }
        uses.extend(route_uses);
    }
    routes.sort_by(|lhs, rhs| (rhs.path.len(), &lhs.path).cmp(&(lhs.path.len(), &rhs.path)));
    (routes, uses)
}

fn route(
    faults: &mut Faults<'_>,
    section: &Section<'_, '_>,
    uses: &[Located<Name>],
) -> Option<Route> {
    let path = path(faults, section);
    let methods = methods(faults, section);
    let class = class(faults, section);
    let repeat = repeat(faults, section, class, &methods);
    let deadline = section.quantity(
        faults,
        "deadline",
        &DURATION,
        DEADLINE_MIN..=DEADLINE_MAX,
        class.deadline(),
    );
    Some(Route {
        path: path?,
        methods,
        class,
        deadline,
        repeat,
        uses: uses.iter().map(|(_, it)| it.clone()).collect(),
    })
}

fn path(faults: &mut Faults<'_>, section: &Section<'_, '_>) -> Option<Arc<str>> {
    let (offset, path) = section.required(faults, "path", "path = \"/drafts\"")?;
    let segment = |it: &str| it.is_empty() || it == "." || it == "..";
    let plain = |it: u8| it.is_ascii_graphic() && !b"?#\"<>\\^`{|}*".contains(&it);
    let why = match path.strip_prefix('/') {
        None => "does not start with '/'",
        Some(_) if path.len() > PATH_MAX => "is longer than 512 bytes",
        Some(_) if !path.bytes().all(plain) => {
            "has characters that no path holds (encode them with '%')"
        }
        Some(rest) if !rest.is_empty() && rest.split('/').any(segment) => {
            "has an empty, '.' or '..' segment or ends with '/'"
        }
        Some(_) => return Some(Arc::from(path)),
    };
    let path = truncate(path);
    faults.add(offset, FaultKind::Path { path, why });
    None
}

fn methods(faults: &mut Faults<'_>, section: &Section<'_, '_>) -> Vec<Arc<str>> {
    let texts = section.texts(faults, "methods", "methods = [\"GET\"]");
    if texts.is_empty() && section.get("methods").is_none_or(|(_, it)| it.is_array()) {
        let offset = section.get("methods").map_or(section.offset, |it| it.0);
        faults.add(offset, FaultKind::NoMethods);
    }
    if texts.len() > METHODS_MAX {
        faults.add(texts[METHODS_MAX].0, FaultKind::ManyMethods(texts.len()));
        return Vec::new();
    }
    let valid = |it: u8| it.is_ascii_uppercase() || it == b'-';
    let mut methods: Vec<Arc<str>> = Vec::new();
    for (offset, text) in texts {
        if text.is_empty() || text.len() > METHOD_MAX || !text.bytes().all(valid) {
            faults.add(offset, FaultKind::Method(truncate(text)));
        } else if methods.iter().any(|it| &**it == text) {
            faults.add(offset, FaultKind::Duplicate(text.to_owned()));
        } else {
            methods.push(Arc::from(text));
        }
    }
    methods
}

fn class(faults: &mut Faults<'_>, section: &Section<'_, '_>) -> Class {
    let choices = "\"interactive\", \"exact\" or \"background\"";
    match section.text(faults, "class", choices) {
        None => Class::Interactive,
        Some((_, "interactive")) => Class::Interactive,
        Some((_, "exact")) => Class::Exact,
        Some((_, "background")) => Class::Background,
        Some((offset, other)) => {
            let kind = FaultKind::Choice {
                key: "class",
                value: truncate(other),
                choices,
                nearest: nearest(other, &["interactive", "exact", "background"]),
            };
            faults.add(offset, kind);
            Class::Interactive
        }
    }
}

fn repeat(
    faults: &mut Faults<'_>,
    section: &Section<'_, '_>,
    class: Class,
    methods: &[Arc<str>],
) -> Repeat {
    let choices = "\"idempotent\" or \"never\"";
    let value = match section.get("repeat") {
        None => return default_repeat(faults, section, class, methods),
        Some((offset, DeValue::String(it))) => (offset, it.as_ref()),
        Some((offset, other)) => {
            faults.add(offset, wrong_type("repeat", other, choices));
            return Repeat::Never;
        }
    };
    match value {
        (_, "never") => Repeat::Never,
        (offset, "idempotent") => {
            if class == Class::Exact {
                faults.add(offset, FaultKind::ExactIdempotent);
            }
            Repeat::Idempotent
        }
        (offset, other) => {
            let kind = FaultKind::Choice {
                key: "repeat",
                value: truncate(other),
                choices,
                nearest: nearest(other, &["idempotent", "never"]),
            };
            faults.add(offset, kind);
            Repeat::Never
        }
    }
}

/// Returns the default of `repeat`. Only safe methods have one: a wrong default would run requests twice, or refuse
/// those without an `Idempotency-Key`.
fn default_repeat(
    faults: &mut Faults<'_>,
    section: &Section<'_, '_>,
    class: Class,
    methods: &[Arc<str>],
) -> Repeat {
    if class == Class::Exact {
        return Repeat::Never;
    }
    let unsafe_method = methods.iter().find(|it| !SAFE_METHODS.contains(&&***it));
    if let Some(method) = unsafe_method {
        faults.add(section.offset, FaultKind::RepeatMissing(method.to_string()));
    }
    Repeat::Idempotent
}

/// Safe methods as defined by RFC 9110.
const SAFE_METHODS: [&str; 4] = ["GET", "HEAD", "OPTIONS", "TRACE"];

fn services(
    faults: &mut Faults<'_>,
    section: &Section<'_, '_>,
    own: Option<&Name>,
) -> Vec<Located<Name>> {
    let texts = section.texts(faults, "uses", "uses = [\"court-registry\"]");
    if texts.len() > USES_MAX {
        faults.add(texts[USES_MAX].0, FaultKind::ManyUses(texts.len()));
        return Vec::new();
    }
    let mut uses: Vec<Located<Name>> = Vec::new();
    for (offset, text) in texts {
        let Some(service) = name(faults, (offset, text)) else {
            continue;
        };
        if Some(&service) == own {
            faults.add(offset, FaultKind::UsesSelf(service));
        } else if uses.iter().any(|(_, it)| *it == service) {
            faults.add(offset, FaultKind::Duplicate(service.to_string()));
        } else {
            uses.push((offset, service));
        }
    }
    uses
}

/// Reports each method of `route` that an earlier route with the same path has too.
fn check_duplicates(
    faults: &mut Faults<'_>,
    offset: usize,
    route: &Route,
    first_lines: &mut BTreeMap<(Arc<str>, Arc<str>), usize>,
) {
    let line = faults.line(offset);
    for method in &route.methods {
        let key = (route.path.clone(), method.clone());
        match first_lines.get(&key) {
            Some(first) => {
                let kind = FaultKind::DuplicateRoute {
                    method: method.to_string(),
                    path: truncate(&route.path),
                    line: *first,
                };
                faults.add(offset, kind);
            }
            None => {
                first_lines.insert(key, line);
            }
        }
    }
}
