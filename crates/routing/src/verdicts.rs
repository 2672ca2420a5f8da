//! Whether the new software version of a service is bad: its answers are compared with those of
//! the old version over the same moments, by route.

use std::{collections, fmt, time};

use compact_str::CompactString;
use world::time::Time;

use crate::tallies;

/// How many classes above the median of the old version a slow answer is: a factor of 2.8. Targets
/// of one version differ by less as a whole.
const SLOW_CLASSES: usize = 3;
/// The period of the recent answers, which are judged beside all of them.
const RECENT: time::Duration = time::Duration::from_secs(3);

/// How far a version has to be off.
#[derive(Clone, Copy, Debug)]
struct Bar {
    /// In standard errors.
    deviations: f64,
    /// What the share of bad answers may exceed that of the old version by.
    bad: f64,
    /// The same for slow answers. Some targets are slower than others, and some slow down for a
    /// while because of their neighbours.
    slow: f64,
}

/// For all answers since the order. Each comparison is repeated several times a second, for each
/// route.
const TOTAL_BAR: Bar = Bar { deviations: 3.0, bad: 0.01, slow: 0.2 };
/// For recent answers, which a short slowdown of one target may dominate.
const RECENT_BAR: Bar = Bar { slow: 0.4, ..TOTAL_BAR };
/// For answers that may be bad by chance.
const SUSPECT_BAR: Bar = Bar { deviations: 1.2, bad: 0.0, slow: 0.1 };
/// The fewest bad or slow answers that a verdict rests on.
const MIN_FAULTS: u32 = 6;
/// The fewest answers of the old version to compare with.
const MIN_COMPARED: u32 = 20;
/// The answers of the new version on a route that are enough for any verdict.
const ENOUGH_ANSWERS: u32 = 25;
/// On a route with little traffic, one of the new version for this many of the old one is enough.
const ENOUGH_PART: u32 = 25;

/// Why a version is bad.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The name of the route.
    pub route: CompactString,
    /// What is wrong.
    pub kind: FaultKind,
    /// The new version's bad or slow answers.
    pub faults: u32,
    /// The new version's answers.
    pub answers: u32,
    /// The old version's bad or slow answers.
    pub old_faults: u32,
    /// The old version's answers.
    pub old_answers: u32,
}

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// It fails requests that the old version answers.
    Failures,
    /// It takes several times as long.
    Slow,
}

/// Judges the answers of the whole mesh in one order.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    /// Earlier totals, oldest first.
    history: collections::VecDeque<(Time, tallies::Tally)>,
    total: tallies::Tally,
}

impl tallies::Tally {
    /// The fault that these answers show, if any.
    pub fn fault(&self) -> Option<Fault> {
        self.fault_beyond(&TOTAL_BAR, self)
    }

    /// Whether these answers may show a fault, but also be bad by chance.
    pub fn is_suspect(&self) -> bool {
        self.fault_beyond(&SUSPECT_BAR, self).is_some()
    }

    /// The fault beyond `bar` that these answers show, if any. `base` has the answers of the old
    /// version where there are too few here, as after the old version got its last request.
    fn fault_beyond(&self, bar: &Bar, base: &tallies::Tally) -> Option<Fault> {
        for route in self.routes() {
            for loaded in [None, Some(true), Some(false)] {
                let new = self.sum(route, true, loaded);
                let mut old = self.sum(route, false, loaded);
                if old.answers < MIN_COMPARED {
                    old = base.sum(route, false, None);
                }
                if let Some(kind) = compare(bar, &new, &old) {
                    return Some(describe(route, kind, &new, &old));
                }
            }
        }
        None
    }

    /// Whether the new version has answered enough on each route that has traffic.
    pub fn is_enough(&self) -> bool {
        self.routes().into_iter().all(|route| {
            let old = self.sum(route, false, None).answers;
            let new = self.sum(route, true, None).answers;
            new >= ENOUGH_ANSWERS.min(old / ENOUGH_PART)
        })
    }
}

impl Judge {
    /// Takes the totals of the mesh as they are now, and returns the fault that they show, if any:
    /// in the recent answers, or in all since the order while the version is unproven. Later, the
    /// versions got most of their requests at different moments, so that trouble of the whole
    /// service would count against one of them.
    pub fn observe(&mut self, now: Time, total: tallies::Tally, proven: bool) -> Option<Fault> {
        while self.history.len() > 1 && now.since(self.history[1].0) >= RECENT {
            self.history.pop_front();
        }
        let before = self.history.front().map(|it| &it.1);
        let recent = before.map(|it| total.without(it));
        self.history.push_back((now, total.clone()));
        self.total = total;
        let fault = recent.and_then(|it| it.fault_beyond(&RECENT_BAR, &self.total));
        fault.or_else(|| self.total.fault().filter(|_| !proven))
    }

    /// Whether the new version has answered enough on each route that has traffic.
    pub fn is_enough(&self) -> bool {
        self.total.is_enough()
    }

    /// Whether the new version may be bad, so that more answers are worth waiting for.
    pub fn is_suspect(&self) -> bool {
        self.total.is_suspect()
    }

    /// The totals of the mesh.
    pub fn total(&self) -> &tallies::Tally {
        &self.total
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { route, kind, faults, answers, old_faults, old_answers } = self;
        write!(
            f,
            "{kind:?} on route {route:?}: {faults} of {answers}, old version {old_faults} of \
             {old_answers}"
        )
    }
}

fn describe(
    route: &CompactString,
    kind: FaultKind,
    new: &tallies::Counts,
    old: &tallies::Counts,
) -> Fault {
    let slow = old.median() + SLOW_CLASSES;
    let (faults, answers, old_faults, old_answers) = match kind {
        FaultKind::Failures => (new.bad, new.answers, old.bad, old.answers),
        FaultKind::Slow => (new.slow_count(slow), new.timed(), old.slow_count(slow), old.timed()),
    };
    Fault { route: route.clone(), kind, faults, answers, old_faults, old_answers }
}

fn compare(bar: &Bar, new: &tallies::Counts, old: &tallies::Counts) -> Option<FaultKind> {
    if exceeds((new.bad, new.answers), (old.bad, old.answers), bar.deviations, bar.bad) {
        return Some(FaultKind::Failures);
    }
    if old.timed() < MIN_COMPARED {
        return None;
    }
    let slow = old.median() + SLOW_CLASSES;
    let new = (new.slow_count(slow), new.timed());
    let old = (old.slow_count(slow), old.timed());
    exceeds(new, old, bar.deviations, bar.slow).then_some(FaultKind::Slow)
}

/// Whether the new version's share of faults exceeds the old one's by more than the margin, beyond
/// what chance explains.
fn exceeds(new: (u32, u32), old: (u32, u32), deviations: f64, margin: f64) -> bool {
    if new.0 < MIN_FAULTS || old.1 < MIN_COMPARED {
        return false;
    }
    bounds(new, deviations).0 > bounds(old, deviations).1 + margin
}

/// The bounds of a share that chance leaves open (the score interval of Wilson).
fn bounds((part, whole): (u32, u32), deviations: f64) -> (f64, f64) {
    let (part, whole) = (f64::from(part), f64::from(whole));
    let share = part / whole;
    let squared = deviations * deviations;
    let centre = share + squared / (2.0 * whole);
    let spread =
        (share * (1.0 - share) / whole + squared / (4.0 * whole * whole)).sqrt() * deviations;
    let scale = 1.0 + squared / whole;
    ((centre - spread) / scale, (centre + spread) / scale)
}
