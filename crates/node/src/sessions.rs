//! Sessions with controls: their streams, and the messages that arrive on them.

use std::{sync, time as std_time};

use distribution::{attach, messages};
use protocol::streams;
use tokio::sync::mpsc;

use crate::{attaching, backend, controls, quotas, rollouts, state};

/// Most messages that are queued for a control.
const CONTROL_QUEUE: usize = 256;
/// Most parts of the registry that are asked for at once. A part has about 7 KB.
const MAX_PARTS: usize = 16;
/// How often a session looks for packets of its control that have not made a whole message.
const PACKET_CHECK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(250);
pub(crate) fn send_version_message(
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
pub(crate) async fn connect(state: sync::Arc<state::State>, control: attach::ControlKey) {
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
            attaching::update_attached(&state);
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
    let Some((name, addr)) = controls::find(state, control) else { return Ok(()) };
    let link = state.links.link_control(&name, addr).await?;
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
            attaching::apply_effects(&state, effects);
        }
    };
    if state.pool.run(attaching::in_runtime(connected)).await.is_err() {
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
                if state.pool.run(attaching::in_runtime(job)).await.is_err() {
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
        attaching::apply_effects(&shared, effects);
    };
    if state.pool.submit(job).is_err() {
        log::debug!("worker queue is full; a sign of life of control {control:?} was not recorded");
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
            if let membership::targets::MergeResult::Refused(err) = merge {
                let host = world::bounds::excerpt(&event.entry.host);
                log::warn!("refused a registry entry of {host} from a control: {err}");
            }
            forget_removed(state, merge);
        }
        streams::ControlMessage::EvidenceTaken(sequence) => {
            state.suspects.lock().acknowledge(sequence);
        }
        streams::ControlMessage::Heartbeat(answer) => {
            backend::registry_answered(state, &answer);
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
            attaching::apply_effects(state, effects);
            state.acknowledged.notify_waiters();
        }
        streams::ControlMessage::Rollouts(list) => rollouts::follow(state, &list),
        streams::ControlMessage::Quota(answer) => quotas::receive(state, &answer),
        streams::ControlMessage::Controls(list) => controls::replace(state, control, &list),
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
