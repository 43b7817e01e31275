//! Answers: whole or told apart from whole, and kept within their bounds.

use quickcheck::{Gen, QuickCheck, Testable};

use snipemast_core::prelude::*;
use snipemast_requests::ledger::ReadPosition;
use snipemast_requests::{
    Arrival, ArrivalOutcome, Assembled, Assembler, AttemptStatus, Failure, Frame, Input, Ledger,
    LedgerLimits, Output, Outputs, Part, Piece, Plan, Reason, RequestMachine, Tag, Target,
};

const NOW: Moment = Moment::from_millis(1_000);

fn process(host: &str) -> ProcessId {
    ProcessId::new(host.parse().expect("a name"), Incarnation::new(1))
}

fn dispatch(counter: u64) -> DispatchId {
    DispatchId::new(process("entry-0"), counter)
}

fn arrival(counter: u64) -> Arrival {
    Arrival {
        id: dispatch(counter),
        agent: process("agent-0"),
        left: Span::from_secs(30),
        keep: Span::default(),
        suspect: false,
    }
}

fn ledger(entries: usize, bytes: usize) -> Ledger {
    let answer_bytes = 1 << 20;
    let limits = LedgerLimits {
        entries,
        bytes,
        answer_bytes,
    };
    Ledger::new(process("agent-0"), limits)
}

fn machine(stream: bool) -> (RequestMachine, Tag) {
    let plan = Plan {
        idempotent: true,
        stream,
        keyed: false,
        deadline: NOW + Span::from_secs(30),
        max_attempts: 3,
        max_silence: Span::from_secs(2),
        max_body: 1 << 10,
    };
    let (id, agent) = (dispatch(1), process("agent-0"));
    let tag = Tag::for_dispatch(&id);
    let mut machine = RequestMachine::new(plan);
    let mut out = Outputs::new();
    machine.handle(NOW, Input::Start, &mut out);
    machine.handle(NOW, Input::Chosen(Target { id, agent }), &mut out);
    (machine, tag)
}

fn feed(machine: &mut RequestMachine, tag: Tag, part: Part) -> Outputs {
    let mut out = Outputs::new();
    let frame = Input::Frame(machine.link(), Frame::new(tag, part));
    machine.handle(NOW, frame, &mut out);
    out
}

fn head() -> Part {
    let headers = Vec::new();
    Part::Head {
        status: 200,
        headers,
    }
}

fn data(bytes: &[u8]) -> Part {
    let bytes = bytes.to_vec();
    Part::Data { offset: 0, bytes }
}

fn end(total: u64, checksum: u32) -> Part {
    let load = LoadReport::default();
    Part::End {
        total,
        checksum,
        load,
    }
}

// Something on the way flips a digit of a retention. Length and framing are right; only the
// checksum tells. What has reached the caller can't be taken back, so the stream ends in an error.
#[test]
fn damaged_stream() {
    let (mut machine, tag) = machine(true);
    feed(&mut machine, tag, head());
    feed(&mut machine, tag, data(b"12000"));
    let out = feed(&mut machine, tag, end(5, 7));
    assert!(matches!(out.back(), Some(Output::Fail(v)) if v.reason == Reason::Corrupt));
}

// The same before anything has reached the caller: the kept answer is read again.
#[test]
fn damaged_body() {
    let (mut machine, tag) = machine(false);
    feed(&mut machine, tag, head());
    feed(&mut machine, tag, data(b"12000"));
    let out = feed(&mut machine, tag, end(5, 7));
    assert!(matches!(out.back(), Some(Output::Resume(_, _, 0))));
}

// A caller that doesn't stream asks for a book: the entry must not hold it whole.
#[test]
fn long_body() {
    let (mut machine, tag) = machine(false);
    feed(&mut machine, tag, head());
    let out = feed(&mut machine, tag, data(&[0; 2_000]));
    assert!(matches!(out.back(), Some(Output::Fail(v)) if v.reason == Reason::TooLong));
}

// Finished answers fill the memory: the oldest go first, and their ids stay known.
#[test]
fn answers_shed() {
    let mut ledger = ledger(100, 1_000);
    for n in 0..20 {
        assert_eq!(ledger.arrive(NOW, &arrival(n)), ArrivalOutcome::Run);
        ledger.append(&dispatch(n), &[1; 100]);
        ledger.finish(&dispatch(n), LoadReport::default());
    }
    assert!(ledger.bytes() <= 1_000);
    assert_eq!(ledger.arrive(NOW, &arrival(0)), ArrivalOutcome::Attach);
    let frame = ledger.next_frame(&dispatch(0), ReadPosition::default(), 64);
    let reason = Failure::Dropped;
    assert_eq!(frame.map(|f| f.part), Some(Part::Failed { reason }));
    let whole = ledger.next_frame(&dispatch(19), ReadPosition::default(), 200);
    assert!(matches!(whole.map(|f| f.part), Some(Part::Data { bytes, .. }) if bytes.len() == 100));
}

// Whatever is asked of a ledger in whatever order, an id runs once, and a barred one never.
#[test]
fn one_run() {
    fn holds(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut ledger = ledger(6, 64);
        let (mut runs, mut barred) = ([0; 16], [false; 16]);
        let mut now = NOW;
        for (step, number, wait) in steps {
            let number = usize::from(number % 16);
            let id = dispatch(number as u64);
            now = now + Span::from_millis(u64::from(wait));
            match step % 6 {
                0 | 1 if ledger.arrive(now, &arrival(number as u64)) == ArrivalOutcome::Run => {
                    runs[number] += 1;
                    if barred[number] {
                        return false;
                    }
                }
                2 => {
                    let settled = ledger.settle(now, &id, &process("agent-0"), Span::default());
                    barred[number] |= settled == AttemptStatus::Barred;
                }
                3 => ledger.finish(&id, LoadReport::default()),
                4 => ledger.fail(&id, Failure::Broken),
                5 => ledger.expire(now),
                _ => {}
            }
        }
        runs.iter().all(|r| *r <= 1) && ledger.len() <= 6
    }
    check(holds as fn(Vec<(u8, u8, u16)>) -> bool);
}

// Pieces in any order, cut anywhere and doubled, never make a wrong body look whole.
#[test]
fn any_pieces() {
    fn holds(body: Vec<u8>, cuts: Vec<(u8, u8)>) -> bool {
        let mut assembler = Assembler::default();
        let mut taken = Vec::new();
        for (from, length) in cuts {
            let from = usize::from(from).min(body.len());
            let to = (from + usize::from(length)).min(body.len());
            if let Piece::Next(bytes) = assembler.take(from as u64, body[from..to].to_vec()) {
                taken.extend(bytes);
            }
        }
        let checksum = crc32fast::hash(&body);
        let whole = assembler.finish(body.len() as u64, checksum) == Assembled::Whole;
        body.starts_with(&taken) && whole == (taken == body)
    }
    check(holds as fn(Vec<u8>, Vec<(u8, u8)>) -> bool);
}

/// Checks a property over the same cases at every run.
fn check(property: impl Testable) {
    let gen = Gen::from_size_and_seed(100, 7);
    QuickCheck::new().rng(gen).tests(500).quickcheck(property);
}
