//! Finds the team of a caller's request by its API key, and keeps the key from backend servers.

use world::{config, contracts, requests, teams};

use crate::{dialect, refusals};

const SCHEME: &str = "bearer";

/// What the `authorization` field of a request holds.
#[derive(Clone, Debug, Default)]
pub enum Credential {
    /// There is no such field, or one of another scheme.
    #[default]
    None,
    /// An API key, which may be unknown.
    ApiKey(teams::ApiKey),
    /// Several fields, or one that is not text. Holds what is wrong with it.
    Malformed(&'static str),
}

/// Reads the credential of a request.
pub(crate) fn read(headers: &http::HeaderMap) -> Credential {
    let mut fields = headers.get_all(http::header::AUTHORIZATION).iter();
    let Some(field) = fields.next() else { return Credential::None };
    if fields.next().is_some() {
        return Credential::Malformed("the field authorization may be sent only once");
    }
    let Ok(text) = field.to_str() else {
        return Credential::Malformed("the field authorization must be printable ASCII text");
    };
    match text.trim().split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case(SCHEME) => {
            Credential::ApiKey(teams::ApiKey::new(key.trim()))
        }
        _ => Credential::None,
    }
}

/// Finds the team of a caller's request; none without teams, or on a public route without a key. An
/// unknown key is refused also on a public route: its sender believes that it is a team's.
pub(crate) fn find_team<'a>(
    config: &'a config::Config,
    route: &contracts::Route,
    options: &dialect::RequestOptions,
) -> refusals::Result<Option<&'a contracts::Team>> {
    if !config.needs_keys() {
        return Ok(None);
    }
    let version = config.version();
    match &options.credential {
        Credential::ApiKey(key) => {
            let team = config.authenticate(key.as_str()).and_then(|it| config.team(it));
            team.map(Some).ok_or_else(|| refusals::no_team(version))
        }
        _ if route.public => Ok(None),
        Credential::Malformed(detail) => Err(refusals::bad_key_field(detail)),
        // Callers' requests have a key, so this was a call of a request that has ended.
        Credential::None if options.parent.is_some() => Err(refusals::orphaned_call()),
        Credential::None => Err(refusals::no_team(version)),
    }
}

/// Sets the team of a request. The priority of a team goes before that of the route.
pub(crate) fn apply(context: &mut requests::Context, team: Option<&contracts::Team>) {
    let Some(team) = team else { return };
    context.team = team.name.clone();
    if let Some(priority) = team.priority {
        let contracts::Urgency { rank, worth } = contracts::Urgency::of_priority(priority);
        (context.rank, context.worth) = (rank, worth);
    }
}

/// Removes an API key from the fields that go to the backend server. Credentials of other schemes
/// are for the backend server itself.
pub(crate) fn remove_key(config: &config::Config, headers: &mut http::HeaderMap) {
    if config.needs_keys() && !matches!(read(headers), Credential::None) {
        headers.remove(http::header::AUTHORIZATION);
    }
}
