//! The command `timeline`: shows the events of all processes as a table, as JSON or as a drawing.

use std::fmt::Write;
use std::process::ExitCode;

use snipemast_core::prelude::*;
use snipemast_operators::timeline::{TimelineQuery, TIMELINE_PATH};
use snipemast_operators::Timeline;

use crate::args::TimelineArgs;
use crate::client::{finish, ClientError, OperatorClient};
use crate::drawing;
use crate::exit;

/// Fetches the time line from a host and shows it.
pub(crate) fn timeline(args: &TimelineArgs) -> ExitCode {
    finish(run(args))
}

fn run(args: &TimelineArgs) -> crate::client::Result<ExitCode> {
    let query = TimelineQuery {
        since: args.since,
        request: args.request.clone(),
    };
    let client = OperatorClient::new(args.to, args.key.as_deref(), args.json);
    let answer = client.get(&format!("{TIMELINE_PATH}?{}", query.to_query()))?;
    let Some(file) = &args.svg else {
        return client.show(answer, table);
    };
    if !answer.is_success() {
        return answer.print_refusal();
    }
    let timeline: Timeline = answer.read_document()?;
    let drawing = drawing::draw(&timeline);
    std::fs::write(file, drawing)
        .map_err(|e| ClientError::Unwritten(file.clone(), e.to_string()))?;
    println!(
        "{} events drawn into {}",
        timeline.records.len(),
        file.display()
    );
    Ok(ExitCode::from(exit::DONE))
}

/// Returns the time line as a table, with the seconds since its first event.
pub(crate) fn table(timeline: &Timeline) -> String {
    let mut text = String::new();
    let start = timeline.records.first().map_or(0, |r| r.stamp.micros);
    let width = |text: &dyn Fn(&Record) -> usize| timeline.records.iter().map(text).max();
    let process = width(&|r| r.process.host.as_str().len()).unwrap_or(0);
    let name = width(&|r| r.event.name().len()).unwrap_or(0);
    for record in &timeline.records {
        let seconds = record.stamp.micros.saturating_sub(start) as f64 / 1e6;
        let (host, event) = (record.process.host.as_str(), record.event);
        let line = format!(
            "{seconds:>10.6}  {host:<process$}  {} {:<name$}  {} {}",
            event.number(),
            event.name(),
            record.subject,
            record.detail
        );
        // Writing into a string never fails.
        let _ = writeln!(text, "{}", line.trim_end());
    }
    for process in &timeline.unreachable {
        let _ = writeln!(text, "no events of {process}: it did not answer");
    }
    if timeline.more {
        let _ = writeln!(
            text,
            "there are more events: narrow them down with --since or --request"
        );
    }
    text
}
