//! Links over loopback: identities, the ends of streams, the pool and closing.

use std::{fmt::Write as _, net, time};

use bytes::Bytes;
use transport::{codes, endpoint, errors, identity, limits, links, pool, serving, streams};
use world::hosts;

/// Longer than any step takes, also on a busy machine.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

struct Mesh {
    authority: identity::Authority,
    server: endpoint::Endpoint,
    client: endpoint::Endpoint,
}

fn local() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}

fn bind(identity: &identity::Identity) -> endpoint::Endpoint {
    endpoint::Endpoint::bind(local(), identity, limits::Limits::default()).expect("binds")
}

fn addr(endpoint: &endpoint::Endpoint) -> net::SocketAddr {
    endpoint.local_addr().expect("bound")
}

impl Mesh {
    fn start() -> Mesh {
        let authority = identity::Authority::create().expect("creates");
        let server = bind(&authority.issue("skulte", hosts::Role::Control).expect("issues"));
        let client = bind(&authority.issue("jugla-1", hosts::Role::Node).expect("issues"));
        Mesh { authority, server, client }
    }

    async fn pair(&self) -> (links::Link, links::Link) {
        let near = self.client.connect(addr(&self.server), "skulte").await.expect("connects");
        let far = in_time(self.server.accept()).await.expect("accepts");
        (near, far)
    }
}

async fn in_time<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TIMEOUT, future).await.expect("in time")
}

async fn next(link: &links::Link) -> (streams::Sender, streams::Receiver) {
    in_time(link.accept_stream()).await.expect("link is whole").expect("link is open")
}

/// Guards against lost or reordered messages and bytes, and against a wrong identity on either
/// side.
#[tokio::test]
async fn round_trip() {
    let mesh = Mesh::start();
    let (near, far) = mesh.pair().await;
    assert_eq!((near.host(), near.role()), ("skulte", hosts::Role::Control));
    assert_eq!((far.host(), far.role()), ("jugla-1", hosts::Role::Node));

    let (mut sender, mut answers) = near.open_stream().await.expect("opens");
    // The large message exceeds the window of the stream, so the other side must read meanwhile.
    let sending = tokio::spawn(async move {
        sender.send(&"question".to_string()).await.expect("sends");
        sender.send(&vec![7_u8; 700_000]).await.expect("sends");
        sender.send_bytes(Bytes::from_static(b"body")).await.expect("sends");
        sender.finish().expect("finishes");
    });
    let (mut back, mut receiver) = next(&far).await;
    assert_eq!(in_time(receiver.recv::<String>()).await.expect("whole"), Some("question".into()));
    let large = in_time(receiver.recv::<Vec<u8>>()).await.expect("whole").expect("a message");
    assert_eq!(large.len(), 700_000);
    assert_eq!(in_time(receiver.recv_bytes()).await.expect("whole"), Some(Bytes::from("body")));
    assert_eq!(in_time(receiver.recv_bytes()).await.expect("finished"), None);
    in_time(sending).await.expect("sends all");
    back.send(&9_u32).await.expect("sends");
    back.finish().expect("finishes");
    assert_eq!(in_time(answers.recv::<u32>()).await.expect("whole"), Some(9));
    assert_eq!(in_time(answers.recv::<u32>()).await.expect("finished"), None);
}

/// Guards against a receiver that takes a truncated stream for a complete one.
#[tokio::test]
async fn endings() {
    let mut out = String::new();
    for ending in ["finish", "reset", "drop", "abandoned write", "inside a frame", "link closed"] {
        let mesh = Mesh::start();
        let (near, far) = mesh.pair().await;
        let (mut sender, _answers) = near.open_stream().await.expect("opens");
        sender.send(&1_u32).await.expect("sends");
        let (_back, mut receiver) = next(&far).await;
        assert_eq!(in_time(receiver.recv::<u32>()).await.expect("whole"), Some(1));
        match ending {
            "finish" => sender.finish().expect("finishes"),
            "reset" => sender.reset(),
            "drop" => drop(sender),
            "abandoned write" => {
                // Exceeds all windows, so that the write cannot complete.
                let write = sender.send_bytes(Bytes::from(vec![0; 4 << 20]));
                let short = time::Duration::from_millis(50);
                assert!(tokio::time::timeout(short, write).await.is_err());
                assert!(matches!(sender.finish(), Err(errors::Error::Partial)));
                while let Ok(Some(_)) = in_time(receiver.recv_bytes()).await {}
            }
            "inside a frame" => {
                sender.send_bytes(Bytes::from_static(&[0, 0, 0, 9, 1])).await.expect("sends");
                sender.finish().expect("finishes");
            }
            _ => near.close(codes::Code::Done),
        }
        let result = in_time(receiver.recv::<u32>()).await;
        assert_eq!(matches!(result, Ok(None)), ending == "finish", "{ending}: {result:?}");
        let text = result.map_or_else(|it| it.to_string(), |_| "finished".into());
        writeln!(out, "{ending}: {text}").expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against skipping a bad frame: the link must be closed with a code that tells the peer the
/// reason.
#[tokio::test]
async fn bad_frames() {
    let cases: [(&str, &'static [u8]); 4] = [
        ("too long", &[0xff, 0xff, 0xff, 0xff]),
        ("other version", &[0, 0, 0, 2, 9, 1]),
        ("trailing byte", &[0, 0, 0, 3, 1, 1, 1]),
        ("not the type", &[0, 0, 0, 2, 1, 0xff]),
    ];
    let mut out = String::new();
    for (name, bytes) in cases {
        let mesh = Mesh::start();
        let (near, far) = mesh.pair().await;
        let (mut sender, _answers) = near.open_stream().await.expect("opens");
        sender.send_bytes(Bytes::from_static(bytes)).await.expect("sends");
        let (_back, mut receiver) = next(&far).await;
        let error = in_time(receiver.recv::<u32>()).await.expect_err(name);
        assert!(matches!(error, errors::Error::Codec(_)), "{name}: {error}");
        writeln!(out, "{name}: {error}; peer sees: {}", in_time(near.closed()).await)
            .expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a peer that exhausts memory with frames that it never completes.
#[tokio::test]
async fn incomplete_frames_are_bounded() {
    let mesh = Mesh::start();
    let identity = mesh.authority.issue("imanta", hosts::Role::Node).expect("issues");
    let limits = limits::Limits { max_partial: 100_000, ..limits::Limits::default() };
    let server = endpoint::Endpoint::bind(local(), &identity, limits).expect("binds");
    let near = mesh.client.connect(addr(&server), "imanta").await.expect("connects");
    let far = in_time(server.accept()).await.expect("accepts");
    let (mut sender, _answers) = near.open_stream().await.expect("opens");
    let mut frame = vec![0_u8; 150_000];
    frame[..4].copy_from_slice(&1_000_000_u32.to_be_bytes());
    sender.send_bytes(Bytes::from(frame)).await.expect("sends");
    let (_back, mut receiver) = next(&far).await;
    let error = in_time(receiver.recv::<Vec<u8>>()).await.expect_err("over the limit");
    assert!(matches!(error, errors::Error::Memory), "{error}");
    in_time(near.closed()).await;
}

/// Guards against links to processes outside the mesh, and to other hosts than the expected one.
#[tokio::test]
async fn untrusted_peers() {
    let mesh = Mesh::start();
    let target = addr(&mesh.server);
    let other = identity::Authority::create().expect("creates");
    let stranger = other.issue("jugla-1", hosts::Role::Node).expect("issues");
    // The stranger trusts the authority of the mesh, so that only the server can reject the link.
    let trusting =
        identity::Identity::from_pem(stranger.pem().clone(), &mesh.authority.pem().certificate);
    let trusting = bind(&trusting.expect("reads"));
    if let Ok(link) = trusting.connect(target, "skulte").await {
        // In TLS 1.3 the client's handshake completes before the server verifies its certificate.
        in_time(link.closed()).await;
    }
    let short = time::Duration::from_millis(300);
    assert!(tokio::time::timeout(short, mesh.server.accept()).await.is_err());

    let cases = [
        ("stranger", bind(&stranger), "skulte"),
        ("wrong host", mesh.client.clone(), "imanta"),
        ("role in place of a name", mesh.client.clone(), "control"),
        ("not a host name", mesh.client.clone(), "Skulte"),
    ];
    let mut out = String::new();
    for (name, endpoint, host) in cases {
        let error = in_time(endpoint.connect(target, host)).await.err().expect(name);
        writeln!(out, "{name}: {error}").expect("text");
    }
    insta::assert_snapshot!(out);
    assert!(mesh.client.connect(target, "skulte").await.is_ok());
}

/// Guards against certificates that are not the same after writing and reading them, against
/// overwritten files, and against invalid host names.
#[tokio::test]
async fn files() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str| folder.path().join(name);
    let authority = identity::Authority::create().expect("creates");
    authority.save(&path("authority.pem"), &path("authority.key")).expect("saves");
    assert!(authority.save(&path("authority.pem"), &path("authority.key")).is_err());
    let loaded = identity::Authority::load(&path("authority.pem"), &path("authority.key"));
    let node = loaded.expect("loads").issue("jugla-1", hosts::Role::Node).expect("issues");
    node.save(&path("node.pem"), &path("node.key")).expect("saves");
    let node =
        identity::Identity::load(&path("node.pem"), &path("node.key"), &path("authority.pem"));
    let node = bind(&node.expect("loads"));
    let server = bind(&authority.issue("skulte", hosts::Role::Control).expect("issues"));
    let link = node.connect(addr(&server), "skulte").await.expect("connects");
    assert_eq!(link.host(), "skulte");
    let mut out = String::new();
    for host in ["", "a.b", "-a", "a_b", "a..b", "*", "a.node.heatherwalk", &"a".repeat(64)] {
        let result = authority.issue(host, hosts::Role::Node).map(|it| it.peer().clone());
        writeln!(out, "{host:?}: {result:?}").expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against several connections to one peer, and against closed links that stay in the pool.
#[tokio::test]
async fn pool_reuses_and_reconnects() {
    let mesh = Mesh::start();
    let links = pool::LinkPool::new(mesh.client.clone());
    let target = addr(&mesh.server);
    let (a, b, c) = tokio::join!(
        links.link("skulte", target),
        links.link("skulte", target),
        links.link("skulte", target)
    );
    let far = in_time(mesh.server.accept()).await.expect("accepts");
    for link in [a, b, c] {
        drop(link.expect("connects").open_stream().await.expect("opens"));
    }
    far.close(codes::Code::Done);
    in_time(links.link("skulte", target).await.expect("still pooled or new").closed()).await;
    links.link("skulte", target).await.expect("connects again");
    in_time(mesh.server.accept()).await.expect("accepts again");
    assert!(links.link("imanta", target).await.is_err());
    let short = time::Duration::from_millis(100);
    assert!(tokio::time::timeout(short, mesh.server.accept()).await.is_err(), "one link each");
}

/// Guards against a planned close that aborts an active stream before the limit, or never ends.
#[tokio::test]
async fn graceful_close() {
    let mesh = Mesh::start();
    let (near, far) = mesh.pair().await;
    let (mut sender, mut answers) = near.open_stream().await.expect("opens");
    sender.send(&1_u32).await.expect("sends");
    let (mut back, mut receiver) = next(&far).await;
    let server = mesh.server.clone();
    let closing = tokio::spawn(async move { server.close(TIMEOUT).await });
    assert!(in_time(mesh.server.accept()).await.is_none());
    assert_eq!(in_time(receiver.recv::<u32>()).await.expect("whole"), Some(1));
    back.send(&2_u32).await.expect("sends");
    back.finish().expect("finishes");
    drop(receiver);
    assert_eq!(in_time(answers.recv::<u32>()).await.expect("whole"), Some(2));
    assert_eq!(in_time(answers.recv::<u32>()).await.expect("finished"), None);
    let closed = in_time(closing).await.expect("closes");
    assert_eq!(closed, endpoint::Closed { finished: 1, aborted: 0 });
    assert!(in_time(far.accept_stream()).await.expect("planned").is_none());
    assert!(in_time(near.accept_stream()).await.expect("planned").is_none());

    let mesh = Mesh::start();
    let (near, far) = mesh.pair().await;
    let (mut sender, mut answers) = near.open_stream().await.expect("opens");
    sender.send(&1_u32).await.expect("sends");
    let _held = next(&far).await;
    let closed = in_time(mesh.server.close(time::Duration::from_millis(50))).await;
    assert_eq!(closed, endpoint::Closed { finished: 0, aborted: 1 });
    assert!(in_time(answers.recv::<u32>()).await.is_err(), "an aborted stream is not finished");
}

/// Guards against work that continues after the caller has stopped reading the response.
#[tokio::test]
async fn cancellation() {
    let mesh = Mesh::start();
    let (near, far) = mesh.pair().await;
    let (mut sender, answers) = near.open_stream().await.expect("opens");
    sender.send(&1_u32).await.expect("sends");
    let (back, _receiver) = next(&far).await;
    drop(answers);
    in_time(back.cancelled()).await;
}

/// Guards against a peer that keeps using a link to a killed process. The restarted process, with a
/// new key, must answer with a stateless reset at once. Without the reset, the link would break
/// only after its idle timeout of 3 s.
#[tokio::test]
async fn restarted_process() {
    let mesh = Mesh::start();
    let issue = || mesh.authority.issue("imanta", hosts::Role::Node).expect("issues");
    let (killed, at) = start_server(issue()).await;
    let near = in_time(mesh.client.connect(at, "imanta")).await.expect("connects");
    killed.shutdown_background();
    let limits = limits::Limits::default();
    let restarted = in_time(async {
        loop {
            match endpoint::Endpoint::bind(at, &issue(), limits) {
                Ok(it) => return it,
                Err(_) => tokio::time::sleep(time::Duration::from_millis(10)).await,
            }
        }
    });
    let _restarted = restarted.await;
    let (mut sender, _receiver) = near.open_stream().await.expect("the link looks whole");
    sender.send(&"work").await.expect("the link looks whole");
    let closed = tokio::time::timeout(limits.idle_timeout / 3, near.closed());
    assert!(closed.await.is_ok(), "the link still looks whole");
}

/// Starts an endpoint that accepts links, in a runtime of its own that can be shut down without
/// notice to the peers.
async fn start_server(identity: identity::Identity) -> (tokio::runtime::Runtime, net::SocketAddr) {
    let starting = tokio::task::spawn_blocking(move || {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().expect("starts");
        let endpoint = runtime.block_on(async { bind(&identity) });
        let at = addr(&endpoint);
        runtime.spawn(async move {
            let link = endpoint.accept().await;
            std::future::pending::<()>().await;
            drop((link, endpoint));
        });
        (runtime, at)
    });
    starting.await.expect("no panic")
}

/// Guards against handshakes that fill the link of a host when it opens links to many others: each
/// link sent 8.3 KB and received 7.1 KB, most of it to search for a larger packet size.
#[tokio::test]
async fn handshake_bytes() {
    /// Padded packets that a handshake may take in each direction.
    const MAX_PACKETS: u64 = 4;
    const PACKET_BYTES: u64 = 1_200;
    let mesh = Mesh::start();
    let (near, _far) = mesh.pair().await;
    // The search began when the handshake had ended, and took some round trips.
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let links::Traffic { sent, received, .. } = near.traffic();
    let limit = MAX_PACKETS * PACKET_BYTES;
    assert!(sent <= limit && received <= limit, "{sent} bytes sent, {received} received");
}

/// Attempts of a pool that have neither succeeded nor failed yet.
fn in_flight(links: &pool::LinkPool) -> u64 {
    let counts = links.counts();
    counts.started - counts.opened - counts.failed
}

/// Guards against a process that dials all its peers at once: the handshakes fill its link, so that
/// all of them time out and no request gets through.
#[tokio::test]
async fn peers_are_dialled_all_at_once() {
    const MAX_CONNECTING: u64 = 4;
    let mesh = Mesh::start();
    let links = pool::LinkPool::new(mesh.client.clone());
    let peers = silent_peers(40);
    let mut dials = dial_all(&links, &peers);
    let mut most = 0;
    for _ in 0..50 {
        tokio::time::sleep(time::Duration::from_millis(10)).await;
        most = most.max(in_flight(&links));
    }
    assert!((1..=MAX_CONNECTING).contains(&most), "{most} handshakes in flight");
    dials.shutdown().await;
}

/// Peers that do not answer, so that each attempt to connect to them stays in flight until it times
/// out.
fn silent_peers(count: usize) -> Vec<net::UdpSocket> {
    (0..count).map(|_| net::UdpSocket::bind(local()).expect("binds")).collect()
}

fn dial_all(links: &pool::LinkPool, peers: &[net::UdpSocket]) -> tokio::task::JoinSet<bool> {
    let mut dials = tokio::task::JoinSet::new();
    for (index, peer) in peers.iter().enumerate() {
        let (links, at) = (links.clone(), peer.local_addr().expect("bound"));
        dials.spawn(async move { links.link(&format!("imanta-{index}"), at).await.is_ok() });
    }
    dials
}

/// Guards against a node that loses its control because the link to it waits behind those to other
/// nodes, and against attempts that are still made when nothing waits for them any more.
#[tokio::test]
async fn control_waits_behind_nodes() {
    let mesh = Mesh::start();
    let links = pool::LinkPool::new(mesh.client.clone());
    let peers = silent_peers(40);
    let mut dials = dial_all(&links, &peers);
    let target = addr(&mesh.server);
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    let linked = links.link_control("skulte", target);
    let limit = limits::Limits::default().node_timeout / 2;
    tokio::time::timeout(limit, linked).await.expect("in time").expect("connects");
    dials.shutdown().await;
    let before = links.counts();
    // Waits in turn behind those that nothing waits for.
    let second = mesh.authority.issue("jugla-2", hosts::Role::Node).expect("issues");
    let second = bind(&second);
    in_time(links.link("jugla-2", addr(&second))).await.expect("connects");
    assert_eq!(links.counts().since(before).started, 1, "only the last attempt is made");
}

/// An endpoint that serves each stream by echoing a message, and its pool.
fn start_echo(mesh: &Mesh, host: &str) -> (pool::LinkPool, tokio::task::JoinSet<()>) {
    let endpoint = bind(&mesh.authority.issue(host, hosts::Role::Node).expect("issues"));
    let (links, dialled) = pool::LinkPool::bidirectional(endpoint);
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(serving::serve_pool(
        links.clone(),
        dialled,
        |_link, mut sender, mut receiver| async move {
            let message = receiver.recv::<u32>().await.expect("whole").expect("a message");
            sender.send(&message).await.expect("sends");
            sender.finish().expect("finishes");
        },
    ));
    (links, tasks)
}

/// Sends a message to a peer over the pool's link and checks that it comes back.
async fn ask(links: &pool::LinkPool, host: &str, at: net::SocketAddr) {
    let link = in_time(links.link(host, at)).await.expect("connects");
    let (mut sender, mut answers) = link.open_stream().await.expect("opens");
    sender.send(&17_u32).await.expect("sends");
    assert_eq!(in_time(answers.recv::<u32>()).await.expect("whole"), Some(17), "to {host}");
}

/// Guards against a second handshake for a pair of processes that already have a link, which the
/// other one opened, and against a link on which only one side is served.
#[tokio::test]
async fn pair_opens_two_links() {
    let mesh = Mesh::start();
    let (near, _near_tasks) = start_echo(&mesh, "imanta");
    let (far, _far_tasks) = start_echo(&mesh, "jugla-2");
    ask(&near, "jugla-2", addr(far.endpoint())).await;
    ask(&far, "imanta", addr(near.endpoint())).await;
    ask(&near, "jugla-2", addr(far.endpoint())).await;
    let started = (near.counts().started, far.counts().started);
    assert_eq!(started, (1, 0), "handshakes of each side");
    // The link leads to another address than the one asked for, so it is not shared.
    let stopped = silent_peers(1)[0].local_addr().expect("bound");
    assert!(far.established("imanta", stopped).is_none());
    assert!(far.established("imanta", addr(near.endpoint())).is_some());
}

/// Guards against streams and attempts that fail because both ends connect at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn both_ends_dial_at_once() {
    let mesh = Mesh::start();
    for round in 0..20 {
        let (near, _near_tasks) = start_echo(&mesh, "imanta");
        let (far, _far_tasks) = start_echo(&mesh, "jugla-2");
        let (near_at, far_at) = (addr(near.endpoint()), addr(far.endpoint()));
        let sends = async {
            for _ in 0..5 {
                tokio::join!(ask(&near, "jugla-2", far_at), ask(&far, "imanta", near_at));
            }
        };
        sends.await;
        let failed = near.counts().failed + far.counts().failed;
        assert_eq!(failed, 0, "failed attempts in round {round}");
    }
}

/// Guards against sends over the link to a killed process when the restarted one has already opened
/// a new link.
#[tokio::test]
async fn restarted_peer_opens_a_link() {
    let mesh = Mesh::start();
    let (near, _tasks) = start_echo(&mesh, "imanta");
    let issue = || mesh.authority.issue("jugla-2", hosts::Role::Node).expect("issues");
    let (killed, at) = start_server(issue()).await;
    let old = in_time(near.link("jugla-2", at)).await.expect("connects");
    killed.shutdown_background();
    let restarted = in_time(async {
        loop {
            match endpoint::Endpoint::bind(at, &issue(), limits::Limits::default()) {
                Ok(it) => return it,
                Err(_) => tokio::time::sleep(time::Duration::from_millis(10)).await,
            }
        }
    });
    let restarted = restarted.await;
    let new = restarted.connect(addr(near.endpoint()), "imanta").await.expect("connects");
    // The accepting side completes the handshake later than the connecting one. The old link breaks
    // only after its idle timeout.
    let limit = limits::Limits::default().idle_timeout / 3;
    let arrived = async {
        loop {
            let link = near.link("jugla-2", at).await.expect("open");
            let (mut sender, _answers) = link.open_stream().await.expect("opens");
            sender.send(&17_u32).await.expect("sends");
            let short = time::Duration::from_millis(50);
            if let Ok(stream) = tokio::time::timeout(short, new.accept_stream()).await {
                return stream;
            }
        }
    };
    let arrived = tokio::time::timeout(limit, arrived).await.expect("in time");
    let (_back, mut receiver) = arrived.expect("link is whole").expect("link is open");
    assert_eq!(in_time(receiver.recv::<u32>()).await.expect("whole"), Some(17));
    drop(old);
}

/// The first packets of handshakes with `count` different connection IDs.
async fn first_packets(client: &endpoint::Endpoint, count: usize) -> Vec<Vec<u8>> {
    let catcher = net::UdpSocket::bind(local()).expect("binds");
    let at = addr_of(&catcher);
    catcher.set_read_timeout(Some(TIMEOUT)).expect("sets");
    let mut dials = tokio::task::JoinSet::new();
    for _ in 0..count {
        let client = client.clone();
        dials.spawn(async move { client.connect(at, "imanta").await.is_ok() });
    }
    let catching = tokio::task::spawn_blocking(move || {
        let mut packets = std::collections::BTreeMap::new();
        let mut buffer = vec![0; 2_048];
        while packets.len() < count {
            let length = catcher.recv(&mut buffer).expect("a first packet");
            // The ID follows the flags, the version and its own length; repetitions share it.
            packets.entry(buffer[6..14].to_vec()).or_insert_with(|| buffer[..length].to_vec());
        }
        packets.into_values().collect()
    });
    catching.await.expect("no panic")
}

fn addr_of(socket: &net::UdpSocket) -> net::SocketAddr {
    socket.local_addr().expect("bound")
}

/// Guards against a host that answers the handshakes of all its peers at once, so slowly that they
/// time out and are repeated.
#[tokio::test]
async fn handshakes_of_peers_are_not_limited() {
    /// The size of the first packet of a handshake, and of each answer to it.
    const PACKET: u64 = 1_200;
    /// A server sends at most three times what an unverified peer has sent.
    const MAX_PACKETS: u64 = 3;
    const PEERS: usize = 40;
    let mesh = Mesh::start();
    let identity = mesh.authority.issue("imanta", hosts::Role::Node).expect("issues");
    let limits = limits::Limits { max_handshakes: 4, ..limits::Limits::default() };
    let server = endpoint::Endpoint::bind(local(), &identity, limits).expect("binds");
    let at = addr(&server);
    // First packets of clients whose server does not answer; their handshakes never go on.
    let packets = first_packets(&mesh.client, PEERS).await;
    let mut received = 0;
    let peers = silent_peers(PEERS);
    for (peer, packet) in peers.iter().zip(&packets) {
        peer.set_nonblocking(true).expect("sets");
        peer.send_to(packet, at).expect("sends");
    }
    let until = tokio::time::Instant::now() + time::Duration::from_millis(500);
    let mut buffer = vec![0; 2_048];
    while tokio::time::Instant::now() < until {
        tokio::time::sleep(time::Duration::from_millis(10)).await;
        for peer in &peers {
            while let Ok(count) = peer.recv(&mut buffer) {
                // A refusal is a short packet.
                received += if count > 200 { count as u64 } else { 0 };
            }
        }
    }
    let limit = 4 * MAX_PACKETS * PACKET;
    assert!((1..=limit).contains(&received), "{received} bytes of handshakes, {limit} allowed");
}
