//! Checks of the records of controls, which any process can send before a mesh is formed.

use std::net;

use compact_str::{CompactString, format_compact};
use protocol::operators;
use world::bounds;

/// Most controls in a list. A list of them is at most half as long as one that can be received.
pub(super) const MAX_CONTROLS: usize = 1_024;

/// Why the record of a control is refused.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum Error {
    /// An address is not that of one process.
    #[error("one of its addresses cannot be connected to")]
    Address,
    /// The list is full.
    #[error("there are {MAX_CONTROLS} controls already")]
    Full,
    /// A name is empty, too long or has other characters than a name may have.
    #[error("its {0} is not a valid name")]
    Name(&'static str),
    /// A control with the same name has another operators' port.
    #[error("another control has its name")]
    NameInUse,
    /// Another process than the control sent the record.
    #[error("it was not sent from the address that it names")]
    Origin,
}

/// The result of a check of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Checks the bounds of a record.
///
/// # Errors
///
/// Returns the first field that is out of its bounds.
pub(super) fn check(record: &operators::ControlRecord) -> Result<()> {
    let names =
        [("name", &record.name), ("region", &record.region), ("data centre", &record.data_centre)];
    if let Some((field, _)) = names.iter().find(|(_, name)| !bounds::is_name(name)) {
        return Err(Error::Name(field));
    }
    if !bounds::is_unicast(record.addr) || !record.operators.is_none_or(bounds::is_unicast) {
        return Err(Error::Address);
    }
    Ok(())
}

/// Parses a stored list of controls. A list that is not complete or has an invalid record counts as
/// damaged.
///
/// # Errors
///
/// Returns what is wrong with the list.
pub(super) fn parse_stored(bytes: &[u8]) -> Result<operators::ControlList, CompactString> {
    let hosts: operators::ControlList =
        serde_json::from_slice(bytes).map_err(|err| format_compact!("{err}"))?;
    if !is_complete(&hosts) {
        return Err("the list is not complete".into());
    }
    for it in &hosts.controls {
        check(it).map_err(|err| {
            format_compact!("the record of {} is invalid: {err}", bounds::excerpt(&it.name))
        })?;
    }
    Ok(hosts)
}

/// Whether a list is the complete one of a mesh, which has a voter.
pub(super) fn is_complete(hosts: &operators::ControlList) -> bool {
    hosts.formed && hosts.controls.iter().any(|it| it.votes)
}

/// Whether the process at the address `from` may introduce a control with this operators' port.
pub(super) fn is_origin(operators: net::SocketAddr, from: net::SocketAddr) -> bool {
    operators.ip().to_canonical() == from.ip().to_canonical()
}

/// Removes the records that fail the check from a list that `source` sent.
pub(super) fn retain_valid(hosts: &mut operators::ControlList, source: net::SocketAddr) {
    let before = hosts.controls.len();
    hosts.controls.truncate(MAX_CONTROLS);
    hosts.controls.retain(|it| check(it).is_ok());
    let dropped = before - hosts.controls.len();
    if dropped > 0 {
        log::debug!("dropped {dropped} invalid records of controls that {source} returned");
    }
}
