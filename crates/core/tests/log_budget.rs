//! Tests of the limits on log lines per second.

use snipemast_core::log_budget::{LogBudget, PROBLEM_LINES, ROUTINE_LINES};
use snipemast_core::prelude::*;

/// Guards against a log without a line about a failed request, because a flood of lines about
/// successful requests has used up the budget.
#[test]
fn problem_kept() {
    let mut budget = LogBudget::new();
    let now = Moment::from_millis(5);
    let mut admit = |event| budget.admit(now, event, false).written;
    let routine = (0..5_000).filter(|_| admit(Event::AnswerDelivered)).count();
    assert_eq!(routine, ROUTINE_LINES as usize);
    assert!(admit(Event::AnswerFailed));
    let problems = (0..5_000).filter(|_| admit(Event::RequestRefused)).count();
    assert_eq!(problems, PROBLEM_LINES as usize);
}

/// Guards against a problem whose earlier, routine lines are missing: they are written even if the
/// budget of their kind is used up.
#[test]
fn problem_context_kept() {
    let mut budget = LogBudget::new();
    let now = Moment::from_millis(5);
    for _ in 0..ROUTINE_LINES {
        budget.admit(now, Event::RequestRouted, false);
    }
    assert!(!budget.admit(now, Event::RequestRouted, false).written);
    assert!(budget.admit(now, Event::RequestRouted, true).written);
}

/// Guards against lines that are omitted without a trace: their number is reported once, after
/// their second.
#[test]
fn omission_reported() {
    let mut budget = LogBudget::new();
    for _ in 0..ROUTINE_LINES + 7 {
        budget.admit(Moment::from_millis(0), Event::AnswerDelivered, false);
    }
    let later = Moment::from_millis(1_000);
    let admission = budget.admit(later, Event::ServiceOut, false);
    assert!(admission.written);
    assert_eq!(admission.omitted.as_deref(), Some("AnswerDelivered 7"));
    assert_eq!(budget.admit(later, Event::ServiceOut, false).omitted, None);
}
