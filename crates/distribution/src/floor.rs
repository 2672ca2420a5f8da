//! Floor tokens: what a restarted node knows of the versions that it ran, and which versions it may
//! accept.

use std::{fmt, str, time};

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use world::document;

use crate::messages;

/// How long a restarted node waits for its backend server's announcement before it goes on without
/// a token. Longer than the lease of an announcement (2 s), so that a backend server that still
/// runs is not overlooked.
pub const ANNOUNCEMENT_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// The kind of control that a version came from, seen from the node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Source {
    /// The home control: the one of the node's own data centre.
    Home,
    /// A fallback control: the one of any other data centre, which the node attaches to while it
    /// cannot use its home control.
    Foster,
}

/// A version that bounds those that the node ran. Each of them either is at most `version` or came
/// from the node's home control, whose versions can be above `version`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Token {
    /// The latest version that the node had when it made the token.
    pub version: document::Version,
    /// The incarnation of the node process that made the token.
    pub epoch: u64,
}

/// Identifies a home control in floor tokens: a hash of its host's name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HomeId(pub u64);

/// What a backend server keeps in memory for its node across a restart of the node's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredToken {
    /// The versions that the node ran.
    pub token: Token,
    /// The home control that `token` speaks of. The home control of a restarted node can be another
    /// one, which does not have the versions that this one handed out.
    pub home: HomeId,
}

/// What a node knows of the token that its backend server holds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Floor {
    /// The backend server has not renewed its announcement yet, and may still do so.
    #[default]
    Unknown,
    /// The backend server holds no token, or has not announced itself within
    /// [`ANNOUNCEMENT_TIMEOUT`].
    Absent,
    /// The backend server holds this token.
    Held(Token),
}

/// The text is not a token of the form `2.VERSION.EPOCH.HOME`, with the numbers in hexadecimal.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("floor token is not of the form 2.VERSION.EPOCH.HOME with hexadecimal numbers")]
pub struct TokenError;

/// The result of parsing a token.
pub type Result<T, E = TokenError> = std::result::Result<T, E>;

impl HomeId {
    /// The identity of the control of this host: the 64-bit FNV-1a hash of its name, which is the
    /// same in each process and build.
    pub fn of(host: &str) -> HomeId {
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0100_0000_01b3;
        let add = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
        HomeId(host.bytes().fold(OFFSET_BASIS, add))
    }
}

impl StoredToken {
    /// The token as text. It is opaque to the backend server.
    pub fn encode(&self) -> CompactString {
        format_compact!("{self}")
    }
}

impl fmt::Display for StoredToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Token { version, epoch } = self.token;
        write!(f, "2.{:x}.{epoch:x}.{:x}", version.0, self.home.0)
    }
}

impl str::FromStr for StoredToken {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<StoredToken> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(TokenError);
        if next()? != "2" {
            return Err(TokenError);
        }
        let number = |it: &str| u64::from_str_radix(it, 16).map_err(|_| TokenError);
        let version = document::Version(number(next()?)?);
        let epoch = number(next()?)?;
        let home = HomeId(number(next()?)?);
        if next().is_ok() {
            return Err(TokenError);
        }
        Ok(StoredToken { token: Token { version, epoch }, home })
    }
}

impl Floor {
    /// The version of the token; version 0, below all versions, without one.
    pub fn version(&self) -> document::Version {
        match self {
            Floor::Held(token) => token.version,
            Floor::Absent | Floor::Unknown => document::Version(0),
        }
    }

    /// Whether a restarted node needs a proof that a version from `source` is recent enough.
    ///
    /// A token does not cover the versions that the home control sent after it was made. A
    /// fallback control that is behind could therefore send an older version than the last one run.
    pub fn needs_proof(&self, source: Source) -> bool {
        source == Source::Foster || !matches!(self, Floor::Held(_))
    }

    /// Whether a restarted node may accept `version` from `source` with this proof (rule R3).
    pub fn allows(
        &self,
        version: document::Version,
        source: Source,
        proof: messages::Proof,
    ) -> bool {
        if *self == Floor::Unknown || version < self.version() {
            return false;
        }
        match proof {
            messages::Proof::Current => true,
            messages::Proof::Heard => source == Source::Home,
            messages::Proof::None => !self.needs_proof(source),
        }
    }
}
