//! Proposing a change to a replicated log: finds the group's leader and retries until it answers.

use std::{sync, time};

use compact_str::CompactString;
use protocol::{proposals, streams};
use rand::Rng as _;
use tokio::sync::oneshot;

use crate::{groups, state};

/// How long a change is proposed before the client is told that no leader answered.
pub(crate) const PROPOSAL_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// How long one host may take to answer. A killed leader never answers, and its successor is
/// elected within about 2 s; a timeout as long as that would add to the time of the election.
const HOST_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Bounds of the random delay before the next host is tried, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 20..100;

/// Proposes a change to one host after the other until a leader answers it. After
/// [`PROPOSAL_TIMEOUT`] it returns [`proposals::Outcome::Unavailable`], and the change may be in
/// the log or not.
///
/// Retrying is safe: every request carries an ID by which the state machine recognizes a resend.
pub(crate) async fn propose(
    state: &sync::Arc<state::State>,
    request: proposals::Proposal,
) -> proposals::Outcome {
    let outcome = propose_to_any(state, request);
    tokio::time::timeout(PROPOSAL_TIMEOUT, outcome).await.unwrap_or(proposals::Outcome::Unavailable)
}

/// Proposes a change to this host's replica only. Returns [`proposals::Outcome::NotLeader`] when
/// another host leads, and [`proposals::Outcome::Unavailable`] when the change may be in the log or
/// not.
pub(crate) async fn propose_locally(
    state: &sync::Arc<state::State>,
    request: proposals::Proposal,
) -> proposals::Outcome {
    let (answer, outcome) = oneshot::channel();
    // The proposal is queued here and not by the job. Jobs that wait behind a sync would otherwise
    // keep their proposals out of the next sync, which would then cover at most one proposal for
    // each worker.
    groups::enqueue(state, request, answer);
    let job = {
        let state = sync::Arc::clone(state);
        move || groups::propose_queued(&state)
    };
    if state.pool.submit(job).is_err() {
        // The proposal stays queued, so another job may still propose it.
        return proposals::Outcome::Unavailable;
    }
    outcome.await.unwrap_or(proposals::Outcome::Unavailable)
}

async fn propose_to_any(
    state: &sync::Arc<state::State>,
    request: proposals::Proposal,
) -> proposals::Outcome {
    let hosts = member_hosts(state, &request.group());
    let mut next = hosts.iter().cycle();
    let mut hint = None;
    loop {
        let Some(host) = hint.take().or_else(|| next.next().cloned()) else {
            return proposals::Outcome::Unavailable;
        };
        match propose_to(state, &host, request.clone()).await {
            answered @ proposals::Outcome::Answered(_) => return answered,
            proposals::Outcome::NotLeader(Some(leader)) if leader != host => {
                hint = Some(leader);
            }
            proposals::Outcome::NotLeader(_) | proposals::Outcome::Unavailable => {
                let delay = rand::rng().random_range(RETRY_DELAY_MS);
                tokio::time::sleep(time::Duration::from_millis(delay)).await;
            }
        }
    }
}

async fn propose_to(
    state: &sync::Arc<state::State>,
    host: &CompactString,
    request: proposals::Proposal,
) -> proposals::Outcome {
    if *host == state.location.host {
        return propose_locally(state, request).await;
    }
    let result = tokio::time::timeout(HOST_TIMEOUT, propose_remotely(state, host, request)).await;
    match result {
        Ok(Ok(Some(outcome))) => outcome,
        Ok(Ok(None)) | Err(_) => proposals::Outcome::Unavailable,
        Ok(Err(err)) => {
            log::debug!("proposing to control {host} failed: {err}; trying another control");
            proposals::Outcome::Unavailable
        }
    }
}

async fn propose_remotely(
    state: &sync::Arc<state::State>,
    host: &CompactString,
    request: proposals::Proposal,
) -> transport::errors::Result<Option<proposals::Outcome>> {
    let addr = state.directory.lock().addr(host);
    let Some(addr) = addr else { return Ok(None) };
    let link = state.links.link_control(host, addr).await?;
    let (mut sender, mut receiver) = link.open_stream().await?;
    sender.send(&streams::Open::Propose(request)).await?;
    sender.finish()?;
    receiver.recv().await
}

/// The hosts that hold a group's log, in the order of their network latency from this host, which
/// comes first.
fn member_hosts(state: &state::State, group: &proposals::GroupId) -> Vec<CompactString> {
    let directory = state.directory.lock();
    let mesh = directory.mesh();
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
