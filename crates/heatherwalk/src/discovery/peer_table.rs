//! The controls that a starting control knows so far, and when that list is complete. Does no I/O.

use std::{collections, net, time};

use protocol::operators;

use super::Seeds;

/// Minimum time between a control's start and its forming of the list, so that controls that are
/// not seeds can announce themselves. The hosts of a new mesh start within a third of a second.
const MIN_WAIT: time::Duration = time::Duration::from_millis(700);

/// The controls that a starting control knows so far.
#[derive(Clone, Debug)]
pub struct PeerTable {
    seeds: Seeds,
    /// Records by the address of the operator port, which is also how the settings name the seeds.
    known: collections::BTreeMap<net::SocketAddr, operators::ControlRecord>,
    /// The complete list, if a control that has it has returned it.
    formed: Option<operators::ControlList>,
    me: operators::ControlRecord,
}

impl PeerTable {
    /// A table that holds only the control's own record `me`.
    pub fn new(seeds: Seeds, me: operators::ControlRecord) -> PeerTable {
        let mut table = PeerTable { seeds, known: collections::BTreeMap::new(), formed: None, me };
        table.insert(table.me.clone());
        table
    }

    /// Adds the record of a control, or replaces an earlier one of the same operator port. Only a
    /// seed becomes a voter. A record without an operator port is ignored.
    pub fn insert(&mut self, mut record: operators::ControlRecord) {
        let Some(operators) = record.operators else { return };
        record.votes = self.seeds.addrs.contains(&operators);
        self.known.insert(operators, record);
    }

    /// Adds the controls that a seed returned. A complete list takes precedence over the table.
    pub fn merge(&mut self, hosts: operators::ControlList) {
        if hosts.formed {
            self.formed = Some(hosts);
            return;
        }
        for it in hosts.controls {
            self.insert(it);
        }
    }

    /// The controls known so far. The list is never marked as formed: other processes get the
    /// complete list only from a control that has started.
    pub fn snapshot(&self) -> operators::ControlList {
        operators::ControlList { formed: false, controls: self.known.values().cloned().collect() }
    }

    /// The complete list of controls, or `None` while it is not known. `elapsed` is the time since
    /// this control started to look for the others.
    ///
    /// The list is formed from the table only at the first start of a mesh, once the table contains
    /// all seeds. At any other start, the control waits for one that has the list: a control that
    /// lost its disk must not vote in a second mesh alongside the one that it belonged to.
    pub fn complete_list(&self, elapsed: time::Duration) -> Option<operators::ControlList> {
        if let Some(formed) = &self.formed {
            let mut hosts = formed.clone();
            if !hosts.controls.iter().any(|it| it.name == self.me.name) {
                hosts.controls.push(operators::ControlRecord { votes: false, ..self.me.clone() });
            }
            return Some(hosts);
        }
        let complete = self.seeds.addrs.iter().all(|it| self.known.contains_key(it));
        if !self.seeds.bootstrap || !complete || elapsed < MIN_WAIT {
            return None;
        }
        Some(operators::ControlList { formed: true, ..self.snapshot() })
    }
}
