//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

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
    #[options(help = "check a settings file")]
    Check(CheckArgs),
    #[options(help = "submit a patch of the configuration")]
    Patch(PatchArgs),
    #[options(help = "print the configuration")]
    Config(DeskArgs),
    #[options(help = "print what an entry host knows")]
    Status(DeskArgs),
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

/// Arguments of `check`.
#[derive(Debug, Options)]
pub(crate) struct CheckArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the settings file")]
    pub(crate) file: PathBuf,
}

/// Arguments of `patch`.
#[derive(Debug, Options)]
pub(crate) struct PatchArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the patch, a JSON file")]
    pub(crate) file: PathBuf,
    #[options(help = "the operators' address of a control host", meta = "IP:PORT")]
    pub(crate) to: Option<SocketAddr>,
    #[options(help = "the operator's key", meta = "KEY")]
    pub(crate) key: Option<String>,
}

/// Arguments of `config` and `status`.
#[derive(Debug, Options)]
pub(crate) struct DeskArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "the operators' address of an entry host", meta = "IP:PORT")]
    pub(crate) to: Option<SocketAddr>,
    #[options(help = "the operator's key", meta = "KEY")]
    pub(crate) key: Option<String>,
}

/// Arguments of `demo`.
#[derive(Debug, Options)]
pub(crate) struct DemoArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "stay up until interrupted")]
    pub(crate) serve: bool,
}
