//! Compares the whole path with direct requests to the backend server, in one process and one run.
//!
//! Callers, entry, agent and fake server share the machine's cores; the callers run on separate
//! threads. Rounds of direct and whole requests alternate, and ratios are taken round by round, so
//! that load from other processes affects both alike.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use trillium_client::KnownHeaderName;

use snipemast_benches::load::{
    ask, closed_loops, keep_alive_client, run_on_threads, LoadError, Outcome, Target,
};
use snipemast_benches::report::{BenchArgs, Figures};
use snipemast_core::prelude::*;
use snipemast_fakes::FakeEngine;
use snipemast_tests::{info, Fleet, KEY};

/// Number of connections for throughput.
const CONNECTIONS: usize = 64;
/// Number of connections for added latency: few, so that nothing queues.
const FEW_CONNECTIONS: usize = 4;
/// Number of streams held open while memory is read.
const OPEN_STREAMS: usize = 1_000;
/// Pause between the starts of two open streams.
const START_PAUSE: Duration = Duration::from_micros(1_500);
/// Number of tokens of a stream that is held open.
const OPEN_STREAM_TOKENS: usize = 28;
/// Number of tokens of a stream whose throughput is measured.
const TOKENS: usize = 2_000;

fn main() {
    let args = BenchArgs::parse();
    // Rounds are short, because an agent's ledger remembers 100,000 dispatches until their deadlines,
    // and all rounds together must stay below that.
    let (rounds, time) = if args.quick { (3, 700) } else { (7, 600) };
    let time = Duration::from_millis(time);
    let fleet = smol::block_on(fleet());
    let paths = Paths::new(&fleet);
    let mut figures = Figures::new();
    // Memory comes first, because the agent's ledger remembers the dispatches of other rounds.
    let result = open_streams(&paths, &mut figures)
        .and_then(|()| throughput(&paths, rounds, time, &mut figures))
        .and_then(|()| latency(&paths, rounds, time, &mut figures))
        .and_then(|()| tokens(&paths, rounds, &mut figures));
    if let Err(e) = result {
        eprintln!("path: {e}");
        std::process::exit(1);
    }
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    figures.add("cores", cores as f64);
    figures.print(args);
}

/// Starts an entry and two agents with a fake engine each, one without delay and one that paces its
/// tokens.
async fn fleet() -> Fleet {
    let mut fleet = Fleet::start().await;
    fleet.patch(json!({
        "models": { "lector-1": { "version": "1" }, "slow-1": { "version": "1" } },
        "services": {
            "lector": { "kind": "model", "model": "lector-1" },
            "slow": { "kind": "model", "model": "slow-1" },
        },
    }));
    fleet
        .add_fake(
            "engine-0",
            FakeEngine::new(engine_info("engine-0", "lector-1")),
        )
        .await;
    let slow = FakeEngine::new(engine_info("engine-1", "slow-1"));
    fleet
        .add_fake("engine-1", slow.with_pace(Span::from_millis(250)))
        .await;
    fleet
}

fn engine_info(name: &str, model: &str) -> ServerInfo {
    let model = model.parse().expect("a valid name");
    let offer = Offer::Model {
        model,
        version: "1".into(),
        adapters: Vec::new(),
    };
    ServerInfo {
        slots: 4_096,
        ..info(name, offer)
    }
}

/// The addresses of the direct and the whole path to the same backend server, and of the slow one.
struct Paths {
    direct: SocketAddr,
    whole: SocketAddr,
    slow: SocketAddr,
}

impl Paths {
    fn new(fleet: &Fleet) -> Self {
        Self {
            direct: fleet.fake(0),
            whole: fleet.entry.callers(),
            slow: fleet.fake(1),
        }
    }

    fn target(&self, address: SocketAddr, service: &str, tokens: usize, stream: bool) -> Target {
        let body = json!({
            "model": service, "prompt": "treaty,period", "max_tokens": tokens, "stream": stream,
        });
        let counted = if stream {
            ("data: {", tokens)
        } else {
            ("\"text\"", 1)
        };
        Target {
            address,
            key: KEY.into(),
            body: body.to_string(),
            counted,
        }
    }

    fn plain(&self, address: SocketAddr) -> Target {
        self.target(address, "lector", 8, false)
    }
}

type Result = std::result::Result<(), LoadError>;

fn throughput(paths: &Paths, rounds: usize, time: Duration, figures: &mut Figures) -> Result {
    let pairs = alternate(paths, rounds, CONNECTIONS, time)?;
    figures.add(
        "direct_per_second",
        median(pairs.iter().map(|(d, _)| d.rate())),
    );
    figures.add(
        "whole_per_second",
        median(pairs.iter().map(|(_, w)| w.rate())),
    );
    figures.add(
        "throughput_ratio",
        median(pairs.iter().map(|(d, w)| w.rate() / d.rate())),
    );
    figures.add("busy_added_p50_ms", added(&pairs, 0.5));
    figures.add("busy_added_p99_ms", added(&pairs, 0.99));
    Ok(())
}

fn latency(paths: &Paths, rounds: usize, time: Duration, figures: &mut Figures) -> Result {
    let pairs = alternate(paths, rounds, FEW_CONNECTIONS, time)?;
    figures.add(
        "direct_p50_ms",
        median(pairs.iter().map(|(d, _)| d.millis(0.5))),
    );
    figures.add(
        "direct_p99_ms",
        median(pairs.iter().map(|(d, _)| d.millis(0.99))),
    );
    figures.add("added_p50_ms", added(&pairs, 0.5));
    figures.add("added_p99_ms", added(&pairs, 0.99));
    Ok(())
}

fn tokens(paths: &Paths, rounds: usize, figures: &mut Figures) -> Result {
    for (key, address) in [
        ("direct_tokens_per_second", paths.direct),
        ("tokens_per_second", paths.whole),
    ] {
        let mut rates = Vec::new();
        for _ in 0..rounds {
            let target = paths.target(address, "lector", TOKENS, true);
            let start = Instant::now();
            let streams = (0..CONNECTIONS).map(|_| {
                let target = target.clone();
                async move { ask(&keep_alive_client(), &target).await }
            });
            let mut total = 0;
            for found in run_on_threads(streams.collect()) {
                total += found?;
            }
            rates.push(total as f64 / start.elapsed().as_secs_f64());
        }
        figures.add(key, median(rates.into_iter()));
    }
    Ok(())
}

/// Measures memory with many open streams, without the entry and the agent and then with them.
///
/// All roles share one process. The memory that the whole path uses beyond the direct one belongs to
/// the entry and the agent. The memory before any stream, which includes every role, is counted for
/// the entry too, so the figure is an upper bound.
fn open_streams(paths: &Paths, figures: &mut Figures) -> Result {
    let before = rss_mb();
    let direct = memory_with_streams(paths.target(paths.slow, "slow-1", OPEN_STREAM_TOKENS, true))?;
    let whole = memory_with_streams(paths.target(paths.whole, "slow", OPEN_STREAM_TOKENS, true))?;
    figures.add("rss_mb_before", before);
    figures.add("rss_mb_direct_process", direct);
    figures.add("rss_mb_whole_process", whole);
    figures.add("rss_mb_1000_streams", whole - direct + before);
    Ok(())
}

/// Returns the memory of the process when every stream has begun and none has ended.
fn memory_with_streams(target: Target) -> std::result::Result<f64, LoadError> {
    let (opened, open) = smol::channel::unbounded::<()>();
    let reading = std::thread::spawn(move || {
        // Streams still have tokens to come for seconds after the last stream has begun.
        for _ in 0..OPEN_STREAMS {
            if smol::block_on(open.recv()).is_err() {
                break;
            }
        }
        rss_mb()
    });
    let streams = (0..OPEN_STREAMS as u32).map(|n| {
        let (target, opened) = (target.clone(), opened.clone());
        async move {
            smol::Timer::after(START_PAUSE * n).await;
            open_one(&target, opened).await
        }
    });
    let results = run_on_threads(streams.collect());
    drop(opened);
    let peak = reading.join().unwrap_or(f64::NAN);
    for result in results {
        result?;
    }
    Ok(peak)
}

async fn open_one(target: &Target, opened: smol::channel::Sender<()>) -> Result {
    let url = format!("http://{}/v1/completions", target.address);
    let conn = keep_alive_client()
        .post(url.as_str())
        .with_request_header(
            KnownHeaderName::Authorization,
            format!("Bearer {}", target.key),
        )
        .with_body(target.body.clone());
    let mut conn = conn.await.map_err(|e| LoadError::Broken(e.to_string()))?;
    // The receiver reads until every stream is open, so sending can't fail before that.
    let _ = opened.send(()).await;
    let body = conn.response_body().read_string().await;
    let body = body.map_err(|e| LoadError::Broken(e.to_string()))?;
    if body.trim_end().ends_with("data: [DONE]") {
        Ok(())
    } else {
        Err(LoadError::short(body.as_bytes()))
    }
}

fn alternate(
    paths: &Paths,
    rounds: usize,
    connections: usize,
    time: Duration,
) -> std::result::Result<Vec<(Outcome, Outcome)>, LoadError> {
    // The first round opens connections and warms caches; its result is discarded.
    let mut pairs = Vec::new();
    for round in 0..=rounds {
        let time = if round == 0 { time / 4 } else { time };
        let direct = closed_loops(&paths.plain(paths.direct), connections, time)?;
        let whole = closed_loops(&paths.plain(paths.whole), connections, time)?;
        if round > 0 {
            pairs.push((direct, whole));
        }
    }
    Ok(pairs)
}

fn added(pairs: &[(Outcome, Outcome)], quantile: f64) -> f64 {
    median(
        pairs
            .iter()
            .map(|(d, w)| w.millis(quantile) - d.millis(quantile)),
    )
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Returns the resident memory of this process in MiB, or NaN if the system does not report it.
fn rss_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line
        .and_then(|l| l.split_whitespace().nth(1))
        .and_then(|n| n.parse::<f64>().ok());
    kib.map_or(f64::NAN, |kib| kib / 1_024.0)
}
