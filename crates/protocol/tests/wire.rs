//! Snapshots of the encoded bytes of every message between processes. A changed snapshot means a
//! changed wire format. Processes of two builds run at the same time during an update, so such a
//! change needs a new `codec::VERSION` or a way to read both formats.

use std::{
    fmt::{Debug, Write as _},
    slice,
};

use agreement::{entries, messages as agreed};
use bytes::Bytes;
use distribution::{floor, messages as versions};
use membership::messages as registry;
use protocol::{forwarding, operators, proposals, rollouts as orders, streams};
use quotas::messages as quota;
use replicated::{claims, quarantine, rollouts, versions as patches};
use routing::tallies;
use serde::{Serialize, de};
use transport::codec;
use world::{
    document, faults, requests,
    rollouts::{Order, OrderId, Stage, State},
    targets, time,
};

/// A line of hexadecimal bytes for each message.
#[derive(Default)]
struct Table(String);

impl Table {
    /// Adds a message, after checking that it decodes to itself and that no truncated frame
    /// decodes.
    fn add<T: Debug + de::DeserializeOwned + Serialize>(&mut self, name: &str, value: &T) {
        let frame = codec::encode(value).expect("encodes");
        let back: T = codec::decode(&frame).expect(name);
        assert_eq!(format!("{back:?}"), format!("{value:?}"), "{name}");
        assert_eq!(codec::encode(&back).expect("encodes"), frame, "{name}");
        for end in 0..frame.len() {
            assert!(codec::decode::<T>(&frame[..end]).is_err(), "{name} cut at {end}");
        }
        let hex: String = frame.iter().map(|it| format!("{it:02x}")).collect();
        writeln!(self.0, "{name}: {hex}").expect("text");
    }

    /// Adds messages of one type, each under `kind` and the name of its variant.
    fn all<T: Debug + de::DeserializeOwned + Serialize>(&mut self, kind: &str, values: &[T]) {
        for value in values {
            let text = format!("{value:?}");
            let variant = text.split([' ', '(', '{']).next().unwrap_or_default();
            self.add(&format!("{kind}::{variant}"), value);
        }
    }
}

fn numbered() -> versions::Numbered {
    let digest = document::DocumentDigest([0xd1; 32]);
    versions::Numbered { version: document::Version(7), digest }
}

fn fingerprint() -> requests::Fingerprint {
    requests::Fingerprint([0xf1; 32])
}

fn crashed() -> quarantine::Evidence {
    let crash = quarantine::CrashId { host: "h1".into(), incarnation: 300 };
    quarantine::Evidence::Crashed { crash, fingerprints: vec![fingerprint()] }
}

fn event() -> registry::Event {
    let entry = registry::Entry {
        host: "h1".into(),
        data_centre: "dc".into(),
        service: "s".into(),
        addr: "127.0.0.1:7101".parse().expect("an address"),
        order: registry::Order { incarnation: 300, sequence: 2 },
        slots: 6,
        state: targets::State::Draining,
        announced: registry::Announced {
            incarnation: 299,
            sequence: 7,
            leaving: true,
            instance: 0x1c,
        },
        registrar: "dc".into(),
        version: "v2".into(),
    };
    registry::Event { entry, age_ms: 1_500 }
}

fn part_request() -> registry::PartRequest {
    registry::PartRequest { data_centre: "dc".into(), part: 15 }
}

fn part() -> registry::Part {
    registry::Part { request: part_request(), events: vec![event()], settled: true }
}

fn digest() -> registry::Digest {
    registry::Digest { data_centre: "dc".into(), parts: [1; registry::PARTS] }
}

fn snapshot() -> versions::Snapshot {
    versions::Snapshot { of: numbered(), document: "{}".into() }
}

fn control_records() -> Vec<operators::ControlRecord> {
    let seed = operators::ControlRecord {
        name: "c1".into(),
        region: "region".into(),
        data_centre: "dc".into(),
        addr: ([10, 0, 0, 1], 7_000).into(),
        operators: Some(([10, 0, 0, 1], 7_001).into()),
        votes: true,
    };
    let other = operators::ControlRecord { operators: None, votes: false, ..seed.clone() };
    vec![seed, other]
}

fn order() -> Order {
    Order {
        id: OrderId(300),
        service: "s".into(),
        target: "v2".into(),
        current: Some("v1".into()),
        rejected: vec!["v0".into()],
        started_ms: 1_000,
        over_ms: 12_000,
        state: State::Running(Stage::Trial),
    }
}

fn tally() -> tallies::Tally {
    let mut tally = tallies::Tally::default();
    let name = tallies::CellName { route: "r".into(), loaded: true, candidate: true };
    tally.record(name.clone(), tallies::Answer::Timed(std::time::Duration::from_millis(40)));
    tally.record(name, tallies::Answer::Bad);
    tally
}

fn patch() -> patches::Patch {
    patches::Patch {
        base: document::Version(6),
        request: "r-1".into(),
        text: "{}".into(),
        operator: "ilze".into(),
    }
}

fn claim(action: claims::Action) -> proposals::Proposal {
    proposals::Proposal::Claim(proposals::ClaimRequest {
        home: "vidzeme".into(),
        name: claims::ClaimName { service: "s".into(), key: "k".into() },
        attempt: claims::AttemptId(1 << 100),
        action,
    })
}

fn stored() -> claims::StoredAnswer {
    claims::StoredAnswer {
        status: 201,
        headers: vec![("x-a".into(), Bytes::from_static(&[0xff]))],
        body: Bytes::from_static(b"done"),
        cut: false,
    }
}

fn question() -> quota::Question {
    let report =
        quota::Report { team: "t".into(), left: 3, need: 200, early: 1, unused: 4, late: 2 };
    quota::Question { number: 9, seen: 8, renew: true, teams: vec![report] }
}

fn quota_answer() -> quota::Answer {
    let grants = vec![
        quota::Grant::Unknown,
        quota::Grant::Given { tokens: 197, open: true },
        quota::Grant::Exhausted { wait_ms: 100, pace_ms: 40 },
    ];
    quota::Answer { question: 9, grants, renewal: true, closed: vec!["u".into()] }
}

fn shortages() -> quota::Shortages {
    let team = quota::Shortage { team: "t".into(), tokens: 30, hand: 2 };
    quota::Shortages { round: 5, teams: vec![team] }
}

fn loan() -> quota::LoanTeams {
    quota::LoanTeams { round: 5, teams: vec![("t".into(), 30)] }
}

fn node_status() -> forwarding::NodeStatus {
    let load = admission::load::LoadReport {
        in_flight: 3,
        queued: 1,
        slots: 6,
        service_time: std::time::Duration::from_millis(12),
        queued_calls: 1,
        caller_time: std::time::Duration::from_millis(20),
        call_time: std::time::Duration::from_millis(4),
        pressure: admission::load::Pressure { rank: 1, weight: 32, lost: 250 },
    };
    forwarding::NodeStatus { load, attempts: 2, backend_us: 1_500 }
}

fn head() -> forwarding::RequestHead {
    forwarding::RequestHead {
        id: "q1".into(),
        service: "s".into(),
        route: "r".into(),
        method: "GET".into(),
        path: "/a?b".into(),
        fields: vec![forwarding::Field { name: "x-a".into(), value: vec![0xff] }],
        class: requests::Class::Internal,
        context: requests::Context {
            team: "t".into(),
            rank: 1,
            worth: 7,
            objective: time::Time::from_micros(1_300_000),
            deadline: time::Time::from_micros(2_900_000),
        },
        sent: time::Time::from_micros(1_000_000),
        budget: routing::budget::Budget { attempts: 2, depth: 3, remaining_ms: 1_900 },
        movable: true,
        patience_us: Some(5_000),
        idempotent: true,
        fingerprint: fingerprint(),
        repeat: false,
        suspect: false,
    }
}

/// Guards against an unnoticed change of the encoding of a stream's first message or of a proposal,
/// and against a message that decodes to another one.
#[test]
fn streams_and_proposals() {
    let mut table = Table::default();
    let action = claims::Action::Claim { fingerprint: fingerprint(), limit_ms: 2_000 };
    table.all(
        "Open",
        &[
            streams::Open::Attach,
            streams::Open::Peer,
            streams::Open::PeerVersion(numbered()),
            streams::Open::Propose(proposals::Proposal::Patch(patch())),
            streams::Open::Request { head: head(), body: Bytes::from_static(b"body") },
        ],
    );
    table.all(
        "Request",
        &[
            claim(action),
            claim(claims::Action::Complete(stored())),
            claim(claims::Action::Release),
            proposals::Proposal::Evidence { age_ms: 40, evidence: crashed() },
            proposals::Proposal::Patch(patch()),
        ],
    );
    let fault = faults::Fault {
        path: "routes.a.weight".into(),
        kind: faults::FaultKind::Range,
        detail: "0 is not in 1..=100".into(),
    };
    let change = patches::Change {
        version: document::Version(7),
        digest: numbered().digest,
        at_ms: 1_000,
        operator: "ilze".into(),
        text: "{}".into(),
    };
    let digest = numbered().digest;
    let version = document::Version(7);
    for answer in [
        patches::Answer::Accepted { version, digest },
        patches::Answer::Conflict { current: version, since: vec![change] },
        patches::Answer::Invalid { faults: vec![fault], more: 2 },
        patches::Answer::RequestReused,
        patches::Answer::AlreadyApplied,
    ] {
        table.all("patch", slice::from_ref(&answer));
        table.all("Outcome", &[proposals::Outcome::Answered(proposals::Answer::Patch(answer))]);
    }
    table.all(
        "claim",
        &[
            claims::Answer::Granted,
            claims::Answer::InProgress,
            claims::Answer::Completed(stored()),
            claims::Answer::Unknown,
            claims::Answer::Mismatch,
            claims::Answer::Full,
            claims::Answer::Malformed,
            claims::Answer::Released,
            claims::Answer::Stored,
            claims::Answer::NotHolder,
            claims::Answer::Expired,
            claims::Answer::AlreadyApplied,
        ],
    );
    let service = || "s".into();
    for action in [
        rollouts::Action::Start { service: service(), target: "v2".into(), over_ms: 12_000 },
        rollouts::Action::Advance(OrderId(300), Stage::Half),
        rollouts::Action::Complete(OrderId(300)),
        rollouts::Action::RollBack(OrderId(300)),
    ] {
        table.all("rollout", slice::from_ref(&action));
        table.all("Proposal", &[proposals::Proposal::Rollout(action)]);
    }
    for answer in [
        rollouts::Answer::Accepted(order()),
        rollouts::Answer::Conflict(Order { state: State::Complete, ..order() }),
        rollouts::Answer::Changed(Order { state: State::RolledBack, ..order() }),
        rollouts::Answer::Unchanged,
    ] {
        table.all("Outcome", &[proposals::Outcome::Answered(proposals::Answer::Rollout(answer))]);
    }
    let counted = quarantine::Answer::Counted { quarantined: Some(fingerprint()) };
    table.all(
        "Outcome",
        &[
            proposals::Outcome::Answered(proposals::Answer::Claim(claims::Answer::Granted)),
            proposals::Outcome::Answered(proposals::Answer::Evidence(counted)),
            proposals::Outcome::Answered(proposals::Answer::Evidence(quarantine::Answer::Ignored)),
            proposals::Outcome::NotLeader(Some("h1".into())),
            proposals::Outcome::Unavailable,
        ],
    );
    insta::assert_snapshot!(table.0);
}

/// Guards against an unnoticed change of the encoding of messages between nodes, or between nodes
/// and controls.
#[test]
fn nodes_and_controls() {
    let mut table = Table::default();
    let standing = node_status();
    table.all(
        "AnswerHead",
        &[
            forwarding::AnswerHead::Answered { status: 200, fields: head().fields, standing },
            forwarding::AnswerHead::NotRun { reason: forwarding::NotRun::Late, standing },
            forwarding::AnswerHead::Unknown { detail: "reset".into(), standing },
        ],
    );
    table.all(
        "NotRun",
        &[
            forwarding::NotRun::Absent,
            forwarding::NotRun::Blocked,
            forwarding::NotRun::Draining,
            forwarding::NotRun::Late,
            forwarding::NotRun::Full,
            forwarding::NotRun::Quarantined,
            forwarding::NotRun::Refused,
            forwarding::NotRun::Shed,
            forwarding::NotRun::Stopping,
            forwarding::NotRun::Unreachable,
            forwarding::NotRun::Busy,
            forwarding::NotRun::Displaced,
            forwarding::NotRun::Outranked,
            forwarding::NotRun::LinkFull,
        ],
    );
    let finished = quarantine::Evidence::Finished(fingerprint());
    let heartbeat = registry::Heartbeat { host: "h1".into(), digest: Some(300) };
    table.all(
        "NodeMessage",
        &[
            streams::NodeMessage::Event(event()),
            streams::NodeMessage::Evidence { sequence: 4, age_ms: 40, evidence: finished },
            streams::NodeMessage::Heartbeat(heartbeat),
            streams::NodeMessage::Parts(vec![part_request()]),
            streams::NodeMessage::Rollouts(vec![orders::Report {
                order: OrderId(300),
                stage: Stage::Whole,
                tally: tally(),
                busy: 2,
                unsafe_busy: 1,
            }]),
            streams::NodeMessage::Quota(question()),
        ],
    );
    let stamp = versions::Timestamp { epoch: 9, at: time::Time::ZERO };
    let session = versions::SessionId(5);
    let highest = document::Version(7);
    let token = floor::Token { version: highest, epoch: 9 };
    let hello = versions::Hello {
        session,
        node: "h1".into(),
        data_centre: "dc".into(),
        home: true,
        level: 1,
        running: Some(numbered()),
        floor: floor::Floor::Held(token),
    };
    for up in [
        versions::ToControl::Hello(hello),
        versions::ToControl::AskSnapshot(session),
        versions::ToControl::Received(session, highest),
        versions::ToControl::Confirm(session, numbered()),
        versions::ToControl::Beat(versions::Beat { session, echo: Some(stamp), highest }),
    ] {
        table.all("Up", slice::from_ref(&up));
        table.all("NodeMessage", &[streams::NodeMessage::Version(up)]);
    }
    let standing = streams::Suspect { fingerprint: fingerprint(), refused_ms: 1_000 };
    let known = Some(registry::Order { incarnation: 300, sequence: 2 });
    let reach = registry::Reachability { registrar: "dc".into(), stale: true };
    table.all(
        "ControlMessage",
        &[
            streams::ControlMessage::Digests(vec![digest()]),
            streams::ControlMessage::Event(event()),
            streams::ControlMessage::EvidenceTaken(4),
            streams::ControlMessage::Heartbeat(registry::HeartbeatAnswer {
                known,
                wanted: true,
                digest: Some(300),
                held: Some(event().entry),
                recorded: true,
            }),
            streams::ControlMessage::Part(part()),
            streams::ControlMessage::Reach(reach),
            streams::ControlMessage::Standings(vec![standing]),
            streams::ControlMessage::Controls(control_records()),
            streams::ControlMessage::Rollouts(orders::List {
                orders: vec![order()],
                held: vec![OrderId(300)],
                current: true,
            }),
            streams::ControlMessage::Quota(quota_answer()),
        ],
    );
    let delta = versions::Delta { to: numbered(), patch: "{}".into() };
    let ack = versions::Ack { session, stamp, isolated: true, version: highest, age_ms: 300 };
    let proof = versions::Proof::Heard;
    for down in [
        versions::ToNode::Ack(ack),
        versions::ToNode::Delta(session, delta),
        versions::ToNode::Snapshot(session, versions::Proof::Current, snapshot()),
        versions::ToNode::Wait(session, versions::WaitReason::Busy, 300),
        versions::ToNode::Peer { session, host: "h2".into(), proof, of: numbered() },
        versions::ToNode::Refused(session, 2),
    ] {
        table.all("Down", slice::from_ref(&down));
        table.all("ControlMessage", &[streams::ControlMessage::Version(down)]);
    }
    table.all("Proof", &[versions::Proof::None]);
    table.all("Reason", &[versions::WaitReason::CatchingUp, versions::WaitReason::Unproven]);
    table.all(
        "PeerVersion",
        &[streams::PeerVersion::Absent, streams::PeerVersion::Snapshot(snapshot())],
    );
    let announcement = registry::Announcement {
        service: "s".into(),
        addr: "[::1]:9000".parse().expect("an address"),
        incarnation: 300,
        sequence: 7,
        slots: 6,
        drain: true,
        cold_ms: Some(500),
        version: "".into(),
        instance: 0x1c,
        dated: true,
    };
    table.add("Announcement", &announcement);
    insta::assert_snapshot!(table.0);
}

/// Guards against an unnoticed change of the encoding of messages between controls.
#[test]
fn controls() {
    let mut table = Table::default();
    let position = entries::Position { term: entries::Term(3), index: entries::Index(300) };
    let voters = vec![entries::Voter { host: "c1".into(), disk: entries::DiskId(8) }];
    let entry = |payload| entries::Entry { position, payload };
    let stamp = agreed::SendTime(time::Time::ZERO);
    let sent = agreed::ReplyTime { nonce: 5, at: time::Time::ZERO };
    let id = agreed::ReadId { nonce: 5, number: 6 };
    let append = agreed::AppendEntries {
        stamp,
        answered: Some(sent),
        leased: true,
        prev: position,
        entries: vec![
            entry(entries::Payload::Blank),
            entry(entries::Payload::Command(Bytes::from_static(b"command"))),
            entry(entries::Payload::Voters(voters.clone())),
        ],
        commit: entries::Index(299),
    };
    let chunk = agreed::SnapshotChunk {
        stamp,
        last: position,
        voters,
        total: 1_000,
        offset: 500,
        data: Bytes::from_static(b"data"),
    };
    let (term, disk) = (entries::Term(3), entries::DiskId(8));
    let vote = agreed::RequestVote { pre: true, term, last: position, voter: disk };
    for body in [
        agreed::Body::Probe,
        agreed::Body::Report { asker: disk, blank: true },
        agreed::Body::Vote(vote),
        agreed::Body::VoteReply { pre: false, asked: term, granted: true },
        agreed::Body::Append(append),
        agreed::Body::AppendReply {
            stamp,
            sent,
            outcome: agreed::AppendOutcome::Matched(position.index),
        },
        agreed::Body::AppendReply {
            stamp,
            sent,
            outcome: agreed::AppendOutcome::Conflict(position.index),
        },
        agreed::Body::Chunk(chunk),
        agreed::Body::ChunkReply { stamp, sent, index: position.index, received: 500 },
        agreed::Body::Read(id),
        agreed::Body::ReadReply { id, commit: position.index },
    ] {
        let cluster = Some(entries::ClusterId(9));
        let name = format!("{body:?}");
        let name = name.split([' ', '(']).next().unwrap_or_default();
        let message = agreed::Message { cluster, disk, term, body };
        let group = proposals::GroupId::Claims("vidzeme".into());
        table.add(name, &streams::PeerMessage::Agreement(group, message));
    }
    let probe = agreed::Message { cluster: None, disk, term, body: agreed::Body::Probe };
    let configuration = proposals::GroupId::Configuration;
    let behind =
        streams::Lagging { host: "h1".into(), running: Some(document::Version(6)), behind_ms: 700 };
    let report = streams::VersionReport {
        data_centre: "dc".into(),
        level: Some(1),
        version: document::Version(7),
        nodes: 2,
        counts: vec![(document::Version(7), 1)],
        behind: vec![behind],
    };
    table.all(
        "PeerMessage",
        &[
            streams::PeerMessage::Agreement(configuration, probe),
            streams::PeerMessage::Digests(vec![digest()]),
            streams::PeerMessage::Event(event()),
            streams::PeerMessage::Parts(vec![part()]),
            streams::PeerMessage::PartRequests(vec![part_request()]),
            streams::PeerMessage::Report(report),
            streams::PeerMessage::Rollouts(vec![orders::Summary {
                order: OrderId(300),
                tally: tally(),
                nodes: vec![orders::NodeState { host: "h1".into(), moved: true, age_ms: 90 }],
            }]),
            streams::PeerMessage::Quota(quota::Loan::Ask(shortages())),
            streams::PeerMessage::Quota(quota::Loan::Give(loan())),
            streams::PeerMessage::Departures { events: vec![event()], is_last: true },
            streams::PeerMessage::DeparturesRequest,
            streams::PeerMessage::DepartureRecorded { host: "n-1".into(), digest: 300 },
        ],
    );
    insta::assert_snapshot!(table.0);
}
