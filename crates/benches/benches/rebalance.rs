//! Compares skew and disturbance of the rebalancing policy with baselines, on several traces.
//!
//! `cargo bench --bench rebalance -- --json` prints the figures; `-- --plots` draws skew by cost
//! for the whole range of weights into `docs/plots/`.

#[path = "../../groups/tests/common/mod.rs"]
mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Instant;

use plotters::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use snipemast_benches::report::{BenchArgs, Figures};
use snipemast_benches::traces::{draw, repacked, replicated, Kind, Shape, Trace};
use snipemast_core::prelude::*;
use snipemast_groups::estimate::{Counts, Popularity, Smoothing};
use snipemast_groups::map::{weight_loads, ExpertMap};
use snipemast_groups::pace::{rank_health, Work};
use snipemast_groups::policy::{Phase, Policy, Situation, Weights};

/// Time between two reports.
const INTERVAL: Span = Span::from_secs(10);
/// Number of steps whose tokens one report counts.
const COUNTED_STEPS: f64 = 100.0;
/// Number of steps measured in each interval.
const MEASURED_STEPS: usize = 3;
/// Requests that start in a second; those that start on a rank while it loads weights are disturbed.
const ARRIVALS: f64 = 20.0;
/// Duration of a weight load, in seconds.
const LOAD_SECS: f64 = 0.05;
/// Requests in flight on a group.
const IN_FLIGHT: f64 = 64.0;

/// The algorithm that moves experts.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Mover {
    Static,
    Repack,
    Replicate,
    Weighed(Weights),
}

/// The skew and the costs of a run.
#[derive(Debug, Clone, Copy, Default)]
struct Score {
    skew: f64,
    skew_p95: f64,
    fullest: f64,
    moves: f64,
    loads: f64,
    switches: f64,
    disturbed: f64,
}

fn cordillera() -> Mover {
    Mover::Weighed(Weights::new(900, 100))
}

fn vandermeulen() -> Mover {
    Mover::Weighed(Weights::new(100, 900))
}

fn smoothing(mover: Mover) -> Smoothing {
    match mover {
        Mover::Weighed(w) => Smoothing::from_weights(w.skew, w.disturbance),
        _ => Smoothing::default(),
    }
}

/// One run of a mover on a trace.
struct Run<'a> {
    trace: &'a Trace,
    mover: Mover,
    home: ExpertMap,
    map: ExpertMap,
    popularity: Popularity,
    report: Option<Counts>,
    works: Vec<Work>,
    since: usize,
    rng: StdRng,
    gaps: Vec<f64>,
    fullest: f64,
    score: Score,
}

impl<'a> Run<'a> {
    fn new(trace: &'a Trace, mover: Mover) -> Self {
        let Shape {
            ranks,
            experts,
            slots,
            layers,
            ..
        } = trace.shape;
        let home = ExpertMap::round_robin(layers, ranks, slots, experts);
        Self {
            trace,
            mover,
            map: home.clone(),
            home,
            popularity: Popularity::new(smoothing(mover)),
            report: None,
            works: Vec::new(),
            since: 0,
            rng: StdRng::seed_from_u64(7),
            gaps: Vec::new(),
            fullest: 0.0,
            score: Score::default(),
        }
    }

    fn finish(mut self) -> Score {
        for interval in 0..self.trace.shares.len() {
            self.decide(interval);
            self.measure(interval);
            self.count(interval);
        }
        let samples = self.gaps.len() as f64;
        self.score.skew = self.gaps.iter().sum::<f64>() / samples;
        self.score.fullest = self.fullest / samples;
        self.gaps.sort_by(f64::total_cmp);
        self.score.skew_p95 = self.gaps[self.gaps.len() * 95 / 100];
        self.score
    }

    /// Decides by the report of the previous interval; one report in twenty is lost.
    fn decide(&mut self, interval: usize) {
        let Some(counts) = self.report.take() else {
            return;
        };
        if self.rng.random_range(0..20) == 0 {
            return;
        }
        self.popularity.record(&counts);
        let raw: Vec<Vec<f64>> = counts.layers.iter().map(|l| shares_of(l)).collect();
        let next = match self.mover {
            Mover::Static => return,
            Mover::Repack => repacked(&self.map, &raw),
            Mover::Replicate => replicated(&self.home, &raw),
            Mover::Weighed(weights) => self.weighed(weights, interval),
        };
        self.switch(next, interval);
    }

    fn weighed(&self, weights: Weights, interval: usize) -> ExpertMap {
        let health = rank_health(&self.works);
        let situation = Situation {
            map: &self.map,
            shares: self.popularity.shares(),
            health: &health,
            phase: Phase::Stepping,
            since: INTERVAL.times((interval - self.since) as u64),
            age: INTERVAL,
        };
        let decision = Policy::new(weights).decide(&situation);
        self.map.with_moves(&decision.moves)
    }

    fn switch(&mut self, next: ExpertMap, interval: usize) {
        let moves = self.map.moves_to(&next);
        if moves.is_empty() {
            return;
        }
        let loads = weight_loads(&self.map, &moves) as f64;
        self.score.moves += moves.len() as f64;
        self.score.loads += loads;
        self.score.switches += 1.0;
        let busy = loads / f64::from(self.trace.shape.ranks) * LOAD_SECS;
        let ready = if loads > 0.0 { IN_FLIGHT } else { 0.0 };
        self.score.disturbed += ready.min(loads) + busy * ARRIVALS;
        self.since = interval;
        self.map = next;
    }

    fn measure(&mut self, interval: usize) {
        let shape = self.trace.shape;
        let ranks = usize::from(shape.ranks);
        self.works = vec![Work::default(); ranks];
        for _ in 0..MEASURED_STEPS {
            for (layer, shares) in self.map.layers.iter().zip(&self.trace.shares[interval]) {
                let tokens = draw(shares, shape.tokens, &mut self.rng);
                let loads = layer.rank_loads(&tokens);
                let mean = loads.iter().sum::<f64>() / ranks as f64;
                let mut times = Vec::with_capacity(ranks);
                for (rank, load) in loads.iter().enumerate() {
                    let time = load * self.trace.slowness(interval, rank);
                    times.push(time / mean);
                    let work = &mut self.works[rank];
                    work.tokens += *load as u64;
                    work.busy = Span::from_micros(work.busy.as_micros() + time as u64);
                }
                let longest = times.iter().copied().fold(0.0, f64::max);
                let shortest = times.iter().copied().fold(f64::INFINITY, f64::min);
                self.gaps.push(longest - shortest);
                self.fullest += loads.iter().copied().fold(0.0, f64::max) / mean;
            }
        }
    }

    fn count(&mut self, interval: usize) {
        let tokens = self.trace.shape.tokens * COUNTED_STEPS;
        let layers = self.trace.shares[interval].iter().map(|shares| {
            let drawn = draw(shares, tokens, &mut self.rng);
            drawn.into_iter().map(|t| t as u32).collect()
        });
        self.report = Some(Counts {
            at: Moment::ZERO + INTERVAL.times(interval as u64 + 1),
            layers: layers.collect(),
        });
    }
}

fn shares_of(counts: &[u32]) -> Vec<f64> {
    let sum: f64 = counts.iter().map(|c| f64::from(*c)).sum();
    counts
        .iter()
        .map(|c| f64::from(*c) / sum.max(1.0))
        .collect()
}

/// Runs every mover on every trace in parallel; returns scores by trace and mover.
fn run_all(traces: &[Trace], movers: &[Mover]) -> Vec<Vec<Score>> {
    let next = AtomicUsize::new(0);
    let scores = Mutex::new(vec![vec![Score::default(); movers.len()]; traces.len()]);
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                let (t, m) = (n / movers.len(), n % movers.len());
                let Some(trace) = traces.get(t) else { return };
                let score = Run::new(trace, movers[m]).finish();
                scores.lock().expect("no run panics")[t][m] = score;
            });
        }
    });
    scores.into_inner().expect("no run panics")
}

/// Returns the mean over traces of a ratio between two movers.
fn ratio(scores: &[Vec<Score>], a: usize, b: usize, of: fn(&Score) -> f64) -> f64 {
    let ratios = scores.iter().map(|s| of(&s[a]) / of(&s[b]).max(1e-9));
    ratios.sum::<f64>() / scores.len() as f64
}

fn mean(scores: &[Vec<Score>], a: usize, of: fn(&Score) -> f64) -> f64 {
    scores.iter().map(|s| of(&s[a])).sum::<f64>() / scores.len() as f64
}

fn traces(shape: Shape, intervals: usize) -> Vec<Trace> {
    let kinds = Kind::ALL.iter().enumerate();
    kinds
        .map(|(n, kind)| Trace::new(*kind, shape, intervals, 11 + n as u64))
        .collect()
}

fn small(layers: usize) -> Shape {
    Shape {
        ranks: 16,
        experts: 64,
        slots: 5,
        layers,
        tokens: 16.0 * 256.0 * 8.0,
    }
}

fn large(layers: usize) -> Shape {
    Shape {
        layers,
        ..sized(128, 256)
    }
}

/// Returns one layer with two experts and a spare slot for each rank.
fn sized(ranks: u16, experts: u16) -> Shape {
    Shape {
        ranks,
        experts,
        slots: 3,
        layers: 1,
        tokens: f64::from(ranks) * 256.0 * 8.0,
    }
}

/// Returns the median and the least time of a decision, in milliseconds, on one core.
///
/// The decision starts from the round-robin map, which leaves the most to decide. The least time is
/// the one that other processes disturb least.
fn decision_ms(shape: Shape, rounds: usize) -> (f64, f64) {
    let trace = Trace::new(Kind::Steady, shape, 1, 5);
    let map = ExpertMap::round_robin(shape.layers, shape.ranks, shape.slots, shape.experts);
    let situation = Situation {
        map: &map,
        shares: &trace.shares[0],
        health: &[],
        phase: Phase::Stepping,
        since: Span::from_secs(3_600),
        age: INTERVAL,
    };
    let policy = Policy::new(Weights::new(900, 100));
    let mut times: Vec<f64> = (0..rounds)
        .map(|_| {
            let start = Instant::now();
            std::hint::black_box(policy.decide(std::hint::black_box(&situation)));
            start.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    (times[times.len() / 2], times[0])
}

/// Returns the steps held in simulations without faults, each with one switch of maps.
fn held_steps(seeds: u64) -> u64 {
    let held = (0..seeds).map(|seed| match common::sim::run_checked(8, seed, &[]) {
        Ok(sim) => sim.world.held,
        Err(fault) => panic!("a simulation without faults fails: {fault:?}"),
    });
    held.sum()
}

fn table(title: &str, traces: &[Trace], names: &[&str], scores: &[Vec<Score>]) {
    println!("\n{title}");
    println!("trace       mover         skew   p95  fullest   moves   loads switches disturbed");
    for (trace, row) in traces.iter().zip(scores) {
        for (name, s) in names.iter().zip(row) {
            println!(
                "{:11} {name:12} {:5.3} {:5.3}   {:5.3} {:8} {:7} {:6} {:9.0}",
                trace.kind.name(),
                s.skew,
                s.skew_p95,
                s.fullest,
                s.moves,
                s.loads,
                s.switches,
                s.disturbed
            );
        }
    }
}

/// The skew weights in the plot; the weight of disturbance is the rest of 1000.
const PLOTTED_WEIGHTS: [u32; 9] = [5, 20, 50, 100, 300, 500, 700, 900, 980];

/// Draws skew by weight loads for one group size: skew relative to the static map, loads relative to
/// a full re-pack.
fn plot(name: &str, title: &str, traces: &[Trace]) -> Result<(), Box<dyn std::error::Error>> {
    let mut movers = vec![Mover::Static, Mover::Repack, Mover::Replicate];
    let weighed = |skew| Mover::Weighed(Weights::new(skew, 1_000 - skew));
    movers.extend(PLOTTED_WEIGHTS.map(weighed));
    let scores = run_all(traces, &movers);
    let at = |m: usize| {
        let loads = ratio(&scores, m, 1, |s| s.loads).max(1e-4);
        (loads, ratio(&scores, m, 0, |s| s.skew))
    };
    let path = format!("{}/../../docs/plots/{name}.svg", env!("CARGO_MANIFEST_DIR"));
    let area = SVGBackend::new(&path, (760, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(56)
        .build_cartesian_2d((5e-4..1.5f64).log_scale(), 0.0..0.3f64)?;
    chart
        .configure_mesh()
        .x_desc("weight loads, as a part of a full re-pack each interval")
        .y_desc("skew, as a part of the static map's")
        .draw()?;
    let line: Vec<(f64, f64)> = (0..PLOTTED_WEIGHTS.len()).map(|n| at(n + 3)).collect();
    chart.draw_series(LineSeries::new(line.clone(), &BLUE))?;
    for (skew, point) in PLOTTED_WEIGHTS.iter().zip(&line) {
        println!(
            "{name}: skew weight {skew}: loads {:.4} skew {:.4}",
            point.0, point.1
        );
        let label = format!("{skew}");
        chart.draw_series([EmptyElement::at(*point)
            + Circle::new((0, 0), 3, BLUE.filled())
            + Text::new(label, (6, -14), ("sans-serif", 12))])?;
    }
    for (m, label) in [(1, "full re-pack"), (2, "greedy replication")] {
        println!("{name}: {label}: loads {:.4} skew {:.4}", at(m).0, at(m).1);
        chart.draw_series([EmptyElement::at(at(m))
            + Circle::new((0, 0), 4, RED.filled())
            + Text::new(label, (-70, -16), ("sans-serif", 12))])?;
    }
    area.present()?;
    Ok(())
}

fn main() {
    if std::env::args().any(|a| a == "--plots") {
        let few = "16 ranks x 64 experts: skew against cost, by weight of skew";
        plot("rebalance-16x64", few, &traces(small(4), 300)).expect("a plot is drawn");
        let many = "128 ranks x 256 experts: skew against cost, by weight of skew";
        plot("rebalance-128x256", many, &traces(large(2), 200)).expect("a plot is drawn");
        return;
    }
    let args = BenchArgs::parse();
    let quick = args.quick;
    let movers = [
        Mover::Static,
        Mover::Repack,
        Mover::Replicate,
        cordillera(),
        vandermeulen(),
    ];
    let names = [
        "static",
        "repack",
        "replicate",
        "cordillera",
        "vandermeulen",
    ];
    let intervals = if quick { 120 } else { 300 };
    let (few, many) = if quick { (2, 1) } else { (4, 4) };
    let small_traces = traces(small(few), intervals);
    let large_traces = traces(large(many), intervals);
    let small_scores = run_all(&small_traces, &movers);
    let large_scores = run_all(&large_traces, &movers);
    let all: Vec<Vec<Score>> = small_scores.iter().chain(&large_scores).cloned().collect();
    let (layer, layer_least) = decision_ms(large(1), 41);
    let (layers, layers_least) = decision_ms(large(58), 9);
    let (few_ranks, _) = decision_ms(small(1), 41);
    let (half, _) = decision_ms(sized(64, 128), 41);
    let (twice, _) = decision_ms(sized(256, 512), 41);
    let held = held_steps(if quick { 20 } else { 200 });
    if !args.json {
        table(
            "16 ranks x 64 experts",
            &small_traces,
            &names,
            &small_scores,
        );
        table(
            "128 ranks x 256 experts",
            &large_traces,
            &names,
            &large_scores,
        );
    }
    let mut figures = Figures::new();
    for (key, value) in [
        ("cordillera_skew_vs_static", ratio(&all, 3, 0, |s| s.skew)),
        ("cordillera_skew_vs_repack", ratio(&all, 3, 1, |s| s.skew)),
        ("cordillera_loads_vs_repack", ratio(&all, 3, 1, |s| s.loads)),
        ("cordillera_fullest_vs_bound", mean(&all, 3, |s| s.fullest)),
        (
            "cordillera_skew_p95_vs_static",
            ratio(&all, 3, 0, |s| s.skew_p95),
        ),
        ("cordillera_disturbed", mean(&all, 3, |s| s.disturbed)),
        ("vandermeulen_skew_vs_static", ratio(&all, 4, 0, |s| s.skew)),
        (
            "vandermeulen_loads_vs_repack",
            ratio(&all, 4, 1, |s| s.loads),
        ),
        ("vandermeulen_disturbed", mean(&all, 4, |s| s.disturbed)),
        ("replicate_skew_vs_static", ratio(&all, 2, 0, |s| s.skew)),
        ("replicate_loads_vs_repack", ratio(&all, 2, 1, |s| s.loads)),
        ("repack_disturbed", mean(&all, 1, |s| s.disturbed)),
        ("held_steps", held as f64),
        ("decision_ms", layer),
        ("decision_58_ms", layers),
        ("decision_least_ms", layer_least),
        ("decision_58_least_ms", layers_least),
        ("decision_16x64_ms", few_ranks),
        ("decision_64x128_ms", half),
        ("decision_256x512_ms", twice),
        ("layers_of_large_traces", many as f64),
        ("intervals", intervals as f64),
    ] {
        figures.add(key, value);
    }
    figures.print(args);
}
