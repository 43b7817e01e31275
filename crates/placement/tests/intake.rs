//! Which new connections a gateway reads while it gets most of those of a zone: a model of a process that gets a
//! bounded number of requests done each second.

use std::collections::VecDeque;

use snipemast_core::prelude::*;
use snipemast_placement::intake::{Admission, Intake};

/// What a request costs the process, in us, so that it gets 200 done each second.
const COST: u64 = 5_000;
/// How late a request may be served, in us: the objective of an urgent route.
const OBJECTIVE: u64 = 400_000;
/// How long after the skew began the rule holds, in us.
const STABLE: u64 = 3_000_000;

#[derive(Debug, Default)]
struct Outcome {
    read: usize,
    in_time: usize,
    closed: usize,
}

/// Plays `rate` new connections a second, each with one request, from 0 to `end`, in us.
fn play(rate: u64, end: u64, mut intake: Option<Intake>) -> Outcome {
    let mut waiting: VecDeque<u64> = VecDeque::new();
    let mut outcome = Outcome::default();
    let (mut now, mut next) = (1_000_000_u64, 1_000_000_u64);
    let (begin, end) = (now, now + end);
    while now < end {
        // One turn: each request that waits is served, and the connections that came meanwhile are accepted.
        let turn = waiting.len() as u64 * COST + 100;
        let mut done = now;
        for arrived in waiting.drain(..) {
            done += COST;
            if arrived >= begin + STABLE {
                outcome.read += 1;
                outcome.in_time += usize::from(done - arrived <= OBJECTIVE);
            }
        }
        now += turn;
        let at = Moment::from_micros(now);
        if let Some(intake) = &mut intake {
            if intake.needs_measure(at) {
                intake.record_turn(at, Span::from_micros(turn));
            }
        }
        while next <= now {
            let admission = intake.as_mut().map(|i| i.decide(at, waiting.len()));
            if admission.is_none_or(|a| a == Admission::Read) {
                waiting.push_back(next);
            } else {
                outcome.closed += 1;
            }
            next += 1_000_000 / rate;
        }
    }
    outcome
}

/// Guards against a gateway that reads all requests of a zone and serves none of them in time.
#[test]
fn reads_what_it_serves() {
    for rate in [220, 440, 600, 1_800] {
        for seconds in [5, 12] {
            let outcome = play(rate, seconds * 1_000_000, Some(Intake::new(10_000)));
            let Outcome { read, in_time, .. } = outcome;
            assert!(
                in_time * 10 >= read * 9,
                "{rate}/s for {seconds} s: {outcome:?}"
            );
            // Most of what it could serve is read.
            let able = (seconds - 3) as usize * 200;
            assert!(
                read * 10 >= able * 7,
                "{rate}/s for {seconds} s: {outcome:?}"
            );
        }
    }
    let unbounded = play(440, 12_000_000, None);
    assert!(
        unbounded.in_time * 10 < unbounded.read,
        "the model has no overload: {unbounded:?}"
    );
}

/// Guards against connections that are closed although the process keeps up, or has just a long task.
#[test]
fn calm_reads_all() {
    for rate in [20, 100, 190] {
        let outcome = play(rate, 10_000_000, Some(Intake::new(10_000)));
        assert_eq!(outcome.closed, 0, "{rate}/s");
    }
    let mut intake = Intake::new(100);
    for second in 1..20 {
        let now = Moment::from_millis(second * 1_000);
        intake.record_turn(now, Span::from_millis(400));
        assert_eq!(intake.decide(now, 1), Admission::Read);
        let now = now + Span::from_millis(50);
        intake.record_turn(now, Span::from_millis(10));
        assert_eq!(intake.decide(now, 1), Admission::Read);
    }
}

/// Guards against a process that stays closed after the overload.
#[test]
fn overload_ends() {
    let mut intake = Intake::new(100);
    let mut now = Moment::from_millis(1_000);
    for _ in 0..4 {
        now = now + Span::from_millis(300);
        intake.record_turn(now, Span::from_millis(300));
    }
    assert!(matches!(intake.decide(now, 1), Admission::Overloaded(_)));
    for _ in 0..60 {
        now = now + Span::from_millis(50);
        intake.record_turn(now, Span::from_millis(5));
        assert_eq!(intake.decide(now, 1), Admission::Read);
    }
    assert!(!intake.is_overloaded());
}

/// Guards against callers' connections that use up all descriptors, so that no server can be reached.
#[test]
fn connections_bounded() {
    let mut intake = Intake::new(100);
    let now = Moment::from_millis(1_000);
    assert_eq!(intake.decide(now, 99), Admission::Read);
    assert_eq!(intake.decide(now, 100), Admission::Full);
}

/// Guards against a gateway that says that it is ready while it closes every new connection, and against one that says
/// both in turn.
#[test]
fn full_until_room() {
    let mut intake = Intake::new(100);
    let now = Moment::from_millis(1_000);
    assert_eq!(intake.decide(now, 99), Admission::Read);
    assert!(!intake.is_full());
    assert_eq!(intake.decide(now, 100), Admission::Full);
    intake.record_busy(95);
    assert!(intake.is_full());
    intake.record_busy(90);
    assert!(!intake.is_full());
    intake.record_busy(100);
    assert!(!intake.is_full());
}
