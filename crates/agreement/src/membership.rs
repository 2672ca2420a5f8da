//! The voters listed in the log, and the replacement of a lost disk in two steps.

use std::{mem, slice};

use world::time;

use crate::{entries, events, group, members};

/// A list of voters and the entry that set it.
#[derive(Clone, Debug)]
struct Config {
    index: entries::Index,
    voters: Vec<entries::Voter>,
}

/// A voter by key.
#[derive(Clone, Copy, Debug)]
struct VoterKey {
    member: members::MemberKey,
    disk: entries::DiskId,
}

/// The lists of voters that the log in memory may fall back to. The newest is in force, whether
/// it is committed or not.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configs {
    history: Vec<Config>,
    keys: Vec<VoterKey>,
}

impl Configs {
    pub(crate) fn restore(
        snapshot: Option<&events::Snapshot>,
        entries: &[entries::Entry],
    ) -> Configs {
        let mut configs = Configs::default();
        if let Some(it) = snapshot {
            configs.push(it.last.index, it.voters.clone());
        }
        for entry in entries {
            if let entries::Payload::Voters(voters) = &entry.payload {
                configs.push(entry.position.index, voters.clone());
            }
        }
        configs
    }

    pub(crate) fn push(&mut self, index: entries::Index, voters: Vec<entries::Voter>) {
        self.history.push(Config { index, voters });
    }

    pub(crate) fn truncate(&mut self, from: entries::Index) {
        self.history.retain(|it| it.index < from);
    }

    /// Replaces the lists at and before `index` by one.
    pub(crate) fn install(&mut self, index: entries::Index, voters: Vec<entries::Voter>) {
        let later = mem::take(&mut self.history).into_iter().filter(|it| it.index > index);
        self.history = vec![Config { index, voters }];
        self.history.extend(later);
    }

    pub(crate) fn latest(&self) -> &[entries::Voter] {
        self.history.last().map_or(&[], |it| &it.voters)
    }

    /// The voters at `index`, which must not be compacted away.
    pub(crate) fn at(&self, index: entries::Index) -> &[entries::Voter] {
        let found = self.history.iter().rev().find(|it| it.index <= index);
        found.map_or(&[], |it| &it.voters)
    }

    fn latest_index(&self) -> entries::Index {
        self.history.last().map_or(entries::Index::default(), |it| it.index)
    }

    fn keys(&self) -> slice::Iter<'_, VoterKey> {
        self.keys.iter()
    }
}

impl group::Group {
    /// Resolves the newest list of voters to keys.
    pub(crate) fn refresh_voters(&mut self) {
        let members = &mut self.members;
        let voters = self.configs.latest().iter();
        let key = |it: &entries::Voter| VoterKey { member: members.add(&it.host), disk: it.disk };
        self.configs.keys = voters.map(key).collect();
    }

    /// The highest value that a majority of voters has reached. A voter whose disk is not the
    /// listed one counts as not having reached any.
    pub(crate) fn majority<T: Copy + Ord>(
        &self,
        value: impl Fn(members::MemberKey) -> Option<T>,
    ) -> Option<T> {
        let reached = |it: &VoterKey| {
            let disk = self.disk_of(it.member)?;
            self.disk_counts(disk, it.disk).then(|| value(it.member)).flatten()
        };
        let mut values: Vec<Option<T>> = self.configs.keys().map(reached).collect();
        values.sort_unstable();
        let minority = values.len().checked_sub(1)? / 2;
        values.get(minority).copied().flatten()
    }

    /// Whether the votes given are those of a majority.
    pub(crate) fn has_majority(&self) -> bool {
        let given = self.configs.keys().filter(|it| self.votes.contains(&it.member)).count();
        given > self.configs.keys.len() / 2
    }

    /// The disk listed for a voter.
    pub(crate) fn listed_disk(&self, key: members::MemberKey) -> Option<entries::DiskId> {
        self.configs.keys().find(|it| it.member == key).map(|it| it.disk)
    }

    /// Proposes the next step of replacing a lost disk. The first step removes the old disk, the
    /// second adds the new one after the first is committed: in one step the old majority {A, C}
    /// and the new majority {B, C'} would not intersect. Both wait until the new disk holds
    /// everything up to the commit index; a late acknowledgement of a removed disk never does.
    pub(crate) fn replace_disks(&mut self, now: time::Time) {
        let settled = self.configs.latest_index() <= self.hard_state.commit;
        if !settled || !self.is_ready_leader(now) || !self.settings.mechanisms.disk_ids {
            return;
        }
        let Some(voters) = self.next_voters() else { return };
        log::info!("proposing voters {voters:?}");
        self.append(entries::Payload::Voters(voters));
        self.replicate(now);
    }

    fn next_voters(&self) -> Option<Vec<entries::Voter>> {
        let mut voters = self.configs.latest().to_vec();
        for host in &self.settings.voters {
            let Some(disk) = self.caught_up(host) else { continue };
            let place = voters.iter().position(|it| it.host == *host);
            match place {
                Some(place) if voters[place].disk == disk => continue,
                Some(place) => _ = voters.remove(place),
                None => voters.push(entries::Voter { host: host.clone(), disk }),
            }
            return Some(voters);
        }
        None
    }

    /// The disk of another host, when it holds everything up to the commit index.
    fn caught_up(&self, host: &str) -> Option<entries::DiskId> {
        let key = self.members.find(host).filter(|&it| it != self.me)?;
        let member = self.members.get(key);
        member.disk.filter(|_| member.progress.matched >= self.hard_state.commit)
    }

    fn disk_of(&self, key: members::MemberKey) -> Option<entries::DiskId> {
        if key == self.me { Some(self.disk) } else { self.members.get(key).disk }
    }
}
