//! The waiting requests of one class, in weighted fair order among teams and routes.
//!
//! The algorithm is start-time fair queueing. The requests of one team, route and rank are a flow.
//! Each flow has a tag that grows with each start by the expected slot time of the request, divided
//! by the flow's weight. The flow with the lowest tag is next.

use std::collections;

use slotmap::SlotMap;
use world::contracts;

use crate::{routes, work};

/// Scale of tags, so that a cost of 1 µs is not rounded to zero at weight 100.
const TAG_SCALE: u64 = 1_000;

/// Flows without waiting requests whose tags are kept. A tag above the virtual time is what a flow
/// has used beyond its share; with more flows than this, the smallest such excess is forgotten.
const MAX_IDLE: usize = 64;

slotmap::new_key_type! {
    /// Key of a [`FlowQueue`].
    struct FlowQueueKey;
}

/// Identifies a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct FlowId {
    pub(crate) rank: u32,
    pub(crate) team: contracts::TeamKey,
    pub(crate) route: routes::FlowKey,
}

/// A waiting request.
#[derive(Debug)]
struct Waiting {
    key: work::RequestKey,
    /// Expected slot time in microseconds.
    cost: u64,
    /// Position in the order of arrival.
    arrival: u64,
}

/// The waiting requests of one flow, oldest first.
#[derive(Debug)]
struct FlowQueue {
    id: FlowId,
    /// Weight of the requests.
    worth: u32,
    /// Weight of the flow.
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
    flows: SlotMap<FlowQueueKey, FlowQueue>,
    index: collections::HashMap<FlowId, FlowQueueKey>,
    /// Flows with waiting requests; at most as many as there are waiting requests.
    backlog: Vec<FlowQueueKey>,
    /// Flows without waiting requests whose tag is above the virtual time.
    idle: collections::BTreeSet<(u64, FlowQueueKey)>,
    /// Highest tag at which a request has started. The tag of a flow that was idle starts here, so
    /// that a flow cannot save up its share while it is idle.
    virtual_time: u64,
    /// Sum of the costs of all waiting requests.
    total_cost: u64,
    /// Sum of the weights of the flows with waiting requests.
    total_weight: u64,
    /// Sum of the weights of the requests of these flows, one for each flow.
    total_worth: u64,
    len: usize,
    arrivals: u64,
}

/// The order in which flows with waiting requests get slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Order {
    Arrival,
    /// By rank, and by weight within a rank.
    Rank,
    Weight,
}

impl FlowQueue {
    fn new(id: FlowId) -> FlowQueue {
        let waiting = collections::VecDeque::new();
        FlowQueue { id, worth: 1, weight: 1, tag: 0, cost: 0, waiting }
    }

    /// What a slot time adds to the tag.
    fn charge(&self, cost: u64) -> u64 {
        cost * TAG_SCALE / u64::from(self.weight.max(1))
    }

    /// The number of waiting requests in proportion to their weight, scaled. What the team has sent
    /// of late does not count here, so a team that sends too much loses its requests first.
    fn excess(&self) -> u64 {
        self.waiting.len() as u64 * TAG_SCALE / u64::from(self.worth.max(1))
    }
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of waiting requests of a flow.
    pub(crate) fn waiting(&self, flow: FlowId) -> usize {
        self.find(flow).map_or(0, |it| it.waiting.len())
    }

    pub(crate) fn kept_flows(&self) -> usize {
        self.flows.len()
    }

    /// Adds a request. `worth` is its own weight and `weight` that of its flow.
    pub(crate) fn push(
        &mut self,
        flow: FlowId,
        (worth, weight): (u32, u32),
        key: work::RequestKey,
        cost: u64,
    ) {
        let at = *self.index.entry(flow).or_insert_with(|| self.flows.insert(FlowQueue::new(flow)));
        let it = &mut self.flows[at];
        if it.waiting.is_empty() {
            self.idle.remove(&(it.tag, at));
            it.tag = it.tag.max(self.virtual_time);
            self.backlog.push(at);
        } else {
            self.total_weight -= u64::from(it.weight);
            self.total_worth -= u64::from(it.worth);
        }
        // The weight changes with a new version of the configuration.
        (it.worth, it.weight) = (worth.max(1), weight.max(1));
        self.total_weight += u64::from(it.weight);
        self.total_worth += u64::from(it.worth);
        self.arrivals += 1;
        it.waiting.push_back(Waiting { key, cost, arrival: self.arrivals });
        it.cost += cost;
        self.total_cost += cost;
        self.len += 1;
    }

    /// Removes a request that will not start.
    pub(crate) fn remove(&mut self, flow: FlowId, key: work::RequestKey) {
        if let Some(at) = self.take(flow, key) {
            self.retire(at);
        }
    }

    /// Removes a request that starts, and charges its flow with the route's `mean` service time in
    /// microseconds. The time that the request will really take is not charged, so that one
    /// straggler does not starve the other requests of its flow.
    pub(crate) fn start(&mut self, flow: FlowId, key: work::RequestKey, mean: u64) {
        let Some(at) = self.take(flow, key) else {
            return;
        };
        let it = &mut self.flows[at];
        self.virtual_time = self.virtual_time.max(it.tag);
        it.tag += it.charge(mean.max(1));
        self.retire(at);
    }

    /// Returns the next request to start, among the flows that `open` accepts by their weight and the
    /// requests that `ready` accepts.
    pub(crate) fn next(
        &self,
        order: Order,
        open: impl Fn(FlowId, u32) -> bool,
        ready: impl Fn(work::RequestKey) -> bool,
    ) -> Option<(FlowId, work::RequestKey)> {
        let mut best: Option<((u32, u64, u64), FlowId, work::RequestKey)> = None;
        for (flow, it) in self.waiting_flows() {
            if !open(flow, it.worth) {
                continue;
            }
            let Some(entry) = it.waiting.iter().find(|it| ready(it.key)) else {
                continue;
            };
            let place = match order {
                Order::Arrival => (0, 0, entry.arrival),
                Order::Rank => (flow.rank, it.tag, entry.arrival),
                Order::Weight => (0, it.tag, entry.arrival),
            };
            if best.is_none_or(|best| place < best.0) {
                best = Some((place, flow, entry.key));
            }
        }
        best.map(|it| (it.1, it.2))
    }

    /// Returns the request to refuse when too many wait: the newest one of the flow that comes last
    /// by [`Queue::excess`], or the newest of all in order of arrival.
    pub(crate) fn drop_candidate(&self, order: Order) -> Option<work::RequestKey> {
        self.last_flow(order, |_, _| true)
    }

    /// Returns the request that gives way to one of this rank and weight: the newest one of the
    /// least urgent flow that is above its share and that the request outranks.
    pub(crate) fn displaceable(&self, urgency: (u32, u32)) -> Option<work::RequestKey> {
        self.last_flow(Order::Weight, |flow, it| {
            work::outranks(urgency, (flow.rank, it.worth)) && self.is_above_share(it)
        })
    }

    /// Returns whether a request waits that outranks one of this rank and weight.
    pub(crate) fn has_outranking(&self, urgency: (u32, u32)) -> bool {
        self.waiting_flows().any(|it| work::outranks((it.0.rank, it.1.worth), urgency))
    }

    /// Returns the slot time in microseconds of the waiting requests that one of this rank and weight
    /// does not outrank.
    pub(crate) fn firm_cost(&self, urgency: (u32, u32)) -> u64 {
        let firm = self.waiting_flows();
        let firm = firm.filter(|it| !work::outranks(urgency, (it.0.rank, it.1.worth)));
        firm.map(|it| it.1.cost).sum()
    }

    /// Returns the slot time in microseconds that is expected to be used by waiting requests before
    /// a new request of the flow starts.
    ///
    /// With teams, many flows may wait with one request each. All of them start before a new one of
    /// the same tag, which the part of a flow does not show.
    pub(crate) fn cost_ahead(&self, order: Order, flow: FlowId) -> u64 {
        if order == Order::Weight && flow.team != contracts::TeamKey::default() {
            return self.tags_ahead(flow);
        }
        if order != Order::Rank {
            return self.share_ahead(flow, self.total_cost, self.total_weight);
        }
        let (mut before, mut cost, mut weight) = (0, 0, 0);
        for (id, it) in self.waiting_flows() {
            if id.rank < flow.rank {
                before += it.cost;
            } else if id.rank == flow.rank {
                cost += it.cost;
                weight += u64::from(it.weight);
            }
        }
        before + self.share_ahead(flow, cost, weight)
    }

    /// Forgets what idle teams have used beyond their shares, since the keys of teams change with a
    /// new version of the configuration.
    pub(crate) fn forget_teams(&mut self) {
        let (index, flows) = (&mut self.index, &mut self.flows);
        self.idle.retain(|&(_, at)| {
            let id = flows[at].id;
            let kept = id.team == contracts::TeamKey::default();
            if !kept {
                index.remove(&id);
                flows.remove(at);
            }
            kept
        });
    }

    /// Returns the keys of all waiting requests.
    pub(crate) fn keys(&self) -> impl Iterator<Item = work::RequestKey> {
        self.waiting_flows().flat_map(|it| it.1.waiting.iter().map(|it| it.key))
    }

    fn find(&self, flow: FlowId) -> Option<&FlowQueue> {
        self.flows.get(*self.index.get(&flow)?)
    }

    fn waiting_flows(&self) -> impl Iterator<Item = (FlowId, &FlowQueue)> {
        self.backlog.iter().map(|&at| &self.flows[at]).map(|it| (it.id, it))
    }

    /// The slot time of the waiting requests with lower tags than a new request of the flow, or with
    /// the same one.
    fn tags_ahead(&self, flow: FlowId) -> u64 {
        let own = self.find(flow);
        let (tag, cost) = own.map_or((0, 0), |it| (it.tag, it.charge(it.cost)));
        let tag = tag.max(self.virtual_time) + cost;
        let ahead = self.waiting_flows().filter(|it| it.1.tag <= tag).map(|(_, it)| {
            let first = it.waiting.front().map_or(0, |it| it.cost);
            (first + (tag - it.tag) * u64::from(it.weight) / TAG_SCALE).min(it.cost)
        });
        ahead.sum()
    }

    /// The slot time ahead of a new request of the flow, among flows with these totals.
    fn share_ahead(&self, flow: FlowId, total_cost: u64, total_weight: u64) -> u64 {
        let Some(it) = self.find(flow) else {
            return 0;
        };
        let weight = u64::from(it.weight.max(1));
        let share = it.cost.saturating_mul(total_weight.max(weight)) / weight;
        share.min(total_cost)
    }

    fn last_flow(
        &self,
        order: Order,
        accept: impl Fn(FlowId, &FlowQueue) -> bool,
    ) -> Option<work::RequestKey> {
        let newest = |flow: &FlowQueue| flow.waiting.back().map(|it| it.arrival);
        let flows = self.waiting_flows().filter(|it| accept(it.0, it.1));
        let (_, flow) = flows.max_by_key(|it| (self.excess(order, it.0, it.1), newest(it.1)))?;
        flow.waiting.back().map(|it| it.key)
    }

    /// The order in which flows lose requests, highest last. Of the flows above their share of the
    /// queue, the least urgent one is the first to lose one, and of one rank the flow with the most
    /// waiting requests in proportion to its weight. A flow within its share loses none to a more
    /// urgent one, so that no team is starved.
    fn excess(&self, order: Order, flow: FlowId, it: &FlowQueue) -> (u32, u64) {
        let excess = it.excess();
        match order {
            Order::Arrival => (0, 0),
            Order::Rank => (flow.rank, excess),
            Order::Weight if self.is_above_share(it) => (flow.rank.saturating_add(1), excess),
            Order::Weight => (0, excess),
        }
    }

    /// Whether a flow has at least its part of the waiting requests by weight. One flow always has.
    fn is_above_share(&self, it: &FlowQueue) -> bool {
        it.excess() >= self.len as u64 * TAG_SCALE / self.total_worth.max(1)
    }

    /// Takes a request out of its flow.
    fn take(&mut self, flow: FlowId, key: work::RequestKey) -> Option<FlowQueueKey> {
        let at = *self.index.get(&flow)?;
        let it = &mut self.flows[at];
        let index = it.waiting.iter().position(|it| it.key == key)?;
        let entry = it.waiting.remove(index)?;
        it.cost -= entry.cost;
        self.total_cost -= entry.cost;
        self.len -= 1;
        if it.waiting.is_empty() {
            self.total_weight -= u64::from(it.weight);
            self.total_worth -= u64::from(it.worth);
            self.backlog.retain(|&it| it != at);
        }
        Some(at)
    }

    /// Marks a flow as idle if nothing of it waits, and removes the idle flows whose tags are no
    /// longer needed.
    fn retire(&mut self, at: FlowQueueKey) {
        let it = &self.flows[at];
        if it.waiting.is_empty() {
            self.idle.insert((it.tag, at));
        }
        while let Some(&(tag, idle)) = self.idle.first()
            && (tag <= self.virtual_time || self.idle.len() > MAX_IDLE)
        {
            self.idle.pop_first();
            if let Some(it) = self.flows.remove(idle) {
                self.index.remove(&it.id);
            }
        }
    }
}
