//! Owner side: learns what the upstream says about itself, from its answers and from what entries remember.

use std::sync::{Mutex, PoisonError};

use http::HeaderMap;
use laburnum_kernel::{
    Ms,
    refusal::{Reason, Refusal},
    sampling::{Kind, Sampler, Verdict},
    standing::{Rate, Standing},
};

use crate::{logs, upstream::ActiveUpstream};

use super::{Traffic, denial::Denial, headers, owner::DRAINING_MS};

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
            self.apply_standing(upstream, standing, "answer");
        }
    }

    /// Applies what the entry remembers of `upstream`, and refuses the request if the upstream leaves.
    ///
    /// A process that has just started has seen no answer yet. Without the memory of others it would send an upstream
    /// more than it takes, or requests after it began to leave.
    pub(super) fn adopt_remembered(
        &self,
        upstream: &ActiveUpstream,
        headers: &HeaderMap,
    ) -> Result<(), Denial> {
        let remembered = headers::standing(headers);
        if let Some(standing) = remembered.and_then(|it| self.0.gate.adopt(it)) {
            self.apply_standing(upstream, standing, "entry");
        }
        match self.0.gate.standing().leaving {
            true => Err(Denial::Refused(Refusal::after(
                Reason::Draining,
                DRAINING_MS,
            ))),
            false => Ok(()),
        }
    }

    fn apply_standing(&self, upstream: &ActiveUpstream, standing: Standing, from: &str) {
        self.0
            .standing_log
            .write(self.now(), upstream, standing, from);
        if standing.leaving {
            self.0.upstream.mark_leaving(upstream);
        }
    }
}

impl StandingLog {
    fn write(&self, now: Ms, upstream: &ActiveUpstream, standing: Standing, from: &str) {
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
            ("from", from.to_owned()),
            ("omitted", omitted.to_string()),
        ];
        logs::event("upstream-standing", &pairs);
    }
}

/// Returns a limit for the log; empty if there is none.
pub(super) fn limit_text(limit: Option<Rate>) -> String {
    limit.map(|it| it.to_string()).unwrap_or_default()
}
