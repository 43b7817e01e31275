//! Every fault of a settings file is reported with its key and line.

use quickcheck::{Gen, QuickCheck};

use snipemast_core::prelude::*;
use snipemast_settings::check::check;
use snipemast_settings::{AgentSettings, EntrySettings, Settings};

/// Returns the faults of an entry host's settings, as `check` prints them.
fn entry_faults(text: &str) -> Vec<String> {
    let faults = check::<EntrySettings>(text).expect_err("the text is faulty");
    faults.iter().map(ToString::to_string).collect()
}

/// Returns the faults of an agent's settings, as `check` prints them.
fn agent_faults(text: &str) -> Vec<String> {
    let faults = check::<AgentSettings>(text).expect_err("the text is faulty");
    faults.iter().map(ToString::to_string).collect()
}

/// Whether there is a fault at a line and key.
fn has_fault(faults: &[String], line: usize, key: &str) -> bool {
    let start = format!("line {line}: {key}: ");
    faults.iter().any(|f| f.starts_with(&start))
}

/// The search for faults fills in missing values from the samples, which must have no faults
/// themselves.
#[test]
fn samples_pass() {
    assert!(check::<EntrySettings>(EntrySettings::SAMPLE).is_ok());
    assert!(check::<AgentSettings>(AgentSettings::SAMPLE).is_ok());
}

/// A reader that stops at the first fault would make an operator fix the file fault by fault, with
/// one start of the process each.
#[test]
fn every_fault() {
    let faults = entry_faults(
        r#"host = "entry 1"
zone = "pichincha"
callers = "entry-1.example:8080"
own = "10.0.0.1:7001"
seeds = ["10.0.0.2:7001", "seed:7001", "10.0.0.3"]
colour = "red"

[limits]
lease = "3 parsecs"
bdy = "1MiB"
events = -1
"#,
    );
    let expected = [
        (1, "host"),
        (1, "region"),
        (3, "callers"),
        (5, "seeds[1]"),
        (5, "seeds[2]"),
        (6, "colour"),
        (9, "limits.lease"),
        (10, "limits.bdy"),
        (11, "limits.events"),
    ];
    for (line, key) in expected {
        assert!(has_fault(&faults, line, key), "{key} in {faults:#?}");
    }
    assert_eq!(faults.len(), expected.len(), "{faults:#?}");
}

/// An unknown table must be one fault, and not one for each of its keys.
#[test]
fn unknown_table() {
    let text = format!("{}\n[colours]\nred = 1\nblue = 2\n", AgentSettings::SAMPLE);
    let faults = agent_faults(&text);
    assert_eq!(faults.len(), 1, "{faults:#?}");
    assert!(faults[0].contains("colours: unknown key; known here: host, zone"));
}

/// A missing key of a table must be reported at the line of the table.
#[test]
fn missing_inside() {
    let text = EntrySettings::SAMPLE.replace("data = \"/var/lib/snipemast/control\"", "");
    let faults = entry_faults(&text);
    assert!(has_fault(&faults, 8, "control.data"), "{faults:#?}");
}

/// A text that is not TOML must be reported with the line of the syntax error.
#[test]
fn broken_text() {
    let faults = entry_faults("host = \"a\"\nzone = \n");
    assert!(faults[0].starts_with("line 2: not TOML: "), "{faults:#?}");
}

/// A process could start and never be reached, because its address is one that others can't
/// connect to, or one that two of its listeners share.
#[test]
fn conflicting_addresses() {
    let faults = entry_faults(
        r#"host = "entry-1"
zone = "pichincha"
region = "sierra"
callers = "10.0.0.1:7001"
own = "10.0.0.1:7001"
operators = "10.0.0.1:7003"
seeds = ["10.0.0.1:7001", "0.0.0.0:7001", "10.0.0.2:7001", "10.0.0.2:7001"]

[control]
data = "data"
voters = ["10.0.0.2:7001", "10.0.0.3:7001"]
"#,
    );
    let starts = [
        "line 5: own: the same as callers",
        "line 7: seeds[0]: the same as own",
        "line 7: seeds[1]: no other process can connect",
        "line 7: seeds[3]: the same as seeds[2]",
        "line 11: control.voters: 2 voters",
        "line 11: control.voters: the host's own address",
    ];
    for start in starts {
        assert!(
            faults.iter().any(|f| f.starts_with(start)),
            "{start} in {faults:#?}"
        );
    }
    assert_eq!(faults.len(), starts.len(), "{faults:#?}");
}

/// An announcement can get lost. If the lease ended before the next one arrived, a healthy server
/// would be removed.
#[test]
fn short_lease() {
    let text = format!("{}\n[limits]\nlease = \"1s\"\n", EntrySettings::SAMPLE);
    assert!(has_fault(&entry_faults(&text), 13, "limits.lease"));
    let text = format!("{}\n[limits]\nhold = \"1s\"\n", EntrySettings::SAMPLE);
    assert!(has_fault(&entry_faults(&text), 13, "limits.hold"));
    let text = format!(
        "{}\n[limits]\nannounce = \"2s\"\nbeat = \"5s\"\n",
        AgentSettings::SAMPLE
    );
    let faults = agent_faults(&text);
    assert!(has_fault(&faults, 10, "limits.announce"), "{faults:#?}");
    assert!(has_fault(&faults, 11, "limits.beat"), "{faults:#?}");
}

/// The sample's value, which is filled in for a faulty one, can conflict with a value of the file.
/// An operator would look for a duplicate address that the file doesn't have.
#[test]
fn no_false_conflict() {
    let text = EntrySettings::SAMPLE.replace("own = \"10.0.0.1:7001\"", "own = 7");
    let text = text.replace("callers = \"10.0.0.1:8080\"", "callers = \"10.0.0.1:7001\"");
    let faults = entry_faults(&text);
    assert_eq!(faults.len(), 1, "{faults:#?}");
    assert!(has_fault(&faults, 6, "own"), "{faults:#?}");
}

/// Returns a random span, size and count.
fn limits(gen: &mut Gen) -> (Span, Size, u32) {
    let pick = |gen: &mut Gen| u64::from(*gen.choose(&[2u32, 3, 7, 60, 999]).expect("not empty"));
    (
        Span::from_secs(pick(gen)),
        Size::from_mib(pick(gen)),
        pick(gen) as u32,
    )
}

/// A value that is printed with its unit must be read back as the same value.
#[test]
fn units_preserved() {
    let mut gen = Gen::from_size_and_seed(20, 7);
    for _ in 0..50 {
        let (lease, body, events) = limits(&mut gen);
        let text = format!(
            "{}\n[limits]\nlease = \"{lease}\"\nbody = \"{body}\"\nevents = {events}\ndeadline = \"1h\"\nhold = \"2h\"\n",
            EntrySettings::SAMPLE
        );
        let read = check::<EntrySettings>(&text).expect("no faults").limits;
        assert_eq!((read.lease, read.body, read.events), (lease, body, events));
    }
}

/// `check` is run on any file, and must not panic on one that is no settings file.
#[test]
fn any_text() {
    fn never_panics(text: String) -> bool {
        let _ = check::<EntrySettings>(&text);
        let _ = check::<AgentSettings>(&format!("host = {text}"));
        true
    }
    let gen = Gen::from_size_and_seed(60, 11);
    QuickCheck::new()
        .rng(gen)
        .tests(500)
        .quickcheck(never_panics as fn(String) -> bool);
}

/// Guards against an operator who can't tell whether the file is missing, locked or a folder.
#[test]
fn unreadable_file_named() {
    let path = std::path::Path::new("/nowhere/agent.toml");
    let report = snipemast_settings::read::<AgentSettings>(path).expect_err("no file");
    let message = report.to_string();
    assert!(
        message.starts_with("/nowhere/agent.toml can't be read: No such file"),
        "{message}"
    );
}
