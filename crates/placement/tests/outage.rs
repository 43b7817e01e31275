//! What becomes of requests while a service is out.

use snipemast_core::prelude::*;
use snipemast_placement::outage::{
    waiting, AllowedPools, Blocked, Outages, Waiting, Word, LONGEST, PROBE, SERVED,
};
use snipemast_placement::pools::{Forming, Pool};

const WHOLE: Span = Span::from_secs(8);

fn pool(group: Option<&str>) -> Pool {
    Pool {
        service: ServiceId::new("lector").unwrap(),
        group: group.map(|group| GroupId::new(group).unwrap()),
    }
}

fn forming(epoch: u64, goes_on: bool) -> Forming {
    Forming {
        epoch: GroupIncarnation(epoch),
        goes_on,
    }
}

fn blocked(left: Span, waited: Span) -> Blocked {
    Blocked {
        left,
        waited,
        whole: WHOLE,
        needed: SERVED,
    }
}

/// A user's reading is refused twice within a second and given up, although its group is back four
/// seconds later: a rank crashes, all ranks refuse, and each refusal says to come back at once. Plays
/// an outage of `outage` ms over callers that come back once; the share that is answered.
fn answered(outage: u64) -> f64 {
    let arrivals = (0..outage).step_by(10);
    let total = arrivals.clone().count() as f64;
    let served = arrivals.filter(|at| is_answered(*at, outage));
    served.count() as f64 / total
}

fn is_answered(at: u64, outage: u64) -> bool {
    let deadline = at + WHOLE.as_millis();
    let mut now = at;
    for _ in 0..2 {
        let mut waited = 0;
        loop {
            let left = Span::from_millis(deadline.saturating_sub(now));
            match waiting(&blocked(left, Span::from_millis(waited))) {
                Waiting::Queue(span) => {
                    let end = (now + span.as_millis()).min(outage.max(now));
                    waited += end - now;
                    now = end;
                }
                Waiting::RetryLater(span) => {
                    now += span.as_millis();
                    break;
                }
                Waiting::Refuse => return false,
            }
            if now >= outage {
                return now + SERVED.as_millis() <= deadline;
            }
        }
        if now >= outage {
            return now + SERVED.as_millis() <= deadline;
        }
    }
    false
}

/// Every request of an outage of five seconds is answered, late, and most of one of six. With 0.3 s to
/// come back after each refusal it was the last 0.3 s of an outage only: 0.15 of two seconds, 0.05 of
/// six; with a first attempt that comes back at once 0.68 of six.
#[test]
fn outage_waited_out() {
    assert!(answered(2_000) > 0.99, "{}", answered(2_000));
    assert!(answered(4_000) > 0.99, "{}", answered(4_000));
    assert!(answered(5_200) > 0.99, "{}", answered(5_200));
    assert!(answered(6_000) > 0.85, "{}", answered(6_000));
}

/// Nobody waits for longer than callers bear with a stream that shows nothing.
#[test]
fn patience_bounded() {
    let left = Span::from_secs(5);
    assert_eq!(
        waiting(&blocked(left, Span::default())),
        Waiting::Queue(LONGEST)
    );
    let after = Span::from_micros(left.as_micros() - LONGEST.as_micros());
    assert_eq!(waiting(&blocked(after, LONGEST)), Waiting::Refuse);
}

/// A first attempt waits, and comes back after that.
#[test]
fn first_waits() {
    let first = blocked(WHOLE, Span::default());
    assert_eq!(waiting(&first), Waiting::Queue(LONGEST));
    let waited = blocked(Span::from_millis(6_400), LONGEST);
    assert!(matches!(waiting(&waited), Waiting::RetryLater(_)));
}

/// One request at a time finds out whether the service is back.
#[test]
fn one_probe() {
    let mut outages = Outages::new();
    let (pools, now) = ([pool(None)], Moment::from_millis(10_000));
    let open = || AllowedPools::AllExcept(Vec::new());
    assert_eq!(outages.gate(now, &pools), open());
    assert!(outages.note_out(now, &pools[0]));
    assert_eq!(outages.gate(now, &pools), AllowedPools::NoPool);
    let later = now + PROBE;
    assert_eq!(outages.gate(later, &pools), AllowedPools::Probe(pool(None)));
    assert_eq!(outages.gate(later, &pools), AllowedPools::NoPool);
    assert!(outages.note_open(&pools[0]));
    assert_eq!(outages.gate(later, &pools), open());
}

/// A user's reading waits for a group that has lost a rank although another one of its service is open: requests go to
/// the open one, an answer from there opens only that, and the other is looked at now and then.
#[test]
fn other_group_stays_open() {
    let mut outages = Outages::new();
    let (pools, now) = (
        [pool(Some("g0")), pool(Some("g1"))],
        Moment::from_millis(10_000),
    );
    outages.note_out(now, &pools[0]);
    let others = AllowedPools::AllExcept(vec![pool(Some("g0"))]);
    assert!(others.holds(&pools[1]) && !others.holds(&pools[0]));
    assert_eq!(outages.gate(now + PROBE, &pools), others);
    assert!(!outages.note_open(&pools[1]));
    assert_eq!(outages.gate(now + PROBE, &pools), others);
    let later = now + Span::from_secs(6);
    assert_eq!(
        outages.gate(later, &pools),
        AllowedPools::Probe(pool(Some("g0")))
    );
    outages.note_out(now, &pools[1]);
    assert_eq!(outages.gate(now, &pools), AllowedPools::NoPool);
}

/// A user's reading waits half a second longer than its group is out, or is sent into it again at once: the ranks tell
/// that they go on in the forming that refused, a moment before they know. Only a later forming opens it.
#[test]
fn told_by_ranks() {
    let mut outages = Outages::new();
    let (pools, now) = ([pool(Some("g0"))], Moment::from_millis(10_000));
    let told = |outages: &mut Outages, epoch, goes_on| {
        outages.note_told(now, &pools[0], forming(epoch, goes_on))
    };
    assert_eq!(told(&mut outages, 1, true), None);
    assert_eq!(told(&mut outages, 1, false), Some(Word::Stalled));
    assert_eq!(outages.gate(now, &pools), AllowedPools::NoPool);
    assert_eq!(told(&mut outages, 1, true), Some(Word::GoesOn));
    assert!(outages.note_out(now, &pools[0]));
    assert_eq!(told(&mut outages, 1, true), None);
    assert_eq!(outages.gate(now, &pools), AllowedPools::NoPool);
    assert_eq!(told(&mut outages, 2, true), Some(Word::GoesOn));
    assert_eq!(
        outages.gate(now, &pools),
        AllowedPools::AllExcept(Vec::new())
    );
}

/// A user's reading is refused although its group answers others: its ranks told that they had stalled, no later word of
/// them comes through, and each piece of other news brings the old one again. An answer outweighs it.
#[test]
fn old_word_counts_once() {
    let mut outages = Outages::new();
    let (pool, now) = (pool(Some("g0")), Moment::from_millis(10_000));
    let stalled = forming(1, false);
    assert_eq!(outages.note_told(now, &pool, stalled), Some(Word::Stalled));
    assert!(outages.note_open(&pool));
    assert_eq!(outages.note_told(now, &pool, stalled), None);
    assert_eq!(
        outages.gate(now, &[pool]),
        AllowedPools::AllExcept(Vec::new())
    );
}

/// A request that has no time left to be answered is refused at once.
#[test]
fn too_late_given_up() {
    assert_eq!(waiting(&blocked(SERVED, Span::default())), Waiting::Refuse);
}
