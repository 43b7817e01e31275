//! The limits of workspaces and their split among entries.

mod common;

use std::collections::BTreeMap;

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

/// Returns entries with these demands per second, which have exchanged summaries for some time.
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
    // The shares of a limit must add up to it for any demands: a little less, but never more.
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
fn rising_demand_waits() {
    // Demand moves from one entry to others. If those took their new shares before the first knows
    // of it, the entries would together admit more than the limit.
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
    // A partition cuts two entries off from four, and most callers go to the two. If each side
    // split the whole limit among its own entries, the fleet would admit twice the limit.
    let mut all = entries(&[10.0; 6], 12);
    let mut rates = [10.0; 6];
    rates[..2].fill(100.0);
    for second in 12..60 {
        exchange(&mut all, &rates, second, |a, b| (a < 2) == (b < 2));
        let total = sum(&all, second);
        assert!(total <= 1.05, "{total} after {} s", second - 12);
    }
    // The partition heals, and the split follows the demand again.
    for second in 60..72 {
        exchange(&mut all, &rates, second, |_, _| true);
    }
    assert!(all[0].share(secs(71), topic()) > 0.35);
}

#[test]
fn uneven_silence() {
    // The last summaries of a zone that is cut off arrive at different times, so its entries count
    // as silent one after the other. The share that is set aside for each must be of the whole
    // limit, and not of what the earlier ones left.
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
fn dead_share_returned() {
    // An entry dies. Once membership knows, its share must go to the others and not be lost.
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
    // An old summary arrives after a later one. It must not restore the old demand.
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
fn retry_time_holds() {
    // A caller that retries after the time that it was told must be admitted.
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
            // Another limit may refuse it then, but not the same one again.
            let again = limiter.admit(now, &workspace("w"), &limits, WHOLE, 40.0);
            assert!(again.is_ok_and(|()| true) || again.is_err_and(|r| r.reason != refusal.reason));
        }
    }
}

#[test]
fn refused_uncharged() {
    // A request that is refused for one limit must not use up another one. Its tokens were never
    // generated, and the workspace's next requests would pay for them.
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

/// Guards against a process whose memory grows with every workspace that it has ever served: after a quiet time only the
/// workspaces with requests in flight are left, and forgetting one changes no decision.
#[test]
fn idle_accounts_forgotten() {
    fn property(steps: Vec<(u8, u8, bool)>) -> bool {
        let limits = Limits {
            requests: Some(Rate::per_second(2)),
            tokens: Some(Rate::per_second(90)),
            ..Limits::default()
        };
        let (mut kept, mut limiter) = (Limiter::new(), Limiter::new());
        let mut now = CALM;
        let mut running: BTreeMap<WorkspaceId, u32> = BTreeMap::new();
        for (name, millis, ends) in steps {
            now = now + Span::from_millis(u64::from(millis) * 8);
            let id = workspace(&format!("w-{name}"));
            let count = running.entry(id.clone()).or_default();
            if ends && *count > 0 {
                *count -= 1;
                kept.finish(now, &id, 20.0, 20.0);
                limiter.finish(now, &id, 20.0, 20.0);
            } else {
                let expected = kept.admit(now, &id, &limits, WHOLE, 20.0);
                let verdict = limiter.admit(now, &id, &limits, WHOLE, 20.0);
                if verdict.is_ok() != expected.is_ok() {
                    return false;
                }
                match verdict {
                    Ok(()) => *count += 1,
                    Err(refusal) => drop(limiter.record_refusal(now, &id, refusal)),
                }
            }
            limiter.forget_idle(now);
        }
        limiter.forget_idle(now + Span::from_secs(3_600));
        let alive = running.values().filter(|count| **count > 0).count();
        limiter.account_count() == alive
    }
    let mut check = QuickCheck::new().rng(seeded(5));
    check.quickcheck(property as fn(Vec<(u8, u8, bool)>) -> bool);
}

#[test]
fn load_requested() {
    // A model is requested that no server has loaded. Its callers must be told at once how long a
    // load is likely to take, and no more loads may be requested than the platform allows.
    let wanted = |n: usize| Wanted::Model {
        model: format!("m-{n}").parse().expect("a name"),
        version: "1".into(),
        adapter: None,
    };
    let policy = WishPolicy {
        max_loads: 2,
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
