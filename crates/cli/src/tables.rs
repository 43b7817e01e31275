//! Answers as tables that a person reads.

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

/// The verdict on a patch.
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

/// What a patch would come to.
pub(crate) fn dry(dry: &DryRunAnswer) -> String {
    let mut text = format!("dry run, nothing changes\n{}", verdict(&dry.verdict));
    let change = dry.change.clone();
    if let Some(change) = change.and_then(|c| serde_json::from_value::<Delta>(c).ok()) {
        text.push_str(&delta(&change));
    }
    text
}

/// What changed between two versions.
pub(crate) fn delta(delta: &Delta) -> String {
    let mut table = Table::new(&["", "NAME", "NOW"]);
    changes("operators", &delta.operators, &mut table);
    changes("workspaces", &delta.workspaces, &mut table);
    changes("services", &delta.services, &mut table);
    changes("models", &delta.models, &mut table);
    changes("groups", &delta.groups, &mut table);
    changes("servers", &delta.servers, &mut table);
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

fn changes<K, V>(section: &str, changes: &Changes<K, V>, table: &mut Table)
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

/// A whole configuration.
pub(crate) fn config(config: &Config) -> String {
    let mut table = Table::new(&["NAME", "VALUE"]);
    entries("operators", &config.operators, &mut table);
    entries("workspaces", &config.workspaces, &mut table);
    entries("services", &config.services, &mut table);
    entries("models", &config.models, &mut table);
    entries("groups", &config.groups, &mut table);
    entries("servers", &config.servers, &mut table);
    for (n, hosts) in config.keepers.iter().enumerate() {
        table.add([format!("keepers.{n}"), compact(hosts)]);
    }
    format!("version {}\n{}", config.version, table.to_text())
}

fn entries<K, V>(section: &str, entries: &Section<K, V>, table: &mut Table)
where
    K: Ord + Clone + Display,
    V: serde::Serialize,
{
    for (name, entry) in entries {
        table.add([format!("{section}.{name}"), compact(entry)]);
    }
}

/// The last versions.
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
            few(&line.touched),
            line.reason.clone(),
        ]);
    }
    table.to_text()
}

fn few(names: &[String]) -> String {
    match names {
        [] => "-".into(),
        [one] => one.clone(),
        [first, rest @ ..] => format!("{first} and {} more", rest.len()),
    }
}

/// What a host knows.
pub(crate) fn status(report: &StatusReport) -> String {
    let standing = &report.standing;
    let mut text = String::new();
    let age = age(standing.age);
    let linked = if report.linked {
        ""
    } else {
        ", no source answers"
    };
    let draining = if report.draining { ", draining" } else { "" };
    // Writing to a string can't fail.
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
        let _ = write!(text, "\nbehind\n{}", lagging(report));
    }
    let _ = write!(text, "\n{}", members(report));
    text
}

fn lagging(report: &StatusReport) -> String {
    let mut table = Table::new(&["PROCESS", "ZONE", "VERSION", "NEWS"]);
    for standing in &report.census.lagging {
        table.add([
            standing.process.to_string(),
            standing.zone.to_string(),
            standing.version.to_string(),
            age(standing.age),
        ]);
    }
    table.to_text()
}

fn members(report: &StatusReport) -> String {
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

/// A problem document in one line; anything else as it came.
pub(crate) fn problem(text: &str) -> String {
    let document = serde_json::from_str::<Value>(text).unwrap_or_default();
    match (document["title"].as_str(), document["detail"].as_str()) {
        (Some(title), Some(detail)) => format!("{title}: {detail}"),
        _ => text.to_string(),
    }
}

fn age(age: Option<Span>) -> String {
    age.map_or("never".into(), |age| format!("{:.1}s", age.as_secs_f64()))
}

/// An entry in one line, without the fields that say nothing.
fn compact(entry: &impl serde::Serialize) -> String {
    let mut value = serde_json::to_value(entry).unwrap_or_default();
    if let Value::Object(fields) = &mut value {
        fields.retain(|_, field| !field.is_null());
    }
    value.to_string()
}
