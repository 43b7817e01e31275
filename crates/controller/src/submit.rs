//! Submissions to the replicated log, and the configurations that it holds.

use std::sync::Arc;

use async_channel::Receiver;

use snipemast_control::documents::{Amendment, Command, Submission, Verdict};
use snipemast_control::history::History;
use snipemast_control::Input;
use snipemast_core::prelude::*;
use snipemast_diff::Diff;
use snipemast_net::exec::within;
use snipemast_registry::fetch::Original;

use crate::voter::{Answer, Running, Voter, VERDICT_TIMEOUT};

/// A committed configuration with its latest changes.
pub(crate) struct CommittedConfiguration {
    version: Version,
    text: Arc<Vec<u8>>,
    history: History,
}

impl Original for CommittedConfiguration {
    fn version(&self) -> Version {
        self.version
    }

    fn has_changes_since(&self, version: Version) -> bool {
        self.history.since(version).is_some()
    }

    fn changes_since(&self, version: Version) -> Vec<Diff> {
        let changes = self.history.since(version);
        let changes = changes.map(|c| c.iter().map(|d| Diff::clone(d)).collect());
        changes.unwrap_or_else(|| vec![Diff::whole(&self.text)])
    }
}

impl Voter {
    /// Submits a command if this voter is the leader; returns the verdict, if there is one.
    pub(crate) async fn submit(&self, command: Command) -> Option<Verdict> {
        if let Some(verdict) = self.known_verdict(&command) {
            return Some(verdict);
        }
        let answer = match command {
            Command::Evacuate(_) | Command::Depart { .. } => self.propose(&command),
            Command::Configure(submission) => self.propose_submission(submission),
            Command::Amend(amendment) => match self.expand(&amendment) {
                Some(submission) => self.propose_submission(submission),
                None => return Some(Verdict::OtherBase),
            },
        };
        let answer = within(VERDICT_TIMEOUT, async { answer?.recv().await.ok() }).await;
        let verdict = answer.flatten()?.ok()?;
        snipemast_net::rpc::decode(&verdict).ok()
    }

    fn propose(&self, command: &Command) -> Option<Receiver<Answer>> {
        let command = snipemast_net::rpc::encode(command).to_vec();
        self.submit_input(|ticket| Input::Propose { ticket, command })
    }

    /// Proposes a submission as a change of the configuration before it.
    fn propose_submission(&self, submission: Submission) -> Option<Receiver<Answer>> {
        let (term, last, draft) = {
            let guard = self.running.lock();
            let Running { node, log_end, .. } = guard.as_ref()?;
            let applied = node.is_ready_leader().then(|| node.machine());
            let draft = log_end.draft(node.term(), applied, submission);
            (node.term(), node.log().last_index(), draft)
        };
        let answer = self.propose(&draft.command);
        let mut guard = self.running.lock();
        let Running { node, log_end, .. } = guard.as_mut()?;
        let index = node.log().last_index();
        if node.term() == term && index > last {
            log_end.record(term, index, draft.end);
        }
        answer
    }

    /// Returns what an amendment leads to, if this voter has the configuration that it starts from.
    fn expand(&self, amendment: &Amendment) -> Option<Submission> {
        let guard = self.running.lock();
        let Running { node, log_end, .. } = guard.as_ref()?;
        let pending = log_end.text(node.term(), amendment.base);
        let pending = pending.and_then(|text| amendment.diff.apply(text).ok());
        let pending = pending.map(|text| Submission {
            version: amendment.to,
            text,
        });
        pending.or_else(|| node.machine().expand(amendment))
    }

    /// Writes a submission as a change of the configuration that this voter has, for the leader.
    pub(crate) fn amend(&self, submission: &Submission) -> Option<Amendment> {
        let guard = self.running.lock();
        let machine = guard.as_ref()?.node.machine();
        let base = machine.version();
        (base > Version(0)).then(|| Amendment {
            base,
            to: submission.version,
            diff: Diff::between(machine.text(), &submission.text),
        })
    }

    /// Returns the verdict on a command that needs no entry in the log.
    fn known_verdict(&self, command: &Command) -> Option<Verdict> {
        let guard = self.running.lock();
        let node = &guard.as_ref()?.node;
        node.machine().known_verdict(command)
    }

    /// Returns the text of the committed configuration that this voter knows, if there is one.
    pub(crate) fn text(&self) -> Option<Arc<Vec<u8>>> {
        let guard = self.running.lock();
        let machine = guard.as_ref()?.node.machine();
        (machine.version() > Version(0)).then(|| Arc::clone(machine.shared_text()))
    }

    /// Returns the committed configuration that this voter knows, with its latest changes.
    pub(crate) fn original(&self) -> Option<CommittedConfiguration> {
        let guard = self.running.lock();
        let machine = guard.as_ref()?.node.machine();
        Some(CommittedConfiguration {
            version: machine.version(),
            text: Arc::clone(machine.shared_text()),
            history: machine.history().clone(),
        })
    }
}
