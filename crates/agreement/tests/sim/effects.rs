//! What a simulated host does with the effects of its group.

use std::collections;

use agreement::{events, messages};
use bytes::Bytes;
use rand::Rng as _;

use super::{MAX_DELAY_US, Sim};

impl Sim {
    pub(super) fn perform(&mut self, host: usize, effect: events::Effect) {
        match effect {
            events::Effect::Persist(persist) => self.persist(host, persist),
            events::Effect::SaveSnapshot(snapshot) => self.save(host, snapshot),
            events::Effect::InstallSnapshot(snapshot) => {
                self.counts.installed += 1;
                self.hosts[host].state = decode(&snapshot.data);
                self.save(host, snapshot);
            }
            events::Effect::Send { to, message } => self.send(host, &to, message),
            events::Effect::Apply { index, payload } => self.apply(host, index.0, payload),
            events::Effect::Committed { token, index } => {
                self.counts.committed += 1;
                if index.0 > self.history.newest {
                    self.history.newest = index.0;
                    self.history.newest_at.push((self.now, index.0));
                }
                if self.history.committed.get(&index.0) != self.history.proposed.get(&token.0) {
                    self.violations
                        .push(format!("h{host} reported an uncommitted proposal as committed"));
                }
            }
            events::Effect::Refused { .. } => self.counts.refused += 1,
            events::Effect::LeadershipLost { .. } => self.counts.unknown += 1,
            events::Effect::ReadConfirmed { token, index } => {
                self.counts.reads += 1;
                if index.0 < self.history.reads[&token.0] {
                    self.violations.push(format!("h{host}: a confirmed read is stale"));
                }
            }
            events::Effect::ReadFailed { .. } => self.counts.failed_reads += 1,
            events::Effect::RoleChanged { role: events::Role::Leader, term, .. } => {
                self.counts.elected += 1;
                if self.expected_leader.is_some_and(|it| it != (host, term)) {
                    self.violations.push("a healthy leader was deposed".into());
                }
            }
            events::Effect::RoleChanged { .. } => {}
            events::Effect::SnapshotDue { index } => {
                let data = encode(&self.hosts[host].state);
                self.step(host, events::Event::SnapshotTaken { index, data });
            }
        }
    }

    fn persist(&mut self, host: usize, persist: events::Persist) {
        let it = &mut self.hosts[host];
        let disk = &mut it.disk.restored;
        if it.faults.power_loss && !persist.entries.is_empty() {
            return self.kill(host);
        }
        if let Some(from) = persist.truncate {
            disk.entries.retain(|it| it.position.index < from);
        }
        if it.faults.torn_write {
            let half = persist.entries.len() / 2;
            disk.entries.extend_from_slice(&persist.entries[..half]);
            return self.kill(host);
        }
        disk.entries.extend(persist.entries);
        disk.hard_state = persist.hard_state.unwrap_or_else(|| disk.hard_state.clone());
    }

    fn save(&mut self, host: usize, snapshot: events::Snapshot) {
        let disk = &mut self.hosts[host].disk.restored;
        let last = snapshot.last;
        if disk.entries.iter().any(|it| it.position == last) {
            disk.entries.retain(|it| it.position.index > last.index);
        } else {
            disk.entries.clear();
        }
        disk.snapshot = Some(snapshot);
    }

    fn apply(&mut self, host: usize, index: u64, payload: Bytes) {
        self.hosts[host].state.insert(index, payload.clone());
        let first = self.history.committed.entry(index).or_insert_with(|| payload.clone());
        if *first != payload {
            self.violations.push(format!("h{host} committed another payload at an index"));
        }
    }

    fn send(&mut self, from: usize, to: &str, message: messages::Message) {
        if let messages::Body::VoteReply { granted: true, .. } = message.body {
            self.check_vote(from);
        }
        let Some(to) = self.hosts.iter().position(|it| it.name == to) else { return };
        let above_limit = |it: &messages::AppendEntries| {
            let last = it.entries.last().map_or(0, |it| it.position.index.0);
            self.entry_limit.is_some_and(|limit| last > limit)
        };
        let withheld = matches!(&message.body, messages::Body::Append(it) if above_limit(it));
        if self.cut_links.contains(&(from, to)) || withheld {
            return;
        }
        let copies = match self.rng.random::<f64>() {
            it if it < self.fault_rate => 0,
            it if it < 2.0 * self.fault_rate => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let slow = self.rng.random_bool(self.fault_rate);
            let delay = self.rng.random_range(500..if slow { MAX_DELAY_US } else { 2_000 });
            let added = self.slow_links.get(&(from, to)).map_or(0, |it| it * 1_000);
            self.enqueue(delay + added, from, to, message.clone());
        }
    }

    pub(super) fn enqueue(
        &mut self,
        delay: u64,
        from: usize,
        to: usize,
        message: messages::Message,
    ) {
        self.serial += 1;
        self.packets.insert((self.now + delay, self.serial), (from, to, message));
    }

    fn check_vote(&mut self, host: usize) {
        let disk = self.hosts[host].disk.id;
        let mut groups = self.hosts.iter().filter_map(|it| it.group.as_ref());
        let listed = groups.any(|it| it.voters().iter().any(|it| it.disk == disk));
        if self.history.replaced.contains(&disk) && !listed {
            self.violations.push(format!("h{host} voted with a disk that is not listed"));
        }
    }
}

fn encode(state: &collections::BTreeMap<u64, Bytes>) -> Bytes {
    let line = |it: (&u64, &Bytes)| format!("{} {}\n", it.0, String::from_utf8_lossy(it.1));
    Bytes::from(state.iter().map(line).collect::<String>())
}

pub(super) fn decode(data: &[u8]) -> collections::BTreeMap<u64, Bytes> {
    let text = str::from_utf8(data).expect("a snapshot is text");
    let pair = |line: &str| {
        let (index, payload) = line.split_once(' ').expect("index and payload");
        (index.parse().expect("an index"), Bytes::from(payload.to_owned()))
    };
    text.lines().map(pair).collect()
}
