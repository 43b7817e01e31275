//! Which troubles a soak makes, and when, by its seed.

use snipemast_control::SplitMix64;
use snipemast_core::prelude::*;

use snipemast_site::Behavior;

/// How many processes and servers there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sizes {
    /// Hosts 1 and up run controllers.
    pub controllers: u8,
    /// Hosts 11 and up run gateways.
    pub gateways: u8,
    /// Model servers, from 0.
    pub servers: u8,
}

/// The first host that runs a gateway.
pub const GATEWAY: u8 = 11;

/// A listener of a process that a proxy stands before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Port {
    /// For our own processes.
    Internal,
    /// For operators and servers, or for callers.
    Outside,
}

/// What a proxy does to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// It passes bytes on later.
    Delay(Span),
    /// It resets those that are open, and passes later ones on.
    Reset,
    /// It holds back what goes to the process.
    Inward,
    /// It holds back what the process answers.
    Outward,
    /// It holds back both.
    Silence,
}

/// One trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// A process is told to end, and started again once it has.
    Terminate(u8),
    /// A process is killed and started again.
    Kill(u8),
    /// All controllers are killed at once and started again.
    KillControllers,
    /// A process is stopped and goes on later; its steady clock does not show it.
    Pause(u8, Span),
    /// A controller is killed, loses its folder, and starts again.
    Wipe(u8),
    /// A controller's disk takes no more bytes.
    Full(u8, Span),
    /// Connections to a process suffer.
    Link(u8, Port, Disturbance, Span),
    /// Connections to a server suffer.
    ServerLink(u8, Disturbance, Span),
    /// A server behaves in another way.
    Behave(u8, Behavior, Span),
    /// A server leaves as it should, and another one comes.
    Replace(u8),
    /// A server is gone at once, and another one comes.
    Crash(u8),
    /// A server names a limit on the requests that all hosts send it.
    Limit(u8, Rate, Span),
    /// A server turns requests away for a span, and asks each host for a rest of another.
    Rest(u8, Span, Span),
    /// A server says in its answers only that it leaves, and another one comes after a span.
    Leave(u8, Span),
}

/// A trouble at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Planned {
    /// After the start of traffic.
    pub at: Span,
    /// The trouble.
    pub trouble: Trouble,
}

/// How long after a trouble its effects may last: what the processes' own timeouts need.
pub const AFTER: Span = Span::from_secs(4);

/// The calm at the end, in which everything must come back.
pub const CALM: Span = Span::from_secs(14);

/// How far a lost disk keeps away from other troubles of controllers: a second one must not be lost
/// while the first is made good.
const APART: Span = Span::from_secs(12);

/// The longest pause between two troubles, and of the shorter ones that make them overlap.
const PAUSE: Span = Span::from_millis(2_600);
const SERIES: Span = Span::from_millis(150);

/// The troubles of one soak.
pub fn plan(seed: u64, length: Span, sizes: Sizes) -> Vec<Planned> {
    let mut chance = SplitMix64::new(seed);
    let mut planned: Vec<Planned> = Vec::new();
    let end = length.as_micros().saturating_sub(CALM.as_micros());
    let mut at = 500_000;
    let (mut wiped, mut touched) = (0, 0);
    while at < end {
        let trouble = draw(&mut chance, sizes);
        let alone = at >= touched + APART.as_micros();
        let calm = wiped == 0 || at >= wiped + APART.as_micros();
        let fits = match trouble {
            Trouble::Wipe(_) => alone && calm,
            _ if hits_controller(trouble) => calm,
            _ => true,
        };
        if fits {
            if matches!(trouble, Trouble::Wipe(_)) {
                wiped = at;
            }
            if hits_controller(trouble) {
                touched = at;
            }
            let at = Span::from_micros(at);
            planned.push(Planned { at, trouble });
        }
        let series = chance.next_u64().is_multiple_of(3);
        at += chance
            .span_below(if series { SERIES } else { PAUSE })
            .as_micros();
    }
    let limits = series(SplitMix64::new(!seed), end, sizes, |chance, server| {
        let rate = Rate::from_millis(500 << chance.below(5));
        let span = Span::from_millis(7_000 + chance.below(7_000));
        (Trouble::Limit(server, rate, span), span)
    });
    let rests = series(
        SplitMix64::new(seed ^ RESTS),
        end,
        sizes,
        |chance, server| {
            let span = Span::from_millis(200 + chance.below(4_800));
            let rest = Span::from_millis(700 + chance.below(3_300));
            (Trouble::Rest(server, span, rest), span)
        },
    );
    let leaves = series(
        SplitMix64::new(seed ^ LEAVES),
        end,
        sizes,
        |chance, server| {
            let span = Span::from_millis(3_000 + chance.below(4_000));
            (Trouble::Leave(server, span), span)
        },
    );
    planned.extend([limits, rests, leaves].concat());
    planned
}

/// What tells the draws of these troubles apart from those of others.
const RESTS: u64 = 0x5e57;
const LEAVES: u64 = 0x1ea7e;

/// Troubles of servers beside all others, one of a kind at a time for each server, with how long each lasts: the plan of
/// the others stays the same by it.
fn series(
    mut chance: SplitMix64,
    end: u64,
    sizes: Sizes,
    draw: impl Fn(&mut SplitMix64, u8) -> (Trouble, Span),
) -> Vec<Planned> {
    /// The longest pause between two.
    const PAUSE: Span = Span::from_secs(8);
    let mut planned = Vec::new();
    let mut until = vec![0; usize::from(sizes.servers)];
    let mut at = chance.span_below(PAUSE).as_micros();
    while at < end {
        let server = chance.below(u64::from(sizes.servers)) as u8;
        let (trouble, span) = draw(&mut chance, server);
        let free = &mut until[usize::from(server)];
        if at > *free {
            *free = at + span.as_micros();
            planned.push(Planned {
                at: Span::from_micros(at),
                trouble,
            });
        }
        at += chance.span_below(PAUSE).as_micros();
    }
    planned
}

fn draw(chance: &mut SplitMix64, sizes: Sizes) -> Trouble {
    let mut below = |bound| chance.below(bound);
    let controller = 1 + below(u64::from(sizes.controllers)) as u8;
    let gateway = GATEWAY + below(u64::from(sizes.gateways)) as u8;
    let server = below(u64::from(sizes.servers)) as u8;
    let host = if below(2) == 0 { controller } else { gateway };
    let span = Span::from_millis(300 + below(3_200));
    let port = if below(2) == 0 {
        Port::Internal
    } else {
        Port::Outside
    };
    let disturbance = match below(6) {
        0 => Disturbance::Delay(Span::from_millis(5 + below(400))),
        1 | 2 => Disturbance::Reset,
        3 => Disturbance::Inward,
        4 => Disturbance::Outward,
        _ => Disturbance::Silence,
    };
    let behavior = match below(5) {
        0 => Behavior::Full,
        1 => Behavior::Breaks(1 + below(10)),
        2 => Behavior::Fails,
        3 => Behavior::Slow(50 + below(1_500)),
        _ => Behavior::Crossed,
    };
    match below(20) {
        0 | 1 => Trouble::Terminate(host),
        2..=4 => Trouble::Kill(host),
        5 => Trouble::KillControllers,
        6 | 7 => Trouble::Pause(host, span),
        8 | 9 => Trouble::Wipe(controller),
        10 => Trouble::Full(controller, span),
        11..=13 => Trouble::Link(host, port, disturbance, span),
        14 | 15 => Trouble::ServerLink(server, disturbance, span),
        16 | 17 => Trouble::Behave(server, behavior, span),
        18 => Trouble::Replace(server),
        _ => Trouble::Crash(server),
    }
}

fn hits_controller(trouble: Trouble) -> bool {
    match trouble {
        Trouble::Terminate(host)
        | Trouble::Kill(host)
        | Trouble::Pause(host, _)
        | Trouble::Link(host, ..) => host < GATEWAY,
        Trouble::KillControllers | Trouble::Wipe(_) | Trouble::Full(..) => true,
        Trouble::ServerLink(..)
        | Trouble::Behave(..)
        | Trouble::Replace(_)
        | Trouble::Crash(_)
        | Trouble::Limit(..)
        | Trouble::Rest(..)
        | Trouble::Leave(..) => false,
    }
}
