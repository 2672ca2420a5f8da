//! A request that crashes each backend server that runs it.

use std::time;

use compact_str::{CompactString, format_compact};

use crate::{backends, harness};

/// Crashes before the request is refused everywhere. The second crash is the evidence when its
/// request was the only suspect; another one or two may begin before all nodes have heard of it.
const MAX_CRASHES: u32 = 4;

/// Guards against a request that goes on crashing backend servers because its caller sends it
/// again under new keys, and against innocent requests that are lost beside it.
#[test]
fn crashing_request() {
    let work = backends::Work::new(time::Duration::from_millis(100), None, 0);
    harness::run(&["skulte", "jugla", "imanta", "skulte"], &work, async |mesh| {
        let mut innocents = tokio::task::JoinSet::new();
        for node in &mesh.nodes {
            innocents.spawn(read_on(mesh.client(), node.front));
        }
        let mut refused = 0;
        let mut sends = 0;
        // Quarantined means refused by each node, one after the other.
        while refused < mesh.nodes.len() {
            assert!(sends < 40, "no quarantine after {sends} sends, {} crashes", work.crashes());
            let reply = mesh.send(sends % mesh.nodes.len(), &poison(sends)).await;
            let quarantined = reply.as_ref().is_ok_and(|it| it.status == 422 && it.not_run);
            refused = if quarantined { refused + 1 } else { 0 };
            sends += 1;
            let pause = if quarantined { 50 } else { 500 };
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
        }
        let crashes = work.crashes();
        assert!((2..=MAX_CRASHES).contains(&crashes), "{crashes} crashes in {sends} sends");
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let mut summary = String::new();
        for node in 0..mesh.nodes.len() {
            let reply = mesh.send(node, &poison(sends + node)).await.expect("an answer");
            let harness::Reply { status, not_run, reason, .. } = reply;
            summary +=
                &format!("{}: {status} {reason}, not run {not_run}\n", mesh.nodes[node].name);
        }
        insta::assert_snapshot!(summary);
        assert_eq!(work.crashes(), crashes, "no crash after the quarantine");
        if let Some(Err(err)) = innocents.try_join_next() {
            panic!("an innocent read was not served: {err}");
        }
        mesh.all_serve().await;
    });
}

fn poison(number: usize) -> harness::Send {
    harness::Send {
        key: Some(format_compact!("poison-{number}")),
        body: backends::POISON.into(),
        attempt: CompactString::default(),
    }
}

/// Reads without end. Each read must be served; a refusal as not run is sent again.
async fn read_on(client: web::client::Client, node: std::net::SocketAddr) {
    let mut refused = 0;
    for number in 0_u32.. {
        let body = format_compact!("innocent-{number}");
        let send = harness::Send { key: None, body, attempt: CompactString::default() };
        let reply = harness::deliver(&client, node, &send).await.expect("an answer");
        match reply {
            it if it.status == 200 => refused = 0,
            it if it.not_run && refused < 20 => refused += 1,
            it => panic!("an innocent read was not served, {refused} refusals before: {it:?}"),
        }
        tokio::time::sleep(time::Duration::from_millis(30)).await;
    }
}
