//! Servers that fail far more requests than others, by what many gateways report to the leader.

use snipemast_core::hash::{fraction, mix};
use snipemast_core::prelude::*;
use snipemast_placement::choice::{AnnouncedServer, Constraints};
use snipemast_placement::cold::GatewayCounts;
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::servers::FailingServers;
use snipemast_placement::{
    AnswerResult, OutcomeCount, Pool, ServerFault, Servers, Suspect, Urgency,
};
use snipemast_registry::outcomes::{Placed, MAX_SUSPECTS};
use snipemast_registry::{Poll, PollerKind, Pollers};

const START: Incarnation = Incarnation(1);
const ZONES: usize = 6;

fn at(millis: u64) -> Moment {
    Moment::from_millis(50_000 + millis)
}

fn id(number: usize) -> ServerId {
    ServerId::new(format!("i-{number}")).unwrap()
}

fn host(number: usize) -> HostId {
    HostId::new(format!("host-{number}")).unwrap()
}

fn service() -> ServiceId {
    ServiceId::new("lector").unwrap()
}

fn zone(number: usize) -> ZoneId {
    ZoneId::new(format!("z-{}", number % ZONES)).unwrap()
}

fn placed(count: usize) -> Vec<Placed> {
    let placed = (0..count).map(|number| Placed {
        server: id(number),
        start: START,
        service: service(),
        zone: zone(number),
        group: None,
    });
    placed.collect()
}

fn count(number: usize, good: u32, failed: u32) -> OutcomeCount {
    OutcomeCount {
        server: id(number),
        start: START,
        good,
        failed,
        quiet: 0,
    }
}

fn report(from: usize, outcomes: Vec<OutcomeCount>) -> Poll {
    Poll {
        outcomes,
        ..Poll::new(host(from), PollerKind::Gateway)
    }
}

fn outliers(pollers: &mut Pollers, now: Moment, servers: usize) -> Vec<ServerId> {
    let suspects = pollers.suspects(now, || placed(servers));
    let out = suspects.into_iter().filter(|s| s.outlier.is_some());
    out.map(|s| s.server).collect()
}

/// Guards against one gateway whose own path fails and that ejects servers for all.
#[test]
fn one_reporter_ignored() {
    let mut pollers = Pollers::default();
    let failures = || (0..5).map(|n| count(n, 0, 900)).collect();
    pollers.record(at(0), &report(0, failures()));
    for gateway in 1..4 {
        pollers.record(at(0), &report(gateway, Vec::new()));
    }
    assert!(pollers.suspects(at(10), || placed(40)).is_empty());
    pollers.record(at(20), &report(1, failures()));
    assert_eq!(outliers(&mut pollers, at(100), 40).len(), 5);
}

/// Guards against an ejected server whose good answers were not reported yet.
#[test]
fn good_answers_awaited() {
    let mut pollers = Pollers::default();
    for gateway in 0..10 {
        let failed = u32::from(gateway < 2) * 100;
        let own = if failed > 0 {
            vec![count(7, 0, failed)]
        } else {
            Vec::new()
        };
        pollers.record(at(0), &report(gateway, own));
    }
    let suspects = pollers.suspects(at(10), || placed(40));
    assert_eq!((suspects.len(), suspects[0].outlier), (1, None));
    for gateway in 2..10 {
        pollers.record(at(100), &report(gateway, vec![count(7, 300, 0)]));
    }
    assert!(pollers.suspects(at(200), || placed(40)).is_empty());
}

/// Guards against a repeated poll that counts twice, and a leader that goes by what it knew before it was suspended.
#[test]
fn polls_replace() {
    let mut pollers = Pollers::default();
    for _ in 0..9 {
        pollers.record(at(0), &report(0, vec![count(3, 0, 60)]));
        pollers.record(at(0), &report(1, vec![count(3, 0, 60)]));
    }
    assert!(pollers.suspects(at(10), || placed(40)).is_empty());
    for gateway in 0..2 {
        pollers.record(at(100), &report(gateway, vec![count(3, 0, 160)]));
    }
    assert_eq!(outliers(&mut pollers, at(200), 40), [id(3)]);
    // A leader that was suspended has no report that is new enough; nor has a new one.
    assert!(pollers.suspects(at(1_300), || placed(40)).is_empty());
    assert!(Pollers::default().suspects(at(0), || placed(40)).is_empty());
    // A gateway that restarts replaces what it had reported.
    for gateway in 0..2 {
        pollers.record(at(2_000), &report(gateway, vec![count(3, 0, 160)]));
    }
    pollers.record(at(2_010), &report(1, Vec::new()));
    assert!(outliers(&mut pollers, at(2_100), 40).is_empty());
}

/// Guards against a zone that is ejected as a whole because the path to it is lost.
#[test]
fn whole_zone_kept() {
    let mut pollers = Pollers::default();
    let in_zone = |n: &usize| n % ZONES == 2;
    for gateway in 0..10 {
        let lost = (0..36).filter(in_zone).map(|n| count(n, 20, 100));
        pollers.record(at(0), &report(gateway, lost.collect()));
    }
    assert!(outliers(&mut pollers, at(100), 36).is_empty());
}

/// Guards against answers that grow with the number of failing servers.
#[test]
fn updates_bounded() {
    let mut pollers = Pollers::default();
    for gateway in 0..3 {
        let failures = (0..1_000).map(|n| count(n, 0, 100)).collect();
        pollers.record(at(0), &report(gateway, failures));
    }
    let suspects = pollers.suspects(at(10), || placed(1_000));
    assert_eq!(suspects.len(), MAX_SUSPECTS);
    let bytes = rmp_serde::to_vec_named(&suspects).unwrap().len();
    assert!(bytes < 2_500, "{bytes} bytes");

    let mut old = serde_json::to_value(report(0, vec![count(1, 0, 9)])).unwrap();
    assert!(old.as_object_mut().unwrap().remove("outcomes").is_some());
    let read: Poll = serde_json::from_value(old).unwrap();
    assert!(read.outcomes.is_empty());
}

const GATEWAYS: usize = 40;
const SERVERS: usize = 72;

/// The time of a step of the simulation, between two polls, and of a request at a healthy server, in
/// milliseconds.
const STEP: u64 = 10;
const POLL: u64 = 70;
const TOOK: u64 = 600;

/// When all servers are healthy again, in milliseconds.
const HEALTHY_FROM: u64 = 7_000;

/// The sends in one second of the simulation.
#[derive(Debug, Clone, Copy, Default)]
struct Second {
    sends: u32,
    /// Those that failed.
    failed: u32,
    /// Those to the servers that fail at first.
    to_failing: u32,
}

/// 40 gateways before 72 servers. At first 7 servers fail everything, and 10 servers 39 in 100.
struct Simulation {
    gateways: Vec<Servers>,
    pollers: Pollers,
    running: Vec<(u64, usize, ServerId)>,
    seconds: Vec<Second>,
    chance: u64,
}

fn announced(number: usize) -> AnnouncedServer {
    AnnouncedServer {
        server: id(number),
        start: START,
        pool: Pool {
            service: service(),
            group: None,
        },
        address: ([10, 0, 0, number as u8], 80).into(),
        zone: zone(number * 5),
        slots: 4,
        leaving_since: None,
        cold_until: Moment::ZERO,
    }
}

impl Simulation {
    fn new() -> Self {
        let gateway = |number: usize| {
            let mut servers = Servers::new(zone(number))
                .with_failing(FailingServers::Shared)
                .with_seed(number as u64);
            servers.set_announced(Moment::ZERO, (0..SERVERS).map(announced).collect());
            let (all, local) = (GATEWAYS as u32, 7);
            servers.observe_gateways(GatewayCounts { all, local });
            servers
        };
        Self {
            gateways: (0..GATEWAYS).map(gateway).collect(),
            pollers: Pollers::default(),
            running: Vec::new(),
            seconds: vec![Second::default(); 16],
            chance: 1,
        }
    }

    fn draw(&mut self) -> f64 {
        self.chance = mix(self.chance);
        fraction(self.chance)
    }

    /// Runs 16 s, and returns what was sent in each second.
    fn run(mut self, shared: bool) -> Vec<Second> {
        for millis in (0..16_000).step_by(STEP as usize) {
            self.end_requests(millis);
            for gateway in 0..GATEWAYS {
                if (millis / STEP + gateway as u64).is_multiple_of(POLL / STEP) {
                    self.poll(millis, gateway, shared);
                }
                // Five requests a second at each gateway.
                if self.draw() < 0.05 {
                    self.place(millis, gateway);
                }
            }
        }
        self.seconds
    }

    fn end_requests(&mut self, millis: u64) {
        let ended = self.running.extract_if(.., |(end, _, _)| *end <= millis);
        for (_, gateway, server) in ended {
            let servers = &mut self.gateways[gateway];
            servers.release(&server, START);
            servers.record_success(&server, START);
            servers.record_outcome(at(millis), &server, START, AnswerResult::Good);
        }
    }

    fn poll(&mut self, millis: u64, gateway: usize, shared: bool) {
        let (now, servers) = (at(millis), &mut self.gateways[gateway]);
        let in_flight = servers.in_flight().map(|(s, c)| (s.clone(), c)).collect();
        let poll = Poll {
            in_flight,
            ..report(gateway, servers.report_outcomes(now))
        };
        self.pollers.record(now, &poll);
        let (counts, age) = self.pollers.in_flight(now, &host(gateway));
        servers.set_other_counts(now, age, counts.into_iter());
        if shared {
            let suspects: Vec<Suspect> = self.pollers.suspects(now, || placed(SERVERS));
            servers.set_suspects(now, suspects);
        }
    }

    /// Sends a request to three servers at most.
    fn place(&mut self, millis: u64, gateway: usize) {
        let allowed = AllowedPools::AllExcept(Vec::new());
        let mut excluded = Vec::new();
        for _ in 0..3 {
            let chance = self.draw().to_bits();
            let constraints = Constraints {
                service: &service(),
                allowed: &allowed,
                excluded: &excluded,
            };
            let (now, servers) = (at(millis), &mut self.gateways[gateway]);
            let chosen = servers.choose(now, constraints, Urgency::default(), chance);
            let Ok(choice) = chosen else { return };
            let number: usize = choice.server.as_str()[2..].parse().unwrap();
            let fails = match number {
                _ if millis >= HEALTHY_FROM => false,
                0..7 => true,
                7..17 => self.draw() < 0.39,
                _ => false,
            };
            let second = &mut self.seconds[(millis / 1_000) as usize];
            second.sends += 1;
            second.failed += u32::from(fails);
            second.to_failing += u32::from(number < 17);
            if !fails {
                self.running.push((millis + TOOK, gateway, choice.server));
                return;
            }
            let servers = &mut self.gateways[gateway];
            servers.release(&choice.server, START);
            servers.record_fault(now, &choice.server, START, ServerFault::Failed);
            excluded.push(choice.server);
        }
    }
}

/// Guards against servers that fail at once, look idle and draw a large part of all requests.
#[test]
fn fast_failures_left_out() {
    let sum = |seconds: &[Second], part: fn(&Second) -> u32| seconds.iter().map(part).sum::<u32>();
    let alone = Simulation::new().run(false);
    let seconds = Simulation::new().run(true);
    let (failing, healthy) = (2..7, 13..16);
    let failed = |seconds: &[Second]| sum(&seconds[failing.clone()], |s| s.failed);
    let sends = sum(&seconds[failing.clone()], |s| s.sends);
    let (before, after) = (failed(&alone), failed(&seconds));
    println!("{before} failed alone, {after} of {sends} shared: {seconds:?}");
    assert!(2 * after < before, "{after} of {before}");
    assert!(100 * after < 8 * sends, "{after} of {sends}");
    let to_failing = sum(&seconds[healthy.clone()], |s| s.to_failing);
    let usual = sum(&seconds[healthy], |s| s.sends) * 17 / SERVERS as u32;
    assert!(4 * to_failing > 3 * usual, "{to_failing} of {usual}");
}
