//! What an entry remembers is bounded by what is alive.

mod common;

use common::{id, info};
use quickcheck::quickcheck;

use snipemast_core::prelude::*;
use snipemast_membership::message::{AgentLoad, Ask};
use snipemast_membership::piggyback::{MAX_SOURCES, MAX_VALUE_BYTES};
use snipemast_membership::{
    AgentCard, AgentMessage, Input, Load, Node, NodeCard, Output, Packet, PiggybackValue, Table,
    Topic, Tuning,
};

const START: Moment = Moment::from_millis(1_000_000);
/// Longer than a lease and than the time after which loads are sent again.
const QUIET: Span = Span::from_secs(90);

fn card(number: u8, zone: &str) -> NodeCard {
    NodeCard {
        process: ProcessId::new(id(&format!("entry-{number}")), Incarnation::new(1)),
        address: ([10, 0, 0, number], 7).into(),
        zone: id(zone),
        region: id("sierra"),
        draining: false,
    }
}

fn agent(number: u8) -> AgentCard {
    let name = format!("agent-{number}");
    AgentCard {
        agent: ProcessId::new(id(&name), Incarnation::new(1)),
        address: ([10, 1, 0, number], 7).into(),
        zone: id("pichincha"),
        region: id("sierra"),
        news: 1,
        draining: false,
        info: info(&name),
    }
}

fn load(running: u32) -> Load {
    Load {
        running,
        ..Load::default()
    }
}

/// Returns a packet of another entry that reports the load of an agent.
fn report(host: HostId, load: Load) -> Input {
    let packet = Packet {
        from: card(2, "pichincha"),
        version: 0,
        sum: None,
        ask: Ask::Nothing,
        marks: Vec::new(),
        listed: Vec::new(),
        verdicts: Vec::new(),
        deltas: Vec::new(),
        sync: Vec::new(),
        piggyback: Vec::new(),
        loads: vec![AgentLoad { host, load }],
        pools: Vec::new(),
    };
    Input::Asked(Box::new(packet))
}

/// Lets time pass for an entry, one tick after the other.
fn wait(node: &mut Node, now: Moment, span: Span) -> Moment {
    let end = now + span;
    loop {
        let next = node.next_tick();
        if next > end {
            return end;
        }
        node.handle(next, Input::Tick);
    }
}

quickcheck! {
    /// Guards against an entry that keeps the loads of all agents that other entries ever reported: after a quiet time only
    /// loads of agents with an owner are left.
    fn loads_of_living_agents(steps: Vec<(bool, u8, u8)>) -> bool {
        let mut node = Node::new(START, card(1, "pichincha"), Vec::new(), Tuning::default(), 1);
        let mut now = START;
        for (enrols, number, running) in steps {
            now = wait(&mut node, now, Span::from_millis(100));
            let input = if enrols {
                let card = Box::new(agent(number));
                Input::Agent(AgentMessage::Enrol { card, load: load(running.into()) })
            } else {
                report(id(&format!("agent-{number}")), load(running.into()))
            };
            node.handle(now, input);
        }
        let end = wait(&mut node, now, QUIET);
        // A peer that still has a load of before must not bring it back, or both would send it on for good.
        let old = Load { age: QUIET.as_millis() as u32, ..load(3) };
        node.handle(end, report(id("agent-300"), old));
        let hosts: Vec<&HostId> = node.loads().hosts().collect();
        let owned = |host: &&HostId| node.table().is_owned(host);
        hosts.iter().all(owned)
    }

    /// Guards against an entry that remembers what it sent to every zone about every model that was ever offered.
    fn transmissions_forgotten(numbers: Vec<u8>) -> bool {
        let mut loads = snipemast_membership::loads::Loads::default();
        let zones = (&id::<ZoneId>("pichincha"), &id::<ZoneId>("cumbaya"));
        let mut table = Table::default();
        let own = card(1, "pichincha");
        table.insert(own.clone());
        for number in &numbers {
            let mut card = agent(*number);
            card.info.offers = vec![Offer::Service {
                service: id(&format!("service-{number}")),
            }];
            table.change(&own.process.host, |row| row.set.put(card));
        }
        let sent = loads.pick_pools(START, &table, zones, &mut 1_000_000).len();
        let remembered = loads.sent_count();
        let keep = Tuning::default().zone_retention;
        loads.expire(START + QUIET, &table, keep);
        sent == remembered && loads.sent_count() == 0
    }
}

/// Returns the events that a node records.
fn events(outputs: Vec<Output>, wanted: Event) -> Vec<(String, String)> {
    let events = outputs.into_iter().filter_map(|output| match output {
        Output::Event {
            event,
            subject,
            detail,
        } if event == wanted => Some((subject, detail)),
        _ => None,
    });
    events.collect()
}

/// Guards against two servers under one name that no log line tells of, because the process has logged many clashes before.
/// Each is logged once, also when its agents repeat themselves.
#[test]
fn every_clash_logged() {
    let tuning = Tuning::default();
    let mut node = Node::new(START, card(1, "pichincha"), Vec::new(), tuning, 1);
    let mut clashes = 0;
    for number in 0..200 {
        let now = START + Span::from_secs(u64::from(number));
        for (port, logged) in [(7, 0), (8, 1), (8, 0)] {
            let mut card = agent(number);
            card.address.set_port(port);
            let enrol = AgentMessage::Enrol {
                card: Box::new(card),
                load: load(0),
            };
            let outputs = node.handle(now, Input::Agent(enrol));
            assert_eq!(
                events(outputs, Event::IdentityClash).len(),
                logged,
                "agent {number}"
            );
            clashes += logged;
        }
    }
    assert_eq!(clashes, 200);
}

fn value(number: usize, value: Vec<u8>) -> PiggybackValue {
    PiggybackValue {
        topic: Topic::Demand,
        source: ProcessId::new(id(&format!("entry-{number}")), Incarnation::new(1)),
        sequence: 1,
        left: Span::from_secs(60),
        value,
    }
}

/// Guards against limits that are exceeded, because the demand of some processes of a large fleet is ignored. A fleet of
/// twice 1,032 processes has room; beyond the bound, the log says which values are dropped, and the own value is kept.
#[test]
fn no_value_lost_silently() {
    let tuning = Tuning::default();
    let mut node = Node::new(START, card(1, "pichincha"), Vec::new(), tuning, 1);
    let deliver = |node: &mut Node, numbers: std::ops::Range<usize>| {
        for number in numbers {
            let Input::Asked(mut packet) = report(id("agent-1"), load(0)) else {
                unreachable!();
            };
            packet.piggyback = vec![value(number, vec![1])];
            node.handle(START, Input::Asked(packet));
        }
        node.piggyback().values(Topic::Demand).count()
    };
    assert_eq!(deliver(&mut node, 2..2_066), 2_064);
    assert_eq!(deliver(&mut node, 2_066..10_000), MAX_SOURCES);
    let publish = |bytes| Input::Publish(Topic::Demand, vec![1; bytes], Span::from_secs(60));
    assert!(events(node.handle(START, publish(8)), Event::ValueDropped).is_empty());
    let mut values = node.piggyback().values(Topic::Demand);
    assert!(values.any(|(source, _)| *source == node.card().process));
    drop(values);
    let next = START + Span::from_secs(1);
    let dropped = events(node.handle(next, Input::Tick), Event::ValueDropped);
    let [(subject, detail)] = dropped.as_slice() else {
        panic!("{dropped:?}");
    };
    assert!(subject.starts_with("entry-9999"), "{subject}");
    assert!(detail.starts_with("1806 values"), "{detail}");
    let long = node.handle(next, publish(MAX_VALUE_BYTES + 1));
    assert_eq!(events(long, Event::ValueDropped).len(), 1);
}
