//! Keeps suspect requests of one target from running at the same time, so that a crash of the
//! backend server shows which of them causes it.

/// The suspects that run on one target.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    running: u32,
}

impl Suspects {
    /// Returns whether a request may start. A suspect may start only while no other suspect runs.
    pub(crate) fn may_start(&self, suspect: bool) -> bool {
        !suspect || self.running == 0
    }

    /// Counts a request that starts, or that becomes a suspect while it runs.
    pub(crate) fn add(&mut self, suspect: bool) {
        self.running += u32::from(suspect);
    }

    /// Stops counting a request that ends or is cleared while it runs. `suspect` is whether it was
    /// a suspect until now.
    pub(crate) fn remove(&mut self, suspect: bool) {
        self.running -= u32::from(suspect);
    }
}
