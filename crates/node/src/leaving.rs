//! The leave of the backend server of this host, and the wait until a control has recorded a leave or
//! a drain.

use std::{sync, time as std_time};

use compact_str::CompactString;
use membership::messages;
use world::bounds;

use crate::{announcements, attaching, backend, state};

/// How long the answer to a drain or a leave is held back until a control has recorded it. A
/// backend server takes a second without an answer as a failure.
const RECORD_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(800);
/// How long after an answer without the record the control is asked again.
const RECORD_CHECK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(50);

/// Handles the leave of the backend server `instance`, and answers it once it is recorded.
pub(crate) async fn leave(
    state: sync::Arc<state::State>,
    instance: CompactString,
) -> web::exchange::Response {
    let job = {
        let state = sync::Arc::clone(&state);
        move || mark_leaving(&state, &instance)
    };
    match state.pool.run(attaching::in_runtime(job)).await {
        Ok(()) if !await_record(&state).await => not_recorded(),
        Ok(()) => {
            let none = backend::AnnounceAnswer { renew_ms: 0, token: None };
            (state.settings.dialect.write_renewal)(&none)
        }
        Err(err) => backend::queue_full(&err),
    }
}

/// Waits until a control has recorded the entry of the backend server. Returns false when none has
/// in time. Before that, the entry is known to this process alone, and its restart would bring the
/// former one back.
pub(crate) async fn await_record(state: &state::State) -> bool {
    let recorded = async {
        loop {
            let answered = state.registered.notified();
            tokio::pin!(answered);
            answered.as_mut().enable();
            if is_recorded(state) {
                return;
            }
            answered.await;
            if !is_recorded(state) {
                // The control may have asked for the entry, and has it by now.
                tokio::time::sleep(RECORD_CHECK_INTERVAL).await;
                attaching::send_heartbeat(state);
            }
        }
    };
    tokio::time::timeout(RECORD_TIMEOUT, recorded).await.is_ok()
}

/// Whether a control has recorded the entry of the backend server, or the leave of one that has not
/// announced itself.
fn is_recorded(state: &state::State) -> bool {
    let backend = state.backend.lock();
    match backend.local.entry() {
        Some(_) => backend.local.is_registered(),
        None => backend.local.is_left_recorded(),
    }
}

/// The answer to a drain or a leave that no control has recorded.
pub(crate) fn not_recorded() -> web::exchange::Response {
    log::info!(
        target: "decision",
        "drain of the backend server not acknowledged: no control recorded it within \
         {RECORD_TIMEOUT:?}",
    );
    let text = "the backend server gets no new requests, but no control has recorded that yet; \
                send this again\n";
    web::exchange::Response::text(http::StatusCode::SERVICE_UNAVAILABLE, text)
}

/// Drains the backend server `instance`, which shuts down permanently. If it is not the one of this
/// host, the leave is kept for its announcement.
pub(crate) fn mark_leaving(state: &state::State, instance: &str) {
    let now = state.now();
    let mut backend = state.backend.lock();
    let previous = backend.local.entry().cloned();
    let outcome = if backend.instance == instance {
        backend.local.backend_leaving(now)
    } else {
        log::info!(
            target: "decision",
            "leave of {} kept for its announcement: the backend server is {:?}",
            bounds::excerpt(instance),
            backend.instance,
        );
        if !announcements::is_instance(instance) {
            return;
        }
        let hash = messages::Announced::hash_instance(instance);
        backend.local.unannounced_leaving(now, hash, backend::unix_us())
    };
    drop(backend);
    backend::apply_outcome(state, now, outcome, previous.as_ref());
    attaching::send_heartbeat(state);
}
