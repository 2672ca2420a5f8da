//! Formation of a group by hosts whose disks are all blank.

use std::collections;

use rand::Rng as _;
use world::time;

use crate::{entries, group, members, messages};

/// Which voters have reported a blank disk, with its ID.
pub(crate) type BlankDisks = collections::BTreeMap<members::MemberKey, entries::DiskId>;

impl group::Group {
    /// Whether this disk has never been part of a group. A snapshot may be installed before the
    /// cluster is written, so the log is asked as well.
    pub(crate) fn is_blank(&self) -> bool {
        self.hard_state.cluster.is_none() && self.log.last() == entries::Position::default()
    }

    /// The first voter by name asks the others; a blank host can do nothing else.
    pub(crate) fn tick_formation(&mut self, now: time::Time) {
        let own = &self.members.get(self.own_key).host;
        if !self.is_blank()
            || self.settings.voters.iter().min() != Some(own)
            || now < self.heartbeat_at
        {
            return;
        }
        self.heartbeat_at = now + self.settings.heartbeat;
        for key in self.configured_voters() {
            if key != self.own_key {
                self.send(key, messages::Body::Probe);
            }
        }
        self.form_if_blank(now);
    }

    pub(crate) fn on_probe(&mut self, sender: group::Sender) {
        let blank = self.is_blank();
        self.send(sender.key, messages::Body::Report { asker: sender.disk, blank });
    }

    pub(crate) fn on_report(
        &mut self,
        now: time::Time,
        sender: group::Sender,
        asker: entries::DiskId,
        blank: bool,
    ) {
        if asker != self.disk {
            return;
        }
        if blank {
            self.blank_disks.insert(sender.key, sender.disk);
        } else {
            self.blank_disks.remove(&sender.key);
        }
        self.form_if_blank(now);
    }

    fn form_if_blank(&mut self, now: time::Time) {
        if !self.is_blank() {
            return;
        }
        self.blank_disks.insert(self.own_key, self.disk);
        let mut voters = Vec::new();
        for key in self.configured_voters() {
            let Some(&disk) = self.blank_disks.get(&key) else { return };
            voters.push(entries::Voter { host: self.members.get(key).host.clone(), disk });
        }
        let cluster = entries::ClusterId(self.rng.random());
        log::info!("all {} voters are blank; forming cluster {cluster}", voters.len());
        self.hard_state.cluster = Some(cluster);
        self.persist_hard_state();
        // Entry 1 has term 0, so that each leader elected later commits it with its own entry.
        self.append(entries::Payload::Voters(voters));
        self.campaign(now);
    }

    fn configured_voters(&mut self) -> Vec<members::MemberKey> {
        let members = &mut self.members;
        self.settings.voters.iter().map(|it| members.add(it)).collect()
    }
}
