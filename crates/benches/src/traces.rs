//! Traces of expert popularity, and maps that baselines of our own make of them.

use std::f64::consts::TAU;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use snipemast_groups::map::{ExpertMap, Layer, EMPTY};

/// The size of a group.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Ranks.
    pub ranks: u16,
    /// Experts of a layer.
    pub experts: u16,
    /// Slots of a rank in a layer.
    pub slots: u16,
    /// Layers.
    pub layers: usize,
    /// Tokens times chosen experts, of one layer in one step.
    pub tokens: f64,
}

/// What popularity does in a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Zipf, always the same.
    Steady,
    /// One Zipf order turns into another over the whole trace.
    Drift,
    /// One Zipf order turns into another at once, in the middle.
    Shift,
    /// Now and then a few experts are four times as popular for two intervals.
    Burst,
    /// One expert takes a third of the load.
    Dominant,
    /// Popularity is steady; one rank needs three times as long for a twentieth of the trace.
    Stall,
    /// Ten workspaces with their own favourites, whose shares rise and fall.
    Workspaces,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Drift,
        Self::Shift,
        Self::Burst,
        Self::Dominant,
        Self::Stall,
        Self::Workspaces,
    ];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Drift => "drift",
            Self::Shift => "shift",
            Self::Burst => "burst",
            Self::Dominant => "dominant",
            Self::Stall => "stall",
            Self::Workspaces => "workspaces",
        }
    }
}

/// The true popularity of one layer's experts in every interval.
#[derive(Debug)]
pub struct Trace {
    /// What it shows.
    pub kind: Kind,
    /// The group.
    pub shape: Shape,
    /// By interval, layer and expert; each layer sums to 1.
    pub shares: Vec<Vec<Vec<f64>>>,
}

impl Trace {
    /// Makes a trace.
    pub fn new(kind: Kind, shape: Shape, intervals: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let layers: Vec<Vec<Vec<f64>>> = (0..shape.layers)
            .map(|_| layer(kind, usize::from(shape.experts), intervals, &mut rng))
            .collect();
        let at = |i: usize| layers.iter().map(|l| l[i].clone()).collect();
        Self {
            kind,
            shape,
            shares: (0..intervals).map(at).collect(),
        }
    }

    /// How many times as long as usual a rank needs in an interval.
    pub fn slowness(&self, interval: usize, rank: usize) -> f64 {
        let length = self.shares.len();
        let stalled = (length / 2..length / 2 + length / 20).contains(&interval);
        if self.kind == Kind::Stall && rank == 3 && stalled {
            3.0
        } else {
            1.0
        }
    }
}

fn layer(kind: Kind, experts: usize, intervals: usize, rng: &mut StdRng) -> Vec<Vec<f64>> {
    let base = zipf(experts, rng);
    let other = zipf(experts, rng);
    match kind {
        Kind::Steady | Kind::Stall => vec![base; intervals],
        Kind::Drift => (0..intervals)
            .map(|i| mix(&base, &other, i as f64 / intervals as f64))
            .collect(),
        Kind::Shift => (0..intervals)
            .map(|i| {
                if i < intervals / 2 {
                    base.clone()
                } else {
                    other.clone()
                }
            })
            .collect(),
        Kind::Burst => bursts(&base, intervals, rng),
        Kind::Dominant => vec![dominated(base, rng); intervals],
        Kind::Workspaces => workspaces(experts, intervals, rng),
    }
}

/// Zipf shares in a random order.
fn zipf(experts: usize, rng: &mut StdRng) -> Vec<f64> {
    let mut shares: Vec<f64> = (0..experts)
        .map(|n| 1.0 / (n as f64 + 1.0).powf(0.8))
        .collect();
    for n in (1..experts).rev() {
        shares.swap(n, rng.random_range(0..=n));
    }
    normalized(shares)
}

fn normalized(mut shares: Vec<f64>) -> Vec<f64> {
    let sum: f64 = shares.iter().sum();
    shares.iter_mut().for_each(|s| *s /= sum);
    shares
}

fn mix(a: &[f64], b: &[f64], part: f64) -> Vec<f64> {
    let pairs = a.iter().zip(b);
    pairs.map(|(a, b)| a * (1.0 - part) + b * part).collect()
}

fn bursts(base: &[f64], intervals: usize, rng: &mut StdRng) -> Vec<Vec<f64>> {
    let mut all = vec![base.to_vec(); intervals];
    let mut at = 5;
    while at + 2 < intervals {
        for _ in 0..base.len() / 16 {
            let expert = rng.random_range(0..base.len());
            all[at][expert] *= 4.0;
            all[at + 1][expert] *= 4.0;
        }
        at += rng.random_range(8..20);
    }
    all.into_iter().map(normalized).collect()
}

fn dominated(mut shares: Vec<f64>, rng: &mut StdRng) -> Vec<f64> {
    let expert = rng.random_range(0..shares.len());
    shares[expert] = 0.0;
    shares = normalized(shares);
    shares[expert] = 0.5;
    normalized(shares)
}

fn workspaces(experts: usize, intervals: usize, rng: &mut StdRng) -> Vec<Vec<f64>> {
    // A few are large.
    let sizes: Vec<f64> = (0..10).map(|n| 1.0 / (n as f64 + 1.0)).collect();
    let tastes: Vec<Vec<f64>> = sizes.iter().map(|_| zipf(experts, rng)).collect();
    let phases: Vec<f64> = sizes.iter().map(|_| rng.random_range(0.0..TAU)).collect();
    (0..intervals)
        .map(|i| {
            let mut shares = vec![0.0; experts];
            for ((size, taste), phase) in sizes.iter().zip(&tastes).zip(&phases) {
                // Each workspace's day goes up and down twice over the trace.
                let turn = 2.0 * TAU * i as f64 / intervals as f64 + phase;
                let part = size * (1.0 + 0.8 * turn.sin());
                for (share, taste) in shares.iter_mut().zip(taste) {
                    *share += part * taste;
                }
            }
            normalized(shares)
        })
        .collect()
}

/// Tokens that each expert takes when so many are drawn.
pub fn draw(shares: &[f64], tokens: f64, rng: &mut StdRng) -> Vec<f64> {
    let mean = shares.iter().map(|s| s * tokens);
    mean.map(|m| (m + m.sqrt() * normal(rng)).max(0.0).round())
        .collect()
}

/// A standard normal number, by Box and Muller.
fn normal(rng: &mut StdRng) -> f64 {
    let (u, v): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * u.max(1e-300).ln()).sqrt() * (TAU * v).cos()
}

/// Packs every layer anew: spare slots go to whoever has most load a replica, then each replica,
/// the largest first, goes to the least full rank.
pub fn repacked(map: &ExpertMap, shares: &[Vec<f64>]) -> ExpertMap {
    let layers = map.layers.iter().zip(shares);
    ExpertMap {
        layers: layers
            .map(|(layer, shares)| packed(layer, shares))
            .collect(),
    }
}

fn packed(old: &Layer, shares: &[f64]) -> Layer {
    let slots = usize::from(old.ranks()) * usize::from(old.slots());
    let mut counts = vec![1usize; shares.len()];
    for _ in shares.len()..slots {
        let part = |e: &usize| shares[*e] / counts[*e] as f64;
        let free = (0..shares.len()).filter(|e| counts[*e] < usize::from(old.ranks()));
        let hottest = free.max_by(|a, b| part(a).total_cmp(&part(b)));
        counts[hottest.expect("some expert is not everywhere")] += 1;
    }
    let mut replicas: Vec<(f64, u16)> = (0..shares.len())
        .flat_map(|e| vec![(shares[e] / counts[e] as f64, e as u16); counts[e]])
        .collect();
    replicas.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut layer = Layer::new(old.ranks(), old.slots());
    let mut used = vec![0u16; usize::from(old.ranks())];
    let mut loads = vec![0.0f64; usize::from(old.ranks())];
    for (load, expert) in replicas {
        let open = (0..old.ranks()).filter(|r| used[usize::from(*r)] < old.slots());
        let open = open.filter(|r| !layer.holds(*r, expert));
        let least = open.min_by(|a, b| loads[usize::from(*a)].total_cmp(&loads[usize::from(*b)]));
        // The last replicas may find no rank without them; one replica less does no harm.
        let Some(rank) = least else { continue };
        layer.set(rank, used[usize::from(rank)], expert);
        used[usize::from(rank)] += 1;
        loads[usize::from(rank)] += load;
    }
    layer
}

/// Leaves every expert at home and fills the spare slots with replicas of the hottest ones.
pub fn replicated(home: &ExpertMap, shares: &[Vec<f64>]) -> ExpertMap {
    let layers = home.layers.iter().zip(shares);
    ExpertMap {
        layers: layers.map(|(home, shares)| filled(home, shares)).collect(),
    }
}

fn filled(home: &Layer, shares: &[f64]) -> Layer {
    let mut layer = home.clone();
    loop {
        let replicas = layer.replicas(shares.len());
        let part = |e: usize| shares[e] / f64::from(replicas[e].max(1));
        let loads = layer.rank_loads(shares);
        let mut open: Vec<u16> = (0..layer.ranks())
            .filter(|r| layer.rank_slots(*r).contains(&EMPTY))
            .collect();
        open.sort_by(|a, b| loads[usize::from(*a)].total_cmp(&loads[usize::from(*b)]));
        let Some(&rank) = open.first() else {
            return layer;
        };
        let free = (0..shares.len()).filter(|e| !layer.holds(rank, *e as u16));
        let Some(expert) = free.max_by(|a, b| part(*a).total_cmp(&part(*b))) else {
            return layer;
        };
        let slot = layer.rank_slots(rank).iter().position(|e| *e == EMPTY);
        layer.set(rank, slot.expect("the rank has room") as u16, expert as u16);
    }
}
