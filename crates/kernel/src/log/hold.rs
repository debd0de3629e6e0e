//! Decides which accepted versions this node puts in force.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    id::{Name, Revision},
    kernel::Context,
    log::{Log, Service},
};

/// A service whose accepted version or deletion is not in force on this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The service.
    pub service: Name,
    /// The accepted revision; zero for a deletion.
    pub revision: Revision,
    /// Why it is not in force.
    pub why: String,
}

impl Held {
    /// Writes a log line.
    pub(super) fn write_log(&self, cx: &mut Context<'_>) {
        let pairs = vec![
            ("service", self.service.to_string()),
            ("revision", self.revision.to_string()),
            ("why", self.why.clone()),
        ];
        cx.log("version-held", pairs);
    }
}

impl Log {
    /// Returns the services that are newly held since the last call.
    pub fn take_reports(&mut self) -> Vec<Held> {
        std::mem::take(&mut self.reports)
    }

    /// Puts the accepted versions of the services in `changed` in force, as far as this node can use them.
    ///
    /// A node may be too old for a document's schema. A version that needs a held one is held too, transitively, so
    /// that all routes in force resolve.
    pub(super) fn update_in_force(&mut self, changed: BTreeSet<Name>) {
        let mut candidates = changed;
        candidates.extend(self.held.keys().cloned());
        let mut held: BTreeMap<Name, String> = BTreeMap::new();
        loop {
            let newly_held: Vec<(Name, String)> = candidates
                .iter()
                .filter(|name| !held.contains_key(*name))
                .filter_map(|name| Some((name.clone(), self.hold_reason(name, &held)?)))
                .collect();
            if newly_held.is_empty() {
                break;
            }
            held.extend(newly_held);
        }
        let usable: Vec<&Name> = candidates
            .iter()
            .filter(|it| !held.contains_key(*it))
            .collect();
        for name in usable {
            self.put_in_force(name);
        }
        self.record_held(held);
    }

    /// Returns why the accepted version of `name` cannot be in force while the services in `held` are held.
    fn hold_reason(&self, name: &Name, held: &BTreeMap<Name, String>) -> Option<String> {
        let Some(latest) = self.latest.get(name) else {
            return self.removal_hold_reason(name, held);
        };
        let document = match &latest.document {
            Ok(document) => document,
            Err(why) => return Some(why.to_string()),
        };
        let mut uses = document.uses().into_iter();
        let missing = uses.find(|it| match (self.latest.get(*it), held.contains_key(*it)) {
            (None, _) => true,
            (Some(_), false) => false,
            // A version from before the held one does not depend on it.
            (Some(target), true) => {
                target.revision <= latest.revision || !self.services.contains_key(*it)
            }
        })?;
        Some(format!(
            "it routes to {missing}, of which this node lacks the accepted version"
        ))
    }

    /// Returns why the deleted service `name` must stay in force.
    fn removal_hold_reason(&self, name: &Name, held: &BTreeMap<Name, String>) -> Option<String> {
        self.services.get(name)?;
        let user = held.keys().find(|it| {
            let service = self.services.get(*it);
            *it != name && service.is_some_and(|it| it.document.uses().contains(name))
        })?;
        Some(format!(
            "it was deleted, but {user} as in force on this node routes to it"
        ))
    }

    fn put_in_force(&mut self, name: &Name) {
        self.held.remove(name);
        let Some(latest) = self.latest.get(name) else {
            self.services.remove(name);
            return;
        };
        if let Ok(document) = &latest.document {
            let service = Service {
                revision: latest.revision,
                text: latest.text.clone(),
                document: document.clone(),
            };
            self.services.insert(name.clone(), service);
        }
    }

    fn record_held(&mut self, held: BTreeMap<Name, String>) {
        for (service, why) in held {
            let revision = self
                .latest
                .get(&service)
                .map_or(Revision(0), |it| it.revision);
            let now = Held {
                service: service.clone(),
                revision,
                why,
            };
            let before = self.held.insert(service, now.clone());
            if before.is_none_or(|it| it.revision != now.revision) {
                self.reports.push(now);
            }
        }
    }
}
