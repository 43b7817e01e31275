//! Ways to decide which requests a gateway lets in, and up to which load of a server.

use snipemast_core::prelude::*;
use snipemast_placement::passes::PassTimes;
use snipemast_placement::{LoadLimits, RequestClass, RequestPriority, Urgency};

use super::demand::Kind;

/// The longest pause between two pieces that callers are promised.
pub const PROMISED_PAUSE: Span = Span::from_millis(120);

/// The most prompts that a rank usually reads in one pass while all slots are in use.
pub const USUAL_PROMPTS: usize = 2;

/// The load that a ceiling never falls below, in hundredths of a server's slots.
const MIN_CEILING: u32 = 30;

/// The load that a ceiling never exceeds: the usual limit of the product.
const MAX_CEILING: u32 = 150;

/// The part of the ceiling up to which less urgent requests are let in, in hundredths.
const STEP_PERCENT: u32 = 80;

/// One of so many less urgent requests is let in up to the ceiling itself, so that none is starved.
const EXEMPT_PARTS: u64 = 4;

/// How long a peak of the ratio of passes counts: one or two windows, each as long as this.
const PEAK_WINDOW: Span = Span::from_secs(4);

/// The age up to which a level of the controller is kept to.
const MAX_LEVEL_AGE: Span = Span::from_secs(1);

/// A request waits below the ceiling while this much is left of its objective: more than the usual kinds
/// have.
const KEPT_TIME: Span = Span::from_millis(600);

/// Who is kept below the ceiling.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// Nobody.
    Nobody,
    /// Late requests, and those that can wait without being late.
    Patient,
    /// All requests but those of the most urgent kind.
    LessUrgent,
    /// All requests, and those that are less urgent below a part of it, but for one of some.
    Steps,
    /// All requests.
    All,
}

/// Where the ceiling comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ceiling {
    /// A constant, in hundredths of a server's slots.
    Fixed(u32),
    /// A constant, for the priorities from a level on that the controller tells.
    Told(u32),
    /// Additive increase and multiplicative decrease, by the pauses that the gateway sees.
    Aimd,
    /// A model of a pass, by the ratio of the longest pauses that the gateway sees.
    Passes,
}

/// A way of admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Way {
    /// Where the ceiling comes from.
    pub ceiling: Ceiling,
    /// Who is kept below the ceiling.
    pub reach: Reach,
}

impl Way {
    /// The usual limits of the product.
    pub const TODAY: Self = Self::new(Ceiling::Fixed(MAX_CEILING), Reach::Nobody);

    /// Creates a way.
    pub const fn new(ceiling: Ceiling, reach: Reach) -> Self {
        Self { ceiling, reach }
    }
}

/// The duration of a pass on an even expert map.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PassModel {
    /// Duration of a pass without requests, in ms.
    pub base: f64,
    /// Time that each request of the fullest rank adds to a pass, in ms.
    pub each: f64,
    /// Time that each prompt adds to the pass that reads it, in ms.
    pub prompt: f64,
    /// Requests that a rank runs at once.
    pub slots: usize,
}

impl PassModel {
    /// Returns the duration of a pass in ms.
    pub fn duration(&self, fullest: usize, prompts: usize) -> f64 {
        self.base + self.each * fullest as f64 + self.prompt * prompts as f64
    }

    /// Returns the load with which a pass lasts this many ms and reads the usual prompts, in hundredths of
    /// the slots.
    fn load_within(&self, duration: f64) -> u32 {
        let streams = (duration - self.base - self.prompt * USUAL_PROMPTS as f64) / self.each;
        (100.0 * streams / self.slots as f64).max(0.0) as u32
    }
}

/// What one gateway knows for its admission.
#[derive(Debug, Clone)]
pub(super) struct Gate {
    way: Way,
    model: PassModel,
    pub(super) passes: PassTimes,
    /// The requests that wait here, each with its kind and the time of its arrival.
    pub(super) waiting: Vec<(usize, Moment)>,
    /// The ceiling that AIMD has reached, in hundredths of a server's slots.
    aimd: f64,
    lowered: Moment,
    raised: Moment,
    /// The requests at the fullest rank, by the last counts.
    fullest: usize,
    /// The greatest ratio of passes in the last window and the current one.
    peaks: (f64, f64),
    window: Moment,
    /// The least urgent priority that is not kept below the ceiling, and when it was told.
    level: Option<(u8, Moment)>,
}

impl Gate {
    pub(super) fn new(way: Way, model: PassModel) -> Self {
        Self {
            way,
            model,
            passes: PassTimes::new(),
            waiting: Vec::new(),
            aimd: 100.0,
            lowered: Moment::ZERO,
            raised: Moment::ZERO,
            fullest: 0,
            peaks: (1.0, 1.0),
            window: Moment::ZERO,
            level: None,
        }
    }

    /// Returns the limits of servers' loads. The second one is for those below the ceiling.
    pub(super) fn limits(&self) -> LoadLimits {
        let ceiling = match self.way.ceiling {
            Ceiling::Fixed(ceiling) | Ceiling::Told(ceiling) => ceiling,
            Ceiling::Aimd => self.aimd as u32,
            Ceiling::Passes => self.model.load_within(self.longest_even_pass()),
        };
        let ceiling = ceiling.clamp(MIN_CEILING, MAX_CEILING);
        let usual = LoadLimits::default();
        match self.way.reach {
            Reach::Nobody => usual,
            Reach::All => LoadLimits {
                full: ceiling,
                late: ceiling.min(usual.late),
                ..usual
            },
            Reach::Steps => LoadLimits {
                full: ceiling,
                late: ceiling * STEP_PERCENT / 100,
                ..usual
            },
            Reach::Patient | Reach::LessUrgent => LoadLimits {
                full: usual.full,
                late: ceiling.min(usual.late),
                ..usual
            },
        }
    }

    /// Returns the longest pass on an even map that stays within the promised pause after a shift, in ms.
    fn longest_even_pass(&self) -> f64 {
        let promised = PROMISED_PAUSE.as_micros() as f64 / 1e3;
        promised / self.peaks.0.max(self.peaks.1)
    }

    /// Returns the urgency by which a request is ordered.
    pub(super) fn urgency(kind: &Kind, waited: Span) -> Urgency {
        let class = RequestClass {
            objective: kind.objective,
            priority: RequestPriority::new(None, Priority::new(kind.priority)),
            least_urgent: false,
        };
        Urgency::new(waited, &class)
    }

    /// Returns the urgency by which a server is chosen. Whoever is kept below the ceiling counts as late.
    pub(super) fn placed_as(&self, now: Moment, kind: &Kind, waited: Span) -> Urgency {
        let arrived = now - waited;
        let is_exempt = arrived.as_micros().is_multiple_of(EXEMPT_PARTS);
        let urgency = Self::urgency(kind, waited);
        let kept = match self.way.reach {
            Reach::Nobody | Reach::All => false,
            Reach::Patient => {
                waited.as_micros() + KEPT_TIME.as_micros() < kind.objective.as_micros()
            }
            Reach::LessUrgent => kind.priority > 0,
            Reach::Steps => kind.priority > 0 && !is_exempt,
        };
        let above_level = match self.way.ceiling {
            Ceiling::Told(_) => self.is_above_level(now, kind.priority),
            _ => true,
        };
        if kept && above_level {
            Urgency::Late(RequestPriority::default())
        } else {
            urgency
        }
    }

    /// Whether a priority is one that is kept below the ceiling. Without a fresh level, this is so while
    /// requests of higher priority wait here.
    fn is_above_level(&self, now: Moment, priority: u8) -> bool {
        let fresh = self.level.filter(|(_, at)| now < *at + MAX_LEVEL_AGE);
        fresh.map_or(!self.waiting.is_empty(), |(level, _)| priority > level)
    }

    pub(super) fn set_level(&mut self, now: Moment, level: u8) {
        self.level = Some((level, now));
    }

    pub(super) fn set_fullest(&mut self, fullest: usize) {
        self.fullest = fullest.min(self.model.slots);
    }

    /// Records a pause of one of the gateway's streams.
    pub(super) fn record_pause(&mut self, now: Moment, pause: Span) {
        if now >= self.window + PEAK_WINDOW {
            self.peaks = (1.0, self.peaks.0);
            self.window = now;
        }
        let even = self.model.duration(self.fullest, USUAL_PROMPTS);
        let ratio = pause.as_micros() as f64 / 1e3 / even;
        self.peaks.0 = self.peaks.0.max(ratio);
        let second = Span::from_secs(1);
        if pause > PROMISED_PAUSE {
            if now >= self.lowered + second {
                self.aimd = (self.aimd * 0.8).max(f64::from(MIN_CEILING));
                self.lowered = now;
            }
            self.raised = now;
        } else if now >= self.raised + second {
            self.aimd = (self.aimd + 1.0).min(f64::from(MAX_CEILING));
            self.raised = now;
        }
    }
}
