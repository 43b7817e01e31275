//! The state machine that applies patches: the configuration, its history and the verdicts.
//!
//! Every voter applies the same commands in the same order and reaches the same state. Nothing
//! here reads a clock or a random number: author, time and reason come with the command. Fencing
//! numbers come from the log, one for each term with a leader.
//!
//! - [`command`]: the commands in the log and their replies.
//! - [`history`]: the last versions, with their authors and reasons.
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

/// The number of versions that are skipped when a lost majority is replaced: more than can have
/// been accepted and lost unnoticed.
const SKIPPED_VERSIONS: u64 = 1_000;

/// The configuration in force, its history and the verdicts on patches.
#[derive(Debug, Default)]
pub struct ConfigMachine {
    config: Arc<Config>,
    history: History,
    verdicts: Verdicts,
}

impl ConfigMachine {
    /// Creates a machine that starts from this configuration.
    pub fn new(config: Config) -> Self {
        let config = Arc::new(config);
        Self {
            history: History::new(Arc::clone(&config), Bounds::default()),
            config,
            verdicts: Verdicts::default(),
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the last versions, with their authors and reasons.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Executes a command.
    pub fn execute(&mut self, command: &Command) -> Reply {
        match command {
            Command::Submit(submission) => Reply::Verdict(self.submit(submission)),
        }
    }

    /// Applies a patch as a whole, or refuses it as a whole.
    ///
    /// The first verdict is kept under the patch's id and returned again for a resend, so that a
    /// patch whose answer was lost does not take effect twice. A verdict that was evicted does no
    /// harm: an accepted patch raised the version, so that its resend is a conflict.
    pub fn submit(&mut self, submission: &Submission) -> Verdict {
        let Submission {
            patch,
            author,
            time,
        } = submission;
        let digest = PatchDigest::compute(patch, author.as_ref());
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
            .remember(patch.id.clone(), digest, verdict.clone());
        verdict
    }

    /// Returns the verdict that a patch would get now, without applying it.
    pub fn dry_run(&self, patch: &Patch) -> Verdict {
        match patch.prepare(&self.config) {
            Ok(change) => Verdict::Accepted {
                version: change.config.version,
            },
            Err(refusal) => Verdict::Refused { refusal },
        }
    }

    /// Returns the whole state, which [`ConfigMachine::from_state`] restores.
    pub fn state(&self) -> State {
        State {
            config: self.config.as_ref().clone(),
            history: self.history.entries().cloned().collect(),
            base: self.history.base().as_ref().clone(),
            verdicts: self.verdicts.clone(),
        }
    }

    /// Restores a machine from its state.
    pub fn from_state(state: State) -> Result<Self, HistoryError> {
        let mut history = History::new(Arc::new(state.base), Bounds::default());
        for entry in state.history {
            let mut next = history.newest().as_ref().clone();
            entry
                .delta
                .apply_in_place(&mut next)
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
        /// The history of the last versions, oldest first.
        pub history: Vec<HistoryEntry>,
        /// The verdicts on the latest patches.
        pub verdicts: Verdicts,
    }
}

impl Submission {
    /// Creates a submission without an author, as tests and the demonstration need it.
    pub fn new(patch: Patch) -> Self {
        Self {
            patch,
            author: None,
            time: WallTime::default(),
        }
    }

    /// Sets the author.
    #[must_use]
    pub fn with_author(mut self, author: OperatorId) -> Self {
        self.author = Some(author);
        self
    }

    /// Sets the time of submission.
    #[must_use]
    pub fn with_time(mut self, time: WallTime) -> Self {
        self.time = time;
        self
    }
}

impl StateMachine for ConfigMachine {
    fn apply(&mut self, _: Index, command: &[u8]) -> Vec<u8> {
        let reply = match Command::from_bytes(command) {
            Ok(command) => self.execute(&command),
            Err(_) => Reply::Unknown,
        };
        reply.to_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(&self.state()).expect("the state can be encoded")
    }

    fn restore(&mut self, bytes: &[u8]) -> apply::Result<()> {
        let refused = |reason: String| RestoreError { reason };
        let state = rmp_serde::from_slice(bytes).map_err(|e| refused(e.to_string()))?;
        *self = Self::from_state(state).map_err(|e| refused(e.to_string()))?;
        Ok(())
    }

    /// Skips versions, so that numbering continues well above any version that was lost.
    ///
    /// A version that was accepted and then lost with its majority may still be in force at some
    /// entry. If its number were assigned again, two contents would exist under one number.
    fn majority_replaced(&mut self, _: Index) {
        let from = self.config.version;
        let delta = Delta::new(from, Version::new(from.get() + SKIPPED_VERSIONS));
        let next = delta.apply(&self.config).expect("the delta starts here");
        self.config = Arc::new(next);
        self.history
            .push(HistoryEntry::replaced(delta), &self.config);
    }
}
