//! Compares the union over owned sets with a flat last-writer-wins map, in one run.
//!
//! Both are derived from the same changes of owners in the same order of arrival. The flat map has
//! one cell for each agent, present or absent, and the latest write of any owner wins; a write is
//! stamped with the time at which its owner made it. A wrong absence in the flat map lasts until an
//! owner writes again. No owner does so here, so the bench counts drops and not their duration.

use std::collections::{HashMap, HashSet};

use snipemast_benches::members::{Members, Shape};
use snipemast_benches::report::Figures;
use snipemast_core::prelude::*;
use snipemast_fakes::fleet::ProcessIndex;
use snipemast_membership::Input;

use crate::scenes::dead_entries;

/// Interval at which the two results are compared.
const COMPARE_INTERVAL: Span = Span::from_millis(50);

/// Seconds between two replacements of entries, which make agents move.
const REPLACE_SECS: u64 = 60;

/// The times at which owners made their versions.
#[derive(Default)]
struct Stamps {
    made: HashMap<(HostId, u64, u64), Moment>,
}

/// Runs the present fleet with a share of messages lost while entries are replaced, and counts wrong
/// absences.
pub(crate) fn compare(name: &str, loss: f64, secs: u64, copies: usize, figures: &mut Figures) {
    let mut members = Members::start_with(Shape::TODAY, 3, copies);
    members.run(20);
    members.clear();
    members.fleet.links.loss = loss;
    let mut stamps = Stamps::default();
    let mut absent: HashSet<(ProcessIndex, HostId)> = HashSet::new();
    let mut drops = 0;
    for second in 0..secs {
        if second % REPLACE_SECS == REPLACE_SECS / 2 {
            replace_entry(&mut members, second);
        }
        for _ in 0..1_000_000 / COMPARE_INTERVAL.as_micros() {
            members.fleet.run(COMPARE_INTERVAL);
            drops += count_drops(&mut members, &mut stamps, &mut absent);
        }
    }
    let union = members.fleet.drops.len() + dead_entries(&members.fleet);
    figures.add(&format!("false_removals_{name}_small"), union as f64);
    figures.add(&format!("flat_false_removals_{name}"), f64::from(drops));
    if name == "5pct" {
        figures.add("flat_false_removals", f64::from(drops));
    }
}

/// Drains and restarts an entry, which makes its agents move.
fn replace_entry(members: &mut Members, second: u64) {
    let number = second / REPLACE_SECS;
    let index = members.entries[number as usize % members.entries.len()];
    members.fleet.send_input(index, Input::Drain);
    members.run(2);
    members.fleet.send_input(index, Input::Leave);
    members.run(1);
    members.fleet.crash(index);
    members.restart(index, number + 2);
}

/// Processes the changes of a step, and returns how many running agents the flat map newly has as absent.
fn count_drops(
    members: &mut Members,
    stamps: &mut Stamps,
    absent: &mut HashSet<(ProcessIndex, HostId)>,
) -> u32 {
    let changed = std::mem::take(&mut members.fleet.changed);
    for (at, index, _) in &changed {
        stamps.record(members, *at, *index);
    }
    let mut drops = 0;
    for (_, index, host) in changed {
        let lives = members
            .fleet
            .agents()
            .any(|(_, a)| a.card().agent.host == host && !a.card().draining);
        let seen = stamps.is_present(members, index, &host);
        if seen == Some(false) && lives {
            drops += u32::from(absent.insert((index, host)));
        } else {
            absent.remove(&(index, host));
        }
    }
    drops
}

impl Stamps {
    /// Records the version that an owner has reached.
    fn record(&mut self, members: &Members, at: Moment, index: ProcessIndex) {
        let Some(node) = members.fleet.node(index) else {
            return;
        };
        let process = &node.card().process;
        if let Some(row) = node.table().row(&process.host) {
            let key = (
                process.host.clone(),
                process.incarnation.get(),
                row.set.version(),
            );
            self.made.entry(key).or_insert(at);
        }
    }

    /// Returns whether the flat map of an entry has an agent as present, by the latest write of all owners.
    fn is_present(&self, members: &Members, index: ProcessIndex, host: &HostId) -> Option<bool> {
        let node = members.fleet.node(index)?;
        let mut latest = None;
        for row in node.table().rows().values() {
            let Some((version, present)) = row.set.last_write(host) else {
                continue;
            };
            let process = &row.card.process;
            let key = (process.host.clone(), process.incarnation.get(), version);
            let at = self.made.get(&key).copied().unwrap_or(Moment::ZERO);
            latest = latest.max(Some((at, process.host.clone(), present)));
        }
        latest.map(|(_, _, present)| present)
    }
}
