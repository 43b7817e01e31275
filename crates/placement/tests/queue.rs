//! Tests of which waiting request may look for a place next.

use quickcheck::quickcheck;

use snipemast_core::prelude::*;
use snipemast_placement::choice::Unplaced;
use snipemast_placement::queue::{
    Joined, PlaceQueue, Ranking, Ticket, Turn, WaitingRequest, MAX_WAITING,
};
use snipemast_placement::reserve::{LoadLimits, Reserve};
use snipemast_placement::{RequestClass, RequestPriority, Urgency};

const OBJECTIVE: Span = Span::from_millis(500);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn priority(number: u8) -> RequestPriority {
    RequestPriority::new(None, Priority::new(number))
}

/// Returns a request of a workspace that asks first at its arrival.
fn request(workspace: &str, number: u8, arrival: Moment) -> WaitingRequest {
    WaitingRequest {
        workspace: Some(workspace.to_owned()),
        ranking: Ranking::Aging {
            asked: arrival,
            class: RequestClass {
                objective: OBJECTIVE,
                priority: priority(number),
                least_urgent: false,
            },
        },
        arrival,
        unplaced: Unplaced::AllFull,
    }
}

/// Adds a request of each of these workspaces and priorities, with tickets from 0 and half a
/// millisecond between them.
fn queue_of(requests: &[(&str, u8)]) -> PlaceQueue {
    let mut queue = PlaceQueue::new();
    for (n, (workspace, number)) in requests.iter().enumerate() {
        let now = Moment::from_micros(500 * n as u64);
        let joined = queue.join(now, Ticket(n as u64), request(workspace, *number, now));
        assert_eq!(joined, Joined::Waits);
    }
    queue
}

/// Gives places one after another, and returns who got them.
fn served(queue: &mut PlaceQueue, now: Moment, places: usize) -> Vec<u64> {
    let mut turn = queue.wake(now);
    let mut served = Vec::new();
    while let Some(Turn { ticket, .. }) = turn {
        if served.len() == places {
            assert_eq!(queue.put_back(now, ticket, Unplaced::AllFull), None);
            break;
        }
        served.push(ticket.0);
        turn = queue.place(now, ticket);
    }
    served
}

/// All servers are full, and requests that may wait until morning look for a place just when one
/// becomes free. Urgent ones that have waited longer get none.
#[test]
fn urgent_goes_first() {
    let mut queue = queue_of(&[("a", 2), ("a", 1), ("a", 0), ("a", 2), ("a", 0)]);
    assert_eq!(served(&mut queue, at(10), 5), [2, 4, 1, 0, 3]);
}

/// Requests became late while they waited, and hold back others that can still be on time.
#[test]
fn late_falls_back() {
    let mut queue = queue_of(&[("a", 0)]);
    let now = at(700);
    queue.join(now, Ticket(1), request("a", 2, now));
    assert_eq!(served(&mut queue, now, 2), [1, 0]);
}

/// A newcomer takes the place that has just become free, and those who wait for it get none.
#[test]
fn newcomer_waits() {
    let mut queue = queue_of(&[("a", 1)]);
    let now = at(10);
    let urgency = |number| Urgency::InTime(priority(number));
    assert_eq!(queue.blocks(now, urgency(1)), Some(Unplaced::AllFull));
    assert_eq!(queue.blocks(now, urgency(2)), Some(Unplaced::AllFull));
    assert_eq!(queue.blocks(now, urgency(0)), None);
    assert_eq!(queue.blocks(now, Urgency::Resumed), None);
    let turn = queue.wake(now).unwrap();
    assert_eq!(queue.blocks(now, urgency(1)), Some(Unplaced::AllFull));
    queue.put_back(now, turn.ticket, Unplaced::Out);
    assert_eq!(queue.blocks(now, urgency(1)), Some(Unplaced::Out));
    assert_eq!(served(&mut queue, now, 1), [0]);
    assert_eq!(queue.blocks(now, urgency(2)), None);
    // An outage that is over is no longer the reason.
    queue.join(now, Ticket(1), request("a", 1, now));
    assert_eq!(queue.blocks(now, urgency(1)), Some(Unplaced::AllFull));
}

/// A workspace sends a hundred requests at once, and a single request of another one waits behind
/// all of them.
#[test]
fn flood_delays_nobody() {
    let mut requests = vec![("flood", 1); 100];
    requests.push(("one", 1));
    let mut queue = queue_of(&requests);
    let places = served(&mut queue, at(150), 3);
    assert!(places.contains(&100), "{places:?}");
    // Also after the workspace was served for some time.
    served(&mut queue, at(160), 40);
    queue.join(at(161), Ticket(200), request("one", 1, at(161)));
    queue.join(at(161), Ticket(201), request("new", 1, at(161)));
    let places = served(&mut queue, at(170), 4);
    assert!(places.contains(&200) && places.contains(&201), "{places:?}");
}

/// A workspace that waited for nothing while others did gets all places for as long as they had
/// them.
#[test]
fn idle_earns_nothing() {
    let mut queue = queue_of(&[("busy", 1); 60]);
    queue.join(at(60), Ticket(100), request("idle", 1, at(60)));
    served(&mut queue, at(70), 40);
    for n in 0..10 {
        queue.join(at(80), Ticket(200 + n), request("idle", 1, at(80)));
    }
    let places = served(&mut queue, at(90), 8);
    let of_busy = places.iter().filter(|t| **t < 100).count();
    assert!((3..=5).contains(&of_busy), "{places:?}");
}

/// A workspace with urgent requests was given many places. Another one that begins to wait with
/// requests that are less urgent is charged for them, and gets no place before those that were given
/// none.
#[test]
fn charged_for_waiting_only() {
    let mut requests = vec![("low", 2); 20];
    requests.extend([("urgent", 0); 40]);
    let mut queue = queue_of(&requests);
    let places = served(&mut queue, at(40), 45);
    assert_eq!(places.iter().filter(|t| **t >= 20).count(), 40);
    for n in 0..10 {
        queue.join(at(50), Ticket(100 + n), request("new", 2, at(50)));
    }
    let places = served(&mut queue, at(60), 8);
    let of_new = places.iter().filter(|t| **t >= 100).count();
    assert!((3..=5).contains(&of_new), "{places:?}");
}

/// Urgent requests come as fast as places become free, and a less urgent one waits until its caller
/// gives up.
#[test]
fn none_starves() {
    let mut queue = queue_of(&[("a", 2)]);
    let mut places = Vec::new();
    for n in 1..=16 {
        let now = at(n);
        queue.join(now, Ticket(n), request("b", 0, now));
        queue.join(now, Ticket(100 + n), request("b", 0, now));
        places.extend(served(&mut queue, now, 1));
    }
    assert_eq!(places.iter().position(|t| *t == 0), Some(7), "{places:?}");
}

/// Returns the limit of the load, in hundredths, that a request of this urgency has where two kinds
/// of request compete for a service.
fn competing_limit(urgency: Urgency) -> u32 {
    let service = ServiceId::new("lector").unwrap();
    let mut reserve = Reserve::new(LoadLimits::default());
    for number in [0, 2] {
        let class = RequestClass {
            objective: OBJECTIVE,
            priority: priority(number),
            least_urgent: false,
        };
        reserve.record_request(at(1), &service, &class);
    }
    reserve.limit_for(&service, urgency)
}

/// Requests that can be on time keep servers fuller than those may fill them that yield. Each of
/// them is placed at its arrival, and no place is for the less urgent ones that wait.
#[test]
fn newcomers_starve_none() {
    let mut queue = PlaceQueue::new();
    let yielding = |arrival| WaitingRequest {
        ranking: Ranking::Fixed(Urgency::Yielding(priority(2))),
        ..request("a", 2, arrival)
    };
    for n in 0..3 {
        queue.join(at(n), Ticket(n), yielding(at(n)));
    }
    let load = 100;
    let (mut placed, mut newcomers) = (Vec::new(), 0);
    for now in (10..500).step_by(10).map(at) {
        let newcomer = Urgency::InTime(priority(0));
        assert_eq!(queue.blocks(now, newcomer), None);
        newcomers += 1;
        let mut turn = queue.overtake(now);
        turn = turn.or_else(|| queue.wake(now));
        while let Some(Turn { ticket, urgency }) = turn {
            turn = if load < competing_limit(urgency) {
                placed.push((newcomers, ticket.0));
                queue.place(now, ticket)
            } else {
                queue.put_back(now, ticket, Unplaced::AllFull)
            };
        }
    }
    assert_eq!(placed, [(7, 0), (14, 1), (21, 2)]);
}

/// Newcomers have got all places that may go ahead of the oldest request, and it looks for one only
/// when the next one becomes free.
#[test]
fn overtaken_looks_at_once() {
    let mut queue = queue_of(&[("a", 2), ("a", 0)]);
    let now = at(10);
    for _ in 0..6 {
        assert_eq!(queue.overtake(now), None);
    }
    let turn = queue.overtake(now).unwrap();
    assert_eq!(turn.ticket, Ticket(0));
    // One look is enough for what is free now.
    assert_eq!(queue.put_back(now, Ticket(0), Unplaced::AllFull), None);
    assert_eq!(queue.overtake(now), None);
    // The turn remains with the oldest until it has a place.
    assert_eq!(queue.wake(now).unwrap().ticket, Ticket(0));
    assert_eq!(queue.place(now, Ticket(0)).unwrap().ticket, Ticket(1));
}

/// The first in the queue is the oldest as well, and soon after its place the next oldest one has
/// another one ahead of urgent requests.
#[test]
fn oldest_counted_once() {
    let mut queue = queue_of(&[("a", 0), ("a", 2)]);
    for n in 2..10 {
        queue.join(at(n), Ticket(n), request("a", 0, at(n)));
    }
    let order = [0, 2, 3, 4, 5, 6, 7, 8, 1, 9];
    assert_eq!(served(&mut queue, at(10), 10), order);
}

/// The oldest request has its turn, but may fill a server less than the urgent ones before it, and
/// finds no place.
#[test]
fn oldest_takes_first_place() {
    let mut queue = queue_of(&[("a", 2)]);
    let now = at(900);
    for n in 1..=9 {
        queue.join(now, Ticket(n), request("b", 0, now));
    }
    assert_eq!(served(&mut queue, now, 7), [1, 2, 3, 4, 5, 6, 7]);
    let turn = queue.wake(now).unwrap();
    let urgency = Urgency::InTime(priority(0));
    assert_eq!((turn.ticket, turn.urgency), (Ticket(0), urgency));
}

/// Requests of an outage are kept without a bound, or an urgent one is refused for those that are
/// less urgent, or a workspace that floods the queue pushes out another one's only request.
#[test]
fn waiting_bounded() {
    let mut requests = vec![("one", 1)];
    requests.extend(vec![("flood", 1); MAX_WAITING - 1]);
    let mut queue = queue_of(&requests);
    let now = at(260);
    let joined = queue.join(now, Ticket(1_000), request("flood", 1, now));
    assert_eq!(joined, Joined::Refused);
    let joined = queue.join(now, Ticket(1_001), request("flood", 2, now));
    assert_eq!(joined, Joined::Refused);
    let youngest = Ticket(MAX_WAITING as u64 - 1);
    let joined = queue.join(now, Ticket(1_002), request("other", 1, now));
    assert_eq!(joined, Joined::Replaces(youngest));
    let joined = queue.join(now, Ticket(1_003), request("flood", 0, now));
    assert!(matches!(joined, Joined::Replaces(_)));
    assert_eq!(queue.len(), MAX_WAITING);
    assert_eq!(queue.leave(now, youngest), None);
    assert!(served(&mut queue, now, 3).contains(&0));
}

/// The caller whose request has the turn is gone, and nobody looks for the free place.
#[test]
fn gone_caller_passes_turn() {
    let mut queue = queue_of(&[("a", 0), ("a", 1), ("a", 2)]);
    let now = at(10);
    assert_eq!(queue.leave(now, Ticket(1)), None);
    let turn = queue.wake(now).unwrap();
    assert_eq!(turn.ticket, Ticket(0));
    let next = queue.leave(now, Ticket(0)).unwrap();
    assert_eq!(next.ticket, Ticket(2));
    assert_eq!(queue.leave(now, Ticket(2)), None);
    assert!(queue.is_empty());
}

/// A place becomes free, and all who wait look for it. With hundreds of them this takes the
/// processor time that the answers need.
#[test]
fn one_wake_a_place() {
    let mut queue = queue_of(&[("a", 1); 20]);
    let now = at(30);
    let mut looks = 0;
    let mut turn = queue.wake(now);
    // A second place becomes free while the first request looks, and the gateway is told twice.
    assert_eq!(queue.wake(now), None);
    assert_eq!(queue.wake(now), None);
    let mut free = 2;
    while let Some(Turn { ticket, .. }) = turn {
        looks += 1;
        turn = if free > 0 {
            free -= 1;
            queue.place(now, ticket)
        } else {
            queue.put_back(now, ticket, Unplaced::AllFull)
        };
    }
    assert_eq!((looks, queue.len()), (3, 18));
    // A place that becomes free while a request looks in vain is not missed.
    let turn = queue.wake(now).unwrap();
    assert_eq!(queue.wake(now), None);
    let again = queue.put_back(now, turn.ticket, Unplaced::AllFull);
    assert_eq!(again, Some(turn));
    assert_eq!(queue.put_back(now, turn.ticket, Unplaced::AllFull), None);
}

/// Each request that joins lets one look, as a place may have become free since it looked itself. If
/// a look in vain led to the next one, they would never end.
#[test]
fn one_look_a_join() {
    let mut queue = PlaceQueue::new();
    let mut looks = 0;
    for n in 0..10 {
        let now = at(n);
        queue.join(now, Ticket(n), request("a", 1, now));
        let mut turn = queue.wake(now);
        while let Some(Turn { ticket, .. }) = turn {
            looks += 1;
            turn = queue.put_back(now, ticket, Unplaced::AllFull);
        }
    }
    assert_eq!((looks, queue.len()), (10, 10));
}

/// A request whose retries are used up is first in the queue, and no other looks for a place, or it
/// looks again for each place that becomes free.
#[test]
fn spent_passes_turn() {
    let mut queue = queue_of(&[("a", 0), ("a", 1), ("a", 2)]);
    let now = at(10);
    let turn = queue.wake(now).unwrap();
    let next = queue.pass(now, turn.ticket).unwrap();
    assert_eq!(next.ticket, Ticket(1));
    assert_eq!(queue.pass(now, next.ticket).unwrap().ticket, Ticket(2));
    assert_eq!(queue.put_back(now, Ticket(2), Unplaced::AllFull), None);
    let urgency = |number| Urgency::InTime(priority(number));
    assert_eq!(queue.blocks(now, urgency(1)), None);
    assert!(queue.blocks(now, urgency(2)).is_some());
    let spent = WaitingRequest {
        unplaced: Unplaced::Spent,
        ..request("a", 0, now)
    };
    queue.join(now, Ticket(3), spent);
    assert_eq!(queue.blocks(now, urgency(1)), None);
    let turn = queue.wake(now).unwrap();
    assert_eq!(turn.ticket, Ticket(2));
    queue.put_back(now, turn.ticket, Unplaced::AllFull);
    assert_eq!(queue.wake(at(70)).unwrap().ticket, Ticket(0));
}

/// A gateway keeps a share for each workspace that ever waited.
#[test]
fn shares_forgotten() {
    let mut queue = queue_of(&[("a", 0), ("b", 0)]);
    assert_eq!(served(&mut queue, at(10), 2), [0, 1]);
    queue.forget(at(4_000));
    assert!(!queue.is_idle());
    queue.forget(at(5_010));
    assert!(queue.is_idle());
}

/// Whether each request leaves a queue once that does these steps.
fn check_each_leaves_once(steps: Vec<(u8, u8)>) -> bool {
    let mut queue = PlaceQueue::new();
    let (mut holder, mut waiting) = (None::<Ticket>, Vec::new());
    for (n, (step, which)) in steps.into_iter().enumerate() {
        let now = at(10 * n as u64);
        let turn = match (step % 6, holder) {
            (0 | 1, _) => {
                let ticket = Ticket(n as u64);
                let workspace = ["a", "b", "c"][usize::from(which % 3)];
                queue.join(now, ticket, request(workspace, which % 4, now));
                waiting.push(ticket);
                None
            }
            (2, Some(ticket)) => {
                holder = None;
                waiting.retain(|t| *t != ticket);
                queue.place(now, ticket)
            }
            (3, Some(ticket)) => {
                holder = None;
                queue.put_back(now, ticket, Unplaced::AllFull)
            }
            (4, Some(ticket)) => {
                holder = None;
                queue.pass(now, ticket)
            }
            (5, _) if !waiting.is_empty() => {
                let ticket = waiting.swap_remove(usize::from(which) % waiting.len());
                holder = holder.filter(|h| *h != ticket);
                queue.leave(now, ticket)
            }
            _ => queue.wake(now),
        };
        if let Some(turn) = turn {
            if holder.is_some() || !waiting.contains(&turn.ticket) {
                return false;
            }
            holder = Some(turn.ticket);
        }
        if queue.len() != waiting.len() {
            return false;
        }
    }
    let now = at(1_000_000);
    if let Some(ticket) = holder {
        queue.put_back(now, ticket, Unplaced::AllFull);
    }
    let count = waiting.len();
    served(&mut queue, now, count).len() == count && queue.is_empty()
}

quickcheck! {
    /// A request is lost or has the turn twice, whatever the order of events is: each that joins leaves
    /// the queue once, and one at most has the turn.
    fn each_leaves_once(steps: Vec<(u8, u8)>) -> bool {
        check_each_leaves_once(steps)
    }
}
