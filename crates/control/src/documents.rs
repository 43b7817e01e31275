//! The state machine of whole configurations: the document with the highest version is in force.

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::apply::{RestoreError, Result, StateMachine};
use crate::files::encode;

data! {
    /// A whole configuration, as an operator sent it.
    pub struct Submission {
        /// Its version.
        pub version: Version,
        /// Its text, which has already been validated.
        #[serde(with = "serde_bytes")]
        pub text: Vec<u8>,
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
    }
}

/// The configuration in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Documents {
    version: Version,
    text: Vec<u8>,
}

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

    /// Returns the configuration in force as it was submitted, if there is one.
    pub fn submission(&self) -> Option<Submission> {
        (self.version > Version(0)).then(|| self.to_submission())
    }

    /// Returns the verdict on a submission if it is certain without the log.
    ///
    /// Versions only rise, so a submission below the version in force can never be accepted.
    pub fn known_verdict(&self, submission: &Submission) -> Option<Verdict> {
        if submission.version > self.version {
            return None;
        }
        let other = submission.version == self.version && submission.text != self.text;
        Some(if other {
            Verdict::Conflict
        } else {
            Verdict::Held
        })
    }

    fn to_submission(&self) -> Submission {
        Submission {
            version: self.version,
            text: self.text.clone(),
        }
    }
}

impl StateMachine for Documents {
    fn apply(&mut self, _: Index, command: &[u8]) -> Vec<u8> {
        let Ok(submission) = rmp_serde::from_slice::<Submission>(command) else {
            // Only a later release can have written this command. Every voter of this release gives
            // the same verdict.
            return encode(&Verdict::Conflict);
        };
        let verdict = self.known_verdict(&submission);
        if verdict.is_none() {
            self.version = submission.version;
            self.text = submission.text;
        }
        encode(&verdict.unwrap_or(Verdict::Accepted))
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(&self.to_submission())
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        let kept: Submission = rmp_serde::from_slice(bytes).map_err(|e| RestoreError {
            reason: e.to_string(),
        })?;
        (self.version, self.text) = (kept.version, kept.text);
        Ok(())
    }
}
