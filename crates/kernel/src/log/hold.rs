//! Which accepted versions this node may put in force.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    id::{Name, Revision},
    kernel::Context,
    log::{Log, Service},
};

/// A service of which an older version (or none, or a deleted one) stays in force on this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The service.
    pub service: Name,
    /// The accepted revision that is not in force here; zero for a deletion.
    pub revision: Revision,
    /// Why not.
    pub why: String,
}

impl Held {
    /// Reports it as one log line.
    pub(super) fn log(&self, cx: &mut Context<'_>) {
        let pairs = vec![
            ("service", self.service.to_string()),
            ("revision", self.revision.to_string()),
            ("why", self.why.clone()),
        ];
        cx.log("version-held", pairs);
    }
}

impl Log {
    /// The services newly held since the last call, each reported once.
    pub fn take_reports(&mut self) -> Vec<Held> {
        std::mem::take(&mut self.reports)
    }

    /// Puts every accepted version in force that this node can use, after `changed` changed.
    ///
    /// A node may be older than a document's schema. Were the refused version just left out, a route of
    /// another service could name a version that is not there, or a service that is gone; so every version
    /// that needs a held one is held too, until nothing more follows. The versions in force before resolve
    /// among themselves, and holding only ever keeps such a version, so the result resolves.
    pub(super) fn settle(&mut self, changed: BTreeSet<Name>) {
        let mut open = changed;
        open.extend(self.held.keys().cloned());
        let mut held: BTreeMap<Name, String> = BTreeMap::new();
        loop {
            let more: Vec<(Name, String)> = open
                .iter()
                .filter(|name| !held.contains_key(*name))
                .filter_map(|name| Some((name.clone(), self.obstacle(name, &held)?)))
                .collect();
            if more.is_empty() {
                break;
            }
            held.extend(more);
        }
        let free: Vec<&Name> = open.iter().filter(|it| !held.contains_key(*it)).collect();
        for name in free {
            self.enforce(name);
        }
        self.report(held);
    }

    /// Why the accepted version of `name` cannot be in force while the services in `held` stay behind.
    fn obstacle(&self, name: &Name, held: &BTreeMap<Name, String>) -> Option<String> {
        let Some(latest) = self.latest.get(name) else {
            return self.obstacle_to_removal(name, held);
        };
        let document = match &latest.document {
            Ok(document) => document,
            Err(why) => return Some(why.to_string()),
        };
        let mut uses = document.uses().into_iter();
        let lacking = uses.find(|it| match (self.latest.get(*it), held.contains_key(*it)) {
            (None, _) => true,
            (Some(_), false) => false,
            // A version written before the held one never needed it.
            (Some(target), true) => {
                target.revision <= latest.revision || !self.services.contains_key(*it)
            }
        })?;
        Some(format!(
            "it routes to {lacking}, of which this node lacks the accepted version"
        ))
    }

    fn obstacle_to_removal(&self, name: &Name, held: &BTreeMap<Name, String>) -> Option<String> {
        self.services.get(name)?;
        let user = held.keys().find(|it| {
            let service = self.services.get(*it);
            *it != name && service.is_some_and(|it| it.document.uses().contains(name))
        })?;
        Some(format!(
            "deleted, but {user} of this node still routes to it"
        ))
    }

    fn enforce(&mut self, name: &Name) {
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

    fn report(&mut self, held: BTreeMap<Name, String>) {
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
