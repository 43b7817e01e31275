//! The state machine of whole configurations, evacuations and departures: the document with the highest version
//! is in force, the evacuated availability zones are those of the last orders, and servers that deregistered stay gone.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use snipemast_core::data;
use snipemast_core::departures::{Departure, Departures};
use snipemast_core::prelude::*;
use snipemast_diff::Diff;

use crate::apply::{RestoreError, Result, StateMachine};
use crate::files::encode;
use crate::history::History;

/// The number of evacuation revisions that are skipped when a lost majority is replaced: more than
/// can have been accepted and lost unnoticed.
const SKIPPED_REVISIONS: u64 = 1_000;

/// The most availability zones that can be evacuated at once, which bounds the state.
pub const MAX_EVACUATED_ZONES: usize = 256;

/// A command of an operator, as the log holds it.
///
/// The variants are told apart by their fields, so that a log in which an earlier release wrote bare
/// submissions is readable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Command {
    /// Puts a whole configuration into force.
    Configure(Submission),
    /// Changes a configuration, which leads to the next one.
    Amend(Amendment),
    /// Evacuates an availability zone or takes it back.
    Evacuate(EvacuationOrder),
    /// Records that servers deregistered.
    Depart {
        /// The servers.
        departures: Vec<Departure>,
    },
}

data! {
    /// A whole configuration, as an operator sent it.
    pub struct Submission {
        /// Its version.
        pub version: Version,
        /// Its text, which has already been validated.
        #[serde(with = "serde_bytes")]
        pub text: Vec<u8>,
    }

    /// A configuration, as a change of an earlier one.
    pub struct Amendment {
        /// The version of the configuration that it starts from.
        pub base: Version,
        /// The version that it leads to.
        pub to: Version,
        /// What leads from the one text to the other, which has already been validated.
        pub diff: Diff,
    }

    /// The outcome of a submission.
    #[derive(Copy)]
    pub enum Verdict {
        /// The submission is in force now.
        Accepted,
        /// The submission or one with a higher version was already in force; nothing changed.
        Held,
        /// Other content is in force under the same version; nothing changed.
        Conflict,
        /// As many availability zones as possible are evacuated already; nothing changed.
        Full,
        /// The change starts from another configuration than the one in force; nothing changed. It may be submitted as
        /// a whole.
        OtherBase,
    }

    /// The whole state, as a snapshot holds it.
    struct State {
        version: Version,
        #[serde(with = "serde_bytes")]
        text: Vec<u8>,
        /// Missing in snapshots of earlier releases.
        #[serde(default)]
        evacuations: Evacuations,
        /// Missing in snapshots of earlier releases.
        #[serde(default)]
        departures: Departures,
    }
}

/// The configuration in force, the evacuated availability zones, and the servers that deregistered last.
///
/// Voters that got a snapshot keep fewer changes than others; all else is the same at all of them.
#[derive(Debug, Clone, Default)]
pub struct Documents {
    version: Version,
    text: Arc<Vec<u8>>,
    evacuations: Evacuations,
    departures: Departures,
    history: History,
}

impl PartialEq for Documents {
    /// Compares what is replicated, which the kept changes aren't.
    fn eq(&self, other: &Self) -> bool {
        let Self {
            version,
            text,
            evacuations,
            departures,
            history: _,
        } = self;
        let others = (
            &other.version,
            &other.text,
            &other.evacuations,
            &other.departures,
        );
        (version, text, evacuations, departures) == others
    }
}

impl Eq for Documents {}

impl Documents {
    /// Creates a machine without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the text of the configuration in force.
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Returns the text of the configuration in force, to be kept.
    pub fn shared_text(&self) -> &Arc<Vec<u8>> {
        &self.text
    }

    /// Returns the latest changes.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the configuration in force as it was submitted, if there is one.
    pub fn submission(&self) -> Option<Submission> {
        (self.version > Version(0)).then(|| Submission {
            version: self.version,
            text: self.text.to_vec(),
        })
    }

    /// Returns the evacuated availability zones.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the servers that deregistered last.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns the verdict on a command if it is certain without the log.
    ///
    /// Versions only rise, so a submission below the version in force can never be accepted. A zone
    /// can be evacuated and taken back any number of times, so an evacuation always needs the log.
    pub fn known_verdict(&self, command: &Command) -> Option<Verdict> {
        match command {
            Command::Configure(submission) => self.submission_verdict(submission),
            Command::Amend(amendment) if amendment.to < self.version => Some(Verdict::Held),
            Command::Amend(_) | Command::Evacuate(_) | Command::Depart { .. } => None,
        }
    }

    fn submission_verdict(&self, submission: &Submission) -> Option<Verdict> {
        if submission.version > self.version {
            return None;
        }
        let other = submission.version == self.version && submission.text != *self.text;
        Some(if other {
            Verdict::Conflict
        } else {
            Verdict::Held
        })
    }

    fn configure(&mut self, submission: Submission) -> Verdict {
        if let Some(verdict) = self.submission_verdict(&submission) {
            return verdict;
        }
        let diff = Diff::between(&self.text, &submission.text);
        self.put_in_force(submission, diff);
        Verdict::Accepted
    }

    fn amend(&mut self, amendment: Amendment) -> Verdict {
        if amendment.to < self.version {
            return Verdict::Held;
        }
        let Some(submission) = self.expand(&amendment) else {
            return Verdict::OtherBase;
        };
        if let Some(verdict) = self.submission_verdict(&submission) {
            return verdict;
        }
        self.put_in_force(submission, amendment.diff);
        Verdict::Accepted
    }

    /// Returns what an amendment leads to, if it starts from the configuration in force.
    pub fn expand(&self, amendment: &Amendment) -> Option<Submission> {
        if amendment.base != self.version {
            return None;
        }
        let text = amendment.diff.apply(&self.text).ok()?;
        Some(Submission {
            version: amendment.to,
            text,
        })
    }

    fn put_in_force(&mut self, submission: Submission, diff: Diff) {
        if self.version > Version(0) {
            let length = submission.text.len();
            self.history.push(self.version, Arc::new(diff), length);
        }
        self.version = submission.version;
        self.text = Arc::new(submission.text);
    }

    fn evacuate(&mut self, order: &EvacuationOrder) -> Verdict {
        let zones = &self.evacuations.zones;
        let is_new = order.evacuated && !zones.contains(&order.zone);
        if is_new && zones.len() >= MAX_EVACUATED_ZONES {
            return Verdict::Full;
        }
        if self.evacuations.apply(order) {
            Verdict::Accepted
        } else {
            Verdict::Held
        }
    }
}

impl StateMachine for Documents {
    fn apply(&mut self, _: Index, command: &[u8]) -> Vec<u8> {
        let verdict = match rmp_serde::from_slice(command) {
            Ok(Command::Configure(submission)) => self.configure(submission),
            Ok(Command::Amend(amendment)) => self.amend(amendment),
            Ok(Command::Evacuate(order)) => self.evacuate(&order),
            Ok(Command::Depart { departures }) => {
                self.departures.add(departures);
                Verdict::Accepted
            }
            // Only a later release can have written this command. Every voter of this release gives
            // the same verdict.
            Err(_) => Verdict::Conflict,
        };
        encode(&verdict)
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(&State {
            version: self.version,
            text: self.text.to_vec(),
            evacuations: self.evacuations.clone(),
            departures: self.departures.clone(),
        })
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        let kept: State = rmp_serde::from_slice(bytes).map_err(|e| RestoreError {
            reason: e.to_string(),
        })?;
        (self.version, self.text) = (kept.version, Arc::new(kept.text));
        self.history.clear();
        self.evacuations = kept.evacuations;
        self.departures = kept.departures;
        Ok(())
    }

    /// Skips revisions, so that gateways that had lost ones in force take the next one.
    fn majority_replaced(&mut self, _: Index) {
        self.evacuations.revision += SKIPPED_REVISIONS;
    }
}
