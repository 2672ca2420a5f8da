//! A version of the configuration, indexed for request routing.

use std::{collections, time};

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{contracts, document};

/// One version of the configuration, built from a valid document: each service that a route names
/// exists.
#[derive(Clone, Debug, Default)]
pub struct Config {
    version: document::Version,
    digest: document::DocumentDigest,
    source: document::Document,
    services: SlotMap<contracts::ServiceKey, contracts::Service>,
    routes: SlotMap<contracts::RouteKey, contracts::Route>,
    service_names: collections::BTreeMap<CompactString, contracts::ServiceKey>,
    route_names: collections::BTreeMap<CompactString, contracts::RouteKey>,
    /// Routes by host, in lower case, and path prefix. The empty host holds the routes of any host.
    prefixes: collections::BTreeMap<CompactString, Prefixes>,
}

/// Routes by path prefix.
type Prefixes = collections::BTreeMap<CompactString, contracts::RouteKey>;

impl Config {
    /// Validates a document and builds its configuration.
    ///
    /// # Errors
    ///
    /// Returns all faults of the document.
    pub fn build(
        version: document::Version,
        source: document::Document,
    ) -> document::Result<Config> {
        let faults = document::validate(&document::Document::default(), &source);
        if !faults.is_empty() {
            return Err(faults);
        }
        let digest = document::digest(&source);
        Ok(Config::assemble(version, source, digest))
    }

    /// Builds the configuration of a document that [`document::apply`] has already validated.
    pub fn build_patched(version: document::Version, applied: document::Patched) -> Config {
        let (source, digest) = applied.into_parts();
        Config::assemble(version, source, digest)
    }

    fn assemble(
        version: document::Version,
        source: document::Document,
        digest: document::DocumentDigest,
    ) -> Config {
        let mut config = Config { version, digest, ..Config::default() };
        for (name, spec) in &source.services {
            let key = config.services.insert(build_service(name, spec));
            config.service_names.insert(name.clone(), key);
        }
        for (name, spec) in &source.routes {
            let route = config.build_route(name, spec);
            let key = config.routes.insert(route);
            config.route_names.insert(name.clone(), key);
            let host = spec.host.as_ref().map(CompactString::to_lowercase).unwrap_or_default();
            config.prefixes.entry(host).or_default().insert(spec.prefix.clone(), key);
        }
        config.source = source;
        config
    }

    /// Returns the number of this version.
    pub fn version(&self) -> document::Version {
        self.version
    }

    /// Returns the digest of [`Config::document`].
    pub fn digest(&self) -> document::DocumentDigest {
        self.digest
    }

    /// Returns the document that this version was built from.
    pub fn document(&self) -> &document::Document {
        &self.source
    }

    /// Returns the service with this key, if there is one. In another version the key may be that
    /// of another service.
    pub fn service(&self, key: contracts::ServiceKey) -> Option<&contracts::Service> {
        self.services.get(key)
    }

    /// Returns the route with this key, if there is one. In another version the key may be that of
    /// another route.
    pub fn route(&self, key: contracts::RouteKey) -> Option<&contracts::Route> {
        self.routes.get(key)
    }

    /// Returns the key of the service called `name`.
    pub fn find_service(&self, name: &str) -> Option<contracts::ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Returns the key of the route called `name`.
    pub fn find_route_named(&self, name: &str) -> Option<contracts::RouteKey> {
        self.route_names.get(name).copied()
    }

    /// Returns the route for a request to `host`, in lower case, and `path`: the one with the
    /// longest matching prefix among the routes of the host, or else among the routes of any host.
    /// A prefix matches whole path segments only.
    pub fn find_route(&self, host: &str, path: &str) -> Option<contracts::RouteKey> {
        let find = |it: &str| longest_match(self.prefixes.get(it)?, path);
        find(host).or_else(|| find(""))
    }

    fn build_route(&self, name: &CompactString, spec: &document::RouteSpec) -> contracts::Route {
        let weighted = spec.split.iter().map(|it| (&it.service, it.weight));
        let single = spec.split.is_empty().then_some((&spec.service, 1));
        // The document is valid, so the services exist.
        let split: Vec<_> = single
            .into_iter()
            .chain(weighted)
            .map(|(name, weight)| contracts::Upstream { service: self.service_names[name], weight })
            .collect();
        let millis = |it: u32| time::Duration::from_millis(it.into());
        let max_timeout = split.iter().map(|it| self.services[it.service].timeout).max();
        let timeout = spec.timeout_ms.map(millis).or(max_timeout).unwrap_or_default();
        let objective = spec.objective_ms.map_or(timeout, millis).min(timeout);
        contracts::Route {
            name: name.clone(),
            host: spec.host.clone(),
            prefix: spec.prefix.clone(),
            split,
            attempts: spec.attempts,
            objective,
            timeout,
            weight: spec.priority.map_or(spec.weight, priority_weight),
            idempotency: match spec.idempotent {
                None => contracts::Idempotency::ByMethod,
                Some(true) => contracts::Idempotency::Always,
                Some(false) => contracts::Idempotency::Never,
            },
            keyless: spec.keyless,
            hedge: spec.hedge,
        }
    }
}

/// Returns the weight of a priority: 64 for priority 0, half as much for each priority after it,
/// and at least 1.
fn priority_weight(priority: u32) -> u32 {
    const MAX_WEIGHT: u32 = 64;
    (MAX_WEIGHT >> priority.min(6)).max(1)
}

/// Returns the route with the longest prefix that matches whole segments of `path`.
fn longest_match(prefixes: &Prefixes, path: &str) -> Option<contracts::RouteKey> {
    let mut end = path.len();
    loop {
        if let Some(&key) = prefixes.get(&path[..end]) {
            return Some(key);
        }
        let slash = path[..end].rfind('/')?;
        // For "/a/b", the prefixes "/a/b", "/a/", "/a" and "/" are looked up in this order.
        end = if slash + 1 < end { slash + 1 } else { slash };
    }
}

fn build_service(name: &CompactString, spec: &document::ServiceSpec) -> contracts::Service {
    contracts::Service {
        name: name.clone(),
        connections: spec.connections,
        home: spec.home.clone(),
        queue: spec.queue,
        slots: spec.slots,
        timeout: time::Duration::from_millis(spec.timeout_ms.into()),
    }
}
