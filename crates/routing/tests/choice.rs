//! The choice of a server.

mod common;

use common::{facts, host, router, service, CALM};
use quickcheck::{QuickCheck, TestResult};
use snipemast_core::prelude::*;
use snipemast_routing::{Choice, NoServer, Proximity, Query, Router, Subset, Wanted};

fn choose(router: &mut Router, now: Moment, wanted: &Wanted) -> Result<Choice, NoServer> {
    router.choose(now, &Query::new(wanted))
}

/// Sends some requests and counts them by server.
fn spread(router: &mut Router, now: Moment, wanted: &Wanted, count: usize) -> Vec<usize> {
    let mut counts = Vec::new();
    for _ in 0..count {
        let choice = choose(router, now, wanted).expect("a server is there");
        let agent = router
            .agent(choice.server)
            .expect("it has an agent")
            .clone();
        let number: usize = agent.host.as_str()[5..].parse().expect("a number");
        counts.resize(counts.len().max(number + 1), 0);
        counts[number] += 1;
        router.record_sent(now, choice.server);
    }
    counts
}

#[test]
fn never_unfit() {
    // A caller sees its request refused, or an answer in another model's voice: the server that
    // it went to was leaving, or never had what was asked for. Any mix of servers must do.
    fn property(draining: u16, offering: u16, able: u16, tried: u16) -> TestResult {
        let mut router = router();
        let wanted = service("a");
        for n in 0..12 {
            let bit = |bits: u16| bits >> n & 1 == 1;
            let mut facts = facts(n, if bit(offering) { "a" } else { "b" });
            facts.draining = bit(draining);
            facts.info.capabilities.resume = bit(able);
            router.upsert(CALM, facts, false);
        }
        let tried: Vec<_> = (0..12)
            .filter(|n| tried >> n & 1 == 1)
            .map(|n| facts(n, "a").agent)
            .collect();
        let needs = Capabilities {
            resume: true,
            ..Capabilities::default()
        };
        let query = Query::new(&wanted).with_needs(needs).with_tried(&tried);
        let fits = |n: u16| {
            let is = |bits: u16| bits >> n & 1 == 1;
            !is(draining)
                && is(offering)
                && is(able)
                && !tried.contains(&facts(n as usize, "a").agent)
        };
        for _ in 0..20 {
            match router.choose(CALM, &query) {
                Ok(choice) => {
                    let agent = router.agent(choice.server).expect("it has an agent");
                    if !(0..12).any(|n| fits(n) && facts(n as usize, "a").agent == *agent) {
                        return TestResult::failed();
                    }
                }
                Err(_) if (0..12).any(fits) => return TestResult::failed(),
                Err(_) => {}
            }
        }
        TestResult::passed()
    }
    let mut check = QuickCheck::new().tests(300).rng(common::seeded(5));
    check.quickcheck(property as fn(u16, u16, u16, u16) -> TestResult);
}

#[test]
fn unknown_offer() {
    let mut router = router();
    router.upsert(CALM, facts(0, "a"), false);
    assert_eq!(
        choose(&mut router, CALM, &service("b")),
        Err(NoServer::Unloaded)
    );
}

#[test]
fn adapter_version() {
    let mut router = router();
    let wanted = |version: &str, adapter: Option<&str>| Wanted::Model {
        model: "m".parse().expect("a name"),
        version: version.into(),
        adapter: adapter.map(|a| a.parse().expect("a name")),
    };
    let mut facts = facts(0, "a");
    facts.info.offers = vec![Offer::Model {
        model: "m".parse().expect("a name"),
        version: "2".into(),
        adapters: vec!["x".parse().expect("a name")],
    }];
    router.upsert(CALM, facts, false);
    assert!(choose(&mut router, CALM, &wanted("2", None)).is_ok());
    assert!(choose(&mut router, CALM, &wanted("2", Some("x"))).is_ok());
    assert!(choose(&mut router, CALM, &wanted("1", None)).is_err());
    assert!(choose(&mut router, CALM, &wanted("2", Some("y"))).is_err());
}

#[test]
fn own_requests_count() {
    // One server gets a burst while the others idle: its last report said that it was idle, and
    // what was sent since did not count.
    let mut router = router();
    for n in 0..4 {
        router.upsert(CALM, facts(n, "a"), false);
    }
    let report = LoadReport {
        age: Span::from_millis(500),
        ..LoadReport::default()
    };
    for n in 0..4 {
        router.record_load(CALM, &host(n), &report);
    }
    let counts = spread(&mut router, CALM, &service("a"), 40);
    assert!(counts.iter().all(|&c| (7..=13).contains(&c)), "{counts:?}");
}

#[test]
fn old_report() {
    // Reports come by two ways. The slow way brings an old idle picture after the fast one has
    // said that the server is full, and requests pile up on the full server.
    let mut router = router();
    for n in 0..2 {
        router.upsert(CALM, facts(n, "a"), false);
    }
    let full = LoadReport {
        running: 32,
        waiting: 40,
        ..LoadReport::default()
    };
    router.record_load(CALM, &host(0), &full);
    let idle = LoadReport {
        age: Span::from_secs(1),
        ..LoadReport::default()
    };
    router.record_load(CALM, &host(0), &idle);
    router.record_load(CALM, &host(1), &LoadReport::default());
    let counts = spread(&mut router, CALM, &service("a"), 20);
    assert_eq!(counts[0], 0);
}

#[test]
fn ended_not_counted_twice() {
    // A server's report counts requests of one's own that have ended since; counted on, a server
    // that works fast would look full for as long as reports lag.
    let mut router = router();
    let slot = router.upsert(CALM, facts(0, "a"), false);
    let sent = CALM;
    for _ in 0..10 {
        router.record_sent(sent, slot);
    }
    let agent = facts(0, "a").agent;
    let later = sent + Span::from_millis(600);
    for _ in 0..10 {
        router.record_end(later, slot, &agent, snipemast_routing::RequestEnd::Answered);
    }
    let report = LoadReport {
        running: 10,
        age: Span::from_millis(400),
        ..LoadReport::default()
    };
    router.record_load(later, &host(0), &report);
    let choice = choose(&mut router, later, &service("a")).expect("a server is there");
    assert!(choice.load < 0.01, "{}", choice.load);
}

#[test]
fn prompt_step() {
    // One step that took in a long prompt is twice as long. Taken at its word, every server that
    // has just begun a request looks slow, and waits grow twentyfold.
    let mut router = router();
    for n in 0..3 {
        router.upsert(CALM, facts(n, "a"), false);
        let step = Span::from_millis(if n == 0 { 12 } else { 8 });
        let report = LoadReport {
            running: 16,
            step,
            ..LoadReport::default()
        };
        router.record_load(CALM, &host(n), &report);
    }
    let counts = spread(&mut router, CALM, &service("a"), 30);
    assert!(counts[0] >= 6, "{counts:?}");
}

#[test]
fn slow_group() {
    // A group steps as slowly as its slowest rank: a fast rank of a slow group is no better.
    let mut router = router();
    for n in 0..4 {
        let mut facts = facts(n, "a");
        let group = if n < 2 { "slow" } else { "fast" };
        let rank = Rank {
            group: group.parse().expect("a name"),
            number: n as u32 % 2,
        };
        facts.info.rank = Some(rank);
        router.upsert(CALM, facts, false);
        let step = Span::from_millis(if n == 0 { 40 } else { 8 });
        let report = LoadReport {
            running: 10,
            step,
            ..LoadReport::default()
        };
        router.record_load(CALM, &host(n), &report);
    }
    let counts = spread(&mut router, CALM, &service("a"), 30);
    assert!(counts[0] + counts[1] < 8, "{counts:?}");
}

#[test]
fn subset_counts() {
    // At 350 entries before 600 servers no entry may hold connections to all, and every server
    // must still be in as many subsets as any other, or some are full while others idle.
    let mut counts = [0; 600];
    for entry in 0..350 {
        let mut list: Vec<u32> = (0..600).collect();
        Subset::new(entry, 24).narrow(&mut list);
        assert_eq!(list.len(), 24);
        list.iter().for_each(|s| counts[*s as usize] += 1);
    }
    assert_eq!(
        (counts.iter().min(), counts.iter().max()),
        (Some(&14), Some(&14))
    );
}

#[test]
fn zone_first() {
    let mut router = router();
    for n in 0..6 {
        let mut facts = facts(n, "a");
        facts.zone = if n < 2 { "near" } else { "other" }
            .parse()
            .expect("a name");
        router.upsert(CALM, facts, false);
    }
    let counts = spread(&mut router, CALM, &service("a"), 8);
    assert_eq!(counts[2..].iter().sum::<usize>(), 0);
}

#[test]
fn spill_and_back() {
    // Own servers fill up while another zone idles; then they empty slowly. With one bound, all
    // requests would jump between the zones each time that the load crosses it.
    let mut router = router();
    for n in 0..4 {
        let mut facts = facts(n, "a");
        facts.zone = if n < 2 { "near" } else { "other" }
            .parse()
            .expect("a name");
        router.upsert(CALM, facts, false);
    }
    let mut now = CALM;
    let mut near_at = |running: u32| {
        now = now + Span::from_secs(1);
        for n in 0..4 {
            let running = if n < 2 { running } else { 0 };
            router.record_load(
                now,
                &host(n),
                &LoadReport {
                    running,
                    ..LoadReport::default()
                },
            );
        }
        let choice = choose(&mut router, now, &service("a")).expect("a server is there");
        choice.proximity
    };
    assert_eq!(near_at(24), Proximity::Zone);
    assert_eq!(near_at(30), Proximity::Region);
    assert_eq!(near_at(24), Proximity::Region);
    assert_eq!(near_at(20), Proximity::Zone);
}

#[test]
fn cut_off() {
    // A zone is cut off and membership doubts every server, its own too. Refusing all until the
    // doubt is settled would turn a partition into an outage of what still works.
    let mut router = router();
    for n in 0..3 {
        router.upsert(CALM, facts(n, "a"), false);
        router.set_suspect(&host(n), true);
    }
    assert!(choose(&mut router, CALM, &service("a")).is_ok());
    router.set_suspect(&host(1), false);
    let counts = spread(&mut router, CALM, &service("a"), 10);
    assert_eq!(counts[1], 10);
}
