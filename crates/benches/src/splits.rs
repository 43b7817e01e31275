//! A simulator of the split of fleet-wide limits among entries, without servers, and the spread of subsets.

use snipemast_config::document::Limits;
use snipemast_core::prelude::*;
use snipemast_routing::hash::mix;
use snipemast_routing::{Demands, LimitShare, Limiter, Subset, Summary, Topic};

use crate::policies::name;
use crate::report::Figures;

const ENTRIES: usize = 9;
/// The fleet-wide limit, in requests a second.
const LIMIT: f64 = 900.0;
/// Delay of a demand summary, in milliseconds.
const LAG: u64 = 500;
/// Length of a slice of virtual time, in milliseconds.
const SLICE: u64 = 5;

/// What changes half-way through the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    Nothing,
    /// The demand rises and shifts between the entries.
    Step,
    /// An entry dies.
    Death,
    /// The network splits into two sides.
    Cut,
}

/// Measures by how much entries exceed a limit together, and the size of demand summaries.
pub fn measure(figures: &mut Figures) {
    let (steady, _, used) = overshoot(Change::Nothing);
    let (after_step, first, _) = overshoot(Change::Step);
    let (_, death, _) = overshoot(Change::Death);
    let (cut, cut_first, _) = overshoot(Change::Cut);
    figures.add("limit_overshoot", steady.max(after_step));
    figures.add("limit_overshoot_step", first);
    figures.add("limit_overshoot_death", death);
    figures.add("limit_overshoot_cut", cut.max(cut_first));
    figures.add("limit_used", used);
    figures.add("control_bytes_per_summary_64", summary_bytes(64));
    figures.add("control_bytes_per_summary_10", summary_bytes(10));
}

fn summary_bytes(items: usize) -> f64 {
    let mut demands = Demands::new(ProcessId::new(name("entry", 1), Incarnation::new(1)));
    for n in 0..items {
        let topic = Topic::workspace(&name("workspace", n));
        demands.record(Moment::ZERO, topic, 10.0 + n as f64);
    }
    let summary = demands.next_summary(Moment::ZERO);
    rmp_serde::to_vec(&summary).map_or(f64::NAN, |bytes| bytes.len() as f64)
}

struct Host {
    demands: Demands,
    limiter: Limiter,
}

/// Returns the overshoot of the worst second at the end and of the first second after the change,
/// and the mean share of the limit that is used at the end.
fn overshoot(change: Change) -> (f64, f64, f64) {
    let entry = |n| ProcessId::new(name("entry", n), Incarnation::new(1));
    let mut hosts: Vec<_> = (0..ENTRIES)
        .map(|n| Host {
            demands: Demands::new(entry(n)),
            limiter: Limiter::new(),
        })
        .collect();
    let workspace: WorkspaceId = name("workspace", 0);
    let topic = Topic::workspace(&workspace);
    let limits = Limits {
        requests: Some(Rate::per_second(LIMIT as u64)),
        ..Limits::default()
    };
    let mut wire: Vec<(u64, usize, Summary)> = Vec::new();
    let mut admitted = [0.0; 80];
    let mut draws = 1;
    for slice in 0..80_000 / SLICE {
        let millis = slice * SLICE;
        let now = Moment::from_millis(millis);
        let changed = millis >= 40_000;
        for (n, host) in hosts.iter_mut().enumerate() {
            if changed && change == Change::Death && n == 0 {
                continue;
            }
            // Each entry sends its summary at its own time.
            if millis % 1_000 == (n as u64 * 110) / SLICE * SLICE {
                wire.push((millis + LAG, n, host.demands.next_summary(now)));
            }
            if millis.is_multiple_of(500) {
                host.demands.set_aside_silent(now);
            }
            let rate = demand(change, changed, n) * SLICE as f64 / 1e3;
            draws = mix(draws);
            let unit = (draws >> 11) as f64 / (1u64 << 53) as f64;
            let count = rate as u64 + u64::from(unit < rate.fract());
            for _ in 0..count {
                let Host { demands, limiter } = &mut *host;
                demands.record(now, topic, 1.0);
                let part = LimitShare {
                    share: demands.share(now, topic),
                    concurrency: None,
                };
                if limiter.admit(now, &workspace, &limits, part, 1.0).is_ok() {
                    admitted[(millis / 1_000) as usize] += 1.0;
                    limiter.finish(now, &workspace, 1.0, 1.0);
                }
            }
        }
        let cut = changed && change == Change::Cut;
        wire.retain(|(at, from, summary)| {
            if *at > millis {
                return true;
            }
            for (n, host) in hosts.iter_mut().enumerate() {
                if !cut || (n < 3) == (*from < 3) {
                    host.demands.merge(now, summary);
                }
            }
            false
        });
        if change == Change::Death && millis == 44_000 {
            let dead = name("entry", 0);
            hosts.iter_mut().for_each(|h| h.demands.forget(&dead));
        }
    }
    let over = |n: usize| admitted[n] / LIMIT - 1.0;
    let late = (55..80).map(over).fold(f64::MIN, f64::max);
    let used = admitted[55..80].iter().sum::<f64>() / 25.0 / LIMIT;
    (late.max(0.0), over(40).max(0.0), used)
}

/// Returns the requests a second that arrive at an entry.
fn demand(change: Change, changed: bool, entry: usize) -> f64 {
    let usual = LIMIT * 1.5 * (entry + 1) as f64 / 45.0;
    match (change, changed) {
        (Change::Step, false) => usual * 0.2,
        // The order of the entries is reversed, and the demand is fifteen times as much.
        (Change::Step, true) => LIMIT * 3.0 * (ENTRIES - entry) as f64 / 45.0,
        // The callers of the smaller side send four times as much.
        (Change::Cut, true) if entry < 3 => usual * 4.0,
        _ => usual,
    }
}

/// Returns the fewest and the most entries whose subsets contain the same server.
pub fn entries_per_server(
    entries: usize,
    servers: usize,
    size: usize,
    zones: usize,
) -> (usize, usize) {
    let mut counts = vec![0; servers];
    for entry in 0..entries {
        let zone = entry % zones;
        let mut list: Vec<u32> = (0..servers as u32)
            .filter(|s| *s as usize % zones == zone)
            .collect();
        Subset::new(entry / zones, size).narrow(&mut list);
        for server in list {
            counts[server as usize] += 1;
        }
    }
    let least = counts.iter().min().copied().unwrap_or(0);
    (least, counts.iter().max().copied().unwrap_or(0))
}
