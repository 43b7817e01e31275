//! Which servers fail far more of their requests than others, by what all gateways report.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use snipemast_core::prelude::*;
use snipemast_placement::outcomes::{find_outliers, OutcomeCount, Seen, Suspect, Tally};

/// The number of gateways that must see a server failing. One alone may have lost its path.
const MIN_WITNESSES: u32 = 2;

/// The largest number of servers that an answer names.
pub const MAX_SUSPECTS: usize = 64;

/// A server that may be sent requests, and what it shares with others.
#[derive(Debug, Clone)]
pub struct Placed {
    /// The server.
    pub server: ServerId,
    /// Its start.
    pub start: Incarnation,
    /// Its service.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The group of ranks that it runs with, if there is one.
    pub group: Option<GroupId>,
}

/// What gateways report of one start of a server.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    tally: Tally,
    /// The number of gateways that reported.
    reporters: u32,
    /// The number of gateways that saw failures.
    witnesses: u32,
}

/// Returns the servers that fail by the reports of several gateways. `before` is the last result.
///
/// A gateway reports servers that failed there, and those that it is asked about. A server is an
/// outlier only once half of the gateways have reported on it, because its good answers
/// elsewhere are unknown before.
pub fn find_suspects<'a>(
    servers: &[Placed],
    before: &[Suspect],
    reports: impl Iterator<Item = &'a [OutcomeCount]>,
) -> Vec<Suspect> {
    let mut gateways = 0;
    let mut sums: BTreeMap<(&ServerId, Incarnation), Sum> = BTreeMap::new();
    for report in reports {
        gateways += 1;
        for count in report {
            let sum = sums.entry((&count.server, count.start)).or_default();
            sum.tally.add(count);
            sum.reporters += 1;
            sum.witnesses += u32::from(count.failed > 0);
        }
    }
    let outliers = before.iter().filter(|s| s.outlier.is_some());
    let before: BTreeSet<_> = outliers.map(|s| (&s.server, s.start)).collect();
    let was_out = |placed: &Placed| before.contains(&(&placed.server, placed.start));
    let sum = |placed: &Placed| {
        let sum = sums.get(&(&placed.server, placed.start)).copied();
        sum.filter(|s| s.witnesses >= MIN_WITNESSES && s.tally.is_suspect(was_out(placed)))
    };
    let mut suspects: Vec<(&Placed, Sum)> =
        servers.iter().filter_map(|s| Some((s, sum(s)?))).collect();
    if suspects.is_empty() {
        return Vec::new();
    }
    let seen: Vec<Seen<'_>> = servers.iter().map(|s| s.seen(sum(s), was_out(s))).collect();
    let outliers: BTreeSet<&ServerId> = find_outliers(&seen);
    suspects.sort_by_key(|(_, sum)| Reverse(sum.tally.failed_percent()));
    suspects.truncate(MAX_SUSPECTS);
    let named = suspects.into_iter().map(|(placed, sum)| {
        let known = 2 * sum.reporters >= gateways && outliers.contains(&placed.server);
        Suspect {
            server: placed.server.clone(),
            start: placed.start,
            outlier: known.then(|| sum.tally.failed_percent()),
        }
    });
    named.collect()
}

impl Placed {
    fn seen(&self, sum: Option<Sum>, outlier: bool) -> Seen<'_> {
        Seen {
            server: &self.server,
            service: &self.service,
            zone: &self.zone,
            group: self.group.as_ref(),
            outlier,
            tally: sum.map_or_else(Tally::default, |s| s.tally),
        }
    }
}
