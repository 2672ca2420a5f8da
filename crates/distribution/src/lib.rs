//! Distribution of configuration versions from controls to nodes.
//!
//! A node is attached to one control at a time. Its *home control* is the one of its own data
//! centre; after a replacement that is another host. While that one cannot be reached, or cannot
//! reach a leader, the node attaches to a control of another data centre, a *fallback control*.
//!
//! The control's side is [`relay`]: it sends each committed version to the attached nodes. The
//! node's side is [`updater`]: it decides when a received version may run. A restarted node must
//! not run an older version than before the restart. Nodes keep nothing on disk, so the backend
//! server holds a *floor token* for its node ([`floor`]).
//!
//! Nothing here does I/O: the caller passes in the time and the messages, and performs the
//! effects that are returned.

pub mod attach;
pub mod floor;
mod homes;
pub mod messages;
pub mod relay;
mod serving;
mod sessions;
pub mod subscribers;
mod swap;
pub mod toggles;
pub mod updater;
