//! Backend servers in the test's process that record which requests they ran.

use std::{collections, net, sync, time};

use compact_str::{CompactString, format_compact};
use heatherwalk::example;
use rand::{Rng as _, SeedableRng as _, rngs};
use tokio::{sync::mpsc, task};

/// The body of a request that crashes each backend server that runs it.
pub const POISON: &str = "poison";
/// The time from a backend server's crash to its restart.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(300);

/// One run of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    pub body: CompactString,
    /// The send that was run, as its caller identified it.
    pub attempt: CompactString,
    pub host: CompactString,
}

/// The runs and the settings that all backend servers share.
pub struct State {
    runs: sync::Mutex<Vec<Run>>,
    crashes: sync::Mutex<u32>,
    delay: time::Duration,
    /// One in this many answers breaks its connection after the request was run.
    breaks: Option<u32>,
    rng: sync::Mutex<rngs::StdRng>,
    /// The software version of the server on a host.
    version: fn(&str) -> &'static str,
}

impl State {
    /// Settings of backend servers that take `delay` for each request.
    pub fn new(delay: time::Duration, breaks: Option<u32>, seed: u64) -> sync::Arc<State> {
        let rng = sync::Mutex::new(rngs::StdRng::seed_from_u64(seed));
        let (runs, crashes) = (sync::Mutex::default(), sync::Mutex::default());
        sync::Arc::new(State { runs, crashes, delay, breaks, rng, version: |_| "" })
    }

    /// Settings of backend servers with the software version of their host.
    pub fn with_versions(version: fn(&str) -> &'static str) -> sync::Arc<State> {
        let (runs, crashes) = (sync::Mutex::default(), sync::Mutex::default());
        let rng = sync::Mutex::new(rngs::StdRng::seed_from_u64(0));
        let delay = time::Duration::from_millis(5);
        sync::Arc::new(State { runs, crashes, delay, breaks: None, rng, version })
    }

    /// The runs so far, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no holder panics").clone()
    }

    /// How often each body was run.
    pub fn counts(&self) -> collections::BTreeMap<CompactString, usize> {
        let mut counts = collections::BTreeMap::new();
        for run in self.runs() {
            *counts.entry(run.body).or_default() += 1;
        }
        counts
    }

    /// How often a backend server has crashed.
    pub fn crashes(&self) -> u32 {
        *self.crashes.lock().expect("no holder panics")
    }

    fn should_break(&self) -> bool {
        let mut rng = self.rng.lock().expect("no holder panics");
        self.breaks.is_some_and(|it| rng.random_range(0..it) == 0)
    }
}

/// A backend server that keeps running when its node is killed. Dropping it stops it at once.
pub struct Backend {
    commands: mpsc::Sender<Command>,
    /// Aborted when it is dropped.
    _task: task::JoinSet<()>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Command {
    Crash,
    Drain,
}

impl Backend {
    /// Starts a backend server of the node that takes announcements at `announce`.
    pub fn spawn(host: &str, announce: net::SocketAddr, state: sync::Arc<State>) -> Backend {
        let settings =
            example::Settings { service: "logbook".into(), name: host.into(), announce, slots: 6 };
        let (commands, queue) = mpsc::channel(64);
        let mut task = task::JoinSet::new();
        task.spawn(supervise(settings, state, commands.clone(), queue));
        Backend { commands, _task: task }
    }

    /// Announces that the server is leaving.
    pub async fn drain(&self) {
        self.commands.send(Command::Drain).await.expect("the supervisor runs");
    }
}

/// Runs a server, and replaces it `RESTART_DELAY` after each crash.
async fn supervise(
    settings: example::Settings,
    state: sync::Arc<State>,
    commands: mpsc::Sender<Command>,
    mut queue: mpsc::Receiver<Command>,
) {
    loop {
        let (shared, commands) = (sync::Arc::clone(&state), commands.clone());
        let host = settings.name.clone();
        let handler = move |request| {
            answer(host.clone(), sync::Arc::clone(&shared), commands.clone(), request)
        };
        let version = (state.version)(&settings.name).into();
        let server = example::Server::spawn_version(settings.clone(), version, handler).await;
        let server = server.expect("a free port");
        loop {
            match queue.recv().await {
                Some(Command::Crash) => break,
                Some(Command::Drain) => server.drain(),
                None => return,
            }
        }
        drop(server);
        *state.crashes.lock().expect("no holder panics") += 1;
        tokio::time::sleep(RESTART_DELAY).await;
        // A crash counts once, however many crashing requests the server was running.
        while queue.try_recv() == Ok(Command::Crash) {}
    }
}

async fn answer(
    host: CompactString,
    state: sync::Arc<State>,
    commands: mpsc::Sender<Command>,
    request: web::exchange::Request,
) -> web::exchange::Response {
    let attempt = request.headers.get("x-attempt").and_then(|it| it.to_str().ok());
    let attempt = CompactString::from(attempt.unwrap_or_default());
    let Ok(body) = request.body.collect(1024).await else {
        return web::exchange::Response::empty(http::StatusCode::BAD_REQUEST);
    };
    let body = CompactString::from_utf8_lossy(&body);
    let run = Run { body: body.clone(), attempt: attempt.clone(), host: host.clone() };
    state.runs.lock().expect("no holder panics").push(run);
    if body == POISON {
        commands.send(Command::Crash).await.expect("the supervisor runs");
        return std::future::pending().await;
    }
    tokio::time::sleep(state.delay).await;
    if state.should_break() {
        let mut answer = web::exchange::Response::empty(http::StatusCode::OK);
        let (sender, body) = web::body::Body::channel(1);
        sender.abort();
        answer.body = body;
        return answer;
    }
    let text = format_compact!("{host} ran {body} {attempt}");
    web::exchange::Response::text(http::StatusCode::OK, &text)
}
