//! Opens links to the targets that this node uses ahead of requests, and keeps them open.

use std::{collections, net, sync, time as std_time};

use compact_str::CompactString;
use membership::directory;
use rand::rngs;
use routing::{dialer, subset};
use world::{document, targets, time};

use crate::state;

/// The longest time between two checks of the links.
const CHECK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(200);
/// The shortest time between two checks of the links.
const MIN_CHECK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(10);
/// How long after its last request a service counts as used.
const USED_AGE: std_time::Duration = std_time::Duration::from_secs(60);
/// The most links that are kept open for used services.
const MAX_USED_LINKS: usize = 256;
/// The most links that are open with those opened ahead for services without a request yet.
const MAX_WARM_LINKS: usize = 64;
/// With more services in its routes, a node opens links for those in use only: no node uses most
/// of so many.
const MAX_WARM_SERVICES: usize = 16;

/// What the links of this node depend on besides the directory.
#[derive(Default)]
pub(crate) struct Links {
    dialer: dialer::Dialer,
    /// The services that requests were sent to, or whose links are opened ahead.
    subsets: collections::HashMap<CompactString, ServiceSubset>,
    /// The services in the routes of a version of the configuration, if they are few.
    routed: (document::Version, Vec<CompactString>),
}

/// The targets of a service that this node uses.
#[derive(Default)]
struct ServiceSubset {
    near: Vec<targets::TargetKey>,
    far: Vec<targets::TargetKey>,
    /// The number of the service's targets when these were selected.
    known: usize,
    /// When the last request was sent to the service; none before the first one.
    used_at: Option<time::Time>,
}

/// The result of a check of the links.
struct Check {
    dial: Option<Dial>,
    /// The time until the next check.
    wait: std_time::Duration,
}

/// A link to open.
struct Dial {
    key: targets::TargetKey,
    host: CompactString,
    addr: net::SocketAddr,
}

/// Opens links when they are due. Runs until the task is aborted.
pub(crate) async fn run(state: sync::Arc<state::State>) {
    loop {
        let shared = sync::Arc::clone(&state);
        let Ok(check) = state.pool.run(move || check_links(&shared)).await else {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        };
        if let Some(dial) = check.dial {
            tokio::spawn(open(sync::Arc::clone(&state), dial));
        }
        tokio::time::sleep(check.wait).await;
    }
}

/// Records that a request is sent to a service. Returns the targets of the service that this node
/// uses, in the order of their keys.
pub(crate) fn use_service(
    state: &state::State,
    directory: &directory::Directory,
    service: &CompactString,
) -> Vec<targets::TargetKey> {
    let now = state.now();
    let known = directory.targets().of_service(service).len();
    if known == 0 {
        return Vec::new();
    }
    let mut routing = state.routing.lock();
    let subset = routing.links.subsets.entry(service.clone()).or_default();
    if subset.known != known {
        *subset = ServiceSubset::select(state, directory, service);
    }
    subset.used_at = Some(now);
    let mut keys: Vec<_> = subset.near.iter().chain(&subset.far).copied().collect();
    keys.sort_unstable();
    keys
}

/// Whether a request can be sent to a target's host without opening a link.
pub(crate) fn is_linked(state: &state::State, entry: &membership::messages::Entry) -> bool {
    entry.host == state.location.host || state.links.established(&entry.host, entry.addr).is_some()
}

/// Opens a link and records the result.
async fn open(state: sync::Arc<state::State>, dial: Dial) {
    let opened = state.links.link(&dial.host, dial.addr).await.is_ok();
    let shared = sync::Arc::clone(&state);
    state.pool.submit_or_run(move || {
        let now = shared.now();
        let mut routing = shared.routing.lock();
        let state::Routing { links, rng, .. } = &mut *routing;
        links.dialer.record_result(now, dial.key, opened, rng);
    });
}

/// Selects the targets anew and decides which link to open now.
fn check_links(state: &state::State) -> Check {
    let config = state.running();
    let directory = state.directory.lock();
    let now = state.now();
    let mut routing = state.routing.lock();
    let state::Routing { links, rng, .. } = &mut *routing;
    if let Some(config) = config.filter(|it| it.version() != links.routed.0) {
        links.routed = (config.version(), routed_services(config.document()));
    }
    links.select_subsets(state, &directory, now);
    let wanted = links.wanted(state, &directory);
    links.check(now, &directory, &wanted, rng)
}

/// The services in the routes of a document; none if they are many.
fn routed_services(document: &document::Document) -> Vec<CompactString> {
    let services: collections::BTreeSet<_> =
        document.routes.values().flat_map(document::RouteSpec::services).collect();
    if services.len() > MAX_WARM_SERVICES {
        return Vec::new();
    }
    services.into_iter().cloned().collect()
}

impl Links {
    /// Selects the subsets of the services that are used or in routes, and forgets the others.
    fn select_subsets(
        &mut self,
        state: &state::State,
        directory: &directory::Directory,
        now: time::Time,
    ) {
        let routed = &self.routed.1;
        self.subsets.retain(|service, it| {
            it.used_at = it.used_at.filter(|&at| now.since(at) < USED_AGE);
            it.used_at.is_some() || routed.contains(service)
        });
        for service in routed {
            if !self.subsets.contains_key(service) {
                self.subsets.insert(service.clone(), ServiceSubset::default());
            }
        }
        for (service, it) in &mut self.subsets {
            let used_at = it.used_at;
            *it = ServiceSubset { used_at, ..ServiceSubset::select(state, directory, service) };
        }
    }

    /// The targets to have links to: those of used services first, and of these, those in the own
    /// data centre.
    fn wanted(
        &self,
        state: &state::State,
        directory: &directory::Directory,
    ) -> Vec<dialer::Wanted> {
        let own = &state.location.host;
        let registered = directory.targets().find_host(own).is_some();
        let mut list = Vec::new();
        for (used, limit) in [(true, MAX_USED_LINKS), (false, MAX_WARM_LINKS)] {
            let subsets = || self.subsets.values().filter(move |it| it.used_at.is_some() == used);
            let near = subsets().flat_map(|it| &it.near).map(|&key| (key, true));
            let far = subsets().flat_map(|it| &it.far).map(|&key| (key, false));
            for (key, near) in near.chain(far) {
                if list.len() >= limit {
                    break;
                }
                let Some(target) = directory.get(key).filter(|it| it.entry.host != *own) else {
                    continue;
                };
                // A target in the own data centre usually needs a link to this host as well.
                let mutual = near && registered;
                list.push(dialer::Wanted {
                    key,
                    linked: is_linked(state, &target.entry),
                    peer_first: mutual && !subset::connects_first(own, &target.entry.host),
                });
            }
        }
        list
    }

    fn check(
        &mut self,
        now: time::Time,
        directory: &directory::Directory,
        wanted: &[dialer::Wanted],
        rng: &mut rngs::SmallRng,
    ) -> Check {
        let key = self.dialer.take_due(now, wanted, rng);
        let dial = key.and_then(|key| {
            let entry = &directory.get(key)?.entry;
            Some(Dial { key, host: entry.host.clone(), addr: entry.addr })
        });
        let next = self.dialer.next_due().map_or(CHECK_INTERVAL, |at| at.since(now));
        Check { dial, wait: next.clamp(MIN_CHECK_INTERVAL, CHECK_INTERVAL) }
    }
}

impl ServiceSubset {
    fn select(
        state: &state::State,
        directory: &directory::Directory,
        service: &CompactString,
    ) -> ServiceSubset {
        let targets: Vec<_> =
            directory.of_service(service).filter(|it| it.1.entry.state.takes_work()).collect();
        let candidates: Vec<_> = targets
            .iter()
            .map(|(_, it)| subset::Candidate {
                host: &it.entry.host,
                data_centre: &it.entry.data_centre,
            })
            .collect();
        let own = subset::Candidate {
            host: &state.location.host,
            data_centre: &state.location.data_centre,
        };
        let fleet = directory.targets().iter().count();
        let subset = subset::select(own, &candidates, fleet);
        let keys = |indexes: Vec<usize>| indexes.into_iter().map(|it| targets[it].0).collect();
        let known = directory.targets().of_service(service).len();
        ServiceSubset { near: keys(subset.near), far: keys(subset.far), known, used_at: None }
    }
}
