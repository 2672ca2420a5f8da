//! Sizes of the replicated state, as snapshots hold it.

use std::sync;

use replicated::{claims, versions};
use world::{document, requests};

use super::Table;

const CLAIMS: [u32; 3] = [1_000, 10_000, 100_000];
const VERSIONS: [u32; 3] = [100, 1_000, 10_000];
/// A body such as the acknowledgement of a registration.
const BODY: usize = 64;
const AT_MS: u64 = 1_790_000_000_000;

pub(super) fn measure() -> eyre::Result<()> {
    let mut table = Table::default();
    for count in CLAIMS {
        let mut state = claims::Claims::new(claims::Limits::default());
        for index in 0..count {
            for (step, action) in [claim(index), complete()].into_iter().enumerate() {
                let command = act(index, action);
                let entry = u64::from(index) * 2 + step as u64 + 1;
                let answer = state.apply(entry, &command);
                let expected = [claims::Answer::Granted, claims::Answer::Stored];
                eyre::ensure!(answer == expected[step], "claim {index}: {answer:?}");
            }
        }
        let bytes = postcard::to_stdvec(&state)?.len();
        table.add("claims, snapshot", "B", count, bytes as f64);
    }
    table.print("completed claims, key of 32 characters and answer of 64 B");
    let mut table = Table::default();
    for count in VERSIONS {
        let mut state = versions::Versions::default();
        for index in 0..count {
            let answer = state.apply(u64::from(index) + 1, &patch(index));
            let accepted = matches!(answer, versions::Answer::Accepted { .. });
            eyre::ensure!(accepted, "patch {index}: {answer:?}");
        }
        let bytes = postcard::to_stdvec(&state)?.len();
        table.add("versions, snapshot", "B", count, bytes as f64);
    }
    table.print("versions, one service");
    Ok(())
}

fn claim(index: u32) -> claims::Action {
    let fingerprint = requests::Fingerprint::of("logbook", "POST", "/logs", &index.to_le_bytes());
    claims::Action::Claim { fingerprint, limit_ms: 10_000 }
}

fn complete() -> claims::Action {
    claims::Action::Complete(claims::StoredAnswer {
        status: 201,
        headers: vec![("content-type".into(), "application/json".into())],
        body: vec![0; BODY].into(),
        cut: false,
    })
}

fn act(index: u32, action: claims::Action) -> claims::Command {
    let key = compact_str::format_compact!("{index:032x}");
    let name = claims::ClaimName { service: "logbook".into(), key };
    let attempt = claims::AttemptId(u128::from(index) | 1 << 120);
    claims::Command::Act { at_ms: AT_MS, name, attempt, action }
}

fn patch(index: u32) -> versions::Command {
    let slots = 1 + index % 1_000;
    let text = format!("{{\"services\":{{\"logbook\":{{\"slots\":{slots}}}}}}}");
    let patch = versions::Patch {
        base: document::Version(u64::from(index)),
        request: compact_str::format_compact!("request-{index}"),
        text: sync::Arc::from(text),
        operator: "bench".into(),
    };
    versions::Command { at_ms: AT_MS, level: document::LEVEL, patch }
}
