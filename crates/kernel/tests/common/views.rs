//! Membership as seen by the kernels of a [`Net`].

use std::collections::BTreeSet;

use laburnum_kernel::{
    Kernel, NodeId,
    members::{Members, Phase, Reach, Record},
};

use super::{Net, id};

impl Net {
    /// Returns the kernel of a node.
    pub fn node(&self, number: usize) -> &Kernel {
        &self.nodes[&id(number)]
    }

    /// Returns the record of `subject` that `viewer` holds.
    pub fn record(&self, viewer: usize, subject: usize) -> Option<&Record> {
        self.held(id(viewer), id(subject))
    }

    pub fn reach(&self, viewer: usize, subject: usize) -> Option<Reach> {
        self.node(viewer).state().members.reach(id(subject))
    }

    /// Returns the phases of `subject` that the other running nodes hold; `None` for a node that
    /// doesn't list it.
    pub fn phases(&self, subject: usize) -> BTreeSet<Option<Phase>> {
        let viewers = self.nodes.keys().filter(|it| **it != id(subject));
        viewers
            .map(|it| self.held(*it, id(subject)).map(|it| it.phase))
            .collect()
    }

    fn held(&self, viewer: NodeId, subject: NodeId) -> Option<&Record> {
        let mut alive = self.nodes[&viewer].state().members.alive();
        alive.find(|it| it.id == subject)
    }

    /// Returns whether every running node holds exactly the running nodes, all as reachable.
    pub fn converged(&self) -> bool {
        let running: BTreeSet<NodeId> = self.nodes.keys().copied().collect();
        let roots: BTreeSet<u64> = (self.nodes.values())
            .map(|it| it.state().members.root())
            .collect();
        let held = self.nodes.values().map(|it| &it.state().members);
        let complete = |it: &Members| {
            let all: BTreeSet<_> = it
                .alive_with_reach()
                .map(|(it, reach)| (it.id, reach))
                .collect();
            all == running.iter().map(|it| (*it, Reach::Reachable)).collect()
        };
        roots.len() == 1 && held.clone().all(complete)
    }
}

impl Net {
    /// Returns the pairs of viewer and subject in which a running node is missed or a dead one not
    /// held as unreachable.
    pub fn stuck(&self) -> Vec<(NodeId, NodeId)> {
        let mut stuck = Vec::new();
        for (viewer, kernel) in &self.nodes {
            let members = &kernel.state().members;
            let missed = self.nodes.keys();
            let missed = missed.filter(|it| members.reach(**it) != Some(Reach::Reachable));
            stuck.extend(missed.map(|it| (*viewer, *it)));
            let ghosts = members.alive_with_reach();
            let ghosts = ghosts.filter(|(it, reach)| {
                *reach != Reach::Unreachable && !self.nodes.contains_key(&it.id)
            });
            stuck.extend(ghosts.map(|(it, _)| (*viewer, it.id)));
        }
        stuck
    }
}
