//! A request that runs at the backend server of this host, from its send to its end.

use std::{net, sync, time as std_time};

use admission::work;
use compact_str::format_compact;

use crate::{backend, in_flight, promises, slots, state, suspects, working};

/// Limit for the connection that checks whether the backend server is alive after a request's
/// connection was refused or broke.
const PROBE_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(200);

/// A request that was sent to the backend server. Dropping it before [`Execution::finish`] or
/// [`Execution::abort`] means that the caller has left.
pub(crate) struct Execution {
    state: sync::Arc<state::State>,
    addr: net::SocketAddr,
    permit: Option<slots::Permit>,
    pub(crate) key: in_flight::RequestKey,
    suspect: bool,
    done: bool,
}

/// Records that a request is sent to the backend server, and takes its slot.
pub(crate) fn start(
    state: &sync::Arc<state::State>,
    request: &working::LocalRequest,
    addr: net::SocketAddr,
    permit: slots::Permit,
) -> Execution {
    let head = &request.head;
    let record = in_flight::Request {
        fingerprint: head.fingerprint,
        budget: head.budget,
        id: head.id.clone(),
        route: head.route.clone(),
        context: head.context.clone(),
        idempotent: head.idempotent,
        repeat: head.repeat,
        summary: format_compact!("{} {} of {}", head.method, head.path, head.service),
    };
    let key = state.in_flight.lock().insert(record);
    state.callees.lock().record_request(&head.route);
    let now = state.now();
    let status = state.suspects.lock().status(now, &head.fingerprint);
    let suspect = head.suspect || status == suspects::Status::Suspect;
    let (state, permit) = (sync::Arc::clone(state), Some(permit));
    Execution { state, addr, permit, key, suspect, done: false }
}

impl Execution {
    /// Takes what the answer takes of the host's network link, which outlasts the slot.
    pub(crate) fn take_promise(&mut self) -> Option<promises::Promise> {
        self.permit.as_mut()?.promise.take()
    }

    /// Takes the extra attempts that the request's calls have left. They are returned with the head
    /// of the answer, so calls that the request makes later have none.
    pub(crate) fn take_attempts(&self) -> u8 {
        let mut requests = self.state.in_flight.lock();
        requests.get_mut(self.key).map_or(0, |it| std::mem::take(&mut it.budget.attempts))
    }

    /// Records that the request has ended and frees its slot. A suspect that was answered is
    /// cleared of suspicion.
    pub(crate) fn finish(mut self, outcome: work::Outcome) {
        self.done = true;
        if let Some(permit) = self.permit.take() {
            permit.finish(outcome);
        }
        let state = sync::Arc::clone(&self.state);
        let cleared = self.suspect && outcome == work::Outcome::Answered;
        let key = self.key;
        self.state.pool.submit_or_run(move || {
            let finished = state.in_flight.lock().remove(key);
            if let Some(finished) = finished.filter(|_| cleared) {
                backend::clear_suspect(&state, &finished);
            }
        });
    }

    /// Records that the backend server has shed the request, and returns when its slot is free and
    /// the admission controller knows of the shed.
    pub(crate) async fn finish_shed(mut self) {
        if let Some(permit) = self.permit.take() {
            permit.finish_and_wait(work::Outcome::Shed).await;
        }
        self.finish(work::Outcome::Shed);
    }

    /// Records that the connection broke or the deadline passed before the answer was complete,
    /// and frees the slot. If the connection broke, with the head of the answer or within its body,
    /// the backend server may have crashed, so this checks whether it is alive.
    pub(crate) async fn abort(mut self, timed_out: bool) {
        self.done = true;
        if let Some(permit) = self.permit.take() {
            let outcome = if timed_out { work::Outcome::TimedOut } else { work::Outcome::Failed };
            permit.finish(outcome);
        }
        self.record_abort(timed_out);
        if !timed_out {
            check_alive(&self.state, self.addr).await;
        }
    }

    fn record_abort(&self, timed_out: bool) {
        let state = sync::Arc::clone(&self.state);
        let key = self.key;
        self.state.pool.submit_or_run(move || {
            let now = state.now();
            let mut requests = state.in_flight.lock();
            if timed_out {
                requests.remove(key);
            } else {
                requests.remove_broken(now, key);
            }
        });
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        if !self.done {
            // The caller has left. The request may still crash the backend server, so it counts
            // as broken for a while.
            self.record_abort(false);
        }
    }
}

/// Connects to the backend server after a broken connection and marks it as lost when that fails.
/// Otherwise a crash would be noticed only when the lease of its announcement ends.
pub(crate) async fn check_alive(state: &sync::Arc<state::State>, addr: net::SocketAddr) {
    let connect = tokio::time::timeout(PROBE_TIMEOUT, tokio::net::TcpStream::connect(addr)).await;
    // A live process accepts a connection from its own host without delay.
    if !matches!(connect, Ok(Ok(_))) {
        let shared = sync::Arc::clone(state);
        if state.pool.run(move || backend::mark_lost(&shared, addr)).await.is_err() {
            log::warn!(
                "worker queue is full; the backend server at {addr} did not accept a connection \
                 and counts as lost only when its lease ends"
            );
        }
    }
}
