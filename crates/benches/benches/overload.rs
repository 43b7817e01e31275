//! Compares ways of admission over all gateways: what callers get by kind of request, under more demand than
//! a group carries, a burst of the least urgent kind, and shifts of the demand for experts.
//!
//! The simulation runs in virtual time, and all ways get the same demand.

use snipemast_benches::placing::admission::{Ceiling, Reach, Way, USUAL_PROMPTS};
use snipemast_benches::placing::callers::CallersOutcome;
use snipemast_benches::placing::demand::Demand;
use snipemast_benches::placing::{simulate_callers, Setup};
use snipemast_benches::report::{BenchArgs, Figures};
use snipemast_core::prelude::*;
use snipemast_placement::pick::PickPolicy;

/// How many times as long a pass lasts after a shift.
const SHIFT_RATIO: f64 = 1.65;

/// The same for a shift with which full ranks still keep to the promised pause.
const MILD_RATIO: f64 = 1.4;

const WAYS: [(&str, Way); 12] = [
    ("today", Way::TODAY),
    ("cap-70", Way::new(Ceiling::Fixed(70), Reach::All)),
    ("cap-100", Way::new(Ceiling::Fixed(100), Reach::All)),
    ("reserve-60", Way::new(Ceiling::Fixed(60), Reach::Patient)),
    ("less-60", Way::new(Ceiling::Fixed(60), Reach::LessUrgent)),
    ("told-60", Way::new(Ceiling::Told(60), Reach::LessUrgent)),
    ("steps-70", Way::new(Ceiling::Fixed(70), Reach::Steps)),
    ("aimd", Way::new(Ceiling::Aimd, Reach::All)),
    ("aimd-less", Way::new(Ceiling::Aimd, Reach::LessUrgent)),
    ("passes", Way::new(Ceiling::Passes, Reach::All)),
    ("passes-less", Way::new(Ceiling::Passes, Reach::LessUrgent)),
    ("passes-steps", Way::new(Ceiling::Passes, Reach::Steps)),
];

/// One simulation: its key in the figures, and its setup.
type Run = (String, Setup);

fn main() {
    let args = BenchArgs::parse();
    let mut figures = Figures::new();
    let mut runs = ceiling_runs();
    let sizes: &[usize] = if args.quick { &[9] } else { &[9, 40, 74, 149] };
    for gateways in sizes {
        runs.extend(way_runs(*gateways, MILD_RATIO));
    }
    if args.quick {
        runs.retain(|(key, _)| !key.starts_with("ceiling") || key.contains("_250_ms_1.2_load"));
    } else {
        runs.extend(way_runs(40, SHIFT_RATIO));
    }
    let chosen = std::env::args().skip(1).find(|a| !a.starts_with('-'));
    runs.retain(|(key, _)| {
        chosen
            .as_ref()
            .is_none_or(|part| key.contains(part.as_str()))
    });
    for (key, seen) in simulate_all(&runs) {
        report(args, key, &seen, &mut figures);
    }
    if args.json {
        figures.print(args);
    }
}

/// Returns the setup for a number of gateways, with ranks in proportion.
fn sized(gateways: usize) -> Setup {
    let middle = Setup::middle();
    let near = match gateways {
        0..=20 => Setup::small(),
        21..=100 => middle,
        _ => Setup::large(),
    };
    Setup {
        ranks: near.ranks * gateways / near.gateways,
        gateways,
        reads: USUAL_PROMPTS,
        length: Span::from_secs(if gateways > 100 { 22 } else { 34 }),
        ..near
    }
}

/// Runs all simulations, some at a time, and returns their outcomes in order.
fn simulate_all(runs: &[Run]) -> Vec<(&str, CallersOutcome)> {
    const THREADS: usize = 4;
    let part = |first: usize| {
        let runs = runs.iter().skip(first).step_by(THREADS);
        let outcomes = runs.map(|(_, setup)| simulate_callers::<PickPolicy>(setup));
        outcomes.collect::<Vec<_>>()
    };
    let parts: Vec<Vec<CallersOutcome>> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|first| scope.spawn(move || part(first)))
            .collect();
        let joined = threads.into_iter().map(|thread| thread.join());
        joined.map(|part| part.expect("a simulation")).collect()
    });
    let outcomes = (0..runs.len()).map(|n| parts[n % THREADS][n / THREADS].clone());
    let keys = runs.iter().map(|(key, _)| key.as_str());
    keys.zip(outcomes).collect()
}

/// Returns the runs of each ceiling at each load, with requests of one kind and with counts of two ages.
fn ceiling_runs() -> Vec<Run> {
    let mut runs = Vec::new();
    for (ratio, wait) in [
        (1.5, 250),
        (SHIFT_RATIO, 250),
        (SHIFT_RATIO, 66),
        (1.8, 250),
        (1.8, 66),
        (2.3, 250),
    ] {
        for load in [0.6, 0.8, 1.0, 1.2] {
            for ceiling in [40, 50, 60, 70, 80, 90, 100, 125, 150] {
                let near = sized(40);
                let setup = Setup {
                    demand: Demand::of_one(near.pieces).with_shifts(ratio),
                    way: Way::new(Ceiling::Fixed(ceiling), Reach::All),
                    wait: Span::from_millis(wait),
                    ..near
                };
                let key = format!("ceiling_{ratio}_ratio_{wait}_ms_{load}_load_{ceiling}");
                runs.push((key, setup.with_load(load)));
            }
        }
    }
    runs
}

/// Returns the runs of each way at each load, and with a burst of the least urgent kind.
fn way_runs(gateways: usize, ratio: f64) -> Vec<Run> {
    let mut runs = Vec::new();
    let setup = sized(gateways);
    for (load, burst) in [
        (0.6, true),
        (0.8, true),
        (1.1, false),
        (1.5, false),
        (2.4, false),
    ] {
        for (name, way) in WAYS {
            let mut demand = Demand::of_three(setup.pieces).with_shifts(ratio);
            if burst {
                let at = |seconds| Moment::ZERO + Span::from_secs(seconds);
                demand = demand.with_burst(2.4, at(8), at(13));
            }
            let setup = Setup {
                demand,
                way,
                ..setup.clone()
            };
            let burst = if burst { "_burst" } else { "" };
            let key = format!("{gateways}_gateways_{ratio}_ratio_{load}_load{burst}_{name}");
            runs.push((key, setup.with_load(load)));
        }
    }
    runs
}

fn report(args: BenchArgs, key: &str, seen: &CallersOutcome, figures: &mut Figures) {
    let kinds: Vec<String> = seen
        .kinds
        .iter()
        .map(|kind| format!("{:.3}/{:.3}", kind.on_time, kind.served))
        .collect();
    if !args.json {
        println!(
            "{key:<42} on time {:.3}, goodput {:.3}, refused {:.3}, calm {:>4.1}, on time/served by kind {}",
            seen.on_time,
            seen.goodput,
            seen.refused,
            seen.calm,
            kinds.join(" ")
        );
    }
    figures.add(&format!("{key}_on_time"), seen.on_time);
    figures.add(&format!("{key}_goodput"), seen.goodput);
    figures.add(&format!("{key}_refused"), seen.refused);
    figures.add(&format!("{key}_calm"), seen.calm);
    if let (Some(first), Some(last)) = (seen.kinds.first(), seen.kinds.last()) {
        figures.add(&format!("{key}_urgent"), first.on_time);
        figures.add(&format!("{key}_least_served"), last.served);
    }
}
