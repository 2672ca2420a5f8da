//! What a restarted node knows of the versions that it ran, and what it may take then.

use std::{fmt, str, time};

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use world::document;

use crate::messages;

/// How long a started node waits for its backend server's announcement before it counts its floor
/// as absent. Longer than the lease of an announcement (2 s), so that a backend server that is
/// there is not overlooked.
pub const ANNOUNCEMENT_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// The kind of control that a version came from.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Source {
    /// The control of the node's own data centre.
    Home,
    /// Any other control.
    Foster,
}

/// What a backend server keeps for its node over a restart of the node's process.
///
/// It means that each version that the node ran is at most `version` or was handed out by its home
/// control, which can be above `version`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Token {
    /// The version that the node was about to run.
    pub version: document::Version,
    /// The incarnation of the node's process that made the token.
    pub epoch: u64,
}

/// What a node knows of the token that its backend server holds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Floor {
    /// The backend server has not renewed its announcement yet, and may still do so.
    #[default]
    Unknown,
    /// It holds no token, or has not announced itself within [`ANNOUNCEMENT_TIMEOUT`].
    Absent,
    /// It holds this token.
    Held(Token),
}

/// A text that is not a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a floor token")]
pub struct TokenError;

/// A result of this module.
pub type Result<T, E = TokenError> = std::result::Result<T, E>;

impl Token {
    /// The token as opaque text for the backend server.
    pub fn encode(&self) -> CompactString {
        format_compact!("{self}")
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "1.{:x}.{:x}", self.version.0, self.epoch)
    }
}

impl str::FromStr for Token {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Token> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(TokenError);
        if next()? != "1" {
            return Err(TokenError);
        }
        let number = |it: &str| u64::from_str_radix(it, 16).map_err(|_| TokenError);
        let version = document::Version(number(next()?)?);
        let epoch = number(next()?)?;
        if next().is_ok() {
            return Err(TokenError);
        }
        Ok(Token { version, epoch })
    }
}

impl Floor {
    /// The version of the token; version 0 without one.
    pub fn version(&self) -> document::Version {
        match self {
            Floor::Held(token) => token.version,
            Floor::Absent | Floor::Unknown => document::Version(0),
        }
    }

    /// Whether a restarted node needs a proof for a version from `source`.
    ///
    /// A token says nothing about the versions that home handed out after it, so a version from a
    /// foster control that is not current could be older than the last one run.
    pub fn needs_proof(&self, source: Source) -> bool {
        source == Source::Foster || !matches!(self, Floor::Held(_))
    }

    /// Whether a restarted node may take `version` from `source`: the rule R3.
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
