//! The lock order: each table has a rank, and a thread locks tables only in increasing rank.

use std::cell;

/// The place of a table in the lock order. Tables with a lower rank are locked first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank(pub u16);

thread_local! {
    static HELD: cell::RefCell<Vec<(Rank, &'static str)>> = const { cell::RefCell::new(Vec::new()) };
}

/// Checks the lock order and records that this thread is about to lock a table.
///
/// # Panics
///
/// Panics if the thread holds a table of the same or a higher rank. Two threads that lock tables in
/// different orders can deadlock. The panic shows the wrong order whenever the code runs, also when
/// the threads do not happen to deadlock.
pub(crate) fn record_lock(rank: Rank, name: &'static str) {
    HELD.with_borrow_mut(|held| {
        if let Some(&(last, other)) = held.iter().max()
            && last >= rank
        {
            panic!("lock order: {name} ({rank:?}) is locked while {other} ({last:?}) is held");
        }
        held.push((rank, name));
    });
}

/// Records that this thread has unlocked a table.
pub(crate) fn record_unlock(rank: Rank) {
    HELD.with_borrow_mut(|held| {
        if let Some(index) = held.iter().rposition(|it| it.0 == rank) {
            held.remove(index);
        }
    });
}
