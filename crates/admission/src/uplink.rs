//! Refuses requests whose answers would wait too long for the host's network link.

use std::time;

use world::requests;

use crate::admit;

/// Whether to refuse a request whose answer would wait for `backlog`. `objective` and `left` are the
/// times until its objective and its deadline.
///
/// The same share of the objective applies as to a wait for a slot. A call is refused only when it
/// cannot be answered in time: the work of the request that it is made for would be lost.
pub fn is_full(
    backlog: time::Duration,
    class: requests::Class,
    objective: time::Duration,
    left: time::Duration,
) -> bool {
    match class {
        requests::Class::Caller => backlog > objective.mul_f32(admit::MAX_WAIT_SHARE),
        requests::Class::Internal => backlog >= left,
    }
}
