//! The commands `serve`, `check` and `hash`: run an entry host, check a settings file, hash a key.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use snipemast_config::KeyHash;
use snipemast_core::prelude::*;
use snipemast_entry::Entry;
use snipemast_settings::check::check;
use snipemast_settings::{AgentSettings, EntrySettings, Fault};

use snipemast_wire::serve::set_threads;

use crate::args::{CheckArgs, ServeArgs};
use crate::exit;

/// Runs an entry host until a signal ends the process.
pub(crate) fn serve(args: &ServeArgs) -> ExitCode {
    match snipemast_settings::read::<EntrySettings>(&args.settings) {
        Ok(settings) => run(settings),
        Err(report) => {
            eprintln!("snipemast: {}:\n{report}", args.settings.display());
            ExitCode::from(exit::USAGE)
        }
    }
}

/// Checks a settings file of an entry host or of an agent and prints every fault.
pub(crate) fn check_file(args: &CheckArgs) -> ExitCode {
    let text = match std::fs::read_to_string(&args.file) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("snipemast: {}: {e}", args.file.display());
            return ExitCode::from(exit::USAGE);
        }
    };
    let (kind, faults) = find_faults(&text);
    if args.json {
        print_json(kind, &faults);
    } else if faults.is_empty() {
        println!("{}: settings of {kind}, no faults", args.file.display());
    } else {
        for fault in &faults {
            println!("{}: {fault}", args.file.display());
        }
        let count = faults.len();
        eprintln!("{count} faults in the settings of {kind}");
    }
    if faults.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(exit::USAGE)
    }
}

/// Returns the kind of settings that a text resembles most, and its faults as settings of that kind.
fn find_faults(text: &str) -> (&'static str, Vec<Fault>) {
    let entry = check::<EntrySettings>(text).err().unwrap_or_default();
    if entry.is_empty() {
        return ("an entry host", entry);
    }
    let agent = check::<AgentSettings>(text).err().unwrap_or_default();
    if agent.len() < entry.len() {
        ("an agent", agent)
    } else {
        ("an entry host", entry)
    }
}

/// Prints the hash of a key. The key is read from standard input, so that it does not end up in a shell's
/// history.
pub(crate) fn hash() -> ExitCode {
    let mut key = String::new();
    if std::io::stdin().read_line(&mut key).is_err() || key.trim().is_empty() {
        eprintln!("snipemast: usage: snipemast hash, with the key on standard input");
        return ExitCode::from(exit::USAGE);
    }
    println!("{}", KeyHash::from_key(key.trim()));
    ExitCode::SUCCESS
}

fn print_json(kind: &str, faults: &[Fault]) {
    let faults: Vec<_> = faults
        .iter()
        .map(|f| json!({ "key": f.key, "line": f.line, "fault": f.kind.to_string() }))
        .collect();
    println!("{}", json!({ "settings": kind, "faults": faults }));
}

fn run(settings: EntrySettings) -> ExitCode {
    let incarnation = start_incarnation();
    let process = ProcessId::new(settings.host.clone(), incarnation);
    let ring = Arc::new(Ring::new(process, settings.limits.events as usize));
    let (journal, _lines) = Journal::new(ring, settings.limits.log, LogOutput::Stderr);
    set_threads(settings.limits.threads);
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("snipemast: signals can't be handled: {e}");
            return ExitCode::from(exit::UNREACHABLE);
        }
    };
    match smol::block_on(Entry::start(settings, incarnation, journal)) {
        Ok(entry) => {
            signals.forever().next();
            smol::block_on(entry.stop());
            ExitCode::SUCCESS
        }
        Err(report) => {
            eprintln!("snipemast: {report:?}");
            ExitCode::from(exit::UNREACHABLE)
        }
    }
}

/// Returns the incarnation of a process that starts now: the wall clock in milliseconds, so that a later
/// start of a host gets a larger one.
pub(crate) fn start_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation::new(since.map_or(0, |d| d.as_millis() as u64))
}
