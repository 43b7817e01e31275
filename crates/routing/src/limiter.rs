//! Each workspace's upper bounds, as far as they are this entry's part.

use std::collections::HashMap;

use snipemast_config::document::Limits;
use snipemast_core::prelude::*;

use crate::bucket::{Bucket, Pace};
use crate::refusal::{Reason, Refusal};

/// The time for which a bucket saves up what was not used.
const DEPTH: f64 = 0.1;

/// Refusals a second under which the next one counts as the first in a while.
const FIRST: f64 = 0.01;

/// This entry's part of a workspace's limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShare {
    /// The part of its rates.
    pub share: f64,
    /// The requests of it that may be in flight here.
    pub concurrency: Option<u32>,
}

#[derive(Debug)]
struct Account {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    running: u32,
    held: HashMap<Reason, Pace>,
    retry: Span,
}

/// Why requests of a workspace are held back, and how many.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldBack {
    /// What holds them back.
    pub reason: Reason,
    /// How many a second, lately.
    pub rate: f64,
    /// When the last was told to come back.
    pub retry: Span,
}

/// The accounts of the workspaces that are active at this entry.
#[derive(Debug, Default)]
pub struct Limiter {
    accounts: HashMap<WorkspaceId, Account>,
}

impl Limiter {
    /// No workspace is active yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets a request in and charges it, or refuses it and charges nothing.
    pub fn admit(
        &mut self,
        now: Moment,
        workspace: &WorkspaceId,
        limits: &Limits,
        part: LimitShare,
        tokens: f64,
    ) -> Result<(), Refusal> {
        let account = self.account(workspace);
        account.fit(now, limits, part.share);
        account.charge(now, part, tokens)?;
        account.running += 1;
        Ok(())
    }

    /// Counts a request as ended, and gives back or charges what its tokens were off by.
    pub fn finish(&mut self, now: Moment, workspace: &WorkspaceId, asked: f64, got: f64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.running = account.running.saturating_sub(1);
            if let Some(bucket) = &mut account.tokens {
                bucket.correct(now, got - asked);
            }
        }
    }

    /// Gives back what a request was charged that did not run after all.
    pub fn refund(&mut self, now: Moment, workspace: &WorkspaceId, tokens: f64) {
        self.finish(now, workspace, tokens, 0.0);
        if let Some(account) = self.accounts.get_mut(workspace) {
            if let Some(bucket) = &mut account.requests {
                bucket.correct(now, -1.0);
            }
        }
    }

    /// Notes a refusal so that status shows it; true where it is the first in a while.
    pub fn record_refusal(
        &mut self,
        now: Moment,
        workspace: &WorkspaceId,
        refusal: Refusal,
    ) -> bool {
        let account = self.account(workspace);
        let before = account
            .held
            .get(&refusal.reason)
            .map_or(0.0, |p| p.per_second(now));
        account.note(now, refusal);
        before < FIRST
    }

    /// Requests of a workspace in flight.
    pub fn running(&self, workspace: &WorkspaceId) -> u32 {
        self.accounts.get(workspace).map_or(0, |a| a.running)
    }

    /// The workspaces whose requests were held back lately, and why.
    pub fn held_back(&self, now: Moment) -> Vec<(WorkspaceId, HeldBack)> {
        let mut held = Vec::new();
        for (workspace, account) in &self.accounts {
            for (&reason, pace) in &account.held {
                let rate = pace.per_second(now);
                if rate > 0.01 {
                    let back = HeldBack {
                        reason,
                        rate,
                        retry: account.retry,
                    };
                    held.push((workspace.clone(), back));
                }
            }
        }
        held.sort_by(|a, b| (&a.0, a.1.reason).cmp(&(&b.0, b.1.reason)));
        held
    }

    /// Forgets workspaces that were removed from the configuration and have nothing in flight.
    pub fn retain(&mut self, keep: impl Fn(&WorkspaceId) -> bool) {
        self.accounts
            .retain(|workspace, a| a.running > 0 || keep(workspace));
    }

    fn account(&mut self, workspace: &WorkspaceId) -> &mut Account {
        self.accounts
            .entry(workspace.clone())
            .or_insert_with(|| Account {
                requests: None,
                tokens: None,
                running: 0,
                held: HashMap::new(),
                retry: Span::default(),
            })
    }
}

impl Account {
    /// Follows a change of the limits or of the part.
    fn fit(&mut self, now: Moment, limits: &Limits, share: f64) {
        let request = |rate: Rate| (rate.as_per_second() * share, 1.0);
        let token = |rate: Rate| (rate.as_per_second() * share, 0.0);
        resize(now, &mut self.requests, limits.requests.map(request));
        resize(now, &mut self.tokens, limits.tokens.map(token));
    }

    fn charge(&mut self, now: Moment, part: LimitShare, tokens: f64) -> Result<(), Refusal> {
        if part.concurrency.is_some_and(|most| self.running >= most) {
            // How long the running ones take is not known here; a second is the usual bound of
            // how stale the split among entries is.
            return Err(Refusal {
                reason: Reason::Concurrency,
                retry: Span::from_secs(1),
            });
        }
        let refused = |reason| move |retry| Refusal { reason, retry };
        if let Some(bucket) = &mut self.tokens {
            bucket.take(now, tokens).map_err(refused(Reason::Tokens))?;
        }
        if let Some(bucket) = &mut self.requests {
            let taken = bucket.take(now, 1.0).map_err(refused(Reason::Requests));
            if taken.is_err() {
                if let Some(bucket) = &mut self.tokens {
                    bucket.correct(now, -tokens);
                }
            }
            taken?;
        }
        Ok(())
    }

    fn note(&mut self, now: Moment, refusal: Refusal) {
        self.held.entry(refusal.reason).or_default().add(now, 1.0);
        self.retry = refusal.retry;
    }
}

fn resize(now: Moment, bucket: &mut Option<Bucket>, rate: Option<(f64, f64)>) {
    let Some((rate, least)) = rate else {
        *bucket = None;
        return;
    };
    let depth = (rate * DEPTH).max(least);
    match bucket {
        Some(bucket) => bucket.resize(now, rate, depth),
        None => *bucket = Some(Bucket::new(now, rate, depth)),
    }
}
