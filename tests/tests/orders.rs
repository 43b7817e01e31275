//! Tests of orders on their whole path: patch, control leader, agent, engine.

use serde_json::json;

use snipemast_agent::orders::service::FENCE_HOLD;
use snipemast_agent::Agent;
use snipemast_config::wishes::Action;
use snipemast_config::ServerRole;
use snipemast_control::Timing;
use snipemast_core::prelude::*;
use snipemast_fakes::FakeEngine;
use snipemast_tests::{agent_settings, id, info, journal, loopback, pause, Fleet};
use snipemast_wire::listen;
use snipemast_wire::order::{Order, OrderAnswer, OrderRefusal};

fn new_engine() -> FakeEngine {
    let offer = Offer::Model {
        model: id("lector-1"),
        version: "1".into(),
        adapters: Vec::new(),
    };
    FakeEngine::new(info("engine-0", offer))
}

/// Guards against a patch for another model that orders the engine to load it more than once, or not at all.
#[test]
fn patch_loads_model() {
    smol::block_on(async {
        let mut fleet = Fleet::start().await;
        let engine = new_engine();
        let orders = engine.orders().clone();
        fleet.add_fake("engine-0", engine).await;
        fleet.patch(json!({
            "models": { "lector-2": { "version": "7" } },
            "servers": { "engine-0": { "models": ["lector-2"], "role": "whole" } },
        }));
        while orders.carried().len() < 2 {
            pause(10).await;
        }
        pause(2_500).await;
        let carried = orders.carried();
        assert_eq!(carried.len(), 2, "each order once: {carried:?}");
        let role = ServerRole::Whole;
        assert_eq!(carried[0].action, Action::Role { role });
        let loaded = Offer::Model {
            model: id("lector-2"),
            version: "7".into(),
            adapters: Vec::new(),
        };
        assert!(orders.info().offers.contains(&loaded));
        assert_eq!(fleet.agents[0].orders().floor(), carried[0].fence);
    });
}

/// Guards against the order of a deposed leader at an engine that ignores fencing numbers. Its agent must
/// refuse the order.
#[test]
fn unchecked_engine() {
    smol::block_on(async {
        let mut fleet = Fleet::start().await;
        let engine = new_engine();
        let orders = engine.orders().clone();
        fleet.add_fake("engine-0", engine).await;
        let agent = &fleet.agents[0];
        while agent.orders().config().version < Version::new(1) {
            pause(5).await;
        }
        let current = agent.orders().floor();
        assert!(
            current > Fence::new(0),
            "the fence came with the configuration"
        );
        let role = ServerRole::Decode;
        let order = Order {
            id: id("late"),
            agent: agent.gate().process().clone(),
            fence: Fence::new(current.get() - 1),
            left: Span::from_secs(1),
            action: Action::Role { role },
        };
        loop {
            match agent.orders().handle_order(order.clone()).await {
                OrderAnswer::Refused(OrderRefusal::Learning { .. }) => pause(20).await,
                answer => {
                    let refusal = OrderRefusal::Old { current };
                    assert_eq!(answer, OrderAnswer::Refused(refusal));
                    break;
                }
            }
        }
        assert!(orders.carried().is_empty());
    });
}

/// Guards against an order that an agent passes on after a restart before it has learned the current fencing
/// number, because it can reach no entry.
#[test]
fn no_control_in_reach() {
    smol::block_on(async {
        let fake = listen(loopback(), new_engine()).await.expect("port 0");
        let settings = agent_settings("agent-0", fake.address(), loopback());
        let journal = journal(&settings.host);
        let agent = Agent::start(settings, Incarnation::new(1), journal).await;
        let agent = agent.expect("an agent starts on port 0");
        let order = Order {
            id: id("early"),
            agent: agent.gate().process().clone(),
            fence: Fence::new(9),
            left: Span::from_secs(1),
            action: Action::Role {
                role: ServerRole::Whole,
            },
        };
        let answer = agent.orders().handle_order(order).await;
        let learning = OrderAnswer::Refused(OrderRefusal::Learning { left: FENCE_HOLD });
        assert_eq!(
            std::mem::discriminant(&answer),
            std::mem::discriminant(&learning)
        );
    });
}

/// Guards against an agent that waits for less than a leader's lease, and so passes on the order of a deposed
/// leader.
#[test]
fn hold_outlasts_lease() {
    assert!(FENCE_HOLD.as_micros() > 2 * Timing::default().lease.as_micros());
}
