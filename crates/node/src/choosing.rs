//! The choice of a target for one send.

use std::sync;

use compact_str::CompactString;
use protocol::forwarding;
use routing::choose;
use world::targets;

use crate::{sending, state, suspicion};

/// A target as it was when it was chosen.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) key: targets::TargetKey,
    pub(crate) host: CompactString,
    pub(crate) addr: std::net::SocketAddr,
}

/// A target, and the send that is counted for it.
pub(crate) struct Chosen {
    pub(crate) target: Target,
    pub(crate) sent: sending::Sent,
    /// Whether earlier evidence says that the request may crash a backend server.
    pub(crate) suspect: bool,
}

/// Why no target was chosen.
pub(crate) enum Refused {
    NoTarget(choose::Refusal),
    Quarantined,
}

/// Chooses a target on a worker and counts the send that follows.
pub(crate) async fn choose(
    state: &sync::Arc<state::State>,
    course: &sending::Course,
) -> Result<Chosen, Refused> {
    let work = {
        let state = sync::Arc::clone(state);
        let course = course.clone();
        move || choose_now(&state, &course.job, &course.tried)
    };
    // Nothing was sent when the queue of jobs is full.
    state.pool.run(work).await.unwrap_or(Err(Refused::NoTarget(choose::Refusal::NoTargets)))
}

/// What the evidence of crashes says of a request.
pub(crate) fn standing(
    state: &state::State,
    head: &forwarding::RequestHead,
) -> suspicion::Standing {
    let fingerprint = &head.fingerprint;
    let standing = state.suspicion.lock().standing(state.now(), fingerprint);
    if standing == suspicion::Standing::Quarantined {
        let forwarding::RequestHead { method, path, .. } = head;
        log::info!(
            target: "decision",
            "{method} {path} is quarantined, fingerprint {fingerprint}",
        );
    }
    standing
}

fn choose_now(
    state: &sync::Arc<state::State>,
    job: &state::Job,
    tried: &[targets::TargetKey],
) -> Result<Chosen, Refused> {
    let mut suspect = job.head.suspect;
    // A send that failed in doubt has made the request a suspect already.
    if tried.is_empty() {
        match standing(state, &job.head) {
            suspicion::Standing::Free => {}
            suspicion::Standing::Suspect => suspect = true,
            suspicion::Standing::Quarantined => return Err(Refused::Quarantined),
        }
    }
    let now = state.now();
    let service = &job.head.service;
    let mesh = &state.settings.mesh;
    let directory = state.directory.lock();
    let candidates: Vec<_> = directory
        .of_service(service)
        .map(|(key, it)| choose::Candidate {
            key,
            state: it.entry.state,
            since: it.since,
            slots: it.entry.slots,
            link: match mesh.find_data_centre(&it.entry.data_centre) {
                Some(centre) => mesh.latency(state.place.centre, centre),
                None => world::mesh::REMOTE_LATENCY,
            },
        })
        .collect();
    let request = choose::Request {
        candidates: &candidates,
        excluded: tried,
        idempotent: job.head.idempotent,
        deadline: job.deadline,
    };
    let mut routing = state.routing.lock();
    let routing = &mut *routing;
    let choice = routing.router.choose(now, &request, &mut routing.rng);
    let choice = choice.map_err(|refusal| {
        let path = &job.head.path;
        log::info!(target: "decision", "no target of {service} for {path}: {refusal}");
        Refused::NoTarget(refusal)
    })?;
    let trial = choice.reason.kind == choose::Kind::Trial;
    routing.router.estimates.sent(choice.target, trial);
    if tried.is_empty() {
        routing.share.first(now);
    }
    let Some(target) = directory.get(choice.target) else {
        return Err(Refused::NoTarget(choose::Refusal::NoTargets));
    };
    let entry = &target.entry;
    let link = candidates.iter().find(|it| it.key == choice.target).map(|it| it.link);
    log::info!(
        target: "decision",
        "target {} of {service} for {} {}: {}",
        entry.host,
        job.head.method,
        job.head.path,
        choice.reason,
    );
    let sent = sending::Sent {
        state: sync::Arc::clone(state),
        target: choice.target,
        service: service.clone(),
        trial,
        at: now,
        link: link.unwrap_or_default(),
        open: true,
    };
    let target = Target { key: choice.target, host: entry.host.clone(), addr: entry.addr };
    Ok(Chosen { target, sent, suspect })
}
