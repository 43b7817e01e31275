//! Tests of requests during an outage of a service.

use snipemast_core::prelude::*;
use snipemast_placement::outage::{
    decline, defer, longest_wait, AllowedPools, BlockedRequest, Deferral, Outages, ReportedChange,
    DEFAULT_STREAM_TIME, PROBE_INTERVAL,
};
use snipemast_placement::pools::{GroupState, Pool};

const TIMEOUT: Span = Span::from_secs(8);

/// The longest wait of a route with an objective of 400 ms and a promised pause of 120 ms.
const MAX_QUEUE_TIME: Span = Span::from_millis(1_600);

fn pool(group: Option<&str>) -> Pool {
    Pool {
        service: ServiceId::new("lector").unwrap(),
        group: group.map(|group| GroupId::new(group).unwrap()),
    }
}

fn group_state(epoch: u64, running: bool) -> GroupState {
    GroupState {
        epoch: GroupIncarnation(epoch),
        running,
    }
}

fn blocked(left: Span, waited: Span) -> BlockedRequest {
    BlockedRequest {
        left,
        waited,
        timeout: TIMEOUT,
        answer_time: DEFAULT_STREAM_TIME,
        longest_wait: longest_wait(Span::from_millis(400), Some(Span::from_millis(120))),
    }
}

/// Returns the share of callers that are answered in an outage of `outage` ms, if each comes back
/// once.
///
/// The failure: a rank crashes, all ranks refuse, and each refusal says to come back at once. A
/// request is refused twice within a second, and its caller gives up although the group is back
/// four seconds later.
fn answered(outage: u64) -> f64 {
    let arrivals = (0..outage).step_by(10);
    let total = arrivals.clone().count() as f64;
    let served = arrivals.filter(|at| is_answered(*at, outage));
    served.count() as f64 / total
}

fn is_answered(at: u64, outage: u64) -> bool {
    let deadline = at + TIMEOUT.as_millis();
    let mut now = at;
    for _ in 0..2 {
        let mut waited = 0;
        loop {
            let left = Span::from_millis(deadline.saturating_sub(now));
            match defer(&blocked(left, Span::from_millis(waited))) {
                Deferral::Queue(span) => {
                    let end = (now + span.as_millis()).min(outage.max(now));
                    waited += end - now;
                    now = end;
                }
                Deferral::RetryLater(span) => {
                    now += span.as_millis();
                    break;
                }
                Deferral::Refuse => return false,
            }
            if now >= outage {
                return now + DEFAULT_STREAM_TIME.as_millis() <= deadline;
            }
        }
        if now >= outage {
            return now + DEFAULT_STREAM_TIME.as_millis() <= deadline;
        }
    }
    false
}

/// Every request of an outage of five seconds is answered late, and so are most of an outage of
/// six. With 0.3 s to come back after each refusal, only requests of the last 0.3 s of an outage
/// were answered: 0.15 of two seconds, 0.05 of six. With a first attempt that comes back at once,
/// it was 0.68 of six.
#[test]
fn outage_waited_out() {
    assert!(answered(2_000) > 0.99, "{}", answered(2_000));
    assert!(answered(4_000) > 0.99, "{}", answered(4_000));
    assert!(answered(5_200) > 0.99, "{}", answered(5_200));
    assert!(answered(6_000) > 0.85, "{}", answered(6_000));
}

/// A request waits longer than callers tolerate a stream that shows nothing.
#[test]
fn queueing_bounded() {
    let left = Span::from_secs(5);
    assert_eq!(
        defer(&blocked(left, Span::default())),
        Deferral::Queue(MAX_QUEUE_TIME)
    );
    let after = Span::from_micros(left.as_micros() - MAX_QUEUE_TIME.as_micros());
    assert_eq!(defer(&blocked(after, MAX_QUEUE_TIME)), Deferral::Refuse);
}

/// The callers of a route whose answers may begin after a second wait for 4 s. They are refused
/// after 1.6 s, although a place would have become free in time.
#[test]
fn patient_callers_wait() {
    let ms = Span::from_millis;
    assert_eq!(longest_wait(ms(1_000), None), ms(3_600));
    assert_eq!(longest_wait(ms(400), Some(ms(400))), ms(2_800));
    assert_eq!(longest_wait(ms(500), Some(ms(250))), MAX_QUEUE_TIME);
    assert_eq!(longest_wait(Span::default(), None), MAX_QUEUE_TIME);
    let patient = BlockedRequest {
        longest_wait: longest_wait(ms(1_000), Some(ms(120))),
        ..blocked(ms(6_400), MAX_QUEUE_TIME)
    };
    assert_eq!(defer(&patient), Deferral::Queue(ms(2_000)));
}

/// A first attempt is refused without waiting, or does not come back after waiting.
#[test]
fn first_attempt_waits() {
    let first = blocked(TIMEOUT, Span::default());
    assert_eq!(defer(&first), Deferral::Queue(MAX_QUEUE_TIME));
    let waited = blocked(Span::from_millis(6_400), MAX_QUEUE_TIME);
    assert!(matches!(defer(&waited), Deferral::RetryLater(_)));
}

/// A full queue refuses a request that came back already, and its caller is told to come back after a
/// third of its time, when it can't be answered any more; or a first attempt is told to come back at
/// once, while the queue is full.
#[test]
fn declined_by_attempt() {
    let ms = Span::from_millis;
    let first = blocked(ms(7_500), ms(300));
    assert_eq!(decline(&first), Deferral::RetryLater(ms(2_500)));
    let again = blocked(ms(4_500), ms(300));
    assert_eq!(decline(&again), Deferral::Refuse);
    // Both could wait if the queue had room.
    for request in [first, again] {
        assert!(matches!(defer(&request), Deferral::Queue(_)));
    }
}

/// Many requests probe a service that is out at the same time.
#[test]
fn one_probe() {
    let mut outages = Outages::new();
    let (pools, now) = ([pool(None)], Moment::from_millis(10_000));
    let open = || AllowedPools::AllExcept(Vec::new());
    assert_eq!(outages.allowed_pools(now, &pools), open());
    assert!(outages.mark_out(now, &pools[0]));
    assert_eq!(outages.allowed_pools(now, &pools), AllowedPools::NoPool);
    let later = now + PROBE_INTERVAL;
    assert_eq!(
        outages.allowed_pools(later, &pools),
        AllowedPools::Probe(pool(None))
    );
    assert_eq!(outages.allowed_pools(later, &pools), AllowedPools::NoPool);
    assert!(outages.mark_open(&pools[0]));
    assert_eq!(outages.allowed_pools(later, &pools), open());
}

/// A request without a retry left is let through as the probe and can't be sent, and all others
/// wait half a second for the next probe, which the same request gets again.
#[test]
fn unsent_probe_returned() {
    let mut outages = Outages::new();
    let (pools, now) = (
        [pool(Some("g0")), pool(Some("g1"))],
        Moment::from_millis(10_000),
    );
    let probe = AllowedPools::Probe(pools[0].clone());
    outages.mark_out(now, &pools[0]);
    // With and without another pool that is open.
    let later = now + Span::from_secs(6);
    for asked in [&pools[..], &pools[..1]] {
        for _ in 0..2 {
            assert_eq!(outages.allowed_pools(later, asked), probe);
            outages.return_probe(&pools[0]);
        }
    }
    assert_eq!(outages.allowed_pools(later, &pools[..1]), probe);
    let next = outages.allowed_pools(later, &pools[..1]);
    assert_eq!(next, AllowedPools::NoPool);
    // A pool that refused again meanwhile is not probed sooner.
    outages.mark_out(later, &pools[0]);
    outages.return_probe(&pools[0]);
    let next = outages.allowed_pools(later, &pools[..1]);
    assert_eq!(next, AllowedPools::NoPool);
}

/// No server of the probed pool takes a request, and it looks for the same pool again without an
/// end. Each pool that is out is probed once, and then the request goes where one is open.
#[test]
fn vain_probes_end() {
    let mut outages = Outages::new();
    let pools = ["g0", "g1", "g2"].map(|group| pool(Some(group)));
    let now = Moment::from_millis(10_000);
    outages.mark_out(now, &pools[0]);
    outages.mark_out(now, &pools[1]);
    let later = now + Span::from_secs(6);
    let mut looks = || outages.allowed_pools(later, &pools);
    assert_eq!(looks(), AllowedPools::Probe(pools[0].clone()));
    assert_eq!(looks(), AllowedPools::Probe(pools[1].clone()));
    let others = AllowedPools::AllExcept(pools[..2].to_vec());
    assert_eq!(looks(), others);
    outages.mark_out(later, &pools[2]);
    let mut looks = || outages.allowed_pools(later + PROBE_INTERVAL, &pools);
    for pool in &pools {
        assert_eq!(looks(), AllowedPools::Probe(pool.clone()));
    }
    assert_eq!(looks(), AllowedPools::NoPool);
}

/// A request waits for a group that lost a rank although another group of its service is open.
/// Requests must go to the open group, an answer from it opens only that group, and the other one
/// is probed now and then.
#[test]
fn other_group_stays_open() {
    let mut outages = Outages::new();
    let (pools, now) = (
        [pool(Some("g0")), pool(Some("g1"))],
        Moment::from_millis(10_000),
    );
    outages.mark_out(now, &pools[0]);
    let others = AllowedPools::AllExcept(vec![pool(Some("g0"))]);
    assert!(others.allows(&pools[1]) && !others.allows(&pools[0]));
    assert_eq!(outages.allowed_pools(now + PROBE_INTERVAL, &pools), others);
    assert!(!outages.mark_open(&pools[1]));
    assert_eq!(outages.allowed_pools(now + PROBE_INTERVAL, &pools), others);
    let later = now + Span::from_secs(6);
    assert_eq!(
        outages.allowed_pools(later, &pools),
        AllowedPools::Probe(pool(Some("g0")))
    );
    outages.mark_out(now, &pools[1]);
    assert_eq!(outages.allowed_pools(now, &pools), AllowedPools::NoPool);
}

/// A request waits half a second longer than its group is out, or is sent into the outage again at
/// once, because the ranks still report the epoch that refused as running. Only a later epoch opens
/// the group.
#[test]
fn reported_by_ranks() {
    let mut outages = Outages::new();
    let (pools, now) = ([pool(Some("g0"))], Moment::from_millis(10_000));
    let report = |outages: &mut Outages, epoch, running| {
        outages.apply_report(now, &pools[0], group_state(epoch, running))
    };
    assert_eq!(report(&mut outages, 1, true), None);
    assert_eq!(
        report(&mut outages, 1, false),
        Some(ReportedChange::Stalled)
    );
    assert_eq!(outages.allowed_pools(now, &pools), AllowedPools::NoPool);
    assert_eq!(report(&mut outages, 1, true), Some(ReportedChange::Resumed));
    assert!(outages.mark_out(now, &pools[0]));
    assert_eq!(report(&mut outages, 1, true), None);
    assert_eq!(outages.allowed_pools(now, &pools), AllowedPools::NoPool);
    assert_eq!(report(&mut outages, 2, true), Some(ReportedChange::Resumed));
    assert_eq!(
        outages.allowed_pools(now, &pools),
        AllowedPools::AllExcept(Vec::new())
    );
}

/// A request is refused although its group answers others: the ranks reported a stall, newer
/// reports don't come through, and other news repeats the old one. An answer outweighs the old
/// report.
#[test]
fn old_report_ignored() {
    let mut outages = Outages::new();
    let (pool, now) = (pool(Some("g0")), Moment::from_millis(10_000));
    let stalled = group_state(1, false);
    assert_eq!(
        outages.apply_report(now, &pool, stalled),
        Some(ReportedChange::Stalled)
    );
    assert!(outages.mark_open(&pool));
    assert_eq!(outages.apply_report(now, &pool, stalled), None);
    assert_eq!(
        outages.allowed_pools(now, &[pool]),
        AllowedPools::AllExcept(Vec::new())
    );
}

/// A request waits although it has no time left to be answered.
#[test]
fn late_request_refused() {
    assert_eq!(
        defer(&blocked(DEFAULT_STREAM_TIME, Span::default())),
        Deferral::Refuse
    );
}
