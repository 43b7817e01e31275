//! Draws the time line as SVG: one lane per process, with time from left to right.

use std::collections::BTreeMap;
use std::fmt::Write;

use snipemast_core::prelude::*;
use snipemast_operators::Timeline;

/// The size of the drawing, of a lane and of the margins, in pixels.
const WIDTH: f64 = 1_200.0;
const LANE_HEIGHT: f64 = 44.0;
const LEFT_MARGIN: f64 = 190.0;
const RIGHT_MARGIN: f64 = 40.0;
const TOP_MARGIN: f64 = 90.0;
const BOTTOM_MARGIN: f64 = 70.0;
/// The number of intervals on the time axis.
const TICKS: usize = 8;

/// The kinds of events, each with the hundred its event numbers begin at, its name and its colour.
const EVENT_KINDS: [(u16, &str, &str); 7] = [
    (100, "life of a process", "#6b7280"),
    (200, "request at an entry host", "#2563eb"),
    (300, "dispatch at an agent", "#059669"),
    (400, "configuration", "#7c3aed"),
    (500, "membership", "#d97706"),
    (600, "group of ranks", "#0891b2"),
    (700, "limits and choice", "#be185d"),
];
/// The colour of events that report a failure.
const FAILURE_COLOUR: &str = "#dc2626";

/// Returns a time line as an SVG document.
pub(crate) fn draw(timeline: &Timeline) -> String {
    let page = Page::new(timeline);
    let mut svg = page.head();
    page.axis(&mut svg);
    page.lanes(&mut svg);
    page.requests(&mut svg);
    page.events(&mut svg);
    page.legend(&mut svg);
    svg.push_str("</svg>\n");
    svg
}

/// The layout of one drawing.
struct Page<'a> {
    timeline: &'a Timeline,
    lanes: BTreeMap<&'a ProcessId, usize>,
    start: u64,
    length: f64,
}

impl<'a> Page<'a> {
    fn new(timeline: &'a Timeline) -> Self {
        let mut processes: Vec<&ProcessId> = Vec::new();
        // Processes are in the order of their first event, so that causes stand above their effects.
        for record in &timeline.records {
            if !processes.contains(&&record.process) {
                processes.push(&record.process);
            }
        }
        let lanes = processes
            .into_iter()
            .enumerate()
            .map(|(n, p)| (p, n))
            .collect();
        let micros = |r: Option<&Record>| r.map_or(0, |r| r.stamp.micros);
        let start = micros(timeline.records.first());
        let end = micros(timeline.records.last());
        Self {
            timeline,
            lanes,
            start,
            length: end.saturating_sub(start).max(1) as f64,
        }
    }

    /// Returns the height of the drawing in pixels.
    fn height(&self) -> f64 {
        TOP_MARGIN + LANE_HEIGHT * self.lanes.len().max(1) as f64 + BOTTOM_MARGIN
    }

    fn x(&self, record: &Record) -> f64 {
        let since = record.stamp.micros.saturating_sub(self.start) as f64;
        LEFT_MARGIN + since / self.length * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN)
    }

    fn y(&self, process: &ProcessId) -> f64 {
        let lane = self.lanes.get(process).copied().unwrap_or(0);
        TOP_MARGIN + LANE_HEIGHT * (lane as f64 + 0.5)
    }

    fn head(&self) -> String {
        let height = self.height();
        let count = self.timeline.records.len();
        let processes = self.lanes.len();
        let seconds = self.length / 1e6;
        format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {height}\" \
             font-family=\"Helvetica, Arial, sans-serif\" font-size=\"12\">\n\
             <rect width=\"100%\" height=\"100%\" fill=\"#ffffff\"/>\n\
             <text x=\"20\" y=\"32\" font-size=\"18\" fill=\"#111827\">Time line</text>\n\
             <text x=\"20\" y=\"52\" fill=\"#6b7280\">{count} events of {processes} processes \
             within {seconds:.3} s; point at an event to read it</text>\n"
        )
    }

    fn axis(&self, svg: &mut String) {
        let bottom = self.height() - BOTTOM_MARGIN;
        for tick in 0..=TICKS {
            let share = tick as f64 / TICKS as f64;
            let x = LEFT_MARGIN + share * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN);
            let label = format_span(self.length * share);
            write_line(svg, format_args!(
                "<line x1=\"{x:.1}\" y1=\"{TOP_MARGIN}\" x2=\"{x:.1}\" y2=\"{bottom}\" stroke=\"#e5e7eb\"/>\
                 <text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"middle\" fill=\"#6b7280\">{label}</text>",
                TOP_MARGIN - 8.0
            ));
        }
    }

    fn lanes(&self, svg: &mut String) {
        for (process, lane) in &self.lanes {
            let y = TOP_MARGIN + LANE_HEIGHT * *lane as f64;
            let fill = if lane % 2 == 0 { "#f9fafb" } else { "#ffffff" };
            let middle = y + LANE_HEIGHT / 2.0;
            write_line(
                svg,
                format_args!(
                    "<rect x=\"20\" y=\"{y}\" width=\"{}\" height=\"{LANE_HEIGHT}\" fill=\"{fill}\" \
                 fill-opacity=\"0.6\"/>\
                 <line x1=\"{LEFT_MARGIN}\" y1=\"{middle}\" x2=\"{}\" y2=\"{middle}\" stroke=\"#d1d5db\"/>\
                 <text x=\"28\" y=\"{:.1}\" fill=\"#111827\">{}<title>{}</title></text>",
                    WIDTH - 40.0,
                    WIDTH - RIGHT_MARGIN,
                    middle + 4.0,
                    escape(process.host.as_str()),
                    escape(&process.to_string()),
                ),
            );
        }
    }

    /// Draws a line through the events of each request, which shows its path through the processes.
    fn requests(&self, svg: &mut String) {
        let mut paths: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
        for record in &self.timeline.records {
            if (200..400).contains(&record.event.number()) {
                paths.entry(&record.subject).or_default().push(record);
            }
        }
        for (request, path) in paths.iter().filter(|(_, path)| path.len() > 1) {
            let points: Vec<String> = path
                .iter()
                .map(|r| format!("{:.1},{:.1}", self.x(r), self.y(&r.process)))
                .collect();
            write_line(
                svg,
                format_args!(
                "<polyline points=\"{}\" fill=\"none\" stroke=\"#93c5fd\" stroke-width=\"1.5\">\
                 <title>{}</title></polyline>",
                points.join(" "),
                escape(request),
            ),
            );
        }
    }

    fn events(&self, svg: &mut String) {
        for record in &self.timeline.records {
            let (x, y) = (self.x(record), self.y(&record.process));
            write_line(
                svg,
                format_args!(
                    "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"5\" fill=\"{}\" stroke=\"#ffffff\">\
                 <title>{}</title></circle>",
                    colour(record.event),
                    escape(&record.to_string()),
                ),
            );
        }
    }

    fn legend(&self, svg: &mut String) {
        let y = self.height() - 30.0;
        let is_used = |number: u16| {
            let records = &self.timeline.records;
            records
                .iter()
                .any(|r| r.event.number() / 100 * 100 == number)
        };
        let kinds = EVENT_KINDS.iter().filter(|(number, ..)| is_used(*number));
        let kinds = kinds.map(|(_, name, colour)| (*name, *colour));
        for (place, (name, colour)) in kinds.chain([("went wrong", FAILURE_COLOUR)]).enumerate() {
            let x = 30.0 + 165.0 * place as f64;
            write_line(
                svg,
                format_args!(
                    "<circle cx=\"{x}\" cy=\"{y}\" r=\"5\" fill=\"{colour}\"/>\
                 <text x=\"{:.1}\" y=\"{:.1}\" fill=\"#374151\">{name}</text>",
                    x + 10.0,
                    y + 4.0
                ),
            );
        }
        if !self.timeline.unreachable.is_empty() {
            write_line(
                svg,
                format_args!(
                    "<text x=\"30\" y=\"{:.1}\" fill=\"{FAILURE_COLOUR}\">no events of: {}</text>",
                    y + 20.0,
                    escape(&self.timeline.unreachable.join(", "))
                ),
            );
        }
    }
}

fn write_line(svg: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing into a string never fails.
    let _ = writeln!(svg, "{line}");
}

fn colour(event: Event) -> &'static str {
    let is_failure = matches!(
        event,
        Event::DrainExpired
            | Event::SettingsRefused
            | Event::RequestRefused
            | Event::AnswerFailed
            | Event::RequestRetried
            | Event::ConnectionRetired
            | Event::FrameDropped
            | Event::DispatchRefused
            | Event::DispatchFailed
            | Event::ServerDied
            | Event::RequestQuarantined
            | Event::PatchRefused
            | Event::StorageRefused
            | Event::OrderRefused
            | Event::MemberRemoved
            | Event::MemberUnreachable
            | Event::IdentityClash
            | Event::MapAborted
    );
    let hundred = event.number() / 100 * 100;
    let kind = EVENT_KINDS.iter().find(|(number, ..)| *number == hundred);
    if is_failure {
        FAILURE_COLOUR
    } else {
        kind.map_or("#111827", |(_, _, colour)| colour)
    }
}

fn format_span(micros: f64) -> String {
    if micros < 1e6 {
        format!("{:.1} ms", micros / 1e3)
    } else {
        format!("{:.2} s", micros / 1e6)
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
