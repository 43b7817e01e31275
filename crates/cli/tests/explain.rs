//! `snipemast explain`: a request's story out of several processes' logs.

use std::path::PathBuf;
use std::process::{Command, Output};

fn line(at: &str, process: &str, msg: &str, subject: &str, detail: &str) -> String {
    format!(
        "{{\"msg\":\"{msg}\",\"level\":\"INFO\",\"ts\":\"2026-12-01T00:00:{at}Z\",\"process\":\"{process}:1\",\
         \"subject\":\"{subject}\",\"detail\":\"{detail}\",\"event\":1}}\n"
    )
}

fn log(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("explain-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a temporary file");
    path
}

fn explain(request: &str, files: &[PathBuf]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_snipemast"));
    command.arg("explain").arg(request).args(files);
    command.output().expect("the program runs")
}

/// An engineer asks why a reading failed: its own lines, those about its server from another process,
/// and nothing about other requests, in order of time.
#[test]
fn story_over_processes() {
    let gateway = log(
        "gateway",
        &[
            line(
                "05.2",
                "gw-1",
                "AnswerFailed",
                "r1",
                "at i-7: Broken, reset",
            ),
            line(
                "05.0",
                "gw-1",
                "RequestRouted",
                "r1",
                "i-7 of lector: 3 in flight",
            ),
            line("05.1", "gw-1", "AnswerDelivered", "r2", "i-8: whole"),
            "{\"msg\":\"torn".to_owned(),
        ]
        .concat(),
    );
    let sidecar = log(
        "sidecar",
        &[
            line("04.5", "sc-1", "MemberRemoved", "i-7", "Lost"),
            line("04.6", "sc-1", "MemberRemoved", "i-8", "Lost"),
            line("30.0", "sc-1", "MemberRemoved", "i-7", "Gone"),
        ]
        .concat(),
    );
    let output = explain("r1", &[gateway, sidecar]);
    let text = String::from_utf8_lossy(&output.stdout);
    let events: Vec<&str> = text
        .lines()
        .filter_map(|l| l.split_whitespace().nth(2))
        .collect();
    assert_eq!(
        &events[..3],
        ["MemberRemoved", "RequestRouted", "AnswerFailed"],
        "{text}"
    );
    assert!(!text.contains("r2") && !text.contains("i-8"), "{text}");
    assert!(text.contains("1 lines are no events"), "{text}");
    assert!(output.status.success());
}

/// A log that isn't there is named, and a request that no line names is said to be.
#[test]
fn faults_named() {
    let missing = explain("r1", &[PathBuf::from("/nowhere/gateway.log")]);
    assert!(String::from_utf8_lossy(&missing.stderr).contains("/nowhere/gateway.log"));
    assert_eq!(missing.status.code(), Some(2));
    let empty = log("empty", "");
    let unknown = explain("r9", &[empty]);
    assert!(String::from_utf8_lossy(&unknown.stdout).contains("no line names r9"));
    assert_eq!(unknown.status.code(), Some(1));
}
