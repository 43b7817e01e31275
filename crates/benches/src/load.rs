//! A load generator: closed loops over keep-alive connections, on separate threads.
//!
//! It does not share the executor of the servers under test, so that the work of clients and
//! servers does not queue behind each other.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use smol::{channel, Executor};
use trillium_client::{Client, KnownHeaderName};

use snipemast_wire::connect::client;

/// Number of threads that the clients share.
const THREADS: usize = 3;
/// The longest latency that a histogram can record, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Last bytes of an incomplete answer that an error shows.
const SHOWN_BYTES: usize = 300;

/// The result of a request.
pub type Result<T> = std::result::Result<T, LoadError>;

/// Why a request failed or its answer is incomplete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadError {
    /// The connection broke.
    Broken(String),
    /// The status, which is not 200.
    Status(u16),
    /// The answer is incomplete; holds its end.
    Short(String),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(why) => write!(f, "the connection broke: {why}"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Short(end) => write!(f, "the answer is incomplete and ends in {end:?}"),
        }
    }
}

impl std::error::Error for LoadError {}

impl LoadError {
    /// Creates the error for an incomplete answer, with its last bytes.
    pub fn short(body: &[u8]) -> Self {
        let end = body.len().saturating_sub(SHOWN_BYTES);
        Self::Short(String::from_utf8_lossy(&body[end..]).into_owned())
    }
}

/// The request that every connection repeats.
#[derive(Debug, Clone)]
pub struct Target {
    /// The server's address.
    pub address: SocketAddr,
    /// The bearer key.
    pub key: String,
    /// The JSON body of the completion.
    pub body: String,
    /// A text, and how often an answer must contain it at least.
    pub counted: (&'static str, usize),
}

/// The measurements of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Latencies in microseconds.
    pub latency: Histogram<u64>,
    /// The time from the first request to the last answer.
    pub elapsed: Duration,
}

impl Outcome {
    /// Returns the number of answers a second.
    pub fn rate(&self) -> f64 {
        self.latency.len() as f64 / self.elapsed.as_secs_f64()
    }

    /// Returns a quantile of the latencies, in milliseconds.
    pub fn millis(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Runs closed loops over a number of connections for about the given time.
pub fn closed_loops(target: &Target, connections: usize, time: Duration) -> Result<Outcome> {
    let start = Instant::now();
    let loops = (0..connections).map(|_| one_loop(target.clone(), start + time));
    let results = run_on_threads(loops.collect());
    let elapsed = start.elapsed();
    let mut latency = Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are valid");
    for result in results {
        for micros in result? {
            latency.saturating_record(micros);
        }
    }
    Ok(Outcome { latency, elapsed })
}

/// Runs the futures on separate threads and returns their results in order.
pub fn run_on_threads<T: Send + 'static>(
    work: Vec<impl std::future::Future<Output = T> + Send + 'static>,
) -> Vec<T> {
    let executor = Executor::new();
    let (stop, stopped) = channel::bounded::<()>(1);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            // Nothing is sent: the channel closes when the work is done, which ends the thread.
            scope.spawn(|| smol::block_on(executor.run(stopped.recv())));
        }
        let tasks: Vec<_> = work.into_iter().map(|w| executor.spawn(w)).collect();
        let results = smol::block_on(async {
            let mut results = Vec::with_capacity(tasks.len());
            for task in tasks {
                results.push(task.await);
            }
            results
        });
        drop(stop);
        results
    })
}

async fn one_loop(target: Target, end: Instant) -> Result<Vec<u64>> {
    let client = keep_alive_client();
    let mut latencies = Vec::new();
    while Instant::now() < end {
        let begin = Instant::now();
        ask(&client, &target).await?;
        latencies.push(begin.elapsed().as_micros() as u64);
    }
    Ok(latencies)
}

/// Creates a client that keeps its connections alive.
pub fn keep_alive_client() -> Client {
    client()
}

/// Sends one request, checks that its answer is complete, and returns how often it contains the text.
pub async fn ask(client: &Client, target: &Target) -> Result<usize> {
    let url = format!("http://{}/v1/completions", target.address);
    let conn = client
        .post(url.as_str())
        .with_request_header(
            KnownHeaderName::Authorization,
            format!("Bearer {}", target.key),
        )
        .with_body(target.body.clone());
    let mut conn = conn.await.map_err(|e| LoadError::Broken(e.to_string()))?;
    let body = conn.response_body().read_bytes().await;
    let body = body.map_err(|e| LoadError::Broken(e.to_string()))?;
    let status = conn.status().map_or(0, |s| s as u16);
    if status != 200 {
        return Err(LoadError::Status(status));
    }
    let (text, wanted) = target.counted;
    let found = count(&body, text.as_bytes());
    if found < wanted {
        return Err(LoadError::short(&body));
    }
    Ok(found)
}

fn count(body: &[u8], text: &[u8]) -> usize {
    body.windows(text.len()).filter(|w| w == &text).count()
}
