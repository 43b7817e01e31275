//! Traces of expert popularity, and the expert maps that rebalancing baselines make from them.

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
    /// Tokens of one step times the experts that a layer chooses for each.
    pub tokens: f64,
}

/// How popularity develops over a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A constant Zipf distribution.
    Steady,
    /// One Zipf distribution turns gradually into another over the whole trace.
    Drift,
    /// One Zipf distribution is replaced by another at the middle of the trace.
    Shift,
    /// At random times, a few experts are four times as popular for two intervals.
    Burst,
    /// One expert takes a third of the load.
    Dominant,
    /// Popularity is steady; one rank needs three times as long for a twentieth of the trace.
    Stall,
    /// Ten workspaces prefer different experts, and their shares rise and fall.
    Workspaces,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Drift,
        Self::Shift,
        Self::Burst,
        Self::Dominant,
        Self::Stall,
        Self::Workspaces,
    ];

    /// Returns the name used in tables.
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
    /// How popularity develops.
    pub kind: Kind,
    /// The size of the group.
    pub shape: Shape,
    /// Shares by interval, layer and expert; the shares of a layer sum to 1.
    pub shares: Vec<Vec<Vec<f64>>>,
}

impl Trace {
    /// Generates a trace.
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

    /// Returns how many times as long as usual a rank takes in an interval.
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

/// Returns Zipf shares in a random order.
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
    // A few workspaces are large and most are small.
    let sizes: Vec<f64> = (0..10).map(|n| 1.0 / (n as f64 + 1.0)).collect();
    let preferences: Vec<Vec<f64>> = sizes.iter().map(|_| zipf(experts, rng)).collect();
    let phases: Vec<f64> = sizes.iter().map(|_| rng.random_range(0.0..TAU)).collect();
    (0..intervals)
        .map(|i| {
            let mut shares = vec![0.0; experts];
            for ((size, preference), phase) in sizes.iter().zip(&preferences).zip(&phases) {
                // Each workspace's load goes through two cycles over the trace.
                let angle = 2.0 * TAU * i as f64 / intervals as f64 + phase;
                let part = size * (1.0 + 0.8 * angle.sin());
                for (share, preference) in shares.iter_mut().zip(preference) {
                    *share += part * preference;
                }
            }
            normalized(shares)
        })
        .collect()
}

/// Draws at random how many of the tokens each expert receives.
pub fn draw(shares: &[f64], tokens: f64, rng: &mut StdRng) -> Vec<f64> {
    let mean = shares.iter().map(|s| s * tokens);
    mean.map(|m| (m + m.sqrt() * normal(rng)).max(0.0).round())
        .collect()
}

/// Returns a standard normal number, by the Box-Muller transform.
fn normal(rng: &mut StdRng) -> f64 {
    let (u, v): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * u.max(1e-300).ln()).sqrt() * (TAU * v).cos()
}

/// Packs every layer anew: each spare slot goes to the expert with the most load per replica, then
/// the replicas are placed on the least loaded rank, the largest first.
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
        counts[hottest.expect("some expert is missing on a rank")] += 1;
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
        // All open ranks may already hold the expert; one replica less does no harm.
        let Some(rank) = least else { continue };
        layer.set(rank, used[usize::from(rank)], expert);
        used[usize::from(rank)] += 1;
        loads[usize::from(rank)] += load;
    }
    layer
}

/// Keeps the home placement and fills the spare slots with replicas of the experts with most load.
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
