//! How a control and a node handle invalid frames and streams that a peer may not open.

use std::{fmt::Write as _, net, time};

use bytes::Bytes;
use distribution::{floor, messages};
use protocol::{forwarding, operators, proposals, streams};
use replicated::{claims, versions};
use transport::{codec, endpoint, errors, identity, limits, links};
use world::{document, hosts, requests};

use crate::mesh;

/// Connects a peer to a process under test.
async fn connect(peer: &endpoint::Endpoint, addr: net::SocketAddr, host: &str) -> links::Link {
    peer.connect(addr, host).await.expect("connects")
}

async fn in_time<F: Future>(future: F) -> F::Output {
    tokio::time::timeout(mesh::TIMEOUT, future).await.expect("in time")
}

fn frame(length: u32, payload: &[u8]) -> Bytes {
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend_from_slice(payload);
    bytes.into()
}

/// Guards against a bad frame that stops a process, fills its memory or is decoded as a message.
#[tokio::test(flavor = "multi_thread")]
async fn bad_frames() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let node = mesh.node("skulte-1").await;
    let server =
        mesh::backend(node.announce(), heatherwalk::example::echo("skulte-1".into())).await;
    api.until(|| api.get("/v1/targets"), |it| it.1[0]["service"] == "logbook").await;
    api.until(|| api.get("/v1/status"), |it| it.1["converged"] == 1).await;
    let first = mesh::http(&mesh::client(), node.callers(), "GET /logs/a", &[], b"").await;
    assert_eq!(first.0, 200, "the node serves before the bad frames: {}", first.2);
    let processes = [
        ("control", mesh.control.listen().expect("bound"), "skulte-c"),
        ("node", node.listen().expect("bound"), "skulte-1"),
    ];
    let peer = mesh.peer("jugla-1", hosts::Role::Node);
    let cases = [
        ("garbage", frame(5, &[codec::VERSION, 0xff, 0xff, 0xff, 0xff]), true),
        ("trailing byte", frame(3, &[codec::VERSION, 0, 0]), true),
        ("truncated", frame(100, &[codec::VERSION, 0]), true),
        ("no frame", Bytes::from_static(&[0, 0]), true),
        ("oversized", frame(8 * 1024 * 1024 + 1, &[codec::VERSION]), false),
        ("largest length", frame(u32::MAX, &[]), false),
        ("no version", frame(0, &[]), false),
        ("version 0", frame(2, &[0, 0]), false),
        ("version 1", frame(2, &[1, 0]), false),
        ("version 2", frame(2, &[2, 0]), false),
        ("version 3", frame(2, &[3, 0]), false),
    ];
    let mut out = String::new();
    for (process, addr, host) in processes {
        for (name, bytes, finish) in &cases {
            let link = connect(&peer, addr, host).await;
            let (mut sender, _answers) = link.open_stream().await.expect("opens");
            sender.send_bytes(bytes.clone()).await.expect("sends");
            let _open = if *finish {
                sender.finish().expect("finishes");
                None
            } else {
                Some(sender)
            };
            writeln!(out, "{process}, {name}: {}", in_time(link.closed()).await).expect("text");
        }
        // A link buffers up to 16 MiB of incomplete frames and is closed above that.
        let link = connect(&peer, addr, host).await;
        let mut senders = Vec::new();
        let closed = async {
            let part = frame(8 * 1024 * 1024, &vec![2; 7 * 1024 * 1024]);
            for _ in 0..4 {
                let (mut sender, answers) = link.open_stream().await?;
                sender.send_bytes(part.clone()).await?;
                senders.push((sender, answers));
            }
            Err::<(), _>(link.closed().await)
        };
        let error = in_time(closed).await.expect_err("the link is closed");
        assert!(link.is_closed(), "{process}: {error}");
        writeln!(out, "{process}, incomplete frames: {}", in_time(link.closed()).await)
            .expect("text");
        check_untrusted_peers(&mesh, addr, host).await;
    }
    insta::assert_snapshot!(out);
    assert_eq!(api.get("/v1/versions/current").await.0, 200);
    let (status, _, body) =
        mesh::http(&mesh::client(), node.callers(), "GET /logs/a", &[], b"").await;
    assert_eq!((status, body.as_str()), (200, "skulte-1 answers GET /logs/a\n"));
    server.stop(time::Duration::from_secs(1)).await;
    node.stop().await;
    mesh.control.stop().await;
}

/// Checks that a peer with a certificate of another authority is refused, and sends datagrams that
/// are not QUIC.
async fn check_untrusted_peers(mesh: &mesh::Mesh, addr: net::SocketAddr, host: &str) {
    let other = identity::Authority::create().expect("creates");
    let own = other.issue("jugla-1", hosts::Role::Node).expect("issues");
    let authority = &mesh.authority.pem().certificate;
    let trusting = identity::Identity::from_pem(own.pem().clone(), authority).expect("reads");
    let untrusted =
        endpoint::Endpoint::bind(mesh::loopback(), &trusting, limits::Limits::default());
    // In TLS 1.3 the client completes the handshake before the server checks its certificate.
    if let Ok(link) = untrusted.expect("binds").connect(addr, host).await {
        let opened = async {
            let (mut sender, mut answers) = link.open_stream().await?;
            sender.send(&streams::Open::Attach).await?;
            answers.recv::<streams::ControlMessage>().await
        };
        assert!(in_time(opened).await.is_err(), "an untrusted peer got an answer");
        let closed = in_time(link.closed()).await.to_string();
        assert!(closed.contains("certificate") || closed.contains("UnknownIssuer"), "{closed}");
    }
    let socket = tokio::net::UdpSocket::bind(mesh::loopback()).await.expect("binds");
    for length in [0, 1, 20, 1_200] {
        socket.send_to(&vec![0xc3; length], addr).await.expect("sends");
    }
}

/// Guards against a node that acts as a control or as another node.
#[tokio::test(flavor = "multi_thread")]
async fn reserved_streams() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let node = mesh.node("skulte-1").await;
    let peer = mesh.peer("jugla-1", hosts::Role::Node);
    let addr = mesh.control.listen().expect("bound");
    let to_control = connect(&peer, addr, "skulte-c").await;
    let to_node = connect(&peer, node.listen().expect("bound"), "skulte-1").await;
    let patch = versions::Patch {
        base: document::Version(1),
        request: "r-9".into(),
        text: r#"{"routes":null}"#.into(),
        operator: "ilze".into(),
    };
    let patch = streams::Open::Propose(proposals::Proposal::Patch(patch));
    let mut out = String::new();
    for (name, link, open) in [
        ("peer stream to a control", &to_control, streams::Open::Peer),
        ("patch to a control", &to_control, patch.clone()),
        ("version to a control", &to_control, streams::Open::PeerVersion(Default::default())),
        ("attach to a node", &to_node, streams::Open::Attach),
        ("peer stream to a node", &to_node, streams::Open::Peer),
        ("patch to a node", &to_node, patch),
    ] {
        let (mut sender, mut answers) = link.open_stream().await.expect("opens");
        sender.send(&open).await.expect("sends");
        let answer = in_time(answers.recv::<proposals::Outcome>()).await;
        writeln!(out, "{name}: {}", describe(&answer)).expect("text");
    }
    for (name, host) in [("hello of another node", "skulte-1"), ("own hello", "jugla-1")] {
        let (mut sender, mut answers) = to_control.open_stream().await.expect("opens");
        sender.send(&streams::Open::Attach).await.expect("sends");
        let hello = messages::ToControl::Hello(messages::Hello {
            session: messages::SessionId(1),
            node: host.into(),
            data_centre: "skulte".into(),
            home: true,
            level: document::LEVEL,
            running: None,
            floor: floor::Floor::Absent,
        });
        sender.send(&streams::NodeMessage::Version(hello)).await.expect("sends");
        let answer = in_time(answers.recv::<streams::ControlMessage>()).await;
        writeln!(out, "{name}: {}", describe(&answer.map(|it| it.map(|_| "answered"))))
            .expect("text");
    }
    insta::assert_snapshot!(out);
    assert!(!to_control.is_closed() && !to_node.is_closed(), "a refused stream closed its link");
    let (_, current) = api.get(operators::CURRENT_PATH).await;
    assert_eq!(current["version"], 1, "nothing was changed");
    let (_, nodes) = api.get(operators::NODES_PATH).await;
    let nodes = nodes.as_array().expect("a list");
    assert!(nodes.iter().filter(|it| it["host"] == "skulte-1").count() < 2, "{nodes:?}");
}

fn describe<T: std::fmt::Debug>(answer: &errors::Result<T>) -> String {
    match answer {
        Ok(answer) => format!("{answer:?}"),
        Err(err) => err.to_string(),
    }
}

/// The head of a request with 300 ms left `sent` after the start of the sender's clock.
fn offer(sent: time::Duration) -> forwarding::RequestHead {
    forwarding::RequestHead {
        id: "offered".into(),
        service: "logbook".into(),
        route: "logs".into(),
        method: "POST".into(),
        path: "/logs/a".into(),
        fields: Vec::new(),
        class: requests::Class::Caller,
        context: requests::Context {
            worth: 1,
            objective: world::time::Time::ZERO + sent + time::Duration::from_millis(300),
            deadline: world::time::Time::ZERO + sent + time::Duration::from_millis(300),
            ..requests::Context::default()
        },
        sent: world::time::Time::ZERO + sent,
        budget: routing::budget::Budget { attempts: 0, depth: 1, remaining_ms: 300 },
        movable: false,
        patience_us: None,
        idempotent: false,
        fingerprint: requests::Fingerprint([1; 32]),
        repeat: false,
        suspect: false,
    }
}

/// Guards against a node that admits an offered request, gets no body for it and does not report
/// that it was not run.
#[tokio::test(flavor = "multi_thread")]
async fn an_offer_without_a_body_is_not_run() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let node = mesh.node("skulte-1").await;
    let _server =
        mesh::backend(node.announce(), heatherwalk::example::echo("skulte-1".into())).await;
    api.until(|| api.get("/v1/targets"), |it| it.1[0]["service"] == "logbook").await;
    api.until(|| api.get("/v1/status"), |it| it.1["converged"] == 1).await;
    let peer = mesh.peer("jugla-1", hosts::Role::Node);
    let link = connect(&peer, node.listen().expect("bound"), "skulte-1").await;
    let head = offer(time::Duration::ZERO);
    let (mut sender, mut answers) = link.open_stream().await.expect("opens");
    sender.send(&streams::Open::Offer { head }).await.expect("sends");
    let admitted = in_time(answers.recv::<forwarding::AnswerHead>()).await.expect("an answer");
    assert!(matches!(admitted, Some(forwarding::AnswerHead::Admitted)), "{admitted:?}");
    let answer = in_time(answers.recv::<forwarding::AnswerHead>()).await;
    let Ok(Some(forwarding::AnswerHead::NotRun { reason, .. })) = answer else {
        panic!("not reported as not run: {answer:?}");
    };
    assert_eq!(reason, forwarding::NotRun::Late);
    drop(sender);
}

/// Guards against a request whose time starts anew at the next node, so that it runs although it
/// has waited on the way until its caller left.
#[tokio::test(flavor = "multi_thread")]
async fn time_on_the_way_does_not_count() {
    let mesh = mesh::Mesh::start(1).await;
    let api = mesh.api();
    api.create().await;
    let node = mesh.node("skulte-1").await;
    let _server =
        mesh::backend(node.announce(), heatherwalk::example::echo("skulte-1".into())).await;
    api.until(|| api.get("/v1/targets"), |it| it.1[0]["service"] == "logbook").await;
    api.until(|| api.get("/v1/status"), |it| it.1["converged"] == 1).await;
    let peer = mesh.peer("jugla-1", hosts::Role::Node);
    let link = connect(&peer, node.listen().expect("bound"), "skulte-1").await;
    let started_at = time::Instant::now();
    // The sender's clock began an hour before. Each offer but the first leaves this test later than
    // its head says, as one that waits in a queue.
    let origin = time::Duration::from_secs(3_600);
    let mut outcomes = String::new();
    for waited in [0, 400, 0, 1_500] {
        let sent = origin + started_at.elapsed();
        tokio::time::sleep(time::Duration::from_millis(waited)).await;
        let (mut sender, mut answers) = link.open_stream().await.expect("opens");
        sender.send(&streams::Open::Offer { head: offer(sent) }).await.expect("sends");
        let answer = in_time(answers.recv::<forwarding::AnswerHead>()).await.expect("an answer");
        let outcome = match answer {
            Some(forwarding::AnswerHead::NotRun { reason, .. }) => format!("{reason:?}"),
            other => format!("{other:?}"),
        };
        writeln!(outcomes, "waited {waited} ms of 300: {outcome}").expect("text");
    }
    insta::assert_snapshot!(outcomes, @r"
    waited 0 ms of 300: Some(Admitted)
    waited 400 ms of 300: Late
    waited 0 ms of 300: Some(Admitted)
    waited 1500 ms of 300: Late
    ");
}

/// Guards against an error at start that doesn't name the address in use.
#[tokio::test(flavor = "multi_thread")]
async fn port_in_use() {
    let mesh = mesh::Mesh::start(1).await;
    let addr = mesh.control.listen().expect("bound");
    let identity = mesh.authority.issue("skulte-c", hosts::Role::Control).expect("issues");
    let second = endpoint::Endpoint::bind(addr, &identity, limits::Limits::default());
    let text = second.err().expect("the port is in use").to_string();
    assert!(text.contains(&addr.to_string()) && text.contains("\nnext: "), "{text}");
}

/// Guards against answered claims that are missing from the metrics.
#[tokio::test(flavor = "multi_thread")]
async fn claims_are_counted() {
    let mesh = mesh::Mesh::start(1).await;
    mesh.api().create().await;
    let peer = mesh.peer("jugla-1", hosts::Role::Node);
    let link = connect(&peer, mesh.control.listen().expect("bound"), "skulte-c").await;
    let claim = |fingerprint| claims::Action::Claim {
        fingerprint: requests::Fingerprint([fingerprint; 32]),
        limit_ms: 60_000,
    };
    let stored = claims::StoredAnswer {
        status: 201,
        headers: Vec::new(),
        body: Bytes::from_static(b"lodged"),
        cut: false,
    };
    for (home, attempt, action) in [
        ("vidzeme", 1, claim(1)),
        ("vidzeme", 1, claim(1)),
        ("vidzeme", 2, claim(1)),
        ("vidzeme", 3, claim(2)),
        ("vidzeme", 1, claims::Action::Complete(stored)),
        ("vidzeme", 2, claim(1)),
        ("tas", 4, claim(1)),
    ] {
        let request = proposals::Proposal::Claim(proposals::ClaimRequest {
            home: home.into(),
            name: claims::ClaimName { service: "logbook".into(), key: "k".into() },
            attempt: claims::AttemptId(attempt),
            action,
        });
        let (mut sender, mut answers) = link.open_stream().await.expect("opens");
        sender.send(&streams::Open::Propose(request)).await.expect("sends");
        let outcome = in_time(answers.recv::<proposals::Outcome>()).await.expect("an answer");
        assert!(outcome.is_some(), "{home} {attempt}");
    }
    let page = mesh.metrics.render().expect("renders");
    let counts: Vec<_> = page.lines().filter(|it| it.contains("claims_total{")).collect();
    insta::assert_snapshot!(counts.join("\n"));
}
