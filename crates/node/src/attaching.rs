//! The node's sessions with controls: it follows the versions of the configuration, and exchanges
//! heartbeats, evidence and the registry's changes.

use std::{sync, time as std_time};

use compact_str::CompactString;
use distribution::{attach, messages, updater};
use protocol::streams;
use tokio::sync::mpsc;
use world::{config, document};

use crate::{slots, state};

/// Most messages that are queued for a control.
const CONTROL_QUEUE: usize = 256;
/// Most parts of the registry that are asked for at once. A part has about 7 KB.
const MAX_PARTS: usize = 16;
/// How often a session looks for packets of its control that have not made a whole message.
const PACKET_CHECK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(250);
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
    let heartbeat = state.backend.lock().local.heartbeat();
    state.send_control(streams::NodeMessage::Heartbeat(heartbeat));
    send_evidence(state);
    let now = state.now();
    let table = state.configuration.lock();
    if let Some(running) = &table.running {
        let age = table.updater.age(now).unwrap_or_default();
        state.instruments.record_version(running.version(), age);
    }
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
    apply_effects(state, effects);
    Confirmation::Asked
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
fn apply_effects(state: &sync::Arc<state::State>, effects: Vec<updater::Effect>) {
    for effect in effects {
        match effect {
            updater::Effect::Connect(control) => {
                tokio::spawn(connect(sync::Arc::clone(state), control));
            }
            updater::Effect::Close(control) => {
                state.sessions.lock().outboxes.remove(&control);
            }
            updater::Effect::SendHello(control, hello) => {
                send_version_message(state, control, messages::ToControl::Hello(hello));
            }
            updater::Effect::AskSnapshot(control, session) => {
                send_version_message(state, control, messages::ToControl::AskSnapshot(session));
            }
            updater::Effect::Beat(control, beat) => {
                send_version_message(state, control, messages::ToControl::Beat(beat));
            }
            updater::Effect::Received(control, session, version) => {
                send_version_message(
                    state,
                    control,
                    messages::ToControl::Received(session, version),
                );
            }
            updater::Effect::Confirm(control, session, running) => {
                send_version_message(
                    state,
                    control,
                    messages::ToControl::Confirm(session, running),
                );
            }
            updater::Effect::AskPeer(host, version) => {
                tokio::spawn(ask_peer(sync::Arc::clone(state), host, version));
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
    let entry = state.backend.lock().local.entry().cloned();
    let mut admission = state.admission.lock();
    admission.remap_routes(new_key);
    if let Some(entry) = entry.filter(|it| it.state.takes_work()) {
        let limits = slots::limits(Some(&config), &entry.service, entry.slots);
        admission.open(now, limits, None);
    }
}

/// Updates the control that the node is attached to. After a change, announces the backend server
/// to the new control's registry.
fn update_attached(state: &state::State) {
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
    let Some(name) = name.filter(|_| changed) else { return };
    log::info!(target: "decision", "attached to control {name}");
    state.directory.lock().forget_requests();
    let mesh = &state.settings.mesh;
    let centre = mesh
        .find_host(&name)
        .and_then(|it| mesh.host(it))
        .and_then(|it| mesh.data_centre(it.data_centre));
    let Some(centre) = centre else { return };
    let event = state.backend.lock().local.attach(state.now(), centre.name.clone());
    if let Some(event) = event {
        state.send_control(streams::NodeMessage::Event(event));
    }
    heartbeat(state);
}

fn send_version_message(
    state: &state::State,
    control: attach::ControlKey,
    message: messages::ToControl,
) {
    let sessions = state.sessions.lock();
    let Some(outbox) = sessions.outboxes.get(&control) else { return };
    if outbox.try_send(streams::NodeMessage::Version(message)).is_err() {
        log::debug!(
            "outbound queue to control {control:?} is full or closed; dropped a version message"
        );
    }
}

/// Runs a session with a control until its stream breaks or is closed, then informs the updater.
async fn connect(state: sync::Arc<state::State>, control: attach::ControlKey) {
    let result = run_session(&state, control).await;
    if let Err(err) = &result {
        log::debug!("stream to control {control:?} broke: {err}");
    }
    let job = {
        let state = sync::Arc::clone(&state);
        move || {
            let now = state.now();
            // The outbox of a stream that the updater closed was removed before.
            let lost = state.sessions.lock().outboxes.remove(&control).is_some();
            if lost || result.is_err() {
                let mut table = state.configuration.lock();
                let table = &mut *table;
                table.updater.failed(now, control, &mut table.rng);
            }
            update_attached(&state);
        }
    };
    if state.pool.submit(job).is_err() {
        log::warn!(
            "worker queue is full; the end of the stream to control {control:?} is noticed only when \
             nothing was received from the control within its timeout"
        );
    }
}

async fn run_session(
    state: &sync::Arc<state::State>,
    control: attach::ControlKey,
) -> transport::errors::Result<()> {
    let peer = {
        let table = state.configuration.lock();
        let name = table.updater.attachment().control(control).map(|it| it.name.clone());
        name.and_then(|it| state.settings.mesh.find_host(&it))
    };
    let Some(peer) = peer.and_then(|it| state.settings.mesh.host(it)) else { return Ok(()) };
    let link = state.links.link_control(&peer.name, peer.addr).await?;
    let (mut sender, mut receiver) = link.open_stream().await?;
    sender.send(&streams::Open::Attach).await?;
    let (outbox, mut queue) = mpsc::channel(CONTROL_QUEUE);
    state.sessions.lock().outboxes.insert(control, outbox);
    let connected = {
        let state = sync::Arc::clone(state);
        move || {
            let effects = {
                let mut table = state.configuration.lock();
                let table = &mut *table;
                table.updater.connected(control, &mut table.rng)
            };
            apply_effects(&state, effects);
        }
    };
    if state.pool.run(in_runtime(connected)).await.is_err() {
        return Ok(());
    }
    let mut recorded = link.traffic();
    let mut heard = recorded.received;
    let mut checks = tokio::time::interval(PACKET_CHECK_INTERVAL);
    checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let traffic = link.traffic();
        state.instruments.count_control(traffic.since(recorded));
        recorded = traffic;
        tokio::select! {
            message = queue.recv() => match message {
                Some(message) => sender.send(&message).await?,
                None => return sender.finish(),
            },
            _ = checks.tick() => {
                let received = link.traffic().received;
                if received > heard {
                    heard = received;
                    record_packets(state, control);
                }
            }
            message = receiver.recv::<streams::ControlMessage>() => {
                let Some(message) = message? else { return Ok(()) };
                let shared = sync::Arc::clone(state);
                let job = move || handle_message(&shared, control, message);
                if state.pool.run(in_runtime(job)).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}

/// Tells the updater that packets of a control arrived.
fn record_packets(state: &sync::Arc<state::State>, control: attach::ControlKey) {
    let shared = sync::Arc::clone(state);
    let job = move || {
        let effects = {
            let now = shared.now();
            let mut table = shared.configuration.lock();
            table.updater.packets_arrived(now, control)
        };
        apply_effects(&shared, effects);
    };
    if state.pool.submit(job).is_err() {
        log::debug!("worker queue is full; a sign of life of control {control:?} was not recorded");
    }
}

/// Wraps a job for a worker so that it can spawn tasks in the current runtime.
pub(crate) fn in_runtime<T>(job: impl FnOnce() -> T) -> impl FnOnce() -> T {
    let runtime = tokio::runtime::Handle::current();
    move || {
        let _guard = runtime.enter();
        job()
    }
}

fn handle_message(
    state: &sync::Arc<state::State>,
    control: attach::ControlKey,
    message: streams::ControlMessage,
) {
    let now = state.now();
    match message {
        streams::ControlMessage::Digests(digests) => {
            let parts = state.directory.lock().parts_to_request(&digests, MAX_PARTS);
            request_parts(state, parts);
        }
        streams::ControlMessage::Event(event) => {
            let merge = state.directory.lock().apply_event(now, &event);
            forget_removed(state, merge);
        }
        streams::ControlMessage::EvidenceTaken(sequence) => {
            state.suspects.lock().acknowledge(sequence);
        }
        streams::ControlMessage::Heartbeat(answer) => {
            let event = state.backend.lock().local.heartbeat_answered(now, &answer);
            if let Some(event) = event {
                state.send_control(streams::NodeMessage::Event(event));
            }
        }
        streams::ControlMessage::Part(part) => {
            let (removed, parts) = {
                let mut directory = state.directory.lock();
                (directory.apply_part(now, &part), directory.next_parts(MAX_PARTS))
            };
            {
                let mut routing = state.routing.lock();
                for key in removed {
                    routing.balancer.estimates.remove(key);
                }
            }
            request_parts(state, parts);
        }
        streams::ControlMessage::Reach(reach) => state.directory.lock().set_reachability(&reach),
        streams::ControlMessage::Standings(list) => state.suspects.lock().replace_known(now, &list),
        streams::ControlMessage::Version(message) => {
            let effects = {
                let mut table = state.configuration.lock();
                let table = &mut *table;
                table.updater.message(now, control, message, &mut table.rng)
            };
            apply_effects(state, effects);
            state.acknowledged.notify_waiters();
        }
    }
}

fn request_parts(state: &state::State, parts: Vec<membership::messages::PartRequest>) {
    if !parts.is_empty() && !state.send_control(streams::NodeMessage::Parts(parts)) {
        state.directory.lock().forget_requests();
    }
}

fn forget_removed(state: &state::State, merge: membership::targets::MergeResult) {
    if let membership::targets::MergeResult::Removed(key) = merge {
        state.routing.lock().balancer.estimates.remove(key);
    }
}

async fn ask_peer(
    state: sync::Arc<state::State>,
    host: CompactString,
    version: messages::Numbered,
) {
    let answer = match fetch_version(&state, &host, version).await {
        Ok(streams::PeerVersion::Snapshot(snapshot)) => Some(snapshot),
        Ok(streams::PeerVersion::Absent) => None,
        Err(err) => {
            log::debug!("peer {host} did not send version {}: {err}", version.version);
            None
        }
    };
    let job = {
        let state = sync::Arc::clone(&state);
        move || {
            let now = state.now();
            let effects = {
                let mut table = state.configuration.lock();
                let table = &mut *table;
                table.updater.peer_answer(now, answer.as_ref(), &mut table.rng)
            };
            apply_effects(&state, effects);
        }
    };
    if state.pool.run(in_runtime(job)).await.is_err() {
        log::warn!(
            "worker queue is full; dropped the answer of peer {host}, which was asked for a version \
             of the configuration"
        );
    }
}

async fn fetch_version(
    state: &state::State,
    host: &str,
    version: messages::Numbered,
) -> transport::errors::Result<streams::PeerVersion> {
    let addr = state.directory.lock().targets().find_host(host).map(|it| it.entry.addr);
    let Some(addr) = addr else { return Ok(streams::PeerVersion::Absent) };
    let link = state.links.link(host, addr).await?;
    let (mut sender, mut receiver) = link.open_stream().await?;
    sender.send(&streams::Open::PeerVersion(version)).await?;
    sender.finish()?;
    Ok(receiver.recv().await?.unwrap_or(streams::PeerVersion::Absent))
}

/// The snapshot of the version that a peer asks for, or absent when the node does not have it.
pub(crate) fn serve_peer(
    state: &state::State,
    version: messages::Numbered,
) -> streams::PeerVersion {
    match state.configuration.lock().updater.serve_peer(version) {
        Some(snapshot) => streams::PeerVersion::Snapshot(snapshot),
        None => streams::PeerVersion::Absent,
    }
}
