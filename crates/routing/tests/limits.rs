//! Limits of workspaces and their split among entries.

mod common;

use common::{seeded, workspace, CALM};
use quickcheck::QuickCheck;
use snipemast_config::document::Limits;
use snipemast_core::prelude::*;
use snipemast_routing::{Demands, LimitShare, Limiter, Reason, Topic, Wanted, WishPolicy, Wishes};

const WHOLE: LimitShare = LimitShare {
    share: 1.0,
    concurrency: None,
};

fn entry(n: usize) -> ProcessId {
    let host = format!("entry-{n}").parse().expect("a name");
    ProcessId::new(host, Incarnation::new(1))
}

fn topic() -> Topic {
    Topic::workspace(&workspace("w"))
}

fn secs(n: u64) -> Moment {
    CALM + Span::from_secs(n)
}

/// Entries that ask for so much a second, and have told each other so for some time.
fn entries(rates: &[f64], until: u64) -> Vec<Demands> {
    let mut all: Vec<_> = (0..rates.len()).map(|n| Demands::new(entry(n))).collect();
    for second in 0..until {
        exchange(&mut all, rates, second, |_, _| true);
    }
    all
}

fn exchange(all: &mut [Demands], rates: &[f64], second: u64, hears: impl Fn(usize, usize) -> bool) {
    let now = secs(second);
    for (demands, rate) in all.iter_mut().zip(rates) {
        demands.record(now, topic(), *rate);
    }
    let told: Vec<_> = all.iter_mut().map(|d| d.next_summary(now)).collect();
    for (n, demands) in all.iter_mut().enumerate() {
        for (from, summary) in told.iter().enumerate() {
            if hears(n, from) {
                demands.merge(now, summary);
            }
        }
        demands.set_aside_silent(now);
    }
}

fn sum(all: &[Demands], second: u64) -> f64 {
    all.iter().map(|d| d.share(secs(second), topic())).sum()
}

#[test]
fn shares_sum_up() {
    // Shares of one limit sum up to it, whatever the demands: a little under, never over.
    fn property(rates: Vec<u16>, whole: u16) -> bool {
        let rates: Vec<f64> = rates.iter().take(12).map(|r| f64::from(r % 500)).collect();
        if rates.is_empty() {
            return true;
        }
        let all = entries(&rates, 12);
        let total = sum(&all, 11);
        let parts: u32 = all.iter().map(|d| d.allot(topic(), whole.into())).sum();
        total <= 1.0 + 1e-6 && total > 0.8 && parts == u32::from(whole)
    }
    let mut check = QuickCheck::new().rng(seeded(3));
    check.quickcheck(property as fn(Vec<u16>, u16) -> bool);
}

#[test]
fn share_follows() {
    let all = entries(&[90.0, 10.0], 12);
    let share = all[0].share(secs(11), topic());
    assert!((0.8..0.9).contains(&share), "{share}");
}

#[test]
fn rise_waits() {
    // Demand jumps from one entry to another. Were the one to take its new share before the
    // other has heard of it, both would let in their old and new parts together.
    let mut all = entries(&[100.0, 1.0, 1.0], 12);
    for second in 12..24 {
        exchange(&mut all, &[1.0, 100.0, 100.0], second, |_, _| true);
        let total = sum(&all, second);
        assert!(total <= 1.05, "{total} after {} s", second - 12);
    }
    assert!(all[1].share(secs(23), topic()) > 0.3);
}

#[test]
fn cut_off_zone() {
    // A partition cuts two entries off from four, and callers crowd onto the two. Each side hears
    // nothing of the other; were each to split the whole limit, the fleet would let in twice it.
    let mut all = entries(&[10.0; 6], 12);
    let mut rates = [10.0; 6];
    rates[..2].fill(100.0);
    for second in 12..60 {
        exchange(&mut all, &rates, second, |a, b| (a < 2) == (b < 2));
        let total = sum(&all, second);
        assert!(total <= 1.05, "{total} after {} s", second - 12);
    }
    // It heals: the split follows the demand again.
    for second in 60..72 {
        exchange(&mut all, &rates, second, |_, _| true);
    }
    assert!(all[0].share(secs(71), topic()) > 0.35);
}

#[test]
fn uneven_silence() {
    // The last words of a zone that is cut off arrive at different times, so its entries count as
    // silent one after the other. The part of each is of the whole, not of what the ones before
    // it left over.
    let mut all = entries(&[10.0; 6], 12);
    for second in 12..40 {
        let rates = [if second < 16 { 10.0 } else { 100.0 }; 6];
        let hears = |a: usize, b: usize| (a < 2) == (b < 2) || second < 12 + b as u64 % 4;
        exchange(&mut all, &rates, second, hears);
        let total = sum(&all, second);
        assert!(total <= 1.05, "{total} after {} s", second - 12);
    }
}

#[test]
fn death_gives_back() {
    // An entry dies. Its part must not be lost for good once membership knows.
    let mut all = entries(&[50.0, 50.0], 12);
    for second in 12..30 {
        exchange(&mut all, &[50.0, 0.0], second, |a, b| a == b);
    }
    assert!(all[0].share(secs(29), topic()) < 0.6);
    all[0].forget(&entry(1).host);
    for second in 30..33 {
        exchange(&mut all[..1], &[50.0], second, |_, _| true);
    }
    assert!(all[0].share(secs(32), topic()) > 0.95);
}

#[test]
fn old_summary() {
    // A summary that was overtaken, or an earlier incarnation's, brings an old demand back.
    let mut here = Demands::new(entry(0));
    let mut there = Demands::new(entry(1));
    there.record(CALM, topic(), 1_000.0);
    let old = there.next_summary(CALM);
    let new = there.next_summary(secs(60));
    here.merge(CALM, &new);
    here.merge(CALM, &old);
    assert_eq!(here.total(CALM, topic()), 0.0);
}

#[test]
fn rate_kept() {
    let limits = Limits {
        requests: Some(Rate::per_second(50)),
        ..Limits::default()
    };
    let mut limiter = Limiter::new();
    let admitted = (0..10_000_u64)
        .filter(|n| {
            let now = CALM + Span::from_millis(*n);
            limiter
                .admit(now, &workspace("w"), &limits, WHOLE, 1.0)
                .is_ok()
        })
        .count();
    assert!((500..=506).contains(&admitted), "{admitted}");
}

#[test]
fn truthful_retry() {
    // A caller that comes back when it was told to is let in.
    let limits = Limits {
        requests: Some(Rate::per_second(2)),
        tokens: Some(Rate::per_second(100)),
        ..Limits::default()
    };
    let mut limiter = Limiter::new();
    let mut now = CALM;
    for _ in 0..20 {
        let outcome = limiter.admit(now, &workspace("w"), &limits, WHOLE, 40.0);
        if let Err(refusal) = outcome {
            now = now + refusal.retry;
            // Another limit may hold it back then, but not the same for the same reason.
            let again = limiter.admit(now, &workspace("w"), &limits, WHOLE, 40.0);
            assert!(again.is_ok_and(|()| true) || again.is_err_and(|r| r.reason != refusal.reason));
        }
    }
}

#[test]
fn refused_uncharged() {
    // Requests that are refused for one limit must not use up another: their tokens were never
    // generated, and the workspace would pay for them with its next requests.
    let limits = Limits {
        requests: Some(Rate::per_second(2)),
        tokens: Some(Rate::per_second(90)),
        ..Limits::default()
    };
    let mut limiter = Limiter::new();
    let mut admit = |now, tokens| limiter.admit(now, &workspace("w"), &limits, WHOLE, tokens);
    assert!(admit(CALM, 1.0).is_ok());
    let soon = CALM + Span::from_millis(100);
    assert!(admit(soon, 200.0).is_err_and(|r| r.reason == Reason::Requests));
    assert_eq!(admit(CALM + Span::from_millis(600), 1.0), Ok(()));
}

#[test]
fn in_flight_bound() {
    let limits = Limits::default();
    let part = LimitShare {
        share: 1.0,
        concurrency: Some(2),
    };
    let mut limiter = Limiter::new();
    let admit = |limiter: &mut Limiter| limiter.admit(CALM, &workspace("w"), &limits, part, 1.0);
    assert!(admit(&mut limiter).is_ok() && admit(&mut limiter).is_ok());
    assert_eq!(
        admit(&mut limiter).map_err(|r| r.reason),
        Err(Reason::Concurrency)
    );
    limiter.finish(CALM, &workspace("w"), 1.0, 1.0);
    assert!(admit(&mut limiter).is_ok());
}

#[test]
fn load_wished() {
    // A model is asked for that nothing has loaded. Its callers are told at once how long a load
    // is likely to take, and control is asked for no more loads than the platform takes.
    let wanted = |n: usize| Wanted::Model {
        model: format!("m-{n}").parse().expect("a name"),
        version: "1".into(),
        adapter: None,
    };
    let policy = WishPolicy {
        at_once: 2,
        ..WishPolicy::default()
    };
    let mut wishes = Wishes::new(policy);
    for n in 0..5 {
        let refusal = wishes.record_request(secs(n as u64), &wanted(n));
        assert_eq!(refusal.reason, Reason::Unloaded);
    }
    let orders: Vec<_> = wishes
        .due_loads(secs(5))
        .into_iter()
        .map(|w| w.wanted)
        .collect();
    assert_eq!(orders, [wanted(0), wanted(1)]);
    assert_eq!(
        wishes.record_request(secs(20), &wanted(0)).retry,
        Span::from_secs(40)
    );
    wishes.mark_loaded(&wanted(0));
    assert_eq!(wishes.due_loads(secs(20))[0].wanted, wanted(1));
    assert!(wishes.due_loads(secs(1_000)).is_empty());
}
