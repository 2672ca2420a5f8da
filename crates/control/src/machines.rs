//! The states above the replicated logs, and their commands as they stand in the log.

use agreement::entries;
use bytes::Bytes;
use protocol::proposals;
use replicated::{claims, quarantine, versions};
use serde::{Deserialize, Serialize};

use crate::replica;

/// The state above the configuration log.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Configuration {
    pub(crate) versions: versions::Versions,
    pub(crate) quarantine: quarantine::Quarantine,
}

/// An entry of the configuration log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Command {
    Evidence(quarantine::Command),
    Patch(versions::Command),
}

/// How the state above the configuration log is used.
pub(crate) const CONFIGURATION: replica::Machine<Configuration> = replica::Machine {
    apply: apply_configuration,
    encode: |state| encode(state),
    install: |state, data| {
        *state = postcard::from_bytes(data)?;
        Ok(())
    },
};

/// How the state above a claims log is used.
pub(crate) const CLAIMS: replica::Machine<claims::Claims> = replica::Machine {
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

/// Encodes a command or a state.
pub(crate) fn encode<T: Serialize>(value: &T) -> replica::Result<Bytes> {
    Ok(postcard::to_stdvec(value)?.into())
}

fn apply_configuration(
    state: &mut Configuration,
    index: entries::Index,
    payload: &[u8],
) -> replica::Result<proposals::Answer> {
    Ok(match postcard::from_bytes(payload)? {
        Command::Evidence(it) => proposals::Answer::Evidence(state.quarantine.apply(index.0, &it)),
        Command::Patch(it) => proposals::Answer::Patch(state.versions.apply(index.0, &it)),
    })
}
