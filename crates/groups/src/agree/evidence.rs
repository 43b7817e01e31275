//! Which map a new incarnation of a group starts with.

use snipemast_core::data;
use snipemast_core::prelude::*;

use super::message::{ActiveMap, Attempt, Decided, SharedMap, Verdict};

data! {
    /// A promise that waits for its verdict.
    #[derive(Hash)]
    pub struct Open {
        /// The attempt.
        pub attempt: Attempt,
        /// The map that it would bring.
        pub map: SharedMap,
    }

    /// What a rank knows of the last incarnation that it stepped in.
    #[derive(Default, Hash)]
    pub struct Evidence {
        /// Whether its agent remembers; an agent that restarted shows what its engine holds.
        pub remembers: bool,
        /// The last map that it committed, or that its engine stepped with.
        pub standing: Option<ActiveMap>,
        /// What it promised and has no verdict for.
        pub open: Option<Open>,
        /// The last verdict that it took.
        pub last: Option<Decided>,
    }
}

impl Evidence {
    /// The map that a new incarnation must start with: the last that any rank may have stepped
    /// with, as far as these ranks can tell.
    ///
    /// Failure guarded against: the only ranks that knew of a commit die after they entered a
    /// step with it, and the group goes back to the map before; callers see tokens that two maps
    /// computed. A commit needs a promise of every rank, so an attempt that all who remember
    /// still hold open may have been committed, and is taken; one that any of them never
    /// promised, or knows as aborted, was not.
    pub fn choose(all: &[Self]) -> Option<(MapVersion, SharedMap)> {
        let standing = all.iter().filter_map(|e| e.standing.as_ref());
        let latest = standing.max_by_key(|s| (s.incarnation, s.version))?;
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
            .filter(|o| witnesses.iter().all(|e| e.allows(o.attempt)));
        Some(possible.map_or(committed, |o| (o.attempt.version, o.map.clone())))
    }

    /// The verdict that any of these ranks took for an attempt.
    pub fn verdict_of(all: &[Self], attempt: Attempt) -> Option<Verdict> {
        all.iter()
            .filter_map(|e| e.last)
            .find(|d| d.attempt == attempt)
            .map(|d| d.verdict)
    }

    fn incarnation(&self) -> Option<GroupIncarnation> {
        self.standing.as_ref().map(|s| s.incarnation)
    }

    /// Whether the attempt may have been committed, as far as this rank can tell.
    fn allows(&self, attempt: Attempt) -> bool {
        self.open.as_ref().is_some_and(|o| o.attempt == attempt)
    }
}
