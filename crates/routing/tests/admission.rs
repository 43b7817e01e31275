//! Lanes: who runs, who waits, who is refused.

mod common;

use std::collections::HashMap;

use common::{seeded, workspace, CALM};
use quickcheck::QuickCheck;
use snipemast_core::prelude::*;
use snipemast_routing::fair::{FairQueue, Waiting};
use snipemast_routing::{
    Arrival, Decision, Departure, Dequeued, Lane, LanePolicy, PoolCapacity, Priority, Reason,
    Ticket,
};

const ROOM: PoolCapacity = PoolCapacity {
    own_slots: 10.0,
    free_slots: 0.0,
};

fn lane() -> Lane {
    Lane::new(LanePolicy {
        fill: 1.0,
        reserve: 0.2,
        ..LanePolicy::default()
    })
}

fn arrival(name: &str, deadline: Moment) -> Arrival {
    Arrival {
        workspace: workspace(name),
        weight: 1.0,
        priority: Priority::Normal,
        tokens: 100.0,
        deadline,
    }
}

fn departure(name: &str, took: Option<Span>) -> Departure {
    Departure {
        workspace: workspace(name),
        asked: 100.0,
        got: 100.0,
        took,
    }
}

fn late() -> Moment {
    CALM + Span::from_secs(600)
}

fn waiting(n: u64, name: &str, priority: Priority) -> Waiting {
    let workspace = workspace(name);
    Waiting {
        ticket: Ticket(n),
        workspace,
        priority,
        cost: 1.0,
        latest: Moment::NEVER,
    }
}

#[test]
fn shares_by_weight() {
    // Shares of the output follow the weights, whatever the weights and however long the queues.
    fn property(weights: Vec<u8>) -> bool {
        let weights: Vec<f64> = weights
            .iter()
            .take(6)
            .map(|w| f64::from(w % 9 + 1))
            .collect();
        let mut queue = FairQueue::new();
        for (n, weight) in weights.iter().enumerate() {
            for k in 0..400 {
                let ticket = (n * 1_000 + k) as u64;
                queue.push(
                    *weight,
                    waiting(ticket, &format!("w-{n}"), Priority::Normal),
                );
            }
        }
        let total: f64 = weights.iter().sum();
        let turns = (20.0 * total) as usize;
        let mut counts: HashMap<WorkspaceId, f64> = HashMap::new();
        for popped in (0..turns).filter_map(|_| queue.pop()) {
            *counts.entry(popped.workspace).or_default() += 1.0;
        }
        let sum: f64 = counts.values().sum();
        let near = |(n, weight): (usize, &f64)| {
            let got = counts
                .get(&workspace(&format!("w-{n}")))
                .copied()
                .unwrap_or(0.0);
            (got - 20.0 * weight).abs() <= 2.0
        };
        (sum - turns as f64).abs() < 0.5 && weights.iter().enumerate().all(near)
    }
    QuickCheck::new()
        .rng(seeded(11))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn none_starves() {
    // A workspace sends urgent requests without end; its own patient ones must still move, and
    // so must every other workspace's.
    let mut queue = FairQueue::new();
    queue.push(1.0, waiting(1, "a", Priority::Low));
    queue.push(0.01, waiting(2, "b", Priority::Low));
    let mut seen = Vec::new();
    for n in 0..2_000 {
        queue.push(10.0, waiting(10 + n, "a", Priority::High));
        seen.extend(queue.pop().map(|w| w.ticket));
    }
    assert!(seen.contains(&Ticket(1)) && seen.contains(&Ticket(2)));
}

#[test]
fn priority_first() {
    let mut queue = FairQueue::new();
    queue.push(1.0, waiting(1, "a", Priority::Low));
    queue.push(1.0, waiting(2, "a", Priority::High));
    assert_eq!(queue.pop().map(|w| w.ticket), Some(Ticket(2)));
}

#[test]
fn idle_saves_little() {
    // A workspace is idle for long and then comes with a flood; what it did not use must not let
    // it hold the others back for as long.
    let mut queue = FairQueue::new();
    queue.allow(10.0);
    for n in 0..1_000 {
        queue.push(1.0, waiting(n, "busy", Priority::Normal));
        queue.pop();
    }
    for n in 0..100 {
        queue.push(1.0, waiting(5_000 + n, "busy", Priority::Normal));
        queue.push(1.0, waiting(9_000 + n, "idle", Priority::Normal));
    }
    let first = (0..40).filter_map(|_| queue.pop());
    let busy = first.filter(|w| w.workspace == workspace("busy")).count();
    assert!((10..=20).contains(&busy), "{busy}");
}

#[test]
fn flood_and_neighbour() {
    // One workspace floods a pool. Another, well within its share, must not queue behind it.
    let mut lane = lane();
    let doors: Vec<_> = (0..100)
        .map(|_| lane.arrive(CALM, arrival("flood", late()), ROOM))
        .collect();
    assert_eq!(doors.iter().filter(|d| **d == Decision::Run).count(), 10);
    assert_eq!(
        lane.arrive(CALM, arrival("calm", late()), ROOM),
        Decision::Run
    );
    // The reserve is a bound too: no stream of neighbours may fill the servers without end.
    let more: Vec<_> = (0..20)
        .map(|n| lane.arrive(CALM, arrival(&format!("calm-{n}"), late()), ROOM))
        .collect();
    assert_eq!(more.iter().filter(|d| **d == Decision::Run).count(), 1);
}

#[test]
fn work_conserving() {
    // A workspace alone may use all that others leave, beyond its own entry's part too.
    let mut lane = lane();
    let room = PoolCapacity {
        own_slots: 10.0,
        free_slots: 30.0,
    };
    let open = (0..100).filter(|_| lane.arrive(CALM, arrival("a", late()), room) == Decision::Run);
    assert_eq!(open.count(), 40);
}

#[test]
fn refused_early() {
    // A request that would wait past its deadline is told so at once, with a time after which
    // it would not; told late, its caller would have waited for nothing.
    let mut lane = lane();
    for _ in 0..10 {
        lane.arrive(CALM, arrival("a", late()), ROOM);
    }
    for _ in 0..100 {
        lane.depart(&departure("a", Some(Span::from_secs(1))));
        lane.arrive(CALM, arrival("a", late()), ROOM);
    }
    for _ in 0..50 {
        lane.arrive(CALM, arrival("a", late()), ROOM);
    }
    let deadline = CALM + Span::from_secs(3);
    let Decision::Refused(refusal) = lane.arrive(CALM, arrival("a", deadline), ROOM) else {
        panic!("it can't come in time");
    };
    assert_eq!(refusal.reason, Reason::Deadline);
    // Some 50 wait and 10 leave a second; 2 s are left to wait.
    assert!(
        (2_000..5_000).contains(&refusal.retry.as_millis()),
        "{}",
        refusal.retry
    );
}

#[test]
fn dead_work_dropped() {
    // A burst queues up more than can be answered in time. Were the old ones run first, each
    // would end past its deadline, its caller would send again, and the pool would work at full
    // speed for nothing, long after the burst.
    let mut lane = lane();
    for _ in 0..10 {
        lane.arrive(CALM, arrival("a", late()), ROOM);
    }
    let soon = CALM + Span::from_secs(1);
    for _ in 0..30 {
        lane.arrive(CALM, arrival("a", soon), ROOM);
    }
    let Decision::Wait(fresh) = lane.arrive(CALM, arrival("a", late()), ROOM) else {
        panic!("it waits");
    };
    lane.depart(&departure("a", None));
    let now = CALM + Span::from_secs(2);
    let called: Vec<_> = std::iter::from_fn(|| lane.dequeue(now, ROOM)).collect();
    let refused = called
        .iter()
        .filter(|c| matches!(c, Dequeued::Refused(..)))
        .count();
    assert_eq!(refused, 30);
    assert_eq!(called.last(), Some(&Dequeued::Run(fresh)));
}

#[test]
fn queue_bound() {
    let policy = LanePolicy {
        queue: 5,
        ..LanePolicy::default()
    };
    let mut lane = Lane::new(policy);
    let doors: Vec<_> = (0..40)
        .map(|_| lane.arrive(CALM, arrival("a", late()), ROOM))
        .collect();
    assert_eq!(lane.waiting(), 5);
    assert!(matches!(doors.last(), Some(Decision::Refused(r)) if r.reason == Reason::Queue));
}

#[test]
fn gone_leaves_place() {
    // A caller leaves while it waits; its place must not count, nor its turn be taken.
    let mut lane = lane();
    for _ in 0..10 {
        lane.arrive(CALM, arrival("a", late()), ROOM);
    }
    let Decision::Wait(ticket) = lane.arrive(CALM, arrival("a", late()), ROOM) else {
        panic!("it waits");
    };
    lane.abandon(ticket);
    lane.depart(&departure("a", None));
    assert_eq!(lane.dequeue(CALM, ROOM), None);
    assert_eq!((lane.waiting(), lane.running()), (0, 9));
}
