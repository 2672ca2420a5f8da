//! Switches of the protective mechanisms.

/// Which protective mechanisms are on. For tests only: a test switches one off to show that the
/// failure that it prevents then happens. Every process of a mesh runs with all of them on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mechanisms {
    /// A node whose backend server does not announce itself counts its floor as absent in the end.
    pub announcement_wait: bool,
    /// A node runs a document only when its digest is the expected one.
    pub digest_check: bool,
    /// A control that lost its disk serves no node before it has caught up.
    pub catch_up_wait: bool,
    /// A node runs a foster control's version only when its backend server holds the token.
    pub floor_token: bool,
    /// A restarted node asks a foster control for proof, whatever its token.
    pub foster_proof: bool,
    /// An isolated home control checks that it has heard from a restarted node, and which version
    /// the node ran.
    pub contact_check: bool,
    /// A node with a running version takes only a higher one.
    pub higher_only: bool,
    /// A token that was offered after the held one must cover a foster control's version too.
    pub offer_check: bool,
    /// A restarted node without a token asks for proof that a version is recent enough.
    pub proof: bool,
    /// A node runs a foster control's version only when home can no longer count on it.
    pub contact_expiry: bool,
    /// A control hands out only versions that it has synced.
    pub synced_only: bool,
}

impl Default for Mechanisms {
    fn default() -> Mechanisms {
        Mechanisms {
            announcement_wait: true,
            digest_check: true,
            catch_up_wait: true,
            floor_token: true,
            foster_proof: true,
            contact_check: true,
            higher_only: true,
            offer_check: true,
            proof: true,
            contact_expiry: true,
            synced_only: true,
        }
    }
}
