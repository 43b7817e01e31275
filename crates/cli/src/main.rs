//! The `snipemast` binary: a thin command line over the other packages.
//!
//! - `args`: the flags and subcommands.
//! - `serve`: the commands `serve`, `check` and `hash`.
//! - `platform`: the commands `gateway`, `controller` and `sidecar`.
//! - `client`: the operator commands `patch`, `config`, `history` and `status`, with `tables` for their
//!   output.
//! - `timeline`: the command `timeline`, with `drawing` for its SVG output.
//! - `explain`: the command `explain`, with `summary` for `--summary`.
//! - `demo`: the command `demo`, with `servers` for `--servers`.

mod args;
mod client;
mod demo;
mod drawing;
mod explain;
mod platform;
mod serve;
mod servers;
mod summary;
mod tables;
mod timeline;

use std::process::ExitCode;

use gumdrop::Options;

use crate::args::{Args, Command};

/// The exit codes, which scripts may rely on.
mod exit {
    /// The command succeeded.
    pub(crate) const DONE: u8 = 0;
    /// The host refused the command, or nothing was found.
    pub(crate) const REFUSED: u8 = 1;
    /// The command line or a file is invalid.
    pub(crate) const USAGE: u8 = 2;
    /// A process can't be reached or can't be started.
    pub(crate) const UNREACHABLE: u8 = 3;
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        println!("snipemast {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match args.command {
        Some(Command::Serve(args)) => serve::serve(&args),
        Some(Command::Gateway(args)) => platform::gateway(&args),
        Some(Command::Controller(_)) => platform::controller(),
        Some(Command::Sidecar(_)) => platform::sidecar(),
        Some(Command::Check(args)) => serve::check_file(&args),
        Some(Command::Patch(args)) => client::patch(&args),
        Some(Command::Config(args)) => client::config(&args),
        Some(Command::History(args)) => client::history(&args),
        Some(Command::Status(args)) => client::status(&args),
        Some(Command::Timeline(args)) => timeline::timeline(&args),
        Some(Command::Explain(args)) => explain::explain(&args),
        Some(Command::Hash(_)) => serve::hash(),
        Some(Command::Demo(args)) => demo::demo(&args),
        None => {
            eprintln!(
                "{}\n\nCommands:\n{}",
                Args::usage(),
                Args::command_list().unwrap_or("")
            );
            ExitCode::from(exit::USAGE)
        }
    }
}
