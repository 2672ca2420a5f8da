//! Counted answers of both software versions of a service during a rollout.

use std::{collections, fmt, time};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Number of classes of times. Each is wider than the one before by a factor of about 1.41.
pub const TIME_CLASSES: usize = 24;
/// Upper bound of the first class of times, in microseconds.
const FIRST_CLASS_MICROS: f32 = 1_000.0;
/// Most routes of a service that are counted apart.
const MAX_ROUTES: usize = 32;
/// What answers are counted under.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CellName {
    /// The name of the route.
    pub route: CompactString,
    /// Whether the target ran at least half as many requests as it has slots.
    pub loaded: bool,
    /// Whether it has the new version.
    pub candidate: bool,
}

/// The answers that were counted under one name.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// All answers, good and bad.
    pub answers: u32,
    /// Answers with a server error, and requests without a whole answer.
    pub bad: u32,
    /// The others, by the time that the backend server took, if that says something.
    pub times: [u32; TIME_CLASSES],
}

/// What an answer says of the version that gave it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It is good, and took the backend server this long.
    Timed(time::Duration),
    /// It is good. Its time says nothing, as in a cold start.
    Untimed,
    /// It is bad.
    Bad,
}

/// Counted answers, by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    cells: collections::BTreeMap<CellName, Counts>,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
        for (time, more) in self.times.iter_mut().zip(other.times) {
            *time = time.saturating_add(more);
        }
    }

    fn without(&self, earlier: &Counts) -> Counts {
        let mut rest = *self;
        rest.answers = rest.answers.saturating_sub(earlier.answers);
        rest.bad = rest.bad.saturating_sub(earlier.bad);
        for (time, less) in rest.times.iter_mut().zip(earlier.times) {
            *time = time.saturating_sub(less);
        }
        rest
    }

    pub(crate) fn timed(&self) -> u32 {
        self.times.iter().sum()
    }

    /// The class that the median time is in.
    pub(crate) fn median(&self) -> usize {
        let half = self.timed().div_ceil(2);
        let mut sum = 0;
        let reached = |it: &u32| {
            sum += it;
            sum >= half
        };
        self.times.iter().position(reached).unwrap_or_default()
    }

    /// The number of times in the classes from `class` on.
    pub(crate) fn slow_count(&self, class: usize) -> u32 {
        self.times.iter().skip(class).sum()
    }
}

impl Tally {
    /// Counts an answer.
    pub fn record(&mut self, name: CellName, answer: Answer) {
        let known = self.cells.contains_key(&name);
        if !known && self.cells.len() >= 4 * MAX_ROUTES {
            return;
        }
        let counts = self.cells.entry(name).or_default();
        counts.answers = counts.answers.saturating_add(1);
        match answer {
            Answer::Timed(it) => counts.times[time_class(it)] += 1,
            Answer::Untimed => {}
            Answer::Bad => counts.bad += 1,
        }
    }

    /// Adds the answers that another process counted.
    pub fn add(&mut self, other: &Tally) {
        for (name, counts) in &other.cells {
            self.cells.entry(name.clone()).or_default().add(counts);
        }
    }

    /// The answers that were counted after `earlier`. What a process that has ended had counted may
    /// be missing, so no number falls below zero.
    pub(crate) fn without(&self, earlier: &Tally) -> Tally {
        let rest = |(name, counts): (&CellName, &Counts)| {
            let before = earlier.cells.get(name).copied().unwrap_or_default();
            (name.clone(), counts.without(&before))
        };
        Tally { cells: self.cells.iter().map(rest).collect() }
    }

    /// The answers of one version on a route, under load, not under load, or both.
    pub(crate) fn sum(&self, route: &str, candidate: bool, loaded: Option<bool>) -> Counts {
        let mut sum = Counts::default();
        let wanted = |it: &CellName| {
            it.route == route
                && it.candidate == candidate
                && loaded.is_none_or(|on| on == it.loaded)
        };
        for (_, counts) in self.cells.iter().filter(|(name, _)| wanted(name)) {
            sum.add(counts);
        }
        sum
    }

    pub(crate) fn routes(&self) -> collections::BTreeSet<&CompactString> {
        self.cells.keys().map(|it| &it.route).collect()
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for route in self.routes() {
            let (new, old) = (self.sum(route, true, None), self.sum(route, false, None));
            write!(
                f,
                "[{route:?} new={} bad={} old={} bad={}]",
                new.answers, new.bad, old.answers, old.bad
            )?;
        }
        Ok(())
    }
}

fn time_class(elapsed: time::Duration) -> usize {
    let micros = elapsed.as_secs_f32() * 1e6;
    let class = (micros / FIRST_CLASS_MICROS).max(1.0).log2() * 2.0;
    (class.ceil() as usize).min(TIME_CLASSES - 1)
}
