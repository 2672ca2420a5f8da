//! The node's side of its links to controls.

use std::sync;

use compact_str::CompactString;
use distribution::{attach, messages, updater};
use protocol::streams;
use tokio::sync::mpsc;
use world::config;

use crate::{gates, state};

/// Messages that may wait for a control.
const QUEUE: usize = 256;
/// Parts of the registry asked for at once, about 7 KB each.
const PARTS: usize = 16;

/// Does what is due for the versions. To be called at least every 100 ms.
pub(crate) fn tick(state: &sync::Arc<state::State>) {
    let now = state.now();
    let effects = {
        let mut table = state.configuration.lock();
        let table = &mut *table;
        table.follower.tick(now, &mut table.rng)
    };
    perform(state, effects);
}

/// Sends the heartbeat of the registry. To be called each second.
pub(crate) fn heartbeat(state: &state::State) {
    let heartbeat = state.backend.lock().local.heartbeat();
    state.send_control(streams::NodeMessage::Heartbeat(heartbeat));
    send_evidence(state);
    let now = state.now();
    let table = state.configuration.lock();
    if let Some(running) = &table.running {
        let age = table.follower.age(now).unwrap_or_default();
        state.instruments.record_version(running.version(), age);
    }
}

/// Sends what the control has not taken over yet.
pub(crate) fn send_evidence(state: &state::State) {
    if state.sessions.lock().attached.is_none() {
        return;
    }
    let due = state.suspicion.lock().due(state.now());
    for message in due {
        state.send_control(message);
    }
}

/// Takes the token of an announcement, and returns the one to answer with. A backend server keeps
/// only what the last answer said, so a restarted process that has no version to offer a token for
/// gives back the one that it was shown.
pub(crate) fn renewal(
    state: &sync::Arc<state::State>,
    token: Option<&str>,
) -> Option<CompactString> {
    let now = state.now();
    let effects = {
        let mut table = state.configuration.lock();
        let table = &mut *table;
        table.follower.renewal(now, token, &mut table.rng)
    };
    perform(state, effects);
    let offered = state.configuration.lock().token.clone();
    offered.or_else(|| token.map(CompactString::from))
}

/// Performs what the versions ask for. Called without a lock.
fn perform(state: &sync::Arc<state::State>, effects: Vec<updater::Effect>) {
    for effect in effects {
        match effect {
            updater::Effect::Connect(control) => {
                tokio::spawn(connect(sync::Arc::clone(state), control));
            }
            updater::Effect::Close(control) => {
                state.sessions.lock().outboxes.remove(&control);
            }
            updater::Effect::SendHello(control, hello) => {
                send(state, control, messages::ToControl::Hello(hello));
            }
            updater::Effect::AskSnapshot(control, session) => {
                send(state, control, messages::ToControl::AskSnapshot(session));
            }
            updater::Effect::Beat(control, beat) => {
                send(state, control, messages::ToControl::Beat(beat));
            }
            updater::Effect::Received(control, session, version) => {
                send(state, control, messages::ToControl::Received(session, version));
            }
            updater::Effect::Confirm(control, session, running) => {
                send(state, control, messages::ToControl::Confirm(session, running));
            }
            updater::Effect::AskPeer(host, of) => {
                tokio::spawn(ask_peer(sync::Arc::clone(state), host, of));
            }
            updater::Effect::OfferToken(text) => state.configuration.lock().token = Some(text),
            updater::Effect::Run(config) => run(state, config),
            updater::Effect::StopServing(level) => {
                log::error!("the configuration needs feature level {level}; serving nothing");
                state.configuration.lock().running = None;
            }
            updater::Effect::Wait(until) => log::debug!("no version before {until}"),
        }
    }
    note_attached(state);
}

/// Swaps to a version as a whole. Requests in flight keep the version that they began with.
fn run(state: &state::State, config: sync::Arc<config::Config>) {
    let now = state.now();
    let old = {
        let mut table = state.configuration.lock();
        // Two workers may get here in the other order than the versions were taken.
        if table.running.as_ref().is_some_and(|it| it.version() >= config.version()) {
            return;
        }
        state
            .instruments
            .record_version(config.version(), table.follower.age(now).unwrap_or_default());
        table.running.replace(sync::Arc::clone(&config))
    };
    let from = old.as_ref().map(|it| it.version());
    log::info!(
        target: "decision",
        "running version {} (was {from:?}), digest {}",
        config.version(),
        config.digest(),
    );
    let renamed = |key| {
        let old = old.as_ref()?;
        {
            let route = old.route(key)?;
            let host = route.host.as_ref().map(CompactString::to_lowercase).unwrap_or_default();
            config.find_route(&host, &route.prefix)
        }
    };
    state.routing.lock().rename_routes(renamed);
    let entry = state.backend.lock().local.entry().cloned();
    let mut gates = state.admission.lock();
    gates.rename_routes(renamed);
    if let Some(entry) = entry.filter(|it| it.state.takes_work()) {
        let limits = gates::limits(Some(&config), &entry.service, entry.slots);
        gates.open(now, limits, None);
    }
}

/// Tells the registry's side which control the node is attached to.
fn note_attached(state: &state::State) {
    let (control, source) = {
        let table = state.configuration.lock();
        let control = table.follower.attached();
        let name = control.and_then(|it| table.follower.attachment().control(it));
        (control, name.map(|it| it.name.clone()))
    };
    let changed = {
        let mut sessions = state.sessions.lock();
        let changed = sessions.attached != control;
        sessions.attached = control;
        changed
    };
    let Some(name) = source.filter(|_| changed) else { return };
    log::info!(target: "decision", "attached to control {name}");
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

fn send(state: &state::State, control: attach::ControlKey, message: messages::ToControl) {
    let sessions = state.sessions.lock();
    let Some(outbox) = sessions.outboxes.get(&control) else { return };
    if outbox.try_send(streams::NodeMessage::Version(message)).is_err() {
        log::debug!("the queue to a control is full; a message was dropped");
    }
}

/// Keeps a stream to a control until it breaks or is closed.
async fn connect(state: sync::Arc<state::State>, control: attach::ControlKey) {
    let result = converse(&state, control).await;
    if let Err(err) = &result {
        log::debug!("stream to a control ended: {err}");
    }
    let job = {
        let state = sync::Arc::clone(&state);
        move || {
            let now = state.now();
            // A stream that was closed on purpose has no outbox any more, or a newer one.
            let lost = state.sessions.lock().outboxes.remove(&control).is_some();
            if lost || result.is_err() {
                let mut table = state.configuration.lock();
                let table = &mut *table;
                table.follower.failed(now, control, &mut table.rng);
            }
            note_attached(&state);
        }
    };
    if state.pool.submit(job).is_err() {
        log::warn!("too much work; the end of a stream to a control was not noted");
    }
}

async fn converse(
    state: &sync::Arc<state::State>,
    control: attach::ControlKey,
) -> transport::errors::Result<()> {
    let peer = {
        let table = state.configuration.lock();
        let name = table.follower.attachment().control(control).map(|it| it.name.clone());
        name.and_then(|it| state.settings.mesh.find_host(&it))
    };
    let Some(peer) = peer.and_then(|it| state.settings.mesh.host(it)) else { return Ok(()) };
    let link = state.links.link(&peer.name, peer.addr).await?;
    let (mut sender, mut receiver) = link.open_stream().await?;
    sender.send(&streams::Open::Attach).await?;
    let (outbox, mut queue) = mpsc::channel(QUEUE);
    state.sessions.lock().outboxes.insert(control, outbox);
    let connected = {
        let state = sync::Arc::clone(state);
        move || {
            let effects = {
                let mut table = state.configuration.lock();
                let table = &mut *table;
                table.follower.connected(control, &mut table.rng)
            };
            perform(&state, effects);
        }
    };
    if state.pool.run(in_runtime(connected)).await.is_err() {
        return Ok(());
    }
    let mut counted = link.traffic();
    loop {
        let traffic = link.traffic();
        state.instruments.count_control(traffic.since(counted));
        counted = traffic;
        tokio::select! {
            message = queue.recv() => match message {
                Some(message) => sender.send(&message).await?,
                None => return sender.finish(),
            },
            message = receiver.recv::<streams::ControlMessage>() => {
                let Some(message) = message? else { return Ok(()) };
                let state_ = sync::Arc::clone(state);
                let job = move || take_in(&state_, control, message);
                if state.pool.run(in_runtime(job)).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}

/// Lets a job on a worker start tasks.
pub(crate) fn in_runtime<T>(job: impl FnOnce() -> T) -> impl FnOnce() -> T {
    let runtime = tokio::runtime::Handle::current();
    move || {
        let _guard = runtime.enter();
        job()
    }
}

fn take_in(
    state: &sync::Arc<state::State>,
    control: attach::ControlKey,
    message: streams::ControlMessage,
) {
    let now = state.now();
    match message {
        streams::ControlMessage::Digests(digests) => {
            let wanted = state.directory.lock().parts_to_request(&digests, PARTS);
            if !wanted.is_empty() {
                state.send_control(streams::NodeMessage::Parts(wanted));
            }
        }
        streams::ControlMessage::Event(event) => {
            let merge = state.directory.lock().apply_event(now, &event);
            forget_targets(state, merge);
        }
        streams::ControlMessage::EvidenceTaken(sequence) => {
            state.suspicion.lock().settle(sequence);
        }
        streams::ControlMessage::Heartbeat(answer) => {
            let event = state.backend.lock().local.heartbeat_answered(now, &answer);
            if let Some(event) = event {
                state.send_control(streams::NodeMessage::Event(event));
            }
        }
        streams::ControlMessage::Part(part) => {
            let removed = state.directory.lock().apply_part(now, &part);
            let mut routing = state.routing.lock();
            for key in removed {
                routing.router.estimates.remove(key);
            }
        }
        streams::ControlMessage::Reach(reach) => state.directory.lock().set_reachability(&reach),
        streams::ControlMessage::Standings(list) => state.suspicion.lock().replace(now, &list),
        streams::ControlMessage::Version(message) => {
            let effects = {
                let mut table = state.configuration.lock();
                let table = &mut *table;
                table.follower.message(now, control, message, &mut table.rng)
            };
            perform(state, effects);
        }
    }
}

fn forget_targets(state: &state::State, merge: membership::targets::MergeResult) {
    if let membership::targets::MergeResult::Removed(key) = merge {
        state.routing.lock().router.estimates.remove(key);
    }
}

async fn ask_peer(state: sync::Arc<state::State>, host: CompactString, of: messages::Numbered) {
    let answer = match fetch(&state, &host, of).await {
        Ok(streams::PeerVersion::Snapshot(snapshot)) => Some(snapshot),
        Ok(streams::PeerVersion::Absent) => None,
        Err(err) => {
            log::debug!("peer {host} did not send version {}: {err}", of.version);
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
                table.follower.peer_answer(now, answer.as_ref(), &mut table.rng)
            };
            perform(&state, effects);
        }
    };
    if state.pool.run(in_runtime(job)).await.is_err() {
        log::warn!("too much work; a peer's answer was dropped");
    }
}

async fn fetch(
    state: &state::State,
    host: &str,
    of: messages::Numbered,
) -> transport::errors::Result<streams::PeerVersion> {
    let addr = state.directory.lock().targets().find_host(host).map(|it| it.entry.addr);
    let Some(addr) = addr else { return Ok(streams::PeerVersion::Absent) };
    let link = state.links.link(host, addr).await?;
    let (mut sender, mut receiver) = link.open_stream().await?;
    sender.send(&streams::Open::PeerVersion(of)).await?;
    sender.finish()?;
    Ok(receiver.recv().await?.unwrap_or(streams::PeerVersion::Absent))
}

/// The version that a peer asks for, if the node runs it.
pub(crate) fn serve_peer(state: &state::State, of: messages::Numbered) -> streams::PeerVersion {
    match state.configuration.lock().follower.serve_peer(of) {
        Some(snapshot) => streams::PeerVersion::Snapshot(snapshot),
        None => streams::PeerVersion::Absent,
    }
}
