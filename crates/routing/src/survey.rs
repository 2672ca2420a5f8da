//! Surveys the targets of a service without choosing one: what a selection would compare.

use world::time::Time;

use crate::{balancer, estimates, policy, usable};

/// A target as a selection sees it.
#[derive(Clone, Copy, Debug)]
pub struct Surveyed {
    /// Index into the candidates of the request.
    pub index: usize,
    /// Whether the target can get the request.
    pub status: Status,
    /// The measurements that are compared.
    pub stats: policy::TargetStats,
    /// What [`policy::NEAR_FIRST`] and the policies derived from it compare, in microseconds.
    pub cost: f32,
}

/// Whether a target can get a request. The texts are shown to operators.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Status {
    /// It is compared with the others.
    Usable,
    /// It is outside of the node's subset, and used only if none of the subset can be.
    OutsideSubset,
    /// It is slow or fails, and gets trial requests at most.
    Ejected,
    /// Nothing is received from its host.
    Unresponsive,
    /// It takes no new requests.
    Leaving,
    /// The way there and back takes longer than the caller waits.
    TooFar,
}

impl Status {
    /// Returns the status as a text for operators.
    pub fn text(self) -> &'static str {
        match self {
            Status::Usable => "usable",
            Status::OutsideSubset => "outside the subset",
            Status::Ejected => "ejected",
            Status::Unresponsive => "unresponsive",
            Status::Leaving => "leaving",
            Status::TooFar => "too far",
        }
    }
}

impl balancer::Balancer {
    /// Returns all candidates of a request, those that a selection would prefer first. Random parts
    /// of a selection are left out: jitter, trials, and skipped targets in a cold start.
    pub fn survey(&self, now: Time, request: &balancer::Request<'_>) -> Vec<Surveyed> {
        let objective = request.objective.as_secs_f32() * 1e6;
        let penalty = self.policy().remote_penalty * request.penalty_share * objective;
        let mut list: Vec<_> = request
            .candidates
            .iter()
            .enumerate()
            .map(|(index, candidate)| self.survey_target(now, request, index, candidate))
            .collect();
        let mut stats: Vec<_> = list.iter().map(|it| it.stats).collect();
        usable::fill_times(&mut stats);
        for (it, stats) in list.iter_mut().zip(stats) {
            it.stats = stats;
            it.cost = policy::expected_end(&stats, objective, penalty);
        }
        list.sort_by(|a, b| a.status.cmp(&b.status).then(a.cost.total_cmp(&b.cost)));
        list
    }

    fn survey_target(
        &self,
        now: Time,
        request: &balancer::Request<'_>,
        index: usize,
        candidate: &balancer::Candidate,
    ) -> Surveyed {
        let share = self.ramp_share(now, candidate);
        let (stats, estimate) = self.stats(now, index, candidate, request.class, share);
        let status = if !candidate.state.takes_work() {
            Status::Leaving
        } else if estimate.is_some_and(estimates::Estimate::is_unresponsive) {
            Status::Unresponsive
        } else if 2 * candidate.link >= request.deadline.since(now) {
            Status::TooFar
        } else if estimate.is_some_and(estimates::Estimate::is_ejected) {
            Status::Ejected
        } else if candidate.in_subset {
            Status::Usable
        } else {
            Status::OutsideSubset
        };
        Surveyed { index, status, stats, cost: 0.0 }
    }
}
