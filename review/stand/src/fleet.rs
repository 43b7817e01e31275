//! Starts, signals and ends the project's programs as separate processes, as the platform does.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::sys::{send_signal, SIGKILL};

/// The hosts that run controllers; their addresses are the seeds.
pub const CONTROLLERS: [u8; 3] = [1, 2, 3];

/// How long a call of the platform or of the operator waits for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// The bounds of the deployment that differ between cases.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub stable_window_ms: u64,
    pub drain_ms: u64,
    pub config_apply_ms: u64,
    pub retry_slack: u32,
}

/// Processes on loopback addresses, one address for each host.
pub struct Fleet {
    folder: PathBuf,
    net: u8,
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
    bounds: Bounds,
    running: BTreeMap<u8, Child>,
}

impl Fleet {
    /// Creates a fleet without processes; its files are in a temporary folder.
    pub fn new(name: &str, bounds: Bounds) -> Self {
        let pid = std::process::id();
        let net = (pid % 250 + 1) as u8;
        let folder = std::env::temp_dir().join(format!("review-{name}-{pid}"));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
        let free = || {
            let listener = TcpListener::bind((Ipv4Addr::new(127, 88, net, 1), 0));
            let address = listener.and_then(|l| l.local_addr());
            address.expect("a port is free").port()
        };
        Self {
            front: free(),
            ready: free(),
            control: free(),
            internal: free(),
            folder,
            net,
            bounds,
            running: BTreeMap::new(),
        }
    }

    /// Returns the address of a host.
    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 88, self.net, host)
    }

    /// Returns where a gateway takes clients.
    pub fn front(&self, host: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(host), self.front)
    }

    /// Returns where a controller takes the operator and servers.
    pub fn control(&self, host: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(host), self.control)
    }

    /// Returns the addresses of all controllers for the operator and servers.
    pub fn controls(&self) -> Vec<SocketAddrV4> {
        CONTROLLERS.iter().map(|h| self.control(*h)).collect()
    }

    /// Starts a role on a host with the command of the deploy file.
    pub fn start(&mut self, host: u8, role: &str, bootstrap: bool) {
        let settings = self.folder.join(format!("boot-{host}.toml"));
        fs::write(&settings, self.settings(host, role, bootstrap)).expect("settings are written");
        let log = self.folder.join(format!("{role}-{host}.log"));
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("the log can be opened");
        let command = deploy_command(role);
        let mut words = command.split(' ');
        let program = words.next().expect("the deploy file names a program");
        let child = Command::new(program)
            .args(words)
            .env("SNIPEMAST_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the program starts; build it first");
        self.running.insert(host, child);
    }

    /// Returns the settings file of a host, as the platform writes it.
    fn settings(&self, host: u8, role: &str, bootstrap: bool) -> String {
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from(host - 1) % 3];
        let ip = self.ip(host);
        let seeds: Vec<String> = self.controls().iter().map(|a| format!("\"{a}\"")).collect();
        let (listen, data) = if role == "controller" {
            let data = self.folder.join(format!("data-{host}"));
            fs::create_dir_all(&data).expect("the data folder can be created");
            (
                format!("control = \"{}\"\n", self.control(host)),
                format!("dataDir = \"{}\"\nfaultCounted = true\n", data.display()),
            )
        } else {
            let ready = SocketAddrV4::new(ip, self.ready);
            (
                format!("front = \"{}\"\nready = \"{ready}\"\n", self.front(host)),
                "faultCounted = false\n".to_owned(),
            )
        };
        let Bounds {
            stable_window_ms,
            drain_ms,
            config_apply_ms,
            retry_slack,
        } = self.bounds;
        format!(
            "node = \"{role}-{host}\"\nrole = \"{role}\"\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"region\"\ninternalPorts = [{}, {}]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             discovery = \"registry\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
             configMode = \"highest\"\n{data}\
             [zones]\nzone-a = \"region\"\nzone-b = \"region\"\nzone-c = \"region\"\n\
             [listen]\n{listen}\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n\
             [tolerate]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = {stable_window_ms}\n\
             ackMs = 4000\ncatchUpS = 4\ndrainMs = {drain_ms}\ngraceS = 8\nlossSlackMs = 200\n\
             configApplyMs = {config_apply_ms}\ndowngradeMs = 250\nskewMaxMs = 5000\n\
             retryRatio = 0.2\nretryWindowS = 10\nretrySlack = {retry_slack}\nrecoveryS = 12\n\
             passMs = 120\nstall_ms = 1500\n",
            self.internal,
            self.internal.wrapping_add(15),
            seeds.join(", "),
        )
    }

    /// Sends a signal to the process of a host.
    pub fn signal(&self, host: u8, signal: i32) {
        if let Some(child) = self.running.get(&host) {
            send_signal(child.id(), signal);
        }
    }

    /// Kills the processes of these hosts at the same moment, and waits until they are gone.
    pub fn kill(&mut self, hosts: &[u8]) {
        for host in hosts {
            self.signal(*host, SIGKILL);
        }
        for host in hosts {
            if let Some(mut child) = self.running.remove(host) {
                let _ = child.wait();
            }
        }
    }

    /// Whether the process of a host still runs.
    pub fn is_running(&mut self, host: u8) -> bool {
        let child = self.running.get_mut(&host);
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Starts controllers on their hosts and gateways on these for the first time, and puts a configuration into
    /// force. Returns whether all gateways are ready in time.
    pub fn bring_up(&mut self, gateways: &[u8], configuration: &str) -> bool {
        for host in CONTROLLERS {
            self.start(host, "controller", true);
        }
        for host in gateways {
            self.start(*host, "gateway", true);
        }
        let accepted = self.put_configuration(configuration, Duration::from_secs(15));
        accepted && gateways.iter().all(|g| self.await_ready(*g, Duration::from_secs(15)))
    }

    /// Sends a configuration to one controller after another until one acknowledges it.
    pub fn put_configuration(&self, configuration: &str, limit: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            for to in self.controls() {
                let answer = call(to, "PUT", "/-/config", &[], configuration, CALL_LIMIT);
                if answer.is_some_and(|(head, _)| head.status() == 200) {
                    return true;
                }
            }
            sleep(Duration::from_millis(200));
        }
        false
    }

    /// Asks a gateway once whether it is ready, as the platform does.
    pub fn is_ready(&self, host: u8) -> bool {
        let to = SocketAddrV4::new(self.ip(host), self.ready);
        let answer = call(to, "GET", "/-/ready", &[], "", CALL_LIMIT);
        answer.is_some_and(|(head, _)| head.status() == 200)
    }

    /// Waits until a gateway is ready; returns whether it is in time.
    pub fn await_ready(&self, host: u8, limit: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if self.is_ready(host) {
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let hosts: Vec<u8> = self.running.keys().copied().collect();
        self.kill(&hosts);
        if std::env::var("KEEP_LOGS").is_ok() {
            eprintln!("logs in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the command of a role in the deploy file.
fn deploy_command(role: &str) -> String {
    let text = fs::read_to_string("deploy/system.toml").expect("the case runs at the root");
    let section = format!("[roles.{role}]");
    let mut lines = text.lines().skip_while(|l| l.trim() != section).skip(1);
    let run = lines.find_map(|l| l.trim().strip_prefix("run = \"")?.strip_suffix('"'));
    run.expect("the deploy file has the role").to_owned()
}
