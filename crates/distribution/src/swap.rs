//! Which received versions a node accepts, and when it swaps to one.
//!
//! Rule R2: a version from the home control runs at once. One from a fallback control runs only
//! when the backend server holds a token that covers it, and when the home control no longer relies
//! on what it knows of the node. On a node without floor tokens, each accepted version runs at
//! once.
//!
//! Rule R3: a restarted node accepts a version only if that cannot be older than what it ran: by
//! its floor token, or by the control's proof ([`floor::Floor::allows`]).

use std::sync;

use rand::Rng;
use world::{config, document, time::Time};

use crate::{
    attach, floor, messages,
    updater::{self, Updater},
};

impl Updater {
    /// Applies a delta to the latest version that the node has.
    pub(crate) fn receive_delta(
        &mut self,
        now: Time,
        control: attach::ControlKey,
        delta: &messages::Delta,
        rng: &mut impl Rng,
        effects: &mut Vec<updater::Effect>,
    ) {
        if self.awaiting_snapshot {
            return;
        }
        let Some(head) = self.head() else { return };
        let version = head.config.version();
        if self.toggles.higher_only && delta.to.version <= version {
            return;
        }
        if delta.to.version > version.next() {
            // A delta is missing; a new hello tells the control what the node has.
            self.reopen_session(now, rng, effects);
            return;
        }
        let Some(config) = self.apply_delta(&head.config, delta) else {
            self.awaiting_snapshot = true;
            self.ask_snapshot(effects);
            return;
        };
        let source = self.attachment.source(control);
        self.accept(now, updater::SourcedConfig { config, source }, effects);
    }

    /// Accepts a snapshot if rule R3 allows it.
    pub(crate) fn receive_snapshot(
        &mut self,
        now: Time,
        proof: messages::Proof,
        snapshot: &messages::Snapshot,
        rng: &mut impl Rng,
        effects: &mut Vec<updater::Effect>,
    ) {
        let Some(link) = self.attachment.link else { return };
        self.awaiting_snapshot = false;
        let source = self.attachment.source(link.control);
        if !self.may_take(snapshot.of.version, self.trusted_source(link.control), proof) {
            if let Some(head) = self.head() {
                let version = head.config.version();
                effects.push(updater::Effect::Received(link.control, link.session, version));
                return;
            }
            self.ask_later(now, rng);
            return;
        }
        let Some(config) = self.parse_snapshot(snapshot) else {
            self.ask_later(now, rng);
            return;
        };
        let version = config.version();
        effects.push(updater::Effect::Received(link.control, link.session, version));
        self.accept(now, updater::SourcedConfig { config, source }, effects);
    }

    /// Runs the latest received version that rule R2 allows, if there is one.
    pub(crate) fn try_run(&mut self, now: Time, effects: &mut Vec<updater::Effect>) {
        let candidates = [self.pending.clone(), self.offered_config.clone()];
        let Some(next) = candidates.into_iter().flatten().find(|it| self.may_run(now, it)) else {
            return;
        };
        let version = next.config.version();
        let later = |it: &updater::SourcedConfig| it.config.version() > version;
        self.pending = self.pending.take().filter(later);
        self.offered_config = self.offered_config.take().filter(later);
        if self.toggles.higher_only && self.running().is_some_and(|it| it.version() >= version) {
            return;
        }
        self.min_version = self.min_version.max(version);
        effects.push(updater::Effect::Run(next.config.clone()));
        if let Some(link) = self.attachment.link {
            let running = updater::numbered(&next.config);
            effects.push(updater::Effect::Confirm(link.control, link.session, running));
        }
        self.running = Some(next);
        if self.running_since.is_none() {
            // The first version may have been on its way for seconds. The answer to this beat comes
            // behind the deltas that the control has sent meanwhile.
            self.running_since = Some(now);
            self.next_beat = now;
            self.send_beat(now, effects);
        }
    }

    /// Offers the backend server a token for the latest version that the node has.
    pub(crate) fn offer_token(&mut self, effects: &mut Vec<updater::Effect>) {
        let Some(head) = self.head() else { return };
        let Some(home) = self.home_id() else { return };
        let token = floor::Token { version: head.config.version(), epoch: self.settings.epoch };
        let token = floor::StoredToken { token, home };
        effects.push(updater::Effect::OfferToken(token.encode()));
        self.offered_token = Some(token);
        self.offered_config = self.pending.clone();
    }

    fn accept(
        &mut self,
        now: Time,
        received: updater::SourcedConfig,
        effects: &mut Vec<updater::Effect>,
    ) {
        self.pending = Some(received);
        self.try_run(now, effects);
    }

    fn may_take(
        &self,
        version: document::Version,
        source: floor::Source,
        proof: messages::Proof,
    ) -> bool {
        if let Some(head) = self.head() {
            return !self.toggles.higher_only || version > head.config.version();
        }
        if !self.toggles.proof {
            return self.floor != floor::Floor::Unknown && version >= self.min_version;
        }
        // An isolated home control relies on the node to run fallback controls' versions only under
        // a token. Without tokens, its proof is therefore not enough.
        if !self.settings.tokens && proof != messages::Proof::Current {
            return false;
        }
        let source = if self.toggles.fallback_proof { source } else { floor::Source::Home };
        version >= self.min_version && self.floor.allows(version, source, proof)
    }

    fn may_run(&self, now: Time, next: &updater::SourcedConfig) -> bool {
        match next.source {
            _ if !self.settings.tokens => true,
            floor::Source::Home if self.is_home_settled(now) => true,
            floor::Source::Home | floor::Source::Foster => {
                self.is_covered(next) && self.contact_expired(now)
            }
        }
    }

    /// Whether the backend server holds a token that covers this version, and still holds one that
    /// does when the token that was offered last reaches it.
    ///
    /// That is required for a version with proof too. Otherwise a backend server that sent no
    /// announcement meanwhile could return with an older token, with which the restarted node would
    /// accept an older version from its home control.
    fn is_covered(&self, next: &updater::SourcedConfig) -> bool {
        if !self.toggles.floor_token {
            return self.floor != floor::Floor::Unknown;
        }
        let floor::Floor::Held(token) = self.floor else { return false };
        let covers = |it: &floor::Token| it.version >= next.config.version();
        let offer = self.offered_token.as_ref().filter(|_| self.toggles.offer_check);
        covers(&token) && offer.is_none_or(|it| covers(&it.token))
    }

    /// Whether the home control no longer relies on its last contact with the node. An isolated
    /// home control sends its version to a restarted node that contacted it within the last 3 s, so
    /// the node must not run a newer one from another control within that time.
    fn contact_expired(&self, now: Time) -> bool {
        !self.toggles.contact_expiry || now.since(self.last_echo) >= attach::CONTACT_TIMEOUT
    }

    /// The version that the delta makes; none when it does not apply or the digest differs.
    fn apply_delta(
        &self,
        base: &config::Config,
        delta: &messages::Delta,
    ) -> Option<sync::Arc<config::Config>> {
        let patch = serde_json::from_str(&delta.patch).ok()?;
        let applied = document::apply(base.document(), base.digest(), &patch).ok()?;
        self.check_digest(delta.to, config::Config::build_patched(delta.to.version, applied))
    }

    /// The version of a snapshot; none when it is malformed or the digest differs.
    fn parse_snapshot(&self, snapshot: &messages::Snapshot) -> Option<sync::Arc<config::Config>> {
        let document = serde_json::from_str(&snapshot.document).ok()?;
        self.check_digest(snapshot.of, config::Config::build(snapshot.of.version, document).ok()?)
    }

    fn check_digest(
        &self,
        of: messages::Numbered,
        config: config::Config,
    ) -> Option<sync::Arc<config::Config>> {
        if self.toggles.digest_check && config.digest() != of.digest {
            return None;
        }
        Some(sync::Arc::new(config))
    }
}
