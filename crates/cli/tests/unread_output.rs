//! A test of a process whose standard output is not read.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

use snipemast_core::prelude::*;
use snipemast_net::within;
use snipemast_platform::settings::{Settings, SETTINGS_VARIABLE};
use snipemast_site::hosts::{self, free_port};
use snipemast_site::{calls, document, start_executor};

/// The time limits for one call and for the end of the process.
const CALL_TIMEOUT: Span = Span::from_secs(2);
const END_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends a configuration that has many faults, each of which the process logs.
fn put_faulty(to: SocketAddr) -> Option<u16> {
    let text = document::faulty(400).to_string();
    smol::block_on(within(CALL_TIMEOUT, calls::put_configuration(to, text))).flatten()
}

/// Guards against a process that blocks on its own log: the collector of its output has hung, and the pipe
/// is full. The process must still answer calls, and end when it gets SIGTERM.
#[test]
fn unread_output_stops_nothing() {
    start_executor();
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let control = SocketAddr::new(ip, free_port());
    let folder = std::env::temp_dir().join(format!("unread-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let file = folder.join("settings.toml");
    let settings = Settings {
        seeds: vec![control],
        bootstrap: true,
        data_dir: Some(folder.join("data")),
        control: Some(control),
        ..hosts::settings(1, ip, free_port())
    };
    std::fs::write(&file, hosts::text(&settings)).expect("a temporary file");
    let mut process = Command::new(env!("CARGO_BIN_EXE_snipemast"))
        .arg("controller")
        .env(SETTINGS_VARIABLE, &file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let start = Instant::now();
    while put_faulty(control).is_none() && start.elapsed() < END_TIMEOUT {
        std::thread::sleep(Duration::from_millis(20));
    }
    // A line has about 15 kB, so the pipe is full after five of them.
    for n in 0..40 {
        assert_eq!(put_faulty(control), Some(400), "call {n}");
    }
    kill_process(Pid::from_child(&process), Signal::TERM).expect("the process runs");
    let signalled = Instant::now();
    while process
        .try_wait()
        .expect("the process is a child")
        .is_none()
    {
        if signalled.elapsed() > END_TIMEOUT {
            process.kill().expect("the process is a child");
            panic!("the process does not end after SIGTERM");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    // A folder that is left over lies among the temporary files.
    let _ = std::fs::remove_dir_all(folder);
}
