//! The lists of voters in the log, majorities, and the two-step replacement of a lost disk.

use std::{mem, slice};

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

    /// Proposes the next step of replacing a lost disk, if there is one.
    ///
    /// The first step removes the old disk from the list of voters. The second adds the new disk
    /// once the first is committed. In a single step the old majority {A, C} and the new majority
    /// {B, C'} would not intersect. Both steps wait until the new disk holds everything up to the
    /// commit index, which a late acknowledgement from a removed disk never shows.
    pub(crate) fn replace_disks(&mut self, now: time::Time) {
        let committed = self.voter_lists.latest_index() <= self.hard_state.commit;
        if !committed || !self.is_ready_leader(now) || !self.settings.toggles.disk_ids {
            return;
        }
        let Some(voters) = self.next_voters() else { return };
        log::info!("proposing a new list of voters: {voters:?}");
        self.append(entries::Payload::Voters(voters));
        self.replicate(now);
    }

    /// The next list of voters, which differs from the newest one in a single voter; none if no
    /// configured voter has a caught-up disk that is not listed.
    fn next_voters(&self) -> Option<Vec<entries::Voter>> {
        let mut voters = self.voter_lists.latest().to_vec();
        for host in &self.settings.voters {
            let Some(disk) = self.caught_up_disk(host) else { continue };
            let position = voters.iter().position(|it| it.host == *host);
            match position {
                Some(position) if voters[position].disk == disk => continue,
                Some(position) => _ = voters.remove(position),
                None => voters.push(entries::Voter { host: host.clone(), disk }),
            }
            return Some(voters);
        }
        None
    }

    /// The disk of another host, if it holds everything up to the commit index.
    fn caught_up_disk(&self, host: &str) -> Option<entries::DiskId> {
        let key = self.members.find(host).filter(|&it| it != self.own_key)?;
        let member = self.members.get(key);
        member.disk.filter(|_| member.progress.matched >= self.hard_state.commit)
    }

    /// The last known disk of a host, this one included.
    fn known_disk(&self, key: members::MemberKey) -> Option<entries::DiskId> {
        if key == self.own_key { Some(self.disk) } else { self.members.get(key).disk }
    }
}
