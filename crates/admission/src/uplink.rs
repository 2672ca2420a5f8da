//! Refuses requests whose answers the host's network link cannot carry in time.
//!
//! Small answers, those of most calls, have their own place on the link ahead of large ones, so
//! their requests depend on the queue of that place only. Requests of routes with large answers
//! depend on all bytes that were promised before: those of answers that wait for the link, and those
//! that running requests are expected to make.

use std::{fmt, time};

use world::{contracts, requests, time::Time};

use crate::{admit, answer_sizes};

/// Largest answer, in bytes, that counts as small. It takes a link of 10 Mbit/s 13 ms.
pub const SMALL_BYTES: u64 = 16 * 1024;
/// The part of the time until the objective within which the link has to have sent a large answer.
/// The rest is for the other links on its way and for answers that are larger than expected.
const SENT_SHARE: f32 = 0.85;
/// The part of the link's rate that large answers get at least in the forecast, however much small
/// ones take at the moment.
const MIN_SHARE: f64 = 0.25;
/// The interval in which the bytes that pass ahead of large answers are measured.
const MEASURE_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// The measured rate moves by this part of the difference to the newest interval.
const MEASURE_WEIGHT: f64 = 0.25;

/// Where an answer enters the link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// At the host of the target: the answer goes to the node of the caller.
    Target,
    /// At the node of the caller: the answer goes to the caller.
    Caller,
}

/// A request whose answer will take the link.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Where the answer will enter the link.
    pub place: Place,
    /// The route of the request.
    pub route: contracts::RouteKey,
    /// Whether it comes from a caller or is an internal call.
    pub class: requests::Class,
    /// Time until the objective.
    pub objective: time::Duration,
    /// Time until the deadline.
    pub left: time::Duration,
    /// How long a small answer would wait for the link now.
    pub backlog: time::Duration,
}

/// What the refusal of a request was based on.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// The expected bytes of the answer.
    pub bytes: u64,
    /// Bytes that running requests are expected to make.
    pub running: u64,
    /// Bytes of large answers that wait for the link.
    pub queued: u64,
    /// When the answer would have been sent.
    pub sent_in: time::Duration,
    /// When the link is expected to have room for it.
    pub room_in: time::Duration,
}

/// What is promised of a host's network link. Without a known rate, nothing is.
#[derive(Clone, Debug)]
pub struct Uplink {
    /// Bytes that the link carries in a second.
    rate: Option<f64>,
    running: u64,
    queued: u64,
    at_target: answer_sizes::Sizes,
    to_callers: answer_sizes::Sizes,
    /// Time that large answers of the host's target took to make.
    service: time::Duration,
    passing: Passing,
}

/// The rate of the bytes that pass ahead of large answers.
#[derive(Clone, Copy, Debug, Default)]
struct Passing {
    rate: f64,
    measured: Option<(Time, u64)>,
}

/// Whether to refuse a request whose small answer would wait for `backlog`. `objective` and `left`
/// are the times until its objective and its deadline.
///
/// The same share of the objective applies as to a wait for a slot. A call is refused only when it
/// cannot be answered in time: the work of the request that it is made for would be lost.
pub fn is_full(
    backlog: time::Duration,
    class: requests::Class,
    objective: time::Duration,
    left: time::Duration,
) -> bool {
    match class {
        requests::Class::Caller => backlog > objective.mul_f32(admit::MAX_WAIT_SHARE),
        requests::Class::Internal => backlog >= left,
    }
}

impl Uplink {
    /// A link of this rate, in bytes per second, of which nothing is promised.
    pub fn new(rate: Option<u64>) -> Uplink {
        Uplink {
            rate: rate.map(|it| it.max(1) as f64),
            running: 0,
            queued: 0,
            at_target: answer_sizes::Sizes::default(),
            to_callers: answer_sizes::Sizes::default(),
            service: time::Duration::ZERO,
            passing: Passing::default(),
        }
    }

    /// Decides whether the link has room for the answer to a request. Returns the bytes that are
    /// promised to it, zero for a small answer. The owner gives them back with [`Uplink::replace`]
    /// or [`Uplink::cancel`].
    pub fn offer(&mut self, request: &Request) -> Result<u64, Refusal> {
        let Some(rate) = self.large_rate() else { return Ok(0) };
        let estimate = self.sizes(request.place).get(request.route);
        let Request { class, objective, left, backlog, .. } = *request;
        let bytes = estimate.bytes as u64;
        let (running, queued) = (self.running, self.queued);
        let refusal = |sent_in: time::Duration, limit| {
            let room_in = sent_in.saturating_sub(limit);
            Refusal { bytes, running, queued, sent_in, room_in }
        };
        let is_small = bytes <= SMALL_BYTES;
        // Behind nothing, an answer cannot come earlier, however long it takes.
        if is_small || self.running + self.queued == 0 {
            if is_full(backlog, class, objective, left) {
                return Err(refusal(backlog, time::Duration::ZERO));
            }
            let promised = if is_small { 0 } else { bytes };
            self.running += promised;
            return Ok(promised);
        }
        // The link drains while the request runs. The running requests may all end just before.
        let ready = estimate.service.max(backlog + seconds(self.queued, rate));
        let sent_in = ready + seconds(self.running + bytes, rate);
        let limit = match class {
            requests::Class::Caller => objective.mul_f32(SENT_SHARE),
            requests::Class::Internal => left,
        };
        if sent_in > limit {
            return Err(refusal(sent_in, limit));
        }
        self.running += bytes;
        Ok(bytes)
    }

    /// Records that a request that was promised `promised` bytes has an answer of `bytes`, which now
    /// waits for the link.
    pub fn replace(&mut self, promised: u64, bytes: u64) {
        self.running = self.running.saturating_sub(promised);
        self.queued = self.queued.saturating_add(bytes);
    }

    /// Gives back the promise to a request that gets no answer.
    pub fn cancel(&mut self, promised: u64) {
        self.running = self.running.saturating_sub(promised);
    }

    /// Records bytes of an answer that were sent, or will not be sent.
    pub fn remove(&mut self, bytes: u64) {
        self.queued = self.queued.saturating_sub(bytes);
    }

    /// Adds an answer to the estimate of its route.
    pub fn record(
        &mut self,
        place: Place,
        route: contracts::RouteKey,
        bytes: u64,
        service: time::Duration,
    ) {
        if self.rate.is_none() {
            return;
        }
        let sizes = match place {
            Place::Target => &mut self.at_target,
            Place::Caller => &mut self.to_callers,
        };
        sizes.record(route, bytes, service);
        if place == Place::Target && bytes > SMALL_BYTES {
            self.service = sizes.get(route).service;
        }
    }

    /// Measures the rate of what passes ahead of large answers. `bytes` is its total until now.
    pub fn measure(&mut self, now: Time, bytes: u64) {
        let Some((since, before)) = self.passing.measured else {
            self.passing.measured = Some((now, bytes));
            return;
        };
        let elapsed = now.since(since);
        if elapsed < MEASURE_INTERVAL {
            return;
        }
        let rate = bytes.saturating_sub(before) as f64 / elapsed.as_secs_f64();
        self.passing.rate += MEASURE_WEIGHT * (rate - self.passing.rate);
        self.passing.measured = Some((now, bytes));
    }

    /// Returns how long a further large answer is expected to wait for the link, beyond the time
    /// that its request runs. Zero if the rate is not known.
    pub fn expected_wait(&self) -> time::Duration {
        let Some(rate) = self.large_rate() else { return time::Duration::ZERO };
        seconds(self.queued + self.running, rate).saturating_sub(self.service)
    }

    /// Returns the bytes that running requests are expected to make, and those of answers that wait
    /// for the link.
    pub fn promised(&self) -> (u64, u64) {
        (self.running, self.queued)
    }

    /// Moves the estimates to the keys of a new version of the configuration.
    pub fn remap_routes(
        &mut self,
        new_key: impl Fn(contracts::RouteKey) -> Option<contracts::RouteKey>,
    ) {
        self.at_target.remap(&new_key);
        self.to_callers.remap(&new_key);
    }

    fn sizes(&self, place: Place) -> &answer_sizes::Sizes {
        match place {
            Place::Target => &self.at_target,
            Place::Caller => &self.to_callers,
        }
    }

    /// The bytes of large answers that the link carries in a second.
    fn large_rate(&self) -> Option<f64> {
        self.rate.map(|it| (it - self.passing.rate).max(it * MIN_SHARE))
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Refusal { bytes, running, queued, sent_in, .. } = self;
        write!(
            f,
            "expected_bytes={bytes} running_bytes={running} queued_bytes={queued} sent_in={sent_in:?}"
        )
    }
}

fn seconds(bytes: u64, rate: f64) -> time::Duration {
    time::Duration::from_secs_f64(bytes as f64 / rate)
}
