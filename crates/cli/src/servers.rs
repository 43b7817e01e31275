//! The command `demo --servers`: runs only backend servers, for agents that run as separate processes.

use std::net::SocketAddr;
use std::process::ExitCode;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use snipemast_core::prelude::*;
use snipemast_fakes::{FakeEngine, FakeService};
use snipemast_wire::{listen, ServerHandle};

use crate::demo::{id, server_info};
use crate::exit;

/// The time that the model engine takes per token.
const TOKEN_TIME: Span = Span::from_millis(20);

/// Runs the backend servers for the agents of `examples/loopback` until a signal ends the process.
pub(crate) fn run_servers() -> ExitCode {
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("snipemast: signals can't be handled: {e}");
            return ExitCode::from(exit::UNREACHABLE);
        }
    };
    match smol::block_on(start()) {
        Ok(servers) => {
            signals.forever().next();
            drop(servers);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("snipemast: can't listen on the loopback ports 9001 and 9002: {e}");
            ExitCode::from(exit::UNREACHABLE)
        }
    }
}

async fn start() -> std::io::Result<[ServerHandle; 2]> {
    let model = Offer::Model {
        model: id("lector-1"),
        version: "1".into(),
        adapters: Vec::new(),
    };
    let service = Offer::Service {
        service: id("mesa"),
    };
    let engine = FakeEngine::new(server_info("lector-a", model)).with_pace(TOKEN_TIME);
    let engine = listen(loopback(9_001), engine).await?;
    println!(
        "a model engine for lector-1 listens on {}",
        engine.address()
    );
    let desk = FakeService::new(server_info("mesa-a", service));
    let desk = listen(loopback(9_002), desk).await?;
    println!("a plain service for mesa listens on {}", desk.address());
    Ok([engine, desk])
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
