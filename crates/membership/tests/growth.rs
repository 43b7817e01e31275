//! What an entry remembers is bounded by what is alive.

mod common;

use common::{id, info};
use quickcheck::quickcheck;

use snipemast_core::prelude::*;
use snipemast_membership::message::{AgentLoad, Ask};
use snipemast_membership::{
    AgentCard, AgentMessage, Input, Load, Node, NodeCard, Packet, Table, Tuning,
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
