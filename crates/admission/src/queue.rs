//! The waiting requests of one class, in weighted fair order among routes.
//!
//! The algorithm is start-time fair queueing. The requests of one route are a flow. Each flow has a
//! tag that grows with each start by the expected slot time of the request, divided by the route's
//! weight. The flow with the lowest tag is next.

use std::collections;

use slotmap::SecondaryMap;

use crate::{routes, work};

/// Scale of tags, so that a cost of 1 µs is not rounded to zero at weight 100.
const TAG_SCALE: u64 = 1_000;

/// A waiting request.
#[derive(Debug)]
struct Waiting {
    key: work::RequestKey,
    /// Expected slot time in microseconds.
    cost: u64,
    /// Position in the order of arrival.
    arrival: u64,
}

/// The waiting requests of one route, oldest first.
#[derive(Debug, Default)]
struct FlowQueue {
    weight: u32,
    /// Slot time charged to the flow so far, scaled and divided by its weight.
    tag: u64,
    /// Sum of the costs of the waiting requests.
    cost: u64,
    waiting: collections::VecDeque<Waiting>,
}

/// The waiting requests of one class.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    flows: SecondaryMap<routes::FlowKey, FlowQueue>,
    /// Flows with waiting requests.
    backlog: Vec<routes::FlowKey>,
    /// Highest tag at which a request has started. The tag of a flow that was idle starts here, so
    /// that a route cannot save up its share while it is idle.
    virtual_time: u64,
    /// Sum of the costs of all waiting requests.
    total_cost: u64,
    /// Sum of the weights of the flows with waiting requests.
    total_weight: u64,
    len: usize,
    arrivals: u64,
}

/// The order in which routes with waiting requests get slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Order {
    Arrival,
    Weight,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(
        &mut self,
        flow: routes::FlowKey,
        weight: u32,
        key: work::RequestKey,
        cost: u64,
    ) {
        if !self.flows.contains_key(flow) {
            self.flows.insert(flow, FlowQueue::default());
        }
        let it = &mut self.flows[flow];
        if it.waiting.is_empty() {
            it.tag = it.tag.max(self.virtual_time);
            self.backlog.push(flow);
        } else {
            self.total_weight -= u64::from(it.weight);
        }
        // The weight changes with a new version of the configuration.
        it.weight = weight.max(1);
        self.total_weight += u64::from(it.weight);
        self.arrivals += 1;
        it.waiting.push_back(Waiting { key, cost, arrival: self.arrivals });
        it.cost += cost;
        self.total_cost += cost;
        self.len += 1;
    }

    /// Removes a request that will not start.
    pub(crate) fn remove(&mut self, flow: routes::FlowKey, key: work::RequestKey) {
        let it = &mut self.flows[flow];
        let Some(index) = it.waiting.iter().position(|it| it.key == key) else {
            return;
        };
        let Some(entry) = it.waiting.remove(index) else {
            return;
        };
        it.cost -= entry.cost;
        self.total_cost -= entry.cost;
        self.len -= 1;
        if it.waiting.is_empty() {
            self.total_weight -= u64::from(it.weight);
            self.backlog.retain(|&it| it != flow);
        }
    }

    /// Removes a request that starts, and charges its flow with the route's `mean` service time in
    /// microseconds. The time that the request will really take is not charged, so that one
    /// straggler does not starve the other requests of its route.
    pub(crate) fn start(&mut self, flow: routes::FlowKey, key: work::RequestKey, mean: u64) {
        self.remove(flow, key);
        let it = &mut self.flows[flow];
        self.virtual_time = self.virtual_time.max(it.tag);
        it.tag += mean.max(1) * TAG_SCALE / u64::from(it.weight);
    }

    /// Returns the next request to start, among the flows that `open` accepts and the requests that
    /// `ready` accepts.
    pub(crate) fn next(
        &self,
        order: Order,
        mut open: impl FnMut(routes::FlowKey) -> bool,
        mut ready: impl FnMut(work::RequestKey) -> bool,
    ) -> Option<(routes::FlowKey, work::RequestKey)> {
        let mut best: Option<(u64, u64, routes::FlowKey, work::RequestKey)> = None;
        for &flow in &self.backlog {
            if !open(flow) {
                continue;
            }
            let it = &self.flows[flow];
            let Some(entry) = it.waiting.iter().find(|it| ready(it.key)) else {
                continue;
            };
            let tag = if order == Order::Weight { it.tag } else { 0 };
            if best.is_none_or(|best| (tag, entry.arrival) < (best.0, best.1)) {
                best = Some((tag, entry.arrival, flow, entry.key));
            }
        }
        best.map(|it| (it.2, it.3))
    }

    /// Returns the request to refuse when too many wait: the newest one of the flow with the most
    /// waiting requests in proportion to its weight, or the newest of all in order of arrival.
    pub(crate) fn drop_candidate(&self, order: Order) -> Option<work::RequestKey> {
        let excess = |flow: &FlowQueue| match order {
            Order::Arrival => 0,
            Order::Weight => flow.waiting.len() as u64 * TAG_SCALE / u64::from(flow.weight),
        };
        let newest = |flow: &FlowQueue| flow.waiting.back().map(|it| it.arrival);
        let flows = self.backlog.iter().map(|&it| &self.flows[it]);
        let flow = flows.max_by_key(|it| (excess(it), newest(it)))?;
        flow.waiting.back().map(|it| it.key)
    }

    /// Returns the slot time in microseconds that is expected to be used by waiting requests before
    /// a new request of the flow starts.
    pub(crate) fn cost_ahead(&self, flow: routes::FlowKey) -> u64 {
        let Some(it) = self.flows.get(flow) else {
            return 0;
        };
        let weight = u64::from(it.weight.max(1));
        let share = it.cost.saturating_mul(self.total_weight.max(weight)) / weight;
        share.min(self.total_cost)
    }

    /// Returns the keys of all waiting requests.
    pub(crate) fn keys(&self) -> impl Iterator<Item = work::RequestKey> {
        self.backlog.iter().flat_map(|&it| self.flows[it].waiting.iter().map(|it| it.key))
    }
}
