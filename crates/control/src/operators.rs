//! What operators ask for: the answers, apart from how they travel.

use std::sync;

use compact_str::{CompactString, format_compact};
use distribution::subscribers;
use protocol::{operators, proposals, streams};
use replicated::{quarantine, replacement, versions};
use tokio::sync::oneshot;
use world::{document, hosts, time};

use crate::{distributing, groups, proposing, state};

/// Age up to which another control's report counts: three reports.
const FRESH: std::time::Duration = std::time::Duration::from_secs(5);

/// How long an operator waits for the leader's word that this control is current.
const CONFIRM_LIMIT: std::time::Duration = std::time::Duration::from_secs(1);

/// A patch, answered when it is in the log or when no leader could be asked.
pub(crate) async fn patch(
    state: &sync::Arc<state::State>,
    request: operators::PatchRequest,
) -> operators::PatchAnswer {
    let operator = request.operator.clone();
    let patch = versions::Patch {
        base: request.base,
        request: request.request_id,
        text: request.patch.to_string().into(),
        operator: request.operator,
    };
    let outcome = proposing::propose(state, proposals::Request::Patch(patch)).await;
    let answer = match outcome {
        proposals::Outcome::Answered(proposals::Answer::Patch(answer)) => patch_answer(answer),
        _ => operators::PatchAnswer::Unavailable {
            detail: "no control that leads can be reached; send the patch again with the same \
                     request ID"
                .into(),
        },
    };
    state.instruments.count_patch(&answer);
    log::info!(target: "decision", "patch of {operator} on version {}: {answer:?}", request.base);
    answer
}

/// A document in place of the current one, answered when it is in the log or when this control
/// cannot tell what is current.
pub(crate) async fn replace(
    state: &sync::Arc<state::State>,
    replacement: replacement::Replacement,
) -> operators::PatchAnswer {
    let (base, revision) = (replacement.base, replacement.document.revision);
    let answer = match replace_current(state, replacement).await {
        Some(answer) => patch_answer(answer),
        None => operators::PatchAnswer::Unavailable {
            detail: "this control cannot tell which version is current; send the document again, \
                     to any control"
                .into(),
        },
    };
    state.instruments.count_patch(&answer);
    log::info!(target: "decision", "document {revision} on revision {base}: {answer:?}");
    answer
}

async fn replace_current(
    state: &sync::Arc<state::State>,
    replacement: replacement::Replacement,
) -> Option<versions::Answer> {
    if !is_current(state).await {
        return None;
    }
    let shared = sync::Arc::clone(state);
    let job = move || replacement::plan(&shared.machine.lock().versions, &replacement, "document");
    let patch = match state.pool.run(job).await.ok()? {
        replacement::Plan::Answer(answer) => return Some(answer),
        replacement::Plan::Propose(patch) => patch,
    };
    match proposing::propose(state, proposals::Request::Patch(patch)).await {
        proposals::Outcome::Answered(proposals::Answer::Patch(answer)) => Some(answer),
        _ => None,
    }
}

/// The controls of the mesh, for processes that look for them.
pub(crate) fn hosts(state: &state::State) -> operators::Hosts {
    let mesh = &state.settings.mesh;
    let record = |host: &hosts::Host, votes| {
        let centre = mesh.data_centre(host.data_centre)?;
        Some(operators::HostRecord {
            name: host.name.clone(),
            region: mesh.region(centre.region)?.name.clone(),
            data_centre: centre.name.clone(),
            addr: host.addr,
            operators: None,
            votes,
        })
    };
    let controls = mesh.hosts().filter(|(_, it)| it.role == hosts::Role::Control);
    let controls = controls
        .filter_map(|(key, it)| record(it, state.settings.config_voters.contains(&key)))
        .collect();
    operators::Hosts { formed: true, controls }
}

/// The newest versions, oldest first.
pub(crate) fn history(state: &state::State, limit: usize) -> Vec<operators::VersionRecord> {
    let machine = state.machine.lock();
    let mut list: Vec<_> = machine.versions.changes().rev().take(limit).map(record).collect();
    list.reverse();
    list
}

/// Whether this control has applied all that the leader had committed when it was asked. A recent
/// heartbeat is not enough: after a pause of this process it comes before the entries missed.
pub(crate) async fn is_current(state: &sync::Arc<state::State>) -> bool {
    let (answer, confirmed) = oneshot::channel();
    let shared = sync::Arc::clone(state);
    let job = move || {
        let now = shared.now();
        if shared.configuration.lock().group().is_isolated(now) {
            drop(answer);
        } else {
            groups::confirm_read(&shared, distributing::Reader::Operator(answer));
        }
    };
    if state.pool.submit(job).is_err() {
        return false;
    }
    matches!(tokio::time::timeout(CONFIRM_LIMIT, confirmed).await, Ok(Ok(true)))
}

/// The current version, when this control knows that it is.
pub(crate) fn current(
    state: &state::State,
    is_current: bool,
) -> Option<operators::VersionDocument> {
    if !is_current {
        return None;
    }
    let machine = state.machine.lock();
    let version = machine.versions.current();
    Some(operators::VersionDocument { version, document: machine.versions.document().clone() })
}

/// One version, while the history reaches back to it.
pub(crate) fn version(
    state: &state::State,
    version: document::Version,
) -> Option<operators::VersionDocument> {
    let document = state.machine.lock().versions.document_at(version)?;
    Some(operators::VersionDocument { version, document })
}

/// How far a version has come in each data centre.
pub(crate) fn progress(
    state: &state::State,
    version: document::Version,
) -> Option<operators::Progress> {
    if version > state.machine.lock().versions.current() {
        return None;
    }
    let own = crate::registering::own_report(state);
    let now = state.now();
    let table = state.relay.lock();
    let mut data_centres = vec![centre_progress(&own, version, 0)];
    let mut in_force = is_everywhere(&own, version);
    for host in state.peers.keys() {
        let Some((report, at)) = table.reports.get(host) else {
            in_force = false;
            continue;
        };
        let age = now.since(*at);
        in_force &= age <= FRESH && is_everywhere(report, version);
        data_centres.push(centre_progress(report, version, millis(age)));
    }
    data_centres.sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
    Some(operators::Progress { version, in_force, data_centres })
}

/// The nodes attached to this control, and those that are behind elsewhere.
pub(crate) fn nodes(state: &state::State, only_behind: bool) -> Vec<operators::NodeRecord> {
    let now = state.now();
    let table = state.relay.lock();
    let own = table.relay.subscribers().iter().map(|(_, it)| node_record(it, now));
    let reports = table.reports.values().filter(|(_, at)| now.since(*at) <= FRESH);
    let others = reports.flat_map(|(report, at)| {
        let heard_ms = millis(now.since(*at));
        report.behind.iter().map(move |it| operators::NodeRecord {
            host: it.host.clone(),
            data_centre: report.data_centre.clone(),
            version: it.running,
            behind_ms: Some(it.behind_ms),
            heard_ms,
        })
    });
    let mut list: Vec<_> =
        own.chain(others).filter(|it| !only_behind || it.behind_ms.is_some()).collect();
    list.sort_by(|a, b| a.host.cmp(&b.host));
    list
}

/// The targets of all data centres.
pub(crate) fn targets(state: &state::State) -> Vec<operators::TargetRecord> {
    let registry = state.registry.lock();
    let mut list: Vec<_> = registry
        .targets()
        .iter()
        .map(|(_, it)| operators::TargetRecord {
            service: it.entry.service.clone(),
            host: it.entry.host.clone(),
            data_centre: it.entry.data_centre.clone(),
            state: format_compact!("{:?}", it.entry.state).to_lowercase(),
            slots: it.entry.slots,
        })
        .collect();
    drop(registry);
    list.sort_by(|a, b| (&a.service, &a.host).cmp(&(&b.service, &b.host)));
    list
}

/// The requests that are refused because they crash backend servers.
pub(crate) fn quarantine(state: &state::State) -> Vec<operators::QuarantineRecord> {
    let now_ms = state::wall_ms();
    let evidence = state.evidence.lock();
    let refused = evidence.view().standings(now_ms).filter_map(|(fingerprint, standing)| {
        let quarantine::Standing::Quarantined { until_ms } = standing else { return None };
        Some(operators::QuarantineRecord {
            fingerprint: fingerprint.0.iter().map(|it| format_compact!("{it:02x}")).collect(),
            left_ms: until_ms.saturating_sub(now_ms),
        })
    });
    refused.collect()
}

/// The state of this control.
pub(crate) fn status(state: &state::State, is_current: bool) -> operators::Status {
    let replica = state.configuration.lock();
    let group = replica.group();
    let role = format_compact!("{:?}", group.role()).to_lowercase();
    let leader = group.leader().cloned();
    let current = is_current && !replica.has_failed();
    drop(replica);
    let report = crate::registering::own_report(state);
    let converged = is_at(&report, report.version);
    operators::Status {
        host: state.place.host.clone(),
        data_centre: state.place.data_centre.clone(),
        role,
        leader,
        current: current && state.relay.lock().is_ready(),
        version: report.version,
        nodes: report.nodes as usize,
        converged,
    }
}

fn patch_answer(answer: versions::Answer) -> operators::PatchAnswer {
    match answer {
        versions::Answer::Accepted { version, .. } => operators::PatchAnswer::Accepted { version },
        versions::Answer::Conflict { current, since } => {
            operators::PatchAnswer::Conflict { current, since: since.iter().map(record).collect() }
        }
        versions::Answer::Invalid { faults, more } => {
            operators::PatchAnswer::Invalid { faults, more }
        }
        versions::Answer::RequestReused => operators::PatchAnswer::RequestReused,
        versions::Answer::AlreadyApplied => operators::PatchAnswer::Unavailable {
            detail: "the answer is not known; send the patch again with the same request ID".into(),
        },
    }
}

fn record(change: &versions::Change) -> operators::VersionRecord {
    operators::VersionRecord {
        version: change.version,
        operator: change.operator.clone(),
        accepted_ms: change.at_ms,
        patch: serde_json::from_str(&change.text).unwrap_or_default(),
    }
}

fn node_record(node: &subscribers::Subscriber, now: time::Time) -> operators::NodeRecord {
    operators::NodeRecord {
        host: node.hello.node.clone(),
        data_centre: node.hello.data_centre.clone(),
        version: node.running.map(|it| it.version),
        behind_ms: node.behind_since.map(|it| millis(now.since(it))),
        heard_ms: millis(now.since(node.last_heard)),
    }
}

fn centre_progress(
    report: &streams::Report,
    version: document::Version,
    age_ms: u64,
) -> operators::CentreProgress {
    operators::CentreProgress {
        data_centre: CompactString::clone(&report.data_centre),
        nodes: report.nodes as usize,
        confirmed: is_at(report, version),
        age_ms,
    }
}

/// Nodes that run `version` or a later one.
fn is_at(report: &streams::Report, version: document::Version) -> usize {
    let later = report.counts.iter().filter(|it| it.0 >= version);
    later.map(|it| it.1 as usize).sum()
}

fn is_everywhere(report: &streams::Report, version: document::Version) -> bool {
    report.version >= version && is_at(report, version) == report.nodes as usize
}

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
