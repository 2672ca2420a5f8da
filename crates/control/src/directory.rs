//! The other controls that this one knows: where they are, and the send queues to them.
//!
//! Which controls there are is replicated state ([`replicated::controls`]); the directory follows
//! it. Until the first list is in the log, it has the controls of the settings. A control that has
//! missed changes of the list also learns of those that connect to it.

use std::{collections, time as std_time};

use compact_str::CompactString;
use protocol::{operators, streams};
use replicated::controls;
use tokio::sync::mpsc;
use world::{hosts, mesh, time};

use crate::settings;

/// Capacity of the send queue to one other control, in messages. Messages for a full queue are
/// dropped, which every protocol between controls tolerates.
const QUEUE_MESSAGES: usize = 1_024;
/// How long a control that has introduced itself is known without being in the list. One that runs
/// joins within seconds.
const INTRODUCTION_LIFETIME: std_time::Duration = std_time::Duration::from_secs(60);
/// The most controls that are known without being in the list.
const MAX_INTRODUCED: usize = 64;
/// How long a control that says so counts as about to stop.
const LEAVING_TIME: std_time::Duration = std_time::Duration::from_secs(10);

/// The receiving end of the queue to another control, for the task that sends its messages.
pub(crate) type NewPeer = (CompactString, mpsc::Receiver<streams::PeerMessage>);

/// The other controls that this one knows.
#[derive(Debug)]
pub(crate) struct Directory {
    mesh: mesh::Mesh,
    me: hosts::HostKey,
    queues: collections::BTreeMap<CompactString, mpsc::Sender<streams::PeerMessage>>,
    /// The controls with the seat of a voter in the configuration group.
    voters: collections::BTreeSet<CompactString>,
    /// The controls that introduced themselves and are not in the list, and when they did.
    introduced: collections::BTreeMap<CompactString, time::Time>,
    /// The controls that are about to stop, and when they said so.
    leaving: collections::BTreeMap<CompactString, time::Time>,
    /// The revision of the replicated list that was taken over last.
    revision: u64,
    new_peers: mpsc::UnboundedSender<NewPeer>,
}

impl Directory {
    /// The directory of a control that knows those of its settings. For each other control, the
    /// receiving end of its queue is sent to `new_peers`.
    pub(crate) fn open(
        settings: &settings::Settings,
        new_peers: mpsc::UnboundedSender<NewPeer>,
    ) -> Directory {
        let mesh = settings.mesh.clone();
        let name = |key| mesh.host(key).map(|it: &hosts::Host| it.name.clone());
        let voters = settings.config_voters.iter().filter_map(|it| name(*it)).collect();
        let mut directory = Directory {
            mesh: mesh.clone(),
            me: settings.me,
            queues: collections::BTreeMap::new(),
            voters,
            introduced: collections::BTreeMap::new(),
            leaving: collections::BTreeMap::new(),
            revision: 0,
            new_peers,
        };
        directory.open_queues();
        directory
    }

    /// The mesh with the controls that are known.
    pub(crate) fn mesh(&self) -> &mesh::Mesh {
        &self.mesh
    }

    /// The revision of the replicated list that was taken over last.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// The names of the other controls.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &CompactString> {
        self.queues.keys()
    }

    /// The address on which a control listens for other processes.
    pub(crate) fn addr(&self, host: &str) -> Option<std::net::SocketAddr> {
        Some(self.mesh.host(self.mesh.find_host(host)?)?.addr)
    }

    /// Queues a message for another control. Drops it when the queue is full or the host is not
    /// known.
    pub(crate) fn send(&self, host: &str, message: streams::PeerMessage) {
        let Some(queue) = self.queues.get(host) else { return };
        if queue.try_send(message).is_err() {
            log::debug!("the send queue to control {host} is full; a message to it was dropped");
        }
    }

    /// The records of all known controls, this one included, in the order of their names.
    pub(crate) fn records(&self) -> Vec<operators::ControlRecord> {
        let controls = self.mesh.hosts().filter(|(_, it)| it.role == hosts::Role::Control);
        controls.filter_map(|(key, _)| self.record(key)).collect()
    }

    /// The record of this control.
    pub(crate) fn own_record(&self) -> Option<operators::ControlRecord> {
        self.record(self.me)
    }

    fn record(&self, key: hosts::HostKey) -> Option<operators::ControlRecord> {
        let host = self.mesh.host(key)?;
        let centre = self.mesh.data_centre(host.data_centre)?;
        Some(operators::ControlRecord {
            name: host.name.clone(),
            region: self.mesh.region(centre.region)?.name.clone(),
            data_centre: centre.name.clone(),
            addr: host.addr,
            operators: None,
            votes: self.voters.contains(&host.name),
        })
    }

    /// Takes over the replicated list: adds its controls, and forgets those that it does not have
    /// unless they introduced themselves lately.
    pub(crate) fn follow(&mut self, now: time::Time, controls: &controls::Controls) {
        self.revision = controls.revision();
        self.introduced.retain(|name, at| {
            controls.get(name).is_none() && now.since(*at) < INTRODUCTION_LIFETIME
        });
        let voters = controls.iter().filter(|it| it.seats.configuration);
        self.voters = voters.map(|it| it.name.clone()).collect();
        let own = self.mesh.host(self.me).map(|it| it.name.clone()).unwrap_or_default();
        for it in controls.iter().filter(|it| it.name != own) {
            let place = &it.place;
            self.mesh.put_control(&it.name, &place.region, &place.data_centre, place.addr);
        }
        let gone: Vec<_> = self
            .queues
            .keys()
            .filter(|it| controls.get(it).is_none() && !self.introduced.contains_key(*it))
            .cloned()
            .collect();
        for name in gone {
            self.mesh.remove_host(&name);
            // The task that sends the queued messages ends with the queue.
            self.queues.remove(&name);
        }
        self.open_queues();
    }

    /// Adds a control that has connected to this one. It runs, so it is not about to stop.
    pub(crate) fn introduce(&mut self, now: time::Time, it: &operators::ControlRecord) {
        self.leaving.remove(&it.name);
        if self.addr(&it.name) == Some(it.addr) {
            return;
        }
        if self.introduced.len() >= MAX_INTRODUCED && !self.introduced.contains_key(&it.name) {
            log::warn!(
                "control {} is not taken note of: too many are not in the list of controls",
                it.name
            );
            return;
        }
        log::info!("control {} of {} introduced itself at {}", it.name, it.data_centre, it.addr);
        self.introduced.insert(it.name.clone(), now);
        self.mesh.put_control(&it.name, &it.region, &it.data_centre, it.addr);
        self.open_queues();
    }

    /// Records that a control is about to stop.
    pub(crate) fn record_leaving(&mut self, now: time::Time, host: CompactString) {
        self.leaving.insert(host, now);
    }

    /// Whether a control said lately that it is about to stop.
    pub(crate) fn is_leaving(&self, now: time::Time, host: &str) -> bool {
        self.leaving.get(host).is_some_and(|it| now.since(*it) < LEAVING_TIME)
    }

    fn open_queues(&mut self) {
        let others = self.mesh.hosts().filter(|(key, _)| *key != self.me);
        for (_, host) in others.filter(|(_, it)| it.role == hosts::Role::Control) {
            if self.queues.contains_key(&host.name) {
                continue;
            }
            let (sender, receiver) = mpsc::channel(QUEUE_MESSAGES);
            self.queues.insert(host.name.clone(), sender);
            // The receiver of new peers is gone only when the control stops.
            let _ = self.new_peers.send((host.name.clone(), receiver));
        }
    }
}
