//! `patch`, `config` and `status`: the operator's verbs, over HTTP and JSON.

use std::net::SocketAddr;
use std::process::ExitCode;

use trillium_client::{Client, Conn, KnownHeaderName};
use trillium_smol::ClientConfig;

use crate::args::{DeskArgs, PatchArgs};
use crate::exit;

/// Where operators connect to a host that runs on this machine.
const DEFAULT_DESK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7003);

/// Submits a patch and prints its verdict.
pub(crate) fn patch(args: &PatchArgs) -> ExitCode {
    let body = match std::fs::read(&args.file) {
        Ok(body) => body,
        Err(e) => {
            eprintln!("snipemast: {}: {e}", args.file.display());
            return ExitCode::from(exit::USAGE);
        }
    };
    let conn = client()
        .post(url(args.to, "/patches").as_str())
        .with_body(body);
    print(conn, args.key.as_deref())
}

/// Prints the configuration.
pub(crate) fn config(args: &DeskArgs) -> ExitCode {
    print(
        client().get(url(args.to, "/config").as_str()),
        args.key.as_deref(),
    )
}

/// Prints what an entry host knows.
pub(crate) fn status(args: &DeskArgs) -> ExitCode {
    print(
        client().get(url(args.to, "/status").as_str()),
        args.key.as_deref(),
    )
}

fn client() -> Client {
    Client::new(ClientConfig::default())
}

fn url(address: Option<SocketAddr>, path: &str) -> String {
    let address = address.unwrap_or(DEFAULT_DESK);
    format!("http://{address}{path}")
}

fn print(mut conn: Conn, key: Option<&str>) -> ExitCode {
    if let Some(key) = key {
        let value = format!("Bearer {key}");
        conn.request_headers_mut()
            .insert(KnownHeaderName::Authorization, value);
    }
    let answer = smol::block_on(async {
        let mut conn = conn.await?;
        let text = conn.response_body().read_string().await?;
        Ok::<_, trillium_client::Error>((conn.status(), text))
    });
    match answer {
        Ok((Some(status), text)) => {
            println!("{text}");
            let refused = ExitCode::from(exit::REFUSED);
            if status.is_success() {
                ExitCode::SUCCESS
            } else {
                refused
            }
        }
        Ok((None, _)) => ExitCode::from(exit::UNREACHABLE),
        Err(e) => {
            eprintln!("snipemast: {e}");
            ExitCode::from(exit::UNREACHABLE)
        }
    }
}
