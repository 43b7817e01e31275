//! The commands `gateway`, `controller` and `sidecar`: the roles of a process on the platform.

use std::future::Future;
use std::process::ExitCode;
use std::sync::Arc;

use async_channel::Receiver;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use snipemast_core::prelude::*;
use snipemast_net::exec;
use snipemast_platform::settings::{self, Settings};

use snipemast_settings::Decisions;

use crate::args::GatewayArgs;
use crate::exit;
use crate::serve::start_incarnation;

/// The number of events that a process keeps for its time line.
const RING_EVENTS: usize = 2_000;

/// Runs the gateway role of an entry host until a signal ends the process.
pub(crate) fn gateway(args: &GatewayArgs) -> ExitCode {
    let decisions = match &args.decisions {
        None => Decisions::default(),
        Some(path) => match snipemast_settings::read(path) {
            Ok(decisions) => decisions,
            Err(report) => {
                eprintln!("snipemast: {}:\n{report}", path.display());
                return ExitCode::from(exit::USAGE);
            }
        },
    };
    run(|settings, journal, end| async {
        snipemast_gateway::run(settings, decisions, journal, end)
            .await
            .map_err(|report| format!("{report:?}"))
    })
}

/// Runs the controller role of a control host until a signal ends the process.
pub(crate) fn controller() -> ExitCode {
    run(|settings, journal, end| async {
        snipemast_controller::run(settings, journal, end)
            .await
            .map_err(|report| format!("{report:?}"))
    })
}

/// Runs the sidecar of a rank until a signal ends the process.
pub(crate) fn sidecar() -> ExitCode {
    run(|settings, journal, end| async {
        snipemast_sidecar::run(settings, journal, end)
            .await
            .map_err(|report| format!("{report:?}"))
    })
}

/// Runs a role with the settings file that the environment names, and returns the exit code.
fn run<R, F>(role: R) -> ExitCode
where
    R: FnOnce(Settings, Journal, EndSignal) -> F,
    F: Future<Output = Result<(), String>>,
{
    let settings = match settings::reread() {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("snipemast: {report:?}");
            return ExitCode::from(exit::USAGE);
        }
    };
    let signals = match watch_signals() {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("snipemast: signals can't be handled: {e}");
            return ExitCode::from(exit::UNREACHABLE);
        }
    };
    let process = ProcessId::new(settings.host.clone(), start_incarnation());
    let ring = Arc::new(Ring::new(process, RING_EVENTS));
    let (journal, _lines) = Journal::new(ring, LogLevel::Debug, LogOutput::Stdout);
    let end = Box::pin(async move {
        // The signal thread never ends before the process.
        let _ = signals.recv().await;
    });
    match exec::run(role(settings, journal, end)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("snipemast: {report}");
            ExitCode::from(exit::UNREACHABLE)
        }
    }
}

/// A future that is ready once a signal asks the process to end.
type EndSignal = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

/// Starts a thread that watches for the signals that end a process.
///
/// SIGHUP means that the settings file has changed. The file is read again every few seconds anyway, so
/// the signal is ignored; it must not end the process.
fn watch_signals() -> std::io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (sender, receiver) = async_channel::bounded(1);
    let watch = move || {
        for signal in signals.forever().filter(|s| *s != SIGHUP) {
            let _ = signal;
            // The receiver is gone only if the process is already ending.
            let _ = sender.try_send(());
        }
    };
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(watch)?;
    Ok(receiver)
}
