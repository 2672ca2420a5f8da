//! Refuses requests before they run when a service that they call is full of more urgent work.
//!
//! The node of a target learns from the calls that pass it which services the requests of each
//! route call and how often. The answers to these calls report the pressure on their targets; see
//! [`load::Pressure`]. A call that is refused, or that takes the slot of a more urgent request,
//! costs more than its request would have if it had not run.

use std::{collections, time};

use compact_str::CompactString;
use world::time::Time;

use crate::{load, work};

/// Weight of the newest report in the average of a service.
const NEWEST_WEIGHT: f32 = 0.1;
/// Age at which the reports of a service no longer count.
const MAX_AGE: time::Duration = time::Duration::from_secs(2);
/// The refused part of a service's more urgent requests that is tolerated. One of them needs the
/// slots of several calls, so to lose none of them would cost many less urgent requests.
const MAX_LOST: f32 = 0.08;
/// The refused part of requests for each part of more urgent ones that is lost beyond that.
const GAIN: f32 = 12.0;
/// Calls per request from which a route's requests are refused. To refuse requests that hardly call
/// the service would free nothing there.
const MIN_CALLS: f32 = 0.1;
/// Largest part of requests that is refused. Some have to run, so that their calls bring reports.
const MAX_PART: f32 = 0.75;
/// Requests of a route after which its counts are halved.
const MAX_REQUESTS: u32 = 1_024;
/// Routes, services of a route and services that are kept, which bounds the memory.
const MAX_ROUTES: usize = 256;
const MAX_CALLED: usize = 16;
const MAX_SERVICES: usize = 256;

/// What one target's node knows of the calls of its backend server.
#[derive(Debug, Default)]
pub struct Callees {
    routes: collections::HashMap<CompactString, Route>,
    services: collections::HashMap<CompactString, Reports>,
}

/// The requests of one route and their calls.
#[derive(Debug, Default)]
struct Route {
    requests: u32,
    calls: collections::BTreeMap<CompactString, u32>,
    /// Sum of the parts to refuse, less the requests that were refused.
    due: f32,
}

/// The reports of the targets of one service.
#[derive(Clone, Copy, Debug)]
struct Reports {
    /// Rank and weight of the requests that are refused.
    urgency: (u32, u32),
    /// Average of the refused part.
    lost: f32,
    updated: Time,
}

impl Callees {
    /// Returns the number of names that are kept, which is bounded.
    pub fn kept_names(&self) -> usize {
        let called: usize = self.routes.values().map(|it| it.calls.len()).sum();
        self.routes.len() + called + self.services.len()
    }

    /// Records that a request of a route has started.
    pub fn record_request(&mut self, route: &CompactString) {
        let Some(it) = entry(&mut self.routes, route, MAX_ROUTES) else {
            return;
        };
        it.requests += 1;
        if it.requests >= MAX_REQUESTS {
            it.requests /= 2;
            it.calls.values_mut().for_each(|it| *it /= 2);
            it.calls.retain(|_, it| *it > 0);
        }
    }

    /// Records that a request of a route has called a service.
    pub fn record_call(&mut self, route: &CompactString, service: &CompactString) {
        let Some(it) = self.routes.get_mut(route) else {
            return;
        };
        if it.calls.len() < MAX_CALLED || it.calls.contains_key(service) {
            *it.calls.entry(service.clone()).or_default() += 1;
        }
    }

    /// Records the pressure that a target of a service reported with its answer to a call.
    pub fn record_report(&mut self, now: Time, service: &CompactString, pressure: load::Pressure) {
        if !self.services.contains_key(service) && pressure.lost == 0 {
            return;
        }
        if self.services.len() >= MAX_SERVICES {
            self.services.retain(|_, it| it.lost_at(now) > 0.0);
        }
        let Some(it) = entry(&mut self.services, service, MAX_SERVICES) else {
            return;
        };
        let before = it.lost_at(now);
        it.lost = before + NEWEST_WEIGHT * (f32::from(pressure.lost) / 1_000.0 - before);
        it.updated = now;
        if pressure.lost > 0 {
            it.urgency = (pressure.rank, pressure.weight);
        }
    }

    /// Decides whether a caller's request of this rank and weight is refused before it runs. Returns
    /// the called service that is full of more urgent work.
    pub fn refuse(
        &mut self,
        now: Time,
        route: &CompactString,
        urgency: (u32, u32),
    ) -> Option<CompactString> {
        let it = self.routes.get_mut(route)?;
        let requests = it.requests.max(1) as f32;
        let parts = it.calls.iter().filter_map(|(service, &calls)| {
            let reports = self.services.get(service)?;
            let part = ((reports.lost_at(now) - MAX_LOST) * GAIN).min(MAX_PART);
            let outranked = work::outranks(reports.urgency, urgency);
            let relevant = outranked && calls as f32 / requests >= MIN_CALLS;
            (relevant && part > 0.0).then_some((part, service))
        });
        let (part, service) = parts.max_by(|a, b| a.0.total_cmp(&b.0))?;
        let due = it.due + part;
        let service = (due >= 1.0).then(|| service.clone());
        it.due = if service.is_some() { due - 1.0 } else { due };
        service
    }
}

impl Default for Reports {
    fn default() -> Reports {
        Reports { urgency: (0, 0), lost: 0.0, updated: Time::ZERO }
    }
}

impl Reports {
    /// The average, which falls evenly to zero as the reports get older.
    fn lost_at(&self, now: Time) -> f32 {
        let age = now.since(self.updated).as_secs_f32() / MAX_AGE.as_secs_f32();
        self.lost * (1.0 - age).max(0.0)
    }
}

/// The entry of a name, which is added unless the map is full.
fn entry<'a, T: Default>(
    map: &'a mut collections::HashMap<CompactString, T>,
    name: &CompactString,
    max: usize,
) -> Option<&'a mut T> {
    if !map.contains_key(name) && map.len() >= max {
        return None;
    }
    Some(map.entry(name.clone()).or_default())
}
