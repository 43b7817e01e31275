//! The timeline over many processes.

use quickcheck::{QuickCheck, TestResult};

use snipemast_core::hlc::MAX_AHEAD;
use snipemast_core::prelude::*;
use snipemast_membership::timeline::{Merge, Next, Page};
use snipemast_membership::transcript;

/// The number of records of a page.
const PAGE: usize = 16;

fn process(name: &str) -> ProcessId {
    ProcessId::new(name.parse().expect("a valid name"), Incarnation::new(1))
}

fn record(name: &str, micros: u64, event: Event) -> Record {
    Record {
        stamp: Stamp { micros, counter: 0 },
        process: process(name),
        event,
        subject: "r-1".into(),
        detail: String::new(),
    }
}

fn page(ring: &Ring, after: Stamp) -> Page {
    let (records, more) = ring.page(after, PAGE, None);
    Page {
        process: ring.process().clone(),
        records,
        more,
        oldest: ring.oldest(),
    }
}

/// Merges rings; returns the records, and the maximum number that was held at once.
fn merge(rings: &[Ring]) -> (Vec<Record>, usize) {
    let mut merge = Merge::new(rings.iter().map(|r| r.process().to_string()));
    let (mut records, mut buffered) = (Vec::new(), 0);
    loop {
        buffered = buffered.max(merge.buffered());
        match merge.step() {
            Next::Record(record) => records.push(*record),
            Next::Need { source, after } => merge.feed(source, page(&rings[source], after)),
            Next::End => return (records, buffered),
        }
    }
}

#[test]
fn thousand_rings() {
    // Guards against a merge that holds all events at once: the timeline of a whole fleet has a
    // thousand rings of hundreds of events each, and the operator may use a laptop.
    let rings: Vec<_> = (0..1_000)
        .map(|n| Ring::new(process(&format!("host-{n}")), 300))
        .collect();
    for number in 0..200 {
        for ring in &rings {
            ring.record(Event::RequestReceived, number, "");
        }
    }
    let (records, buffered) = merge(&rings);
    assert_eq!(records.len(), 200_000);
    assert!(records.windows(2).all(|w| w[0].stamp <= w[1].stamp));
    assert!(buffered <= 1_000 * PAGE, "{buffered} records were buffered");
}

#[test]
fn effect_follows() {
    // Guards against an effect that precedes its cause in the timeline, when the clocks of two
    // hosts differ by seconds or one is set back between two messages.
    fn holds(steps: Vec<(bool, u16)>) -> TestResult {
        let clocks = [HybridClock::new(), HybridClock::new()];
        let (mut last, mut wall) = (Stamp::default(), [MAX_AHEAD, MAX_AHEAD / 2]);
        for (side, jump) in steps {
            let side = usize::from(side);
            wall[side] = MAX_AHEAD / 2 + u64::from(jump) * 200;
            clocks[side].observe_at(last, wall[side]);
            let stamp = clocks[side].tick_at(wall[side]);
            if stamp <= last {
                return TestResult::failed();
            }
            last = stamp;
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(64, 11))
        .quickcheck(holds as fn(Vec<(bool, u16)>) -> TestResult);
}

#[test]
fn runaway_clock() {
    // Guards against stamps of the whole fleet that end up years ahead, because peers follow a
    // clock that runs ahead a little more with each message.
    let clock = HybridClock::new();
    for step in 1..100 {
        let micros = MAX_AHEAD * step;
        clock.observe_at(Stamp { micros, counter: 0 }, 1_000);
    }
    assert!(clock.tick_at(1_000).micros <= 1_000 + MAX_AHEAD);
}

#[test]
fn causal_order_kept() {
    // Guards against events of a request in the wrong order: the agent's clock is an hour behind,
    // and ignores the stamps of the entry.
    let hour = 3_600_000_000;
    let records = vec![
        record("agent", 10, Event::DispatchAccepted),
        record("agent", 20, Event::DispatchFinished),
        record("entry", hour, Event::RequestReceived),
        record("entry", hour + 5, Event::RequestRouted),
        record("entry", hour + 90, Event::AnswerDelivered),
    ];
    let order: Vec<_> = transcript::sort_causally(records)
        .iter()
        .map(|r| r.event)
        .collect();
    assert_eq!(
        order,
        [
            Event::RequestReceived,
            Event::RequestRouted,
            Event::DispatchAccepted,
            Event::DispatchFinished,
            Event::AnswerDelivered,
        ]
    );
}

#[test]
fn dead_process_seen() {
    // Guards against a timeline that doesn't show the death of a host whose ring died with it. It
    // must name the process and show what its peers recorded.
    let peer = Ring::new(process("entry-0"), 64);
    peer.record(Event::MemberRemoved, "entry-1:1", "it gave no answer");
    let mut merge = Merge::new(["entry-0:1".to_string(), "entry-1:1".to_string()]);
    merge.feed(0, page(&peer, Stamp::default()));
    merge.give_up(1);
    assert!(matches!(merge.step(), Next::Record(_)));
    assert_eq!(merge.step(), Next::End);
    let missing: Vec<_> = merge.missing().collect();
    assert_eq!(missing[0].process, "entry-1:1");
    assert_eq!(missing[0].seen[0].event, Event::MemberRemoved);
}

#[test]
fn described_in_words() {
    let lines = transcript::describe(&[record("entry", 1_000, Event::RequestReceived)]);
    assert!(lines[0].contains("A request arrived from a caller: r-1"));
}
