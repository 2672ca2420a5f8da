//! The backend server of this host: its announcements, drains and crashes.

use std::{net, sync, time as std_time};

use admission::limits;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use membership::{local_target, messages};
use protocol::streams;
use replicated::quarantine;
use serde::{Deserialize, Serialize};
use world::{bounds, targets, time};

use crate::{announcements, attaching, dialect, in_flight, leaving, slots, state};

/// Largest body of an announcement, in bytes.
const MAX_BODY: usize = 64 * 1024;

/// An announcement that a backend server sends to its node as JSON.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that the backend server provides.
    pub service: CompactString,
    /// The address on this host that it listens on. The port must not be 0.
    pub addr: net::SocketAddr,
    /// The wall clock at its start, in microseconds since the Unix epoch. Without it, an
    /// announcement with a new `instance` counts as a new start.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// The name of its process, which a dialect can add to the requests sent to it.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub instance: CompactString,
    /// A number that grows with each announcement of an incarnation.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub sequence: u64,
    /// How much longer it is slow after its start, in milliseconds; none when it cannot tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_ms: Option<u64>,
    /// The number of requests that it runs at the same time, from 1 to 1024.
    pub slots: u32,
    /// Whether it is leaving and takes no new requests.
    #[serde(default)]
    pub drain: bool,
    /// The floor token from the last answer.
    #[serde(default)]
    pub token: Option<CompactString>,
    /// The version of its software; empty when it names none.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub version: CompactString,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// A command of a backend server to its node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    /// The backend server announces itself or renews its announcement.
    Announce,
    /// The backend server leaves for good.
    Leave,
}

/// The answer to an announcement, as JSON.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AnnounceAnswer {
    /// The time until the next announcement, in milliseconds.
    pub renew_ms: u64,
    /// The floor token to send with the next announcement.
    pub token: Option<CompactString>,
}

/// Executes a command of the backend server and answers it.
pub(crate) async fn answer(
    state: sync::Arc<state::State>,
    command: Command,
    request: web::exchange::Request,
) -> web::exchange::Response {
    let instance = CompactString::from(instance_name(request.query.as_deref().unwrap_or_default()));
    if command == Command::Leave {
        return leaving::leave(state, instance).await;
    }
    let body = match request.body.collect(MAX_BODY).await {
        Ok(it) => it,
        Err(err) => {
            let mut answer = web::exchange::Response::body_error(&err);
            let text = format!("{err}; send one announcement as JSON\n");
            answer.body = web::body::Body::full(Bytes::from(text));
            return answer;
        }
    };
    let announcement = match (state.settings.dialect.parse_announcement)(&body, &instance) {
        Ok(it) => it,
        Err(detail) => return refuse(&state, &detail),
    };
    if let Err(err) = check(&state, &announcement) {
        return refuse(&state, &format_compact!("{err}"));
    }
    let job = {
        let state = sync::Arc::clone(&state);
        let announcement = announcement.clone();
        move || announce(&state, &announcement)
    };
    let drain = announcement.drain;
    match state.pool.run(attaching::in_runtime(job)).await {
        Ok(Some(_)) if drain && !leaving::await_record(&state).await => leaving::not_recorded(),
        Ok(None) => {
            let text = "a later incarnation of this backend server is announced; stop this \
                        process, or announce again when the other has been silent for 2 s\n";
            web::exchange::Response::text(http::StatusCode::CONFLICT, text)
        }
        Ok(Some(answer)) => (state.settings.dialect.write_renewal)(&answer),
        Err(err) => queue_full(&err),
    }
}

/// Handles the registry's answer to a heartbeat.
pub(crate) fn registry_answered(state: &state::State, answer: &messages::HeartbeatAnswer) {
    let now = state.now();
    let (outcome, previous) = {
        let mut backend = state.backend.lock();
        let previous = backend.local.entry().cloned();
        (backend.local.heartbeat_answered(now, answer), previous)
    };
    if let Some(held) = outcome.transition.and(answer.held.as_ref()) {
        log::info!(
            target: "decision",
            "the registry holds a later announcement of the backend server: {:?}",
            held.announced,
        );
    }
    apply_outcome(state, now, outcome, previous.as_ref());
    state.registered.notify_waiters();
}

/// Sends a change of the entry to the registry. Before the registry has answered a heartbeat, the
/// change may be that of a late announcement, so it is left to the answer to ask for the entry.
pub(crate) fn send_event(state: &state::State, event: messages::Event) {
    if state.backend.lock().local.knows_registry() {
        // If this message is dropped, the digest of the next heartbeat makes up for it.
        state.send_control(streams::NodeMessage::Event(event));
    }
}

/// Keeps to what the backend server `instance` said of itself in an answer.
pub(crate) fn apply_notice(state: &state::State, instance: &str, notice: dialect::Notice) {
    if notice.leaving {
        leaving::mark_leaving(state, instance);
    }
    let now = state.now();
    let backend = state.backend.lock();
    // Another answer may have said something else since.
    let rate = backend.notice.max_rate.filter(|_| backend.instance == instance);
    state.admission.lock().set_rate(now, rate);
}

fn refuse(state: &state::State, detail: &str) -> web::exchange::Response {
    let detail = bounds::excerpt(detail);
    if let Some(skipped) = state.backend.lock().refusals.count(state.now()) {
        log::warn!(
            "refused an invalid announcement of a backend server, and {skipped} others before it: \
             {detail}",
        );
    }
    web::exchange::Response::text(http::StatusCode::BAD_REQUEST, &format!("{detail}\n"))
}

pub(crate) fn queue_full(error: &dyn std::fmt::Display) -> web::exchange::Response {
    let text = format!("{error}; announce again\n");
    web::exchange::Response::text(http::StatusCode::SERVICE_UNAVAILABLE, &text)
}

/// The backend server's name in a query `of=NAME`; empty when there is none.
fn instance_name(query: &str) -> &str {
    query.split('&').find_map(|it| it.strip_prefix("of=")).unwrap_or_default()
}

/// Marks the backend server as lost when its lease has ended, and as warm when its cold start has.
pub(crate) fn tick(state: &state::State) {
    let now = state.now();
    let (outcome, previous) = {
        let mut backend = state.backend.lock();
        let previous = backend.local.entry().cloned();
        (backend.local.tick(now), previous)
    };
    apply_outcome(state, now, outcome, previous.as_ref());
}

/// Marks the backend server as lost, because it did not accept a connection at `addr`. Has no
/// effect when it has another address by now.
pub(crate) fn mark_lost(state: &state::State, addr: net::SocketAddr) {
    let now = state.now();
    let (outcome, previous) = {
        let mut backend = state.backend.lock();
        if backend.addr != Some(addr) {
            return;
        }
        let previous = backend.local.entry().cloned();
        (backend.local.backend_lost(now), previous)
    };
    apply_outcome(state, now, outcome, previous.as_ref());
}

/// Drains the backend server and refuses new work, because the node begins a planned stop.
pub(crate) fn drain(state: &state::State) {
    let now = state.now();
    let outcome = {
        let mut backend = state.backend.lock();
        backend.stopping = true;
        backend.local.node_stopping(now)
    };
    state.admission.lock().drain(now);
    apply_outcome(state, now, outcome, None);
}

/// Checks an announcement. If the settings name the host's service, another one has to be in the
/// running configuration: the announcement of an unknown one is that of another writer, and must
/// not replace the backend server.
fn check(state: &state::State, announcement: &Announcement) -> announcements::Result<()> {
    announcements::check(announcement, unix_time())?;
    let (own, service) = (&state.settings.service, &announcement.service);
    if own.is_empty() || own == service {
        return Ok(());
    }
    let config = state.running();
    match config.is_some_and(|it| it.document().services.contains_key(service)) {
        true => Ok(()),
        false => Err(announcements::Error::UnknownService(service.clone())),
    }
}

/// Applies an announcement. Returns none when a later incarnation has been announced.
fn announce(
    state: &sync::Arc<state::State>,
    announcement: &Announcement,
) -> Option<AnnounceAnswer> {
    let now = state.now();
    let (outcome, previous) = {
        let mut backend = state.backend.lock();
        if lacks_start(&backend, announcement) {
            log::info!(
                target: "decision",
                "announcement of {} refused: it names no start, and that of {} did",
                bounds::excerpt(&announcement.instance),
                backend.instance,
            );
            return None;
        }
        let incarnation = incarnation(&backend, announcement);
        let message = messages::Announcement {
            service: announcement.service.clone(),
            addr: announcement.addr,
            incarnation,
            sequence: announcement.sequence,
            slots: announcement.slots,
            drain: announcement.drain,
            cold_ms: announcement.cold_ms,
            version: announcement.version.clone(),
            instance: messages::Announced::hash_instance(&announcement.instance),
            dated: announcement.incarnation.is_some(),
        };
        let previous = backend.local.entry().cloned();
        let outcome = backend.local.announce(now, &message);
        if outcome.transition == Some(local_target::Transition::Outdated) {
            log::info!(
                target: "decision",
                "announcement of incarnation {incarnation} refused: a later one is announced",
            );
            return None;
        }
        if outcome.transition != Some(local_target::Transition::Late) {
            backend.addr = Some(announcement.addr);
            backend.dated |= announcement.incarnation.is_some();
            backend.instance = announcement.instance.clone();
        }
        if matches!(
            outcome.transition,
            Some(local_target::Transition::Arrived | local_target::Transition::Restarted)
        ) {
            backend.notice = dialect::Notice::default();
            backend.dated = announcement.incarnation.is_some();
        }
        (outcome, previous)
    };
    // Only the announced process may get the token: one that was replaced would take it along when
    // it ends.
    let token = attaching::renew_token(state, announcement.token.as_deref());
    let late = outcome.transition == Some(local_target::Transition::Late);
    apply_outcome(state, now, outcome, previous.as_ref());
    if !late {
        state.in_flight.lock().renew(now, state.settings.lease);
    }
    if announcement.drain && !state.backend.lock().local.is_registered() {
        attaching::send_heartbeat(state);
    }
    let renew_ms = u64::try_from(local_target::RENEWAL_INTERVAL.as_millis()).unwrap_or(u64::MAX);
    Some(AnnounceAnswer { renew_ms, token })
}

/// Whether an announcement would replace the backend server without naming a start, although that
/// one has named its own: it is that of another writer, unless the backend server is lost.
fn lacks_start(backend: &state::Backend, announcement: &Announcement) -> bool {
    let live = backend.local.entry().is_some_and(|it| it.state != targets::State::Gone);
    let other = backend.instance != announcement.instance;
    live && other && backend.dated && announcement.incarnation.is_none()
}

/// The incarnation of an announcement. If it names none, a new name starts a new incarnation at the
/// current time, and the known name keeps its incarnation.
fn incarnation(backend: &state::Backend, announcement: &Announcement) -> u64 {
    if let Some(it) = announcement.incarnation {
        return it;
    }
    let known = backend.local.entry().map(|it| it.announced.incarnation);
    let known = known.filter(|_| backend.instance == announcement.instance);
    known.or_else(|| known_incarnation(backend, &announcement.instance)).unwrap_or_else(unix_us)
}

/// The incarnation of a process that has announced itself to a former process of this node under the
/// same name, or that left before it announced itself.
fn known_incarnation(backend: &state::Backend, instance: &str) -> Option<u64> {
    let hash = messages::Announced::hash_instance(instance);
    let is_first = backend.instance.is_empty() && hash != 0;
    is_first.then(|| backend.local.known_incarnation(hash)).flatten()
}

pub(crate) fn unix_us() -> u64 {
    u64::try_from(unix_time().as_micros()).unwrap_or(u64::MAX)
}

/// The time since the Unix epoch by this host's clock.
fn unix_time() -> std_time::Duration {
    std_time::SystemTime::now().duration_since(std_time::UNIX_EPOCH).unwrap_or_default()
}

/// Applies an outcome: logs it, reports a crash, updates admission and informs the registry.
/// `previous` is the registry entry before the outcome.
pub(crate) fn apply_outcome(
    state: &state::State,
    now: time::Time,
    outcome: local_target::Outcome,
    previous: Option<&messages::Entry>,
) {
    if let Some(transition) = outcome.transition {
        log::info!(target: "decision", "backend server of this host: {transition:?}");
        if matches!(
            transition,
            local_target::Transition::Lost | local_target::Transition::Restarted
        ) {
            report_crash(state, now, previous);
        }
        update_admission(state, now, transition);
    }
    if let Some(event) = outcome.event {
        send_event(state, event);
    }
}

fn update_admission(state: &state::State, now: time::Time, transition: local_target::Transition) {
    let config = state.running();
    let (entry, reports_cold, rate) = {
        let backend = state.backend.lock();
        let local = &backend.local;
        (local.entry().cloned(), local.reports_cold_start(), backend.notice.max_rate)
    };
    let Some(entry) = entry else { return };
    let mut admission = state.admission.lock();
    let limits = slots::limits(config.as_deref(), &entry.service, entry.slots);
    match transition {
        local_target::Transition::Arrived | local_target::Transition::Restarted => {
            // A backend server that announces how long its cold start lasts gets all its slots at
            // once instead of a ramp.
            let ramp = match (entry.state, reports_cold) {
                (targets::State::Starting, false) => {
                    limits::Ramp { since: now, duration: targets::SLOW_START }
                }
                _ => instant_ramp(now),
            };
            admission.restart(now, limits, ramp);
        }
        local_target::Transition::Draining => admission.drain(now),
        local_target::Transition::Lost => admission.close(now),
        local_target::Transition::Resumed | local_target::Transition::Returned
            if entry.state.takes_work() =>
        {
            admission.resume(now, limits);
        }
        local_target::Transition::Late
        | local_target::Transition::Outdated
        | local_target::Transition::Resumed
        | local_target::Transition::Returned
        | local_target::Transition::Warm => {}
    }
    // A restarted controller knows no limit.
    admission.set_rate(now, rate);
}

/// A ramp that opens all slots at once, for a server that is already warm.
fn instant_ramp(now: time::Time) -> limits::Ramp {
    limits::Ramp { since: now, duration: std::time::Duration::ZERO }
}

/// Reports the fingerprints of the requests that were in flight when the backend server crashed.
fn report_crash(state: &state::State, now: time::Time, previous: Option<&messages::Entry>) {
    let Some(previous) = previous else { return };
    let suspects = state.in_flight.lock().take_suspects();
    // A backend server that drains gets no new requests, and its end is no crash: it was announced.
    if suspects.is_empty() || previous.state == targets::State::Draining {
        return;
    }
    for it in &suspects {
        log::warn!(
            target: "decision",
            "backend server {} died with {} in flight, fingerprint {}",
            previous.host,
            it.summary,
            it.fingerprint,
        );
    }
    let crash = quarantine::CrashId {
        host: previous.host.clone(),
        incarnation: previous.order.incarnation,
    };
    let mut fingerprints: Vec<_> = suspects.iter().map(|it| it.fingerprint).collect();
    fingerprints.sort_unstable();
    fingerprints.dedup();
    let evidence = quarantine::Evidence::Crashed { crash, fingerprints };
    state.suspects.lock().add_evidence(now, evidence);
    attaching::send_evidence(state);
}

/// Reports that a suspect was answered, which clears its fingerprint of suspicion.
pub(crate) fn clear_suspect(state: &state::State, request: &in_flight::Request) {
    let now = state.now();
    log::info!(target: "decision", "suspect {} finished; cleared", request.summary);
    state.suspects.lock().add_evidence(now, quarantine::Evidence::Finished(request.fingerprint));
    attaching::send_evidence(state);
}
