//! The backend server of this host: its announcements, its drains and its crashes.

use std::{net, sync, time as std_time};

use admission::limits;
use bytes::Bytes;
use compact_str::CompactString;
use membership::{local_target, messages};
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
    /// The wall clock at its start, in microseconds. Without it, each new name is a new start.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Its own name, which the requests sent to it can carry.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub instance: CompactString,
    /// Grows with each announcement of an incarnation.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub sequence: u64,
    /// How much longer its cold start lasts, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_ms: Option<u64>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving.
    #[serde(default)]
    pub drain: bool,
    /// The token of the last answer.
    #[serde(default)]
    pub token: Option<CompactString>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// What a backend server says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Word {
    /// It is there.
    Announce,
    /// It leaves for good.
    Leave,
}

/// The answer to an announcement, as JSON.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AnnounceAnswer {
    /// When to announce again, in milliseconds.
    pub renew_ms: u64,
    /// The token to send with the next announcement.
    pub token: Option<CompactString>,
}

/// Answers what the backend server says.
pub(crate) async fn answer(
    state: sync::Arc<state::State>,
    word: Word,
    request: web::exchange::Request,
) -> web::exchange::Answer {
    let instance = CompactString::from(instance(request.query.as_deref().unwrap_or_default()));
    if word == Word::Leave {
        return leave(state, instance).await;
    }
    let body = match request.body.whole(MAX_BODY).await {
        Ok(it) => it,
        Err(err) => {
            let mut answer = web::exchange::Answer::refuse_body(&err);
            let text = format!("{err}; send one announcement as JSON\n");
            answer.body = web::body::Body::full(Bytes::from(text));
            return answer;
        }
    };
    let announcement = match (state.settings.dialect.announced)(&body, &instance) {
        Ok(it) => it,
        Err(detail) => return refuse(&detail),
    };
    if let Err(detail) = check(&announcement) {
        return refuse(detail);
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
        Ok(Some(answer)) => (state.settings.dialect.renewed)(&answer),
        Err(err) => busy(&err),
    }
}

async fn leave(state: sync::Arc<state::State>, instance: CompactString) -> web::exchange::Answer {
    let job = {
        let state = sync::Arc::clone(&state);
        move || {
            let now = state.now();
            let mut backend = state.backend.lock();
            if backend.instance != instance {
                log::info!(
                    target: "decision",
                    "leave of {instance} ignored: the backend server is {}",
                    backend.instance,
                );
                return;
            }
            let before = backend.local.entry().cloned();
            let outcome = backend.local.backend_leaving(now);
            drop(backend);
            follow(&state, now, outcome, before.as_ref());
        }
    };
    match state.pool.run(attaching::in_runtime(job)).await {
        Ok(()) => {
            let none = AnnounceAnswer { renew_ms: 0, token: None };
            (state.settings.dialect.renewed)(&none)
        }
        Err(err) => busy(&err),
    }
}

fn refuse(detail: &str) -> web::exchange::Answer {
    log::warn!("an announcement was refused: {}", detail.trim_end());
    let text = format!("{}\n", detail.trim_end());
    web::exchange::Answer::text(http::StatusCode::BAD_REQUEST, &text)
}

fn busy(error: &dyn std::fmt::Display) -> web::exchange::Answer {
    let text = format!("{error}; announce again\n");
    web::exchange::Answer::text(http::StatusCode::SERVICE_UNAVAILABLE, &text)
}

/// The name in a query `of=NAME`.
fn instance(query: &str) -> &str {
    query.split('&').find_map(|it| it.strip_prefix("of=")).unwrap_or_default()
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
        (backend.local.backend_lost(now), before)
    };
    follow(state, now, outcome, entry.as_ref());
}

/// The node begins a planned stop.
pub(crate) fn drain(state: &state::State) {
    let now = state.now();
    let outcome = {
        let mut backend = state.backend.lock();
        backend.stopping = true;
        backend.local.node_stopping(now)
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
    let (outcome, before) = {
        let mut backend = state.backend.lock();
        let incarnation = incarnation(&backend, announcement);
        let message = messages::Announcement {
            service: announcement.service.clone(),
            addr: announcement.addr,
            incarnation,
            sequence: announcement.sequence,
            slots: announcement.slots,
            drain: announcement.drain,
            cold_ms: announcement.cold_ms,
        };
        let before = backend.local.entry().cloned();
        let outcome = backend.local.announce(now, &message);
        if outcome.transition == Some(local_target::Transition::Outdated) {
            log::info!(
                target: "decision",
                "announcement of incarnation {incarnation} refused: a later one is announced",
            );
            return None;
        }
        backend.addr = Some(announcement.addr);
        backend.instance = announcement.instance.clone();
        (outcome, before)
    };
    // Only the process that is announced may hold the token: one that ends would take it along.
    let token = attaching::renewal(state, announcement.token.as_deref());
    follow(state, now, outcome, before.as_ref());
    let renew_ms = u64::try_from(local_target::RENEWAL_INTERVAL.as_millis()).unwrap_or(u64::MAX);
    Some(AnnounceAnswer { renew_ms, token })
}

/// The incarnation of an announcement. A backend server that does not know when it started is a
/// new one when its name is new.
fn incarnation(backend: &state::Backend, announcement: &Announcement) -> u64 {
    if let Some(it) = announcement.incarnation {
        return it;
    }
    let held = backend.local.entry().map(|it| it.order.incarnation);
    match held.filter(|_| backend.instance == announcement.instance) {
        Some(it) => it,
        None => {
            let since = std_time::SystemTime::now().duration_since(std_time::UNIX_EPOCH);
            since.map_or(0, |it| u64::try_from(it.as_micros()).unwrap_or(u64::MAX))
        }
    }
}

/// Acts on what became of the backend server. `before` is what was announced until now.
fn follow(
    state: &state::State,
    now: time::Time,
    outcome: local_target::Outcome,
    before: Option<&messages::Entry>,
) {
    if let Some(notice) = outcome.transition {
        log::info!(target: "decision", "backend server of this host: {notice:?}");
        if matches!(notice, local_target::Transition::Lost | local_target::Transition::Restarted) {
            report_crash(state, now, before);
        }
        admit(state, now, notice);
    }
    if let Some(event) = outcome.event {
        // The heartbeat's digest brings up what is not sent here.
        state.send_control(streams::NodeMessage::Event(event));
    }
}

fn admit(state: &state::State, now: time::Time, notice: local_target::Transition) {
    let config = state.running();
    let (entry, told) = {
        let backend = state.backend.lock();
        (backend.local.entry().cloned(), backend.local.reports_cold_start())
    };
    let Some(entry) = entry else { return };
    let mut gates = state.admission.lock();
    let limits = gates::limits(config.as_deref(), &entry.service, entry.slots);
    match notice {
        local_target::Transition::Arrived
        | local_target::Transition::Restarted
        | local_target::Transition::Returned => {
            // A backend server that tells how long it is slow has all its slots meanwhile.
            let ramp = match (entry.state, told) {
                (targets::State::Starting, false) => {
                    limits::Ramp { since: now, duration: targets::SLOW_START }
                }
                _ => warm(now),
            };
            gates.open(now, limits, Some(ramp));
        }
        local_target::Transition::Draining => gates.drain(now),
        local_target::Transition::Lost => gates.close(),
        local_target::Transition::Resumed => gates.open(now, limits, Some(warm(now))),
        local_target::Transition::Outdated | local_target::Transition::Warm => {}
    }
}

/// The ramp of a server that has run for a while: all slots at once.
fn warm(now: time::Time) -> limits::Ramp {
    limits::Ramp { since: now, duration: std::time::Duration::ZERO }
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
