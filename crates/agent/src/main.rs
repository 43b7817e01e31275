//! The `snipemast-agent` binary.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use gumdrop::Options;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use snipemast_agent::Agent;
use snipemast_core::prelude::*;
use snipemast_settings::AgentSettings;
use snipemast_wire::serve::set_threads;

/// The agent beside one backend server.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(help = "the settings file", meta = "FILE")]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        println!("snipemast-agent {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = args.settings else {
        eprintln!("snipemast-agent: --settings FILE is missing");
        return ExitCode::from(2);
    };
    match snipemast_settings::read::<AgentSettings>(&path) {
        Ok(settings) => serve(settings),
        Err(report) => {
            eprintln!("snipemast-agent: {}:\n{report}", path.display());
            ExitCode::from(2)
        }
    }
}

/// Runs the agent until a signal ends it.
fn serve(settings: AgentSettings) -> ExitCode {
    let incarnation = start_incarnation();
    let process = ProcessId::new(settings.host.clone(), incarnation);
    let ring = Arc::new(Ring::new(process, settings.limits.events as usize));
    let (journal, _lines) = Journal::new(ring, settings.limits.log, LogOutput::Stderr);
    set_threads(settings.limits.threads);
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("snipemast-agent: can't install signal handlers: {e}");
            return ExitCode::FAILURE;
        }
    };
    let agent = match smol::block_on(Agent::start(settings, incarnation, journal)) {
        Ok(agent) => agent,
        Err(report) => {
            eprintln!("snipemast-agent: {report:?}");
            return ExitCode::FAILURE;
        }
    };
    signals.forever().next();
    smol::block_on(agent.stop());
    ExitCode::SUCCESS
}

/// Returns the wall clock in milliseconds, so that later starts of a host get a larger incarnation.
fn start_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation::new(since.map_or(0, |d| d.as_millis() as u64))
}
