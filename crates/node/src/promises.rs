//! What requests take of the host's network link for their answers: promised at admission, and given
//! back as the answers are sent.

use std::{sync, time as std_time};

use admission::{answer_sizes, uplink};
use compact_str::CompactString;
use world::{contracts, requests, time};

use crate::{refusals, state};

/// Largest part of one answer, in bytes, that counts towards the queue of the link. A longer one has
/// a place for no more than this part at a time, and others get their turn before the next.
const MAX_COUNTED: u64 = 256 * 1024;
/// Bounds of the time after which a refused caller is asked to retry. A link that refuses has
/// promised at most about a second.
const MIN_RETRY_AFTER: std_time::Duration = std_time::Duration::from_millis(50);
const MAX_RETRY_AFTER: std_time::Duration = std_time::Duration::from_secs(1);

/// The share of a request in the host's network link. Dropping it gives back what was not sent.
pub(crate) struct Promise {
    state: sync::Arc<state::State>,
    place: uplink::Place,
    route: contracts::RouteKey,
    admitted_at: time::Time,
    stage: Stage,
}

/// What a promise counts as, in bytes.
enum Stage {
    /// The request runs, and its answer is expected to have this size.
    Running(u64),
    /// The answer exists. `left` are those of its bytes that count and have not been sent.
    Begun { total: Option<u64>, sent: u64, left: u64 },
    /// The reader of the answer does not take it, so it does not use the link.
    Paused { total: Option<u64>, sent: u64 },
}

/// A request as the link sees it.
pub(crate) struct Request<'a> {
    pub(crate) id: &'a str,
    pub(crate) place: uplink::Place,
    pub(crate) route: contracts::RouteKey,
    pub(crate) class: requests::Class,
    pub(crate) context: &'a requests::Context,
}

/// Asks for room on the link for the answer to a request. The promise is none when the link's rate
/// is not known.
pub(crate) fn offer(
    state: &sync::Arc<state::State>,
    request: &Request<'_>,
) -> Result<Option<Promise>, uplink::Refusal> {
    let endpoint = state.links.endpoint();
    if endpoint.paced_rate().is_none() {
        return Ok(None);
    }
    let now = state.now();
    let Request { id, place, route, class, context } = *request;
    let backlog = match place {
        uplink::Place::Target => endpoint.small_backlog(),
        // The answer comes over the same link before it leaves over it.
        uplink::Place::Caller => endpoint.small_backlog().max(state.downlink.lock().backlog()),
    };
    let objective = context.objective.since(now);
    let left = context.deadline.since(now);
    let decision = {
        let mut link = state.uplink.lock();
        link.measure(now, endpoint.small_bytes());
        link.offer(&uplink::Request { place, route, class, objective, left, backlog })
    };
    let promised = decision.inspect_err(|refusal| {
        log::info!(
            target: "decision",
            "admission request={id} outcome=refuse reason=\"the host's network link is full\" \
             decided_by=answers place={place:?} backlog={backlog:?} {refusal} \
             objective={objective:?}",
        );
    })?;
    let (state, stage) = (sync::Arc::clone(state), Stage::Running(promised));
    Ok(Some(Promise { state, place, route, admitted_at: now, stage }))
}

/// The refusal of a caller's request whose answer this host's link to the caller cannot carry.
pub(crate) fn refuse_caller(refusal: &uplink::Refusal) -> refusals::Refusal {
    let wait = refusal.room_in.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    refusals::Refusal {
        reason: "network-link",
        detail: CompactString::const_new(
            "the network link of this node's host is full; send the request again",
        ),
        retry_after: Some(wait),
        ..refusals::overloaded()
    }
}

impl Promise {
    /// Records that the head of the answer is there. A successful answer of known length adds to
    /// what is known of its route.
    pub(crate) fn begin(&mut self, status: http::StatusCode, length: Option<u64>) {
        let Stage::Running(promised) = self.stage else { return };
        let service = self.state.now().since(self.admitted_at);
        let is_small = length.is_some_and(|it| it <= uplink::SMALL_BYTES);
        let expected = if is_small { 0 } else { length.unwrap_or(promised) };
        let left = expected.min(MAX_COUNTED);
        let mut link = self.state.uplink.lock();
        link.replace(promised, left);
        if let Some(bytes) = length.filter(|it| *it > 0 && status.is_success()) {
            link.record(self.place, self.route, bytes, service);
        }
        drop(link);
        let total = if is_small { None } else { length };
        self.stage = Stage::Begun { total, sent: 0, left };
    }

    /// Records that bytes of the answer were sent.
    pub(crate) fn sent(&mut self, bytes: usize) {
        let (total, before) = match self.stage {
            Stage::Running(_) => return,
            Stage::Begun { total, sent, .. } | Stage::Paused { total, sent } => (total, sent),
        };
        let sent = before + bytes as u64;
        let rest = match (total, &self.stage) {
            (Some(total), _) => total.saturating_sub(sent),
            (None, Stage::Begun { left, .. }) => left.saturating_sub(bytes as u64),
            (None, _) => 0,
        };
        self.set_left(rest.min(MAX_COUNTED));
        self.stage = Stage::Begun { total, sent, left: rest.min(MAX_COUNTED) };
    }

    /// Records that the reader of the answer does not take it, until more was sent.
    pub(crate) fn pause(&mut self) {
        if let Stage::Begun { total, sent, .. } = self.stage {
            self.set_left(0);
            self.stage = Stage::Paused { total, sent };
        }
    }

    /// Records that the answer was sent to its end. Its size adds to what is known of its route, if
    /// that was not declared.
    pub(crate) fn finish(self) {
        if let Stage::Begun { total: None, sent, .. } = self.stage
            && sent > uplink::SMALL_BYTES
        {
            let service = self.state.now().since(self.admitted_at);
            let bytes = sent.min(answer_sizes::MAX_BYTES);
            self.state.uplink.lock().record(self.place, self.route, bytes, service);
        }
    }

    fn set_left(&self, left: u64) {
        let before = match self.stage {
            Stage::Begun { left, .. } => left,
            Stage::Running(_) | Stage::Paused { .. } => 0,
        };
        if before != left {
            let mut link = self.state.uplink.lock();
            link.remove(before);
            link.replace(0, left);
        }
    }
}

impl Drop for Promise {
    fn drop(&mut self) {
        match self.stage {
            Stage::Running(0) => {}
            Stage::Running(promised) => self.state.uplink.lock().cancel(promised),
            Stage::Begun { .. } | Stage::Paused { .. } => self.set_left(0),
        }
    }
}
