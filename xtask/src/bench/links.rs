//! What a link between two processes costs: bytes and CPU time of its handshake, of being open and
//! idle, and of a message with its answer. Both ends are in the bench's process, on loopback.
//!
//! A plain TCP connection is measured beside it. It has no encryption, no names of the peers and
//! one message at a time, so it is a lower bound and not an alternative by itself.

use std::{net, process, time};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task,
};
use transport::{endpoint, identity, limits, links};
use world::hosts;

use super::processes;

const SECRET: &str = "secret-of-the-bench";
const SERVER: &str = "jugla-1";
const CLIENT: &str = "skulte-1";
/// How long the open links are left idle before their bytes are read.
const IDLE_TIME: time::Duration = time::Duration::from_secs(5);
/// Size of a message and of its answer.
const MESSAGE_BYTES: usize = 1_024;

/// Measure what links between processes cost, beside plain TCP connections.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "links")]
pub(crate) struct Args {
    /// links to open (default 500)
    #[argh(option, default = "500")]
    links: u32,
    /// messages to send over one link (default 20000)
    #[argh(option, default = "20000")]
    messages: u32,
}

/// CPU time of both ends in microseconds, and bytes of the side that connects.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    cpu_us: f64,
    sent: f64,
    received: f64,
}

pub(crate) fn run(args: &Args) -> eyre::Result<()> {
    processes::run_until_signal(async {
        print_heading();
        let (client, server) = bind_endpoints()?;
        let addr = server.local_addr()?;
        let serving = task::spawn(transport::serving::serve(server, echo));
        let (links, opened) = open_links(&client, addr, args.links).await?;
        print("QUIC with mutual TLS", "handshake", &opened);
        print("QUIC with mutual TLS", "first 5 s idle", &stay_idle(&links).await?);
        print("QUIC with mutual TLS", "5 s idle", &stay_idle(&links).await?);
        print("QUIC with mutual TLS", "message", &send_messages(&links[0], args.messages).await?);
        serving.abort();
        measure_tcp(args).await
    })
}

#[expect(clippy::print_stdout, reason = "the table is the bench's output")]
fn print_heading() {
    println!("| connection | what | CPU us of both ends | bytes sent | bytes received |");
    println!("|{}", " --- |".repeat(5));
}

#[expect(clippy::print_stdout, reason = "the table is the bench's output")]
fn print(connection: &str, what: &str, cost: &Cost) {
    let Cost { cpu_us, sent, received } = cost;
    println!("| {connection} | {what} | {cpu_us:.0} | {sent:.0} | {received:.0} |");
}

fn bind_endpoints() -> eyre::Result<(endpoint::Endpoint, endpoint::Endpoint)> {
    let authority = identity::Authority::from_secret(SECRET)?;
    let bind = |name| -> eyre::Result<_> {
        let identity = authority.issue(name, hosts::Role::Node)?;
        let addr = (net::Ipv4Addr::LOCALHOST, 0).into();
        Ok(endpoint::Endpoint::bind(addr, &identity, limits::Limits::default())?)
    };
    Ok((bind(CLIENT)?, bind(SERVER)?))
}

/// Answers each message with bytes of the same length.
async fn echo(
    _link: links::Link,
    mut sender: transport::streams::Sender,
    mut receiver: transport::streams::Receiver,
) {
    if let Ok(Some(message)) = receiver.recv::<Bytes>().await
        && sender.send(&message).await.is_ok()
    {
        // The bench notices a stream that breaks.
        let _ = sender.finish();
    }
}

fn cpu_us() -> eyre::Result<f64> {
    Ok(processes::read_usage(process::id())?.cpu_s * 1e6)
}

async fn open_links(
    client: &endpoint::Endpoint,
    addr: net::SocketAddr,
    count: u32,
) -> eyre::Result<(Vec<links::Link>, Cost)> {
    let before = cpu_us()?;
    let mut links = Vec::new();
    for _ in 0..count {
        links.push(client.connect(addr, SERVER).await?);
    }
    let traffic = total(&links);
    let cost = Cost { cpu_us: cpu_us()? - before, sent: traffic.0, received: traffic.1 };
    Ok((links, cost.divide(count)))
}

async fn stay_idle(links: &[links::Link]) -> eyre::Result<Cost> {
    let (before, cpu_before) = (total(links), cpu_us()?);
    tokio::time::sleep(IDLE_TIME).await;
    let after = total(links);
    let cost = Cost {
        cpu_us: cpu_us()? - cpu_before,
        sent: after.0 - before.0,
        received: after.1 - before.1,
    };
    Ok(cost.divide(u32::try_from(links.len())?))
}

async fn send_messages(link: &links::Link, count: u32) -> eyre::Result<Cost> {
    let message = Bytes::from(vec![0; MESSAGE_BYTES]);
    let (before, cpu_before) = (link.traffic(), cpu_us()?);
    for _ in 0..count {
        let (mut sender, mut receiver) = link.open_stream().await?;
        sender.send(&message).await?;
        sender.finish()?;
        eyre::ensure!(receiver.recv::<Bytes>().await?.is_some(), "a message was not answered");
    }
    let traffic = link.traffic().since(before);
    let cost = Cost {
        cpu_us: cpu_us()? - cpu_before,
        sent: traffic.sent as f64,
        received: traffic.received as f64,
    };
    Ok(cost.divide(count))
}

/// Opens plain TCP connections and sends messages over one of them. Their bytes are not counted,
/// since the headers of the packets are not visible here.
async fn measure_tcp(args: &Args) -> eyre::Result<()> {
    let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
    let addr = listener.local_addr()?;
    let serving = task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(echo_tcp(stream));
        }
    });
    let before = cpu_us()?;
    let mut streams = Vec::new();
    for _ in 0..args.links {
        streams.push(TcpStream::connect(addr).await?);
    }
    let opened = Cost { cpu_us: cpu_us()? - before, ..Cost::default() };
    print("plain TCP", "handshake", &opened.divide(args.links));
    let mut stream = streams.swap_remove(0);
    stream.set_nodelay(true)?;
    let mut message = vec![0; MESSAGE_BYTES];
    let before = cpu_us()?;
    for _ in 0..args.messages {
        stream.write_all(&message).await?;
        stream.read_exact(&mut message).await?;
    }
    let sent = Cost { cpu_us: cpu_us()? - before, ..Cost::default() };
    print("plain TCP", "message", &sent.divide(args.messages));
    serving.abort();
    Ok(())
}

async fn echo_tcp(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut message = vec![0; MESSAGE_BYTES];
    loop {
        stream.read_exact(&mut message).await?;
        stream.write_all(&message).await?;
    }
}

/// Bytes that the links have sent and received.
fn total(links: &[links::Link]) -> (f64, f64) {
    let traffic = links.iter().map(links::Link::traffic);
    traffic.fold((0.0, 0.0), |sum, it| (sum.0 + it.sent as f64, sum.1 + it.received as f64))
}

impl Cost {
    fn divide(self, count: u32) -> Cost {
        let count = f64::from(count);
        Cost {
            cpu_us: self.cpu_us / count,
            sent: self.sent / count,
            received: self.received / count,
        }
    }
}
