//! The control role of this host, or the way to a host that has it.

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
use crate::voter::{LogPlace, SubmitError, Voter, VoterError, VoterOptions};

/// The result of submitting a patch.
pub type Result<T> = std::result::Result<T, ControlError>;

/// How long the control hosts may take to come to a verdict; longer than an election.
const DECISION: Span = Span::from_secs(3);
/// How long one host may take to answer a patch that is passed on.
const TIMEOUT: Span = Span::from_secs(4);
/// How many hosts are tried with one patch.
const ATTEMPTS: usize = 3;
/// How many hosts may pass a patch on before it reaches a control host.
const HOPS: u8 = 3;
/// How often a control host notes what it knows of its leader.
const ATTEST: Span = Span::from_millis(250);
/// How long an operator's host waits for a version that it was told of to be in force here.
const CATCH_UP: Span = Span::from_secs(1);

/// A patch without a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlError {
    /// No majority of the control hosts is in reach; nothing was accepted.
    Minority,
    /// No control host is in reach; nothing was accepted.
    Unreachable,
    /// An answer was lost: the patch may be in force. A resend under the same id learns.
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
    machine: Held,
}

/// The state machine, which the voter drives and operators look into.
#[derive(Debug, Clone, Default)]
struct Held(Arc<Mutex<ConfigMachine>>);

impl StateMachine for Held {
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
    /// Begins the role on the host that listens at this address.
    pub fn start(
        shared: &Arc<Shared>,
        settings: &ControlSettings,
        address: SocketAddr,
    ) -> std::result::Result<Self, Report<VoterError>> {
        let options = VoterOptions {
            place: place(settings)?,
            seat: Location {
                host: shared.settings.host.clone(),
                zone: shared.settings.zone.clone(),
                address,
            },
            voters: settings.voters.clone(),
            timing: Timing::default(),
            fresh: fresh_number(shared),
        };
        let machine = Held::default();
        let process: Weak<Shared> = Arc::downgrade(shared);
        let watch = move |machine: &Held| {
            let config = Arc::clone(machine.0.lock().config());
            if let Some(process) = process.upgrade() {
                process.apply(config);
            }
        };
        let journal = shared.journal.clone();
        let voter = Voter::start(options, machine.clone(), journal, watch)?;
        Ok(Self { voter, machine })
    }

    /// The voter.
    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    /// Looks into the state machine.
    pub fn read<T>(&self, read: impl FnOnce(&ConfigMachine) -> T) -> T {
        read(&self.machine.0.lock())
    }

    fn config(&self) -> Arc<Config> {
        self.read(|machine| Arc::clone(machine.config()))
    }

    async fn submit(&self, submission: Submission) -> PatchAnswer {
        let command = Command::Submit(submission).to_bytes();
        match self.voter.submit(command, DECISION).await {
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

/// Failure guarded against: a control host whose settings lost the line of its data folder. It
/// would vote, forget at its next restart, and let accepted versions be lost. To forget has to
/// be asked for, and a voter among others may not.
fn place(settings: &ControlSettings) -> std::result::Result<LogPlace, Report<VoterError>> {
    let alone = settings.voters.len() <= 1;
    match &settings.data {
        Some(folder) => Ok(LogPlace::Folder(folder.clone())),
        None if settings.forgetful && alone => Ok(LogPlace::Memory),
        None => Err(Report::new(VoterError::Storage("(no data folder)".into()))),
    }
}

/// A number that no other process has: hosts differ by name, starts of a host by incarnation.
fn fresh_number(shared: &Shared) -> u64 {
    let hash = snipemast_config::KeyHash::of(&shared.process.to_string());
    hash.prefix()
}

/// Submits a patch here, or through the hosts that this one follows.
pub async fn submit(shared: &Shared, submission: &Submission) -> Result<Verdict> {
    let ask = PatchAsk {
        submission: submission.clone(),
        hops: HOPS,
    };
    let verdict = match take(shared, ask).await {
        PatchAnswer::Verdict(verdict) => verdict,
        PatchAnswer::Minority => return Err(ControlError::Minority),
        PatchAnswer::Unreachable => return Err(ControlError::Unreachable),
        PatchAnswer::Unknown => return Err(ControlError::Unknown),
    };
    record(shared, submission, &verdict);
    if let Verdict::Accepted { version } = verdict {
        see(shared, version).await;
    }
    Ok(verdict)
}

/// Takes a patch of this or another process.
pub async fn take(shared: &Shared, ask: PatchAsk) -> PatchAnswer {
    if let Some(control) = shared.control() {
        return control.submit(ask.submission).await;
    }
    match ask.hops.checked_sub(1) {
        Some(hops) => pass_on(shared, PatchAsk { hops, ..ask }).await,
        None => PatchAnswer::Unreachable,
    }
}

/// Tries the hosts that this one follows in turn.
///
/// A patch may be sent twice: by its id the second arrival learns the first verdict. One that
/// may have arrived anywhere without an answer counts as unknown.
async fn pass_on(shared: &Shared, ask: PatchAsk) -> PatchAnswer {
    let mut worst = PatchAnswer::Unreachable;
    for address in shared.settings.seeds.iter().take(ATTEMPTS) {
        let peer = Peer::new(*address);
        match peer.call(path::PATCH, &ask, TIMEOUT).await {
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

/// Waits until an accepted version is in force here, so that an operator reads what it wrote.
async fn see(shared: &Shared, version: Version) {
    if let Some(control) = shared.control() {
        shared.apply(control.config());
    }
    let before = Version::new(version.get().saturating_sub(1));
    // A host that lags says so in its status; the verdict stands either way.
    shared.spread.wait_after(before, CATCH_UP).await;
}

fn record(shared: &Shared, submission: &Submission, verdict: &Verdict) {
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

/// Notes again and again how fresh the word of the control leader is, on hosts that vote.
pub async fn attest_forever(shared: Arc<Shared>) {
    let Some(control) = shared.control() else {
        return;
    };
    loop {
        let status = control.voter().status();
        let (linked, age) = if control.voter().is_leader() {
            (true, Some(Span::default()))
        } else if status.leader.is_some() && !status.ended {
            // A follower gives its leader up after one election timeout of silence.
            let timing = Timing::default();
            let longest = timing.election_timeout.as_micros() + timing.election_jitter.as_micros();
            (true, Some(Span::from_micros(longest)))
        } else {
            (false, shared.spread.age())
        };
        shared.spread.note(linked, age, status.fence);
        smol::Timer::after(ATTEST.as_duration()).await;
    }
}
