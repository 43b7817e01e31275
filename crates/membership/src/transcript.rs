//! The events of one request, patch or map change in causal order, as lines of text.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use snipemast_core::prelude::*;

/// Pairs of events of which the first always precedes the second, on whatever process.
///
/// If all clocks are correct, the stamps have the same order. Peers don't follow a clock that is
/// further ahead than [`snipemast_core::hlc::MAX_AHEAD`]; then only this order holds.
const CAUSES: &[(Event, Event)] = &[
    (Event::RequestReceived, Event::RequestRouted),
    (Event::RequestRouted, Event::RequestDispatched),
    (Event::RequestDispatched, Event::DispatchAccepted),
    (Event::RequestRouted, Event::DispatchAccepted),
    (Event::DispatchAccepted, Event::AnswerBegun),
    (Event::DispatchAccepted, Event::DispatchFinished),
    (Event::DispatchFinished, Event::AnswerDelivered),
    (Event::PatchAccepted, Event::VersionApplied),
    (Event::MapProposed, Event::MapPromised),
    (Event::MapPromised, Event::MapCommitted),
    (Event::MapProposed, Event::MapAborted),
];

/// Sorts the records of one request, patch or map change into causal order.
///
/// The records of each process stay in their order. Between processes, a known cause precedes its
/// effect, and otherwise the stamps decide.
pub fn sort_causally(records: Vec<Record>) -> Vec<Record> {
    let mut queues: BTreeMap<ProcessId, Vec<Record>> = BTreeMap::new();
    for record in records {
        queues
            .entry(record.process.clone())
            .or_default()
            .push(record);
    }
    for queue in queues.values_mut() {
        queue.sort_by_key(|r| Reverse(r.stamp));
    }
    let mut ordered = Vec::new();
    while let Some(process) = next_queue(&queues) {
        if let Some(record) = queues.get_mut(&process).and_then(Vec::pop) {
            ordered.push(record);
        }
    }
    ordered
}

/// Returns the process with the earliest record that has no pending cause, or else the process with
/// the earliest record.
fn next_queue(queues: &BTreeMap<ProcessId, Vec<Record>>) -> Option<ProcessId> {
    let heads = || queues.values().filter_map(|q| q.last());
    let free = heads().filter(|head| !has_pending_cause(queues, head));
    let next = free.min_by_key(|r| r.stamp);
    let next = next.or_else(|| heads().min_by_key(|r| r.stamp));
    next.map(|r| r.process.clone())
}

fn has_pending_cause(queues: &BTreeMap<ProcessId, Vec<Record>>, effect: &Record) -> bool {
    let others = queues.iter().filter(|(p, _)| **p != effect.process);
    let mut records = others.flat_map(|(_, q)| q);
    records.any(|cause| CAUSES.contains(&(cause.event, effect.event)))
}

/// Describes ordered records, one per line: the time since the first record, the host, and what
/// happened.
pub fn describe(records: &[Record]) -> Vec<String> {
    let first = records.first().map_or(0, |r| r.stamp.micros);
    records.iter().map(|r| describe_record(r, first)).collect()
}

fn describe_record(record: &Record, first: u64) -> String {
    let Record {
        stamp,
        process,
        event,
        subject,
        detail,
    } = record;
    let millis = stamp.micros as f64 / 1e3 - first as f64 / 1e3;
    let meaning = event.meaning().trim().trim_end_matches('.');
    let about = match (subject.is_empty(), detail.is_empty()) {
        (true, true) => String::new(),
        (false, true) => format!(": {subject}"),
        (true, false) => format!(": {detail}"),
        (false, false) => format!(": {subject} ({detail})"),
    };
    format!("{millis:+10.3} ms  {}  {meaning}{about}", process.host)
}
