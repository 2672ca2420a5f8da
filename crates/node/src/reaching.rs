//! Probes of the hosts of which nothing is heard.

use std::{net, sync, time};

use compact_str::CompactString;
use protocol::streams;
use world::targets;

use crate::state;

/// How long a probe waits for its answer: a round trip, or two with a new link, and a lost packet.
const PROBE_LIMIT: time::Duration = time::Duration::from_millis(300);

/// Notes that nothing is heard of a target's host, and has its data centre probed.
pub(crate) fn lost(state: &state::State, key: targets::TargetKey) {
    let now = state.now();
    let directory = state.directory.lock();
    let Some(target) = directory.get(key) else { return };
    let centre = &target.entry.data_centre;
    let neighbours = directory
        .targets()
        .iter()
        .filter(|(_, it)| it.entry.data_centre == *centre && it.entry.host != state.place.host);
    let neighbours: Vec<_> = neighbours.map(|it| it.0).filter(|it| *it != key).collect();
    let mut routing = state.routing.lock();
    let news = routing.reach.lost(now, key, neighbours.into_iter());
    routing.router.estimates.silent(now, key);
    if news {
        log_change(&target.entry.host, "silent", "nothing heard after a send");
    }
    state.lost.notify_one();
}

/// Sends the probes that are due, until the node stops.
pub(crate) async fn run(state: sync::Arc<state::State>) {
    loop {
        let next = state.routing.lock().reach.next();
        let due = async {
            match next {
                Some(at) => tokio::time::sleep_until(state.instant(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => {}
            () = state.lost.notified() => continue,
        }
        let due = state.routing.lock().reach.due(state.now());
        for key in due {
            tokio::spawn(check(sync::Arc::clone(&state), key));
        }
    }
}

async fn check(state: sync::Arc<state::State>, key: targets::TargetKey) {
    let target = state.directory.lock().get(key).map(|it| (it.entry.host.clone(), it.entry.addr));
    let Some((host, addr)) = target else {
        state.routing.lock().reach.heard(key);
        return;
    };
    let probed = tokio::time::timeout(PROBE_LIMIT, probe(&state, &host, addr)).await;
    let shared = sync::Arc::clone(&state);
    let heard = matches!(probed, Ok(Ok(())));
    let noted = state.pool.run(move || note(&shared, key, &host, heard)).await;
    if noted.is_err() {
        log::warn!("too much work; the result of a probe was dropped");
    }
    state.lost.notify_one();
}

async fn probe(
    state: &state::State,
    host: &CompactString,
    addr: net::SocketAddr,
) -> transport::errors::Result<()> {
    let link = state.links.link(host, addr).await?;
    let (mut sender, mut receiver) = link.open().await?;
    sender.send(&streams::Open::Probe).await?;
    sender.finish()?;
    receiver.recv::<streams::Probed>().await?;
    Ok(())
}

fn note(state: &state::State, key: targets::TargetKey, host: &str, heard: bool) {
    let now = state.now();
    let mut routing = state.routing.lock();
    if heard {
        if routing.reach.heard(key) {
            log_change(host, "reachable", "a probe was answered");
        }
        routing.router.estimates.heard(key);
    } else {
        if routing.reach.unanswered(now, key) {
            log_change(host, "silent", "a probe was not answered");
        }
        routing.router.estimates.silent(now, key);
    }
}

fn log_change(host: &str, outcome: &str, reason: &str) {
    log::info!(target: "decision", "host_state host={host} outcome={outcome} reason=\"{reason}\"");
}
