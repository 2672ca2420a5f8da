//! The answers to operators' orders of rollouts, independent of HTTP.

use std::sync;

use compact_str::{CompactString, format_compact};
use protocol::{operators as messages, proposals};
use replicated::rollouts as orders;
use world::rollouts;

use crate::{operators, proposing, state};

/// Orders a rollout. Returns once the order is in the log or refused.
pub(crate) async fn start(
    state: &sync::Arc<state::State>,
    request: messages::RolloutRequest,
) -> messages::RolloutAnswer {
    let messages::RolloutRequest { service, target, over_ms } = request;
    if !(orders::MIN_OVER_MS..=orders::MAX_OVER_MS).contains(&over_ms) {
        return messages::RolloutAnswer::Invalid("over must be 1 s to 24 h".into());
    }
    if !operators::is_current(state).await {
        return unavailable();
    }
    let shared = sync::Arc::clone(state);
    let (name, version) = (service.clone(), target.clone());
    let check = state.pool.run(move || find_fault(&shared, &name, &version)).await;
    match check {
        Ok(None) => {}
        Ok(Some(answer)) => return answer,
        Err(_) => return unavailable(),
    }
    let action =
        orders::Action::Start { service: service.clone(), target: target.clone(), over_ms };
    let outcome = proposing::propose(state, proposals::Proposal::Rollout(action)).await;
    let proposals::Outcome::Answered(proposals::Answer::Rollout(answer)) = outcome else {
        return unavailable();
    };
    log::info!(target: "decision", "order of {service} to {target} over {over_ms} ms: {answer:?}");
    match answer {
        orders::Answer::Accepted(it) | orders::Answer::Changed(it) => {
            messages::RolloutAnswer::State(record(&it))
        }
        orders::Answer::Conflict(it) => messages::RolloutAnswer::Conflict(format_compact!(
            "the order of {} to {} over {} ms is in progress; wait for its end",
            it.service,
            it.target,
            it.over_ms,
        )),
        orders::Answer::Unchanged => unavailable(),
    }
}

/// The state of the last order of a service.
pub(crate) async fn show(
    state: &sync::Arc<state::State>,
    service: CompactString,
) -> messages::RolloutAnswer {
    if !operators::is_current(state).await {
        return unavailable();
    }
    let shared = sync::Arc::clone(state);
    let read = move || shared.configuration_state.lock().rollouts.get(&service).map(record);
    match state.pool.run(read).await {
        Ok(Some(it)) => messages::RolloutAnswer::State(it),
        Ok(None) => messages::RolloutAnswer::Unknown("there is no order for the service".into()),
        Err(_) => unavailable(),
    }
}

/// The refusal of an order for an unknown service or version; none when it repeats the last one,
/// since the targets may be gone after its end. A control that has just started may not know all
/// targets yet.
fn find_fault(
    state: &state::State,
    service: &str,
    target: &str,
) -> Option<messages::RolloutAnswer> {
    let configuration = state.configuration_state.lock();
    if configuration.rollouts.get(service).is_some_and(|it| it.target == target) {
        return None;
    }
    let known = configuration.versions.document().services.contains_key(service);
    drop(configuration);
    if !known {
        let detail = format_compact!("the configuration has no service {service:?}");
        return Some(messages::RolloutAnswer::Invalid(detail));
    }
    let registry = state.registry.lock();
    let targets = registry.targets();
    let mut keys = targets.of_service(service).iter();
    if keys.any(|&it| targets.get(it).is_some_and(|it| it.entry.version == target)) {
        return None;
    }
    if !registry.is_settled(state.now()) {
        return Some(unavailable());
    }
    let detail = format_compact!("no target of {service} has announced the version {target:?}");
    Some(messages::RolloutAnswer::Invalid(detail))
}

fn record(order: &rollouts::Order) -> messages::RolloutRecord {
    let state = match order.state {
        rollouts::State::Running(_) => messages::RolloutState::Running,
        rollouts::State::Complete => messages::RolloutState::Complete,
        rollouts::State::RolledBack => messages::RolloutState::RolledBack,
    };
    messages::RolloutRecord { state, target: order.target.clone() }
}

fn unavailable() -> messages::RolloutAnswer {
    let detail = "this control cannot tell the state of rollouts; send this again, to any control";
    messages::RolloutAnswer::Unavailable(detail.into())
}
