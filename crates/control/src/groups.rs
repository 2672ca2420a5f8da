//! Jobs that step the replicas of the logs and handle their outputs.

use agreement::{entries, events};
use bytes::Bytes;
use compact_str::CompactString;
use distribution::relay;
use protocol::{proposals, streams};
use replicated::{claims, quarantine, rollouts, versions};
use tokio::sync::oneshot;
use world::document;

use crate::{controls, distributing, quotas, replica, state, state_machines};

/// Steps this host's replica of the configuration log with an event.
pub(crate) fn step_configuration(state: &state::State, event: events::Event) {
    step_configuration_with(state, |_| event);
}

/// Steps this host's replica of the configuration log with the event that `make` returns, in the
/// same lock.
pub(crate) fn step_configuration_with(
    state: &state::State,
    make: impl FnOnce(&mut replica::Replica) -> events::Event,
) {
    let (outputs, applied) = {
        let mut replica = state.configuration_replica.lock();
        let event = make(&mut replica);
        let outputs = replica.step(
            state.now(),
            event,
            state_machines::CONFIGURATION,
            &state.configuration_state,
        );
        (outputs, replica.group().applied())
    };
    handle_configuration_outputs(state, outputs, applied);
}

/// Steps this host's replica of its region's claims log with an event. Does nothing without one.
pub(crate) fn step_claims(state: &state::State, event: events::Event) {
    step_claims_with(state, || event);
}

/// Steps this host's replica of its region's claims log with the event that `make` returns, in the
/// same lock. Does nothing without a replica.
pub(crate) fn step_claims_with(state: &state::State, make: impl FnOnce() -> events::Event) {
    let Some(replica) = &state.claims_replica else { return };
    let outputs = {
        let mut replica = replica.lock();
        let event = make();
        replica.step(state.now(), event, state_machines::CLAIMS, &state.claims_state)
    };
    handle_claims_outputs(state, outputs);
}

/// Steps the replica that a message of another control is for.
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
            log::warn!(
                "dropped a message of the claims group of region {region}: this host is not in it; \
                 check that all controls have the same regions in their settings",
            );
        }
    }
}

/// Steps all replicas with a tick, and tells the distributor as of when this control knows what the
/// configuration group has committed.
pub(crate) fn tick(state: &state::State) {
    step_configuration(state, events::Event::Tick);
    step_claims(state, events::Event::Tick);
    let (contact, applied) = {
        let replica = state.configuration_replica.lock();
        let group = replica.group();
        let now = state.now();
        let known_at = group.current_at(now).unwrap_or_default();
        (relay::Contact { known_at, until: group.contact_until(now) }, group.applied())
    };
    distributing::record_contact(state, contact, applied);
}

/// Records on disk that this host has caught up with the configuration log, so that after a restart
/// during a partition it can serve at once.
pub(crate) fn record_caught_up(state: &state::State) {
    let ready = state.distributor.lock().is_ready();
    let mut replica = state.configuration_replica.lock();
    if ready && !replica.is_caught_up() && !replica.has_failed() {
        replica.mark_caught_up(state.now());
    }
}

/// Closes the logs for a planned stop. Proposals that still wait get no outcome from this host.
pub(crate) fn close_logs(state: &state::State) {
    state.configuration_replica.lock().close();
    if let Some(replica) = &state.claims_replica {
        replica.lock().close();
    }
}

/// Proposes the removal of expired claims. Only the leader's proposal is accepted.
pub(crate) fn expire_claims(state: &state::State) {
    let at_ms = state::unix_time_ms();
    if !state.claims_state.lock().has_expired(at_ms) {
        return;
    }
    let Some(replica) = &state.claims_replica else { return };
    let Ok(payload) = state_machines::encode(&claims::Command::Expire { at_ms }) else { return };
    let (answer, _) = oneshot::channel();
    let outputs = replica.lock().propose(
        state.now(),
        vec![(payload, answer)],
        state_machines::CLAIMS,
        &state.claims_state,
    );
    handle_claims_outputs(state, outputs);
}

/// Requests a confirmed read: the commit index of a leader of the configuration group with a valid
/// lease. The result goes to [`distributing::read_confirmed`] or [`distributing::read_failed`].
pub(crate) fn confirm_read(state: &state::State, requester: distributing::ReadRequester) {
    step_configuration_with(state, |replica| {
        let token = replica.new_token();
        distributing::register_read(state, token, requester);
        events::Event::ConfirmRead { token }
    });
}

/// Queues a proposal for the log on this host. The caller has to submit a job that runs
/// [`propose_queued`]. A request for a log that this host does not hold is answered at once.
pub(crate) fn enqueue(
    state: &state::State,
    request: proposals::Proposal,
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
        // This host does not hold the log; the sender tries another host.
        proposals::GroupId::Claims(_) => drop(answer.send(proposals::Outcome::NotLeader(None))),
    }
}

/// Proposes everything in the queues, with one sync for each log.
pub(crate) fn propose_queued(state: &state::State) {
    propose_configuration_queue(state);
    propose_claims_queue(state);
}

fn propose_configuration_queue(state: &state::State) {
    let level = common_feature_level(state);
    let (outputs, applied) = {
        let mut replica = state.configuration_replica.lock();
        let queued = std::mem::take(&mut *state.configuration_queue.lock());
        if queued.is_empty() {
            return;
        }
        let commands = encode_commands(queued, level);
        let outputs = replica.propose(
            state.now(),
            commands,
            state_machines::CONFIGURATION,
            &state.configuration_state,
        );
        (outputs, replica.group().applied())
    };
    handle_configuration_outputs(state, outputs, applied);
}

fn propose_claims_queue(state: &state::State) {
    let Some(replica) = &state.claims_replica else { return };
    let outputs = {
        let mut replica = replica.lock();
        let queued = std::mem::take(&mut *state.claims_queue.lock());
        if queued.is_empty() {
            return;
        }
        let commands = encode_commands(queued, document::LEVEL);
        replica.propose(state.now(), commands, state_machines::CLAIMS, &state.claims_state)
    };
    handle_claims_outputs(state, outputs);
}

fn encode_commands(
    queued: Vec<state::QueuedProposal>,
    level: u32,
) -> Vec<(Bytes, oneshot::Sender<proposals::Outcome>)> {
    let mut commands = Vec::with_capacity(queued.len());
    for (request, answer) in queued {
        match encode_command(request, level) {
            Ok(payload) => commands.push((payload, answer)),
            Err(err) => {
                log::error!("a proposal was not made, since its command cannot be encoded: {err}");
                drop(answer.send(proposals::Outcome::Unavailable));
            }
        }
    }
    commands
}

fn encode_command(request: proposals::Proposal, level: u32) -> replica::Result<Bytes> {
    let at_ms = state::unix_time_ms();
    match request {
        proposals::Proposal::Claim(it) => {
            let proposals::ClaimRequest { name, attempt, action, .. } = it;
            state_machines::encode(&claims::Command::Act { at_ms, name, attempt, action })
        }
        proposals::Proposal::Evidence { age_ms, evidence } => {
            let command = quarantine::Command { at_ms, age_ms, evidence };
            state_machines::encode(&state_machines::Command::Evidence(command))
        }
        proposals::Proposal::Controls(command) => {
            state_machines::encode(&state_machines::Command::Controls(command))
        }
        proposals::Proposal::Rollout(action) => {
            let command = rollouts::Command { at_ms, action };
            state_machines::encode(&state_machines::Command::Rollout(command))
        }
        proposals::Proposal::Patch(patch) => {
            let command = versions::Command { at_ms, level, patch };
            state_machines::encode(&state_machines::Command::Patch(command))
        }
    }
}

/// The highest feature level that all attached nodes know, by the reports of the other controls,
/// and at most the level of this build.
fn common_feature_level(state: &state::State) -> u32 {
    let distributor = state.distributor.lock();
    let reported = distributor.reports.values().filter_map(|(it, _)| it.level);
    let own = distributor.relay.lowest_level();
    reported.chain(own).min().unwrap_or(document::LEVEL).min(document::LEVEL)
}

fn handle_configuration_outputs(
    state: &state::State,
    outputs: Vec<replica::Output>,
    applied: entries::Index,
) {
    let mut changed = false;
    let mut reads = Vec::new();
    for output in outputs {
        match output {
            replica::Output::StateChanged => changed = true,
            replica::Output::ReadConfirmed(token, index) => reads.push((token, Some(index))),
            replica::Output::ReadFailed(token) => reads.push((token, None)),
            replica::Output::Send(to, message) => {
                let group = proposals::GroupId::Configuration;
                state.send_peer(&to, streams::PeerMessage::Agreement(group, message));
            }
        }
    }
    if changed || distributing::has_unpublished_entries(state, applied) {
        quotas::follow(state);
        distributing::publish(state, applied);
        controls::follow(state);
        crate::rollouts::publish(state);
    }
    for (token, index) in reads {
        match index {
            Some(index) => distributing::read_confirmed(state, token, index),
            None => distributing::read_failed(state, token),
        }
    }
}

fn handle_claims_outputs(state: &state::State, outputs: Vec<replica::Output>) {
    for output in outputs {
        if let replica::Output::Send(to, message) = output {
            let group = proposals::GroupId::Claims(state.location.region.clone());
            state.send_peer(&to, streams::PeerMessage::Agreement(group, message));
        }
    }
}
