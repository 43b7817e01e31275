//! No packet of a peer makes an entry end, whatever numbers it names.

mod common;

use common::{id, info};
use quickcheck::{quickcheck, Arbitrary, Gen};

use snipemast_core::prelude::*;
use snipemast_membership::message::{AgentLoad, Ask, Mark};
use snipemast_membership::{
    AgentCard, AgentMessage, Change, Delta, Input, Load, Node, NodeCard, Packet, PiggybackValue,
    Topic, Tuning, Verdict, VerdictKind,
};

const START: Moment = Moment::from_millis(1_000_000);

/// A number that is likely to be the highest or lowest.
#[derive(Debug, Clone, Copy)]
struct Extreme(u64);

impl Arbitrary for Extreme {
    fn arbitrary(g: &mut Gen) -> Self {
        let near = u64::arbitrary(g) % 3;
        Self(match u8::arbitrary(g) % 3 {
            0 => u64::MAX - near,
            1 => near,
            _ => u64::arbitrary(g),
        })
    }
}

fn card(number: u64, start: u64) -> NodeCard {
    NodeCard {
        process: ProcessId::new(id(&format!("entry-{number}")), Incarnation::new(start)),
        address: ([10, 0, 0, number as u8], 7).into(),
        zone: id("pichincha"),
        region: id("sierra"),
        draining: false,
    }
}

fn agent(start: u64) -> AgentCard {
    AgentCard {
        agent: ProcessId::new(id("agent-1"), Incarnation::new(start)),
        address: ([10, 1, 0, 1], 7).into(),
        zone: id("pichincha"),
        region: id("sierra"),
        news: start,
        draining: false,
        info: info("agent-1"),
    }
}

/// Returns a packet of another entry that says the same extreme numbers everywhere, of an owner that may be the receiver.
fn packet(owner: u64, kind: u8, version: u64, start: u64) -> Packet {
    let process = card(owner, start).process;
    let by: Vec<HostId> = (0..9).map(|n| id(&format!("entry-{n}"))).collect();
    let verdict = Verdict {
        process: process.clone(),
        zone: id("pichincha"),
        version,
        kind: match kind % 3 {
            0 => VerdictKind::Suspect(by.into_iter().collect()),
            1 => VerdictKind::Dead,
            _ => VerdictKind::Left,
        },
    };
    let delta = Delta {
        card: card(owner, start),
        from: if kind.is_multiple_of(2) { 0 } else { version },
        to: version,
        changes: Vec::<Change>::new(),
    };
    let value = PiggybackValue {
        topic: Topic::Demand,
        source: process,
        sequence: version,
        left: Span::from_micros(version),
        value: vec![1],
    };
    let load = Load {
        running: version as u32,
        waiting: version as u32,
        age: version as u32,
        ..Load::default()
    };
    let host = id("agent-1");
    Packet {
        from: card(2, 1),
        version,
        sum: Some(version as u32),
        ask: Ask::Compare(vec![version as u32; usize::from(kind % 70)]),
        marks: vec![Mark {
            host: id(&format!("entry-{owner}")),
            incarnation: Incarnation::new(start),
            version,
        }],
        listed: vec![kind],
        verdicts: vec![verdict],
        deltas: vec![delta.clone()],
        sync: vec![delta],
        piggyback: vec![value],
        loads: vec![AgentLoad { host, load }],
        pools: Vec::new(),
    }
}

quickcheck! {
    /// Guards against an entry that ends because a peer names the highest number there is as a version, a start, a sequence or
    /// an age, or more suspecting entries than there are.
    fn extreme_numbers_survived(steps: Vec<(u8, u8, Extreme, Extreme)>) -> bool {
        let mut node = Node::new(START, card(1, 1), Vec::new(), Tuning::default(), 1);
        let mut now = START;
        for (owner, kind, version, start) in steps {
            now = now + Span::from_millis(250);
            let start = if kind.is_multiple_of(4) { 1 } else { start.0 };
            let packet = packet(u64::from(owner % 4), kind, version.0, start);
            node.handle(now, Input::Asked(Box::new(packet)));
            let enrol = AgentMessage::Enrol {
                card: Box::new(agent(start)),
                load: Load::default(),
            };
            node.handle(now, Input::Agent(enrol));
            node.handle(now, Input::Publish(Topic::Demand, vec![1], Span::from_secs(9)));
            node.handle(now, Input::Tick);
        }
        node.loads().hosts().count() <= 1
    }
}
