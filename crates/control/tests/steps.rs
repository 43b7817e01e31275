//! One voter step by step, where an order of events must be exact.

mod support;

use snipemast_control::message::Position;
use snipemast_control::{
    ClusterId, Envelope, Hard, Input, LogEntry, Message, Node, NodeParams, Output, Payload,
    StoredState, VoterId,
};
use snipemast_core::prelude::*;

use support::{timing, voters, Ledger};

fn node(id: u64, stored: StoredState) -> Node<Ledger> {
    node_at(id, stored, Moment::ZERO)
}

fn node_at(id: u64, stored: StoredState, now: Moment) -> Node<Ledger> {
    let boot = NodeParams {
        id: VoterId(id),
        start: 1,
        cluster: ClusterId(7),
        first_voters: voters(3),
        stored,
        timing: timing(),
        seed: 1,
    };
    Node::new(boot, Ledger::default(), now).unwrap()
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index: Index(index),
        term: Term(term),
        payload: Payload::Command(vec![index as u8, term as u8]),
    }
}

fn says(from: u64, to: u64, term: u64, message: Message) -> Input {
    Input::Receive(Envelope {
        cluster: ClusterId(7),
        from: VoterId(from),
        start: 1,
        to: VoterId(to),
        term: Term(term),
        message,
    })
}

fn append(from: u64, term: u64, entries: Vec<LogEntry>) -> Input {
    let message = Message::Append {
        previous: Position::default(),
        entries,
        commit: Index(0),
        sent: Moment::ZERO,
    };
    says(from, 2, term, message)
}

fn last_write(outputs: &[Output]) -> u64 {
    let number = |o: &Output| match o {
        Output::Write { number, .. } => Some(*number),
        _ => None,
    };
    outputs.iter().filter_map(number).max().unwrap()
}

// A follower's disk is slow. Entries of a lost leader wait for their sync when the next leader
// overwrites them, and then the old write is synced. It must not pass for the new entries.
#[test]
fn overwritten_sync() {
    let mut node = node(2, StoredState::default());
    let now = Moment::from_millis(1);
    let outputs = node.handle(now, append(1, 1, vec![entry(1, 1), entry(2, 1)]));
    let old = last_write(&outputs);
    let outputs = node.handle(now, append(3, 2, vec![entry(1, 2), entry(2, 2)]));
    let new = last_write(&outputs);
    node.handle(now, Input::Synced { write: old });
    assert_eq!(node.durable_index(), Index(0));
    node.handle(now, Input::Synced { write: new });
    assert_eq!(node.durable_index(), Index(2));
}

// A leader comes back and is elected with an entry of an old term that only now reaches a
// majority. A voter without it may still be elected by the others, so it is not committed until
// an entry of the leader's own term stands on a majority after it.
#[test]
fn old_term_waits() {
    let stored = StoredState {
        hard: Hard {
            term: Term(3),
            vote: None,
        },
        snapshot: None,
        entries: vec![entry(1, 1), entry(2, 2)],
    };
    let mut node = node(1, stored);
    let now = Moment::from_millis(400);
    node.handle(now, Input::Tick);
    let granted = Message::PreVoted {
        next: Term(4),
        granted: true,
    };
    let outputs = node.handle(now, says(2, 1, 3, granted));
    let sworn = last_write(&outputs);
    node.handle(now, Input::Synced { write: sworn });
    let outputs = node.handle(now, says(2, 1, 4, Message::Voted { granted: true }));
    assert!(node.is_leader());
    let office = last_write(&outputs);
    node.handle(now, Input::Synced { write: office });
    let matched = |index| Message::Matched {
        index: Index(index),
        sent: now,
    };
    node.handle(now, says(2, 1, 4, matched(2)));
    assert_eq!(node.commit_index(), Index(0));
    node.handle(now, says(2, 1, 4, matched(3)));
    assert_eq!(node.commit_index(), Index(3));
}

fn stored_two() -> StoredState {
    StoredState {
        hard: Hard {
            term: Term(2),
            vote: None,
        },
        snapshot: None,
        entries: vec![entry(1, 1), entry(2, 2)],
    }
}

fn vote(term: u64, last: Position) -> Input {
    says(3, 2, term, Message::Vote { last })
}

/// Syncs everything and gives the votes that leave then.
fn votes(node: &mut Node<Ledger>, now: Moment) -> Vec<bool> {
    let outputs = node.handle(now, Input::Synced { write: 99 });
    let voted = |o: &Output| match o {
        Output::Send(Envelope {
            message: Message::Voted { granted },
            ..
        }) => Some(*granted),
        _ => None,
    };
    outputs.iter().filter_map(voted).collect()
}

// A candidate that lacks a committed entry asks for a vote, past its pre-vote. If it were
// elected, the entry would be overwritten.
#[test]
fn shorter_log() {
    let now = Moment::from_millis(400);
    for (last, granted) in [
        (Position::new(Term(1), Index(9)), false),
        (Position::new(Term(2), Index(1)), false),
        (Position::new(Term(2), Index(2)), true),
    ] {
        let mut node = node(2, stored_two());
        node.handle(now, vote(3, last));
        assert_eq!(votes(&mut node, now), [granted]);
    }
}

// A follower granted a leader its lease, crashed and is up again at once. It must help nobody
// to depose that leader before the lease has surely ended.
#[test]
fn start_waits() {
    let last = Position::new(Term(2), Index(2));
    for (millis, cast) in [(100, Vec::new()), (250, vec![true])] {
        let begun = Moment::from_millis(1_000);
        let mut node = node_at(2, stored_two(), begun);
        let now = begun + Span::from_millis(millis);
        node.handle(now, vote(3, last));
        assert_eq!(votes(&mut node, now), cast);
    }
}

// A follower's disk takes long over an entry. The leader's heartbeats must still be answered,
// with what is synced, or the leader steps down though everyone hears it.
#[test]
fn beat_answered() {
    let mut node = node(2, StoredState::default());
    let now = Moment::from_millis(1);
    node.handle(now, append(1, 1, vec![entry(1, 1)]));
    node.handle(now, Input::Synced { write: 1 });
    let message = Message::Append {
        previous: Position::new(Term(1), Index(1)),
        entries: Vec::new(),
        commit: Index(0),
        sent: now,
    };
    let outputs = node.handle(now, says(1, 2, 1, message));
    let answers = |o: &Output| match o {
        Output::Send(envelope) => Some(envelope.message.clone()),
        _ => None,
    };
    let synced = Message::Matched {
        index: Index(0),
        sent: now,
    };
    let found: Vec<_> = outputs.iter().filter_map(answers).collect();
    assert_eq!(found, [synced]);
}
