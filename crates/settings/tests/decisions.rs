//! The file that says which way decisions are taken.

use snipemast_placement::pick::PickPolicy;
use snipemast_settings::{parse, Decisions};

/// An operator leaves a file empty, or names one decision: the others go the usual way.
#[test]
fn defaults_kept() {
    assert_eq!(parse::<Decisions>("").unwrap(), Decisions::default());
    let named = parse::<Decisions>("placing = \"expected\"\nlate = 120\n").unwrap();
    assert_eq!((named.placing, named.late), (PickPolicy::Expected, 120));
    assert_eq!(named.polls, Decisions::default().polls);
}

/// An operator mistypes a way, a key and a number, and is told of each with its line.
#[test]
fn faults_named() {
    let faulty = "placing = \"leest\"\nholdin = true\npolls = 0\nfull = 50\n";
    let report = parse::<Decisions>(faulty).unwrap_err();
    let said = report.current_context().to_string();
    for place in ["placing", "holdin", "polls", "full"] {
        assert!(said.contains(place), "{said}");
    }
}
