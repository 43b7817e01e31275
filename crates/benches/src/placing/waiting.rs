//! Requests that wait at gateways, and what gateways and the controller tell each other about them.

use snipemast_core::prelude::*;
use snipemast_placement::pick::Pick;
use snipemast_placement::servers::Servers;

use super::admission::{Gate, PROMISED_PAUSE};
use super::callers::End;
use super::{Counts, Event, World};

/// How often a gateway looks for places for the requests that wait there.
const LOOK_INTERVAL: Span = Span::from_millis(60);

impl<P: Pick> World<'_, P> {
    /// Schedules the first look of each gateway, unless no request waits.
    pub(super) fn schedule_looks(&mut self) {
        if self.kinds.iter().all(|k| k.patience == Span::default()) {
            return;
        }
        let gateways = self.setup.gateways;
        for gateway in 0..gateways {
            let first = LOOK_INTERVAL.as_micros() * gateway as u64 / gateways as u64;
            self.schedule(Span::from_micros(first), Event::Look(gateway));
        }
    }

    pub(super) fn look(&mut self, gateway: usize) {
        self.let_in(gateway);
        self.schedule(LOOK_INTERVAL, Event::Look(gateway));
    }

    /// Lets in the requests that wait at a gateway, in order of urgency, as far as servers may take them.
    pub(super) fn let_in(&mut self, gateway: usize) {
        if self.gates[gateway].waiting.is_empty() {
            return;
        }
        self.set_limits(gateway);
        let (now, kinds) = (self.now, &self.kinds);
        let mut waiting = std::mem::take(&mut self.gates[gateway].waiting);
        waiting.sort_by_key(|(kind, at)| (Gate::urgency(&kinds[*kind], now.since(*at)), *at));
        let (mut full, mut full_below) = (false, false);
        let mut left = Vec::new();
        for (kind, arrived) in waiting {
            let waited = now.since(arrived);
            if waited >= self.kinds[kind].patience {
                self.callers.end(kind, arrived, 0, End::Refused);
                continue;
            }
            let placed_as = self.gates[gateway].placed_as(now, &self.kinds[kind], waited);
            let is_full = full || placed_as.is_late() && full_below;
            if is_full || self.is_held(gateway, kind, waited) {
                left.push((kind, arrived));
            } else if !self.place(gateway, kind, arrived) {
                full |= !placed_as.is_late();
                full_below = true;
                left.push((kind, arrived));
            }
        }
        self.gates[gateway].waiting = left;
    }

    /// Whether the product holds a prompt back while passes are long.
    fn is_held(&self, gateway: usize, kind: usize, waited: Span) -> bool {
        let passes = &self.gates[gateway].passes;
        let pools = std::slice::from_ref(&self.pool);
        let objective = self.kinds[kind].objective;
        passes
            .hold_time(self.now, pools, waited, objective)
            .is_some()
    }

    fn set_limits(&mut self, gateway: usize) {
        let limits = self.gates[gateway].limits();
        let servers = &mut self.gateways[gateway];
        let zone = ZoneId::new("none").expect("a valid zone name");
        let taken = std::mem::replace(servers, Servers::new(zone));
        *servers = taken.with_load_limits(limits);
    }

    /// Records the pause that has just ended at the gateways that saw it, and lets in who waits.
    pub(super) fn record_pauses(&mut self, pause: Span, seen: &[bool]) {
        let mut waiting = 0;
        for (gateway, saw) in seen.iter().enumerate() {
            let gate = &mut self.gates[gateway];
            if *saw {
                gate.record_pause(self.now, pause);
                let passes = &mut gate.passes;
                if passes.record_pause(self.now, &self.pool, pause, PROMISED_PAUSE) {
                    self.let_in(gateway);
                }
            }
            waiting += self.gates[gateway].waiting.len();
        }
        let slots = self.setup.ranks * self.setup.slots;
        self.callers.record_waiting(self.now, 100 * waiting / slots);
    }

    /// Tells the controller how many requests of each kind wait at a gateway.
    pub(super) fn report_waiting(&mut self, gateway: usize) {
        let mut counts = vec![0; self.kinds.len()];
        for (kind, _) in &self.gates[gateway].waiting {
            counts[*kind] += 1;
        }
        self.reported_waiting[gateway] = counts;
    }

    /// Tells a gateway the requests at the fullest rank, and the least urgent priority that is let in above the
    /// ceiling: the last one before those that wait are more than the group lets in within some passes.
    pub(super) fn tell_level(&mut self, gateway: usize, others: &Counts) {
        /// Waiting requests of these priorities and more urgent ones, in hundredths of all slots.
        const FULL_PERCENT: usize = 2;
        let slots = self.setup.ranks * self.setup.slots;
        let mut waiting = 0;
        let mut level = u8::MAX;
        for (index, kind) in self.kinds.iter().enumerate() {
            let counts = self.reported_waiting.iter().map(|counts| counts[index]);
            waiting += counts.sum::<usize>();
            if 100 * waiting > FULL_PERCENT * slots {
                level = kind.priority;
                break;
            }
        }
        let own = self.gateways[gateway].in_flight();
        let load = own.map(|(id, own)| own + others.get(id).copied().unwrap_or_default());
        let fullest = load.chain(others.values().copied()).max().unwrap_or(0);
        self.gates[gateway].set_fullest(fullest as usize);
        if !self.is_frozen() {
            self.gates[gateway].set_level(self.now, level);
        }
    }

    /// Whether the controller's level is an old one.
    pub(super) fn is_frozen(&self) -> bool {
        let frozen = self.setup.frozen;
        frozen.is_some_and(|(from, until)| (from..until).contains(&self.now))
    }
}
