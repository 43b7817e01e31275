//! Starts the project's processes on loopback addresses, with settings like those of a small deployment.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The signal that asks a process to end.
pub const SIGTERM: i32 = 15;

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the record at a path.
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(path)?;
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
        }
    }
}

/// The names and bounds of a deployment that settings hold.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    /// The region.
    pub region: &'static str,
    /// The zones, in the order in which hosts are spread over them.
    pub zones: [&'static str; 3],
    /// The memory and the descriptors of a front machine, in MB and files.
    pub front: (u32, u32),
    /// The table of bounds.
    pub bounds: &'static str,
}

impl Site {
    /// Returns a host's zone.
    pub fn zone(&self, host: u8) -> &'static str {
        self.zones[usize::from(host + 2) % self.zones.len()]
    }
}

/// The deployment `kiboko-rfp-grown`, with three control hosts.
pub const KIBOKO: Site = Site {
    region: "nairobi",
    zones: ["nairobi-a", "nairobi-b", "nairobi-c"],
    front: (160, 4_100),
    bounds: "seedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 4000\nackMs = 5000\ncatchUpS = 6\ndrainMs = 2500\n\
             graceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2500\ndowngradeMs = 250\nskewMaxMs = 6000\n\
             strictRevoke = false\nrevokeMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 226\n\
             coldOvershoot = 1.5\ncoldSlack = 5\nevacuateMs = 5000\nrecoveryS = 15\npassMs = 200\nretryAfterS = 0\n\
             stall_ms = 1500\nrequireFence = false\n",
};

/// The deployment `vma-leuven`.
pub const LEUVEN: Site = Site {
    region: "be-flanders",
    zones: ["hall-a", "hall-b", "hall-c"],
    front: (260, 4_100),
    bounds: "seedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\n\
             graceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\ndowngradeMs = 250\nskewMaxMs = 5000\n\
             strictRevoke = false\nrevokeMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 90\n\
             recoveryS = 12\npassMs = 120\nretryAfterS = 0\nstall_ms = 1500\nrequireFence = false\n",
};

/// The ports of a day, the same on all hosts.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    /// For clients.
    pub front: u16,
    /// For the platform's balancer.
    pub ready: u16,
    /// For operators and servers.
    pub control: u16,
    /// For the processes among themselves.
    pub internal: u16,
}

/// The processes of one case. Dropping it ends them and removes their folder.
pub struct Fleet {
    net: (u8, u8),
    /// The deployment.
    pub site: Site,
    /// The ports.
    pub ports: Ports,
    folder: PathBuf,
    binary: PathBuf,
    children: Vec<(u8, String, Child)>,
    /// Whether the whole system starts for the first time.
    pub first: bool,
    /// The seeds of processes that are started from now on.
    pub seeds: [u8; 3],
    /// The record of the case.
    pub record: Record,
}

/// The hosts that serve control.
pub const CONTROLS: [u8; 3] = [1, 2, 3];

fn free_port(ip: IpAddr, taken: &[u16]) -> std::io::Result<u16> {
    loop {
        let port = TcpListener::bind((ip, 0))?.local_addr()?.port();
        if !taken.contains(&port) && !taken.contains(&(port + 1)) {
            return Ok(port);
        }
    }
}

impl Fleet {
    /// Prepares a fleet without processes.
    pub fn new(site: Site, record: Record) -> std::io::Result<Self> {
        let id = std::process::id();
        let net = ((id / 250 % 100 + 100) as u8, (id % 250 + 1) as u8);
        let ip = IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, 1));
        let mut taken = Vec::new();
        for _ in 0..4 {
            let port = free_port(ip, &taken)?;
            taken.push(port);
        }
        let folder = std::env::temp_dir().join(format!("review-stand-2-{id}"));
        fs::create_dir_all(&folder)?;
        let binary = std::env::current_dir()?.join("target/release/snipemast");
        if !binary.exists() {
            return Err(std::io::Error::other(
                "target/release/snipemast isn't built",
            ));
        }
        Ok(Self {
            net,
            site,
            ports: Ports {
                front: taken[0],
                ready: taken[1],
                control: taken[2],
                internal: taken[3],
            },
            folder,
            binary,
            children: Vec::new(),
            first: true,
            seeds: CONTROLS,
            record,
        })
    }

    /// Returns a host's address.
    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net.0, self.net.1, host))
    }

    /// Returns an address of a host.
    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }

    fn settings(&self, host: u8, role: &str) -> String {
        let Site {
            region,
            zones,
            front,
            bounds,
        } = self.site;
        let zone = self.site.zone(host);
        let zones: String = zones
            .iter()
            .map(|z| format!("{z} = \"{region}\"\n"))
            .collect();
        let seeds = self
            .seeds
            .map(|h| format!("\"{}\"", self.at(h, self.ports.control)));
        let folder = self.folder.join(host.to_string());
        let (class, serves, listen, data) = match role {
            "controller" => (
                "core",
                "control",
                format!("control = \"{}\"", self.at(host, self.ports.control)),
                format!("dataDir = \"{}\"\n", folder.display()),
            ),
            _ => (
                "front",
                "front",
                format!(
                    "front = \"{}\"\nready = \"{}\"",
                    self.at(host, self.ports.front),
                    self.at(host, self.ports.ready)
                ),
                String::new(),
            ),
        };
        let counted = class == "core";
        let ports = (self.ports.internal, self.ports.internal.wrapping_add(1));
        let (memory, files) = if counted { (256, 4_096) } else { front };
        format!(
            "node = \"{class}-{host}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip = \"{}\"\nzone = \"{zone}\"\nregion = \"{region}\"\ninternalPorts = [{},{}]\nseeds = [{}]\n\
             bootstrap = {}\nfaultCounted = {counted}\ndiscovery = \"registry\"\nentry = \"vip\"\nheartbeatMs = 1200\n{data}\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"experts\"]\n\
             configMode = \"highest\"\n[zones]\n{zones}[listen]\n{listen}\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = {memory}\nmaxFds = {files}\nlinkMbps = 40.0\ndiskMb = 128\n\
             [tolerate]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\n{bounds}",
            self.ip(host),
            ports.0,
            ports.1,
            seeds.join(","),
            self.first
        )
    }

    /// Starts a role on a host, with the command of the deploy file.
    pub fn start(&mut self, host: u8, role: &str) -> std::io::Result<()> {
        let path = self.folder.join(format!("{host}.toml"));
        fs::create_dir_all(self.folder.join(host.to_string()))?;
        fs::write(&path, self.settings(host, role))?;
        let log = File::create(self.folder.join(format!("{host}.txt")))?;
        let child = Command::new(&self.binary)
            .arg(role)
            .env("SNIPEMAST_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .line(format!("start {role} on host {host}, pid {}", child.id()));
        self.children.push((host, role.to_owned(), child));
        Ok(())
    }

    /// Starts three controllers, and gateways on these hosts.
    pub fn start_all(&mut self, gateways: &[u8]) -> std::io::Result<()> {
        for host in CONTROLS {
            self.start(host, "controller")?;
        }
        for host in gateways {
            self.start(*host, "gateway")?;
        }
        Ok(())
    }

    /// Sends a signal to a host's process.
    pub fn signal(&self, host: u8, signal: i32) {
        for (_, _, child) in self.children.iter().filter(|(h, ..)| *h == host) {
            self.record.line(format!("signal {signal} to host {host}"));
            // The child is ours and was not waited for, so its id can't belong to another process.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills a host's process, which doesn't come back.
    pub fn remove(&mut self, host: u8) -> std::io::Result<()> {
        self.record.line(format!("host {host} is lost for good"));
        for (_, _, child) in self.children.iter_mut().filter(|(h, ..)| *h == host) {
            child.kill()?;
            child.wait()?;
        }
        self.children.retain(|(h, ..)| *h != host);
        Ok(())
    }

    /// Kills the processes of these hosts at the same moment, and starts them again with their disks.
    pub fn restart(&mut self, hosts: &[u8]) -> std::io::Result<()> {
        self.first = false;
        let old = std::mem::take(&mut self.children);
        let (mut killed, kept): (Vec<_>, Vec<_>) =
            old.into_iter().partition(|(h, ..)| hosts.contains(h));
        self.children = kept;
        self.record
            .line(format!("kill the processes of hosts {hosts:?}"));
        for (_, _, child) in &mut killed {
            child.kill()?;
        }
        for (_, _, child) in &mut killed {
            child.wait()?;
        }
        for (host, role, _) in killed {
            self.start(host, &role)?;
        }
        Ok(())
    }

    /// Sends a configuration as the operator does, until it is acknowledged.
    pub fn configure(&self, text: &str, limit: Duration) -> bool {
        self.configure_at(&CONTROLS, text, limit)
    }

    /// Does the same with a list of the hosts that serve control.
    pub fn configure_at(&self, controls: &[u8], text: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut turn = 0;
        while Instant::now() < until {
            let host = controls[turn % controls.len()];
            turn += 1;
            let address = self.at(host, self.ports.control);
            let answer = http::call(address, "PUT", "/-/config", text, Duration::from_secs(2));
            let status = answer.map_or(0, |(status, _)| status);
            self.record
                .line(format!("configuration sent to host {host}: {status}"));
            if status == 200 {
                return true;
            }
            if [400, 409, 412, 413, 422].contains(&status) {
                return false;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until a gateway says that it is ready.
    pub fn await_ready(&self, host: u8, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let address = self.at(host, self.ports.ready);
            let answer = http::call(address, "GET", "/-/ready", "", Duration::from_secs(1));
            if answer.is_some_and(|(status, _)| status == 200) {
                self.record.line(format!("gateway on host {host} is ready"));
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, _, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
