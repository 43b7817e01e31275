//! Tests of `snipemast explain`: the lines that concern a request, and the summary of failed requests.

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

/// Guards against an explanation that misses lines of other processes about the request's server, that
/// shows lines of other requests, or that is out of order when the logs of two processes are merged.
#[test]
fn lines_of_processes() {
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
    assert!(
        text.contains("1 lines are not events and were skipped"),
        "{text}"
    );
    assert!(output.status.success());
}

/// Guards against a request that was refused because of an evacuation, which the explanation does not show because it
/// was ordered long before.
#[test]
fn evacuation_shown() {
    let gateway = log(
        "evacuated",
        &[
            line(
                "01.0",
                "gw-1",
                "ZoneEvacuated",
                "a",
                "a evacuated, by core-1",
            ),
            line(
                "01.0",
                "gw-2",
                "ZoneEvacuated",
                "b",
                "b evacuated, by core-1",
            ),
            line("40.0", "gw-1", "RequestRefused", "r1", "Evacuated, 8s left"),
            line(
                "50.0",
                "gw-1",
                "ZoneEvacuated",
                "a",
                "a taken back, by core-1",
            ),
        ]
        .concat(),
    );
    let output = explain("r1", &[gateway]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains("a evacuated"), "{text}");
    assert!(
        !text.contains("b evacuated") && !text.contains("taken back"),
        "{text}"
    );
}

/// Guards against silence when a log file is missing or when no line mentions the request.
#[test]
fn faults_named() {
    let missing = explain("r1", &[PathBuf::from("/nowhere/gateway.log")]);
    assert!(String::from_utf8_lossy(&missing.stderr).contains("/nowhere/gateway.log"));
    assert_eq!(missing.status.code(), Some(2));
    let empty = log("empty", "");
    let unknown = explain("r9", &[empty]);
    assert!(String::from_utf8_lossy(&unknown.stdout).contains("no line mentions r9"));
    assert_eq!(unknown.status.code(), Some(1));
}

/// Guards against a summary that miscounts failed requests by cause or by time, that drops the pauses of
/// late answers, or that hides that lines are missing in a log.
#[test]
fn summary_by_cause() {
    let late = |pause: u64| {
        format!("i-7: first after 100us, longest pause {pause}us, whole after 9us, late: pause")
    };
    let gateway = log(
        "summary",
        &[
            line(
                "05.0",
                "gw-1",
                "RequestRefused",
                "r1",
                "Out, 7s left, back after 2s",
            ),
            line(
                "05.5",
                "gw-1",
                "RequestRefused",
                "r2",
                "Out, 6s left, back after 2s",
            ),
            line(
                "06.5",
                "gw-1",
                "RequestRefused",
                "r7",
                "Out, 3s left, back after 1s; 1600ms after its arrival, a return, late",
            ),
            line("09.0", "gw-1", "AnswerLate", "r3", &late(130_000)),
            line("09.1", "gw-1", "AnswerLate", "r4", &late(3_000_000)),
            line("09.2", "gw-1", "AnswerDelivered", "r5", "i-8: whole"),
            line(
                "09.3",
                "gw-1",
                "RequestRetried",
                "r6",
                "send 2, granted: false",
            ),
            line("09.9", "gw-1", "LinesLeftOut", "log", "12 of AnswerLate"),
        ]
        .concat(),
    );
    let mut command = Command::new(env!("CARGO_BIN_EXE_snipemast"));
    let output = command.args(["explain", "--summary"]).arg(gateway).output();
    let output = output.expect("the program runs");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("it is text");
    for row in [
        "     2  refused: Out\n",
        "     1  refused: Out, a return, after a wait\n",
        "     2  late: pause\n",
        "     1  repeat not granted\n",
        "     1  below 160 ms\n",
        "     1  longer\n",
        "     0  2 refused: Out, 1 refused: Out, a return, after a wait\n",
        "     4  2 late: pause, 1 repeat not granted\n",
        "not in the log: gw-1:1: 12 of AnswerLate\n",
    ] {
        assert!(text.contains(row), "{row:?} in {text}");
    }
}

/// Guards against a request that waited whose explanation doesn't say how urgent it was, how long it waited and
/// behind how many, or whose lines the summary no longer reads.
#[test]
fn wait_explained() {
    let gateway = log(
        "wait",
        &[
            line(
                "05.0",
                "gw-1",
                "RequestQueued",
                "r1",
                "AllFull, for 1600000us at most, behind 3, yielding, priority 0/2",
            ),
            line(
                "05.9",
                "gw-1",
                "RequestRouted",
                "r1",
                "i-7 of lector: 3 in flight; 900000us after its arrival, late, priority 0/2, waited 899000us behind 3",
            ),
            line(
                "06.0",
                "gw-1",
                "RequestRefused",
                "r2",
                "AllFull, 7s left, back after 2s; 1600000us after its arrival, late, priority 0/2",
            ),
        ]
        .concat(),
    );
    let output = explain("r1", std::slice::from_ref(&gateway));
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains("behind 3, yielding, priority 0/2"), "{text}");
    assert!(
        text.contains("late, priority 0/2, waited 899000us behind 3"),
        "{text}"
    );
    let mut command = Command::new(env!("CARGO_BIN_EXE_snipemast"));
    let output = command.args(["explain", "--summary"]).arg(gateway).output();
    let text = String::from_utf8(output.expect("the program runs").stdout).expect("it is text");
    for row in [
        "     1  refused: AllFull, after a wait\n",
        "     1  waited: AllFull\n",
    ] {
        assert!(text.contains(row), "{row:?} in {text}");
    }
}
