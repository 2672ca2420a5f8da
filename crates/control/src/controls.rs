//! Keeps the list of controls in the log and follows it: joins it, moves the seats of controls that
//! are gone, and passes the list on to the directory, the groups and the nodes.

use std::{sync, time};

use agreement::{events, status};
use compact_str::CompactString;
use protocol::{operators, proposals, streams};
use replicated::controls;

use crate::{directory, groups, proposing, settings, state};

/// Interval between two looks at the list of controls.
const INTERVAL: time::Duration = time::Duration::from_millis(500);
/// How long a control that stops waits until others have taken over its seats.
const HANDOVER_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Interval between two looks at the votes of a control that stops.
const HANDOVER_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Keeps the list of controls up to date until the task is aborted.
pub(crate) async fn maintain(state: sync::Arc<state::State>) {
    loop {
        let woken = state.controls_changed.notified();
        let _ = tokio::time::timeout(INTERVAL, woken).await;
        let shared = sync::Arc::clone(&state);
        let Ok(Some(command)) = state.pool.run(move || next_command(&shared)).await else {
            continue;
        };
        log::info!(target: "decision", "proposing a change of the controls: {command:?}");
        let joins = matches!(command, controls::Command::Join { .. });
        let request = proposals::Proposal::Controls(command);
        let outcome = match joins {
            true => proposing::propose(&state, request).await,
            false => proposing::propose_locally(&state, request).await,
        };
        log::debug!("the change of the controls was answered with {outcome:?}");
    }
}

/// The change that this control has to propose, if any: its own joining, or as the leader what
/// follows from the state of the others.
fn next_command(state: &state::State) -> Option<controls::Command> {
    let now = state.now();
    let (status, leads, current_at) = {
        let replica = state.configuration_replica.lock();
        let group = replica.group();
        (group.status(now), group.is_ready_leader(now), group.current_at(now))
    };
    let configuration = state.configuration_state.lock();
    let directory = state.directory.lock();
    let list = &configuration.controls;
    if list.is_empty() && leads {
        return Some(controls::Command::Form(initial_list(&state.settings, &directory)));
    }
    let own = directory.own_record()?;
    let silence = current_at.map(|it| now.since(it));
    let join = list.next_join(&own.name, &place(&own), silence);
    if join.is_some() || !leads {
        return join;
    }
    let observe = |it: &status::MemberStatus| controls::Observation {
        name: it.host.clone(),
        silence: it.silence,
        current: it.current,
        leaving: directory.is_leaving(now, &it.host),
    };
    let mut observed: Vec<_> = status.members.iter().map(observe).collect();
    observed.push(controls::Observation {
        leaving: directory.is_leaving(now, &own.name),
        name: own.name,
        silence: time::Duration::ZERO,
        current: true,
    });
    list.next_change(&observed)
}

/// The controls of the settings, which the first leader puts into the log.
fn initial_list(
    settings: &settings::Settings,
    directory: &directory::Directory,
) -> Vec<controls::Control> {
    let seats = |name: &str| {
        let key = settings.mesh.find_host(name);
        controls::Seats {
            configuration: key.is_some_and(|it| settings.config_voters.contains(&it)),
            claims: key.is_some_and(|it| settings.claims_voters.contains(&it)),
        }
    };
    let records = directory.records().into_iter();
    let control = |it: operators::ControlRecord| controls::Control {
        seats: seats(&it.name),
        place: place(&it),
        name: it.name,
    };
    records.map(control).collect()
}

fn place(it: &operators::ControlRecord) -> controls::Place {
    controls::Place {
        region: it.region.clone(),
        data_centre: it.data_centre.clone(),
        addr: it.addr,
    }
}

/// Passes the list of controls on after a change: to the directory, the groups and the nodes.
pub(crate) fn follow(state: &state::State) {
    let now = state.now();
    let list = {
        let configuration = state.configuration_state.lock();
        let mut directory = state.directory.lock();
        if configuration.controls.revision() <= directory.revision() {
            return;
        }
        directory.follow(now, &configuration.controls);
        configuration.controls.clone()
    };
    let text: Vec<_> = list.iter().map(|it| (&it.name, it.seats.configuration)).collect();
    log::info!(target: "decision", "controls, revision {}: {text:?}", list.revision());
    // Two threads can follow two revisions at the same time, so each takes the newest list in the
    // lock of the replica.
    groups::step_configuration_with(state, |_| {
        let configuration = state.configuration_state.lock();
        configure(&configuration.controls, |_| true, |it| it.configuration)
    });
    let region = &state.location.region;
    groups::step_claims_with(state, || {
        let configuration = state.configuration_state.lock();
        configure(&configuration.controls, |it| it.place.region == *region, |it| it.claims)
    });
    let records = state.directory.lock().records();
    state.distributor.lock().broadcast(&streams::ControlMessage::Controls(records));
}

/// The event that tells a group its hosts, which are the controls with `holds`.
fn configure(
    list: &controls::Controls,
    holds: impl Fn(&controls::Control) -> bool,
    votes: impl Fn(controls::Seats) -> bool,
) -> events::Event {
    let name = |it: &controls::Control| it.name.clone();
    let hosts: Vec<CompactString> = list.iter().filter(|it| holds(it)).map(name).collect();
    let voters = list.iter().filter(|it| holds(it) && votes(it.seats)).map(name).collect();
    events::Event::Configure { hosts, voters }
}

/// Whether a control that is connected as `host` may propose this change. It may only join, under the
/// name of its certificate; all else the leader decides. Its address is not checked: the others may
/// reach it by one that is translated on the way, and a link to it proves the name.
pub(crate) fn may_propose(command: &controls::Command, host: &str) -> bool {
    matches!(command, controls::Command::Join { name, .. } if name == host)
}

/// Before a planned stop, lets another control of the data centre take over this one's seats, if
/// there is one. Waits until this host no longer votes, for at most [`HANDOVER_LIMIT`].
pub(crate) async fn hand_over(state: &sync::Arc<state::State>) {
    let shared = sync::Arc::clone(state);
    let announced = state.pool.run(move || announce_stop(&shared)).await;
    if !matches!(announced, Ok(true)) {
        return;
    }
    state.controls_changed.notify_one();
    let end = tokio::time::Instant::now() + HANDOVER_LIMIT;
    while tokio::time::Instant::now() < end {
        let shared = sync::Arc::clone(state);
        let votes = move || shared.configuration_replica.lock().group().is_voter();
        if matches!(state.pool.run(votes).await, Ok(false)) {
            log::info!("another control has taken over the seats of this one");
            return;
        }
        tokio::time::sleep(HANDOVER_INTERVAL).await;
    }
    log::warn!("the seats of this control were not taken over within {HANDOVER_LIMIT:?}");
}

/// Tells the other controls that this one is about to stop. Returns false when no control could
/// take over its seats.
fn announce_stop(state: &state::State) -> bool {
    let host = &state.location.host;
    if !state.configuration_state.lock().controls.has_successor(host) {
        return false;
    }
    state.directory.lock().record_leaving(state.now(), host.clone());
    state.send_peers(&streams::PeerMessage::Leaving);
    true
}
