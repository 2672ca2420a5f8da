//! The order in which large messages that are due pass their pieces to the network link.
//!
//! Small messages and headers that come after a large one has got its place make it late. Without an
//! order, all that are late would share the link, and each would end as late as the last one. A
//! message whose peer does not take its pieces waits elsewhere, and keeps no other from its turn.

use std::{
    collections,
    sync::{self, atomic},
};

/// The large messages whose next piece is due.
#[derive(Default)]
pub(crate) struct Turns {
    places: atomic::AtomicU64,
    due: sync::Mutex<collections::BTreeSet<u64>>,
}

/// A message whose next piece is due, until this is dropped.
pub(crate) struct Due<'a> {
    turns: &'a Turns,
    place: u64,
}

impl Turns {
    /// A place behind all others.
    pub(crate) fn join(&self) -> u64 {
        self.places.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// Adds the message with this place.
    pub(crate) fn add(&self, place: u64) -> Due<'_> {
        self.due().insert(place);
        Due { turns: self, place }
    }

    fn due(&self) -> sync::MutexGuard<'_, collections::BTreeSet<u64>> {
        // A panic cannot leave the set inconsistent, so a poisoned lock can be used.
        self.due.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Due<'_> {
    /// Whether no other message that is due has a place before this one.
    pub(crate) fn is_first(&self) -> bool {
        self.turns.due().first() == Some(&self.place)
    }
}

impl Drop for Due<'_> {
    fn drop(&mut self) {
        self.turns.due().remove(&self.place);
    }
}
