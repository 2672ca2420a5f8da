//! The format of a control's data folder. `write_fixture` wrote `fixtures/data-1`. A new format
//! gets a fixture folder of its own; later builds still read this one, or name its format version
//! when they refuse it.

use std::{fmt::Write as _, fs, path, time};

use agreement::entries;
use bytes::Bytes;
use heatherwalk::metrics;
use protocol::{proposals, streams};
use replicated::{claims, quarantine};
use serde_json::json;
use transport::{identity, links};
use world::{hosts, requests};

use crate::mesh;

/// The number of entries after which a control takes a snapshot.
const SNAPSHOT_ENTRIES: u64 = 4_096;
/// The number of concurrent proposals, well below the limit of streams on a link.
const MAX_IN_FLIGHT: u64 = 64;
/// Longer than a control takes to become the leader and to fail.
const FAILED_FOR: time::Duration = time::Duration::from_secs(6);
/// The name of a kind of damage, and a function that does it to a data folder.
type Damage = (&'static str, fn(&path::Path));

fn fixture() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/contracts/fixtures/data-1")
}

fn copy_data(from: &path::Path, to: &path::Path) {
    for file in ["configuration/log", "configuration/snapshot", "claims/log"] {
        let target = to.join(file);
        fs::create_dir_all(target.parent().expect("a folder")).expect("creates");
        fs::copy(from.join(file), target).expect("copies");
    }
}

fn edit(path: &path::Path, change: impl FnOnce(&mut Vec<u8>)) {
    let mut bytes = fs::read(path).expect("reads");
    change(&mut bytes);
    fs::write(path, bytes).expect("writes");
}

async fn start(folder: &path::Path) -> Result<mesh::Mesh, control::running::Error> {
    let authority = identity::Authority::create().expect("creates");
    let metrics = metrics::Metrics::new().expect("opens");
    let data = folder.join("data");
    let control = mesh::spawn_control(&authority, data, 1, &metrics).await?;
    let folder = tempfile::tempdir().expect("a folder");
    Ok(mesh::Mesh { authority, control, folder, metrics })
}

/// Guards against a build that can't read files of the format, or reads other values from them.
#[tokio::test(flavor = "multi_thread")]
async fn opens_the_fixture() {
    let folder = tempfile::tempdir().expect("a folder");
    copy_data(&fixture(), &folder.path().join("data"));
    let mesh = start(folder.path()).await.expect("opens");
    let api = mesh.api();
    let current = api.until(|| api.get("/v1/versions/current"), |it| it.0 == 200).await;
    let mut out = format!("current: {}\nhistory: {}\n", current.1, api.get("/v1/versions").await.1);
    // Answers are stored by request ID: r-2 is in the snapshot, r-3 in the log after it.
    for (base, id, weight) in [(1, "r-2", 7), (2, "r-3", 8), (2, "r-3", 9), (2, "r-4", 9)] {
        let patch = json!({"routes": {"logs": {"weight": weight}}});
        let (status, body) = api.patch(base, id, &patch).await;
        writeln!(out, "{id}: {status} {}", body["result"]).expect("text");
    }
    mesh.control.stop().await;

    // Claims expire after 24 h by the wall clock, so the entries are applied here at the times that
    // they were written with.
    let mut log = storage::log::Log::open(&folder.path().join("data/claims"), "claims-vidzeme")
        .expect("opens");
    let mut state = claims::Claims::new(claims::Limits::default());
    for entry in log.take_restored().entries {
        let entries::Payload::Command(payload) = entry.payload else { continue };
        let command: claims::Command = postcard::from_bytes(&payload).expect("a command");
        let answer = state.apply(entry.position.index.0, &command);
        // The control started above has appended entries that expire the claims.
        if answer != claims::Answer::Expired {
            writeln!(out, "claim entry {}: {answer:?}", entry.position.index).expect("text");
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against a control that starts from files that are damaged or belong to another log, and
/// against an error that doesn't name the file, the offset and the next step.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_bad_files() {
    let cases: [Damage; 9] = [
        ("unknown format version", |dir| edit(&dir.join("configuration/log"), |it| it[8] = 9)),
        ("unknown snapshot version", |dir| {
            edit(&dir.join("configuration/snapshot"), |it| it[8] = 9);
        }),
        ("another log's file", |dir| {
            fs::copy(dir.join("claims/log"), dir.join("configuration/log")).expect("copies");
        }),
        ("missing snapshot", |dir| {
            fs::remove_file(dir.join("configuration/snapshot")).expect("removes");
        }),
        ("missing log", |dir| fs::remove_file(dir.join("configuration/log")).expect("removes")),
        ("damaged record", |dir| edit(&dir.join("claims/log"), |it| it[70] ^= 1)),
        ("damaged header", |dir| edit(&dir.join("claims/log"), |it| it[22] ^= 1)),
        ("damaged snapshot", |dir| {
            edit(&dir.join("configuration/snapshot"), |it| *it.last_mut().expect("bytes") ^= 1);
        }),
        ("not a log", |dir| fs::write(dir.join("claims/log"), "text of a file").expect("writes")),
    ];
    let mut out = String::new();
    for (name, damage) in cases {
        let folder = tempfile::tempdir().expect("a folder");
        let data = folder.path().join("data");
        copy_data(&fixture(), &data);
        damage(&data);
        let error = start(folder.path()).await.err().expect(name).to_string();
        let text = error.replace(folder.path().to_str().expect("UTF-8"), "DIR");
        assert!(text.contains("next: "), "{name}: {text}");
        writeln!(out, "{name}: {text}").expect("text");
    }
    let folder = tempfile::tempdir().expect("a folder");
    copy_data(&fixture(), &folder.path().join("data"));
    let first = start(folder.path()).await.expect("opens");
    let error = start(folder.path()).await.err().expect("in use").to_string();
    let text = error.replace(folder.path().to_str().expect("UTF-8"), "DIR");
    writeln!(out, "in use: {text}").expect("text");
    first.control.stop().await;
    insta::assert_snapshot!(out);
}

async fn propose(link: links::Link, request: proposals::Proposal) {
    let (mut sender, mut answers) = link.open_stream().await.expect("opens");
    sender.send(&streams::Open::Propose(request)).await.expect("sends");
    let outcome = answers.recv::<proposals::Outcome>().await.expect("an answer");
    assert!(matches!(outcome, Some(proposals::Outcome::Answered(_))), "{outcome:?}");
}

/// Writes the fixture: `cargo test -p heatherwalk --test contracts -- --ignored write_fixture`.
#[ignore = "writes the committed fixture"]
#[tokio::test(flavor = "multi_thread")]
async fn write_fixture() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let weight = |weight: u32| json!({"routes": {"logs": {"weight": weight}}});
    assert_eq!(api.patch(1, "r-2", &weight(7)).await.0, 200);
    let peer = mesh.peer("skulte-1", hosts::Role::Node);
    let link = peer.connect(mesh.control.listen().expect("bound"), "skulte-c").await;
    let link = link.expect("connects");
    for batch in 0..=SNAPSHOT_ENTRIES / MAX_IN_FLIGHT {
        let mut tasks = tokio::task::JoinSet::new();
        for number in 0..MAX_IN_FLIGHT {
            let fingerprint = requests::Fingerprint([(batch + number) as u8; 32]);
            let evidence = quarantine::Evidence::Finished(fingerprint);
            let request = proposals::Proposal::Evidence { age_ms: 0, evidence };
            tasks.spawn(propose(link.clone(), request));
        }
        tasks.join_all().await;
    }
    assert_eq!(api.patch(2, "r-3", &weight(8)).await.0, 200);
    let claim_request = |key: &str, action| {
        proposals::Proposal::Claim(proposals::ClaimRequest {
            home: "vidzeme".into(),
            name: claims::ClaimName { service: "logbook".into(), key: key.into() },
            attempt: claims::AttemptId(1),
            action,
        })
    };
    let fingerprint = requests::Fingerprint([7; 32]);
    let claim = claims::Action::Claim { fingerprint, limit_ms: 60_000 };
    let body = Bytes::from_static(b"lodged");
    let stored = claims::StoredAnswer { status: 201, headers: Vec::new(), body, cut: false };
    for (key, action) in [
        ("k-1", claim.clone()),
        ("k-1", claims::Action::Complete(stored)),
        ("k-1", claim.clone()),
        ("k-2", claim),
        ("k-2", claims::Action::Release),
    ] {
        propose(link.clone(), claim_request(key, action)).await;
    }
    let data = mesh.folder.path().join("data");
    mesh.control.stop().await;
    copy_data(&data, &fixture());
    let size = |file: &str| fs::metadata(fixture().join(file)).expect("a file").len();
    let total: u64 =
        ["configuration/log", "configuration/snapshot", "claims/log"].into_iter().map(size).sum();
    assert!(total < 64 * 1024, "{total} bytes are too many for a fixture");
}

/// Guards against a control that takes no part in its group after one failed write: a disk that was
/// full for 3 s took it out for good, and a second one the group.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_write_takes_a_control_out_for_good() {
    let folder = tempfile::tempdir().expect("a folder");
    // The control cannot write this file while a folder has its name.
    let obstacle = folder.path().join("data/configuration/caught-up.new");
    fs::create_dir_all(&obstacle).expect("creates");
    let mesh = start(folder.path()).await.expect("opens");
    let api = mesh.api();
    let patch = json!({"services": {"logbook": {"slots": 1}}});
    let failed_at = tokio::time::Instant::now();
    let mut base = 0;
    while failed_at.elapsed() < FAILED_FOR {
        if api.patch(base, &format!("before-{base}"), &patch).await.0 == 200 {
            base += 1;
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    let status = api.patch(base, "failed", &patch).await.0;
    assert_ne!(status, 200, "the control has failed");
    fs::remove_dir(&obstacle).expect("removes");
    api.until(|| api.patch(base, "after", &patch), |it| it.0 == 200).await;
    mesh.control.stop().await;
}
