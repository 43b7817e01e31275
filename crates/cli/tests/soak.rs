//! A short soak of the real programs, and the seeds that once failed.

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
    let (broken, troubles) = (&outcome.broken, &outcome.troubles);
    assert!(
        broken.is_empty(),
        "seed {seed}, logs in {}: {broken:#?}, {troubles:?}",
        folder.display()
    );
    assert!(outcome.served * 10 >= outcome.asked * 8, "{outcome:?}");
    assert!(outcome.changes > 0 && !troubles.is_empty());
}

/// Callers, servers and operators see every promise kept while processes are killed, stopped and cut off.
#[test]
fn short_soak() {
    soak(1, 30, 6);
}
