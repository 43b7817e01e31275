//! What each role costs at the fleet size planned for two years from now, from the benches' figures.
//!
//! The figures are the JSON lines that the benches print, kept in `docs/figures/`. The page
//! `docs/CAPACITY.md` holds the table that [`table`] makes of them; a test compares the two, so
//! that the page can't go stale unnoticed.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use crate::report::Figures;

/// The benches whose figures the table uses.
pub const BENCHES: [&str; 6] = [
    "path",
    "requests",
    "routing",
    "control",
    "rebalance",
    "membership",
];

/// The fleet size that the table is made for.
pub mod size {
    /// Entry hosts.
    pub const ENTRIES: f64 = 350.0;
    /// Agents, one beside each backend server.
    pub const AGENTS: f64 = 600.0;
    /// Requests a second at the peak.
    pub const REQUESTS: f64 = 2_200.0;
    /// Generated tokens a second at the peak.
    pub const TOKENS: f64 = 880_000.0;
    /// Seconds to the first token.
    pub const FIRST_TOKEN: f64 = 1.4;
    /// Seconds between tokens.
    pub const NEXT_TOKEN: f64 = 0.031;
    /// Patches of the configuration a day.
    pub const PATCHES: f64 = 430.0;
    /// Seconds of a day.
    pub const DAY: f64 = 86_400.0;
    /// Seconds for which an agent remembers a dispatch: twice the default deadline.
    pub const REMEMBERED: f64 = 240.0;
    /// Assumed share of requests that carry an idempotency key and are not idempotent.
    pub const KEYED: f64 = 0.1;

    /// Returns the number of streams open at once over the whole fleet.
    pub fn streams() -> f64 {
        REQUESTS * (FIRST_TOKEN + TOKENS / REQUESTS * NEXT_TOKEN)
    }
}

/// A role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// An entry host.
    Entry,
    /// An agent.
    Agent,
    /// A control host, without what it does as an entry host.
    Control,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry host",
            Self::Agent => "agent",
            Self::Control => "control host",
        })
    }
}

/// One row of the table: what one subject costs one process of a role.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The role.
    pub role: Role,
    /// The subject, such as requests or membership.
    pub matter: &'static str,
    /// Memory in MB.
    pub state: Option<f64>,
    /// Control traffic over the network, in bytes a second.
    pub bytes: Option<f64>,
    /// CPU time as a share of one core.
    pub cpu: Option<f64>,
    /// The mechanism that does the work.
    pub mechanism: &'static str,
    /// The benches' figures from which the row is calculated.
    pub source: &'static str,
}

/// The figures of all benches.
#[derive(Debug, Clone, Default)]
pub struct Measured {
    benches: BTreeMap<String, Figures>,
}

impl Measured {
    /// Reads `NAME.json` of each bench from a folder; values that need a missing file stay empty.
    pub fn read(folder: &Path) -> Self {
        let read = |name: &&str| {
            let text = std::fs::read_to_string(folder.join(format!("{name}.json"))).ok()?;
            Some((name.to_string(), Figures::read(&text)?))
        };
        Self {
            benches: BENCHES.iter().filter_map(read).collect(),
        }
    }

    /// Returns a figure of a bench.
    pub fn get(&self, bench: &str, key: &str) -> Option<f64> {
        self.benches.get(bench)?.get(key)
    }
}

/// Returns all rows, ordered by role.
pub fn rows(measured: &Measured) -> Vec<Row> {
    let mut rows = entry_rows(measured);
    rows.extend(agent_rows(measured));
    rows.extend(control_rows(measured));
    rows
}

fn entry_rows(m: &Measured) -> Vec<Row> {
    let requests = size::REQUESTS / size::ENTRIES;
    let claims = size::REQUESTS * size::KEYED * 3.0 / size::ENTRIES;
    vec![
        Row {
            cpu: request_cpu(m).map(|cpu| cpu * requests),
            ..row(
                Role::Entry,
                "requests",
                "one task a request",
                "path: cores / whole_per_second",
            )
        },
        Row {
            state: stream_mb(m).map(|mb| mb * size::streams() / size::ENTRIES),
            cpu: token_cpu(m).map(|cpu| cpu * size::TOKENS / size::ENTRIES),
            ..row(
                Role::Entry,
                "streams",
                "bounded pipes, pieces sent in batches",
                "path: rss_mb_1000_streams - rss_mb_before, cores / tokens_per_second",
            )
        },
        Row {
            cpu: m.get("requests", "claim_us").map(|us| us / 1e6 * claims),
            ..row(
                Role::Entry,
                "claims of keys",
                "three keepers, majority of two",
                "requests: claim_us",
            )
        },
        Row {
            cpu: m
                .get("routing", "decision_us")
                .map(|us| us / 1e6 * requests),
            ..row(
                Role::Entry,
                "choice of server",
                "two candidates of a subset",
                "routing: decision_us",
            )
        },
        Row {
            bytes: m.get("routing", "control_bytes_per_summary_64"),
            ..row(
                Role::Entry,
                "limits",
                "one demand summary, told each 18.5 s at this size",
                "routing: control_bytes_per_summary_64",
            )
        },
        Row {
            state: m.get("membership", "state_mb"),
            bytes: m.get("membership", "bytes_per_s"),
            cpu: m.get("membership", "cpu_share"),
            ..row(
                Role::Entry,
                "membership",
                "owned sets, deltas under a byte budget",
                "membership: state_mb, bytes_per_s, cpu_share",
            )
        },
        configuration(m, Role::Entry),
    ]
}

fn agent_rows(m: &Measured) -> Vec<Row> {
    let requests = size::REQUESTS / size::AGENTS;
    let remembered = requests * size::REMEMBERED;
    vec![
        Row {
            cpu: request_cpu(m).map(|cpu| cpu * requests),
            ..row(
                Role::Agent,
                "requests",
                "one task a dispatch",
                "path: cores / whole_per_second",
            )
        },
        Row {
            state: stream_mb(m).map(|mb| mb * size::streams() / size::AGENTS),
            cpu: token_cpu(m).map(|cpu| cpu * size::TOKENS / size::AGENTS),
            ..row(
                Role::Agent,
                "streams",
                "bounded pipes, kept answers under a bound",
                "path: rss_mb_1000_streams - rss_mb_before, cores / tokens_per_second",
            )
        },
        Row {
            state: m
                .get("requests", "ledger_bytes")
                .map(|b| b * remembered / 1e6),
            cpu: m.get("requests", "ledger_us").map(|us| us / 1e6 * requests),
            ..row(
                Role::Agent,
                "ledger",
                "shards under locks, forgotten by deadline",
                "requests: ledger_bytes, ledger_us",
            )
        },
        Row {
            bytes: m.get("membership", "later_agent_bytes"),
            cpu: m.get("membership", "later_agent_work"),
            ..row(
                Role::Agent,
                "membership",
                "leases with two entry hosts",
                "membership: later_agent_bytes, later_agent_work",
            )
        },
        configuration(m, Role::Agent),
        Row {
            cpu: m
                .get("rebalance", "decision_58_ms")
                .map(|ms| ms / 1e3 / DECISION_INTERVAL),
            ..row(
                Role::Agent,
                "expert maps (lead)",
                "one pure decision an interval, agreement of all ranks",
                "rebalance: decision_58_ms",
            )
        },
    ]
}

/// Seconds between two decisions about a group's expert map.
const DECISION_INTERVAL: f64 = 10.0;

fn control_rows(m: &Measured) -> Vec<Row> {
    let patches = size::PATCHES / size::DAY;
    vec![
        Row {
            state: m.get("control", "snapshot_bytes").map(|b| b * 2.0 / 1e6),
            bytes: m.get("control", "voter_leader_bytes_s"),
            cpu: m.get("control", "apply_ms").map(|ms| ms / 1e3 * patches),
            ..row(
                Role::Control,
                "replicated log",
                "majority of synced disks, snapshots",
                "control: snapshot_bytes (log and machine), voter_leader_bytes_s, apply_ms",
            )
        },
        Row {
            bytes: m.get("control", "bytes_per_relay_s"),
            ..row(
                Role::Control,
                "distribution",
                "long polls and relays, deltas",
                "control: bytes_per_relay_s",
            )
        },
    ]
}

fn configuration(m: &Measured, role: Role) -> Row {
    let patches = size::PATCHES / size::DAY;
    Row {
        state: m.get("control", "snapshot_bytes").map(|b| b / 1e6),
        bytes: m.get("control", "bytes_per_node_s"),
        cpu: m.get("control", "apply_ms").map(|ms| ms / 1e3 * patches),
        ..row(
            role,
            "configuration",
            "long polls, deltas, relays in the zone",
            "control: snapshot_bytes, bytes_per_node_s, apply_ms",
        )
    }
}

fn row(role: Role, matter: &'static str, mechanism: &'static str, source: &'static str) -> Row {
    Row {
        role,
        matter,
        state: None,
        bytes: None,
        cpu: None,
        mechanism,
        source,
    }
}

/// Returns an upper bound of the core seconds of one request: caller, entry, agent and fake together.
fn request_cpu(m: &Measured) -> Option<f64> {
    Some(m.get("path", "cores")? / m.get("path", "whole_per_second")?)
}

/// Returns an upper bound of the core seconds of one streamed token: all four processes together.
fn token_cpu(m: &Measured) -> Option<f64> {
    Some(m.get("path", "cores")? / m.get("path", "tokens_per_second")?)
}

/// Returns an upper bound of the memory of one open stream in MB: all four processes together.
fn stream_mb(m: &Measured) -> Option<f64> {
    Some((m.get("path", "rss_mb_1000_streams")? - m.get("path", "rss_mb_before")?) / 1e3)
}

/// Returns the table as the capacity page contains it.
pub fn table(measured: &Measured) -> String {
    let mut text = String::from(
        "| Role | Matter | State, MB | Control, bytes/s | CPU, % of a core | Mechanism | Source |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for row in rows(measured) {
        text.push_str(&row.to_string());
    }
    text
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = |value: Option<f64>| value.map_or("–".into(), |v| format!("{v:.3}"));
        writeln!(
            f,
            "| {} | {} | {} | {} | {} | {} | {} |",
            self.role,
            self.matter,
            number(self.state),
            number(self.bytes),
            number(self.cpu.map(|share| share * 100.0)),
            self.mechanism,
            self.source
        )
    }
}
