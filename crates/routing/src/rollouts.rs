//! What a node sends to the new software version of a service during a rollout.

use std::collections;

use compact_str::CompactString;
use world::rollouts;

use crate::subset;

/// The fewest targets of the new version that share its requests, if it has as many. One target
/// may be slow because of its host.
const MIN_TRIAL_TARGETS: usize = 2;
/// One request, in the unit of a node's credit.
const REQUEST_CREDIT: u32 = 1_000;

/// The version that a send goes to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pick {
    /// The new version.
    Candidate,
    /// The version that has served so far.
    Serving,
}

/// A target of the service, as far as the split depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// The name of its host, by which all nodes choose the same targets.
    pub host: &'a str,
    /// Its software version.
    pub version: &'a str,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether it takes new work and its cold start is over.
    pub warm: bool,
}

/// An order that a node follows.
#[derive(Clone, Debug)]
pub struct Followed {
    order: rollouts::Order,
    /// The part of a request that the new version may still get, in units of [`REQUEST_CREDIT`].
    credit: u32,
    /// The stage at which this node or its control stopped sending to the new version.
    held: Option<rollouts::Stage>,
}

/// The orders that a node follows, by service.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    followed: collections::BTreeMap<CompactString, Followed>,
}

impl Rollouts {
    /// Takes the orders that a control knows. `current` says whether the control is in contact with
    /// a leader; otherwise no share is raised, and an order that is new here has the first stage.
    /// `seed` sets how soon the node sends its first request to a new version, below 1.
    pub fn follow(&mut self, orders: &[rollouts::Order], current: bool, seed: f32) {
        for order in orders {
            let known = self.followed.get(&order.service).map(|it| it.order.id);
            if known.is_none_or(|it| it < order.id) {
                let followed = Followed::new(order.clone(), current, seed);
                self.followed.insert(order.service.clone(), followed);
            } else if known == Some(order.id)
                && let Some(followed) = self.followed.get_mut(&order.service)
            {
                followed.update(order.state, current);
            }
        }
    }

    /// Stops sending to the new version of an order until it reaches a later stage.
    pub fn hold(&mut self, id: rollouts::OrderId) {
        if let Some(followed) = self.followed.values_mut().find(|it| it.order.id == id) {
            followed.held = followed.order.state.stage();
        }
    }

    /// The last order of a service.
    pub fn get(&self, service: &str) -> Option<&Followed> {
        self.followed.get(service)
    }

    /// Like [`Rollouts::get`], for [`Followed::pick`].
    pub fn get_mut(&mut self, service: &str) -> Option<&mut Followed> {
        self.followed.get_mut(service)
    }

    /// The orders in progress.
    pub fn running(&self) -> impl Iterator<Item = &rollouts::Order> {
        self.followed.values().map(|it| &it.order).filter(|it| it.state.stage().is_some())
    }
}

impl Followed {
    fn new(mut order: rollouts::Order, current: bool, seed: f32) -> Followed {
        if !current && order.state.stage().is_some() {
            order.state = rollouts::State::Running(rollouts::Stage::First);
        }
        // Nodes begin at different points, so that few requests of each add up to the share. At
        // most half a request, so that nodes which restart do not exceed it by much.
        let credit = (seed.clamp(0.0, 1.0) * REQUEST_CREDIT as f32 / 2.0) as u32;
        Followed { order, credit, held: None }
    }

    fn update(&mut self, state: rollouts::State, current: bool) {
        let raised = state.stage().is_some() && !current;
        if !raised && state.is_after(self.order.state) {
            self.order.state = state;
        }
    }

    /// The order.
    pub fn order(&self) -> &rollouts::Order {
        &self.order
    }

    /// Whether this node sends nothing to the new version until the next stage.
    pub fn is_held(&self) -> bool {
        self.held.is_some() && self.held == self.order.state.stage()
    }

    /// The version that a send of a request goes to. The first send of each request counts towards
    /// the share. Further ones go to the old version, so that the new one gets no more than its
    /// share, until it gets all.
    pub fn pick(&mut self, first: bool) -> Pick {
        let Some(stage) = self.order.state.stage() else { return Pick::Serving };
        if stage == rollouts::Stage::Whole {
            return Pick::Candidate;
        }
        if !first || self.is_held() {
            return Pick::Serving;
        }
        // What could not be sent does not add up to a burst.
        self.credit = (self.credit + stage.share()).min(2 * REQUEST_CREDIT - 1);
        if self.credit < REQUEST_CREDIT {
            return Pick::Serving;
        }
        self.credit -= REQUEST_CREDIT;
        Pick::Candidate
    }

    /// Takes back a pick of the new version, none of whose targets could get the send.
    pub fn refund(&mut self) {
        self.credit = (self.credit + REQUEST_CREDIT).min(2 * REQUEST_CREDIT - 1);
    }

    /// The version to try when no target of `pick` can get the send; none if it must not go to the
    /// other version.
    pub fn other(&self, pick: Pick) -> Option<Pick> {
        let stage = self.order.state.stage()?;
        match pick {
            Pick::Candidate if stage < rollouts::Stage::Whole => Some(Pick::Serving),
            Pick::Serving if stage.is_proven() && !self.is_held() => Some(Pick::Candidate),
            _ => None,
        }
    }

    /// Which of a service's targets a send may go to.
    pub fn usable(&self, pick: Pick, targets: &[Target<'_>]) -> Vec<bool> {
        let side = |it: &Target<'_>| self.order.side(it.version);
        match pick {
            Pick::Candidate => self.trial_targets(targets),
            Pick::Serving => {
                let serves = targets.iter().any(|it| side(it) == rollouts::Side::Serving);
                let wanted = if serves { rollouts::Side::Serving } else { rollouts::Side::Spare };
                targets.iter().map(|it| side(it) == wanted).collect()
            }
        }
    }

    /// All targets of the new version.
    pub fn candidates(&self, targets: &[Target<'_>]) -> Vec<bool> {
        targets.iter().map(|it| self.is_candidate(it)).collect()
    }

    fn is_candidate(&self, target: &Target<'_>) -> bool {
        target.ready && self.order.side(target.version) == rollouts::Side::Candidate
    }

    /// The targets that share the new version's requests: as many as its share of the traffic
    /// keeps as busy as all of them will be. A version that is bad under load thus shows it early.
    /// Targets in a cold start answer slowly, so during the trial they get none while there are warm
    /// ones.
    fn trial_targets(&self, targets: &[Target<'_>]) -> Vec<bool> {
        let proven = self.order.state.stage().is_some_and(rollouts::Stage::is_proven);
        let warm = !proven && targets.iter().any(|it| it.warm && self.is_candidate(it));
        let candidates = targets.iter().filter(|it| self.is_candidate(it) && (it.warm || !warm));
        let mut hosts: Vec<_> = candidates.map(|it| (subset::scatter(it.host), it.host)).collect();
        hosts.sort_unstable();
        let share = self.order.state.stage().map_or(1_000, rollouts::Stage::share) as usize;
        let wanted = (hosts.len() * share).div_ceil(1_000).max(MIN_TRIAL_TARGETS);
        hosts.truncate(wanted);
        let shares = |it: &Target<'_>| hosts.iter().any(|(_, host)| *host == it.host);
        targets.iter().map(|it| self.is_candidate(it) && shares(it)).collect()
    }
}
