//! Draws candidates out of a pool and compares them, without allocating.

use snipemast_core::prelude::*;

use crate::hash::{index_below, mix};
use crate::pool::{Means, Pool, Proximity, Tier};
use crate::prefix::Prefix;
use crate::query::{Choice, Query, RoutingPolicy, ServerIndex};
use crate::server::Server;

/// The time to the first sign of an answer that is assumed for a pool with no answers yet.
const DEFAULT_FIRST_SIGN: Span = Span::from_secs(5);
/// The load per slot that is added for a server of the next tier.
const FARTHER_LOAD: f64 = 0.1;
/// The load per slot that is added for a server that has just started.
///
/// It is added and not a factor, because the cold servers have to carry their part if all others
/// are nearly full, as in a wave of restarts.
const COLD_LOAD: f64 = 0.4;
/// The largest ratio of a server's step time to the mean that counts.
const MAX_STEP_RATIO: f64 = 8.0;
/// The ratio of a server's step time to the mean below which it shows only how full the server is.
const MIN_STEP_RATIO: f64 = 1.5;

/// The input of one choice.
pub(crate) struct ChoiceInput<'a> {
    pub(crate) policy: &'a RoutingPolicy,
    pub(crate) servers: &'a [Option<Server>],
    pub(crate) group_steps: &'a [f64],
    pub(crate) pool: &'a Pool,
    pub(crate) query: &'a Query<'a>,
    pub(crate) now: Moment,
}

/// The result of one choice.
#[derive(Debug, Default)]
pub(crate) struct ChoiceResult {
    pub(crate) choice: Option<Choice>,
    pub(crate) stalled: Option<u32>,
}

/// Which servers may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fitness {
    /// Only servers without any doubt about them.
    Sound,
    /// Also servers that may be dead, ejected or stalled, as no better one is left.
    Any,
}

/// A server with its score, of which the lowest wins.
#[derive(Debug, Clone, Copy)]
struct Scored {
    choice: Choice,
    score: f64,
}

impl ChoiceInput<'_> {
    /// Chooses a server, in near tiers first. If there is no sound server, one in doubt is chosen.
    ///
    /// A zone that is cut off suspects every server outside and perhaps its own, and has to
    /// continue with those. A server that is draining or can't answer the request is never chosen.
    pub(crate) fn choose(&self, draw: u64) -> ChoiceResult {
        let mut found = ChoiceResult::default();
        for fitness in [Fitness::Sound, Fitness::Any] {
            for near in Proximity::ALL {
                found.choice = self.choose_in_tier(near, draw, fitness, &mut found.stalled);
                if found.choice.is_some() {
                    return found;
                }
            }
        }
        found
    }

    fn choose_in_tier(
        &self,
        near: Proximity,
        draw: u64,
        fitness: Fitness,
        stalled: &mut Option<u32>,
    ) -> Option<Choice> {
        let tier = &self.pool.tiers[near as usize];
        if tier.servers.is_empty() {
            return None;
        }
        if let Some(prefix) = self.query.prefix {
            if let Some(choice) = self.choose_by_prefix(near, tier, prefix, fitness) {
                return Some(choice);
            }
        }
        let best = self.choose_by_draws(near, tier, draw, fitness, stalled)?;
        let farther = self.spill_candidate(near, tier, draw, stalled);
        Some(lower_score(Some(best), farther)?.choice)
    }

    /// Returns a candidate of the next tier if this one spills.
    fn spill_candidate(
        &self,
        near: Proximity,
        tier: &Tier,
        draw: u64,
        stalled: &mut Option<u32>,
    ) -> Option<Scored> {
        if !tier.spilling {
            return None;
        }
        let next = match near {
            Proximity::Zone => Proximity::Region,
            Proximity::Region => Proximity::Far,
            Proximity::Far => return None,
        };
        let tier = &self.pool.tiers[next as usize];
        let drawn = self.choose_by_draws(next, tier, mix(draw), Fitness::Sound, stalled);
        drawn.map(|s| Scored {
            score: s.score + FARTHER_LOAD,
            ..s
        })
    }

    /// Returns the least loaded of some drawn servers. Unfit ones are replaced a few times.
    fn choose_by_draws(
        &self,
        near: Proximity,
        tier: &Tier,
        draw: u64,
        fitness: Fitness,
        stalled: &mut Option<u32>,
    ) -> Option<Scored> {
        let mut best: Option<Scored> = None;
        let mut last = None;
        let mut left = self.policy.draws;
        let mut draw = draw;
        for _ in 0..self.policy.draws * 3 {
            draw = mix(draw);
            let index = *tier.servers.get(index_below(draw, tier.servers.len()))?;
            if last == Some(index) && tier.servers.len() > 1 {
                continue;
            }
            if !self.is_fit(index, tier, fitness, stalled) {
                continue;
            }
            last = Some(index);
            best = lower_score(best, self.score(index, near, tier));
            left -= 1;
            if left == 0 {
                break;
            }
        }
        best.or_else(|| self.choose_by_scan(near, tier, draw, fitness, stalled))
    }

    /// Returns the first fit server from a random position on, as draws can miss the last few.
    fn choose_by_scan(
        &self,
        near: Proximity,
        tier: &Tier,
        draw: u64,
        fitness: Fitness,
        stalled: &mut Option<u32>,
    ) -> Option<Scored> {
        let start = index_below(draw, tier.servers.len());
        let (head, tail) = tier.servers.split_at(start);
        let mut all = tail.iter().chain(head);
        let index = *all.find(|&&index| self.is_fit(index, tier, fitness, stalled))?;
        self.score(index, near, tier)
    }

    /// Returns a server that caches the prefix, or that rendezvous hashing assigns it to, unless it
    /// is too full.
    fn choose_by_prefix(
        &self,
        near: Proximity,
        tier: &Tier,
        prefix: Prefix,
        fitness: Fitness,
    ) -> Option<Choice> {
        let policy = &self.policy.prefix;
        let bound = policy.load_limit(tier.means.load, self.query.backlog);
        let scored = |index: u32| {
            let fit = self.is_fit(index, tier, fitness, &mut None);
            let scored = fit.then(|| self.score(index, near, tier)).flatten()?;
            (scored.score <= bound).then_some(scored)
        };
        let (first, second) = self.rendezvous(tier, prefix);
        let assigned = first.and_then(scored).or_else(|| second.and_then(scored));
        assigned.map(|s| s.choice)
    }

    /// Returns the two servers with the highest rendezvous weights for a prefix.
    fn rendezvous(&self, tier: &Tier, prefix: Prefix) -> (Option<u32>, Option<u32>) {
        let (mut first, mut second) = ((0, None), (0, None));
        for (n, seed) in tier.seeds.iter().enumerate() {
            let weight = mix(seed ^ prefix.0);
            if weight >= first.0 {
                second = first;
                first = (weight, Some(n));
            } else if weight >= second.0 {
                second = (weight, Some(n));
            }
        }
        let server = |n: Option<usize>| n.map(|n| tier.servers[n]);
        (server(first.1), server(second.1))
    }

    /// Whether a server may be chosen. A server that is found stalled is returned in `stalled`.
    fn is_fit(&self, index: u32, tier: &Tier, fitness: Fitness, stalled: &mut Option<u32>) -> bool {
        let Some(server) = &self.servers[index as usize] else {
            return false;
        };
        // These three conditions must hold even if no server is left.
        if server.facts.draining
            || !server.has_capabilities(&self.query.needs)
            || self.query.tried.contains(&server.facts.agent)
        {
            return false;
        }
        if fitness == Fitness::Any {
            return true;
        }
        if server.suspect || server.health.is_ejected(self.now) {
            return false;
        }
        let usual = match tier.means.first_sign {
            usual if usual == Span::default() => DEFAULT_FIRST_SIGN,
            usual => usual,
        };
        let policy = &self.policy.health;
        let own = server.load.own();
        if server.health.is_stalled(self.now, own, usual, policy) {
            *stalled = Some(index);
            return false;
        }
        true
    }

    /// Returns the score of a server: its load per slot, adjusted by its step time and slow start.
    fn score(&self, index: u32, near: Proximity, tier: &Tier) -> Option<Scored> {
        let server = self.servers[index as usize].as_ref()?;
        let load = estimate(server, self.now, self.policy, &tier.means);
        let ratio = self.step_ratio(server, &tier.means);
        let ramp = server.health.ramp(self.now, &self.policy.health);
        let one = 1.0 / server.slots();
        Some(Scored {
            choice: Choice {
                server: ServerIndex(index),
                load,
                proximity: near,
            },
            score: (load + one) * ratio + COLD_LOAD * (1.0 - ramp),
        })
    }

    /// Returns the ratio of a server's step time to the mean.
    ///
    /// All ranks of a group step as slowly as the slowest one.
    fn step_ratio(&self, server: &Server, means: &Means) -> f64 {
        let group = server.group.and_then(|g| self.group_steps.get(g as usize));
        let own = server.load.step().as_micros() as f64;
        let step = group.copied().unwrap_or(own);
        if step <= 0.0 || means.step <= 0.0 {
            return 1.0;
        }
        let ratio = step / means.step;
        if ratio < MIN_STEP_RATIO {
            return 1.0;
        }
        ratio.min(MAX_STEP_RATIO)
    }
}

/// Estimates the requests that run or wait at a server, per slot.
fn estimate(server: &Server, now: Moment, policy: &RoutingPolicy, means: &Means) -> f64 {
    let mean = means.others * server.slots();
    server.load.estimate(now, mean, policy.trust_half_life) / server.slots()
}

fn lower_score(a: Option<Scored>, b: Option<Scored>) -> Option<Scored> {
    match (a, b) {
        (Some(a), Some(b)) if b.score < a.score => Some(b),
        (Some(a), _) => Some(a),
        (None, b) => b,
    }
}

/// Returns the means over the servers of a tier that accept requests.
pub(crate) fn tier_means<'a>(servers: impl Iterator<Item = &'a Server>, now: Moment) -> Means {
    let mut sums = Means::default();
    let (mut steps, mut firsts, mut first) = (0.0, 0, 0);
    for server in servers {
        if server.facts.draining || server.suspect || server.health.is_ejected(now) {
            continue;
        }
        sums.slots += server.slots();
        sums.others += server.load.others();
        sums.load += f64::from(server.load.own()) + server.load.others();
        let step = server.load.step().as_micros() as f64;
        if step > 0.0 {
            sums.step += step;
            steps += 1.0;
        }
        let usual = server.health.usual_first_sign().as_micros();
        if usual > 0 {
            first += usual;
            firsts += 1;
        }
    }
    sums.others /= sums.slots.max(1.0);
    sums.load /= sums.slots.max(1.0);
    sums.step /= f64::max(steps, 1.0);
    sums.first_sign = Span::from_micros(first / u64::max(firsts, 1));
    sums
}

/// Updates the slowest step time of each group that has servers in the pool.
pub(crate) fn update_group_steps(steps: &mut [f64], servers: &[Option<Server>], pool: &Pool) {
    let members = || {
        let listed = pool.tiers.iter().flat_map(|t| &t.servers);
        listed.filter_map(|&index| servers[index as usize].as_ref())
    };
    for group in members().filter_map(|s| s.group) {
        steps[group as usize] = 0.0;
    }
    for server in members() {
        let Some(group) = server.group else { continue };
        let step = server.load.step().as_micros() as f64;
        let slowest = &mut steps[group as usize];
        *slowest = slowest.max(step);
    }
}
