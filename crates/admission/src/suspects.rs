//! Keeps suspect requests of one target apart, so that a crash identifies which one caused it.

/// Suspects that run on one target.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    running: u32,
}

impl Suspects {
    /// Whether a request may start beside those that run.
    pub(crate) fn may_start(&self, suspect: bool) -> bool {
        !suspect || self.running == 0
    }

    /// Notes that a request started, or became a suspect while it runs.
    pub(crate) fn add(&mut self, suspect: bool) {
        self.running += u32::from(suspect);
    }

    /// Notes that a request ended, or was cleared while it runs.
    pub(crate) fn remove(&mut self, suspect: bool) {
        self.running -= u32::from(suspect);
    }
}
