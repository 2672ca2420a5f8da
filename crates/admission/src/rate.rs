//! The rate of requests that a target asks its node to keep to, as a token bucket.

use std::time;

use world::time::Time;

/// The part of a second whose tokens are kept while no request comes. A larger one lets a burst
/// exceed the rate that the target asks for, a smaller one loses requests that come in groups.
const BURST: f64 = 0.25;
/// The lowest rate, in requests per second, whatever the target asks for: only the answers to
/// requests can lift its limit.
const MIN_RATE: f64 = 0.25;

/// A limit on the requests per second that are started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    /// Requests per second.
    rate: f64,
    /// Requests that may start now, as of `updated`; negative never.
    tokens: f64,
    updated: Time,
}

impl Bucket {
    /// A bucket for `rate` requests per second, from which one request may start at once.
    pub(crate) fn new(now: Time, rate: f64) -> Bucket {
        Bucket { rate: rate.max(MIN_RATE), tokens: 1.0, updated: now }
    }

    /// Changes the rate. The tokens that the bucket has stay.
    pub(crate) fn set_rate(&mut self, now: Time, rate: f64) {
        self.tokens = self.tokens_at(now);
        self.updated = now;
        self.rate = rate.max(MIN_RATE);
    }

    /// Takes a token. Returns whether there was one.
    pub(crate) fn take(&mut self, now: Time) -> bool {
        let tokens = self.tokens_at(now);
        if tokens < 1.0 {
            return false;
        }
        (self.tokens, self.updated) = (tokens - 1.0, now);
        true
    }

    /// The time until a request can start behind `ahead` others.
    pub(crate) fn wait(&self, now: Time, ahead: usize) -> time::Duration {
        let missing = ahead as f64 + 1.0 - self.tokens_at(now);
        time::Duration::from_secs_f64((missing / self.rate).max(0.0))
    }

    /// The slots that requests of this mean service time keep busy at the rate, at least 1.
    pub(crate) fn busy_slots(&self, service_time: time::Duration) -> u32 {
        let slots = (self.rate * service_time.as_secs_f64()).ceil();
        (slots as u32).max(1)
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let gained = now.since(self.updated).as_secs_f64() * self.rate;
        (self.tokens + gained).min((self.rate * BURST).max(1.0))
    }
}
