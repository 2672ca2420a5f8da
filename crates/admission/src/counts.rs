//! How many slots of a target are in use, and by what.

use world::requests::Class;

use crate::{losses, requests, work};

/// Numbers of slots in use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) callers: u32,
    pub(crate) internal: u32,
    /// Internal calls by rank.
    calls: [u32; losses::RANKS],
    /// Slots with a long request or a straggler.
    pub(crate) slow: u32,
    pub(crate) stragglers: u32,
}

impl Counts {
    pub(crate) fn running(self) -> u32 {
        self.callers + self.internal
    }

    /// The number of running internal calls of this rank and the less urgent ones.
    pub(crate) fn calls_from(&self, rank: u32) -> u32 {
        self.calls[losses::index(rank)..].iter().sum()
    }

    pub(crate) fn start(&mut self, work: &work::Work, long: bool) {
        *self.class_mut(work.class) += 1;
        self.calls[losses::index(work.rank)] += u32::from(work.class == Class::Internal);
        self.slow += u32::from(long);
    }

    pub(crate) fn stop(&mut self, work: &work::Work, run: requests::Run) {
        *self.class_mut(work.class) -= 1;
        self.calls[losses::index(work.rank)] -= u32::from(work.class == Class::Internal);
        self.slow -= u32::from(run.long || run.straggler);
        self.stragglers -= u32::from(run.straggler);
    }

    fn class_mut(&mut self, class: Class) -> &mut u32 {
        match class {
            Class::Caller => &mut self.callers,
            Class::Internal => &mut self.internal,
        }
    }
}
