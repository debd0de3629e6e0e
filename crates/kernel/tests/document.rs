//! Parsing of documents. Each file under `data/documents` lists its expected faults in leading comments.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use laburnum_kernel::{
    Name,
    document::{
        self, Class, DOCUMENT_MAX, Document, FAULTS_MAX, OWNER_MAX, ROUTES_MAX, Repeat, USES_MAX,
    },
};
use proptest::prelude::*;
use test_case::test_case;

const EXPECT: &str = "# expect: ";
const HEAD: &str = "schema = 1\nservice = \"drafting-desk\"\nowner = \"drafting team\"\n";

fn root(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

fn files(folder: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(root(folder)).expect("a folder");
    let mut paths: Vec<PathBuf> = entries
        .map(|it| it.expect("an entry").path())
        .filter(|it| it.extension().is_some_and(|it| it == "toml"))
        .collect();
    paths.sort();
    assert!(!paths.is_empty(), "{folder} holds no documents");
    paths
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).expect("a readable file")
}

fn name(text: &str) -> Name {
    text.parse().expect("a name")
}

/// Returns the faults as `line:column message`.
fn faults(text: &str) -> Vec<String> {
    match Document::parse(text) {
        Ok(_) => Vec::new(),
        Err(error) => error
            .faults
            .iter()
            .map(|it| format!("{}:{} {}", it.line, it.column, it.kind))
            .collect(),
    }
}

// Guards against missing, wrong or additional faults.
#[test]
fn files_have_exactly_the_expected_faults() {
    let wrong: Vec<String> = files("tests/data/documents")
        .iter()
        .filter_map(|it| fault_mismatch(it))
        .collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Describes how the faults of a file differ from the expected ones, if they do.
fn fault_mismatch(path: &Path) -> Option<String> {
    let text = read(path);
    let expected: Vec<&str> = text
        .lines()
        .map_while(|it| it.strip_prefix(EXPECT))
        .collect();
    let found = faults(&text);
    let matches = match expected[..] {
        [] => false,
        ["ok"] => found.is_empty(),
        _ => {
            found.len() == expected.len()
                && found
                    .iter()
                    .zip(&expected)
                    .all(|(lhs, rhs)| lhs.starts_with(rhs))
        }
    };
    let (expected, found) = (expected.join("\n  "), found.join("\n  "));
    (!matches).then(|| {
        format!(
            "{}\n expected\n  {expected}\n found\n  {found}",
            path.display()
        )
    })
}

// Guards against examples that are not valid or have references that do not resolve.
#[test]
fn examples_are_valid_and_use_only_each_other() {
    for folder in ["../../examples/nile", "../../examples/cascadia"] {
        let texts: Vec<String> = files(folder).iter().map(|it| read(it)).collect();
        let documents: Vec<Document> = texts
            .iter()
            .map(|it| Document::parse(it).expect("a valid example"))
            .collect();
        let services: BTreeSet<&Name> = documents.iter().map(|it| &it.service).collect();
        assert_eq!(services.len(), 2, "{folder}");
        let used: BTreeSet<&Name> = documents.iter().flat_map(Document::uses).collect();
        assert_eq!(used.len(), 1, "{folder}");
        for text in &texts {
            document::check_uses(text, |it| services.contains(it)).expect("no dangling route");
        }
    }
}

// Guards against a wrong choice among routes.
#[test_case("GET", "/drafts/7", Class::Interactive, Repeat::Idempotent, 800)]
#[test_case("PUT", "/drafts/7", Class::Interactive, Repeat::Idempotent, 1_500)]
#[test_case("POST", "/filings", Class::Exact, Repeat::Never, 5_000)]
#[test_case(
    "GET",
    "/archive/1998/3",
    Class::Background,
    Repeat::Idempotent,
    60_000
)]
fn example_route_matches(method: &str, path: &str, class: Class, repeat: Repeat, deadline: u64) {
    let text = read(&root("../../examples/nile/drafting-desk.toml"));
    let document = Document::parse(&text).expect("a valid example");
    let route = document.route(method, path).expect("a route");
    assert_eq!(
        (route.class, route.repeat, route.deadline),
        (class, repeat, deadline)
    );
}

// Guards against a route for requests that none of them covers.
#[test_case("DELETE", "/drafts/7"; "method without a route")]
#[test_case("GET", "/draftsmen"; "part of a segment")]
#[test_case("GET", "/"; "shorter path")]
fn example_has_no_other_routes(method: &str, path: &str) {
    let text = read(&root("../../examples/nile/drafting-desk.toml"));
    let document = Document::parse(&text).expect("a valid example");
    assert_eq!(document.route(method, path), None);
}

// Guards against changed defaults.
#[test]
fn absent_keys_have_their_defaults() {
    let text = format!(
        "{HEAD}[[routes]]\npath = \"/a\"\nmethods = [\"GET\"]\n\
         [[routes]]\npath = \"/ab\"\nmethods = [\"POST\"]\nclass = \"exact\"\n\
         [[routes]]\npath = \"/abc\"\nmethods = [\"GET\"]\nclass = \"background\"\n"
    );
    let it = Document::parse(&text).expect("valid");
    assert_eq!(
        (it.limits.queue, it.limits.caller, it.limits.body),
        (64, 0, 1 << 20)
    );
    assert_eq!((it.retry.attempts, it.retry.budget), (3, 10));
    assert_eq!((it.drain.grace, it.warmup.ramp), (30_000, 5_000));
    let routes: Vec<_> = it
        .routes
        .iter()
        .map(|it| (&*it.path, it.class, it.repeat, it.deadline))
        .collect();
    let expected = [
        ("/abc", Class::Background, Repeat::Idempotent, 60_000),
        ("/ab", Class::Exact, Repeat::Never, 5_000),
        ("/a", Class::Interactive, Repeat::Idempotent, 1_000),
    ];
    assert_eq!(routes, expected);
}

// Guards against an unresolved reference that is missed or reported at the wrong place.
#[test]
fn dangling_references_are_found_at_their_place() {
    let text = format!(
        "{HEAD}[[routes]]\npath = \"/a\"\nmethods = [\"GET\"]\nuses = [\"court-registry\", \"archive\"]\n"
    );
    let error = document::check_uses(&text, |it| *it == name("archive")).expect_err("dangling");
    assert_eq!(
        error.to_string(),
        "line 7, column 9: the route uses court-registry, which does not exist; \
         submit court-registry first, or correct the name"
    );
}

/// Returns a document with `count` routes, each followed by `line`.
fn document_with_routes(count: usize, line: &str) -> String {
    let routes =
        (0..count).map(|it| format!("[[routes]]\npath = \"/{it}\"\nmethods = [\"GET\"]\n{line}\n"));
    format!("{HEAD}{}", routes.collect::<String>())
}

// Guards against changed or missing bounds.
#[test]
fn sizes_are_bounded() {
    assert_eq!(
        faults(&document_with_routes(ROUTES_MAX, "")),
        Vec::<String>::new()
    );
    let found = faults(&document_with_routes(ROUTES_MAX + 1, ""));
    assert_eq!(
        found,
        ["1028:1 the document has 257 routes; split the service or merge paths, at most 256"]
    );

    let padding = "#".repeat(DOCUMENT_MAX - document_with_routes(1, "").len());
    assert_eq!(
        faults(&document_with_routes(1, &padding)),
        Vec::<String>::new()
    );
    let found = faults(&document_with_routes(1, &format!("{padding}#")));
    assert_eq!(
        found,
        ["1:1 the document has 49153 bytes; shorten it to at most 49152"]
    );

    let owner = document_with_routes(1, "").replace("drafting team", &"x".repeat(OWNER_MAX + 1));
    assert_eq!(
        faults(&owner),
        ["3:9 \"owner\" is not valid; use 1 to 128 characters without control characters"]
    );

    let methods: Vec<String> = (b'A'..=b'Q')
        .map(|it| format!("\"{}\"", it as char))
        .collect();
    let text = document_with_routes(1, "").replace("\"GET\"", &methods.join(","));
    assert!(faults(&text)[0].ends_with("the route has 17 methods; name at most 16"));

    let used: Vec<String> = (0..=USES_MAX).map(|it| format!("\"s{it}\"")).collect();
    let found = faults(&document_with_routes(
        1,
        &format!("uses = [{}]", used.join(",")),
    ));
    assert!(found[0].ends_with("the route uses 65 services; at most 64, split the route"));
}

// Guards against errors of unbounded length.
#[test]
fn long_lists_of_faults_end_with_their_number() {
    let found = faults(&document_with_routes(FAULTS_MAX + 7, "deadline = \"1\""));
    assert_eq!(found.len(), FAULTS_MAX + 1);
    assert!(found[FAULTS_MAX].ends_with("and 7 more faults; fix those above first"));
}

// Guards against error messages that repeat long values, and against a stack overflow by deep nesting.
#[test_case(&format!("{HEAD}x = {}", "[".repeat(30_000)); "deep nesting")]
#[test_case(&format!("{HEAD}{} = 1", "k".repeat(60_000)); "long key")]
#[test_case(&format!("{HEAD}class = \"{}\"", "v".repeat(60_000)); "long value")]
#[test_case(&format!("{HEAD}{} = 1", vec!["a"; 20_000].join(".")); "many dots")]
#[test_case("schema = 1\r\n\u{0}\u{feff}"; "control characters")]
fn hostile_texts_give_short_errors(text: &str) {
    let error = Document::parse(text).expect_err("a fault").to_string();
    assert!(error.len() < 8 * 1024, "{} bytes", error.len());
}

proptest! {
    // Guards against panics.
    #[test]
    fn any_text_is_read_without_panic(text in "\\PC{0,400}") {
        let _ = Document::parse(&text);
    }

    // Guards against places outside the text, in a valid document with random edits.
    #[test]
    fn faults_point_into_the_text(start in 0_usize..1_800, len in 0_usize..40, fill in "[a-z\"\\[\\]=\n]{0,6}") {
        let mut text = read(&root("../../examples/nile/drafting-desk.toml"));
        let start = start.min(text.len());
        let end = (start + len).min(text.len());
        text.replace_range(start..end, &fill);
        if let Err(error) = Document::parse(&text) {
            prop_assert!(!error.faults.is_empty());
            for fault in error.faults {
                prop_assert!(fault.line <= text.lines().count() + 1);
                prop_assert!(fault.column >= 1);
            }
        }
    }
}
