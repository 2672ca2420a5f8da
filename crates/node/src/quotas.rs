//! Takes a token of the team's quota for each caller's request, and asks the control for tokens.

use std::{sync, time as std_time};

use protocol::streams;
use quotas::{messages, stock};
use world::{config, log_limits, requests};

use crate::{refusals, state};

/// How long a request waits for a token. An answer of the control takes a few milliseconds, and
/// more over a busy link.
const TOKEN_WAIT: std_time::Duration = std_time::Duration::from_millis(100);
/// The wait is at most this part of the time that the caller has.
const MIN_WAITS: u32 = 4;
/// How often a waiting request looks whether the control may be asked again.
const ASK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(20);

/// The node's tokens, by team.
#[derive(Default)]
pub(crate) struct Quotas {
    stock: stock::Stock,
    /// Limits the log lines about refusals.
    refusals: log_limits::LogLimit,
}

/// The token of a request. It is given back when it is dropped, unless the request may have run.
pub(crate) struct Token {
    state: sync::Arc<state::State>,
    token: stock::Token,
    spent: bool,
}

/// Whether a request may be sent.
pub(crate) enum Admission {
    /// It may; the token is that of a team with a quota.
    Granted(Option<Token>),
    /// The control has to be asked.
    Pending,
}

impl Token {
    /// Counts the token as used, because the request is about to be sent. It stays used if its
    /// future is dropped.
    pub(crate) fn mark_spent(&mut self) {
        self.spent = true;
    }

    /// Returns the token, because no backend server ran the request.
    pub(crate) fn give_back(mut self) {
        self.spent = false;
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if self.spent {
            return;
        }
        let (state, token) = (sync::Arc::clone(&self.state), self.token);
        self.state.pool.submit_or_run(move || {
            let now = state.now();
            state.quotas.lock().stock.give_back(now, token);
        });
    }
}

/// Follows the teams of a version.
pub(crate) fn follow(state: &state::State, config: &config::Config) {
    let teams = config.teams().filter_map(|(_, it)| Some((&it.name, it.quota?)));
    state.quotas.lock().stock.configure(teams);
}

/// Takes a token for a caller's request. A call has the token of the request that it belongs to.
pub(crate) fn take(
    state: &sync::Arc<state::State>,
    class: requests::Class,
    team: &str,
    look: stock::Look,
) -> refusals::Result<Admission> {
    if class != requests::Class::Caller || team.is_empty() {
        return Ok(Admission::Granted(None));
    }
    let now = state.now();
    let (decision, question) = {
        let mut table = state.quotas.lock();
        let decision = table.stock.take(now, team, look);
        (decision, table.stock.next_question(now))
    };
    let asked = send(state, question);
    match decision {
        stock::Decision::Unlimited => Ok(Admission::Granted(None)),
        stock::Decision::Taken(token) => {
            let state = sync::Arc::clone(state);
            Ok(Admission::Granted(Some(Token { state, token, spent: false })))
        }
        stock::Decision::Wait if asked && is_attached(state) => Ok(Admission::Pending),
        stock::Decision::Wait => Err(refuse(state, team)),
        stock::Decision::Refused(reason, pause) => Err(refusal(state, team, reason, pause)),
    }
}

/// Waits until the control has answered and takes a token then, for at most [`TOKEN_WAIT`] and a
/// part of the time that the caller has.
pub(crate) async fn await_token(
    state: &sync::Arc<state::State>,
    context: &requests::Context,
) -> refusals::Result<Option<Token>> {
    let wait = TOKEN_WAIT.min(context.deadline.since(state.now()) / MIN_WAITS);
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let answered = state.tokens_arrived.notified();
        let (shared, team) = (sync::Arc::clone(state), context.team.clone());
        let job = move || take(&shared, requests::Class::Caller, &team, stock::Look::Again);
        let admission =
            state.pool.run(job).await.unwrap_or_else(|_| Err(refusals::overloaded()))?;
        if let Admission::Granted(token) = admission {
            return Ok(token);
        }
        let now = tokio::time::Instant::now();
        if now >= deadline {
            let (shared, team) = (sync::Arc::clone(state), context.team.clone());
            let refusal = state.pool.run(move || refuse(&shared, &team)).await;
            return Err(refusal.unwrap_or_else(|_| refusals::overloaded()));
        }
        let _ = tokio::time::timeout_at(deadline.min(now + ASK_INTERVAL), answered).await;
    }
}

/// Sends the question that is due, and records metrics. To be called at regular intervals.
pub(crate) fn tick(state: &state::State) {
    let now = state.now();
    let (question, counts) = {
        let mut table = state.quotas.lock();
        (table.stock.next_question(now), table.stock.take_counts())
    };
    send(state, question);
    state.instruments.count_tokens(counts);
}

/// Takes the control's answer, and wakes the requests that wait for it.
pub(crate) fn receive(state: &state::State, answer: &messages::Answer) {
    let now = state.now();
    let question = {
        let mut table = state.quotas.lock();
        table.stock.receive(now, answer);
        table.stock.next_question(now)
    };
    send(state, question);
    state.tokens_arrived.notify_waiters();
}

/// Forgets the open question: the node is attached to another control, or to none.
pub(crate) fn reattached(state: &state::State) {
    state.quotas.lock().stock.reattached();
}

/// Sends a question, if there is one. Returns false when it cannot be sent.
fn send(state: &state::State, question: Option<messages::Question>) -> bool {
    let Some(question) = question else { return true };
    if state.send_control(streams::NodeMessage::Quota(question)) {
        return true;
    }
    reattached(state);
    false
}

fn is_attached(state: &state::State) -> bool {
    state.sessions.lock().attached.is_some()
}

/// The refusal of a request that cannot wait for a token, or not any longer.
fn refuse(state: &state::State, team: &str) -> refusals::Refusal {
    let (reason, pause) = state.quotas.lock().stock.refuse(state.now(), team);
    refusal(state, team, reason, pause)
}

fn refusal(
    state: &state::State,
    team: &str,
    reason: stock::Reason,
    pause: std_time::Duration,
) -> refusals::Refusal {
    state.instruments.count_quota_refusal(reason);
    if let Some(skipped) = state.quotas.lock().refusals.count(state.now()) {
        log::info!(
            target: "decision",
            "quota_refused team={team} reason={reason:?} retry_after={pause:?} skipped={skipped}",
        );
    }
    match reason {
        stock::Reason::Exhausted => refusals::quota_exhausted(pause),
        stock::Reason::Unknown => refusals::quota_unknown(pause),
    }
}
