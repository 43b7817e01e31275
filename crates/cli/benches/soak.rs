//! A randomized soak test of the real programs: `cargo bench --bench soak -- --seed 7 --minutes 2`.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options as _;

use snipemast_core::prelude::*;
use snipemast_tests::soak::{run, Options};

#[derive(Debug, gumdrop::Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// Passed by the test runner.
    #[options(no_short)]
    bench: bool,
    /// The first seed, which determines all injected faults (1).
    #[options(default = "1")]
    seed: u64,
    /// The number of seeds to run, one after another (1).
    #[options(default = "1")]
    seeds: u64,
    /// The length of each run in minutes (1).
    #[options(default = "1")]
    minutes: f64,
    /// The number of processes, of which three are controllers (7).
    #[options(default = "7")]
    processes: u8,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let mut failed = false;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        let options = Options {
            seed,
            length: Span::from_micros((arguments.minutes * 60e6) as u64),
            processes: arguments.processes,
            binary: PathBuf::from(env!("CARGO_BIN_EXE_snipemast")),
            folder: folder.clone(),
        };
        match run(&options) {
            Ok(outcome) => {
                let (requests, served) = (outcome.requests, outcome.served);
                println!(
                    "seed {seed}: {} faults, {requests} requests, {served} served, {} changes, {} violated guarantees",
                    outcome.faults.len(),
                    outcome.changes,
                    outcome.violations.len(),
                );
                if !outcome.violations.is_empty() {
                    failed = true;
                    println!("logs in {}", folder.display());
                    for planned in &outcome.faults {
                        println!("  {} {:?}", planned.at, planned.fault);
                    }
                    for violation in outcome.violations.iter().take(10) {
                        println!("  {violation}");
                    }
                }
            }
            Err(e) => {
                failed = true;
                println!("seed {seed}: not run: {e}");
            }
        }
    }
    if failed {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
