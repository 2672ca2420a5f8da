//! Handing versions and evidence to the attached nodes.

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

use crate::{groups, machines, state};

/// Messages that may wait for a node; a node that is slower is disconnected and comes back.
pub(crate) const NODE_QUEUE: usize = 4_096;

/// Who waits until the leader has confirmed what is current.
#[derive(Debug)]
pub(crate) enum Reader {
    /// The control itself, which has to show that it has caught up with the log.
    Control,
    /// A node that needs a proof.
    Node(subscribers::SubscriberKey),
    /// An operator, who is told whether this control's state is current.
    Operator(oneshot::Sender<bool>),
}

/// The relay with the channels to its nodes and the reports of the other controls.
pub(crate) struct Distributing {
    pub(crate) relay: relay::Relay,
    pub(crate) rng: rngs::StdRng,
    pub(crate) reports: collections::BTreeMap<CompactString, (streams::Report, time::Time)>,
    outboxes: SecondaryMap<subscribers::SubscriberKey, mpsc::Sender<streams::ControlMessage>>,
    /// Reads that wait for the leader.
    reads: collections::BTreeMap<events::Token, Reader>,
    /// Confirmed reads that wait until the state has applied the index.
    confirmed: Vec<(entries::Index, Reader)>,
    standings: Vec<streams::Standing>,
    /// The last entry of the log that the state has applied.
    applied: entries::Index,
    /// The last entry whose evidence was taken over.
    rebased: u64,
    ready: bool,
}

impl Distributing {
    /// The relay of a control that has just started with this state.
    pub(crate) fn new(
        machine: &machines::Configuration,
        ready: bool,
        rng: rngs::StdRng,
    ) -> Distributing {
        let deltas: Vec<_> = machine.versions.changes().map(delta).collect();
        let head = head(&machine.versions);
        Distributing {
            relay: relay::Relay::new(rand::random(), head, deltas, ready),
            rng,
            reports: collections::BTreeMap::new(),
            outboxes: SecondaryMap::new(),
            reads: collections::BTreeMap::new(),
            confirmed: Vec::new(),
            standings: Vec::new(),
            applied: entries::Index::default(),
            rebased: 0,
            ready,
        }
    }

    /// Whether the control may serve nodes: it has caught up with the log.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Sends a message to a node. A node whose queue is full is disconnected: it asks again for
    /// what it missed.
    pub(crate) fn send(
        &mut self,
        key: subscribers::SubscriberKey,
        message: streams::ControlMessage,
    ) {
        let Some(outbox) = self.outboxes.get(key) else { return };
        if outbox.try_send(message).is_err() {
            self.close(key);
        }
    }

    /// Sends a message to every attached node.
    pub(crate) fn broadcast(&mut self, message: &streams::ControlMessage) {
        let keys: Vec<_> = self.outboxes.keys().collect();
        for key in keys {
            self.send(key, message.clone());
        }
    }

    /// Forgets a node. Its task ends when the channel is closed.
    pub(crate) fn close(&mut self, key: subscribers::SubscriberKey) {
        self.outboxes.remove(key);
        self.relay.closed(key);
    }

    fn take_in(&mut self, now: time::Time, versions: &versions::Versions) -> Vec<relay::Effect> {
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
            // Only the newest of the heads is handed out, so all share its document.
            let of = numbered(change);
            let head = relay::Head { of, ..head.clone() };
            effects.extend(self.relay.committed(now, delta(change), head, &mut self.rng));
        }
        log::info!(
            target: "decision",
            "handing out version {} to {} nodes",
            versions.current(),
            self.outboxes.len(),
        );
        // Entries are synced on this host's disk before they are applied.
        effects.extend(self.relay.synced(now, versions.current(), &mut self.rng));
        effects
    }
}

/// A node said hello on a new connection.
pub(crate) fn hello(
    state: &state::State,
    hello: messages::Hello,
    outbox: mpsc::Sender<streams::ControlMessage>,
) -> subscribers::SubscriberKey {
    let now = state.now();
    let (key, reads) = subscribe(&mut state.relay.lock(), now, hello, outbox);
    ask(state, reads);
    key
}

/// A node said hello again on its connection: what it may take has changed. Its session with `key`
/// ends; there is no new one when the node has been disconnected meanwhile.
pub(crate) fn hello_again(
    state: &state::State,
    key: subscribers::SubscriberKey,
    hello: messages::Hello,
) -> Option<subscribers::SubscriberKey> {
    let now = state.now();
    let (key, reads) = {
        let mut table = state.relay.lock();
        let outbox = table.outboxes.remove(key)?;
        subscribe(&mut table, now, hello, outbox)
    };
    ask(state, reads);
    Some(key)
}

fn subscribe(
    table: &mut Distributing,
    now: time::Time,
    hello: messages::Hello,
    outbox: mpsc::Sender<streams::ControlMessage>,
) -> (subscribers::SubscriberKey, Vec<subscribers::SubscriberKey>) {
    log::info!(
        target: "decision",
        "node {} attached, running {:?}, floor {:?}",
        hello.node,
        hello.running.map(|it| it.version),
        hello.floor,
    );
    let (key, effects) = table.relay.hello(now, hello, &mut table.rng);
    table.outboxes.insert(key, outbox);
    let standings = streams::ControlMessage::Standings(table.standings.clone());
    table.send(key, standings);
    (key, perform(table, effects))
}

/// A message about versions came from a node.
pub(crate) fn message(
    state: &state::State,
    key: subscribers::SubscriberKey,
    message: messages::ToControl,
) {
    let now = state.now();
    let reads = {
        let mut table = state.relay.lock();
        let table = &mut *table;
        let effects = table.relay.message(now, key, message, &mut table.rng);
        perform(table, effects)
    };
    ask(state, reads);
}

/// The replicated state has changed: hands out what is new.
pub(crate) fn publish(state: &state::State, applied: entries::Index) {
    let now = state.now();
    let reads = {
        let machine = state.machine.lock();
        let mut evidence = state.evidence.lock();
        let mut table = state.relay.lock();
        let table = &mut *table;
        // Rebasing copies the evidence, so it is left out when only a version has changed.
        if table.rebased != machine.quarantine.applied() {
            table.rebased = machine.quarantine.applied();
            evidence.rebase(&machine.quarantine, state::wall_ms());
        }
        drop(evidence);
        // Two workers may get here in the other order than they stepped the log.
        table.applied = table.applied.max(applied);
        let mut effects = table.take_in(now, &machine.versions);
        effects.extend(settle_reads(table, now, &machine.versions));
        perform(table, effects)
    };
    ask(state, reads);
}

/// Sends the evidence to the nodes when it has changed. At most once a second, since each list is
/// sent whole.
pub(crate) fn publish_standings(state: &state::State) {
    let now_ms = state::wall_ms();
    let evidence = state.evidence.lock();
    let standings: Vec<_> =
        evidence.view().standings(now_ms).filter_map(|it| standing(it, now_ms)).collect();
    drop(evidence);
    let mut table = state.relay.lock();
    let same = |a: &streams::Standing, b: &streams::Standing| {
        a.fingerprint == b.fingerprint && (a.refused_ms > 0) == (b.refused_ms > 0)
    };
    let unchanged = table.standings.len() == standings.len()
        && table.standings.iter().zip(&standings).all(|(a, b)| same(a, b));
    if unchanged {
        return;
    }
    log::info!(target: "decision", "{} fingerprints are suspect or quarantined", standings.len());
    table.standings.clone_from(&standings);
    table.broadcast(&streams::ControlMessage::Standings(standings));
}

/// Does what is due each second.
pub(crate) fn tick(state: &state::State) {
    let now = state.now();
    let reads = {
        let mut table = state.relay.lock();
        let table = &mut *table;
        let effects = table.relay.tick(now, &mut table.rng);
        perform(table, effects)
    };
    ask(state, reads);
}

/// Whether the control can reach the leader has changed, or was found out again.
pub(crate) fn set_isolated(state: &state::State, isolated: bool) {
    state.relay.lock().relay.set_isolated(isolated);
}

/// Whether the control still has to show that it has caught up with the log.
pub(crate) fn is_catching_up(state: &state::State) -> bool {
    let table = state.relay.lock();
    !table.ready && table.reads.is_empty() && table.confirmed.is_empty()
}

/// Whether the log has got further than what was published. Entries without a command move the
/// log on too, and reads wait for them.
pub(crate) fn is_behind(state: &state::State, applied: entries::Index) -> bool {
    state.relay.lock().applied < applied
}

/// Notes who waits for a read, before it is asked.
pub(crate) fn expect_read(state: &state::State, token: events::Token, reader: Reader) {
    state.relay.lock().reads.insert(token, reader);
}

/// A read was confirmed.
pub(crate) fn confirmed(state: &state::State, token: events::Token, index: entries::Index) {
    let now = state.now();
    let reads = {
        let machine = state.machine.lock();
        let mut table = state.relay.lock();
        let table = &mut *table;
        let Some(reader) = table.reads.remove(&token) else { return };
        table.confirmed.push((index, reader));
        let effects = settle_reads(table, now, &machine.versions);
        perform(table, effects)
    };
    ask(state, reads);
}

/// A read was not confirmed.
pub(crate) fn unconfirmed(state: &state::State, token: events::Token) {
    let now = state.now();
    let reads = {
        let mut table = state.relay.lock();
        let table = &mut *table;
        let key = match table.reads.remove(&token) {
            Some(Reader::Node(key)) => key,
            Some(Reader::Operator(answer)) => {
                let _ = answer.send(false);
                return;
            }
            Some(Reader::Control) | None => return,
        };
        let effects =
            table.relay.leader_checked(now, key, relay::LeaderCheck::Isolated, &mut table.rng);
        perform(table, effects)
    };
    ask(state, reads);
}

/// A version's number and digest.
fn numbered(change: &versions::Change) -> messages::Numbered {
    messages::Numbered { version: change.version, digest: change.digest }
}

fn delta(change: &versions::Change) -> messages::Delta {
    messages::Delta { to: numbered(change), patch: change.text.clone() }
}

fn head(versions: &versions::Versions) -> relay::Head {
    let text: sync::Arc<str> = document::canonical(versions.document()).into();
    let of = messages::Numbered { version: versions.current(), digest: versions.digest() };
    relay::Head { of, document: text, level: versions.document().level }
}

fn standing(
    (fingerprint, standing): (world::requests::Fingerprint, quarantine::Standing),
    now_ms: u64,
) -> Option<streams::Standing> {
    let refused_ms = match standing {
        quarantine::Standing::Free => return None,
        quarantine::Standing::Suspect => 0,
        quarantine::Standing::Quarantined { until_ms } => until_ms.saturating_sub(now_ms).max(1),
    };
    Some(streams::Standing { fingerprint, refused_ms })
}

/// Gives out the reads whose index the state has applied.
fn settle_reads(
    table: &mut Distributing,
    now: time::Time,
    versions: &versions::Versions,
) -> Vec<relay::Effect> {
    let mut effects = Vec::new();
    let waiting = std::mem::take(&mut table.confirmed);
    for (index, reader) in waiting {
        if table.applied < index {
            table.confirmed.push((index, reader));
            continue;
        }
        if !table.ready {
            log::info!("caught up with the configuration log");
            table.ready = true;
            table.relay.set_ready();
        }
        let currency = relay::LeaderCheck::Current(versions.current());
        match reader {
            Reader::Control => {}
            Reader::Node(key) => {
                effects.extend(table.relay.leader_checked(now, key, currency, &mut table.rng));
            }
            // An operator who has gone does not need the answer.
            Reader::Operator(answer) => _ = answer.send(true),
        }
    }
    effects
}

/// Asks the leader on behalf of nodes that need a current version.
fn ask(state: &state::State, keys: Vec<subscribers::SubscriberKey>) {
    for key in keys {
        groups::confirm_read(state, Reader::Node(key));
    }
}

/// Sends what the relay asks for. Returns the nodes for which the leader has to be asked.
fn perform(
    table: &mut Distributing,
    effects: Vec<relay::Effect>,
) -> Vec<subscribers::SubscriberKey> {
    let mut reads = Vec::new();
    for effect in effects {
        match effect {
            relay::Effect::Send(key, message) => {
                table.send(key, streams::ControlMessage::Version(message));
            }
            relay::Effect::ConfirmCurrent(key) => reads.push(key),
            relay::Effect::Close(key) => table.close(key),
        }
    }
    reads
}
