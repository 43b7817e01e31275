//! Servers that fail far more requests than others, by what one gateway saw and by what it was told.

mod common;

use std::collections::BTreeMap;

use common::{announced, at, choose, choose_by, has_free_slot, id};
use quickcheck::quickcheck;
use snipemast_core::prelude::*;
use snipemast_placement::choice::{AnnouncedServer, Constraints};
use snipemast_placement::cold::GatewayCounts;
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::outcomes::{Outcomes, MAX_REPORTED};
use snipemast_placement::servers::FailingServers;
use snipemast_placement::{AnswerResult, ServerFault, Servers, Suspect, Urgency};

const START: Incarnation = Incarnation(1);

fn servers(all: Vec<AnnouncedServer>) -> Servers {
    let mut servers = Servers::new(ZoneId::new("a").unwrap())
        .with_failing(FailingServers::Shared)
        .with_seed(3);
    servers.set_announced(Moment::ZERO, all);
    servers
}

fn suspect(number: usize, outlier: Option<u32>) -> Suspect {
    Suspect {
        server: id(number),
        start: START,
        outlier,
    }
}

/// Chooses servers for many requests that end at once, and counts them.
fn spread(servers: &mut Servers, now: Moment) -> BTreeMap<ServerId, u32> {
    let mut counts = BTreeMap::new();
    for chance in 0..400 {
        let choice = choose_by(servers, now, chance).unwrap();
        servers.release(&choice.server, START);
        *counts.entry(choice.server).or_insert(0) += 1;
    }
    counts
}

/// Guards against a server that fails 4 in 10 of its requests and is never ejected, because it
/// rarely fails three times in a row.
#[test]
fn failing_part_noticed() {
    let mut servers = servers((1..=6).map(announced).collect());
    for n in 0..20 {
        let now = at(100 * n);
        for server in 1..=6 {
            servers.record_outcome(now, &id(server), START, AnswerResult::Good);
        }
        if n % 3 != 0 {
            servers.record_fault(now, &id(2), START, ServerFault::Failed);
            servers.record_success(&id(2), START);
        }
    }
    let counts = spread(&mut servers, at(2_100));
    assert!(counts.get(&id(2)).copied().unwrap_or(0) <= 2, "{counts:?}");
}

/// Guards against a healthy server that is left out for an error now and then, which one in three
/// hundred answers is.
#[test]
fn rare_errors_tolerated() {
    let mut servers = servers((1..=3).map(announced).collect());
    for n in 0..=500 {
        let now = at(10 * n);
        servers.record_outcome(now, &id(1), START, AnswerResult::Good);
        if n % 100 == 0 {
            servers.record_outcome(now, &id(1), START, AnswerResult::Failed);
        }
    }
    let counts = spread(&mut servers, at(5_010));
    assert!(counts[&id(1)] > 80, "{counts:?}");
}

/// Guards against a healthy server that is left out for what isn't its fault: callers with little
/// time, refusals while it is full, and lost connections.
#[test]
fn other_faults_ignored() {
    let mut servers = servers((1..=3).map(announced).collect());
    for fault in [
        ServerFault::Late,
        ServerFault::Full,
        ServerFault::Unreachable,
    ] {
        for _ in 0..2 {
            servers.record_fault(at(0), &id(1), START, fault);
            servers.record_success(&id(1), START);
        }
    }
    spread(&mut servers, at(10));
    assert!(!servers.is_failing(&id(1)));
    for _ in 0..2 {
        servers.record_fault(at(20), &id(1), START, ServerFault::Broken);
        servers.record_success(&id(1), START);
    }
    spread(&mut servers, at(200));
    assert!(servers.is_failing(&id(1)));
}

/// Guards against a zone or group that is put out as a whole because its path or one of its ranks is
/// lost: its servers are well, and the others can't run all requests.
#[test]
fn whole_part_stays() {
    let zone = |number: usize| AnnouncedServer {
        zone: ZoneId::new(if number <= 3 { "b" } else { "a" }).unwrap(),
        ..announced(number)
    };
    let group = |number: usize| {
        let mut server = announced(number);
        let name = if number <= 3 { "g-1" } else { "g-2" };
        server.pool.group = Some(GroupId::new(name).unwrap());
        server
    };
    for all in [
        (1..=9).map(zone).collect::<Vec<_>>(),
        (1..=9).map(group).collect(),
    ] {
        let mut servers = servers(all);
        for server in [1, 2, 3, 1, 2, 3, 1, 2, 3] {
            servers.record_outcome(at(0), &id(server), START, AnswerResult::Failed);
        }
        spread(&mut servers, at(10));
        assert!((1..=9).all(|n| !servers.is_failing(&id(n))));
        // A single server of the part fails: the rest of it is well.
        let later = at(30_000);
        for server in [2, 2, 2] {
            servers.record_outcome(later, &id(server), START, AnswerResult::Failed);
        }
        spread(&mut servers, later);
        assert!(servers.is_failing(&id(2)));
    }
}

/// Guards against a server that is well again and gets no requests, because nothing shows it.
#[test]
fn well_server_returns() {
    let mut servers = servers((1..=4).map(announced).collect());
    for _ in 0..10 {
        servers.record_outcome(at(0), &id(1), START, AnswerResult::Failed);
    }
    spread(&mut servers, at(100));
    assert!(servers.is_failing(&id(1)));
    let mut back = None;
    for step in 1..100 {
        let now = at(100 + 100 * step);
        let choice = choose_by(&mut servers, now, step).unwrap();
        servers.release(&choice.server, START);
        servers.record_outcome(now, &choice.server, START, AnswerResult::Good);
        if !servers.is_failing(&id(1)) {
            back = Some(step);
            break;
        }
    }
    let tenths = back.expect("the server is never used again");
    assert!(tenths <= 50, "left out for {tenths} tenths of a second");
    // What it got while it was left out were a few trials.
    let counts = spread(&mut servers, at(20_000));
    assert!(counts[&id(1)] > 50, "{counts:?}");
}

/// Guards against gateways that all try a failing server at the same moment or too often: each
/// trial may fail a caller's request.
#[test]
fn trials_are_few() {
    let mut trials = Vec::new();
    for seed in 0..40 {
        let mut servers = Servers::new(ZoneId::new("a").unwrap())
            .with_failing(FailingServers::Shared)
            .with_seed(seed);
        servers.set_announced(Moment::ZERO, (1..=4).map(announced).collect());
        servers.observe_gateways(GatewayCounts { all: 40, local: 40 });
        for step in 0..200 {
            let now = at(50 * step);
            servers.set_suspects(now, vec![suspect(1, Some(100))]);
            let choice = choose_by(&mut servers, now, step).unwrap();
            servers.release(&choice.server, START);
            if choice.server == id(1) {
                trials.push(step / 20);
            }
        }
    }
    let busiest = (0..10).map(|second| trials.iter().filter(|s| **s == second).count());
    assert!(trials.len() >= 4 && trials.len() <= 20, "{trials:?}");
    assert!(busiest.max().unwrap() <= 5, "{trials:?}");
}

/// Guards against a request that fails at one outlier and is sent to the next one, and against
/// places at a server that fails a part only that stay empty while all others are full.
#[test]
fn full_others_spill() {
    let mut servers = servers((1..=5).map(announced).collect());
    servers.set_suspects(at(0), vec![suspect(1, Some(50)), suspect(2, Some(100))]);
    let free = |servers: &mut Servers| choose_by(servers, at(10), 5).map(|c| c.server);
    for _ in 0..18 {
        assert!(![id(1), id(2)].contains(&free(&mut servers).unwrap()));
    }
    assert!(!has_free_slot(&servers, at(10)));
    let (service, allowed) = (
        announced(1).pool.service,
        AllowedPools::AllExcept(Vec::new()),
    );
    let retry = Constraints {
        service: &service,
        allowed: &allowed,
        excluded: &[id(3)],
    };
    assert!(servers
        .choose(at(10), retry, Urgency::default(), 1)
        .is_err());
    // Half of its places, since every second answer fails.
    for _ in 0..3 {
        assert_eq!(free(&mut servers), Ok(id(1)));
    }
    assert!(free(&mut servers).is_err());
}

/// Guards against news that hold a server out for good, because the leader is lost, or the server
/// has started again.
#[test]
fn old_news_end() {
    let mut servers = servers((1..=4).map(announced).collect());
    let changes = servers.set_suspects(at(0), vec![suspect(1, Some(100)), suspect(2, None)]);
    assert_eq!(changes.put_out, [(id(1), 100)]);
    spread(&mut servers, at(900));
    assert!(servers.is_failing(&id(1)) && !servers.is_failing(&id(2)));
    spread(&mut servers, at(1_100));
    assert!(!servers.is_failing(&id(1)));
    let restarted = AnnouncedServer {
        start: Incarnation(2),
        ..announced(1)
    };
    let others = (2..=4).map(announced);
    servers.set_announced(at(2_000), others.chain([restarted]).collect());
    servers.set_suspects(at(2_000), vec![suspect(1, Some(100))]);
    assert!(!servers.is_failing(&id(1)));
    let changes = servers.set_suspects(at(2_100), Vec::new());
    assert_eq!(changes.taken_back, [id(1)]);
}

/// Guards against a gateway whose own path is ill and that reports most servers as failing, and
/// against reports that grow with the number of servers.
#[test]
fn reports_are_bounded() {
    let mut outcomes = Outcomes::default();
    for server in 0..600 {
        outcomes.record(at(0), &id(server), START, AnswerResult::Failed);
    }
    assert!(outcomes.report(at(10), &[]).is_empty());
    let asked = outcomes.report(at(10), &[suspect(1, None)]);
    assert_eq!((asked.len(), asked[0].failed), (1, 0));
    for server in 600..1_300 {
        outcomes.record(at(0), &id(server), START, AnswerResult::Good);
    }
    outcomes.record(at(0), &id(77), START, AnswerResult::Failed);
    let report = outcomes.report(at(10), &[]);
    assert_eq!((report.len(), &report[0].server), (MAX_REPORTED, &id(77)));
    outcomes.forget(at(60_000));
    assert!(outcomes.report(at(60_000), &[suspect(1, None)])[0].failed == 0);
}

quickcheck! {
    /// Whatever is recorded and told, at most half of a service's servers are left out, and a choice
    /// finds a server.
    fn half_stays(failures: Vec<(u8, bool)>, told: Vec<u8>) -> bool {
        let mut servers = servers((0..9).map(announced).collect());
        for (server, good) in failures {
            let ended = if good { AnswerResult::Good } else { AnswerResult::Failed };
            servers.record_outcome(at(0), &id(usize::from(server % 9)), START, ended);
        }
        let told = told.into_iter().map(|n| suspect(usize::from(n % 9), Some(100)));
        servers.set_suspects(at(0), told.collect());
        let found = choose(&mut servers, at(200)).is_ok();
        let left_out = (0..9).filter(|n| servers.is_failing(&id(*n))).count();
        found && 2 * left_out <= 9
    }
}

/// The leader's news of failing servers keep requests from them, although the gateway's settings
/// say that each gateway judges alone.
#[test]
fn alone_ignores_news() {
    let all = (1..=4).map(announced).collect();
    let mut servers: Servers = Servers::new(ZoneId::new("a").unwrap());
    servers.set_announced(Moment::ZERO, all);
    let changes = servers.set_suspects(at(0), vec![suspect(1, Some(90))]);
    assert_eq!(changes, Default::default());
    assert!(!servers.is_failing(&id(1)));
    servers.record_outcome(at(0), &id(1), START, AnswerResult::Failed);
    assert!(servers.report_outcomes(at(10)).is_empty());
}
