//! Runs the real programs as processes on loopback, and sends them signals.

use std::fs::File;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use parking_lot::Mutex;
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};

use snipemast_core::prelude::*;
use snipemast_net::exec::pause;
use snipemast_platform::settings::{Settings, SETTINGS_VARIABLE};
use snipemast_site::hosts::{self, Ports};

use super::plan::{Disturbance, FleetSize, Port, FIRST_GATEWAY};
use super::proxy::Proxy;

/// The distance from a host's address, at which its proxies listen, to the address at which its process
/// listens.
const PROCESS_OFFSET: u8 = 100;

/// How often it is checked whether a killed process has ended.
const END_CHECK_INTERVAL: Span = Span::from_millis(5);

/// The processes of one soak. Dropping the fleet kills those that still run.
#[derive(Debug)]
pub struct Fleet {
    binary: PathBuf,
    folder: PathBuf,
    subnet: u8,
    ports: Ports,
    sizes: FleetSize,
    hosts: Vec<Host>,
    stopped: AtomicBool,
}

#[derive(Debug)]
struct Host {
    number: u8,
    child: Mutex<Option<Child>>,
    /// The number of kills that wait for the process to end; none is started meanwhile.
    kills: AtomicU32,
    internal: Proxy,
    external: Proxy,
}

impl Fleet {
    /// Prepares the hosts and their proxies, without starting a process.
    pub fn new(binary: &Path, folder: &Path, subnet: u8, sizes: FleetSize) -> io::Result<Self> {
        let ports = Ports::free();
        let mut fleet = Self {
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            subnet,
            ports,
            sizes,
            hosts: Vec::new(),
            stopped: AtomicBool::new(false),
        };
        let controllers = 1..=sizes.controllers;
        let gateways = FIRST_GATEWAY..FIRST_GATEWAY + sizes.gateways;
        for number in controllers.chain(gateways) {
            let external = fleet.external_address(number);
            let internal = SocketAddr::new(fleet.ip(number), ports.internal);
            let process_address =
                |at: SocketAddr| SocketAddr::new(fleet.ip(number + PROCESS_OFFSET), at.port());
            let host = Host {
                number,
                child: Mutex::new(None),
                kills: AtomicU32::new(0),
                internal: Proxy::start(internal, process_address(internal))?,
                external: Proxy::start(external, process_address(external))?,
            };
            fleet.hosts.push(host);
        }
        Ok(fleet)
    }

    /// Returns a host's address.
    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 78, self.subnet, host))
    }

    /// Returns the address of a host for clients outside of the fleet: for operators and servers at a
    /// controller, for callers at a gateway.
    pub fn external_address(&self, host: u8) -> SocketAddr {
        let port = if host < FIRST_GATEWAY {
            self.ports.control
        } else {
            self.ports.front
        };
        SocketAddr::new(self.ip(host), port)
    }

    /// Returns the hosts that run controllers.
    pub fn controllers(&self) -> impl Iterator<Item = u8> {
        1..=self.sizes.controllers
    }

    /// Returns the hosts that run gateways.
    pub fn gateways(&self) -> impl Iterator<Item = u8> {
        FIRST_GATEWAY..FIRST_GATEWAY + self.sizes.gateways
    }

    /// Starts a host's process. `first` is true if the whole system starts for the first time.
    pub fn start(&self, number: u8, first: bool) -> io::Result<()> {
        let host = self.host(number);
        let mut child = host.child.lock();
        if self.stopped.load(Ordering::SeqCst) || host.kills.load(Ordering::SeqCst) > 0 {
            return Err(io::ErrorKind::Interrupted.into());
        }
        let folder = self.data_folder(number);
        std::fs::create_dir_all(&folder)?;
        let settings = self.folder.join(format!("host-{number}.toml"));
        std::fs::write(&settings, hosts::text(&self.settings(number, first)))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("host-{number}.log")))?;
        let role = if number < FIRST_GATEWAY {
            "controller"
        } else {
            "gateway"
        };
        // A limit on the file size simulates a full disk. A write beyond it must fail instead of ending the
        // process, so the shell ignores SIGXFSZ before the program replaces it.
        let process = Command::new("sh")
            .args(["-c", "trap '' XFSZ; exec \"$0\" \"$1\""])
            .arg(&self.binary)
            .arg(role)
            .env(SETTINGS_VARIABLE, &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *child = Some(process);
        Ok(())
    }

    fn settings(&self, number: u8, first: bool) -> Settings {
        let (ip, own) = (self.ip(number), self.ip(number + PROCESS_OFFSET));
        let at = |port| Some(SocketAddr::new(own, port));
        let (gateway, ports) = (number >= FIRST_GATEWAY, self.ports);
        Settings {
            internal_listen: at(ports.internal),
            seeds: self
                .controllers()
                .map(|c| self.external_address(c))
                .collect(),
            bootstrap: first,
            data_dir: Some(self.data_folder(number)),
            front: at(ports.front).filter(|_| gateway),
            ready: at(ports.ready).filter(|_| gateway),
            control: at(ports.control).filter(|_| !gateway),
            ..hosts::settings(number, ip, ports.internal)
        }
    }

    /// Whether a host's process runs.
    pub fn is_running(&self, number: u8) -> bool {
        let mut child = self.host(number).child.lock();
        let Some(running) = child.as_mut() else {
            return false;
        };
        match running.try_wait() {
            Ok(None) => true,
            _ => {
                *child = None;
                false
            }
        }
    }

    /// Returns the id of a host's process, if it runs.
    pub fn process_id(&self, number: u8) -> Option<u32> {
        let running = self.is_running(number);
        let child = self.host(number).child.lock();
        child.as_ref().filter(|_| running).map(Child::id)
    }

    /// Sends a signal to a host's process, if it runs.
    pub fn signal(&self, number: u8, signal: Signal) {
        let child = self.host(number).child.lock();
        if let Some(pid) = child.as_ref().and_then(pid) {
            // A process that has just ended needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills a host's process and waits until it has ended.
    pub async fn kill(&self, number: u8) {
        self.kill_then(&[number], || ()).await;
    }

    /// Kills all controllers at once and waits until they have ended.
    pub async fn kill_controllers(&self) {
        let controllers: Vec<u8> = self.controllers().collect();
        self.kill_then(&controllers, || ()).await;
    }

    /// Kills a host's process and removes its folder before another one starts.
    pub async fn kill_and_wipe(&self, number: u8) {
        self.kill_then(&[number], || self.wipe(number)).await;
    }

    /// Kills processes, waits until all have ended, and does something before any of them starts again.
    ///
    /// Callers, servers and proxies run on this thread: a process that waits for its disk must not hold them while it ends.
    async fn kill_then(&self, numbers: &[u8], then: impl FnOnce()) {
        for number in numbers {
            let host = self.host(*number);
            host.kills.fetch_add(1, Ordering::SeqCst);
            self.signal(*number, Signal::KILL);
        }
        while numbers.iter().any(|n| self.is_running(*n)) {
            pause(END_CHECK_INTERVAL).await;
        }
        then();
        for number in numbers {
            self.host(*number).kills.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Kills a host's process and holds the thread until it has ended.
    fn kill_now(&self, number: u8) {
        if let Some(mut child) = self.host(number).child.lock().take() {
            // A process that has already ended can't be killed, and is only waited for.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills all processes and prevents later starts.
    ///
    /// A dropped task is cancelled only a moment later, and only if the executor still runs. Until then it
    /// could start processes again, which would outlive the soak.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for host in &self.hosts {
            self.kill_now(host.number);
        }
    }

    /// Removes a host's folder.
    fn wipe(&self, number: u8) {
        // A folder that was never created needs no removal.
        let _ = std::fs::remove_dir_all(self.data_folder(number));
    }

    /// Prevents a host's files from growing, or allows it again.
    pub fn set_full(&self, number: u8, full: bool) {
        let child = self.host(number).child.lock();
        let Some(pid) = child.as_ref().and_then(pid) else {
            return;
        };
        let current = if full { Some(0) } else { None };
        let limit = Rlimit {
            current,
            maximum: None,
        };
        // A process that has just ended needs no limit.
        let _ = prlimit(Some(pid), Resource::Fsize, limit);
    }

    /// Starts a disturbance of a host's connections, or ends it with `None`.
    pub fn disturb(&self, number: u8, port: Port, disturbance: Option<Disturbance>) {
        let host = self.host(number);
        match port {
            Port::Internal => host.internal.disturb(disturbance),
            Port::External => host.external.disturb(disturbance),
        }
    }

    fn data_folder(&self, number: u8) -> PathBuf {
        self.folder.join(format!("disk-{number}"))
    }

    fn host(&self, number: u8) -> &Host {
        let host = self.hosts.iter().find(|h| h.number == number);
        host.expect("the plan names hosts of the fleet")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

fn pid(child: &Child) -> Option<Pid> {
    Pid::from_raw(child.id().try_into().ok()?)
}
