//! Asks the control whether the running version of the configuration is the latest.

use std::{sync, time as std_time};

use world::document;

use crate::{attaching, state};

/// How long a request that the running version does not allow waits for the control to confirm the
/// version. The round trip takes a few milliseconds, and more over a busy link.
const CONFIRMATION_WAIT: std_time::Duration = std_time::Duration::from_millis(200);

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

/// Whether the node runs `version` and knows that no later one is in force. If it does not know, asks
/// the control and waits for the answer, for at most [`CONFIRMATION_WAIT`].
pub(crate) async fn await_confirmation(
    state: &sync::Arc<state::State>,
    version: document::Version,
) -> bool {
    let deadline = tokio::time::Instant::now() + CONFIRMATION_WAIT;
    loop {
        let acknowledged = state.acknowledged.notified();
        let shared = sync::Arc::clone(state);
        let job = move || check_confirmation(&shared, version);
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

fn check_confirmation(state: &sync::Arc<state::State>, version: document::Version) -> Confirmation {
    let now = state.now();
    let effects = {
        let mut table = state.configuration.lock();
        if table.updater.is_confirmed(now, version) {
            return Confirmation::Given;
        }
        let runs = table.updater.running().is_some_and(|it| it.version() == version);
        if !runs || table.updater.attached().is_none() {
            return Confirmation::Impossible;
        }
        table.updater.ask_confirmation(now)
    };
    attaching::apply_effects(state, effects);
    Confirmation::Asked
}
