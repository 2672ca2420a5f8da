//! The state machines of the replicated logs, and the encoding of their commands.

use agreement::entries;
use bytes::Bytes;
use protocol::proposals;
use replicated::{claims, controls, quarantine, rollouts, versions};
use serde::{Deserialize, Serialize};

use crate::{configuration, replica};

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
pub(crate) const CONFIGURATION: replica::StateMachine<configuration::State> =
    replica::StateMachine {
        apply: apply_configuration,
        encode: |state| encode(state),
        install: |state, data| {
            *state = configuration::State::decode(data)?;
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

fn apply_configuration(
    state: &mut configuration::State,
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
