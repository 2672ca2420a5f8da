//! Validation of a configuration document.

use std::collections;

use compact_str::{CompactString, format_compact};

use crate::{bounds, document, faults, teams};

/// Most bytes of JSON that the field names, numbers and punctuation of a service, route or team
/// take.
const ENTRY_BYTES: usize = 320;
/// Most bytes of JSON that the field names, numbers and punctuation of a split's entry or a label
/// take.
const SPLIT_BYTES: usize = 48;

/// Returns all faults of `candidate` as the successor of `base`; none if it is valid.
pub fn validate(base: &document::Document, candidate: &document::Document) -> Vec<faults::Fault> {
    let mut faults = Faults::default();
    check_size(candidate, &mut faults);
    for (name, spec) in &candidate.services {
        check_service(name, spec, base.services.get(name), &mut faults);
    }
    for (name, spec) in &candidate.routes {
        check_route(name, spec, candidate, &mut faults);
    }
    check_prefixes(candidate, &mut faults);
    for (name, spec) in candidate.teams.iter().flatten() {
        check_team(name, spec, &mut faults);
    }
    check_keys(candidate, &mut faults);
    faults.list
}

/// Collects the faults of a document.
#[derive(Default)]
struct Faults {
    list: Vec<faults::Fault>,
}

impl Faults {
    fn push(&mut self, path: CompactString, kind: faults::FaultKind, detail: CompactString) {
        self.list.push(faults::Fault { path, kind, detail });
    }

    fn check_range(
        &mut self,
        path: impl FnOnce() -> CompactString,
        value: u32,
        low: u32,
        high: u32,
    ) {
        if (low..=high).contains(&value) {
            return;
        }
        let detail = format_compact!("{value} is not in {low}..={high}");
        self.push(path(), faults::FaultKind::Range, detail);
    }

    fn check_name(&mut self, path: impl FnOnce() -> CompactString, name: &str) {
        if bounds::is_name(name) {
            return;
        }
        let detail = format_compact!(
            "name {name:?} must have 1 to {} ASCII letters, digits, '-', '_' or '.'",
            bounds::MAX_NAME_BYTES,
        );
        self.push(path(), faults::FaultKind::Form, detail);
    }
}

fn check_size(candidate: &document::Document, faults: &mut Faults) {
    if candidate.level > document::LEVEL {
        let detail = format_compact!(
            "{} is above the supported level {}",
            candidate.level,
            document::LEVEL,
        );
        faults.push("level".into(), faults::FaultKind::Level, detail);
    }
    let counts = [
        ("services", candidate.services.len(), document::MAX_SERVICES),
        ("routes", candidate.routes.len(), document::MAX_ROUTES),
        ("teams", candidate.teams.as_ref().map_or(0, |it| it.len()), teams::MAX_TEAMS),
        ("document", max_size(candidate), document::MAX_DOCUMENT_BYTES),
    ];
    for (path, count, most) in counts {
        if count > most {
            let detail = format_compact!("{count} is above the limit {most}");
            faults.push(path.into(), faults::FaultKind::Size, detail);
        }
    }
}

/// Returns an upper bound of a document's size in bytes of JSON. It is added up from the lengths of
/// the texts, because serializing a large document takes longer than all other checks.
fn max_size(document: &document::Document) -> usize {
    let home = |it: &document::ServiceSpec| it.home.as_ref().map_or(0, |it| it.len());
    let health = |it: &document::ServiceSpec| it.health.as_ref().map_or(0, |it| it.len());
    let services = document.services.iter().map(|(name, it)| {
        ENTRY_BYTES + name.len() + home(it) + health(it) + labels_size(&it.labels)
    });
    let routes = document.routes.iter();
    let routes = routes.map(|(name, it)| {
        let split: usize = it.split.iter().map(|it| SPLIT_BYTES + it.service.len()).sum();
        let host = it.host.as_ref().map_or(0, |it| it.len());
        let texts = name.len() + it.prefix.len() + it.service.len() + host;
        ENTRY_BYTES + texts + split + labels_size(&it.labels)
    });
    let teams = document.teams.iter().flatten().map(|(name, it)| {
        let keys: usize = it.keys.iter().flatten().map(|it| SPLIT_BYTES + it.as_str().len()).sum();
        ENTRY_BYTES + name.len() + keys + labels_size(&it.labels)
    });
    let labels = labels_size(&document.labels);
    services.chain(routes).chain(teams).sum::<usize>() + labels
}

fn labels_size(labels: &document::Labels) -> usize {
    let text = |it: &serde_json::Value| it.to_string().len();
    labels.iter().map(|(name, it)| name.len() + SPLIT_BYTES + text(it)).sum()
}

fn check_service(
    name: &str,
    spec: &document::ServiceSpec,
    old: Option<&document::ServiceSpec>,
    faults: &mut Faults,
) {
    let path = |field: &str| format_compact!("services.{name}.{field}");
    faults.check_name(|| format_compact!("services.{name}"), name);
    faults.check_range(|| path("slots"), spec.slots, 1, bounds::MAX_SLOTS);
    faults.check_range(|| path("queue"), spec.queue, 0, 256);
    faults.check_range(|| path("timeout_ms"), spec.timeout_ms, 1, 600_000);
    if let Some(home) = &spec.home {
        faults.check_name(|| path("home"), home);
    }
    // The claims of past requests stay in the old home region, so they would be lost for a service
    // that moves. A service without a home has no claims yet and can get one.
    let Some(old) = old else { return };
    if old.home.is_some() && old.home != spec.home {
        let detail = "the home region of a service cannot change".into();
        faults.push(path("home"), faults::FaultKind::Fixed, detail);
    }
}

fn check_route(
    name: &str,
    spec: &document::RouteSpec,
    candidate: &document::Document,
    faults: &mut Faults,
) {
    let path = |field: &str| format_compact!("routes.{name}.{field}");
    faults.check_name(|| format_compact!("routes.{name}"), name);
    faults.check_range(|| path("weight"), spec.weight, 1, 100);
    if let Some(timeout) = spec.timeout_ms {
        faults.check_range(|| path("timeout_ms"), timeout, 1, 600_000);
    }
    if !spec.prefix.starts_with('/') || spec.prefix.len() > document::MAX_PREFIX_BYTES {
        let detail = format_compact!(
            "{:?} must start with '/' and have at most {} bytes",
            spec.prefix,
            document::MAX_PREFIX_BYTES,
        );
        faults.push(path("prefix"), faults::FaultKind::Form, detail);
    }
    check_services(&path, spec, candidate, faults);
    if let Some(priority) = spec.priority {
        faults.check_range(|| path("priority"), priority, 0, document::MAX_PRIORITY);
    }
    if let Some(objective) = spec.objective_ms {
        faults.check_range(|| path("objective_ms"), objective, 1, 600_000);
    }
    if let Some(attempts) = spec.attempts {
        faults.check_range(|| path("attempts"), attempts, 1, 100);
    }
    if spec.host.as_ref().is_some_and(|it| it.is_empty() || it.len() > document::MAX_HOST_BYTES) {
        let detail = format_compact!("a host must have 1 to {} bytes", document::MAX_HOST_BYTES);
        faults.push(path("host"), faults::FaultKind::Form, detail);
    }
    if spec.hedge && spec.idempotent == Some(false) {
        let detail = "a non-idempotent route cannot be hedged".into();
        faults.push(path("hedge"), faults::FaultKind::Range, detail);
    }
}

/// Checks that a route has either one service or a split, that its services exist, and that the
/// weights of a split add up to a positive `u32`.
fn check_services(
    path: &impl Fn(&str) -> CompactString,
    spec: &document::RouteSpec,
    candidate: &document::Document,
    faults: &mut Faults,
) {
    for service in spec.services() {
        if !candidate.services.contains_key(service) {
            let detail = format_compact!("there is no service {service:?}");
            faults.push(path("service"), faults::FaultKind::Dangling, detail);
        }
    }
    if spec.service.is_empty() == spec.split.is_empty() {
        let detail = "a route has either a service or a split".into();
        faults.push(path("service"), faults::FaultKind::Dangling, detail);
    }
    let total: u64 = spec.split.iter().map(|it| u64::from(it.weight)).sum();
    if !spec.split.is_empty() && !(1..=u64::from(u32::MAX)).contains(&total) {
        let detail = format_compact!("the weights add up to {total}");
        faults.push(path("split"), faults::FaultKind::Range, detail);
    }
}

/// Checks that no two routes have the same host and prefix.
fn check_prefixes(candidate: &document::Document, faults: &mut Faults) {
    let mut seen = collections::BTreeMap::new();
    for (name, spec) in &candidate.routes {
        // Requests name hosts in any letter case.
        let host = spec.host.as_ref().map(CompactString::to_lowercase);
        let Some(first) = seen.insert((host, &spec.prefix), name) else { continue };
        let detail = format_compact!("{:?} is already the prefix of {first:?}", spec.prefix);
        let path = format_compact!("routes.{name}.prefix");
        faults.push(path, faults::FaultKind::Duplicate, detail);
    }
}

fn check_team(name: &str, spec: &teams::TeamSpec, faults: &mut Faults) {
    let path = |field: &str| format_compact!("teams.{name}.{field}");
    faults.check_name(|| format_compact!("teams.{name}"), name);
    if let Some(priority) = spec.priority {
        faults.check_range(|| path("priority"), priority, 0, document::MAX_PRIORITY);
    }
    for (field, amount) in [("rate", spec.rate), ("burst", spec.burst)] {
        let Some(amount) = amount.filter(|it| !it.is_valid()) else { continue };
        let detail = format_compact!("{amount} is not in 0..={}", teams::MAX_AMOUNT);
        faults.push(path(field), faults::FaultKind::Range, detail);
    }
}

/// Checks that no two teams have the same API key: it would not say whose request it is. The fault
/// does not show the key, since faults are logged.
fn check_keys(candidate: &document::Document, faults: &mut Faults) {
    let mut owners = collections::HashMap::new();
    for (name, spec) in candidate.teams.iter().flatten() {
        let mut shared = collections::BTreeSet::new();
        for key in spec.keys.iter().flatten() {
            let owner = *owners.entry(key).or_insert(name);
            if owner != name {
                shared.insert(owner);
            }
        }
        for owner in shared {
            let detail = format_compact!("has a key that the team {owner:?} has as well");
            let path = format_compact!("teams.{name}.keys");
            faults.push(path, faults::FaultKind::Duplicate, detail);
        }
    }
}
