//! The bounds of announcements, which may come from another writer than the backend server.

use std::time;

use compact_str::CompactString;
use world::bounds;

use crate::backend;

/// How far the start of a backend server may be ahead of this host's clock, which may have been set
/// back since. A start that is further ahead would keep the announcements of the real one out.
const MAX_AHEAD: time::Duration = time::Duration::from_secs(24 * 60 * 60);
/// The largest sequence. A number of nanoseconds since the Unix epoch fits.
const MAX_SEQUENCE: u64 = i64::MAX as u64;
/// The longest cold start.
const MAX_COLD: time::Duration = time::Duration::from_secs(60 * 60);
/// The longest name of a backend server's process, in bytes. It is sent with each request.
const MAX_INSTANCE_BYTES: usize = 256;

/// Why an announcement is refused.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum Error {
    /// The address is not that of one process.
    #[error("addr must be an IP address and a port that can be connected to")]
    Address,
    /// The cold start is longer than any that ends.
    #[error("cold_ms must be at most one hour")]
    ColdStart,
    /// The name of the process cannot be sent in a header.
    #[error("instance must have at most {MAX_INSTANCE_BYTES} visible ASCII characters")]
    Instance,
    /// The sequence leaves no room for later ones.
    #[error("sequence must be below 2^63")]
    Sequence,
    /// The service is not a name.
    #[error("service must have 1 to 64 ASCII letters, digits, '-', '_' or '.'")]
    Service,
    /// The number of slots is out of range.
    #[error("slots must be 1 to {}", bounds::MAX_SLOTS)]
    Slots,
    /// The start is in the future.
    #[error("incarnation must not be more than a day ahead of this host's clock")]
    Start,
    /// The software version cannot be stored or shown.
    #[error(
        "version must have at most {} bytes and no control characters",
        bounds::MAX_VERSION_BYTES
    )]
    Version,
    /// Neither the settings nor the running configuration name the service.
    #[error("service {0:?} is neither this host's nor one of the configuration's")]
    UnknownService(CompactString),
}

/// The result of a check of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Checks the bounds of an announcement, which limit what every registry of the mesh has to store.
/// `unix_time` is the time since the Unix epoch by this host's clock.
///
/// # Errors
///
/// Returns the first field that is out of its bounds.
pub fn check(announcement: &backend::Announcement, unix_time: time::Duration) -> Result<()> {
    let backend::Announcement { service, instance, .. } = announcement;
    if !(1..=bounds::MAX_SLOTS).contains(&announcement.slots) {
        return Err(Error::Slots);
    }
    if !bounds::is_name(service) {
        return Err(Error::Service);
    }
    if !bounds::is_unicast(announcement.addr) {
        return Err(Error::Address);
    }
    let latest = (unix_time + MAX_AHEAD).as_micros();
    if announcement.incarnation.is_some_and(|it| u128::from(it) > latest) {
        return Err(Error::Start);
    }
    if announcement.sequence > MAX_SEQUENCE {
        return Err(Error::Sequence);
    }
    if announcement.cold_ms.is_some_and(|it| u128::from(it) > MAX_COLD.as_millis()) {
        return Err(Error::ColdStart);
    }
    if !is_instance(instance) {
        return Err(Error::Instance);
    }
    if !bounds::is_software_version(&announcement.version) {
        return Err(Error::Version);
    }
    Ok(())
}

/// Whether a text may be the name of a backend server's process.
pub fn is_instance(text: &str) -> bool {
    text.len() <= MAX_INSTANCE_BYTES && text.bytes().all(|it| it.is_ascii_graphic())
}
