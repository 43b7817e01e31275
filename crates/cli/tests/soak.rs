//! A short soak test of the real programs.

use std::path::Path;

use snipemast_core::prelude::*;
use snipemast_tests::soak::{run, Options};

fn soak(seed: u64, seconds: u64, processes: u8) {
    let folder = std::env::temp_dir().join(format!("soak-test-{}-{seed}", std::process::id()));
    let options = Options {
        seed,
        length: Span::from_secs(seconds),
        processes,
        binary: Path::new(env!("CARGO_BIN_EXE_snipemast")).to_owned(),
        folder: folder.clone(),
    };
    let outcome = run(&options).expect("the programs start");
    let (violations, faults) = (&outcome.violations, &outcome.faults);
    assert!(
        violations.is_empty(),
        "seed {seed}, logs in {}: {violations:#?}, {faults:?}",
        folder.display()
    );
    assert!(outcome.served * 10 >= outcome.requests * 8, "{outcome:?}");
    assert!(outcome.changes > 0 && !faults.is_empty());
}

/// Guards against broken guarantees to callers, servers and operators while processes are killed, stopped
/// and cut off from the network.
#[test]
fn short_soak() {
    soak(1, 30, 6);
}
