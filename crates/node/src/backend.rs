//! The backend server of this host: its announcements, its drains and its crashes.

use std::{net, sync};

use admission::limits;
use bytes::Bytes;
use compact_str::CompactString;
use membership::{local, messages};
use protocol::streams;
use replicated::quarantine;
use serde::{Deserialize, Serialize};
use world::{targets, time};

use crate::{attaching, flights, gates, state};

/// The largest body of an announcement.
const MAX_BODY: usize = 64 * 1024;
/// The most slots that a service can have in a configuration document.
const MAX_SLOTS: u32 = 1_024;
/// The longest name of a service in a configuration document, in bytes.
const MAX_SERVICE: usize = 64;

/// An announcement as a backend server sends it, as JSON.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that it gives.
    pub service: CompactString,
    /// Where it listens, on this host.
    pub addr: net::SocketAddr,
    /// The wall clock at its start, in microseconds.
    pub incarnation: u64,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving.
    #[serde(default)]
    pub drain: bool,
    /// The token of the last answer.
    #[serde(default)]
    pub token: Option<CompactString>,
}

/// The answer to an announcement, as JSON.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AnnounceAnswer {
    /// When to announce again, in milliseconds.
    pub renew_ms: u64,
    /// The token to send with the next announcement.
    pub token: Option<CompactString>,
}

/// Answers an announcement.
pub(crate) async fn answer(
    state: sync::Arc<state::State>,
    request: web::exchange::Request,
) -> web::exchange::Answer {
    let body = match request.body.whole(MAX_BODY).await {
        Ok(it) => it,
        Err(err) => {
            let mut answer = web::exchange::Answer::refuse_body(&err);
            let text = format!("{err}; send one announcement as JSON\n");
            answer.body = web::body::Body::full(Bytes::from(text));
            return answer;
        }
    };
    let announcement: Announcement = match serde_json::from_slice(&body) {
        Ok(it) => it,
        Err(err) => {
            let text = format!("not an announcement: {err}; see docs/backend-servers.md\n");
            return web::exchange::Answer::text(http::StatusCode::BAD_REQUEST, &text);
        }
    };
    if let Err(text) = check(&announcement) {
        return web::exchange::Answer::text(http::StatusCode::BAD_REQUEST, text);
    }
    let job = {
        let state = sync::Arc::clone(&state);
        move || announce(&state, &announcement)
    };
    match state.pool.run(attaching::in_runtime(job)).await {
        Ok(None) => {
            let text = "a later incarnation of this backend server is announced; stop this \
                        process, or announce again when the other has been silent for 2 s\n";
            web::exchange::Answer::text(http::StatusCode::CONFLICT, text)
        }
        Ok(Some(answer)) => {
            let bytes = serde_json::to_vec(&answer).expect("the answer has text keys only");
            let kind = &mime::APPLICATION_JSON;
            web::exchange::Answer::full(http::StatusCode::OK, kind, Bytes::from(bytes))
        }
        Err(err) => {
            let text = format!("{err}; announce again\n");
            web::exchange::Answer::text(http::StatusCode::SERVICE_UNAVAILABLE, &text)
        }
    }
}

/// Ends the backend server's lease and its cold start when they are due.
pub(crate) fn tick(state: &state::State) {
    let now = state.now();
    let (outcome, entry) = {
        let mut backend = state.backend.lock();
        let before = backend.local.entry().cloned();
        (backend.local.tick(now), before)
    };
    follow(state, now, outcome, entry.as_ref());
}

/// A connection to the backend server was refused: its process is gone.
pub(crate) fn lose(state: &state::State, addr: net::SocketAddr) {
    let now = state.now();
    let (outcome, entry) = {
        let mut backend = state.backend.lock();
        if backend.addr != Some(addr) {
            return;
        }
        let before = backend.local.entry().cloned();
        (backend.local.lose(now), before)
    };
    follow(state, now, outcome, entry.as_ref());
}

/// The node begins a planned stop.
pub(crate) fn drain(state: &state::State) {
    let now = state.now();
    let outcome = {
        let mut backend = state.backend.lock();
        backend.stopping = true;
        backend.local.drain(now)
    };
    state.admission.lock().drain(now);
    follow(state, now, outcome, None);
}

/// What is announced goes to every registry of the mesh, so its size has bounds.
fn check(announcement: &Announcement) -> Result<(), &'static str> {
    if !(1..=MAX_SLOTS).contains(&announcement.slots) {
        return Err("slots must be 1 to 1024\n");
    }
    let service = &announcement.service;
    let allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    if service.is_empty() || service.len() > MAX_SERVICE || !service.chars().all(allowed) {
        return Err("service must have 1 to 64 ASCII letters, digits, '-', '_' or '.'\n");
    }
    if announcement.addr.port() == 0 || announcement.addr.ip().is_unspecified() {
        return Err("addr must be an IP address and a port that can be connected to\n");
    }
    Ok(())
}

/// Takes an announcement; none when it comes from a process that another has replaced.
fn announce(
    state: &sync::Arc<state::State>,
    announcement: &Announcement,
) -> Option<AnnounceAnswer> {
    let now = state.now();
    let message = messages::Announcement {
        service: announcement.service.clone(),
        addr: announcement.addr,
        incarnation: announcement.incarnation,
        slots: announcement.slots,
        drain: announcement.drain,
    };
    let (outcome, before) = {
        let mut backend = state.backend.lock();
        let before = backend.local.entry().cloned();
        let outcome = backend.local.announce(now, &message);
        if outcome.notice == Some(local::Notice::Outdated) {
            log::info!(
                target: "decision",
                "announcement of incarnation {} refused: a later one is announced",
                announcement.incarnation,
            );
            return None;
        }
        backend.addr = Some(announcement.addr);
        (outcome, before)
    };
    // Only the process that is announced may hold the token: one that ends would take it along.
    let token = attaching::renewal(state, announcement.token.as_deref());
    follow(state, now, outcome, before.as_ref());
    let renew_ms = u64::try_from(local::RENEWAL.as_millis()).unwrap_or(u64::MAX);
    Some(AnnounceAnswer { renew_ms, token })
}

/// Acts on what became of the backend server. `before` is what was announced until now.
fn follow(
    state: &state::State,
    now: time::Time,
    outcome: local::Outcome,
    before: Option<&messages::Entry>,
) {
    if let Some(notice) = outcome.notice {
        log::info!(target: "decision", "backend server of this host: {notice:?}");
        if matches!(notice, local::Notice::Lost | local::Notice::Restarted) {
            report_crash(state, now, before);
        }
        admit(state, now, notice);
    }
    if let Some(event) = outcome.event {
        // The heartbeat's digest brings up what is not sent here.
        state.send_control(streams::NodeMessage::Event(event));
    }
}

fn admit(state: &state::State, now: time::Time, notice: local::Notice) {
    let config = state.running();
    let entry = state.backend.lock().local.entry().cloned();
    let Some(entry) = entry else { return };
    let mut gates = state.admission.lock();
    let limits = gates::limits(config.as_deref(), &entry.service, entry.slots);
    match notice {
        local::Notice::Arrived | local::Notice::Restarted | local::Notice::Returned => {
            gates.open(now, limits, Some(limits::Ramp { since: now, length: targets::RAMP }));
        }
        local::Notice::Draining => gates.drain(now),
        local::Notice::Lost => gates.close(),
        local::Notice::Resumed => gates.open(now, limits, Some(warm(now))),
        local::Notice::Outdated | local::Notice::Warm => {}
    }
}

/// The ramp of a server that has run for a while: all slots at once.
fn warm(now: time::Time) -> limits::Ramp {
    limits::Ramp { since: now, length: std::time::Duration::ZERO }
}

/// Reports the requests that were in flight when the backend server died.
fn report_crash(state: &state::State, now: time::Time, before: Option<&messages::Entry>) {
    let Some(before) = before else { return };
    let suspects = state.flights.lock().take_suspects(now);
    if suspects.is_empty() {
        return;
    }
    for it in &suspects {
        log::warn!(
            target: "decision",
            "backend server {} died with {} in flight, fingerprint {}",
            before.host,
            it.title,
            it.fingerprint,
        );
    }
    let crash =
        quarantine::CrashId { host: before.host.clone(), incarnation: before.order.incarnation };
    let mut fingerprints: Vec<_> = suspects.iter().map(|it| it.fingerprint).collect();
    fingerprints.sort_unstable();
    fingerprints.dedup();
    let evidence = quarantine::Evidence::Crashed { crash, fingerprints };
    state.suspicion.lock().observe(now, evidence);
    attaching::send_evidence(state);
}

/// A suspect ran to its end.
pub(crate) fn clear(state: &state::State, flight: &flights::Flight) {
    let now = state.now();
    log::info!(target: "decision", "suspect {} finished; cleared", flight.title);
    state.suspicion.lock().observe(now, quarantine::Evidence::Finished(flight.fingerprint));
    attaching::send_evidence(state);
}
