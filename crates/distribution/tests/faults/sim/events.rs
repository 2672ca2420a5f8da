//! The simulation's messages and how they are delivered, and how effects are performed.

use distribution::{messages, relay, subscribers, updater};
use world::document;

use super::{LATENCY_MS, Sim};

/// Something that happens later: a message that arrives, or an answer. `conn` numbers the
/// connection, so that what belongs to a closed one is dropped.
pub(super) enum Event {
    Connected { node: usize, control: usize, conn: u64 },
    ToControl { node: usize, control: usize, conn: u64, message: messages::ToControl },
    ToNode { node: usize, control: usize, conn: u64, message: messages::ToNode },
    LeaderCheck { control: usize, epoch: u64, key: subscribers::SubscriberKey },
    Peer { node: usize, epoch: u64, host: usize, of: messages::Numbered },
}

impl Sim {
    pub(super) fn push(&mut self, delay_ms: u64, event: Event) {
        self.serial += 1;
        self.queue.insert((self.now_ms + delay_ms, self.serial), event);
    }

    /// Delivers an event, unless it belongs to a closed connection or a process that has restarted.
    pub(super) fn deliver(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Connected { node, control, conn } if self.is_open(node, control, conn) => {
                let key = self.key(node, control);
                let effects = self.nodes[node].updater.connected(key, &mut self.rng);
                self.perform(node, effects);
            }
            Event::ToControl { node, control, conn, message }
                if self.is_open(node, control, conn) =>
            {
                let it = &mut self.controls[control];
                let effects = match (message, it.conns.get(&(node, conn))) {
                    (messages::ToControl::Hello(hello), _) => {
                        let (key, effects) = it.relay.hello(now, hello, &mut self.rng);
                        it.conns.insert((node, conn), key);
                        effects
                    }
                    (message, Some(&key)) => it.relay.message(now, key, message, &mut self.rng),
                    (_, None) => Vec::new(),
                };
                self.answer(control, effects);
            }
            Event::ToNode { node, control, conn, message } if self.is_open(node, control, conn) => {
                let key = self.key(node, control);
                let updater = &mut self.nodes[node].updater;
                let before = updater.attached();
                let effects = updater.message(now, key, message, &mut self.rng);
                self.attached += u32::from(updater.attached() != before);
                self.perform(node, effects);
            }
            Event::LeaderCheck { control, epoch, key } if self.controls[control].epoch == epoch => {
                let check = match self.controls[control].leader {
                    true => relay::LeaderCheck::Current(document::Version(self.latest())),
                    false => relay::LeaderCheck::Isolated,
                };
                let relay = &mut self.controls[control].relay;
                let effects = relay.leader_checked(now, key, check, &mut self.rng);
                self.answer(control, effects);
            }
            Event::Peer { node, epoch, host, of } if self.nodes[node].epoch == epoch => {
                let answer = self.nodes[host].updater.serve_peer(of);
                let updater = &mut self.nodes[node].updater;
                let effects = updater.peer_answer(now, answer.as_ref(), &mut self.rng);
                self.perform(node, effects);
            }
            _ => {}
        }
    }

    /// Performs the effects of a control.
    pub(super) fn answer(&mut self, control: usize, effects: Vec<relay::Effect>) {
        for effect in effects {
            let (key, mut message) = match effect {
                relay::Effect::Send(key, message) => (key, message),
                relay::Effect::ConfirmCurrent(key) => {
                    let epoch = self.controls[control].epoch;
                    self.push(2 * LATENCY_MS, Event::LeaderCheck { control, epoch, key });
                    continue;
                }
                relay::Effect::Close(_) => continue,
            };
            let conns = &self.controls[control].conns;
            let Some(&(node, conn)) = conns.iter().find(|it| *it.1 == key).map(|it| it.0) else {
                continue;
            };
            let mut delay = self.answer_ms;
            match &mut message {
                messages::ToNode::Delta(_, delta) if self.corrupt => {
                    delta.patch = delta.patch.replace("slots", "queue").into();
                }
                messages::ToNode::Snapshot(..) => delay = self.snapshot_ms,
                _ => {}
            }
            if self.duplicate {
                let message = message.clone();
                self.push(delay + 400, Event::ToNode { node, control, conn, message });
            }
            self.push(delay, Event::ToNode { node, control, conn, message });
        }
    }

    /// Performs the effects of a node.
    pub(super) fn perform(&mut self, node: usize, effects: Vec<updater::Effect>) {
        for effect in effects {
            let (key, message) = match effect {
                updater::Effect::SendHello(key, it) => (key, messages::ToControl::Hello(it)),
                updater::Effect::AskSnapshot(key, it) => {
                    (key, messages::ToControl::AskSnapshot(it))
                }
                updater::Effect::Beat(key, it) => (key, messages::ToControl::Beat(it)),
                updater::Effect::Received(key, it, of) => {
                    (key, messages::ToControl::Received(it, of))
                }
                updater::Effect::Confirm(key, it, of) => {
                    (key, messages::ToControl::Confirm(it, of))
                }
                other => {
                    self.perform_other(node, other);
                    continue;
                }
            };
            let control = self.index(node, key);
            if let Some(&conn) = self.nodes[node].conns.get(&control) {
                self.push(LATENCY_MS, Event::ToControl { node, control, conn, message });
            }
        }
    }

    fn perform_other(&mut self, node: usize, effect: updater::Effect) {
        match effect {
            updater::Effect::Connect(key) => {
                let control = self.index(node, key);
                self.connects += 1;
                self.serial += 1;
                let conn = self.serial;
                self.nodes[node].conns.insert(control, conn);
                self.push(2 * LATENCY_MS, Event::Connected { node, control, conn });
            }
            updater::Effect::Close(key) => {
                let control = self.index(node, key);
                if let Some(conn) = self.nodes[node].conns.remove(&control) {
                    self.close(node, control, conn);
                }
            }
            updater::Effect::AskPeer(host, of) => {
                self.peers_asked += 1;
                let host = host.trim_start_matches("node-").parse().expect("a node");
                let epoch = self.nodes[node].epoch;
                self.push(self.snapshot_ms, Event::Peer { node, epoch, host, of });
            }
            updater::Effect::OfferToken(token) => {
                self.nodes[node].token = Some(token.to_string());
            }
            updater::Effect::Run(config) => self.check_invariants(node, &config),
            _ => {}
        }
    }

    /// Whether an event is held up because the node is cut off from the control.
    pub(super) fn is_stalled(&self, event: &Event) -> bool {
        match *event {
            Event::Connected { node, control, conn }
            | Event::ToControl { node, control, conn, .. }
            | Event::ToNode { node, control, conn, .. } => {
                self.nodes[node].cut.contains(&control) && self.is_open(node, control, conn)
            }
            Event::LeaderCheck { .. } | Event::Peer { .. } => false,
        }
    }
}
