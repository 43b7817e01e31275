//! How many log lines a process writes in a second.

use snipemast_core::log_budget::{LogBudget, ROUTINE, TROUBLE};
use snipemast_core::prelude::*;

/// An engineer finds no line about a failed request: a flood of requests that went well has pushed it
/// out of the log.
#[test]
fn trouble_kept() {
    let mut budget = LogBudget::new();
    let now = Moment::from_millis(5);
    let mut take = |event| budget.take(now, event, false).written;
    let routine = (0..5_000).filter(|_| take(Event::AnswerDelivered)).count();
    assert_eq!(routine, ROUTINE as usize);
    assert!(take(Event::AnswerFailed));
    let trouble = (0..5_000).filter(|_| take(Event::RequestRefused)).count();
    assert_eq!(trouble, TROUBLE as usize);
}

/// A routine line that belongs to a trouble is written all the same.
#[test]
fn routine_of_trouble_kept() {
    let mut budget = LogBudget::new();
    let now = Moment::from_millis(5);
    for _ in 0..ROUTINE {
        budget.take(now, Event::RequestRouted, false);
    }
    assert!(!budget.take(now, Event::RequestRouted, false).written);
    assert!(budget.take(now, Event::RequestRouted, true).written);
}

/// What was left out is told once, after its second.
#[test]
fn left_out_told() {
    let mut budget = LogBudget::new();
    for _ in 0..ROUTINE + 7 {
        budget.take(Moment::from_millis(0), Event::AnswerDelivered, false);
    }
    let later = Moment::from_millis(1_000);
    let taken = budget.take(later, Event::ServiceOut, false);
    assert!(taken.written);
    assert_eq!(taken.left_out.as_deref(), Some("AnswerDelivered 7"));
    assert_eq!(budget.take(later, Event::ServiceOut, false).left_out, None);
}
