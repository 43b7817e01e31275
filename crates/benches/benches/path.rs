//! The whole path against the backend server asked directly, in one process and one run.
//!
//! Caller, entry, agent and fake share the machine's cores; the callers run on threads of their
//! own. Direct and whole rounds alternate, and ratios are taken round by round, so that a
//! neighbour's load weighs on both.

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

/// The connections at which the throughputs are compared.
const CONNECTIONS: usize = 64;
/// The connections at which the added latency is taken: few, so that nothing queues.
const FEW: usize = 4;
/// The streams that are held open while memory is read.
const OPEN: usize = 1_000;
/// The pause between two streams that are opened.
const RAMP: Duration = Duration::from_micros(1_500);
/// The tokens of one stream that is held open.
const PACED: usize = 28;
/// The tokens of one measured stream.
const TOKENS: usize = 2_000;

fn main() {
    let args = BenchArgs::parse();
    // Short rounds: one agent's ledger remembers 100,000 dispatches for their deadlines, and a run
    // of all its rounds must stay below that.
    let (rounds, time) = if args.quick { (3, 700) } else { (7, 600) };
    let time = Duration::from_millis(time);
    let fleet = smol::block_on(fleet());
    let sides = Sides::new(&fleet);
    let mut figures = Figures::new();
    // Memory first: later the agent's ledger remembers what the other rounds asked.
    let result = open_streams(&sides, &mut figures)
        .and_then(|()| throughput(&sides, rounds, time, &mut figures))
        .and_then(|()| latency(&sides, rounds, time, &mut figures))
        .and_then(|()| tokens(&sides, rounds, &mut figures));
    if let Err(e) = result {
        eprintln!("path: {e}");
        std::process::exit(1);
    }
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    figures.add("cores", cores as f64);
    figures.print(args);
}

/// One entry, one agent and one fake without pace, and one of each with.
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

/// The two ways to the same backend server.
struct Sides {
    direct: SocketAddr,
    whole: SocketAddr,
    slow: SocketAddr,
}

impl Sides {
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

fn throughput(sides: &Sides, rounds: usize, time: Duration, figures: &mut Figures) -> Result {
    let pairs = alternate(sides, rounds, CONNECTIONS, time)?;
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

fn latency(sides: &Sides, rounds: usize, time: Duration, figures: &mut Figures) -> Result {
    let pairs = alternate(sides, rounds, FEW, time)?;
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

fn tokens(sides: &Sides, rounds: usize, figures: &mut Figures) -> Result {
    for (key, address) in [
        ("direct_tokens_per_second", sides.direct),
        ("tokens_per_second", sides.whole),
    ] {
        let mut rates = Vec::new();
        for _ in 0..rounds {
            let target = sides.target(address, "lector", TOKENS, true);
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

/// Memory with many open streams, first without the entry and the agent and then with them.
///
/// All roles share one process. What the whole path holds beyond the direct one is the entry's and
/// the agent's; the process before any stream, with every role in it, counts as the entry's too. So
/// the figure is an upper bound.
fn open_streams(sides: &Sides, figures: &mut Figures) -> Result {
    let before = rss_mb();
    let direct = held_open(sides.target(sides.slow, "slow-1", PACED, true))?;
    let whole = held_open(sides.target(sides.whole, "slow", PACED, true))?;
    figures.add("rss_mb_before", before);
    figures.add("rss_mb_direct_process", direct);
    figures.add("rss_mb_whole_process", whole);
    figures.add("rss_mb_1000_streams", whole - direct + before);
    Ok(())
}

/// The memory of the process at the moment when every stream has begun and none has ended.
fn held_open(target: Target) -> std::result::Result<f64, LoadError> {
    let (opened, open) = smol::channel::unbounded::<()>();
    let reading = std::thread::spawn(move || {
        // The streams hold back their last tokens for seconds after the last one has begun.
        for _ in 0..OPEN {
            if smol::block_on(open.recv()).is_err() {
                break;
            }
        }
        rss_mb()
    });
    let streams = (0..OPEN as u32).map(|n| {
        let (target, opened) = (target.clone(), opened.clone());
        async move {
            smol::Timer::after(RAMP * n).await;
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
    // The other end waits for every stream to be open; it never closes first.
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
    sides: &Sides,
    rounds: usize,
    connections: usize,
    time: Duration,
) -> std::result::Result<Vec<(Outcome, Outcome)>, LoadError> {
    // The first round opens connections and warms caches, and is thrown away.
    let mut pairs = Vec::new();
    for round in 0..=rounds {
        let time = if round == 0 { time / 4 } else { time };
        let direct = closed_loops(&sides.plain(sides.direct), connections, time)?;
        let whole = closed_loops(&sides.plain(sides.whole), connections, time)?;
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

/// The resident memory of this process, or not a number where the system does not tell it.
fn rss_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line
        .and_then(|l| l.split_whitespace().nth(1))
        .and_then(|n| n.parse::<f64>().ok());
    kib.map_or(f64::NAN, |kib| kib / 1_024.0)
}
