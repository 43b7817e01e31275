//! An agent's leases, and an entry that many agents come to at once.

mod common;

use std::net::SocketAddr;

use common::{id, info};
use snipemast_core::prelude::*;
use snipemast_membership::{
    AgentCard, AgentMessage, AnnounceInput, AnnounceOutput, AnnounceTuning, Announcer, Input,
    LeaseReply, Load, Node, NodeCard, Output, Tuning,
};

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_000).into()
}

fn card(name: &str) -> AgentCard {
    AgentCard {
        agent: ProcessId::new(id(name), Incarnation::new(1)),
        address: address(9),
        zone: id("pichincha"),
        region: id("sierra"),
        news: 1,
        draining: false,
        info: info(name),
    }
}

/// What an agent sends over some seconds, where each call meets the same fate.
fn calls(secs: u64, reply: Option<LeaseReply>) -> Vec<AgentMessage> {
    let seeds = vec![address(1)];
    let tuning = AnnounceTuning::default();
    let mut announcer = Announcer::new(Moment::ZERO, card("agent-0"), seeds, tuning, 3);
    let mut sent = Vec::new();
    for step in 0..secs * 20 {
        let now = Moment::from_millis(step * 50);
        for output in announcer.handle(now, AnnounceInput::Tick) {
            let AnnounceOutput::Send { token, message, .. } = output else {
                continue;
            };
            sent.push(*message);
            let input = match &reply {
                Some(reply) => AnnounceInput::Answered(token, reply.clone()),
                None => AnnounceInput::TimedOut(token),
            };
            announcer.handle(now, input);
        }
    }
    sent
}

#[test]
fn last_lease_kept() {
    // The link to the only entry that an agent knows loses messages. Were it to turn away after
    // two misses it would be gone for seconds, and its lease would run out.
    assert!(calls(3, None).len() >= 6);
}

#[test]
fn others_asked() {
    // Both entries of an agent's settings die later. By then it must have learnt of others.
    let granted = LeaseReply::Granted {
        lease: Span::from_secs(3),
        leaving: false,
        others: Vec::new(),
    };
    let asks = |m: &AgentMessage| matches!(m, AgentMessage::Renew { ask: true, .. });
    let sent = calls(5, Some(granted));
    assert!(sent.iter().skip(1).all(asks), "{sent:?}");
}

#[test]
fn enrolments_bounded() {
    // Power returns to a zone and a hundred agents come to the one entry that is up.
    let me = NodeCard {
        process: ProcessId::new(id("entry-0"), Incarnation::new(1)),
        address: address(1),
        zone: id("pichincha"),
        region: id("sierra"),
        draining: false,
    };
    let mut node = Node::new(Moment::ZERO, me, Vec::new(), Tuning::default(), 1);
    let mut granted = 0;
    for number in 0..100 {
        let card = Box::new(card(&format!("agent-{number}")));
        let load = Load::default();
        let input = Input::Agent(AgentMessage::Enrol { card, load });
        let outputs = node.handle(Moment::from_millis(5_000), input);
        let grants = |o: &&Output| matches!(o, Output::Lease(LeaseReply::Granted { .. }));
        granted += outputs.iter().filter(grants).count();
    }
    assert_eq!(granted, 20);
}
