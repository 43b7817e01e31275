//! Lanes: which requests run, wait or are refused.

mod common;

use std::collections::HashMap;

use common::{seeded, workspace, CALM};
use quickcheck::QuickCheck;
use snipemast_core::prelude::*;
use snipemast_routing::fair::{FairQueue, QueuedRequest};
use snipemast_routing::{
    Arrival, Decision, Departure, Dequeued, Lane, LanePolicy, PoolCapacity, Priority, Reason,
    Ticket,
};

const CAPACITY: PoolCapacity = PoolCapacity {
    own_slots: 10.0,
    free_slots: 0.0,
};

fn lane() -> Lane {
    Lane::new(LanePolicy {
        slot_factor: 1.0,
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

fn far_deadline() -> Moment {
    CALM + Span::from_secs(600)
}

fn waiting(n: u64, name: &str, priority: Priority) -> QueuedRequest {
    let workspace = workspace(name);
    QueuedRequest {
        ticket: Ticket(n),
        workspace,
        priority,
        cost: 1.0,
        latest_start: Moment::NEVER,
    }
}

#[test]
fn shares_by_weight() {
    // The shares of the output must follow the weights, for any weights and long queues.
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
    // A workspace sends urgent requests without a pause. Its own requests of low priority, and
    // those of other workspaces, must still get their turn.
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
fn idle_credit_bounded() {
    // A workspace is idle for a long time and then sends a flood of requests. Its unused share must
    // not let it hold back the others for as long as it was idle.
    let mut queue = FairQueue::new();
    queue.set_max_credit(10.0);
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
fn flood_isolated() {
    // One workspace floods a pool. Another one, well within its share, must not wait for it.
    let mut lane = lane();
    let decisions: Vec<_> = (0..100)
        .map(|_| lane.arrive(CALM, arrival("flood", far_deadline()), CAPACITY))
        .collect();
    assert_eq!(
        decisions.iter().filter(|d| **d == Decision::Run).count(),
        10
    );
    assert_eq!(
        lane.arrive(CALM, arrival("calm", far_deadline()), CAPACITY),
        Decision::Run
    );
    // The reserve has a bound too, so that many other workspaces can't overfill the servers.
    let more: Vec<_> = (0..20)
        .map(|n| {
            lane.arrive(
                CALM,
                arrival(&format!("calm-{n}"), far_deadline()),
                CAPACITY,
            )
        })
        .collect();
    assert_eq!(more.iter().filter(|d| **d == Decision::Run).count(), 1);
}

#[test]
fn work_conserving() {
    // A single workspace may use all free slots, also those beyond its entry's share. Idle slots
    // would be wasted otherwise.
    let mut lane = lane();
    let capacity = PoolCapacity {
        own_slots: 10.0,
        free_slots: 30.0,
    };
    let open = (0..100)
        .filter(|_| lane.arrive(CALM, arrival("a", far_deadline()), capacity) == Decision::Run);
    assert_eq!(open.count(), 40);
}

#[test]
fn refused_early() {
    // A request that would wait past its deadline must be refused at once, with a time after which
    // it would not. If it were refused late, its caller would have waited for nothing.
    let mut lane = lane();
    for _ in 0..10 {
        lane.arrive(CALM, arrival("a", far_deadline()), CAPACITY);
    }
    for _ in 0..100 {
        lane.depart(&departure("a", Some(Span::from_secs(1))));
        lane.arrive(CALM, arrival("a", far_deadline()), CAPACITY);
    }
    for _ in 0..50 {
        lane.arrive(CALM, arrival("a", far_deadline()), CAPACITY);
    }
    let deadline = CALM + Span::from_secs(3);
    let Decision::Refused(refusal) = lane.arrive(CALM, arrival("a", deadline), CAPACITY) else {
        panic!("the request can't be answered in time");
    };
    assert_eq!(refusal.reason, Reason::Deadline);
    // About 50 requests wait, 10 end per second, and 2 s are left to wait.
    assert!(
        (2_000..5_000).contains(&refusal.retry.as_millis()),
        "{}",
        refusal.retry
    );
}

#[test]
fn late_requests_dropped() {
    // A burst queues more requests than can be answered in time. If the old ones ran first, each
    // would end past its deadline and its caller would send it again. The pool would do useless
    // work at full speed long after the burst.
    let mut lane = lane();
    for _ in 0..10 {
        lane.arrive(CALM, arrival("a", far_deadline()), CAPACITY);
    }
    let soon = CALM + Span::from_secs(1);
    for _ in 0..30 {
        lane.arrive(CALM, arrival("a", soon), CAPACITY);
    }
    let Decision::Wait(fresh) = lane.arrive(CALM, arrival("a", far_deadline()), CAPACITY) else {
        panic!("the request waits");
    };
    lane.depart(&departure("a", None));
    let now = CALM + Span::from_secs(2);
    let called: Vec<_> = std::iter::from_fn(|| lane.dequeue(now, CAPACITY)).collect();
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
        max_queue: 5,
        ..LanePolicy::default()
    };
    let mut lane = Lane::new(policy);
    let decisions: Vec<_> = (0..40)
        .map(|_| lane.arrive(CALM, arrival("a", far_deadline()), CAPACITY))
        .collect();
    assert_eq!(lane.waiting(), 5);
    assert!(matches!(decisions.last(), Some(Decision::Refused(r)) if r.reason == Reason::Queue));
}

#[test]
fn abandoned_not_counted() {
    // A caller disconnects while its request waits. The request must no longer count in the queue,
    // and must not run.
    let mut lane = lane();
    for _ in 0..10 {
        lane.arrive(CALM, arrival("a", far_deadline()), CAPACITY);
    }
    let Decision::Wait(ticket) = lane.arrive(CALM, arrival("a", far_deadline()), CAPACITY) else {
        panic!("the request waits");
    };
    lane.abandon(ticket);
    lane.depart(&departure("a", None));
    assert_eq!(lane.dequeue(CALM, CAPACITY), None);
    assert_eq!((lane.waiting(), lane.running()), (0, 9));
}
