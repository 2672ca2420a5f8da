//! The extra sends that a backend server's call holds of its parent request.

use std::sync;

use crate::{flights, state};

/// What a call was given of its parent's extra sends. What it did not use goes back when it ends;
/// until then other calls of the same parent have none, so that together they never make more.
pub(crate) struct Loan {
    state: sync::Arc<state::State>,
    parent: Option<flights::FlightKey>,
    unused: u8,
}

impl Loan {
    /// Takes charge of extra sends that were taken from a parent.
    pub(crate) fn new(
        state: sync::Arc<state::State>,
        parent: Option<flights::FlightKey>,
        attempts: u8,
    ) -> Loan {
        Loan { state, parent, unused: attempts }
    }

    /// The request is about to be sent. If its future is dropped from here on, what it used is not
    /// known, and nothing goes back.
    pub(crate) fn lend(&mut self) {
        self.unused = 0;
    }

    /// Gives back what was not used. It is there for the parent's next call before the answer is.
    pub(crate) async fn settle(mut self, unused: u8) {
        self.unused = unused;
        let Some(job) = self.take() else { return };
        let state = sync::Arc::clone(&self.state);
        let (done, settled) = tokio::sync::oneshot::channel();
        state.pool.submit_or_run(move || {
            job();
            let _ = done.send(());
        });
        let _ = settled.await;
    }

    fn take(&mut self) -> Option<impl FnOnce() + Send + 'static> {
        let parent = self.parent.take()?;
        let (state, unused) = (sync::Arc::clone(&self.state), self.unused);
        Some(move || {
            if let Some(flight) = state.flights.lock().get_mut(parent) {
                flight.budget.return_unused(unused);
            }
        })
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        if let Some(job) = self.take() {
            self.state.pool.submit_or_run(job);
        }
    }
}
