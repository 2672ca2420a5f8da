//! What a node has measured of each target, and which targets it has ejected.

use std::time;

use slotmap::SecondaryMap;
use world::{targets, time::Time};

use crate::mechanisms;

/// Answers needed before a target's estimate can eject it.
pub const MIN_ANSWERS: u32 = 3;
/// A target is ejected when its estimate is more than this many times the service's median.
pub const SLOW_FACTOR: f32 = 3.0;
/// A single answer counts as at most this many times the median. Some tasks run many times longer
/// than the rest; one of them moves the estimate to 2.5 times the median, below ejection, and a
/// second slow answer in a row to 3.6 times.
pub const CLIP_FACTOR: f32 = 6.0;
/// Share of the newest answer in the estimate.
pub const EWMA_WEIGHT: f32 = 0.3;
/// Age at which an estimate is forgotten: the next answer starts a new one. A target that was slow
/// for a few answers, too few to be ejected, is otherwise avoided for ever, since a policy that
/// compares times sends it too little to learn that it is fast again.
pub const MAX_ESTIMATE_AGE: time::Duration = time::Duration::from_secs(20);
/// Failures in a row that eject a target. A refused connection ejects at once, since the process
/// is certainly not there.
pub const MAX_FAILURES: u32 = 3;
/// Time from an ejection to the first trial request.
pub const INITIAL_BACKOFF: time::Duration = time::Duration::from_secs(1);
/// Longest time between trial requests.
pub const MAX_BACKOFF: time::Duration = time::Duration::from_secs(30);
/// Age from which a load report counts for nothing.
pub const MAX_LOAD_AGE: time::Duration = time::Duration::from_secs(5);
/// Age from which a load report counts for nothing in the forecast of a wait.
pub const MAX_FORECAST_AGE: time::Duration = time::Duration::from_secs(1);
/// Time since the last answer at which a load report counts half.
pub const HALF_TRUST_AGE: time::Duration = time::Duration::from_millis(500);
/// Targets that a median is taken over at most; a larger service is sampled by its first ones.
pub const MAX_PEERS: usize = 64;

/// Work at a target, as its answers report it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub busy: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Mean time that a request runs there; zero when it is not known.
    pub service_time: time::Duration,
    /// Internal calls that wait.
    pub queued_calls: u32,
    /// The same mean over callers' requests.
    pub caller_time: time::Duration,
    /// The same mean over internal calls.
    pub call_time: time::Duration,
}

/// An answer, as routing sees it.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// From the send to the answer.
    pub elapsed: time::Duration,
    /// One-way latency to the target, which is taken off: distance does not make a target slow.
    pub link: time::Duration,
    /// What the answer reported.
    pub load: Option<Load>,
    /// Whether the request was a trial.
    pub trial: bool,
}

/// How a send failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection: the process is not there.
    Unreachable,
    /// The connection broke before the answer ended.
    Broken,
    /// No answer before the deadline.
    TimedOut,
    /// Nothing is heard of the target's node.
    Silent,
}

/// A change that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The target's estimate is too far above the median of its service.
    Slow {
        /// The estimate, in microseconds.
        latency: f32,
        /// The median, in microseconds.
        median: f32,
    },
    /// The target failed too often.
    Failing,
    /// A trial request went well.
    Readmitted,
    /// Nothing is heard of the target's host.
    Silent,
}

/// What has been measured of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// Requests sent from here and not answered yet.
    pub in_flight: u32,
    /// Moving estimate of the time at the target, in microseconds.
    pub latency: f32,
    /// Answers that the estimate is made of.
    pub answers: u32,
    /// Failures since the last answer.
    pub failures: u32,
    /// When the estimate last changed.
    pub updated: Time,
    /// Mean time that a request runs at the target, as it last reported, in microseconds; zero
    /// when it is not known.
    pub service_time: f32,
    /// The same over callers' requests.
    pub caller_time: f32,
    /// The same over internal calls.
    pub call_time: f32,
    queued_calls: f32,
    other_load: f32,
    load_at: Time,
    ejection: Option<Ejection>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    /// When a trial request may be sent.
    trial_at: Time,
    backoff: time::Duration,
    trial_pending: bool,
    /// Nothing is heard of the target's host. It gets no request until it answers a probe.
    silent: bool,
}

impl Estimate {
    /// Whether the target gets no work but trials.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether nothing is heard of the target's host, so that no request may be sent to it.
    pub fn is_silent(&self) -> bool {
        self.ejection.is_some_and(|it| it.silent)
    }

    /// Work at the target that others sent: what it reported, less what was from here. It counts
    /// less with its age, and less while there are recent answers: reports lag, so measured times
    /// take precedence. A node that seldom sends to a service has little else than reports.
    pub fn other_load(&self, now: Time) -> f32 {
        let age = now.since(self.load_at);
        if age >= MAX_LOAD_AGE {
            return 0.0;
        }
        let unmeasured = now.since(self.updated).as_secs_f32();
        let trust = unmeasured / (unmeasured + HALF_TRUST_AGE.as_secs_f32());
        self.other_load * trust * (1.0 - age.as_secs_f32() / MAX_LOAD_AGE.as_secs_f32())
    }

    /// Work of others at the target as it last reported, for a forecast of the wait there. It fades
    /// within [`MAX_FORECAST_AGE`], in which a target with work of usual length gives most slots on.
    pub fn recent_load(&self, now: Time) -> f32 {
        let age = now.since(self.load_at).as_secs_f32() / MAX_FORECAST_AGE.as_secs_f32();
        self.other_load * (1.0 - age).max(0.0)
    }

    /// Internal calls that waited at the target as it last reported, fading as [`Estimate::recent_load`].
    pub fn queued_calls(&self, now: Time) -> f32 {
        let age = now.since(self.load_at).as_secs_f32() / MAX_FORECAST_AGE.as_secs_f32();
        self.queued_calls * (1.0 - age).max(0.0)
    }

    /// Whether a trial request may be sent. A trial risks a slow answer, so requests that can be
    /// sent again are preferred; a service that has no others is tried with any after a while.
    pub fn trial_due(&self, now: Time, idempotent: bool) -> bool {
        let Some(ejection) = self.ejection else {
            return false;
        };
        let delay = if idempotent { time::Duration::ZERO } else { 5 * INITIAL_BACKOFF };
        !ejection.silent && !ejection.trial_pending && now >= ejection.trial_at + delay
    }
}

/// The estimates of all targets that a node has sent to.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    arena: SecondaryMap<targets::TargetKey, Estimate>,
    mechanisms: mechanisms::Mechanisms,
}

impl Estimates {
    /// No estimates.
    pub fn new(mechanisms: mechanisms::Mechanisms) -> Estimates {
        Estimates { arena: SecondaryMap::new(), mechanisms }
    }

    /// What has been measured of a target.
    pub fn get(&self, key: targets::TargetKey) -> Option<&Estimate> {
        self.arena.get(key)
    }

    /// Forgets a target whose key is no longer valid.
    pub fn remove(&mut self, key: targets::TargetKey) {
        self.arena.remove(key);
    }

    /// Counts a send.
    pub fn record_send(&mut self, key: targets::TargetKey, trial: bool) {
        let Some(estimate) = self.entry(key) else {
            return;
        };
        estimate.in_flight += 1;
        if let Some(ejection) = &mut estimate.ejection {
            ejection.trial_pending |= trial;
        }
    }

    /// Nothing is heard of a target's host.
    pub fn mark_silent(&mut self, now: Time, key: targets::TargetKey) {
        if let Some(estimate) = self.entry(key) {
            estimate.mark_silent(now);
        }
    }

    /// A target's host can be heard again. What was measured before the silence counts on.
    pub fn mark_heard(&mut self, key: targets::TargetKey) {
        if let Some(estimate) = self.arena.get_mut(key)
            && estimate.is_silent()
        {
            estimate.ejection = None;
            estimate.failures = 0;
        }
    }

    /// Counts the end of a send whose outcome says nothing about the target: its caller left, or a
    /// hedge was answered first.
    pub fn record_cancel(&mut self, key: targets::TargetKey, trial: bool) {
        if let Some(estimate) = self.entry(key) {
            estimate.end_send(trial);
        }
    }

    /// Takes a target's load at first hand, for the target of this host.
    pub fn record_load(&mut self, now: Time, key: targets::TargetKey, load: Load) {
        if let Some(estimate) = self.entry(key) {
            estimate.set_load(now, load);
        }
    }

    /// Counts a refusal before the work ran. It shows load and no fault.
    pub fn record_refusal(&mut self, now: Time, key: targets::TargetKey, load: Load, trial: bool) {
        if let Some(estimate) = self.entry(key) {
            estimate.end_send(trial);
            estimate.failures = 0;
            estimate.set_load(now, load);
        }
    }

    /// Takes an answer into account. `peers` are the targets of the service.
    pub fn record_answer(
        &mut self,
        now: Time,
        key: targets::TargetKey,
        sample: &Sample,
        peers: impl Iterator<Item = targets::TargetKey>,
    ) -> Option<Change> {
        let peers = self.summarize(peers);
        let unlimited = !self.mechanisms.ejection_limit;
        let ejection_on = self.mechanisms.ejection;
        let estimate = self.entry(key)?;
        estimate.end_send(sample.trial);
        estimate.failures = 0;
        if let Some(load) = sample.load {
            estimate.set_load(now, load);
        }
        let micros = sample.elapsed.saturating_sub(2 * sample.link).as_secs_f32() * 1e6;
        if estimate.is_silent() {
            // The answer shows that the host can be heard, and the probe finds out, too.
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

    /// Takes a failure into account.
    pub fn record_failure(
        &mut self,
        now: Time,
        key: targets::TargetKey,
        failure: Failure,
        trial: bool,
        peers: impl Iterator<Item = targets::TargetKey>,
    ) -> Option<Change> {
        let peers = self.summarize(peers);
        let unlimited = !self.mechanisms.ejection_limit;
        let ejection_on = self.mechanisms.ejection;
        let estimate = self.entry(key)?;
        estimate.end_send(trial);
        estimate.failures += 1;
        if failure == Failure::Silent && ejection_on {
            // What cannot be reached carries no load, however many targets that leaves.
            estimate.mark_silent(now);
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
        // An answer may come after the target is gone and its place has a newer key.
        self.arena.entry(key).map(|it| it.or_default())
    }

    fn summarize(&self, peers: impl Iterator<Item = targets::TargetKey>) -> PeerSummary {
        let mut latencies = [0.0_f32; MAX_PEERS];
        let (mut known, mut summary) = (0, PeerSummary::default());
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
            // Of an even number the lower middle counts, so that of two targets one can be slow.
            let middle = (known - 1) / 2;
            let (_, median, _) = latencies[..known].select_nth_unstable_by(middle, f32::total_cmp);
            summary.median = Some(*median);
        }
        summary
    }
}

/// The targets of a service as a whole.
#[derive(Clone, Copy, Debug, Default)]
struct PeerSummary {
    peers: usize,
    ejected: usize,
    median: Option<f32>,
}

impl PeerSummary {
    /// At most half of the targets are ejected: if more are slow, the load is the likely cause,
    /// and the rest could not carry it.
    fn may_eject(&self) -> bool {
        (self.ejected + 1) * 2 <= self.peers
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

    fn judge_trial(
        &mut self,
        now: Time,
        micros: f32,
        trial: bool,
        median: Option<f32>,
        ejection: Ejection,
    ) -> Option<Change> {
        // Answers to requests from before the ejection tell nothing new.
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
            Ejection { trial_at: now + backoff, backoff, trial_pending: false, silent: false };
        self.ejection = Some(ejection);
    }

    fn mark_silent(&mut self, now: Time) {
        self.eject(now);
        if let Some(ejection) = &mut self.ejection {
            ejection.silent = true;
        }
    }

    fn extend_ejection(&mut self, now: Time, ejection: Ejection) {
        let backoff = (2 * ejection.backoff).min(MAX_BACKOFF);
        self.ejection = Some(Ejection {
            trial_at: now + backoff,
            backoff,
            trial_pending: false,
            silent: false,
        });
    }
}
