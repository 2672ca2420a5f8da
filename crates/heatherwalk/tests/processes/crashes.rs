//! A request that crashes each backend server that runs it.

use std::time;

use compact_str::{CompactString, format_compact};

use crate::{backends, harness};

/// The limit of crashes until all nodes refuse the request. The second crash is sufficient evidence
/// when its request was the only suspect; one or two more may begin before all nodes know of it.
const MAX_CRASHES: u32 = 4;

/// Guards against a request that keeps crashing backend servers because its caller resends it with
/// new idempotency keys, and against other requests that are lost in the crashes.
#[test]
fn crashing_request() {
    let state = backends::State::new(time::Duration::from_millis(100), None, 0);
    harness::run(&["skulte", "jugla", "imanta", "skulte"], &state, async |mesh| {
        let mut readers = tokio::task::JoinSet::new();
        for node in &mesh.nodes {
            readers.spawn(read_forever(mesh.client(), node.clients));
        }
        let mut refused = 0;
        let mut sends = 0;
        // The request is quarantined once all nodes, one after the other, have refused it.
        while refused < mesh.nodes.len() {
            assert!(sends < 40, "no quarantine after {sends} sends, {} crashes", state.crashes());
            let reply = mesh.send(sends % mesh.nodes.len(), &poison(sends)).await;
            let quarantined = reply.as_ref().is_ok_and(|it| it.status == 422 && it.not_run);
            refused = if quarantined { refused + 1 } else { 0 };
            sends += 1;
            let pause = if quarantined { 50 } else { 500 };
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
        }
        let crashes = state.crashes();
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
        assert_eq!(state.crashes(), crashes, "no crash after the quarantine");
        if let Some(Err(err)) = readers.try_join_next() {
            panic!("a harmless read was not served: {err}");
        }
        mesh.wait_serving().await;
    });
}

fn poison(number: usize) -> harness::Request {
    harness::Request {
        key: Some(format_compact!("poison-{number}")),
        body: backends::POISON.into(),
        attempt: CompactString::default(),
    }
}

/// Sends reads until the task is aborted. Each must be served; one refused as not run is resent.
async fn read_forever(client: web::client::Client, node: std::net::SocketAddr) {
    let mut refused = 0;
    for number in 0_u32.. {
        let body = format_compact!("innocent-{number}");
        let request = harness::Request { key: None, body, attempt: CompactString::default() };
        let reply = harness::send_request(&client, node, &request).await.expect("an answer");
        match reply {
            it if it.status == 200 => refused = 0,
            it if it.not_run && refused < 20 => refused += 1,
            it => panic!("a harmless read was not served, {refused} refusals before: {it:?}"),
        }
        tokio::time::sleep(time::Duration::from_millis(30)).await;
    }
}
