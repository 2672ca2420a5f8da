//! What a control that has no disk yet knows of the others, and when it knows enough. No I/O.

use std::{collections, net, time};

use protocol::operators;

use super::Seeds;

/// How long controls that are no seeds may introduce themselves after the first start. Hosts of a
/// new mesh start within a third of a second.
const INTRODUCTION: time::Duration = time::Duration::from_millis(700);

/// The controls heard of so far.
#[derive(Clone, Debug)]
pub struct Gathering {
    seeds: Seeds,
    /// By the operators' port.
    known: collections::BTreeMap<net::SocketAddr, operators::ControlRecord>,
    /// The answer of a control that knows all.
    formed: Option<operators::ControlList>,
    me: operators::ControlRecord,
}

impl Gathering {
    /// A control that has heard of nobody else.
    pub fn new(seeds: Seeds, me: operators::ControlRecord) -> Gathering {
        let mut gathering =
            Gathering { seeds, known: collections::BTreeMap::new(), formed: None, me };
        gathering.introduce(gathering.me.clone());
        gathering
    }

    /// A control has introduced itself.
    pub fn introduce(&mut self, mut record: operators::ControlRecord) {
        let Some(operators) = record.operators else { return };
        record.votes = self.seeds.addrs.contains(&operators);
        self.known.insert(operators, record);
    }

    /// A control has answered.
    pub fn heard(&mut self, hosts: operators::ControlList) {
        if hosts.formed {
            self.formed = Some(hosts);
            return;
        }
        for it in hosts.controls {
            self.introduce(it);
        }
    }

    /// What is known so far, for whoever asks. It is complete only in a control that has started.
    pub fn view(&self) -> operators::ControlList {
        operators::ControlList { formed: false, controls: self.known.values().cloned().collect() }
    }

    /// All controls, when this control knows enough after `elapsed`.
    ///
    /// Only the first start of a mesh forms a list: a control that lost its disk must not vote in
    /// a second mesh beside the one that it belonged to, so it waits for a control that knows.
    pub fn result(&self, elapsed: time::Duration) -> Option<operators::ControlList> {
        if let Some(formed) = &self.formed {
            let mut hosts = formed.clone();
            if !hosts.controls.iter().any(|it| it.name == self.me.name) {
                hosts.controls.push(operators::ControlRecord { votes: false, ..self.me.clone() });
            }
            return Some(hosts);
        }
        let complete = self.seeds.addrs.iter().all(|it| self.known.contains_key(it));
        if !self.seeds.bootstrap || !complete || elapsed < INTRODUCTION {
            return None;
        }
        Some(operators::ControlList { formed: true, ..self.view() })
    }
}
