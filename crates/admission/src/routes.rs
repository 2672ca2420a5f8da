//! What a gate has measured about routes, and which of them are long.

use slotmap::{SecondaryMap, SlotMap};
use world::{contracts, time::Time};

use crate::service_times;

slotmap::new_key_type! {
    /// Key of a [`Flow`]. It stays the same when a new version renumbers the routes.
    pub(crate) struct FlowKey;
}

/// A route is long from this multiple of the short_median short work on; work is a straggler from
/// this multiple of its route's median on.
pub(crate) const LONG_FACTOR: u32 = 8;
/// Answers between two classifications of the routes.
const CLASSIFY_INTERVAL: usize = 32;

/// What is known about one route.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flow {
    times: service_times::ServiceTimes,
    /// Answers of late, halved at each classification.
    answers: u32,
    running: u32,
    requests: u32,
    mapped: bool,
}

/// All routes of one gate.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    flows: SlotMap<FlowKey, Flow>,
    index: SecondaryMap<contracts::RouteKey, FlowKey>,
    /// Median of the short_median short work in microseconds.
    short_median: Option<u32>,
    overall: service_times::MovingMean,
    answers: usize,
}

/// How long a route's work is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Length {
    Long,
    Short,
    Unmeasured,
}

impl Routes {
    /// The flow of a route, added when it is new.
    pub(crate) fn flow(&mut self, route: contracts::RouteKey) -> FlowKey {
        if let Some(&key) = self.index.get(route) {
            return key;
        }
        let key = self.flows.insert(Flow { mapped: true, ..Flow::default() });
        self.index.insert(route, key);
        key
    }

    /// Moves the flows to the routes of a new version.
    pub(crate) fn remap(
        &mut self,
        mut remap: impl FnMut(contracts::RouteKey) -> Option<contracts::RouteKey>,
    ) {
        let old = std::mem::take(&mut self.index);
        for (route, flow) in old {
            let new = remap(route);
            self.flows[flow].mapped = new.is_some();
            if let Some(new) = new {
                self.index.insert(new, flow);
            }
        }
        self.flows.retain(|_, it| it.mapped || it.requests > 0);
    }

    pub(crate) fn length(&self, flow: FlowKey) -> Length {
        let Some(median) = self.median(flow) else {
            return Length::Unmeasured;
        };
        let long = self.short_median.is_some_and(|it| median > it.saturating_mul(LONG_FACTOR));
        if long { Length::Long } else { Length::Short }
    }

    pub(crate) fn median(&self, flow: FlowKey) -> Option<u32> {
        self.flows[flow].times.median()
    }

    /// Mean service time of the route in microseconds, or of the target if there is none.
    pub(crate) fn mean(&self, flow: FlowKey) -> u64 {
        self.flows[flow].times.mean().unwrap_or_else(|| self.overall_mean())
    }

    /// Mean service time on the target in microseconds; zero before the first answer.
    pub(crate) fn overall_mean(&self) -> u64 {
        self.overall.get().unwrap_or(0)
    }

    /// The last point at which work of the route can start and still make `deadline`.
    pub(crate) fn latest_start(&self, flow: FlowKey, deadline: Time) -> Time {
        let median = self.median(flow).unwrap_or(0);
        Time::from_micros(deadline.as_micros().saturating_sub(median.into()))
    }

    pub(crate) fn running(&self, flow: FlowKey) -> u32 {
        self.flows[flow].running
    }

    pub(crate) fn add_request(&mut self, flow: FlowKey) {
        self.flows[flow].requests += 1;
    }

    pub(crate) fn start(&mut self, flow: FlowKey) {
        self.flows[flow].running += 1;
    }

    pub(crate) fn stop(&mut self, flow: FlowKey) {
        self.flows[flow].running -= 1;
    }

    pub(crate) fn remove_request(&mut self, flow: FlowKey) {
        let it = &mut self.flows[flow];
        it.requests -= 1;
        if it.requests == 0 && !it.mapped {
            self.flows.remove(flow);
        }
    }

    /// Adds a measured time. Returns whether the route's median is known from now on.
    pub(crate) fn record(&mut self, flow: FlowKey, micros: u32) -> bool {
        let it = &mut self.flows[flow];
        it.answers += 1;
        let known = it.times.record(micros);
        self.overall.record(micros);
        self.answers += 1;
        if known || self.answers >= CLASSIFY_INTERVAL.max(self.flows.len()) {
            self.answers = 0;
            self.classify();
        }
        known
    }

    /// Finds the median that a quarter of the answers stays at or below. The lowest median would
    /// let one rare, quick route make all others long; the median of all answers would hide short
    /// work from long work that is more frequent.
    fn classify(&mut self) {
        let mut medians: Vec<(u32, u32)> = Vec::with_capacity(self.flows.len());
        for flow in self.flows.values_mut() {
            if let Some(median) = flow.times.median() {
                medians.push((median, flow.answers));
            }
            flow.answers = flow.answers.div_ceil(2);
        }
        medians.sort_unstable();
        let total: u32 = medians.iter().map(|it| it.1).sum();
        let mut sum = 0;
        self.short_median = medians
            .iter()
            .find(|it| {
                sum += it.1;
                sum * 4 >= total
            })
            .map(|it| it.0);
    }
}
