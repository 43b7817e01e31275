//! The state machine of the control role: the configuration, its history and verdicts.
//!
//! Every voter applies the same commands in the same order and comes to the same state. Nothing
//! here reads a clock or draws at random: author, time and reason come with the command. Fencing
//! numbers are the log's own: each term of office has one.
//!
//! - [`command`]: what the log carries.
//! - [`history`]: the last versions, who made them and why.
//! - [`verdicts`]: the first verdict of each patch id.

pub mod command;
pub mod history;
pub mod verdicts;

use std::sync::Arc;

use snipemast_config::{Config, Delta, Patch, Verdict, WallTime};
use snipemast_core::prelude::*;

use crate::apply::{self, RestoreError, StateMachine};

pub use command::{Command, CommandError, Reply, Submission};
pub use history::{Bounds, History, HistoryEntry, HistoryError};
pub use verdicts::{PatchDigest, Verdicts};

/// How many versions are passed over when a lost majority is replaced: more than could have
/// been accepted and lost unseen.
const LOST_VERSIONS: u64 = 1_000;

/// The configuration in force and what led to it.
#[derive(Debug, Default)]
pub struct ConfigMachine {
    config: Arc<Config>,
    history: History,
    verdicts: Verdicts,
}

impl ConfigMachine {
    /// Starts from a configuration.
    pub fn new(config: Config) -> Self {
        let config = Arc::new(config);
        Self {
            history: History::new(Arc::clone(&config), Bounds::default()),
            config,
            verdicts: Verdicts::default(),
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The last versions, who made them and why.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Carries a command out.
    pub fn run(&mut self, command: &Command) -> Reply {
        match command {
            Command::Submit(submission) => Reply::Verdict(self.submit(submission)),
        }
    }

    /// Applies a patch whole or refuses it whole.
    ///
    /// Failure guarded against: an operator resends a patch whose answer was lost, and it takes
    /// effect twice. The first verdict is kept under the patch's id and given again. A verdict
    /// that fell out of memory does no harm: an accepted patch raised the version, so that its
    /// resend is a conflict.
    pub fn submit(&mut self, submission: &Submission) -> Verdict {
        let Submission {
            patch,
            author,
            time,
        } = submission;
        let digest = PatchDigest::of(patch, author.as_ref());
        if let Some(first) = self.verdicts.find(&patch.id, &digest) {
            return first;
        }
        let verdict = match patch.prepare(&self.config) {
            Ok(change) => {
                let version = change.config.version;
                self.config = Arc::new(change.config);
                let entry = HistoryEntry::new(patch, author.clone(), *time, change.delta);
                self.history.push(entry, &self.config);
                Verdict::Accepted { version }
            }
            Err(refusal) => Verdict::Refused { refusal },
        };
        self.verdicts
            .keep(patch.id.clone(), digest, verdict.clone());
        verdict
    }

    /// What a patch would come to now; nothing changes.
    pub fn dry_run(&self, patch: &Patch) -> Verdict {
        match patch.prepare(&self.config) {
            Ok(change) => Verdict::Accepted {
                version: change.config.version,
            },
            Err(refusal) => Verdict::Refused { refusal },
        }
    }

    /// The whole state, to be restored by [`ConfigMachine::from_state`].
    pub fn state(&self) -> State {
        State {
            config: self.config.as_ref().clone(),
            history: self.history.entries().cloned().collect(),
            base: self.history.base().as_ref().clone(),
            verdicts: self.verdicts.clone(),
        }
    }

    /// The machine that had this state.
    pub fn from_state(state: State) -> Result<Self, HistoryError> {
        let mut history = History::new(Arc::new(state.base), Bounds::default());
        for entry in state.history {
            let mut next = history.newest().as_ref().clone();
            entry
                .delta
                .advance(&mut next)
                .map_err(|_| HistoryError::Broken {
                    version: entry.version,
                })?;
            history.push(entry, &Arc::new(next));
        }
        if history.newest().version != state.config.version {
            return Err(HistoryError::Broken {
                version: state.config.version,
            });
        }
        Ok(Self {
            config: Arc::new(state.config),
            history,
            verdicts: state.verdicts,
        })
    }
}

data! {
    /// The whole state of a machine.
    pub struct State {
        /// The configuration in force.
        pub config: Config,
        /// The configuration before the oldest entry of the history.
        pub base: Config,
        /// The last versions.
        pub history: Vec<HistoryEntry>,
        /// The verdicts that are remembered.
        pub verdicts: Verdicts,
    }
}

impl Submission {
    /// A patch without an author, as tests and the demonstration submit it.
    pub fn new(patch: Patch) -> Self {
        Self {
            patch,
            author: None,
            time: WallTime::default(),
        }
    }

    /// Says who submits it.
    #[must_use]
    pub fn with_author(mut self, author: OperatorId) -> Self {
        self.author = Some(author);
        self
    }

    /// Says when it was submitted.
    #[must_use]
    pub fn with_time(mut self, time: WallTime) -> Self {
        self.time = time;
        self
    }
}

impl StateMachine for ConfigMachine {
    fn apply(&mut self, _: Index, command: &[u8]) -> Vec<u8> {
        let reply = match Command::from_bytes(command) {
            Ok(command) => self.run(&command),
            Err(_) => Reply::Unknown,
        };
        reply.to_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(&self.state()).expect("the state is plain data")
    }

    fn restore(&mut self, bytes: &[u8]) -> apply::Result<()> {
        let refused = |reason: String| RestoreError { reason };
        let state = rmp_serde::from_slice(bytes).map_err(|e| refused(e.to_string()))?;
        *self = Self::from_state(state).map_err(|e| refused(e.to_string()))?;
        Ok(())
    }

    /// Failure guarded against: versions that were accepted and then lost with their majority
    /// are still in force at some entry, and the same numbers are given out again. It shows as
    /// two contents under one number. The numbers go on well above the lost ones.
    fn majority_replaced(&mut self, _: Index) {
        let from = self.config.version;
        let delta = Delta::new(from, Version::new(from.get() + LOST_VERSIONS));
        let next = delta.apply(&self.config).expect("the delta starts here");
        self.config = Arc::new(next);
        self.history
            .push(HistoryEntry::replaced(delta), &self.config);
    }
}
