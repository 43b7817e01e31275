//! A single voter, step by step, in cases that depend on the exact order of events.

mod support;

use snipemast_control::message::Position;
use snipemast_control::{
    ClusterId, Envelope, HardState, Input, LogEntry, Message, Node, NodeParams, Output, Payload,
    StoredState, VoterId,
};
use snipemast_core::prelude::*;

use support::{timing, voters, CommandList};

fn node(id: u64, stored: StoredState) -> Node<CommandList> {
    node_at(id, stored, Moment::ZERO)
}

fn node_at(id: u64, stored: StoredState, now: Moment) -> Node<CommandList> {
    let params = NodeParams {
        id: VoterId(id),
        start: 1,
        cluster: ClusterId(7),
        first_voters: voters(3),
        stored,
        timing: timing(),
        seed: 1,
    };
    Node::new(params, CommandList::default(), now).unwrap()
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index: Index(index),
        term: Term(term),
        payload: Payload::Command(vec![index as u8, term as u8]),
    }
}

fn receive(from: u64, to: u64, term: u64, message: Message) -> Input {
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
    receive(from, 2, term, message)
}

fn last_write(outputs: &[Output]) -> u64 {
    let number = |o: &Output| match o {
        Output::Write { number, .. } => Some(*number),
        _ => None,
    };
    outputs.iter().filter_map(number).max().unwrap()
}

// A follower's disk is slow: entries of a lost leader are still unsynced when the next leader
// overwrites them. When the old write is synced, the new entries must not count as synced.
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

// A new leader has an entry of an old term that only now reaches a majority. A voter without it
// could still be elected, so it must not be committed before a later entry of the leader's own term
// is synced on a majority.
#[test]
fn old_term_waits() {
    let stored = StoredState {
        hard: HardState {
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
    let outputs = node.handle(now, receive(2, 1, 3, granted));
    let vote_write = last_write(&outputs);
    node.handle(now, Input::Synced { write: vote_write });
    let outputs = node.handle(now, receive(2, 1, 4, Message::Voted { granted: true }));
    assert!(node.is_leader());
    let first_entry = last_write(&outputs);
    node.handle(now, Input::Synced { write: first_entry });
    let matched = |index| Message::Matched {
        index: Index(index),
        sent: now,
    };
    node.handle(now, receive(2, 1, 4, matched(2)));
    assert_eq!(node.commit_index(), Index(0));
    node.handle(now, receive(2, 1, 4, matched(3)));
    assert_eq!(node.commit_index(), Index(3));
}

fn stored_two() -> StoredState {
    StoredState {
        hard: HardState {
            term: Term(2),
            vote: None,
        },
        snapshot: None,
        entries: vec![entry(1, 1), entry(2, 2)],
    }
}

fn ask_vote(term: u64, last: Position) -> Input {
    receive(3, 2, term, Message::Vote { last })
}

/// Syncs all writes and returns the votes that are sent then.
fn sync_and_votes(node: &mut Node<CommandList>, now: Moment) -> Vec<bool> {
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

// A candidate that lacks a committed entry asks for a vote after its pre-vote. If it were elected,
// the entry would be overwritten.
#[test]
fn shorter_log() {
    let now = Moment::from_millis(400);
    for (last, granted) in [
        (Position::new(Term(1), Index(9)), false),
        (Position::new(Term(2), Index(1)), false),
        (Position::new(Term(2), Index(2)), true),
    ] {
        let mut node = node(2, stored_two());
        node.handle(now, ask_vote(3, last));
        assert_eq!(sync_and_votes(&mut node, now), [granted]);
    }
}

// A follower granted a leader its lease, crashed and restarted at once. It must not vote for
// another leader before the lease has certainly ended.
#[test]
fn restart_delays_vote() {
    let last = Position::new(Term(2), Index(2));
    for (millis, cast) in [(100, Vec::new()), (250, vec![true])] {
        let begun = Moment::from_millis(1_000);
        let mut node = node_at(2, stored_two(), begun);
        let now = begun + Span::from_millis(millis);
        node.handle(now, ask_vote(3, last));
        assert_eq!(sync_and_votes(&mut node, now), cast);
    }
}

// A follower's disk takes long to sync an entry. Heartbeats must still be answered with what is
// synced; otherwise the leader steps down although everyone hears it.
#[test]
fn heartbeat_answered() {
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
    let outputs = node.handle(now, receive(1, 2, 1, message));
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
