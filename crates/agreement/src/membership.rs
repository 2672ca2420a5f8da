//! The lists of voters in the log, majorities, and the two-step replacement of a voter that is gone
//! or has lost its disk.

use std::{mem, slice};

use compact_str::CompactString;
use world::time;

use crate::{entries, events, group, members};

/// A list of voters and the index of the entry that set it.
#[derive(Clone, Debug)]
struct VoterList {
    index: entries::Index,
    voters: Vec<entries::Voter>,
}

/// A listed voter, resolved to its key.
#[derive(Clone, Copy, Debug)]
struct ListedVoter {
    member: members::MemberKey,
    disk: entries::DiskId,
}

/// The lists of voters in the log in memory, oldest first. The newest one is in force, whether it
/// is committed or not; if its entry is truncated, the one before it applies again.
#[derive(Clone, Debug, Default)]
pub(crate) struct VoterLists {
    lists: Vec<VoterList>,
    /// The voters of the newest list.
    resolved: Vec<ListedVoter>,
}

impl VoterLists {
    pub(crate) fn restore(
        snapshot: Option<&events::Snapshot>,
        entries: &[entries::Entry],
    ) -> VoterLists {
        let mut lists = VoterLists::default();
        if let Some(it) = snapshot {
            lists.push(it.last.index, it.voters.clone());
        }
        for entry in entries {
            if let entries::Payload::Voters(voters) = &entry.payload {
                lists.push(entry.position.index, voters.clone());
            }
        }
        lists
    }

    pub(crate) fn push(&mut self, index: entries::Index, voters: Vec<entries::Voter>) {
        self.lists.push(VoterList { index, voters });
    }

    pub(crate) fn truncate(&mut self, from: entries::Index) {
        self.lists.retain(|it| it.index < from);
    }

    /// Replaces all lists at and before `index` by `voters`.
    pub(crate) fn install(&mut self, index: entries::Index, voters: Vec<entries::Voter>) {
        let later = mem::take(&mut self.lists).into_iter().filter(|it| it.index > index);
        self.lists = vec![VoterList { index, voters }];
        self.lists.extend(later);
    }

    pub(crate) fn latest(&self) -> &[entries::Voter] {
        self.lists.last().map_or(&[], |it| &it.voters)
    }

    /// The voters in force at `index`, which must not be below the base of the log.
    pub(crate) fn at(&self, index: entries::Index) -> &[entries::Voter] {
        let found = self.lists.iter().rev().find(|it| it.index <= index);
        found.map_or(&[], |it| &it.voters)
    }

    fn latest_index(&self) -> entries::Index {
        self.lists.last().map_or(entries::Index::default(), |it| it.index)
    }

    fn resolved(&self) -> slice::Iter<'_, ListedVoter> {
        self.resolved.iter()
    }
}

impl group::Group {
    /// Resolves the newest list of voters to member keys. To be called whenever the lists change.
    pub(crate) fn resolve_voters(&mut self) {
        let members = &mut self.members;
        let voters = self.voter_lists.latest().iter();
        let key =
            |it: &entries::Voter| ListedVoter { member: members.add(&it.host), disk: it.disk };
        self.voter_lists.resolved = voters.map(key).collect();
    }

    /// The highest value that a majority of the voters has reached, where `value` gives the value
    /// of each voter. A voter whose disk is not the listed one counts as having none.
    pub(crate) fn majority_value<T: Copy + Ord>(
        &self,
        value: impl Fn(members::MemberKey) -> Option<T>,
    ) -> Option<T> {
        let reached = |it: &ListedVoter| {
            let disk = self.known_disk(it.member)?;
            self.disk_matches(disk, it.disk).then(|| value(it.member)).flatten()
        };
        let mut values: Vec<Option<T>> = self.voter_lists.resolved().map(reached).collect();
        values.sort_unstable();
        let minority = values.len().checked_sub(1)? / 2;
        values.get(minority).copied().flatten()
    }

    /// Whether a majority of the voters has granted its vote in this election round.
    pub(crate) fn has_vote_majority(&self) -> bool {
        let granted =
            self.voter_lists.resolved().filter(|it| self.votes.contains(&it.member)).count();
        granted > self.voter_lists.resolved.len() / 2
    }

    /// The disk that is listed for a voter; none for a learner.
    pub(crate) fn listed_disk(&self, key: members::MemberKey) -> Option<entries::DiskId> {
        self.voter_lists.resolved().find(|it| it.member == key).map(|it| it.disk)
    }

    /// Takes over the hosts of the group. A host that the log still lists as a voter, or that
    /// leads, stays a member until it no longer does.
    pub(crate) fn configure(
        &mut self,
        now: time::Time,
        mut hosts: Vec<CompactString>,
        mut voters: Vec<CompactString>,
    ) {
        for host in &hosts {
            if self.members.find(host).is_none() {
                let key = self.members.add(host);
                self.members.get_mut(key).added = now;
            }
        }
        let own_key = self.own_key;
        let leader = self.leader;
        let listed = &self.voter_lists.resolved;
        self.members.retain(|key, member| {
            key == own_key
                || leader == Some(key)
                || hosts.contains(&member.host)
                || listed.iter().any(|it| it.member == key)
        });
        hosts.sort();
        voters.sort();
        (self.settings.hosts, self.settings.voters) = (hosts, voters);
    }

    /// Whether the newest list of voters does not have this host, and is committed. A leader that
    /// has removed itself leads until then.
    pub(crate) fn is_removed(&self) -> bool {
        !self.is_voter() && self.voter_lists.latest_index() <= self.hard_state.commit
    }

    /// Proposes the next step of replacing a voter, if there is one.
    ///
    /// The first step removes the old disk from the list of voters. The second adds the new disk
    /// once the first is committed. In a single step the old majority {A, C} and the new majority
    /// {B, C'} would not intersect. Both steps wait until the new disk holds everything up to the
    /// commit index, which a late acknowledgement from a removed disk never shows.
    pub(crate) fn replace_voters(&mut self, now: time::Time) {
        let committed = self.voter_lists.latest_index() <= self.hard_state.commit;
        if !committed || !self.is_ready_leader(now) || !self.settings.toggles.disk_ids {
            return;
        }
        let Some(voters) = self.next_voters(now) else { return };
        log::info!("proposing a new list of voters: {voters:?}");
        self.append(entries::Payload::Voters(voters));
        self.replicate(now);
    }

    /// The next list of voters, which differs from the newest one in a single voter; none if every
    /// host that is to vote is listed with its disk, or is not ready to be.
    fn next_voters(&self, now: time::Time) -> Option<Vec<entries::Voter>> {
        let mut voters = self.voter_lists.latest().to_vec();
        let seats = self.settings.voters.len();
        for host in &self.settings.voters {
            let Some(disk) = self.caught_up_disk(now, host) else { continue };
            let listed = voters.iter().position(|it| it.host == *host);
            let outgoing = match listed {
                Some(it) if voters[it].disk == disk => continue,
                Some(it) => Some(it),
                // The vote that the last step has freed is given first. Several moves at once would
                // otherwise remove one voter after the other.
                None if voters.len() < seats => None,
                None => voters.iter().position(|it| !self.settings.voters.contains(&it.host)),
            };
            match outgoing {
                Some(it) => _ = voters.remove(it),
                None => voters.push(entries::Voter { host: host.clone(), disk }),
            }
            return Some(voters);
        }
        None
    }

    /// The disk of another host, if it answers and holds everything up to the commit index.
    fn caught_up_disk(&self, now: time::Time, host: &str) -> Option<entries::DiskId> {
        let key = self.members.find(host).filter(|&it| it != self.own_key)?;
        let member = self.members.get(key);
        let ready =
            !self.is_unresponsive(now, key) && member.progress.matched >= self.hard_state.commit;
        member.disk.filter(|_| ready)
    }

    /// The last known disk of a host, this one included.
    fn known_disk(&self, key: members::MemberKey) -> Option<entries::DiskId> {
        if key == self.own_key { Some(self.disk) } else { self.members.get(key).disk }
    }
}
