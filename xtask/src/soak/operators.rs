//! Operators: patches in quick succession, races on one base version, and resends of the same
//! request.

use std::{collections, net, sync, time};

use compact_str::{CompactString, format_compact};
use heatherwalk::{api_client, operators};
use protocol::operators::PatchAnswer;
use serde_json::json;
use tokio::{
    sync::{mpsc, oneshot},
    task,
};

use world::document;

use super::{history, settings, teams};

/// How often an operator sends a patch when no command comes.
const PATCH_INTERVAL: time::Duration = time::Duration::from_millis(2_000);
/// How long an operator sends a patch again whose answer is lost.
const RESEND_LIMIT: time::Duration = time::Duration::from_secs(30);
const RESEND_PAUSE: time::Duration = time::Duration::from_millis(300);

/// What operators do beside single patches.
#[derive(Debug)]
pub(crate) enum Command {
    /// This many patches, one after the other.
    Burst(u64),
    /// No more patches. Sends what became of the others.
    Finish(oneshot::Sender<Record>),
    /// A patch that must be refused.
    Invalid,
    /// This many patches at once, against the same version.
    Race(u64),
}

/// Of how many patches one also replaces the key of a team.
const ROTATION_INTERVAL: u64 = 4;

/// A patch by its number; it adds the route `/p-NUMBER`. Each fourth one also replaces the key of the
/// team `rotating`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct PatchId(pub(crate) u64);

/// What became of the patches.
#[derive(Debug, Default)]
pub(crate) struct Record {
    /// The accepted ones by version. Version 1 has no patch of these.
    pub(crate) accepted: collections::BTreeMap<u64, PatchId>,
    pub(crate) refused: Vec<PatchId>,
    /// Those without an answer: they may be accepted.
    pub(crate) unknown: Vec<PatchId>,
}

/// Running operators. Dropping it ends them.
pub(crate) struct Operators {
    commands: mpsc::UnboundedSender<Command>,
    _task: task::JoinSet<()>,
}

struct Shared {
    controls: Vec<net::SocketAddr>,
    client: web::client::Client,
    history: sync::Arc<history::History>,
    state: sync::Mutex<State>,
}

#[derive(Default)]
struct State {
    record: Record,
    /// The version that operators believe to be current.
    current: u64,
    patches: u64,
}

impl PatchId {
    /// The path of the route that the patch adds.
    pub(crate) fn path(self) -> CompactString {
        format_compact!("/p-{}", self.0)
    }

    fn patch(self, service: &str) -> serde_json::Value {
        let route = json!({"prefix": self.path(), "service": service});
        let mut patch = json!({"routes": {format!("p-{}", self.0): route}});
        if self.rotates() {
            patch["teams"] = teams::rotation(self.0);
        }
        patch
    }

    /// Whether the patch replaces the key of the team `rotating`.
    pub(crate) fn rotates(self) -> bool {
        self.0.is_multiple_of(ROTATION_INTERVAL)
    }
}

impl Operators {
    /// Creates version 1 and starts to patch it.
    pub(crate) async fn spawn(
        controls: Vec<net::SocketAddr>,
        history: sync::Arc<history::History>,
    ) -> eyre::Result<Operators> {
        let client = web::client::Client::new(web::client::Limits::default());
        let state = sync::Mutex::default();
        let shared = sync::Arc::new(Shared { controls, client, history, state });
        let answer = shared.send_until_answered("first", 0, &settings::document(), 0).await;
        eyre::ensure!(
            matches!(answer, Some(PatchAnswer::Accepted { version: document::Version(1) })),
            "version 1 was not accepted: {answer:?}"
        );
        shared.lock().current = 1;
        let (commands, queue) = mpsc::unbounded_channel();
        let mut task = task::JoinSet::new();
        task.spawn(run(shared, queue));
        Ok(Operators { commands, _task: task })
    }

    pub(crate) fn send(&self, command: Command) {
        // The task ends only when the operators are dropped.
        let _ = self.commands.send(command);
    }

    /// Waits until all commands are carried out. No patch is sent any more.
    pub(crate) async fn finish(&self) -> Record {
        let (sender, record) = oneshot::channel();
        self.send(Command::Finish(sender));
        record.await.unwrap_or_default()
    }
}

async fn run(shared: sync::Arc<Shared>, mut commands: mpsc::UnboundedReceiver<Command>) {
    loop {
        match tokio::time::timeout(PATCH_INTERVAL, commands.recv()).await {
            Err(_) => shared.patch(shared.current(), false).await,
            Ok(None) => return,
            Ok(Some(Command::Burst(count))) => {
                for _ in 0..count {
                    shared.patch(shared.current(), false).await;
                }
            }
            Ok(Some(Command::Finish(record))) => {
                let _ = record.send(std::mem::take(&mut shared.lock().record));
                return;
            }
            Ok(Some(Command::Invalid)) => shared.patch(shared.current(), true).await,
            Ok(Some(Command::Race(count))) => {
                let base = shared.current();
                let mut racers = task::JoinSet::new();
                for _ in 0..count {
                    let shared = sync::Arc::clone(&shared);
                    racers.spawn(async move { shared.patch(base, false).await });
                }
                racers.join_all().await;
            }
        }
    }
}

impl Shared {
    /// Sends a patch against `base` until it is answered, records the answer, and sends the same
    /// patch once more, which must not change the answer.
    async fn patch(&self, base: u64, invalid: bool) {
        let id = self.next_id();
        let service = if invalid { "no-such-service" } else { settings::SERVICES[0].name };
        let patch = id.patch(service);
        let request = format!("soak-{}", id.0);
        let control = usize::try_from(id.0).unwrap_or_default();
        let answer = self.send_until_answered(&request, base, &patch, control).await;
        let Some(answer) = answer else {
            self.lock().record.unknown.push(id);
            return;
        };
        self.record(id, &answer, invalid);
        if id.0.is_multiple_of(3) {
            let second = self.send(&request, base, &patch, control + 1).await;
            self.check_resend(&request, &answer, second);
        }
    }

    fn record(&self, id: PatchId, answer: &PatchAnswer, invalid: bool) {
        let mut state = self.lock();
        match answer {
            PatchAnswer::Accepted { version } => {
                if invalid {
                    self.history.violate(format!("invalid {id:?} was accepted as {version}"));
                }
                let other = state.record.accepted.insert(version.0, id);
                if let Some(other) = other {
                    self.history.violate(format!("version {version} is {other:?} and {id:?}"));
                }
                state.current = state.current.max(version.0);
            }
            PatchAnswer::Conflict { current, .. } => {
                state.current = state.current.max(current.0);
                state.record.refused.push(id);
            }
            PatchAnswer::Invalid { faults, .. } => {
                if !invalid {
                    self.history.violate(format!("valid {id:?} was refused: {faults:?}"));
                }
                state.record.refused.push(id);
            }
            PatchAnswer::RequestReused => {
                self.history.violate(format!("{id:?} was refused as reused"));
                state.record.refused.push(id);
            }
            PatchAnswer::Unavailable { .. } => state.record.unknown.push(id),
        }
    }

    fn check_resend(&self, request: &str, first: &PatchAnswer, second: Option<PatchAnswer>) {
        let Some(second) = second else { return };
        let same = match (first, &second) {
            (PatchAnswer::Accepted { version: a }, PatchAnswer::Accepted { version: b }) => a == b,
            (PatchAnswer::Conflict { .. }, PatchAnswer::Conflict { .. })
            | (PatchAnswer::Invalid { .. }, PatchAnswer::Invalid { .. }) => true,
            _ => false,
        };
        if !same {
            self.history.violate(format!("{request} got {first:?}, then {second:?}"));
        }
    }

    async fn send_until_answered(
        &self,
        request: &str,
        base: u64,
        patch: &serde_json::Value,
        control: usize,
    ) -> Option<PatchAnswer> {
        let until = time::Instant::now() + RESEND_LIMIT;
        for attempt in 0.. {
            if let Some(answer) = self.send(request, base, patch, control + attempt).await {
                return Some(answer);
            }
            if time::Instant::now() > until {
                return None;
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
        None
    }

    /// Sends a patch to one control; none if it cannot answer now.
    async fn send(
        &self,
        request: &str,
        base: u64,
        patch: &serde_json::Value,
        control: usize,
    ) -> Option<PatchAnswer> {
        let body = json!({
            "base": base, "request_id": request, "operator": "soak", "patch": patch,
        });
        let call = operators::Request {
            control: self.controls[control % self.controls.len()],
            method: http::Method::POST,
            path: protocol::operators::PATCHES_PATH.into(),
            body: Some(body),
        };
        let reply = api_client::send(&self.client, settings::TOKEN, &call).await.ok()?;
        if reply.status == 503 {
            return None;
        }
        let answer = serde_json::from_value(reply.body.clone());
        if answer.is_err() {
            let text = format!("{request}: status {}, {}", reply.status, reply.body);
            self.history.violate(text);
        }
        answer.ok()
    }

    fn next_id(&self) -> PatchId {
        let mut state = self.lock();
        state.patches += 1;
        PatchId(state.patches)
    }

    fn current(&self) -> u64 {
        self.lock().current
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}
