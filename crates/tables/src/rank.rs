//! The lock order: each table has a rank, and a thread locks tables in increasing rank only.

use std::cell;

/// The place of a table in the lock order.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank(pub u16);

thread_local! {
    static HELD: cell::RefCell<Vec<(Rank, &'static str)>> = const { cell::RefCell::new(Vec::new()) };
}

/// Records that this thread is about to lock a table.
///
/// # Panics
///
/// When the thread holds a table of the same or a higher rank: two threads that lock in different
/// orders can wait for each other for ever, and this shows it in every run of the tests.
pub(crate) fn enter(rank: Rank, name: &'static str) {
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
pub(crate) fn leave(rank: Rank) {
    HELD.with_borrow_mut(|held| {
        if let Some(index) = held.iter().rposition(|it| it.0 == rank) {
            held.remove(index);
        }
    });
}
