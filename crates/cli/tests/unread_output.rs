//! A process whose standard output nobody reads.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

use snipemast_core::prelude::*;
use snipemast_net::within;
use snipemast_platform::settings::{Settings, SETTINGS_VARIABLE};
use snipemast_site::hosts::{self, free_port};
use snipemast_site::{calls, document, start_executor};

/// How long a call may take, and the end of the process.
const CALL: Span = Span::from_secs(2);
const END: Duration = Duration::from_secs(3);

/// Sends a configuration that has many faults, each of which is logged by name.
fn put_faulty(to: SocketAddr) -> Option<u16> {
    let text = document::faulty(400).to_string();
    smol::block_on(within(CALL, calls::put_configuration(to, text))).flatten()
}

/// Everything stops for an engineer's users: what collects a process's output has hung, its pipe is
/// full, and the process waits for its own log. It must answer on, and end when it is told to.
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
    while put_faulty(control).is_none() && start.elapsed() < END {
        std::thread::sleep(Duration::from_millis(20));
    }
    // Some 15 kB a line: the pipe is full after five of them.
    for n in 0..40 {
        assert_eq!(put_faulty(control), Some(400), "call {n}");
    }
    kill_process(Pid::from_child(&process), Signal::TERM).expect("it runs");
    let told = Instant::now();
    while process.try_wait().expect("it is ours").is_none() {
        if told.elapsed() > END {
            process.kill().expect("it is ours");
            panic!("it does not end");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    // Nothing of it is needed any more.
    let _ = std::fs::remove_dir_all(folder);
}
