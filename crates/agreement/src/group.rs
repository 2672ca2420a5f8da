//! One host's replica of the log, and the dispatch of its events.

use std::{collections, mem};

use compact_str::CompactString;
use rand::{Rng as _, SeedableRng as _, rngs};
use world::time;

use crate::{
    entries, events, formation, lease, members, membership, messages, reads, settings, snapshots,
};

/// One host's replica of the log: its Raft state and the part of the log that is held in memory.
#[derive(Debug)]
pub struct Group {
    pub(crate) settings: settings::Settings,
    pub(crate) disk: entries::DiskId,
    pub(crate) rng: rngs::StdRng,
    pub(crate) own_key: members::MemberKey,
    pub(crate) members: members::Members,
    pub(crate) hard_state: events::HardState,
    pub(crate) log: entries::Log,
    pub(crate) snapshot: Option<events::Snapshot>,
    pub(crate) incoming: Option<snapshots::IncomingSnapshot>,
    pub(crate) applied: entries::Index,
    /// The last entry covered by the newest snapshot, including one requested with `SnapshotDue`.
    pub(crate) snapshot_index: entries::Index,
    /// Bytes of the commands applied after `snapshot_index`.
    pub(crate) applied_bytes: usize,
    pub(crate) voter_lists: membership::VoterLists,
    pub(crate) role: events::Role,
    pub(crate) leader: Option<members::MemberKey>,
    pub(crate) contact: lease::Contact,
    /// When the election timeout ends.
    pub(crate) election_at: time::Time,
    /// When a leader sends its next heartbeats, or a host that forms a group its next probes.
    pub(crate) heartbeat_at: time::Time,
    /// When this host last became the leader.
    pub(crate) leader_since: time::Time,
    /// The members that granted their vote in the current election round.
    pub(crate) votes: collections::BTreeSet<members::MemberKey>,
    /// The proposals that this host appended as leader and that are not committed yet.
    pub(crate) pending: collections::BTreeMap<entries::Index, events::Token>,
    /// Random number of this process.
    pub(crate) nonce: u64,
    pub(crate) reads: reads::Reads,
    pub(crate) blank_disks: formation::BlankDisks,
    /// Log changes of the current step.
    persist: events::Persist,
    /// The hard state must be persisted at the end of the current step.
    hard_dirty: bool,
    effects: Vec<events::Effect>,
    /// The role, term and leader in the latest `RoleChanged`.
    reported: (events::Role, entries::Term, Option<members::MemberKey>),
}

impl Group {
    /// Creates the replica of `host` from the state restored from its disk, as a follower.
    ///
    /// `seed` determines all random choices: election timeouts, the cluster ID and the nonce of
    /// this process.
    pub fn new(
        settings: settings::Settings,
        host: &CompactString,
        disk: entries::DiskId,
        restored: events::Restored,
        seed: u64,
    ) -> Group {
        let mut members = members::Members::default();
        let own_key = members.add(host);
        settings.hosts.iter().for_each(|it| _ = members.add(it));
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let nonce = rng.random();
        let events::Restored { mut hard_state, snapshot, entries } = restored;
        let base = snapshot.as_ref().map_or(entries::Position::default(), |it| it.last);
        let voter_lists = membership::VoterLists::restore(snapshot.as_ref(), &entries);
        let log = entries::Log::new(base, entries);
        if log.last().term > hard_state.term {
            // The process ended between the installation of a snapshot and the write of the hard
            // state, so it has not voted in this term.
            hard_state.term = log.last().term;
            hard_state.vote = None;
        }
        // The snapshot can be newer than the persisted commit index, and the commit index must not
        // exceed the log.
        hard_state.commit = hard_state.commit.max(base.index).min(log.last().index);
        let mut group = Group {
            settings,
            disk,
            rng,
            own_key,
            members,
            reported: (events::Role::Follower, hard_state.term, None),
            hard_state,
            log,
            snapshot,
            incoming: None,
            applied: base.index,
            snapshot_index: base.index,
            applied_bytes: 0,
            voter_lists,
            role: events::Role::Follower,
            leader: None,
            contact: lease::Contact::default(),
            election_at: time::Time::ZERO,
            heartbeat_at: time::Time::ZERO,
            leader_since: time::Time::ZERO,
            votes: collections::BTreeSet::new(),
            pending: collections::BTreeMap::new(),
            nonce,
            reads: reads::Reads::default(),
            blank_disks: formation::BlankDisks::default(),
            persist: events::Persist::default(),
            hard_dirty: false,
            effects: Vec::new(),
        };
        group.resolve_voters();
        group
    }

    /// Processes one event at monotonic time `now` and returns the effects to perform, in order.
    pub fn step(&mut self, now: time::Time, event: events::Event) -> Vec<events::Effect> {
        self.record_start(now);
        match event {
            events::Event::Tick => self.tick(now),
            events::Event::Receive { from, message } => self.receive(now, &from, message),
            events::Event::Configure { hosts, voters } => self.configure(now, hosts, voters),
            events::Event::Propose(proposals) => self.propose(now, proposals),
            events::Event::ConfirmRead { token } => self.confirm_read(now, token),
            events::Event::SnapshotTaken { index, data } => self.on_snapshot(now, index, data),
        }
        self.apply_committed();
        self.record_current();
        self.report_role();
        self.take_effects()
    }

    /// This host's role in the current term.
    pub fn role(&self) -> events::Role {
        self.role
    }

    /// The current term: the highest that this host has seen.
    pub fn term(&self) -> entries::Term {
        self.hard_state.term
    }

    /// The leader of the current term, if this host knows it.
    pub fn leader(&self) -> Option<&CompactString> {
        self.leader.map(|it| &self.members.get(it).host)
    }

    /// The index of the last applied entry. Entries without a command count as applied although
    /// they produce no `Apply` effect.
    pub fn applied(&self) -> entries::Index {
        self.applied
    }

    /// The highest index that this host knows to be committed.
    pub fn commit(&self) -> entries::Index {
        self.hard_state.commit
    }

    /// The cluster that this host's disk belongs to; none before the group has formed.
    pub fn cluster(&self) -> Option<entries::ClusterId> {
        self.hard_state.cluster
    }

    /// The voters in the newest list of this host's log, whether it is committed or not.
    pub fn voters(&self) -> &[entries::Voter] {
        self.voter_lists.latest()
    }

    /// Whether this host is a voter with its current disk.
    pub fn is_voter(&self) -> bool {
        let own_host = &self.members.get(self.own_key).host;
        self.voters().iter().any(|it| it.host == *own_host && self.disk_matches(self.disk, it.disk))
    }

    /// Whether a vote or an acknowledgement from disk `found` counts for a voter that is listed
    /// with disk `listed`.
    pub(crate) fn disk_matches(&self, found: entries::DiskId, listed: entries::DiskId) -> bool {
        found == listed || !self.settings.toggles.disk_ids
    }

    /// Records the time of the first step and starts the election timer.
    fn record_start(&mut self, now: time::Time) {
        if self.contact.started.is_some() {
            return;
        }
        self.contact.started = Some(now);
        self.reset_election_timer(now);
    }

    fn tick(&mut self, now: time::Time) {
        self.tick_reads(now);
        if self.hard_state.cluster.is_none() {
            return self.tick_formation(now);
        }
        if self.role == events::Role::Leader {
            return self.tick_leader(now);
        }
        if now >= self.election_at {
            self.campaign(now);
        }
    }

    fn tick_leader(&mut self, now: time::Time) {
        if self.has_lost_majority(now) {
            log::warn!(
                "lost contact with a majority; stepping down in term {}",
                self.hard_state.term
            );
            return self.step_down(now, self.hard_state.term, None);
        }
        if self.is_removed() {
            log::info!("no longer a voter; stepping down in term {}", self.hard_state.term);
            self.send_heartbeats(now);
            return self.step_down(now, self.hard_state.term, None);
        }
        self.replace_voters(now);
        if now >= self.heartbeat_at {
            self.send_heartbeats(now);
        }
    }

    fn receive(&mut self, now: time::Time, from: &str, message: messages::Message) {
        let foreign =
            message.cluster.is_some_and(|it| self.hard_state.cluster.is_some_and(|c| c != it));
        if foreign {
            log::warn!("ignoring a message from {from}, which belongs to another cluster");
            return;
        }
        let Some(key) = self.sender_key(from, &message) else {
            log::debug!("ignoring a message from {from}, which is not a member of the group");
            return;
        };
        let messages::Message { cluster, disk, term, body } = message;
        let sender = Sender { key, cluster, disk, term };
        match body {
            messages::Body::Probe => self.on_probe(sender),
            messages::Body::Report { asker, blank } => self.on_report(now, sender, asker, blank),
            messages::Body::Vote(vote) => self.on_vote(now, sender, &vote),
            messages::Body::VoteReply { pre, asked, granted } => {
                self.on_vote_reply(now, sender, pre, asked, granted)
            }
            messages::Body::Append(append) => self.on_append(now, sender, append),
            messages::Body::AppendReply { stamp, sent, outcome } => {
                self.on_append_reply(now, sender, stamp, sent, outcome)
            }
            messages::Body::Chunk(chunk) => self.on_chunk(now, sender, chunk),
            messages::Body::ChunkReply { stamp, sent, index, received } => {
                self.on_chunk_reply(now, sender, stamp, sent, index, received)
            }
            messages::Body::Read(id) => self.on_read(now, sender, id),
            messages::Body::ReadReply { id, commit } => self.on_read_reply(id, commit),
        }
    }

    /// The key of the sender of a message; none for this host and for a host that is not a member.
    ///
    /// A host that has missed changes of the members may not know the leader. It follows a leader
    /// or candidate of its own cluster all the same, and learns the members from the log.
    fn sender_key(
        &mut self,
        from: &str,
        message: &messages::Message,
    ) -> Option<members::MemberKey> {
        if let Some(key) = self.members.find(from) {
            return Some(key).filter(|&it| it != self.own_key);
        }
        let known = message.cluster.is_some() && message.cluster == self.hard_state.cluster;
        let leads = matches!(
            message.body,
            messages::Body::Append(_) | messages::Body::Chunk(_) | messages::Body::Vote(_)
        );
        (known && leads).then(|| self.members.add(&from.into()))
    }

    fn propose(&mut self, now: time::Time, proposals: Vec<events::Proposal>) {
        for events::Proposal { token, payload } in proposals {
            if let Some(refusal) = self.refusal(now) {
                self.push_effect(events::Effect::Refused { token, refusal });
                continue;
            }
            let index = self.append(entries::Payload::Command(payload));
            self.pending.insert(index, token);
        }
        if self.role == events::Role::Leader {
            self.replicate(now);
        }
    }

    /// Why a proposal cannot be appended now, if it cannot.
    fn refusal(&self, now: time::Time) -> Option<events::Refusal> {
        if self.role != events::Role::Leader {
            return Some(events::Refusal::NotLeader { hint: self.leader().cloned() });
        }
        if !self.is_ready_leader(now) {
            return Some(events::Refusal::NotReady);
        }
        (self.pending.len() >= self.settings.max_pending).then_some(events::Refusal::Busy)
    }

    /// Appends a new entry in the current term and returns its index.
    pub(crate) fn append(&mut self, payload: entries::Payload) -> entries::Index {
        let index = self.log.last().index.next();
        let position = entries::Position { term: self.hard_state.term, index };
        self.push(entries::Entry { position, payload });
        index
    }

    /// Appends an entry to the log in memory and to the next `Persist`. A list of voters takes
    /// effect at once.
    pub(crate) fn push(&mut self, entry: entries::Entry) {
        self.persist.entries.push(entry.clone());
        if let entries::Payload::Voters(voters) = &entry.payload {
            self.voter_lists.push(entry.position.index, voters.clone());
            self.resolve_voters();
        }
        self.log.push(entry);
    }

    /// Removes the uncommitted entries at and after `from`. A list of voters among them no longer
    /// applies.
    pub(crate) fn truncate(&mut self, from: entries::Index) {
        debug_assert!(self.persist.entries.is_empty());
        self.persist.truncate = Some(from);
        self.log.truncate(from);
        self.voter_lists.truncate(from);
        self.resolve_voters();
    }

    pub(crate) fn push_effect(&mut self, effect: events::Effect) {
        self.effects.push(effect);
    }

    pub(crate) fn send(&mut self, to: members::MemberKey, body: messages::Body) {
        let message = messages::Message {
            cluster: self.hard_state.cluster,
            disk: self.disk,
            term: self.hard_state.term,
            body,
        };
        let to = self.members.get(to).host.clone();
        self.push_effect(events::Effect::Send { to, message });
    }

    /// Adds the hard state to the `Persist` effect of this step.
    pub(crate) fn persist_hard_state(&mut self) {
        self.hard_dirty = true;
    }

    /// Raises the commit index; a lower one is ignored.
    pub(crate) fn set_commit(&mut self, index: entries::Index) {
        if index <= self.hard_state.commit {
            return;
        }
        self.hard_state.commit = index;
        self.hard_dirty |= self.settings.persist_commit;
    }

    fn apply_committed(&mut self) {
        while self.applied < self.hard_state.commit {
            let index = self.applied.next();
            let Some(entry) = self.log.get(index) else { break };
            if let entries::Payload::Command(payload) = &entry.payload {
                let payload = payload.clone();
                self.applied_bytes += payload.len();
                self.effects.push(events::Effect::Apply { index, payload });
            }
            self.applied = index;
            if let Some(token) = self.pending.remove(&index) {
                self.effects.push(events::Effect::Committed { token, index });
            }
        }
        if self.is_snapshot_due() {
            self.snapshot_index = self.applied;
            self.applied_bytes = 0;
            self.effects.push(events::Effect::SnapshotDue { index: self.applied });
        }
    }

    /// Whether enough entries have been applied since the last snapshot.
    ///
    /// The cost of a snapshot grows with the size of the state, so a large state is written less
    /// often: the log must grow by at least half the size of the last snapshot before the next
    /// one, which limits the cost to three bytes written per byte of the log.
    fn is_snapshot_due(&self) -> bool {
        let size = self.snapshot.as_ref().map_or(0, |it| it.data.len());
        self.applied.0 - self.snapshot_index.0 >= self.settings.snapshot_entries
            && self.applied_bytes >= size / 2
    }

    /// Emits `RoleChanged` when the role, the term or the known leader changed in this step.
    fn report_role(&mut self) {
        let reported = (self.role, self.hard_state.term, self.leader);
        if reported == self.reported {
            return;
        }
        self.reported = reported;
        let (role, term, leader) = (self.role, self.hard_state.term, self.leader().cloned());
        log::info!("now {role:?} in term {term}; leader {leader:?}");
        self.push_effect(events::Effect::RoleChanged { role, term, leader });
    }

    /// Returns the effects of this step, with `Persist` before those that depend on it.
    fn take_effects(&mut self) -> Vec<events::Effect> {
        let mut persist = mem::take(&mut self.persist);
        if mem::take(&mut self.hard_dirty) {
            persist.hard_state = Some(self.hard_state.clone());
        }
        let mut effects = mem::take(&mut self.effects);
        if persist.is_empty() {
            return effects;
        }
        // A snapshot must be installed before the hard state with its commit index is persisted:
        // until then the log on disk can hold conflicting entries at these indexes.
        let install = |it: &events::Effect| matches!(it, events::Effect::InstallSnapshot(_));
        let first = effects.iter().position(install).map_or(0, |it| it + 1);
        let position = if self.settings.toggles.persist_first { first } else { effects.len() };
        effects.insert(position, events::Effect::Persist(persist));
        effects
    }
}

/// The sender of a message and the header of the message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sender {
    pub(crate) key: members::MemberKey,
    pub(crate) cluster: Option<entries::ClusterId>,
    pub(crate) disk: entries::DiskId,
    pub(crate) term: entries::Term,
}
