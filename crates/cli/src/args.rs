//! The command line.

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

/// What to do.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "run an entry host")]
    Serve(ServeArgs),
    #[options(help = "run an entry host's role on the users' platform")]
    Gateway(GatewayArgs),
    #[options(help = "run a control host's role on the users' platform")]
    Controller(RoleArgs),
    #[options(help = "run beside a rank on the users' platform")]
    Sidecar(RoleArgs),
    #[options(help = "check a settings file")]
    Check(CheckArgs),
    #[options(help = "submit a patch of the configuration")]
    Patch(PatchArgs),
    #[options(help = "print the configuration, or what changed: config [diff N M]")]
    Config(ConfigArgs),
    #[options(help = "print the last versions, who made them and why")]
    History(HistoryArgs),
    #[options(help = "print what an entry host knows, and who lags behind")]
    Status(DeskArgs),
    #[options(help = "print or draw the events of all processes")]
    Timeline(TimelineArgs),
    #[options(
        help = "print a request's story out of the logs of processes: explain REQUEST FILE..."
    )]
    Explain(ExplainArgs),
    #[options(help = "print the hash of a key, for the configuration or settings")]
    Hash(HashArgs),
    #[options(help = "run a whole small fleet in this process")]
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

/// Arguments of `gateway`, whose settings file an environment variable names.
#[derive(Debug, Options)]
pub(crate) struct GatewayArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(
        no_short,
        help = "a file that says which way decisions are taken",
        meta = "FILE"
    )]
    pub(crate) decisions: Option<PathBuf>,
}

/// Arguments of `controller` and `sidecar`, whose settings file an environment variable names.
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
        help = "count the requests that came to grief, by cause and second"
    )]
    pub(crate) summary: bool,
    #[options(
        free,
        help = "the id of the request's attempt, but with --summary, and the logs"
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
        help = "go back to the content of this version instead",
        meta = "N",
        no_short
    )]
    pub(crate) back: Option<Version>,
    #[options(help = "only say what the patch would come to", no_short)]
    pub(crate) dry_run: bool,
    #[options(help = "the operators' address of a host", meta = "IP:PORT")]
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
    #[options(free, help = "nothing, or: diff N M")]
    pub(crate) words: Vec<String>,
    #[options(help = "another version than the one in force", meta = "N", no_short)]
    pub(crate) at: Option<Version>,
    #[options(help = "the operators' address of a host", meta = "IP:PORT")]
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
    #[options(help = "how many versions", meta = "N", no_short)]
    pub(crate) last: Option<usize>,
    #[options(help = "the operators' address of a host", meta = "IP:PORT")]
    pub(crate) to: Option<SocketAddr>,
    #[options(help = "the operator's key", meta = "KEY")]
    pub(crate) key: Option<String>,
    #[options(help = "print the answer as JSON", no_short)]
    pub(crate) json: bool,
}

/// Arguments of `status`.
#[derive(Debug, Options)]
pub(crate) struct DeskArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "the operators' address of a host", meta = "IP:PORT")]
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
    #[options(help = "only the events about this request", meta = "ID", no_short)]
    pub(crate) request: Option<String>,
    #[options(
        help = "only the events of the last span, like 5m",
        meta = "SPAN",
        no_short
    )]
    pub(crate) since: Option<Span>,
    #[options(help = "draw them into this file", meta = "FILE", no_short)]
    pub(crate) svg: Option<PathBuf>,
    #[options(help = "the operators' address of a host", meta = "IP:PORT")]
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
    #[options(help = "stay up until interrupted")]
    pub(crate) serve: bool,
    #[options(help = "run only the backend servers of examples/loopback", no_short)]
    pub(crate) servers: bool,
}
