//! Links over loopback: identity, streams that end in different ways, the pool and closing.

use std::{fmt::Write as _, net, time};

use bytes::Bytes;
use transport::{codes, endpoint, errors, identity, limits, links, pool, streams};
use world::hosts;

/// Longer than any step takes on a busy machine.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

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
        let far = soon(self.server.accept()).await.expect("accepts");
        (near, far)
    }
}

async fn soon<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(PATIENCE, future).await.expect("in time")
}

async fn next(link: &links::Link) -> (streams::Sender, streams::Receiver) {
    soon(link.accept_stream()).await.expect("link is whole").expect("link is open")
}

/// Guards against lost or reordered messages and bytes, and a wrong identity on either side.
#[tokio::test]
async fn round_trip() {
    let mesh = Mesh::start();
    let (near, far) = mesh.pair().await;
    assert_eq!((near.host(), near.role()), ("skulte", hosts::Role::Control));
    assert_eq!((far.host(), far.role()), ("jugla-1", hosts::Role::Node));

    let (mut sender, mut answers) = near.open_stream().await.expect("opens");
    // The large message exceeds the stream's window, so it is sent while the other side reads.
    let sending = tokio::spawn(async move {
        sender.send(&"question".to_string()).await.expect("sends");
        sender.send(&vec![7_u8; 700_000]).await.expect("sends");
        sender.send_bytes(Bytes::from_static(b"body")).await.expect("sends");
        sender.finish().expect("finishes");
    });
    let (mut back, mut receiver) = next(&far).await;
    assert_eq!(soon(receiver.recv::<String>()).await.expect("whole"), Some("question".into()));
    let large = soon(receiver.recv::<Vec<u8>>()).await.expect("whole").expect("a message");
    assert_eq!(large.len(), 700_000);
    assert_eq!(soon(receiver.recv_bytes()).await.expect("whole"), Some(Bytes::from("body")));
    assert_eq!(soon(receiver.recv_bytes()).await.expect("finished"), None);
    soon(sending).await.expect("sends all");
    back.send(&9_u32).await.expect("sends");
    back.finish().expect("finishes");
    assert_eq!(soon(answers.recv::<u32>()).await.expect("whole"), Some(9));
    assert_eq!(soon(answers.recv::<u32>()).await.expect("finished"), None);
}

/// Guards against a stream that was cut short being taken for a whole one.
#[tokio::test]
async fn endings() {
    let mut out = String::new();
    for ending in ["finish", "reset", "drop", "abandoned write", "inside a frame", "link closed"] {
        let mesh = Mesh::start();
        let (near, far) = mesh.pair().await;
        let (mut sender, _answers) = near.open_stream().await.expect("opens");
        sender.send(&1_u32).await.expect("sends");
        let (_back, mut receiver) = next(&far).await;
        assert_eq!(soon(receiver.recv::<u32>()).await.expect("whole"), Some(1));
        match ending {
            "finish" => sender.finish().expect("finishes"),
            "reset" => sender.reset(),
            "drop" => drop(sender),
            "abandoned write" => {
                // Larger than all windows, so that the write cannot complete.
                let write = sender.send_bytes(Bytes::from(vec![0; 4 << 20]));
                let short = time::Duration::from_millis(50);
                assert!(tokio::time::timeout(short, write).await.is_err());
                assert!(matches!(sender.finish(), Err(errors::Error::Partial)));
                while let Ok(Some(_)) = soon(receiver.recv_bytes()).await {}
            }
            "inside a frame" => {
                sender.send_bytes(Bytes::from_static(&[0, 0, 0, 9, 1])).await.expect("sends");
                sender.finish().expect("finishes");
            }
            _ => near.close(codes::Code::Done),
        }
        let result = soon(receiver.recv::<u32>()).await;
        assert_eq!(matches!(result, Ok(None)), ending == "finish", "{ending}: {result:?}");
        let text = result.map_or_else(|it| it.to_string(), |_| "finished".into());
        writeln!(out, "{ending}: {text}").expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a bad frame being skipped: the peer learns the reason and the link closes.
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
        let error = soon(receiver.recv::<u32>()).await.expect_err(name);
        assert!(matches!(error, errors::Error::Codec(_)), "{name}: {error}");
        writeln!(out, "{name}: {error}; peer sees: {}", soon(near.closed()).await).expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a peer that fills memory with frames it never completes.
#[tokio::test]
async fn incomplete_frames_are_bounded() {
    let mesh = Mesh::start();
    let identity = mesh.authority.issue("imanta", hosts::Role::Node).expect("issues");
    let limits = limits::Limits { max_partial: 100_000, ..limits::Limits::default() };
    let server = endpoint::Endpoint::bind(local(), &identity, limits).expect("binds");
    let near = mesh.client.connect(addr(&server), "imanta").await.expect("connects");
    let far = soon(server.accept()).await.expect("accepts");
    let (mut sender, _answers) = near.open_stream().await.expect("opens");
    let mut frame = vec![0_u8; 150_000];
    frame[..4].copy_from_slice(&1_000_000_u32.to_be_bytes());
    sender.send_bytes(Bytes::from(frame)).await.expect("sends");
    let (_back, mut receiver) = next(&far).await;
    let error = soon(receiver.recv::<Vec<u8>>()).await.expect_err("over the limit");
    assert!(matches!(error, errors::Error::Memory), "{error}");
    soon(near.closed()).await;
}

/// Guards against a process outside the mesh, or one that takes another's place.
#[tokio::test]
async fn strangers() {
    let mesh = Mesh::start();
    let target = addr(&mesh.server);
    let other = identity::Authority::create().expect("creates");
    let stranger = other.issue("jugla-1", hosts::Role::Node).expect("issues");
    // The stranger trusts the mesh, so that only the server's check can refuse it.
    let trusting =
        identity::Identity::from_pem(stranger.pem().clone(), &mesh.authority.pem().certificate);
    let trusting = bind(&trusting.expect("reads"));
    if let Ok(link) = trusting.connect(target, "skulte").await {
        // The client completes its side of a TLS 1.3 handshake before the server's check.
        soon(link.closed()).await;
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
        let error = soon(endpoint.connect(target, host)).await.err().expect(name);
        writeln!(out, "{name}: {error}").expect("text");
    }
    insta::assert_snapshot!(out);
    assert!(mesh.client.connect(target, "skulte").await.is_ok());
}

/// Guards against certificates that do not survive being written and read.
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

/// Guards against one connection per caller, and against a dead link that stays in the pool.
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
    let far = soon(mesh.server.accept()).await.expect("accepts");
    for link in [a, b, c] {
        drop(link.expect("connects").open_stream().await.expect("opens"));
    }
    far.close(codes::Code::Done);
    soon(links.link("skulte", target).await.expect("still pooled or new").closed()).await;
    links.link("skulte", target).await.expect("connects again");
    soon(mesh.server.accept()).await.expect("accepts again");
    assert!(links.link("imanta", target).await.is_err());
    let short = time::Duration::from_millis(100);
    assert!(tokio::time::timeout(short, mesh.server.accept()).await.is_err(), "one link each");
}

/// Guards against a planned close that cuts off a stream in flight, or that never ends.
#[tokio::test]
async fn graceful_close() {
    let mesh = Mesh::start();
    let (near, far) = mesh.pair().await;
    let (mut sender, mut answers) = near.open_stream().await.expect("opens");
    sender.send(&1_u32).await.expect("sends");
    let (mut back, mut receiver) = next(&far).await;
    let server = mesh.server.clone();
    let closing = tokio::spawn(async move { server.close(PATIENCE).await });
    assert!(soon(mesh.server.accept()).await.is_none());
    assert_eq!(soon(receiver.recv::<u32>()).await.expect("whole"), Some(1));
    back.send(&2_u32).await.expect("sends");
    back.finish().expect("finishes");
    drop(receiver);
    assert_eq!(soon(answers.recv::<u32>()).await.expect("whole"), Some(2));
    assert_eq!(soon(answers.recv::<u32>()).await.expect("finished"), None);
    let closed = soon(closing).await.expect("closes");
    assert_eq!(closed, endpoint::Closed { finished: 1, aborted: 0 });
    assert!(soon(far.accept_stream()).await.expect("planned").is_none());
    assert!(soon(near.accept_stream()).await.expect("planned").is_none());

    let mesh = Mesh::start();
    let (near, far) = mesh.pair().await;
    let (mut sender, mut answers) = near.open_stream().await.expect("opens");
    sender.send(&1_u32).await.expect("sends");
    let _held = next(&far).await;
    let closed = soon(mesh.server.close(time::Duration::from_millis(50))).await;
    assert_eq!(closed, endpoint::Closed { finished: 0, aborted: 1 });
    assert!(soon(answers.recv::<u32>()).await.is_err(), "a cut-off stream is not finished");
}

/// Guards against work that goes on after its caller gave up.
#[tokio::test]
async fn cancellation() {
    let mesh = Mesh::start();
    let (near, far) = mesh.pair().await;
    let (mut sender, answers) = near.open_stream().await.expect("opens");
    sender.send(&1_u32).await.expect("sends");
    let (back, _receiver) = next(&far).await;
    drop(answers);
    soon(back.cancelled()).await;
}

/// Guards against a peer that goes on sending into a link of a process that was killed: the process
/// after it, with a new key, says at once that it does not know the link. A link without that word
/// ends when it has been idle for 3 s.
#[tokio::test]
async fn killed_and_started_again() {
    let mesh = Mesh::start();
    let issue = || mesh.authority.issue("imanta", hosts::Role::Node).expect("issues");
    let (killed, at) = start_apart(issue()).await;
    let near = soon(mesh.client.connect(at, "imanta")).await.expect("connects");
    killed.shutdown_background();
    let limits = limits::Limits::default();
    let again = soon(async {
        loop {
            match endpoint::Endpoint::bind(at, &issue(), limits) {
                Ok(it) => return it,
                Err(_) => tokio::time::sleep(time::Duration::from_millis(10)).await,
            }
        }
    });
    let _again = again.await;
    let (mut sender, _receiver) = near.open_stream().await.expect("the link looks whole");
    sender.send(&"work").await.expect("the link looks whole");
    let closed = tokio::time::timeout(limits.idle_timeout / 3, near.closed());
    assert!(closed.await.is_ok(), "the link still looks whole");
}

/// Starts an endpoint that takes links, in a runtime that can end without a word to its peers.
async fn start_apart(identity: identity::Identity) -> (tokio::runtime::Runtime, net::SocketAddr) {
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
