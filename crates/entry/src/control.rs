//! The control role of this host, or the forwarding of patches to a host that has it.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};

use error_stack::Report;
use parking_lot::Mutex;

use snipemast_config::{Config, Verdict};
use snipemast_control::apply::{self, StateMachine};
use snipemast_control::machine::{Command, ConfigMachine, Reply, Submission};
use snipemast_control::{Location, Timing};
use snipemast_core::prelude::*;
use snipemast_settings::ControlSettings;
use snipemast_wire::config::{PatchAnswer, PatchAsk};
use snipemast_wire::message::path;
use snipemast_wire::Peer;

use crate::shared::Shared;
use crate::voter::{LogStorage, SubmitError, Voter, VoterError, VoterOptions};

/// The result of submitting a patch.
pub type Result<T> = std::result::Result<T, ControlError>;

/// How long the control hosts may take to reach a verdict; longer than an election.
const DECISION_TIMEOUT: Span = Span::from_secs(3);
/// How long one host may take to answer a forwarded patch.
const FORWARD_TIMEOUT: Span = Span::from_secs(4);
/// The most hosts that one patch is forwarded to.
const MAX_ATTEMPTS: usize = 3;
/// The most hosts that may forward a patch on its way to a control host.
const MAX_HOPS: u8 = 3;
/// The interval at which a control host records the state of its leader.
const LINK_INTERVAL: Span = Span::from_millis(250);
/// How long a submission waits for its accepted version to be in force on this host.
const CATCH_UP_TIMEOUT: Span = Span::from_secs(1);

/// The reason why a patch has no verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlError {
    /// No majority of the control hosts is reachable; nothing was accepted.
    Minority,
    /// No control host is reachable; nothing was accepted.
    Unreachable,
    /// An answer was lost, and the patch may be in force; resending it with the same id gives the
    /// verdict.
    Unknown,
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Minority => {
                "no majority of the control hosts is in reach; the patch was not accepted"
            }
            Self::Unreachable => "no control host is in reach; the patch was not accepted",
            Self::Unknown => "the answer was lost; send the patch again under the same id",
        })
    }
}

impl std::error::Error for ControlError {}

/// The control role of this host.
#[derive(Debug)]
pub struct Control {
    voter: Voter,
    machine: SharedMachine,
}

/// The state machine, which the voter drives and operators' requests read.
#[derive(Debug, Clone, Default)]
struct SharedMachine(Arc<Mutex<ConfigMachine>>);

impl StateMachine for SharedMachine {
    fn apply(&mut self, index: Index, command: &[u8]) -> Vec<u8> {
        self.0.lock().apply(index, command)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.lock().snapshot()
    }

    fn restore(&mut self, bytes: &[u8]) -> apply::Result<()> {
        self.0.lock().restore(bytes)
    }

    fn majority_replaced(&mut self, index: Index) {
        self.0.lock().majority_replaced(index);
    }
}

impl Control {
    /// Starts the role on the host that listens at this address.
    pub fn start(
        shared: &Arc<Shared>,
        settings: &ControlSettings,
        address: SocketAddr,
    ) -> std::result::Result<Self, Report<VoterError>> {
        let options = VoterOptions {
            log: log_storage(settings)?,
            location: Location {
                host: shared.settings.host.clone(),
                zone: shared.settings.zone.clone(),
                address,
            },
            voters: settings.voters.clone(),
            timing: Timing::default(),
            unique_id: process_number(shared),
        };
        let machine = SharedMachine::default();
        let weak_shared: Weak<Shared> = Arc::downgrade(shared);
        let watch = move |machine: &SharedMachine| {
            let config = Arc::clone(machine.0.lock().config());
            if let Some(shared) = weak_shared.upgrade() {
                shared.apply(config);
            }
        };
        let journal = shared.journal.clone();
        let voter = Voter::start(options, machine.clone(), journal, watch)?;
        Ok(Self { voter, machine })
    }

    /// Returns the voter.
    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    /// Reads the state machine under its lock.
    pub fn read<T>(&self, read: impl FnOnce(&ConfigMachine) -> T) -> T {
        read(&self.machine.0.lock())
    }

    fn config(&self) -> Arc<Config> {
        self.read(|machine| Arc::clone(machine.config()))
    }

    async fn submit(&self, submission: Submission) -> PatchAnswer {
        let command = Command::Submit(submission).to_bytes();
        match self.voter.submit(command, DECISION_TIMEOUT).await {
            Ok(reply) => match Reply::from_bytes(&reply) {
                Reply::Verdict(verdict) => PatchAnswer::Verdict(verdict),
                Reply::Unknown => PatchAnswer::Unknown,
            },
            Err(SubmitError::NoLeader | SubmitError::NoQuorum | SubmitError::Busy) => {
                PatchAnswer::Minority
            }
            Err(SubmitError::Ended) => PatchAnswer::Unreachable,
            Err(SubmitError::Unknown | SubmitError::Change(_)) => PatchAnswer::Unknown,
        }
    }
}

/// Returns where the log is kept.
///
/// Failure guarded against: a control host whose settings lack the data folder by mistake votes,
/// forgets its log at the next restart, and accepted versions are lost. A log in memory must be
/// asked for, and is allowed only for a single voter.
fn log_storage(settings: &ControlSettings) -> std::result::Result<LogStorage, Report<VoterError>> {
    let alone = settings.voters.len() <= 1;
    match &settings.data {
        Some(folder) => Ok(LogStorage::Folder(folder.clone())),
        None if settings.forgetful && alone => Ok(LogStorage::Memory),
        None => Err(Report::new(VoterError::Storage("(no data folder)".into()))),
    }
}

/// Returns a number that no other process has: hosts differ by name, and starts of one host by
/// incarnation.
fn process_number(shared: &Shared) -> u64 {
    let hash = snipemast_config::KeyHash::from_key(&shared.process.to_string());
    hash.prefix()
}

/// Submits a patch to the voter of this host, or through the hosts that this one follows.
pub async fn submit(shared: &Shared, submission: &Submission) -> Result<Verdict> {
    let patch_ask = PatchAsk {
        submission: submission.clone(),
        hops: MAX_HOPS,
    };
    let verdict = match handle_patch(shared, patch_ask).await {
        PatchAnswer::Verdict(verdict) => verdict,
        PatchAnswer::Minority => return Err(ControlError::Minority),
        PatchAnswer::Unreachable => return Err(ControlError::Unreachable),
        PatchAnswer::Unknown => return Err(ControlError::Unknown),
    };
    record_verdict(shared, submission, &verdict);
    if let Verdict::Accepted { version } = verdict {
        wait_for_version(shared, version).await;
    }
    Ok(verdict)
}

/// Submits or forwards a patch of this or another process.
pub async fn handle_patch(shared: &Shared, patch_ask: PatchAsk) -> PatchAnswer {
    if let Some(control) = shared.control() {
        return control.submit(patch_ask.submission).await;
    }
    match patch_ask.hops.checked_sub(1) {
        Some(hops) => forward(shared, PatchAsk { hops, ..patch_ask }).await,
        None => PatchAnswer::Unreachable,
    }
}

/// Forwards a patch to the hosts that this one follows, one after the other.
///
/// A patch may arrive twice; by its id the second arrival gets the first verdict. A patch that may
/// have arrived at a host without an answer counts as unknown.
async fn forward(shared: &Shared, patch_ask: PatchAsk) -> PatchAnswer {
    let mut worst = PatchAnswer::Unreachable;
    for address in shared.settings.seeds.iter().take(MAX_ATTEMPTS) {
        let peer = Peer::new(*address);
        match peer.call(path::PATCH, &patch_ask, FORWARD_TIMEOUT).await {
            Ok(PatchAnswer::Verdict(verdict)) => return PatchAnswer::Verdict(verdict),
            Ok(PatchAnswer::Unreachable) => {}
            Ok(PatchAnswer::Minority) if worst == PatchAnswer::Unreachable => {
                worst = PatchAnswer::Minority;
            }
            Ok(PatchAnswer::Minority) => {}
            Ok(PatchAnswer::Unknown) => worst = PatchAnswer::Unknown,
            Err(report) if report.current_context().may_have_arrived() => {
                worst = PatchAnswer::Unknown;
            }
            Err(_) => {}
        }
    }
    worst
}

/// Waits until an accepted version is in force here, so that an operator reads its own writes.
async fn wait_for_version(shared: &Shared, version: Version) {
    if let Some(control) = shared.control() {
        shared.apply(control.config());
    }
    let before = Version::new(version.get().saturating_sub(1));
    // A lagging host shows it in its status; the verdict is valid either way.
    shared
        .distributor
        .wait_after(before, CATCH_UP_TIMEOUT)
        .await;
}

fn record_verdict(shared: &Shared, submission: &Submission, verdict: &Verdict) {
    let patch = &submission.patch;
    let journal = &shared.journal;
    match verdict {
        Verdict::Accepted { version } => {
            let detail = format!("version {version}: {}", patch.reason);
            journal.record(Event::PatchAccepted, &patch.id, detail);
        }
        Verdict::Refused { refusal } => journal.record(Event::PatchRefused, &patch.id, refusal),
    }
}

/// Records the control leader's last confirmation at a fixed interval, on hosts that vote.
pub async fn update_link_forever(shared: Arc<Shared>) {
    let Some(control) = shared.control() else {
        return;
    };
    loop {
        let status = control.voter().status();
        let (linked, age) = if control.voter().is_leader() {
            (true, Some(Span::default()))
        } else if status.leader.is_some() && !status.ended {
            // A follower drops its leader after one election timeout without a message.
            let timing = Timing::default();
            let longest = timing.election_timeout.as_micros() + timing.election_jitter.as_micros();
            (true, Some(Span::from_micros(longest)))
        } else {
            (false, shared.distributor.age())
        };
        shared.distributor.set_link(linked, age, status.fence);
        smol::Timer::after(LINK_INTERVAL.as_duration()).await;
    }
}
