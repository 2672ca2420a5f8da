//! Hands out the tokens of quotas: to the attached nodes, and as loans to the other controls.

use compact_str::CompactString;
use distribution::subscribers;
use protocol::streams;
use quotas::{ledger, messages};
use world::{document, time};

use crate::state;

/// The ledger, and the versions of what it follows.
pub(crate) struct Quotas {
    ledger: ledger::Ledger,
    /// The version whose teams the ledger has, and the revision of the list of controls.
    followed: Option<(document::Version, u64)>,
}

impl Quotas {
    /// The table of a control that has just started.
    pub(crate) fn new(now: time::Time) -> Quotas {
        Quotas { ledger: ledger::Ledger::new(now), followed: None }
    }
}

/// Takes over the teams of the current version and the number of controls. To be called before
/// nodes get the version.
pub(crate) fn follow(state: &state::State) {
    let now = state.now();
    let configuration = state.configuration_state.lock();
    let versions = &configuration.versions;
    let current = (versions.current(), configuration.controls.revision());
    let mut table = state.quotas.lock();
    if table.followed == Some(current) {
        return;
    }
    table.followed = Some(current);
    let list = &configuration.controls;
    let controls = match list.iter().count() {
        0 => state::control_count(&state.settings),
        listed => listed,
    };
    // The shares of the listed controls make up the whole quota, so another one has none.
    let has_share = list.is_empty() || list.get(&state.location.host).is_some();
    let teams = versions.document().teams.iter().flatten().filter(|_| has_share);
    table.ledger.configure(now, controls, teams.filter_map(|(name, it)| Some((name, it.quota()?))));
}

/// Answers a node's question, and tells the other nodes and controls what follows from it.
pub(crate) fn answer(
    state: &state::State,
    key: subscribers::SubscriberKey,
    host: &str,
    question: &messages::Question,
) {
    let now = state.now();
    let replies = state.quotas.lock().ledger.answer(now, host, question);
    log_exhausted(host, question, &replies.answer);
    {
        let mut distributor = state.distributor.lock();
        distributor.send(key, streams::ControlMessage::Quota(replies.answer));
        if let Some(update) = replies.update {
            distributor.broadcast(&streams::ControlMessage::Quota(update));
        }
    }
    if let Some(ask) = replies.ask {
        state.send_peers(&streams::PeerMessage::Quota(messages::Loan::Ask(ask)));
    }
}

/// Handles a question for tokens of another control, or a loan of its.
pub(crate) fn receive(state: &state::State, host: &CompactString, message: &messages::Loan) {
    let now = state.now();
    match message {
        messages::Loan::Ask(ask) => {
            let loan = state.quotas.lock().ledger.lend(now, ask);
            if !loan.teams.is_empty() {
                log::debug!("lending tokens to control {host}: {:?}", loan.teams);
            }
            state.send_peer(host, streams::PeerMessage::Quota(messages::Loan::Give(loan)));
        }
        messages::Loan::Give(loan) => state.quotas.lock().ledger.borrow(now, loan),
    }
}

/// Records the tokens that were given and lent. To be called at regular intervals.
pub(crate) fn record_metrics(state: &state::State) {
    let counts = state.quotas.lock().ledger.take_counts();
    state.instruments.count_tokens(counts);
}

/// Logs the teams that a node was told are exhausted. A node asks at most ten times a second for
/// one.
fn log_exhausted(host: &str, question: &messages::Question, answer: &messages::Answer) {
    for (report, grant) in question.teams.iter().zip(&answer.grants) {
        if let messages::Grant::Exhausted { wait_ms, pace_ms } = grant {
            log::debug!(
                target: "decision",
                "quota_exhausted team={} node={host} need={} wait_ms={wait_ms} pace_ms={pace_ms}",
                report.team,
                report.need,
            );
        }
    }
}
