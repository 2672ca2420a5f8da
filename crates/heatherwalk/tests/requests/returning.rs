//! A backend server that is lost, or drains, and takes requests again while earlier ones still run.

use std::{net, sync::atomic, time};

use serde_json::json;
use tokio::task;

use crate::{callers, mesh, servers};

const BODY: &[u8] = b"the whole answer";
const SLOTS: u32 = 2;
/// The lease of the announcements. It ends while requests run.
const LEASE: time::Duration = time::Duration::from_millis(1_200);
/// How long requests run. A long one still runs when the lease has ended and the server has announced
/// itself again.
const SHORT: time::Duration = time::Duration::from_millis(500);
const LONG: time::Duration = time::Duration::from_millis(2_500);
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Longer than it takes until the node has heard of a change of its own server.
const HEARD: time::Duration = time::Duration::from_secs(5);
/// Answers after which the node knows that requests of the route are short, so that it doesn't keep
/// slots free of them.
const MEASURED: usize = 32;

/// How the node comes to take the server for one that gets no requests.
#[derive(Clone, Copy, Debug)]
enum Pause {
    /// No announcement arrives until after the lease.
    Late,
    /// The server announces that it drains, and then that it does not.
    Drained,
}

/// A mesh whose node 1 has a server that announces itself only when the test says so.
struct Returning {
    mesh: mesh::Mesh,
    server: servers::Server,
    sequence: u64,
}

impl Returning {
    async fn spawn() -> Returning {
        let route = json!({"timeout_ms": TIMEOUT.as_millis() as u64});
        let document = mesh::document(&[("logs", json!({"slots": SLOTS}), route)]);
        let mut mesh = mesh::Mesh::spawn(1, document).await;
        let listen = mesh.listen;
        mesh.add_node_with(listen, |it| it.lease = LEASE).await;
        let handle = |head: &str, _: &[u8]| {
            let run = if head.contains("/short") { SHORT } else { LONG };
            servers::Action::After(run, servers::answer("200 OK", "", BODY))
        };
        let server = servers::Server::listen(handle).await;
        let mut returning = Returning { mesh, server, sequence: 0 };
        returning.announce(false).await;
        let until = tokio::time::Instant::now() + mesh::TIMEOUT;
        let mut answered = 0;
        while answered < MEASURED {
            let get = callers::get("/logs/ready");
            let reply = callers::send(returning.mesh.callers(1), get).await;
            answered += usize::from(reply.status == 200);
            assert!(tokio::time::Instant::now() < until, "the server gets no request: {reply}");
            returning.announce(false).await;
        }
        returning
    }

    /// Announces the server. It is the same process each time.
    async fn announce(&mut self, drain: bool) {
        self.sequence += 1;
        let body = json!({"service": "logs", "addr": self.server.addr, "incarnation": 100,
            "slots": SLOTS, "cold_ms": 0, "sequence": self.sequence, "drain": drain});
        let mut request = callers::get("/announce");
        request.method = http::Method::POST;
        request.body = body.to_string().into();
        let reply = callers::send(self.mesh.announce(1), request).await;
        assert_eq!(reply.status, 200, "{reply}");
    }

    /// Takes the server out and back in while requests run.
    async fn pause(&mut self, pause: Pause) {
        match pause {
            Pause::Late => tokio::time::sleep(LEASE * 4 / 3).await,
            Pause::Drained => self.announce(true).await,
        }
        self.announce(false).await;
    }

    /// Announces the server again and again while `requests` are answered.
    async fn renew_until(
        &mut self,
        requests: task::JoinSet<callers::Reply>,
    ) -> Vec<callers::Reply> {
        let mut requests = std::pin::pin!(requests.join_all());
        loop {
            tokio::select! {
                it = &mut requests => return it,
                () = tokio::time::sleep(LEASE / 4) => self.announce(false).await,
            }
        }
    }

    fn send(&self, paths: &[&'static str]) -> task::JoinSet<callers::Reply> {
        let addr = self.mesh.callers(1);
        paths.iter().map(|&it| send(addr, it)).collect()
    }
}

/// Sends a request, again while the node has not heard from the control that the server is back.
async fn send(addr: net::SocketAddr, path: &'static str) -> callers::Reply {
    let until = tokio::time::Instant::now() + HEARD;
    loop {
        let reply = callers::send(addr, callers::get(path)).await;
        if !reply.to_string().contains("no-target") || tokio::time::Instant::now() > until {
            return reply;
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

/// Counts the answers by their description.
fn summary(replies: &[callers::Reply]) -> String {
    let mut counts = std::collections::BTreeMap::<String, usize>::new();
    for reply in replies {
        *counts.entry(reply.to_string()).or_default() += 1;
    }
    counts.iter().map(|(reply, count)| format!("{count} x {reply}")).collect::<Vec<_>>().join("; ")
}

/// Guards against queued requests that are never answered: the server was lost and returned, and the
/// end of a request from before removes a queued one that has got the same key.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_end_of_an_earlier_request_removes_a_queued_one() {
    let mut lines = Vec::new();
    for pause in [Pause::Late, Pause::Drained] {
        let mut returning = Returning::spawn().await;
        // The long ones wait for the short ones, so their keys are not the first ones.
        let mut earlier = returning.send(&["/logs/short", "/logs/short"]);
        returning.server.counts.wait(servers::Counts::runs, 2).await;
        for it in ["/logs/long", "/logs/long"] {
            earlier.spawn(send(returning.mesh.callers(1), it));
        }
        returning.server.counts.wait(servers::Counts::runs, 4).await;
        returning.pause(pause).await;
        let later = returning.send(&["/logs/long"; 4]);
        let answers = tokio::time::timeout(TIMEOUT + LONG, returning.renew_until(later)).await;
        let answers = answers.as_deref().map_or("without an answer".into(), summary);
        lines.push(format!("{pause:?}: {answers}"));
        drop(earlier);
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a server that gets more requests than it has slots: it was lost and returned, or
/// drained and resumed, and the requests from before no longer hold their slots.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_server_that_returns_runs_more_than_its_slots() {
    let mut lines = Vec::new();
    for pause in [Pause::Late, Pause::Drained] {
        let mut returning = Returning::spawn().await;
        let earlier = returning.send(&["/logs/long", "/logs/long"]);
        returning.server.counts.wait(servers::Counts::runs, 2).await;
        returning.pause(pause).await;
        let later = returning.send(&["/logs/short"; 4]);
        let later = returning.renew_until(later).await;
        let earlier = returning.renew_until(earlier).await;
        let most = returning.server.counts.most_running.load(atomic::Ordering::SeqCst);
        lines.push(format!(
            "{pause:?}: earlier {}, later {}, at most {most} at the same time",
            summary(&earlier),
            summary(&later),
        ));
        assert!(most <= SLOTS as usize, "{lines:#?}");
    }
    insta::assert_snapshot!(lines.join("\n"));
}
