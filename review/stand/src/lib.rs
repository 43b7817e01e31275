//! Stand-ins for clients, model servers, the operator and the platform.
//!
//! - [`fleet`]: starts, signals and ends the project's programs as separate processes.
//! - [`http`]: a small HTTP/1.1 client and the parsing that the stand-ins share.
//! - [`server`]: a model server that announces itself.
//! - [`sys`]: the few system calls that the standard library does not offer.
//! - [`record`]: the record of what was sent, answered and run.

pub mod fleet;
pub mod http;
pub mod record;
pub mod server;
pub mod sys;

/// The result of a case, as its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    Failed,
}

impl Verdict {
    /// Ends the process with this result.
    pub fn exit(self) -> ! {
        std::process::exit(match self {
            Self::Held => 0,
            Self::Broken => 1,
            Self::Failed => 2,
        })
    }
}

/// Whether the case plays its disruption: unless `TROUBLE` is 0.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
