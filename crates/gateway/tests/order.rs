//! Tests of the metrics of who is served first.

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use snipemast_core::prelude::*;
use snipemast_gateway::order::{OrderMetrics, OrderedRequest};
use snipemast_placement::choice::Unplaced;
use snipemast_placement::{RequestPriority, Urgency};

fn render(registry: &Registry) -> String {
    let mut text = String::new();
    encode(&mut text, registry).unwrap();
    text
}

fn request(service: &ServiceId, workspace: u8, route: u8) -> OrderedRequest<'_> {
    let priority = RequestPriority::new(Some(Priority::new(workspace)), Priority::new(route));
    OrderedRequest {
        service,
        urgency: Urgency::InTime(priority),
        priority,
    }
}

/// What was placed, waits or was refused is counted under another request's urgency, priority or
/// reason, because a label is missing or two are exchanged.
#[test]
fn told_apart() {
    let mut registry = Registry::default();
    let metrics = OrderMetrics::new(&mut registry);
    let service = ServiceId::new("lector").unwrap();
    let placed = request(&service, 0, 2);
    let late = OrderedRequest {
        urgency: Urgency::Late(placed.priority),
        ..placed
    };
    let resumed = OrderedRequest {
        urgency: Urgency::Resumed,
        ..placed
    };
    let yielding = OrderedRequest {
        urgency: Urgency::Yielding(placed.priority),
        ..placed
    };
    metrics.count_placement(placed);
    metrics.count_placement(resumed);
    metrics.count_refusal(late, Unplaced::AllFull);
    metrics.count_refusal(late, Unplaced::AllFull);
    metrics.count_refusal(late, Unplaced::Out);
    let ended = metrics.begin_wait(yielding);
    let _waiting = metrics.begin_wait(yielding);
    ended.observe(Span::from_millis(50));
    drop(ended);
    let text = render(&registry);
    let labels = |urgency: &str| {
        format!(
            "service=\"lector\",urgency=\"{urgency}\",workspace_priority=\"0\",route_priority=\"2\""
        )
    };
    for line in [
        format!("placements_total{{{}}} 1\n", labels("in_time")),
        format!("placements_total{{{}}} 1\n", labels("resumed")),
        format!(
            "refusals_total{{{},reason=\"AllFull\"}} 2\n",
            labels("late")
        ),
        format!("refusals_total{{{},reason=\"Out\"}} 1\n", labels("late")),
        format!(
            "wait_seconds_bucket{{le=\"0.03\",{}}} 0\n",
            labels("yielding")
        ),
        format!(
            "wait_seconds_bucket{{le=\"0.06\",{}}} 1\n",
            labels("yielding")
        ),
        format!("wait_seconds_count{{{}}} 1\n", labels("yielding")),
        "waiting_requests{service=\"lector\"} 1\n".to_owned(),
    ] {
        assert!(text.contains(&line), "{line:?} in {text}");
    }
}

/// The gateway's memory and the size of its metrics grow without end, because a configuration uses
/// many priorities, or services come and go.
#[test]
fn labels_bounded() {
    let mut registry = Registry::default();
    let metrics = OrderMetrics::new(&mut registry);
    let first = ServiceId::new("lector").unwrap();
    for priority in 0..=u8::MAX {
        metrics.count_placement(request(&first, priority, 9));
    }
    let text = render(&registry);
    assert_eq!(text.matches("placements_total{").count(), 10, "{text}");
    let last = "workspace_priority=\"9\",route_priority=\"9\"} 247\n";
    assert!(text.contains(last), "{text}");
    for number in 0..1_000 {
        let service = ServiceId::new(format!("s-{number}")).unwrap();
        drop(metrics.begin_wait(request(&service, 0, 0)));
    }
    let text = render(&registry);
    // The 256 services that are told apart include the first one, which has not waited.
    assert_eq!(text.matches("waiting_requests{").count(), 256, "{text}");
    assert!(text.contains("waiting_requests{service=\"others\"} 0\n"));
    metrics.count_placement(request(&first, 0, 9));
    let known =
        "service=\"lector\",urgency=\"in_time\",workspace_priority=\"0\",route_priority=\"9\"} 2\n";
    assert!(render(&registry).contains(known));
}
