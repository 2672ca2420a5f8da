//! Jobs of the target registry: merges what the nodes and the other controls report, and passes
//! changes on.

use distribution::subscribers;
use membership::{messages, targets};
use protocol::streams;
use world::bounds;

use crate::{departing, rollouts, state};

/// Most lagging nodes in one report to the other controls, which bounds its size.
const MAX_LAGGING_NODES: usize = 64;
/// Most versions with a node count in one report.
const MAX_VERSION_COUNTS: usize = 16;

/// Merges a change of an attached node's target. Passes it on to the other controls and to all
/// attached nodes, unless the registry has a later one.
pub(crate) fn receive_node_event(state: &state::State, event: &messages::Event) {
    let merge = state.registry.lock().apply_event(state.now(), event);
    log_refused(event, merge);
    if !merge.is_change() {
        return;
    }
    log_event(event);
    state.send_peers(&streams::PeerMessage::Event(event.clone()));
    state.distributor.lock().broadcast(&streams::ControlMessage::Event(event.clone()));
    departing::wake(state);
}

/// Merges a change that another control reported. Passes it on to all attached nodes, unless the
/// registry has a later one.
pub(crate) fn receive_peer_event(state: &state::State, event: &messages::Event) {
    let merge = state.registry.lock().apply_event(state.now(), event);
    log_refused(event, merge);
    if merge.is_change() {
        log_event(event);
        state.distributor.lock().broadcast(&streams::ControlMessage::Event(event.clone()));
        departing::wake(state);
    }
}

/// Sends the controls, the unreachable data centres and the registry's digests to a node that has
/// just attached. The node then asks for the parts that differ from its own.
pub(crate) fn send_registry(state: &state::State, key: subscribers::SubscriberKey) {
    let registry = state.registry.lock();
    let digests = registry.targets().digests();
    let unreachable = registry.unreachable_peers();
    drop(registry);
    let controls = state.directory.lock().records();
    // Before the targets: otherwise a node could send to a version that its service does not allow.
    rollouts::send_list(state, key);
    let mut distributor = state.distributor.lock();
    distributor.send(key, streams::ControlMessage::Controls(controls));
    for it in unreachable {
        distributor.send(key, streams::ControlMessage::Reach(it));
    }
    distributor.send(key, streams::ControlMessage::Digests(digests));
}

/// Sends the requested parts of the registry to a node.
pub(crate) fn send_parts_to_node(
    state: &state::State,
    key: subscribers::SubscriberKey,
    requests: &[messages::PartRequest],
) {
    let now = state.now();
    let registry = state.registry.lock();
    let parts: Vec<_> = requests.iter().map(|it| registry.part(now, it)).collect();
    drop(registry);
    let mut distributor = state.distributor.lock();
    for part in parts {
        distributor.send(key, streams::ControlMessage::Part(part));
    }
}

/// Compares another control's digests with the registry and requests the parts that differ. The
/// message also shows that the sender can be reached.
pub(crate) fn compare_digests(state: &state::State, host: &str, digests: &[messages::Digest]) {
    let mut registry = state.registry.lock();
    let reach = registry.mark_alive(state.now(), host);
    let missing = registry.targets().compare(digests);
    drop(registry);
    if let Some(reach) = reach {
        log::info!(target: "decision", "control {host} can be heard again");
        state.distributor.lock().broadcast(&streams::ControlMessage::Reach(reach));
    }
    if !missing.is_empty() {
        state.send_peer(host, streams::PeerMessage::PartRequests(missing));
    }
}

/// Sends the requested parts of the registry to another control.
pub(crate) fn send_parts_to_peer(
    state: &state::State,
    host: &str,
    requests: &[messages::PartRequest],
) {
    let now = state.now();
    let registry = state.registry.lock();
    let parts = requests.iter().map(|it| registry.part(now, it)).collect();
    drop(registry);
    state.send_peer(host, streams::PeerMessage::Parts(parts));
}

/// Merges the entries of parts that another control sent.
pub(crate) fn merge_parts(state: &state::State, parts: &[messages::Part]) {
    for event in parts.iter().flat_map(|it| &it.events) {
        receive_peer_event(state, event);
    }
}

/// Renews all leases after a pause of this process.
pub(crate) fn resume(state: &state::State, pause: std::time::Duration) {
    log::warn!("this control did not run for {pause:?}; the leases of the nodes begin again");
    state.registry.lock().resume(state.now());
    departing::resume(state);
}

/// Removes targets whose leases have ended, marks unreachable controls, and sends the
/// registry's digests when they are due.
pub(crate) fn tick(state: &state::State) {
    let due = state.registry.lock().tick(state.now());
    for event in &due.events {
        log::info!(
            target: "decision",
            "target {} of {} is removed: no heartbeat of its node came before its lease ended",
            event.entry.host,
            event.entry.service,
        );
        state.send_peers(&streams::PeerMessage::Event(event.clone()));
        state.distributor.lock().broadcast(&streams::ControlMessage::Event(event.clone()));
    }
    for reach in due.unreachable {
        log::info!(target: "decision", "control {} is silent", reach.registrar);
        state.distributor.lock().broadcast(&streams::ControlMessage::Reach(reach));
    }
    if let Some(digests) = due.digests {
        state.send_peers(&streams::PeerMessage::Digests(digests.clone()));
        state.distributor.lock().broadcast(&streams::ControlMessage::Digests(digests));
    }
}

/// Sends the local report to the other controls.
pub(crate) fn send_report(state: &state::State) {
    let report = local_report(state);
    state.send_peers(&streams::PeerMessage::Report(report));
}

/// Records the gauges of the metrics page: the version, the attached nodes and the votes.
pub(crate) fn record_metrics(state: &state::State) {
    let report = local_report(state);
    let converged = report.counts.iter().find(|it| it.0 == report.version);
    state.instruments.record_version(report.version);
    state.instruments.record_nodes(report.nodes as usize, converged.map_or(0, |it| it.1 as usize));
    let configuration = state.configuration_replica.lock().group().is_voter();
    let claims = state.claims_replica.as_ref().is_some_and(|it| it.lock().group().is_voter());
    state.instruments.record_votes(usize::from(configuration) + usize::from(claims));
}

/// Summarizes which versions the nodes attached to this control run.
pub(crate) fn local_report(state: &state::State) -> streams::VersionReport {
    let now = state.now();
    let distributor = state.distributor.lock();
    let summary = distributor.relay.summary();
    let version = distributor.relay.version();
    let level = distributor.relay.lowest_level();
    drop(distributor);
    let nodes = summary.counts.values().sum::<u32>() + summary.idle;
    let mut behind: Vec<_> = summary
        .laggards
        .iter()
        .map(|it| streams::Lagging {
            host: it.node.clone(),
            running: it.running,
            behind_ms: u64::try_from(now.since(it.since).as_millis()).unwrap_or(u64::MAX),
        })
        .collect();
    behind.sort_by_key(|it| std::cmp::Reverse(it.behind_ms));
    behind.truncate(MAX_LAGGING_NODES);
    streams::VersionReport {
        data_centre: state.location.data_centre.clone(),
        level,
        version,
        nodes,
        counts: summary.counts.into_iter().rev().take(MAX_VERSION_COUNTS).collect(),
        behind,
    }
}

fn log_refused(event: &messages::Event, merge: targets::MergeResult) {
    if let targets::MergeResult::Refused(err) = merge {
        log::warn!("refused a registry entry of {}: {err}", bounds::excerpt(&event.entry.host));
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
