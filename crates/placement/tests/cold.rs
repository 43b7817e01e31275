//! Simulates what all gateways together send to servers that are cold, without a network.

mod common;

use common::{announced, at, choose, choose_by, has_free_slot, id};
use snipemast_core::hash::{fraction, index_below, mix};
use snipemast_core::prelude::*;
use snipemast_placement::choice::{AnnouncedServer, Unplaced};
use snipemast_placement::cold::GatewayCounts;
use snipemast_placement::Servers;

/// How many requests a second a cold server tolerates.
const COLD_RATE: f64 = 18.0;

/// The most requests that a cold server may get in any second.
const MAX_IN_SECOND: usize = 32;

/// The interval between two exchanges of counts between gateways, which also is their age.
const EXCHANGE: Span = Span::from_millis(500);

/// How long a request is in flight.
const DURATION: Span = Span::from_millis(1_500);

/// The numbers of gateways: from a small deployment to twice a large one.
const SIZES: [u32; 6] = [9, 40, 74, 149, 431, 862];

fn service() -> ServiceId {
    announced(1).pool.service
}

fn zone(number: usize) -> ZoneId {
    ZoneId::new(["a", "b", "c"][number % 3]).unwrap()
}

/// Returns a server of one of three zones.
fn server(number: usize) -> AnnouncedServer {
    AnnouncedServer {
        zone: zone(number),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 80).into(),
        slots: 10,
        ..announced(number)
    }
}

/// Returns a gateway's view of these servers.
fn gateway(number: u32, gateways: u32, servers: &[AnnouncedServer]) -> Servers {
    let seed = mix(u64::from(number) + 1_000);
    let mut view = Servers::new(zone(number as usize))
        .with_seed(seed)
        .with_heartbeat(Span::from_millis(1_200));
    let rate = Rate::from_per_second(COLD_RATE).unwrap();
    view.set_cold_rates([(service(), rate)].into());
    view.observe_gateways(GatewayCounts {
        all: gateways,
        local: gateways.div_ceil(3),
    });
    view.set_announced(at(0), servers.to_vec());
    view
}

/// Returns the most moments within any second. The moments are in order.
fn max_in_second(sent: &[Moment]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, moment) in sent.iter().enumerate() {
        while sent[first] + Span::from_secs(1) <= *moment {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

/// Guards against a cold server that crashes under the requests of gateways that all look for a server at the same
/// time: of all gateways at every moment, or after a pause in which each could have saved up turns. A third of them
/// reaches no leader, which makes no difference.
#[test]
fn cold_rate_held() {
    for gateways in SIZES {
        for pause in [0, 3_000] {
            let cold = AnnouncedServer {
                cold_until: at(20_000),
                ..server(1)
            };
            let mut views: Vec<Servers> = (0..gateways)
                .map(|number| gateway(number, gateways, std::slice::from_ref(&cold)))
                .collect();
            let mut sent = Vec::new();
            for millis in (pause..pause + 12_000).step_by(20) {
                for view in &mut views {
                    if let Ok(choice) = choose_by(view, at(millis), millis) {
                        view.release(&choice.server, Incarnation(1));
                        sent.push(at(millis));
                    }
                }
            }
            let most = max_in_second(&sent);
            assert!(
                most <= MAX_IN_SECOND,
                "{gateways} gateways, {pause}: {most}"
            );
            let used = sent.len() as f64 / 12.0;
            assert!(
                used >= COLD_RATE / 4.0,
                "{gateways} gateways: {used} a second"
            );
        }
    }
}

/// The requests that reach the servers of a zone that comes back.
struct Return {
    /// The most requests that one of its servers got in any second of the time in which it is cold.
    most: usize,
    /// How long after the return its servers get half of their fair share.
    half_share: Span,
}

/// Plays the return of zone `a`: `gateways` gateways send requests at such a rate that each server gets `load` a
/// second on average, and have counts of each other's that are up to 0.5 s old.
fn play_return(gateways: u32, servers: usize, load: f64, limited: bool) -> Return {
    const STEP: u64 = 10;
    const RETURN: u64 = 4_000;
    const COLD: u64 = 3_000;
    let all: Vec<AnnouncedServer> = (1..=servers).map(server).collect();
    let is_back = |id: &ServerId| all.iter().any(|s| s.server == *id && s.zone == zone(0));
    let mut views: Vec<Servers> = (0..gateways).map(|n| gateway(n, gateways, &all)).collect();
    if !limited {
        for view in &mut views {
            view.set_cold_rates(Default::default());
        }
    }
    for view in &mut views {
        view.set_evacuated(at(0), [zone(0)].into());
    }
    let mut in_flight: Vec<(Moment, usize, ServerId)> = Vec::new();
    let mut sent: Vec<(Moment, ServerId)> = Vec::new();
    let per_step = load * servers as f64 * STEP as f64 / 1e3;
    let mut chance = 1;
    for millis in (0..RETURN + COLD).step_by(STEP as usize) {
        let now = at(millis);
        if millis == RETURN {
            let cold: Vec<AnnouncedServer> = all
                .iter()
                .map(|s| AnnouncedServer {
                    cold_until: if s.zone == zone(0) {
                        at(RETURN + COLD)
                    } else {
                        Moment::ZERO
                    },
                    ..s.clone()
                })
                .collect();
            for view in &mut views {
                view.set_announced(now, cold.clone());
                view.set_evacuated(now, Default::default());
            }
        }
        in_flight.retain(|(end, number, server)| {
            let ended = now >= *end;
            if ended {
                views[*number].release(server, Incarnation(1));
            }
            !ended
        });
        if millis % EXCHANGE.as_millis() == 0 {
            let mut counts = std::collections::BTreeMap::<ServerId, u32>::new();
            for (_, _, server) in &in_flight {
                *counts.entry(server.clone()).or_default() += 1;
            }
            for view in &mut views {
                view.set_other_counts(now, Span::default(), counts.clone().into_iter());
            }
        }
        chance = mix(chance);
        let count = per_step as usize + usize::from(fraction(chance) < per_step.fract());
        for _ in 0..count {
            chance = mix(chance);
            let number = index_below(chance, views.len());
            chance = mix(chance);
            if let Ok(choice) = choose_by(&mut views[number], now, chance) {
                let server = choice.server;
                in_flight.push((now + DURATION, number, server.clone()));
                if millis >= RETURN && is_back(&server) {
                    sent.push((now, server));
                }
            }
        }
    }
    let of = |id: &ServerId| -> Vec<Moment> {
        let own = sent.iter().filter(|(_, server)| server == id);
        own.map(|(at, _)| *at).collect()
    };
    let most = all.iter().map(|s| max_in_second(&of(&s.server)));
    let back = all.iter().filter(|s| s.zone == zone(0)).count();
    let window = 200;
    let fair = load * back as f64 * window as f64 / 1e3;
    let half = (RETURN..RETURN + COLD)
        .step_by(window as usize)
        .find(|from| {
            let within = |moment: Moment| at(*from) <= moment && moment < at(from + window);
            let got = sent.iter().filter(|(at, _)| within(*at)).count();
            got as f64 >= fair / 2.0
        });
    Return {
        most: most.max().unwrap_or(0),
        half_share: Span::from_millis(half.map_or(COLD, |from| from + window - RETURN)),
    }
}

/// Guards against cold servers that crash because a zone comes back while all others are busy, and every gateway finds
/// its servers idle in counts of the same age; and against a zone that stays unused for as long as it is cold.
#[test]
fn returned_zone_spared() {
    for (gateways, servers) in [(9, 12), (40, 24), (149, 72), (431, 192)] {
        let back = play_return(gateways, servers, 6.0, true);
        assert!(
            back.most <= MAX_IN_SECOND,
            "{gateways}: {} in a second",
            back.most
        );
        let half = back.half_share;
        assert!(
            half <= Span::from_secs(1),
            "{gateways}: half its share after {half}"
        );
    }
}

/// Guards against servers that are never treated as cold because their zone was dark and they kept their starts: each
/// gateway finds them reachable again.
#[test]
fn reachable_again_spared() {
    let mut view = gateway(1, 40, &[server(1)]);
    let chosen = |view: &mut Servers| {
        let at_moments = (0..1_000).step_by(20).map(|millis| at(10_000 + millis));
        at_moments.filter(|now| choose(view, *now).is_ok()).count()
    };
    assert_eq!(chosen(&mut view), 15, "it takes requests until it is full");
    let mut view = gateway(1, 40, &[server(1)]);
    view.mark_reachable(at(10_000), &id(1));
    assert!(chosen(&mut view) <= 1);
}

/// Guards against a gateway that sends without bound because it does not know how many others do so too.
#[test]
fn unknown_number_waits() {
    let cold = AnnouncedServer {
        cold_until: at(2_000),
        ..server(1)
    };
    let mut view = gateway(1, 0, &[cold]);
    assert_eq!(choose(&mut view, at(10)).unwrap_err(), Unplaced::AllCold);
    assert!(!has_free_slot(&view, at(10)));
    assert!(choose(&mut view, at(3_000)).is_ok());
}
