//! Follows the versions of the configuration: runs the timers of the updater, carries out its
//! effects, and sends heartbeats and evidence to the control that the node is attached to.

use std::sync;

use compact_str::CompactString;
use distribution::{messages, updater};
use protocol::streams;
use world::config;

use crate::{backend, peer_versions, quotas, sessions, slots, state};

/// Runs the timers of the version updater. To be called at least every 100 ms.
pub(crate) fn tick(state: &sync::Arc<state::State>) {
    let now = state.now();
    let effects = {
        let mut table = state.configuration.lock();
        let table = &mut *table;
        table.updater.tick(now, &mut table.rng)
    };
    apply_effects(state, effects);
}

/// Sends the heartbeat of the registry and the evidence that is due, and records the age of the
/// running version. To be called every second.
pub(crate) fn heartbeat(state: &state::State) {
    send_heartbeat(state);
    send_evidence(state);
    let now = state.now();
    let table = state.configuration.lock();
    if let Some(running) = &table.running {
        let age = table.updater.age(now).unwrap_or_default();
        state.instruments.record_version(running.version(), age);
    }
}

/// Sends the heartbeat of the registry.
pub(crate) fn send_heartbeat(state: &state::State) {
    let heartbeat = state.backend.lock().local.heartbeat();
    state.send_control(streams::NodeMessage::Heartbeat(heartbeat));
}

/// Sends the evidence that the control has not acknowledged yet. Does nothing while the node is
/// attached to no control.
pub(crate) fn send_evidence(state: &state::State) {
    if state.sessions.lock().attached.is_none() {
        return;
    }
    let due = state.suspects.lock().due(state.now());
    for message in due {
        state.send_control(message);
    }
}

/// Takes the floor token of an announcement, and returns the token to answer with. A backend server
/// keeps only the token of the last answer. A restarted node that has no version to make a token
/// for therefore returns the one that it received.
pub(crate) fn renew_token(
    state: &sync::Arc<state::State>,
    token: Option<&str>,
) -> Option<CompactString> {
    let now = state.now();
    let effects = {
        let mut table = state.configuration.lock();
        let table = &mut *table;
        table.updater.renewal(now, token, &mut table.rng)
    };
    apply_effects(state, effects);
    let offered = state.configuration.lock().floor_token.clone();
    offered.or_else(|| token.map(CompactString::from))
}

/// Carries out the effects of the updater. The caller must hold no lock.
pub(crate) fn apply_effects(state: &sync::Arc<state::State>, effects: Vec<updater::Effect>) {
    for effect in effects {
        match effect {
            updater::Effect::Connect(control) => {
                tokio::spawn(sessions::connect(sync::Arc::clone(state), control));
            }
            updater::Effect::Close(control) => {
                state.sessions.lock().outboxes.remove(&control);
            }
            updater::Effect::SendHello(control, hello) => {
                sessions::send_version_message(state, control, messages::ToControl::Hello(hello));
            }
            updater::Effect::AskSnapshot(control, session) => {
                sessions::send_version_message(
                    state,
                    control,
                    messages::ToControl::AskSnapshot(session),
                );
            }
            updater::Effect::Beat(control, beat) => {
                sessions::send_version_message(state, control, messages::ToControl::Beat(beat));
            }
            updater::Effect::Received(control, session, version) => {
                sessions::send_version_message(
                    state,
                    control,
                    messages::ToControl::Received(session, version),
                );
            }
            updater::Effect::Confirm(control, session, running) => {
                sessions::send_version_message(
                    state,
                    control,
                    messages::ToControl::Confirm(session, running),
                );
            }
            updater::Effect::AskPeer(host, version) => {
                tokio::spawn(peer_versions::ask_peer(sync::Arc::clone(state), host, version));
            }
            updater::Effect::OfferToken(text) => {
                state.configuration.lock().floor_token = Some(text)
            }
            updater::Effect::Run(config) => switch_version(state, config),
            updater::Effect::StopServing(level) => {
                log::error!(
                    "configuration needs feature level {level}, which this node does not support; \
                     refusing all requests until the node is upgraded or the configuration changed"
                );
                state.configuration.lock().running = None;
            }
            updater::Effect::Wait(until) => {
                log::debug!("waiting until {until} before running a version");
            }
        }
    }
    update_attached(state);
}

/// Switches to a version. Requests in flight keep the version that they started with.
fn switch_version(state: &state::State, config: sync::Arc<config::Config>) {
    let now = state.now();
    let old = {
        let mut table = state.configuration.lock();
        // Two workers may get here in a different order than the updater chose the versions.
        if table.running.as_ref().is_some_and(|it| it.version() >= config.version()) {
            return;
        }
        state
            .instruments
            .record_version(config.version(), table.updater.age(now).unwrap_or_default());
        table.running.replace(sync::Arc::clone(&config))
    };
    quotas::follow(state, &config);
    let from = old.as_ref().map(|it| it.version());
    log::info!(
        target: "decision",
        "running version {} (was {from:?}), digest {}",
        config.version(),
        config.digest(),
    );
    let new_key = |key| {
        let old = old.as_ref()?;
        {
            let route = old.route(key)?;
            let host = route.host.as_ref().map(CompactString::to_lowercase).unwrap_or_default();
            config.find_route(&host, &route.prefix)
        }
    };
    state.routing.lock().remap_routes(new_key);
    state.uplink.lock().remap_routes(new_key);
    let entry = state.backend.lock().local.entry().cloned();
    let mut admission = state.admission.lock();
    admission.remap_routes(new_key);
    if let Some(entry) = entry.filter(|it| it.state.takes_work()) {
        let limits = slots::limits(Some(&config), &entry.service, entry.slots);
        admission.set_limits(now, limits);
    }
}

/// Updates the control that the node is attached to. After a change, announces the backend server
/// to the new control's registry.
pub(crate) fn update_attached(state: &state::State) {
    let (control, name) = {
        let table = state.configuration.lock();
        let control = table.updater.attached();
        let name = control.and_then(|it| table.updater.attachment().control(it));
        (control, name.map(|it| it.name.clone()))
    };
    let changed = {
        let mut sessions = state.sessions.lock();
        let changed = sessions.attached != control;
        sessions.attached = control;
        changed
    };
    if changed {
        quotas::reattached(state);
    }
    let Some(name) = name.filter(|_| changed) else { return };
    log::info!(target: "decision", "attached to control {name}");
    state.directory.lock().forget_requests();
    let event = state.backend.lock().local.attach(state.now(), name);
    if let Some(event) = event {
        backend::send_event(state, event);
    }
    heartbeat(state);
}

/// Wraps a job for a worker so that it can spawn tasks in the current runtime.
pub(crate) fn in_runtime<T>(job: impl FnOnce() -> T) -> impl FnOnce() -> T {
    let runtime = tokio::runtime::Handle::current();
    move || {
        let _guard = runtime.enter();
        job()
    }
}
