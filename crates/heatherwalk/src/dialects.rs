//! The dialects that the setting `dialect` can select. The first of each list is the default.

/// The dialects in which a node's callers and backend servers write.
pub const NODE: [node::dialect::Dialect; 2] = [node::dialect::OWN, platform::callers::DIALECT];
/// The dialects in which a control's operators write whole documents.
pub const CONTROL: [control::dialect::Dialect; 2] =
    [control::dialect::OWN, platform::operators::DIALECT];
