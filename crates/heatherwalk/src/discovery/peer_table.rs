//! The controls that a starting control knows so far, and when that list is complete. Does no I/O.

use std::{collections, net, time};

use protocol::operators;

use super::{Seeds, records};

/// Minimum time between a control's start and its forming of the list, so that controls that are
/// not seeds can announce themselves. The hosts of a new mesh start within a third of a second.
const MIN_WAIT: time::Duration = time::Duration::from_millis(700);

/// The controls that a starting control knows so far.
#[derive(Clone, Debug)]
pub struct PeerTable {
    seeds: Seeds,
    /// Records by the address of the operator port, which is also how the settings name the seeds.
    known: collections::BTreeMap<net::SocketAddr, Known>,
    /// The complete list, if a control that has it has returned it.
    formed: Option<operators::ControlList>,
    me: operators::ControlRecord,
}

#[derive(Clone, Debug)]
struct Known {
    record: operators::ControlRecord,
    /// Whether the control itself sent the record. One that others pass on does not replace it.
    direct: bool,
}

impl PeerTable {
    /// A table that holds only the control's own record `me`.
    pub fn new(seeds: Seeds, me: operators::ControlRecord) -> PeerTable {
        let mut known = collections::BTreeMap::new();
        if let Some(operators) = me.operators {
            let votes = seeds.addrs.contains(&operators);
            let record = operators::ControlRecord { votes, ..me.clone() };
            known.insert(operators, Known { record, direct: true });
        }
        PeerTable { seeds, known, formed: None, me }
    }

    /// Adds the record of a control that introduces itself from the address `from`, if that is
    /// known, or replaces its earlier one. Only a seed becomes a voter. A record without an
    /// operators' port is ignored.
    ///
    /// # Errors
    ///
    /// Returns why the record is refused: it may be that of another writer.
    pub fn introduce(
        &mut self,
        record: operators::ControlRecord,
        from: Option<net::SocketAddr>,
    ) -> records::Result<()> {
        let Some(operators) = record.operators else { return Ok(()) };
        if from.is_some_and(|it| !records::is_origin(operators, it)) {
            return Err(records::Error::Origin);
        }
        self.put(operators, record, true)
    }

    /// Adds the controls that the seed at the address `source` returned. A complete list takes
    /// precedence over the table. Records that are refused are left out.
    pub fn merge(&mut self, source: net::SocketAddr, hosts: operators::ControlList) {
        if hosts.formed {
            self.formed = Some(hosts);
            return;
        }
        for it in hosts.controls {
            let Some(operators) = it.operators else { continue };
            let name = it.name.clone();
            if let Err(err) = self.put(operators, it, operators == source) {
                log::debug!("left out control {name}, which {source} returned: {err}");
            }
        }
    }

    fn put(
        &mut self,
        operators: net::SocketAddr,
        mut record: operators::ControlRecord,
        direct: bool,
    ) -> records::Result<()> {
        records::check(&record)?;
        record.votes = self.seeds.addrs.contains(&operators);
        let own = self.me.operators == Some(operators);
        let heard = self.known.get(&operators).is_some_and(|it| it.direct);
        if own || heard && !direct {
            return Ok(());
        }
        let new = !record.votes && !self.known.contains_key(&operators);
        if new && self.known.len() >= records::MAX_CONTROLS {
            return Err(records::Error::Full);
        }
        self.free_name(operators, &record)?;
        self.known.insert(operators, Known { record, direct });
        Ok(())
    }

    /// Makes the record's name free for it. Only a seed takes the name of another control, and only
    /// from one that is no seed.
    fn free_name(
        &mut self,
        operators: net::SocketAddr,
        record: &operators::ControlRecord,
    ) -> records::Result<()> {
        let mut others = self.known.iter().filter(|(addr, _)| **addr != operators);
        let Some((&addr, other)) = others.find(|(_, it)| it.record.name == record.name) else {
            return Ok(());
        };
        if !record.votes || other.record.votes || self.me.name == record.name {
            return Err(records::Error::NameInUse);
        }
        self.known.remove(&addr);
        Ok(())
    }

    /// The controls known so far. The list is never marked as formed: other processes get the
    /// complete list only from a control that has started.
    pub fn snapshot(&self) -> operators::ControlList {
        operators::ControlList {
            formed: false,
            controls: self.known.values().map(|it| it.record.clone()).collect(),
        }
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
