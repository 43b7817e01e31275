//! The limits of each workspace, of which one entry applies its share.

use std::collections::HashMap;

use snipemast_config::document::Limits;
use snipemast_core::prelude::*;

use crate::bucket::{Bucket, DecayingRate};
use crate::refusal::{Reason, Refusal};

/// The time in seconds for which a bucket saves up its rate.
const BUCKET_SECONDS: f64 = 0.1;

/// The refusals per second below which the next one counts as the first in a while.
const QUIET_RATE: f64 = 0.01;

/// One entry's share of a workspace's limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShare {
    /// The share of the rates, from 0 to 1.
    pub share: f64,
    /// The most requests of the workspace that may be in flight at the entry.
    pub concurrency: Option<u32>,
}

/// The limits of one workspace, and its recent refusals.
#[derive(Debug)]
struct Account {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    running: u32,
    refusals: HashMap<Reason, DecayingRate>,
    retry: Span,
}

/// The recent refusals of a workspace's requests for one reason.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldBack {
    /// The reason for the refusals.
    pub reason: Reason,
    /// The recent refusals per second.
    pub rate: f64,
    /// The time after which the last refused caller was told to retry.
    pub retry: Span,
}

/// The limits of the workspaces that are active at one entry.
#[derive(Debug, Default)]
pub struct Limiter {
    accounts: HashMap<WorkspaceId, Account>,
}

impl Limiter {
    /// Creates a limiter without active workspaces.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request and charges it, or refuses it and charges nothing.
    pub fn admit(
        &mut self,
        now: Moment,
        workspace: &WorkspaceId,
        limits: &Limits,
        part: LimitShare,
        tokens: f64,
    ) -> Result<(), Refusal> {
        let account = self.account(workspace);
        account.apply_limits(now, limits, part.share);
        account.charge(now, part, tokens)?;
        account.running += 1;
        Ok(())
    }

    /// Counts a request as ended, and charges the tokens that it got instead of those it asked for.
    pub fn finish(&mut self, now: Moment, workspace: &WorkspaceId, asked: f64, got: f64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.running = account.running.saturating_sub(1);
            if let Some(bucket) = &mut account.tokens {
                bucket.adjust(now, got - asked);
            }
        }
    }

    /// Gives back the charge of a request that was admitted but did not run.
    pub fn refund(&mut self, now: Moment, workspace: &WorkspaceId, tokens: f64) {
        self.finish(now, workspace, tokens, 0.0);
        if let Some(account) = self.accounts.get_mut(workspace) {
            if let Some(bucket) = &mut account.requests {
                bucket.adjust(now, -1.0);
            }
        }
    }

    /// Records a refusal for the status. Returns whether it is the first one in a while.
    pub fn record_refusal(
        &mut self,
        now: Moment,
        workspace: &WorkspaceId,
        refusal: Refusal,
    ) -> bool {
        let account = self.account(workspace);
        let before = account
            .refusals
            .get(&refusal.reason)
            .map_or(0.0, |r| r.per_second(now));
        account.record_refusal(now, refusal);
        before < QUIET_RATE
    }

    /// Returns the number of a workspace's requests in flight.
    pub fn running(&self, workspace: &WorkspaceId) -> u32 {
        self.accounts.get(workspace).map_or(0, |a| a.running)
    }

    /// Returns the recent refusals of each workspace, by reason.
    pub fn held_back(&self, now: Moment) -> Vec<(WorkspaceId, HeldBack)> {
        let mut held = Vec::new();
        for (workspace, account) in &self.accounts {
            for (&reason, refusal_rate) in &account.refusals {
                let rate = refusal_rate.per_second(now);
                if rate > QUIET_RATE {
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

    /// Forgets the workspaces that have nothing in flight, full buckets and no recent refusals: a new account of theirs would
    /// be the same.
    pub fn forget_idle(&mut self, now: Moment) {
        self.accounts.retain(|_, account| !account.is_idle(now));
    }

    /// Returns the number of workspaces that have an account.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    fn account(&mut self, workspace: &WorkspaceId) -> &mut Account {
        self.accounts
            .entry(workspace.clone())
            .or_insert_with(|| Account {
                requests: None,
                tokens: None,
                running: 0,
                refusals: HashMap::new(),
                retry: Span::default(),
            })
    }
}

impl Account {
    /// Applies the current limits and share.
    fn apply_limits(&mut self, now: Moment, limits: &Limits, share: f64) {
        let request = |rate: Rate| (rate.as_per_second() * share, 1.0);
        let token = |rate: Rate| (rate.as_per_second() * share, 0.0);
        resize(now, &mut self.requests, limits.requests.map(request));
        resize(now, &mut self.tokens, limits.tokens.map(token));
    }

    /// Takes a request and its tokens out of the buckets, or neither.
    fn charge(&mut self, now: Moment, part: LimitShare, tokens: f64) -> Result<(), Refusal> {
        if part.concurrency.is_some_and(|most| self.running >= most) {
            // It is not known here how long the running requests take. The split among entries is
            // usually at most a second old.
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
                    bucket.adjust(now, -tokens);
                }
            }
            taken?;
        }
        Ok(())
    }

    fn is_idle(&self, now: Moment) -> bool {
        let is_full = |bucket: &Option<Bucket>| bucket.is_none_or(|b| b.is_full(now));
        let is_quiet = |rate: &DecayingRate| rate.per_second(now) < QUIET_RATE;
        self.running == 0
            && is_full(&self.requests)
            && is_full(&self.tokens)
            && self.refusals.values().all(is_quiet)
    }

    fn record_refusal(&mut self, now: Moment, refusal: Refusal) {
        self.refusals
            .entry(refusal.reason)
            .or_default()
            .add(now, 1.0);
        self.retry = refusal.retry;
    }
}

/// Sets the rate of a bucket, and creates or removes the bucket if needed.
fn resize(now: Moment, bucket: &mut Option<Bucket>, rate: Option<(f64, f64)>) {
    let Some((rate, least)) = rate else {
        *bucket = None;
        return;
    };
    let depth = (rate * BUCKET_SECONDS).max(least);
    match bucket {
        Some(bucket) => bucket.resize(now, rate, depth),
        None => *bucket = Some(Bucket::new(now, rate, depth)),
    }
}
