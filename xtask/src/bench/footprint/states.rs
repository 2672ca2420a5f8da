//! Sizes of the snapshots of the replicated state, by the number of claims and versions. No
//! claim expires, since all commands carry the same time.

use std::sync;

use replicated::{claims, versions};
use world::{document, requests};

use super::Table;

const CLAIM_COUNTS: [u32; 3] = [1_000, 10_000, 100_000];
const VERSION_COUNTS: [u32; 3] = [100, 1_000, 10_000];
/// Body of a stored answer in bytes, about that of an acknowledged registration.
const BODY_BYTES: usize = 64;
/// Unix time of all commands in milliseconds.
const UNIX_MS: u64 = 1_790_000_000_000;

pub(super) fn measure() -> eyre::Result<()> {
    let mut table = Table::default();
    for count in CLAIM_COUNTS {
        let mut state = claims::Claims::new(claims::Limits::default());
        for index in 0..count {
            for (step, action) in [claim_action(index), complete_action()].into_iter().enumerate() {
                let command = claim_command(index, action);
                let log_index = u64::from(index) * 2 + step as u64 + 1;
                let answer = state.apply(log_index, &command);
                let expected = [claims::Answer::Granted, claims::Answer::Stored];
                eyre::ensure!(answer == expected[step], "claim {index}: {answer:?}");
            }
        }
        let bytes = postcard::to_stdvec(&state)?.len();
        table.add("claims, snapshot", "B", count, bytes as f64);
    }
    table.print("completed claims, key of 32 characters and answer of 64 B");
    let mut table = Table::default();
    for count in VERSION_COUNTS {
        let mut state = versions::Versions::default();
        for index in 0..count {
            let answer = state.apply(u64::from(index) + 1, &patch_command(index));
            let accepted = matches!(answer, versions::Answer::Accepted { .. });
            eyre::ensure!(accepted, "patch {index}: {answer:?}");
        }
        let bytes = postcard::to_stdvec(&state)?.len();
        table.add("versions, snapshot", "B", count, bytes as f64);
    }
    table.print("versions, one service");
    Ok(())
}

fn claim_action(index: u32) -> claims::Action {
    let fingerprint = requests::Fingerprint::of("logbook", "POST", "/logs", &index.to_le_bytes());
    claims::Action::Claim { fingerprint, limit_ms: 10_000 }
}

fn complete_action() -> claims::Action {
    claims::Action::Complete(claims::StoredAnswer {
        status: 201,
        headers: vec![("content-type".into(), "application/json".into())],
        body: vec![0; BODY_BYTES].into(),
        cut: false,
    })
}

fn claim_command(index: u32, action: claims::Action) -> claims::Command {
    let key = compact_str::format_compact!("{index:032x}");
    let name = claims::ClaimName { service: "logbook".into(), key };
    let attempt = claims::AttemptId(u128::from(index) | 1 << 120);
    claims::Command::Act { at_ms: UNIX_MS, name, attempt, action }
}

fn patch_command(index: u32) -> versions::Command {
    let slots = 1 + index % 1_000;
    let text = format!("{{\"services\":{{\"logbook\":{{\"slots\":{slots}}}}}}}");
    let patch = versions::Patch {
        base: document::Version(u64::from(index)),
        request: compact_str::format_compact!("request-{index}"),
        text: sync::Arc::from(text),
        operator: "bench".into(),
    };
    versions::Command { at_ms: UNIX_MS, level: document::LEVEL, patch }
}
