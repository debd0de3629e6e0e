//! `--wait`: polls a node until a change is in force everywhere.

use std::{
    io::Write,
    time::{Duration, Instant},
};

use laburnum_edge::api::StatusBody;
use laburnum_kernel::Seq;

use crate::{
    client::{Client, ClientError},
    report::Outcome,
};

/// Interval of status polls.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Result of a wait.
#[derive(Debug)]
pub struct Waited {
    /// Log position waited for.
    pub target: Seq,
    /// Last status received.
    pub status: StatusBody,
}

impl Waited {
    /// Returns whether every live node has reported that it holds the position.
    ///
    /// The absence of known laggards is not enough, since nodes that have not reported yet may lag.
    pub fn is_everywhere(&self) -> bool {
        self.status.everywhere && self.status.heard >= self.target
    }

    /// Returns the outcome of the command that waited.
    pub fn outcome(&self) -> Outcome {
        match self.is_everywhere() {
            true => Outcome::Done,
            false => Outcome::Unavailable,
        }
    }

    /// Returns one line of text for the report.
    pub fn text(&self) -> String {
        let Waited { target, status } = self;
        match self.is_everywhere() {
            true => format!(
                "in force everywhere: seq {target} at {} nodes\n",
                status.nodes
            ),
            false => format!(
                "not in force everywhere yet: seq {target}, {} of {} nodes reported, {} behind; see laburnum-ctl status\n",
                status.reported,
                status.nodes,
                status.behind.len()
            ),
        }
    }
}

/// Polls the node's status until every node holds `target` or `timeout` has passed; writes progress to `err`.
pub async fn wait_until_everywhere(
    client: &Client,
    target: Seq,
    timeout: Duration,
    err: &mut dyn Write,
) -> Result<Waited, ClientError> {
    let start = Instant::now();
    let mut last_line = String::new();
    loop {
        let status = client.status().await?;
        let waited = Waited { target, status };
        if waited.is_everywhere() || start.elapsed() + POLL_INTERVAL > timeout {
            return Ok(waited);
        }
        let line = progress_line(&waited);
        if line != last_line {
            // Write errors, such as a closed pipe, cannot be reported.
            let _ = err.write_all(line.as_bytes());
            last_line = line;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn progress_line(waited: &Waited) -> String {
    let status = &waited.status;
    format!(
        "waiting: seq {} of {} here, {} of {} nodes reported, {} behind\n",
        status.seq,
        waited.target,
        status.reported,
        status.nodes,
        status.behind.len()
    )
}
