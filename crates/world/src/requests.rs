//! Properties of a request that several components use: its class, call depth and fingerprint.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::time::Time;

/// Largest depth of a chain of calls. A deeper call is refused, which ends loops between services.
pub const MAX_DEPTH: u8 = 15;

/// Who sent a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Class {
    /// A caller outside the mesh.
    Caller,
    /// A backend server, as a call made while it runs another request.
    Internal,
}

/// On whose behalf a request runs, how urgent it is and until when. The node that takes it from a
/// caller makes the context, and the request keeps it up to the slot of its target. A call of a
/// backend server has the context of the request that it is made for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Context {
    /// The name of the team whose API key the caller sent; empty for none.
    pub team: CompactString,
    /// Priority from 0, the most urgent one.
    pub rank: u32,
    /// Weight against other requests at the same target, at least 1.
    pub worth: u32,
    /// The time until which an answer meets the latency objective. A later one counts as late.
    pub objective: Time,
    /// When the caller stops waiting; a later answer is useless.
    pub deadline: Time,
}

impl Context {
    /// Returns the context of a request that was sent at `sent` by its sender's clock, with its
    /// times on the clock of the receiver, who takes `sent` for its own time `now`.
    pub fn received(self, sent: Time, now: Time) -> Context {
        Context {
            objective: now + self.objective.since(sent),
            deadline: now + self.deadline.since(sent),
            ..self
        }
    }

    /// Returns the context of a call that is made for this request and has the deadline `own`.
    pub fn of_call(&self, own: Time) -> Context {
        Context { deadline: self.deadline.min(own), ..self.clone() }
    }
}

/// Identifies equal requests by the SHA-256 of what makes them equal.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(pub [u8; 32]);

impl Fingerprint {
    /// Computes the fingerprint of a request's content, which is the same at whatever host the
    /// request is sent. The path includes the query.
    pub fn of(service: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
        digest(&[service.as_bytes(), method.as_bytes(), path.as_bytes(), body])
    }

    /// Computes the fingerprint of a request as a backend server gets it, from that of its content,
    /// the virtual host of its route, and what the backend server is told about its caller. Whether
    /// a request crashes a backend server can depend on each of these.
    ///
    /// The idempotency key is left out, since a caller may send a crashing request under a new key.
    pub fn as_received(self, host: &str, caller: &[u8]) -> Fingerprint {
        digest(&[&self.0, host.as_bytes(), caller])
    }
}

fn digest(parts: &[&[u8]]) -> Fingerprint {
    let mut sha = sha2::Sha256::new();
    for part in parts {
        // The length prefix makes ("a", "bc") differ from ("ab", "c").
        sha.update((part.len() as u64).to_le_bytes());
        sha.update(part);
    }
    Fingerprint(sha.finalize().into())
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(8).try_for_each(|it| write!(f, "{it:02x}"))
    }
}
