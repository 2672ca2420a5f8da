//! Jobs that step the replicated logs and pass on what comes of it.

use agreement::{entries, events};
use bytes::Bytes;
use compact_str::CompactString;
use protocol::{proposals, streams};
use replicated::{claims, quarantine, versions};
use tokio::sync::oneshot;
use world::document;

use crate::{distributing, replica, state, state_machines};

/// An event of the configuration log.
pub(crate) fn step_configuration(state: &state::State, event: events::Event) {
    let (outputs, applied) = {
        let mut replica = state.configuration_replica.lock();
        let outputs = replica.step(
            state.now(),
            event,
            state_machines::CONFIGURATION,
            &state.configuration_state,
        );
        (outputs, replica.group().applied())
    };
    pass_on_configuration(state, outputs, applied);
}

/// An event of the claims log of this region.
pub(crate) fn step_claims(state: &state::State, event: events::Event) {
    let Some(table) = &state.claims_replica else { return };
    let outputs =
        table.lock().step(state.now(), event, state_machines::CLAIMS, &state.claims_state);
    pass_on_claims(state, outputs);
}

/// A message of a log came from another control.
pub(crate) fn receive(
    state: &state::State,
    from: CompactString,
    group: &proposals::GroupId,
    message: agreement::messages::Message,
) {
    let event = events::Event::Receive { from, message };
    match group {
        proposals::GroupId::Configuration => step_configuration(state, event),
        proposals::GroupId::Claims(region) if *region == state.location.region => {
            step_claims(state, event);
        }
        proposals::GroupId::Claims(region) => {
            log::warn!("a message of the claims log of region {region} came here");
        }
    }
}

/// Time has passed.
pub(crate) fn tick(state: &state::State) {
    step_configuration(state, events::Event::Tick);
    step_claims(state, events::Event::Tick);
    let isolated = state.configuration_replica.lock().group().is_isolated(state.now());
    distributing::set_isolated(state, isolated);
}

/// Notes on the disk that the configuration log was caught up with, so that a restart in a
/// partition can serve at once.
pub(crate) fn keep_caught_up(state: &state::State) {
    let ready = state.distributor.lock().is_ready();
    let mut replica = state.configuration_replica.lock();
    if ready && !replica.is_caught_up() && !replica.has_failed() {
        replica.mark_caught_up();
    }
}

/// Ends the logs as planned.
pub(crate) fn close(state: &state::State) {
    state.configuration_replica.lock().close();
    if let Some(claims) = &state.claims_replica {
        claims.lock().close();
    }
}

/// Removes claims that have expired, when this host leads the log.
pub(crate) fn expire_claims(state: &state::State) {
    let at_ms = state::wall_ms();
    if !state.claims_state.lock().has_expired(at_ms) {
        return;
    }
    let Some(table) = &state.claims_replica else { return };
    let Ok(payload) = state_machines::encode(&claims::Command::Expire { at_ms }) else { return };
    let (answer, _) = oneshot::channel();
    let outputs = table.lock().propose(
        state.now(),
        vec![(payload, answer)],
        state_machines::CLAIMS,
        &state.claims_state,
    );
    pass_on_claims(state, outputs);
}

/// Asks the leader for its commit index.
pub(crate) fn confirm_read(state: &state::State, reader: distributing::ReadRequester) {
    let (outputs, applied) = {
        let mut replica = state.configuration_replica.lock();
        let token = replica.token();
        distributing::register_read(state, token, reader);
        let event = events::Event::ConfirmRead { token };
        let outputs = replica.step(
            state.now(),
            event,
            state_machines::CONFIGURATION,
            &state.configuration_state,
        );
        (outputs, replica.group().applied())
    };
    pass_on_configuration(state, outputs, applied);
}

/// Queues a proposal for the log on this host. [`write_queued`] has to follow.
pub(crate) fn queue(
    state: &state::State,
    request: proposals::Request,
    answer: oneshot::Sender<proposals::Outcome>,
) {
    match request.group() {
        proposals::GroupId::Configuration => {
            state.configuration_queue.lock().push((request, answer));
        }
        proposals::GroupId::Claims(region)
            if region == state.location.region && state.claims_replica.is_some() =>
        {
            state.claims_queue.lock().push((request, answer));
        }
        // This host does not hold the log; the sender asks another.
        proposals::GroupId::Claims(_) => drop(answer.send(proposals::Outcome::NotLeader(None))),
    }
}

/// Proposes all that is queued with one sync for each log.
pub(crate) fn write_queued(state: &state::State) {
    write_configuration(state);
    write_claims(state);
}

fn write_configuration(state: &state::State) {
    let level = lowest_level(state);
    let (outputs, applied) = {
        let mut replica = state.configuration_replica.lock();
        let queued = std::mem::take(&mut *state.configuration_queue.lock());
        if queued.is_empty() {
            return;
        }
        let commands = encode_all(queued, level);
        let outputs = replica.propose(
            state.now(),
            commands,
            state_machines::CONFIGURATION,
            &state.configuration_state,
        );
        (outputs, replica.group().applied())
    };
    pass_on_configuration(state, outputs, applied);
}

fn write_claims(state: &state::State) {
    let Some(table) = &state.claims_replica else { return };
    let outputs = {
        let mut replica = table.lock();
        let queued = std::mem::take(&mut *state.claims_queue.lock());
        if queued.is_empty() {
            return;
        }
        let commands = encode_all(queued, document::LEVEL);
        replica.propose(state.now(), commands, state_machines::CLAIMS, &state.claims_state)
    };
    pass_on_claims(state, outputs);
}

fn encode_all(
    queued: Vec<state::QueuedProposal>,
    level: u32,
) -> Vec<(Bytes, oneshot::Sender<proposals::Outcome>)> {
    let mut commands = Vec::with_capacity(queued.len());
    for (request, answer) in queued {
        match encode(request, level) {
            Ok(payload) => commands.push((payload, answer)),
            Err(err) => {
                log::error!("a proposal cannot be encoded: {err}");
                drop(answer.send(proposals::Outcome::Unavailable));
            }
        }
    }
    commands
}

fn encode(request: proposals::Request, level: u32) -> replica::Result<Bytes> {
    let at_ms = state::wall_ms();
    match request {
        proposals::Request::Claim(it) => {
            let proposals::ClaimRequest { name, attempt, action, .. } = it;
            state_machines::encode(&claims::Command::Act { at_ms, name, attempt, action })
        }
        proposals::Request::Evidence { age_ms, evidence } => {
            let command = quarantine::Command { at_ms, age_ms, evidence };
            state_machines::encode(&state_machines::Command::Evidence(command))
        }
        proposals::Request::Patch(patch) => {
            let command = versions::Command { at_ms, level, patch };
            state_machines::encode(&state_machines::Command::Patch(command))
        }
    }
}

/// The highest feature level that every attached process of the mesh knows.
fn lowest_level(state: &state::State) -> u32 {
    let distributor = state.distributor.lock();
    let reported = distributor.reports.values().filter_map(|(it, _)| it.level);
    let own = distributor.relay.lowest_level();
    reported.chain(own).min().unwrap_or(document::LEVEL).min(document::LEVEL)
}

fn pass_on_configuration(
    state: &state::State,
    outputs: Vec<replica::Output>,
    applied: entries::Index,
) {
    let mut changed = false;
    let mut reads = Vec::new();
    for output in outputs {
        match output {
            replica::Output::Changed => changed = true,
            replica::Output::Confirmed(token, index) => reads.push((token, Some(index))),
            replica::Output::Unconfirmed(token) => reads.push((token, None)),
            replica::Output::Send(to, message) => {
                let group = proposals::GroupId::Configuration;
                state.send_peer(&to, streams::PeerMessage::Agreement(group, message));
            }
        }
    }
    if changed || distributing::has_unpublished_entries(state, applied) {
        distributing::publish(state, applied);
    }
    for (token, index) in reads {
        match index {
            Some(index) => distributing::read_confirmed(state, token, index),
            None => distributing::read_failed(state, token),
        }
    }
}

fn pass_on_claims(state: &state::State, outputs: Vec<replica::Output>) {
    for output in outputs {
        if let replica::Output::Send(to, message) = output {
            let group = proposals::GroupId::Claims(state.location.region.clone());
            state.send_peer(&to, streams::PeerMessage::Agreement(group, message));
        }
    }
}
