//! The flags and subcommands of the `snipemast` command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

use snipemast_core::prelude::*;

/// A load balancer for expert-parallel model groups.
#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "print the version", no_short)]
    pub(crate) version: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// The subcommand to run.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "run an entry host")]
    Serve(ServeArgs),
    #[options(help = "run the gateway role of an entry host on the platform")]
    Gateway(GatewayArgs),
    #[options(help = "run the controller role of a control host on the platform")]
    Controller(RoleArgs),
    #[options(help = "run the sidecar of a rank on the platform")]
    Sidecar(RoleArgs),
    #[options(help = "check a settings file")]
    Check(CheckArgs),
    #[options(help = "submit a patch of the configuration")]
    Patch(PatchArgs),
    #[options(
        help = "print the configuration, or the changes between two versions: config [diff N M]"
    )]
    Config(ConfigArgs),
    #[options(help = "print the latest versions with their authors and reasons")]
    History(HistoryArgs),
    #[options(help = "print the state of an entry host and which processes lag behind")]
    Status(StatusArgs),
    #[options(help = "print or draw the events of all processes")]
    Timeline(TimelineArgs),
    #[options(
        help = "print the log lines that concern a request, from the logs of several processes: explain REQUEST FILE..."
    )]
    Explain(ExplainArgs),
    #[options(help = "print the hash of a key, for the configuration or settings")]
    Hash(HashArgs),
    #[options(help = "run a small fleet in this process")]
    Demo(DemoArgs),
}

/// Arguments of `serve`.
#[derive(Debug, Options)]
pub(crate) struct ServeArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "the settings file", meta = "FILE", required)]
    pub(crate) settings: PathBuf,
}

/// Arguments of `gateway`. An environment variable names its settings file.
#[derive(Debug, Options)]
pub(crate) struct GatewayArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(
        no_short,
        help = "the file that selects the decision policies",
        meta = "FILE"
    )]
    pub(crate) decisions: Option<PathBuf>,
}

/// Arguments of `controller` and `sidecar`. An environment variable names their settings file.
#[derive(Debug, Options)]
pub(crate) struct RoleArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
}

/// Arguments of `explain`.
#[derive(Debug, Options)]
pub(crate) struct ExplainArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(
        no_short,
        help = "count the requests that were refused, late, failed or queued, by cause and by time"
    )]
    pub(crate) summary: bool,
    #[options(
        free,
        help = "the id of the request's attempt (not with --summary), then the log files"
    )]
    pub(crate) words: Vec<PathBuf>,
}

/// Arguments of `check`.
#[derive(Debug, Options)]
pub(crate) struct CheckArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the settings file")]
    pub(crate) file: PathBuf,
    #[options(help = "print the faults as JSON", no_short)]
    pub(crate) json: bool,
}

/// Arguments of `patch`.
#[derive(Debug, Options)]
pub(crate) struct PatchArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "the patch, a JSON file")]
    pub(crate) file: Option<PathBuf>,
    #[options(
        help = "restore the content of this version instead",
        meta = "N",
        no_short
    )]
    pub(crate) back: Option<Version>,
    #[options(help = "only print the result that the patch would have", no_short)]
    pub(crate) dry_run: bool,
    #[options(help = "the operator address of a host", meta = "IP:PORT")]
    pub(crate) to: Option<SocketAddr>,
    #[options(help = "the operator's key", meta = "KEY")]
    pub(crate) key: Option<String>,
    #[options(help = "print the answer as JSON", no_short)]
    pub(crate) json: bool,
}

/// Arguments of `config`.
#[derive(Debug, Options)]
pub(crate) struct ConfigArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "empty, or: diff N M")]
    pub(crate) words: Vec<String>,
    #[options(
        help = "the version to print instead of the one in force",
        meta = "N",
        no_short
    )]
    pub(crate) at: Option<Version>,
    #[options(help = "the operator address of a host", meta = "IP:PORT")]
    pub(crate) to: Option<SocketAddr>,
    #[options(help = "the operator's key", meta = "KEY")]
    pub(crate) key: Option<String>,
    #[options(help = "print the answer as JSON", no_short)]
    pub(crate) json: bool,
}

/// Arguments of `history`.
#[derive(Debug, Options)]
pub(crate) struct HistoryArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "the number of versions to print", meta = "N", no_short)]
    pub(crate) last: Option<usize>,
    #[options(help = "the operator address of a host", meta = "IP:PORT")]
    pub(crate) to: Option<SocketAddr>,
    #[options(help = "the operator's key", meta = "KEY")]
    pub(crate) key: Option<String>,
    #[options(help = "print the answer as JSON", no_short)]
    pub(crate) json: bool,
}

/// Arguments of `status`.
#[derive(Debug, Options)]
pub(crate) struct StatusArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "the operator address of a host", meta = "IP:PORT")]
    pub(crate) to: Option<SocketAddr>,
    #[options(help = "the operator's key", meta = "KEY")]
    pub(crate) key: Option<String>,
    #[options(help = "print the answer as JSON", no_short)]
    pub(crate) json: bool,
}

/// Arguments of `timeline`.
#[derive(Debug, Options)]
pub(crate) struct TimelineArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "print only the events of this request", meta = "ID", no_short)]
    pub(crate) request: Option<String>,
    #[options(
        help = "print only the events of this last span of time, such as 5m",
        meta = "SPAN",
        no_short
    )]
    pub(crate) since: Option<Span>,
    #[options(
        help = "draw the events as SVG into this file",
        meta = "FILE",
        no_short
    )]
    pub(crate) svg: Option<PathBuf>,
    #[options(help = "the operator address of a host", meta = "IP:PORT")]
    pub(crate) to: Option<SocketAddr>,
    #[options(help = "the operator's key", meta = "KEY")]
    pub(crate) key: Option<String>,
    #[options(help = "print the answer as JSON", no_short)]
    pub(crate) json: bool,
}

/// Arguments of `hash`.
#[derive(Debug, Options)]
pub(crate) struct HashArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
}

/// Arguments of `demo`.
#[derive(Debug, Options)]
pub(crate) struct DemoArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "keep running until interrupted")]
    pub(crate) serve: bool,
    #[options(help = "run only the backend servers of examples/loopback", no_short)]
    pub(crate) servers: bool,
}
