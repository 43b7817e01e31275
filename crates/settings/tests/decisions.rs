//! The settings file for the decisions of a gateway.

use snipemast_placement::pick::PickPolicy;
use snipemast_settings::{parse, Decisions};

/// A file that names only some policies, or none, must leave the others at their defaults.
#[test]
fn defaults_kept() {
    assert_eq!(parse::<Decisions>("").unwrap(), Decisions::default());
    let named = parse::<Decisions>("placing = \"expected\"\nlate = 120\n").unwrap();
    assert_eq!((named.placing, named.late), (PickPolicy::Expected, 120));
    assert_eq!(named.polls, Decisions::default().polls);
}

/// An operator who mistypes a policy, a key and numbers must learn of every fault at once.
#[test]
fn faults_named() {
    let faulty =
        "placing = \"leest\"\nholdin = true\npolls = 0\nfull = 50\nyielding = 0\nlate = 0\n";
    let report = parse::<Decisions>(faulty).unwrap_err();
    let message = report.current_context().to_string();
    for key in ["placing", "holdin", "polls", "full", "yielding", "late"] {
        assert!(message.contains(key), "{message}");
    }
}
