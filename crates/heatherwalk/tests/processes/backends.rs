//! Backend servers in the test's process, which record what they ran.

use std::{collections, net, sync, time};

use compact_str::{CompactString, format_compact};
use heatherwalk::example;
use rand::{Rng as _, SeedableRng as _, rngs};
use tokio::{sync::mpsc, task};

/// The body of a request that crashes each backend server that runs it.
pub const POISON: &str = "poison";
/// How long a backend server is away after a crash.
const AWAY: time::Duration = time::Duration::from_millis(300);

/// One run of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// The request's body.
    pub body: CompactString,
    /// Which of its sends was run.
    pub attempt: CompactString,
    /// The host of the backend server.
    pub host: CompactString,
}

/// What all backend servers ran, and how they behave.
pub struct Work {
    runs: sync::Mutex<Vec<Run>>,
    crashes: sync::Mutex<u32>,
    delay: time::Duration,
    /// One answer in so many breaks its connection after the work was done.
    breaks: Option<u32>,
    rng: sync::Mutex<rngs::StdRng>,
}

impl Work {
    /// Work that takes `delay`.
    pub fn new(delay: time::Duration, breaks: Option<u32>, seed: u64) -> sync::Arc<Work> {
        let rng = sync::Mutex::new(rngs::StdRng::seed_from_u64(seed));
        let (runs, crashes) = (sync::Mutex::default(), sync::Mutex::default());
        sync::Arc::new(Work { runs, crashes, delay, breaks, rng })
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

    fn breaks_now(&self) -> bool {
        let mut rng = self.rng.lock().expect("no holder panics");
        self.breaks.is_some_and(|it| rng.random_range(0..it) == 0)
    }
}

/// A backend server that lives on when its node is killed. Dropping it ends it at once.
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
    /// Starts a backend server beside the node that takes announcements at `announce`.
    pub fn spawn(host: &str, announce: net::SocketAddr, work: sync::Arc<Work>) -> Backend {
        let settings =
            example::Settings { service: "logbook".into(), name: host.into(), announce, slots: 6 };
        let (commands, queue) = mpsc::channel(64);
        let mut task = task::JoinSet::new();
        task.spawn(supervise(settings, work, commands.clone(), queue));
        Backend { commands, _task: task }
    }

    /// Announces that the server is leaving.
    pub async fn drain(&self) {
        self.commands.send(Command::Drain).await.expect("the supervisor runs");
    }
}

/// Keeps a server running, and starts a new one a moment after each crash.
async fn supervise(
    settings: example::Settings,
    work: sync::Arc<Work>,
    commands: mpsc::Sender<Command>,
    mut queue: mpsc::Receiver<Command>,
) {
    loop {
        let (work_, commands) = (sync::Arc::clone(&work), commands.clone());
        let host = settings.name.clone();
        let handler = move |request| {
            answer(host.clone(), sync::Arc::clone(&work_), commands.clone(), request)
        };
        let server = example::Server::spawn(settings.clone(), handler).await;
        let server = server.expect("a free port");
        loop {
            match queue.recv().await {
                Some(Command::Crash) => break,
                Some(Command::Drain) => server.drain(),
                None => return,
            }
        }
        drop(server);
        *work.crashes.lock().expect("no holder panics") += 1;
        tokio::time::sleep(AWAY).await;
        // Requests that were in the crashed server with others of their kind count once.
        while queue.try_recv() == Ok(Command::Crash) {}
    }
}

async fn answer(
    host: CompactString,
    work: sync::Arc<Work>,
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
    work.runs.lock().expect("no holder panics").push(run);
    if body == POISON {
        commands.send(Command::Crash).await.expect("the supervisor runs");
        return std::future::pending().await;
    }
    tokio::time::sleep(work.delay).await;
    if work.breaks_now() {
        let mut answer = web::exchange::Response::empty(http::StatusCode::OK);
        let (sender, body) = web::body::Body::channel(1);
        sender.abort();
        answer.body = body;
        return answer;
    }
    let text = format_compact!("{host} ran {body} {attempt}");
    web::exchange::Response::text(http::StatusCode::OK, &text)
}
