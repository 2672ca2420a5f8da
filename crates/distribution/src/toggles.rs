//! Feature toggles of the rules that keep a node from running a wrong or an older version.

/// Feature toggles of the distribution rules. Production code uses the default, all on. A test
/// turns one off to show that the failure that the rule prevents then happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Toggles {
    /// A restarted node stops waiting for a token when its backend server does not announce itself
    /// within [`floor::ANNOUNCEMENT_TIMEOUT`](crate::floor::ANNOUNCEMENT_TIMEOUT).
    pub announcement_wait: bool,
    /// A node routes requests only by a version that a control has confirmed lately, unless it is
    /// cut off.
    pub confirmed_routing: bool,
    /// A node runs a document only when its digest is the one that the control named.
    pub digest_check: bool,
    /// A control that lost its disk sends no versions before it has caught up with the log.
    pub catch_up_wait: bool,
    /// A node runs a fallback control's version only when its backend server holds a token for
    /// it.
    pub floor_token: bool,
    /// A restarted node asks a fallback control for proof that a version is recent enough, even
    /// when it has a token.
    pub fallback_proof: bool,
    /// An isolated home control sends a version to a restarted node without a token only when the
    /// node contacted it within the last 3 s, and only a version at least as high as the node ran.
    pub contact_check: bool,
    /// A new home control counts as a fallback control until the floor token names it, and until
    /// its predecessor no longer relies on what it knows of the node.
    pub home_identity: bool,
    /// A node that runs a version accepts only higher ones.
    pub higher_only: bool,
    /// A node runs a fallback control's version only when the token that it offered last, which
    /// may replace the held one, covers that version too.
    pub offer_check: bool,
    /// A restarted node without a token asks for proof that a version is recent enough.
    pub proof: bool,
    /// A node runs a fallback control's version only 3 s after its last contact with its home
    /// control, which then no longer relies on what it knows of the node.
    pub contact_expiry: bool,
    /// A control sends only versions that are synced on its own disk.
    pub synced_only: bool,
}

impl Default for Toggles {
    fn default() -> Toggles {
        Toggles {
            announcement_wait: true,
            confirmed_routing: true,
            digest_check: true,
            catch_up_wait: true,
            floor_token: true,
            fallback_proof: true,
            contact_check: true,
            higher_only: true,
            home_identity: true,
            offer_check: true,
            proof: true,
            contact_expiry: true,
            synced_only: true,
        }
    }
}
