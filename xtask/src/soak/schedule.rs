//! The schedule of a soak's faults, a pure function of the seed and the size.

use std::{fmt, time};

use rand::{Rng as _, SeedableRng as _, rngs};

use super::{faults, host_set};

/// The longest pause between the starts of two faults.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(1_600);
/// The pause between two faults of a series.
const SERIES_PAUSE: time::Duration = time::Duration::from_millis(400);
/// One in this many faults comes as a series of 2 or 3.
const SERIES_SHARE: u32 = 5;

/// The faults of one run in the order of their starts.
pub(crate) struct Schedule {
    pub(crate) seed: u64,
    pub(crate) sizes: host_set::Sizes,
    pub(crate) faults: Vec<Fault>,
}

/// The position of a fault in its schedule.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct FaultId(pub(crate) usize);

/// A fault, from its start to its end.
#[derive(Clone, Copy)]
pub(crate) struct Fault {
    pub(crate) id: FaultId,
    /// From the start of the phase with faults.
    pub(crate) start: time::Duration,
    pub(crate) length: time::Duration,
    pub(crate) kind: &'static faults::Kind,
    /// The hosts that it affects.
    pub(crate) hosts: host_set::HostSet,
    /// How severe it is, in the unit of its kind.
    pub(crate) amount: u64,
}

impl Fault {
    /// From the start of the phase with faults.
    pub(crate) fn end(&self) -> time::Duration {
        self.start + self.length
    }
}

impl Schedule {
    /// The faults of `seed`, all of which end within `length`.
    pub(crate) fn generate(seed: u64, sizes: host_set::Sizes, length: time::Duration) -> Schedule {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut start = time::Duration::ZERO;
        let mut once = Vec::new();
        loop {
            start += MAX_PAUSE.mul_f64(rng.random());
            if start >= length {
                break;
            }
            let kind = faults::pick_kind(&mut rng);
            let hosts = (kind.pick)(&mut rng, sizes);
            let duration = random_millis(&mut rng, kind.length_ms).min(length - start);
            let amount = rng.random_range(kind.amount.0..=kind.amount.1);
            let count = if rng.random_ratio(1, SERIES_SHARE) { rng.random_range(2..=3) } else { 1 };
            if kind.once && once.contains(&kind.name) {
                continue;
            }
            once.push(kind.name);
            let first = Fault { id: FaultId(0), start, length: duration, kind, hosts, amount };
            faults.extend(series(first, if kind.once { 1 } else { count }, length));
        }
        faults.extend(rare_faults(seed, sizes, length));
        faults.sort_by_key(|it| it.start);
        for (index, fault) in faults.iter_mut().enumerate() {
            fault.id = FaultId(index);
        }
        Schedule { seed, sizes, faults }
    }
}

/// A fault of each rare kind, at a time of its own, if there is enough time.
fn rare_faults(
    seed: u64,
    sizes: host_set::Sizes,
    length: time::Duration,
) -> impl Iterator<Item = Fault> {
    // Other random numbers than those of the frequent kinds, whose schedules stay the same.
    let mut rng = rngs::StdRng::seed_from_u64(!seed);
    faults::RARE.iter().filter_map(move |kind| {
        let hosts = (kind.pick)(&mut rng, sizes);
        let duration = random_millis(&mut rng, kind.length_ms);
        let start = length.checked_sub(duration)?.mul_f64(rng.random());
        Some(Fault { id: FaultId(0), start, length: duration, kind, hosts, amount: 0 })
    })
}

/// `count` faults like `first`, one after the other, as far as they end within `length`.
fn series(first: Fault, count: u32, length: time::Duration) -> impl Iterator<Item = Fault> {
    let step = first.length + SERIES_PAUSE;
    (0..count)
        .map(move |it| Fault { start: first.start + step * it, ..first })
        .filter(move |it| it.end() <= length)
}

fn random_millis(rng: &mut rngs::StdRng, (low, high): (u64, u64)) -> time::Duration {
    time::Duration::from_millis(rng.random_range(low..=high))
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { id, start, length, kind, hosts, amount } = self;
        write!(
            out,
            "| {} | {:.2} | {:.2} | {} | {} | {hosts} |",
            id.0,
            start.as_secs_f64(),
            length.as_secs_f64(),
            kind.name,
            kind.describe(*amount),
        )
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "seed {}, {} nodes\n", self.seed, self.sizes.nodes)?;
        writeln!(out, "| fault | start s | length s | kind | amount | hosts |")?;
        writeln!(out, "| --- | --- | --- | --- | --- | --- |")?;
        for fault in &self.faults {
            writeln!(out, "{fault}")?;
        }
        Ok(())
    }
}
