//! The state machines of the replicated logs, and the encoding of their commands.

use agreement::entries;
use bytes::Bytes;
use protocol::proposals;
use replicated::{claims, controls, quarantine, rollouts, versions};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::replica;

/// The state that the commands of the configuration log are applied to.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct ConfigurationState {
    pub(crate) versions: versions::Versions,
    pub(crate) quarantine: quarantine::Quarantine,
    pub(crate) controls: controls::Controls,
    pub(crate) rollouts: rollouts::Rollouts,
}

/// A command in the configuration log. It is stored as postcard, so the order of the variants is
/// part of the format on disk.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Command {
    Evidence(quarantine::Command),
    Patch(versions::Command),
    Controls(controls::Command),
    Rollout(rollouts::Command),
}

/// The state machine of the configuration log.
pub(crate) const CONFIGURATION: replica::StateMachine<ConfigurationState> = replica::StateMachine {
    apply: apply_configuration,
    encode: |state| encode(state),
    install: |state, data| {
        *state = decode_configuration(data)?;
        Ok(())
    },
};

/// The state machine of a region's claims log.
pub(crate) const CLAIMS: replica::StateMachine<claims::Claims> = replica::StateMachine {
    apply: |state, index, payload| {
        let command = postcard::from_bytes(payload)?;
        Ok(proposals::Answer::Claim(state.apply(index.0, &command)))
    },
    encode: |state| encode(state),
    install: |state, data| {
        *state = postcard::from_bytes(data)?;
        Ok(())
    },
};

/// Encodes a command for the log, or a state for a snapshot.
pub(crate) fn encode<T: Serialize>(value: &T) -> replica::Result<Bytes> {
    Ok(postcard::to_stdvec(value)?.into())
}

/// Decodes a snapshot. One that was written before the controls were part of the state ends after
/// the quarantine, and one from before the rollouts after the controls.
fn decode_configuration(data: &[u8]) -> replica::Result<ConfigurationState> {
    let (versions, rest) = postcard::take_from_bytes(data)?;
    let (quarantine, rest) = postcard::take_from_bytes(rest)?;
    let (controls, rest) = take_or_default(rest)?;
    let (rollouts, _) = take_or_default(rest)?;
    Ok(ConfigurationState { versions, quarantine, controls, rollouts })
}

/// Decodes the next part of a snapshot, or its default where the snapshot ends before it.
fn take_or_default<T: Default + DeserializeOwned>(data: &[u8]) -> replica::Result<(T, &[u8])> {
    if data.is_empty() {
        return Ok((T::default(), data));
    }
    Ok(postcard::take_from_bytes(data)?)
}

fn apply_configuration(
    state: &mut ConfigurationState,
    index: entries::Index,
    payload: &[u8],
) -> replica::Result<proposals::Answer> {
    Ok(match postcard::from_bytes(payload)? {
        Command::Evidence(it) => proposals::Answer::Evidence(state.quarantine.apply(index.0, &it)),
        Command::Patch(it) => proposals::Answer::Patch(state.versions.apply(index.0, &it)),
        Command::Controls(it) => proposals::Answer::Controls(state.controls.apply(&it)),
        Command::Rollout(it) => proposals::Answer::Rollout(state.rollouts.apply(index.0, &it)),
    })
}
