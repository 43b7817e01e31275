//! A randomized soak: the real programs as processes on loopback, troubles from outside of them, and
//! checks of every promise that callers, servers and operators can see.
//!
//! - [`plan`](mod@plan): which troubles come when, by the seed.
//! - [`fleet`]: the processes, and signals to them.
//! - [`proxy`]: delays, silences and resets connections.
//! - [`servers`]: stand-ins for model servers, which leave, crash and misbehave.
//! - [`load`]: callers and operators.
//! - [`verdict`]: which promise what was seen breaks.

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
use load::Versions;
use plan::{plan, Planned, Sizes, Trouble};
use servers::Servers;
use verdict::{Broken, Cause, End, Kind, Record, Whom};

/// How long the fleet may take to serve at first, and to serve again after the last trouble.
const UP: Duration = Duration::from_secs(20);

/// How often the promises are checked, and ended processes started again.
const CHECK: Span = Span::from_secs(2);
const RESTART: Span = Span::from_millis(300);

/// How long a process has to end after it was told to.
const GRACE: Duration = Duration::from_secs(8);

/// Callers for each gateway, and operators.
const CALLERS: usize = 3;
const OPERATORS: u64 = 2;

/// What a soak is to do.
#[derive(Debug, Clone)]
pub struct Options {
    /// Decides every trouble.
    pub seed: u64,
    /// How long traffic lasts.
    pub length: Span,
    /// How many processes run: three controllers, and gateways.
    pub processes: u8,
    /// The program.
    pub binary: PathBuf,
    /// Where settings, disks and logs go; removed where nothing was broken.
    pub folder: PathBuf,
}

/// What a soak saw.
#[derive(Debug)]
pub struct Outcome {
    /// Promises that were broken.
    pub broken: Vec<Broken>,
    /// Requests, and those among them that were answered with success.
    pub asked: usize,
    /// Requests that were answered with success.
    pub served: usize,
    /// Changes that were acknowledged.
    pub changes: usize,
    /// Troubles.
    pub troubles: Vec<Planned>,
}

/// Everything that the tasks of one soak share.
struct Soak {
    fleet: Arc<Fleet>,
    servers: Arc<Servers>,
    record: Arc<Mutex<Record>>,
}

/// Plays one soak.
pub fn run(options: &Options) -> std::io::Result<Outcome> {
    start_executor();
    smol::block_on(play(options))
}

async fn play(options: &Options) -> std::io::Result<Outcome> {
    let gateways = options.processes.saturating_sub(3).max(1);
    let sizes = Sizes {
        controllers: 3,
        gateways,
        servers: gateways.max(3),
    };
    let net = (std::process::id() as u64 * 31 + options.seed) % 250 + 1;
    std::fs::create_dir_all(&options.folder)?;
    let fleet = Fleet::new(&options.binary, &options.folder, net as u8, sizes)?;
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
    if !soak.first_served().await {
        fleet.stop();
        return Ok(soak.outcome(Vec::new(), vec![Broken("nothing was served".into())]));
    }
    let planned = plan(options.seed, options.length, sizes);
    let mut tasks = soak.use_it(options.seed, &versions);
    tasks.push(spawn(Arc::clone(&soak).keep_up()));
    tasks.extend(planned.iter().map(|planned| {
        let (soak, planned) = (Arc::clone(&soak), *planned);
        spawn(async move {
            pause(planned.at).await;
            soak.trouble(planned.trouble).await;
        })
    }));
    let end = Instant::now() + options.length.as_duration();
    let mut broken = Vec::new();
    while Instant::now() < end && broken.is_empty() {
        pause(CHECK).await;
        broken = soak.record.lock().broken(&soak.servers.ran());
    }
    if broken.is_empty() {
        broken = soak.recovered(&versions).await;
    }
    drop(tasks);
    fleet.stop();
    broken.extend(soak.record.lock().broken(&soak.servers.ran()));
    if broken.is_empty() {
        // What can't be removed is in a temporary folder.
        let _ = std::fs::remove_dir_all(&options.folder);
    }
    Ok(soak.outcome(planned, broken))
}

impl Soak {
    fn outcome(&self, troubles: Vec<Planned>, broken: Vec<Broken>) -> Outcome {
        let record = self.record.lock();
        let good = |end: &End| {
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
            broken,
            asked: record.asked.len(),
            served: record.asked.iter().filter(|a| good(&a.end)).count(),
            changes: record.acked.len(),
            troubles,
        }
    }

    /// Sends the first configuration and waits until every gateway serves.
    async fn first_served(&self) -> bool {
        let document = document::lenient(1).to_string();
        load::come_true(UP, || async {
            let put = calls::put_configuration(self.fleet.outside(1), document.clone());
            put.await == Some(200)
        })
        .await
            && self.serves_everywhere().await
    }

    /// Waits until every gateway answers one request of each kind.
    async fn serves_everywhere(&self) -> bool {
        for gateway in self.fleet.gateways() {
            for kind in [Kind::Once, Kind::Safe, Kind::Stream] {
                let served = load::come_true(UP, || async {
                    let at = self.fleet.outside(gateway);
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

    /// Starts callers, operators and readers.
    fn use_it(&self, seed: u64, versions: &Arc<Mutex<Versions>>) -> Vec<Task<()>> {
        let (fleet, record) = (&self.fleet, &self.record);
        let callers = CALLERS * fleet.gateways().count();
        let mut tasks: Vec<Task<()>> = (0..callers)
            .map(|n| {
                let name = format!("caller-{n}");
                let seed = seed.wrapping_add(1_000 + n as u64);
                let (fleet, record) = (Arc::clone(fleet), Arc::clone(record));
                spawn(load::call_on(fleet, record, name, seed))
            })
            .collect();
        for n in 0..OPERATORS {
            let seed = seed.wrapping_add(2_000 + n);
            let (fleet, record) = (Arc::clone(fleet), Arc::clone(record));
            tasks.push(spawn(load::operate(
                fleet,
                record,
                Arc::clone(versions),
                seed,
            )));
        }
        let (fleet, record) = (Arc::clone(fleet), Arc::clone(record));
        tasks.push(spawn(load::read_on(fleet, record, seed)));
        tasks
    }

    /// Starts processes again that have ended; one that ended by itself is a broken promise.
    async fn keep_up(self: Arc<Self>) {
        loop {
            pause(RESTART).await;
            for host in self.fleet.controllers().chain(self.fleet.gateways()) {
                if self.fleet.is_running(host) {
                    continue;
                }
                self.record.lock().note_end(host);
                // One that can't be started shows as not serving.
                let _ = self.fleet.start(host, false);
            }
        }
    }

    /// After the last trouble: everything is served again, and what was acknowledged is there.
    async fn recovered(&self, versions: &Mutex<Versions>) -> Vec<Broken> {
        let mut broken = Vec::new();
        if !self.serves_everywhere().await {
            broken.push(Broken("not served again after the last trouble".into()));
        }
        let acked = self.record.lock().acked.iter().map(|(v, _)| *v).max();
        for host in self.fleet.controllers() {
            let read = || async { load::read(&self.fleet, host).await.is_some() };
            if !load::come_true(UP, read).await {
                broken.push(Broken(format!("host {host} has no configuration")));
                continue;
            }
            let Some(document) = load::read(&self.fleet, host).await else {
                continue;
            };
            let version = document::version(&document);
            if acked.is_some_and(|acked| version < acked) {
                broken.push(Broken(format!(
                    "host {host}: version {version}, acknowledged {acked:?}"
                )));
            }
            let sent = versions.lock().sent.get(&version).cloned();
            if sent.is_some_and(|sent| sent != document) {
                broken.push(Broken(format!("version {version} isn't what was sent")));
            }
        }
        broken
    }

    /// Whom a trouble gives a reason to break an answer off, or to be late.
    fn concerned(&self, trouble: Trouble) -> Vec<Whom> {
        match trouble {
            Trouble::Terminate(host) => vec![Whom::Ending(host)],
            Trouble::Kill(host)
            | Trouble::Pause(host, _)
            | Trouble::Wipe(host)
            | Trouble::Full(host, _)
            | Trouble::Link(host, ..) => vec![Whom::Host(host)],
            Trouble::KillControllers => self.fleet.controllers().map(Whom::Host).collect(),
            Trouble::ServerLink(server, ..)
            | Trouble::Behave(server, ..)
            | Trouble::Crash(server) => vec![Whom::Server(server)],
            // Neither leaving in order nor a limit nor a rest is a reason to lose anything.
            Trouble::Replace(_) | Trouble::Limit(..) | Trouble::Rest(..) | Trouble::Leave(..) => {
                Vec::new()
            }
        }
    }

    /// Makes one trouble, and undoes it.
    async fn trouble(&self, trouble: Trouble) {
        let fleet = &self.fleet;
        let whom = self.concerned(trouble);
        let begun: Vec<usize> = whom.into_iter().map(|whom| self.begin(whom)).collect();
        match trouble {
            Trouble::Terminate(host) => self.terminate(host).await,
            Trouble::Kill(host) => {
                fleet.kill(host);
                self.running_again(host).await;
            }
            Trouble::KillControllers => {
                fleet.controllers().for_each(|host| fleet.kill(host));
                for host in fleet.controllers() {
                    self.running_again(host).await;
                }
            }
            Trouble::Pause(host, span) => {
                fleet.signal(host, Signal::STOP);
                pause(span).await;
                fleet.signal(host, Signal::CONT);
            }
            Trouble::Wipe(host) => {
                fleet.kill(host);
                fleet.wipe(host);
                self.running_again(host).await;
            }
            Trouble::Full(host, span) => {
                fleet.set_full(host, true);
                pause(span).await;
                fleet.set_full(host, false);
            }
            Trouble::Link(host, port, disturbance, span) => {
                fleet.disturb(host, port, Some(disturbance));
                pause(span).await;
                fleet.disturb(host, port, None);
            }
            Trouble::ServerLink(server, disturbance, span) => {
                self.servers.disturb(server, Some(disturbance));
                pause(span).await;
                self.servers.disturb(server, None);
            }
            Trouble::Behave(server, behavior, span) => {
                self.servers.behave(server, behavior, span).await;
            }
            Trouble::Replace(server) => match self.servers.replace(server).await {
                Ok(drained) => self.record.lock().drained.push(drained),
                // It went without an acknowledgement.
                Err(since) => {
                    let at = self.begin(Whom::Server(server));
                    self.record.lock().causes[at].from = since;
                    self.end(at);
                }
            },
            Trouble::Crash(server) => self.servers.crash(server).await,
            Trouble::Limit(server, rate, span) => {
                let limited = self.servers.limit(server, rate, span).await;
                self.record.lock().limited.extend(limited);
            }
            Trouble::Rest(server, span, rest) => {
                let rested = self.servers.rest(server, span, rest).await;
                self.record.lock().rested.extend(rested);
            }
            Trouble::Leave(server, span) => {
                if let Some((left, stays)) = self.servers.tell_leaving(server, span).await {
                    self.record.lock().left.push(left);
                    if stays {
                        let at = self.begin(Whom::Server(server));
                        self.servers.crash(server).await;
                        self.end(at);
                    }
                }
            }
        }
        begun.into_iter().for_each(|at| self.end(at));
    }

    /// Tells a process to end, and kills it where it takes too long.
    async fn terminate(&self, host: u8) {
        // Another trouble may end it first, and another process be there when the time is over.
        let told = self.fleet.id(host);
        self.fleet.signal(host, Signal::TERM);
        let gone = || async { self.fleet.id(host) != told };
        if !load::come_true(GRACE, gone).await {
            self.fleet.kill(host);
        }
        self.running_again(host).await;
    }

    async fn running_again(&self, host: u8) {
        load::come_true(UP, || async { self.fleet.is_running(host) }).await;
    }

    fn begin(&self, whom: Whom) -> usize {
        let causes = &mut self.record.lock().causes;
        causes.push(Cause {
            whom,
            from: Instant::now(),
            until: None,
        });
        causes.len() - 1
    }

    fn end(&self, at: usize) {
        self.record.lock().causes[at].until = Some(Instant::now());
    }
}
