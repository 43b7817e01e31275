//! The operator commands `patch`, `config`, `history` and `status`, which talk to a host over HTTP and JSON.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitCode;

use error_stack::{Report, ResultExt};
use futures_lite::FutureExt;
use serde::de::DeserializeOwned;
use trillium_client::{Client, Conn, KnownHeaderName};
use trillium_smol::ClientConfig;

use snipemast_config::Delta;
use snipemast_core::prelude::*;
use snipemast_operators::{DryRunAnswer, HistoryLine, StatusReport, VerdictAnswer};

use crate::args::{ConfigArgs, HistoryArgs, PatchArgs, StatusArgs};
use crate::{exit, tables};

/// The result of an operator command.
pub(crate) type Result<T> = std::result::Result<T, Report<ClientError>>;

/// The operator address of a host that runs on this machine.
const DEFAULT_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7003);
/// The time limit for an answer.
const ANSWER_TIMEOUT: Span = Span::from_secs(15);

/// The reason why an operator command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ClientError {
    /// The command line is invalid; holds the usage line.
    Usage(&'static str),
    /// A file can't be read, with the reason.
    Unread(PathBuf, String),
    /// A file can't be written, with the reason.
    Unwritten(PathBuf, String),
    /// The host can't be reached, or it closed the connection before the whole answer.
    Unreachable(SocketAddr),
    /// The answer is not the expected document.
    Malformed,
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(usage) => write!(f, "usage: snipemast {usage}"),
            Self::Unread(path, reason) => {
                write!(f, "{} can't be read: {reason}", path.display())
            }
            Self::Unwritten(path, reason) => {
                write!(f, "{} can't be written: {reason}", path.display())
            }
            Self::Unreachable(address) => write!(f, "{address} does not answer"),
            Self::Malformed => f.write_str("the host answered with another document"),
        }
    }
}

impl std::error::Error for ClientError {}

impl ClientError {
    fn code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Unread(..) | Self::Unwritten(..) => exit::USAGE,
            Self::Unreachable(_) | Self::Malformed => exit::UNREACHABLE,
        }
    }
}

/// Submits a patch and prints its verdict.
pub(crate) fn patch(args: &PatchArgs) -> ExitCode {
    finish(try_patch(args))
}

fn try_patch(args: &PatchArgs) -> Result<ExitCode> {
    let client = OperatorClient::new(args.to, args.key.as_deref(), args.json);
    let body = match (&args.file, args.back) {
        (Some(file), None) => {
            std::fs::read(file).map_err(|e| ClientError::Unread(file.clone(), e.to_string()))?
        }
        (None, Some(to)) => {
            let answer = client.get(&format!("/config/back?to={to}"))?;
            if !answer.is_success() {
                return answer.print_refusal();
            }
            answer.text.into_bytes()
        }
        _ => return Err(Report::new(ClientError::Usage("patch FILE | --back N"))),
    };
    if args.dry_run {
        let answer = client.post("/patches?dry-run=true", body)?;
        return client.show(answer, |dry: &DryRunAnswer| tables::dry_run(dry));
    }
    let answer = client.post("/patches", body)?;
    let accepted = answer.is_success();
    client
        .show(answer, |verdict: &VerdictAnswer| tables::verdict(verdict))
        .map(|code| if accepted { code } else { refused_code() })
}

/// Prints a configuration, or the changes between two versions.
pub(crate) fn config(args: &ConfigArgs) -> ExitCode {
    finish(try_config(args))
}

fn try_config(args: &ConfigArgs) -> Result<ExitCode> {
    let client = OperatorClient::new(args.to, args.key.as_deref(), args.json);
    let words: Vec<&str> = args.words.iter().map(String::as_str).collect();
    match (words.as_slice(), args.at) {
        ([], None) => client.show(client.get("/config")?, tables::config),
        ([], Some(at)) => client.show(client.get(&format!("/config?at={at}"))?, tables::config),
        (["diff", from, to], None) => {
            let path = format!("/config/diff?from={from}&to={to}");
            client.show(client.get(&path)?, |delta: &Delta| tables::delta(delta))
        }
        _ => Err(Report::new(ClientError::Usage(
            "config [--at N] | config diff N M",
        ))),
    }
}

/// Prints the latest versions.
pub(crate) fn history(args: &HistoryArgs) -> ExitCode {
    finish(try_history(args))
}

fn try_history(args: &HistoryArgs) -> Result<ExitCode> {
    let client = OperatorClient::new(args.to, args.key.as_deref(), args.json);
    let path = match args.last {
        Some(last) => format!("/history?last={last}"),
        None => "/history".into(),
    };
    client.show(client.get(&path)?, |lines: &Vec<HistoryLine>| {
        tables::history(lines)
    })
}

/// Prints the state of a host.
pub(crate) fn status(args: &StatusArgs) -> ExitCode {
    finish(try_status(args))
}

fn try_status(args: &StatusArgs) -> Result<ExitCode> {
    let client = OperatorClient::new(args.to, args.key.as_deref(), args.json);
    let answer = client.get("/status")?;
    client.show(answer, |report: &StatusReport| tables::status(report))
}

fn refused_code() -> ExitCode {
    ExitCode::from(exit::REFUSED)
}

/// Returns the exit code of a command, and prints its error if it failed.
pub(crate) fn finish(result: Result<ExitCode>) -> ExitCode {
    result.unwrap_or_else(|report| {
        eprintln!("snipemast: {}", report.current_context());
        ExitCode::from(report.current_context().code())
    })
}

/// A client of one host's operator interface.
pub(crate) struct OperatorClient<'a> {
    address: SocketAddr,
    key: Option<&'a str>,
    json: bool,
}

/// The status and the text of an answer.
pub(crate) struct Answer {
    status: u16,
    text: String,
}

impl Answer {
    pub(crate) fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Parses the text as a JSON document.
    pub(crate) fn read_document<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_str(&self.text).change_context(ClientError::Malformed)
    }

    /// Prints the problem that the host reported, and returns the exit code of a refusal.
    pub(crate) fn print_refusal(&self) -> Result<ExitCode> {
        eprintln!("snipemast: {}", tables::problem(&self.text));
        Ok(refused_code())
    }
}

impl<'a> OperatorClient<'a> {
    pub(crate) fn new(address: Option<SocketAddr>, key: Option<&'a str>, json: bool) -> Self {
        Self {
            address: address.unwrap_or(DEFAULT_ADDRESS),
            key,
            json,
        }
    }

    pub(crate) fn get(&self, path: &str) -> Result<Answer> {
        self.send(http_client().get(self.url(path).as_str()))
    }

    fn post(&self, path: &str, body: Vec<u8>) -> Result<Answer> {
        self.send(http_client().post(self.url(path).as_str()).with_body(body))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn send(&self, mut conn: Conn) -> Result<Answer> {
        if let Some(key) = self.key {
            let value = format!("Bearer {key}");
            conn.request_headers_mut()
                .insert(KnownHeaderName::Authorization, value);
        }
        let answer = async {
            let mut conn = conn.await.ok()?;
            let status = conn.status().map_or(0, |s| s as u16);
            let text = conn.response_body().read_string().await.ok()?;
            Some(Answer { status, text })
        };
        let timeout = async {
            smol::Timer::after(ANSWER_TIMEOUT.as_duration()).await;
            None
        };
        let answer = smol::block_on(answer.or(timeout));
        answer.ok_or_else(|| Report::new(ClientError::Unreachable(self.address)))
    }

    /// Prints an answer: with `--json` as it was received, else as a table.
    pub(crate) fn show<T: DeserializeOwned>(
        &self,
        answer: Answer,
        table: impl FnOnce(&T) -> String,
    ) -> Result<ExitCode> {
        let document = serde_json::from_str::<T>(&answer.text);
        if !answer.is_success() && document.is_err() {
            return answer.print_refusal();
        }
        if self.json {
            println!("{}", answer.text);
        } else {
            print!(
                "{}",
                table(&document.change_context(ClientError::Malformed)?)
            );
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn http_client() -> Client {
    Client::new(ClientConfig::default())
}
