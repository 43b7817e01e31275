//! Events in a fleet, such as restarts and crashes, with their traffic and the time until they are known.

use snipemast_benches::members::{Members, Shape};
use snipemast_benches::report::Figures;
use snipemast_core::prelude::*;
use snipemast_fakes::fleet::ProcessIndex;
use snipemast_fakes::{Fleet, Side};
use snipemast_membership::{AnnounceInput, Input, Topic};

use crate::calls::Calls;

/// Runs a fleet whose entries piggyback 48 bytes of demand every `pace` seconds and 24 bytes of
/// versions every minute.
pub(crate) fn run_piggybacking(members: &mut Members, secs: u64, pace: u64) {
    for second in 0..secs {
        for (number, index) in members.entries.clone().into_iter().enumerate() {
            let number = number as u64;
            if (second + number).is_multiple_of(pace) {
                publish(members, index, Topic::Demand, 48, pace * 4);
            }
            if (second + number).is_multiple_of(60) {
                publish(members, index, Topic::Versions, 24, 180);
            }
        }
        members.run(1);
    }
}

/// Measures a second in which entries send their demand only once a minute.
pub(crate) fn sparse(members: &mut Members, calls: Calls, figures: &mut Figures) -> f64 {
    run_piggybacking(members, 20, 60);
    members.clear();
    run_piggybacking(members, 20, 60);
    let used = members.used(&members.entries, Span::from_secs(20), calls.heads);
    figures.add("later_entry_bytes_sparse_demand", used.bytes);
    used.bytes
}

fn publish(members: &mut Members, entry: ProcessIndex, topic: Topic, size: usize, secs: u64) {
    let value = vec![7; size];
    let input = Input::Publish(topic, value, Span::from_secs(secs));
    members.fleet.send_input(entry, input);
}

/// Restarts agents and entries; returns the bytes that one restart costs each entry.
pub(crate) fn churn(
    members: &mut Members,
    events: usize,
    calls: Calls,
    figures: &mut Figures,
) -> f64 {
    members.clear();
    members.run(10);
    let quiet = members.used(&members.entries, Span::from_secs(1), calls.heads);
    members.clear();
    for number in 0..events {
        let index = if number % 3 == 0 {
            members.entries[40 + number]
        } else {
            members.agents[40 + number]
        };
        restart(members, index, number as u64 + 2);
    }
    members.run(10);
    let secs = events as f64 * 4.0 + 10.0;
    let used = members.used(&members.entries, Span::from_secs(1), calls.heads);
    let cost = (used.bytes - quiet.bytes / 10.0 * secs) / events as f64;
    figures.add("churn_event_bytes", cost);
    figures.add("churn_drops", members.fleet.drops.len() as f64);
    cost
}

/// Drains, stops and restarts a process, in four seconds.
fn restart(members: &mut Members, index: ProcessIndex, start: u64) {
    let entry = members.fleet.node(index).is_some();
    if entry {
        members.fleet.send_input(index, Input::Drain);
    } else {
        members.fleet.send_agent_input(index, AnnounceInput::Drain);
    }
    members.run(2);
    if entry {
        members.fleet.send_input(index, Input::Leave);
    } else {
        members.fleet.send_agent_input(index, AnnounceInput::Leave);
    }
    members.run(1);
    members.fleet.crash(index);
    members.restart(index, start);
    members.run(1);
}

/// Measures how soon all connected entries know of a drain, a crash and a join.
pub(crate) fn times(members: &mut Members, trials: usize, figures: &mut Figures) {
    let (mut drains, mut crashes, mut entries, mut joins) = Default::default();
    for trial in 0..trials {
        let agent = members.agents[100 + trial];
        members.fleet.send_agent_input(agent, AnnounceInput::Drain);
        wait(members, &mut drains, agent, unroutable);
        members.fleet.crash(agent);
        members.run(5);
        members.restart(agent, 100);
        wait(members, &mut joins, agent, routable);
        let agent = members.agents[120 + trial];
        members.fleet.crash(agent);
        wait(members, &mut crashes, agent, unroutable);
        let entry = members.entries[100 + trial];
        members.fleet.crash(entry);
        wait(members, &mut entries, entry, removed);
    }
    let mut all = crashes.clone();
    all.extend(&entries);
    add(figures, "drain_known", &mut drains);
    add(figures, "agent_crash_known", &mut crashes);
    add(figures, "entry_crash_known", &mut entries);
    add(figures, "crash_known", &mut all);
    add(figures, "join_known", &mut joins);
}

/// Crashes a rack of hosts of one zone at once.
pub(crate) fn rack(members: &mut Members, calls: Calls, figures: &mut Figures) {
    let zone = members.fleet.processes[members.entries[0]]
        .place
        .zone
        .clone();
    let of_zone = |i: &&ProcessIndex| members.fleet.processes[**i].place.zone == zone;
    let lost: Vec<_> = members.entries[150..]
        .iter()
        .filter(of_zone)
        .take(15)
        .chain(members.agents[200..].iter().filter(of_zone).take(25))
        .copied()
        .collect();
    members.clear();
    for index in &lost {
        members.fleet.crash(*index);
    }
    let took = members.run_until_settled(60);
    figures.add("rack_known_s", took.map_or(f64::NAN, Span::as_secs_f64));
    let span = took.unwrap_or(Span::from_secs(60));
    let used = members.used(&members.entries, span, calls.heads);
    figures.add("rack_bytes", used.bytes);
    figures.add("rack_drops", members.fleet.drops.len() as f64);
}

/// Cuts a zone off, restarts agents on both sides, and reconnects the zone.
pub(crate) fn zone(members: &mut Members, calls: Calls, figures: &mut Figures) {
    let zone: ZoneId = "zone-1".parse().expect("a valid name");
    let inside = Side::Zone(zone.clone());
    for other in ["zone-0", "zone-2", "zone-3"] {
        let other = Side::Zone(other.parse().expect("a valid name"));
        members.fleet.links.cut(inside.clone(), other);
    }
    members.clear();
    let away = zone.clone();
    let took = members.run_until(60, move |fleet| cut_off(fleet, &away));
    figures.add("zone_cut_known_s", took.map_or(f64::NAN, Span::as_secs_f64));
    let cut_drops = members.fleet.drops.len();
    for number in 0..8 {
        let agent = members.agents[300 + number];
        members.fleet.crash(agent);
        members.run(1);
        members.restart(agent, 50);
    }
    members.run(10);
    members.clear();
    members.fleet.links.heal();
    let took = members.run_until_settled(120);
    figures.add("zone_heal_s", took.map_or(f64::NAN, Span::as_secs_f64));
    let span = took.unwrap_or(Span::from_secs(120));
    let used = members.used(&members.entries, span, calls.heads);
    figures.add("zone_heal_bytes", used.bytes);
    figures.add("zone_drops", cut_drops as f64);
}

/// Counts running processes that entries drop at the middle size while a share of messages is lost.
pub(crate) fn larger_loss(secs: u64, figures: &mut Figures) -> f64 {
    let mut members = Members::start(Shape::MIDDLE, 5);
    members.run_until_settled(120);
    members.clear();
    members.fleet.links.loss = 0.05;
    members.run(secs);
    let drops = members.fleet.drops.len() + dead_entries(&members.fleet);
    figures.add("false_removals_5pct_middle", drops as f64);
    figures.add("loss_middle_virtual_s", secs as f64);
    drops as f64
}

/// Returns how often a running entry was removed from another's table.
pub(crate) fn dead_entries(fleet: &Fleet) -> usize {
    let false_removal = |n: &&snipemast_fakes::fleet::RecordedEvent| {
        let dead = n.event == Event::MemberRemoved && n.subject.starts_with("entry");
        let running = fleet.entries().any(|(_, node)| {
            let process = &node.card().process;
            n.subject == process.to_string()
        });
        dead && running
    };
    fleet.recorded.iter().filter(false_removal).count()
}

fn cut_off(fleet: &Fleet, zone: &ZoneId) -> bool {
    fleet.entries().all(|(_, node)| {
        let inside = node.card().zone == *zone;
        let links = node.zones().links();
        let lost = links.iter().filter(|(_, l)| l.lost.is_some());
        lost.count() == if inside { 3 } else { 1 }
    })
}

fn wait(
    members: &mut Members,
    into: &mut Vec<f64>,
    index: ProcessIndex,
    holds: impl Fn(&Fleet, &HostId) -> bool,
) {
    let host = members.host(index);
    let took = members.run_until(30, |fleet| holds(fleet, &host));
    into.push(took.map_or(30.0, Span::as_secs_f64));
}

fn unroutable(fleet: &Fleet, host: &HostId) -> bool {
    fleet
        .entries()
        .all(|(_, n)| n.agent_view(host).is_none_or(|a| !a.is_routable()))
}

fn routable(fleet: &Fleet, host: &HostId) -> bool {
    fleet
        .entries()
        .all(|(_, n)| n.agent_view(host).is_some_and(|a| a.is_routable()))
}

fn removed(fleet: &Fleet, host: &HostId) -> bool {
    fleet.entries().all(|(_, n)| n.table().row(host).is_none())
}

fn add(figures: &mut Figures, name: &str, values: &mut [f64]) {
    values.sort_by(f64::total_cmp);
    let (Some(middle), Some(last)) = (values.get(values.len() / 2), values.last()) else {
        return;
    };
    figures.add(&format!("{name}_p50_s"), *middle);
    figures.add(&format!("{name}_s"), *last);
}
