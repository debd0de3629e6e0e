//! Waiting until a change is in force everywhere.

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

/// Time between two looks.
const PAUSE: Duration = Duration::from_millis(200);

/// How the wait ended.
#[derive(Debug)]
pub struct Waited {
    /// The position waited for.
    pub target: Seq,
    /// The last status seen.
    pub status: StatusBody,
}

impl Waited {
    /// Whether every node alive has reported that it holds the position.
    ///
    /// That nobody is known to lag is not enough: a node that has reported nothing yet may lag, and an
    /// operator who was told otherwise would go on to the next change.
    pub fn done(&self) -> bool {
        self.status.everywhere && self.status.heard >= self.target
    }

    /// How a command ends that waited.
    pub fn outcome(&self) -> Outcome {
        match self.done() {
            true => Outcome::Done,
            false => Outcome::Unavailable,
        }
    }

    /// One line on it.
    pub fn text(&self) -> String {
        let Waited { target, status } = self;
        match self.done() {
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

/// Looks at the node's status until every node holds `target` or `patience` is over; tells progress.
pub async fn everywhere(
    client: &Client,
    target: Seq,
    patience: Duration,
    err: &mut dyn Write,
) -> Result<Waited, ClientError> {
    let start = Instant::now();
    let mut told = String::new();
    loop {
        let status = client.status().await?;
        let waited = Waited { target, status };
        if waited.done() || start.elapsed() + PAUSE > patience {
            return Ok(waited);
        }
        let line = progress(&waited);
        if line != told {
            // A closed pipe leaves nobody to tell.
            let _ = err.write_all(line.as_bytes());
            told = line;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn progress(waited: &Waited) -> String {
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
