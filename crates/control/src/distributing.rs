//! Distribution of configuration versions and crash evidence to the attached nodes.

use std::{collections, sync};

use agreement::{entries, events};
use compact_str::CompactString;
use distribution::{messages, relay, subscribers};
use protocol::streams;
use rand::rngs;
use replicated::{quarantine, versions};
use slotmap::SecondaryMap;
use tokio::sync::{mpsc, oneshot};
use world::{document, time};

use crate::{configuration, groups, state};

/// Capacity of the send queue of one node, in messages. A node whose queue is full is disconnected;
/// it attaches again and asks for what it missed.
pub(crate) const NODE_QUEUE_MESSAGES: usize = 4_096;

/// Who requested a read that the leader has to confirm.
#[derive(Debug)]
pub(crate) enum ReadRequester {
    /// This control, which serves nodes only after it has caught up with the log.
    Control,
    /// A node that needs a proof that its control's version is current.
    Node(subscribers::SubscriberKey),
    /// An operator's request. The channel gets `true` when this control's state is current, and
    /// `false` when the leader did not confirm the read.
    Operator(oneshot::Sender<bool>),
}

/// The relay, the send queues of the attached nodes and the reports of the other controls.
pub(crate) struct Distributor {
    pub(crate) relay: relay::Relay,
    pub(crate) rng: rngs::StdRng,
    /// The last report of each other control, by its host, and when it arrived.
    pub(crate) reports: collections::BTreeMap<CompactString, (streams::VersionReport, time::Time)>,
    queues: SecondaryMap<subscribers::SubscriberKey, mpsc::Sender<streams::ControlMessage>>,
    /// Reads that the leader has not answered yet.
    pending_reads: collections::BTreeMap<events::Token, ReadRequester>,
    /// Confirmed reads, each with the index that the state has to apply first.
    confirmed_reads: Vec<(entries::Index, ReadRequester)>,
    /// The suspect and quarantined requests, as last sent to the nodes.
    sent_statuses: Vec<streams::Suspect>,
    /// The last log entry that the published state had applied.
    applied_index: entries::Index,
    /// The last log entry whose evidence is merged into this control's view of the evidence.
    evidence_index: u64,
    ready: bool,
    /// Whether this control was isolated when its contact was last recorded.
    isolated: bool,
}

impl Distributor {
    /// Creates the distributor of a control that has just restored this configuration from its
    /// disk. `ready` says whether the disk has, at some time, held everything that the group had
    /// committed.
    pub(crate) fn new(
        configuration: &configuration::State,
        ready: bool,
        rng: rngs::StdRng,
    ) -> Distributor {
        let deltas: Vec<_> = configuration.versions.changes().map(delta).collect();
        let head = head(&configuration.versions);
        Distributor {
            relay: relay::Relay::new(rand::random(), head, deltas, ready),
            rng,
            reports: collections::BTreeMap::new(),
            queues: SecondaryMap::new(),
            pending_reads: collections::BTreeMap::new(),
            confirmed_reads: Vec::new(),
            sent_statuses: Vec::new(),
            applied_index: entries::Index::default(),
            evidence_index: 0,
            ready,
            isolated: true,
        }
    }

    /// Whether the control has caught up with the log, so that it may serve nodes.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Queues a message for a node. Disconnects the node when its queue is full; it attaches again
    /// and asks for what it missed.
    pub(crate) fn send(
        &mut self,
        key: subscribers::SubscriberKey,
        message: streams::ControlMessage,
    ) {
        let Some(queue_tx) = self.queues.get(key) else { return };
        if queue_tx.try_send(message).is_err() {
            self.disconnect(key);
        }
    }

    /// Queues a message for every attached node.
    pub(crate) fn broadcast(&mut self, message: &streams::ControlMessage) {
        let keys: Vec<_> = self.queues.keys().collect();
        for key in keys {
            self.send(key, message.clone());
        }
    }

    /// Removes a node and its session. Closing its queue ends the task that serves its stream.
    pub(crate) fn disconnect(&mut self, key: subscribers::SubscriberKey) {
        self.queues.remove(key);
        self.relay.closed(key);
    }

    /// Gives the relay the versions that it does not have yet.
    fn publish_versions(
        &mut self,
        now: time::Time,
        versions: &versions::Versions,
    ) -> Vec<relay::Effect> {
        let from = self.relay.version();
        if versions.current() <= from {
            return Vec::new();
        }
        let head = head(versions);
        let missed: Vec<_> = versions.changes().filter(|it| it.version > from).collect();
        if missed.first().map(|it| it.version) != Some(from.next()) {
            return self.relay.reset(now, head, &mut self.rng);
        }
        let mut effects = Vec::new();
        for change in missed {
            // The relay hands out only the newest head, so all heads share its document.
            let of = numbered(change);
            let head = relay::Head { of, ..head.clone() };
            effects.extend(self.relay.committed(now, delta(change), head, &mut self.rng));
        }
        log::info!(
            target: "decision",
            "handing out version {} to {} nodes",
            versions.current(),
            self.queues.len(),
        );
        // The log applies an entry only after it is synced on this host's disk.
        effects.extend(self.relay.synced(now, versions.current(), &mut self.rng));
        effects
    }
}

/// Attaches a node after the hello on a new stream. Messages for the node go to `queue_tx`.
pub(crate) fn attach(
    state: &state::State,
    hello: messages::Hello,
    queue_tx: mpsc::Sender<streams::ControlMessage>,
) -> subscribers::SubscriberKey {
    let now = state.now();
    let (key, reads) = start_session(&mut state.distributor.lock(), now, hello, queue_tx);
    confirm_reads(state, reads);
    key
}

/// Replaces the session `key` of a node after another hello on the same stream; a node sends one
/// when the versions that it may accept have changed. Returns `None` when the node was disconnected
/// in the meantime.
pub(crate) fn reattach(
    state: &state::State,
    key: subscribers::SubscriberKey,
    hello: messages::Hello,
) -> Option<subscribers::SubscriberKey> {
    let now = state.now();
    let (key, reads) = {
        let mut distributor = state.distributor.lock();
        let queue_tx = distributor.queues.remove(key)?;
        start_session(&mut distributor, now, hello, queue_tx)
    };
    confirm_reads(state, reads);
    Some(key)
}

fn start_session(
    distributor: &mut Distributor,
    now: time::Time,
    hello: messages::Hello,
    queue_tx: mpsc::Sender<streams::ControlMessage>,
) -> (subscribers::SubscriberKey, Vec<subscribers::SubscriberKey>) {
    log::info!(
        target: "decision",
        "node {} attached; it runs version {:?}, and its version floor is {:?}",
        hello.node,
        hello.running.map(|it| it.version),
        hello.floor,
    );
    let (key, effects) = distributor.relay.hello(now, hello, &mut distributor.rng);
    distributor.queues.insert(key, queue_tx);
    let statuses = streams::ControlMessage::Standings(distributor.sent_statuses.clone());
    distributor.send(key, statuses);
    (key, perform_effects(distributor, effects))
}

/// Passes a node's message about versions to the relay.
pub(crate) fn receive(
    state: &state::State,
    key: subscribers::SubscriberKey,
    message: messages::ToControl,
) {
    let now = state.now();
    let reads = {
        let mut distributor = state.distributor.lock();
        let distributor = &mut *distributor;
        let effects = distributor.relay.message(now, key, message, &mut distributor.rng);
        perform_effects(distributor, effects)
    };
    confirm_reads(state, reads);
}

/// Publishes the configuration state after it has applied the log up to `applied`: new versions go
/// to the nodes, and reads that waited for this index are answered.
pub(crate) fn publish(state: &state::State, applied: entries::Index) {
    let now = state.now();
    let reads = {
        let configuration = state.configuration_state.lock();
        let mut evidence = state.evidence.lock();
        let mut distributor = state.distributor.lock();
        let distributor = &mut *distributor;
        // Rebasing copies all evidence, so it is skipped when only a version has changed.
        if distributor.evidence_index != configuration.quarantine.applied() {
            distributor.evidence_index = configuration.quarantine.applied();
            evidence.rebase(&configuration.quarantine, state::unix_time_ms());
        }
        drop(evidence);
        // Two workers may arrive here in a different order than they stepped the log.
        distributor.applied_index = distributor.applied_index.max(applied);
        let mut effects = distributor.publish_versions(now, &configuration.versions);
        effects.extend(complete_reads(distributor, now, &configuration.versions));
        perform_effects(distributor, effects)
    };
    confirm_reads(state, reads);
}

/// Sends the list of suspect and quarantined requests to the nodes when it has changed. Runs on a
/// timer rather than after each report, since the list is always sent whole.
pub(crate) fn publish_statuses(state: &state::State) {
    let now_ms = state::unix_time_ms();
    let evidence = state.evidence.lock();
    let statuses: Vec<_> =
        evidence.view().suspect_statuses(now_ms).filter_map(|it| to_suspect(it, now_ms)).collect();
    drop(evidence);
    let mut distributor = state.distributor.lock();
    // The remaining time of a quarantine changes all the time, so only the kind of status counts.
    let same = |a: &streams::Suspect, b: &streams::Suspect| {
        a.fingerprint == b.fingerprint && (a.refused_ms > 0) == (b.refused_ms > 0)
    };
    let unchanged = distributor.sent_statuses.len() == statuses.len()
        && distributor.sent_statuses.iter().zip(&statuses).all(|(a, b)| same(a, b));
    if unchanged {
        return;
    }
    log::info!(
        target: "decision",
        "suspect or quarantined requests changed; sending {} fingerprints to the nodes",
        statuses.len(),
    );
    distributor.sent_statuses.clone_from(&statuses);
    distributor.broadcast(&streams::ControlMessage::Standings(statuses));
}

/// Runs the relay's timers: frees snapshot slots that have timed out and disconnects unresponsive
/// nodes.
pub(crate) fn tick(state: &state::State) {
    let now = state.now();
    let reads = {
        let mut distributor = state.distributor.lock();
        let distributor = &mut *distributor;
        let effects = distributor.relay.tick(now, &mut distributor.rng);
        perform_effects(distributor, effects)
    };
    confirm_reads(state, reads);
}

/// Records what this control knows of the configuration group after it has applied the log up to
/// `applied`. Knows no more than before while another worker has yet to publish these entries.
pub(crate) fn record_contact(
    state: &state::State,
    contact: relay::Contact,
    applied: entries::Index,
) {
    let now = state.now();
    let reads = {
        let mut distributor = state.distributor.lock();
        let distributor = &mut *distributor;
        if distributor.applied_index < applied {
            return;
        }
        log_contact(&mut distributor.isolated, now, contact);
        let effects = distributor.relay.update_contact(now, contact, &mut distributor.rng);
        perform_effects(distributor, effects)
    };
    confirm_reads(state, reads);
}

/// Logs when this control becomes isolated or is no longer so, with the age of what it knows.
fn log_contact(isolated: &mut bool, now: time::Time, contact: relay::Contact) {
    let was_isolated = std::mem::replace(isolated, contact.until <= now);
    if was_isolated == *isolated {
        return;
    }
    let age = now.since(contact.known_at);
    if *isolated {
        log::warn!(target: "decision", "isolated: nodes get no confirmation; age={age:?}");
    } else {
        log::info!(target: "decision", "in contact with a leader: nodes get confirmations; age={age:?}");
    }
}

/// Whether this control has not yet shown that it has caught up with the log, and has no read in
/// progress. Any read that succeeds shows it.
pub(crate) fn needs_catch_up_read(state: &state::State) -> bool {
    let distributor = state.distributor.lock();
    !distributor.ready
        && distributor.pending_reads.is_empty()
        && distributor.confirmed_reads.is_empty()
}

/// Whether the log has applied entries after the last published one. Entries without a command
/// count too: they change nothing in the state, but reads may wait for their index.
pub(crate) fn has_unpublished_entries(state: &state::State, applied: entries::Index) -> bool {
    state.distributor.lock().applied_index < applied
}

/// Records who requested the read `token`. To be called before the read is sent to the leader.
pub(crate) fn register_read(state: &state::State, token: events::Token, requester: ReadRequester) {
    state.distributor.lock().pending_reads.insert(token, requester);
}

/// The leader confirmed the read `token`; its requester is answered once the state has applied
/// `index`.
pub(crate) fn read_confirmed(state: &state::State, token: events::Token, index: entries::Index) {
    let now = state.now();
    let reads = {
        let configuration = state.configuration_state.lock();
        let mut distributor = state.distributor.lock();
        let distributor = &mut *distributor;
        let Some(requester) = distributor.pending_reads.remove(&token) else { return };
        distributor.confirmed_reads.push((index, requester));
        let effects = complete_reads(distributor, now, &configuration.versions);
        perform_effects(distributor, effects)
    };
    confirm_reads(state, reads);
}

/// The leader did not confirm the read `token`. A node is treated as if this control were isolated,
/// and an operator's request is told that the state may be out of date.
pub(crate) fn read_failed(state: &state::State, token: events::Token) {
    let now = state.now();
    let reads = {
        let mut distributor = state.distributor.lock();
        let distributor = &mut *distributor;
        let key = match distributor.pending_reads.remove(&token) {
            Some(ReadRequester::Node(key)) => key,
            Some(ReadRequester::Operator(answer)) => {
                let _ = answer.send(false);
                return;
            }
            Some(ReadRequester::Control) | None => return,
        };
        let effects = distributor.relay.leader_checked(
            now,
            key,
            relay::LeaderCheck::Isolated,
            &mut distributor.rng,
        );
        perform_effects(distributor, effects)
    };
    confirm_reads(state, reads);
}

fn numbered(change: &versions::Change) -> messages::Numbered {
    messages::Numbered { version: change.version, digest: change.digest }
}

fn delta(change: &versions::Change) -> messages::Delta {
    messages::Delta { to: numbered(change), patch: change.text.clone() }
}

fn head(versions: &versions::Versions) -> relay::Head {
    let text: sync::Arc<str> = document::canonical_json(versions.document()).into();
    let of = messages::Numbered { version: versions.current(), digest: versions.digest() };
    relay::Head { of, document: text, level: versions.document().level }
}

/// Converts the status of a fingerprint to the message for the nodes; `None` for a request that
/// may run.
fn to_suspect(
    (fingerprint, status): (world::requests::Fingerprint, quarantine::Status),
    now_ms: u64,
) -> Option<streams::Suspect> {
    let refused_ms = match status {
        quarantine::Status::Free => return None,
        quarantine::Status::Suspect => 0,
        quarantine::Status::Quarantined { until_ms } => until_ms.saturating_sub(now_ms).max(1),
    };
    Some(streams::Suspect { fingerprint, refused_ms })
}

/// Answers the confirmed reads whose index the state has applied.
fn complete_reads(
    distributor: &mut Distributor,
    now: time::Time,
    versions: &versions::Versions,
) -> Vec<relay::Effect> {
    let mut effects = Vec::new();
    let reads = std::mem::take(&mut distributor.confirmed_reads);
    for (index, requester) in reads {
        if distributor.applied_index < index {
            distributor.confirmed_reads.push((index, requester));
            continue;
        }
        if !distributor.ready {
            log::info!("caught up with the configuration log; nodes are served from now on");
            distributor.ready = true;
            distributor.relay.set_ready();
        }
        let check = relay::LeaderCheck::Current(versions.current());
        match requester {
            ReadRequester::Control => {}
            ReadRequester::Node(key) => {
                effects.extend(distributor.relay.leader_checked(
                    now,
                    key,
                    check,
                    &mut distributor.rng,
                ));
            }
            // Sending fails when the operator's request has ended; nobody needs the answer then.
            ReadRequester::Operator(answer) => _ = answer.send(true),
        }
    }
    effects
}

/// Requests a confirmed read for each of these nodes.
fn confirm_reads(state: &state::State, keys: Vec<subscribers::SubscriberKey>) {
    for key in keys {
        groups::confirm_read(state, ReadRequester::Node(key));
    }
}

/// Performs the relay's effects. Returns the nodes that need a confirmed read; the caller requests
/// these after it has unlocked the distributor.
fn perform_effects(
    distributor: &mut Distributor,
    effects: Vec<relay::Effect>,
) -> Vec<subscribers::SubscriberKey> {
    let mut reads = Vec::new();
    for effect in effects {
        match effect {
            relay::Effect::Send(key, message) => {
                distributor.send(key, streams::ControlMessage::Version(message));
            }
            relay::Effect::ConfirmCurrent(key) => reads.push(key),
            relay::Effect::Close(key) => distributor.disconnect(key),
        }
    }
    reads
}
