//! Tables: values behind locks with a fixed order.

use std::{marker, ops};

use crate::rank;

/// A value behind a mutex that has a place in the lock order.
#[derive(Debug)]
pub struct Table<T> {
    rank: rank::Rank,
    name: &'static str,
    value: parking_lot::Mutex<T>,
}

/// Access to a locked table. Dropping it unlocks the table. It cannot be sent to another thread,
/// since the held locks are recorded for each thread.
#[derive(Debug)]
pub struct Guard<'a, T> {
    rank: rank::Rank,
    value: parking_lot::MutexGuard<'a, T>,
    thread: marker::PhantomData<*const ()>,
}

impl<T> Table<T> {
    /// Creates a table. `name` is its name in the message of a lock order violation.
    pub const fn new(rank: rank::Rank, name: &'static str, value: T) -> Table<T> {
        Table { rank, name, value: parking_lot::Mutex::new(value) }
    }

    /// Locks the table, and blocks the thread while another thread holds it.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if this thread holds a table of the same or a higher rank.
    pub fn lock(&self) -> Guard<'_, T> {
        if cfg!(debug_assertions) {
            rank::record_lock(self.rank, self.name);
        }
        Guard { rank: self.rank, value: self.value.lock(), thread: marker::PhantomData }
    }
}

impl<T> ops::Deref for Guard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> ops::DerefMut for Guard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.value
    }
}

impl<T> Drop for Guard<'_, T> {
    fn drop(&mut self) {
        if cfg!(debug_assertions) {
            rank::record_unlock(self.rank);
        }
    }
}
