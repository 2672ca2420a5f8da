//! How many requests each team has offered to a target of late, from which its share follows.

use std::{collections, time};

use world::{contracts, time::Time};

/// The time over which requests are averaged. A peak lasts for longer, and a team's requests at one
/// target are too few in a shorter time.
const TIME_CONSTANT: time::Duration = time::Duration::from_secs(5);
/// Power of a team's requests in its weight. With 0, a large team that sends what it always sends is
/// served much less often than a small one; with 1, a team gets as much more as it sends more. With
/// 0.35, of two teams that wait all the time, the one that sends eight times as much is served a
/// quarter as often.
const EXPONENT: f32 = 0.35;
/// Teams that are told apart, which bounds the memory. A further one counts as a small one.
const MAX_TEAMS: usize = 1_024;
/// Requests below which a team is forgotten.
const MIN_REQUESTS: f32 = 0.05;

/// The recent requests of all teams.
#[derive(Debug, Default)]
pub(crate) struct Needs {
    teams: collections::HashMap<contracts::TeamKey, Need>,
    swept_at: Time,
}

/// The recent requests of one team.
#[derive(Clone, Copy, Debug, Default)]
struct Need {
    /// Requests within the time constant, as an exponentially weighted average.
    requests: f32,
    updated: Time,
}

impl Needs {
    /// Records a request of a team with this weight, and returns the weight of the team's flow.
    /// Requests without a team have their own weight until there are teams.
    pub(crate) fn record(&mut self, now: Time, team: contracts::TeamKey, weight: u32) -> u32 {
        if team == contracts::TeamKey::default() && self.teams.is_empty() {
            return weight;
        }
        self.sweep(now);
        if self.teams.len() >= MAX_TEAMS && !self.teams.contains_key(&team) {
            return weight;
        }
        let need = self.teams.entry(team).or_default();
        *need = Need { requests: need.at(now) + 1.0, updated: now };
        (weight as f32 * need.requests.powf(EXPONENT)).round() as u32
    }

    /// Forgets all teams, since their keys change with a new version of the configuration.
    pub(crate) fn clear(&mut self) {
        self.teams.clear();
    }

    fn sweep(&mut self, now: Time) {
        if now.since(self.swept_at) >= TIME_CONSTANT {
            self.swept_at = now;
            self.teams.retain(|_, it| it.at(now) >= MIN_REQUESTS);
        }
    }
}

impl Need {
    fn at(&self, now: Time) -> f32 {
        let age = now.since(self.updated).as_secs_f32() / TIME_CONSTANT.as_secs_f32();
        self.requests * (-age).exp()
    }
}
