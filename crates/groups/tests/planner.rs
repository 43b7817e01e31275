//! A group's planner, from reports to a proposal and its reason.

use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_groups::estimate::Counts;
use snipemast_groups::map::ExpertMap;
use snipemast_groups::planner::{Planner, PlannerInput, PlannerOutput};
use snipemast_groups::policy::{Phase, Policy, Reason, Weights};

fn at(second: u64) -> Moment {
    Moment::from_millis(second * 1_000)
}

fn planner() -> Planner {
    let mut planner = Planner::new(Policy::new(Weights::new(900, 100)));
    let map = Arc::new(ExpertMap::round_robin(1, 4, 3, 8));
    planner.handle(at(0), PlannerInput::InForce(MapVersion::new(3), map));
    planner
}

fn counts(second: u64) -> PlannerInput {
    PlannerInput::Counts(Counts {
        at: at(second),
        layers: vec![vec![9_000, 3_000, 1_000, 1_000, 500, 500, 500, 500]],
    })
}

#[test]
fn skew_proposes() {
    let mut planner = planner();
    planner.handle(at(50), counts(50));
    let out = planner.handle(at(60), PlannerInput::Decide(Fence::new(7)));
    let proposed = out.iter().find_map(|o| match o {
        PlannerOutput::Propose(proposal) => Some(proposal),
        PlannerOutput::Event(..) => None,
    });
    let proposal = proposed.expect("the first expert is hot");
    assert_eq!(
        (proposal.fence, proposal.base),
        (Fence::new(7), MapVersion::new(3))
    );
    assert!(proposal.map.is_whole(8));
    assert!(matches!(
        out[0],
        PlannerOutput::Event(Event::MovePlanned, _)
    ));
}

#[test]
fn reasons_stay() {
    let mut planner = planner();
    planner.handle(at(50), PlannerInput::Phase(Phase::CutOff));
    planner.handle(at(50), counts(50));
    let out = planner.handle(at(60), PlannerInput::Decide(Fence::new(7)));
    let reason = Reason::Unsettled(Phase::CutOff);
    assert_eq!(out, [PlannerOutput::Event(Event::MoveDeclined, reason)]);
    let texts: Vec<String> = planner.history().map(|record| record.to_string()).collect();
    assert_eq!(
        texts,
        ["60.000000s map 3: nothing moved: the group is cut off"]
    );
}

#[test]
fn no_report_declines() {
    let mut planner = planner();
    let out = planner.handle(at(60), PlannerInput::Decide(Fence::new(7)));
    assert_eq!(
        out,
        [PlannerOutput::Event(Event::MoveDeclined, Reason::Stale)]
    );
}
