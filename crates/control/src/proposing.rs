//! Getting a change into a replicated log, on this host or on the one that leads.

use std::{sync, time};

use compact_str::CompactString;
use protocol::{proposals, streams};
use rand::Rng as _;
use tokio::sync::oneshot;

use crate::{groups, state};

/// How long a client waits for a change before it is told that no leader could be asked.
pub(crate) const LIMIT: time::Duration = time::Duration::from_secs(5);
/// How long one host may take to answer. A leader that was killed does not answer at all, and the
/// next one is elected within about 2 s; a wait as long as that would come on top of it.
const HOST_LIMIT: time::Duration = time::Duration::from_millis(800);
/// The wait before the hosts are asked again, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..100;

/// Proposes a change until it is answered, at most for [`LIMIT`].
///
/// Asking again is safe, since every request carries what tells a resend.
pub(crate) async fn propose(
    state: &sync::Arc<state::State>,
    request: proposals::Request,
) -> proposals::Outcome {
    let search = search(state, request);
    tokio::time::timeout(LIMIT, search).await.unwrap_or(proposals::Outcome::Unavailable)
}

/// Proposes a change to the log on this host only.
pub(crate) async fn propose_here(
    state: &sync::Arc<state::State>,
    request: proposals::Request,
) -> proposals::Outcome {
    let (answer, outcome) = oneshot::channel();
    // Queued here and not by the job: jobs that wait behind a sync would keep their proposals out of
    // the next one, which would then carry at most one proposal for each worker.
    groups::queue(state, request, answer);
    let job = {
        let state = sync::Arc::clone(state);
        move || groups::write_queued(&state)
    };
    if state.pool.submit(job).is_err() {
        // A job that is queued already may still write it.
        return proposals::Outcome::Unavailable;
    }
    outcome.await.unwrap_or(proposals::Outcome::Unavailable)
}

async fn search(
    state: &sync::Arc<state::State>,
    request: proposals::Request,
) -> proposals::Outcome {
    let hosts = candidates(state, &request.group());
    let mut next = hosts.iter().cycle();
    let mut hint = None;
    loop {
        let Some(host) = hint.take().or_else(|| next.next().cloned()) else {
            return proposals::Outcome::Unavailable;
        };
        match ask(state, &host, request.clone()).await {
            answered @ proposals::Outcome::Answered(_) => return answered,
            proposals::Outcome::NotLeader(Some(leader)) if leader != host => {
                hint = Some(leader);
            }
            proposals::Outcome::NotLeader(_) | proposals::Outcome::Unavailable => {
                let pause = rand::rng().random_range(PAUSE_MS);
                tokio::time::sleep(time::Duration::from_millis(pause)).await;
            }
        }
    }
}

async fn ask(
    state: &sync::Arc<state::State>,
    host: &CompactString,
    request: proposals::Request,
) -> proposals::Outcome {
    if *host == state.place.host {
        return propose_here(state, request).await;
    }
    let answer = tokio::time::timeout(HOST_LIMIT, ask_remote(state, host, request)).await;
    match answer {
        Ok(Ok(Some(outcome))) => outcome,
        Ok(Ok(None)) | Err(_) => proposals::Outcome::Unavailable,
        Ok(Err(err)) => {
            log::debug!("control {host} could not be asked: {err}");
            proposals::Outcome::Unavailable
        }
    }
}

async fn ask_remote(
    state: &sync::Arc<state::State>,
    host: &CompactString,
    request: proposals::Request,
) -> transport::errors::Result<Option<proposals::Outcome>> {
    let mesh = &state.settings.mesh;
    let Some(peer) = mesh.find_host(host).and_then(|it| mesh.host(it)) else { return Ok(None) };
    let link = state.links.link(host, peer.addr).await?;
    let (mut sender, mut receiver) = link.open_stream().await?;
    sender.send(&streams::Open::Propose(request)).await?;
    sender.finish()?;
    receiver.recv().await
}

/// The hosts that hold a log, this one first, then the nearest.
fn candidates(state: &state::State, group: &proposals::GroupId) -> Vec<CompactString> {
    let mesh = &state.settings.mesh;
    let region = match group {
        proposals::GroupId::Configuration => None,
        proposals::GroupId::Claims(name) => match mesh.find_region(name) {
            Some(key) => Some(key),
            None => return Vec::new(),
        },
    };
    let Some(me) = mesh.host(state.settings.me) else { return Vec::new() };
    let mut hosts: Vec<_> = mesh
        .hosts()
        .filter(|(_, it)| it.role == world::hosts::Role::Control)
        .filter(|(_, it)| {
            let centre = mesh.data_centre(it.data_centre);
            region.is_none() || centre.map(|it| it.region) == region
        })
        .map(|(_, it)| (mesh.latency(me.data_centre, it.data_centre), it.name.clone()))
        .map(|(latency, name)| (name != me.name, latency, name))
        .collect();
    hosts.sort();
    hosts.into_iter().map(|it| it.2).collect()
}
