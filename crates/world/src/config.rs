//! A version of the configuration, indexed for request routing.

use std::{collections, time};

use compact_str::CompactString;
use sha2::Digest as _;
use slotmap::SlotMap;

use crate::{contracts, document, teams, validation};

/// One version of the configuration, built from a valid document: each service that a route names
/// exists.
#[derive(Clone, Debug, Default)]
pub struct Config {
    version: document::Version,
    digest: document::DocumentDigest,
    source: document::Document,
    services: SlotMap<contracts::ServiceKey, contracts::Service>,
    routes: SlotMap<contracts::RouteKey, contracts::Route>,
    teams: SlotMap<contracts::TeamKey, contracts::Team>,
    service_names: collections::BTreeMap<CompactString, contracts::ServiceKey>,
    route_names: collections::BTreeMap<CompactString, contracts::RouteKey>,
    /// Routes by host, in lower case, and path prefix. The empty host holds the routes of any host.
    prefixes: collections::BTreeMap<CompactString, Prefixes>,
    team_names: collections::BTreeMap<CompactString, contracts::TeamKey>,
    /// Teams by the hash of their API keys. A lookup by the key itself would take a time that tells
    /// how much of a wrong key is right.
    api_keys: collections::HashMap<KeyHash, contracts::TeamKey>,
}

/// The SHA-256 hash of an API key.
type KeyHash = [u8; 32];

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
        let faults = validation::validate(&document::Document::default(), &source);
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
        for (name, spec) in source.teams.iter().flatten() {
            let key = config.teams.insert(build_team(name, spec));
            config.team_names.insert(name.clone(), key);
            // No caller can send an empty key.
            let keys = spec.keys.iter().flatten().filter(|it| !it.as_str().is_empty());
            config.api_keys.extend(keys.map(|it| (hash_key(it.as_str()), key)));
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

    /// Returns the team with this key, if there is one. In another version the key may be that of
    /// another team.
    pub fn team(&self, key: contracts::TeamKey) -> Option<&contracts::Team> {
        self.teams.get(key)
    }

    /// Returns all teams.
    pub fn teams(&self) -> impl Iterator<Item = (contracts::TeamKey, &contracts::Team)> {
        self.teams.iter()
    }

    /// Returns whether requests need the API key of a team, except those of public routes.
    pub fn needs_keys(&self) -> bool {
        self.source.teams.is_some()
    }

    /// Returns the key of the team called `name`.
    pub fn find_team(&self, name: &str) -> Option<contracts::TeamKey> {
        self.team_names.get(name).copied()
    }

    /// Returns the team that has this API key.
    pub fn authenticate(&self, api_key: &str) -> Option<contracts::TeamKey> {
        self.api_keys.get(&hash_key(api_key)).copied()
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
            urgency: match spec.priority {
                Some(priority) => contracts::Urgency::of_priority(priority),
                None => contracts::Urgency { rank: 0, worth: spec.weight },
            },
            public: spec.public.unwrap_or_default(),
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

fn build_team(name: &CompactString, spec: &teams::TeamSpec) -> contracts::Team {
    contracts::Team { name: name.clone(), priority: spec.priority, quota: spec.quota() }
}

fn hash_key(api_key: &str) -> KeyHash {
    sha2::Sha256::digest(api_key).into()
}
