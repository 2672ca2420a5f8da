//! What a node's home control means when the controls of the mesh change.
//!
//! Rules R2 and R3 rely on the home control having each version that it handed out. That is true of
//! one host, not of whichever control is in the node's data centre. A floor token therefore names
//! the home control that it speaks of, and a new home control counts as a fallback control until
//! the backend server holds a token that names it. A former home control, to a restarted node that
//! found an older list of controls, can still be home; so the node also waits until that control no
//! longer relies on its last contact with the node.

use rand::Rng;
use world::time::Time;

use crate::{
    attach, floor,
    updater::{Effect, Updater},
};

impl Updater {
    /// Replaces the controls of the mesh. `listed` is in the order of preference.
    pub fn update_controls(
        &mut self,
        now: Time,
        listed: &[attach::Listed],
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.attachment.update(listed) {
            self.former_echo = Some(self.last_echo);
            // What was received of the former home control must not run as the new one's.
            self.reopen_session(now, rng, &mut effects);
        }
        effects
    }

    /// The identity of the home control; none before there is any control.
    pub(crate) fn home_id(&self) -> Option<floor::HomeId> {
        self.attachment.home().map(|it| floor::HomeId::of(&it.name))
    }

    /// Whether the versions of a control are the home control's to the floor token that the backend
    /// server holds. Without tokens, no control is home: a restarted node refuses what its home
    /// control could vouch for, so that one has to wait for a leader like the others.
    pub(crate) fn trusted_source(&self, control: attach::ControlKey) -> floor::Source {
        match self.attachment.source(control) {
            _ if !self.settings.tokens => floor::Source::Foster,
            floor::Source::Home if self.is_other_home(self.floor_home) => floor::Source::Foster,
            it => it,
        }
    }

    /// Whether the home control's versions may run without a token that covers them: each token
    /// that the backend server may return names it, and a former home control relies on nothing any
    /// more.
    ///
    /// A backend server that renews no announcement would keep the node at its version for as long
    /// as that lasts, so its token does not count here. If it returns later with that token, only a
    /// node that finds the list from before the replacement would trust the former home control.
    pub(crate) fn is_home_settled(&self, now: Time) -> bool {
        let expired = self.former_echo.is_none_or(|it| now.since(it) >= attach::CONTACT_TIMEOUT);
        let offered = self.offered_token.map(|it| it.home);
        let named = !self.is_other_home(self.floor_home) && !self.is_other_home(offered);
        let silent = now.since(self.renewed_at) >= floor::ANNOUNCEMENT_TIMEOUT;
        (expired && (named || silent)) || !self.toggles.home_identity
    }

    /// Records the home control that the held token names. The process before a restart may have
    /// been in contact with it until then.
    pub(crate) fn record_floor_home(&mut self, now: Time, home: Option<floor::HomeId>) {
        self.renewed_at = now;
        self.floor_home = home;
        if self.is_other_home(home) && self.former_echo.is_none() {
            self.former_echo = Some(self.last_echo);
        }
    }

    /// Opens a new session when the hello of the present one says of the control what is not so any
    /// more, that it is the node's home control or that it is not.
    pub(crate) fn report_home(&mut self, now: Time, rng: &mut impl Rng, effects: &mut Vec<Effect>) {
        let Some(link) = self.attachment.link else { return };
        if link.home != (self.trusted_source(link.control) == floor::Source::Home) {
            self.reopen_session(now, rng, effects);
        }
    }

    /// Records that the last acknowledgement of a control is echoed to it, which counts for one
    /// that takes itself for the node's home control.
    pub(crate) fn record_echo(&mut self, link: &attach::Link) {
        let Some((_, at)) = link.ack.filter(|_| link.home) else { return };
        self.last_echo = at.max(self.last_echo);
        if self.attachment.source(link.control) != floor::Source::Home {
            self.former_echo = Some(self.last_echo);
        }
    }

    fn is_other_home(&self, named: Option<floor::HomeId>) -> bool {
        self.toggles.home_identity && named.is_some_and(|it| Some(it) != self.home_id())
    }
}
