//! Probes hosts that have stopped responding, until they answer again.

use std::{net, sync, time};

use compact_str::CompactString;
use protocol::streams;
use world::targets;

use crate::state;

/// How long a probe waits for its answer. This covers a round trip, or two when the link has to be
/// opened, and one lost packet.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Marks a target's host as unresponsive, and schedules probes of it and of the other hosts in its
/// data centre.
pub(crate) fn report_unresponsive(state: &state::State, key: targets::TargetKey) {
    let now = state.now();
    let directory = state.directory.lock();
    let Some(target) = directory.get(key) else { return };
    let centre = &target.entry.data_centre;
    let same_centre = directory
        .targets()
        .iter()
        .filter(|(_, it)| it.entry.data_centre == *centre && it.entry.host != state.location.host);
    let same_centre: Vec<_> = same_centre.map(|it| it.0).filter(|it| *it != key).collect();
    let mut routing = state.routing.lock();
    let changed = routing.prober.mark_unresponsive(now, key, same_centre.into_iter());
    routing.balancer.estimates.mark_unresponsive(now, key);
    if changed {
        log_change(&target.entry.host, "silent", "nothing received after a request was sent");
    }
    state.probe_wakeup.notify_one();
}

/// Sends probes when they are due. Runs until the task is aborted.
pub(crate) async fn run(state: sync::Arc<state::State>) {
    loop {
        let shared = sync::Arc::clone(&state);
        let job = move || {
            let now = shared.now();
            let prober = &mut shared.routing.lock().prober;
            (prober.take_due(now), prober.next_due())
        };
        let Ok((due, next)) = state.pool.run(job).await else {
            tokio::time::sleep(PROBE_TIMEOUT).await;
            continue;
        };
        for key in due {
            tokio::spawn(probe_target(sync::Arc::clone(&state), key));
        }
        let next = async {
            match next {
                Some(at) => tokio::time::sleep_until(state.instant(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = next => {}
            () = state.probe_wakeup.notified() => {}
        }
    }
}

/// Probes a target's host and records the result. When the workers' queue is full, so that the
/// host cannot be looked up, the probe counts as unanswered: without a result, no further probe
/// would be scheduled.
async fn probe_target(state: sync::Arc<state::State>, key: targets::TargetKey) {
    let shared = sync::Arc::clone(&state);
    let (host, answered) = match state.pool.run(move || find_target(&shared, key)).await {
        Ok(None) => return,
        Ok(Some((host, addr))) => {
            let probed = tokio::time::timeout(PROBE_TIMEOUT, probe(&state, &host, addr)).await;
            (host, matches!(probed, Ok(Ok(()))))
        }
        Err(_) => (CompactString::default(), false),
    };
    state.instruments.count_probe(answered);
    let shared = sync::Arc::clone(&state);
    state.pool.submit_or_run(move || {
        record_result(&shared, key, &host, answered);
        shared.probe_wakeup.notify_one();
    });
}

/// The name and address of a target's host. Ends the probes of a target that was removed.
fn find_target(
    state: &state::State,
    key: targets::TargetKey,
) -> Option<(CompactString, net::SocketAddr)> {
    let directory = state.directory.lock();
    let Some(target) = directory.get(key) else {
        state.routing.lock().prober.remove(key);
        return None;
    };
    Some((target.entry.host.clone(), target.entry.addr))
}

async fn probe(
    state: &state::State,
    host: &CompactString,
    addr: net::SocketAddr,
) -> transport::errors::Result<()> {
    let link = state.links.link(host, addr).await?;
    let (mut sender, mut receiver) = link.open_stream().await?;
    sender.send(&streams::Open::Probe).await?;
    sender.finish()?;
    receiver.recv::<streams::ProbeReply>().await?;
    Ok(())
}

fn record_result(state: &state::State, key: targets::TargetKey, host: &str, answered: bool) {
    let now = state.now();
    let mut routing = state.routing.lock();
    if answered {
        if routing.prober.remove(key) {
            log_change(host, "reachable", "a probe was answered");
        }
        routing.balancer.estimates.mark_reachable(key);
    } else {
        if routing.prober.record_unanswered(now, key) {
            log_change(host, "silent", "a probe was not answered");
        }
        routing.balancer.estimates.mark_unresponsive(now, key);
    }
}

fn log_change(host: &str, outcome: &str, reason: &str) {
    log::info!(target: "decision", "host_state host={host} outcome={outcome} reason=\"{reason}\"");
}
