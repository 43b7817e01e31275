//! A randomized soak test: the real programs run as processes on loopback, faults are injected from
//! outside, and every guarantee that callers, servers and operators can observe is checked.
//!
//! - [`plan`](mod@plan): which faults occur when, derived from the seed.
//! - [`fleet`]: the processes and the signals to them.
//! - [`proxy`]: delays, silences and resets connections between them.
//! - [`servers`]: fake model servers, which leave, crash and misbehave.
//! - [`load`]: the callers and operators.
//! - [`verdict`]: which guarantees the recorded observations violate.

pub mod fleet;
pub mod load;
pub mod plan;
pub mod proxy;
pub mod servers;
pub mod verdict;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rustix::process::Signal;
use smol::Task;

use snipemast_core::prelude::*;
use snipemast_net::connect;
use snipemast_net::exec::{pause, spawn};
use snipemast_site::{calls, document, start_executor};

use fleet::Fleet;
use load::{Culprit, Versions};
use plan::{plan, Fault, FleetSize, PlannedFault};
use servers::Servers;
use verdict::{Cause, End, Kind, Record, Target, Violation};

/// The time limit for serving after the start, and for serving again after the last fault.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval of the checks, and of the restarts of processes that have ended.
const CHECK_INTERVAL: Span = Span::from_secs(2);
const RESTART_INTERVAL: Span = Span::from_millis(300);

/// The time limit for the end of a process after SIGTERM.
const END_TIMEOUT: Duration = Duration::from_secs(8);

/// How long a server is down that a request crashed.
const CRASH_TIME: Span = Span::from_millis(700);

/// How long it may take until it is known everywhere what crashes servers, and the maximum number of sends after that.
const CRASHES_KNOWN: Span = Span::from_secs(3);
const CRASHING_SENDS: usize = 3;

/// What crashes servers, while all else goes on.
const CULPRITS: [Culprit; 2] = [Culprit::Request, Culprit::Part];

/// The number of crashing requests that are sent at the end, and the number of the first one, which no caller reaches.
const LAST_ASKED: usize = 6;
const LAST_CRASHING: u64 = 1 << 32;

/// The number of callers per gateway, and the number of operators.
const CALLERS: usize = 3;
const OPERATORS: u64 = 2;

/// The parameters of a soak.
#[derive(Debug, Clone)]
pub struct Options {
    /// The seed, which determines every fault.
    pub seed: u64,
    /// How long traffic lasts.
    pub length: Span,
    /// The number of processes: three controllers, and gateways.
    pub processes: u8,
    /// The path of the program.
    pub binary: PathBuf,
    /// The folder for settings, disks and logs. It is removed if no guarantee was violated.
    pub folder: PathBuf,
}

/// The result of a soak.
#[derive(Debug)]
pub struct Outcome {
    /// The guarantees that were violated.
    pub violations: Vec<Violation>,
    /// The number of requests.
    pub requests: usize,
    /// The number of requests that were answered with success.
    pub served: usize,
    /// The number of configuration changes that were acknowledged.
    pub changes: usize,
    /// The faults that were planned.
    pub faults: Vec<PlannedFault>,
}

/// The state that the tasks of one soak share.
struct Soak {
    fleet: Arc<Fleet>,
    servers: Arc<Servers>,
    record: Arc<Mutex<Record>>,
}

/// Runs one soak.
pub fn run(options: &Options) -> std::io::Result<Outcome> {
    start_executor();
    smol::block_on(run_soak(options))
}

async fn run_soak(options: &Options) -> std::io::Result<Outcome> {
    let gateways = options.processes.saturating_sub(3).max(1);
    let sizes = FleetSize {
        controllers: 3,
        gateways,
        servers: gateways.max(3),
    };
    let subnet = (std::process::id() as u64 * 31 + options.seed) % 250 + 1;
    std::fs::create_dir_all(&options.folder)?;
    let fleet = Fleet::new(&options.binary, &options.folder, subnet as u8, sizes)?;
    let fleet = Arc::new(fleet);
    let soak = Arc::new(Soak {
        servers: Servers::start(Arc::clone(&fleet), sizes.servers),
        fleet: Arc::clone(&fleet),
        record: Arc::default(),
    });
    for host in fleet.controllers().chain(fleet.gateways()) {
        fleet.start(host, true)?;
    }
    let versions: Arc<Mutex<Versions>> = Arc::default();
    if !soak.configure_first().await {
        fleet.stop();
        return Ok(soak.outcome(
            Vec::new(),
            vec![Violation("no request was served after the start".into())],
        ));
    }
    let planned = plan(options.seed, options.length, sizes);
    let mut tasks = soak.start_load(options.seed, &versions);
    tasks.push(spawn(Arc::clone(&soak).restart_ended()));
    tasks.push(spawn(Arc::clone(&soak).revive_crashed()));
    tasks.extend(planned.iter().map(|planned| {
        let (soak, planned) = (Arc::clone(&soak), *planned);
        spawn(async move {
            pause(planned.at).await;
            soak.inject(planned.fault).await;
        })
    }));
    let end = Instant::now() + options.length.as_duration();
    let mut violations = Vec::new();
    while Instant::now() < end && violations.is_empty() {
        pause(CHECK_INTERVAL).await;
        violations = soak
            .record
            .lock()
            .violations(&soak.servers.served_requests());
    }
    if violations.is_empty() {
        violations = soak.check_recovery(&versions).await;
    }
    drop(tasks);
    fleet.stop();
    violations.extend(
        soak.record
            .lock()
            .violations(&soak.servers.served_requests()),
    );
    if violations.is_empty() {
        // A folder that can't be removed is among the temporary files.
        let _ = std::fs::remove_dir_all(&options.folder);
    }
    Ok(soak.outcome(planned, violations))
}

impl Soak {
    fn outcome(&self, faults: Vec<PlannedFault>, violations: Vec<Violation>) -> Outcome {
        let record = self.record.lock();
        let is_success = |end: &End| {
            matches!(
                end,
                End::Answer {
                    status: 200,
                    whole: true,
                    ..
                }
            )
        };
        Outcome {
            violations,
            requests: record.requests.len(),
            served: record
                .requests
                .iter()
                .filter(|r| is_success(&r.end))
                .count(),
            changes: record.acked.len(),
            faults,
        }
    }

    /// Sends the first configuration and waits until every gateway serves; returns whether all did.
    async fn configure_first(&self) -> bool {
        let document = document::lenient(1).to_string();
        load::wait_until(SERVE_TIMEOUT, || async {
            let put = calls::put_configuration(self.fleet.external_address(1), document.clone());
            put.await == Some(200)
        })
        .await
            && self.serves_everywhere().await
    }

    /// Waits until every gateway answers one request of each kind; returns whether all did.
    async fn serves_everywhere(&self) -> bool {
        for gateway in self.fleet.gateways() {
            for kind in [Kind::Once, Kind::Safe, Kind::Stream] {
                let served = load::wait_until(SERVE_TIMEOUT, || async {
                    let at = self.fleet.external_address(gateway);
                    let Ok(open) = connect(at, Span::from_secs(1)).await else {
                        return false;
                    };
                    let (end, _) = load::ask(open, kind, "look").await;
                    matches!(
                        end,
                        End::Answer {
                            status: 200,
                            whole: true,
                            ..
                        }
                    )
                });
                if !served.await {
                    return false;
                }
            }
        }
        true
    }

    /// Starts the callers, the operators and the reader.
    fn start_load(&self, seed: u64, versions: &Arc<Mutex<Versions>>) -> Vec<Task<()>> {
        let (fleet, record) = (&self.fleet, &self.record);
        let callers = CALLERS * fleet.gateways().count();
        let mut tasks: Vec<Task<()>> = (0..callers)
            .map(|n| {
                let name = format!("caller-{n}");
                let seed = seed.wrapping_add(1_000 + n as u64);
                let (fleet, record) = (Arc::clone(fleet), Arc::clone(record));
                spawn(load::run_caller(fleet, record, name, seed))
            })
            .collect();
        for n in 0..OPERATORS {
            let seed = seed.wrapping_add(2_000 + n);
            let (fleet, record) = (Arc::clone(fleet), Arc::clone(record));
            tasks.push(spawn(load::run_operator(
                fleet,
                record,
                Arc::clone(versions),
                seed,
            )));
        }
        for (culprit, seed) in CULPRITS.into_iter().zip(seed.wrapping_add(3_000)..) {
            let crashing = load::run_crashing_caller(Arc::clone(fleet), culprit, seed);
            tasks.push(spawn(crashing));
        }
        let (fleet, record) = (Arc::clone(fleet), Arc::clone(record));
        tasks.push(spawn(load::run_reader(fleet, record, seed)));
        tasks
    }

    /// Restarts processes that have ended. A process that ended by itself violates a guarantee.
    async fn restart_ended(self: Arc<Self>) {
        loop {
            pause(RESTART_INTERVAL).await;
            for host in self.fleet.controllers().chain(self.fleet.gateways()) {
                if self.fleet.is_running(host) {
                    continue;
                }
                self.record.lock().record_end(host);
                // A process that can't be started is noticed because its host does not serve.
                let _ = self.fleet.start(host, false);
            }
        }
    }

    /// Starts servers again that a request crashed.
    async fn revive_crashed(self: Arc<Self>) {
        loop {
            let Some(place) = self.servers.next_crashed().await else {
                continue;
            };
            let soak = Arc::clone(&self);
            spawn(async move {
                let begun = soak.begin_cause(Target::Server(place));
                soak.servers.crash_for(place, CRASH_TIME).await;
                soak.end_cause(begun);
            })
            .detach();
        }
    }

    /// Checks that what several servers ended under is known at every gateway, once no fault is left.
    async fn check_crashing(&self, culprit: Culprit) -> Option<Violation> {
        if self.servers.crashes(culprit) < culprit.crashes() {
            return None;
        }
        pause(CRASHES_KNOWN).await;
        let before = self.servers.crashing_sends(culprit);
        let gateways: Vec<u8> = self.fleet.gateways().collect();
        for (number, gateway) in
            (LAST_CRASHING..).zip(gateways.into_iter().cycle().take(LAST_ASKED))
        {
            load::ask_crashing(&self.fleet, culprit, gateway, number).await;
            // A server that it crashed is back by then, so that the next one finds one too.
            pause(CRASH_TIME.times(2)).await;
        }
        let sends = self.servers.crashing_sends(culprit) - before;
        let text = format!("what crashes servers ({culprit:?}) was sent {sends} times more");
        (sends > CRASHING_SENDS).then_some(Violation(text))
    }

    /// Checks that after the last fault everything is served again and no acknowledged change is lost.
    async fn check_recovery(&self, versions: &Mutex<Versions>) -> Vec<Violation> {
        let mut violations = Vec::new();
        if !self.serves_everywhere().await {
            violations.push(Violation("not served again after the last fault".into()));
        }
        for culprit in CULPRITS {
            violations.extend(self.check_crashing(culprit).await);
        }
        // Not with what shares a caller and other parts with it.
        if !self.serves_everywhere().await {
            violations.push(Violation(
                "sound requests are refused with crashing ones".into(),
            ));
        }
        let acked = self.record.lock().acked.iter().map(|(v, _)| *v).max();
        for host in self.fleet.controllers() {
            let read = || async { load::read_configuration(&self.fleet, host).await.is_some() };
            if !load::wait_until(SERVE_TIMEOUT, read).await {
                violations.push(Violation(format!("host {host} has no configuration")));
                continue;
            }
            let Some(document) = load::read_configuration(&self.fleet, host).await else {
                continue;
            };
            let version = document::version(&document);
            if acked.is_some_and(|acked| version < acked) {
                violations.push(Violation(format!(
                    "host {host}: version {version}, acknowledged {acked:?}"
                )));
            }
            let sent = versions.lock().sent.get(&version).cloned();
            if sent.is_some_and(|sent| sent != document) {
                violations.push(Violation(format!(
                    "version {version} differs from what was sent"
                )));
            }
        }
        violations
    }

    /// Returns the targets whose answers a fault may break off or delay.
    fn excused_targets(&self, fault: Fault) -> Vec<Target> {
        match fault {
            Fault::Terminate(host) => vec![Target::Ending(host)],
            Fault::Kill(host)
            | Fault::Pause(host, _)
            | Fault::Wipe(host)
            | Fault::Full(host, _)
            | Fault::Link(host, ..) => vec![Target::Host(host)],
            Fault::KillControllers => self.fleet.controllers().map(Target::Host).collect(),
            Fault::ServerLink(server, ..) | Fault::Behave(server, ..) | Fault::Crash(server) => {
                vec![Target::Server(server)]
            }
            // A clean leave, a limit or a rest excuses no lost answer.
            Fault::Replace(_) | Fault::Limit(..) | Fault::Rest(..) | Fault::Leave(..) => Vec::new(),
        }
    }

    /// Injects one fault, and undoes it after its time.
    async fn inject(&self, fault: Fault) {
        let fleet = &self.fleet;
        let targets = self.excused_targets(fault);
        let begun: Vec<usize> = targets.into_iter().map(|t| self.begin_cause(t)).collect();
        match fault {
            Fault::Terminate(host) => self.terminate(host).await,
            Fault::Kill(host) => {
                fleet.kill(host).await;
                self.wait_running(host).await;
            }
            Fault::KillControllers => {
                fleet.kill_controllers().await;
                for host in fleet.controllers() {
                    self.wait_running(host).await;
                }
            }
            Fault::Pause(host, span) => {
                fleet.signal(host, Signal::STOP);
                pause(span).await;
                fleet.signal(host, Signal::CONT);
            }
            Fault::Wipe(host) => {
                fleet.kill_and_wipe(host).await;
                self.wait_running(host).await;
            }
            Fault::Full(host, span) => {
                fleet.set_full(host, true);
                pause(span).await;
                fleet.set_full(host, false);
            }
            Fault::Link(host, port, disturbance, span) => {
                fleet.disturb(host, port, Some(disturbance));
                pause(span).await;
                fleet.disturb(host, port, None);
            }
            Fault::ServerLink(server, disturbance, span) => {
                self.servers.disturb(server, Some(disturbance));
                pause(span).await;
                self.servers.disturb(server, None);
            }
            Fault::Behave(server, behavior, span) => {
                self.servers.behave(server, behavior, span).await;
            }
            Fault::Replace(server) => match self.servers.replace(server).await {
                Ok(drained) => self.record.lock().drained.push(drained),
                // It left without an acknowledgement.
                Err(since) => {
                    let at = self.begin_cause(Target::Server(server));
                    self.record.lock().causes[at].from = since;
                    self.end_cause(at);
                }
            },
            Fault::Crash(server) => self.servers.crash(server).await,
            Fault::Limit(server, rate, span) => {
                let limited = self.servers.limit(server, rate, span).await;
                self.record.lock().limited.extend(limited);
            }
            Fault::Rest(server, span, rest) => {
                let rested = self.servers.rest(server, span, rest).await;
                self.record.lock().rested.extend(rested);
            }
            Fault::Leave(server, span) => {
                if let Some((leaving, stays)) = self.servers.tell_leaving(server, span).await {
                    self.record.lock().leaving.push(leaving);
                    if stays {
                        let at = self.begin_cause(Target::Server(server));
                        self.servers.crash(server).await;
                        self.end_cause(at);
                    }
                }
            }
        }
        begun.into_iter().for_each(|at| self.end_cause(at));
    }

    /// Asks a process to end, and kills it if it takes too long.
    async fn terminate(&self, host: u8) {
        // Another fault may end the process first, and a new one may run when the time is over.
        let process = self.fleet.process_id(host);
        self.fleet.signal(host, Signal::TERM);
        let gone = || async { self.fleet.process_id(host) != process };
        if !load::wait_until(END_TIMEOUT, gone).await {
            self.fleet.kill(host).await;
        }
        self.wait_running(host).await;
    }

    async fn wait_running(&self, host: u8) {
        load::wait_until(SERVE_TIMEOUT, || async { self.fleet.is_running(host) }).await;
    }

    fn begin_cause(&self, target: Target) -> usize {
        let causes = &mut self.record.lock().causes;
        causes.push(Cause {
            target,
            from: Instant::now(),
            until: None,
        });
        causes.len() - 1
    }

    fn end_cause(&self, at: usize) {
        self.record.lock().causes[at].until = Some(Instant::now());
    }
}
