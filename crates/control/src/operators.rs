//! The answers to operators' requests, independent of HTTP.

use std::sync;

use compact_str::{CompactString, format_compact};
use distribution::subscribers;
use protocol::{operators, proposals, streams};
use replicated::{quarantine, replacement, versions};
use tokio::sync::oneshot;
use world::{document, time};

use crate::{distributing, groups, proposing, registering, state};

/// Greatest age at which another control's report still counts. Each control sends one with every
/// maintenance tick, so a few may be lost.
const REPORT_MAX_AGE: std::time::Duration = std::time::Duration::from_secs(5);

/// How long an operator's request waits for the leader to confirm that this control is current.
const CONFIRM_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// Proposes a patch. Returns once the patch is in the log and has been accepted or rejected, or
/// when no leader answered in time.
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
    let outcome = proposing::propose(state, proposals::Proposal::Patch(patch)).await;
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

/// Proposes to replace the current document. Returns once the change is in the log and has been
/// accepted or rejected, or at once when that follows from the current state. The answer is
/// `Unavailable` when this control's state is not known to be current or no leader answered in
/// time.
pub(crate) async fn replace(
    state: &sync::Arc<state::State>,
    replacement: replacement::Replacement,
) -> operators::PatchAnswer {
    let (base, revision) = (replacement.base, replacement.document.revision);
    log_unknown(state, &replacement.unknown);
    let answer = match try_replace(state, replacement).await {
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

fn log_unknown(state: &state::State, unknown: &[replacement::Unknown]) {
    for it in unknown {
        if state.unknown_values.lock().insert(it) {
            log::warn!(
                "{} is {:?}, which this build does not know; it is kept and has the most careful \
                 meaning",
                it.place,
                it.value,
            );
        }
    }
}

async fn try_replace(
    state: &sync::Arc<state::State>,
    replacement: replacement::Replacement,
) -> Option<versions::Answer> {
    if !is_current(state).await {
        return None;
    }
    let shared = sync::Arc::clone(state);
    let job = move || {
        replacement::plan(&shared.configuration_state.lock().versions, &replacement, "document")
    };
    let patch = match state.pool.run(job).await.ok()? {
        replacement::Plan::Answer(answer) => return Some(answer),
        replacement::Plan::Propose(patch) => patch,
    };
    match proposing::propose(state, proposals::Proposal::Patch(patch)).await {
        proposals::Outcome::Answered(proposals::Answer::Patch(answer)) => Some(answer),
        _ => None,
    }
}

/// Lists the controls of the mesh, for processes that discover them.
pub(crate) fn hosts(state: &state::State) -> operators::ControlList {
    let controls = state.directory.lock().records();
    operators::ControlList { formed: true, controls }
}

/// Lists the newest `limit` versions, oldest first.
pub(crate) fn history(state: &state::State, limit: usize) -> Vec<operators::VersionRecord> {
    let configuration = state.configuration_state.lock();
    let mut list: Vec<_> =
        configuration.versions.changes().rev().take(limit).map(version_record).collect();
    list.reverse();
    list
}

/// Whether this control has applied everything that the leader had committed when it was asked. A
/// recent heartbeat does not show this: after a pause of this process, the heartbeat arrives before
/// the entries that were missed.
pub(crate) async fn is_current(state: &sync::Arc<state::State>) -> bool {
    let (answer, confirmed) = oneshot::channel();
    let shared = sync::Arc::clone(state);
    let job = move || {
        let now = shared.now();
        if shared.configuration_replica.lock().group().is_isolated(now) {
            drop(answer);
        } else {
            groups::confirm_read(&shared, distributing::ReadRequester::Operator(answer));
        }
    };
    if state.pool.submit(job).is_err() {
        return false;
    }
    matches!(tokio::time::timeout(CONFIRM_TIMEOUT, confirmed).await, Ok(Ok(true)))
}

/// The current version and its document; `None` unless `is_current` says that this control's state
/// is known to be current.
pub(crate) fn current(
    state: &state::State,
    is_current: bool,
) -> Option<operators::VersionDocument> {
    if !is_current {
        return None;
    }
    let configuration = state.configuration_state.lock();
    let version = configuration.versions.current();
    Some(operators::VersionDocument {
        version,
        document: configuration.versions.document().clone(),
    })
}

/// A version and its document; `None` when it does not exist yet or the history no longer reaches
/// back to it.
pub(crate) fn version(
    state: &state::State,
    version: document::Version,
) -> Option<operators::VersionDocument> {
    let document = state.configuration_state.lock().versions.document_at(version)?;
    Some(operators::VersionDocument { version, document })
}

/// How many nodes of each data centre run a version or a later one; `None` when the version does
/// not exist yet.
pub(crate) fn progress(
    state: &state::State,
    version: document::Version,
) -> Option<operators::Progress> {
    if version > state.configuration_state.lock().versions.current() {
        return None;
    }
    let own = registering::local_report(state);
    let now = state.now();
    let peers: Vec<_> = state.directory.lock().peers().cloned().collect();
    let distributor = state.distributor.lock();
    let mut data_centres = vec![data_centre_progress(&own, version, 0)];
    let mut in_force = has_converged(&own, version);
    for host in &peers {
        let Some((report, at)) = distributor.reports.get(host) else {
            in_force = false;
            continue;
        };
        let age = now.since(*at);
        in_force &= age <= REPORT_MAX_AGE && has_converged(report, version);
        data_centres.push(data_centre_progress(report, version, millis(age)));
    }
    data_centres.sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
    Some(operators::Progress { version, in_force, data_centres })
}

/// Lists the nodes attached to this control and the lagging nodes in the other controls' reports,
/// by host; only the lagging ones when `only_behind` is set.
pub(crate) fn nodes(state: &state::State, only_behind: bool) -> Vec<operators::NodeRecord> {
    let now = state.now();
    let distributor = state.distributor.lock();
    let own = distributor.relay.subscribers().iter().map(|(_, it)| node_record(it, now));
    let reports = distributor.reports.values().filter(|(_, at)| now.since(*at) <= REPORT_MAX_AGE);
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

/// Lists the targets of all data centres, by service and host.
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
            version: it.entry.version.clone(),
        })
        .collect();
    drop(registry);
    list.sort_by(|a, b| (&a.service, &a.host).cmp(&(&b.service, &b.host)));
    list
}

/// Lists the quarantined requests, which are refused because they crash backend servers.
pub(crate) fn quarantine(state: &state::State) -> Vec<operators::QuarantineRecord> {
    let now_ms = state::unix_time_ms();
    let evidence = state.evidence.lock();
    let refused = evidence.view().suspect_statuses(now_ms).filter_map(|(fingerprint, status)| {
        let quarantine::Status::Quarantined { until_ms } = status else { return None };
        Some(operators::QuarantineRecord {
            fingerprint: fingerprint.0.iter().map(|it| format_compact!("{it:02x}")).collect(),
            left_ms: until_ms.saturating_sub(now_ms),
        })
    });
    refused.collect()
}

/// The state of this control. `is_current` says whether the leader has just confirmed that it is
/// current.
pub(crate) fn status(state: &state::State, is_current: bool) -> operators::Status {
    let replica = state.configuration_replica.lock();
    let group = replica.group();
    let role = format_compact!("{:?}", group.role()).to_lowercase();
    let leader = group.leader().cloned();
    let current = is_current && !replica.has_failed();
    drop(replica);
    let report = registering::local_report(state);
    let converged = count_at_least(&report, report.version);
    operators::Status {
        host: state.location.host.clone(),
        data_centre: state.location.data_centre.clone(),
        role,
        leader,
        current: current && state.distributor.lock().is_ready(),
        version: report.version,
        nodes: report.nodes as usize,
        converged,
    }
}

fn patch_answer(answer: versions::Answer) -> operators::PatchAnswer {
    match answer {
        versions::Answer::Accepted { version, .. } => operators::PatchAnswer::Accepted { version },
        versions::Answer::Conflict { current, since } => operators::PatchAnswer::Conflict {
            current,
            since: since.iter().map(version_record).collect(),
        },
        versions::Answer::Invalid { faults, more } => {
            operators::PatchAnswer::Invalid { faults, more }
        }
        versions::Answer::RequestReused => operators::PatchAnswer::RequestReused,
        versions::Answer::AlreadyApplied => operators::PatchAnswer::Unavailable {
            detail: "the answer is not known; send the patch again with the same request ID".into(),
        },
    }
}

fn version_record(change: &versions::Change) -> operators::VersionRecord {
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
        heard_ms: millis(now.since(node.last_contact)),
    }
}

fn data_centre_progress(
    report: &streams::VersionReport,
    version: document::Version,
    age_ms: u64,
) -> operators::DataCentreProgress {
    operators::DataCentreProgress {
        data_centre: CompactString::clone(&report.data_centre),
        nodes: report.nodes as usize,
        confirmed: count_at_least(report, version),
        age_ms,
    }
}

/// The number of nodes in a report that run `version` or a later one.
fn count_at_least(report: &streams::VersionReport, version: document::Version) -> usize {
    let later = report.counts.iter().filter(|it| it.0 >= version);
    later.map(|it| it.1 as usize).sum()
}

fn has_converged(report: &streams::VersionReport, version: document::Version) -> bool {
    report.version >= version && count_at_least(report, version) == report.nodes as usize
}

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
