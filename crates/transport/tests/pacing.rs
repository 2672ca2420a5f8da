//! The queue of messages for a host's network link.

use std::{net, time};

use bytes::Bytes;
use transport::{endpoint, identity, limits, links};
use world::hosts;

/// 1.75 Mbit/s, in bytes per second.
const LINK_RATE: u64 = 218_750;
/// Longer than any step takes, also on a busy machine.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

fn bind(authority: &identity::Authority, host: &str, rate: Option<u64>) -> endpoint::Endpoint {
    let identity = authority.issue(host, hosts::Role::Node).expect("issues");
    let limits = limits::Limits { link_rate: rate, ..limits::Limits::default() };
    let addr = net::SocketAddr::from(([127, 0, 0, 1], 0));
    endpoint::Endpoint::bind(addr, &identity, limits).expect("binds")
}

/// Links from one endpoint to `count` others, whose streams are read.
async fn links(sender: &endpoint::Endpoint, count: usize) -> Vec<links::Link> {
    let authority = identity::Authority::from_secret("pacing").expect("derives");
    let mut links = Vec::new();
    for index in 0..count {
        let host = format!("jugla-{index}");
        let peer = bind(&authority, &host, None);
        let addr = peer.local_addr().expect("bound");
        tokio::spawn(transport::serving::serve(peer, |_, _sender, mut receiver| async move {
            while let Ok(Some(_)) = receiver.recv_bytes().await {}
        }));
        links.push(sender.connect(addr, &host).await.expect("connects"));
    }
    links
}

/// Sends a message of `bytes` over each link at the same time, and returns how long it took.
async fn send_all(links: &[links::Link], bytes: usize) -> time::Duration {
    let started_at = time::Instant::now();
    let mut sends = tokio::task::JoinSet::new();
    for link in links {
        let link = link.clone();
        sends.spawn(async move {
            let (mut sender, _receiver) = link.open_stream().await.expect("opens");
            sender.send_bytes(Bytes::from(vec![0; bytes])).await.expect("sends");
            sender.finish().expect("finishes");
        });
    }
    tokio::time::timeout(TIMEOUT, async { while sends.join_next().await.is_some() {} })
        .await
        .expect("in time");
    started_at.elapsed()
}

/// Guards against answers over many links that together exceed the rate of the host's network link:
/// most packets were lost and sent again, and the host counted as silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_links_exceed_the_network_link() {
    let authority = identity::Authority::from_secret("pacing").expect("derives");
    let sender = bind(&authority, "skulte-1", Some(LINK_RATE));
    let links = links(&sender, 20).await;
    let before = sender.counts();
    let took = send_all(&links, 5_000).await;
    // Until the last packets have been sent.
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    let sent = sender.counts().since(before).sent;
    // 95% of the rate, and what may be sent at once or wait on the link.
    let room = (took + time::Duration::from_millis(45)).as_secs_f64() * 0.95 * LINK_RATE as f64;
    assert!(sent >= 100_000 && sent as f64 <= room, "{sent} bytes in {took:?}, room for {room:.0}");
}

/// Guards against requests that are refused or delayed on hosts whose link has room.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_wait_without_a_backlog() {
    let authority = identity::Authority::from_secret("pacing").expect("derives");
    let unlimited = bind(&authority, "skulte-1", None);
    send_all(&links(&unlimited, 4).await, 500_000).await;
    assert_eq!(unlimited.backlog(), time::Duration::ZERO);
    let sender = bind(&authority, "skulte-2", Some(LINK_RATE));
    let links = links(&sender, 1).await;
    // The link also carries the handshake, for about 15 ms.
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    send_all(&links, 1_000).await;
    assert!(sender.backlog() <= time::Duration::from_millis(10), "{:?}", sender.backlog());
}

/// Guards against a queue that stays long after the requests in it were cancelled, so that the node
/// goes on refusing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_messages_keep_their_place() {
    let authority = identity::Authority::from_secret("pacing").expect("derives");
    let sender = bind(&authority, "skulte-1", Some(LINK_RATE));
    let links = links(&sender, 1).await;
    let mut sends = tokio::task::JoinSet::new();
    for _ in 0..200 {
        let link = links[0].clone();
        sends.spawn(async move {
            let (mut sender, _receiver) = link.open_stream().await.expect("opens");
            // The task is aborted while it waits.
            let _ = sender.send_bytes(Bytes::from(vec![0; 4_000])).await;
        });
    }
    let started_at = time::Instant::now();
    while sender.backlog() < time::Duration::from_millis(1_500) {
        assert!(started_at.elapsed() < TIMEOUT, "the queue does not grow");
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    sends.shutdown().await;
    assert!(sender.backlog() <= time::Duration::from_millis(200), "{:?}", sender.backlog());
}

/// Guards against a queue that grows without end by messages that do not wait, so that the node
/// refuses requests long after the load.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_messages_grow_the_queue_without_end() {
    let authority = identity::Authority::from_secret("pacing").expect("derives");
    let sender = bind(&authority, "skulte-1", Some(1_000));
    let links = links(&sender, 1).await;
    for _ in 0..50 {
        send_all(&links, 400).await;
    }
    assert!(sender.backlog() <= time::Duration::from_secs(2), "{:?}", sender.backlog());
}

/// Guards against an answer that waits for the whole queue again for its head and for each piece, so
/// that it takes several times as long as the queue that it was admitted to.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_waits_for_the_queue_several_times() {
    const ANSWER_BYTES: usize = 12_000;
    const OTHER_BYTES: usize = 4_000;
    let authority = identity::Authority::from_secret("pacing").expect("derives");
    let sender = bind(&authority, "skulte-1", Some(LINK_RATE));
    let links = links(&sender, 2).await;
    // Keeps the queue at about the bytes of 16 messages.
    let mut others = tokio::task::JoinSet::new();
    for _ in 0..16 {
        let link = links[0].clone();
        others.spawn(async move {
            let (mut sender, _receiver) = link.open_stream().await.expect("opens");
            while sender.send_bytes(Bytes::from(vec![0; OTHER_BYTES])).await.is_ok() {}
        });
    }
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let queue = sender.backlog();
    let started_at = time::Instant::now();
    let (mut answer, _receiver) = links[1].open_stream().await.expect("opens");
    answer.send_with(&"a head", &[0; ANSWER_BYTES]).await.expect("sends");
    let took = started_at.elapsed();
    others.shutdown().await;
    assert!(queue >= time::Duration::from_millis(150), "the queue is short: {queue:?}");
    let limit = queue + queue / 2 + time::Duration::from_millis(100);
    assert!(took <= limit, "an answer took {took:?} with a queue of {queue:?}");
}

/// Guards against a slow link on which each piece of a message counts as a full queue, so that its
/// own packets are dropped and the link between the hosts breaks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_piece_of_a_message_fills_a_slow_link() {
    let authority = identity::Authority::from_secret("pacing").expect("derives");
    let sender = bind(&authority, "skulte-1", Some(LINK_RATE / 10));
    let links = links(&sender, 1).await;
    send_all(&links, 20_000).await;
    assert_eq!(sender.counts().dropped, 0, "bytes dropped");
}

/// Guards against answers of calls that wait behind large answers for the host's network link, and
/// against a large answer that becomes late since later ones take turns with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_answers_wait_behind_large_ones() {
    let authority = identity::Authority::from_secret("pacing").expect("derives");
    let sender = bind(&authority, "skulte-1", Some(LINK_RATE));
    let links = links(&sender, 3).await;
    let before = sender.counts();
    let started_at = time::Instant::now();
    let mut large = tokio::task::JoinSet::new();
    for (index, bytes) in [150_000, 200_000, 90_000].into_iter().enumerate() {
        let link = links[index].clone();
        large.spawn(async move {
            send_all(&[link], bytes).await;
            (index, started_at.elapsed())
        });
        // They join the queue in this order.
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let mut waits = Vec::new();
    while started_at.elapsed() < time::Duration::from_millis(700) {
        waits.push(send_all(&links[..1], 2_000).await);
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    let longest = waits.iter().max().expect("some were sent");
    assert!(*longest <= time::Duration::from_millis(120), "small messages took {waits:?}");
    let mut ended = large.join_all().await;
    ended.sort_unstable();
    let took = started_at.elapsed();
    assert!(ended[0].1 < took.mul_f32(0.5), "the first large message was delayed: {ended:?}");
    let sent = sender.counts().since(before).sent;
    let room = (took + time::Duration::from_millis(45)).as_secs_f64() * 0.95 * LINK_RATE as f64;
    assert!(sent as f64 <= room, "{sent} bytes in {took:?}, room for {room:.0}");
    // 88% of the rate, less the headers of packets and what a busy machine takes.
    assert!(440_000.0 >= 0.7 * took.as_secs_f64() * LINK_RATE as f64, "{took:?} for 440,000 bytes");
}
