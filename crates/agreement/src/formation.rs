//! Formation (bootstrap) of a group: the configured voters form it once all their disks are blank.

use std::collections;

use rand::Rng as _;
use world::time;

use crate::{entries, group, members, messages};

/// The disk IDs of the voters that have reported a blank disk.
pub(crate) type BlankDisks = collections::BTreeMap<members::MemberKey, entries::DiskId>;

impl group::Group {
    /// Whether this disk has never been part of a group. The log is checked too, because a snapshot
    /// can be installed before the hard state with the cluster ID is persisted.
    pub(crate) fn is_blank(&self) -> bool {
        self.hard_state.cluster.is_none() && self.log.last() == entries::Position::default()
    }

    /// The configured voter whose name sorts first probes the other voters once per heartbeat
    /// interval. Other blank hosts wait.
    pub(crate) fn tick_formation(&mut self, now: time::Time) {
        let own_host = &self.members.get(self.own_key).host;
        if !self.is_blank()
            || self.settings.voters.iter().min() != Some(own_host)
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

    /// Forms the group once every configured voter has reported a blank disk: draws the cluster ID,
    /// appends the list of voters as the first entry and starts an election.
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
        log::info!("all {} voters have blank disks; forming cluster {cluster}", voters.len());
        self.hard_state.cluster = Some(cluster);
        self.persist_hard_state();
        // Entry 1 has term 0, so whichever leader is elected commits it with its own first entry.
        self.append(entries::Payload::Voters(voters));
        self.campaign(now);
    }

    /// The voters in the settings, which the list in the log can differ from.
    fn configured_voters(&mut self) -> Vec<members::MemberKey> {
        let members = &mut self.members;
        self.settings.voters.iter().map(|it| members.add(it)).collect()
    }
}
