//! Backend servers that count their requests and fail as a test specifies.

use std::{
    net,
    sync::{Arc, atomic},
    time,
};

use heatherwalk::example;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task,
};

use crate::mesh;

/// What a server does with a request that it has read.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends these bytes and closes the connection.
    Send(Vec<u8>),
    /// Does the same after a delay, unless the connection is closed first.
    After(time::Duration, Vec<u8>),
    /// Sends these bytes, then waits until the connection is closed.
    Partly(Vec<u8>),
    /// Sends these bytes in that many pieces with a pause before each, then closes the connection.
    Slowly(Vec<u8>, usize, time::Duration),
    /// Sends the first bytes, then the second ones again and again until the connection is closed.
    Endless(Vec<u8>, Vec<u8>),
    /// Sends nothing and waits until the connection is closed.
    Freeze,
    /// Answers that it did not run the request.
    Shed,
}

/// The counters of a server.
#[derive(Default)]
pub struct Counts {
    /// Requests that it began to run.
    pub runs: atomic::AtomicUsize,
    /// Requests that it shed.
    pub shed: atomic::AtomicUsize,
    /// Requests whose connection was closed while it ran them.
    pub cancelled: atomic::AtomicUsize,
    /// Bytes of endless answers that the system took from it.
    pub endless: atomic::AtomicUsize,
    /// Requests that it runs.
    running: atomic::AtomicUsize,
    /// Most requests that it has run at the same time.
    pub most_running: atomic::AtomicUsize,
}

/// Counts a request as running until it is dropped.
struct Running(Arc<Counts>);

/// A running server. Dropping it stops it at once.
pub struct Server {
    pub counts: Arc<Counts>,
    pub addr: net::SocketAddr,
    listening: task::JoinSet<()>,
    announcing: task::JoinSet<()>,
}

/// An HTTP response with a content length.
pub fn answer(status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n{fields}\r\n"
    );
    [head.as_bytes(), body].concat()
}

impl Running {
    fn begin(counts: &Arc<Counts>) -> Running {
        let running = counts.running.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        counts.most_running.fetch_max(running, atomic::Ordering::SeqCst);
        Running(Arc::clone(counts))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

impl Counts {
    /// The number of requests that it began to run.
    pub fn runs(&self) -> usize {
        self.runs.load(atomic::Ordering::SeqCst)
    }

    /// The number of requests whose connection was closed while it ran them.
    pub fn cancelled(&self) -> usize {
        self.cancelled.load(atomic::Ordering::SeqCst)
    }

    /// Waits until a count has reached a value.
    pub async fn wait(&self, count: fn(&Counts) -> usize, value: usize) {
        let until = tokio::time::Instant::now() + mesh::TIMEOUT;
        while count(self) < value {
            assert!(tokio::time::Instant::now() < until, "{} of {value}", count(self));
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }
}

impl Server {
    /// Starts a server of `service` for the node that takes announcements at `announce`. `handle`
    /// gets the head and the body of each request. Paths that end in `/ready` are answered with 200
    /// and not counted.
    pub async fn spawn(
        announce: net::SocketAddr,
        service: &str,
        slots: u32,
        handle: impl Fn(&str, &[u8]) -> Action + Send + Sync + 'static,
    ) -> Server {
        Server::spawn_version(announce, service, slots, "", handle).await
    }

    /// Starts a server like `spawn`, with this software version.
    pub async fn spawn_version(
        announce: net::SocketAddr,
        service: &str,
        slots: u32,
        version: &str,
        handle: impl Fn(&str, &[u8]) -> Action + Send + Sync + 'static,
    ) -> Server {
        let mut server = Server::listen(handle).await;
        let settings =
            example::Settings { service: service.into(), name: service.into(), announce, slots };
        let announcement = node::backend::Announcement {
            version: version.into(),
            ..example::announcement(settings, server.addr)
        };
        server.announcing.spawn(async move {
            let (_keep, drain) = tokio::sync::watch::channel(false);
            example::renew(announce, announcement, drain).await;
        });
        server
    }

    /// Starts a server that nobody announces.
    pub async fn listen(handle: impl Fn(&str, &[u8]) -> Action + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind(mesh::loopback()).await.expect("binds");
        let addr = listener.local_addr().expect("has an address");
        let counts = Arc::new(Counts::default());
        let mut listening = task::JoinSet::new();
        listening.spawn(listen(listener, Arc::clone(&counts), Arc::new(handle)));
        Server { counts, addr, listening, announcing: task::JoinSet::new() }
    }

    /// Refuses connections from now on, but still announces the server.
    pub async fn refuse(&mut self) {
        self.listening.shutdown().await;
    }
}

type Handler = dyn Fn(&str, &[u8]) -> Action + Send + Sync;

async fn listen(listener: TcpListener, counts: Arc<Counts>, handle: Arc<Handler>) {
    let mut tasks = task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            it = listener.accept() => it,
            Some(_) = tasks.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else { continue };
        tasks.spawn(serve(stream, Arc::clone(&counts), Arc::clone(&handle)));
    }
}

async fn serve(mut stream: TcpStream, counts: Arc<Counts>, handle: Arc<Handler>) {
    let Some((head, body)) = read(&mut stream).await else { return };
    let path = head.split(' ').nth(1).unwrap_or_default();
    if path.ends_with("/ready") {
        let _ = stream.write_all(&answer("200 OK", "", b"")).await;
        return;
    }
    let action = handle(&head, &body);
    let shed = matches!(action, Action::Shed);
    let count = if shed { &counts.shed } else { &counts.runs };
    count.fetch_add(1, atomic::Ordering::SeqCst);
    let _running = (!shed).then(|| Running::begin(&counts));
    let bytes = match action {
        Action::Send(bytes) => bytes,
        Action::Slowly(bytes, pieces, pause) => {
            for piece in bytes.chunks(bytes.len().div_ceil(pieces)) {
                tokio::time::sleep(pause).await;
                if stream.write_all(piece).await.is_err() {
                    counts.cancelled.fetch_add(1, atomic::Ordering::SeqCst);
                    return;
                }
            }
            Vec::new()
        }
        Action::Endless(first, repeated) => {
            let mut next = stream.write_all(&first).await.map(|()| 0);
            while next.is_ok() {
                next = stream.write(&repeated).await;
                let count = next.as_ref().map_or(0, |it| *it);
                counts.endless.fetch_add(count, atomic::Ordering::SeqCst);
            }
            counts.cancelled.fetch_add(1, atomic::Ordering::SeqCst);
            return;
        }
        Action::Shed => answer("503 Service Unavailable", "heatherwalk-not-run: true\r\n", b""),
        Action::After(pause, bytes) => {
            tokio::select! {
                () = tokio::time::sleep(pause) => bytes,
                () = closed(&mut stream) => {
                    counts.cancelled.fetch_add(1, atomic::Ordering::SeqCst);
                    return;
                }
            }
        }
        Action::Partly(bytes) => {
            let _ = stream.write_all(&bytes).await;
            closed(&mut stream).await;
            counts.cancelled.fetch_add(1, atomic::Ordering::SeqCst);
            return;
        }
        Action::Freeze => {
            closed(&mut stream).await;
            counts.cancelled.fetch_add(1, atomic::Ordering::SeqCst);
            return;
        }
    };
    let _ = stream.write_all(&bytes).await;
    let _ = stream.shutdown().await;
}

async fn closed(stream: &mut TcpStream) {
    let mut byte = [0];
    while stream.read(&mut byte).await.is_ok_and(|it| it > 0) {}
}

/// Reads the head of a request, and its body if the head has a content length.
async fn read(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        fill(stream, &mut bytes).await?;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
    let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or(0);
    while bytes.len() < end + length {
        fill(stream, &mut bytes).await?;
    }
    Some((head, bytes.split_off(end)))
}

async fn fill(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let read = stream.read_buf(bytes).await.ok()?;
    (read > 0).then_some(())
}
