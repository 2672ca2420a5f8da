//! Waiting work of one class, in weight-fair order among routes.
//!
//! The order is start-time fair queueing: a route's tag grows by the slot time that its work is
//! expected to take, divided by its weight, and the lowest tag is next.

use std::collections;

use slotmap::SecondaryMap;

use crate::{routes, work};

/// Scale of tags, so that a cost of 1 us still counts at weight 100.
const TAG_SCALE: u64 = 1_000;

#[derive(Debug)]
struct Waiting {
    key: work::RequestKey,
    /// Expected slot time in microseconds.
    cost: u64,
    arrival: u64,
}

#[derive(Debug, Default)]
struct FlowQueue {
    weight: u32,
    tag: u64,
    cost: u64,
    waiting: collections::VecDeque<Waiting>,
}

/// Waiting work of one class.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    flows: SecondaryMap<routes::FlowKey, FlowQueue>,
    backlog: Vec<routes::FlowKey>,
    /// Tag of the work that started last. A route that was idle starts from here, so that it
    /// cannot save up its share.
    virtual_time: u64,
    total_cost: u64,
    total_weight: u64,
    len: usize,
    arrivals: u64,
}

/// What decides between two routes that both have work.
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
        // A new version of the configuration may have changed the weight.
        it.weight = weight.max(1);
        self.total_weight += u64::from(it.weight);
        self.arrivals += 1;
        it.waiting.push_back(Waiting { key, cost, arrival: self.arrivals });
        it.cost += cost;
        self.total_cost += cost;
        self.len += 1;
    }

    /// Takes out a request that will not start.
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

    /// Takes out a request that starts, and charges its route. The charge is the mean of the
    /// route and not the time that this request will take, so that one straggler does not shut
    /// out the rest of its route.
    pub(crate) fn start(&mut self, flow: routes::FlowKey, key: work::RequestKey, mean: u64) {
        self.remove(flow, key);
        let it = &mut self.flows[flow];
        self.virtual_time = self.virtual_time.max(it.tag);
        it.tag += mean.max(1) * TAG_SCALE / u64::from(it.weight);
    }

    /// The next request, of the routes that `open` allows and the requests that `ready` allows.
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

    /// The request to give up when too many wait: the newest of the route that exceeds its share
    /// the most.
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

    /// Slot time in microseconds that is expected to be served before a new request of the flow.
    pub(crate) fn cost_ahead(&self, flow: routes::FlowKey) -> u64 {
        let Some(it) = self.flows.get(flow) else {
            return 0;
        };
        let weight = u64::from(it.weight.max(1));
        let share = it.cost.saturating_mul(self.total_weight.max(weight)) / weight;
        share.min(self.total_cost)
    }

    /// All waiting requests.
    pub(crate) fn keys(&self) -> impl Iterator<Item = work::RequestKey> {
        self.backlog.iter().flat_map(|&it| self.flows[it].waiting.iter().map(|it| it.key))
    }
}
