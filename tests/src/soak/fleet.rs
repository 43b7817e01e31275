//! The real programs as processes on loopback, and signals to them.

use std::fs::File;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};

use snipemast_platform::settings::{Settings, SETTINGS_VARIABLE};
use snipemast_site::hosts::{self, Ports};

use super::plan::{Disturbance, Port, Sizes, GATEWAY};
use super::proxy::Proxy;

/// How far the address that a process listens at lies above the one that leads to it.
const BEHIND: u8 = 100;

/// The processes of one soak; dropping it kills those that are left.
#[derive(Debug)]
pub struct Fleet {
    binary: PathBuf,
    folder: PathBuf,
    net: u8,
    ports: Ports,
    sizes: Sizes,
    hosts: Vec<Host>,
    stopped: AtomicBool,
}

#[derive(Debug)]
struct Host {
    number: u8,
    child: Mutex<Option<Child>>,
    internal: Proxy,
    outside: Proxy,
}

impl Fleet {
    /// Lays out the hosts; no process runs yet.
    pub fn new(binary: &Path, folder: &Path, net: u8, sizes: Sizes) -> io::Result<Self> {
        let ports = Ports::free();
        let mut fleet = Self {
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            net,
            ports,
            sizes,
            hosts: Vec::new(),
            stopped: AtomicBool::new(false),
        };
        let controllers = 1..=sizes.controllers;
        let gateways = GATEWAY..GATEWAY + sizes.gateways;
        for number in controllers.chain(gateways) {
            let outside = fleet.outside(number);
            let internal = SocketAddr::new(fleet.ip(number), ports.internal);
            let behind = |at: SocketAddr| SocketAddr::new(fleet.ip(number + BEHIND), at.port());
            let host = Host {
                number,
                child: Mutex::new(None),
                internal: Proxy::start(internal, behind(internal))?,
                outside: Proxy::start(outside, behind(outside))?,
            };
            fleet.hosts.push(host);
        }
        Ok(fleet)
    }

    /// A host's address.
    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 78, self.net, host))
    }

    /// Where operators and servers, or callers, reach a host.
    pub fn outside(&self, host: u8) -> SocketAddr {
        let port = if host < GATEWAY {
            self.ports.control
        } else {
            self.ports.front
        };
        SocketAddr::new(self.ip(host), port)
    }

    /// The hosts that run controllers.
    pub fn controllers(&self) -> impl Iterator<Item = u8> {
        1..=self.sizes.controllers
    }

    /// The hosts that run gateways.
    pub fn gateways(&self) -> impl Iterator<Item = u8> {
        GATEWAY..GATEWAY + self.sizes.gateways
    }

    /// Starts a host's process; `first` where the whole system starts for the first time.
    pub fn start(&self, number: u8, first: bool) -> io::Result<()> {
        let mut child = self.host(number).child.lock();
        if self.stopped.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::Interrupted.into());
        }
        let folder = self.disk(number);
        std::fs::create_dir_all(&folder)?;
        let settings = self.folder.join(format!("host-{number}.toml"));
        std::fs::write(&settings, hosts::text(&self.settings(number, first)))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("host-{number}.log")))?;
        let role = if number < GATEWAY {
            "controller"
        } else {
            "gateway"
        };
        // A write beyond the limit that stands for a full disk is to fail, not to end the process:
        // the shell leaves the signal ignored, and is replaced by the program.
        let started = Command::new("sh")
            .args(["-c", "trap '' XFSZ; exec \"$0\" \"$1\""])
            .arg(&self.binary)
            .arg(role)
            .env(SETTINGS_VARIABLE, &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *child = Some(started);
        Ok(())
    }

    fn settings(&self, number: u8, first: bool) -> Settings {
        let (ip, behind) = (self.ip(number), self.ip(number + BEHIND));
        let at = |port| Some(SocketAddr::new(behind, port));
        let (gateway, ports) = (number >= GATEWAY, self.ports);
        Settings {
            internal_listen: at(ports.internal),
            seeds: self.controllers().map(|c| self.outside(c)).collect(),
            bootstrap: first,
            data_dir: Some(self.disk(number)),
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

    /// The id of a host's process, if it runs.
    pub fn id(&self, number: u8) -> Option<u32> {
        let running = self.is_running(number);
        let child = self.host(number).child.lock();
        child.as_ref().filter(|_| running).map(Child::id)
    }

    /// Sends a signal to a host's process, if it runs.
    pub fn signal(&self, number: u8, signal: Signal) {
        let child = self.host(number).child.lock();
        if let Some(pid) = child.as_ref().and_then(pid) {
            // One that has just ended needs none.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills a host's process, and waits until it is gone.
    pub fn kill(&self, number: u8) {
        if let Some(mut child) = self.host(number).child.lock().take() {
            // One that has ended already can't be killed, and is only waited for.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills all processes, for good.
    ///
    /// Failure guarded against: a soak is over, and its processes run on, started anew by a task that
    /// has not been dropped yet: tasks are cancelled a moment later, if the executor still runs.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for host in &self.hosts {
            self.kill(host.number);
        }
    }

    /// Removes a host's folder.
    pub fn wipe(&self, number: u8) {
        // A folder that was never written to is as good as removed.
        let _ = std::fs::remove_dir_all(self.disk(number));
    }

    /// Lets a host's files grow no further, or again.
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
        // A process that has just ended has no limits.
        let _ = prlimit(Some(pid), Resource::Fsize, limit);
    }

    /// Disturbs a host's connections from now on, or no more.
    pub fn disturb(&self, number: u8, port: Port, disturbance: Option<Disturbance>) {
        let host = self.host(number);
        match port {
            Port::Internal => host.internal.disturb(disturbance),
            Port::Outside => host.outside.disturb(disturbance),
        }
    }

    fn disk(&self, number: u8) -> PathBuf {
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
