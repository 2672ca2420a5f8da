//! Jobs of the registry: what the nodes and the other controls say of the targets.

use distribution::subscribers;
use membership::{messages, targets};
use protocol::streams;

use crate::state;

/// Laggards in one report to the other controls, so that its size has a bound.
const MAX_BEHIND: usize = 64;
/// Versions counted in one report.
const MAX_COUNTS: usize = 16;

/// A change from an attached node.
pub(crate) fn node_event(state: &state::State, event: &messages::Event) {
    let merge = state.registry.lock().apply_event(state.now(), event);
    if merge == targets::MergeResult::NotNewer {
        return;
    }
    log_event(event);
    state.send_peers(&streams::PeerMessage::Event(event.clone()));
    state.relay.lock().broadcast(&streams::ControlMessage::Event(event.clone()));
}

/// A change from another control.
pub(crate) fn peer_event(state: &state::State, event: &messages::Event) {
    let merge = state.registry.lock().apply_event(state.now(), event);
    if merge != targets::MergeResult::NotNewer {
        log_event(event);
        state.relay.lock().broadcast(&streams::ControlMessage::Event(event.clone()));
    }
}

/// A heartbeat of an attached node.
pub(crate) fn heartbeat(
    state: &state::State,
    key: subscribers::SubscriberKey,
    heartbeat: &messages::Heartbeat,
) {
    let answer = state.registry.lock().heartbeat(state.now(), heartbeat);
    state.relay.lock().send(key, streams::ControlMessage::Heartbeat(answer));
}

/// The registry's state, for a node that has just attached.
pub(crate) fn greet(state: &state::State, key: subscribers::SubscriberKey) {
    let registry = state.registry.lock();
    let digests = registry.targets().digests();
    let silent = registry.silent_peers();
    drop(registry);
    let mut relay = state.relay.lock();
    for it in silent {
        relay.send(key, streams::ControlMessage::Reach(it));
    }
    relay.send(key, streams::ControlMessage::Digests(digests));
}

/// A node asks for parts of the registry.
pub(crate) fn node_parts(
    state: &state::State,
    key: subscribers::SubscriberKey,
    requests: &[messages::PartRequest],
) {
    let now = state.now();
    let registry = state.registry.lock();
    let parts: Vec<_> = requests.iter().map(|it| registry.part(now, it)).collect();
    drop(registry);
    let mut relay = state.relay.lock();
    for part in parts {
        relay.send(key, streams::ControlMessage::Part(part));
    }
}

/// The state of another control's registry.
pub(crate) fn digests(state: &state::State, host: &str, digests: &[messages::Digest]) {
    let Some(data_centre) = state.data_centre_of(host) else { return };
    let mut registry = state.registry.lock();
    let reach = registry.peer_heard(state.now(), data_centre);
    let missing = registry.targets().compare(digests);
    drop(registry);
    if let Some(reach) = reach {
        log::info!(target: "decision", "data centre {data_centre} can be heard again");
        state.relay.lock().broadcast(&streams::ControlMessage::Reach(reach));
    }
    if !missing.is_empty() {
        state.send_peer(host, streams::PeerMessage::PartRequests(missing));
    }
}

/// Another control asks for parts of the registry.
pub(crate) fn part_requests(state: &state::State, host: &str, requests: &[messages::PartRequest]) {
    let now = state.now();
    let registry = state.registry.lock();
    let parts = requests.iter().map(|it| registry.part(now, it)).collect();
    drop(registry);
    state.send_peer(host, streams::PeerMessage::Parts(parts));
}

/// Parts of another control's registry.
pub(crate) fn parts(state: &state::State, parts: &[messages::Part]) {
    for event in parts.iter().flat_map(|it| &it.events) {
        peer_event(state, event);
    }
}

/// Ends leases, compares registries and reports what the nodes run, when it is due.
pub(crate) fn tick(state: &state::State) {
    let due = state.registry.lock().tick(state.now());
    for event in &due.events {
        log::info!(
            target: "decision",
            "target {} of {} is gone: its node's lease ended",
            event.entry.host,
            event.entry.service,
        );
        state.send_peers(&streams::PeerMessage::Event(event.clone()));
        state.relay.lock().broadcast(&streams::ControlMessage::Event(event.clone()));
    }
    for reach in due.silent {
        log::info!(target: "decision", "data centre {} is silent", reach.data_centre);
        state.relay.lock().broadcast(&streams::ControlMessage::Reach(reach));
    }
    if let Some(digests) = due.digests {
        state.send_peers(&streams::PeerMessage::Digests(digests.clone()));
        state.relay.lock().broadcast(&streams::ControlMessage::Digests(digests));
    }
}

/// Tells the other controls what the attached nodes run.
pub(crate) fn report(state: &state::State) {
    let report = own_report(state);
    state.send_peers(&streams::PeerMessage::Report(report));
}

/// Records the version and the nodes for the metrics page.
pub(crate) fn measure(state: &state::State) {
    let report = own_report(state);
    let converged = report.counts.iter().find(|it| it.0 == report.version);
    state.instruments.record_version(report.version);
    state.instruments.record_nodes(report.nodes as usize, converged.map_or(0, |it| it.1 as usize));
    let configuration = state.configuration.lock().group().is_voter();
    let claims = state.claims.as_ref().is_some_and(|it| it.lock().group().is_voter());
    state.instruments.record_votes(usize::from(configuration) + usize::from(claims));
}

/// What the nodes attached to this control run.
pub(crate) fn own_report(state: &state::State) -> streams::Report {
    let now = state.now();
    let table = state.relay.lock();
    let summary = table.relay.summary();
    let version = table.relay.version();
    let level = table.relay.lowest_level();
    drop(table);
    let nodes = summary.counts.values().sum::<u32>() + summary.idle;
    let mut behind: Vec<_> = summary
        .laggards
        .iter()
        .map(|it| streams::Behind {
            host: it.node.clone(),
            running: it.running,
            behind_ms: u64::try_from(now.since(it.since).as_millis()).unwrap_or(u64::MAX),
        })
        .collect();
    behind.sort_by_key(|it| std::cmp::Reverse(it.behind_ms));
    behind.truncate(MAX_BEHIND);
    streams::Report {
        data_centre: state.place.data_centre.clone(),
        level,
        version,
        nodes,
        counts: summary.counts.into_iter().rev().take(MAX_COUNTS).collect(),
        behind,
    }
}

fn log_event(event: &messages::Event) {
    let entry = &event.entry;
    log::info!(
        target: "decision",
        "target {} of {} in {} is {:?}, incarnation {}",
        entry.host,
        entry.service,
        entry.data_centre,
        entry.state,
        entry.order.incarnation,
    );
}
