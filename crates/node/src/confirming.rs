//! Asks the control whether the running version of the configuration is the latest.

use std::{sync, time as std_time};

use distribution::updater;
use world::document;

use crate::{attaching, state};

/// How long a request waits for the control to confirm the running version. The round trip takes a
/// few milliseconds, and more over a busy link.
const CONFIRMATION_WAIT: std_time::Duration = std_time::Duration::from_millis(200);
/// The wait is at most this part of the time that the caller has.
const MIN_WAITS: u32 = 4;

/// Whether a version is confirmed as the latest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Confirmation {
    /// It is.
    Given,
    /// It is not, and the control's answer is on its way.
    Asked,
    /// It cannot be: the node runs another version by now, or is attached to no control.
    Impossible,
}

/// Whether requests may be routed by the running version. If a later one may be in force, asks the
/// control and waits for the answer, for at most [`CONFIRMATION_WAIT`] and a part of `limit`.
pub(crate) async fn await_freshness(
    state: &sync::Arc<state::State>,
    limit: Option<std_time::Duration>,
) -> bool {
    if is_routable(state) {
        return true;
    }
    let wait = limit.map_or(CONFIRMATION_WAIT, |it| CONFIRMATION_WAIT.min(it / MIN_WAITS));
    let check = |state: &sync::Arc<state::State>| match is_routable(state) {
        true => Confirmation::Given,
        false => ask(state),
    };
    await_given(state, wait, check).await
}

/// Whether the node runs `version` and knows that no later one is in force. If it does not know, asks
/// the control and waits for the answer, for at most [`CONFIRMATION_WAIT`].
pub(crate) async fn await_confirmation(
    state: &sync::Arc<state::State>,
    version: document::Version,
) -> bool {
    await_given(state, CONFIRMATION_WAIT, move |state| check_version(state, version)).await
}

/// Runs `check` on a worker, and again after each message of the control while it returns
/// [`Confirmation::Asked`]. Returns whether it returned [`Confirmation::Given`] in time.
async fn await_given(
    state: &sync::Arc<state::State>,
    wait: std_time::Duration,
    check: impl Copy + Fn(&sync::Arc<state::State>) -> Confirmation + Send + 'static,
) -> bool {
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let acknowledged = state.acknowledged.notified();
        let shared = sync::Arc::clone(state);
        let job = attaching::in_runtime(move || check(&shared));
        match state.pool.run(job).await {
            Ok(Confirmation::Given) => return true,
            Ok(Confirmation::Asked) => {}
            Ok(Confirmation::Impossible) | Err(_) => return false,
        }
        if tokio::time::timeout_at(deadline, acknowledged).await.is_err() {
            return false;
        }
    }
}

/// Whether the running version may be routed by. A node without a version has nothing to wait for:
/// its requests are refused for that reason.
pub(crate) fn is_routable(state: &state::State) -> bool {
    let now = state.now();
    let table = state.configuration.lock();
    table.running.is_none() || table.updater.freshness(now) != updater::Freshness::Unconfirmed
}

fn check_version(state: &sync::Arc<state::State>, version: document::Version) -> Confirmation {
    let now = state.now();
    let possible = {
        let table = state.configuration.lock();
        if table.updater.is_confirmed(now, version) {
            return Confirmation::Given;
        }
        let runs = table.updater.running().is_some_and(|it| it.version() == version);
        runs && table.updater.attached().is_some()
    };
    if possible { ask(state) } else { Confirmation::Impossible }
}

fn ask(state: &sync::Arc<state::State>) -> Confirmation {
    let effects = state.configuration.lock().updater.ask_confirmation(state.now());
    attaching::apply_effects(state, effects);
    Confirmation::Asked
}
