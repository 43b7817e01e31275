//! Measures the control role: patches, the loss of a leader, restarts and idle traffic.

use std::fs::OpenOptions;
use std::io::Write as _;
use std::path::Path;
use std::time::Instant;

use serde_json::json;

use snipemast_benches::config_costs;
use snipemast_benches::report::{BenchArgs, Figures};
use snipemast_benches::voters::{command, folder, pause, Cluster};
use snipemast_config::KeyHash;
use snipemast_config::Patch;
use snipemast_control::machine::{Command, Submission};
use snipemast_control::{
    ClusterId, ConfigMachine, DiskStorage, Input, Location, Node, NodeParams, Output, StateMachine,
    Storage, Ticket, Timing, VoterId, Voters, Write,
};
use snipemast_core::prelude::*;

/// Number of workspaces in the fleet planned for two years from now.
const WORKSPACES: u64 = 2_000;
/// Number of models in the fleet planned for two years from now.
const MODELS: u64 = 25;
/// Patches of the configuration a day.
const PATCHES_PER_DAY: f64 = 430.0;
const DAY: f64 = 86_400.0;

fn main() {
    let args = BenchArgs::parse();
    let mut figures = Figures::new();
    print_stage("configuration");
    config_costs::measure(&mut figures, args.quick);
    measure_apply(&mut figures);
    measure_restart(args, &mut figures);
    smol::block_on(measure_cluster(args, &mut figures));
    figures.print(args);
}

/// Prints to standard error which stage of the bench begins.
fn print_stage(stage: &str) {
    eprintln!("control: {stage}");
}

/// Measures one patch on the configuration of the planned fleet, in the state machine alone.
fn measure_apply(figures: &mut Figures) {
    print_stage("apply");
    let mut machine = ConfigMachine::default();
    let workspaces = (0..WORKSPACES).map(|i| {
        let name = format!("w-{i}");
        let workspace = json!({ "keys": [KeyHash::from_key(&name)], "weight": i % 9 + 1 });
        (name, workspace)
    });
    let models = (0..MODELS).map(|i| (format!("m-{i}"), json!({ "version": "1" })));
    let set = json!({
        "workspaces": serde_json::Map::from_iter(workspaces),
        "models": serde_json::Map::from_iter(models),
    });
    machine.apply(Index(1), &patch("first", 0, set));
    assert_eq!(
        machine.config().version,
        Version(1),
        "the configuration of the planned fleet is accepted"
    );
    let times = (0..200).map(|i| {
        let set = json!({ "workspaces": { format!("w-{i}"): { "weight": i % 5 + 20 } } });
        let command = patch(&format!("p-{i}"), i + 1, set);
        let begun = Instant::now();
        machine.apply(Index(i + 2), &command);
        begun.elapsed().as_secs_f64()
    });
    let mut times: Vec<f64> = times.collect();
    assert_eq!(
        machine.config().version,
        Version(201),
        "every patch is accepted"
    );
    figures.add("apply_ms", median(&mut times) * 1e3);
    figures.add(
        "apply_max_ms",
        times.last().copied().unwrap_or_default() * 1e3,
    );
    let begun = Instant::now();
    let snapshot = machine.snapshot();
    figures.add("snapshot_ms", begun.elapsed().as_secs_f64() * 1e3);
    figures.add("snapshot_bytes", snapshot.len() as f64);
}

fn patch(id: &str, base: u64, set: serde_json::Value) -> Vec<u8> {
    let patch = Patch {
        id: id.parse().expect("a valid name"),
        base: Version(base),
        reason: String::new(),
        set,
    };
    Command::Submit(Submission::new(patch)).to_bytes()
}

/// Measures a restart after 100,000 changes (20,000 in a quick run), with snapshots and with the
/// log alone.
fn measure_restart(args: BenchArgs, figures: &mut Figures) {
    print_stage("restart");
    let changes = if args.quick { 20_000 } else { 100_000 };
    let with = restart(changes, Timing::default());
    let without = restart(
        changes,
        Timing {
            snapshot_entries: u64::MAX,
            ..Timing::default()
        },
    );
    // The time depends on the length of the history, so its length is part of the key.
    let name = if args.quick { "20k" } else { "100k" };
    figures.add(&format!("restart_{name}_s"), with);
    figures.add(&format!("restart_{name}_no_snapshot_s"), without);
}

/// A single voter with its data folder.
struct SingleVoter {
    disk: DiskStorage,
    node: Node<ConfigMachine>,
    now: Moment,
    writes: Vec<Write>,
    number: u64,
}

impl SingleVoter {
    fn open(folder: &Path, timing: Timing) -> Self {
        let location = Location {
            host: "host-1".parse().expect("a valid name"),
            zone: "zone-1".parse().expect("a valid name"),
            address: ([127, 0, 0, 1], 1).into(),
        };
        let (disk, opened) =
            DiskStorage::open(folder, &location, VoterId(1)).expect("the folder opens");
        let params = NodeParams {
            id: VoterId(1),
            start: 1,
            cluster: ClusterId(1),
            first_voters: Voters::new([(VoterId(1), location)].into()),
            stored: opened.stored,
            timing,
            seed: 1,
        };
        let node =
            Node::new(params, ConfigMachine::default(), Moment::ZERO).expect("the node starts");
        let mut single = Self {
            disk,
            node,
            now: Moment::ZERO,
            writes: Vec::new(),
            number: 0,
        };
        single.step(Input::Tick);
        single.sync();
        single
    }

    fn step(&mut self, input: Input) {
        self.now = self.now + Span::from_micros(10);
        for output in self.node.handle(self.now, input) {
            if let Output::Write { number, write } = output {
                self.number = number;
                self.writes.push(write);
            }
        }
    }

    fn sync(&mut self) {
        let writes = std::mem::take(&mut self.writes);
        self.disk
            .write(&writes)
            .expect("the disk accepts the write");
        self.step(Input::Synced { write: self.number });
    }
}

fn restart(changes: u64, timing: Timing) -> f64 {
    let folder = folder("restart");
    let mut single = SingleVoter::open(&folder, timing);
    for i in 0..changes {
        let command = command(&format!("p-{i}"), Version(i));
        single.step(Input::Propose {
            ticket: Ticket(i),
            command,
        });
        if i % 500 == 499 {
            single.sync();
        }
    }
    single.sync();
    assert_eq!(single.node.machine().config().version, Version(changes));
    drop(single);
    let begun = Instant::now();
    let single = SingleVoter::open(&folder, timing);
    let took = begun.elapsed().as_secs_f64();
    assert!(
        single.node.is_leader(),
        "a single voter leads after a restart"
    );
    assert_eq!(single.node.machine().config().version, Version(changes));
    drop(single);
    let _ = std::fs::remove_dir_all(&folder);
    took
}

/// Measures five voters over HTTP, each with its own folder on the same disk.
async fn measure_cluster(args: BenchArgs, figures: &mut Figures) {
    let cluster = Cluster::start(5, Timing::default()).await;
    let sync = measure_sync();
    figures.add("fsync_ms", sync * 1e3);
    measure_patches(&cluster, args, sync, figures).await;
    measure_idle(&cluster, args, figures).await;
    measure_failover(&cluster, args, figures).await;
    // A thousand consecutive patches take too long for a quick run.
    if !args.quick {
        measure_catchup(&cluster, figures).await;
    }
}

/// Returns the time to append 300 bytes and sync them, the least that a durable patch can take.
fn measure_sync() -> f64 {
    let path = folder("sync");
    let mut options = OpenOptions::new();
    let options = options.create(true).append(true);
    let mut file = options
        .open(&path)
        .expect("the temporary folder is writable");
    let times = (0..200).map(|_| {
        let begun = Instant::now();
        file.write_all(&[7; 300])
            .expect("the disk accepts the write");
        file.sync_data().expect("the disk syncs");
        begun.elapsed().as_secs_f64()
    });
    let mut times: Vec<f64> = times.collect();
    let _ = std::fs::remove_file(&path);
    median(&mut times)
}

async fn measure_patches(cluster: &Cluster, args: BenchArgs, sync: f64, figures: &mut Figures) {
    print_stage("patches");
    let count = if args.quick { 50 } else { 400 };
    let leader = cluster.leader().await;
    let mut times = Vec::new();
    let begun = Instant::now();
    for _ in 0..count {
        let begun = Instant::now();
        cluster.patch(leader).await;
        times.push(begun.elapsed().as_secs_f64());
    }
    let took = begun.elapsed().as_secs_f64();
    let p50 = median(&mut times);
    figures.add("patches_per_s", count as f64 / took);
    figures.add("patch_p50_ms", p50 * 1e3);
    figures.add("patch_p99_ms", times[times.len() * 99 / 100] * 1e3);
    figures.add("patch_p50_vs_fsync", p50 / sync);
}

/// Measures the traffic between voters, idle and for one patch.
async fn measure_idle(cluster: &Cluster, args: BenchArgs, figures: &mut Figures) {
    print_stage("idle");
    let seconds = if args.quick { 4 } else { 20 };
    let leader = cluster.leader().await;
    let bytes = || -> Vec<u64> { cluster.hosts.iter().map(|h| h.bytes()).collect() };
    let before = bytes();
    pause(seconds * 1_000).await;
    let idle = total(&before, &bytes()) / seconds as f64;
    let before = bytes();
    for _ in 0..20 {
        cluster.patch(leader).await;
        pause(20).await;
    }
    let each = total(&before, &bytes()) / 20.0;
    // All traffic is between the leader and its followers, so the leader carries all of it.
    let daily = each * PATCHES_PER_DAY / DAY;
    let followers = (cluster.hosts.len() - 1) as f64;
    figures.add("voter_leader_bytes_s", idle + daily);
    figures.add("voter_follower_bytes_s", (idle + daily) / followers);
    figures.add("voter_patch_bytes", each);
}

fn total(before: &[u64], after: &[u64]) -> f64 {
    let before: u64 = before.iter().sum();
    let after: u64 = after.iter().sum();
    (after - before) as f64
}

/// Measures the catch-up of a voter that restarts after it missed 1,000 changes.
async fn measure_catchup(cluster: &Cluster, figures: &mut Figures) {
    print_stage("catch-up");
    let leader = cluster.leader().await;
    let behind = &cluster.hosts[(leader + 1) % cluster.hosts.len()];
    behind.kill();
    for _ in 0..1_000 {
        cluster.patch(leader).await;
    }
    let wanted = cluster.hosts[leader].version();
    let begun = Instant::now();
    behind.start().await;
    while behind.version() < wanted {
        pause(1).await;
    }
    figures.add("voter_catchup_1000_s", begun.elapsed().as_secs_f64());
}

/// Measures the time from the leader's crash until the next patch is accepted.
async fn measure_failover(cluster: &Cluster, args: BenchArgs, figures: &mut Figures) {
    print_stage("failover");
    let rounds = if args.quick { 2 } else { 9 };
    let mut times = Vec::new();
    for _ in 0..rounds {
        let leader = cluster.leader().await;
        cluster.patch(leader).await;
        let other = (leader + 1) % cluster.hosts.len();
        let begun = Instant::now();
        cluster.hosts[leader].kill();
        cluster.patch(other).await;
        times.push(begun.elapsed().as_secs_f64());
        cluster.hosts[leader].start().await;
        pause(1_000).await;
    }
    figures.add("failover_median_s", median(&mut times));
    figures.add("failover_s", times.last().copied().unwrap_or(f64::NAN));
}

/// Sorts the values and returns the median.
fn median(values: &mut [f64]) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values[values.len() / 2]
}
