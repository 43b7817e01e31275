//! A randomized soak of the real programs: `cargo bench --bench soak -- --seed 7 --minutes 2`.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options as _;

use snipemast_core::prelude::*;
use snipemast_tests::soak::{run, Options};

#[derive(Debug, gumdrop::Options)]
struct Arguments {
    /// Shows this text.
    help: bool,
    /// Given by the test runner.
    #[options(no_short)]
    bench: bool,
    /// The first seed; it decides every trouble (1).
    #[options(default = "1")]
    seed: u64,
    /// How many seeds are played, one after another (1).
    #[options(default = "1")]
    seeds: u64,
    /// How long each lasts, in minutes (1).
    #[options(default = "1")]
    minutes: f64,
    /// How many processes run, three controllers among them (7).
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
                let (asked, served) = (outcome.asked, outcome.served);
                println!(
                    "seed {seed}: {} troubles, {asked} requests, {served} served, {} changes, {} broken promises",
                    outcome.troubles.len(),
                    outcome.changes,
                    outcome.broken.len(),
                );
                if !outcome.broken.is_empty() {
                    failed = true;
                    println!("logs in {}", folder.display());
                    for planned in &outcome.troubles {
                        println!("  {} {:?}", planned.at, planned.trouble);
                    }
                    for broken in outcome.broken.iter().take(10) {
                        println!("  {broken}");
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
