//! Nodes, controls and the messages between them, without a network.

use std::{collections, time::Duration};

use compact_str::{CompactString, format_compact};
use quotas::{ledger, limits, messages, stock};
use rand::{Rng as _, SeedableRng as _, rngs};
use world::{contracts, time};

pub const CONTROLS: usize = 3;
pub const TEAMS: usize = 74;
const WAIT_MS: u64 = 100;
const TICK_MS: u64 = 50;

#[derive(Clone)]
enum Event {
    Ask { node: usize, control: usize, question: messages::Question },
    Answer { node: usize, control: usize, answer: messages::Answer },
    Loan { from: usize, to: usize, loan: messages::Loan },
    Request { node: usize, team: usize, arrived: u64, look: stock::Look },
}

pub struct Node {
    stock: stock::Stock,
    pub control: usize,
    pub paused_until: u64,
}

/// What happened to the requests of a team.
#[derive(Clone, Default)]
pub struct Team {
    pub name: CompactString,
    pub usual: f64,
    pub quota: Option<contracts::Quota>,
    /// Requests that ran, by millisecond.
    pub ran: Vec<u32>,
    pub exhausted: u64,
    pub unknown: u64,
    pub waited: u64,
}

pub struct Fleet {
    pub now_ms: u64,
    pub nodes: Vec<Node>,
    pub ledgers: Vec<Option<ledger::Ledger>>,
    pub teams: Vec<Team>,
    /// The part of the messages that are lost.
    pub loss: f64,
    /// The control that the others do not reach.
    pub cut: Option<usize>,
    /// Messages and their bytes, by the control that received or sent them.
    pub messages: u64,
    pub bytes: u64,
    events: collections::BTreeMap<(u64, u64), Event>,
    sequence: u64,
    rng: rngs::SmallRng,
}

/// Rates from a quarter of 1,900 requests a second down to 2.
fn usual(team: usize) -> f64 {
    if team >= TEAMS - 6 { 2.0 } else { 475.0 / (1.0 + 1.3 * team as f64) }
}

pub fn quota(usual: f64) -> contracts::Quota {
    contracts::Quota { rate: 1.6 * usual, burst: 1.6 * usual }
}

impl Fleet {
    pub fn new(nodes: usize, seed: u64) -> Fleet {
        let team = |it| {
            let usual = usual(it);
            let name = format_compact!("team-{it}");
            Team { name, usual, quota: Some(quota(usual)), ..Team::default() }
        };
        let node =
            |it| Node { stock: stock::Stock::default(), control: it % CONTROLS, paused_until: 0 };
        let ledger = |_| Some(ledger::Ledger::new(time::Time::ZERO));
        let mut fleet = Fleet {
            // The controls have run for longer than tokens from before their start are valid.
            now_ms: 10_000,
            nodes: (0..nodes).map(node).collect(),
            ledgers: (0..CONTROLS).map(ledger).collect(),
            teams: (0..TEAMS).map(team).collect(),
            loss: 0.0,
            cut: None,
            messages: 0,
            bytes: 0,
            events: collections::BTreeMap::new(),
            sequence: 0,
            rng: rngs::SmallRng::seed_from_u64(seed),
        };
        fleet.configure();
        fleet
    }

    pub fn now(&self) -> time::Time {
        time::Time::from_millis(self.now_ms)
    }

    /// Gives all processes the teams.
    pub fn configure(&mut self) {
        let now = self.now();
        let teams: Vec<_> =
            self.teams.iter().filter_map(|it| Some((&it.name, it.quota?))).collect();
        for ledger in self.ledgers.iter_mut().flatten() {
            ledger.configure(now, CONTROLS, teams.iter().copied());
        }
        for node in &mut self.nodes {
            node.stock.configure(teams.iter().copied());
        }
    }

    /// Starts a control again, without what it knew.
    pub fn restart(&mut self, control: usize) {
        self.ledgers[control] = Some(ledger::Ledger::new(self.now()));
        self.configure();
    }

    /// Attaches a node to a control.
    pub fn attach(&mut self, node: usize, control: usize) {
        self.nodes[node].control = control;
        self.nodes[node].stock.reattached();
    }

    /// Lets requests arrive at `rate` a second for a millisecond, each at a node of `nodes`.
    pub fn arrive(&mut self, team: usize, rate: f64, nodes: &[usize]) {
        let mut count = rate / 1_000.0;
        while count > 0.0 {
            if self.rng.random_bool(count.min(1.0)) {
                let node = nodes[self.rng.random_range(0..nodes.len())];
                let arrived = self.now_ms;
                self.push(0, Event::Request { node, team, arrived, look: stock::Look::First });
            }
            count -= 1.0;
        }
    }

    /// Handles what is due, and moves on by a millisecond.
    pub fn step(&mut self) {
        for node in 0..self.nodes.len() {
            if (self.now_ms + node as u64).is_multiple_of(TICK_MS) {
                self.ask(node);
            }
        }
        while let Some(entry) = self.events.first_entry().filter(|it| it.key().0 <= self.now_ms) {
            let event = entry.remove();
            self.handle(event);
        }
        if self.now_ms.is_multiple_of(TICK_MS) {
            (0..CONTROLS).for_each(|it| self.check_caps(it));
        }
        self.now_ms += 1;
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Request { node, .. } | Event::Answer { node, .. } if self.is_paused(node) => {
                self.push(self.nodes[node].paused_until - self.now_ms, event);
            }
            Event::Request { node, team, arrived, look } => self.request(node, team, arrived, look),
            Event::Answer { node, control, answer } if self.nodes[node].control == control => {
                self.nodes[node].stock.receive(now, &answer);
                self.ask(node);
            }
            Event::Answer { .. } => {}
            Event::Ask { node, control, question } => {
                let Some(ledger) = &mut self.ledgers[control] else { return };
                let replies = ledger.answer(now, &format!("node-{node}"), &question);
                self.answer(node, control, replies.answer);
                if let Some(update) = replies.update {
                    let attached = |it: &usize| self.nodes[*it].control == control;
                    for node in (0..self.nodes.len()).filter(attached).collect::<Vec<_>>() {
                        self.answer(node, control, update.clone());
                    }
                }
                if let Some(ask) = replies.ask {
                    for to in (0..CONTROLS).filter(|it| *it != control) {
                        self.lend(control, to, messages::Loan::Ask(ask.clone()));
                    }
                }
            }
            Event::Loan { from, to, loan } => {
                let Some(ledger) = &mut self.ledgers[to] else { return };
                match loan {
                    messages::Loan::Ask(ask) => {
                        let loan = ledger.lend(now, &ask);
                        self.lend(to, from, messages::Loan::Give(loan));
                    }
                    messages::Loan::Give(loan) => ledger.borrow(now, &loan),
                }
            }
        }
    }

    fn request(&mut self, node: usize, team: usize, arrived: u64, look: stock::Look) {
        let now = self.now();
        let decision = self.nodes[node].stock.take(now, &self.teams[team].name, look);
        self.ask(node);
        let it = &mut self.teams[team];
        match decision {
            stock::Decision::Unlimited | stock::Decision::Taken(_) => {
                let at = usize::try_from(self.now_ms).expect("small");
                it.ran.resize(it.ran.len().max(at + 1), 0);
                it.ran[at] += 1;
                it.waited += u64::from(look == stock::Look::Again);
            }
            stock::Decision::Wait if self.now_ms < arrived + WAIT_MS => {
                let again = Event::Request { node, team, arrived, look: stock::Look::Again };
                self.push(4, again);
            }
            stock::Decision::Wait => {
                let (reason, pause) = self.nodes[node].stock.refuse(now, &it.name);
                it.refused(reason, pause);
            }
            stock::Decision::Refused(reason, pause) => it.refused(reason, pause),
        }
    }

    fn ask(&mut self, node: usize) {
        if self.is_paused(node) {
            return;
        }
        let now = self.now();
        let control = self.nodes[node].control;
        let Some(question) = self.nodes[node].stock.next_question(now) else { return };
        self.count(&question);
        self.send(1, Event::Ask { node, control, question });
    }

    fn answer(&mut self, node: usize, control: usize, answer: messages::Answer) {
        self.count(&answer);
        self.send(1, Event::Answer { node, control, answer });
    }

    fn lend(&mut self, from: usize, to: usize, loan: messages::Loan) {
        self.count(&loan);
        if self.cut != Some(from) && self.cut != Some(to) {
            self.send(2, Event::Loan { from, to, loan });
        }
    }

    fn count(&mut self, message: &impl serde::Serialize) {
        self.messages += 1;
        self.bytes += postcard::to_stdvec(message).expect("encodes").len() as u64;
    }

    /// Sends a message, which may be lost.
    fn send(&mut self, delay_ms: u64, event: Event) {
        if self.loss == 0.0 || !self.rng.random_bool(self.loss) {
            self.push(delay_ms, event);
        }
    }

    fn push(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now_ms + delay_ms, self.sequence), event);
    }

    fn is_paused(&self, node: usize) -> bool {
        self.now_ms < self.nodes[node].paused_until
    }

    fn check_caps(&self, control: usize) {
        let Some(ledger) = &self.ledgers[control] else { return };
        for team in &self.teams {
            let Some((total, cap)) = ledger.total(&team.name) else { continue };
            assert!(total <= cap + 1e-6, "{}: {total} tokens of {cap}", team.name);
        }
    }
}

impl Team {
    /// The highest part of what is allowed that ran in a window which starts in these milliseconds.
    pub fn peak(&self, from_ms: usize, to_ms: usize) -> f64 {
        let Some(quota) = self.quota else { return 0.0 };
        let window = usize::try_from(limits::WINDOW.as_millis()).expect("small");
        let ran = |at: usize| self.ran.get(at).copied().unwrap_or(0);
        let mut sum: u32 = (from_ms..from_ms + window).map(ran).sum();
        let mut most = sum;
        for at in from_ms..to_ms {
            sum = sum + ran(at + window) - ran(at);
            most = most.max(sum);
        }
        f64::from(most) / limits::allowed(&quota)
    }

    fn refused(&mut self, reason: stock::Reason, pause: Duration) {
        assert!((50..=1_000).contains(&pause.as_millis()), "{}: {pause:?}", self.name);
        match reason {
            stock::Reason::Exhausted => self.exhausted += 1,
            stock::Reason::Unknown => self.unknown += 1,
        }
    }
}
