//! The control role of an entry host: runs one voter of the replicated log.
//!
//! - [`Voter`]: the handle, which submits commands, changes the voters and returns the status.
//! - `engine`: the thread that owns the [`Node`](snipemast_control::Node) and its clock.
//! - `disk`: the thread that writes and syncs.
//! - `links`: messages to and from other voters over HTTP.
//! - `form`: the forming of a cluster by its first voters.

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
use snipemast_wire::serve::{read_message, reply, reply_malformed};
use snipemast_wire::{spawn, Peer};

use engine::{Engine, Request};
use links::Links;

/// The result of starting the control role.
pub type Result<T> = std::result::Result<T, Report<VoterError>>;

/// The most inputs that may wait for the voter's thread.
const MAX_INPUTS: usize = 4_096;
/// The pause before a command is retried while no leader is known.
const RETRY_PAUSE: Span = Span::from_millis(50);

/// The reason why the control role can't start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoterError {
    /// The data folder can't be used.
    Storage(PathBuf),
    /// The log in memory can't be used.
    Memory,
    /// A thread can't be started.
    Thread,
}

impl fmt::Display for VoterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Storage(path) => write!(f, "{} can't hold the log", path.display()),
            Self::Memory => f.write_str("the log in memory can't be used"),
            Self::Thread => f.write_str("the voter's threads can't be started"),
        }
    }
}

impl std::error::Error for VoterError {}

/// The reason why a command has no verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// No leader is known here; nothing was accepted.
    NoLeader,
    /// No majority of the voters is reachable; nothing was accepted.
    NoQuorum,
    /// Too many commands wait; nothing was accepted.
    Busy,
    /// The change of the voters is not possible.
    Change(ChangeError),
    /// The command may or may not be accepted; resending it with the same id gives the verdict.
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
pub enum LogStorage {
    /// In a folder on a disk.
    Folder(PathBuf),
    /// In memory, for a single voter that forgets its log, in tests and demonstrations.
    Memory,
}

/// The options that a voter is started with.
#[derive(Debug, Clone)]
pub struct VoterOptions {
    /// Where the log is kept.
    pub log: LogStorage,
    /// The name, zone and address of this host.
    pub location: Location,
    /// The `own` addresses of all voters at the first start; empty if this one is the only voter.
    pub voters: Vec<SocketAddr>,
    /// Timeouts and limits.
    pub timing: Timing,
    /// A number that no other process has: the voter id of a new data folder, and the seed of random
    /// choices.
    pub unique_id: u64,
}

/// The handle to the control role of this host.
pub struct Voter {
    shared: Arc<VoterShared>,
    links: Arc<Links>,
    forming: Mutex<Option<Task<()>>>,
}

impl fmt::Debug for Voter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Voter")
            .field("status", &self.status())
            .finish_non_exhaustive()
    }
}

/// The state that the handle, the threads and the HTTP handlers share.
pub(crate) struct VoterShared {
    inputs: SyncSender<Request>,
    waiting: Mutex<BTreeMap<Ticket, async_channel::Sender<Submitted>>>,
    status: Mutex<VoterStatus>,
    control_host: Mutex<ControlHost>,
    /// The fencing number that orders may carry, and the end of its lease.
    fence_lease: Mutex<Option<(Fence, Moment)>>,
    tickets: AtomicU64,
    clock: Clock,
    journal: Journal,
}

impl Voter {
    /// Opens the log and starts the role; `watch` is called with the state machine after each change.
    pub fn start<M: StateMachine + Send + 'static>(
        options: VoterOptions,
        machine: M,
        journal: Journal,
        watch: impl FnMut(&M) + Send + 'static,
    ) -> Result<Self> {
        match options.log.clone() {
            LogStorage::Memory => {
                let start = form::StartState::in_memory(&options);
                Self::run(options, start, MemoryStorage, machine, journal, watch)
            }
            LogStorage::Folder(folder) => {
                let opened =
                    DiskStorage::open(&folder, &options.location, VoterId(options.unique_id));
                let storage_error = || VoterError::Storage(folder.clone());
                let (storage, opened) = opened
                    .inspect_err(|e| journal.record(Event::StorageRefused, folder.display(), e))
                    .change_context_lazy(storage_error)?;
                let start = form::StartState::on_disk(storage.identity(), opened);
                Self::run(options, start, storage, machine, journal, watch)
            }
        }
    }

    fn run<M: StateMachine + Send + 'static, S: form::JoinCluster>(
        options: VoterOptions,
        start: form::StartState,
        storage: S,
        machine: M,
        journal: Journal,
        watch: impl FnMut(&M) + Send + 'static,
    ) -> Result<Self> {
        let (inputs, requests) = sync_channel(MAX_INPUTS);
        let shared = Arc::new(VoterShared::new(inputs, &start, &options.location, journal));
        let links = Arc::new(Links::new(start.voter, Arc::clone(&shared)));
        let engine = Engine::new(Arc::clone(&shared), Arc::clone(&links), requests, watch);
        let forming = form::start_voter(options, start, storage, machine, engine)?;
        Ok(Self {
            shared,
            links,
            forming: Mutex::new(forming),
        })
    }

    /// Submits a command to the leader, on whichever host it is, and waits for the verdict.
    ///
    /// While a leader is being elected, the command waits. If no majority is reachable, it is
    /// refused at once.
    pub async fn submit(
        &self,
        command: Vec<u8>,
        timeout: Span,
    ) -> std::result::Result<Vec<u8>, SubmitError> {
        let request = LeaderRequest::Command(command);
        self.submit_to_leader(request, timeout).await
    }

    /// Changes one voter, through the leader on whichever host it is.
    pub async fn change(
        &self,
        change: VoterChange,
        timeout: Span,
    ) -> std::result::Result<(), SubmitError> {
        self.submit_to_leader(LeaderRequest::Change(change), timeout)
            .await
            .map(|_| ())
    }

    /// Returns the location of the leader, if this host knows it.
    pub fn leader(&self) -> Option<Location> {
        let status = self.shared.status.lock();
        let leader = status.leader?;
        status.voters.location(leader).cloned()
    }

    /// Returns whether this host leads and holds a valid lease.
    pub fn is_leader(&self) -> bool {
        self.fence().is_some()
    }

    /// Returns the fencing number for this host's orders, while it leads.
    pub fn fence(&self) -> Option<Fence> {
        let fence_lease = *self.shared.fence_lease.lock();
        let (fence, end) = fence_lease?;
        (self.shared.clock.now() < end).then_some(fence)
    }

    /// Returns this host's view of the log.
    pub fn status(&self) -> VoterStatus {
        self.shared.status.lock().clone()
    }

    /// Answers a request of another control host.
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

    /// Ends the role as a crash would, so that nothing more is written or sent.
    pub fn kill(&self) {
        let forming = self.forming.lock().take();
        drop(forming);
        self.links.close();
        // If the queue is full, the thread empties it and then sees that the role has ended.
        self.shared.end_role();
        let _ = self.shared.inputs.try_send(Request::Stop);
    }

    async fn submit_to_leader(
        &self,
        request: LeaderRequest,
        timeout: Span,
    ) -> std::result::Result<Vec<u8>, SubmitError> {
        let deadline = self.shared.clock.now() + timeout;
        loop {
            let left = self.shared.clock.now().until(deadline);
            match self.submit_once(request.clone(), left).await {
                Err(SubmitError::NoLeader) if left > RETRY_PAUSE => {
                    smol::Timer::after(RETRY_PAUSE.as_duration()).await;
                }
                answer => return answer,
            }
        }
    }

    async fn submit_once(
        &self,
        request: LeaderRequest,
        left: Span,
    ) -> std::result::Result<Vec<u8>, SubmitError> {
        let answer = match self.shared.propose(request.clone(), left).await {
            Submitted::Refused(Refusal::NotLeader {
                leader: Some(leader),
            }) => {
                let location = self.shared.status.lock().voters.location(leader).cloned();
                match location {
                    Some(location) => {
                        forward(&self.links.peer(leader, location.address), request, left).await
                    }
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
        let Some(Hello { .. }) = read_message(&mut conn).await else {
            return reply_malformed(conn);
        };
        reply(conn, &self.shared.control_host.lock().clone())
    }

    async fn on_messages(&self, mut conn: Conn) -> Conn {
        let Some(batch) = read_message::<Batch>(&mut conn).await else {
            return reply_malformed(conn);
        };
        let answers = self.links.receive(batch).await;
        reply(conn, &answers)
    }

    async fn on_submit(&self, mut conn: Conn) -> Conn {
        let Some(Submit { command, left }) = read_message(&mut conn).await else {
            return reply_malformed(conn);
        };
        reply(
            conn,
            &self
                .shared
                .propose(LeaderRequest::Command(command), left)
                .await,
        )
    }

    async fn on_change(&self, mut conn: Conn) -> Conn {
        let Some(Change { change, left }) = read_message(&mut conn).await else {
            return reply_malformed(conn);
        };
        reply(
            conn,
            &self
                .shared
                .propose(LeaderRequest::Change(change), left)
                .await,
        )
    }
}

impl Drop for Voter {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A request to the leader.
#[derive(Debug, Clone)]
enum LeaderRequest {
    /// Appends a command to the log.
    Command(Vec<u8>),
    /// Changes the voters.
    Change(VoterChange),
}

impl LeaderRequest {
    fn into_input(self, ticket: Ticket) -> Input {
        match self {
            Self::Command(command) => Input::Propose { ticket, command },
            Self::Change(change) => Input::Change { ticket, change },
        }
    }
}

/// Forwards a request to the leader; if the answer is lost, the verdict is unknown.
async fn forward(leader: &Peer, request: LeaderRequest, left: Span) -> Submitted {
    let answer = match request {
        LeaderRequest::Command(command) => {
            leader
                .call(path::SUBMIT, &Submit { command, left }, left)
                .await
        }
        LeaderRequest::Change(change) => {
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
        start: &form::StartState,
        location: &Location,
        journal: Journal,
    ) -> Self {
        let control_host = ControlHost {
            voter: start.voter,
            location: location.clone(),
            cluster: start.cluster,
            first_voters: start.first_voters.clone(),
        };
        Self {
            inputs,
            waiting: Mutex::default(),
            status: Mutex::new(start.status()),
            control_host: Mutex::new(control_host),
            fence_lease: Mutex::new(None),
            tickets: AtomicU64::new(0),
            clock: Clock::new(),
            journal,
        }
    }

    /// Passes a request to this host's voter and waits for the answer.
    async fn propose(&self, request: LeaderRequest, left: Span) -> Submitted {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = async_channel::bounded(1);
        self.waiting.lock().insert(ticket, sender);
        let sent = self
            .inputs
            .try_send(Request::Input(request.into_input(ticket)));
        let answer = match sent {
            _ if self.status.lock().ended => Submitted::Ended,
            Err(TrySendError::Full(_)) => Submitted::Refused(Refusal::Busy),
            Err(TrySendError::Disconnected(_)) => Submitted::Ended,
            Ok(()) => {
                let timeout = async {
                    smol::Timer::after(left.as_duration()).await;
                    Submitted::Refused(Refusal::Unknown)
                };
                let answer = async { answer.recv().await.unwrap_or(Submitted::Ended) };
                answer.or(timeout).await
            }
        };
        self.waiting.lock().remove(&ticket);
        answer
    }

    /// Sends a waiting caller its answer.
    fn complete(&self, ticket: Ticket, answer: Submitted) {
        if let Some(sender) = self.waiting.lock().remove(&ticket) {
            // A caller whose timeout has passed no longer listens.
            let _ = sender.try_send(answer);
        }
    }

    /// Ends the role: waiting callers learn that it ended, and no request is answered any more.
    fn end_role(&self) {
        self.status.lock().ended = true;
        *self.fence_lease.lock() = None;
        self.waiting.lock().clear();
    }
}

/// Starts a named thread.
fn spawn_thread(name: &str, work: impl FnOnce() + Send + 'static) -> Result<()> {
    let builder = std::thread::Builder::new().name(name.into());
    builder
        .spawn(work)
        .map(drop)
        .change_context(VoterError::Thread)
}

/// Starts a task on the executor of the HTTP servers.
fn spawn_task(work: impl std::future::Future<Output = ()> + Send + 'static) -> Task<()> {
    spawn(work)
}
