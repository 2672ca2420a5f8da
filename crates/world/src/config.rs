//! A version of the configuration in the form that requests use.

use std::{collections, time};

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{contracts, document};

/// One accepted version, complete: every route's service is in it.
#[derive(Clone, Debug, Default)]
pub struct Config {
    version: document::Version,
    digest: document::DocumentDigest,
    source: document::Document,
    services: SlotMap<contracts::ServiceKey, contracts::Service>,
    routes: SlotMap<contracts::RouteKey, contracts::Route>,
    service_names: collections::BTreeMap<CompactString, contracts::ServiceKey>,
    route_names: collections::BTreeMap<CompactString, contracts::RouteKey>,
    /// Routes by prefix, for each host that has some. The empty host stands for every host.
    prefixes: collections::BTreeMap<CompactString, Prefixes>,
}

type Prefixes = collections::BTreeMap<CompactString, contracts::RouteKey>;

impl Config {
    /// Builds the tables of a document, or lists what is wrong with it.
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

    /// Builds the tables of a document that a patch has made.
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

    /// The number of this version.
    pub fn version(&self) -> document::Version {
        self.version
    }

    /// The digest of the document.
    pub fn digest(&self) -> document::DocumentDigest {
        self.digest
    }

    /// The document that this version was built from.
    pub fn document(&self) -> &document::Document {
        &self.source
    }

    /// The service with this key.
    pub fn service(&self, key: contracts::ServiceKey) -> Option<&contracts::Service> {
        self.services.get(key)
    }

    /// The route with this key.
    pub fn route(&self, key: contracts::RouteKey) -> Option<&contracts::Route> {
        self.routes.get(key)
    }

    /// The key of the service called `name`.
    pub fn find_service(&self, name: &str) -> Option<contracts::ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// The key of the route called `name`.
    pub fn find_route_named(&self, name: &str) -> Option<contracts::RouteKey> {
        self.route_names.get(name).copied()
    }

    /// The route of `host` with the longest prefix of `path`; without one, the route of every
    /// host. A prefix ends at the end of a path segment.
    pub fn find_route(&self, host: &str, path: &str) -> Option<contracts::RouteKey> {
        let find = |it: &str| longest(self.prefixes.get(it)?, path);
        find(host).or_else(|| find(""))
    }

    fn build_route(&self, name: &CompactString, spec: &document::RouteSpec) -> contracts::Route {
        let weighted = spec.split.iter().map(|it| (&it.service, it.weight));
        let single = spec.split.is_empty().then_some((&spec.service, 1));
        // Validation has shown that the services exist.
        let split: Vec<_> = single
            .into_iter()
            .chain(weighted)
            .map(|(name, weight)| contracts::Upstream { service: self.service_names[name], weight })
            .collect();
        let millis = |it: u32| time::Duration::from_millis(it.into());
        let longest = split.iter().map(|it| self.services[it.service].timeout).max();
        let timeout = spec.timeout_ms.map(millis).or(longest).unwrap_or_default();
        let objective = spec.objective_ms.map_or(timeout, millis).min(timeout);
        contracts::Route {
            name: name.clone(),
            host: spec.host.clone(),
            prefix: spec.prefix.clone(),
            split,
            attempts: spec.attempts,
            objective,
            timeout,
            weight: spec.priority.map_or(spec.weight, weight_of),
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

/// Each rank counts half of the rank before it.
fn weight_of(priority: u32) -> u32 {
    const URGENT: u32 = 64;
    (URGENT >> priority.min(6)).max(1)
}

fn longest(prefixes: &Prefixes, path: &str) -> Option<contracts::RouteKey> {
    let mut end = path.len();
    loop {
        if let Some(&key) = prefixes.get(&path[..end]) {
            return Some(key);
        }
        let slash = path[..end].rfind('/')?;
        // "/a/b" is tried as "/a/b", "/a/", "/a", "/".
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
