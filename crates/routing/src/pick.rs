//! Draws candidates out of a pool and compares them, without allocating.

use snipemast_core::prelude::*;

use crate::hash::{below, mix};
use crate::pool::{Means, Pool, Proximity, Tier};
use crate::prefix::{Hints, Prefix};
use crate::query::{Choice, Query, RoutingPolicy, ServerIndex};
use crate::server::Server;

/// The time without progress that counts as a stall where nothing is known of the pool yet.
const UNKNOWN_USUAL: Span = Span::from_secs(5);
/// How much fuller a server looks that is a tier farther away.
const FARTHER: f64 = 0.1;
/// How much fuller a server looks that has only just come up.
///
/// Added rather than multiplied: where all the others are nearly full, as in a wave of restarts,
/// the cold ones have to carry their part.
const COLD: f64 = 0.4;
/// A server's step time counts at most this many times the mean.
const PACE_BOUND: f64 = 8.0;
/// Up to this many times the mean, a step time says no more than how full the server is.
const PACE_NOISE: f64 = 1.5;

/// Everything that one choice looks at.
pub(crate) struct View<'a> {
    pub(crate) policy: &'a RoutingPolicy,
    pub(crate) servers: &'a [Option<Server>],
    pub(crate) steps: &'a [f64],
    pub(crate) hints: &'a Hints,
    pub(crate) pool: &'a Pool,
    pub(crate) query: &'a Query<'a>,
    pub(crate) now: Moment,
}

/// The outcome of one choice.
#[derive(Debug, Default)]
pub(crate) struct Found {
    pub(crate) choice: Option<Choice>,
    pub(crate) stalled: Option<u32>,
}

/// How strictly a server is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fitness {
    /// Nothing speaks against it.
    Sound,
    /// It may be dead, ejected or stalled, but nothing better is left.
    Any,
}

#[derive(Debug, Clone, Copy)]
struct Scored {
    choice: Choice,
    score: f64,
}

impl View<'_> {
    /// Near tiers first; where no server is sound, those in doubt are better than none.
    ///
    /// A zone that is cut off doubts every server outside, and perhaps its own: it has to go on
    /// with what it has. What drains or can't answer is never taken.
    pub(crate) fn choose(&self, draw: u64) -> Found {
        let mut found = Found::default();
        for fitness in [Fitness::Sound, Fitness::Any] {
            for near in Proximity::ALL {
                found.choice = self.in_tier(near, draw, fitness, &mut found.stalled);
                if found.choice.is_some() {
                    return found;
                }
            }
        }
        found
    }

    fn in_tier(
        &self,
        near: Proximity,
        draw: u64,
        fitness: Fitness,
        stalled: &mut Option<u32>,
    ) -> Option<Choice> {
        let tier = &self.pool.tiers[near as usize];
        if tier.list.is_empty() {
            return None;
        }
        if let Some(prefix) = self.query.prefix {
            if let Some(choice) = self.by_prefix(near, tier, prefix, fitness) {
                return Some(choice);
            }
        }
        let best = self.by_draws(near, tier, draw, fitness, stalled)?;
        let farther = self.farther(near, tier, draw, stalled);
        Some(better(Some(best), farther)?.choice)
    }

    /// A candidate from the next tier, where this one spills.
    fn farther(
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
        let drawn = self.by_draws(next, tier, mix(draw), Fitness::Sound, stalled);
        drawn.map(|s| Scored {
            score: s.score + FARTHER,
            ..s
        })
    }

    /// The least loaded of some drawn servers; unfit ones are drawn again a few times.
    fn by_draws(
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
            let at = *tier.list.get(below(draw, tier.list.len()))?;
            if last == Some(at) && tier.list.len() > 1 {
                continue;
            }
            if !self.fits(at, tier, fitness, stalled) {
                continue;
            }
            last = Some(at);
            best = better(best, self.score(at, near, tier));
            left -= 1;
            if left == 0 {
                break;
            }
        }
        best.or_else(|| self.by_scan(near, tier, draw, fitness, stalled))
    }

    /// The first fit server from a random place on: draws can miss the few that are left.
    fn by_scan(
        &self,
        near: Proximity,
        tier: &Tier,
        draw: u64,
        fitness: Fitness,
        stalled: &mut Option<u32>,
    ) -> Option<Scored> {
        let start = below(draw, tier.list.len());
        let (head, tail) = tier.list.split_at(start);
        let mut all = tail.iter().chain(head);
        let at = *all.find(|&&at| self.fits(at, tier, fitness, stalled))?;
        self.score(at, near, tier)
    }

    /// A server that holds the prefix, or would by rendezvous hashing, unless it is too full.
    fn by_prefix(
        &self,
        near: Proximity,
        tier: &Tier,
        prefix: Prefix,
        fitness: Fitness,
    ) -> Option<Choice> {
        let policy = &self.policy.prefix;
        let bound = policy.limit(tier.means.load, self.query.backlog);
        let take = |at: u32| {
            let fit = self.fits(at, tier, fitness, &mut None);
            let scored = fit.then(|| self.score(at, near, tier)).flatten()?;
            (scored.score <= bound).then_some(scored)
        };
        let here = |at: &u32| tier.list.contains(at);
        let held = self.hints.holders(prefix).filter(here).filter_map(take);
        if let Some(held) = held.min_by(|a, b| a.score.total_cmp(&b.score)) {
            return Some(held.choice);
        }
        let (first, second) = self.rendezvous(tier, prefix);
        let taken = first.and_then(take).or_else(|| second.and_then(take));
        taken.map(|s| s.choice)
    }

    /// The two servers with the highest weights for a prefix.
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
        let server = |n: Option<usize>| n.map(|n| tier.list[n]);
        (server(first.1), server(second.1))
    }

    fn fits(&self, at: u32, tier: &Tier, fitness: Fitness, stalled: &mut Option<u32>) -> bool {
        let Some(server) = &self.servers[at as usize] else {
            return false;
        };
        // These three hold however few servers are left: they are promises, not preferences.
        if server.facts.draining
            || !server.covers(&self.query.needs)
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
        let usual = match tier.means.first {
            usual if usual == Span::default() => UNKNOWN_USUAL,
            usual => usual,
        };
        let policy = &self.policy.health;
        let own = server.load.own();
        if server.health.is_stalled(self.now, own, usual, policy) {
            *stalled = Some(at);
            return false;
        }
        true
    }

    fn score(&self, at: u32, near: Proximity, tier: &Tier) -> Option<Scored> {
        let server = self.servers[at as usize].as_ref()?;
        let load = estimate(server, self.now, self.policy, &tier.means);
        let pace = self.pace(server, &tier.means);
        let ramp = server.health.ramp(self.now, &self.policy.health);
        let one = 1.0 / server.slots();
        Some(Scored {
            choice: Choice {
                server: ServerIndex(at),
                load,
                proximity: near,
            },
            score: (load + one) * pace + COLD * (1.0 - ramp),
        })
    }

    /// How much slower a server steps than the mean: a group steps as slowly as its slowest rank.
    fn pace(&self, server: &Server, means: &Means) -> f64 {
        let group = server.group.and_then(|g| self.steps.get(g as usize));
        let own = server.load.step().as_micros() as f64;
        let step = group.copied().unwrap_or(own);
        if step <= 0.0 || means.step <= 0.0 {
            return 1.0;
        }
        let pace = step / means.step;
        if pace < PACE_NOISE {
            return 1.0;
        }
        pace.min(PACE_BOUND)
    }
}

/// The requests that run or wait at a server, a slot.
fn estimate(server: &Server, now: Moment, policy: &RoutingPolicy, means: &Means) -> f64 {
    let mean = means.others * server.slots();
    server.load.estimate(now, mean, policy.fade) / server.slots()
}

fn better(a: Option<Scored>, b: Option<Scored>) -> Option<Scored> {
    match (a, b) {
        (Some(a), Some(b)) if b.score < a.score => Some(b),
        (Some(a), _) => Some(a),
        (None, b) => b,
    }
}

/// The means over the servers of a tier that take work.
pub(crate) fn means<'a>(servers: impl Iterator<Item = &'a Server>, now: Moment) -> Means {
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
        let usual = server.health.usual().as_micros();
        if usual > 0 {
            first += usual;
            firsts += 1;
        }
    }
    sums.others /= sums.slots.max(1.0);
    sums.load /= sums.slots.max(1.0);
    sums.step /= f64::max(steps, 1.0);
    sums.first = Span::from_micros(first / u64::max(firsts, 1));
    sums
}

/// The slowest step of each group that the pool's servers belong to.
pub(crate) fn group_steps(steps: &mut [f64], servers: &[Option<Server>], pool: &Pool) {
    let members = || {
        let listed = pool.tiers.iter().flat_map(|t| &t.list);
        listed.filter_map(|&at| servers[at as usize].as_ref())
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
