//! The table of owners, whatever the order in which news arrives.

use std::collections::BTreeMap;

use quickcheck::{Gen, QuickCheck};

use snipemast_core::prelude::*;
use snipemast_membership::{AgentCard, Delta, NodeCard, OwnedSet, Table, Verdict, VerdictKind};

/// One step of a history: an owner, what it does, and with what.
type Step = (u8, u8, u8);

/// A property of every history and order of arrival.
type Property = fn(Vec<Step>, u64) -> bool;

/// A piece of news.
#[derive(Debug, Clone)]
enum Piece {
    Delta(Delta),
    Verdict(Verdict),
}

/// A table as it reads: incarnation, version and agents of each owner.
type Reading = BTreeMap<HostId, (Incarnation, u64, Vec<HostId>)>;

fn host(kind: &str, number: u8) -> HostId {
    format!("{kind}-{number}").parse().expect("a valid name")
}

fn node(number: u8, start: u64) -> NodeCard {
    NodeCard {
        process: ProcessId::new(host("entry", number), Incarnation::new(start)),
        address: ([10, 0, 0, number], 7).into(),
        zone: "pichincha".parse().expect("a valid name"),
        region: "sierra".parse().expect("a valid name"),
        draining: false,
    }
}

fn agent(number: u8) -> AgentCard {
    AgentCard {
        agent: ProcessId::new(host("agent", number), Incarnation::new(1)),
        address: ([10, 1, 0, number], 7).into(),
        zone: "pichincha".parse().expect("a valid name"),
        region: "sierra".parse().expect("a valid name"),
        news: 1,
        draining: false,
        info: ServerInfo {
            server: "engine".parse().expect("a valid name"),
            offers: Vec::new(),
            capabilities: Capabilities::default(),
            rank: None,
            slots: 1,
        },
    }
}

/// What three owners say over time, whole sets and single changes, and what is said of them.
fn history(steps: &[Step]) -> Vec<Piece> {
    let mut owners: Vec<_> = (0..3).map(|n| (node(n, 1), OwnedSet::default())).collect();
    let mut pieces = Vec::new();
    for (number, kind, which) in steps {
        let (card, set) = &mut owners[usize::from(number % 3)];
        let before = set.version();
        let kind_of = match kind % 8 {
            0..=2 => {
                set.put(agent(which % 5));
                None
            }
            3 => {
                set.remove(&host("agent", which % 5));
                None
            }
            4 => {
                *card = node(number % 3, card.process.incarnation.get() + 1);
                *set = OwnedSet::default();
                set.raise(0);
                None
            }
            5 => Some(VerdictKind::Dead),
            6 => Some(VerdictKind::Left),
            _ => {
                set.raise(u64::from(*which % 4));
                None
            }
        };
        if let Some(kind) = kind_of {
            pieces.push(Piece::Verdict(Verdict {
                process: card.process.clone(),
                zone: card.zone.clone(),
                version: before,
                kind,
            }));
            continue;
        }
        let from = if *which % 2 == 0 { 0 } else { before };
        let (from, changes) = set.since(from);
        pieces.push(Piece::Delta(Delta {
            card: card.clone(),
            from,
            to: set.version(),
            changes,
        }));
    }
    // In the end every owner tells its whole set once.
    for (card, set) in &owners {
        let (from, changes) = set.since(0);
        pieces.push(Piece::Delta(Delta {
            card: card.clone(),
            from,
            to: set.version(),
            changes,
        }));
    }
    pieces
}

fn deliver(table: &mut Table, pieces: &[Piece]) {
    for piece in pieces {
        match piece {
            Piece::Delta(delta) => drop(table.take(delta)),
            Piece::Verdict(verdict) => drop(table.judge(Moment::ZERO, verdict)),
        }
    }
}

fn read(table: &Table) -> Reading {
    let rows = table.rows().iter().map(|(host, row)| {
        let agents = row.set.cards().map(|c| c.agent.host.clone()).collect();
        let reading = (row.card.process.incarnation, row.set.version(), agents);
        (host.clone(), reading)
    });
    rows.collect()
}

/// Everything that a table knows, as pieces.
fn pieces_of(table: &Table) -> Vec<Piece> {
    let rows = table.rows().keys().filter_map(|h| table.since(h, 0));
    let tombs = table.tombstones().iter().map(|(host, tomb)| {
        Piece::Verdict(Verdict {
            process: ProcessId::new(host.clone(), tomb.incarnation),
            zone: tomb.zone.clone(),
            version: tomb.version,
            kind: if tomb.version == u64::MAX {
                VerdictKind::Left
            } else {
                VerdictKind::Dead
            },
        })
    });
    rows.map(Piece::Delta).chain(tombs).collect()
}

fn merged(one: &Table, other: &Table) -> Table {
    let mut table = one.clone();
    deliver(&mut table, &pieces_of(other));
    table
}

fn shuffled(pieces: &[Piece], seed: u64) -> Vec<Piece> {
    let mut state = seed;
    let mut keyed: Vec<_> = pieces
        .iter()
        .map(|p| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (state, p.clone())
        })
        .collect();
    keyed.sort_by_key(|(key, _)| *key);
    keyed.into_iter().map(|(_, p)| p).collect()
}

fn table_of(pieces: &[Piece]) -> Table {
    let mut table = Table::default();
    deliver(&mut table, pieces);
    table
}

fn check(property: Property) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 8))
        .tests(400)
        .quickcheck(property);
}

#[test]
fn any_order() {
    // Entries hear the same news in different orders, some of it twice and some too late.
    fn holds(steps: Vec<Step>, seed: u64) -> bool {
        let pieces = history(&steps);
        let mut once = shuffled(&pieces, seed);
        let mut twice = shuffled(&pieces, seed ^ 0xabcd);
        twice.extend(shuffled(&pieces, seed ^ 0x1234));
        // What was missed for a gap is asked for again.
        once.extend(pieces.clone());
        twice.extend(pieces);
        read(&table_of(&once)) == read(&table_of(&twice))
    }
    check(holds);
}

#[test]
fn merge_laws() {
    fn holds(steps: Vec<Step>, seed: u64) -> bool {
        let pieces = shuffled(&history(&steps), seed);
        let third = pieces.len() / 3;
        let a = table_of(&pieces[..third]);
        let b = table_of(&pieces[third..2 * third]);
        let c = table_of(&pieces[2 * third..]);
        let commutative = read(&merged(&a, &b)) == read(&merged(&b, &a));
        let left = merged(&merged(&a, &b), &c);
        let right = merged(&a, &merged(&b, &c));
        let idempotent = read(&merged(&a, &a)) == read(&a);
        commutative && read(&left) == read(&right) && idempotent
    }
    check(holds);
}

#[test]
fn union_holds() {
    // The union names exactly the agents that some owner has, whatever came before.
    fn holds(steps: Vec<Step>, seed: u64) -> bool {
        let table = table_of(&shuffled(&history(&steps), seed));
        let mut owned: Vec<_> = read(&table).into_values().flat_map(|(_, _, a)| a).collect();
        owned.sort();
        owned.dedup();
        owned == table.agents().cloned().collect::<Vec<_>>()
    }
    check(holds);
}

#[test]
fn old_news_ignored() {
    // A zone that was cut off tells of an entry as it was before it died. It stays dead; its own
    // later word brings it back.
    let mut set = OwnedSet::default();
    set.put(agent(1));
    let delta = |set: &OwnedSet| Delta {
        card: node(0, 1),
        from: 0,
        to: set.version(),
        changes: set.since(0).1,
    };
    let mut table = table_of(&[Piece::Delta(delta(&set))]);
    let verdict = Verdict {
        process: node(0, 1).process,
        zone: node(0, 1).zone,
        version: set.version(),
        kind: VerdictKind::Dead,
    };
    deliver(
        &mut table,
        &[Piece::Verdict(verdict), Piece::Delta(delta(&set))],
    );
    assert!(table.rows().is_empty());
    set.raise(0);
    deliver(&mut table, &[Piece::Delta(delta(&set))]);
    assert_eq!(table.rows().len(), 1);
}

#[test]
fn removals_bounded() {
    // An entry's agents come and go for months. What it remembers of them stays bounded, and a
    // peer that missed all of it still gets the right set.
    let mut set = OwnedSet::default();
    let mut behind = OwnedSet::default();
    set.put(agent(0));
    let whole = |set: &OwnedSet, from: u64| Delta {
        card: node(0, 1),
        from: set.since(from).0,
        to: set.version(),
        changes: set.since(from).1,
    };
    assert!(behind.apply(&whole(&set, 0)).is_ok());
    set.remove(&host("agent", 0));
    for round in 0..1_000_u32 {
        let number = (round % 250) as u8;
        set.put(agent(number));
        set.remove(&host("agent", number));
    }
    assert!(set.since(1).1.len() <= 64, "removals are bounded");
    assert!(behind.apply(&whole(&set, behind.version())).is_ok());
    assert!(behind.is_empty());
}
