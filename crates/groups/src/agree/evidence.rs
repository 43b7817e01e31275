//! Which map a new incarnation of a group starts with.

use snipemast_core::data;
use snipemast_core::prelude::*;

use super::message::{ActiveMap, Attempt, Decided, SharedMap, Verdict};

data! {
    /// An attempt that a rank has promised and that has no verdict yet.
    #[derive(Hash)]
    pub struct OpenAttempt {
        /// The attempt.
        pub attempt: Attempt,
        /// The map that it would bring into force.
        pub map: SharedMap,
    }

    /// What a rank knows of the last incarnation of the group that it stepped in.
    #[derive(Default, Hash)]
    pub struct Evidence {
        /// Whether its agent took part in that incarnation. An agent that has restarted since can
        /// only report what its engine holds.
        pub remembers: bool,
        /// The last map that it committed, or that its engine stepped with.
        #[serde(rename = "standing")]
        pub active: Option<ActiveMap>,
        /// The attempt that it has promised and that has no verdict yet.
        pub open: Option<OpenAttempt>,
        /// The last verdict that it applied.
        pub last: Option<Decided>,
    }
}

impl Evidence {
    /// Returns the map that a new incarnation must start with: the last one that any rank may have
    /// stepped with, as far as these ranks can tell.
    ///
    /// Failure guarded against: the only ranks that knew of a commit die after they entered a
    /// step with it, and the group goes back to the map before. Callers then see tokens that were
    /// computed with two maps. A commit needs a promise of every rank, so an attempt that all
    /// remembering ranks still hold open may have been committed, and its map is used. An attempt
    /// that one of them never promised, or knows to be aborted, was not committed.
    pub fn choose_map(all: &[Self]) -> Option<(MapVersion, SharedMap)> {
        let active = all.iter().filter_map(|e| e.active.as_ref());
        let latest = active.max_by_key(|a| (a.incarnation, a.version))?;
        let committed = (latest.version, latest.map.clone());
        let witnesses: Vec<&Self> = all
            .iter()
            .filter(|e| e.remembers && e.incarnation() == Some(latest.incarnation))
            .collect();
        let possible = witnesses
            .iter()
            .filter_map(|e| e.open.as_ref())
            .max_by_key(|o| o.attempt)
            .filter(|o| o.attempt.version > committed.0)
            .filter(|o| witnesses.iter().all(|e| e.may_have_committed(o.attempt)));
        Some(possible.map_or(committed, |o| (o.attempt.version, o.map.clone())))
    }

    /// Returns the verdict on an attempt, where one of these ranks has applied it.
    pub fn find_verdict(all: &[Self], attempt: Attempt) -> Option<Verdict> {
        all.iter()
            .filter_map(|e| e.last)
            .find(|d| d.attempt == attempt)
            .map(|d| d.verdict)
    }

    fn incarnation(&self) -> Option<GroupIncarnation> {
        self.active.as_ref().map(|a| a.incarnation)
    }

    /// Whether the attempt may have been committed, as far as this rank can tell.
    fn may_have_committed(&self, attempt: Attempt) -> bool {
        self.open.as_ref().is_some_and(|o| o.attempt == attempt)
    }
}
