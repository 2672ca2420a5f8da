//! The other targets of a service, against which one is judged.

/// Summary of the targets of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerSummary {
    pub(crate) peers: usize,
    pub(crate) ejected: usize,
    /// Median latency, in microseconds, of the measured targets.
    pub(crate) median: Option<f32>,
}

impl PeerSummary {
    /// Returns whether one more target may be ejected. At most half of the targets are: if more are
    /// slow, overload is the likely cause, and the rest could not take their load.
    pub(crate) fn may_eject(&self) -> bool {
        (self.ejected + 1) * 2 <= self.peers
    }
}
