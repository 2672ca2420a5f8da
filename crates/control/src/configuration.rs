//! The replicated state of the configuration log, as snapshots hold it.

use replicated::{controls, quarantine, rollouts, versions};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The result of decoding a snapshot.
pub type Result<T, E = postcard::Error> = std::result::Result<T, E>;

/// The state that the commands of the configuration log are applied to.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct State {
    /// The versions of the configuration.
    pub versions: versions::Versions,
    /// The requests that crash backend servers.
    pub quarantine: quarantine::Quarantine,
    /// The controls of the mesh.
    pub controls: controls::Controls,
    /// The rollouts of services to other software versions.
    pub rollouts: rollouts::Rollouts,
}

impl State {
    /// Decodes a snapshot. One that was written before the controls were part of the state ends
    /// after the quarantine, and one from before the rollouts after the controls.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the snapshot is not valid.
    pub fn decode(data: &[u8]) -> Result<State> {
        let (versions, rest) = postcard::take_from_bytes(data)?;
        let (quarantine, rest) = postcard::take_from_bytes(rest)?;
        let (controls, rest) = take_or_default(rest)?;
        let (rollouts, _) = take_or_default(rest)?;
        Ok(State { versions, quarantine, controls, rollouts })
    }
}

/// Decodes the next part of a snapshot, or its default where the snapshot ends before it.
fn take_or_default<T: Default + DeserializeOwned>(data: &[u8]) -> Result<(T, &[u8])> {
    if data.is_empty() {
        return Ok((T::default(), data));
    }
    postcard::take_from_bytes(data)
}
