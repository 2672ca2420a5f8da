//! What a node has measured of each target, and which targets it has ejected.
//!
//! Ejection is outlier detection: a target that is slow against the others of its service, or that
//! fails repeatedly, gets trial requests only, until one of them goes well. A host is unresponsive
//! when nothing is received from it although something was sent, or when no link to it can be
//! opened; its target gets no request at all until the host answers a probe or a link is open.

use std::time;

use slotmap::SecondaryMap;
use world::{requests, targets, time::Time};

use crate::{admissions, peers, toggles};

/// Answers needed before a target can be ejected as slow, and before it counts in the median.
pub const MIN_ANSWERS: u32 = 3;
/// A target is ejected as slow when its latency estimate is more than this many times the median
/// of its service.
pub const SLOW_FACTOR: f32 = 3.0;
/// Upper bound of a single latency in the estimate, as a multiple of the median. Some requests run
/// many times longer than the rest: one of them moves an estimate from the median to 2.5 times the
/// median, which does not eject the target, and a second one in a row to 3.6 times.
pub const CLIP_FACTOR: f32 = 6.0;
/// Weight of the newest answer in the estimate, an exponentially weighted moving average.
pub const EWMA_WEIGHT: f32 = 0.3;
/// Age at which an estimate is discarded, so that the next answer starts a new one. Otherwise a
/// target that was slow for a few answers, too few to eject it, would be avoided forever: a policy
/// that compares times sends it too few requests to measure that it is fast again.
pub const MAX_ESTIMATE_AGE: time::Duration = time::Duration::from_secs(20);
/// Consecutive failures that eject a target. A single refused connection ejects as well, since it
/// shows that the process is not running.
pub const MAX_FAILURES: u32 = 3;
/// Time from an ejection to the first trial with an idempotent request.
pub const INITIAL_BACKOFF: time::Duration = time::Duration::from_secs(1);
/// Longest time from a failed trial request to the next one. The time doubles with each failure.
pub const MAX_BACKOFF: time::Duration = time::Duration::from_secs(30);
/// Age from which a load report is ignored.
pub const MAX_LOAD_AGE: time::Duration = time::Duration::from_secs(5);
/// Age from which a load report is ignored in the forecast of the wait at a target. Within this
/// time, a target with requests of usual length frees most of its slots.
pub const MAX_FORECAST_AGE: time::Duration = time::Duration::from_secs(1);
/// Time since the last answer at which a load report has half of its weight.
pub const HALF_TRUST_AGE: time::Duration = time::Duration::from_millis(500);
/// Age up to which a load report shows a free slot for certain enough to send at once.
const ROOM_AGE: time::Duration = time::Duration::from_millis(100);
/// Largest number of targets that a median is taken over; of a larger service, the first ones.
pub const MAX_PEERS: usize = 64;

/// Load of a target, as its answers report it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that are running.
    pub busy: u32,
    /// Requests that are waiting for a slot.
    pub queued: u32,
    /// Mean time that a request runs there; zero if unknown.
    pub service_time: time::Duration,
    /// Internal calls among the waiting requests.
    pub queued_calls: u32,
    /// Mean time that a caller's request runs; zero if unknown.
    pub caller_time: time::Duration,
    /// Mean time that an internal call runs; zero if unknown.
    pub call_time: time::Duration,
}

/// The measurements of one answer.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time from the send to the start of the answer.
    pub elapsed: time::Duration,
    /// One-way network latency to the target. The round trip is subtracted from `elapsed`, so that
    /// a distant target does not look slow.
    pub link: time::Duration,
    /// Load report of the answer, if it had one.
    pub load: Option<Load>,
    /// Whether the request was a trial of an ejected target.
    pub trial: bool,
}

/// How a send failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The connection was refused: the process is not running.
    Unreachable,
    /// The connection broke before the answer ended.
    Broken,
    /// No answer before the deadline.
    TimedOut,
    /// Nothing was received from the target's host.
    Silent,
    /// No link to the target's host could be opened, or the link broke before the request was sent.
    Unconnected,
}

/// A change of a target's state, for the log. The names are part of the log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Ejected: the latency is more than [`SLOW_FACTOR`] times the median of the service.
    Slow {
        /// Latency estimate of the target, in microseconds.
        latency: f32,
        /// Median latency of the service, in microseconds.
        median: f32,
    },
    /// Ejected: a refused connection, or [`MAX_FAILURES`] failures in a row.
    Failing,
    /// No longer ejected: a trial request was answered fast enough.
    Readmitted,
    /// Ejected: nothing was received from the target's host.
    Silent,
}

/// What this node has measured of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// Requests that this node has sent and that have not ended.
    pub in_flight: u32,
    /// Moving average of the time at the target without the network round trip, in microseconds.
    pub latency: f32,
    /// Number of answers in the moving average; 0 if there is none.
    pub answers: u32,
    /// Failures since the last answer or refusal.
    pub failures: u32,
    /// Time of the last answer in the moving average.
    pub updated: Time,
    /// Mean time that a request runs at the target, as last reported, in microseconds; zero if
    /// unknown.
    pub service_time: f32,
    /// Mean time that a caller's request runs, like `service_time`.
    pub caller_time: f32,
    /// Mean time that an internal call runs, like `service_time`.
    pub call_time: f32,
    /// Whether the target has had room for requests.
    pub(crate) admissions: admissions::Admissions,
    /// Waiting internal calls, as last reported.
    queued_calls: f32,
    /// Running and waiting requests of other nodes, as last reported.
    other_load: f32,
    /// Time of the last load report.
    load_at: Time,
    ejection: Option<Ejection>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    /// Time from which a trial request may be sent.
    trial_at: Time,
    backoff: time::Duration,
    trial_pending: bool,
    /// The target's host is unresponsive. The target gets no request until the host answers a
    /// probe.
    host_down: bool,
}

impl Estimate {
    /// Returns whether the target is ejected, and gets trial requests at most.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns whether the target's host is unresponsive, so that no request may be sent to it.
    pub fn is_unresponsive(&self) -> bool {
        self.ejection.is_some_and(|it| it.host_down)
    }

    /// Returns the number of requests of other nodes at the target: the reported ones minus this
    /// node's, discounted for a policy that also uses measured latencies.
    ///
    /// The discount grows with the age of the report, up to [`MAX_LOAD_AGE`]. It is larger when the
    /// target has answered recently: reports lag, so measured times take precedence. A node that
    /// seldom sends to a service has few measurements and relies on reports.
    pub fn other_load(&self, now: Time) -> f32 {
        let age = now.since(self.load_at);
        if age >= MAX_LOAD_AGE {
            return 0.0;
        }
        let unmeasured = now.since(self.updated).as_secs_f32();
        let trust = unmeasured / (unmeasured + HALF_TRUST_AGE.as_secs_f32());
        self.other_load * trust * (1.0 - age.as_secs_f32() / MAX_LOAD_AGE.as_secs_f32())
    }

    /// Returns the number of requests of other nodes at the target, for a forecast of the wait
    /// there. It falls evenly to zero as the report gets older, within [`MAX_FORECAST_AGE`].
    pub fn recent_load(&self, now: Time) -> f32 {
        let age = now.since(self.load_at).as_secs_f32() / MAX_FORECAST_AGE.as_secs_f32();
        self.other_load * (1.0 - age).max(0.0)
    }

    /// Returns the number of internal calls that wait at the target. It falls with the age of the
    /// report as [`Estimate::recent_load`] does.
    pub fn queued_calls(&self, now: Time) -> f32 {
        let age = now.since(self.load_at).as_secs_f32() / MAX_FORECAST_AGE.as_secs_f32();
        self.queued_calls * (1.0 - age).max(0.0)
    }

    /// Returns whether the target has just reported a free slot, of which it has `slots`.
    pub fn has_room(&self, now: Time, slots: u32) -> bool {
        let load = self.in_flight as f32 + self.other_load;
        now.since(self.load_at) < ROOM_AGE && load < slots as f32
    }

    /// Returns whether a trial request may be sent.
    ///
    /// A trial may fail or be answered late, so idempotent requests, which can be sent again, are
    /// used first. Other requests are used after a further delay, for services that have no
    /// idempotent ones.
    pub fn trial_due(&self, now: Time, idempotent: bool) -> bool {
        let Some(ejection) = self.ejection else {
            return false;
        };
        let delay = if idempotent { time::Duration::ZERO } else { 5 * INITIAL_BACKOFF };
        !ejection.host_down && !ejection.trial_pending && now >= ejection.trial_at + delay
    }
}

/// The estimates of all targets that a node has sent to or has had a load report of.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    arena: SecondaryMap<targets::TargetKey, Estimate>,
    toggles: toggles::Toggles,
}

impl Estimates {
    /// Creates a set without estimates.
    pub fn new(toggles: toggles::Toggles) -> Estimates {
        Estimates { arena: SecondaryMap::new(), toggles }
    }

    /// Returns the estimate of a target; `None` if nothing has been recorded.
    pub fn get(&self, key: targets::TargetKey) -> Option<&Estimate> {
        self.arena.get(key)
    }

    /// Removes the estimate of a target whose key is no longer valid.
    pub fn remove(&mut self, key: targets::TargetKey) {
        self.arena.remove(key);
    }

    /// Counts a send to a target. `trial` says whether it is a trial of an ejected one.
    pub fn record_send(&mut self, key: targets::TargetKey, trial: bool) {
        let Some(estimate) = self.entry(key) else {
            return;
        };
        estimate.in_flight += 1;
        if let Some(ejection) = &mut estimate.ejection {
            ejection.trial_pending |= trial;
        }
    }

    /// Ejects a target whose host is unresponsive, until [`Estimates::mark_reachable`].
    pub fn mark_unresponsive(&mut self, now: Time, key: targets::TargetKey) {
        if let Some(estimate) = self.entry(key) {
            estimate.mark_unresponsive(now);
        }
    }

    /// Readmits a target whose host was unresponsive. Its measurements are kept.
    pub fn mark_reachable(&mut self, key: targets::TargetKey) {
        if let Some(estimate) = self.arena.get_mut(key)
            && estimate.is_unresponsive()
        {
            estimate.ejection = None;
            estimate.failures = 0;
        }
    }

    /// Counts the end of a send whose outcome says nothing about the target: the caller has gone,
    /// or the other send of a hedged request was answered first.
    pub fn record_cancel(&mut self, key: targets::TargetKey, trial: bool) {
        if let Some(estimate) = self.entry(key) {
            estimate.end_send(trial);
        }
    }

    /// Records the load of a target without an answer from it, for the target of this host.
    pub fn record_load(&mut self, now: Time, key: targets::TargetKey, load: Load) {
        if let Some(estimate) = self.entry(key) {
            estimate.set_load(now, load);
        }
    }

    /// Records whether the target had room for a request.
    pub fn record_admission(
        &mut self,
        now: Time,
        key: targets::TargetKey,
        class: requests::Class,
        admitted: bool,
    ) {
        if let Some(estimate) = self.entry(key) {
            estimate.admissions.record(now, class, admitted);
        }
    }

    /// Records that the target's backend server shed a request, so that the next ones go elsewhere.
    pub fn record_shed(&mut self, now: Time, key: targets::TargetKey) {
        if let Some(estimate) = self.entry(key) {
            estimate.admissions.record_shed(now);
        }
    }

    /// Records that the target refused a request without running it. A refusal shows load and is
    /// no failure.
    pub fn record_refusal(&mut self, now: Time, key: targets::TargetKey, load: Load, trial: bool) {
        if let Some(estimate) = self.entry(key) {
            estimate.end_send(trial);
            estimate.failures = 0;
            estimate.set_load(now, load);
        }
    }

    /// Records an answer, which may eject or readmit the target. `peers` are all targets of the
    /// service. Returns the change of the target's state, if any.
    pub fn record_answer(
        &mut self,
        now: Time,
        key: targets::TargetKey,
        sample: &Sample,
        peers: impl Iterator<Item = targets::TargetKey>,
    ) -> Option<Change> {
        let peers = self.summarize(peers);
        let unlimited = !self.toggles.ejection_limit;
        let ejection_on = self.toggles.ejection;
        let estimate = self.entry(key)?;
        estimate.end_send(sample.trial);
        estimate.failures = 0;
        if let Some(load) = sample.load {
            estimate.set_load(now, load);
        }
        let micros = sample.elapsed.saturating_sub(2 * sample.link).as_secs_f32() * 1e6;
        if estimate.is_unresponsive() {
            // The answer shows that the host is up; the next probe will readmit the target.
            return None;
        }
        if let Some(ejection) = estimate.ejection {
            return estimate.judge_trial(now, micros, sample.trial, peers.median, ejection);
        }
        estimate.add_sample(now, micros, peers.median);
        let median = peers.median?;
        let slow = estimate.answers >= MIN_ANSWERS && estimate.latency > SLOW_FACTOR * median;
        if !slow || !ejection_on || !(unlimited || peers.may_eject()) {
            return None;
        }
        estimate.eject(now);
        Some(Change::Slow { latency: estimate.latency, median })
    }

    /// Records a send without an answer, which may eject the target. `peers` are all targets of the
    /// service. Returns the change of the target's state, if any.
    pub fn record_failure(
        &mut self,
        now: Time,
        key: targets::TargetKey,
        failure: Failure,
        trial: bool,
        peers: impl Iterator<Item = targets::TargetKey>,
    ) -> Option<Change> {
        let peers = self.summarize(peers);
        let unlimited = !self.toggles.ejection_limit;
        let ejection_on = self.toggles.ejection;
        let estimate = self.entry(key)?;
        estimate.end_send(trial);
        estimate.failures += 1;
        let unreachable = matches!(failure, Failure::Silent | Failure::Unconnected);
        if unreachable && ejection_on {
            // The limit on ejections does not apply: an unreachable target serves no request
            // anyway.
            estimate.mark_unresponsive(now);
            return Some(Change::Silent);
        }
        if let Some(ejection) = estimate.ejection {
            if trial {
                estimate.extend_ejection(now, ejection);
            }
            return None;
        }
        let failing = failure == Failure::Unreachable || estimate.failures >= MAX_FAILURES;
        let allowed = unlimited || peers.may_eject();
        if !failing || !allowed || !ejection_on {
            return None;
        }
        estimate.eject(now);
        Some(Change::Failing)
    }

    fn entry(&mut self, key: targets::TargetKey) -> Option<&mut Estimate> {
        // `None` for an answer that comes after the target is gone and a newer key has its place.
        self.arena.entry(key).map(|it| it.or_default())
    }

    fn summarize(&self, peers: impl Iterator<Item = targets::TargetKey>) -> peers::PeerSummary {
        let mut latencies = [0.0_f32; MAX_PEERS];
        let (mut known, mut summary) = (0, peers::PeerSummary::default());
        for key in peers.take(MAX_PEERS) {
            summary.peers += 1;
            let Some(estimate) = self.arena.get(key) else {
                continue;
            };
            summary.ejected += usize::from(estimate.is_ejected());
            if estimate.answers >= MIN_ANSWERS {
                latencies[known] = estimate.latency;
                known += 1;
            }
        }
        if known >= 2 {
            // The lower median, so that one of two targets can be slow against the other.
            let middle = (known - 1) / 2;
            let (_, median, _) = latencies[..known].select_nth_unstable_by(middle, f32::total_cmp);
            summary.median = Some(*median);
        }
        summary
    }
}

impl Estimate {
    fn end_send(&mut self, trial: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(ejection) = &mut self.ejection {
            ejection.trial_pending &= !trial;
        }
    }

    fn set_load(&mut self, now: Time, load: Load) {
        let total = load.busy.saturating_add(load.queued);
        self.other_load = total.saturating_sub(self.in_flight) as f32;
        self.load_at = now;
        self.queued_calls = load.queued_calls as f32;
        for (known, reported) in [
            (&mut self.service_time, load.service_time),
            (&mut self.caller_time, load.caller_time),
            (&mut self.call_time, load.call_time),
        ] {
            if !reported.is_zero() {
                *known = reported.as_secs_f32() * 1e6;
            }
        }
    }

    fn add_sample(&mut self, now: Time, micros: f32, median: Option<f32>) {
        let micros = median.map_or(micros, |it| micros.min(CLIP_FACTOR * it));
        if now.since(self.updated) >= MAX_ESTIMATE_AGE {
            self.answers = 0;
        }
        let known = self.answers > 0;
        self.latency =
            if known { self.latency + EWMA_WEIGHT * (micros - self.latency) } else { micros };
        self.answers = self.answers.saturating_add(1);
        self.updated = now;
    }

    /// Readmits an ejected target after a fast answer to a trial request, or delays the next trial.
    fn judge_trial(
        &mut self,
        now: Time,
        micros: f32,
        trial: bool,
        median: Option<f32>,
        ejection: Ejection,
    ) -> Option<Change> {
        // Requests sent before the ejection do not show whether the target has recovered.
        if !trial {
            return None;
        }
        if median.is_some_and(|it| micros > SLOW_FACTOR * it) {
            self.extend_ejection(now, ejection);
            return None;
        }
        self.ejection = None;
        self.answers = 0;
        self.add_sample(now, micros, median);
        Some(Change::Readmitted)
    }

    fn eject(&mut self, now: Time) {
        let backoff = INITIAL_BACKOFF;
        let ejection =
            Ejection { trial_at: now + backoff, backoff, trial_pending: false, host_down: false };
        self.ejection = Some(ejection);
    }

    fn mark_unresponsive(&mut self, now: Time) {
        self.eject(now);
        if let Some(ejection) = &mut self.ejection {
            ejection.host_down = true;
        }
    }

    fn extend_ejection(&mut self, now: Time, ejection: Ejection) {
        let backoff = (2 * ejection.backoff).min(MAX_BACKOFF);
        self.ejection = Some(Ejection {
            trial_at: now + backoff,
            backoff,
            trial_pending: false,
            host_down: false,
        });
    }
}
