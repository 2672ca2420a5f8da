//! Requests that are refused for the sake of more urgent ones at a service that they call.

use std::{net, time::Duration};

use heatherwalk::example;
use serde_json::json;

use crate::{callers, mesh};

/// How the requests of the less urgent service ended.
#[derive(Clone, Copy, Debug, Default)]
struct Ended {
    answered: usize,
    /// Refused before they ran.
    outranked: usize,
    /// Refused for another reason, or without the answer to their call.
    lost: usize,
}

async fn call_orders(
    node: net::SocketAddr,
    request: web::exchange::Request,
) -> web::exchange::Response {
    let parent = request.headers["heatherwalk-parent"].to_str().expect("text").to_owned();
    let call = callers::get("/orders/call").with("heatherwalk-parent", &parent);
    let reply = callers::send(node, call).await;
    let status = if reply.status == 200 { 200 } else { 500 };
    let status = http::StatusCode::from_u16(status).expect("a status");
    web::exchange::Response::text(status, "a menu")
}

/// Sends a menu each 50 ms, and as many orders each 10 ms as `orders` says.
async fn play(mesh: &mesh::Mesh, duration: Duration, orders: usize) -> Ended {
    let addr = mesh.callers(0);
    let mut menus = tokio::task::JoinSet::new();
    let mut others = tokio::task::JoinSet::new();
    for step in 0..duration.as_millis() / 10 {
        (0..orders).for_each(|_| _ = others.spawn(callers::send(addr, callers::get("/orders/1"))));
        if step.is_multiple_of(5) {
            menus.spawn(callers::send(addr, callers::get("/menus/1")));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut ended = Ended::default();
    while let Some(reply) = menus.join_next().await {
        let reply = reply.expect("no panic");
        match reply.status {
            200 => ended.answered += 1,
            _ if reply.text().contains("Outranked") => ended.outranked += 1,
            _ => ended.lost += 1,
        }
    }
    ended
}

/// Guards against requests that run although the service which they call is full of more urgent
/// requests, and against their refusal when the load is over.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn less_urgent_requests_run_in_vain() {
    let document = mesh::document(&[
        ("menus", json!({}), json!({"priority": 2, "timeout_ms": 3_000})),
        (
            "orders",
            json!({"slots": 2, "queue": 8}),
            json!({"priority": 1, "timeout_ms": 2_000, "objective_ms": 600}),
        ),
    ]);
    let mesh = mesh::Mesh::spawn(3, document).await;
    let settings = |node: usize, service: &str, slots| example::Settings {
        service: service.into(),
        name: service.into(),
        announce: mesh.announce(node),
        slots,
    };
    let node = mesh.callers(1);
    let menus = example::Server::spawn(settings(1, "menus", 64), move |it| call_orders(node, it));
    let _menus = menus.await.expect("starts");
    let orders = example::Server::spawn(settings(2, "orders", 2), |_| async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        web::exchange::Response::text(http::StatusCode::OK, "an order")
    });
    let _orders = orders.await.expect("starts");
    mesh.ready(1, &["orders"]).await;
    mesh.ready(0, &["menus", "orders"]).await;
    let peak = play(&mesh, Duration::from_secs(4), 1).await;
    assert!(peak.outranked >= 8 && peak.answered >= 8, "{peak:?}");
    assert!(peak.lost <= peak.outranked / 4, "{peak:?}");
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let after = play(&mesh, Duration::from_secs(1), 0).await;
    assert_eq!((after.outranked, after.lost), (0, 0), "{after:?}");
}
