//! The extra attempts that a backend server's call reserves from its parent request.

use std::sync;

use crate::{in_flight, state};

/// The extra attempts that a call has taken from its parent's budget. Unused ones are returned when
/// the call ends. Until then the parent's other calls have none, so that all calls together never
/// make more attempts than the parent may.
pub(crate) struct Reservation {
    state: sync::Arc<state::State>,
    parent: Option<in_flight::RequestKey>,
    unused: u8,
}

impl Reservation {
    /// Takes ownership of extra attempts that were taken from `parent`; none for a request that is
    /// no call.
    pub(crate) fn new(
        state: sync::Arc<state::State>,
        parent: Option<in_flight::RequestKey>,
        attempts: u8,
    ) -> Reservation {
        Reservation { state, parent, unused: attempts }
    }

    /// Counts all attempts as used, because the request is about to be sent. If its future is
    /// dropped from here on, it is not known how many it used, so none are returned.
    pub(crate) fn mark_spent(&mut self) {
        self.unused = 0;
    }

    /// Returns unused attempts to the parent, and waits until that is done, so that the parent has
    /// them for its next call when it gets the answer.
    pub(crate) async fn return_unused(mut self, unused: u8) {
        self.unused = unused;
        let Some(job) = self.take_return() else { return };
        let state = sync::Arc::clone(&self.state);
        let (done, returned) = tokio::sync::oneshot::channel();
        state.pool.submit_or_run(move || {
            job();
            let _ = done.send(());
        });
        let _ = returned.await;
    }

    fn take_return(&mut self) -> Option<impl FnOnce() + Send + 'static> {
        let parent = self.parent.take()?;
        let (state, unused) = (sync::Arc::clone(&self.state), self.unused);
        Some(move || {
            if let Some(request) = state.in_flight.lock().get_mut(parent) {
                request.budget.return_unused(unused);
            }
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(job) = self.take_return() {
            self.state.pool.submit_or_run(job);
        }
    }
}
