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
    prefixes: collections::BTreeMap<CompactString, contracts::RouteKey>,
}

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
    pub fn build_applied(version: document::Version, applied: document::Applied) -> Config {
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
            // Validation has shown that the service exists.
            let service = config.service_names[&spec.service];
            let route = build_route(name, spec, service, config.services[service].timeout);
            let key = config.routes.insert(route);
            config.prefixes.insert(spec.prefix.clone(), key);
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

    /// The route with the longest prefix of `path`. A prefix ends at the end of a path segment.
    pub fn find_route(&self, path: &str) -> Option<contracts::RouteKey> {
        let mut end = path.len();
        loop {
            if let Some(&key) = self.prefixes.get(&path[..end]) {
                return Some(key);
            }
            let slash = path[..end].rfind('/')?;
            // "/a/b" is tried as "/a/b", "/a/", "/a", "/".
            end = if slash + 1 < end { slash + 1 } else { slash };
        }
    }
}

fn build_service(name: &CompactString, spec: &document::ServiceSpec) -> contracts::Service {
    contracts::Service {
        name: name.clone(),
        home: spec.home.clone(),
        queue: spec.queue,
        slots: spec.slots,
        timeout: time::Duration::from_millis(spec.timeout_ms.into()),
    }
}

fn build_route(
    name: &CompactString,
    spec: &document::RouteSpec,
    service: contracts::ServiceKey,
    timeout: time::Duration,
) -> contracts::Route {
    let own = spec.timeout_ms.map(|it| time::Duration::from_millis(it.into()));
    contracts::Route {
        name: name.clone(),
        prefix: spec.prefix.clone(),
        service,
        timeout: own.unwrap_or(timeout),
        weight: spec.weight,
        idempotency: match spec.idempotent {
            None => contracts::Idempotency::ByMethod,
            Some(true) => contracts::Idempotency::Always,
            Some(false) => contracts::Idempotency::Never,
        },
        keyless: spec.keyless,
        hedge: spec.hedge,
    }
}
