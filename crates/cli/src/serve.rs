//! `serve` and `check`: run an entry host, or only check its settings.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use snipemast_core::prelude::*;
use snipemast_entry::Entry;
use snipemast_settings::{AgentSettings, EntrySettings};

use crate::args::{CheckArgs, ServeArgs};
use crate::exit;

/// Runs an entry host until it is told to end.
pub(crate) fn serve(args: &ServeArgs) -> ExitCode {
    match snipemast_settings::read::<EntrySettings>(&args.settings) {
        Ok(settings) => run(settings),
        Err(report) => {
            eprintln!("snipemast: {report:?}");
            ExitCode::from(exit::USAGE)
        }
    }
}

/// Checks a settings file of either binary.
pub(crate) fn check(args: &CheckArgs) -> ExitCode {
    let entry = snipemast_settings::read::<EntrySettings>(&args.file);
    let Err(report) = entry else {
        println!(
            "{}: settings of an entry host, no faults",
            args.file.display()
        );
        return ExitCode::SUCCESS;
    };
    if snipemast_settings::read::<AgentSettings>(&args.file).is_ok() {
        println!("{}: settings of an agent, no faults", args.file.display());
        return ExitCode::SUCCESS;
    }
    eprintln!("{report:?}");
    ExitCode::from(exit::USAGE)
}

fn run(settings: EntrySettings) -> ExitCode {
    let incarnation = start_incarnation();
    let process = ProcessId::new(settings.host.clone(), incarnation);
    let ring = Arc::new(Ring::new(process, settings.limits.events as usize));
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("snipemast: signals can't be handled: {e}");
            return ExitCode::from(exit::UNREACHABLE);
        }
    };
    match smol::block_on(Entry::start(settings, incarnation, Journal::new(ring))) {
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

/// The wall clock in milliseconds: later starts of a host get a larger one.
pub(crate) fn start_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation::new(since.map_or(0, |d| d.as_millis() as u64))
}
