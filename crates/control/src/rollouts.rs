//! Follows the rollouts in progress: adds up what the nodes report, tells the other controls, and
//! proposes the next step. What is counted here is not replicated: nodes report totals, so another
//! control has them within a round of reports.

use std::{collections, sync, time as std_time};

use compact_str::CompactString;
use distribution::subscribers;
use protocol::{proposals, rollouts as messages, streams};
use replicated::rollouts as orders;
use routing::{progress, tallies};
use tokio::task;
use world::{rollouts, time};

use crate::{instruments, proposing, state};

/// How often reports are added up, passed on and judged.
const INTERVAL: std_time::Duration = std_time::Duration::from_millis(250);
/// How long the report of a node or the summary of a control counts. It covers a few lost ones.
const REPORT_AGE: std_time::Duration = std_time::Duration::from_millis(1_500);
/// How much older than its last contact the state of an attached node without a report counts. A
/// node that changes its control has sessions with two, and reports to one.
const UNREPORTED_AGE: std_time::Duration = std_time::Duration::from_secs(1);
/// How long a proposed step is waited for before it is proposed again.
const PROPOSAL_PAUSE: std_time::Duration = std_time::Duration::from_millis(500);

/// What a control knows of the rollouts in progress.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    /// The list that was last sent to the nodes.
    sent: messages::List,
    /// The last reports of the attached nodes, by host.
    reports: collections::BTreeMap<CompactString, (Vec<messages::Report>, time::Time)>,
    /// The last summaries of the other controls, by host.
    summaries: collections::BTreeMap<CompactString, (Vec<messages::Summary>, time::Time)>,
    watched: collections::BTreeMap<rollouts::OrderId, Watched>,
}

#[derive(Debug)]
struct Watched {
    watch: progress::Watch,
    /// When this control last proposed a step.
    proposed: Option<time::Time>,
}

/// Follows the rollouts until the task is aborted.
pub(crate) async fn run(state: sync::Arc<state::State>) {
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut proposals = task::JoinSet::new();
    loop {
        interval.tick().await;
        while proposals.try_join_next().is_some() {}
        let shared = sync::Arc::clone(&state);
        let Ok(actions) = state.pool.run(move || tick(&shared)).await else { continue };
        for action in actions {
            proposals.spawn(propose(sync::Arc::clone(&state), action));
        }
    }
}

async fn propose(state: sync::Arc<state::State>, action: orders::Action) {
    let request = proposals::Proposal::Rollout(action.clone());
    let outcome = proposing::propose(&state, request).await;
    if let proposals::Outcome::Answered(proposals::Answer::Rollout(answer)) = outcome {
        log::info!(target: "decision", "rollout step {action:?} was answered with {answer:?}");
    } else {
        log::debug!("no leader answered the rollout step {action:?}; it is proposed again");
    }
}

/// Records the reports of an attached node.
pub(crate) fn record_reports(state: &state::State, host: &str, reports: Vec<messages::Report>) {
    let now = state.now();
    state.rollouts.lock().reports.insert(host.into(), (reports, now));
}

/// Records the summaries of another control.
pub(crate) fn record_summaries(
    state: &state::State,
    host: CompactString,
    summaries: Vec<messages::Summary>,
) {
    let now = state.now();
    state.rollouts.lock().summaries.insert(host, (summaries, now));
}

/// Sends the rollouts to a node that has just attached.
pub(crate) fn send_list(state: &state::State, key: subscribers::SubscriberKey) {
    let configuration = state.configuration_state.lock();
    let rollouts = state.rollouts.lock();
    let list = messages::List {
        orders: configuration.rollouts.iter().cloned().collect(),
        ..rollouts.sent.clone()
    };
    state.distributor.lock().send(key, streams::ControlMessage::Rollouts(list));
}

/// Sends the rollouts to all nodes when they, or what this control knows of them, have changed.
pub(crate) fn publish(state: &state::State) {
    let now = state.now();
    // Ranks forbid to ask the replica while the state is locked.
    let current = !state.configuration_replica.lock().group().is_isolated(now);
    let configuration = state.configuration_state.lock();
    let mut rollouts = state.rollouts.lock();
    let orders: Vec<_> = configuration.rollouts.iter().cloned().collect();
    let running =
        |id: &rollouts::OrderId| orders.iter().any(|it| it.id == *id && it.state.stage().is_some());
    rollouts.watched.retain(|id, _| running(id));
    let faulty = rollouts.watched.iter().filter(|(_, it)| it.watch.fault().is_some());
    let held = faulty.map(|it| *it.0).collect();
    let list = messages::List { orders, held, current };
    if list == rollouts.sent || list.orders.is_empty() {
        return;
    }
    log_changes(&rollouts.sent, &list);
    rollouts.sent = list.clone();
    state.distributor.lock().broadcast(&streams::ControlMessage::Rollouts(list));
}

fn log_changes(before: &messages::List, after: &messages::List) {
    for order in after.orders.iter().filter(|it| !before.orders.contains(it)) {
        log::info!(
            target: "decision",
            "rollout of {} to {}: {:?}, ordered over {} ms",
            order.service,
            order.target,
            order.state,
            order.over_ms,
        );
    }
}

/// Adds up the reports, tells the other controls and the nodes, and returns the steps to propose.
fn tick(state: &state::State) -> Vec<orders::Action> {
    let orders: Vec<_> = {
        let configuration = state.configuration_state.lock();
        let all = configuration.rollouts.iter();
        all.filter(|it| it.state.stage().is_some()).cloned().collect()
    };
    if orders.is_empty() {
        let mut rollouts = state.rollouts.lock();
        rollouts.reports.clear();
        rollouts.summaries.clear();
        return Vec::new();
    }
    let now = state.now();
    let leads = state.configuration_replica.lock().group().is_ready_leader(now);
    let attached = attached_nodes(state);
    let mut summaries = Vec::new();
    let mut actions = Vec::new();
    {
        let mut rollouts = state.rollouts.lock();
        for order in &orders {
            let (summary, total) = rollouts.add_up(now, order, &attached);
            summaries.push(summary);
            actions.extend(rollouts.next_action(now, order, total, leads, &state.instruments));
        }
    }
    state.send_peers(&streams::PeerMessage::Rollouts(summaries));
    publish(state);
    actions
}

/// The attached nodes and when each was last heard of.
fn attached_nodes(state: &state::State) -> Vec<(CompactString, time::Time)> {
    let distributor = state.distributor.lock();
    let nodes = distributor.relay.subscribers().iter();
    nodes.map(|(_, it)| (it.hello.node.clone(), it.last_contact)).collect()
}

impl Rollouts {
    /// Adds up what the attached nodes report of an order, and what all nodes do.
    fn add_up(
        &mut self,
        now: time::Time,
        order: &rollouts::Order,
        attached: &[(CompactString, time::Time)],
    ) -> (messages::Summary, tallies::Tally) {
        let mut own = tallies::Tally::default();
        let mut nodes = Vec::new();
        let age_ms = |at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        let mut state = |host: &CompactString, moved, at| {
            nodes.push(messages::NodeState { host: host.clone(), moved, age_ms: age_ms(at) });
        };
        let now_ms = state::unix_time_ms();
        for (host, (reports, at)) in &self.reports {
            let Some(it) = reports.iter().find(|it| it.order == order.id) else { continue };
            if now.since(*at) < REPORT_AGE {
                own.add(&it.tally);
            }
            let moved = progress::has_moved(order, now_ms, it.stage, it.busy, it.unsafe_busy);
            state(host, moved, *at);
        }
        let reported =
            |host: &str| self.reports.get(host).is_some_and(|it| has_report(&it.0, order.id));
        for (host, at) in attached.iter().filter(|it| !reported(&it.0)) {
            state(host, false, at.checked_sub(UNREPORTED_AGE).unwrap_or_default());
        }
        let mut total = own.clone();
        let watched = self
            .watched
            .entry(order.id)
            .or_insert_with(|| Watched { watch: progress::Watch::new(now), proposed: None });
        for (summaries, at) in self.summaries.values() {
            let Some(it) = summaries.iter().find(|it| it.order == order.id) else { continue };
            if now.since(*at) < REPORT_AGE {
                total.add(&it.tally);
            }
            record_nodes(&mut watched.watch, *at, &it.nodes);
        }
        record_nodes(&mut watched.watch, now, &nodes);
        (messages::Summary { order: order.id, tally: own, nodes }, total)
    }

    /// Judges the answers to an order's requests and returns the step to propose, if any.
    fn next_action(
        &mut self,
        now: time::Time,
        order: &rollouts::Order,
        total: tallies::Tally,
        leads: bool,
        instruments: &instruments::Instruments,
    ) -> Option<orders::Action> {
        let Watched { watch, proposed } = self.watched.get_mut(&order.id)?;
        let known = watch.fault().is_some();
        watch.record_answers(now, order, total);
        if let Some(fault) = watch.fault().filter(|_| !known) {
            log::warn!(
                target: "decision",
                "rollout of {} to {} is bad: {fault}",
                order.service,
                order.target,
            );
        }
        let step = watch.next(now, state::unix_time_ms(), order, leads)?;
        if proposed.is_some_and(|it| now.since(it) < PROPOSAL_PAUSE) {
            return None;
        }
        *proposed = Some(now);
        instruments.count_rollout_step(&step);
        log::info!(
            target: "decision",
            "rollout of {} to {}: proposing {step:?} after {}",
            order.service,
            order.target,
            watch.total(),
        );
        Some(match step {
            progress::Step::Advance(stage) => orders::Action::Advance(order.id, stage),
            progress::Step::Complete => orders::Action::Complete(order.id),
            progress::Step::RollBack(_) => orders::Action::RollBack(order.id),
        })
    }
}

fn has_report(reports: &[messages::Report], order: rollouts::OrderId) -> bool {
    reports.iter().any(|it| it.order == order)
}

fn record_nodes(watch: &mut progress::Watch, at: time::Time, nodes: &[messages::NodeState]) {
    for it in nodes {
        let age = std_time::Duration::from_millis(it.age_ms);
        watch.record_node(&it.host, it.moved, at.checked_sub(age).unwrap_or_default());
    }
}
