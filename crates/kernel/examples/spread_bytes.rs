//! Prints the sizes of typical changes in several candidate wire forms, and in whole messages as sent.
//!
//! Run with `cargo run --release -p laburnum-kernel --example spread_bytes`.

use laburnum_kernel::{
    Ms, Revision, Seq, SubmitId,
    log::{Batch, Change, Edit, Log},
    settings::SpreadForm,
    spread::{
        history::History,
        wire::{self, Range, TEMPLATE},
    },
    utils::hash64,
};
use similar::{ChangeTag, TextDiff};

fn main() {
    let small = include_str!("../../../examples/nile/drafting-desk.toml").to_owned();
    let large = document(12);
    let cases = [
        (
            "small: one deadline",
            small.clone(),
            small.replace("deadline = \"800ms\"", "deadline = \"900ms\""),
        ),
        (
            "large: one deadline",
            large.clone(),
            large.replacen("deadline = \"1007ms\"", "deadline = \"2500ms\"", 1),
        ),
        ("large: route added", large.clone(), document(13)),
        (
            "large: every deadline",
            large.clone(),
            large.replace("deadline = \"10", "deadline = \"20"),
        ),
        ("small: new service", String::new(), small.clone()),
        ("large: new service", String::new(), large.clone()),
    ];
    println!(
        "{:24}{:>7}{:>7}{:>7}{:>7}{:>9}{:>9}{:>7}{:>8}{:>8}{:>9}",
        "change",
        "full",
        "lz4",
        "zstd",
        "miniz",
        "lz4+dict",
        "zstd+dict",
        "lines",
        "lines+z",
        "lz4(old)",
        "zstd(old)"
    );
    for (name, old, new) in &cases {
        let template = TEMPLATE.as_bytes();
        let lines = line_delta(old, new);
        println!(
            "{name:24}{:7}{:7}{:7}{:7}{:9}{:9}{:7}{:8}{:8}{:9}",
            new.len(),
            lz4_len(b"", new),
            zstd_len(b"", new.as_bytes()),
            miniz_oxide::deflate::compress_to_vec(new.as_bytes(), 9).len(),
            lz4_len(template, new),
            zstd_len(template, new.as_bytes()),
            lines.len(),
            zstd_len(template, &lines),
            lz4_len(old.as_bytes(), new),
            zstd_len(old.as_bytes(), new.as_bytes()),
        );
    }
    println!(
        "\n{:>24}{:>9}{:>9}{:>9}{:>9}",
        "services in one message", "log row", "full", "delta", "ids"
    );
    for count in [1, 5, 20, 100] {
        print_messages(
            count,
            &large,
            &large.replacen("deadline = \"1007ms\"", "deadline = \"2500ms\"", 1),
        );
    }
    let started = std::time::Instant::now();
    for _ in 0..1_000 {
        std::hint::black_box(wire::diff(&large, &small));
    }
    println!(
        "\none delta takes {} us",
        started.elapsed().as_micros() / 1_000
    );
}

/// Prints the sizes in bytes of whole messages that update `count` services by one version.
fn print_messages(count: u64, old: &str, new: &str) {
    let mut log = Log::default();
    let mut history = History::default();
    let batch = |seq: u64, text: &str| Batch {
        seq: Seq(seq),
        changes: (0..count).map(|it| change(seq, it, text)).collect(),
    };
    log.apply(batch(1, old).into());
    history.follow(&log);
    log.apply(batch(2, new).into());
    history.follow(&log);
    let size = |range: Option<Range>| range.map_or(0, |it| wire::len(&it));
    let raw = postcard::to_stdvec(&batch(2, new)).map_or(0, |it| it.len());
    println!(
        "{count:24}{raw:9}{:9}{:9}{:9}",
        size(history.range(&log, Seq(1), SpreadForm::Full)),
        size(history.range(&log, Seq(1), SpreadForm::Delta)),
        16 * count
    );
}

fn change(seq: u64, service: u64, text: &str) -> Change {
    let name = format!("service-{service}");
    let text = text
        .replace("drafting-desk", &name)
        .replace("drafting team", &format!("team {service}"));
    let id = hash64(&[&seq.to_le_bytes(), &service.to_le_bytes()]);
    Change {
        id: SubmitId(u128::from(id) << 64 | u128::from(!id)),
        service: name.parse().expect("a literal name is valid"),
        base: Revision(seq - 1),
        revision: Revision(seq),
        edit: Edit::Put { text },
        author: format!("operator-{service}"),
        reason: "quarterly review of deadlines".to_owned(),
        time: Ms(1_700_000_000_000),
    }
}

/// Returns a document with `routes` routes.
fn document(routes: usize) -> String {
    let head = include_str!("../../../examples/nile/drafting-desk.toml");
    let head = head.split("[[routes]]").next().unwrap_or_default();
    let words = [
        "drafts", "plans", "families", "visits", "sessions", "courts",
    ];
    let route = |it: usize| {
        format!(
            "[[routes]]\npath = \"/v1/{}/{it}\"\nmethods = [\"GET\", \"PUT\"]\nclass = \"interactive\"\n\
             deadline = \"{}ms\"\nrepeat = \"idempotent\"\nuses = [\"court-registry\"]\n\n",
            words[it % words.len()],
            1000 + 7 * it
        )
    };
    (0..routes).fold(head.to_owned(), |text, it| text + &route(it))
}

fn lz4_len(dictionary: &[u8], text: &str) -> usize {
    lz4_flex::block::compress_with_dict(text.as_bytes(), dictionary).len()
}

fn zstd_len(dictionary: &[u8], bytes: &[u8]) -> usize {
    let packed = zstd::bulk::Compressor::with_dictionary(19, dictionary)
        .and_then(|mut it| it.compress(bytes))
        .expect("the memory suffices");
    packed.len()
}

/// Returns a line-based delta: runs of kept or dropped lines as two-byte counts, new lines as text.
fn line_delta(old: &str, new: &str) -> Vec<u8> {
    let diff = TextDiff::from_lines(old, new);
    let mut bytes = Vec::new();
    let mut run: Option<(ChangeTag, u8)> = None;
    for change in diff.iter_all_changes() {
        let tag = change.tag();
        match &mut run {
            Some((last, count)) if *last == tag => *count += 1,
            _ => {
                bytes.extend(run.map(|(tag, count)| [tag as u8, count]).iter().flatten());
                run = Some((tag, 1));
            }
        }
        if tag == ChangeTag::Insert {
            bytes.extend_from_slice(change.value().as_bytes());
        }
    }
    bytes.extend(run.map(|(tag, count)| [tag as u8, count]).iter().flatten());
    bytes
}
