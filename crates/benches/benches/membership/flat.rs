//! The union over owned sets against a flat last-writer-wins map, in one run.
//!
//! Both are read from the same owners' changes in the same order of arrival. The flat map keeps
//! one cell an agent, present or absent, and the latest write of any owner wins; a write is
//! stamped when its owner made it. A wrong absence there lasts until an owner writes again, which
//! no owner does here: so drops are counted, not how long they last.

use std::collections::{HashMap, HashSet};

use snipemast_benches::members::{Members, Shape};
use snipemast_benches::report::Figures;
use snipemast_core::prelude::*;
use snipemast_fakes::fleet::ProcessIndex;
use snipemast_membership::Input;

use crate::scenes::dead_entries;

/// How often the two readings are compared.
const STEP: Span = Span::from_millis(50);

/// Every so many seconds an entry is replaced, so that its agents move.
const REPLACED: u64 = 60;

/// When each owner made each of its versions.
#[derive(Default)]
struct Stamps {
    made: HashMap<(HostId, u64, u64), Moment>,
}

/// Runs today's fleet at a loss while entries are replaced, and counts wrong absences.
pub(crate) fn compare(name: &str, loss: f64, secs: u64, copies: usize, figures: &mut Figures) {
    let mut members = Members::start_with(Shape::TODAY, 3, copies);
    members.run(20);
    members.clear();
    members.fleet.links.loss = loss;
    let mut stamps = Stamps::default();
    let mut absent: HashSet<(ProcessIndex, HostId)> = HashSet::new();
    let mut drops = 0;
    for second in 0..secs {
        if second % REPLACED == REPLACED / 2 {
            replace(&mut members, second);
        }
        for _ in 0..1_000_000 / STEP.as_micros() {
            members.fleet.run(STEP);
            drops += take(&mut members, &mut stamps, &mut absent);
        }
    }
    let union = members.fleet.drops.len() + dead_entries(&members.fleet);
    figures.add(&format!("false_removals_{name}_small"), union as f64);
    figures.add(&format!("flat_false_removals_{name}"), f64::from(drops));
    if name == "5pct" {
        figures.add("flat_false_removals", f64::from(drops));
    }
}

/// An entry drains, leaves and starts again, which moves its agents.
fn replace(members: &mut Members, second: u64) {
    let number = second / REPLACED;
    let index = members.entries[number as usize % members.entries.len()];
    members.fleet.send_input(index, Input::Drain);
    members.run(2);
    members.fleet.send_input(index, Input::Leave);
    members.run(1);
    members.fleet.crash(index);
    members.restart(index, number + 2);
}

/// Takes the changes of a step, and counts agents that the flat map now holds for absent.
fn take(
    members: &mut Members,
    stamps: &mut Stamps,
    absent: &mut HashSet<(ProcessIndex, HostId)>,
) -> u32 {
    let changed = std::mem::take(&mut members.fleet.changed);
    for (at, index, _) in &changed {
        stamps.note(members, *at, *index);
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
    /// Notes the version that an owner has reached.
    fn note(&mut self, members: &Members, at: Moment, index: ProcessIndex) {
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

    /// What the flat map says of an agent at an entry: the latest write of all owners.
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
