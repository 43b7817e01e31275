//! The state machine of whole configurations: the document with the highest number is in force.

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::apply::{RestoreError, Result, StateMachine};
use crate::files::encode;

data! {
    /// A whole configuration, as its operator sent it.
    pub struct Submission {
        /// Its number.
        pub version: Version,
        /// Its text, already checked.
        #[serde(with = "serde_bytes")]
        pub text: Vec<u8>,
    }

    /// What became of a submission.
    #[derive(Copy)]
    pub enum Verdict {
        /// It is in force now.
        Accepted,
        /// It is in force already, or a higher number is: nothing changed.
        Held,
        /// Other content is in force under its number: nothing changed.
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
    /// No configuration yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The number of the configuration in force; 0 where there is none.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The text of the configuration in force.
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// The configuration in force as it was submitted, if there is one.
    pub fn submission(&self) -> Option<Submission> {
        (self.version > Version(0)).then(|| self.to_submission())
    }

    /// What would become of a submission, if that is settled without the log.
    ///
    /// Numbers only rise, so what is overtaken stays overtaken.
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
            // Every voter decides alike; only a voter of a later release could have written it.
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
