//! The measurements of each route at one target, and which routes are long.

use slotmap::{SecondaryMap, SlotMap};
use world::{contracts, time::Time};

use crate::service_times;

slotmap::new_key_type! {
    /// Key of a [`Flow`]. Unlike the key of its route, it does not change with a new version of the
    /// configuration.
    pub(crate) struct FlowKey;
}

/// A route is long if its median is more than this multiple of the median of short routes. A
/// request is a straggler if it runs longer than this multiple of its route's median.
pub(crate) const LONG_FACTOR: u32 = 8;
/// Answers between two classifications of the routes; with more routes than this, one answer per
/// route.
const CLASSIFY_INTERVAL: usize = 32;

/// The measurements and the requests of one route.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flow {
    times: service_times::ServiceTimes,
    /// Number of recent answers, halved at each classification.
    answers: u32,
    running: u32,
    /// Requests that run or wait.
    requests: u32,
    /// Whether the current configuration has the route.
    mapped: bool,
}

/// All routes of one target.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    flows: SlotMap<FlowKey, Flow>,
    index: SecondaryMap<contracts::RouteKey, FlowKey>,
    /// Median service time that stands for short routes, in microseconds; see [`Routes::classify`].
    short_median: Option<u32>,
    /// Service times of all routes.
    overall: service_times::MovingMean,
    /// Answers since the last classification.
    answers: usize,
}

/// Whether the requests of a route are long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Length {
    Long,
    Short,
    Unmeasured,
}

impl Routes {
    /// Returns the flow of a route, and adds it if it is new.
    pub(crate) fn flow(&mut self, route: contracts::RouteKey) -> FlowKey {
        if let Some(&key) = self.index.get(route) {
            return key;
        }
        let key = self.flows.insert(Flow { mapped: true, ..Flow::default() });
        self.index.insert(route, key);
        key
    }

    /// Returns the flow of a route, if there is one.
    pub(crate) fn find(&self, route: contracts::RouteKey) -> Option<FlowKey> {
        self.index.get(route).copied()
    }

    /// Assigns the flows to the route keys of a new version of the configuration. Flows of removed
    /// routes are kept while they have requests.
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

    /// Returns the mean service time of the route in microseconds, or that of the target if the
    /// route has no answers.
    pub(crate) fn mean(&self, flow: FlowKey) -> u64 {
        self.flows[flow].times.mean().unwrap_or_else(|| self.overall_mean())
    }

    /// Returns the mean service time of the target in microseconds; zero before the first answer.
    pub(crate) fn overall_mean(&self) -> u64 {
        self.overall.get().unwrap_or(0)
    }

    /// Returns the latest time at which a request of the route can start and is still expected to
    /// meet `deadline`.
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

    /// Records a service time in microseconds. Returns whether the route has got its first median.
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

    /// Determines the median service time that stands for short routes: the lowest one such that at
    /// least a quarter of the recent answers are of routes with this median or a lower one.
    ///
    /// With the lowest median of all, one rare, quick route would make all others long. With the
    /// median of all answers, long routes that are more frequent than the short ones would not
    /// count as long.
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
