//! Owner side: learns from answers what the upstream says about itself.

use std::sync::{Mutex, PoisonError};

use http::HeaderMap;
use laburnum_kernel::{
    Ms,
    sampling::{Kind, Sampler, Verdict},
    standing::{Rate, Standing},
};

use crate::{logs, upstream::ActiveUpstream};

use super::Traffic;

/// Writes the changes of the upstream's standing to the log, at a bounded rate.
#[derive(Debug, Default)]
pub(super) struct StandingLog(Mutex<Sampler>);

impl Traffic {
    /// Applies what an answer of `upstream` says about it; its request was sent at `sent`.
    pub(super) fn observe_statement(
        &self,
        upstream: &ActiveUpstream,
        sent: Ms,
        headers: &HeaderMap,
    ) {
        let statement = self.0.dialect.statement(headers);
        if let Some(standing) = self.0.gate.observe(upstream.start, sent, statement) {
            self.0.standing_log.write(self.now(), upstream, standing);
        }
    }
}

impl StandingLog {
    fn write(&self, now: Ms, upstream: &ActiveUpstream, standing: Standing) {
        let verdict = {
            let mut sampler = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            sampler.admit(now, Kind::Success)
        };
        let Verdict::Write { omitted } = verdict else {
            return;
        };
        let pairs = [
            (
                "instance",
                upstream.instance.as_deref().unwrap_or_default().to_owned(),
            ),
            ("limit", limit_text(standing.limit)),
            ("leaving", standing.leaving.to_string()),
            ("omitted", omitted.to_string()),
        ];
        logs::event("upstream-standing", &pairs);
    }
}

/// Returns a limit for the log; empty if there is none.
pub(super) fn limit_text(limit: Option<Rate>) -> String {
    limit.map(|it| it.to_string()).unwrap_or_default()
}
