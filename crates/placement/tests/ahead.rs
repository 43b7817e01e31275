//! Tests of how many requests are said to wait before another one.

use snipemast_core::prelude::*;
use snipemast_placement::choice::Unplaced;
use snipemast_placement::queue::{Ranking, Ticket, WaitingRequest};
use snipemast_placement::{PlaceQueue, RequestPriority, Urgency};

/// The log says of a request that waited that it was behind others that were less urgent, or not
/// that one was before it that is as urgent.
#[test]
fn as_urgent_counted() {
    let priority = |route| RequestPriority::new(None, Priority::new(route));
    let (now, mut queue) = (Moment::default(), PlaceQueue::new());
    let urgencies = [
        Urgency::Resumed,
        Urgency::InTime(priority(0)),
        Urgency::InTime(priority(2)),
        Urgency::Yielding(priority(0)),
        Urgency::Late(priority(0)),
    ];
    for (number, urgency) in (0..).zip(urgencies) {
        let request = WaitingRequest {
            workspace: None,
            ranking: Ranking::Fixed(urgency),
            arrival: now,
            unplaced: Unplaced::AllFull,
        };
        queue.join(now, Ticket(number), request);
    }
    let ahead = |urgency| queue.count_ahead(now, urgency);
    assert_eq!(urgencies.map(ahead), [1, 2, 3, 4, 5]);
    assert_eq!(ahead(Urgency::InTime(priority(1))), 2);
    assert_eq!(ahead(Urgency::Late(priority(9))), 5);
}
