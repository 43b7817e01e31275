//! Formats the answers of a host as tables and text for a terminal.

use std::fmt::{Display, Write};

use serde_json::Value;

use snipemast_config::{Changes, Config, Delta, Section};
use snipemast_core::prelude::*;
use snipemast_operators::{DryRunAnswer, HistoryLine, StatusReport, VerdictAnswer};

/// A table whose columns are as wide as their widest cell.
struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|cell| (*cell).to_string()).collect();
        Self { rows: vec![head] }
    }

    fn add(&mut self, row: impl IntoIterator<Item = String>) {
        self.rows.push(row.into_iter().collect());
    }

    fn to_text(&self) -> String {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |n: usize| self.rows.iter().map(|r| r[n].chars().count()).max();
        let widths: Vec<usize> = (0..columns).map(|n| width(n).unwrap_or(0)).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<String> = cells.map(|(c, w)| format!("{c:w$}")).collect();
            text.push_str(line.join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}

/// Returns the verdict on a patch as text.
pub(crate) fn verdict(verdict: &VerdictAnswer) -> String {
    match verdict {
        VerdictAnswer::Accepted { version } => format!("accepted: in force as version {version}\n"),
        VerdictAnswer::Conflict { current } => {
            format!("refused: the patch was made against another version; {current} is in force\n")
        }
        VerdictAnswer::Reused => "refused: the id was used before, for another patch\n".to_string(),
        VerdictAnswer::Faulty { faults } => {
            let mut table = Table::new(&["PATH", "FAULT"]);
            for fault in faults {
                table.add([fault.path.clone(), fault.fault.clone()]);
            }
            format!("refused: {} faults\n{}", faults.len(), table.to_text())
        }
    }
}

/// Returns the verdict on a dry run and the changes that it would make.
pub(crate) fn dry_run(dry: &DryRunAnswer) -> String {
    let mut text = format!("dry run, nothing changes\n{}", verdict(&dry.verdict));
    let change = dry.change.clone();
    if let Some(change) = change.and_then(|c| serde_json::from_value::<Delta>(c).ok()) {
        text.push_str(&delta(&change));
    }
    text
}

/// Returns the changes between two versions as a table.
pub(crate) fn delta(delta: &Delta) -> String {
    let mut table = Table::new(&["", "NAME", "NOW"]);
    add_changes("operators", &delta.operators, &mut table);
    add_changes("workspaces", &delta.workspaces, &mut table);
    add_changes("services", &delta.services, &mut table);
    add_changes("models", &delta.models, &mut table);
    add_changes("groups", &delta.groups, &mut table);
    add_changes("servers", &delta.servers, &mut table);
    if let Some(keepers) = &delta.keepers {
        table.add(["~".into(), "keepers".into(), compact(keepers)]);
    }
    format!(
        "version {} to {}\n{}",
        delta.from,
        delta.to,
        table.to_text()
    )
}

fn add_changes<K, V>(section: &str, changes: &Changes<K, V>, table: &mut Table)
where
    K: Ord + Clone + Display,
    V: serde::Serialize,
{
    for (name, entry) in &changes.set {
        table.add(["+".into(), format!("{section}.{name}"), compact(entry)]);
    }
    for name in &changes.removed {
        table.add(["-".into(), format!("{section}.{name}"), String::new()]);
    }
}

/// Returns a configuration as a table.
pub(crate) fn config(config: &Config) -> String {
    let mut table = Table::new(&["NAME", "VALUE"]);
    add_entries("operators", &config.operators, &mut table);
    add_entries("workspaces", &config.workspaces, &mut table);
    add_entries("services", &config.services, &mut table);
    add_entries("models", &config.models, &mut table);
    add_entries("groups", &config.groups, &mut table);
    add_entries("servers", &config.servers, &mut table);
    for (n, hosts) in config.keepers.iter().enumerate() {
        table.add([format!("keepers.{n}"), compact(hosts)]);
    }
    format!("version {}\n{}", config.version, table.to_text())
}

fn add_entries<K, V>(section: &str, entries: &Section<K, V>, table: &mut Table)
where
    K: Ord + Clone + Display,
    V: serde::Serialize,
{
    for (name, entry) in entries {
        table.add([format!("{section}.{name}"), compact(entry)]);
    }
}

/// Returns the latest versions as a table.
pub(crate) fn history(lines: &[HistoryLine]) -> String {
    let mut table = Table::new(&["VERSION", "TIME", "AUTHOR", "PATCH", "CHANGED", "REASON"]);
    for line in lines {
        let author = line.author.as_ref().map_or("-", OperatorId::as_str);
        let patch = line.patch.as_ref().map_or("-", PatchId::as_str);
        table.add([
            line.version.to_string(),
            line.time.clone(),
            author.to_string(),
            patch.to_string(),
            shorten_names(&line.touched),
            line.reason.clone(),
        ]);
    }
    table.to_text()
}

/// Returns the first name and the number of the others.
fn shorten_names(names: &[String]) -> String {
    match names {
        [] => "-".into(),
        [one] => one.clone(),
        [first, rest @ ..] => format!("{first} and {} more", rest.len()),
    }
}

/// Returns the state of a host as text and tables.
pub(crate) fn status(report: &StatusReport) -> String {
    let standing = &report.standing;
    let mut text = String::new();
    let age = format_age(standing.age);
    let linked = if report.linked {
        ""
    } else {
        ", no source answers"
    };
    let draining = if report.draining { ", draining" } else { "" };
    // Writing into a string never fails.
    let _ = writeln!(
        text,
        "{} in {}: version {} in force, news {age} old{linked}{draining}; {} requests in flight",
        standing.process, standing.zone, standing.version, report.running
    );
    let mut versions = Table::new(&["VERSION", "PROCESSES"]);
    for (version, count) in report.census.versions.iter().rev() {
        versions.add([version.to_string(), count.to_string()]);
    }
    let _ = write!(text, "\n{}", versions.to_text());
    if !report.census.lagging.is_empty() {
        let _ = write!(text, "\nbehind\n{}", lagging_table(report));
    }
    let _ = write!(text, "\n{}", members_table(report));
    text
}

fn lagging_table(report: &StatusReport) -> String {
    let mut table = Table::new(&["PROCESS", "ZONE", "VERSION", "NEWS"]);
    for standing in &report.census.lagging {
        table.add([
            standing.process.to_string(),
            standing.zone.to_string(),
            standing.version.to_string(),
            format_age(standing.age),
        ]);
    }
    table.to_text()
}

fn members_table(report: &StatusReport) -> String {
    let mut table = Table::new(&[
        "SERVER", "ZONE", "AGENT", "OFFERS", "RUNNING", "WAITING", "",
    ]);
    for member in &report.members {
        let offers: Vec<String> = member.offers.iter().map(Offer::to_string).collect();
        let draining = if member.draining { "draining" } else { "" };
        table.add([
            member.server.to_string(),
            member.zone.to_string(),
            member.agent.clone(),
            offers.join(", "),
            member.load.running.to_string(),
            member.load.waiting.to_string(),
            draining.into(),
        ]);
    }
    table.to_text()
}

/// Returns a problem document in one line, and any other text unchanged.
pub(crate) fn problem(text: &str) -> String {
    let document = serde_json::from_str::<Value>(text).unwrap_or_default();
    match (document["title"].as_str(), document["detail"].as_str()) {
        (Some(title), Some(detail)) => format!("{title}: {detail}"),
        _ => text.to_string(),
    }
}

fn format_age(age: Option<Span>) -> String {
    age.map_or("never".into(), |age| format!("{:.1}s", age.as_secs_f64()))
}

/// Returns an entry as JSON in one line, without the fields that are null.
fn compact(entry: &impl serde::Serialize) -> String {
    let mut value = serde_json::to_value(entry).unwrap_or_default();
    if let Value::Object(fields) = &mut value {
        fields.retain(|_, field| !field.is_null());
    }
    value.to_string()
}
