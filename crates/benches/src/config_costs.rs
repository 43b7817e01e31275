//! What the configuration costs: applying patches, catch-up after a restart, and traffic.

use std::hint::black_box;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;

use serde_json::{json, Map, Value};
use smol::net::{TcpListener, TcpStream};

use snipemast_config::check::check;
use snipemast_config::merge::merge;
use snipemast_config::{Config, KeyHash, Patch, Snapshot, Verdict};
use snipemast_control::machine::{ConfigMachine, Submission};
use snipemast_core::prelude::*;
use snipemast_entry::Entry;
use snipemast_settings::EntrySettings;
use snipemast_tests::{entry_settings, id, journal, loopback, pause};

use crate::report::Figures;

/// Number of workspaces in the fleet planned for two years from now.
const WORKSPACES: usize = 2_000;
/// Number of models in the fleet planned for two years from now.
const MODELS: usize = 25;
/// Patches of the configuration a day.
const PATCHES_PER_DAY: f64 = 430.0;
/// Seconds of a day.
const DAY: f64 = 86_400.0;
/// Agents for each entry host: 600 agents for 350 hosts.
const AGENTS_PER_ENTRY: f64 = 600.0 / 350.0;
/// Entries behind each relay: 350 entries in 8 zones with 3 relays each.
const ENTRIES_PER_RELAY: f64 = 350.0 / 24.0;

/// Measures all costs of the configuration.
pub fn measure(figures: &mut Figures, quick: bool) {
    measure_apply(figures, if quick { 50 } else { 500 });
    smol::block_on(async {
        measure_catch_up(figures).await;
        measure_traffic(figures, quick).await;
    });
}

/// Returns a patch of all workspaces, models and services of the planned fleet, which creates
/// them or sets another weight for every workspace.
fn full_patch(weight: usize) -> Value {
    let workspaces: Map<String, Value> = (0..WORKSPACES)
        .map(|n| {
            let keys = [
                KeyHash::from_key(&format!("a{n}")),
                KeyHash::from_key(&format!("b{n}")),
            ];
            let limits = json!({ "requests": "50/s", "tokens": "20000/s", "concurrency": 64 });
            let entry = json!({ "keys": keys, "weight": weight, "limits": limits });
            (format!("workspace-{n}"), entry)
        })
        .collect();
    let models: Map<String, Value> = (0..MODELS)
        .map(|n| (format!("model-{n}"), json!({ "version": "1" })))
        .collect();
    let services: Map<String, Value> = (0..MODELS)
        .map(|n| {
            let service = json!({ "kind": "model", "model": format!("model-{n}") });
            (format!("service-{n}"), service)
        })
        .collect();
    json!({ "workspaces": workspaces, "models": models, "services": services })
}

/// Returns a patch of one workspace.
fn workspace_patch(n: usize) -> Value {
    let name = format!("workspace-{}", n % WORKSPACES);
    json!({ "workspaces": { name: { "weight": n + 2 } } })
}

fn patch(n: usize, base: Version, set: Value) -> Patch {
    Patch {
        id: id(&format!("p{n}")),
        base,
        reason: "measured".into(),
        set,
    }
}

fn measure_apply(figures: &mut Figures, rounds: usize) {
    let mut machine = ConfigMachine::default();
    let mut submit = |n: usize, set: Value| {
        let submission = Submission::new(patch(n, machine.config().version, set));
        let start = Instant::now();
        let verdict = machine.submit(&submission);
        let took = start.elapsed().as_secs_f64() * 1e3;
        assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
        let config = Arc::clone(machine.config());
        // Looks a key up in each version, as requests do in a process that serves.
        black_box(config.workspace_of(&KeyHash::from_key("a0")));
        (took, config)
    };
    submit(0, full_patch(1));
    let single_ms = median(
        (1..=rounds)
            .map(|n| submit(n, workspace_patch(n)).0)
            .collect(),
    );
    let all = |n: usize| submit(rounds + n, full_patch(n + 1)).0;
    let all_ms = median((1..=11).map(all).collect());
    let (_, config) = submit(rounds + 12, workspace_patch(0));
    let baseline = (0..11).map(|n| apply_whole(&config, &workspace_patch(n)));
    let baseline_ms = median(baseline.collect());
    figures.add("apply_ms", single_ms);
    figures.add("apply_all_workspaces_ms", all_ms);
    figures.add("baseline_apply_ms", baseline_ms);
    figures.add("apply_vs_baseline", single_ms / baseline_ms);
    measure_lookup(figures, &config);
}

/// Applies a patch as the baseline does: the whole document is patched, parsed and checked.
/// Returns the time in milliseconds.
fn apply_whole(config: &Config, set: &Value) -> f64 {
    let start = Instant::now();
    let mut document = serde_json::to_value(config).expect("a configuration is plain data");
    merge(&mut document, set);
    let config: Config =
        serde_json::from_value(document).expect("the patched document is a configuration");
    assert!(check(&config).is_empty());
    start.elapsed().as_secs_f64() * 1e3
}

fn measure_lookup(figures: &mut Figures, config: &Config) {
    let keys: Vec<KeyHash> = (0..1_000)
        .map(|n| KeyHash::from_key(&format!("b{}", n * 2)))
        .collect();
    let start = Instant::now();
    for key in &keys {
        assert!(black_box(config.workspace_of(key)).is_some());
    }
    let indexed = start.elapsed().as_secs_f64() * 1e9 / keys.len() as f64;
    let start = Instant::now();
    for key in &keys {
        let owns = |k: &KeyHash| k.matches(key);
        let mut all = config.workspaces.values();
        assert!(black_box(all.any(|w| w.keys.iter().any(owns))));
    }
    let scanned = start.elapsed().as_secs_f64() * 1e9 / keys.len() as f64;
    figures.add("owner_ns", indexed);
    figures.add("baseline_owner_ns", scanned);
}

async fn start(settings: EntrySettings) -> Entry {
    let journal = journal(&settings.host);
    let entry = Entry::start(settings, Incarnation::new(1), journal).await;
    entry.expect("an entry starts on port 0")
}

fn follower_settings(host: &str, source: SocketAddr) -> EntrySettings {
    EntrySettings {
        seeds: vec![source],
        control: None,
        ..entry_settings(host)
    }
}

fn submit(control: &Entry, n: usize, set: Value) -> Version {
    let base = control.shared().config().version;
    match control.shared().submit(&patch(n, base, set)) {
        Some(Verdict::Accepted { version }) => version,
        other => panic!("the patch was not accepted: {other:?}"),
    }
}

async fn wait_version(entry: &Entry, version: Version) {
    while entry.shared().config().version < version {
        smol::Timer::after(Span::from_micros(200).as_duration()).await;
    }
}

async fn measure_catch_up(figures: &mut Figures) {
    let control = start(entry_settings("control-0")).await;
    let version = submit(&control, 0, full_patch(1));
    let folder = std::env::temp_dir().join(format!("snipemast-bench-{}", std::process::id()));
    let mut settings = follower_settings("edge-0", control.own());
    settings.data = Some(folder.clone());
    let edge = start(settings.clone()).await;
    wait_version(&edge, version).await;
    wait_copy(&folder).await;
    edge.stop().await;
    let mut version = version;
    let begin = Instant::now();
    for n in 1..=1_000 {
        version = submit(&control, n, workspace_patch(n));
    }
    let each = begin.elapsed().as_secs_f64();
    figures.add("patches_per_s_in_memory", 1_000.0 / each);
    let begin = Instant::now();
    let edge = start(settings).await;
    wait_version(&edge, version).await;
    figures.add("catchup_1000_s", begin.elapsed().as_secs_f64());
    edge.stop().await;
    let begin = Instant::now();
    let fresh = start(follower_settings("fresh-0", control.own())).await;
    wait_version(&fresh, version).await;
    figures.add("catchup_snapshot_s", begin.elapsed().as_secs_f64());
    fresh.stop().await;
    control.stop().await;
    // A folder that can't be removed stays in the system's temporary folder and does no harm.
    let _ = std::fs::remove_dir_all(folder);
}

async fn wait_copy(folder: &Path) {
    while !folder.join("configuration").exists() {
        pause(5).await;
    }
}

async fn measure_traffic(figures: &mut Figures, quick: bool) {
    let control = start(entry_settings("control-0")).await;
    let version = submit(&control, 0, full_patch(1));
    let meter = Meter::start(control.own()).await;
    let edge = start(follower_settings("edge-0", meter.address)).await;
    wait_version(&edge, version).await;
    let idle = if quick { 10 } else { 30 };
    pause(1_000).await;
    let before = meter.bytes();
    pause(idle * 1_000).await;
    let idle_rate = (meter.bytes() - before) as f64 / idle as f64;
    let patches = 100;
    let before = meter.bytes();
    for n in 1..=patches {
        let version = submit(&control, n, workspace_patch(n));
        wait_version(&edge, version).await;
    }
    let each = (meter.bytes() - before) as f64 / patches as f64;
    let link = idle_rate + each * PATCHES_PER_DAY / DAY;
    let snapshot = Snapshot::new(&control.shared().config());
    // The baseline polls as often and receives the whole document each time.
    let baseline = idle_rate + snapshot.bytes().len() as f64 / 5.0;
    figures.add("bytes_per_link_s", link);
    figures.add("bytes_per_patch", each);
    figures.add("bytes_per_node_s", link * (1.0 + AGENTS_PER_ENTRY));
    figures.add(
        "bytes_per_relay_s",
        link * (1.0 + AGENTS_PER_ENTRY + ENTRIES_PER_RELAY),
    );
    figures.add(
        "baseline_bytes_per_node_s",
        baseline * (1.0 + AGENTS_PER_ENTRY),
    );
    figures.add("snapshot_bytes", snapshot.bytes().len() as f64);
    edge.stop().await;
    control.stop().await;
}

fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures[figures.len() / 2]
}

/// A relay that forwards connections and counts their bytes.
struct Meter {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    _task: smol::Task<()>,
}

impl Meter {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(loopback()).await.expect("port 0 binds");
        let address = listener.local_addr().expect("a bound address");
        let bytes = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&bytes);
        let task = smol::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(to).await else {
                    continue;
                };
                let (up, down) = (Arc::clone(&count), Arc::clone(&count));
                smol::spawn(forward_bytes(caller.clone(), server.clone(), up)).detach();
                smol::spawn(forward_bytes(server, caller, down)).detach();
            }
        });
        Self {
            address,
            bytes,
            _task: task,
        }
    }

    fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn forward_bytes(mut from: TcpStream, mut to: TcpStream, count: Arc<AtomicU64>) {
    use futures_lite::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = vec![0; 64 << 10];
    while let Ok(read) = from.read(&mut buffer).await {
        count.fetch_add(read as u64, Ordering::Relaxed);
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
    // The connection may be closed already.
    let _ = to.shutdown(std::net::Shutdown::Both);
}
