//! The control role of an entry host: the shell around one voter of the replicated log.
//!
//! - [`Voter`]: the handle: submit a command, change the voters, ask for the status.
//! - `engine`: the thread that owns the [`Node`](snipemast_control::Node) and its clock.
//! - `disk`: the thread that writes and syncs.
//! - `links`: messages to and from other voters over HTTP.
//! - `form`: how the first voters become a cluster, once.

mod disk;
mod engine;
mod form;
mod links;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use futures_lite::FutureExt;
use parking_lot::Mutex;
use smol::Task;
use trillium::{Conn, Status};

use snipemast_control::{
    ChangeError, DiskStorage, Input, Location, MemoryStorage, Refusal, StateMachine, Ticket,
    Timing, VoterChange, VoterId,
};
use snipemast_core::prelude::*;
use snipemast_wire::control::{
    path, Batch, Change, ControlHost, Hello, Submit, Submitted, VoterStatus,
};
use snipemast_wire::serve::{malformed, message, reply};
use snipemast_wire::{spawn, Peer};

use engine::{Engine, Request};
use links::Links;

/// The result of starting the control role.
pub type Result<T> = std::result::Result<T, Report<VoterError>>;

/// How many inputs may wait for the voter's thread.
const INPUTS: usize = 4_096;
/// The pause before a command is tried again while no leader is known.
const PAUSE: Span = Span::from_millis(50);

/// A control role that can't start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoterError {
    /// The data folder can't be used.
    Storage(PathBuf),
    /// A thread can't be started.
    Thread,
}

impl fmt::Display for VoterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Storage(path) => write!(f, "{} can't hold the log", path.display()),
            Self::Thread => f.write_str("the voter's threads can't be started"),
        }
    }
}

impl std::error::Error for VoterError {}

/// Why a command has no verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// No leader is known here; nothing was accepted.
    NoLeader,
    /// No majority of the voters is in reach; nothing was accepted.
    NoQuorum,
    /// Too many commands wait; nothing was accepted.
    Busy,
    /// The voters can't be changed so.
    Change(ChangeError),
    /// It may or may not be accepted: a resend under the same id learns the verdict.
    Unknown,
    /// The control role has ended on this host.
    Ended,
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoLeader => f.write_str("no control leader is known"),
            Self::NoQuorum => f.write_str("no majority of the control hosts is in reach"),
            Self::Busy => f.write_str("too many patches wait for their verdict"),
            Self::Change(e) => write!(f, "{e}"),
            Self::Unknown => f.write_str("no verdict yet: send it again under the same id"),
            Self::Ended => f.write_str("the control role has ended on this host"),
        }
    }
}

impl std::error::Error for SubmitError {}

/// Where the log is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogPlace {
    /// In a folder on a disk.
    Folder(PathBuf),
    /// Nowhere: a single voter that forgets, for tests and demonstrations.
    Memory,
}

/// What a voter is started with.
#[derive(Debug, Clone)]
pub struct VoterOptions {
    /// Where the log is kept.
    pub place: LogPlace,
    /// Where this host is.
    pub seat: Location,
    /// The `own` addresses of every voter at the first start; none means this one alone.
    pub voters: Vec<SocketAddr>,
    /// Timeouts and bounds.
    pub timing: Timing,
    /// A number that no other process has: the id of a new data folder, and the seed of chance.
    pub fresh: u64,
}

/// A handle on the control role of this host.
pub struct Voter {
    shared: Arc<VoterShared>,
    links: Arc<Links>,
    form: Mutex<Option<Task<()>>>,
}

impl fmt::Debug for Voter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Voter")
            .field("status", &self.status())
            .finish_non_exhaustive()
    }
}

/// What the handle, the threads and the wire share.
pub(crate) struct VoterShared {
    inputs: SyncSender<Request>,
    waiting: Mutex<BTreeMap<Ticket, async_channel::Sender<Submitted>>>,
    status: Mutex<VoterStatus>,
    known: Mutex<ControlHost>,
    /// The fencing number that orders may carry, and until when.
    office: Mutex<Option<(Fence, Moment)>>,
    tickets: AtomicU64,
    clock: Clock,
    journal: Journal,
}

impl Voter {
    /// Opens the log and starts the role; `watch` sees the state machine after each change.
    pub fn start<M: StateMachine + Send + 'static>(
        options: VoterOptions,
        machine: M,
        journal: Journal,
        watch: impl FnMut(&M) + Send + 'static,
    ) -> Result<Self> {
        match options.place.clone() {
            LogPlace::Memory => {
                let start = form::Start::in_memory(&options);
                Self::run(options, start, MemoryStorage, machine, journal, watch)
            }
            LogPlace::Folder(folder) => {
                let opened = DiskStorage::open(&folder, &options.seat, VoterId(options.fresh));
                let refused = || VoterError::Storage(folder.clone());
                let (storage, opened) = opened
                    .inspect_err(|e| journal.record(Event::StorageRefused, folder.display(), e))
                    .change_context_lazy(refused)?;
                let start = form::Start::on_disk(storage.identity(), opened);
                Self::run(options, start, storage, machine, journal, watch)
            }
        }
    }

    fn run<M: StateMachine + Send + 'static, S: form::Joins>(
        options: VoterOptions,
        start: form::Start,
        storage: S,
        machine: M,
        journal: Journal,
        watch: impl FnMut(&M) + Send + 'static,
    ) -> Result<Self> {
        let (inputs, requests) = sync_channel(INPUTS);
        let shared = Arc::new(VoterShared::new(inputs, &start, &options.seat, journal));
        let links = Arc::new(Links::new(start.voter, Arc::clone(&shared)));
        let engine = Engine::new(Arc::clone(&shared), Arc::clone(&links), requests, watch);
        let form = form::begin(options, start, storage, machine, engine)?;
        Ok(Self {
            shared,
            links,
            form: Mutex::new(form),
        })
    }

    /// Submits a command to the leader, wherever it is, and waits for its verdict.
    ///
    /// While a leader is being elected the command waits; where no majority is in reach it is
    /// refused at once.
    pub async fn submit(
        &self,
        command: Vec<u8>,
        timeout: Span,
    ) -> std::result::Result<Vec<u8>, SubmitError> {
        let work = Work::Command(command);
        self.ask(work, timeout).await
    }

    /// Changes the voters by one, through the leader, wherever it is.
    pub async fn change(
        &self,
        change: VoterChange,
        timeout: Span,
    ) -> std::result::Result<(), SubmitError> {
        self.ask(Work::Change(change), timeout).await.map(|_| ())
    }

    /// Where the leader is, as far as this host knows.
    pub fn leader(&self) -> Option<Location> {
        let status = self.shared.status.lock();
        let leader = status.leader?;
        status.voters.location(leader).cloned()
    }

    /// Whether this host leads and may speak for the cluster now.
    pub fn is_leader(&self) -> bool {
        self.fence().is_some()
    }

    /// The fencing number that this host's orders carry, while it leads.
    pub fn fence(&self) -> Option<Fence> {
        let office = *self.shared.office.lock();
        let (fence, end) = office?;
        (self.shared.clock.now() < end).then_some(fence)
    }

    /// What this host knows of the log.
    pub fn status(&self) -> VoterStatus {
        self.shared.status.lock().clone()
    }

    /// Answers a request of another control host, or gives the connection back.
    pub async fn answer(&self, conn: Conn) -> Conn {
        match conn.path() {
            path::HELLO => self.on_hello(conn).await,
            path::MESSAGES => self.on_messages(conn).await,
            path::SUBMIT => self.on_submit(conn).await,
            path::CHANGE => self.on_change(conn).await,
            path::STATUS => reply(conn, &self.status()),
            _ => conn.with_status(Status::NotFound).halt(),
        }
    }

    /// Ends the role as a crash would: nothing more is written or sent.
    pub fn kill(&self) {
        let form = self.form.lock().take();
        drop(form);
        self.links.close();
        // A full queue is emptied by the thread, which then sees that the role has ended.
        self.shared.end();
        let _ = self.shared.inputs.try_send(Request::Stop);
    }

    async fn ask(&self, work: Work, timeout: Span) -> std::result::Result<Vec<u8>, SubmitError> {
        let end = self.shared.clock.now() + timeout;
        loop {
            let left = self.shared.clock.now().until(end);
            match self.ask_once(work.clone(), left).await {
                Err(SubmitError::NoLeader) if left > PAUSE => {
                    smol::Timer::after(PAUSE.as_duration()).await;
                }
                answer => return answer,
            }
        }
    }

    async fn ask_once(&self, work: Work, left: Span) -> std::result::Result<Vec<u8>, SubmitError> {
        let answer = match self.shared.propose(work.clone(), left).await {
            Submitted::Refused(Refusal::NotLeader {
                leader: Some(leader),
            }) => {
                let seat = self.shared.status.lock().voters.location(leader).cloned();
                match seat {
                    Some(seat) => forward(&self.links.peer(leader, seat.address), work, left).await,
                    None => Submitted::Refused(Refusal::NotLeader { leader: None }),
                }
            }
            answer => answer,
        };
        match answer {
            Submitted::Verdict(verdict) => Ok(verdict),
            Submitted::Refused(refusal) => Err(refusal.into()),
            Submitted::Ended => Err(SubmitError::Ended),
        }
    }

    async fn on_hello(&self, mut conn: Conn) -> Conn {
        let Some(Hello { .. }) = message(&mut conn).await else {
            return malformed(conn);
        };
        reply(conn, &self.shared.known.lock().clone())
    }

    async fn on_messages(&self, mut conn: Conn) -> Conn {
        let Some(batch) = message::<Batch>(&mut conn).await else {
            return malformed(conn);
        };
        let answers = self.links.receive(batch).await;
        reply(conn, &answers)
    }

    async fn on_submit(&self, mut conn: Conn) -> Conn {
        let Some(Submit { command, left }) = message(&mut conn).await else {
            return malformed(conn);
        };
        reply(
            conn,
            &self.shared.propose(Work::Command(command), left).await,
        )
    }

    async fn on_change(&self, mut conn: Conn) -> Conn {
        let Some(Change { change, left }) = message(&mut conn).await else {
            return malformed(conn);
        };
        reply(conn, &self.shared.propose(Work::Change(change), left).await)
    }
}

impl Drop for Voter {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What the leader is asked.
#[derive(Debug, Clone)]
enum Work {
    /// To take a command.
    Command(Vec<u8>),
    /// To change the voters.
    Change(VoterChange),
}

impl Work {
    fn into_input(self, ticket: Ticket) -> Input {
        match self {
            Self::Command(command) => Input::Propose { ticket, command },
            Self::Change(change) => Input::Change { ticket, change },
        }
    }
}

/// Sends work on to the leader; a lost answer leaves its verdict unknown.
async fn forward(leader: &Peer, work: Work, left: Span) -> Submitted {
    let answer = match work {
        Work::Command(command) => {
            leader
                .call(path::SUBMIT, &Submit { command, left }, left)
                .await
        }
        Work::Change(change) => {
            leader
                .call(path::CHANGE, &Change { change, left }, left)
                .await
        }
    };
    answer.unwrap_or_else(|_| {
        leader.retire();
        Submitted::Refused(Refusal::Unknown)
    })
}

impl From<Refusal> for SubmitError {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::NotLeader { .. } => Self::NoLeader,
            Refusal::NoQuorum => Self::NoQuorum,
            Refusal::Busy => Self::Busy,
            Refusal::Unknown => Self::Unknown,
            Refusal::Change(e) => Self::Change(e),
        }
    }
}

impl VoterShared {
    fn new(
        inputs: SyncSender<Request>,
        start: &form::Start,
        seat: &Location,
        journal: Journal,
    ) -> Self {
        let known = ControlHost {
            voter: start.voter,
            location: seat.clone(),
            cluster: start.cluster,
            first_voters: start.formed.clone(),
        };
        Self {
            inputs,
            waiting: Mutex::default(),
            status: Mutex::new(start.status()),
            known: Mutex::new(known),
            office: Mutex::new(None),
            tickets: AtomicU64::new(0),
            clock: Clock::new(),
            journal,
        }
    }

    /// Asks this host's own voter and waits for its answer.
    async fn propose(&self, work: Work, left: Span) -> Submitted {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = async_channel::bounded(1);
        self.waiting.lock().insert(ticket, sender);
        let sent = self
            .inputs
            .try_send(Request::Input(work.into_input(ticket)));
        let answer = match sent {
            _ if self.status.lock().ended => Submitted::Ended,
            Err(TrySendError::Full(_)) => Submitted::Refused(Refusal::Busy),
            Err(TrySendError::Disconnected(_)) => Submitted::Ended,
            Ok(()) => {
                let late = async {
                    smol::Timer::after(left.as_duration()).await;
                    Submitted::Refused(Refusal::Unknown)
                };
                let answer = async { answer.recv().await.unwrap_or(Submitted::Ended) };
                answer.or(late).await
            }
        };
        self.waiting.lock().remove(&ticket);
        answer
    }

    /// Gives a waiting caller its answer.
    fn settle(&self, ticket: Ticket, answer: Submitted) {
        if let Some(sender) = self.waiting.lock().remove(&ticket) {
            // A caller whose time ran out is gone.
            let _ = sender.try_send(answer);
        }
    }

    /// Ends the role: whoever waits is told, and nobody is answered any more.
    fn end(&self) {
        self.status.lock().ended = true;
        *self.office.lock() = None;
        self.waiting.lock().clear();
    }
}

/// Starts a named thread.
fn thread(name: &str, work: impl FnOnce() + Send + 'static) -> Result<()> {
    let builder = std::thread::Builder::new().name(name.into());
    builder
        .spawn(work)
        .map(drop)
        .change_context(VoterError::Thread)
}

/// Starts a task on the executor of the HTTP servers.
fn task(work: impl std::future::Future<Output = ()> + Send + 'static) -> Task<()> {
    spawn(work)
}
