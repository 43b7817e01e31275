//! Plans which faults a soak injects and when, derived from its seed.

use snipemast_control::SplitMix64;
use snipemast_core::prelude::*;

use snipemast_site::Behavior;

/// The number of processes and servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// The number of controllers, which run on hosts 1 and up.
    pub controllers: u8,
    /// The number of gateways, which run on hosts 11 and up.
    pub gateways: u8,
    /// The number of model servers, whose places count from 0.
    pub servers: u8,
}

/// The first host that runs a gateway.
pub const FIRST_GATEWAY: u8 = 11;

/// A listener of a process, which has a proxy in front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Port {
    /// The listener for other processes of the fleet.
    Internal,
    /// The listener for operators and servers, or for callers.
    External,
}

/// How a proxy disturbs connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// It delays bytes.
    Delay(Span),
    /// It resets the open connections, and forwards later ones.
    Reset,
    /// It holds back the bytes to the process.
    Inward,
    /// It holds back the bytes from the process.
    Outward,
    /// It holds back the bytes both ways.
    Silence,
}

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A process gets SIGTERM, and is started again once it has ended.
    Terminate(u8),
    /// A process is killed and started again.
    Kill(u8),
    /// All controllers are killed at once and started again.
    KillControllers,
    /// A process is stopped and continues later. Its monotonic clock does not show the stop.
    Pause(u8, Span),
    /// A controller is killed, loses its data folder, and is started again.
    Wipe(u8),
    /// A controller's disk is full.
    Full(u8, Span),
    /// Connections to a process are disturbed.
    Link(u8, Port, Disturbance, Span),
    /// Connections to a server are disturbed.
    ServerLink(u8, Disturbance, Span),
    /// A server misbehaves.
    Behave(u8, Behavior, Span),
    /// A server announces that it leaves, drains and ends, and another one replaces it.
    Replace(u8),
    /// A server ends without notice, and another one replaces it.
    Crash(u8),
    /// A server names a rate limit for the requests of all hosts together.
    Limit(u8, Rate, Span),
    /// A server rejects requests for the first span, and asks each host for a rest of the second span.
    Rest(u8, Span, Span),
    /// A server announces only in its answers that it leaves, and another one replaces it after the span.
    Leave(u8, Span),
}

/// A fault and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// The time since the start of the load.
    pub at: Span,
    /// The fault.
    pub fault: Fault,
}

/// How long the effects of a fault may last after its end. The timeouts of the processes need this long.
pub const AFTERMATH: Span = Span::from_secs(4);

/// The time without new faults at the end, in which the fleet must recover.
pub const RECOVERY_TIME: Span = Span::from_secs(14);

/// The least time between a lost disk and any other fault of a controller. A second disk must not be lost
/// while the first is being restored.
const WIPE_DISTANCE: Span = Span::from_secs(12);

/// The longest pause between two faults, and the longest of the short pauses that make faults overlap.
const FAULT_PAUSE: Span = Span::from_millis(2_600);
const OVERLAP_PAUSE: Span = Span::from_millis(150);

/// Returns the faults of one soak.
pub fn plan(seed: u64, length: Span, sizes: FleetSize) -> Vec<PlannedFault> {
    let mut random = SplitMix64::new(seed);
    let mut planned: Vec<PlannedFault> = Vec::new();
    let end = length.as_micros().saturating_sub(RECOVERY_TIME.as_micros());
    let mut at = 500_000;
    let (mut wiped, mut touched) = (0, 0);
    while at < end {
        let fault = draw_fault(&mut random, sizes);
        let alone = at >= touched + WIPE_DISTANCE.as_micros();
        let far_from_wipe = wiped == 0 || at >= wiped + WIPE_DISTANCE.as_micros();
        let fits = match fault {
            Fault::Wipe(_) => alone && far_from_wipe,
            _ if hits_controller(fault) => far_from_wipe,
            _ => true,
        };
        if fits {
            if matches!(fault, Fault::Wipe(_)) {
                wiped = at;
            }
            if hits_controller(fault) {
                touched = at;
            }
            let at = Span::from_micros(at);
            planned.push(PlannedFault { at, fault });
        }
        let overlaps = random.next_u64().is_multiple_of(3);
        at += random
            .span_below(if overlaps { OVERLAP_PAUSE } else { FAULT_PAUSE })
            .as_micros();
    }
    let limits = plan_series(SplitMix64::new(!seed), end, sizes, |random, server| {
        let rate = Rate::from_millis(500 << random.below(5));
        let span = Span::from_millis(7_000 + random.below(7_000));
        (Fault::Limit(server, rate, span), span)
    });
    let rests = plan_series(
        SplitMix64::new(seed ^ REST_SEED),
        end,
        sizes,
        |random, server| {
            let span = Span::from_millis(200 + random.below(4_800));
            let rest = Span::from_millis(700 + random.below(3_300));
            (Fault::Rest(server, span, rest), span)
        },
    );
    let leaves = plan_series(
        SplitMix64::new(seed ^ LEAVE_SEED),
        end,
        sizes,
        |random, server| {
            let span = Span::from_millis(3_000 + random.below(4_000));
            (Fault::Leave(server, span), span)
        },
    );
    planned.extend([limits, rests, leaves].concat());
    planned
}

/// The values that give rests and leaves random sequences of their own.
const REST_SEED: u64 = 0x5e57;
const LEAVE_SEED: u64 = 0x1ea7e;

/// Returns faults of servers of one kind, at most one at a time for each server. `draw` returns a fault and
/// its length. These faults are drawn from a separate random sequence, so that the plan of the other faults
/// does not depend on them.
fn plan_series(
    mut random: SplitMix64,
    end: u64,
    sizes: FleetSize,
    draw: impl Fn(&mut SplitMix64, u8) -> (Fault, Span),
) -> Vec<PlannedFault> {
    /// The longest pause between two faults of the series.
    const SERIES_PAUSE: Span = Span::from_secs(8);
    let mut planned = Vec::new();
    let mut until = vec![0; usize::from(sizes.servers)];
    let mut at = random.span_below(SERIES_PAUSE).as_micros();
    while at < end {
        let server = random.below(u64::from(sizes.servers)) as u8;
        let (fault, span) = draw(&mut random, server);
        let free = &mut until[usize::from(server)];
        if at > *free {
            *free = at + span.as_micros();
            planned.push(PlannedFault {
                at: Span::from_micros(at),
                fault,
            });
        }
        at += random.span_below(SERIES_PAUSE).as_micros();
    }
    planned
}

fn draw_fault(random: &mut SplitMix64, sizes: FleetSize) -> Fault {
    let mut below = |bound| random.below(bound);
    let controller = 1 + below(u64::from(sizes.controllers)) as u8;
    let gateway = FIRST_GATEWAY + below(u64::from(sizes.gateways)) as u8;
    let server = below(u64::from(sizes.servers)) as u8;
    let host = if below(2) == 0 { controller } else { gateway };
    let span = Span::from_millis(300 + below(3_200));
    let port = if below(2) == 0 {
        Port::Internal
    } else {
        Port::External
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
        _ => Behavior::WrongAttempt,
    };
    match below(20) {
        0 | 1 => Fault::Terminate(host),
        2..=4 => Fault::Kill(host),
        5 => Fault::KillControllers,
        6 | 7 => Fault::Pause(host, span),
        8 | 9 => Fault::Wipe(controller),
        10 => Fault::Full(controller, span),
        11..=13 => Fault::Link(host, port, disturbance, span),
        14 | 15 => Fault::ServerLink(server, disturbance, span),
        16 | 17 => Fault::Behave(server, behavior, span),
        18 => Fault::Replace(server),
        _ => Fault::Crash(server),
    }
}

/// Whether a fault affects a controller.
fn hits_controller(fault: Fault) -> bool {
    match fault {
        Fault::Terminate(host)
        | Fault::Kill(host)
        | Fault::Pause(host, _)
        | Fault::Link(host, ..) => host < FIRST_GATEWAY,
        Fault::KillControllers | Fault::Wipe(_) | Fault::Full(..) => true,
        Fault::ServerLink(..)
        | Fault::Behave(..)
        | Fault::Replace(_)
        | Fault::Crash(_)
        | Fault::Limit(..)
        | Fault::Rest(..)
        | Fault::Leave(..) => false,
    }
}
