//! Runs `laburnum-bench smoke`, the first command of the README.

use std::time::Duration;

use laburnum_bench::{report::Verdict, smoke};

/// Timeout of the whole run, which usually takes a few seconds.
const LIMIT: Duration = Duration::from_secs(120);

#[tokio::test(flavor = "multi_thread")]
async fn smoke_passes_every_check() {
    let run = tokio::time::timeout(LIMIT, smoke::run()).await;
    let report = run.expect("it ends").expect("the fleet runs");
    assert_eq!(report.verdict(), Verdict::Pass, "{report}");
}
