//! The controls of the mesh, as the node learns them: from its settings or the seeds at the start,
//! then from the control that it is attached to, and from the seeds while it reaches none.

use std::{net, sync};

use compact_str::CompactString;
use distribution::attach;
use protocol::operators;
use world::{bounds, hosts, mesh};

use crate::{attaching, state};

/// The controls that the node can attach to at its start. The control of its own data centre is the
/// home control.
pub(crate) fn attachment(mesh: &mesh::Mesh, location: &state::Location) -> attach::Attachment {
    let mut attachment = attach::Attachment::default();
    attachment.update(&listed(mesh, location, |_| true));
    attachment
}

/// The host name and the address of a control, if the node knows it.
pub(crate) fn find(
    state: &state::State,
    control: attach::ControlKey,
) -> Option<(CompactString, net::SocketAddr)> {
    let name = {
        let table = state.configuration.lock();
        table.updater.attachment().control(control)?.name.clone()
    };
    let mesh = state.mesh.lock();
    let host = mesh.host(mesh.find_host(&name)?)?;
    Some((name, host.addr))
}

/// Takes the list of a control. A control that reaches no leader may have an old one, so only what
/// it adds counts.
pub(crate) fn replace(
    state: &sync::Arc<state::State>,
    control: attach::ControlKey,
    records: &[operators::ControlRecord],
) {
    let is_current = {
        let table = state.configuration.lock();
        let link = table.updater.attachment().link.filter(|it| it.control == control);
        link.and_then(|it| it.ack).is_some_and(|(ack, _)| !ack.isolated)
    };
    update(state, records, if is_current { Update::Replace } else { Update::Add });
}

/// Adds controls that the seeds returned.
pub(crate) fn add(state: &sync::Arc<state::State>, records: &[operators::ControlRecord]) {
    update(state, records, Update::Add);
}

/// What a list of controls means for those that it does not have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Update {
    /// They stay.
    Add,
    /// They are gone.
    Replace,
}

/// Puts the records into the mesh, and tells the updater of all controls. Those that it has dropped
/// leave the mesh.
fn update(state: &sync::Arc<state::State>, records: &[operators::ControlRecord], update: Update) {
    if records.is_empty() {
        log::warn!("received an empty list of controls; the controls known so far are kept");
        return;
    }
    let now = state.now();
    let effects = {
        let mut table = state.configuration.lock();
        let table = &mut *table;
        let mut mesh = state.mesh.lock();
        for record in records.iter().filter(|it| it.name != state.location.host) {
            if bounds::is_unicast(record.addr) {
                mesh.put_control(&record.name, &record.region, &record.data_centre, record.addr);
            } else {
                // The address known so far stays in use.
                log::warn!("control {} cannot be reached at {}", record.name, record.addr);
            }
        }
        let before = names(table.updater.attachment());
        let is_listed = |name: &str| records.iter().any(|it| it.name == name);
        let stays = |name: &str| update == Update::Add && before.iter().any(|it| it == name);
        let listed = listed(&mesh, &state.location, |it| is_listed(it) || stays(it));
        let effects = table.updater.update_controls(now, &listed, &mut table.rng);
        log_change(&before, &names(table.updater.attachment()), update);
        remove_dropped(&mut mesh, table.updater.attachment());
        effects
    };
    attaching::apply_effects(state, effects);
}

/// The controls of the mesh for which `is_kept`: first those of the own data centre, then the
/// others by latency.
fn listed(
    mesh: &mesh::Mesh,
    location: &state::Location,
    is_kept: impl Fn(&str) -> bool,
) -> Vec<attach::Listed> {
    let mut controls: Vec<_> = mesh
        .hosts()
        .filter(|(_, it)| it.role == hosts::Role::Control && is_kept(&it.name))
        .map(|(_, it)| {
            let remote = it.data_centre != location.centre_key;
            (remote, mesh.latency(location.centre_key, it.data_centre), it.name.clone())
        })
        .collect();
    controls.sort();
    controls.into_iter().map(|(remote, _, name)| attach::Listed { name, local: !remote }).collect()
}

fn remove_dropped(mesh: &mut mesh::Mesh, attachment: &attach::Attachment) {
    let is_known = |name: &str| {
        let mut controls = attachment.keys().filter_map(|it| attachment.control(it));
        controls.any(|it| it.name == name)
    };
    let dropped: Vec<_> = mesh
        .hosts()
        .filter(|(_, it)| it.role == hosts::Role::Control && !is_known(&it.name))
        .map(|(_, it)| it.name.clone())
        .collect();
    for name in dropped {
        mesh.remove_host(&name);
    }
}

/// The controls that the node may try, the home control first.
fn names(attachment: &attach::Attachment) -> Vec<CompactString> {
    let controls = attachment.keys().filter_map(|it| attachment.control(it));
    controls.filter(|it| !it.gone).map(|it| it.name.clone()).collect()
}

fn log_change(before: &[CompactString], after: &[CompactString], update: Update) {
    if before != after {
        log::info!(
            target: "decision",
            "controls_changed update={update:?} home={} controls={} before={}",
            after.first().map_or("", |it| it),
            after.join(","),
            before.join(","),
        );
    }
}
